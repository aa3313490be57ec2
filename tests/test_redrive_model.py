"""Model check of redrives with crashes, lost answers and injected bugs, which it must detect."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from juniperward.dead_letters.clock import ClockReading
from juniperward.dead_letters.dead_letter import DeadLetter
from juniperward.dead_letters.fleet import ReportedOutcome
from juniperward.dead_letters.operator_actions import ManualSettlement
from juniperward.dead_letters.redrive_rate import DestinationView, RedriveRateLimits
from juniperward.dead_letters.redrive_rules import Rule
from juniperward.dead_letters.redrive_safety import RedriveAssessment, RedriveSafety
from juniperward.dead_letters.redrive_settings import RedriveSettings
from juniperward.dead_letters.redriver import Redriver
from juniperward.dead_letters.resubmission import Resubmission, SubmissionAnswer
from juniperward.dead_letters.selection import Filter, Lease, SpoolPosition
from juniperward.dead_letters.settlement import RedriveSettler
from juniperward.dead_letters.spool_format import SpooledAttempt, SpooledMessage
from juniperward.dead_letters.store import DeadLetterStore
from juniperward.dead_letters.store_errors import LeaseLostError
from juniperward.scheduler.settings import Idempotency

DEDUPLICATION_WINDOW_S = 12.0
SETTINGS = RedriveSettings(
    (Rule("all", max_redrives=50),),
    RedriveRateLimits(initial_per_s=4.0, max_per_s=50.0, fraction_of_rate_limit=1.0, fraction_of_slots=1.0),
    clock_allowance_s=0.5,
    time_left_s={"c": 5.0},
)


class CrashError(Exception):
    """The simulated crash of the redriver's process."""


