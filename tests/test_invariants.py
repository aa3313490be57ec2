"""The guarantees that the scheduler must keep in every situation, each with its own tests."""

from __future__ import annotations

import math

import pytest

from juniperward.scheduler.actions import StartAttempt
from juniperward.scheduler.events import EndpointEntry, Outcome, PastAttempt
from juniperward.scheduler.settings import DeduplicationScope, DestinationKind, Idempotency, MessageClass
from tests.helpers import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    ORDERED,
    WITH_IDEMPOTENCY_KEY,
    Node,
    attempted,
    draining_endpoint,
    failed,
    rejected,
    settings,
)


def zone_scoped_node() -> Node:
    """A node whose class deduplicates per zone; endpoint 10 is in zone 0 and endpoint 11 in zone 1."""
    zone_keyed = MessageClass(
        latency_objective_s=4.0,
        deadline_s=20.0,
        idempotency=Idempotency.IDEMPOTENCY_KEY,
        deduplication_window_s=5.0,
        deduplication_scope=DeduplicationScope.ZONE,
    )
    return Node(settings(zone_keyed), (EndpointEntry(10, 1, zone=0), EndpointEntry(11, 1, zone=1)))


def test_a_pending_message_is_answered_before_its_deadline() -> None:
    node = Node(endpoints=())
    node.arrive(destination=9)
    actions = node.run(20.02)
    assert rejected(actions) == [1]
    assert node.run(60.0) == []


def test_a_message_in_flight_at_its_deadline_is_failed_within_the_slack() -> None:
    node = Node(settings(NON_IDEMPOTENT))
    assert attempted(node.arrive()) == [1]
    actions = node.run(20.02)
    assert failed(actions) == [1] and rejected(actions) == []


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_a_possibly_executed_non_idempotent_message_is_failed_and_never_retried(outcome: Outcome) -> None:
    node = Node(settings(NON_IDEMPOTENT))
    node.arrive()
    node.run(0.1)
    actions = node.finish_attempt(1, outcome) + node.run(20.0)
    assert failed(actions) == [1] and attempted(actions) == [] and rejected(actions) == []


@pytest.mark.parametrize("outcome", [Outcome.OVERLOADED, Outcome.CONNECT_FAILED])
def test_an_unexecuted_non_idempotent_message_is_retried(outcome: Outcome) -> None:
    node = Node(settings(NON_IDEMPOTENT))
    node.arrive()
    node.run(0.1)
    assert attempted(node.finish_attempt(1, outcome) + node.run(5.0)) == [1]


def test_a_message_with_an_idempotency_key_is_not_retried_past_its_window() -> None:
    node = Node(settings(WITH_IDEMPOTENCY_KEY))
    node.arrive()
    node.run(4.9)
    actions = node.finish_attempt(1, Outcome.TIMEOUT) + node.run(20.0)
    assert all(at < 105.0 for at in node.sent_at.values())
    assert failed(actions) == [1]


def test_an_attempt_with_an_idempotency_key_has_a_start_deadline() -> None:
    # Guards against a retry that waits for a new connection and is sent after the deduplication window.
    node = Node(settings(WITH_IDEMPOTENCY_KEY, NON_IDEMPOTENT))
    assert [a.start_within_s for a in node.arrive() if isinstance(a, StartAttempt)] == [math.inf]
    node.run(4.0)
    retries = [
        a for a in node.finish_attempt(1, Outcome.RESET) + node.run(0.9) if isinstance(a, StartAttempt)
    ]
    assert len(retries) == 1
    assert node.sent_at[1, 1] + retries[0].start_within_s == pytest.approx(105.0, abs=0.03)
    assert [a.start_within_s for a in node.arrive(class_index=1) if isinstance(a, StartAttempt)] == [math.inf]


def test_a_deduplication_window_is_kept_when_its_timer_fires_early_by_rounding() -> None:
    # Guards against a timer that fires a rounding error before the end of the window and has no effect.
    node = Node(settings(WITH_IDEMPOTENCY_KEY, slots=2))
    node.arrive(destination=1)
    node.run(0.01)
    node.handle(*[])
    node.finish_attempt(1, Outcome.ERROR)
    node.update_endpoints(draining_endpoint(10, 1))
    node.run(6.0)
    node.update_endpoints(EndpointEntry(11, 1))
    assert node.attempts[1] == 1 or max(node.sent_at.values()) < 105.0
    assert attempted(node.run(14.0)) == []


