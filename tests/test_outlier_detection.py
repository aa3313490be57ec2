"""Outlier detection, trials, rate limits and connections in the scheduler, in fleets of various sizes."""

from __future__ import annotations

import math
import random

from juniperward.scheduler.actions import CancelAttempt, CloseIdleConnections, PollEndpointList, StartAttempt
from juniperward.scheduler.events import EndpointEntry, EndpointListUpdated, ListScope, Outcome
from tests.helpers import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    ORDERED,
    WITH_IDEMPOTENCY_KEY,
    SchedulerDriver,
    attempted,
    failed,
    rejected,
    settings,
)


def deliver(driver: SchedulerDriver, destination: int, latency: float = 0.2, count: int = 10) -> None:
    for _ in range(count):
        driver.arrive(destination=destination)
        driver.run(latency)
        driver.finish_attempt(driver.last_message_id)


def cancelled_messages(driver: SchedulerDriver) -> list[int]:
    return [action.message for _, action in driver.log if isinstance(action, CancelAttempt)]


def test_unresponsive_destinations_do_not_occupy_all_slots() -> None:
    # A few calls to each of many unresponsive destinations must not hold all slots until their deadlines.
    endpoints = tuple(EndpointEntry(10 * number, number) for number in range(1, 7))
    driver = SchedulerDriver(settings(IDEMPOTENT, slots=4), endpoints)
    for destination in range(1, 7):
        deliver(driver, destination)
    for destination in range(1, 5):
        driver.arrive(destination=destination)
    driver.arrive(destination=5)
    assert len(driver.scheduler.state.backlog.in_flight) == 4 and cancelled_messages(driver) == []
    driver.run(1.2)
    assert len(cancelled_messages(driver)) >= 1
    cancelled_message = cancelled_messages(driver)[0]
    started = attempted(driver.finish_attempt(cancelled_message, Outcome.CANCELLED))
    assert 5 in {driver.messages[message].destination.id for message in started}


def test_a_slow_message_is_not_cancelled_where_others_are_answered() -> None:
    driver = SchedulerDriver(settings(IDEMPOTENT, slots=3), (EndpointEntry(10, 1), EndpointEntry(20, 2)))
    deliver(driver, 1)
    deliver(driver, 2)
    driver.arrive(destination=1)
    slow_message = driver.last_message_id
    driver.arrive(destination=1)
    driver.run(0.2)
    driver.finish_attempt(driver.last_message_id)
    driver.arrive(destination=2, count=4)
    driver.run(3.0)
    assert len(driver.scheduler.state.backlog.in_flight) == 3 and slow_message not in cancelled_messages(
        driver
    )


def test_one_overdue_call_allows_one_more_attempt_at_a_time() -> None:
    driver = SchedulerDriver(settings(IDEMPOTENT, slots=20))
    deliver(driver, 1)
    driver.run(0.05)
    driver.arrive()
    driver.run(1.5)
    assert len(attempted(driver.arrive(count=5))) == 1
    driver.run(0.2)
    assert (
        len(attempted(driver.finish_attempt(driver.last_message_id - 4))) == 4
    )  # the destination has answered


def test_several_unresponsive_calls_lead_to_spaced_trials() -> None:
    driver = SchedulerDriver(settings(IDEMPOTENT, slots=20))
    deliver(driver, 1, count=20)
    driver.arrive(count=3)
    driver.run(1.2)
    assert driver.route(1).ejected
    driver.arrive(count=20)
    assert len(attempted(driver.run(6.0))) <= 3


def test_an_answer_from_before_the_outage_is_no_recovery() -> None:
    # A late answer must not start the slow start while the destination is still down.
    driver = SchedulerDriver(settings(IDEMPOTENT, slots=20))
    driver.arrive(count=3)
    driver.run(0.1)
    driver.finish_attempt(1, Outcome.OVERLOADED, retry_after_s=8.0)
    assert driver.route(1).ejected
    driver.finish_attempt(2)
    assert driver.route(1).ejected


def test_fewer_than_half_failing_is_no_outage() -> None:
    driver = SchedulerDriver(settings(IDEMPOTENT, slots=20))
    for index in range(30):
        driver.arrive()
        driver.run(0.1)
        driver.finish_attempt(driver.last_message_id, Outcome.ERROR if index % 5 in (0, 2) else Outcome.OK)
    assert not driver.route(1).ejected


