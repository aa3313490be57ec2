"""Deficit round robin, limits on slots, batching, rate limits and the expiry of idle state."""

from __future__ import annotations

import pytest

from juniperward.scheduler.actions import CancelAttempt, StartAttempt
from juniperward.scheduler.events import EndpointEntry, Outcome
from juniperward.scheduler.settings import DestinationKind, MessageClass
from tests.helpers import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    WITH_IDEMPOTENCY_KEY,
    SchedulerDriver,
    attempted,
    rejected,
    settings,
)


def test_destinations_share_free_slots_round_robin() -> None:
    driver = SchedulerDriver(settings(IDEMPOTENT, slots=4))
    driver.arrive(destination=3, count=4)
    assert len(driver.sent_at) == 3
    for destination in (1, 2):
        driver.arrive(destination=destination, count=6)
    served = {1: 0, 2: 0}
    for _ in range(8):
        driver.run(0.1)
        oldest = min(
            (sent_at, message)
            for (message, _), sent_at in driver.sent_at.items()
            if message in driver.messages and driver.messages[message].in_flight
        )[1]
        for message in attempted(driver.finish_attempt(oldest)):
            if message > 4:
                served[driver.messages[message].destination.id] += 1
    assert min(served.values()) >= 2 and abs(served[1] - served[2]) <= 2


def test_a_slow_destination_is_served_less_often() -> None:
    driver = SchedulerDriver(settings(IDEMPOTENT, slots=2))
    latencies_s = {1: 0.2, 2: 2.0}
    for destination, latency_s in latencies_s.items():
        for _ in range(30):
            driver.arrive(destination=destination)
            driver.run(latency_s)
            driver.finish_attempt(driver.last_message_id)
    driver.arrive(destination=1, count=60)
    driver.arrive(destination=2, count=60)
    start, served = driver.now, {1: 0, 2: 0}
    while driver.now < start + 8.0:
        driver.run(0.1)
        for message in driver.in_flight():
            destination = driver.messages[message].destination.id
            attempt = driver.attempts[message] - 1
            if driver.now - driver.sent_at[message, attempt] >= latencies_s[destination] - 1e-6:
                served[destination] += 1
                driver.finish_attempt(message)
    assert served[1] > 3 * served[2] > 0


def test_emptied_queues_leave_the_ring_with_a_zero_deficit() -> None:
    driver = SchedulerDriver()
    driver.arrive(destination=1)
    assert not driver.scheduler.state.backlog.ring
    assert driver.destination(1).deficit_s == 0.0


@pytest.mark.parametrize(("slots", "slots_of_healthy"), [(2, 1), (3, 2), (8, 6), (20, 15)])
def test_a_healthy_destination_fills_three_quarters_of_the_slots(slots: int, slots_of_healthy: int) -> None:
    driver = SchedulerDriver(settings(IDEMPOTENT, slots=slots))
    assert len(attempted(driver.arrive(count=40))) == slots_of_healthy
    assert len(attempted(driver.arrive(destination=2))) == 1


def test_a_rejection_sets_a_rate_limit_that_grows_and_is_dropped() -> None:
    driver = SchedulerDriver(settings(IDEMPOTENT, slots=40))
    for _ in range(10):
        driver.arrive()
        driver.run(0.05)
        driver.finish_attempt(driver.last_message_id)
        driver.run(0.05)
    route = driver.route(1)
    assert route.rate_limit_per_s is None
    driver.arrive()
    driver.run(0.05)
    driver.finish_attempt(driver.last_message_id, Outcome.OVERLOADED)
    assert route.rate_limit_per_s == pytest.approx(5.0, abs=1.0)  # half the rate of the last second
    first_limit = route.rate_limit_per_s
    driver.handle()
    driver.arrive(count=20)
    driver.run(0.3)
    driver.finish_attempt(driver.in_flight()[0])
    assert route.rate_limit_per_s == first_limit
    driver.run(1.05)
    assert route.rate_limit_per_s is not None and route.rate_limit_per_s == pytest.approx(first_limit + 1.0)
    for message in driver.in_flight():
        driver.finish_attempt(message)
    for _ in range(60):  # an empty queue does not need the limit, which is then dropped
        driver.run(0.2)
        for message in driver.in_flight():
            driver.finish_attempt(message)
    assert route.rate_limit_per_s is None


def test_the_rate_limit_has_a_floor_and_is_cut_once_per_mean_latency() -> None:
    driver = SchedulerDriver(settings(IDEMPOTENT, slots=40, max_attempts=100))
    driver.arrive(count=3)
    driver.run(0.05)
    for message in (1, 2, 3):
        driver.finish_attempt(message, Outcome.OVERLOADED)
    route = driver.route(1)
    assert route.rate_limit_per_s == pytest.approx(1.5)
    for _ in range(20):
        driver.run(0.5)
        for message in driver.in_flight():
            driver.finish_attempt(message, Outcome.OVERLOADED)
    assert route.rate_limit_per_s == 1.0


