"""Statistics of a run: each message is counted once, when its outcome for the client is known."""

from __future__ import annotations

from juniperward.simulation.model import Message, MessageOutcome, RunResult, SecondUtility
from juniperward.simulation.objective import DeliveryObjective

MICROSECONDS_PER_S = 1e6
LATE_REASON = "late"  # The key, in stored results, of the utility lost by late deliveries.


class Accounts:
    """Counts messages by outcome and adds up the utility of their deliveries.

    Clients and forwarders call `open` when a message is created and `close` when its outcome is known. The
    world calls `finalize` once, at the end of the run.
    """

    def __init__(self, objective: DeliveryObjective) -> None:
        """Start with empty statistics; `objective` gives the utility of a delivery by its latency."""
        self.result = RunResult()
        self._objective = objective
        self._open: dict[int, Message] = {}  # The open messages by number.
        self._seconds: dict[int, SecondUtility] = {}
        self._total_utility = 0.0

    def open(self, destination: int, now: float) -> Message:
        """Create and count a new message for `destination`; `now` is its arrival time."""
        self.result.requested += 1
        number = self.result.requested
        message = Message(number, destination, now)
        self._open[number] = message
        self._add_to_second(message, requested=1.0, utility=0.0)
        return message

    def close(self, message: Message) -> None:
        """Count `message` by its outcome, and add the utility of its delivery."""
        del self._open[message.number]
        self._count(message)
        utility, reason = 0.0, message.outcome.value
        if message.delivered_s is not None:
            utility, reason = self._utility_of_delivery(message.delivered_s - message.arrived_s), LATE_REASON
        if utility < 1.0:
            lost = self.result.utility_lost
            lost[reason] = lost.get(reason, 0.0) + 1.0 - utility
        self._total_utility += utility
        self._add_to_second(message, requested=0.0, utility=utility)

    def _count(self, message: Message) -> None:
        result = self.result
        result.delivered += message.delivered_s is not None
        result.failed += message.outcome is MessageOutcome.FAILED
        result.rejected += message.outcome.rejected
        result.unfinished += message.outcome is MessageOutcome.UNFINISHED

    def _utility_of_delivery(self, latency_s: float) -> float:
        self.result.latencies_us.record_value(max(int(latency_s * MICROSECONDS_PER_S), 1))
        return self._objective.utility_after(latency_s)

    def _add_to_second(self, message: Message, requested: float, utility: float) -> None:
        second = int(message.arrived_s)
        sums = self._seconds.get(second, SecondUtility(0.0, 0.0))
        self._seconds[second] = SecondUtility(sums.requested + requested, sums.utility + utility)

    def finalize(self) -> RunResult:
        """Close the messages that are still open, and return the result of the run."""
        for message in list(self._open.values()):
            self.close(message)
        result = self.result
        result.utility = self._total_utility / result.requested if result.requested else 1.0
        messages = max(result.requested, 1)
        result.utility_lost = {
            reason: lost / messages for reason, lost in sorted(result.utility_lost.items())
        }
        result.by_second = [sums for _, sums in sorted(self._seconds.items())]
        return result
