"""Tests the agent's state store, its processes, its API and its folder lock."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from juniperward.agent import api, processes, store
from juniperward.agent.client import AgentRejectedError, AgentUnreachableError, request, request_all
from juniperward.agent.events import ControlRequest
from juniperward.agent.folder_lock import AgentRunningError, lock_folder
from juniperward.agent.loop import Loop
from juniperward.agent.processes import INSTANCE_VARIABLE, Launcher
from juniperward.agent.replies import ErrorReply
from juniperward.agent.state import PersistentState
from juniperward.agent.store import StateStore
from juniperward.agent.watch import Watcher
from juniperward.control.errors import ControlRejectedError
from juniperward.control.protocol import Verb
from juniperward.fleet.model import DesiredState, Instance, Process
from juniperward.settings.load import load
from tests.test_settings import GOOD


class StoreTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.store = StateStore(Path(folder.name))
        self.first = PersistentState(
            (Instance("a", DesiredState.RUNNING, Process(5, 6), 1.5, "e1"),), None, 3, "e1"
        )
        self.second = PersistentState((), None, 4, "e2")

    def test_state_is_loaded_as_it_was_saved(self) -> None:
        self.assertEqual(self.store.load(), (PersistentState(), []))
        self.store.save(self.first)
        self.assertEqual(self.store.load(), (self.first, []))

    def test_a_file_torn_at_any_byte_gives_the_previous_state(self) -> None:
        self.store.save(self.first)
        self.store.save(self.second)
        whole = self.store.file.read_bytes()
        for length in range(len(whole)):
            self.store.file.write_bytes(whole[:length])
            found, problems = self.store.load()
            self.assertEqual((found, len(problems)), (self.first, 1), length)

    def test_a_flipped_bit_is_detected(self) -> None:
        self.store.save(self.first)
        self.store.save(self.second)
        whole = bytearray(self.store.file.read_bytes())
        for offset in range(len(whole)):
            damaged = bytearray(whole)
            damaged[offset] ^= 1
            self.store.file.write_bytes(damaged)
            self.assertIn(self.store.load()[0], (self.first, self.second), offset)

    def test_a_full_disk_at_any_step_keeps_the_previous_state(self) -> None:
        self.store.save(self.first)
        for name in ("os.fsync", "os.replace", "io.open"):
            full = mock.patch(name, side_effect=OSError(28, "No space left on device"))
            with full, self.assertRaises(OSError):
                self.store.save(self.second)
            self.assertEqual(self.store.load()[0], self.first, name)

    def test_another_format_version_is_reported(self) -> None:
        self.store.save(self.first)
        text = self.store.file.read_bytes()
        self.store.file.write_bytes(text.replace(b'"v":1', b'"v":9'))
        self.assertIn("version 9", self.store.load()[1][0])

    def test_processes_are_dropped_after_a_reboot(self) -> None:
        self.store.save(self.first)
        with mock.patch.object(store, "boot_id", return_value="other"):
            found, _ = self.store.load()
        self.assertIsNone(found.instances[0].process)
        self.assertEqual(found.instances[0].desired_state, DesiredState.RUNNING)


class ProcessesTest(unittest.TestCase):
    def start_child(self, *arguments: str, **environment: str) -> subprocess.Popen[bytes]:
        code = "import sys; sys.stdin.read()"
        child = subprocess.Popen(
            [sys.executable, "-c", code, *arguments], stdin=subprocess.PIPE, env={**os.environ, **environment}
        )
        self.addCleanup(child.stdin.close)  # type: ignore[union-attr]
        self.addCleanup(child.wait)
        self.addCleanup(child.kill)
        return child

    def test_a_reused_pid_is_neither_alive_nor_signalled(self) -> None:
        child = self.start_child()
        process = processes.identify(child.pid)
        assert process is not None
        self.assertTrue(processes.alive(process))
        other = Process(child.pid, process.start + 1)
        self.assertFalse(processes.alive(other))
        self.assertFalse(processes.send_signal(other, signal.SIGKILL))
        self.assertIsNone(child.poll())
        self.assertTrue(processes.send_signal(process, signal.SIGKILL))
        while (exit_reason := processes.reap(process)) is None:
            pass
        self.assertEqual(exit_reason, "signal 9")
        self.assertEqual(processes.reap(process), "gone")
        self.assertFalse(processes.send_signal(process, signal.SIGTERM))

    def test_start_times_are_on_the_monotonic_clock(self) -> None:
        before = time.monotonic()
        process = processes.identify(self.start_child().pid)
        assert process is not None
        self.assertAlmostEqual(processes.started_at(process), before, delta=2.0)

    def test_marked_processes_are_found_again(self) -> None:
        child = self.start_child(**{INSTANCE_VARIABLE: f"/some/{os.getpid()}:n1"})
        self.start_child(**{INSTANCE_VARIABLE: f"/some/{os.getpid()}x:n2"})
        while not (found := processes.find_instances(f"/some/{os.getpid()}")):
            pass
        self.assertEqual({name: p.pid for name, p in found.items()}, {"n1": child.pid})

    def test_logs_rotate_while_their_writer_keeps_them_open(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            launcher = Launcher(Path(name))
            file = launcher.log_file("a")
            file.parent.mkdir()
            self.assertFalse(launcher.rotate("a", 10, 2))
            with file.open("ab", buffering=0) as writer:
                for number in range(4):
                    writer.write(b"line %d of the log\n" % number)
                    self.assertTrue(launcher.rotate("a", 10, 2))
                writer.write(b"last\n")
            self.assertEqual(file.read_text(), "last\n")
            self.assertIn("line 3", Path(f"{file}.1").read_text())
            self.assertIn("line 2", Path(f"{file}.2").read_text())
            self.assertFalse(Path(f"{file}.3").exists())
            self.assertEqual(launcher.tail("a", 5), ["last"])
            self.assertEqual(launcher.tail("none", 5), [])


class WatcherTest(unittest.TestCase):
    def test_an_order_to_a_process_is_not_sent_to_the_next_one(self) -> None:
        # Guards against a new process that is drained by an order to the one before it, and is never resumed.
        earlier, current = Process(101, 1), Process(102, 2)
        watcher = Watcher("n1", Path("control"), 60.0, lambda _: None)
        with (
            mock.patch.object(watcher, "client") as client,
            mock.patch.object(processes, "reap", return_value=None),
        ):
            client.status.side_effect = client.order.side_effect = ControlRejectedError("no")
            watcher.watch(earlier)
            watcher.send_order("drain", earlier)
            watcher.watch(current)
            watcher.send_order("resume", current)
            for _ in range(4):
                watcher._round()
        self.assertEqual(client.order.mock_calls, [mock.call(Verb.RESUME)])


class ApiTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "base.json").write_text('{"settings": {}}')
        (self.folder / "f.textproto").write_text(GOOD)
        self.settings = load(self.folder / "f.textproto")
        self.settings.folder.mkdir(mode=0o700)
        self.loop = Loop(self.settings, StateStore(self.settings.folder), 1)
        self.api = api.Api(self.settings.socket, self.loop, lambda: ErrorReply("no"), lambda _: None)
        self.api.start()
        self.addCleanup(self.api.close)

    def run_one_round(self) -> None:
        """Run one round of the loop with the next request."""
        event = self.loop.events.get(timeout=5.0)
        assert isinstance(event, ControlRequest)
        self.loop.round([event])

    def test_requests_pass_through_the_loop(self) -> None:
        import threading

        thread = threading.Thread(target=self.run_one_round)
        thread.start()
        found = request(self.settings.socket, "status")
        thread.join()
        self.assertEqual((found["instances"], found["agent"]["name"]), ([], "cluster"))

    def test_invalid_requests_are_rejected(self) -> None:
        path = self.settings.socket
        for verb, names, status in (("unknown", [], 404), ("logs", [], 400), ("inspect", ["n9"], 404),
                                    ("logs", ["n9"], 404), ("reload", [], 400)):  # fmt: skip
            with self.subTest(verb), self.assertRaises(AgentRejectedError) as caught:
                request(path, verb, names)
            self.assertEqual(caught.exception.status, status)
        for body in (b"[", b'{"names": 5}', b"[" * 60000):
            with self.subTest(body[:20]), socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
                sock.settimeout(5.0)
                sock.connect(str(path))
                sock.sendall(b"POST /v1/status HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                self.assertIn(b" 400 ", sock.recv(100))

    def test_another_user_is_rejected(self) -> None:
        other = mock.patch.object(api, "peer_credentials", return_value=(1, os.geteuid() + 1))
        with other, self.assertRaises(AgentRejectedError) as caught:
            request(self.settings.socket, "agent")
        self.assertEqual(caught.exception.status, 403)

    def test_an_agent_that_does_not_answer_is_one_row(self) -> None:
        unresponsive = self.folder / "unresponsive.sock"
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as listener:
            listener.bind(str(unresponsive))
            listener.listen(8)
            started_at = time.monotonic()
            rows = request_all(
                [self.settings.socket, unresponsive, self.folder / "none"], "agent", timeout_s=0.5
            )
            self.assertLess(time.monotonic() - started_at, 3.0)
        self.assertEqual(
            [(bool(row.error), row.unreachable) for row in rows], [(False, False), (True, True), (True, True)]
        )
        with self.assertRaises(AgentUnreachableError):
            request(self.folder / "none", "agent", timeout_s=0.2)

    def test_a_second_agent_of_a_fleet_is_rejected(self) -> None:
        lock = lock_folder(self.settings.folder)
        with self.assertRaises(AgentRunningError):
            lock_folder(self.settings.folder)
        os.close(lock)
