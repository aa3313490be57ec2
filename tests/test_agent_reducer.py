"""The agent's decisions and its memory, in a simulated world: every death, every failed write, every crash."""

from __future__ import annotations

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from juniperward.agent.effects import SaveState, SendOrder, SendSignal, SpawnProcess
from juniperward.agent.events import ControlRequest, StateRestored, StateSaved
from juniperward.fleet.model import DesiredState, Instance, Phase, Process
from juniperward.fleet.roll_model import RollMode
from tests.agent_world import World


def rolled(world: World) -> bool:
    return {m.configuration_version for m in world.machines.values()} == {"b"}


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
    reply = world.ask("roll", **options)
    assert reply.status == 200, reply


class DeathsTest(unittest.TestCase):
    def test_the_agent_may_die_before_any_effect_of_a_roll(self) -> None:
        # One run tells how many effects a roll has; then the agent dies before each of them in turn, and a
        # new one takes up what is on disk. No instance may be started twice or left out.
        calm = World()
        roll(calm)
        self.assertTrue(calm.run(120.0, calm.over))
        total = calm.effects_done
        self.assertGreater(total, 40)
        for place in range(total):
            with self.subTest(place=place):
                world = World()
                world.configuration_version = "b"
                world.die_at = place
                configure_or_restart(world)
                self.assertEqual(world.ask("roll").status, 200)
                self.assertTrue(world.run(120.0, world.over), world.notes[-5:])
                self.assertEqual((world.mode, world.deaths, rolled(world)), ("done", 1, True))
                self.assertGreaterEqual(world.least, 2)

    def test_a_save_may_be_torn_at_any_point_of_a_roll(self) -> None:
        calm = World()
        roll(calm)
        calm.run(120.0, calm.over)
        for place in range(1, calm.saves + 1):
            with self.subTest(place=place):
                world = World()
                world.configuration_version = "b"
                world.tear_at = place
                configure_or_restart(world)
                reply = world.ask("roll")
                self.assertEqual(reply.status, 200, reply)
                if not world.run(120.0, lambda w=world: w.over() and rolled(w)):  # type: ignore[misc]
                    # The roll itself was in the torn file: nobody was told that it was begun.
                    self.fail(str((world.mode, world.notes[-5:])))
                self.assertGreaterEqual(world.least, 2)

    def test_a_full_disk_pauses_a_roll_and_a_resume_ends_it(self) -> None:
        calm = World()
        roll(calm)
        calm.run(120.0, calm.over)
        for place in range(2, calm.saves + 1):
            with self.subTest(place=place):
                world = World()
                world.full = lambda n, p=place: n >= p  # type: ignore[misc]
                world.configuration_version = "b"
                world.configure()
                begun = world.ask("roll")
                if begun.status != 200:
                    self.assertEqual(begun.status, 503)
                    self.assertEqual({m.configuration_version for m in world.machines.values()}, {"a"})
                    world.full = lambda _: False
                    self.assertEqual(world.ask("roll").status, 200)
                    self.assertTrue(world.run(60.0, world.over))
                    continue
                world.run(30.0, world.over)
                if not world.over():
                    self.assertEqual(world.mode, "paused")
                    assert world.reducer.state.roll is not None
                    self.assertIn("No space left", world.reducer.state.roll.reason)
                    world.full = lambda _: False
                    world.run(3.0)
                    self.assertEqual(world.ask("roll_resume").status, 200)
                self.assertTrue(world.run(60.0, lambda w=world: w.over() and rolled(w)))  # type: ignore[misc]
                self.assertGreaterEqual(world.least, 2)

    def test_orders_wait_until_the_step_is_on_disk(self) -> None:
        world = World()
        world.configuration_version = "b"
        world.configure()
        effects = world.reducer.reduce(world.now, [ControlRequest(7, "roll")])
        save = [e for e in effects if isinstance(e, SaveState)][0]
        self.assertFalse([e for e in effects if isinstance(e, SendOrder | SendSignal | SpawnProcess)])
        effects = world.reducer.reduce(world.now, [StateSaved(save.state)])
        self.assertEqual(effects[-1].client if hasattr(effects[-1], "client") else 7, 7)

    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 120), st.sampled_from(["die", "stop", "cont", "crash"]),
                              st.integers(0, 3)), max_size=8))  # fmt: skip
    def test_whatever_happens_all_come_back(self, troubles: list[tuple[int, str, int]]) -> None:
        world = World(("n0", "n1", "n2", "n3"))
        roll(world)
        due = sorted(troubles)
        for tick in range(150):
            for at, what, number in due:
                name = f"n{number}"
                if at != tick or name not in world.machines:
                    continue
                if what == "die":
                    world.begin()
                elif what == "crash":
                    world.end(name, "signal 11")
                else:
                    world.machines[name].stopped = what == "stop"
            world.step()
        for m in world.machines.values():
            m.stopped = False
        world.run(40.0, world.over)
        if world.mode == "paused":
            world.ask("roll_resume")
        self.assertTrue(world.run(120.0, lambda: world.over() and world.ready() == 4), world.notes[-8:])
        self.assertTrue(rolled(world))


