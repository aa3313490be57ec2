"""The ordinary path: deficit round robin and its charges, the slot cap, the rate limit, idle state."""

from __future__ import annotations

import pytest

from juniperward.scheduler.actions import CancelAttempt, StartAttempt
from juniperward.scheduler.events import EndpointEntry, Outcome
from juniperward.scheduler.settings import DestinationKind, MessageClass
from tests.helpers import KEYED, ONCE, SAFE, Node, attempted, rejected, settings


def test_destinations_share_free_slots_round_robin() -> None:
    node = Node(settings(SAFE, slots=4))
    node.arrive(destination=3, count=4)  # fills three slots
    assert len(node.sent_at) == 3
    for d in (1, 2):
        node.arrive(destination=d, count=6)
    served = {1: 0, 2: 0}
    for _ in range(8):
        node.run(0.1)
        oldest = min(
            (at, m)
            for (m, n), at in node.sent_at.items()
            if m in node.messages and node.messages[m].in_flight
        )[1]
        for m in attempted(node.finish_attempt(oldest)):
            if m > 4:
                served[node.messages[m].destination.id] += 1
    assert min(served.values()) >= 2 and abs(served[1] - served[2]) <= 2


def test_a_costly_destination_gets_fewer_turns() -> None:
    node = Node(settings(SAFE, slots=2))
    for d, latency in ((1, 0.2), (2, 2.0)):
        for _ in range(30):
            node.arrive(destination=d)
            node.run(latency)
            node.finish_attempt(node.last_message_id)
    node.arrive(destination=1, count=60)
    node.arrive(destination=2, count=60)
    start, served = node.now, {1: 0, 2: 0}
    while node.now < start + 8.0:
        node.run(0.1)
        for m in node.in_flight():
            d = node.messages[m].destination.id
            n = node.attempts[m] - 1
            if node.now - node.sent_at[m, n] >= (0.2 if d == 1 else 2.0) - 1e-6:
                served[d] += 1
                node.finish_attempt(m)
    assert served[1] > 3 * served[2] > 0


def test_emptied_queues_leave_the_ring_with_a_zero_deficit() -> None:
    node = Node()
    node.arrive(destination=1)
    assert not node.scheduler.state.backlog.ring
    assert node.destination(1).deficit_s == 0.0


@pytest.mark.parametrize(("slots", "healthy"), [(2, 1), (3, 2), (8, 6), (20, 15)])
def test_a_healthy_destination_fills_three_quarters_of_the_slots(slots: int, healthy: int) -> None:
    node = Node(settings(SAFE, slots=slots))
    assert len(attempted(node.arrive(count=40))) == healthy
    assert len(attempted(node.arrive(destination=2))) == 1


def test_the_rate_limit_over_its_lifetime() -> None:
    node = Node(settings(SAFE, slots=40))
    for _ in range(10):
        node.arrive()
        node.run(0.05)
        node.finish_attempt(node.last_message_id)
        node.run(0.05)
    route = node.route(1)
    assert route.rate_limit is None
    node.arrive()
    node.run(0.05)
    node.finish_attempt(node.last_message_id, Outcome.OVERLOADED)
    assert route.rate_limit == pytest.approx(5.0, abs=1.0)  # half the last second's calls
    before = route.rate_limit
    node.handle()
    node.arrive(count=20)
    node.run(0.3)
    out = node.in_flight()
    node.finish_attempt(out[0])
    assert route.rate_limit == before
    node.run(1.05)
    assert route.rate_limit is not None and route.rate_limit == pytest.approx(before + 1.0)
    for m in node.in_flight():
        node.finish_attempt(m)
    for _ in range(60):  # nothing held any more: the pace no longer binds and is dropped
        node.run(0.2)
        for m in node.in_flight():
            node.finish_attempt(m)
    assert route.rate_limit is None


def test_the_rate_limit_has_a_floor_and_is_cut_once_per_mean_latency() -> None:
    node = Node(settings(SAFE, slots=40, max_attempts=100))
    node.arrive(count=3)
    node.run(0.05)
    for m in (1, 2, 3):
        node.finish_attempt(m, Outcome.OVERLOADED)
    route = node.route(1)
    assert route.rate_limit == pytest.approx(1.5)
    for _ in range(20):
        node.run(0.5)
        for m in node.in_flight():
            node.finish_attempt(m, Outcome.OVERLOADED)
    assert route.rate_limit == 1.0


