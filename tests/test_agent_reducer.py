"""The agent's decisions and its memory, in a simulated world: every death, every failed write, every crash."""

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


def rolled(world: World) -> bool:
    return {m.configuration_version for m in world.forwarders.values()} == {"b"}


def configure_or_restart(world: World) -> None:
    """Load the new settings; if the agent dies on the way, count the death and start a new agent from disk."""
    try:
        world.configure()
    except Exception:
        world.deaths += 1
        world.begin()


def roll(world: World, **options: object) -> None:
    """Settings change, and a roll to them is begun."""
    world.configuration_version = "b"
    world.configure()
    reply = world.request("roll", **options)
    assert reply.status == 200, reply


class TestCrashes:
    def test_the_agent_may_crash_before_any_effect_of_a_roll(self, subtests: pytest.Subtests) -> None:
        # One run tells how many effects a roll has; then the agent dies before each of them in turn, and a
        # new one takes up what is on disk. No instance may be started twice or left out.
        calm = World()
        roll(calm)
        assert calm.run(120.0, calm.over)
        total = calm.effects_done
        assert total > 40
        for place in range(total):
            with subtests.test(place=place):
                world = World()
                world.configuration_version = "b"
                world.die_at = place
                configure_or_restart(world)
                assert world.request("roll").status == 200
                assert world.run(120.0, world.over), world.notes[-5:]
                assert (world.mode, world.deaths, rolled(world)) == ("done", 1, True)
                assert world.least >= 2

    def test_a_save_may_be_torn_at_any_point_of_a_roll(self, subtests: pytest.Subtests) -> None:
        calm = World()
        roll(calm)
        calm.run(120.0, calm.over)
        for place in range(1, calm.saves + 1):
            with subtests.test(place=place):
                world = World()
                world.configuration_version = "b"
                world.tear_at = place
                configure_or_restart(world)
                reply = world.request("roll")
                assert reply.status == 200, reply
                if not world.run(120.0, lambda w=world: w.over() and rolled(w)):  # type: ignore[misc]
                    # The roll itself was in the torn file: nobody was told that it was begun.
                    pytest.fail(str((world.mode, world.notes[-5:])))
                assert world.least >= 2

    def test_a_full_disk_pauses_a_roll_and_a_resume_ends_it(self, subtests: pytest.Subtests) -> None:
        calm = World()
        roll(calm)
        calm.run(120.0, calm.over)
        for place in range(2, calm.saves + 1):
            with subtests.test(place=place):
                world = World()
                world.full = lambda n, p=place: n >= p  # type: ignore[misc]
                world.configuration_version = "b"
                world.configure()
                begun = world.request("roll")
                if begun.status != 200:
                    assert begun.status == 503
                    assert {m.configuration_version for m in world.forwarders.values()} == {"a"}
                    world.full = lambda _: False
                    assert world.request("roll").status == 200
                    assert world.run(60.0, world.over)
                    continue
                world.run(30.0, world.over)
                if not world.over():
                    assert world.mode == "paused"
                    assert world.reducer.state.roll is not None
                    assert "No space left" in world.reducer.state.roll.reason
                    world.full = lambda _: False
                    world.run(3.0)
                    assert world.request("roll_resume").status == 200
                assert world.run(60.0, lambda w=world: w.over() and rolled(w))  # type: ignore[misc]
                assert world.least >= 2

    def test_orders_wait_until_the_step_is_on_disk(self) -> None:
        world = World()
        world.configuration_version = "b"
        world.configure()
        effects = world.reducer.reduce(world.now, [ControlRequest(7, "roll")])
        save = [e for e in effects if isinstance(e, SaveState)][0]
        assert not [e for e in effects if isinstance(e, SendOrder | SendSignal | SpawnProcess)]
        effects = world.reducer.reduce(world.now, [StateSaved(save.state)])
        assert (effects[-1].client if hasattr(effects[-1], "client") else 7) == 7

    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 120), st.sampled_from(["die", "stop", "cont", "crash"]),
                              st.integers(0, 3)), max_size=8))  # fmt: skip
    def test_all_instances_recover_from_any_sequence_of_faults(
        self, troubles: list[tuple[int, str, int]]
    ) -> None:
        world = World(("n0", "n1", "n2", "n3"))
        roll(world)
        due = sorted(troubles)
        for tick in range(150):
            for at, what, number in due:
                name = f"n{number}"
                if at != tick or name not in world.forwarders:
                    continue
                if what == "die":
                    world.begin()
                elif what == "crash":
                    world.exit_process(name, "signal 11")
                else:
                    world.forwarders[name].suspended = what == "stop"
            world.step()
        for m in world.forwarders.values():
            m.suspended = False
        world.run(40.0, world.over)
        if world.mode == "paused":
            world.request("roll_resume")
        assert world.run(120.0, lambda: world.over() and world.ready() == 4), world.notes[-8:]
        assert rolled(world)