def test_the_rate_before_the_outage_does_not_decay_before_detection() -> None:
    driver = SchedulerDriver(settings(IDEMPOTENT, slots=40))
    for _ in range(60):  # four calls a second
        driver.arrive()
        driver.run(0.25)
        driver.finish_attempt(driver.last_message_id)
    driver.arrive(count=4)
    driver.run(3.5)
    route = driver.route(1)
    assert route.ejected and 3.0 < route.rate_before_outage_per_s < 4.5


def test_a_rate_limit_takes_over_at_the_end_of_the_slow_start() -> None:
    driver = SchedulerDriver(settings(IDEMPOTENT, slots=100, warm_up_s=3.0))
    deliver(driver, 1, count=20)
    driver.arrive(count=3)
    driver.run(1.5)
    driver.arrive(count=100)
    for _ in range(200):
        driver.run(0.05)
        for message in driver.in_flight():
            if driver.now - driver.sent_at[message, driver.attempts[message] - 1] > 0.04:
                driver.finish_attempt(message)
        if driver.route(1).rate_limit_per_s is not None:
            break
    route = driver.route(1)
    assert (
        route.slow_start_since is None
        and route.rate_limit_per_s is not None
        and len(driver.destination(1).queue) > 0
    )


def test_a_quick_error_is_charged_the_normal_cost_and_changes_no_mean() -> None:
    driver = SchedulerDriver()
    deliver(driver, 1, latency=1.0)
    destination = driver.destination(1)
    mean_latency_s, initial_deficit_s = destination.mean_latency_s, destination.deficit_s
    driver.arrive()
    driver.run(0.01)
    deficit_s = destination.deficit_s
    driver.finish_attempt(driver.last_message_id, Outcome.ERROR)
    assert (
        destination.mean_latency_s == mean_latency_s
        and destination.deficit_s <= deficit_s
        and initial_deficit_s == 0.0
    )


def test_a_full_connection_table_is_no_outage_and_is_not_dialled_again_immediately() -> None:
    driver = SchedulerDriver(settings(IDEMPOTENT, slots=40))
    deliver(driver, 1)
    driver.arrive(count=8)
    driver.run(0.1)
    for message in range(driver.last_message_id - 3, driver.last_message_id + 1):
        driver.finish_attempt(message, Outcome.CONNECT_FAILED)
    assert not driver.route(1).ejected
    assert len(attempted(driver.run(0.3))) == 0  # all open connections are in use
    assert len(attempted(driver.finish_attempt(driver.last_message_id - 7) + driver.run(0.3))) == 1


def test_a_non_idempotent_message_is_not_used_for_a_trial() -> None:
    driver = SchedulerDriver(settings(NON_IDEMPOTENT, IDEMPOTENT, slots=20))
    deliver(driver, 1)
    for _ in range(4):
        driver.arrive(class_index=1)
        driver.run(0.05)
        driver.finish_attempt(driver.last_message_id, Outcome.ERROR)
    assert driver.route(1).ejected
    driver.arrive(class_index=0)
    non_idempotent = driver.last_message_id
    driver.arrive(class_index=1, count=3)
    trials = attempted(driver.run(5.0))
    assert trials and non_idempotent not in trials


def test_the_endpoint_list_is_polled_again_after_a_failure() -> None:
    driver = SchedulerDriver(settings(endpoints_polled=True))
    assert [action for _, action in driver.log if isinstance(action, PollEndpointList)] == [
        PollEndpointList()
    ]
    driver.handle(EndpointListUpdated(ListScope.FAILED))
    assert any(isinstance(action, PollEndpointList) for action in driver.run(1.0))


def test_a_pending_ordered_key_does_not_block_its_destination() -> None:
    driver = SchedulerDriver(settings(ORDERED))
    driver.arrive(ordering_key="a", count=3)
    assert attempted(driver.arrive(ordering_key="b")) == [4]


def test_the_same_events_give_the_same_actions() -> None:
    logs = []
    for _ in range(2):
        driver = SchedulerDriver(settings(IDEMPOTENT, WITH_IDEMPOTENCY_KEY, slots=6))
        for index in range(40):
            driver.arrive(destination=1 + index % 3, class_index=index % 2)
            driver.run(0.07)
            for message in driver.in_flight()[:2]:
                driver.finish_attempt(message, Outcome.OK if index % 4 else Outcome.TIMEOUT)
        logs.append(driver.log)
    assert logs[0] == logs[1]


