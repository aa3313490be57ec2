"""Rate limits that only load reports name, without a listed rate, and reports that are out of date."""

from __future__ import annotations

import pytest

from juniperward.scheduler.events import EndpointEntry, Outcome
from juniperward.scheduler.route_state import RouteState
from juniperward.scheduler.settings import DestinationKind
from juniperward.scheduler.traffic import record_load_report
from tests.helpers import IDEMPOTENT, SchedulerDriver, attempted, settings

SEPARATE_ROUTES = (
    DestinationKind(batch_size=1, separate_routes=True),
    DestinationKind(batch_size=10, separate_routes=True),
)
ENDPOINTS = (EndpointEntry(10, 1), EndpointEntry(20, 2, kind=1))


def create_driver(instances: int) -> SchedulerDriver:
    """Return one of several forwarders, where each endpoint has a rate limit of its own."""
    return SchedulerDriver(
        settings(IDEMPOTENT, slots=20, kinds=SEPARATE_ROUTES, instances=instances), ENDPOINTS
    )


def send_and_settle(
    driver: SchedulerDriver, destination: int, outcome: Outcome = Outcome.OK, **report: float
) -> RouteState:
    """Send a message, end its attempt with a load report, and return the route of the destination."""
    sent = attempted(driver.arrive(destination=destination))
    assert sent, "no attempt was started"
    driver.run(0.05)
    driver.finish_attempt(sent[0], outcome, **report)
    return driver.destination(destination).endpoint_order[0].route


@pytest.mark.parametrize("instances", [3, 10])
@pytest.mark.parametrize("destination", [1, 2])
def test_calls_are_spaced_by_the_quota_of_a_reported_limit(instances: int, destination: int) -> None:
    # Calls beyond a limit are rejected and count against it, for all forwarders.
    driver = create_driver(instances)
    send_and_settle(driver, destination, capacity_left=1.0, reported_limit_per_s=float(instances))
    driver.arrive(destination=destination, count=2)
    assert attempted(driver.run(0.7)) == []  # calls are spaced by 0.8 s
    assert len(attempted(driver.run(0.2))) == destination  # destination 2 takes both in one call


def test_without_a_reported_limit_calls_are_not_spaced() -> None:
    driver = create_driver(10)
    send_and_settle(driver, 1)
    assert len(attempted(driver.arrive(destination=1, count=3))) == 3


@pytest.mark.parametrize("instances", [3, 10])
def test_a_rejection_starts_the_rate_limit_at_the_quota_of_a_reported_limit(instances: int) -> None:
    driver = create_driver(instances)
    send_and_settle(driver, 1, capacity_left=1.0, reported_limit_per_s=2.0 * instances)
    driver.run(1.0)
    route = send_and_settle(
        driver, 1, Outcome.OVERLOADED, capacity_left=0.0, reported_limit_per_s=2.0 * instances
    )
    assert route.rate_limit_per_s == pytest.approx(2.0)


def test_noise_of_reported_limits_is_smoothed() -> None:
    route = RouteState()
    for limit in (10.0, *([9.0, 11.0] * 20)):
        record_load_report(route, limit, 0.5)
    assert 9.5 < route.reported_limit_per_s < 10.5


def test_capacity_reported_before_the_rejections_is_no_fault() -> None:
    # A rejection can come with an older load report, which still shows capacity left.
    driver = create_driver(10)
    send_and_settle(driver, 1, capacity_left=1.0, reported_limit_per_s=10.0)
    driver.run(30.0)  # after this time without deliveries, a fault would eject the route
    route = send_and_settle(driver, 1, Outcome.OVERLOADED, capacity_left=0.98, reported_limit_per_s=10.0)
    assert route.consecutive_faults == 0 and not route.ejected


def test_capacity_reported_throughout_the_rejections_is_a_fault() -> None:
    driver = create_driver(10)
    route = send_and_settle(driver, 1, capacity_left=1.0, reported_limit_per_s=10.0)
    driver.run(30.0)
    for _ in range(4):
        driver.arrive(destination=1)
        driver.run(3.0)
        for message in driver.in_flight():
            driver.finish_attempt(message, Outcome.OVERLOADED, capacity_left=0.98, reported_limit_per_s=10.0)
    assert route.ejected


def test_a_rate_limit_long_after_a_cut_grows_without_overflow() -> None:
    # 2 to the power of the seconds since the cut must not raise OverflowError.
    driver = create_driver(10)
    route = send_and_settle(driver, 1, capacity_left=1.0, reported_limit_per_s=10.0)
    driver.run(1.0)
    send_and_settle(driver, 1, Outcome.OVERLOADED, capacity_left=0.0, reported_limit_per_s=10.0)
    driver.now += 2000.0
    route.rate_limit_per_s, route.consecutive_rejections, route.rate_limit_raise_at = 0.5, 0, driver.now
    driver.scheduler.state.begin_round(driver.now)
    driver.scheduler.rate_limits.raise_limit(driver.destination(1), route)
    assert route.rate_limit_per_s is None or 0.5 < route.rate_limit_per_s < 100.0


@pytest.mark.parametrize(("instances", "quickly"), [(3, True), (10, False)])
def test_a_rate_limit_grows_quickly_in_a_small_fleet_and_slowly_in_a_large_one(
    instances: int, quickly: bool
) -> None:
    # Slow growth costs a small fleet deliveries, as its forwarders make up most of the traffic to a limit.
    driver = create_driver(instances)
    send_and_settle(driver, 1, capacity_left=1.0, reported_limit_per_s=2.0 * instances)
    driver.run(1.0)
    route = send_and_settle(
        driver, 1, Outcome.OVERLOADED, capacity_left=0.0, reported_limit_per_s=2.0 * instances
    )
    driver.arrive(destination=1, count=40)
    started_at, initial_limit = driver.now, route.rate_limit_per_s
    assert initial_limit is not None
    while route.rate_limit_per_s is not None and route.rate_limit_per_s < 1.15 * initial_limit:
        driver.run(0.5)
        for message in driver.in_flight():
            driver.finish_attempt(message, capacity_left=0.5, reported_limit_per_s=2.0 * instances)
        assert driver.now < started_at + 20.0
    assert (driver.now - started_at <= 2.0) == quickly
