"""Writes the state folders of `tests/stored_data/`; `python -m tests.stored_data_writer FOLDER` runs it."""

from __future__ import annotations

import json
import sqlite3
import sys
from pathlib import Path
from unittest import mock

from juniperward.agent.state import PersistentState
from juniperward.agent.store import StateStore
from juniperward.dead_letters.clock import ClockReading
from juniperward.dead_letters.operator_actions import ManualSettlement
from juniperward.dead_letters.outcome import RedriveOutcome
from juniperward.dead_letters.selection import SpoolPosition
from juniperward.dead_letters.spool import Spool
from juniperward.dead_letters.spool_files import acknowledge_segment
from juniperward.dead_letters.spool_format import SpooledAttempt, SpooledMessage
from juniperward.dead_letters.store import DeadLetterStore
from juniperward.fleet.model import Crashes, DesiredState, Instance, Process, RollRules
from juniperward.fleet.roll_model import Roll, RollMode, RollStage, RollStep
from juniperward.forwarder.journal import Journal
from juniperward.forwarder.model import Message, OutcomeNotification
from juniperward.forwarder.records import (
    AcceptedRecord,
    AttemptFinishedRecord,
    AttemptStartedRecord,
    CompletedRecord,
    OutcomeDecidedRecord,
)
from juniperward.scheduler.settings import Idempotency
from juniperward.settings.configuration_versions import ConfigurationVersions
from juniperward.settings.load import load

WRITTEN_AT = 1_700_000_000.0  # Unix time in all folders, whenever they are written.
BOOT_ID = "boot-of-the-writer"
REPEATABLE, BY_KEY, ONCE = 0, 1, 2  # Indexes of the message classes in the journal.


def message(name: str, class_index: int) -> Message:
    """Return a message of a class; its body has each byte value once."""
    return Message(
        name, class_index, 1, 7, 20.0, f"key-{name}" if class_index == BY_KEY else None, bytes(range(256))
    )


def write_forwarder(folder: Path) -> None:
    """Write a journal with all kinds of records, classes and stages, and with damage; and the clock reference."""
    folder.mkdir()
    journal = Journal(folder, 1_000_000, WRITTEN_AT)  # The monotonic time 0 is WRITTEN_AT.
    for class_index, effect in ((REPEATABLE, "repeatable"), (BY_KEY, "by-key"), (ONCE, "once")):
        for stage in ("accepted", "started", "not-run", "second", "failed", "rejected", "completed"):
            name = f"{effect}-{stage}"
            journal.append(AcceptedRecord(message(name, class_index), 20.0))
            if stage == "accepted":
                continue
            journal.append(AttemptStartedRecord(name, 1.0, "s-1"))
            if stage in ("not-run", "second"):
                journal.append(AttemptFinishedRecord(name, False))
            if stage == "second":
                journal.append(AttemptStartedRecord(name, 2.5, "s-2"))
            if stage in ("failed", "rejected"):
                journal.append(
                    OutcomeDecidedRecord(OutcomeNotification(name, 0.25 if stage == "rejected" else None))
                )
            if stage == "completed":
                journal.append(CompletedRecord(name))
    journal.append(AcceptedRecord(message("kept-0123456789abcdef0123-1", BY_KEY), 20.0, -3.0))
    journal.append(AcceptedRecord(message("overdue", REPEATABLE), 0.5))
    journal.close()
    with (folder / "journal").open("ab") as file:
        file.write(b'00000000 ["over","by-key-started"]\n')  # damaged: the checksum is wrong
        file.write(b"c0ffee")  # a torn line
    (folder / "clock").write_text(json.dumps([BOOT_ID, WRITTEN_AT]), encoding="ascii")


def spooled_message(name: str, idempotency: Idempotency, possibly_executed: bool) -> SpooledMessage:
    """Return an undeliverable message."""
    attempts = (
        SpooledAttempt(
            "s-1", WRITTEN_AT - 5.0, "timeout" if possibly_executed else "full", possibly_executed
        ),
    )
    return SpooledMessage(
        name, "booking", "acme", 7, f"key-{name}", bytes(range(256)), WRITTEN_AT - 20.0, WRITTEN_AT, attempts,
        idempotency, 12.0, ("s-1", "s-2"),
    )  # fmt: skip