class OrdersTest(unittest.TestCase):
    def test_a_second_roll_is_refused_while_one_is_under_way(self) -> None:
        world = World()
        roll(world)
        second = world.ask("roll")
        self.assertEqual(second.status, 409)
        self.assertIn("roll r1 is under way", second.body["error"])
        self.assertTrue(world.run(60.0, world.over))
        self.assertEqual(world.ask("roll").status, 200)

    def test_a_dry_run_changes_nothing(self) -> None:
        world = World()
        reply = world.ask("roll", dry_run=True)
        self.assertEqual([s["instance"] for s in reply.body["steps"]], ["n0", "n1", "n2"])
        self.assertIsNone(world.reducer.state.roll)

    def test_rules_of_a_roll_are_checked(self) -> None:
        world = World()
        for options in ({"colour": 1}, {"at_once": "x"}, {"floor": -1}, {"floor": 3}, {"at_once": True}):
            with self.subTest(options):
                self.assertEqual(world.ask("roll", **options).status, 409)
        self.assertEqual(world.ask("stop", "n9").status, 404)
        self.assertEqual(world.ask("roll_resume").status, 409)
        self.assertEqual(world.ask("dance").status, 409)

    def test_a_stop_amid_its_roll_leaves_the_instance_stopped(self) -> None:
        world = World()
        roll(world, floor=0)
        world.run(0.3)
        world.ask("stop", "n0")
        self.assertTrue(world.run(60.0, world.over))
        world.run(3.0)
        self.assertNotIn("n0", world.machines)
        self.assertEqual([m.configuration_version for _, m in sorted(world.machines.items())], ["b", "b"])
        world.ask("start", "n0")
        self.assertTrue(world.run(5.0, lambda: world.ready() == 3))

    def test_settings_that_change_amid_a_roll_wait_for_the_next(self) -> None:
        world = World()
        roll(world)
        world.run(1.0)
        world.configuration_version = "c"
        world.configure()
        self.assertTrue(world.run(60.0, world.over))
        self.assertEqual({m.configuration_version for m in world.machines.values()}, {"b"})
        changed = [n for n in world.notes if n.event == "settings changed"][-1]
        self.assertEqual(changed.fields["goes_on_to"], "b")

    def test_an_instance_taken_out_of_the_settings_is_stopped_and_forgotten(self) -> None:
        world = World()
        world.configure(("n0", "n1"))
        self.assertTrue(world.run(5.0, lambda: set(world.machines) == {"n0", "n1"}))
        world.step()
        self.assertEqual(set(world.reducer.state.instances), {"n0", "n1"})
        world.configure(("n0", "n1", "n4"))
        self.assertTrue(world.run(5.0, lambda: world.ready() == 3))

    def test_an_edition_whose_processes_die_is_undone_by_order(self) -> None:
        world = World()
        world.broken_versions["b"] = "exit 2"
        roll(world)
        self.assertTrue(world.run(30.0, lambda: world.mode == RollMode.PAUSED))
        assert world.reducer.state.roll is not None
        self.assertIn("n0 does not come up: it ended at its start: exit 2", world.reducer.state.roll.reason)
        self.assertEqual(world.ask("roll_undo").status, 200)
        self.assertTrue(world.run(60.0, world.over))
        self.assertTrue(world.run(10.0, lambda: world.ready() == 3))
        self.assertEqual({m.configuration_version for m in world.machines.values()}, {"a"})
        self.assertGreaterEqual(world.least, 2)


