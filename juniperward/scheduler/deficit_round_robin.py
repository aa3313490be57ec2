"""Which destination goes next: cost-charged deficit round robin. The interface: events.py and actions.py."""

from juniperward.scheduler.batching import Batching
from juniperward.scheduler.outlier_detection import OutlierDetection
from juniperward.scheduler.records import Destination, Message
from juniperward.scheduler.retries import may_retry
from juniperward.scheduler.routing import Routing
from juniperward.scheduler.scheduler_part import SchedulerPart, SchedulerState


class DeficitRoundRobin(SchedulerPart):
    """Releases messages."""

    def __init__(
        self, state: SchedulerState, outliers: OutlierDetection, routing: Routing, batching: Batching
    ) -> None:
        """Release to the endpoints that routing chooses."""
        super().__init__(state)
        self._outliers, self._routing, self._batching = outliers, routing, batching

    def release(self) -> None:
        """Let destinations take turns until all slots are in use, or none of them may be called."""
        ring, blocked = self._backlog.ring, 0
        while blocked < len(ring):
            destination = ring.current
            head = destination.queue.head()
            if head is None:
                ring.drop_current(deficit_s=0.0)
            elif len(self._backlog.in_flight) >= self._settings.slots:
                self._outliers.free_a_slot()
                return
            elif not may_retry(head, self._now):  # rule 2 binds at every release, whatever else woke it
                self._routing.give_up(head)
            elif self._take_turn(destination, head):
                blocked = 0
            elif not destination.closed:
                blocked += 1

    def _take_turn(self, destination: Destination, head: Message) -> bool:
        """Release a message or pass the turn on; returns whether the destination may be called."""
        found = self._routing.choose(destination, head)
        quantum_s, most_s = self._latency.quantum_s, self._latency.max_objective_s
        if found is None and destination.closed:  # looked at again at its time or with news of it
            self._backlog.ring.drop_current(deficit_s=most_s + quantum_s)
        elif found is not None and destination.deficit_s > (cost_s := self._latency.expected_s(found[0])):
            destination.deficit_s -= cost_s
            self._batching.start(*found)
        else:
            self._backlog.ring.advance(quantum_s, most_s)
        return found is not None
