"""Deficit round robin over destinations, charged by slot time (interface: events.py and actions.py)."""

from juniperward.scheduler.batching import Batching
from juniperward.scheduler.overdue_calls import OverdueCalls
from juniperward.scheduler.records import Destination, Message
from juniperward.scheduler.retries import may_retry
from juniperward.scheduler.routing import Routing
from juniperward.scheduler.scheduler_part import SchedulerPart, SchedulerState


class DeficitRoundRobin(SchedulerPart):
    """Sends messages of one destination after the other, as far as the deficit counter of each allows."""

    def __init__(
        self, state: SchedulerState, overdue_calls: OverdueCalls, routing: Routing, batching: Batching
    ) -> None:
        """Send calls that batching builds to the endpoints that routing chooses."""
        super().__init__(state)
        self._overdue_calls = overdue_calls
        self._routing = routing
        self._batching = batching

    def release(self) -> None:
        """Send messages until all slots are in use or no destination on the ring may be called."""
        ring = self._backlog.ring
        consecutive_blocked = 0
        while consecutive_blocked < len(ring):
            destination = ring.current
            head = destination.queue.head()
            if head is None:
                ring.drop_current(deficit_s=0.0)
            elif len(self._backlog.in_flight) >= self._settings.slots:
                self._overdue_calls.free_slot()
                return
            elif not may_retry(head, self._now):
                # The deduplication window may have ended while the message was queued.
                self._routing.give_up(head)
            elif self._serve(destination, head):
                consecutive_blocked = 0
            elif not destination.unavailable:
                consecutive_blocked += 1

    def _serve(self, destination: Destination, head: Message) -> bool:
        """Send a message or advance the ring; return whether the destination may be called."""
        ring = self._backlog.ring
        latency = self._latency
        choice = self._routing.choose(destination, head)
        if choice is None and destination.unavailable:
            # A timer or an event puts the destination back on the ring.
            ring.drop_current(deficit_s=latency.max_objective_s + latency.quantum_s)
            return False
        if choice is not None:
            cost_s = latency.expected_s(choice.message)
            if destination.deficit_s > cost_s:
                destination.deficit_s -= cost_s
                self._batching.start(choice.message, choice.endpoint)
                return True
        ring.advance(latency.quantum_s, latency.max_objective_s)
        return choice is not None
