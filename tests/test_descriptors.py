"""Idle clients must not exhaust the file descriptors of the watch, the notifications, the journal and the calls."""

from __future__ import annotations

import queue
import re
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

import pytest

from juniperward.fakes.destination_spec import DestinationSpec, FaultMode
from juniperward.fakes.destinations import FakeDestination
from juniperward.fakes.discovery import FakeDiscovery
from juniperward.fakes.records import AttemptReceived, NotificationReceived, Recorder, WatchEventSent
from juniperward.forwarder.descriptors import MIN_SOCKETS, RESERVED_DESCRIPTORS, divide_descriptors
from juniperward.forwarder.effects import StartAttempt
from juniperward.forwarder.events import AttemptAnswered
from juniperward.forwarder.journal import COMPACTED_NAME, Journal
from juniperward.forwarder.model import BatchItem, ItemOutcome, Message
from juniperward.forwarder.records import AcceptedRecord, CompletedRecord
from juniperward.forwarder.telemetry import counters
from juniperward.net import sockets
from juniperward.net.http_errors import ConnectionClosedError, IncompleteMessageError, MalformedMessageError
from juniperward.net.http_requests import encode_request
from juniperward.net.http_responses import read_response
from juniperward.net.stream import Stream
from juniperward.scheduler.events import Outcome
from tests.endpoint_client_rig import EndpointClientRig
from tests.helpers import open_descriptors
from tests.player import ROOT, Program
from tests.resources import Resources, UsesResources

WAIT_S = 20.0
NO_DESCRIPTOR = OSError(24, "Too many open files")


