"""Deduplication windows and deadlines across a kill, with wall clocks a second apart: no retry after its window."""

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

WAIT = 20.0
BOOT, OTHER_BOOT = "8b6c", "90f1"
OFFSET = 1000.0  # from the monotonic clock to Unix time, as the first process sees it
WINDOW = 1.0
SHORT_WINDOW = MessageClass(
    latency_objective_s=4.0,
    deadline_s=20.0,
    idempotency=Idempotency.IDEMPOTENCY_KEY,
    deduplication_window_s=WINDOW,
)


class FolderTest:
    @pytest.fixture(autouse=True)
    def set_up(self, resources: Resources, tmp_path: Path) -> None:
        self.resources = resources
        self.folder = tmp_path

    def carry(self, to_unix: float, boot: str = BOOT) -> float:
        return choose_unix_offset(self.folder, to_unix, boot, JOURNAL_NAME)

    def journal(self, to_unix: float, boot: str = BOOT) -> Journal:
        """The journal as the process opens it at its start."""
        return self.resources.closing(Journal(self.folder, 100_000, self.carry(to_unix, boot)))


class TestReference(FolderTest):
    def test_an_empty_folder_counts_by_the_clock_as_it_is(self) -> None:
        assert self.carry(OFFSET) == OFFSET

    def test_a_clock_that_stepped_back_goes_on_as_before(self) -> None:
        self.journal(OFFSET)
        assert self.carry(OFFSET - 1.0) == OFFSET
        assert self.carry(OFFSET - 1.0) == OFFSET  # also for what the third process finds

    def test_a_clock_that_stepped_ahead_counts(self) -> None:
        self.journal(OFFSET)
        assert self.carry(OFFSET + 1.0) == OFFSET + 1.0
        assert self.carry(OFFSET) == OFFSET + 1.0

    def test_a_journal_without_a_reference_of_this_boot_counts_as_older(
        self, subtests: pytest.Subtests
    ) -> None:
        self.journal(OFFSET)
        whole = (self.folder / REFERENCE_NAME).read_text()
        cases = {
            "of another boot": json.dumps([OTHER_BOOT, OFFSET]),
            "cut off": whole[:-3],
            "not a pair": "17",
            "no number": json.dumps([BOOT, "soon"]),
            "not finite": json.dumps([BOOT, float("nan")]),
            "of another clock": json.dumps([BOOT, OFFSET + MAX_STEP_BACK_S + 1.0]),
        }
        for name, text in cases.items():
            with subtests.test(name=name):
                (self.folder / REFERENCE_NAME).write_text(text)
                assert self.carry(OFFSET) == OFFSET + MAX_CLOCK_ERROR_S
        (self.folder / REFERENCE_NAME).unlink()  # an older version wrote none
        assert self.carry(OFFSET) == OFFSET + MAX_CLOCK_ERROR_S
        assert self.carry(OFFSET) == OFFSET + MAX_CLOCK_ERROR_S  # what is still there keeps its age

    def test_a_reference_without_a_boot_id_counts_as_older(self) -> None:
        self.journal(OFFSET, boot="")
        assert self.carry(OFFSET, boot="") == OFFSET + MAX_CLOCK_ERROR_S

    def test_a_reference_that_cannot_be_written_is_no_reason_not_to_start(self) -> None:
        with mock.patch("juniperward.forwarder.clock.Path.replace", side_effect=OSError(28, "No space left")):
            assert self.carry(OFFSET) == OFFSET

    def test_the_machine_has_a_boot_id(self) -> None:
        assert re.search(r"[0-9a-f-]{36}", read_boot_id())
        with mock.patch("juniperward.forwarder.clock.BOOT_ID", self.folder / "none"):
            assert read_boot_id() == ""


