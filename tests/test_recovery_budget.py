"""The overload invariant in a large fleet: what all forwarders together send to a destination in slow start."""

from __future__ import annotations

import math
import random
from typing import Any

import pytest

from juniperward.scheduler.actions import StartAttempt
from juniperward.scheduler.events import EndpointEntry, Outcome
from tests.helpers import KEYED, SAFE, Node, attempted, settings

NODES = 300
LISTED_RATE = 6.0
SPAN_S = 2.0
SLOW_START_FRACTION = 0.25
MULTIPLE = 1.5
WARM_UP_S = 10.0
LEAST_BUDGET = SLOW_START_FRACTION * MULTIPLE * LISTED_RATE * SPAN_S  # calls in a span, at the return
CHANCE = 3 * math.sqrt(LEAST_BUDGET)  # the invariant leaves a little slack for chance


def fleet(count: int = NODES, **changes: Any) -> list[Node]:
    values: dict[str, Any] = {
        "instances": count,
        "slots": 3,
        "rates_listed": True,
        "slow_start_capacity_fraction": SLOW_START_FRACTION,
        "overload_multiple": MULTIPLE,
        "overload_span_s": SPAN_S,
        "warm_up_s": WARM_UP_S,
        "max_attempts": 8,
        **changes,
    }
    nodes = [
        Node(settings(SAFE, **values), (EndpointEntry(10, 1, listed_rate=LISTED_RATE),)) for _ in range(count)
    ]
    for k, node in enumerate(nodes):
        node.random.seed(k)
        node.run(300.0)  # a node knows its part of the traffic by its uptime
    return nodes


def in_flight(node: Node) -> list[int]:
    return node.in_flight()


def max_calls_in_a_span(times: list[float]) -> int:
    return max((sum(t <= x < t + SPAN_S for x in times) for t in times), default=0)


def calls_after_return(outcome: Outcome, outage_s: float, with_retry_after: bool, burst: int) -> list[float]:
    """Traffic at the listed rate, and a burst before the end, through an outage and WarmWithin after it.

    Calls sent in the outage get `outcome` after 0.1 s, `with_retry_after` a Retry-After until its end; later ones
    are answered. Returned are the times since the return of calls by nodes that were notified of a failure.
    """
    nodes, chance = fleet(), random.Random(5)
    start = nodes[0].now
    back, end = start + outage_s, start + outage_s + WARM_UP_S
    steady = round(LISTED_RATE * (end - start))
    arrivals = [(chance.uniform(start, end), chance.randrange(NODES)) for _ in range(steady)]
    arrivals += [(back - chance.uniform(0.8, 1.0), chance.randrange(NODES)) for _ in range(burst)]
    arrivals.sort()
    notified: set[int] = set()
    times: list[float] = []
    answers: list[tuple[float, int, int, float]] = []  # arrives, node, message, sent
    seen = [0] * NODES
    for tick in range(1, round((end - start) / 0.05) + 1):
        at = start + 0.05 * tick
        for node in nodes:
            node.run(at - node.now)
        while answers and answers[0][0] <= at:
            _, k, message, sent = answers.pop(0)
            if sent >= back:
                nodes[k].finish_attempt(message)
            else:
                notified.add(k)
                nodes[k].finish_attempt(
                    message, outcome, retry_after_s=max(back - at, 0.01) if with_retry_after else 0.0
                )
        while arrivals and arrivals[0][0] <= at:
            nodes[arrivals.pop(0)[1]].arrive()
        for k, node in enumerate(nodes):
            for when, action in node.log[seen[k] :]:
                if isinstance(action, StartAttempt):
                    answers.append((at + 0.1, k, action.message, when))
                    if when >= back and k in notified:
                        times.append(when - back)
            seen[k] = len(node.log)
    assert len(notified) > NODES / 10
    return times


def budget_of(since: float) -> float:
    """Return the calls that the destination bears in the span up to a time since its return."""
    return (
        MULTIPLE
        * LISTED_RATE
        * SPAN_S
        * (SLOW_START_FRACTION + (1 - SLOW_START_FRACTION) * min(since / WARM_UP_S, 1.0))
    )


