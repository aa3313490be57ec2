"""The calls of all forwarders to a recovering destination stay within its capacity, in fleets of any size."""

from __future__ import annotations

import math
import random
from typing import Any

import pytest

from juniperward.scheduler.actions import StartAttempt
from juniperward.scheduler.events import EndpointEntry, Outcome
from tests.helpers import IDEMPOTENT, WITH_IDEMPOTENCY_KEY, SchedulerDriver, attempted, settings

INSTANCES = 300
LISTED_RATE = 6.0
SPAN_S = 2.0
SLOW_START_FRACTION = 0.25
MULTIPLE = 1.5
WARM_UP_S = 10.0
# The calls that the destination can take in a span directly after its return.
MIN_BUDGET = SLOW_START_FRACTION * MULTIPLE * LISTED_RATE * SPAN_S
# The calls by which a span may exceed that budget, as forwarders act at random times.
CHANCE_MARGIN = 3 * math.sqrt(MIN_BUDGET)


def create_fleet(count: int = INSTANCES, **overrides: Any) -> list[SchedulerDriver]:
    values: dict[str, Any] = {
        "instances": count,
        "slots": 3,
        "rates_listed": True,
        "slow_start_capacity_fraction": SLOW_START_FRACTION,
        "overload_multiple": MULTIPLE,
        "overload_span_s": SPAN_S,
        "warm_up_s": WARM_UP_S,
        "max_attempts": 8,
        **overrides,
    }
    drivers = [
        SchedulerDriver(
            settings(IDEMPOTENT, **values), (EndpointEntry(10, 1, listed_rate_per_s=LISTED_RATE),)
        )
        for _ in range(count)
    ]
    for index, driver in enumerate(drivers):
        driver.random.seed(index)
        driver.run(300.0)  # the fraction of the traffic is estimated over the uptime
    return drivers


def in_flight(driver: SchedulerDriver) -> list[int]:
    return driver.in_flight()


def max_calls_in_span(times: list[float]) -> int:
    return max((sum(t <= x < t + SPAN_S for x in times) for t in times), default=0)


def calls_after_return(
    outcome: Outcome, outage_s: float, with_retry_after: bool, burst_count: int
) -> list[float]:
    """Simulate an outage and the warm-up, with traffic at the listed rate and a burst before the return.

    Calls that are sent in the outage get `outcome` after 0.1 s, and a Retry-After until the return if
    `with_retry_after` is set. Later calls succeed. The result is the times of the calls after the return, in
    seconds since it, from forwarders whose earlier calls failed.
    """
    drivers, rng = create_fleet(), random.Random(5)
    started_at = drivers[0].now
    returned_at, ended_at = started_at + outage_s, started_at + outage_s + WARM_UP_S
    steady_count = round(LISTED_RATE * (ended_at - started_at))
    arrivals = [(rng.uniform(started_at, ended_at), rng.randrange(INSTANCES)) for _ in range(steady_count)]
    arrivals += [(returned_at - rng.uniform(0.8, 1.0), rng.randrange(INSTANCES)) for _ in range(burst_count)]
    arrivals.sort()
    failed_drivers: set[int] = set()
    times: list[float] = []
    answers: list[tuple[float, int, int, float]] = []  # answered at, driver index, message, sent at
    log_positions = [0] * INSTANCES
    for tick in range(1, round((ended_at - started_at) / 0.05) + 1):
        now = started_at + 0.05 * tick
        for driver in drivers:
            driver.run(now - driver.now)
        while answers and answers[0][0] <= now:
            _, index, message, sent_at = answers.pop(0)
            if sent_at >= returned_at:
                drivers[index].finish_attempt(message)
            else:
                failed_drivers.add(index)
                drivers[index].finish_attempt(
                    message, outcome, retry_after_s=max(returned_at - now, 0.01) if with_retry_after else 0.0
                )
        while arrivals and arrivals[0][0] <= now:
            drivers[arrivals.pop(0)[1]].arrive()
        for index, driver in enumerate(drivers):
            for when, action in driver.log[log_positions[index] :]:
                if isinstance(action, StartAttempt):
                    answers.append((now + 0.1, index, action.message, when))
                    if when >= returned_at and index in failed_drivers:
                        times.append(when - returned_at)
            log_positions[index] = len(driver.log)
    assert len(failed_drivers) > INSTANCES / 10
    return times


def budget_at(elapsed_s: float) -> float:
    """Return the calls that the destination can take in a span that ends `elapsed_s` after its return."""
    return (
        MULTIPLE
        * LISTED_RATE
        * SPAN_S
        * (SLOW_START_FRACTION + (1 - SLOW_START_FRACTION) * min(elapsed_s / WARM_UP_S, 1.0))
    )