class TestConnectionLimits:
    def test_all_connection_limits_together_fit_into_any_descriptor_limit(self) -> None:
        # Guards small descriptor limits, where the fixed reserve matters most.
        for limit in range(MIN_SOCKETS, 4096):
            for slots in (1, 4, 1000):
                limits = divide_descriptors(limit, slots)
                uses = (
                    limits.clients,
                    limits.closing_clients,
                    limits.calls,
                    limits.spare_endpoint_connections,
                )
                assert sum(uses) + RESERVED_DESCRIPTORS <= limit, f"{limit}: {limits}"
                assert min(uses) >= 1

    def test_usual_descriptor_limits_are_divided_into_eighths(self) -> None:
        for limit in (256, 1024):
            limits = divide_descriptors(limit, 1000)
            assert (limits.clients, limits.closing_clients) == (limit // 2 - 16, 16)
            assert (limits.calls, limits.spare_endpoint_connections) == (limit // 4, limit // 8)
        # Calls are limited to two for each slot and 8 spare ones.
        assert divide_descriptors(256, 4).calls == 16


class TestDial(EndpointClientRig):
    def test_a_call_that_gets_no_socket_is_reported_as_not_executed(self) -> None:
        # Guards non-idempotent messages: reported as a reset, the call would count as possibly executed.
        message = Message("m0", 0, 0, 7, 9.0, None, b"")
        with mock.patch(
            "juniperward.forwarder.endpoint_connections.socket.socket", side_effect=NO_DESCRIPTOR
        ):
            self.client.start(
                StartAttempt(1, 3, "127.0.0.1", self.port, 7, (BatchItem(0, message),), 1e12, "s-3")
            )
            event = self.events.get(timeout=5.0)
        assert isinstance(event, AttemptAnswered)
        assert event.outcomes == (ItemOutcome(0, Outcome.CONNECT_FAILED, written=False),)


class TestFailedCompaction(UsesResources):
    def test_a_record_is_written_even_if_the_compaction_fails(self) -> None:
        # Guards against losing the record that triggers a compaction while no descriptor is free.
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            journal = self.resources.closing(Journal(folder, 1_000_000, 0.0))
            before = counters().get("journal_compactions_failed", 0)
            with mock.patch.object(Journal, "_compact", side_effect=NO_DESCRIPTOR):
                (folder / COMPACTED_NAME).write_bytes(b"a part of it")
                for n in range(60):
                    journal.append(AcceptedRecord(Message(f"m{n}", 0, 0, 7, 9.0, None, b"x" * 3000), 1e6))
                    if n:
                        journal.append(CompletedRecord(f"m{n}"))
            assert counters().get("journal_compactions_failed", 0) > before
            assert not (folder / COMPACTED_NAME).exists()
            again = self.resources.closing(Journal(folder, 1_000_000, 0.0))
            assert [r.message.id for r in again.restored()] == ["m0"]


class LimitedProgram(Program):
    """Runs the forwarder with a limit on its file descriptors."""

    def __init__(self, folder: Path, descriptors: int, sockets_setting: int) -> None:
        super().__init__(folder)
        self.descriptors = descriptors
        self.config["limits"]["sockets"] = sockets_setting
        self.output = folder / "output"

    def spawn(self) -> subprocess.Popen[bytes]:
        limited = [sys.executable, "-c", LIMIT_AND_RUN, str(self.descriptors)]
        with mock.patch("tests.player.subprocess.Popen", self._popen_with_prefix(limited)):
            return super().spawn()

    @staticmethod
    def _popen_with_prefix(prefix: list[str]) -> Callable[..., subprocess.Popen[bytes]]:
        popen = subprocess.Popen

        def start(command: list[str], **options: Any) -> subprocess.Popen[bytes]:
            return popen([*prefix, *command], **options)

        return start


LIMIT_AND_RUN = """
import os, resource, sys
limit = int(sys.argv[1])
resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
os.execv(sys.argv[2], sys.argv[2:])
"""


class IdleClients:
    """Clients that keep idle connections open, and reconnect when the forwarder closes one, until `close`."""

    def __init__(self, address: tuple[str, int], count: int) -> None:
        self.address, self.count = address, count
        self.connections: list[socket.socket] = []
        self.closed_by_forwarder = 0
        # Set once `count` connections have been open at the same time.
        self.all_connected = threading.Event()
        self.closing = threading.Event()
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self) -> None:
        while not self.closing.is_set():
            idle = [s for s in self.connections if sockets.is_reusable(s)]
            for sock in set(self.connections) - set(idle):
                self.closed_by_forwarder += 1
                sock.close()
            self.connections = idle
            while len(self.connections) < self.count and not self.closing.is_set():
                try:
                    sock = socket.create_connection(self.address, 1.0)
                except OSError:
                    break
                sock.setblocking(False)
                self.connections.append(sock)
            if len(self.connections) >= self.count:
                self.all_connected.set()
            self.closing.wait(0.02)

    def close(self) -> None:
        self.closing.set()
        self.thread.join(WAIT_S)
        for sock in self.connections:
            sock.close()


class TestIdleClients:
    """A real process with few descriptors, and clients that use them up while discovery is down."""

    @pytest.fixture(autouse=True)
    def set_up(self, resources: Resources, tmp_path: Path) -> None:
        self.resources = resources
        self.folder = tmp_path
        self.recorder = Recorder()
        self.discovery = self.resources.closing(FakeDiscovery(self.recorder))
        self.destination = self.resources.closing(
            FakeDestination(DestinationSpec(7, latency_s=0.01), self.recorder, 1)
        )
        self.lines: queue.SimpleQueue[str] = queue.SimpleQueue()
        self.output: list[str] = []
        self.serial = 0

    def start(self, descriptors: int, sockets_setting: int = 256) -> LimitedProgram:
        program = self.resources.closing(LimitedProgram(self.folder, descriptors, sockets_setting))
        program.config["discovery"] = self.discovery.address_for("n0")
        self.discovery.publish(*self.destination.start())
        program.start()
        assert program.process is not None and program.process.stderr is not None
        self.reader = threading.Thread(target=self._read, args=(program.process.stderr,))
        self.reader.start()
        self.until(
            lambda: any(isinstance(r, WatchEventSent) for r in self.recorder.records), "the watch is answered"
        )
        return program

    def _read(self, stream: Any) -> None:
        for line in stream:
            self.output.append(line.decode())
            self.lines.put(line.decode())

    def until(self, holds: Callable[[], bool], condition: str) -> None:
        end = time.monotonic() + WAIT_S
        while not holds():
            assert time.monotonic() < end, f"{condition}: not within {WAIT_S} s; {self.output[-5:]}"
            time.sleep(0.01)

    def counters(self, program: Program) -> dict[str, int]:
        assert program.process is not None
        program.process.send_signal(signal.SIGUSR1)
        while "counters:" not in (line := self.lines.get(timeout=WAIT_S)):
            pass
        return {name: int(value) for name, value in re.findall(r"(\w+)=(\d+)", line)}

    def submit(self, program: Program, time_left_s: float = 10.0, size: int = 100) -> str:
        """Submit messages, each on a new connection, until one is accepted; return its id."""
        end = time.monotonic() + WAIT_S
        while time.monotonic() < end:
            self.serial += 1
            name = f"{self.serial:016x}"
            headers = {
                "X-Correlation-Id": name, "X-Service-Class": "booking-update", "X-Account": "acme",
                "X-Addressing": "dest=7", "X-Time-Left": f"{time_left_s}", "Idempotency-Key": f"k{name}",
            }  # fmt: skip
            try:
                with socket.create_connection(program.address, 1.0) as sock:
                    sock.sendall(encode_request("POST", "/api", "n0", headers, b"x" * size))
                    status = read_response(Stream(sock.recv)).status
            except (OSError, IncompleteMessageError, ConnectionClosedError, MalformedMessageError):
                continue  # The connection was closed before an answer: submit another message.
            if status == 202:
                return name
            assert status == 503
        pytest.fail(f"no message is accepted within {WAIT_S} s; {self.output[-5:]}")

    def test_watch_notifications_journal_and_calls_get_their_descriptors(self) -> None:
        program = self.start(256)
        # Discovery records the watch when it writes the answer, the forwarder counts it when it has read the answer.
        self.until(lambda: "watches_begun" in self.counters(program), "the watch is open")
        before = self.counters(program)
        self.discovery.set_outage(True)
        clients = self.resources.closing(IdleClients(program.address, 300))
        assert clients.all_connected.wait(WAIT_S)
        self.until(lambda: clients.closed_by_forwarder > 0, "the forwarder closes idle clients")
        delivered = [self.submit(program, size=6000) for _ in range(16)]
        self.until(lambda: set(delivered) <= self.called(), "endpoints are called")
        self.destination.inject_fault(FaultMode.DOWN)
        undelivered = self.submit(program, time_left_s=1.5)
        self.discovery.set_outage(False)
        outage_ended_at = time.monotonic()
        self.until(lambda: undelivered in self.notified(), "the notification is delivered")
        watches = before["watches_begun"]
        self.until(lambda: self.counters(program)["watches_begun"] > watches, "the watch is opened again")
        assert time.monotonic() - outage_ended_at < WAIT_S
        after = self.counters(program)
        assert after["journal_compactions"] > before["journal_compactions"]
        for fault in (
            "accepts_failed",
            "journal_failures",
            "journal_compactions_failed",
            "unexpected_errors",
        ):
            assert fault not in after
        assert "Too many open files" not in "".join(self.output)
        assert program.process is not None
        assert open_descriptors(program.process.pid) <= 256

    def test_a_listener_recovers_from_a_lack_of_descriptors(self) -> None:
        # With fewer descriptors than its settings say, the forwarder must retry accepting without a busy loop.
        program = self.start(48)
        clients = self.resources.closing(IdleClients(program.address, 100))
        self.until(lambda: self.counters(program).get("accepts_failed", 0) >= 3, "accepting fails")
        began_at, failed = time.monotonic(), self.counters(program)["accepts_failed"]
        self.until(lambda: self.counters(program)["accepts_failed"] >= failed + 10, "accepting goes on")
        retries = self.counters(program)["accepts_failed"] - failed
        assert retries <= (time.monotonic() - began_at) / 0.05 + 1, "accepting is retried in a busy loop"
        clients.close()
        name = self.submit(program)
        self.until(lambda: name in self.called(), "the endpoint is called")

    def called(self) -> set[str]:
        return {name for r in self.recorder.records if isinstance(r, AttemptReceived) for name in r.ids}

    def notified(self) -> set[str]:
        return {r.id for r in self.recorder.records if isinstance(r, NotificationReceived)}


class TestLimitedProgram:
    def test_the_launcher_limits_the_descriptors_of_the_process(self) -> None:
        code = "import resource; print(resource.getrlimit(resource.RLIMIT_NOFILE)[0])"
        assert resource.getrlimit(resource.RLIMIT_NOFILE)[0] != 77
        done = subprocess.run(
            [sys.executable, "-c", LIMIT_AND_RUN, "77", sys.executable, "-c", code],
            cwd=ROOT, stdout=subprocess.PIPE, text=True, timeout=WAIT_S, check=True,
        )  # fmt: skip
        assert done.stdout.strip() == "77"
