"""Tests the agent's reducer on a simulated machine: requests, crashes, failed writes and restarts of the agent."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from juniperward.agent.effects import SaveState, SendOrder, SendSignal, SpawnProcess
from juniperward.agent.events import ControlRequest, StateRestored, StateSaved
from juniperward.fleet.model import DesiredState, Instance, Phase, Process
from juniperward.fleet.roll_model import RollMode
from tests.agent_world import World


def running_versions(world: World) -> set[str]:
    return {forwarder.configuration_version for forwarder in world.forwarders.values()}


def all_run_version_b(world: World) -> bool:
    return running_versions(world) == {"b"}


def configure_or_restart(world: World) -> None:
    """Load the new settings; if the agent crashes, count the crash and start a new agent from the state file."""
    try:
        world.configure()
    except Exception:
        world.agent_crashes += 1
        world.start_agent()


def start_roll(world: World, **options: object) -> None:
    """Load settings of version b, and start a roll to it."""
    world.configuration_version = "b"
    world.configure()
    reply = world.request("roll", **options)
    assert reply.status == 200, reply


class TestCrashes:
    def test_the_agent_may_crash_before_any_effect_of_a_roll(self, subtests: pytest.Subtests) -> None:
        # An undisturbed roll gives the number of effects; then the agent crashes before each of them in turn.
        # A new agent must complete the roll without starting an instance twice or leaving one out.
        undisturbed = World()
        start_roll(undisturbed)
        assert undisturbed.run(120.0, undisturbed.roll_is_over)
        effect_count = undisturbed.effect_count
        assert effect_count > 40
        for effect_number in range(effect_count):
            with subtests.test(effect_number=effect_number):
                world = World()
                world.configuration_version = "b"
                world.crash_before_effect = effect_number
                configure_or_restart(world)
                assert world.request("roll").status == 200
                assert world.run(120.0, world.roll_is_over), world.log_events[-5:]
                assert (world.roll_mode, world.agent_crashes, all_run_version_b(world)) == ("done", 1, True)
                assert world.min_ready >= 2

    def test_a_save_may_be_torn_at_any_point_of_a_roll(self, subtests: pytest.Subtests) -> None:
        undisturbed = World()
        start_roll(undisturbed)
        undisturbed.run(120.0, undisturbed.roll_is_over)
        for save_number in range(1, undisturbed.save_count + 1):
            with subtests.test(save_number=save_number):
                world = World()
                world.configuration_version = "b"
                world.torn_save = save_number
                configure_or_restart(world)
                reply = world.request("roll")
                assert reply.status == 200, reply
                if not world.run(120.0, lambda w=world: w.roll_is_over() and all_run_version_b(w)):  # type: ignore[misc]
                    pytest.fail(str((world.roll_mode, world.log_events[-5:])))
                assert world.min_ready >= 2

    def test_a_full_disk_pauses_a_roll_and_a_resume_completes_it(self, subtests: pytest.Subtests) -> None:
        undisturbed = World()
        start_roll(undisturbed)
        undisturbed.run(120.0, undisturbed.roll_is_over)
        for first_failed_save in range(2, undisturbed.save_count + 1):
            with subtests.test(first_failed_save=first_failed_save):
                world = World()
                world.save_fails = lambda number, first=first_failed_save: number >= first  # type: ignore[misc]
                world.configuration_version = "b"
                world.configure()
                reply = world.request("roll")
                if reply.status != 200:
                    assert reply.status == 503
                    assert running_versions(world) == {"a"}
                    world.save_fails = lambda _: False
                    assert world.request("roll").status == 200
                    assert world.run(60.0, world.roll_is_over)
                    continue
                world.run(30.0, world.roll_is_over)
                if not world.roll_is_over():
                    assert world.roll_mode == "paused"
                    assert world.reducer.state.roll is not None
                    assert "No space left" in world.reducer.state.roll.reason
                    world.save_fails = lambda _: False
                    world.run(3.0)
                    assert world.request("roll_resume").status == 200
                assert world.run(60.0, lambda w=world: w.roll_is_over() and all_run_version_b(w))  # type: ignore[misc]
                assert world.min_ready >= 2

    def test_orders_wait_until_the_step_is_on_disk(self) -> None:
        world = World()
        world.configuration_version = "b"
        world.configure()
        effects = world.reducer.reduce(world.now, [ControlRequest(7, "roll")])
        save = [effect for effect in effects if isinstance(effect, SaveState)][0]
        assert not [effect for effect in effects if isinstance(effect, SendOrder | SendSignal | SpawnProcess)]
        effects = world.reducer.reduce(world.now, [StateSaved(save.state)])
        assert (effects[-1].client if hasattr(effects[-1], "client") else 7) == 7

    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 120), st.sampled_from(["restart agent", "suspend", "continue", "crash"]),
                              st.integers(0, 3)), max_size=8))  # fmt: skip
    def test_all_instances_recover_from_any_sequence_of_faults(
        self, faults: list[tuple[int, str, int]]
    ) -> None:
        world = World(("n0", "n1", "n2", "n3"))
        start_roll(world)
        sorted_faults = sorted(faults)
        for tick in range(150):
            for at, fault, number in sorted_faults:
                name = f"n{number}"
                if at != tick or name not in world.forwarders:
                    continue
                if fault == "restart agent":
                    world.start_agent()
                elif fault == "crash":
                    world.exit_process(name, "signal 11")
                else:
                    world.forwarders[name].suspended = fault == "suspend"
            world.step()
        for forwarder in world.forwarders.values():
            forwarder.suspended = False
        world.run(40.0, world.roll_is_over)
        if world.roll_mode == "paused":
            world.request("roll_resume")
        assert world.run(120.0, lambda: world.roll_is_over() and world.ready() == 4), world.log_events[-8:]
        assert all_run_version_b(world)


class TestOrders:
    def test_a_second_roll_is_rejected_while_one_is_in_progress(self) -> None:
        world = World()
        start_roll(world)
        second = world.request("roll")
        assert second.status == 409
        assert "roll r1 is under way" in second.body["error"]
        assert world.run(60.0, world.roll_is_over)
        assert world.request("roll").status == 200

    def test_a_dry_run_changes_nothing(self) -> None:
        world = World()
        reply = world.request("roll", dry_run=True)
        assert [step["instance"] for step in reply.body["steps"]] == ["n0", "n1", "n2"]
        assert world.reducer.state.roll is None

    def test_rules_of_a_roll_are_checked(self, subtests: pytest.Subtests) -> None:
        world = World()
        for options in ({"unknown": 1}, {"at_once": "x"}, {"floor": -1}, {"floor": 3}, {"at_once": True}):
            with subtests.test(options=options):
                assert world.request("roll", **options).status == 409
        assert world.request("stop", "n9").status == 404
        assert world.request("roll_resume").status == 409
        assert world.request("unknown").status == 409

    def test_an_instance_stopped_during_its_roll_stays_stopped(self) -> None:
        world = World()
        start_roll(world, floor=0)
        world.run(0.3)
        world.request("stop", "n0")
        assert world.run(60.0, world.roll_is_over)
        world.run(3.0)
        assert "n0" not in world.forwarders
        versions = [forwarder.configuration_version for _, forwarder in sorted(world.forwarders.items())]
        assert versions == ["b", "b"]
        world.request("start", "n0")
        assert world.run(5.0, lambda: world.ready() == 3)

    def test_settings_changed_during_a_roll_apply_to_the_next_roll(self) -> None:
        world = World()
        start_roll(world)
        world.run(1.0)
        world.configuration_version = "c"
        world.configure()
        assert world.run(60.0, world.roll_is_over)
        assert running_versions(world) == {"b"}
        changed = [event for event in world.log_events if event.event == "settings changed"][-1]
        assert changed.fields["goes_on_to"] == "b"

    def test_an_instance_removed_from_the_settings_is_stopped_and_removed(self) -> None:
        world = World()
        world.configure(("n0", "n1"))
        assert world.run(5.0, lambda: set(world.forwarders) == {"n0", "n1"})
        world.step()
        assert set(world.reducer.state.instances) == {"n0", "n1"}
        world.configure(("n0", "n1", "n4"))
        assert world.run(5.0, lambda: world.ready() == 3)

    def test_a_configuration_version_whose_processes_crash_is_rolled_back_on_request(self) -> None:
        world = World()
        world.broken_versions["b"] = "exit 2"
        start_roll(world)
        assert world.run(30.0, lambda: world.roll_mode == RollMode.PAUSED)
        assert world.reducer.state.roll is not None
        assert "n0 failed to start: exited before it was ready: exit 2" in world.reducer.state.roll.reason
        assert world.request("roll_undo").status == 200
        assert world.run(60.0, world.roll_is_over)
        assert world.run(10.0, lambda: world.ready() == 3)
        assert running_versions(world) == {"a"}
        assert world.min_ready >= 2


class TestSupervision:
    def test_a_crashed_instance_restarts_and_a_crash_loop_is_marked_failed(self) -> None:
        world = World()
        world.exit_process("n1", "signal 11")
        assert world.run(3.0, lambda: world.ready() == 3)
        world.broken_versions["a"] = "exit 1"
        for name in list(world.forwarders):
            world.exit_process(name, "exit 1")
        world.run(40.0)
        assert {world.reducer.phase_of(instance) for instance in world.reducer.state.instances.values()} == {
            Phase.FAILED
        }
        world.broken_versions.clear()
        world.request("start")
        assert world.run(5.0, lambda: world.ready() == 3)

    def test_an_instance_that_cannot_be_spawned_is_reported(self) -> None:
        world = World()
        world.unspawnable.add("n1")
        world.exit_process("n1", "exit 1")
        world.run(3.0)
        row = next(row for row in world.request("status").body["instances"] if row["name"] == "n1")
        assert row["state"] == "stopped"
        assert "cannot be started; starts again in" in row["why"]

    def test_an_instance_that_ignores_sigterm_is_killed(self) -> None:
        world = World()
        world.ignoring_sigterm.add("n1")
        world.request("stop", "n1")
        world.run(1.5)
        assert "n1" in world.forwarders
        assert world.run(2.0, lambda: "n1" not in world.forwarders)
        assert "stop timed out" in [event.event for event in world.log_events]

    def test_an_unresponsive_instance_is_reported_and_recovers(self) -> None:
        world = World()
        world.forwarders["n2"].suspended = True
        world.run(2.0)
        rows = {row["name"]: row for row in world.request("status").body["instances"]}
        assert rows["n2"]["state"] == "silent"
        assert "no answer for" in rows["n2"]["why"]
        world.forwarders["n2"].suspended = False
        world.run(0.3)
        assert world.request("status").body["ready"] == 3

    def test_a_drained_instance_is_drained_again_after_a_crash(self) -> None:
        world = World()
        world.request("drain", "n1")
        world.run(0.5)
        world.exit_process("n1", "signal 11")
        world.run(3.0)
        assert world.forwarders["n1"].drained
        world.request("resume", "n1")
        world.run(0.5)
        assert world.ready() == 3

    def test_an_instance_that_exited_while_no_agent_ran_is_restarted(self) -> None:
        world = World()
        world.exit_process("n1", "?")
        world.start_agent()
        assert world.run(3.0, lambda: world.ready() == 3)

    def test_the_stop_timeout_continues_after_a_restart_of_the_agent(self) -> None:
        # If each new agent restarted the stop timeout, frequent restarts of the agent would keep a suspended
        # process from ever being killed.
        world = World()
        world.forwarders["n0"].suspended = True
        world.request("stop", "n0")
        for _ in range(6):
            world.run(0.5)
            world.start_agent()
        assert "n0" not in world.forwarders
        world.run(3.0)
        world.request("start", "n0")
        assert world.run(5.0, lambda: world.ready() == 3)

    def test_a_reused_pid_is_not_adopted(self) -> None:
        world = World()
        instance = world.reducer.state.instances["n1"]
        assert instance.process is not None
        other = replace(instance, process=Process(instance.process.pid, 1))
        state = world.reducer.state.persistent()
        instances = tuple(other if stored.name == "n1" else stored for stored in state.instances)
        fresh = World()
        fresh.forwarders.clear()
        fresh.reducer = type(fresh.reducer)(1)
        fresh.watched.clear()
        fresh.round([StateRestored(replace(state, instances=instances), ())])
        assert fresh.reducer.state.instances["n1"].process is None

    def test_a_status_of_another_process_is_ignored(self) -> None:
        world = World()
        from juniperward.agent.events import InstanceAnswered

        before = world.reducer.state.instances["n1"]
        reading = replace(world.reading(world.forwarders["n1"]), pid=1)
        world.round([InstanceAnswered("n1", reading)])
        assert world.reducer.state.instances["n1"] == before

    def test_a_stopped_instance_stays_stopped_after_a_restart_of_the_agent(self) -> None:
        world = World()
        world.request("stop", "n1")
        world.run(1.0)
        world.start_agent()
        world.run(3.0)
        assert "n1" not in world.forwarders
        assert world.reducer.state.instances["n1"].desired_state == DesiredState.STOPPED
        assert isinstance(world.reducer.state.instances["n1"], Instance)