@pytest.mark.parametrize("with_retry_after", [True, False])
@pytest.mark.parametrize("outcome", [Outcome.OVERLOADED, Outcome.ERROR])
def test_forwarders_with_failed_calls_do_not_overload_a_recovering_destination(
    outcome: Outcome, with_retry_after: bool
) -> None:
    # The messages of a burst that was rejected just before the return must not all be sent at once after it.
    carries_retry_after = with_retry_after and outcome is Outcome.OVERLOADED
    times = calls_after_return(outcome, outage_s=9.0, with_retry_after=carries_retry_after, burst_count=25)
    for last in times:
        sent_count = sum(last - SPAN_S < t <= last for t in times)
        assert sent_count <= budget_at(last) + 2 * math.sqrt(budget_at(last)), (
            f"{sent_count} calls in the span up to {last:.2f} s after the return"
        )


@pytest.mark.parametrize("count", [1, 3, 40, 200, 230, 300, 600])
def test_trials_stay_within_the_capacity_for_any_number_of_forwarders(count: int) -> None:
    # The interval of trials must grow with the fleet: a cap on it lets a large fleet exceed the capacity.
    drivers = create_fleet(count)
    times: list[float] = []
    for driver in drivers:
        driver.arrive(count=3)
        driver.finish_attempt(in_flight(driver)[0], Outcome.ERROR)
        for message in in_flight(driver):
            driver.finish_attempt(message, Outcome.ERROR)
        if count < 6:  # a small fleet ejects after four failures in a row
            driver.arrive(count=2)
            driver.finish_attempt(in_flight(driver)[0], Outcome.ERROR)
        started_at = driver.now
        driver.scheduler.state.traffic.admitted_count = 0  # makes the fraction of the traffic even
        assert driver.route(1).ejected
        for _ in range(40):
            driver.arrive(time_left_s=1.0)
            driver.scheduler.state.traffic.admitted_count = 0
            driver.run(1.0)
            for message in in_flight(driver):
                driver.finish_attempt(message, Outcome.ERROR, message_ended=True)
        times += [t - started_at for t, a in driver.log if isinstance(a, StartAttempt) and t > started_at]
    assert 0 < max_calls_in_span(times) <= MIN_BUDGET + CHANCE_MARGIN
    assert len(times) <= MIN_BUDGET * 40 / SPAN_S


def test_trials_that_were_due_without_messages_do_not_burst() -> None:
    drivers = create_fleet()[:30]
    times: list[float] = []
    for driver in drivers:
        driver.arrive(count=3)
        for _ in range(2):
            driver.finish_attempt(in_flight(driver)[0], Outcome.ERROR)
        for message in in_flight(driver):
            driver.finish_attempt(message, Outcome.ERROR)
        assert driver.route(1).ejected
        driver.route(1).next_call_at = driver.now + 20.0
        driver.run(40.0)
        started_at = driver.now
        driver.arrive()
        driver.run(WARM_UP_S)
        times += [t - started_at for t, a in driver.log if isinstance(a, StartAttempt) and t >= started_at]
    assert len(times) > 20 and max_calls_in_span(times) <= 15


def test_an_ejection_outlasts_the_idle_expiry() -> None:
    # Without the ejection, the next messages of all forwarders would be sent before their trials are due.
    driver = create_fleet()[0]
    for _ in range(2):
        driver.arrive(time_left_s=19.0)
        driver.run(20.0)
        for message in in_flight(driver):
            driver.finish_attempt(message, Outcome.ERROR)
    if not driver.route(1).ejected:
        driver.arrive()
        driver.finish_attempt(driver.last_message_id, Outcome.ERROR)
    route = driver.route(1)
    route.next_call_at = driver.now + 500.0
    driver.run(70.0)
    assert route.ejected and attempted(driver.arrive()) == []


def test_an_answer_after_one_failure_begins_the_slow_start() -> None:
    staggered_count = 0
    for driver in create_fleet()[:30]:
        driver.arrive()
        driver.finish_attempt(1, Outcome.ERROR)
        route = driver.route(1)
        assert not in_flight(driver)
        if not route.staggered:
            continue  # the first failure has ejected the route
        staggered_count += 1
        driver.run(WARM_UP_S + 0.1)
        assert in_flight(driver) == [1]
        driver.finish_attempt(1)
        assert route.slow_start_since == driver.now
    # The expected count is SLOW_START_FRACTION * MULTIPLE * 30, which is about 11.
    assert 5 <= staggered_count <= 18


def test_a_retry_after_with_capacity_left_is_an_outage_that_ends_with_it() -> None:
    # The destination returns at the end of the Retry-After, and is called again after the warm-up.
    drivers = create_fleet()[:40]
    early_count, late_count = 0, 0
    for driver in drivers:
        driver.arrive()
        driver.finish_attempt(
            1, Outcome.OVERLOADED, retry_after_s=1.5, capacity_left=0.9, reported_limit_per_s=4.0
        )
        assert driver.route(1).ejected
        started_at = driver.now
        driver.run(1.5 + WARM_UP_S)
        early_count += sum(isinstance(a, StartAttempt) and t > started_at for t, a in driver.log)
        driver.arrive()
        late_count += len(attempted(driver.run(WARM_UP_S)))
    assert early_count <= 4 and late_count >= 30