def test_a_call_cancelled_as_unresponsive_is_evidence_of_an_outage() -> None:
    # A cancelled call no longer counts as overdue, but must still mark its destination unresponsive.
    driver = SchedulerDriver(
        settings(IDEMPOTENT, slots=2), (EndpointEntry(10, 1), EndpointEntry(20, 2), EndpointEntry(30, 3))
    )
    for destination in (1, 2, 3):
        deliver(driver, destination)
    driver.run(0.05)
    for destination in (1, 2, 3):
        driver.arrive(destination=destination)
    driver.run(1.3)
    cancelled_message = cancelled_messages(driver)[0]
    assert driver.messages[cancelled_message].destination.shared_route.ejected


def test_trials_of_ejected_destinations_leave_slots_to_others() -> None:
    endpoints = tuple(EndpointEntry(10 * number, number) for number in range(1, 8))
    driver = SchedulerDriver(settings(IDEMPOTENT, slots=8), endpoints)
    for destination in range(1, 7):
        for _ in range(4):
            driver.arrive(destination=destination)
            driver.run(0.02)
            driver.finish_attempt(driver.last_message_id, Outcome.RESET)
        assert driver.route(destination).ejected
    driver.run(3.0)
    assert len(driver.scheduler.state.backlog.in_flight) <= 2
    assert len(attempted(driver.arrive(destination=7, count=6))) == 6


def test_late_answers_do_not_hide_the_next_unresponsive_period() -> None:
    # Late answers must not raise the mean latency so far that the next unresponsive period goes undetected.
    driver = SchedulerDriver(settings(IDEMPOTENT, slots=40))
    deliver(driver, 1)
    driver.arrive(count=12)
    driver.run(9.0)
    for message in driver.in_flight():
        driver.finish_attempt(message)
    assert not driver.route(1).ejected
    driver.run(13.0)
    driver.arrive(count=4)
    driver.run(4.5)
    assert driver.route(1).ejected


def closed_endpoints(driver: SchedulerDriver) -> list[int]:
    return [action.endpoint for _, action in driver.log if isinstance(action, CloseIdleConnections)]


def test_many_forwarders_together_keep_idle_connections_as_long_as_one_forwarder() -> None:
    # Idle connections of a large fleet must not fill the connection table of an endpoint.
    driver = SchedulerDriver(settings(IDEMPOTENT, slots=3, keepalive_s=10.0, instances=50))
    deliver(driver, 1, count=1)
    driver.run(0.19)
    assert closed_endpoints(driver) == []
    deliver(driver, 1, count=1)  # a new call restarts the idle timeout
    driver.run(0.19)
    assert closed_endpoints(driver) == []
    driver.run(0.02)
    assert closed_endpoints(driver) == [10]


def test_a_full_connection_table_is_no_outage_and_halves_the_idle_timeout() -> None:
    driver = SchedulerDriver(settings(WITH_IDEMPOTENCY_KEY, slots=3, keepalive_s=10.0, instances=50))
    driver.arrive()
    for _ in range(3):
        driver.finish_attempt(driver.last_message_id, Outcome.CONNECT_FAILED, connection_table_full=True)
        assert driver.attempts[driver.last_message_id] < 4 and not driver.route(1).ejected
        driver.run(0.45)  # the message is sent again within a fifth of a second
    assert (
        driver.attempts[driver.last_message_id] == 4
        and not driver.scheduler.state.table.endpoints[10].unhealthy
    )
    driver.finish_attempt(driver.last_message_id)
    closed_count = len(closed_endpoints(driver))
    driver.run(0.03)  # the timeout of 0.2 s is halved three times, and raised by a tenth with the answer
    assert len(closed_endpoints(driver)) == closed_count + 1


def create_fleet(count: int, listed_rate_per_s: float) -> list[SchedulerDriver]:
    """Return forwarders that share a destination with a listed rate and have 20 messages each."""
    config = settings(WITH_IDEMPOTENCY_KEY, slots=6, instances=count, rates_listed=True, max_attempts=100)
    drivers = [
        SchedulerDriver(config, (EndpointEntry(10, 1, listed_rate_per_s=listed_rate_per_s),))
        for _ in range(count)
    ]
    for index, driver in enumerate(drivers):
        driver.random.seed(index)
        driver.arrive(count=20)
    return drivers


