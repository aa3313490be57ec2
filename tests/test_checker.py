"""Tests that the checker passes the records of a valid run, and detects each violation added to them."""

from __future__ import annotations

import json
import tempfile
from collections.abc import Callable
from pathlib import Path

import pytest

from juniperward.fakes.checker import check
from juniperward.fakes.records import (
    AnyRecord,
    AttemptAnswered,
    AttemptReceived,
    AttemptUnanswered,
    Effect,
    NotificationReceived,
    ProcessChange,
    ProcessEvent,
    Recorder,
    SubmissionAnswered,
    Submitted,
    WatchEventSent,
    read,
)
from juniperward.fakes.verdict import Rule, Verdict


def message(
    name: str, at: float, attempt: int, destination: int = 1, forwarder: str = "n0"
) -> list[AnyRecord]:
    """Return the records of a message that is accepted and delivered at once."""
    return [
        Submitted(at, name, name, f"k{name}", "c", "acme", destination, forwarder, at, at + 20.0),
        SubmissionAnswered(at + 0.01, name, 202),
        AttemptReceived(
            at + 0.02, attempt, f"s-{destination}-0", destination, (name,), (f"k{name}",), at + 0.02
        ),
        Effect(at + 0.05, destination, name, f"k{name}"),
        AttemptAnswered(at + 0.06, attempt, ("ok",)),
    ]


def valid_run() -> list[AnyRecord]:
    """Return a valid run: deliveries, a resubmission, a Retry-After, a notification, a restart and a drain."""
    records = [r for n in range(5) for r in message(f"m{n}", 10.0 + n, n + 1, 1 + n % 2, f"n{n % 2}")]
    records += [
        WatchEventSent(1.0, "n0", "s-1-0", "Ready"), WatchEventSent(1.0, "n1", "s-1-0", "Ready"),
        WatchEventSent(20.0, "n0", "s-1-0", "Terminating"),
        Submitted(30.0, "x", "x", "kx", "c", "acme", 2, "n0", 30.0, 50.0), SubmissionAnswered(30.01, "x", 503, 1.0),
        Submitted(31.0, "x-2", "x", "kx", "c", "acme", 2, "n1", 30.0, 50.0), SubmissionAnswered(31.01, "x-2", 202),
        AttemptReceived(31.02, 20, "s-2-0", 2, ("x-2",), ("kx",), 31.02), AttemptAnswered(31.03, 20, ("later",), 2.0),
        AttemptReceived(33.1, 21, "s-2-0", 2, ("x-2",), ("kx",), 33.1), AttemptUnanswered(34.0, 21),
        AttemptReceived(34.1, 22, "s-2-0", 2, ("x-2",), ("kx",), 34.1), Effect(34.2, 2, "x-2", "kx"),
        AttemptAnswered(34.3, 22, ("ok",)),
        Submitted(40.0, "y", "y", "ky", "c", "acme", 2, "n1", 40.0, 60.0), SubmissionAnswered(40.01, "y", 202),
        NotificationReceived(59.9, "y", "undeliverable", "n1"),
        ProcessEvent(5.0, "n0", ProcessChange.START), ProcessEvent(5.0, "n1", ProcessChange.START),
        ProcessEvent(100.0, "n1", ProcessChange.EXIT), ProcessEvent(101.0, "n1", ProcessChange.START),
    ]  # fmt: skip
    return records


