"""What a run came to: each message is counted once, at its last end."""

from __future__ import annotations

from typing import Any

from juniperward.simulation.model import Message, RunResult
from juniperward.simulation.scenario import objective_of

MICROSECONDS = 1e6


class Accounts:
    """Counts messages and the utility of their deliveries by the traffic's latency objective and deadline.

    Called by the world: `asked` when a client has a message, `over` at its last end, `sum_up` once at the end.
    """

    def __init__(self, traffic: Any) -> None:
        """Begin with none; `traffic` is the scenario's traffic message."""
        self.result = RunResult()
        self._objective = objective_of(traffic)
        self._open: dict[int, Message] = {}  # without a last end; nothing is kept of the others
        self._seconds: dict[int, list[float]] = {}
        self._utility = 0.0  # summed over the messages that have their last end

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
        utility, why = 0.0, message.ended or "no end"
        if message.done_at is not None:
            took_s = message.done_at - message.first
            utility, why = self._objective.utility_after(took_s), "late"
            result.latencies.record_value(max(int(took_s * MICROSECONDS), 1))
        if utility < 1.0:
            result.lost[why] = result.lost.get(why, 0.0) + 1.0 - utility
        result.delivered += message.done_at is not None
        result.failed += message.ended == "failed"
        result.refused += message.ended.startswith("refused")
        result.unended += not message.ended
        self._utility += utility
        self._seconds[int(message.first)][1] += utility

    def sum_up(self) -> RunResult:
        """Count what has no end, and return the result."""
        for message in list(self._open.values()):
            self.over(message)
        result = self.result
        result.worth = self._utility / result.asked if result.asked else 1.0
        result.lost = {why: lost / max(result.asked, 1) for why, lost in sorted(result.lost.items())}
        result.by_second = [(asked, utility) for _, (asked, utility) in sorted(self._seconds.items())]
        return result
