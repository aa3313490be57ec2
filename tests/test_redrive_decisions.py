"""What may be sent again, and how fast: as closely as the rules of delivery are tested."""

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
HERE = frozenset({"s-1", "s-2"})
WELL = DestinationView("well", 0.0, False, 100.0, 0, 32)


class TestJudge:
    def test_each_case(self, subtests: pytest.Subtests) -> None:
        ran = replace(BASE, executed_at=NOW - 4.0)
        old = replace(BASE, executed_at=NOW - 20.0)
        cases = [
            (BASE, RedriveSafety.SAFE, True, "no attempt"),
            (ran, RedriveSafety.IN_WINDOW, True, "dropped for"),
            (old, RedriveSafety.UNCERTAIN, False, "may not drop"),
            (
                replace(ran, idempotency=Idempotency.NON_IDEMPOTENT),
                RedriveSafety.UNCERTAIN,
                False,
                "may not be repeated",
            ),
            (replace(ran, idempotency_key=None), RedriveSafety.UNCERTAIN, False, "may not be repeated"),
            (replace(old, idempotency=Idempotency.IDEMPOTENT), RedriveSafety.SAFE, True, "may be repeated"),
            (replace(BASE, executed_at=NOW + 3600.0), RedriveSafety.UNCERTAIN, False, "has not reached"),
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
        for facts, kind, may, why in cases:
            with subtests.test(why=why):
                j = assess_redrive(facts, NOW, HERE, 0.5)
                assert (j.kind, j.is_allowed) == (kind, may), j
                assert why in j.why
        assert "has no endpoints" in assess_redrive(BASE, NOW, frozenset(), 0.5).why
        assert "no forwarder" in assess_redrive(BASE, NOW, None, 0.5).why

    @settings(derandomize=True, max_examples=500)
    @given(
        st.floats(-30, 30),
        st.floats(0, 30),
        st.floats(0, 5),
        st.sampled_from(list(Idempotency)),
    )
    def test_no_retry_outside_the_deduplication_window(
        self, ran: float, window: float, allowance: float, idempotency: Idempotency
    ) -> None:
        facts = replace(BASE, executed_at=NOW + ran, deduplication_window_s=window, idempotency=idempotency)
        j = assess_redrive(facts, NOW, HERE, allowance)
        if j.is_allowed and idempotency is not Idempotency.IDEMPOTENT:
            assert idempotency == Idempotency.IDEMPOTENCY_KEY
            # Even where the clocks differ by all of the allowance, it is over inside the window.
            assert j.until + allowance + WINDOW_MARGIN_S <= NOW + ran + window + 1e-6
            assert j.until - NOW >= MIN_WINDOW_LEFT_S - 1e-6

    def test_the_window_counts_from_the_first_possible_execution(self) -> None:
        assert assess_redrive(replace(BASE, executed_at=NOW - 4.0), NOW, HERE, 0.5).until == pytest.approx(
            NOW + 8.0 - 0.75, abs=5e-8
        )


class TestClock:
    def test_a_clock_that_is_set_back_opens_no_window(self) -> None:
        seen = ClockReading(NOW, 500.0, "b1")
        assert latest_possible_time(ClockReading(NOW + 9.0, 509.0, "b1"), seen) == NOW + 9.0
        assert latest_possible_time(ClockReading(NOW - 3600.0 + 30.0, 530.0, "b1"), seen) == NOW + 30.0
        assert latest_possible_time(ClockReading(NOW - 3600.0, 5.0, "b2"), seen) == math.inf
        assert latest_possible_time(ClockReading(NOW + 60.0, 5.0, "b2"), seen) == NOW + 60.0
        assert latest_possible_time(ClockReading(NOW, 5.0, "b2"), None) == NOW
        ran = replace(BASE, executed_at=NOW - 1.0)
        assert assess_redrive(ran, math.inf, HERE, 0.5).kind == RedriveSafety.UNCERTAIN
        assert assess_redrive(BASE, math.inf, HERE, 0.5).is_allowed

    def test_two_machines_that_differ_by_two_seconds(self) -> None:
        # The partner saw the attempt at NOW - 11.6; the clock here is two seconds behind. With an allowance of
        # two seconds nothing is sent that would arrive outside; with none it would be.
        ran = replace(BASE, executed_at=NOW - 11.6)
        assert not assess_redrive(ran, NOW - 2.0, HERE, 2.0).is_allowed
        assert assess_redrive(ran, NOW - 2.0, HERE, 0.0).is_allowed


class TestRules:
    def test_each_condition(self) -> None:
        noon = 12 * 3600.0
        facts = replace(BASE, given_up_at=noon - 100.0, redrives=1)
        good = [
            Rule("r"), Rule("r", destinations=frozenset({7})), Rule("r", classes=frozenset({"booking-update"})),
            Rule("r", accounts=frozenset({"acme"})), Rule("r", min_age_s=50.0, max_age_s=200.0),
            Rule("r", max_redrives=2), Rule("r", from_hour=11.0, to_hour=13.0),
            Rule("r", from_hour=22.0, to_hour=13.0),
        ]  # fmt: skip
        bad = [
            Rule("r", destinations=frozenset({8})), Rule("r", classes=frozenset({"x"})),
            Rule("r", accounts=frozenset({"x"})), Rule("r", min_age_s=200.0), Rule("r", max_age_s=50.0),
            Rule("r", max_redrives=1), Rule("r", from_hour=13.0, to_hour=15.0),
            Rule("r", from_hour=22.0, to_hour=6.0),
        ]  # fmt: skip
        for rule in good:
            assert matches(rule, facts, noon), rule
        for rule in bad:
            assert not matches(rule, facts, noon), rule
        assert requested_by(facts, [*bad, Rule("last")], noon) == "last"
        assert requested_by(facts, bad, noon) == ""
        assert requested_by(replace(facts, redrive_requested=True), [], noon) == "a person"


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

    def test_it_increases_additively_to_its_fraction_of_the_rate(self) -> None:
        rate = self.run_rate([WELL, WELL], 5.0, RedriveRate(), 100.0)
        assert rate.per_s == pytest.approx(1.0 + 5.0, abs=0.6)
        rate = self.run_rate([WELL, WELL], 100.0, rate, 105.0)
        assert rate.per_s == 25.0  # a quarter of 100, from all instances together

    def test_nothing_is_sent_to_a_failing_or_warming_up_destination(self) -> None:
        for health in ("failing", "warming"):
            sick = replace(WELL, health=health, waiting=1)
            rate = self.run_rate([WELL, sick, WELL], 30.0, RedriveRate(), 100.0)
            assert (rate.per_s, rate.tokens) == (0.0, 0.0)
            assert health in rate.reason
        assert adjust_rate(RedriveRate(), [], False, 100.0, RedriveRateLimits()).tokens == 0.0

    def test_an_outage_without_live_traffic_is_tested_by_one_redrive_at_a_time(self) -> None:
        # Guards against a wait without end: nobody probes, so without messages no outage is seen to end.
        sick, rate, now, sent = replace(WELL, health="failing"), RedriveRate(), 100.0, 0
        for _ in range(40):
            now += 0.25
            rate = adjust_rate(rate, [WELL, sick], False, now, RedriveRateLimits())
            sent += int(rate.tokens)
            rate = consume_tokens(rate, int(rate.tokens))
        assert sent == 4
        warming = replace(WELL, health="warming")
        assert adjust_rate(RedriveRate(), [sick, warming], False, now, RedriveRateLimits()).tokens == 0.0

    def test_it_halves_at_a_rejection_once_a_second_and_obeys_retry_after(self) -> None:
        rate = RedriveRate(16.0, 100.0, 0.0, 0.0)
        rate = adjust_rate(rate, [replace(WELL, rate_limited=True)], False, 100.25, RedriveRateLimits())
        assert rate.per_s == 8.0
        rate = adjust_rate(rate, [replace(WELL, rate_limited=True)], False, 100.5, RedriveRateLimits())
        assert rate.per_s == 8.0
        rate = adjust_rate(rate, [WELL], True, 101.5, RedriveRateLimits())
        assert rate.per_s == 4.0
        rate = adjust_rate(rate, [WELL, replace(WELL, retry_after_s=1.0)], False, 102.0, RedriveRateLimits())
        assert (rate.per_s, rate.tokens) == (2.0, 0.0)

    def test_live_messages_have_priority_and_an_old_rate_expires(self) -> None:
        busy = replace(WELL, waiting=40)
        assert (
            adjust_rate(RedriveRate(16.0, 100.0, 5.0), [busy], False, 100.2, RedriveRateLimits()).tokens
            == 0.0
        )
        assert (
            adjust_rate(RedriveRate(16.0, 100.0, 5.0), [WELL], False, 200.0, RedriveRateLimits()).per_s < 2.0
        )
        assert max_in_flight(100, RedriveRateLimits()) == 25
        assert max_in_flight(0, RedriveRateLimits()) == 1

    @settings(derandomize=True, max_examples=200)
    @given(st.lists(st.tuples(st.floats(0.0, 3.0), st.booleans(), st.sampled_from(["well", "failing", "unknown"]),
                              st.floats(0, 2)), max_size=60))  # fmt: skip
    def test_no_history_makes_it_faster_than_its_bounds(
        self, history: list[tuple[float, bool, str, float]]
    ) -> None:
        rate, now, sent, rules = RedriveRate(), 100.0, list[float](), RedriveRateLimits()
        for passed, rejected, health, wait in history:
            now += passed
            view = replace(WELL, health=health, retry_after_s=wait if wait > 1.9 else 0.0)
            rate = adjust_rate(rate, [view], rejected, now, rules)
            sent += [now] * int(rate.tokens)
            rate = consume_tokens(rate, int(rate.tokens))
            assert rate.per_s <= 25.0
            assert rate.per_s >= 0.0
            assert sum(now - t <= 1.0 for t in sent) <= 2 * 25 + 1
