"""Decisions about a fleet, tested on a simulated fleet without processes, sockets or waiting."""

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


class SimulatedFleet:
    """A fleet that carries out orders, with faults that a test injects by instance name.

    Attributes:
        exiting_at_start: Instances that exit at once if they are started with version "b".
        suspended: Instances stopped by SIGSTOP, which do not answer.
        failing: Instances that are ready with version "b" while all their attempts fail.
        ignoring_sigterm: Instances that only SIGKILL ends.
        never_drained: Instances that stay draining.
        fewest_ready: The fewest ready instances seen during a roll.

    """

    def __init__(self, count: int, configuration_version: str = "a") -> None:
        self.now, self.pid = 1000.0, 100
        self.instances: dict[str, Instance] = {}
        self.meter = Meter()
        self.exiting_at_start: set[str] = set()
        self.suspended: set[str] = set()
        self.failing: set[str] = set()
        self.ignoring_sigterm: set[str] = set()
        self.never_drained: set[str] = set()
        self.fewest_ready = count
        self.orders: list[RollOrder] = []
        for name in [f"n{index}" for index in range(count)]:
            self.instances[name] = Instance(name, DesiredState.RUNNING)
            self.start(name, configuration_version)
        for _ in range(30):
            self.tick()

    def start(self, name: str, configuration_version: str) -> None:
        self.pid += 1
        instance = self.instances[name]
        self.instances[name] = replace(
            instance,
            process=Process(self.pid, self.pid),
            started_at=self.now,
            configuration_version=configuration_version,
            reading=None,
            unanswered_since=None,
            was_ready=False,
            drain_requested=False,
            stopping_since=None,
            kill_sent=False,
            crashes=replace(instance.crashes, restart_at=None),
        )

    def tick(self, seconds: float = 0.25) -> None:
        self.now += seconds
        for name, instance in list(self.instances.items()):
            if instance.process is None:
                if should_start(instance, self.now) and instance.crashes.restart_at is not None:
                    self.start(name, instance.configuration_version)
                continue
            if name in self.exiting_at_start and instance.configuration_version == "b":
                self.instances[name] = after_exit(instance, self.now, "exit 1", RestartPolicy(), 0.5)
                continue
            is_suspended = name in self.suspended
            follows_sigterm = not is_suspended and name not in self.ignoring_sigterm
            if instance.stopping_since is not None and follows_sigterm:
                self.instances[name] = after_exit(instance, self.now, "exit 0", RestartPolicy(), 0.5)
                continue
            if should_kill(instance, self.now, TIMEOUTS):
                self.suspended.discard(name)
                self.instances[name] = after_exit(instance, self.now, "signal 9", RestartPolicy(), 0.5)
                continue
            if is_suspended:
                since = instance.unanswered_since
                self.instances[name] = replace(
                    instance, unanswered_since=self.now if since is None else since
                )
                continue
            attempts_fail = name in self.failing and instance.configuration_version == "b"
            reading = instance.reading or replace(READY_READING, pid=instance.process.pid)
            phase_when_drained = "draining" if name in self.never_drained else "drained"
            reading = replace(
                reading,
                at=self.now,
                delivered=reading.delivered + (0 if attempts_fail else 5),
                attempts_failed=reading.attempts_failed + (5 if attempts_fail else 0),
                phase=phase_when_drained if instance.drain_requested else "serving",
                ready=not instance.drain_requested,
            )
            self.instances[name] = replace(
                instance,
                reading=reading,
                unanswered_since=None,
                was_ready=instance.was_ready or reading.ready,
            )
        readings = {
            name: instance.reading
            for name, instance in self.instances.items()
            if instance.reading is not None
        }
        self.meter = self.meter.with_readings(self.now, readings, 30.0)

    def carry_out(self, orders: Sequence[RollOrder]) -> None:
        self.orders += orders
        for order in orders:
            instance = self.instances[order.name]
            if order.command is RollCommand.START and instance.process is None:
                self.start(order.name, order.configuration_version)
            elif order.command in (RollCommand.DRAIN, RollCommand.RESUME):
                self.instances[order.name] = replace(
                    instance, drain_requested=order.command is RollCommand.DRAIN
                )
            elif (
                order.command in (RollCommand.STOP, RollCommand.KILL)
                and instance.process is not None
                and instance.stopping_since is None
            ):
                self.instances[order.name] = replace(instance, stopping_since=self.now)

    def ready_count(self) -> int:
        phases = [phase(instance, self.now, TIMEOUTS) for instance in self.instances.values()]
        return phases.count(Phase.READY)

    def view(self) -> FleetView:
        return FleetView(self.instances, self.meter, self.now, TIMEOUTS)

    def plan(self, target: str = "b", **rules: float) -> Roll:
        values = {"min_ready": len(self.instances) - 1, "soak_s": 1.0, **rules}
        roll_rules = RollRules(**values)  # type: ignore[arg-type]
        return plan("r1", target, list(self.instances), roll_rules, self.view())

    def run(self, roll: Roll, seconds: float = 300.0, until: RollMode | None = None) -> Roll:
        end_at = self.now + seconds
        while self.now < end_at and not roll.over and roll.mode is not until:
            roll, orders = advance(roll, self.view())
            self.carry_out(orders)
            self.fewest_ready = min(self.fewest_ready, self.ready_count())
            self.tick()
        return roll