def test_the_rate_limit_does_not_grow_while_nothing_is_delivered() -> None:
    # Guards against a limit that grows during a Retry-After and then lets the whole backlog through.
    driver = SchedulerDriver(settings(IDEMPOTENT, slots=40))
    driver.arrive(count=4)
    driver.run(0.05)
    driver.finish_attempt(1, Outcome.OVERLOADED, retry_after_s=9.0)
    driver.arrive(count=30)
    assert attempted(driver.run(8.9)) == []
    assert len(attempted(driver.run(0.3))) <= 1


def test_idle_state_is_dropped_after_a_minute() -> None:
    driver = SchedulerDriver()
    driver.arrive()
    driver.run(0.1)
    driver.finish_attempt(1)
    assert driver.destination(1).mean_latency_s is not None
    driver.run(59.0)
    assert driver.destination(1).mean_latency_s is not None
    driver.run(2.0)
    assert driver.destination(1).mean_latency_s is None
    assert attempted(driver.arrive()) == [2]


def test_a_full_scheduler_rejects_the_lowest_priority_weight_with_retry_after() -> None:
    low = MessageClass(latency_objective_s=4.0, deadline_s=20.0, priority_weight=1.0)
    high = MessageClass(latency_objective_s=4.0, deadline_s=20.0, priority_weight=5.0)
    driver = SchedulerDriver(settings(low, high, slots=2, max_open=20))
    driver.arrive(class_index=0, count=9, time_left_s=1.0)
    # Messages that did not execute are not given up before a fraction of their time.
    assert rejected(driver.arrive(class_index=1, count=10)) == []
    driver.run(0.71)
    given_up = rejected(driver.arrive(class_index=1, count=1))
    assert given_up and all(message <= 10 for message in given_up)


def test_a_batch_is_one_call_and_one_slot() -> None:
    driver = SchedulerDriver(
        settings(IDEMPOTENT, slots=2, kinds=(DestinationKind(batch_size=5),)), (EndpointEntry(10, 1),)
    )
    assert attempted(driver.arrive(count=7)) == [1, 2, 3, 4, 5]
    assert len(driver.scheduler.state.backlog.in_flight) == 1
    driver.run(0.1)
    for message in range(1, 5):
        assert attempted(driver.finish_attempt(message)) == []
    assert attempted(driver.finish_attempt(5)) == [6, 7]


def test_non_idempotent_messages_are_batched() -> None:
    # Guards against calls of one message each, which exceed a limit that counts calls.
    driver = SchedulerDriver(
        settings(NON_IDEMPOTENT, slots=2, kinds=(DestinationKind(batch_size=5),)), (EndpointEntry(10, 1),)
    )
    assert attempted(driver.arrive(count=7)) == [1, 2, 3, 4, 5]


def test_a_non_idempotent_message_is_not_retried_in_a_batch() -> None:
    driver = SchedulerDriver(
        settings(NON_IDEMPOTENT, slots=2, kinds=(DestinationKind(batch_size=5),)), (EndpointEntry(10, 1),)
    )
    driver.arrive(count=3)
    driver.finish_attempt(1, Outcome.RESET)
    driver.finish_attempt(2, Outcome.OVERLOADED)
    assert attempted(driver.finish_attempt(3, Outcome.OVERLOADED)) == [2, 3]
    assert 1 not in driver.messages


def test_a_message_close_to_its_deadline_is_not_batched() -> None:
    # Guards the other messages of a call, which ends at the earliest deadline of its messages.
    driver = SchedulerDriver(
        settings(IDEMPOTENT, slots=1, kinds=(DestinationKind(batch_size=5),)), (EndpointEntry(10, 1),)
    )
    driver.arrive()
    driver.arrive(time_left_s=0.9)
    driver.arrive(count=2, time_left_s=10.0)
    assert attempted(driver.finish_attempt(1)) == [2]
    shared = [a for a in driver.finish_attempt(2) if isinstance(a, StartAttempt)]
    assert [a.message for a in shared] == [3, 4]
    # The time left must also suffice if the call first waits for a connection.
    assert [a.start_within_s for a in shared] == [pytest.approx(9.0)] * 2