def simulate_load(drivers: list[SchedulerDriver], duration_s: float, limit_per_s: float) -> tuple[int, int]:
    """Return the calls that a destination accepts and rejects; rejected calls count against its limit too."""
    accepted_count = rejected_count = 0
    capacity = limit_per_s
    for _ in range(round(duration_s * 10)):
        capacity = min(limit_per_s, capacity + limit_per_s / 10)
        for driver in drivers:
            driver.run(0.1)
            for message in driver.in_flight():
                overloaded = capacity < 1.0
                capacity = max(capacity - 1.0, -limit_per_s / 2)
                driver.finish_attempt(message, Outcome.OVERLOADED if overloaded else Outcome.OK)
                accepted_count += not overloaded
                rejected_count += overloaded
            driver.arrive(count=max(0, 20 - driver.scheduler.state.backlog.open_count))
    return accepted_count, rejected_count


def test_many_forwarders_adapt_to_a_limit_lowered_to_a_third_and_use_it_fully() -> None:
    # Forwarders that stay near their quotas of the listed rate exceed a lowered limit for too long.
    drivers = create_fleet(40, 80.0)
    simulate_load(drivers, 10.0, 80.0)
    simulate_load(drivers, 2.0, 27.0)  # the time to adapt
    accepted_count, rejected_count = simulate_load(drivers, 6.0, 27.0)
    assert rejected_count < 6 * 27 and accepted_count > 0.3 * 6 * 27
    simulate_load(drivers, 6.0, 80.0)
    accepted_count, rejected_count = simulate_load(drivers, 6.0, 80.0)
    assert accepted_count > 0.75 * 6 * 80 and rejected_count < 0.2 * accepted_count


def test_a_quota_below_one_call_a_second_is_spread_over_time() -> None:
    drivers = create_fleet(40, 8.0)
    simulate_load(drivers, 10.0, 8.0)
    accepted_count, rejected_count = simulate_load(drivers, 20.0, 8.0)
    assert accepted_count + rejected_count < 1.5 * 20 * 8 and accepted_count > 0.35 * 20 * 8


def test_one_rejection_in_a_large_fleet_is_no_outage_but_many_in_a_row_are() -> None:
    # A first call may meet a limit that other forwarders have exhausted, which must not eject the route.
    driver = SchedulerDriver(
        settings(WITH_IDEMPOTENCY_KEY, instances=40, rates_listed=True, max_attempts=100),
        (EndpointEntry(10, 1, listed_rate_per_s=80.0),),
    )
    driver.arrive(time_left_s=1000.0)
    for _ in range(7):
        driver.finish_attempt(1, Outcome.OVERLOADED)
        assert not driver.route(1).ejected
        while not driver.messages[1].in_flight:
            driver.run(1.0)
    driver.finish_attempt(1, Outcome.OVERLOADED)
    assert driver.route(1).ejected


def test_an_endpoint_with_fewer_connections_than_forwarders_serves_all_of_them() -> None:
    # Idle connections must be closed, so that other forwarders find space in the connection table.
    table_size, rng = 13, random.Random(3)
    config = settings(
        WITH_IDEMPOTENCY_KEY, slots=6, instances=40, rates_listed=True, keepalive_s=10.0, max_attempts=8
    )
    drivers = [SchedulerDriver(config, (EndpointEntry(10, 1, listed_rate_per_s=200.0),)) for _ in range(40)]
    idle_connections, log_positions = [0] * 40, [0] * 40
    calls_in_flight: list[tuple[float, int, int]] = []  # when answered, forwarder, message
    arrived_at: dict[tuple[int, int], float] = {}
    in_time_count = arrival_count = 0
    for step in range(2000):
        now = 100.0 + step / 100
        for index, driver in enumerate(drivers):
            driver.run(max(0.0, now - driver.now))
            for call in [call for call in calls_in_flight if call[1] == index and call[0] <= now]:
                calls_in_flight.remove(call)
                idle_connections[index] += 1
                in_time_count += now - arrived_at[index, call[2]] <= 3.0
                driver.finish_attempt(call[2])
            if rng.random() < 0.02:
                driver.arrive()
                arrived_at[index, driver.last_message_id], arrival_count = now, arrival_count + 1
            while log_positions[index] < len(driver.log):
                action = driver.log[log_positions[index]][1]
                log_positions[index] += 1
                if isinstance(action, CloseIdleConnections):
                    idle_connections[index] = 0
                elif isinstance(action, StartAttempt) and (
                    idle_connections[index] or len(calls_in_flight) + sum(idle_connections) < table_size
                ):
                    idle_connections[index] -= idle_connections[index] > 0
                    calls_in_flight.append((now + 0.05, index, action.message))
                elif isinstance(action, StartAttempt):
                    driver.finish_attempt(action.message, Outcome.CONNECT_FAILED, connection_table_full=True)
    assert arrival_count > 1400 and in_time_count > 0.95 * arrival_count