class TestChecker:
    def test_a_valid_run_passes(self) -> None:
        verdict = check(valid_run())
        assert verdict.lines() == ["every rule held"]
        assert (
            verdict.offered,
            verdict.submissions,
            verdict.accepted,
            verdict.delivered,
            verdict.notified,
            verdict.rejected,
        ) == (
            7,
            8,
            7,
            6,
            1,
            1,
        )
        assert verdict.priority_weight_delivered == pytest.approx(
            (5 + 1 - (4.3 - 3.0) / 17.0 * 0.7) / 7, abs=5e-7
        )
        assert check([]).passed

    def assert_detected(
        self, rule: Rule, subject: str, change: Callable[[list[AnyRecord]], list[AnyRecord]]
    ) -> Verdict:
        verdict = check(change(valid_run()))
        assert rule in [violation.rule for violation in verdict.violations], f"{rule} was not detected"
        found = next(violation for violation in verdict.violations if violation.rule == rule)
        assert found.subject == subject
        assert found.related_records
        assert rule in verdict.lines()[1]
        return verdict

    def test_a_lost_message_is_detected(self) -> None:
        self.assert_detected(
            Rule.ONE_OUTCOME, "y", lambda rs: [r for r in rs if not isinstance(r, NotificationReceived)]
        )

    def test_an_outcome_past_its_deadline_is_detected(self) -> None:
        late = NotificationReceived(60.5, "y", "undeliverable", "n1")
        self.assert_detected(
            Rule.ONE_OUTCOME,
            "y",
            lambda rs: [*(r for r in rs if not isinstance(r, NotificationReceived)), late],
        )

    def test_an_outcome_after_a_restart_has_more_time(self) -> None:
        restart: list[AnyRecord] = [
            ProcessEvent(59.0, "n1", ProcessChange.KILL),
            ProcessEvent(61.0, "n1", ProcessChange.START),
        ]
        records = [r for r in valid_run() if not isinstance(r, NotificationReceived)] + restart
        assert check([*records, NotificationReceived(62.5, "y", "undeliverable", "n1")]).passed
        assert not check([*records, NotificationReceived(63.0, "y", "undeliverable", "n1")]).passed

    def test_an_outcome_that_is_not_overdue_at_a_kill_has_more_time(self) -> None:
        # Guards against a check that is stricter than the protocol's rule on notices around a restart.
        def passes(killed_at: float, notified_at: float) -> bool:
            return check(
                [
                    *(r for r in valid_run() if not isinstance(r, NotificationReceived)),
                    ProcessEvent(killed_at, "n1", ProcessChange.KILL),
                    ProcessEvent(61.0, "n1", ProcessChange.START),
                    NotificationReceived(notified_at, "y", "undeliverable", "n1"),
                ]
            ).passed

        assert passes(60.01, 62.5)
        assert passes(60.29, 62.5)
        assert not passes(60.29, 63.0)
        assert not passes(60.31, 60.9), "it was overdue before the kill"

    def test_a_second_outcome_is_detected(self) -> None:
        self.assert_detected(
            Rule.ONE_OUTCOME, "m1", lambda rs: [*rs, NotificationReceived(12.0, "m1", "undeliverable", "n1")]
        )
        self.assert_detected(
            Rule.ONE_OUTCOME, "y", lambda rs: [*rs, NotificationReceived(59.95, "y", "deferred", "n1")]
        )
        self.assert_detected(
            Rule.ONE_OUTCOME, "x", lambda rs: [*rs, NotificationReceived(30.5, "x", "deferred", "n0")]
        )

    def test_a_repeated_notification_is_no_second_outcome(self) -> None:
        assert check([*valid_run(), NotificationReceived(59.95, "y", "undeliverable", "n1")]).passed

    def test_a_notification_that_crossed_the_answer_is_allowed(self) -> None:
        # The protocol allows a notification that is sent while the answer is on its way.
        assert check([*valid_run(), NotificationReceived(11.06 + 0.04, "m1", "undeliverable", "n1")]).passed
        assert not check(
            [*valid_run(), NotificationReceived(11.06 + 0.06, "m1", "undeliverable", "n1")]
        ).passed

    def test_a_notification_that_crossed_a_restart_is_allowed(self) -> None:
        restart_and_notification: list[AnyRecord] = [
            ProcessEvent(12.0, "n1", ProcessChange.KILL), ProcessEvent(12.5, "n1", ProcessChange.START),
            NotificationReceived(25.0, "m1", "undeliverable", "n1"),
        ]  # fmt: skip
        assert check([*valid_run(), *restart_and_notification]).passed

    def test_a_concurrent_duplicate_attempt_is_detected(self) -> None:
        copy = AttemptReceived(10.03, 90, "s-1-0", 1, ("m0",), ("km0",), 10.03)
        self.assert_detected(
            Rule.ONE_IN_FLIGHT, "m0", lambda rs: [*rs, copy, AttemptAnswered(10.2, 90, ("ok",))]
        )

    def test_an_attempt_after_an_unanswered_one_is_no_concurrent_duplicate(self) -> None:
        assert check(valid_run()).retries == 2

    def test_an_attempt_after_an_answer_that_ended_its_message_is_detected(self) -> None:
        def with_state(state: str, *later: AnyRecord) -> list[AnyRecord]:
            return [
                *valid_run(),
                Submitted(70.0, "z", "z", "kz", "c", "acme", 2, "n1", 70.0, 90.0),
                SubmissionAnswered(70.01, "z", 202),
                AttemptReceived(70.02, 96, "s-2-0", 2, ("z",), ("kz",), 70.02),
                AttemptAnswered(70.03, 96, (state,)),
                NotificationReceived(70.5, "z", "undeliverable", "n1"),
                *later,
            ]

        again = AttemptReceived(70.2, 97, "s-2-0", 2, ("z",), ("kz",), 70.2)
        kill = ProcessEvent(70.07, "n1", ProcessChange.KILL)
        late_kill = ProcessEvent(70.09, "n1", ProcessChange.KILL)
        start = ProcessEvent(70.1, "n1", ProcessChange.START)
        for state in ("gone", "exhausted"):
            assert check(with_state(state)).passed
            # A notification of a message that is over does no harm, and none is owed.
            gone_without_notification = [
                record
                for record in with_state(state)
                if not isinstance(record, NotificationReceived) or record.id != "z"
            ]
            late = ProcessEvent(101.5, "n0", ProcessChange.START)
            assert check([*gone_without_notification, late]).passed == (state == "gone")
            self.assert_detected(Rule.ENDED_MESSAGES, "z", lambda _, s=state: with_state(s, again))  # type: ignore[misc]
            # The process had no time to journal the answer before it was killed.
            assert check(with_state(state, kill, start, again)).passed
            assert not check(with_state(state, late_kill, start, again)).passed
        assert check(with_state("later", again)).passed

    def test_a_second_effect_is_detected(self) -> None:
        self.assert_detected(Rule.ONE_EFFECT, "m0", lambda rs: [*rs, Effect(25.0, 1, "m0", "km0")])

    def test_an_attempt_to_a_draining_endpoint_is_detected(self) -> None:
        def with_attempt_after(delay_s: float) -> list[AnyRecord]:
            return [*valid_run(), *message("z", 20.0 + delay_s - 0.02, 91)]

        assert check(with_attempt_after(0.24)).passed
        self.assert_detected(Rule.DRAINING, "s-1-0", lambda _: with_attempt_after(0.26))
        # A second event that it drains or is gone does not extend the grace period.
        self.assert_detected(
            Rule.DRAINING,
            "s-1-0",
            lambda _: [*with_attempt_after(5.0), WatchEventSent(24.9, "n0", "s-1-0", "Gone")],
        )
        assert check([*with_attempt_after(5.0), WatchEventSent(24.0, "n0", "s-1-0", "Ready")]).passed

    def test_an_attempt_within_retry_after_is_detected(self) -> None:
        early = AttemptReceived(32.5, 92, "s-2-1", 2, ("x-2",), ("kx",), 32.5)
        self.assert_detected(Rule.RETRY_AFTER, "destination 2", lambda rs: [*rs, early])
        under_way = AttemptReceived(31.1, 92, "s-2-1", 2, ("x-2",), ("kx",), 31.1)
        assert Rule.RETRY_AFTER not in [v.rule for v in check([*valid_run(), under_way]).violations]
        restart: list[AnyRecord] = [
            ProcessEvent(32.0, "n1", ProcessChange.KILL),
            ProcessEvent(32.3, "n1", ProcessChange.START),
        ]
        assert Rule.RETRY_AFTER not in [v.rule for v in check([*valid_run(), *restart, early]).violations]

    def test_unknown_and_changed_messages_are_detected(self) -> None:
        unknown = AttemptReceived(15.0, 93, "s-1-0", 1, ("who",), ("k",), 15.0)
        self.assert_detected(Rule.KNOWN_MESSAGE, "who", lambda rs: [*rs, unknown])
        self.assert_detected(
            Rule.KNOWN_MESSAGE,
            "m0",
            lambda rs: [*rs, AttemptReceived(15.0, 94, "s-9-0", 9, ("m0",), ("km0",), 15.0)],
        )
        self.assert_detected(
            Rule.KNOWN_MESSAGE,
            "m0",
            lambda rs: [*rs, AttemptReceived(15.0, 95, "s-1-0", 1, ("m0",), ("kk",), 15.0)],
        )
        self.assert_detected(
            Rule.KNOWN_MESSAGE,
            "x",
            lambda rs: [*rs, AttemptReceived(32.0, 96, "s-2-0", 2, ("x",), ("kx",), 32.0)],
        )

    def test_records_are_read_back_from_a_file(self) -> None:
        recorder = Recorder()
        for r in valid_run():
            recorder.add(r)
        with tempfile.TemporaryDirectory() as folder:
            recorder.write(Path(folder) / "a")
            assert list(read([Path(folder) / "a"])) == valid_run()

    def test_files_keep_the_tags_and_keys_of_earlier_runs(self) -> None:
        # Files of earlier runs must stay readable although the names in the code have changed.
        lines = [
            {"type": "Handed", "at": 1.0, "id": "m", "first": "m", "key": "k", "cls": "c", "account": "acme",
             "destination": 1, "forwarder": "n0", "due": 1.0, "expires": 21.0},
            {"type": "Heard", "at": 1.1, "id": "m", "status": 202, "retry_after": 0.0},
            {"type": "Called", "at": 1.2, "call": 7, "worker": "s-1-0", "destination": 1, "ids": ["m"],
             "keys": ["k"], "began": 1.2},
            {"type": "Replied", "at": 1.3, "call": 7, "states": ["later"], "wait": 2.0},
            {"type": "Hung", "at": 1.4, "call": 8},
            {"type": "Effect", "at": 1.5, "destination": 1, "id": "m", "key": "k"},
            {"type": "Noticed", "at": 1.6, "id": "m", "status": "undeliverable", "forwarder": "n0"},
            {"type": "Told", "at": 1.7, "forwarder": "n0", "worker": "s-1-0", "state": "Gone"},
            {"type": "Life", "at": 1.8, "forwarder": "n0", "what": "term"},
        ]  # fmt: skip
        with tempfile.TemporaryDirectory() as folder:
            before, after = Path(folder) / "before", Path(folder) / "after"
            before.write_text("".join(json.dumps(line) + "\n" for line in lines))
            recorder = Recorder()
            for record in read([before]):
                recorder.add(record)
            recorder.write(after)
            assert [json.loads(line) for line in after.read_text().splitlines()] == lines
