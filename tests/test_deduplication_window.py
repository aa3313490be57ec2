"""Deduplication windows and deadlines across a kill, with wall clocks that differ by a second."""

from __future__ import annotations

import copy
import json
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

import pytest

from juniperward.fakes.destination_spec import DestinationSpec, FaultMode
from juniperward.fakes.destinations import FakeDestination
from juniperward.fakes.discovery import FakeDiscovery
from juniperward.fakes.records import AttemptReceived, NotificationReceived, Recorder
from juniperward.forwarder.clock import (
    MAX_CLOCK_ERROR_S,
    MAX_STEP_BACK_S,
    REFERENCE_NAME,
    choose_unix_offset,
    read_boot_id,
)
from juniperward.forwarder.effects import SendNotifications, StartAttempt
from juniperward.forwarder.events import EndpointsUpdated, JournalReplayed
from juniperward.forwarder.journal import JOURNAL_NAME, Journal
from juniperward.forwarder.model import Message
from juniperward.forwarder.records import AcceptedRecord, AttemptStartedRecord, RestoredMessage
from juniperward.forwarder.reducer import Reducer
from juniperward.net.http_requests import encode_request
from juniperward.net.http_responses import read_response
from juniperward.net.stream import Stream
from juniperward.scheduler.settings import Idempotency, MessageClass
from tests.helpers import settings
from tests.player import SETTINGS, Program
from tests.resources import Resources, UsesResources
from tests.test_reducer import ReducerRig, make_endpoint

TIMEOUT_S = 20.0
BOOT, OTHER_BOOT = "8b6c", "90f1"
OFFSET_S = 1000.0  # Unix time minus monotonic time in the first process.
WINDOW_S = 1.0
SHORT_WINDOW = MessageClass(
    latency_objective_s=4.0,
    deadline_s=20.0,
    idempotency=Idempotency.IDEMPOTENCY_KEY,
    deduplication_window_s=WINDOW_S,
)


class FolderTest:
    @pytest.fixture(autouse=True)
    def set_up(self, resources: Resources, tmp_path: Path) -> None:
        self.resources = resources
        self.folder = tmp_path

    def choose_offset(self, unix_offset_s: float, boot: str = BOOT) -> float:
        return choose_unix_offset(self.folder, unix_offset_s, boot, JOURNAL_NAME)

    def open_journal(self, unix_offset_s: float, boot: str = BOOT) -> Journal:
        """Open the journal as a process does at its start."""
        return self.resources.closing(Journal(self.folder, 100_000, self.choose_offset(unix_offset_s, boot)))


class TestReference(FolderTest):
    def test_an_empty_folder_uses_the_clock_as_it_is(self) -> None:
        assert self.choose_offset(OFFSET_S) == OFFSET_S

    def test_a_clock_that_stepped_back_goes_on_as_before(self) -> None:
        self.open_journal(OFFSET_S)
        assert self.choose_offset(OFFSET_S - 1.0) == OFFSET_S
        # The third process uses the offset too.
        assert self.choose_offset(OFFSET_S - 1.0) == OFFSET_S

    def test_a_clock_that_stepped_ahead_is_used(self) -> None:
        self.open_journal(OFFSET_S)
        assert self.choose_offset(OFFSET_S + 1.0) == OFFSET_S + 1.0
        assert self.choose_offset(OFFSET_S) == OFFSET_S + 1.0

    def test_a_journal_without_a_reference_of_this_boot_counts_as_older(
        self, subtests: pytest.Subtests
    ) -> None:
        self.open_journal(OFFSET_S)
        complete = (self.folder / REFERENCE_NAME).read_text()
        cases = {
            "of another boot": json.dumps([OTHER_BOOT, OFFSET_S]),
            "cut off": complete[:-3],
            "not a pair": "17",
            "no number": json.dumps([BOOT, "soon"]),
            "not finite": json.dumps([BOOT, float("nan")]),
            "of another clock": json.dumps([BOOT, OFFSET_S + MAX_STEP_BACK_S + 1.0]),
        }
        for name, text in cases.items():
            with subtests.test(name=name):
                (self.folder / REFERENCE_NAME).write_text(text)
                assert self.choose_offset(OFFSET_S) == OFFSET_S + MAX_CLOCK_ERROR_S
        (self.folder / REFERENCE_NAME).unlink()  # An older version wrote no reference.
        assert self.choose_offset(OFFSET_S) == OFFSET_S + MAX_CLOCK_ERROR_S
        # Times that were moved back once are not moved forward again.
        assert self.choose_offset(OFFSET_S) == OFFSET_S + MAX_CLOCK_ERROR_S

    def test_a_reference_without_a_boot_id_counts_as_older(self) -> None:
        self.open_journal(OFFSET_S, boot="")
        assert self.choose_offset(OFFSET_S, boot="") == OFFSET_S + MAX_CLOCK_ERROR_S

    def test_a_process_starts_if_the_reference_cannot_be_written(self) -> None:
        with mock.patch("juniperward.forwarder.clock.Path.replace", side_effect=OSError(28, "No space left")):
            assert self.choose_offset(OFFSET_S) == OFFSET_S

    def test_the_machine_has_a_boot_id(self) -> None:
        assert re.search(r"[0-9a-f-]{36}", read_boot_id())
        with mock.patch("juniperward.forwarder.clock.BOOT_ID", self.folder / "none"):
            assert read_boot_id() == ""


