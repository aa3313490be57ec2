"""The protocol of lease, hand-in and fate, explored: every crash, every lost answer, and planted bugs it must find.

`Sim` is a small world of two forwarders and a partner, all in memory; the redriver and its store are the real ones.
A crash takes the redriver away before any of its operations, and a new one begins with the store alone.
"""

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

WINDOW = 12.0
SETTINGS = RedriveSettings(
    (Rule("all", max_redrives=50),),
    RedriveRateLimits(initial_per_s=4.0, max_per_s=50.0, fraction_of_rate_limit=1.0, fraction_of_slots=1.0),
    clock_allowance_s=0.5,
    time_left_s={"c": 5.0},
)


class CrashError(Exception):
    """The redriver's process is gone."""


class Sim:
    """Two forwarders, a partner, and a redriver that may be killed."""

    def __init__(self, folder: Path, ran: tuple[float | None, ...] = (None, None, -4.0)) -> None:
        self.store = DeadLetterStore(folder / "kept.db", "OFF")
        self.now = 10_000.0
        self.operations = 0
        self.crash_at: set[int] = set()
        self.alive = {"n0": True, "n1": True}
        self.held: dict[str, dict[str, Resubmission]] = {"n0": {}, "n1": {}}
        self.late: list[tuple[str, Resubmission]] = []  # requests still on their way when their sender died
        self.told: dict[str, dict[str, ReportedOutcome]] = {"n0": {}, "n1": {}}
        self.fenced: set[str] = set()
        self.fencing = True
        self.effects: dict[str, list[float]] = {}
        self.done: dict[str, float] = {}  # the partner's memory of keys
        self.door: list[str] = []  # what happens to the next hand-ins: lost (answer), late, refused
        self.calls: list[str] = []  # what happens to the next calls: lost (answer), failed, refused
        self.up = True
        self.ran: dict[str, list[float]] = {}
        spooled = []
        for n, at in enumerate(ran):
            key = f"k{n}"
            attempts: tuple[SpooledAttempt, ...] = ()
            if at is not None:
                self.effects[key] = [self.now + at]
                self.done[key] = self.now + at
                attempts = (SpooledAttempt("s-1", self.now + at, "reset", True),)
            spooled.append(
                SpooledMessage(
                    f"m{n}",
                    "c",
                    "acme",
                    7,
                    key,
                    b"x",
                    0.0,
                    self.now - 1.0,
                    attempts,
                    Idempotency.IDEMPOTENCY_KEY,
                    WINDOW,
                    ("s-1",),
                )
            )
        self.store.add("n0", spooled, SpoolPosition(1, 1))
        self.redriver = Redriver(self.store, self, SETTINGS)
        self.restart()

    def restart(self) -> None:
        """A new redriver with nothing but the store."""
        self.store.close()
        self.redriver = Redriver(self.store, self, SETTINGS)
        for name in ("acquire_lease", "settle_redrive", "open_redrives", "record_clock"):
            real: Callable[..., Any] = getattr(DeadLetterStore, name).__get__(self.store)
            setattr(self.store, name, self._counted(real))

    def _counted(self, real: Callable[..., Any]) -> Callable[..., Any]:
        def call(*args: Any) -> Any:
            self._operation()
            return real(*args)

        return call

    def _operation(self) -> None:
        self.operations += 1
        if self.operations in self.crash_at:
            raise CrashError

    # --- what the redriver sees ----------------------------------------------------------------------------------

    def clock(self) -> ClockReading:
        return ClockReading(self.now, self.now, "b")

    def forwarders(self) -> list[str]:
        return sorted(n for n, alive in self.alive.items() if alive)

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
        what = self.door.pop(0) if self.door else "ok"
        if what == "refused" or not self.alive[forwarder]:
            status = 503 if self.alive[forwarder] else -1
        elif what == "late":
            self.late.append((forwarder, message))
            status = 0
        else:
            self.take(forwarder, message)
            status = 0 if what == "lost" else 202
        self._operation()  # and after it: it was taken, and nobody noted that
        return SubmissionAnswer(status, 0.0)

    def outcomes(self, forwarder: str, ids: tuple[str, ...]) -> dict[str, ReportedOutcome] | None:
        self._operation()
        if not self.alive[forwarder]:
            return None
        found = {}
        for name in ids:
            if name in self.held[forwarder]:
                found[name] = ReportedOutcome("held", None, 0.0)
            elif name in self.told[forwarder]:
                found[name] = self.told[forwarder][name]
            else:
                found[name] = ReportedOutcome("unknown", None, 0.0)
                self.fenced.add(name)
        return found

    # --- what the world does ---------------------------------------------------------------------------------------

    def take(self, forwarder: str, h: Resubmission) -> None:
        """The forwarder's door; an id that it said it does not know it never takes."""
        if self.fencing and h.id in self.fenced:
            return
        base = h.id.rsplit("-", 1)[0]
        for held in self.held.values():
            assert not any(x.rsplit("-", 1)[0] == base for x in held), (
                f"two resends of {h.idempotency_key} are under way"
            )
        self.held[forwarder][h.id] = h
        self.ran[h.id] = [self.now - h.executed_ago_s] if h.executed_ago_s is not None else []

    def arrive_late(self) -> None:
        late, self.late = self.late, []
        for forwarder, h in late:
            self.take(forwarder, h)

    def work(self) -> None:
        """Forwarders call the partner, inside the window that they were told; what fails is given up."""
        for forwarder, held in self.held.items():
            if not self.alive[forwarder]:
                continue
            for name, h in list(held.items()):
                ran = self.ran[name]
                if ran and self.now >= ran[0] + WINDOW:
                    self.end(forwarder, name, "undeliverable")
                    continue
                what = self.calls.pop(0) if self.calls else "ok"
                if what == "refused" or not self.up:
                    self.end(forwarder, name, "undeliverable")
                    continue
                if what != "failed":
                    self.effect(h.idempotency_key or "")
                if what == "ok":
                    self.end(forwarder, name, "delivered")
                else:
                    ran.append(self.now)
                    self.end(forwarder, name, "undeliverable")

    def end(self, forwarder: str, name: str, end: str) -> None:
        del self.held[forwarder][name]
        self.told[forwarder][name] = ReportedOutcome(end, min(self.ran[name], default=None), 0.0)

    def effect(self, key: str) -> None:
        if key in self.done and self.now < self.done[key] + WINDOW:
            return
        self.done[key] = self.now
        self.effects.setdefault(key, []).append(self.now)
        assert len(self.effects[key]) == 1, f"a second effect of {key}: {self.effects[key]}"

    def round(self) -> None:
        try:
            self.redriver.round()
        except CrashError:
            self.restart()

    def run(self, rounds: int, seconds: float = 0.25) -> None:
        for _ in range(rounds):
            self.now += seconds
            self.round()
            self.work()

    def finish(self) -> None:
        """All is well again: every message that may go arrives once."""
        self.crash_at, self.door, self.calls, self.up = set(), [], [], True
        self.alive = dict.fromkeys(self.alive, True)
        self.arrive_late()
        self.run(50)
        for f in self.store.select(Filter()):
            count = len(self.effects.get(f.idempotency_key or "", []))
            assert count <= 1
            if f.status == "delivered":
                assert count == 1, f"{f.id} is called delivered and never was"
            elif f.status == "kept":
                assert f.executed_at is not None, f"{f.id} may go and has not gone"
            else:
                raise AssertionError(f"{f.id} is {f.status} for ever")
        self.store.close()