class TestKill(FolderTest, ReducerRig):
    """What the next process decides on the journal of a killed one; times are of the monotonic clock."""

    def restart(self, now: float, to_unix: float, boot: str = BOOT) -> list[Any]:
        """The effects of a start at `now` over the folder."""
        restored = self.journal(to_unix, boot).restored()
        assert len(restored) == 1
        return self.replay(now, restored)

    def replay(self, now: float, restored: tuple[RestoredMessage, ...]) -> list[Any]:
        self.reducer = Reducer(settings(SHORT_WINDOW), 1)
        self.now = now
        self.reduce(EndpointsUpdated(41, True, (make_endpoint(),), cached=True))
        return self.reduce(JournalReplayed(restored))

    def leave(self, *, began_at: float | None, expires: float = 120.0, to_unix: float = OFFSET) -> None:
        """A process that accepted a message, maybe began a call, and was killed."""
        journal = self.journal(to_unix)
        journal.append(AcceptedRecord(Message("a", 0, 0, 1, 20.0, "k", b""), expires))
        if began_at is not None:
            journal.append(AttemptStartedRecord("a", began_at, "s-1"))

    def test_no_retry_after_the_deduplication_window(self, subtests: pytest.Subtests) -> None:
        for step in (-1.0, -0.5, 0.0, 0.5, 1.0):
            with subtests.test(step=step):
                (self.folder / JOURNAL_NAME).unlink(missing_ok=True)
                self.leave(began_at=100.0)
                effects = self.restart(100.0 + WINDOW + 0.001, OFFSET + step)
                assert self.of_type(effects, StartAttempt) == []
                assert [n.id for e in self.of_type(effects, SendNotifications) for n in e.notifications] == [
                    "a"
                ]

    def test_a_retry_within_the_deduplication_window_is_sent(self, subtests: pytest.Subtests) -> None:
        for step in (-1.0, 0.0):
            with subtests.test(step=step):
                (self.folder / JOURNAL_NAME).unlink(missing_ok=True)
                self.leave(began_at=100.0)
                (sent,) = self.of_type(self.restart(100.6, OFFSET + step), StartAttempt)
                (parcel,) = sent.items
                assert parcel.start_before < 100.0 + WINDOW

    def test_no_retry_on_a_machine_whose_clock_is_a_second_behind(self) -> None:
        # Its monotonic clock began anew: 500 is there what 1500 was on the first machine, less the second.
        self.leave(began_at=1500.0, expires=1600.0)
        effects = self.restart(500.0 + WINDOW + 0.001, OFFSET + 1000.0 - 1.0, OTHER_BOOT)
        assert self.of_type(effects, StartAttempt) == []

    def test_no_retry_two_kills_later(self) -> None:
        # The second process saw the clock a second behind, and left the first one's records as they were.
        self.leave(began_at=100.0)
        self.journal(OFFSET - 1.0)
        effects = self.restart(100.0 + WINDOW + 0.001, OFFSET - 1.0)
        assert self.of_type(effects, StartAttempt) == []

    def test_a_deadline_is_not_moved_out_by_a_clock_that_is_behind(self) -> None:
        self.leave(began_at=None, expires=105.0)
        (sent,) = self.of_type(self.restart(101.0, OFFSET - 1.0), StartAttempt)
        assert sent.deadline == pytest.approx(105.0, abs=5e-8)
        effects = self.restart(105.5, OFFSET - 1.0)
        assert self.of_type(effects, StartAttempt) == []
        assert [n.id for e in self.of_type(effects, SendNotifications) for n in e.notifications] == ["a"]


class SteppedProgram(Program):
    """The forwarder as a process whose wall clock is so many seconds off."""

    step = 0.0

    def spawn(self) -> subprocess.Popen[bytes]:
        popen = subprocess.Popen

        def start(_command: list[str], **options: Any) -> subprocess.Popen[bytes]:
            return popen([sys.executable, "-c", STEP_AND_RUN, str(self.step)], **options)

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
        for step in (-1.0, 1.0):
            with subtests.test(step=step):
                self.play(step)

    def play(self, step: float) -> None:
        folder = tempfile.TemporaryDirectory()
        self.resources.callback(folder.cleanup)
        recorder = Recorder()
        discovery = self.resources.closing(FakeDiscovery(recorder))
        destination = self.resources.closing(FakeDestination(DestinationSpec(7, endpoints=1), recorder, 1))
        entries = destination.start()
        discovery.publish(*entries)
        destination.inject_fault(FaultMode.UNRESPONSIVE)
        short = copy.deepcopy(SETTINGS)
        short["Services"][0]["WindowMs"] = WINDOW * 1000
        program = self.resources.closing(SteppedProgram(Path(folder.name), short))
        program.config["discovery"] = discovery.address_for("n0")
        known = program.config["known"]["servers"]
        known[:] = [{**known[0], "id": entries[0].id, "addr": entries[0].address}]
        program.start()
        self.submit(program)
        calls = [r for r in self.wait_for(recorder, AttemptReceived) if isinstance(r, AttemptReceived)]
        assert program.process is not None
        program.process.send_signal(signal.SIGKILL)
        program.process.wait(WAIT)
        while (
            left := calls[0].at + WINDOW - time.monotonic()
        ) > 0:  # real time has to pass: the window's end
            time.sleep(left)
        program.end()
        program.step = step
        program.start()
        self.wait_for(recorder, NotificationReceived)
        assert sum(isinstance(r, AttemptReceived) for r in recorder.records) == 1

    def submit(self, program: Program) -> None:
        headers = {
            "X-Correlation-Id": "m0", "X-Service-Class": "booking-update", "X-Account": "acme",
            "X-Addressing": "dest=7", "X-Time-Left": "20", "Idempotency-Key": "k0",
        }  # fmt: skip
        with socket.create_connection(program.address, WAIT) as sock:
            sock.sendall(encode_request("POST", "/api", "n0", headers, b"body"))
            assert read_response(Stream(sock.recv)).status == 202

    def wait_for(self, recorder: Recorder, kind: type[Any]) -> list[Any]:
        return self._until(lambda: [r for r in recorder.records if isinstance(r, kind)])

    def _until(self, found: Callable[[], list[Any]]) -> list[Any]:
        end = time.monotonic() + WAIT
        while not (records := found()):
            assert time.monotonic() < end, "nothing comes"
            time.sleep(0.01)
        return records