@pytest.mark.parametrize("with_retry_after", [True, False])
@pytest.mark.parametrize("outcome", [Outcome.OVERLOADED, Outcome.ERROR])
def test_notified_nodes_do_not_crash_a_destination(outcome: Outcome, with_retry_after: bool) -> None:
    # h7938c8: a burst was rejected a second before the return, one message at each of some twenty nodes.
    carries_retry_after = with_retry_after and outcome is Outcome.OVERLOADED
    times = calls_after_return(outcome, outage_s=9.0, with_retry_after=carries_retry_after, burst=25)
    for last in times:
        sent = sum(last - SPAN_S < t <= last for t in times)
        assert sent <= budget_of(last) + 2 * math.sqrt(budget_of(last)), (
            f"{sent} up to {last:.2f} s after the return"
        )


@pytest.mark.parametrize("count", [1, 3, 40, 200, 230, 300, 600])
def test_half_open_attempts_add_up_to_the_capacity_for_any_number_of_nodes(count: int) -> None:
    # The gap of a trial was capped at twice WarmWithin: 600 nodes made 60 calls in 2 s of it.
    nodes = fleet(count)
    times: list[float] = []
    for node in nodes:
        node.arrive(count=3)
        node.finish_attempt(in_flight(node)[0], Outcome.ERROR)
        for message in in_flight(node):
            node.finish_attempt(message, Outcome.ERROR)
        if count < 6:  # each of a few takes four failures in a row for an outage
            node.arrive(count=2)
            node.finish_attempt(in_flight(node)[0], Outcome.ERROR)
        start = node.now
        node.scheduler.state.traffic.admitted = 0  # its part is an even one
        assert node.route(1).ejected
        for _ in range(40):
            node.arrive(time_left_s=1.0)
            node.scheduler.state.traffic.admitted = 0
            node.run(1.0)
            for message in in_flight(node):
                node.finish_attempt(message, Outcome.ERROR, message_ended=True)
        times += [t - start for t, a in node.log if isinstance(a, StartAttempt) and t > start]
    assert 0 < max_calls_in_a_span(times) <= LEAST_BUDGET + CHANCE
    assert len(times) <= LEAST_BUDGET * 40 / SPAN_S


def test_half_open_attempts_scheduled_while_nothing_was_pending_do_not_burst() -> None:
    nodes = fleet()[:30]
    times: list[float] = []
    for node in nodes:
        node.arrive(count=3)
        for _ in range(2):
            node.finish_attempt(in_flight(node)[0], Outcome.ERROR)
        for message in in_flight(node):
            node.finish_attempt(message, Outcome.ERROR)
        assert node.route(1).ejected
        node.route(1).next_call_at = node.now + 20.0
        node.run(40.0)
        start = node.now
        node.arrive()
        node.run(WARM_UP_S)
        times += [t - start for t, a in node.log if isinstance(a, StartAttempt) and t >= start]
    assert len(times) > 20 and max_calls_in_a_span(times) <= 15


def test_an_ejection_outlasts_the_idle_minute() -> None:
    # Dropped with idle state, the next messages of all nodes would go at once, long before their trials.
    node = fleet()[0]
    for _ in range(2):
        node.arrive(time_left_s=19.0)
        node.run(20.0)
        for message in in_flight(node):
            node.finish_attempt(message, Outcome.ERROR)
    if not node.route(1).ejected:
        node.arrive()
        node.finish_attempt(node.last_message_id, Outcome.ERROR)
    route = node.route(1)
    route.next_call_at = node.now + 500.0
    node.run(70.0)
    assert route.ejected and attempted(node.arrive()) == []


def test_the_answer_after_one_failure_opens_a_bucket_for_pending_messages() -> None:
    staggered = 0
    for node in fleet()[:30]:
        node.arrive()
        node.finish_attempt(1, Outcome.ERROR)
        route = node.route(1)
        assert not in_flight(node)
        if not route.staggered:
            continue  # its first failure turned it to trials
        staggered += 1
        node.run(WARM_UP_S + 0.1)
        assert in_flight(node) == [1]
        node.finish_attempt(1)
        assert route.slow_start_since == node.now
    assert 5 <= staggered <= 18  # ColdShare x FallMultiple of 30 are 11


def test_a_retry_after_with_capacity_left_is_an_outage_and_its_end_the_return() -> None:
    # The Retry-After ends with the return: WarmWithin after it the destination is warm, and the node may call.
    nodes = fleet()[:40]
    early, late = 0, 0
    for node in nodes:
        node.arrive()
        node.finish_attempt(
            1, Outcome.OVERLOADED, retry_after_s=1.5, capacity_left=0.9, reported_limit_per_s=4.0
        )
        assert node.route(1).ejected
        start = node.now
        node.run(1.5 + WARM_UP_S)
        early += sum(isinstance(a, StartAttempt) and t > start for t, a in node.log)
        node.arrive()
        late += len(attempted(node.run(WARM_UP_S)))
    assert early <= 4 and late >= 30


