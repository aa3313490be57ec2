"""Tests of the pure redrive decisions: safety, clock, rules and rate control."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from juniperward.dead_letters.clock import ClockReading, latest_possible_time
from juniperward.dead_letters.dead_letter import DeadLetter, Status
from juniperward.dead_letters.redrive_rate import (
    DestinationView,
    RedriveRate,
    RedriveRateLimits,
    adjust_rate,
    consume_tokens,
    max_in_flight,
)
from juniperward.dead_letters.redrive_rules import Rule, matches, requested_by
from juniperward.dead_letters.redrive_safety import (
    MIN_WINDOW_LEFT_S,
    WINDOW_MARGIN_S,
    RedriveSafety,
    assess_redrive,
)
from juniperward.scheduler.settings import Idempotency

NOW = 1_000_000.0
BASE = DeadLetter(
    "m",
    Status.STORED,
    Idempotency.IDEMPOTENCY_KEY,
    12.0,
    None,
    7,
    "booking-update",
    "acme",
    NOW - 5.0,
    endpoints=("s-1",),
    idempotency_key="k",
)
CURRENT_ENDPOINTS = frozenset({"s-1", "s-2"})
HEALTHY = DestinationView("well", 0.0, False, 100.0, 0, 32)


class TestAssessment:
    def test_each_case(self, subtests: pytest.Subtests) -> None:
        executed = replace(BASE, executed_at=NOW - 4.0)
        old = replace(BASE, executed_at=NOW - 20.0)
        cases = [
            (BASE, RedriveSafety.SAFE, True, "no attempt"),
            (executed, RedriveSafety.IN_WINDOW, True, "drops repeats for"),
            (old, RedriveSafety.UNCERTAIN, False, "about to end"),
            (
                replace(executed, idempotency=Idempotency.NON_IDEMPOTENT),
                RedriveSafety.UNCERTAIN,
                False,
                "cannot deduplicate",
            ),
            (replace(executed, idempotency_key=None), RedriveSafety.UNCERTAIN, False, "cannot deduplicate"),
            (replace(old, idempotency=Idempotency.IDEMPOTENT), RedriveSafety.SAFE, True, "are idempotent"),
            (replace(BASE, executed_at=NOW + 3600.0), RedriveSafety.UNCERTAIN, False, "in the future"),
            (replace(BASE, status=Status.LEASED), RedriveSafety.SAFE, False, "is claimed"),
            (replace(BASE, status=Status.DISCARDED), RedriveSafety.SAFE, False, "is discarded"),
            (replace(BASE, endpoints=("s-9",)), RedriveSafety.SAFE, False, "another destination"),
            (
                replace(BASE, endpoints=("s-9",), destination_confirmed=True),
                RedriveSafety.SAFE,
                True,
                "no attempt",
            ),
            (replace(BASE, endpoints=()), RedriveSafety.SAFE, True, "no attempt"),
        ]
        for letter, safety, is_allowed, reason in cases:
            with subtests.test(reason=reason):
                assessment = assess_redrive(letter, NOW, CURRENT_ENDPOINTS, 0.5)
                assert (assessment.safety, assessment.is_allowed) == (safety, is_allowed), assessment
                assert reason in assessment.reason
        assert "has no endpoints" in assess_redrive(BASE, NOW, frozenset(), 0.5).reason
        assert "no forwarder" in assess_redrive(BASE, NOW, None, 0.5).reason

    @settings(derandomize=True, max_examples=500)
    @given(
        st.floats(-30, 30),
        st.floats(0, 30),
        st.floats(0, 5),
        st.sampled_from(list(Idempotency)),
    )
    def test_no_retry_outside_the_deduplication_window(
        self, executed_at: float, window: float, allowance: float, idempotency: Idempotency
    ) -> None:
        letter = replace(
            BASE, executed_at=NOW + executed_at, deduplication_window_s=window, idempotency=idempotency
        )
        assessment = assess_redrive(letter, NOW, CURRENT_ENDPOINTS, allowance)
        if assessment.is_allowed and idempotency is not Idempotency.IDEMPOTENT:
            assert idempotency == Idempotency.IDEMPOTENCY_KEY
            # The redrive ends inside the window even if the clocks differ by the whole allowance.
            assert assessment.deadline + allowance + WINDOW_MARGIN_S <= NOW + executed_at + window + 1e-6
            assert assessment.deadline - NOW >= MIN_WINDOW_LEFT_S - 1e-6

    def test_the_window_counts_from_the_first_possible_execution(self) -> None:
        assert assess_redrive(
            replace(BASE, executed_at=NOW - 4.0), NOW, CURRENT_ENDPOINTS, 0.5
        ).deadline == pytest.approx(NOW + 8.0 - 0.75, abs=5e-8)


class TestClock:
    def test_a_clock_that_is_set_back_does_not_reopen_a_window(self) -> None:
        recorded = ClockReading(NOW, 500.0, "b1")
        assert latest_possible_time(ClockReading(NOW + 9.0, 509.0, "b1"), recorded) == NOW + 9.0
        assert latest_possible_time(ClockReading(NOW - 3600.0 + 30.0, 530.0, "b1"), recorded) == NOW + 30.0
        assert latest_possible_time(ClockReading(NOW - 3600.0, 5.0, "b2"), recorded) == math.inf
        assert latest_possible_time(ClockReading(NOW + 60.0, 5.0, "b2"), recorded) == NOW + 60.0
        assert latest_possible_time(ClockReading(NOW, 5.0, "b2"), None) == NOW
        executed = replace(BASE, executed_at=NOW - 1.0)
        assert assess_redrive(executed, math.inf, CURRENT_ENDPOINTS, 0.5).safety == RedriveSafety.UNCERTAIN
        assert assess_redrive(BASE, math.inf, CURRENT_ENDPOINTS, 0.5).is_allowed

    def test_the_clock_allowance_covers_the_difference_between_two_machines(self) -> None:
        # The destination executed the attempt at NOW - 11.6 by its clock; this clock is two seconds behind.
        executed = replace(BASE, executed_at=NOW - 11.6)
        assert not assess_redrive(executed, NOW - 2.0, CURRENT_ENDPOINTS, 2.0).is_allowed
        assert assess_redrive(executed, NOW - 2.0, CURRENT_ENDPOINTS, 0.0).is_allowed


class TestRules:
    def test_each_condition(self) -> None:
        noon = 12 * 3600.0
        letter = replace(BASE, given_up_at=noon - 100.0, redrives=1)
        matching = [
            Rule("r"), Rule("r", destinations=frozenset({7})), Rule("r", classes=frozenset({"booking-update"})),
            Rule("r", accounts=frozenset({"acme"})), Rule("r", min_age_s=50.0, max_age_s=200.0),
            Rule("r", max_redrives=2), Rule("r", from_hour=11.0, to_hour=13.0),
            Rule("r", from_hour=22.0, to_hour=13.0),
        ]  # fmt: skip
        not_matching = [
            Rule("r", destinations=frozenset({8})), Rule("r", classes=frozenset({"x"})),
            Rule("r", accounts=frozenset({"x"})), Rule("r", min_age_s=200.0), Rule("r", max_age_s=50.0),
            Rule("r", max_redrives=1), Rule("r", from_hour=13.0, to_hour=15.0),
            Rule("r", from_hour=22.0, to_hour=6.0),
        ]  # fmt: skip
        for rule in matching:
            assert matches(rule, letter, noon), rule
        for rule in not_matching:
            assert not matches(rule, letter, noon), rule
        assert requested_by(letter, [*not_matching, Rule("last")], noon) == "last"
        assert requested_by(letter, not_matching, noon) == ""
        assert requested_by(replace(letter, redrive_requested=True), [], noon) == "a person"


class TestRedriveRate:
    def run_rate(
        self,
        views: list[DestinationView],
        seconds: float,
        rate: RedriveRate,
        now: float,
        rejected: bool = False,
    ) -> RedriveRate:
        for _ in range(int(seconds * 4)):
            now += 0.25
            rate = adjust_rate(rate, views, rejected, now, RedriveRateLimits())
            rate = consume_tokens(rate, int(rate.tokens))
        return rate

    def test_the_rate_increases_additively_to_its_fraction_of_the_rate_limit(self) -> None:
        rate = self.run_rate([HEALTHY, HEALTHY], 5.0, RedriveRate(), 100.0)
        assert rate.per_s == pytest.approx(1.0 + 5.0, abs=0.6)
        rate = self.run_rate([HEALTHY, HEALTHY], 100.0, rate, 105.0)
        assert rate.per_s == 25.0  # a quarter of the rate limit, for the whole fleet

    def test_nothing_is_sent_to_a_failing_or_warming_up_destination(self) -> None:
        for health in ("failing", "warming"):
            unhealthy = replace(HEALTHY, health=health, waiting=1)
            rate = self.run_rate([HEALTHY, unhealthy, HEALTHY], 30.0, RedriveRate(), 100.0)
            assert (rate.per_s, rate.tokens) == (0.0, 0.0)
            assert health in rate.reason
        assert adjust_rate(RedriveRate(), [], False, 100.0, RedriveRateLimits()).tokens == 0.0

    def test_a_failing_destination_without_live_traffic_is_probed_by_one_redrive_at_a_time(self) -> None:
        # Without live messages, only a redrive can detect that the outage is over.
        failing, rate, now, sent = replace(HEALTHY, health="failing"), RedriveRate(), 100.0, 0
        for _ in range(40):
            now += 0.25
            rate = adjust_rate(rate, [HEALTHY, failing], False, now, RedriveRateLimits())
            sent += int(rate.tokens)
            rate = consume_tokens(rate, int(rate.tokens))
        assert sent == 4
        warming = replace(HEALTHY, health="warming")
        assert adjust_rate(RedriveRate(), [failing, warming], False, now, RedriveRateLimits()).tokens == 0.0

    def test_the_rate_halves_at_a_rejection_at_most_once_a_second_and_obeys_retry_after(self) -> None:
        rate = RedriveRate(16.0, 100.0, 0.0, 0.0)
        rate = adjust_rate(rate, [replace(HEALTHY, rate_limited=True)], False, 100.25, RedriveRateLimits())
        assert rate.per_s == 8.0
        rate = adjust_rate(rate, [replace(HEALTHY, rate_limited=True)], False, 100.5, RedriveRateLimits())
        assert rate.per_s == 8.0
        rate = adjust_rate(rate, [HEALTHY], True, 101.5, RedriveRateLimits())
        assert rate.per_s == 4.0
        rate = adjust_rate(
            rate, [HEALTHY, replace(HEALTHY, retry_after_s=1.0)], False, 102.0, RedriveRateLimits()
        )
        assert (rate.per_s, rate.tokens) == (2.0, 0.0)

    def test_live_messages_have_priority_and_an_old_rate_expires(self) -> None:
        busy = replace(HEALTHY, waiting=40)
        assert (
            adjust_rate(RedriveRate(16.0, 100.0, 5.0), [busy], False, 100.2, RedriveRateLimits()).tokens
            == 0.0
        )
        assert (
            adjust_rate(RedriveRate(16.0, 100.0, 5.0), [HEALTHY], False, 200.0, RedriveRateLimits()).per_s
            < 2.0
        )
        assert max_in_flight(100, RedriveRateLimits()) == 25
        assert max_in_flight(0, RedriveRateLimits()) == 1

    @settings(derandomize=True, max_examples=200)
    @given(st.lists(st.tuples(st.floats(0.0, 3.0), st.booleans(), st.sampled_from(["well", "failing", "unknown"]),
                              st.floats(0, 2)), max_size=60))  # fmt: skip
    def test_the_rate_stays_within_its_limits_after_any_history(
        self, history: list[tuple[float, bool, str, float]]
    ) -> None:
        rate, now, sent, limits = RedriveRate(), 100.0, list[float](), RedriveRateLimits()
        for elapsed_s, rejected, health, wait in history:
            now += elapsed_s
            view = replace(HEALTHY, health=health, retry_after_s=wait if wait > 1.9 else 0.0)
            rate = adjust_rate(rate, [view], rejected, now, limits)
            sent += [now] * int(rate.tokens)
            rate = consume_tokens(rate, int(rate.tokens))
            assert rate.per_s <= 25.0
            assert rate.per_s >= 0.0
            assert sum(now - t <= 1.0 for t in sent) <= 2 * 25 + 1
