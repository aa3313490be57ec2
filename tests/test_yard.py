"""Real forwarders under a real agent, with the faults that a machine brings; judged by the checker."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path
from typing import Any

from juniperward.agent.client import AgentRefused, ask
from juniperward.rigs.yard import ROOT, Yard, reserve
from juniperward.standins.partners import PartnerSpec

QUICK = [PartnerSpec(1, latency=0.02), PartnerSpec(2, latency=0.02, workers=3)]


class PortTest(unittest.TestCase):
    def test_a_reserved_port_is_given_to_nobody_but_the_listener_it_is_for(self) -> None:
        """Two of 200 runs of the acceptance had no verdict: a port was taken before its forwarder started."""
        (held,) = reserve(1)
        self.addCleanup(held.close)
        with socket.socket() as stranger, self.assertRaises(OSError):
            stranger.bind(held.getsockname())
        for _ in range(2):  # also after a restart
            with socket.socket() as listener:
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                listener.bind(held.getsockname())
                listener.listen()
                with socket.create_connection(held.getsockname(), 1.0) as link:
                    listener.accept()[0].close()
                    self.assertEqual(link.recv(1), b"")


class YardTest(unittest.TestCase):
    def yard(self, instances: int = 3, **more: Any) -> Yard:
        folder = tempfile.TemporaryDirectory(prefix="jw-")
        self.addCleanup(folder.cleanup)
        yard = Yard(Path(folder.name), instances, QUICK, **more)
        self.addCleanup(yard.close)
        return yard

    def judge(self, yard: Yard) -> None:
        yard.settle()
        verdict = yard.verdict()
        self.assertTrue(verdict.good, "\n".join(verdict.lines()))
        self.assertEqual(verdict.unfinished, 0)
        self.assertGreater(verdict.taken, 20)


class RollsTest(YardTest):
    def test_a_roll_under_load_loses_nothing_while_a_worker_drains(self) -> None:
        yard = self.yard()
        yard.start()
        clients = yard.clients(40.0, 6.0, threads=24)
        yard.ask("roll", soak=0.2)
        yard.until(lambda s: s["roll"]["steps"][0]["stage"] == "starting")
        yard.registry.put(*yard.partners[2].entries("Terminating", 0))
        self.assertEqual(yard.roll_end()["mode"], "done")
        self.assertTrue(clients.done.wait(30.0))
        self.judge(yard)
        # It came back with a list that it had heard since: the drained worker is barred there, too.
        found = yard.ask("inspect", ["n0"])
        phases = {w["id"]: w["phase"] for w in found["workers"]}
        self.assertEqual((phases["s-2-0"], phases["s-2-1"]), ("draining", "ready"))

    def test_a_stopped_instance_is_told_and_rolled_and_the_agent_may_die_meanwhile(self) -> None:
        yard = self.yard(settings={"patience": {"silent": 1.0, "start": 8.0, "stop": 2.0}})
        yard.start()
        pid = yard.row("n1")["pid"]
        os.kill(pid, signal.SIGSTOP)
        clients = yard.clients(30.0, 6.0, threads=24)
        yard.until(lambda s: s["instances"][1]["state"] == "silent")
        self.assertIn("status: no answer", yard.ask("inspect", ["n1"])["unanswered"][0])
        yard.ask("drain", ["n1"])
        yard.ask("resume", ["n1"])
        yard.ask("roll", soak=0.2)
        for stage in ("stopping", "soaking"):
            yard.until(lambda s, stage=stage: any(x["stage"] == stage for x in s["roll"]["steps"]))
            yard.kill_agent()
            yard.start_agent()
        self.assertEqual(yard.roll_end()["mode"], "done")
        self.assertNotEqual(yard.row("n1")["pid"], pid)
        self.assertTrue(clients.done.wait(30.0))
        self.judge(yard)

    def test_two_tools_ask_for_a_roll_at_once(self) -> None:
        yard = self.yard(2)
        yard.start()
        codes: list[int] = []

        def roll() -> None:
            try:
                ask(yard.socket, "roll", None, 10.0, soak=0.0)
                codes.append(200)
            except AgentRefused as error:
                codes.append(error.status)

        threads = [threading.Thread(target=roll) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(sorted(codes), [200, 409, 409, 409])
        self.assertEqual(yard.roll_end()["mode"], "done")

    def test_settings_that_cannot_start_pause_the_roll_and_undo_brings_all_back(self) -> None:
        yard = self.yard()
        yard.start()
        good = dict(yard.base["settings"]["Limits"])
        yard.base["settings"]["Limits"]["MaxOpen"] = -1
        yard.write_settings()
        yard.ask("reload")
        roll = yard.roll()
        self.assertEqual(roll["mode"], "paused")
        self.assertIn("n0 does not come up: it ended at its start: exit 2", roll["why"])
        self.assertEqual(yard.ask("status")["ready"], 2)
        yard.base["settings"]["Limits"] = good
        yard.write_settings()
        yard.ask("reload")
        yard.ask("roll_undo")
        self.assertEqual(yard.roll_end()["mode"], "undone")
        yard.until(lambda s: s["ready"] == 3)

    def test_one_that_is_ready_and_delivers_nothing_pauses_the_roll(self) -> None:
        # The new edition gives every message less time than a call takes: its ready page says yes all the same.
        yard = self.yard(3, settings={"roll": {"soak": 0.3, "soak_most": 20.0, "least_calls": 5}})
        yard.start()
        clients = yard.clients(60.0, 10.0, threads=24)
        yard.until(lambda s: s["service"]["good"] > 50)
        yard.base["settings"]["Services"][0]["DeadlineMs"] = 10.0
        yard.write_settings()
        yard.ask("reload")
        roll = yard.roll()
        self.assertEqual(roll["mode"], "paused", roll)
        self.assertRegex(roll["why"], "n0 is ready but|service fell")
        yard.ask("roll_undo")
        self.assertEqual(yard.roll_end()["mode"], "undone")
        self.assertTrue(clients.done.wait(30.0))
        self.judge(yard)


class StartsTest(YardTest):
    def test_a_taken_port_and_an_unusable_folder_are_told_and_mended(self) -> None:
        yard = self.yard(3)
        taken = socket.create_server(yard.addresses["n0"])
        self.addCleanup(taken.close)
        (yard.folder / "run" / "state").mkdir(parents=True)
        os.chmod(yard.folder / "run", 0o700)
        (yard.folder / "run" / "state" / "n1").write_text("a file where the folder should be")
        yard.start(ready=False)
        yard.until(lambda s: s["instances"][0]["crashes"] and s["instances"][1]["crashes"])
        why = {r["name"]: r["why"] for r in yard.ask("status")["instances"]}
        self.assertIn("cannot be started", why["n1"])
        self.assertIn("cannot start", "\n".join(yard.ask("logs", ["n0"])["lines"]))
        taken.close()
        (yard.folder / "run" / "state" / "n1").unlink()
        yard.until(lambda s: s["ready"] == 3)

    def test_a_forwarder_started_by_hand_on_the_same_folder_keeps_its_journal_alone(self) -> None:
        yard = self.yard(2)
        yard.start()
        config = json.loads((yard.folder / "run" / "run" / "n0.json").read_text())
        pid = yard.row("n0")["pid"]
        by_hand = yard.folder / "hand.json"
        by_hand.write_text(
            json.dumps({**config, "listen": "127.0.0.1:1", "control": str(yard.folder / "c" / "x")})
        )
        second = subprocess.run(
            [sys.executable, "-m", "juniperward"], cwd=ROOT, env={**os.environ, "ROUTER_CONFIG": str(by_hand)},
            capture_output=True, timeout=20.0,
        )  # fmt: skip
        self.assertEqual(second.returncode, 1)
        self.assertIn(b"another forwarder works in this folder", second.stderr)
        self.assertEqual(yard.row("n0")["pid"], pid)

    def test_an_agent_that_ends_leaves_its_forwarders_and_a_new_one_adopts_them(self) -> None:
        yard = self.yard(2)
        yard.start()
        pids = [yard.row(n)["pid"] for n in yard.names]
        yard.ask("shutdown")
        assert yard.agent is not None
        yard.agent.wait(10.0)
        # What was started and not written down is found by its mark; a torn state file costs nothing then.
        (yard.folder / "run" / "state.json").write_bytes(b"{")
        (yard.folder / "run" / "state.json.old").unlink(missing_ok=True)
        yard.start_agent()
        yard.until(lambda s: s["ready"] == 2)
        self.assertEqual([yard.row(n)["pid"] for n in yard.names], pids)
        second = subprocess.run(
            [sys.executable, "-m", "juniperward", "agent", "run", str(yard.file), "--json"],
            cwd=ROOT, capture_output=True, timeout=20.0,
        )  # fmt: skip
        self.assertEqual(second.returncode, 1)
        self.assertIn(b"another agent looks after this fleet", second.stderr)

    def test_a_crashed_forwarder_comes_back_and_ends_what_it_had_taken(self) -> None:
        yard = self.yard(2)
        yard.start()
        clients = yard.clients(30.0, 3.0, threads=16)
        time.sleep(0.5)
        yard.ask("kill", ["n0"])
        yard.until(
            lambda s: s["instances"][0]["crashes"] or s["instances"][0]["up"] is not None and s["ready"] == 2
        )
        self.assertTrue(clients.done.wait(30.0))
        yard.until(lambda s: s["ready"] == 2)
        self.judge(yard)