def test_the_rate_limit_does_not_grow_while_nothing_is_delivered() -> None:
    # Seen on a bench day: a shut destination told its wait, the pace opened meanwhile, and the whole
    # backlog met its return.
    node = Node(settings(SAFE, slots=40))
    node.arrive(count=4)
    node.run(0.05)
    node.finish_attempt(1, Outcome.OVERLOADED, retry_after_s=9.0)
    node.arrive(count=30)
    assert attempted(node.run(8.9)) == []
    assert len(attempted(node.run(0.3))) <= 1


def test_idle_state_is_dropped_after_a_minute() -> None:
    node = Node()
    node.arrive()
    node.run(0.1)
    node.finish_attempt(1)
    assert node.destination(1).mean_latency_s is not None
    node.run(59.0)
    assert node.destination(1).mean_latency_s is not None
    node.run(2.0)
    assert node.destination(1).mean_latency_s is None
    assert attempted(node.arrive()) == [2]


def test_a_full_node_rejects_the_lowest_priority_weight_with_retry_after() -> None:
    low = MessageClass(latency_objective_s=4.0, deadline_s=20.0, priority_weight=1.0)
    high = MessageClass(latency_objective_s=4.0, deadline_s=20.0, priority_weight=5.0)
    node = Node(settings(low, high, slots=2, max_open=20))
    node.arrive(class_index=0, count=9, time_left_s=1.0)
    assert rejected(node.arrive(class_index=1, count=10)) == []  # none that has not run is given up so early
    node.run(0.71)
    seen = node.arrive(class_index=1, count=1)
    assert rejected(seen) and all(m <= 10 for m in rejected(seen))


def test_a_batch_is_one_call_and_one_slot() -> None:
    node = Node(settings(SAFE, slots=2, kinds=(DestinationKind(batch_size=5),)), (EndpointEntry(10, 1),))
    assert attempted(node.arrive(count=7)) == [1, 2, 3, 4, 5]
    assert len(node.scheduler.state.backlog.in_flight) == 1
    node.run(0.1)
    for m in range(1, 5):
        assert attempted(node.finish_attempt(m)) == []
    assert attempted(node.finish_attempt(5)) == [6, 7]


def test_non_idempotent_messages_are_batched() -> None:
    # Guards a limit that counts calls: with one message in each, three of four were refused.
    node = Node(settings(ONCE, slots=2, kinds=(DestinationKind(batch_size=5),)), (EndpointEntry(10, 1),))
    assert attempted(node.arrive(count=7)) == [1, 2, 3, 4, 5]


def test_a_non_idempotent_message_is_not_retried_in_a_batch() -> None:
    node = Node(settings(ONCE, slots=2, kinds=(DestinationKind(batch_size=5),)), (EndpointEntry(10, 1),))
    node.arrive(count=3)
    node.finish_attempt(1, Outcome.RESET)
    node.finish_attempt(2, Outcome.OVERLOADED)
    assert attempted(node.finish_attempt(3, Outcome.OVERLOADED)) == [2, 3]
    assert 1 not in node.messages


def test_a_message_close_to_its_deadline_is_not_batched() -> None:
    # Guards the others: a call ends at the time of any of its messages, and 33 of 39 lost their attempt so.
    node = Node(settings(SAFE, slots=1, kinds=(DestinationKind(batch_size=5),)), (EndpointEntry(10, 1),))
    node.arrive()
    node.arrive(time_left_s=0.9)
    node.arrive(count=2, time_left_s=10.0)
    assert attempted(node.finish_attempt(1)) == [2]
    shared = [a for a in node.finish_attempt(2) if isinstance(a, StartAttempt)]
    assert [a.message for a in shared] == [3, 4]
    # Behind a connection that comes up late a message of a shared call has to have that time as well.
    assert [a.start_within_s for a in shared] == [pytest.approx(9.0)] * 2


