"""Limits that only answers tell (no listed rate): what a forwarder makes of them, and of late reports."""

from __future__ import annotations

import pytest

from juniperward.scheduler.events import EndpointEntry, Outcome
from juniperward.scheduler.route_state import RouteState
from juniperward.scheduler.settings import DestinationKind
from juniperward.scheduler.traffic import record_load_report
from tests.helpers import SAFE, Node, attempted, settings

APART = (
    DestinationKind(batch_size=1, separate_routes=True),
    DestinationKind(batch_size=10, separate_routes=True),
)
ENDPOINTS = (EndpointEntry(10, 1), EndpointEntry(20, 2, kind=1))


def node_of(instances: int) -> Node:
    """One of several forwarders, each endpoint with a limit of its own."""
    return Node(settings(SAFE, slots=20, kinds=APART, instances=instances), ENDPOINTS)


def answered(node: Node, destination: int, outcome: Outcome = Outcome.OK, **told: float) -> RouteState:
    """A message that is called at once and ends with this report; its destination's route."""
    sent = attempted(node.arrive(destination=destination))
    assert sent, "the destination may be called"
    node.run(0.05)
    node.finish_attempt(sent[0], outcome, **told)
    return node.destination(destination).endpoint_order[0].route


@pytest.mark.parametrize("instances", [3, 10])
@pytest.mark.parametrize("destination", [1, 2])
def test_calls_are_spaced_by_the_fraction_of_a_notified_limit(instances: int, destination: int) -> None:
    # head-campus roll+brink: calls beyond a limit are refused and use it up, for all forwarders.
    node = node_of(instances)
    answered(node, destination, capacity_left=1.0, reported_limit_per_s=float(instances))
    node.arrive(destination=destination, count=2)
    assert attempted(node.run(0.7)) == []  # 0.8 of a call a second each
    assert len(attempted(node.run(0.2))) == destination  # the second kind takes both in one call


def test_without_a_notified_limit_nothing_is_spaced() -> None:
    node = node_of(10)
    answered(node, 1)
    assert len(attempted(node.arrive(destination=1, count=3))) == 3


@pytest.mark.parametrize("instances", [3, 10])
def test_a_rejection_starts_the_rate_limit_at_the_fraction_of_a_notified_limit(instances: int) -> None:
    node = node_of(instances)
    answered(node, 1, capacity_left=1.0, reported_limit_per_s=2.0 * instances)
    node.run(1.0)
    route = answered(node, 1, Outcome.OVERLOADED, capacity_left=0.0, reported_limit_per_s=2.0 * instances)
    assert route.rate_limit == pytest.approx(2.0)


def test_the_noise_of_notified_limits_is_smoothed() -> None:
    route = RouteState()
    for limit in (10.0, *([9.0, 11.0] * 20)):
        record_load_report(route, limit, 0.5)
    assert 9.5 < route.reported_limit_per_s < 10.5


def test_capacity_notified_before_the_rejections_is_no_fault() -> None:
    # head-campus roll+brink: x0 of 0.98 came with a refusal, a sample of up to 1.3 s ago.
    node = node_of(10)
    answered(node, 1, capacity_left=1.0, reported_limit_per_s=10.0)
    node.run(30.0)  # no contact for long: a doubt would turn it to trials
    route = answered(node, 1, Outcome.OVERLOADED, capacity_left=0.98, reported_limit_per_s=10.0)
    assert route.consecutive_faults == 0 and not route.ejected


def test_capacity_notified_throughout_the_rejections_is_a_fault() -> None:
    node = node_of(10)
    route = answered(node, 1, capacity_left=1.0, reported_limit_per_s=10.0)
    node.run(30.0)
    for _ in range(4):
        node.arrive(destination=1)
        node.run(3.0)
        for m in node.in_flight():
            node.finish_attempt(m, Outcome.OVERLOADED, capacity_left=0.98, reported_limit_per_s=10.0)
    assert route.ejected


def test_a_rate_limit_long_after_a_cut_grows_without_overflow() -> None:
    # 2 ** seconds since the cut raises OverflowError after 1024 s.
    node = node_of(10)
    route = answered(node, 1, capacity_left=1.0, reported_limit_per_s=10.0)
    node.run(1.0)
    answered(node, 1, Outcome.OVERLOADED, capacity_left=0.0, reported_limit_per_s=10.0)
    node.now += 2000.0
    route.rate_limit, route.consecutive_rejections, route.rate_limit_raise_at = 0.5, 0, node.now
    node.scheduler.state.begin_round(node.now)
    node.scheduler.rate_limits.raise_limit(node.destination(1), route)
    assert route.rate_limit is None or 0.5 < route.rate_limit < 100.0


@pytest.mark.parametrize(("instances", "quickly"), [(3, True), (10, False)])
def test_a_rate_limit_of_few_nodes_grows_by_the_second_and_that_of_many_slowly(
    instances: int, quickly: bool
) -> None:
    # Guards the second deployment (rough-1 of two forwarders, 0.59 to 0.50): a few are their own traffic's limit.
    node = node_of(instances)
    answered(node, 1, capacity_left=1.0, reported_limit_per_s=2.0 * instances)
    node.run(1.0)
    route = answered(node, 1, Outcome.OVERLOADED, capacity_left=0.0, reported_limit_per_s=2.0 * instances)
    node.arrive(destination=1, count=40)
    began, start = node.now, route.rate_limit
    assert start is not None
    while route.rate_limit is not None and route.rate_limit < 1.15 * start:
        node.run(0.5)
        for message in node.in_flight():
            node.finish_attempt(message, capacity_left=0.5, reported_limit_per_s=2.0 * instances)
        assert node.now < began + 20.0
    assert (node.now - began <= 2.0) == quickly
