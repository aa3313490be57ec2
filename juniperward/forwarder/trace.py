"""What a forwarder takes in and does, a line each on standard error: off unless ROUTER_TRACE is set.

The log is for people and leaves lines out; a trace is for `juniperward lab traces`, which counts over all
forwarders of a fleet, and leaves out none. A line is `juniperward: trace: TIME WORD FIELD ...`, the time that
of the system's clock in seconds, which every forwarder of a fleet shares.
"""

from __future__ import annotations

import contextlib
import sys
import time
from collections.abc import Iterable

from juniperward.forwarder.messages import (
    AcceptMessage,
    Answered,
    AttemptCancelled,
    CloseIdle,
    Effect,
    EndpointsUpdated,
    Event,
    LogLine,
    MessageAccepted,
    MessageReceived,
    NotificationAcknowledged,
    Notify,
    Reply,
    StartAttempt,
    TimeUp,
    WithdrawResult,
)
from juniperward.forwarder.outcome_words import OUTCOME_WORDS

PREFIX = "juniperward: trace:"


class Trace:
    """Writes what passes between the loop and the reducer."""

    def __init__(self, offset: float) -> None:
        self.offset = offset  # seconds from the monotonic clock to the system's
        self.asked: dict[int, str] = {}  # destinations of the clients that wait for an answer

    def events(self, now: float, events: Iterable[Event]) -> None:
        """What came in with a round."""
        lines = []
        for e in events:
            match e:
                case MessageReceived():
                    self.asked[e.client] = f"{e.call.destination} {e.call.id}"
                    lines.append(f"handed {self.asked[e.client]} {e.call.time_left:.3f}")
                case Answered():
                    for x in e.ends:
                        lines.append(f"ended {e.attempt_number} {OUTCOME_WORDS[x.outcome]} {x.wait:.3f}")
                case TimeUp():
                    lines.append(f"up {e.attempt_number}")
                case WithdrawResult():
                    lines.append(f"struck {e.attempt_number} {e.progress.value}")
                case AttemptCancelled():
                    lines.append(f"off {e.attempt_number} {e.progress.value}")
                case MessageAccepted(told=False):
                    lines.append(f"untold {e.message}")
                case NotificationAcknowledged():
                    lines += [f"noticed {name}" for name in e.ids]
                case EndpointsUpdated():
                    for w in e.workers:
                        lines.append(
                            f"listed {w.id} {w.destination} {w.kind} {w.phase.name.lower()} {w.weight}"
                        )
        self._write(now, lines)

    def effects(self, now: float, effects: Iterable[Effect]) -> None:
        """What a round asks for."""
        lines = []
        for e in effects:
            match e:
                case AcceptMessage():
                    lines.append(f"taken {self.asked.pop(e.client, '? ?')}")
                case Reply():
                    lines.append(f"refused {self.asked.pop(e.client, '? ?')} {e.status} {e.retry_after:.3f}")
                case StartAttempt():
                    ids = ",".join(p.call.id for p in e.items)
                    lines.append(f"call {e.number} {e.destination} {e.host}:{e.port} {len(e.items)} {ids}")
                case Notify():
                    for n in e.notifications:
                        again = "never" if n.again is None else f"{n.again:.3f}"
                        lines.append(f"given_up {n.id} {again}")
                case CloseIdle():
                    lines.append(f"close {e.worker}")
                case LogLine():
                    lines.append(f"say {e.text}")
        self._write(now, lines)

    def answered(self, attempt_number: int, fresh: bool, status: int, close: bool, headers: str) -> None:
        """An answer as it was read; `fresh` on a new connection."""
        how = f"{'fresh' if fresh else 'kept'} {status} {'closes' if close else 'stays'} {headers}"
        self._write(time.monotonic(), [f"answer {attempt_number} {how}"])

    def _write(self, now: float, lines: list[str]) -> None:
        if lines:
            text = "".join(f"{PREFIX} {now + self.offset:.3f} {line}\n" for line in lines)
            with contextlib.suppress(OSError, ValueError):
                print(text, end="", file=sys.stderr, flush=True)