def test_messages_are_batched_up_to_the_body_limit() -> None:
    # Guards large messages: a call is refused whole whose body is over what the protocol allows.
    node = Node(
        settings(SAFE, slots=1, kinds=(DestinationKind(batch_size=5),), max_batch_bytes=100),
        (EndpointEntry(10, 1),),
    )
    node.arrive()
    for size in (60, 50, 40, 120, 10):
        node.arrive(batch_bytes=size)
    assert attempted(node.finish_attempt(1)) == [2, 4]  # the next that fits, also behind one that does not
    assert [attempted(node.finish_attempt(m)) for m in (2, 4)] == [[], [3, 6]]
    assert [attempted(node.finish_attempt(m)) for m in (3, 6)] == [
        [],
        [5],
    ]  # one that is too large for any goes alone


def test_an_unbatched_message_does_not_block_batches() -> None:
    node = Node(settings(SAFE, slots=1, kinds=(DestinationKind(batch_size=5),)), (EndpointEntry(10, 1),))
    node.arrive()
    node.arrive(time_left_s=3.0)
    node.arrive(time_left_s=0.9)
    node.arrive(count=2, time_left_s=3.0)
    assert attempted(node.finish_attempt(1)) == [2, 4, 5]
    assert [attempted(node.finish_attempt(m)) for m in (2, 4, 5)] == [[], [], [3]]


def test_a_slow_destination_fills_half_of_the_slots() -> None:
    node = Node(settings(SAFE, slots=8))
    for latency in [0.2] * 20 + [2.0] * 8:
        node.arrive()
        node.run(latency)
        node.finish_attempt(node.last_message_id)
    assert not node.route(1).ejected
    assert len(attempted(node.arrive(count=20))) == 4


def test_retry_after_outlasts_idle_state() -> None:
    node = Node()
    node.arrive()
    node.run(0.1)
    node.finish_attempt(1, Outcome.OVERLOADED, retry_after_s=90.0)
    node.run(70.0)
    assert attempted(node.arrive()) == []


def gathering(batch: int = 20) -> Node:
    """One destination that takes four calls a second from two senders."""
    config = settings(KEYED, kinds=(DestinationKind(batch_size=batch),), instances=2, rates_listed=True)
    return Node(config, (EndpointEntry(10, 1, listed_rate=4.0),))


def test_a_listed_rate_spaces_batches() -> None:
    # Guards the limit, which counts calls: one for each message was refused, and then all waited.
    node = gathering()
    node.arrive()
    assert [attempted(node.arrive()) for _ in range(3)] == [[], [], []]
    assert attempted(node.run(0.3)) == []
    assert attempted(node.run(0.2)) == [2, 3, 4]
    single = gathering(batch=1)
    single.arrive()
    assert attempted(single.arrive()) == [2]


def spaced(instances: int, rating: float) -> Node:
    """One of many senders; its destination takes one message in a call."""
    return Node(
        settings(KEYED, instances=instances, rates_listed=True), (EndpointEntry(10, 1, listed_rate=rating),)
    )


def test_many_nodes_space_single_calls_by_their_quota_of_the_listed_rate() -> None:
    # Guards the limit, which refused calls use up as well: bursts of all senders were refused 15 times in 100.
    node = spaced(10, 20.0)  # its share is two calls a second
    assert attempted(node.arrive(count=3)) == [1]
    assert attempted(node.run(0.35)) == []
    assert attempted(node.run(0.1)) == [2]


def test_a_quota_below_one_call_in_half_a_latency_objective_does_not_bind() -> None:
    # Guards large fleets: chance, not a share, decides there who calls; a clump must not go call by call.
    node = spaced(200, 20.0)  # a call in 10 s; the aim is 4 s
    assert attempted(node.arrive(count=3)) == [1, 2, 3]


def test_a_node_with_more_traffic_spaces_by_its_fraction_until_rejected() -> None:
    node = spaced(10, 20.0)
    for _ in range(200):  # half of what the destination takes came here
        node.arrive()
        node.run(0.1)
        for message in node.in_flight():
            node.finish_attempt(message)
    endpoint = node.scheduler.state.table.endpoints[10]
    assert node.scheduler.batching.spacing(endpoint) < 0.2
    node.route(1).rate_limit_cut_at = node.now
    assert node.scheduler.batching.spacing(endpoint) == pytest.approx(0.4)