class TestKill(FolderTest, ReducerRig):
    """A process restores the journal of a killed one; times are of the monotonic clock."""

    def restart(self, now: float, unix_offset_s: float, boot: str = BOOT) -> list[Any]:
        """Return the effects of a start at `now` with the journal in the folder."""
        restored = self.open_journal(unix_offset_s, boot).restored()
        assert len(restored) == 1
        return self.replay(now, restored)

    def replay(self, now: float, restored: tuple[RestoredMessage, ...]) -> list[Any]:
        self.reducer = Reducer(settings(SHORT_WINDOW), 1)
        self.now = now
        self.reduce(EndpointsUpdated(41, True, (make_endpoint(),), cached=True))
        return self.reduce(JournalReplayed(restored))

    def write_journal(
        self, *, started_at: float | None, expires_at: float = 120.0, unix_offset_s: float = OFFSET_S
    ) -> None:
        """Write the journal of a killed process that accepted a message and may have started an attempt."""
        journal = self.open_journal(unix_offset_s)
        journal.append(AcceptedRecord(Message("a", 0, 0, 1, 20.0, "k", b""), expires_at))
        if started_at is not None:
            journal.append(AttemptStartedRecord("a", started_at, "s-1"))

    def test_no_retry_after_the_deduplication_window(self, subtests: pytest.Subtests) -> None:
        for step_s in (-1.0, -0.5, 0.0, 0.5, 1.0):
            with subtests.test(step_s=step_s):
                (self.folder / JOURNAL_NAME).unlink(missing_ok=True)
                self.write_journal(started_at=100.0)
                effects = self.restart(100.0 + WINDOW_S + 0.001, OFFSET_S + step_s)
                assert self.of_type(effects, StartAttempt) == []
                assert [n.id for e in self.of_type(effects, SendNotifications) for n in e.notifications] == [
                    "a"
                ]

    def test_a_retry_within_the_deduplication_window_is_sent(self, subtests: pytest.Subtests) -> None:
        for step_s in (-1.0, 0.0):
            with subtests.test(step_s=step_s):
                (self.folder / JOURNAL_NAME).unlink(missing_ok=True)
                self.write_journal(started_at=100.0)
                (attempt,) = self.of_type(self.restart(100.6, OFFSET_S + step_s), StartAttempt)
                (item,) = attempt.items
                assert item.start_before < 100.0 + WINDOW_S

    def test_no_retry_on_a_machine_whose_clock_is_a_second_behind(self) -> None:
        # The second machine's monotonic clock reads 500 when the first one's reads 1500.
        self.write_journal(started_at=1500.0, expires_at=1600.0)
        effects = self.restart(500.0 + WINDOW_S + 0.001, OFFSET_S + 1000.0 - 1.0, OTHER_BOOT)
        assert self.of_type(effects, StartAttempt) == []

    def test_no_retry_two_kills_later(self) -> None:
        # The second process saw a clock that is a second behind, and kept the first one's records.
        self.write_journal(started_at=100.0)
        self.open_journal(OFFSET_S - 1.0)
        effects = self.restart(100.0 + WINDOW_S + 0.001, OFFSET_S - 1.0)
        assert self.of_type(effects, StartAttempt) == []

    def test_a_deadline_is_not_postponed_by_a_clock_that_is_behind(self) -> None:
        self.write_journal(started_at=None, expires_at=105.0)
        (attempt,) = self.of_type(self.restart(101.0, OFFSET_S - 1.0), StartAttempt)
        assert attempt.deadline == pytest.approx(105.0, abs=5e-8)
        effects = self.restart(105.5, OFFSET_S - 1.0)
        assert self.of_type(effects, StartAttempt) == []
        assert [n.id for e in self.of_type(effects, SendNotifications) for n in e.notifications] == ["a"]