def test_a_zone_scoped_retry_stays_in_its_zone() -> None:
    node = zone_scoped_node()
    node.arrive()
    first_endpoint = node.endpoint[1, 0]
    node.run(0.05)
    node.finish_attempt(1, Outcome.ERROR)
    node.run(2.0)
    assert node.endpoint[1, 1] == first_endpoint
    node.finish_attempt(1, Outcome.ERROR)
    actions = node.run(8.0)
    assert {node.endpoint[1, n] for n in range(node.attempts[1])} == {first_endpoint}
    assert rejected(actions) == []


def test_after_a_restart_a_zone_scoped_message_with_unlisted_endpoint_is_not_retried() -> None:
    # Guards against a retry in zone 0 when the endpoint of the earlier attempt is no longer listed.
    node = zone_scoped_node()
    node.arrive(history=(PastAttempt(0, 99.0),))
    assert (attempted(node.run(8.0)), len(failed([a for _, a in node.log]))) == ([], 1)
    # A listed endpoint among the earlier attempts determines the zone.
    node.arrive(history=(PastAttempt(0, node.now - 2.0), PastAttempt(11, node.now - 1.0)))
    assert node.endpoint[2, 0] == 11


def test_a_draining_endpoint_gets_no_attempts() -> None:
    node = Node(endpoints=(EndpointEntry(10, 1), EndpointEntry(11, 1)))
    node.update_endpoints(draining_endpoint(10, 1))
    node.arrive(count=6)
    assert set(node.endpoint.values()) == {11}
    node.update_endpoints(draining_endpoint(11, 1))
    assert attempted(node.arrive(count=3)) == []


def test_a_recovering_destination_is_not_overloaded() -> None:
    node = Node(settings(IDEMPOTENT, slots=40))
    for _ in range(40):  # 4 deliveries per second
        node.arrive()
        node.run(0.05)
        node.finish_attempt(node.last_message_id)
        node.run(0.2)
    for _ in range(6):
        node.arrive()
        node.run(0.05)
        for message in node.in_flight():
            node.finish_attempt(message, Outcome.ERROR)
    node.arrive(count=60)
    attempts_before = len(node.sent_at)
    answered = set()
    recovers_at = node.now + 6.0
    while node.now < recovers_at + 4.0:
        for (message, attempt), at in sorted(node.sent_at.items()):
            is_latest = attempt == node.attempts[message] - 1
            if (message, attempt) not in answered and at <= node.now - 0.05 and is_latest:
                answered.add((message, attempt))
                if message in node.messages and node.messages[message].in_flight:
                    node.finish_attempt(message, Outcome.OK if node.now >= recovers_at else Outcome.ERROR)
        node.run(0.05)
    times = [at for at in list(node.sent_at.values())[attempts_before:] if at >= recovers_at]
    assert times
    # In 2 s, 1.5 x a capacity fraction that rises from 0.25 to 0.55 x 4 calls per second is 3 to 6 calls.
    for start in times:
        assert sum(1 for at in times if start <= at < start + 2.0) <= 5
    assert len(times) < 15


def test_messages_of_a_key_are_sent_one_at_a_time_with_a_cooldown() -> None:
    node = Node(settings(ORDERED, key_cooldown_s=0.3))
    node.arrive(ordering_key="a")
    assert attempted(node.arrive(ordering_key="a")) == []
    assert attempted(node.arrive(ordering_key="b")) == [3]
    node.run(0.1)
    assert attempted(node.finish_attempt(1)) == [2]
    node.arrive(ordering_key="a")
    node.run(0.1)
    node.finish_attempt(2, Outcome.TIMEOUT, message_ended=True)
    assert attempted(node.run(0.29)) == []
    assert attempted(node.run(0.02)) == [4]


def test_retry_after_delays_every_message_of_the_destination() -> None:
    node = Node()
    node.arrive()
    node.run(0.1)
    node.finish_attempt(1, Outcome.OVERLOADED, retry_after_s=1.9)  # longer than the wait by the rate limit
    assert attempted(node.arrive(count=3) + node.run(1.89)) == []
    assert attempted(node.arrive(destination=2)) != []
    assert attempted(node.run(1.0)) != []


def test_with_separate_routes_retry_after_delays_its_route_only() -> None:
    node = Node(
        settings(kinds=(DestinationKind(separate_routes=True),)), (EndpointEntry(10, 1), EndpointEntry(11, 1))
    )
    node.arrive()
    first_endpoint = node.endpoint[1, 0]
    node.run(0.1)
    node.finish_attempt(1, Outcome.OVERLOADED, retry_after_s=5.0)
    node.run(0.5)
    node.arrive(count=2)
    later_endpoints = {endpoint for key, endpoint in node.endpoint.items() if key != (1, 0)}
    assert later_endpoints and first_endpoint not in later_endpoints