class TestExplore:
    @pytest.fixture(autouse=True)
    def set_up(self, tmp_path: Path) -> None:
        self.folder, self.count = tmp_path, 0

    def sim(self) -> Sim:
        self.count += 1
        folder = self.folder / str(self.count)
        folder.mkdir()
        return Sim(folder)

    def explore(self, prepare: Callable[[Sim], None] = lambda _: None, pairs: bool = True) -> int:
        """Each crash alone, and each with a second soon after it, under each fault of door and call."""
        calm = self.sim()
        prepare(calm)
        calm.run(8)
        calm.finish()
        places = calm.operations
        runs = 0
        for door in ("ok", "lost", "late", "refused"):
            for call in ("ok", "lost", "failed", "refused"):
                for first in range(1, 26):
                    for second in (0, 2) if pairs else (0,):
                        sim = self.sim()
                        prepare(sim)
                        sim.door, sim.calls = [door], [call]
                        sim.crash_at = {first, first + second}
                        sim.run(4)
                        sim.arrive_late()
                        sim.run(4)
                        sim.finish()
                        runs += 1
        assert places > 26
        return runs

    def test_no_crash_or_lost_answer_duplicates_or_loses_a_message(self) -> None:
        assert self.explore() == 4 * 4 * 25 * 2

    def test_it_detects_a_forwarder_that_accepts_what_it_reported_unknown(self) -> None:
        def unfenced(sim: Sim) -> None:
            sim.fencing = False

        with pytest.raises(AssertionError, match="under way|second effect|delivered"):
            self.explore(unfenced, pairs=False)

    def test_it_detects_a_resubmission_before_the_lease_is_durable(self) -> None:
        def forgetful(sim: Sim) -> None:
            real = sim.store.acquire_lease

            def lease(*args: Any) -> Lease:
                made = real(*args)
                with sim.store.transaction() as db:
                    db.execute("UPDATE message SET stand = 'kept' WHERE id = ?", (made.message,))
                    db.execute("DELETE FROM resend WHERE id = ?", (made.redrive_id,))
                return made

            sim.store.acquire_lease = lease  # type: ignore[method-assign, assignment]

        with pytest.raises(AssertionError):
            self.explore(forgetful, pairs=False)

    def test_it_detects_a_timeout_treated_as_never_accepted(self) -> None:
        real = RedriveSettler._settle_one

        def guess(
            self: RedriveSettler, settlement: Any, lease: Lease, reported: ReportedOutcome | None, now: float
        ) -> None:
            if reported is not None and reported.result == "held":
                reported = ReportedOutcome("unknown", None, 0.0)
            real(self, settlement, lease, reported, now)

        with mock.patch.object(RedriveSettler, "_settle_one", guess), pytest.raises(AssertionError):
            self.explore(pairs=False)

    def test_it_detects_an_ignored_deduplication_window(self) -> None:
        # Two hold it: the redriver's judgement, and the forwarder's module, which is told when it may have run.
        def always(m: DeadLetter, _now: float, _listed: Any, _allowance: float) -> RedriveAssessment:
            return RedriveAssessment(RedriveSafety.SAFE, m.status == "kept")

        def hasty(sim: Sim) -> None:
            sim.now += 20.0

        judging = mock.patch("juniperward.dead_letters.redrive_safety.assess_redrive", always)
        with judging:
            alone = self.sim()
            hasty(alone)
            alone.run(40)  # the module alone holds it: each effect asserts that it is the only one
            assert all(len(e) == 1 for e in alone.effects.values())
            alone.store.close()
        real = Sim.take

        def untold(sim: Sim, forwarder: str, h: Resubmission) -> None:
            real(sim, forwarder, replace(h, executed_ago_s=None))

        seen = pytest.raises(AssertionError, match="a second effect")
        with judging, mock.patch.object(Sim, "take", untold), seen:
            self.explore(hasty, pairs=False)

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.lists(st.one_of(
        st.tuples(st.just("run"), st.integers(1, 6)), st.tuples(st.just("wait"), st.integers(1, 20)),
        st.tuples(st.just("crash"), st.integers(1, 12)), st.tuples(st.just("toggle"), st.integers(0, 1)),
        st.tuples(st.just("partner"), st.integers(0, 1)), st.tuples(st.just("late"), st.just(0)),
        st.tuples(st.sampled_from(["door:lost", "door:late", "door:refused", "call:lost", "call:failed"]),
                  st.integers(1, 3)),
        st.tuples(st.sampled_from(["wish", "discard", "undo"]), st.integers(0, 2)),
    ), max_size=14))  # fmt: skip
    def test_any_history_satisfies_the_invariants(self, history: list[tuple[str, int]]) -> None:
        sim = self.sim()
        discarded: set[str] = set()
        for what, n in history:
            name = f"m{n}"
            match what:
                case "run":
                    sim.run(n)
                case "wait":
                    sim.now += n
                case "crash":
                    sim.crash_at.add(sim.operations + n)
                case "toggle":
                    sim.alive[f"n{n}"] = not sim.alive[f"n{n}"]
                case "partner":
                    sim.up = bool(n)
                case "late":
                    sim.arrive_late()
                case "wish":
                    sim.store.request_redrive([name], "ann")
                case "discard":
                    if sim.store.discard([name], "ann"):
                        discarded.add(name)
                case "undo":
                    sim.store.undo([name], "bob")
                case _:
                    kind, _, how = what.partition(":")
                    (sim.door if kind == "door" else sim.calls).extend([how] * n)
        sim.store.undo(sorted(discarded), "ann")
        sim.finish()

    def test_a_forwarder_that_lost_its_state_leaves_the_lease_to_an_operator(self) -> None:
        sim = self.sim()
        sim.door = ["lost"]
        sim.round()
        sim.now += 0.25
        sim.round()
        (lease, *_) = sim.store.open_redrives()
        sim.held[lease.forwarder].clear()
        real = sim.outcomes

        def forgot(forwarder: str, ids: tuple[str, ...]) -> dict[str, ReportedOutcome] | None:
            found = real(forwarder, ids) or {}
            return {
                k: ReportedOutcome(t.result, t.executed_at, sim.now) if t.result == "unknown" else t
                for k, t in found.items()
            }

        sim.outcomes = forgot  # type: ignore[method-assign]
        sim.run(20)
        assert lease.redrive_id in sim.redriver.round().unresolved
        (facts,) = sim.store.select(Filter(ids=(lease.message,)))
        assert facts.status == "claimed"
        statement = ManualSettlement(False, "ann", "the partner never saw it")
        sim.store.settle(lease.message, statement, sim.now)
        sim.outcomes = real  # type: ignore[method-assign]
        sim.finish()

    def test_a_window_that_closes_between_decision_and_resubmission(self) -> None:
        sim = Sim(self.folder, (-4.0,))
        real = sim.store.acquire_lease

        def slow(*args: Any) -> Lease:
            made: Lease = real(*args)
            sim.now += 9.0
            return made

        sim.store.acquire_lease = slow  # type: ignore[method-assign, assignment]
        sim.run(8)
        assert sim.told == {"n0": {}, "n1": {}}
        (facts,) = sim.store.select(Filter())
        assert facts.status == "kept"
        with pytest.raises(LeaseLostError):
            sim.store.acquire_lease("m9", None, "n0", 0.0, "x")
        sim.store.close()
