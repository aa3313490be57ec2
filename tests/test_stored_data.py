"""State folders of an earlier version are read, and each message in them gets its outcome."""

from __future__ import annotations

import contextlib
import heapq
import json
import shutil
import sqlite3
from pathlib import Path
from typing import Any
from unittest import mock

import pytest

from juniperward.agent import state_codec
from juniperward.agent.state import PersistentState
from juniperward.agent.store import StateStore
from juniperward.dead_letters.clock import ClockReading
from juniperward.dead_letters.redrive_safety import RedriveSafety, assess_redrive
from juniperward.dead_letters.selection import Filter
from juniperward.dead_letters.spool import Spool
from juniperward.dead_letters.spool_files import segments
from juniperward.dead_letters.spool_format import decode_line, decode_message, encode_line, encode_message
from juniperward.dead_letters.store import DeadLetterStore
from juniperward.fleet.model import DesiredState
from juniperward.fleet.roll_model import RollMode, RollStage
from juniperward.forwarder import clock, journal_codec
from juniperward.forwarder.effects import AppendRecord, Effect, SendNotifications, SetTimer, StartAttempt
from juniperward.forwarder.events import AttemptAnswered, EndpointsUpdated, Event, JournalReplayed
from juniperward.forwarder.journal import Journal
from juniperward.forwarder.model import Endpoint, ItemOutcome
from juniperward.forwarder.records import CompletedRecord, RestoredMessage
from juniperward.forwarder.reducer import Reducer
from juniperward.forwarder.telemetry import counters
from juniperward.scheduler.events import EndpointPhase, Outcome
from juniperward.scheduler.settings import DeduplicationScope, Idempotency, MessageClass
from juniperward.settings.configuration_versions import ConfigurationVersions
from tests import stored_data_writer
from tests.helpers import settings
from tests.stored_data_writer import BOOT_ID, WRITTEN_AT

FOLDER = Path(__file__).parent / "stored_data"
CLASSES = (
    MessageClass(latency_objective_s=4.0, deadline_s=20.0, late_weight=0.5),
    MessageClass(
        latency_objective_s=4.0,
        deadline_s=20.0,
        idempotency=Idempotency.IDEMPOTENCY_KEY,
        deduplication_window_s=12.0,
        deduplication_scope=DeduplicationScope.ALL,
    ),
    MessageClass(latency_objective_s=4.0, deadline_s=20.0, idempotency=Idempotency.NON_IDEMPOTENT),
)
NOW = 5.0  # monotonic time at the start of the new process; WRITTEN_AT is its time 0
INCOMPLETE_IDS = {
    f"{effect}-{stage}"
    for effect in ("repeatable", "by-key", "once")
    for stage in ("accepted", "started", "not-run", "second", "failed", "rejected")
} | {"kept-0123456789abcdef0123-1", "overdue"}


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """Return a copy of the stored folders."""
    shutil.copytree(FOLDER, tmp_path / "data")
    return tmp_path / "data"