class SteppedProgram(Program):
    """A forwarder process whose wall clock is off by `step_s`."""

    step_s = 0.0

    def spawn(self) -> subprocess.Popen[bytes]:
        popen = subprocess.Popen

        def start(_command: list[str], **options: Any) -> subprocess.Popen[bytes]:
            return popen([sys.executable, "-c", STEP_AND_RUN, str(self.step_s)], **options)

        with mock.patch("tests.player.subprocess.Popen", start):
            return super().spawn()


STEP_AND_RUN = """
import runpy, sys, time
wall, step = time.time, float(sys.argv.pop(1))
time.time = lambda: wall() + step
runpy.run_module("juniperward", run_name="__main__")
"""


class TestProcess(UsesResources):
    def test_no_retry_after_the_deduplication_window_across_a_kill(self, subtests: pytest.Subtests) -> None:
        for step_s in (-1.0, 1.0):
            with subtests.test(step_s=step_s):
                self.check_no_retry(step_s)

    def check_no_retry(self, step_s: float) -> None:
        folder = tempfile.TemporaryDirectory()
        self.resources.callback(folder.cleanup)
        recorder = Recorder()
        discovery = self.resources.closing(FakeDiscovery(recorder))
        destination = self.resources.closing(FakeDestination(DestinationSpec(7, endpoints=1), recorder, 1))
        entries = destination.start()
        discovery.publish(*entries)
        destination.inject_fault(FaultMode.UNRESPONSIVE)
        short = copy.deepcopy(SETTINGS)
        short["Services"][0]["WindowMs"] = WINDOW_S * 1000
        program = self.resources.closing(SteppedProgram(Path(folder.name), short))
        program.config["discovery"] = discovery.address_for("n0")
        known = program.config["known"]["servers"]
        known[:] = [{**known[0], "id": entries[0].id, "addr": entries[0].address}]
        program.start()
        self.submit(program)
        attempts = [r for r in self.wait_for(recorder, AttemptReceived) if isinstance(r, AttemptReceived)]
        assert program.process is not None
        program.process.send_signal(signal.SIGKILL)
        program.process.wait(TIMEOUT_S)
        # Wait until the deduplication window has ended in real time.
        while (remaining_s := attempts[0].at + WINDOW_S - time.monotonic()) > 0:
            time.sleep(remaining_s)
        program.kill()
        program.step_s = step_s
        program.start()
        self.wait_for(recorder, NotificationReceived)
        assert sum(isinstance(r, AttemptReceived) for r in recorder.records) == 1

    def submit(self, program: Program) -> None:
        headers = {
            "X-Correlation-Id": "m0", "X-Service-Class": "booking-update", "X-Account": "acme",
            "X-Addressing": "dest=7", "X-Time-Left": "20", "Idempotency-Key": "k0",
        }  # fmt: skip
        with socket.create_connection(program.address, TIMEOUT_S) as sock:
            sock.sendall(encode_request("POST", "/api", "n0", headers, b"body"))
            assert read_response(Stream(sock.recv)).status == 202

    def wait_for(self, recorder: Recorder, kind: type[Any]) -> list[Any]:
        return self._poll(lambda: [r for r in recorder.records if isinstance(r, kind)])

    def _poll(self, found: Callable[[], list[Any]]) -> list[Any]:
        timeout_at = time.monotonic() + TIMEOUT_S
        while not (records := found()):
            assert time.monotonic() < timeout_at, "timed out waiting for records"
            time.sleep(0.01)
        return records
