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
    SchedulerDriver,
    attempted,
    draining_endpoint,
    failed,
    rejected,
    settings,
)


def zone_scoped_driver() -> SchedulerDriver:
    """Return a driver with deduplication per zone; endpoint 10 is in zone 0 and endpoint 11 in zone 1."""
    zone_keyed = MessageClass(
        latency_objective_s=4.0,
        deadline_s=20.0,
        idempotency=Idempotency.IDEMPOTENCY_KEY,
        deduplication_window_s=5.0,
        deduplication_scope=DeduplicationScope.ZONE,
    )
    return SchedulerDriver(settings(zone_keyed), (EndpointEntry(10, 1, zone=0), EndpointEntry(11, 1, zone=1)))


def test_a_pending_message_is_answered_before_its_deadline() -> None:
    driver = SchedulerDriver(endpoints=())
    driver.arrive(destination=9)
    actions = driver.run(20.02)
    assert rejected(actions) == [1]
    assert driver.run(60.0) == []


def test_a_message_in_flight_at_its_deadline_is_failed_within_the_slack() -> None:
    driver = SchedulerDriver(settings(NON_IDEMPOTENT))
    assert attempted(driver.arrive()) == [1]
    actions = driver.run(20.02)
    assert failed(actions) == [1] and rejected(actions) == []


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_a_possibly_executed_non_idempotent_message_is_failed_and_never_retried(outcome: Outcome) -> None:
    driver = SchedulerDriver(settings(NON_IDEMPOTENT))
    driver.arrive()
    driver.run(0.1)
    actions = driver.finish_attempt(1, outcome) + driver.run(20.0)
    assert failed(actions) == [1] and attempted(actions) == [] and rejected(actions) == []


@pytest.mark.parametrize("outcome", [Outcome.OVERLOADED, Outcome.CONNECT_FAILED])
def test_an_unexecuted_non_idempotent_message_is_retried(outcome: Outcome) -> None:
    driver = SchedulerDriver(settings(NON_IDEMPOTENT))
    driver.arrive()
    driver.run(0.1)
    assert attempted(driver.finish_attempt(1, outcome) + driver.run(5.0)) == [1]


def test_a_message_with_an_idempotency_key_is_not_retried_past_its_window() -> None:
    driver = SchedulerDriver(settings(WITH_IDEMPOTENCY_KEY))
    driver.arrive()
    driver.run(4.9)
    actions = driver.finish_attempt(1, Outcome.TIMEOUT) + driver.run(20.0)
    assert all(at < 105.0 for at in driver.sent_at.values())
    assert failed(actions) == [1]


def test_an_attempt_with_an_idempotency_key_has_a_start_deadline() -> None:
    # Guards against a retry that waits for a new connection and is sent after the deduplication window.
    driver = SchedulerDriver(settings(WITH_IDEMPOTENCY_KEY, NON_IDEMPOTENT))
    assert [a.start_within_s for a in driver.arrive() if isinstance(a, StartAttempt)] == [math.inf]
    driver.run(4.0)
    retries = [
        a for a in driver.finish_attempt(1, Outcome.RESET) + driver.run(0.9) if isinstance(a, StartAttempt)
    ]
    assert len(retries) == 1
    assert driver.sent_at[1, 1] + retries[0].start_within_s == pytest.approx(105.0, abs=0.03)
    assert [a.start_within_s for a in driver.arrive(class_index=1) if isinstance(a, StartAttempt)] == [
        math.inf
    ]


def test_a_deduplication_window_is_kept_when_its_timer_fires_early_by_rounding() -> None:
    # Guards against a timer that fires a rounding error before the end of the window and has no effect.
    driver = SchedulerDriver(settings(WITH_IDEMPOTENCY_KEY, slots=2))
    driver.arrive(destination=1)
    driver.run(0.01)
    driver.handle(*[])
    driver.finish_attempt(1, Outcome.ERROR)
    driver.update_endpoints(draining_endpoint(10, 1))
    driver.run(6.0)
    driver.update_endpoints(EndpointEntry(11, 1))
    assert driver.attempts[1] == 1 or max(driver.sent_at.values()) < 105.0
    assert attempted(driver.run(14.0)) == []


def test_a_zone_scoped_retry_stays_in_its_zone() -> None:
    driver = zone_scoped_driver()
    driver.arrive()
    first_endpoint = driver.endpoint[1, 0]
    driver.run(0.05)
    driver.finish_attempt(1, Outcome.ERROR)
    driver.run(2.0)
    assert driver.endpoint[1, 1] == first_endpoint
    driver.finish_attempt(1, Outcome.ERROR)
    actions = driver.run(8.0)
    assert {driver.endpoint[1, n] for n in range(driver.attempts[1])} == {first_endpoint}
    assert rejected(actions) == []