@pytest.fixture(scope="module")
def rewritten(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Return the same folders, written by the present version."""
    folder = tmp_path_factory.mktemp("rewritten") / "data"
    stored_data_writer.main(folder)
    return folder


@pytest.mark.parametrize(
    "name",
    [
        "forwarder/clock",
        "forwarder/journal",
        "spool/00000001.kept",
        "spool/00000002.kept",
        "spool/acked",
        "spool/fates",
    ],
)
def test_the_present_version_writes_the_same_bytes(rewritten: Path, name: str) -> None:
    assert (rewritten / name).read_bytes() == (FOLDER / name).read_bytes()


def test_the_present_version_writes_the_same_store(rewritten: Path) -> None:
    # Compares SQL dumps, as the file itself has the version of SQLite.
    with (
        contextlib.closing(sqlite3.connect(FOLDER / "store" / "store.db")) as old_store,
        contextlib.closing(sqlite3.connect(rewritten / "store" / "store.db")) as new_store,
    ):
        old_rows = list(old_store.iterdump())
        assert list(new_store.iterdump()) == old_rows
    assert len(old_rows) > 50


def test_the_present_version_writes_the_same_agent_state(rewritten: Path) -> None:
    # The name of a saved version depends on its content, which contains the path of the folder.
    (old_version,) = (path.name for path in (FOLDER / "agent" / "editions").iterdir())
    (new_version,) = (path.name for path in (rewritten / "agent" / "editions").iterdir())
    for name in ("state.json", "state.json.old"):
        old_body = (FOLDER / "agent" / name).read_text().partition("\n")[2]
        new_body = (rewritten / "agent" / name).read_text().partition("\n")[2]
        assert new_body.replace(new_version, old_version) == old_body


def restored_messages(folder: Path) -> dict[str, RestoredMessage]:
    journal = Journal(folder / "forwarder", 1_000_000, WRITTEN_AT)
    journal.close()
    return {message.message.id: message for message in journal.restored()}


def test_the_journal_restores_each_incomplete_message(folder: Path) -> None:
    before = counters().get("journal_damaged", 0)
    messages = restored_messages(folder)
    assert set(messages) == INCOMPLETE_IDS
    assert counters()["journal_damaged"] == before + 2  # the damaged and the torn line
    for name, message in messages.items():
        if name.endswith(("-failed", "-rejected")):
            assert message.notification is not None
            assert message.notification.retry_after_s == (0.25 if name.endswith("-rejected") else None)
            continue
        assert (message.message.body, message.message.destination) == (bytes(range(256)), 7)
        assert message.expires_at == (0.5 if name == "overdue" else 20.0)
        assert message.message.time_left_s == 20.0
    history = [(a.endpoint, a.started_at, a.possibly_executed) for a in messages["by-key-second"].history]
    assert history == [("s-1", 1.0, False), ("s-2", 2.5, True)]
    redrive = messages["kept-0123456789abcdef0123-1"]
    assert [(a.started_at, a.possibly_executed) for a in redrive.history] == [(-3.0, True)]


def test_the_journal_writes_the_same_lines_as_it_reads(folder: Path) -> None:
    lines = (folder / "forwarder" / "journal").read_bytes().split(b"\n")
    records = [journal_codec.decode(line, WRITTEN_AT) for line in lines]
    assert [journal_codec.encode(r, WRITTEN_AT) for r in records if r is not None] == [
        line + b"\n" for line, r in zip(lines, records, strict=True) if r is not None
    ]
    assert sum(r is None for r in records) == 2


class ReducerSimulation:
    """Runs the reducer with simulated time; each attempt succeeds after 50 ms."""

    def __init__(self) -> None:
        self.reducer = Reducer(settings(*CLASSES, slots=8, max_open=100), 1)
        self.scheduled: list[tuple[float, int, Event]] = []
        self.outcomes: dict[str, list[str]] = {}
        self.serial = 0

    def reduce(self, now: float, *events: Event) -> None:
        for effect in self.reducer.reduce(now, events):
            self._perform(now, effect)

    def run(self, until: float) -> None:
        while self.scheduled and self.scheduled[0][0] <= until:
            at, _, event = heapq.heappop(self.scheduled)
            self.reduce(at, event)

    def _schedule(self, at: float, event: Event) -> None:
        self.serial += 1
        heapq.heappush(self.scheduled, (at, self.serial, event))

    def _perform(self, now: float, effect: Effect) -> None:
        match effect:
            case SetTimer(at=at, event=event):
                self._schedule(max(at, now), event)
            case StartAttempt(number=number, items=items):
                outcomes = tuple(ItemOutcome(item.message, Outcome.OK) for item in items)
                self._schedule(now + 0.05, AttemptAnswered(number, outcomes))
            case AppendRecord(record=CompletedRecord(id=name)):
                self.outcomes.setdefault(name, []).append("delivered")
            case SendNotifications(notifications=notifications):
                for n in notifications:
                    self.outcomes.setdefault(n.id, []).append(
                        "failed" if n.retry_after_s is None else "rejected"
                    )


@pytest.mark.parametrize("reachable", [True, False])
def test_every_message_of_an_old_journal_gets_one_outcome(folder: Path, reachable: bool) -> None:
    simulation = ReducerSimulation()
    endpoints = tuple(
        Endpoint(f"s-{n}", "127.0.0.1", 80 + n, 7, EndpointPhase.READY, 0, 0, 0.0) for n in (1, 2)
    )
    simulation.reduce(NOW, EndpointsUpdated(1, True, endpoints if reachable else (), cached=True))
    simulation.reduce(NOW, JournalReplayed(tuple(restored_messages(folder).values())))
    simulation.run(60.0)
    assert set(simulation.outcomes) == INCOMPLETE_IDS
    assert all(len(each) == 1 for each in simulation.outcomes.values()), simulation.outcomes
    outcomes = {name: each[0] for name, each in simulation.outcomes.items()}
    # A non-idempotent message that possibly executed must not be attempted again.
    assert outcomes["once-started"] == outcomes["once-second"] == "failed"
    for effect in ("repeatable", "by-key", "once"):
        assert outcomes[f"{effect}-failed"] == "failed"
        assert outcomes[f"{effect}-rejected"] == "rejected"
        assert (
            outcomes[f"{effect}-accepted"]
            == outcomes[f"{effect}-not-run"]
            == ("delivered" if reachable else "rejected")
        )
    assert outcomes["by-key-started"] == outcomes["by-key-second"] == ("delivered" if reachable else "failed")


def test_the_clock_of_the_same_boot_is_carried_over(folder: Path) -> None:
    assert clock.choose_unix_offset(folder / "forwarder", WRITTEN_AT - 0.5, BOOT_ID, "journal") == WRITTEN_AT
    assert (
        clock.choose_unix_offset(folder / "forwarder", WRITTEN_AT - 0.5, "another boot", "journal")
        == WRITTEN_AT + 0.5
    )


def test_the_spool_restores_undelivered_messages_and_redrive_outcomes(folder: Path) -> None:
    path = folder / "spool"
    found = [(message, data) for _, file in segments(path) for message, data in read_lines(file)]
    messages = {message.id: message for message, _ in found if message is not None}
    assert set(messages) == {"m-repeatable", "m-by-key", "m-once"}
    assert all(encode_message(message) == data for message, data in found if message is not None)
    assert sum(message is None for message, _ in found) == 1
    assert (
        messages["m-once"].body == bytes(range(256)) and not messages["m-once"].attempts[0].possibly_executed
    )
    spool = Spool(path, 1_000_000)
    spool.close()
    assert spool.ids == set(messages)
    assert [n for n, _ in segments(path)] == [2]  # the first segment was acknowledged
    assert {name: (outcome.result, outcome.executed_at) for name, outcome in spool.outcomes.items()} == {
        "kept-a-1": ("delivered", WRITTEN_AT - 4.0),
        "kept-b-1": ("undeliverable", None),
        "kept-c-2": ("deferred", WRITTEN_AT - 3.0),
    }
    assert spool.outcomes.complete_since == WRITTEN_AT
    valid_lines = (FOLDER / "spool" / "fates").read_bytes().split(b"\n")[:4]
    assert (path / "fates").read_bytes() == b"\n".join(valid_lines) + b"\n"


def read_lines(file: Path) -> list[tuple[Any, bytes]]:
    """Return each complete line of a segment, as a message and as bytes."""
    return [
        (decode_message(line[:-1]), line) for line in file.read_bytes().splitlines(True) if line[-1:] == b"\n"
    ]


def test_the_store_restores_each_message_with_its_history(folder: Path) -> None:
    store = DeadLetterStore(folder / "store" / "store.db", "OFF")
    assert store.check() == []
    statuses = {str(f.id): str(f.status.value) for f in store.select(Filter())}
    assert statuses == {
        "m-waiting": "kept", "m-wished": "kept", "m-claimed": "claimed", "m-delivered": "delivered",
        "m-deferred": "kept", "m-discarded": "discarded", "m-settled": "delivered",
    }  # fmt: skip
    records = {name: store.complete_record(name) for name in sorted(statuses)}
    expected = json.loads((FOLDER / "store" / "expected.json").read_text())
    assert records == expected["messages"]
    assert store.stats() == expected["stats"]
    assert store.audit() == expected["audit"]
    (lease,) = store.open_redrives()
    assert (lease.message, lease.fence, lease.forwarder, lease.leased_at) == (
        "m-claimed",
        1,
        "n1",
        WRITTEN_AT + 1,
    )
    assert store.spool_position("n1") == (2, 345)
    recorded_clock = store.recorded_clock()
    assert recorded_clock == ClockReading(WRITTEN_AT + 10.0, 500.0, BOOT_ID)
    store.settle_redrive(lease, "delivered", WRITTEN_AT + 2.0, WRITTEN_AT + 11.0)
    assert {f.id for f in store.select(Filter(status="claimed"))} == set()
    store.close()


def test_an_unknown_idempotency_value_is_read_as_non_idempotent(folder: Path) -> None:
    lines = [line for _, file in segments(folder / "spool") for line in file.read_bytes().splitlines()]
    row = decode_line(next(line for line in lines if b'"m-by-key"' in line))
    message = decode_message(encode_line(row | {"effect": "later-word"})[:-1])
    assert message is not None and message.idempotency is Idempotency.NON_IDEMPOTENT
    with contextlib.closing(sqlite3.connect(folder / "store" / "store.db")) as database, database:
        database.execute("UPDATE message SET effect = 'later-word' WHERE id = 'm-wished'")
    store = DeadLetterStore(folder / "store" / "store.db", "OFF")
    (letter,) = [each for each in store.select(Filter()) if each.id == "m-wished"]
    store.close()
    assessment = assess_redrive(letter, WRITTEN_AT, frozenset(letter.endpoints), 0.0)
    assert assessment.safety is RedriveSafety.UNCERTAIN and not assessment.is_allowed


def test_the_agent_reads_an_old_state(folder: Path) -> None:
    with mock.patch("juniperward.agent.store.boot_id", return_value=BOOT_ID):
        state, warnings = StateStore(folder / "agent").load()
    assert warnings == []
    instances = {i.name: i for i in state.instances}
    assert set(instances) == {"n1", "n2", "n3", "n4"}
    assert instances["n1"].process is not None and instances["n1"].process.pid == 4242
    assert instances["n3"].desired_state is DesiredState.STOPPED and instances["n4"].crashes.times == (
        1.0,
        2.0,
    )
    assert state.roll is not None and state.roll.mode is RollMode.PAUSED
    assert [s.stage for s in state.roll.steps] == [
        RollStage.DONE,
        RollStage.SOAKING,
        RollStage.WAITING,
        RollStage.SKIPPED,
    ]
    body = (folder / "agent" / "state.json").read_bytes().partition(b"\n")[2]
    assert state_codec.encode(state) == body


def test_the_agent_falls_back_to_its_previous_state(folder: Path) -> None:
    (folder / "agent" / "state.json").write_bytes(b"torn")
    state, warnings = StateStore(folder / "agent").load()
    assert state == PersistentState((), None, 2, "older") and len(warnings) == 1


def test_saved_versions_of_the_settings_are_read(folder: Path) -> None:
    versions = ConfigurationVersions(folder / "agent" / "editions")
    (configuration_version,) = [p.name for p in versions.folder.iterdir()]
    for name in ("n1", "n2"):
        config = versions.read(configuration_version, name)
        assert (
            config == json.loads((versions.folder / configuration_version / f"{name}.json").read_text())
            and config
        )