class TestOrders:
    def test_a_second_roll_is_rejected_while_one_is_in_progress(self) -> None:
        world = World()
        roll(world)
        second = world.request("roll")
        assert second.status == 409
        assert "roll r1 is under way" in second.body["error"]
        assert world.run(60.0, world.over)
        assert world.request("roll").status == 200

    def test_a_dry_run_changes_nothing(self) -> None:
        world = World()
        reply = world.request("roll", dry_run=True)
        assert [s["instance"] for s in reply.body["steps"]] == ["n0", "n1", "n2"]
        assert world.reducer.state.roll is None

    def test_rules_of_a_roll_are_checked(self, subtests: pytest.Subtests) -> None:
        world = World()
        for options in ({"colour": 1}, {"at_once": "x"}, {"floor": -1}, {"floor": 3}, {"at_once": True}):
            with subtests.test(options=options):
                assert world.request("roll", **options).status == 409
        assert world.request("stop", "n9").status == 404
        assert world.request("roll_resume").status == 409
        assert world.request("dance").status == 409

    def test_a_stop_amid_its_roll_leaves_the_instance_stopped(self) -> None:
        world = World()
        roll(world, floor=0)
        world.run(0.3)
        world.request("stop", "n0")
        assert world.run(60.0, world.over)
        world.run(3.0)
        assert "n0" not in world.forwarders
        assert [m.configuration_version for _, m in sorted(world.forwarders.items())] == ["b", "b"]
        world.request("start", "n0")
        assert world.run(5.0, lambda: world.ready() == 3)

    def test_settings_that_change_amid_a_roll_wait_for_the_next(self) -> None:
        world = World()
        roll(world)
        world.run(1.0)
        world.configuration_version = "c"
        world.configure()
        assert world.run(60.0, world.over)
        assert {m.configuration_version for m in world.forwarders.values()} == {"b"}
        changed = [n for n in world.notes if n.event == "settings changed"][-1]
        assert changed.fields["goes_on_to"] == "b"

    def test_an_instance_removed_from_the_settings_is_stopped_and_removed(self) -> None:
        world = World()
        world.configure(("n0", "n1"))
        assert world.run(5.0, lambda: set(world.forwarders) == {"n0", "n1"})
        world.step()
        assert set(world.reducer.state.instances) == {"n0", "n1"}
        world.configure(("n0", "n1", "n4"))
        assert world.run(5.0, lambda: world.ready() == 3)

    def test_a_configuration_version_whose_processes_crash_is_rolled_back_by_order(self) -> None:
        world = World()
        world.broken_versions["b"] = "exit 2"
        roll(world)
        assert world.run(30.0, lambda: world.mode == RollMode.PAUSED)
        assert world.reducer.state.roll is not None
        assert "n0 failed to start: exited before it was ready: exit 2" in world.reducer.state.roll.reason
        assert world.request("roll_undo").status == 200
        assert world.run(60.0, world.over)
        assert world.run(10.0, lambda: world.ready() == 3)
        assert {m.configuration_version for m in world.forwarders.values()} == {"a"}
        assert world.least >= 2


