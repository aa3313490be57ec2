"""What a run came to: each message is counted once, at its last end."""

from __future__ import annotations

from typing import Any

from juniperward.simulation.model import Message, RunResult

MICROSECONDS = 1e6
LEAST_SPAN_S = 1e-9


class Accounts:
    """Counts messages and their worth by the traffic's aim and deadline."""

    def __init__(self, traffic: Any) -> None:
        """Begin with none."""
        self.result = RunResult()
        self._traffic = traffic
        self._open: dict[int, Message] = {}  # without a last end; nothing is kept of the others
        self._seconds: dict[int, list[float]] = {}
        self._worth = 0.0

    def asked(self, partner: int, now: float) -> Message:
        """Count a message that a client has; return it."""
        self.result.asked += 1
        message = self._open[self.result.asked] = Message(self.result.asked, partner, now)
        self._seconds.setdefault(int(now), [0.0, 0.0])[0] += 1.0
        return message

    def over(self, message: Message) -> None:
        """Count a message that has its last end, and let go of it."""
        del self._open[message.number]
        result = self.result
        worth, why = 0.0, message.ended or "no end"
        if message.done_at is not None:
            took_s = message.done_at - message.first
            worth, why = self._worth_after(took_s), "late"
            result.latencies.record_value(max(int(took_s * MICROSECONDS), 1))
        if worth < 1.0:
            result.lost[why] = result.lost.get(why, 0.0) + 1.0 - worth
        result.delivered += message.done_at is not None
        result.failed += message.ended == "failed"
        result.refused += message.ended.startswith("refused")
        result.unended += not message.ended
        self._worth += worth
        self._seconds[int(message.first)][1] += worth

    def _worth_after(self, took_s: float) -> float:
        """Return the worth of a delivery: whole up to the aim, falling until the deadline."""
        traffic = self._traffic
        span_s = max(traffic.deadline - traffic.aim, LEAST_SPAN_S)
        late = max(took_s - traffic.aim, 0.0) / span_s
        return float(1.0 - min(late, 1.0) * (1.0 - traffic.late_worth))

    def sum_up(self) -> RunResult:
        """Count what has no end, and return the result."""
        for message in list(self._open.values()):
            self.over(message)
        result = self.result
        result.worth = self._worth / result.asked if result.asked else 1.0
        result.lost = {why: lost / max(result.asked, 1) for why, lost in sorted(result.lost.items())}
        result.by_second = [(asked, worth) for _, (asked, worth) in sorted(self._seconds.items())]
        return result