class TestPhases:
    def test_the_phase_follows_from_the_observed_facts(self, subtests: pytest.Subtests) -> None:
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
        for instance, expected in cases:
            with subtests.test(expected=expected, instance=instance):
                assert phase(instance, now, TIMEOUTS) == expected


class TestRestarts:
    def test_the_backoff_doubles_and_a_crash_loop_fails(self) -> None:
        policy = RestartPolicy(first_delay_s=0.5, crash_limit=5, crash_window_s=60.0)
        instance, now, delays_s = Instance("a", DesiredState.RUNNING, Process(1, 1)), 0.0, []
        for _ in range(4):
            instance = after_exit(instance, now, "exit 1", policy, 0.5)
            assert instance.crashes.restart_at is not None
            delays_s.append(instance.crashes.restart_at - now)
            assert not should_start(instance, now)
            now = instance.crashes.restart_at
            assert should_start(instance, now)
            instance = replace(instance, process=Process(1, 1), started_at=now)
        assert delays_s == [0.5, 1.0, 2.0, 4.0]
        instance = after_exit(instance, now, "exit 1", policy, 0.5)
        assert phase(instance, now, TIMEOUTS) == Phase.FAILED
        assert "5 crashes within 60 s, the last: exit 1" in instance.crashes.crash_loop
        assert not should_start(instance, now + 1e6)

    def test_a_crash_after_a_stable_run_counts_as_the_first(self) -> None:
        instance = Instance("a", DesiredState.RUNNING, Process(1, 1), was_ready=True, crashes=Crashes((), 6))
        instance = after_exit(instance, 100.0, "exit 1", RestartPolicy(), 0.5)
        assert (instance.crashes.consecutive, instance.crashes.restart_at) == (1, 100.5)

    def test_a_requested_exit_clears_the_crash_history(self) -> None:
        instance = Instance(
            "a", DesiredState.STOPPED, Process(1, 1), stopping_since=1.0, drain_requested=True
        )
        assert after_exit(instance, 2.0, "exit 0", RestartPolicy(), 0.5) == Instance("a", last_exit="exit 0")

    @settings(derandomize=True, max_examples=200)
    @given(st.integers(0, 60), st.floats(0, 1))
    def test_the_backoff_stays_within_its_bounds(self, consecutive: int, random_fraction: float) -> None:
        policy = RestartPolicy()
        instance = Instance("a", DesiredState.RUNNING, Process(1, 1), crashes=Crashes((), consecutive))
        restart_at = after_exit(instance, 50.0, "x", policy, random_fraction).crashes.restart_at
        assert restart_at is not None
        assert (
            policy.first_delay_s * (1 - policy.jitter)
            <= restart_at - 50.0
            <= policy.max_delay_s * (1 + policy.jitter)
        )