class TestSupervision:
    def test_a_crashed_instance_restarts_and_a_crash_loop_is_failed(self) -> None:
        world = World()
        world.exit_process("n1", "signal 11")
        assert world.run(3.0, lambda: world.ready() == 3)
        world.broken_versions["a"] = "exit 1"
        for name in list(world.forwarders):
            world.exit_process(name, "exit 1")
        world.run(40.0)
        assert {world.reducer.phase_of(i) for i in world.reducer.state.instances.values()} == {Phase.FAILED}
        world.broken_versions.clear()
        world.request("start")
        assert world.run(5.0, lambda: world.ready() == 3)

    def test_an_instance_that_cannot_be_spawned_is_reported(self) -> None:
        world = World()
        world.hopeless.add("n1")
        world.exit_process("n1", "exit 1")
        world.run(3.0)
        row = next(r for r in world.request("status").body["instances"] if r["name"] == "n1")
        assert row["state"] == "stopped"
        assert "cannot be started; starts again in" in row["why"]

    def test_one_that_ignores_sigterm_is_killed(self) -> None:
        world = World()
        world.stubborn.add("n1")
        world.request("stop", "n1")
        world.run(1.5)
        assert "n1" in world.forwarders
        assert world.run(2.0, lambda: "n1" not in world.forwarders)
        assert "stop timed out" in [n.event for n in world.notes]

    def test_an_unresponsive_instance_is_reported_and_recovers(self) -> None:
        world = World()
        world.forwarders["n2"].suspended = True
        world.run(2.0)
        rows = {r["name"]: r for r in world.request("status").body["instances"]}
        assert rows["n2"]["state"] == "silent"
        assert "no answer for" in rows["n2"]["why"]
        world.forwarders["n2"].suspended = False
        world.run(0.3)
        assert world.request("status").body["ready"] == 3

    def test_one_that_was_drained_by_order_is_drained_again_after_a_crash(self) -> None:
        world = World()
        world.request("drain", "n1")
        world.run(0.5)
        world.exit_process("n1", "signal 11")
        world.run(3.0)
        assert world.forwarders["n1"].drained
        world.request("resume", "n1")
        world.run(0.5)
        assert world.ready() == 3

    def test_what_ended_while_no_agent_looked_starts_again(self) -> None:
        world = World()
        world.exit_process("n1", "?")
        world.begin()
        assert world.run(3.0, lambda: world.ready() == 3)

    def test_the_time_to_kill_outlasts_the_agent(self) -> None:
        # Guards rolls whose agent is killed again and again: each new one began to count anew, and one that
        # was stopped by SIGSTOP was never killed.
        world = World()
        world.forwarders["n0"].suspended = True
        world.request("stop", "n0")
        for _ in range(6):
            world.run(0.5)
            world.begin()
        assert "n0" not in world.forwarders
        world.run(3.0)
        world.request("start", "n0")
        assert world.run(5.0, lambda: world.ready() == 3)

    def test_a_reused_pid_is_not_adopted(self) -> None:
        world = World()
        i = world.reducer.state.instances["n1"]
        assert i.process is not None
        other = replace(i, process=Process(i.process.pid, 1))
        state = world.reducer.state.persistent()
        instances = tuple(other if x.name == "n1" else x for x in state.instances)
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

    def test_a_stopped_instance_stays_stopped_over_the_agents_death(self) -> None:
        world = World()
        world.request("stop", "n1")
        world.run(1.0)
        world.begin()
        world.run(3.0)
        assert "n1" not in world.forwarders
        assert world.reducer.state.instances["n1"].desired_state == DesiredState.STOPPED
        assert isinstance(world.reducer.state.instances["n1"], Instance)
