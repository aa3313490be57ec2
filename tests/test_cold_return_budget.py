"""Rule 4 in a large fleet: what all forwarders together send to a destination that is cold."""

from __future__ import annotations

import math
import random
from typing import Any

import pytest

from juniperward.scheduler.actions import StartAttempt
from juniperward.scheduler.events import EndpointEntry, Outcome
from tests.helpers import KEYED, SAFE, Node, sends, settings

NODES, RATING, SPAN = 300, 6.0, 2.0
COLD, MULTIPLE, WARM = 0.25, 1.5, 10.0
BEARS = COLD * MULTIPLE * RATING * SPAN  # calls in any span that the destination bears when it is coldest
CHANCE = 3 * math.sqrt(BEARS)  # the rule leaves a little slack for chance


def fleet(count: int = NODES, **changes: Any) -> list[Node]:
    values: dict[str, Any] = {
        "instances": count,
        "slots": 3,
        "rates_listed": True,
        "slow_start_capacity_fraction": COLD,
        "overload_multiple": MULTIPLE,
        "overload_span_s": SPAN,
        "warm_up_s": WARM,
        "max_attempts": 8,
        **changes,
    }
    nodes = [
        Node(settings(SAFE, **values), (EndpointEntry(10, 1, listed_rate=RATING),)) for _ in range(count)
    ]
    for k, node in enumerate(nodes):
        node.random.seed(k)
        node.run(300.0)  # a node knows its part of the traffic by its life
    return nodes


def out(node: Node) -> list[int]:
    return node.in_flight()


def most_in_a_span(times: list[float]) -> int:
    return max((sum(t <= x < t + SPAN for x in times) for t in times), default=0)


def calls_after_return(outcome: Outcome, outage: float, told: bool, clump: int) -> list[float]:
    """Traffic at the listed rate, and a clump before the end, through an outage and WarmWithin after it.

    Calls sent in the outage get `outcome` after 0.1 s, where `told` with a wait until its end; later ones are
    answered. Returned are the times since the return of calls by nodes that were told of a failure.
    """
    nodes, chance = fleet(), random.Random(5)
    start = nodes[0].now
    back, end = start + outage, start + outage + WARM
    steady = round(RATING * (end - start))
    arrivals = [(chance.uniform(start, end), chance.randrange(NODES)) for _ in range(steady)]
    arrivals += [(back - chance.uniform(0.8, 1.0), chance.randrange(NODES)) for _ in range(clump)]
    arrivals.sort()
    informed: set[int] = set()
    times: list[float] = []
    answers: list[tuple[float, int, int, float]] = []  # due, node, message, sent
    seen = [0] * NODES
    for tick in range(1, round((end - start) / 0.05) + 1):
        at = start + 0.05 * tick
        for node in nodes:
            node.run(at - node.now)
        while answers and answers[0][0] <= at:
            _, k, message, sent = answers.pop(0)
            if sent >= back:
                nodes[k].settle(message)
            else:
                informed.add(k)
                nodes[k].settle(message, outcome, retry_after_s=max(back - at, 0.01) if told else 0.0)
        while arrivals and arrivals[0][0] <= at:
            nodes[arrivals.pop(0)[1]].arrive()
        for k, node in enumerate(nodes):
            for when, action in node.log[seen[k] :]:
                if isinstance(action, StartAttempt):
                    answers.append((at + 0.1, k, action.message, when))
                    if when >= back and k in informed:
                        times.append(when - back)
            seen[k] = len(node.log)
    assert len(informed) > NODES / 10
    return times


def bears(since: float) -> float:
    """Calls that the destination bears in the span up to a time since its return."""
    return MULTIPLE * RATING * SPAN * (COLD + (1 - COLD) * min(since / WARM, 1.0))