def warming(listed_rate: float = 80.0) -> Node:
    """One of 40 forwarders, each with a quota of two calls a second, whose destination has just returned."""
    config = settings(KEYED, slots=6, instances=40, rates_listed=True, max_attempts=100)
    node = Node(config, (EndpointEntry(10, 1, listed_rate=listed_rate),))
    node.arrive()
    node.route(1).ejected = True
    node.finish_attempt(node.last_message_id)
    assert node.route(1).slow_start_since == node.now
    return node


def test_a_rejection_behind_a_delivery_in_slow_start_is_no_outage() -> None:
    # Guards a destination at its limit: each first rejection of its ten seconds ejected it anew.
    node = warming()
    route = node.route(1)
    for _ in range(2):
        node.arrive()
        node.run(4.0)
        node.finish_attempt(node.last_message_id, Outcome.OVERLOADED)
        assert not route.ejected and route.rate_limit is not None
        node.run(4.0)
        assert in_flight(node) == [node.last_message_id]
        node.finish_attempt(node.last_message_id)
    assert not route.ejected


def test_a_second_rejection_in_a_row_in_slow_start_is_an_outage() -> None:
    node = warming()
    node.arrive()
    node.run(4.0)
    node.finish_attempt(node.last_message_id, Outcome.OVERLOADED)
    node.run(4.0)
    assert in_flight(node) == [node.last_message_id]
    node.finish_attempt(node.last_message_id, Outcome.OVERLOADED)
    assert node.route(1).ejected


def test_a_rejection_of_an_attempt_sent_before_the_rate_limit_was_cut_changes_nothing() -> None:
    node = warming()
    node.route(1).slow_start_since = node.now - 9.0  # nearly warm
    node.arrive(count=2)
    node.run(0.9)
    first, second = in_flight(node)
    node.finish_attempt(first, Outcome.OVERLOADED)
    node.run(0.05)
    node.finish_attempt(second, Outcome.OVERLOADED)
    assert not node.route(1).ejected


def test_a_rate_limit_grows_slowly_again_from_its_quota_of_the_listed_rate() -> None:
    # Guards the limit: growth that had doubled for seconds went past the quota at its fastest, and all at once.
    config = settings(KEYED, slots=6, instances=40, rates_listed=True, max_attempts=100)
    node = Node(config, (EndpointEntry(10, 1, listed_rate=80.0),))
    node.arrive(count=60)
    route = node.route(1)
    for message in in_flight(node)[:2]:
        node.run(0.5)
        node.finish_attempt(message, Outcome.OVERLOADED)
    assert route.rate_limit is not None and route.rate_limit < 2.0
    limits = []
    for _ in range(12):
        node.run(1.0)
        for message in in_flight(node):
            node.finish_attempt(message)
        limits.append(route.rate_limit)
    assert 2.0 in limits
    after = limits[limits.index(2.0) + 1 :][:2]
    assert after == [pytest.approx(2.0 + 0.04 * 2), pytest.approx(2.0 + 0.04 * 2 + 0.04 * 4)]


@pytest.mark.parametrize(("listed_rate", "needed"), [(2.0, 2), (400.0, 4)])
def test_refused_connections_eject_after_as_many_as_a_forwarder_has_calls_to_make(
    listed_rate: float, needed: int
) -> None:
    # Guards large fleets: four in a row at one endpoint never came together, and no forwarder was notified.
    config = settings(KEYED, slots=8, instances=40, rates_listed=True, max_attempts=100)
    node = Node(config, tuple(EndpointEntry(n, 1, listed_rate=listed_rate) for n in (10, 11, 12, 13, 14)))
    route = node.route(1)
    failed_connections = 0
    while not route.ejected:
        node.arrive()
        node.run(3.0)
        for message in in_flight(node):
            node.finish_attempt(message, Outcome.CONNECT_FAILED, message_ended=True)
            failed_connections += 1
        assert failed_connections <= 8
    assert failed_connections >= needed
    assert failed_connections < 4 or needed == 4