def create_warming_up_driver(listed_rate_per_s: float = 80.0) -> SchedulerDriver:
    """Return one of 40 forwarders that share the listed rate, at the start of the slow start."""
    config = settings(WITH_IDEMPOTENCY_KEY, slots=6, instances=40, rates_listed=True, max_attempts=100)
    driver = SchedulerDriver(config, (EndpointEntry(10, 1, listed_rate_per_s=listed_rate_per_s),))
    driver.arrive()
    driver.route(1).ejected = True
    driver.finish_attempt(driver.last_message_id)
    assert driver.route(1).slow_start_since == driver.now
    return driver


def test_a_rejection_after_a_delivery_in_slow_start_is_no_outage() -> None:
    # A destination at its limit must not be ejected again by each first rejection in its slow start.
    driver = create_warming_up_driver()
    route = driver.route(1)
    for _ in range(2):
        driver.arrive()
        driver.run(4.0)
        driver.finish_attempt(driver.last_message_id, Outcome.OVERLOADED)
        assert not route.ejected and route.rate_limit_per_s is not None
        driver.run(4.0)
        assert in_flight(driver) == [driver.last_message_id]
        driver.finish_attempt(driver.last_message_id)
    assert not route.ejected


def test_a_second_rejection_in_a_row_in_slow_start_is_an_outage() -> None:
    driver = create_warming_up_driver()
    driver.arrive()
    driver.run(4.0)
    driver.finish_attempt(driver.last_message_id, Outcome.OVERLOADED)
    driver.run(4.0)
    assert in_flight(driver) == [driver.last_message_id]
    driver.finish_attempt(driver.last_message_id, Outcome.OVERLOADED)
    assert driver.route(1).ejected


def test_a_rejection_of_an_attempt_sent_before_the_rate_limit_was_cut_changes_nothing() -> None:
    driver = create_warming_up_driver()
    driver.route(1).slow_start_since = driver.now - 9.0  # the warm-up is nearly over
    driver.arrive(count=2)
    driver.run(0.9)
    first, second = in_flight(driver)
    driver.finish_attempt(first, Outcome.OVERLOADED)
    driver.run(0.05)
    driver.finish_attempt(second, Outcome.OVERLOADED)
    assert not driver.route(1).ejected


def test_a_rate_limit_grows_slowly_again_from_its_quota_of_the_listed_rate() -> None:
    # A step that has doubled for seconds must not carry the limit far past its quota.
    config = settings(WITH_IDEMPOTENCY_KEY, slots=6, instances=40, rates_listed=True, max_attempts=100)
    driver = SchedulerDriver(config, (EndpointEntry(10, 1, listed_rate_per_s=80.0),))
    driver.arrive(count=60)
    route = driver.route(1)
    for message in in_flight(driver)[:2]:
        driver.run(0.5)
        driver.finish_attempt(message, Outcome.OVERLOADED)
    assert route.rate_limit_per_s is not None and route.rate_limit_per_s < 2.0
    limits = []
    for _ in range(12):
        driver.run(1.0)
        for message in in_flight(driver):
            driver.finish_attempt(message)
        limits.append(route.rate_limit_per_s)
    assert 2.0 in limits
    after = limits[limits.index(2.0) + 1 :][:2]
    assert after == [pytest.approx(2.0 + 0.04 * 2), pytest.approx(2.0 + 0.04 * 2 + 0.04 * 4)]


@pytest.mark.parametrize(("listed_rate_per_s", "needed"), [(2.0, 2), (400.0, 4)])
def test_refused_connections_that_eject_a_route_are_fewer_with_little_traffic(
    listed_rate_per_s: float, needed: int
) -> None:
    # In a large fleet, a forwarder makes too few calls to see four failures in a row at one endpoint.
    config = settings(WITH_IDEMPOTENCY_KEY, slots=8, instances=40, rates_listed=True, max_attempts=100)
    driver = SchedulerDriver(
        config, tuple(EndpointEntry(n, 1, listed_rate_per_s=listed_rate_per_s) for n in (10, 11, 12, 13, 14))
    )
    route = driver.route(1)
    failed_connections = 0
    while not route.ejected:
        driver.arrive()
        driver.run(3.0)
        for message in in_flight(driver):
            driver.finish_attempt(message, Outcome.CONNECT_FAILED, message_ended=True)
            failed_connections += 1
        assert failed_connections <= 8
    assert failed_connections >= needed
    assert failed_connections < 4 or needed == 4