def test_many_forwarders_do_not_all_prefer_the_same_endpoint() -> None:
    # Ties must be broken at random, or the first endpoint of the list gets most of the calls.
    chosen = [0, 0, 0]
    for seed in range(60):
        driver = SchedulerDriver(settings(WITH_IDEMPOTENCY_KEY, instances=40, rates_listed=True), ())
        driver.random.seed(seed)
        driver.update_endpoints(
            *(EndpointEntry(index, 1, listed_rate_per_s=200.0) for index in range(3)), scope=ListScope.CACHED
        )
        driver.arrive()
        chosen[driver.endpoint[1, 0]] += 1
    assert min(chosen) >= 10


def test_a_rejection_is_a_fault_after_a_delivery_or_without_a_listed_rate() -> None:
    # A forwarder that does not reduce its calls after such a rejection helps to overload the destination.
    for listed_rate_per_s, delivered_before, expected in (
        (80.0, False, False),
        (80.0, True, True),
        (0.0, False, True),
    ):
        config = settings(
            WITH_IDEMPOTENCY_KEY, instances=40, rates_listed=True, slow_start_capacity_fraction=0.001
        )  # nearly all forwarders take a first fault for an outage
        driver = SchedulerDriver(config, (EndpointEntry(10, 1, listed_rate_per_s=listed_rate_per_s),))
        if delivered_before:
            deliver(driver, 1, count=1)
            driver.run(30.0)
        driver.arrive()
        driver.finish_attempt(driver.last_message_id, Outcome.OVERLOADED)
        assert driver.route(1).ejected is expected


def test_trials_with_a_large_quota_are_spaced_below_the_overload_span() -> None:
    # A destination with a high limit can take trials that are closer than an overload span.
    driver = create_fleet(40, 400.0)[0]
    destination = driver.destination(1)
    destination.shared_route.ejected = True
    intervals = [
        driver.scheduler.slow_start.trial_interval(destination, destination.shared_route, 1.0)
        for _ in range(50)
    ]
    assert (
        max(intervals) < 1.5 < driver.scheduler.state.round.settings.overload_span_s and min(intervals) >= 1.0
    )


def test_a_small_fleet_keeps_its_idle_connections() -> None:
    driver = SchedulerDriver(settings(IDEMPOTENT, slots=3, keepalive_s=10.0, instances=3))
    driver.arrive()
    driver.finish_attempt(1, Outcome.CONNECT_FAILED, message_ended=True)
    driver.run(2.0)
    deliver(driver, 1, count=1)
    assert closed_endpoints(driver) == []


def test_trials_of_many_forwarders_do_not_overload_a_recovering_destination() -> None:
    # The interval of trials must grow with the fleet, or their total exceeds the capacity.
    drivers = [SchedulerDriver(settings(IDEMPOTENT, slots=3, instances=50)) for _ in range(50)]
    for index, driver in enumerate(drivers):
        driver.random.seed(index)
        for _ in range(2):
            driver.arrive()
            driver.run(0.1)
            driver.run(0.1)
            for message in driver.in_flight():
                driver.finish_attempt(message, Outcome.ERROR)
        for _ in range(2):
            driver.run(10.0)
            for message in driver.in_flight():
                driver.finish_attempt(message, Outcome.ERROR)
        assert driver.route(1).ejected
    trials = []
    for driver in drivers:
        before = sum(isinstance(action, StartAttempt) for _, action in driver.log)
        for _ in range(90):
            driver.arrive(time_left_s=1.0)
            driver.run(1.0)
            for message in driver.in_flight():
                driver.finish_attempt(message, Outcome.ERROR, message_ended=True)
        trials.append(sum(isinstance(action, StartAttempt) for _, action in driver.log) - before)
    assert max(trials) <= 4 and 1 <= sum(trials) <= 45  # at most one call in 2 s, and at least one in total