class Simulation:
    """Two simulated forwarders and a destination; a real redriver that may crash before any operation."""

    def __init__(
        self, folder: Path, execution_offsets_s: tuple[float | None, ...] = (None, None, -4.0)
    ) -> None:
        self.store = DeadLetterStore(folder / "kept.db", "OFF")
        self.now = 10_000.0
        self.operations = 0
        self.crash_at: set[int] = set()  # numbers of operations
        self.alive = {"n0": True, "n1": True}
        self.accepted: dict[str, dict[str, Resubmission]] = {"n0": {}, "n1": {}}
        self.delayed: list[tuple[str, Resubmission]] = []  # submissions that arrive after their timeout
        self.decided: dict[str, dict[str, ReportedOutcome]] = {"n0": {}, "n1": {}}
        self.reported_unknown: set[str] = set()
        self.rejects_unknown = True
        self.executions: dict[str, list[float]] = {}
        self.deduplicated: dict[str, float] = {}  # execution times by idempotency key, at the destination
        # Each of the next submissions takes one fault: lost (its answer is), late or refused.
        self.submission_faults: list[str] = []
        # Each of the next attempts takes one fault: lost (its answer is), failed or refused.
        self.attempt_faults: list[str] = []
        self.destination_is_up = True
        self.possible_executions: dict[str, list[float]] = {}
        spooled = []
        for number, offset_s in enumerate(execution_offsets_s):
            key = f"k{number}"
            attempts: tuple[SpooledAttempt, ...] = ()
            if offset_s is not None:
                self.executions[key] = [self.now + offset_s]
                self.deduplicated[key] = self.now + offset_s
                attempts = (SpooledAttempt("s-1", self.now + offset_s, "reset", True),)
            spooled.append(
                SpooledMessage(
                    f"m{number}",
                    "c",
                    "acme",
                    7,
                    key,
                    b"x",
                    0.0,
                    self.now - 1.0,
                    attempts,
                    Idempotency.IDEMPOTENCY_KEY,
                    DEDUPLICATION_WINDOW_S,
                    ("s-1",),
                )
            )
        self.store.add("n0", spooled, SpoolPosition(1, 1))
        self.redriver = Redriver(self.store, self, SETTINGS)
        self.restart()

    def restart(self) -> None:
        """Replace the redriver by a new one that has only the store."""
        self.store.close()
        self.redriver = Redriver(self.store, self, SETTINGS)
        for name in ("acquire_lease", "settle_redrive", "open_redrives", "record_clock"):
            method: Callable[..., Any] = getattr(DeadLetterStore, name).__get__(self.store)
            setattr(self.store, name, self._counted(method))

    def _counted(self, method: Callable[..., Any]) -> Callable[..., Any]:
        def call(*args: Any) -> Any:
            self._operation()
            return method(*args)

        return call

    def _operation(self) -> None:
        self.operations += 1
        if self.operations in self.crash_at:
            raise CrashError

    # --- the Fleet that the redriver uses ------------------------------------------------------------------

    def clock(self) -> ClockReading:
        return ClockReading(self.now, self.now, "b")

    def forwarders(self) -> list[str]:
        return sorted(forwarder for forwarder, alive in self.alive.items() if alive)

    def destination_views(self, destination: int) -> list[DestinationView]:
        return [DestinationView("well", 0.0, False, 50.0, 0, 8)]

    def endpoints(self, destination: int) -> frozenset[str] | None:
        return frozenset({"s-1"})

    def slots(self) -> int:
        return 16

    def read_spools(self, store: DeadLetterStore) -> int:
        self._operation()
        return 0

    def submit(self, forwarder: str, message: Resubmission) -> SubmissionAnswer:
        self._operation()
        fault = self.submission_faults.pop(0) if self.submission_faults else "ok"
        if fault == "refused" or not self.alive[forwarder]:
            status = 503 if self.alive[forwarder] else -1
        elif fault == "late":
            self.delayed.append((forwarder, message))
            status = 0
        else:
            self.accept(forwarder, message)
            status = 0 if fault == "lost" else 202
        self._operation()  # a crash after the submission, before its result is used
        return SubmissionAnswer(status, 0.0)

    def outcomes(self, forwarder: str, ids: tuple[str, ...]) -> dict[str, ReportedOutcome] | None:
        self._operation()
        if not self.alive[forwarder]:
            return None
        found = {}
        for redrive_id in ids:
            if redrive_id in self.accepted[forwarder]:
                found[redrive_id] = ReportedOutcome("held", None, 0.0)
            elif redrive_id in self.decided[forwarder]:
                found[redrive_id] = self.decided[forwarder][redrive_id]
            else:
                found[redrive_id] = ReportedOutcome("unknown", None, 0.0)
                self.reported_unknown.add(redrive_id)
        return found

    # --- forwarders and destination ------------------------------------------------------------------------

    def accept(self, forwarder: str, redrive: Resubmission) -> None:
        """Accept a redrive unless the forwarder has reported its id as unknown."""
        if self.rejects_unknown and redrive.id in self.reported_unknown:
            return
        base = redrive.id.rsplit("-", 1)[0]
        for accepted in self.accepted.values():
            assert not any(other.rsplit("-", 1)[0] == base for other in accepted), (
                f"two redrives of {redrive.idempotency_key} are in progress"
            )
        self.accepted[forwarder][redrive.id] = redrive
        executed_ago_s = redrive.executed_ago_s
        self.possible_executions[redrive.id] = (
            [self.now - executed_ago_s] if executed_ago_s is not None else []
        )

    def deliver_delayed(self) -> None:
        delayed, self.delayed = self.delayed, []
        for forwarder, redrive in delayed:
            self.accept(forwarder, redrive)

    def attempt_all(self) -> None:
        """Attempt each accepted redrive inside its deduplication window, and give it up if that fails."""
        for forwarder, accepted in self.accepted.items():
            if not self.alive[forwarder]:
                continue
            for redrive_id, redrive in list(accepted.items()):
                possible_executions = self.possible_executions[redrive_id]
                if possible_executions and self.now >= possible_executions[0] + DEDUPLICATION_WINDOW_S:
                    self.decide(forwarder, redrive_id, "undeliverable")
                    continue
                fault = self.attempt_faults.pop(0) if self.attempt_faults else "ok"
                if fault == "refused" or not self.destination_is_up:
                    self.decide(forwarder, redrive_id, "undeliverable")
                    continue
                if fault != "failed":
                    self.execute(redrive.idempotency_key or "")
                if fault == "ok":
                    self.decide(forwarder, redrive_id, "delivered")
                else:
                    possible_executions.append(self.now)
                    self.decide(forwarder, redrive_id, "undeliverable")

    def decide(self, forwarder: str, redrive_id: str, result: str) -> None:
        del self.accepted[forwarder][redrive_id]
        executed_at = min(self.possible_executions[redrive_id], default=None)
        self.decided[forwarder][redrive_id] = ReportedOutcome(result, executed_at, 0.0)

    def execute(self, key: str) -> None:
        if key in self.deduplicated and self.now < self.deduplicated[key] + DEDUPLICATION_WINDOW_S:
            return
        self.deduplicated[key] = self.now
        self.executions.setdefault(key, []).append(self.now)
        assert len(self.executions[key]) == 1, f"{key} was executed again: {self.executions[key]}"

    def round(self) -> None:
        try:
            self.redriver.round()
        except CrashError:
            self.restart()

    def run(self, rounds: int, seconds: float = 0.25) -> None:
        for _ in range(rounds):
            self.now += seconds
            self.round()
            self.attempt_all()

    def finish(self) -> None:
        """End all faults, and check that every message that may be redriven is delivered once."""
        self.crash_at, self.submission_faults, self.attempt_faults = set(), [], []
        self.destination_is_up = True
        self.alive = dict.fromkeys(self.alive, True)
        self.deliver_delayed()
        self.run(50)
        for letter in self.store.select(Filter()):
            count = len(self.executions.get(letter.idempotency_key or "", []))
            assert count <= 1
            if letter.status == "delivered":
                assert count == 1, f"{letter.id} is marked as delivered but was not executed once"
            elif letter.status == "kept":
                assert letter.executed_at is not None, (
                    f"{letter.id} is safe to redrive but was never redriven"
                )
            else:
                raise AssertionError(f"{letter.id} remains {letter.status}")
        self.store.close()