def test_possibly_executed_messages_are_batched() -> None:
    # Guards the repeat window: after a spoilt answer to many, one call each lasted longer than that.
    node = gathering()
    node.arrive(count=5)
    for message in range(1, 6):
        node.finish_attempt(message, Outcome.RESET)
    assert sorted(attempted(node.run(1.0))) == [1, 2, 3, 4, 5]
    assert len({c.serial for c in node.scheduler.state.backlog.in_flight.values()}) == 1


def test_one_idle_state_check_is_scheduled_for_each_destination() -> None:
    # Guards memory: a timer of a minute for each call stood by the thousand.
    node = Node()
    for _ in range(50):
        node.arrive()
        node.finish_attempt(node.last_message_id)
    timers = node.scheduler.state.round.timers
    assert len(timers.pending(node.scheduler.idle_expiry.check_idle)) == 1


def listed(rating: float, **changes: object) -> Node:
    """Two senders' one destination, with two endpoints and a listed rate."""
    config = settings(KEYED, instances=2, rates_listed=True, **changes)
    return Node(config, tuple(EndpointEntry(n, 1, listed_rate=rating) for n in (10, 11)))


def test_a_rejection_cuts_the_rate_limit_to_no_less_than_a_fraction_of_the_quota() -> None:
    # Guards large destinations: a 503 of another cause left 4 of 240 calls a second.
    for rating, pace in ((400.0, 180.0), (0.0, 1.0)):
        node = listed(rating)
        node.arrive()
        node.finish_attempt(node.last_message_id, Outcome.OVERLOADED)
        assert node.route(1).rate_limit == pytest.approx(pace)


def test_an_overtaken_call_is_cancelled_and_retried() -> None:
    # Guards the slots: a connection that falls silent held one until its message's end, and then failed it.
    node = listed(0.0)
    lost = 2
    for _ in range(30):
        node.arrive()
        node.run(0.1)
        if node.last_message_id != lost:
            node.finish_attempt(node.last_message_id)
    assert [a.message for _, a in node.log if isinstance(a, CancelAttempt)] == [lost]
    assert not node.route(1).ejected
    node.finish_attempt(lost, Outcome.CANCELLED)
    assert attempted(node.run(1.0)) == [lost]


def test_half_open_attempts_and_slow_start_follow_the_listed_quota() -> None:
    # Guards the return of large destinations: a trial each 3 s, then as many calls as were delivered lately.
    def calls(rating: float) -> tuple[int, int]:
        node = listed(
            rating, slow_start_capacity_fraction=0.2, overload_multiple=2.0, overload_span_s=3.0, slots=40
        )
        node.arrive(count=4)
        for message in range(1, 5):
            node.finish_attempt(message, Outcome.CONNECT_FAILED)
        for _ in range(4):
            for message in attempted(node.run(0.5)):
                node.finish_attempt(message, Outcome.CONNECT_FAILED)
        assert node.route(1).ejected
        counted = []
        for outcome in (Outcome.CONNECT_FAILED, Outcome.OK):
            before = sum(node.attempts.values())
            for _ in range(300):
                for message in attempted(node.arrive(time_left_s=60.0)) + attempted(node.run(0.02)):
                    node.finish_attempt(message, outcome)
            counted.append(sum(node.attempts.values()) - before)
        return counted[0], counted[1]

    (trials, warming), (few, slow) = calls(100.0), calls(0.0)
    assert few <= 2 < trials <= 7
    assert slow < 20 < warming < 6 * 100.0 * 1.5 / 2  # rule 4 leaves twice of what both send


def test_a_rate_limit_counts_calls_and_not_messages() -> None:
    # Guards a paced destination of full calls: each was charged as nearly six, and the queue grew.
    node = gathering()
    node.arrive()
    node.finish_attempt(node.last_message_id, Outcome.OVERLOADED)
    node.arrive(count=200)
    sent = node.run(5.0)
    calls = len({at for at, a in node.log if isinstance(a, StartAttempt)})
    assert 6 <= calls <= 10 and len(attempted(sent)) >= 120