def test_messages_are_batched_up_to_the_body_limit() -> None:
    # Guards against a body over the limit of the protocol, for which the whole call is rejected.
    driver = SchedulerDriver(
        settings(IDEMPOTENT, slots=1, kinds=(DestinationKind(batch_size=5),), max_batch_bytes=100),
        (EndpointEntry(10, 1),),
    )
    driver.arrive()
    for size in (60, 50, 40, 120, 10):
        driver.arrive(batch_bytes=size)
    assert attempted(driver.finish_attempt(1)) == [2, 4]  # message 3 does not fit, message 4 does
    assert [attempted(driver.finish_attempt(m)) for m in (2, 4)] == [[], [3, 6]]
    # Message 5 exceeds the limit by itself and is sent alone.
    assert [attempted(driver.finish_attempt(m)) for m in (3, 6)] == [[], [5]]


def test_an_unbatched_message_does_not_block_batches() -> None:
    driver = SchedulerDriver(
        settings(IDEMPOTENT, slots=1, kinds=(DestinationKind(batch_size=5),)), (EndpointEntry(10, 1),)
    )
    driver.arrive()
    driver.arrive(time_left_s=3.0)
    driver.arrive(time_left_s=0.9)
    driver.arrive(count=2, time_left_s=3.0)
    assert attempted(driver.finish_attempt(1)) == [2, 4, 5]
    assert [attempted(driver.finish_attempt(m)) for m in (2, 4, 5)] == [[], [], [3]]


def test_a_slow_destination_fills_half_of_the_slots() -> None:
    driver = SchedulerDriver(settings(IDEMPOTENT, slots=8))
    for latency_s in [0.2] * 20 + [2.0] * 8:
        driver.arrive()
        driver.run(latency_s)
        driver.finish_attempt(driver.last_message_id)
    assert not driver.route(1).ejected
    assert len(attempted(driver.arrive(count=20))) == 4


def test_retry_after_outlasts_idle_state() -> None:
    driver = SchedulerDriver()
    driver.arrive()
    driver.run(0.1)
    driver.finish_attempt(1, Outcome.OVERLOADED, retry_after_s=90.0)
    driver.run(70.0)
    assert attempted(driver.arrive()) == []


def driver_with_batches(batch_size: int = 20) -> SchedulerDriver:
    """Return one of two forwarders; the listed rate of its destination is four calls per second."""
    config = settings(
        WITH_IDEMPOTENCY_KEY, kinds=(DestinationKind(batch_size=batch_size),), instances=2, rates_listed=True
    )
    return SchedulerDriver(config, (EndpointEntry(10, 1, listed_rate_per_s=4.0),))


def test_a_listed_rate_spaces_batches() -> None:
    # Guards a limit that counts calls, which calls of one message each would exceed.
    driver = driver_with_batches()
    driver.arrive()
    assert [attempted(driver.arrive()) for _ in range(3)] == [[], [], []]
    assert attempted(driver.run(0.3)) == []
    assert attempted(driver.run(0.2)) == [2, 3, 4]
    single = driver_with_batches(batch_size=1)
    single.arrive()
    assert attempted(single.arrive()) == [2]


def driver_with_single_calls(instances: int, listed_rate_per_s: float) -> SchedulerDriver:
    """Return one of many forwarders; its destination accepts one message per call."""
    config = settings(WITH_IDEMPOTENCY_KEY, instances=instances, rates_listed=True)
    return SchedulerDriver(config, (EndpointEntry(10, 1, listed_rate_per_s=listed_rate_per_s),))


def test_a_large_fleet_spaces_single_calls_by_the_quota_of_each_forwarder() -> None:
    # Guards the listed rate against simultaneous bursts of all forwarders; rejected calls count in it too.
    driver = driver_with_single_calls(10, 20.0)  # its quota is two calls per second
    assert attempted(driver.arrive(count=3)) == [1]
    assert attempted(driver.run(0.35)) == []
    assert attempted(driver.run(0.1)) == [2]


def test_a_quota_below_one_call_in_half_a_latency_objective_does_not_bind() -> None:
    # In a large fleet few forwarders call a destination at a time; a burst must not be spaced out.
    driver = driver_with_single_calls(200, 20.0)  # its quota is one call in 10 s, the latency objective 4 s
    assert attempted(driver.arrive(count=3)) == [1, 2, 3]


def test_a_forwarder_with_more_traffic_spaces_calls_by_its_own_rate_until_rejected() -> None:
    driver = driver_with_single_calls(10, 20.0)
    for _ in range(200):  # half of the listed rate
        driver.arrive()
        driver.run(0.1)
        for message in driver.in_flight():
            driver.finish_attempt(message)
    endpoint = driver.scheduler.state.table.endpoints[10]
    assert driver.scheduler.batching.call_spacing_s(endpoint) < 0.2
    driver.route(1).rate_limit_cut_at = driver.now
    assert driver.scheduler.batching.call_spacing_s(endpoint) == pytest.approx(0.4)


