"""What a run came to: each message is counted once, when it ends for its client."""

from __future__ import annotations

from juniperward.simulation.model import Message, MessageOutcome, RunResult, SecondUtility
from juniperward.simulation.objective import DeliveryObjective

MICROSECONDS = 1e6
LATE = "late"  # the reason, in stored results, of utility lost by a delivery past its latency objective


class Accounts:
    """Counts messages and the utility of their deliveries by the clients' objective.

    Called by clients and forwarders: `open` when a client has a message, `close` when it has ended, `sum_up` once at
    the run's end.
    """

    def __init__(self, objective: DeliveryObjective) -> None:
        """Begin with no message."""
        self.result = RunResult()
        self._objective = objective
        self._open: dict[int, Message] = {}  # by number; ended messages are not retained
        self._seconds: dict[int, SecondUtility] = {}
        self._utility = 0.0  # summed over the ended messages

    def open(self, destination: int, now: float) -> Message:
        """Count a message that a client has; return it."""
        self.result.requested += 1
        number = self.result.requested
        message = Message(number, destination, now)
        self._open[number] = message
        self._add_to_second(message, requested=1.0, utility=0.0)
        return message

    def close(self, message: Message) -> None:
        """Count a message that has ended."""
        del self._open[message.number]
        self._count(message)
        utility, reason = 0.0, message.outcome.value
        if message.delivered_s is not None:
            utility, reason = self._utility_of_delivery(message.delivered_s - message.arrived_s), LATE
        if utility < 1.0:
            lost = self.result.utility_lost
            lost[reason] = lost.get(reason, 0.0) + 1.0 - utility
        self._utility += utility
        self._add_to_second(message, requested=0.0, utility=utility)

    def _count(self, message: Message) -> None:
        result = self.result
        result.delivered += message.delivered_s is not None
        result.failed += message.outcome is MessageOutcome.FAILED
        result.rejected += message.outcome.rejected
        result.unfinished += message.outcome is MessageOutcome.UNFINISHED

    def _utility_of_delivery(self, latency_s: float) -> float:
        self.result.latencies_us.record_value(max(int(latency_s * MICROSECONDS), 1))
        return self._objective.utility_after(latency_s)

    def _add_to_second(self, message: Message, requested: float, utility: float) -> None:
        second = int(message.arrived_s)
        sums = self._seconds.get(second, SecondUtility(0.0, 0.0))
        self._seconds[second] = SecondUtility(sums.requested + requested, sums.utility + utility)

    def sum_up(self) -> RunResult:
        """Count what has not ended, and return the result."""
        for message in list(self._open.values()):
            self.close(message)
        result = self.result
        result.utility = self._utility / result.requested if result.requested else 1.0
        messages = max(result.requested, 1)
        result.utility_lost = {
            reason: lost / messages for reason, lost in sorted(result.utility_lost.items())
        }
        result.by_second = [sums for _, sums in sorted(self._seconds.items())]
        return result