def test_after_a_restart_a_zone_scoped_message_with_unlisted_endpoint_is_not_retried() -> None:
    # Guards against a retry in zone 0 when the endpoint of the earlier attempt is no longer listed.
    driver = zone_scoped_driver()
    driver.arrive(history=(PastAttempt(0, 99.0),))
    assert (attempted(driver.run(8.0)), len(failed([a for _, a in driver.log]))) == ([], 1)
    # A listed endpoint among the earlier attempts determines the zone.
    driver.arrive(history=(PastAttempt(0, driver.now - 2.0), PastAttempt(11, driver.now - 1.0)))
    assert driver.endpoint[2, 0] == 11


def test_a_draining_endpoint_gets_no_attempts() -> None:
    driver = SchedulerDriver(endpoints=(EndpointEntry(10, 1), EndpointEntry(11, 1)))
    driver.update_endpoints(draining_endpoint(10, 1))
    driver.arrive(count=6)
    assert set(driver.endpoint.values()) == {11}
    driver.update_endpoints(draining_endpoint(11, 1))
    assert attempted(driver.arrive(count=3)) == []


def test_a_recovering_destination_is_not_overloaded() -> None:
    driver = SchedulerDriver(settings(IDEMPOTENT, slots=40))
    for _ in range(40):  # 4 deliveries per second
        driver.arrive()
        driver.run(0.05)
        driver.finish_attempt(driver.last_message_id)
        driver.run(0.2)
    for _ in range(6):
        driver.arrive()
        driver.run(0.05)
        for message in driver.in_flight():
            driver.finish_attempt(message, Outcome.ERROR)
    driver.arrive(count=60)
    attempts_before = len(driver.sent_at)
    answered = set()
    recovers_at = driver.now + 6.0
    while driver.now < recovers_at + 4.0:
        for (message, attempt), at in sorted(driver.sent_at.items()):
            is_latest = attempt == driver.attempts[message] - 1
            if (message, attempt) not in answered and at <= driver.now - 0.05 and is_latest:
                answered.add((message, attempt))
                if message in driver.messages and driver.messages[message].in_flight:
                    driver.finish_attempt(message, Outcome.OK if driver.now >= recovers_at else Outcome.ERROR)
        driver.run(0.05)
    times = [at for at in list(driver.sent_at.values())[attempts_before:] if at >= recovers_at]
    assert times
    # In 2 s, 1.5 x a capacity fraction that rises from 0.25 to 0.55 x 4 calls per second is 3 to 6 calls.
    for start in times:
        assert sum(1 for at in times if start <= at < start + 2.0) <= 5
    assert len(times) < 15


def test_messages_of_a_key_are_sent_one_at_a_time_with_a_cooldown() -> None:
    driver = SchedulerDriver(settings(ORDERED, key_cooldown_s=0.3))
    driver.arrive(ordering_key="a")
    assert attempted(driver.arrive(ordering_key="a")) == []
    assert attempted(driver.arrive(ordering_key="b")) == [3]
    driver.run(0.1)
    assert attempted(driver.finish_attempt(1)) == [2]
    driver.arrive(ordering_key="a")
    driver.run(0.1)
    driver.finish_attempt(2, Outcome.TIMEOUT, message_ended=True)
    assert attempted(driver.run(0.29)) == []
    assert attempted(driver.run(0.02)) == [4]


def test_retry_after_delays_every_message_of_the_destination() -> None:
    driver = SchedulerDriver()
    driver.arrive()
    driver.run(0.1)
    driver.finish_attempt(1, Outcome.OVERLOADED, retry_after_s=1.9)  # longer than the wait by the rate limit
    assert attempted(driver.arrive(count=3) + driver.run(1.89)) == []
    assert attempted(driver.arrive(destination=2)) != []
    assert attempted(driver.run(1.0)) != []


def test_with_separate_routes_retry_after_delays_its_route_only() -> None:
    driver = SchedulerDriver(
        settings(kinds=(DestinationKind(separate_routes=True),)), (EndpointEntry(10, 1), EndpointEntry(11, 1))
    )
    driver.arrive()
    first_endpoint = driver.endpoint[1, 0]
    driver.run(0.1)
    driver.finish_attempt(1, Outcome.OVERLOADED, retry_after_s=5.0)
    driver.run(0.5)
    driver.arrive(count=2)
    later_endpoints = {endpoint for key, endpoint in driver.endpoint.items() if key != (1, 0)}
    assert later_endpoints and first_endpoint not in later_endpoints