def test_possibly_executed_messages_are_batched() -> None:
    # Guards the deduplication window, which is too short for one call per message after a failed batch.
    driver = driver_with_batches()
    driver.arrive(count=5)
    for message in range(1, 6):
        driver.finish_attempt(message, Outcome.RESET)
    assert sorted(attempted(driver.run(1.0))) == [1, 2, 3, 4, 5]
    assert len({c.serial for c in driver.scheduler.state.backlog.in_flight.values()}) == 1


def test_one_idle_state_check_is_scheduled_for_each_destination() -> None:
    # Guards memory against a timer of a minute for each call.
    driver = SchedulerDriver()
    for _ in range(50):
        driver.arrive()
        driver.finish_attempt(driver.last_message_id)
    timers = driver.scheduler.state.round.timers
    assert len(timers.pending(driver.scheduler.idle_expiry.check_idle)) == 1


def driver_with_listed_rate(listed_rate_per_s: float, **changes: object) -> SchedulerDriver:
    """Return one of two forwarders; its destination has two endpoints and a listed rate."""
    config = settings(WITH_IDEMPOTENCY_KEY, instances=2, rates_listed=True, **changes)
    return SchedulerDriver(
        config, tuple(EndpointEntry(number, 1, listed_rate_per_s=listed_rate_per_s) for number in (10, 11))
    )


def test_a_rejection_cuts_the_rate_limit_to_no_less_than_a_fraction_of_the_quota() -> None:
    # Guards large destinations, where a single 503 of another cause must not stop nearly all calls.
    for listed_rate_per_s, rate_limit_per_s in ((400.0, 180.0), (0.0, 1.0)):
        driver = driver_with_listed_rate(listed_rate_per_s)
        driver.arrive()
        driver.finish_attempt(driver.last_message_id, Outcome.OVERLOADED)
        assert driver.route(1).rate_limit_per_s == pytest.approx(rate_limit_per_s)


def test_an_overtaken_call_is_cancelled_and_retried() -> None:
    # Guards the slot of a call whose connection is dead, and leaves its message time for a retry.
    driver = driver_with_listed_rate(0.0)
    lost = 2
    for _ in range(30):
        driver.arrive()
        driver.run(0.1)
        if driver.last_message_id != lost:
            driver.finish_attempt(driver.last_message_id)
    assert [a.message for _, a in driver.log if isinstance(a, CancelAttempt)] == [lost]
    assert not driver.route(1).ejected
    driver.finish_attempt(lost, Outcome.CANCELLED)
    assert attempted(driver.run(1.0)) == [lost]


def test_half_open_attempts_and_slow_start_follow_the_listed_quota() -> None:
    # Guards against trials and a slow start too rare for the listed rate of a large destination.
    def count_calls(listed_rate_per_s: float) -> tuple[int, int]:
        driver = driver_with_listed_rate(
            listed_rate_per_s,
            slow_start_capacity_fraction=0.2,
            overload_multiple=2.0,
            overload_span_s=3.0,
            slots=40,
        )
        driver.arrive(count=4)
        for message in range(1, 5):
            driver.finish_attempt(message, Outcome.CONNECT_FAILED)
        for _ in range(4):
            for message in attempted(driver.run(0.5)):
                driver.finish_attempt(message, Outcome.CONNECT_FAILED)
        assert driver.route(1).ejected
        counts = []
        for outcome in (Outcome.CONNECT_FAILED, Outcome.OK):
            attempts_before = sum(driver.attempts.values())
            for _ in range(300):
                for message in attempted(driver.arrive(time_left_s=60.0)) + attempted(driver.run(0.02)):
                    driver.finish_attempt(message, outcome)
            counts.append(sum(driver.attempts.values()) - attempts_before)
        return counts[0], counts[1]

    trials, slow_start_calls = count_calls(100.0)
    unlisted_trials, unlisted_slow_start_calls = count_calls(0.0)
    assert unlisted_trials <= 2 < trials <= 7
    # Two forwarders together must stay under the overload multiple of the listed rate.
    assert unlisted_slow_start_calls < 20 < slow_start_calls < 6 * 100.0 * 1.5 / 2


def test_a_rate_limit_counts_calls_and_not_messages() -> None:
    # Guards the throughput of a rate-limited destination with full batches.
    driver = driver_with_batches()
    driver.arrive()
    driver.finish_attempt(driver.last_message_id, Outcome.OVERLOADED)
    driver.arrive(count=200)
    sent = attempted(driver.run(5.0))
    call_count = len({at for at, action in driver.log if isinstance(action, StartAttempt)})
    assert 6 <= call_count <= 10 and len(sent) >= 120
