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

from juniperward.forwarder.effects import (
    AcceptMessage,
    CloseIdleConnections,
    Effect,
    ReplyToClient,
    SendNotifications,
    StartAttempt,
    WriteLog,
)
from juniperward.forwarder.events import (
    AttemptAnswered,
    AttemptCancelled,
    BatchItemWithdrawn,
    DeadlineReached,
    EndpointsUpdated,
    Event,
    MessageAccepted,
    MessageReceived,
    NotificationAcknowledged,
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
                    self.asked[e.client] = f"{e.message.destination} {e.message.id}"
                    lines.append(f"handed {self.asked[e.client]} {e.message.time_left_s:.3f}")
                case AttemptAnswered():
                    for x in e.outcomes:
                        lines.append(
                            f"ended {e.attempt_number} {OUTCOME_WORDS[x.outcome]} {x.retry_after_s:.3f}"
                        )
                case DeadlineReached():
                    lines.append(f"up {e.attempt_number}")
                case BatchItemWithdrawn():
                    lines.append(f"struck {e.attempt_number} {e.progress.value}")
                case AttemptCancelled():
                    lines.append(f"off {e.attempt_number} {e.progress.value}")
                case MessageAccepted(client_told=False):
                    lines.append(f"untold {e.message}")
                case NotificationAcknowledged():
                    lines += [f"noticed {name}" for name in e.ids]
                case EndpointsUpdated():
                    for w in e.endpoints:
                        lines.append(
                            f"listed {w.id} {w.destination} {w.kind} {w.phase.name.lower()} {w.listed_rate}"
                        )
        self._write(now, lines)

    def effects(self, now: float, effects: Iterable[Effect]) -> None:
        """What a round asks for."""
        lines = []
        for e in effects:
            match e:
                case AcceptMessage():
                    lines.append(f"taken {self.asked.pop(e.client, '? ?')}")
                case ReplyToClient():
                    lines.append(
                        f"refused {self.asked.pop(e.client, '? ?')} {e.status} {e.retry_after_s:.3f}"
                    )
                case StartAttempt():
                    ids = ",".join(p.content.id for p in e.items)
                    lines.append(f"call {e.number} {e.destination} {e.host}:{e.port} {len(e.items)} {ids}")
                case SendNotifications():
                    for n in e.notifications:
                        again = "never" if n.retry_after_s is None else f"{n.retry_after_s:.3f}"
                        lines.append(f"given_up {n.id} {again}")
                case CloseIdleConnections():
                    lines.append(f"close {e.endpoint}")
                case WriteLog():
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