class KeepingTest(unittest.TestCase):
    def test_a_crashed_one_starts_again_and_a_crash_loop_is_failed(self) -> None:
        world = World()
        world.end("n1", "signal 11")
        self.assertTrue(world.run(3.0, lambda: world.ready() == 3))
        world.broken_versions["a"] = "exit 1"
        for name in list(world.machines):
            world.end(name, "exit 1")
        world.run(40.0)
        self.assertEqual(
            {world.reducer.phase_of(i) for i in world.reducer.state.instances.values()}, {Phase.FAILED}
        )
        world.broken_versions.clear()
        world.ask("start")
        self.assertTrue(world.run(5.0, lambda: world.ready() == 3))

    def test_one_that_cannot_be_spawned_is_told(self) -> None:
        world = World()
        world.hopeless.add("n1")
        world.end("n1", "exit 1")
        world.run(3.0)
        row = next(r for r in world.ask("status").body["instances"] if r["name"] == "n1")
        self.assertEqual(row["state"], "stopped")
        self.assertIn("cannot be started; starts again in", row["why"])

    def test_one_that_ignores_sigterm_is_killed(self) -> None:
        world = World()
        world.stubborn.add("n1")
        world.ask("stop", "n1")
        world.run(1.5)
        self.assertIn("n1", world.machines)
        self.assertTrue(world.run(2.0, lambda: "n1" not in world.machines))
        self.assertIn("stop timed out", [n.event for n in world.notes])

    def test_a_silent_one_is_told_and_comes_back(self) -> None:
        world = World()
        world.machines["n2"].stopped = True
        world.run(2.0)
        rows = {r["name"]: r for r in world.ask("status").body["instances"]}
        self.assertEqual(rows["n2"]["state"], "silent")
        self.assertIn("no answer for", rows["n2"]["why"])
        world.machines["n2"].stopped = False
        world.run(0.3)
        self.assertEqual(world.ask("status").body["ready"], 3)

    def test_one_that_was_drained_by_order_is_drained_again_after_a_crash(self) -> None:
        world = World()
        world.ask("drain", "n1")
        world.run(0.5)
        world.end("n1", "signal 11")
        world.run(3.0)
        self.assertTrue(world.machines["n1"].drained)
        world.ask("resume", "n1")
        world.run(0.5)
        self.assertEqual(world.ready(), 3)

    def test_what_ended_while_no_agent_looked_starts_again(self) -> None:
        world = World()
        world.end("n1", "?")
        world.begin()
        self.assertTrue(world.run(3.0, lambda: world.ready() == 3))

    def test_the_time_to_kill_outlasts_the_agent(self) -> None:
        # Guards rolls whose agent is killed again and again: each new one began to count anew, and one that
        # was stopped by SIGSTOP was never killed.
        world = World()
        world.machines["n0"].stopped = True
        world.ask("stop", "n0")
        for _ in range(6):
            world.run(0.5)
            world.begin()
        self.assertNotIn("n0", world.machines)
        world.run(3.0)
        world.ask("start", "n0")
        self.assertTrue(world.run(5.0, lambda: world.ready() == 3))

    def test_a_reused_pid_is_not_adopted(self) -> None:
        world = World()
        i = world.reducer.state.instances["n1"]
        assert i.process is not None
        other = replace(i, process=Process(i.process.pid, 1))
        state = world.reducer.state.persistent()
        instances = tuple(other if x.name == "n1" else x for x in state.instances)
        fresh = World()
        fresh.machines.clear()
        fresh.reducer = type(fresh.reducer)(1)
        fresh.watched.clear()
        fresh.round([StateRestored(replace(state, instances=instances), ())])
        self.assertIsNone(fresh.reducer.state.instances["n1"].process)

    def test_a_reading_of_another_process_is_not_taken(self) -> None:
        world = World()
        from juniperward.agent.events import InstanceAnswered

        before = world.reducer.state.instances["n1"]
        reading = replace(world.reading(world.machines["n1"]), pid=1)
        world.round([InstanceAnswered("n1", reading)])
        self.assertEqual(world.reducer.state.instances["n1"], before)

    def test_a_stopped_instance_stays_stopped_over_the_agents_death(self) -> None:
        world = World()
        world.ask("stop", "n1")
        world.run(1.0)
        world.begin()
        world.run(3.0)
        self.assertNotIn("n1", world.machines)
        self.assertEqual(world.reducer.state.instances["n1"].desired_state, DesiredState.STOPPED)
        self.assertIsInstance(world.reducer.state.instances["n1"], Instance)