def test_forwarders_stagger_their_calls_after_a_retry_after() -> None:
    drivers = [SchedulerDriver(settings(IDEMPOTENT, slots=3, instances=50)) for _ in range(50)]
    early_count = 0
    for index, driver in enumerate(drivers):
        driver.random.seed(index)
        driver.arrive(count=3)
        driver.finish_attempt(1, Outcome.OVERLOADED, retry_after_s=1.0)
        driver.run(0.99)
        early_count += len(attempted(driver.run(0.1)))
    assert early_count <= 25


def test_a_rate_limit_in_a_large_fleet_can_fall_below_one_call_a_second() -> None:
    driver = SchedulerDriver(settings(IDEMPOTENT, slots=3, instances=200, max_attempts=50))
    driver.arrive(count=3)
    for _ in range(6):
        driver.run(3.0)
        for message in driver.in_flight():
            driver.finish_attempt(message, Outcome.OVERLOADED, capacity_left=0.1, reported_limit_per_s=20.0)
    route = driver.route(1)
    assert route.rate_limit_per_s is not None and route.rate_limit_per_s < 0.3 and not route.ejected


def test_absent_or_invalid_listed_rates_neither_raise_nor_limit_traffic() -> None:
    for listed_rate_per_s in (0.0, -3.0, 1e-9, 1e12):
        driver = SchedulerDriver(
            settings(IDEMPOTENT, rates_listed=True, instances=200),
            (EndpointEntry(10, 1, listed_rate_per_s=listed_rate_per_s),),
        )
        driver.arrive()
        driver.run(0.1)
        driver.finish_attempt(1, Outcome.OVERLOADED, capacity_left=0.1, reported_limit_per_s=20.0)
        assert driver.route(1).rate_limit_per_s is not None
        driver.run(70.0)
        assert attempted(driver.arrive()) == [2]
        driver.finish_attempt(2, Outcome.OVERLOADED)
        assert (
            0
            < driver.scheduler.state.traffic.expected_rate(driver.destination(1), driver.route(1))
            < math.inf
        )


def test_a_rate_limit_in_a_large_fleet_starts_at_the_quota_of_the_reported_limit() -> None:
    # Rejected calls count against a limit, so the fleet must start within a limit that is known.
    driver = SchedulerDriver(settings(IDEMPOTENT, slots=3, instances=50))
    driver.arrive()
    driver.run(0.1)
    driver.finish_attempt(1, Outcome.OVERLOADED, capacity_left=0.0, reported_limit_per_s=10.0)
    route = driver.route(1)
    assert route.rate_limit_per_s == 10.0 / 50
    assert attempted(driver.run(4.0)) == []  # the quota is one call in 5 s


def test_a_rejection_with_capacity_left_does_not_bound_the_rate_limit() -> None:
    # A destination that rejects below its limit is down. A low limit would delay its recovery by minutes.
    driver = SchedulerDriver(settings(IDEMPOTENT, slots=3, instances=200))
    driver.arrive()
    driver.run(0.1)
    driver.finish_attempt(1, Outcome.OVERLOADED, capacity_left=0.9, reported_limit_per_s=4.0)
    assert driver.route(1).rate_limit_per_s == 0.5


def test_a_busy_forwarder_uses_a_larger_fraction_of_listed_rates() -> None:
    fractions = []
    for interval_s in (0.05, 5.0):
        driver = SchedulerDriver(
            settings(IDEMPOTENT, slots=30, instances=100, rates_listed=True),
            (EndpointEntry(10, 1, listed_rate_per_s=40.0),),
        )
        for _ in range(round(60 / interval_s)):
            driver.arrive()
            driver.run(0.01)
            for message in driver.in_flight():
                driver.finish_attempt(message)  # further messages wait for the call spacing
            driver.run(interval_s - 0.01)
        fractions.append(driver.scheduler.state.traffic.own_fraction())
    assert fractions[0] > 0.3 and fractions[1] < 0.02


def test_a_message_of_an_ejected_destination_is_not_failed_early() -> None:
    # A message that has surely not been executed must not be given up before 0.7 of its time has passed.
    driver = SchedulerDriver(settings(warm_up_s=60.0, overload_span_s=30.0))
    driver.arrive(count=4)
    driver.run(0.1)
    for message in (1, 2, 3, 4):
        driver.finish_attempt(message, Outcome.CONNECT_FAILED)
    driver.arrive(count=5)
    actions = driver.run(13.8)
    assert rejected(actions) == [] and failed(actions) == []
    assert set(rejected(driver.run(6.2))) == set(range(1, 10))