class TestRoll:
    def test_all_instances_are_restarted_within_the_floor(self) -> None:
        fleet = SimulatedFleet(5)
        roll = fleet.run(fleet.plan())
        assert (roll.mode, fleet.fewest_ready) == (RollMode.DONE, 4)
        assert {instance.configuration_version for instance in fleet.instances.values()} == {"b"}
        assert [step.stage for step in roll.steps] == [RollStage.DONE] * 5
        for name in fleet.instances:
            commands = [order.command for order in fleet.orders if order.name == name]
            assert list(dict.fromkeys(commands)) == [RollCommand.DRAIN, RollCommand.STOP, RollCommand.START]

    def test_the_instances_of_a_batch_are_restarted_at_the_same_time(self) -> None:
        fleet = SimulatedFleet(6)
        began = fleet.now
        roll = fleet.run(fleet.plan(batch_size=3, min_ready=3))
        assert (roll.mode, fleet.fewest_ready) == (RollMode.DONE, 3)
        one_by_one = SimulatedFleet(6)
        one_by_one_began = one_by_one.now
        one_by_one.run(one_by_one.plan())
        assert fleet.now - began < 0.5 * (one_by_one.now - one_by_one_began)

    def test_rules_that_allow_no_restart_are_rejected(self, subtests: pytest.Subtests) -> None:
        fleet = SimulatedFleet(3)
        for rule, value in (("min_ready", 3), ("batch_size", 0)):
            with subtests.test(rule=rule), pytest.raises(RollRejectedError):
                fleet.plan("b", **{rule: value})
        with pytest.raises(RollRejectedError, match="no such instance: n9"):
            plan("r", "b", ["n9"], RollRules(), fleet.view())

    def test_an_unresponsive_instance_is_restarted_first_and_killed(self) -> None:
        fleet = SimulatedFleet(4)
        fleet.suspended.add("n2")
        for _ in range(12):
            fleet.tick()
        roll = fleet.plan()
        assert roll.steps[0].name == "n2"
        roll = fleet.run(roll)
        assert (roll.mode, fleet.fewest_ready) == (RollMode.DONE, 3)
        assert fleet.instances["n2"].configuration_version == "b"

    def test_an_instance_unresponsive_while_draining_is_stopped_after_the_drain_timeout(self) -> None:
        fleet = SimulatedFleet(3)
        roll = fleet.run(fleet.plan(), 0.2)
        fleet.suspended.add("n0")
        roll = fleet.run(roll)
        assert roll.mode == RollMode.DONE
        assert {instance.configuration_version for instance in fleet.instances.values()} == {"b"}

    def test_an_instance_that_is_never_drained_is_stopped_after_the_drain_timeout(self) -> None:
        fleet = SimulatedFleet(2)
        fleet.never_drained.add("n0")
        began = fleet.now
        roll = fleet.run(fleet.plan(drain_timeout_s=4.0))
        assert roll.mode == RollMode.DONE
        assert fleet.now - began > 4.0

    def test_an_instance_that_ignores_sigterm_is_killed(self) -> None:
        fleet = SimulatedFleet(2)
        fleet.ignoring_sigterm.add("n1")
        assert fleet.run(fleet.plan()).mode == RollMode.DONE

    def test_a_crash_at_start_pauses_the_roll_and_undo_restores_the_version(self) -> None:
        fleet = SimulatedFleet(4)
        fleet.exiting_at_start.add("n1")
        roll = fleet.run(fleet.plan(), until=RollMode.PAUSED)
        assert "n1 failed to start: exited before it was ready: exit 1" in roll.reason
        versions = [fleet.instances[name].configuration_version for name in ("n0", "n2", "n3")]
        assert versions == ["b", "a", "a"]
        paused = fleet.run(roll, 20.0)
        assert (paused.mode, fleet.instances["n2"].configuration_version) == (RollMode.PAUSED, "a")
        roll, orders = undo(paused)
        fleet.carry_out(orders)
        roll = fleet.run(roll)
        assert roll.mode == RollMode.UNDONE
        assert {instance.configuration_version for instance in fleet.instances.values()} == {"a"}
        assert fleet.ready_count() == 4

    def test_a_ready_instance_whose_attempts_fail_pauses_the_roll(self) -> None:
        fleet = SimulatedFleet(4)
        fleet.failing.add("n0")
        roll = fleet.run(fleet.plan(), until=RollMode.PAUSED)
        assert "n0 is ready but 0 of " in roll.reason
        assert {fleet.instances[name].configuration_version for name in ("n1", "n2", "n3")} == {"a"}

    def test_a_falling_success_rate_of_the_fleet_pauses_the_roll(self) -> None:
        # Attempts of instances that the roll has not reached fail; only the fleet's success rate shows it.
        fleet = SimulatedFleet(4)
        roll = fleet.run(fleet.plan(), 0.5)
        for name in ("n1", "n2", "n3"):
            fleet.instances[name] = replace(fleet.instances[name], configuration_version="b")
            fleet.failing.add(name)
        roll = fleet.run(roll, until=RollMode.PAUSED)
        assert "success rate fell" in roll.reason

    def test_a_roll_blocked_by_the_floor_pauses_and_can_be_resumed(self) -> None:
        fleet = SimulatedFleet(4)
        roll = fleet.run(fleet.plan(blocked_timeout_s=5.0), 0.2)
        fleet.instances["n3"] = replace(
            fleet.instances["n3"], desired_state=DesiredState.STOPPED, stopping_since=fleet.now
        )
        roll = fleet.run(roll, until=RollMode.PAUSED)
        assert "the floor is 3" in roll.reason
        fleet.instances["n3"] = replace(fleet.instances["n3"], desired_state=DesiredState.RUNNING)
        fleet.start("n3", "b")
        for _ in range(4):
            fleet.tick()
        assert fleet.run(resume(roll)).mode == RollMode.DONE
        with pytest.raises(RollRejectedError):
            resume(roll if roll.over else replace(roll, mode=RollMode.DONE))

    def test_an_instance_lost_during_a_roll_is_restarted_next(self) -> None:
        # Guards against a roll blocked forever by an unresponsive instance whose step comes later.
        fleet = SimulatedFleet(4)
        roll = fleet.run(fleet.plan(min_ready=3, blocked_timeout_s=60.0), 0.2)
        fleet.suspended.add("n3")
        roll = fleet.run(roll)
        assert roll.mode == RollMode.DONE
        assert {instance.configuration_version for instance in fleet.instances.values()} == {"b"}

    def test_an_instance_stopped_on_request_is_skipped(self) -> None:
        fleet = SimulatedFleet(3)
        roll = fleet.run(fleet.plan(min_ready=0), 0.2)
        for name in ("n0", "n2"):
            fleet.instances[name] = replace(
                fleet.instances[name], desired_state=DesiredState.STOPPED, stopping_since=fleet.now
            )
        roll = skip_instance(roll, "n2", "stopped on request")
        roll = fleet.run(roll)
        stages = {step.name: step.stage for step in roll.steps}
        assert stages == {"n0": RollStage.SKIPPED, "n1": RollStage.DONE, "n2": RollStage.SKIPPED}
        assert fleet.instances["n0"].process is None
        assert roll.mode == RollMode.DONE

    def test_ending_a_roll_resumes_draining_instances(self) -> None:
        fleet = SimulatedFleet(3)
        fleet.never_drained.add("n0")
        roll = fleet.run(fleet.plan(), 0.2)
        roll, orders = end(roll)
        assert (orders, roll.mode) == ((RollOrder(RollCommand.RESUME, "n0"),), RollMode.ENDED)

    def test_a_roll_by_sigkill_does_not_drain(self) -> None:
        fleet = SimulatedFleet(3)
        roll = fleet.run(fleet.plan(kill=True))
        assert roll.mode == RollMode.DONE
        assert RollCommand.DRAIN not in {order.command for order in fleet.orders}

    def test_a_roll_completes_if_orders_are_lost_or_repeated_after_a_restart_of_the_agent(self) -> None:
        # The agent is killed after it stored a step, and none, half or all (twice) of the step's orders are
        # carried out. `case` enumerates the steps that have orders, with these three outcomes for each.
        case = 0
        while True:
            fleet = SimulatedFleet(3)
            roll, steps, is_agent_restarted = fleet.plan(), 0, False
            while not roll.over and steps < 2000:
                roll, orders = advance(roll, fleet.view())
                if orders:
                    if steps == case // 3 and not is_agent_restarted:
                        is_agent_restarted = True
                        roll = msgspec.json.decode(msgspec.json.encode(roll), type=Roll)
                        orders = ((), orders[: len(orders) // 2], orders * 2)[case % 3]
                    steps += 1
                fleet.carry_out(orders)
                fleet.fewest_ready = min(fleet.fewest_ready, fleet.ready_count())
                fleet.tick()
            assert (roll.mode, fleet.fewest_ready) == (RollMode.DONE, 2), case
            assert {instance.configuration_version for instance in fleet.instances.values()} == {"b"}, case
            if not is_agent_restarted:
                break
            case += 1
        assert case >= 3 * 9  # three outcomes for each of the three orders to three instances

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.integers(2, 7), st.integers(1, 3), st.data())
    def test_a_roll_keeps_to_its_floor(self, count: int, batch_size: int, data: st.DataObject) -> None:
        fleet = SimulatedFleet(count)
        floor = data.draw(st.integers(0, count - 1))
        for faults in (fleet.ignoring_sigterm, fleet.never_drained, fleet.failing, fleet.exiting_at_start):
            faults.update(data.draw(st.sets(st.sampled_from(sorted(fleet.instances)), max_size=2)))
        roll = fleet.run(
            fleet.plan(batch_size=batch_size, min_ready=floor, drain_timeout_s=2.0), 200.0, RollMode.PAUSED
        )
        assert fleet.fewest_ready >= min(floor, count - batch_size)
        assert roll.mode in (RollMode.DONE, RollMode.PAUSED)


class TestMeter:
    def test_totals_include_the_counts_of_ended_processes(self) -> None:
        meter = Meter()
        for now, pid, delivered in ((0.0, 1, 100), (1.0, 1, 110), (2.0, 2, 4), (3.0, 2, 8)):
            meter = meter.with_readings(
                now, {"a": replace(READY_READING, pid=pid, delivered=delivered)}, 30.0
            )
        assert meter.total == Tally(118, 0)
        assert meter.recent(3.0, 1.0) == Tally(4, 0)
        assert Tally().success_rate is None