@pytest.mark.parametrize("told", [True, False])
@pytest.mark.parametrize("outcome", [Outcome.OVERLOADED, Outcome.ERROR])
def test_nodes_told_of_a_failure_do_not_push_a_destination_over(outcome: Outcome, told: bool) -> None:
    # h7938c8: a clump was refused a second before the return, one message at each of some twenty nodes.
    times = calls_after_return(outcome, outage=9.0, told=told and outcome is Outcome.OVERLOADED, clump=25)
    for last in times:
        sent = sum(last - SPAN < t <= last for t in times)
        assert sent <= bears(last) + 2 * math.sqrt(bears(last)), f"{sent} up to {last:.2f} s after the return"


@pytest.mark.parametrize("count", [1, 3, 40, 200, 230, 300, 600])
def test_trials_add_up_to_what_the_destination_bears_whatever_the_number_of_nodes(count: int) -> None:
    # The gap of a trial was capped at twice WarmWithin: 600 nodes made 60 calls in 2 s of it.
    nodes = fleet(count)
    times: list[float] = []
    for node in nodes:
        node.arrive(count=3)
        node.settle(out(node)[0], Outcome.ERROR)
        for message in out(node):
            node.settle(message, Outcome.ERROR)
        if count < 6:  # each of a few takes four failures in a row for an outage
            node.arrive(count=2)
            node.settle(out(node)[0], Outcome.ERROR)
        start = node.now
        node.scheduler.state.traffic.admitted = 0  # its part is an even one
        assert node.route(1).ejected
        for _ in range(40):
            node.arrive(time_left_s=1.0)
            node.scheduler.state.traffic.admitted = 0
            node.run(1.0)
            for message in out(node):
                node.settle(message, Outcome.ERROR, message_ended=True)
        times += [t - start for t, a in node.log if isinstance(a, StartAttempt) and t > start]
    assert 0 < most_in_a_span(times) <= BEARS + CHANCE
    assert len(times) <= BEARS * 40 / SPAN


def test_trials_that_fell_due_while_nothing_was_held_do_not_meet_a_clump_together() -> None:
    nodes = fleet()[:30]
    times: list[float] = []
    for node in nodes:
        node.arrive(count=3)
        for _ in range(2):
            node.settle(out(node)[0], Outcome.ERROR)
        for message in out(node):
            node.settle(message, Outcome.ERROR)
        assert node.route(1).ejected
        node.route(1).next_call_at = node.now + 20.0
        node.run(40.0)
        start = node.now
        node.arrive()
        node.run(WARM)
        times += [t - start for t, a in node.log if isinstance(a, StartAttempt) and t >= start]
    assert len(times) > 20 and most_in_a_span(times) <= 15


def test_what_a_node_was_told_outlasts_the_idle_minute() -> None:
    # Dropped with idle state, the next messages of all nodes would go at once, long before their trials.
    node = fleet()[0]
    for _ in range(2):
        node.arrive(time_left_s=19.0)
        node.run(20.0)
        for message in out(node):
            node.settle(message, Outcome.ERROR)
    if not node.route(1).ejected:
        node.arrive()
        node.settle(node.serial, Outcome.ERROR)
    route = node.route(1)
    route.next_call_at = node.now + 500.0
    node.run(70.0)
    assert route.ejected and sends(node.arrive()) == []


def test_the_answer_after_one_failure_opens_a_bucket_for_what_is_held() -> None:
    kept = 0
    for node in fleet()[:30]:
        node.arrive()
        node.settle(1, Outcome.ERROR)
        route = node.route(1)
        assert not out(node)
        if not route.staggered:
            continue  # its first failure turned it to trials
        kept += 1
        node.run(WARM + 0.1)
        assert out(node) == [1]
        node.settle(1)
        assert route.slow_start_since == node.now
    assert 5 <= kept <= 18  # ColdShare x FallMultiple of 30 are 11


def test_a_wait_with_room_left_is_a_shut_destination_and_its_end_the_return() -> None:
    # A told wait ends with the return: WarmWithin after it the destination is warm, and the node may call.
    nodes = fleet()[:40]
    early, late = 0, 0
    for node in nodes:
        node.arrive()
        node.settle(1, Outcome.OVERLOADED, retry_after_s=1.5, capacity_left=0.9, reported_limit_per_s=4.0)
        assert node.route(1).ejected
        start = node.now
        node.run(1.5 + WARM)
        early += sum(isinstance(a, StartAttempt) and t > start for t, a in node.log)
        node.arrive()
        late += len(sends(node.run(WARM)))
    assert early <= 4 and late >= 30


