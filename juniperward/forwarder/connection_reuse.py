"""Decides whether connections to endpoints are reused, and which answers on a reused one are in doubt.

Nothing in an answer names its call. On a connection's first call every answer has that call as its only cause. On a
reused connection an endpoint may have sent something before it read the call, such as a second copy of an earlier
answer. That arrives within the round trip and the endpoint's reading time after the call's last byte, so an answer
that arrives within the doubt window, which is longer, settles no call. Connections are reused only while the answers
of their destination take clearly longer than the window; else each call has a connection of its own.
"""

from __future__ import annotations

import threading
import time
from collections import deque
from dataclasses import dataclass, field

from juniperward.forwarder.stray_answers import report_stray_bytes

# An endpoint reads a call that has arrived within this time.
MAX_READING_S = 0.01
# A stray answer that crosses a call arrives at most a round trip after the call's last byte; a round trip may take
# this many times as long as that of connecting.
ROUND_TRIP_VARIATION = 2.0
RECENT_ANSWERS = 32
MIN_ANSWERS = 8
# Connections are reused although this number of the recent answers was fast, such as rejections.
FAST_ANSWERS_ALLOWED = 2
# Connections are reused while the doubt window is at most this fraction of the time of a fast answer.
MAX_WINDOW_FRACTION = 0.5
# Where answers are slow, the doubt window is this fraction of the time of a fast one.
WINDOW_FRACTION = 0.125
# Behind an answer in doubt, the call's own one is awaited for this many times the time of the slowest recent answer.
PATIENCE_FACTOR = 1.5
# Connections to a destination are not reused for this time after one of its endpoints sent a stray answer.
STRAY_PAUSE_S = 300.0


@dataclass(frozen=True, slots=True)
class DoubtWindow:
    """The times of answers on a reused connection, in seconds after the last byte of the call.

    Attributes:
        length_s: An answer that arrives earlier may have been caused by an earlier call.
        patience_s: How long the call's own answer is awaited after an answer in doubt.

    """

    length_s: float
    patience_s: float


@dataclass(slots=True)
class _AnswerTimes:
    """The times of a destination's recent answers; `fast_s` is 0 until MIN_ANSWERS are known."""

    recent_s: deque[float] = field(default_factory=lambda: deque(maxlen=RECENT_ANSWERS))
    fast_s: float = 0.0
    slowest_s: float = 0.0
    paused_until: float = 0.0

    def add(self, seconds: float) -> None:
        self.recent_s.append(seconds)
        if len(self.recent_s) >= MIN_ANSWERS:
            by_time = sorted(self.recent_s)
            self.fast_s = by_time[FAST_ANSWERS_ALLOWED if len(by_time) == RECENT_ANSWERS else 0]
            self.slowest_s = by_time[-1]


class ConnectionReuse:
    """The times of the recent answers of each destination, and their stray answers; safe to call from any thread."""

    def __init__(self) -> None:
        """Know nothing of any destination, so that no connection is reused yet."""
        self._lock = threading.Lock()
        self._destinations: dict[int, _AnswerTimes] = {}

    def add_answer(self, destination: int, seconds: float) -> None:
        """Add the time of an answer, from the last byte of its call to the first byte of the answer."""
        with self._lock:
            self._destinations.setdefault(destination, _AnswerTimes()).add(seconds)

    def report_stray_bytes(self, destination: int, when: str, address: tuple[str, int]) -> None:
        """Stop the reuse of connections to a destination for a while, as one of its endpoints sent stray bytes."""
        report_stray_bytes(when, address)
        with self._lock:
            times = self._destinations.setdefault(destination, _AnswerTimes())
            times.paused_until = time.monotonic() + STRAY_PAUSE_S

    def window(self, destination: int, round_trip_s: float = 0.0) -> DoubtWindow | None:
        """Return the doubt window of a connection that may be reused, None if it may not.

        `round_trip_s` is the time that it took to connect.
        """
        times = self._destinations.get(destination)
        crossing_s = MAX_READING_S + ROUND_TRIP_VARIATION * round_trip_s
        if times is None or MAX_WINDOW_FRACTION * times.fast_s < crossing_s:
            return None
        if time.monotonic() < times.paused_until:
            return None
        return DoubtWindow(max(crossing_s, WINDOW_FRACTION * times.fast_s), PATIENCE_FACTOR * times.slowest_s)