class TestRedriveModel:
    @pytest.fixture(autouse=True)
    def set_up(self, tmp_path: Path) -> None:
        self.folder, self.run_count = tmp_path, 0

    def simulation(self) -> Simulation:
        self.run_count += 1
        folder = self.folder / str(self.run_count)
        folder.mkdir()
        return Simulation(folder)

    def explore(self, prepare: Callable[[Simulation], None] = lambda _: None, pairs: bool = True) -> int:
        """Run each crash, alone and followed by a second one, with each fault of submission and attempt."""
        undisturbed = self.simulation()
        prepare(undisturbed)
        undisturbed.run(8)
        undisturbed.finish()
        operation_count = undisturbed.operations
        runs = 0
        for submission_fault in ("ok", "lost", "late", "refused"):
            for attempt_fault in ("ok", "lost", "failed", "refused"):
                for first in range(1, 26):
                    for second in (0, 2) if pairs else (0,):
                        sim = self.simulation()
                        prepare(sim)
                        sim.submission_faults, sim.attempt_faults = [submission_fault], [attempt_fault]
                        sim.crash_at = {first, first + second}
                        sim.run(4)
                        sim.deliver_delayed()
                        sim.run(4)
                        sim.finish()
                        runs += 1
        assert operation_count > 26
        return runs

    def test_no_crash_or_lost_answer_duplicates_or_loses_a_message(self) -> None:
        assert self.explore() == 4 * 4 * 25 * 2

    def test_it_detects_a_forwarder_that_accepts_what_it_reported_unknown(self) -> None:
        def accept_unknown(sim: Simulation) -> None:
            sim.rejects_unknown = False

        with pytest.raises(AssertionError, match="in progress|executed again|delivered"):
            self.explore(accept_unknown, pairs=False)

    def test_it_detects_a_resubmission_before_the_lease_is_durable(self) -> None:
        def lose_leases(sim: Simulation) -> None:
            acquire_lease = sim.store.acquire_lease

            def acquire_and_lose(*args: Any) -> Lease:
                lease = acquire_lease(*args)
                with sim.store.transaction() as db:
                    db.execute("UPDATE message SET stand = 'kept' WHERE id = ?", (lease.message,))
                    db.execute("DELETE FROM resend WHERE id = ?", (lease.redrive_id,))
                return lease

            sim.store.acquire_lease = acquire_and_lose  # type: ignore[method-assign, assignment]

        with pytest.raises(AssertionError):
            self.explore(lose_leases, pairs=False)

    def test_it_detects_a_timeout_treated_as_never_accepted(self) -> None:
        settle_one = RedriveSettler._settle_one

        def treat_pending_as_unknown(
            self: RedriveSettler, settlement: Any, lease: Lease, reported: ReportedOutcome | None, now: float
        ) -> None:
            if reported is not None and reported.result == "held":
                reported = ReportedOutcome("unknown", None, 0.0)
            settle_one(self, settlement, lease, reported, now)

        with (
            mock.patch.object(RedriveSettler, "_settle_one", treat_pending_as_unknown),
            pytest.raises(AssertionError),
        ):
            self.explore(pairs=False)

    def test_it_detects_an_ignored_deduplication_window(self) -> None:
        # Both the redriver and the forwarder enforce the window, so the bug shows only if both ignore it.
        def allow_always(
            message: DeadLetter, _now: float, _listed: Any, _allowance: float
        ) -> RedriveAssessment:
            return RedriveAssessment(RedriveSafety.SAFE, message.status == "kept")

        def pass_the_window(sim: Simulation) -> None:
            sim.now += 20.0

        allowing = mock.patch("juniperward.dead_letters.redrive_safety.assess_redrive", allow_always)
        with allowing:
            sim = self.simulation()
            pass_the_window(sim)
            sim.run(40)  # the forwarder alone enforces the window
            assert all(len(times) == 1 for times in sim.executions.values())
            sim.store.close()
        accept = Simulation.accept

        def accept_without_execution_time(sim: Simulation, forwarder: str, redrive: Resubmission) -> None:
            accept(sim, forwarder, replace(redrive, executed_ago_s=None))

        detects = pytest.raises(AssertionError, match="executed again")
        with allowing, mock.patch.object(Simulation, "accept", accept_without_execution_time), detects:
            self.explore(pass_the_window, pairs=False)

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.lists(st.one_of(
        st.tuples(st.just("run"), st.integers(1, 6)), st.tuples(st.just("wait"), st.integers(1, 20)),
        st.tuples(st.just("crash"), st.integers(1, 12)), st.tuples(st.just("toggle"), st.integers(0, 1)),
        st.tuples(st.just("destination"), st.integers(0, 1)), st.tuples(st.just("late"), st.just(0)),
        st.tuples(st.sampled_from([
            "submission:lost", "submission:late", "submission:refused", "attempt:lost", "attempt:failed"]),
                  st.integers(1, 3)),
        st.tuples(st.sampled_from(["request", "discard", "undo"]), st.integers(0, 2)),
    ), max_size=14))  # fmt: skip
    def test_any_history_satisfies_the_invariants(self, history: list[tuple[str, int]]) -> None:
        sim = self.simulation()
        discarded: set[str] = set()
        for action, number in history:
            message = f"m{number}"
            match action:
                case "run":
                    sim.run(number)
                case "wait":
                    sim.now += number
                case "crash":
                    sim.crash_at.add(sim.operations + number)
                case "toggle":
                    forwarder = f"n{number}"
                    sim.alive[forwarder] = not sim.alive[forwarder]
                case "destination":
                    sim.destination_is_up = bool(number)
                case "late":
                    sim.deliver_delayed()
                case "request":
                    sim.store.request_redrive([message], "ann")
                case "discard":
                    if sim.store.discard([message], "ann"):
                        discarded.add(message)
                case "undo":
                    sim.store.undo([message], "bob")
                case _:
                    place, _, fault = action.partition(":")
                    faults = sim.submission_faults if place == "submission" else sim.attempt_faults
                    faults.extend([fault] * number)
        sim.store.undo(sorted(discarded), "ann")
        sim.finish()

    def test_a_forwarder_that_lost_its_state_leaves_the_lease_to_an_operator(self) -> None:
        sim = self.simulation()
        sim.submission_faults = ["lost"]
        sim.round()
        sim.now += 0.25
        sim.round()
        (lease, *_) = sim.store.open_redrives()
        sim.accepted[lease.forwarder].clear()
        outcomes = sim.outcomes

        def outcomes_after_loss(forwarder: str, ids: tuple[str, ...]) -> dict[str, ReportedOutcome] | None:
            reported = outcomes(forwarder, ids) or {}
            return {
                redrive_id: replace(outcome, complete_since=sim.now)
                if outcome.result == "unknown"
                else outcome
                for redrive_id, outcome in reported.items()
            }

        sim.outcomes = outcomes_after_loss  # type: ignore[method-assign]
        sim.run(20)
        assert lease.redrive_id in sim.redriver.round().unresolved
        (letter,) = sim.store.select(Filter(ids=(lease.message,)))
        assert letter.status == "claimed"
        statement = ManualSettlement(False, "ann", "the destination never received it")
        sim.store.settle(lease.message, statement, sim.now)
        sim.outcomes = outcomes  # type: ignore[method-assign]
        sim.finish()

    def test_nothing_is_submitted_if_the_window_closes_after_the_decision(self) -> None:
        sim = Simulation(self.folder, (-4.0,))
        acquire_lease = sim.store.acquire_lease

        def acquire_slowly(*args: Any) -> Lease:
            lease: Lease = acquire_lease(*args)
            sim.now += 9.0
            return lease

        sim.store.acquire_lease = acquire_slowly  # type: ignore[method-assign, assignment]
        sim.run(8)
        assert sim.decided == {"n0": {}, "n1": {}}
        (letter,) = sim.store.select(Filter())
        assert letter.status == "kept"
        with pytest.raises(LeaseLostError):
            sim.store.acquire_lease("m9", None, "n0", 0.0, "x")
        sim.store.close()