def warming(rating: float = 80.0) -> Node:
    """One of 40 senders, each with a share of two calls a second, whose destination has just come back."""
    config = settings(KEYED, slots=6, instances=40, rates_listed=True, max_attempts=100)
    node = Node(config, (EndpointEntry(10, 1, listed_rate=rating),))
    node.arrive()
    node.route(1).ejected = True
    node.settle(node.serial)
    assert node.route(1).slow_start_since == node.now
    return node


def test_a_refusal_behind_a_delivery_while_a_destination_warms_up_is_no_outage() -> None:
    # Guards a destination at its limit: each first refusal of its ten seconds held it to trials anew.
    node = warming()
    route = node.route(1)
    for _ in range(2):
        node.arrive()
        node.run(4.0)
        node.settle(node.serial, Outcome.OVERLOADED)
        assert not route.ejected and route.rate_limit is not None
        node.run(4.0)
        assert out(node) == [node.serial]
        node.settle(node.serial)
    assert not route.ejected


def test_a_second_refusal_in_a_row_while_a_destination_warms_up_is_one() -> None:
    node = warming()
    node.arrive()
    node.run(4.0)
    node.settle(node.serial, Outcome.OVERLOADED)
    node.run(4.0)
    assert out(node) == [node.serial]
    node.settle(node.serial, Outcome.OVERLOADED)
    assert node.route(1).ejected


def test_a_refusal_sent_before_the_pace_was_cut_tells_nothing_new_of_a_warming_destination() -> None:
    node = warming()
    node.route(1).slow_start_since = node.now - 9.0  # nearly warm
    node.arrive(count=2)
    node.run(0.9)
    first, second = out(node)
    node.settle(first, Outcome.OVERLOADED)
    node.run(0.05)
    node.settle(second, Outcome.OVERLOADED)
    assert not node.route(1).ejected


def test_a_pace_grows_slowly_again_from_its_share_of_the_listed_rate() -> None:
    # Guards the limit: growth that had doubled for seconds went past the share at its fastest, and all at once.
    config = settings(KEYED, slots=6, instances=40, rates_listed=True, max_attempts=100)
    node = Node(config, (EndpointEntry(10, 1, listed_rate=80.0),))
    node.arrive(count=60)
    route = node.route(1)
    for message in out(node)[:2]:
        node.run(0.5)
        node.settle(message, Outcome.OVERLOADED)
    assert route.rate_limit is not None and route.rate_limit < 2.0
    paces = []
    for _ in range(12):
        node.run(1.0)
        for message in out(node):
            node.settle(message)
        paces.append(route.rate_limit)
    assert 2.0 in paces
    after = paces[paces.index(2.0) + 1 :][:2]
    assert after == [pytest.approx(2.0 + 0.04 * 2), pytest.approx(2.0 + 0.04 * 2 + 0.04 * 4)]


@pytest.mark.parametrize(("rating", "needed"), [(2.0, 2), (400.0, 4)])
def test_as_many_refused_connections_tell_of_an_outage_as_a_sender_has_calls_to_make(
    rating: float, needed: int
) -> None:
    # Guards large fleets: four in a row at one endpoint never came together, and nobody was told of the outage.
    config = settings(KEYED, slots=8, instances=40, rates_listed=True, max_attempts=100)
    node = Node(config, tuple(EndpointEntry(n, 1, listed_rate=rating) for n in (10, 11, 12, 13, 14)))
    route = node.route(1)
    failed_connections = 0
    while not route.ejected:
        node.arrive()
        node.run(3.0)
        for message in out(node):
            node.settle(message, Outcome.CONNECT_FAILED, message_ended=True)
            failed_connections += 1
        assert failed_connections <= 8
    assert failed_connections >= needed
    assert failed_connections < 4 or needed == 4
