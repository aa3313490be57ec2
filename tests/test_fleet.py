"""Decisions about a fleet, against a small model of one: no process, no socket, no waiting."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from juniperward.fleet.decisions import after_exit, phase, should_kill, should_start
from juniperward.fleet.model import (
    Crashes,
    DesiredState,
    Instance,
    Phase,
    Process,
    Reading,
    RestartPolicy,
    RollRules,
    Timeouts,
)
from juniperward.fleet.roll_commands import end, plan, resume, skip_instance, undo
from juniperward.fleet.roll_errors import RollRejectedError
from juniperward.fleet.roll_model import (
    FleetView,
    Roll,
    RollCommand,
    RollMode,
    RollOrder,
    RollStage,
)
from juniperward.fleet.roll_progress import advance
from juniperward.fleet.service import Meter, Tally

TIMEOUTS = Timeouts()
READY_READING = Reading(
    at=0.0,
    pid=1,
    phase="serving",
    ready=True,
    discovery_synced=True,
    unfinished=0,
    pending=0,
    slots=4,
    attempts_in_flight=0,
    delivered=0,
    attempts_failed=0,
    given_up=0,
    accepted=0,
    rejected=0,
    restored=0,
    invariants_broken=0,
    oldest_pending_age_s=0.0,
    journal_bytes=0,
    endpoint_list_age_s=1.0,
    ejected_destinations=0,
)


class Model:
    """A fleet that does what it is told, with faults to be switched on by name."""

    def __init__(self, count: int, configuration_version: str = "a") -> None:
        self.now, self.pid = 1000.0, 100
        self.fleet: dict[str, Instance] = {}
        self.meter = Meter()
        self.dead_at_start: set[str] = set()  # instances that end at once, with edition "b"
        self.mute: set[str] = set()  # stopped by SIGSTOP
        self.barren: set[str] = set()  # ready, and every call fails, with edition "b"
        self.stubborn: set[str] = set()  # ignore SIGTERM
        self.leaky: set[str] = set()  # never drained
        self.least = count  # fewest ready instances seen
        self.orders: list[RollOrder] = []
        for n in range(count):
            self.fleet[f"n{n}"] = Instance(f"n{n}", DesiredState.RUNNING)
            self.start(f"n{n}", configuration_version)
        for _ in range(30):
            self.tick()

    def start(self, name: str, configuration_version: str) -> None:
        self.pid += 1
        i = self.fleet[name]
        self.fleet[name] = replace(
            i,
            process=Process(self.pid, self.pid),
            started_at=self.now,
            configuration_version=configuration_version,
            reading=None,
            unanswered_since=None,
            was_ready=False,
            drain_requested=False,
            stopping_since=None,
            kill_sent=False,
            crashes=replace(i.crashes, restart_at=None),
        )

    def tick(self, seconds: float = 0.25) -> None:
        self.now += seconds
        for name, i in list(self.fleet.items()):
            if i.process is None:
                if should_start(i, self.now) and i.crashes.restart_at is not None:
                    self.start(name, i.configuration_version)
                continue
            if name in self.dead_at_start and i.configuration_version == "b":
                self.fleet[name] = after_exit(i, self.now, "exit 1", RestartPolicy(), 0.5)
                continue
            mute = name in self.mute
            if i.stopping_since is not None and not mute and name not in self.stubborn:
                self.fleet[name] = after_exit(i, self.now, "exit 0", RestartPolicy(), 0.5)
                continue
            if should_kill(i, self.now, TIMEOUTS):
                self.mute.discard(name)
                self.fleet[name] = after_exit(i, self.now, "signal 9", RestartPolicy(), 0.5)
                continue
            if mute:
                since = i.unanswered_since if i.unanswered_since is not None else self.now
                self.fleet[name] = replace(i, unanswered_since=since)
                continue
            bad = name in self.barren and i.configuration_version == "b"
            r = i.reading or replace(READY_READING, pid=i.process.pid)
            r = replace(
                r, at=self.now, delivered=r.delivered + (0 if bad else 5),
                attempts_failed=r.attempts_failed + (5 if bad else 0),
                phase="serving" if not i.drain_requested else "draining" if name in self.leaky else "drained",
                ready=not i.drain_requested,
            )  # fmt: skip
            self.fleet[name] = replace(i, reading=r, unanswered_since=None, was_ready=i.was_ready or r.ready)
        readings = {n: i.reading for n, i in self.fleet.items() if i.reading is not None}
        self.meter = self.meter.with_readings(self.now, readings, 30.0)

    def obey(self, orders: Sequence[RollOrder]) -> None:
        self.orders += orders
        for o in orders:
            i = self.fleet[o.name]
            if o.command is RollCommand.START and i.process is None:
                self.start(o.name, o.configuration_version)
            elif o.command in (RollCommand.DRAIN, RollCommand.RESUME):
                self.fleet[o.name] = replace(i, drain_requested=o.command is RollCommand.DRAIN)
            elif (
                o.command in (RollCommand.STOP, RollCommand.KILL)
                and i.process is not None
                and i.stopping_since is None
            ):
                self.fleet[o.name] = replace(i, stopping_since=self.now)

    def up(self) -> int:
        return sum(phase(i, self.now, TIMEOUTS) is Phase.READY for i in self.fleet.values())

    def view(self) -> FleetView:
        return FleetView(self.fleet, self.meter, self.now, TIMEOUTS)

    def plan(self, target: str = "b", **rules: float) -> Roll:
        made = RollRules(**{"min_ready": len(self.fleet) - 1, "soak_s": 1.0, **rules})  # type: ignore[arg-type]
        return plan("r1", target, list(self.fleet), made, self.view())

    def run(self, roll: Roll, seconds: float = 300.0, until: RollMode | None = None) -> Roll:
        end_at = self.now + seconds
        while self.now < end_at and not roll.over and roll.mode is not until:
            roll, orders = advance(roll, self.view())
            self.obey(orders)
            self.least = min(self.least, self.up())
            self.tick()
        return roll


class TestStates:
    def test_each_state_is_derived_from_its_facts(self, subtests: pytest.Subtests) -> None:
        now, alive = 100.0, Process(1, 1)
        base = Instance(
            "a", DesiredState.RUNNING, alive, started_at=90.0, reading=READY_READING, was_ready=True
        )
        cases = [
            (Instance("a"), Phase.STOPPED),
            (Instance("a", crashes=Crashes(crash_loop="x")), Phase.FAILED),
            (replace(base, reading=None, was_ready=False), Phase.STARTING),
            (base, Phase.READY),
            (replace(base, reading=replace(READY_READING, discovery_synced=False)), Phase.STARTING),
            (replace(base, reading=replace(READY_READING, phase="draining", ready=False)), Phase.DRAINING),
            (replace(base, reading=replace(READY_READING, phase="drained", ready=False)), Phase.DRAINED),
            (replace(base, reading=replace(READY_READING, phase="stopping", ready=False)), Phase.STOPPING),
            (replace(base, stopping_since=99.0, unanswered_since=1.0), Phase.STOPPING),
            (replace(base, unanswered_since=97.0), Phase.UNRESPONSIVE),
            (replace(base, unanswered_since=99.0), Phase.READY),
            (replace(base, unanswered_since=91.0, was_ready=False, reading=None), Phase.STARTING),
            (replace(base, unanswered_since=81.0, started_at=80.0, was_ready=False), Phase.UNRESPONSIVE),
        ]
        for i, expected in cases:
            with subtests.test(expected=expected, i=i):
                assert phase(i, now, TIMEOUTS) == expected


class TestRestarts:
    def test_the_backoff_doubles_and_a_crash_loop_fails(self) -> None:
        rules = RestartPolicy(first_delay_s=0.5, crash_limit=5, crash_window_s=60.0)
        i, now, waits = Instance("a", DesiredState.RUNNING, Process(1, 1)), 0.0, []
        for _ in range(4):
            i = after_exit(i, now, "exit 1", rules, 0.5)
            assert i.crashes.restart_at is not None
            waits.append(i.crashes.restart_at - now)
            assert not should_start(i, now)
            now = i.crashes.restart_at
            assert should_start(i, now)
            i = replace(i, process=Process(1, 1), started_at=now)
        assert waits == [0.5, 1.0, 2.0, 4.0]
        i = after_exit(i, now, "exit 1", rules, 0.5)
        assert phase(i, now, TIMEOUTS) == Phase.FAILED
        assert "5 crashes within 60 s, the last: exit 1" in i.crashes.crash_loop
        assert not should_start(i, now + 1e6)

    def test_one_that_ran_steadily_begins_anew(self) -> None:
        i = Instance("a", DesiredState.RUNNING, Process(1, 1), was_ready=True, crashes=Crashes((), 6))
        i = after_exit(i, 100.0, "exit 1", RestartPolicy(), 0.5)
        assert (i.crashes.consecutive, i.crashes.restart_at) == (1, 100.5)

    def test_a_requested_exit_is_no_crash(self) -> None:
        i = Instance("a", DesiredState.STOPPED, Process(1, 1), stopping_since=1.0, drain_requested=True)
        assert after_exit(i, 2.0, "exit 0", RestartPolicy(), 0.5) == Instance("a", last_exit="exit 0")

    @settings(derandomize=True, max_examples=200)
    @given(st.integers(0, 60), st.floats(0, 1))
    def test_the_backoff_stays_within_its_bounds(self, consecutive: int, chance: float) -> None:
        rules = RestartPolicy()
        i = Instance("a", DesiredState.RUNNING, Process(1, 1), crashes=Crashes((), consecutive))
        at = after_exit(i, 50.0, "x", rules, chance).crashes.restart_at
        assert at is not None
        assert rules.first_delay_s * (1 - rules.jitter) <= at - 50.0 <= rules.max_delay_s * (1 + rules.jitter)


class TestRoll:
    def test_all_are_restarted_and_minimum_availability_holds(self) -> None:
        model = Model(5)
        roll = model.run(model.plan())
        assert (roll.mode, model.least) == (RollMode.DONE, 4)
        assert {i.configuration_version for i in model.fleet.values()} == {"b"}
        assert [s.stage for s in roll.steps] == [RollStage.DONE] * 5
        for name in model.fleet:  # drained, then stopped, then started
            done = [o.command for o in model.orders if o.name == name]
            assert list(dict.fromkeys(done)) == [RollCommand.DRAIN, RollCommand.STOP, RollCommand.START]

    def test_batches_go_together(self) -> None:
        model = Model(6)
        began = model.now
        roll = model.run(model.plan(batch_size=3, min_ready=3))
        assert (roll.mode, model.least) == (RollMode.DONE, 3)
        one = Model(6)
        start = one.now
        one.run(one.plan())
        assert model.now - began < 0.5 * (one.now - start)

    def test_an_unreachable_minimum_availability_is_rejected(self, subtests: pytest.Subtests) -> None:
        model = Model(3)
        for rule, value in (("min_ready", 3), ("batch_size", 0)):
            with subtests.test(rule=rule), pytest.raises(RollRejectedError):
                model.plan("b", **{rule: value})
        with pytest.raises(RollRejectedError, match="no such instance: n9"):
            plan("r", "b", ["n9"], RollRules(), model.view())

    def test_an_unresponsive_instance_is_first_and_ended_by_sigkill(self) -> None:
        model = Model(4)
        model.mute.add("n2")
        for _ in range(12):
            model.tick()
        roll = model.plan()
        assert roll.steps[0].name == "n2"
        roll = model.run(roll)
        assert (roll.mode, model.least) == (RollMode.DONE, 3)
        assert model.fleet["n2"].configuration_version == "b"

    def test_an_instance_unresponsive_while_draining_is_stopped_after_its_timeout(self) -> None:
        model = Model(3)
        roll = model.run(model.plan(), 0.2)
        model.mute.add("n0")
        roll = model.run(roll)
        assert roll.mode == RollMode.DONE
        assert {i.configuration_version for i in model.fleet.values()} == {"b"}

    def test_an_instance_that_never_drains_is_stopped_after_its_timeout(self) -> None:
        model = Model(2)
        model.leaky.add("n0")
        began = model.now
        roll = model.run(model.plan(drain_timeout_s=4.0))
        assert roll.mode == RollMode.DONE
        assert model.now - began > 4.0

    def test_one_that_ignores_sigterm_is_killed(self) -> None:
        model = Model(2)
        model.stubborn.add("n1")
        assert model.run(model.plan()).mode == RollMode.DONE

    def test_a_crash_at_start_pauses_the_roll_and_undo_recovers(self) -> None:
        model = Model(4)
        model.dead_at_start.add("n1")
        roll = model.run(model.plan(), until=RollMode.PAUSED)
        assert "n1 failed to start: exited before it was ready: exit 1" in roll.reason
        assert [model.fleet[n].configuration_version for n in ("n0", "n2", "n3")] == ["b", "a", "a"]
        paused = model.run(roll, 20.0)
        assert (paused.mode, model.fleet["n2"].configuration_version) == (RollMode.PAUSED, "a")
        roll, orders = undo(paused)
        model.obey(orders)
        roll = model.run(roll)
        assert roll.mode == RollMode.UNDONE
        assert {i.configuration_version for i in model.fleet.values()} == {"a"}
        assert model.up() == 4

    def test_one_that_is_ready_but_delivers_nothing_pauses_the_roll(self) -> None:
        model = Model(4)
        model.barren.add("n0")
        roll = model.run(model.plan(), until=RollMode.PAUSED)
        assert "n0 is ready but 0 of " in roll.reason
        assert {model.fleet[n].configuration_version for n in ("n1", "n2", "n3")} == {"a"}

    def test_falling_service_pauses_the_roll(self) -> None:
        # All others are well by their own counts; what falls is the whole.
        model = Model(4)
        roll = model.run(model.plan(), 0.5)
        for name in ("n1", "n2", "n3"):
            model.fleet[name] = replace(model.fleet[name], configuration_version="b")
            model.barren.add(name)
        roll = model.run(roll, until=RollMode.PAUSED)
        assert "success rate fell" in roll.reason

    def test_a_loss_elsewhere_that_breaks_the_floor_pauses_and_a_resume_goes_on(self) -> None:
        model = Model(4)
        roll = model.run(model.plan(blocked_timeout_s=5.0), 0.2)
        model.fleet["n3"] = replace(
            model.fleet["n3"], desired_state=DesiredState.STOPPED, stopping_since=model.now
        )
        roll = model.run(roll, until=RollMode.PAUSED)
        assert "the floor is 3" in roll.reason
        model.fleet["n3"] = replace(model.fleet["n3"], desired_state=DesiredState.RUNNING)
        model.start("n3", "b")
        for _ in range(4):
            model.tick()
        assert model.run(resume(roll)).mode == RollMode.DONE
        with pytest.raises(RollRejectedError):
            resume(roll if roll.over else replace(roll, mode=RollMode.DONE))

    def test_an_instance_lost_amid_a_roll_is_restarted_next(self) -> None:
        # Guards the floor: a silent instance late in the plan kept all before it waiting for ever.
        model = Model(4)
        roll = model.run(model.plan(min_ready=3, blocked_timeout_s=60.0), 0.2)
        model.mute.add("n3")
        roll = model.run(roll)
        assert roll.mode == RollMode.DONE
        assert {i.configuration_version for i in model.fleet.values()} == {"b"}

    def test_one_stopped_by_order_is_left_out(self) -> None:
        model = Model(3)
        roll = model.run(model.plan(min_ready=0), 0.2)
        for name in ("n0", "n2"):
            model.fleet[name] = replace(
                model.fleet[name], desired_state=DesiredState.STOPPED, stopping_since=model.now
            )
        roll = skip_instance(roll, "n2", "stopped by order")
        roll = model.run(roll)
        stages = {s.name: s.stage for s in roll.steps}
        assert stages == {"n0": RollStage.SKIPPED, "n1": RollStage.DONE, "n2": RollStage.SKIPPED}
        assert model.fleet["n0"].process is None
        assert roll.mode == RollMode.DONE

    def test_an_end_by_order_leaves_nothing_drained(self) -> None:
        model = Model(3)
        model.leaky.add("n0")
        roll = model.run(model.plan(), 0.2)
        roll, orders = end(roll)
        assert (orders, roll.mode) == ((RollOrder(RollCommand.RESUME, "n0"),), RollMode.ENDED)

    def test_a_roll_by_sigkill_goes_without_drain(self) -> None:
        model = Model(3)
        roll = model.run(model.plan(kill=True))
        assert roll.mode == RollMode.DONE
        assert RollCommand.DRAIN not in {o.command for o in model.orders}

    def test_orders_may_be_lost_or_doubled_at_every_step(self) -> None:
        # An agent that is killed has written its roll down and has carried out any part of its orders. Each
        # step of a whole roll is taken as the place of that death, with none, half or all of them done twice.
        places = 0
        cut = 0
        while True:
            model = Model(3)
            roll, steps, fired = model.plan(), 0, False
            while not roll.over and steps < 2000:
                roll, orders = advance(roll, model.view())
                if orders:
                    if steps == cut // 3 and not fired:
                        fired = True
                        roll = msgspec.json.decode(msgspec.json.encode(roll), type=Roll)
                        orders = ((), orders[: len(orders) // 2], orders * 2)[cut % 3]
                    steps += 1
                model.obey(orders)
                model.least = min(model.least, model.up())
                model.tick()
            assert (roll.mode, model.least) == (RollMode.DONE, 2), cut
            assert {i.configuration_version for i in model.fleet.values()} == {"b"}, cut
            if not fired:
                break
            places, cut = places + 1, cut + 1
        assert places >= 3 * 9  # three instances, three orders each

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.integers(2, 7), st.integers(1, 3), st.data())
    def test_no_roll_goes_below_its_floor(self, count: int, at_once: int, data: st.DataObject) -> None:
        model = Model(count)
        floor = data.draw(st.integers(0, count - 1))
        for faults in (model.stubborn, model.leaky, model.barren, model.dead_at_start):
            faults.update(data.draw(st.sets(st.sampled_from(sorted(model.fleet)), max_size=2)))
        roll = model.run(
            model.plan(batch_size=at_once, min_ready=floor, drain_timeout_s=2.0), 200.0, RollMode.PAUSED
        )
        assert model.least >= min(floor, count - at_once)
        assert roll.mode in (RollMode.DONE, RollMode.PAUSED)


class TestMeter:
    def test_counts_survive_restarts(self) -> None:
        meter = Meter()
        for now, pid, delivered in ((0.0, 1, 100), (1.0, 1, 110), (2.0, 2, 4), (3.0, 2, 8)):
            meter = meter.with_readings(
                now, {"a": replace(READY_READING, pid=pid, delivered=delivered)}, 30.0
            )
        assert meter.total == Tally(118, 0)
        assert meter.recent(3.0, 1.0) == Tally(4, 0)
        assert Tally().success_rate is None