def write_spool(folder: Path) -> None:
    """Write two segments, the first acknowledged, and outcomes of redrives; with a damaged and a torn line."""
    with mock.patch("juniperward.dead_letters.outcome_log.time.time", return_value=WRITTEN_AT):
        spool = Spool(folder, 1_000_000)
        spool.append(spooled_message("m-repeatable", Idempotency.IDEMPOTENT, True))
        spool.append(spooled_message("m-by-key", Idempotency.IDEMPOTENCY_KEY, True))
        spool.begin_segment()
        spool.append(spooled_message("m-once", Idempotency.NON_IDEMPOTENT, False))
        spool.outcomes.record("kept-a-1", RedriveOutcome("delivered", WRITTEN_AT - 4.0))
        spool.outcomes.record("kept-b-1", RedriveOutcome("undeliverable", None))
        spool.outcomes.record("kept-c-2", RedriveOutcome("deferred", WRITTEN_AT - 3.0))
        spool.close()
    acknowledge_segment(folder, 1)
    with (folder / "00000002.kept").open("ab") as file:
        file.write(b"00000000 {}\n")
        file.write(b"1234")
    with (folder / "fates").open("ab") as file:
        file.write(b'00000000 ["kept-d-1","delivered",null]\n')


def write_store(folder: Path) -> None:
    """Write dead letters at each stage, with redrives, requests for redrives and the audit trail."""
    folder.mkdir()
    with mock.patch("juniperward.dead_letters.rows.time.time", return_value=WRITTEN_AT):
        store = DeadLetterStore(folder / "store.db", "OFF")
        names = ("waiting", "wished", "claimed", "delivered", "deferred", "discarded", "settled")
        messages = [
            spooled_message(f"m-{name}", Idempotency.IDEMPOTENCY_KEY, name != "waiting") for name in names
        ]
        store.add("n1", messages, SpoolPosition(2, 345))
        store.request_redrive(["m-wished"], "anna", destination_confirmed=True)
        store.acquire_lease("m-claimed", None, "n1", WRITTEN_AT + 1.0, "rule")
        for name, outcome in (("delivered", "delivered"), ("deferred", "deferred")):
            lease = store.acquire_lease(f"m-{name}", None, "n1", WRITTEN_AT + 2.0, "anna")
            store.settle_redrive(lease, outcome, WRITTEN_AT + 2.5, WRITTEN_AT + 3.0)
        store.discard(["m-discarded"], "anna")
        store.acquire_lease("m-settled", None, "n1", WRITTEN_AT + 4.0, "rule")
        store.settle("m-settled", ManualSettlement(True, "anna", "seen at the partner"), WRITTEN_AT + 9.0)
        store.record_clock(ClockReading(WRITTEN_AT + 10.0, 500.0, BOOT_ID))
        store.close()
    with sqlite3.connect(folder / "store.db") as database:  # leaves one file, without a write-ahead log
        database.execute("PRAGMA wal_checkpoint(TRUNCATE)")
        database.execute("PRAGMA journal_mode=DELETE")
    database.close()


FLEET = """name: "fleet"
base: "base.json"
registry: "127.0.0.1:8500"
instance { name: "n1" listen: "127.0.0.1:8081" }
instance { name: "n2" listen: "127.0.0.1:8082" }
"""


def write_agent(folder: Path) -> None:
    """Write two generations of the agent's state, and the saved versions of its settings."""
    folder.mkdir()
    (folder / "base.json").write_text(json.dumps({"settings": {}}))
    (folder / "fleet.textproto").write_text(FLEET)
    configuration_version = ConfigurationVersions(folder / "editions").save(
        load(folder / "fleet.textproto"), set()
    )
    steps = (
        RollStep("n1", "older", RollStage.DONE, 11.0, "ready"),
        RollStep("n2", "older", RollStage.SOAKING, 12.0),
        RollStep("n3", "older", RollStage.WAITING),
        RollStep("n4", "older", RollStage.SKIPPED),
    )
    roll = Roll(
        "r3",
        configuration_version,
        RollRules(batch_size=2, min_ready=1),
        steps,
        RollMode.PAUSED,
        "n2 does not deliver",
        0.95,
        10.0,
    )
    instances = (
        Instance("n1", DesiredState.RUNNING, Process(4242, 777), 11.0, configuration_version, was_ready=True),
        Instance(
            "n2",
            DesiredState.RUNNING,
            Process(4243, 778),
            12.0,
            configuration_version,
            drain_requested=True,
            stopping_since=13.0,
        ),
        Instance("n3", DesiredState.STOPPED, last_exit="exit 0", configuration_version="older"),
        Instance("n4", DesiredState.RUNNING, crashes=Crashes((1.0, 2.0), 2, 3.5, "5 crashes within 60 s")),
    )
    with mock.patch("juniperward.agent.store.boot_id", return_value=BOOT_ID):
        StateStore(folder).save(PersistentState((), None, 2, "older"))
        StateStore(folder).save(PersistentState(instances, roll, 3, configuration_version))


def main(folder: Path) -> None:
    """Write all folders, in another place than the committed ones, which an earlier version wrote.

    All times are fixed, so that `test_stored_data.py` can compare the files byte for byte.
    """
    folder.mkdir(exist_ok=True)
    write_forwarder(folder / "forwarder")
    write_spool(folder / "spool")
    write_store(folder / "store")
    write_agent(folder / "agent")


if __name__ == "__main__":
    main(Path(sys.argv[1]))
