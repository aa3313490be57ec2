"""Tests of a forwarder's trace, and of the tables over the traces of a fleet."""

from __future__ import annotations

import contextlib
import io

from juniperward.benchmarks.trace_counts import format_tables
from juniperward.benchmarks.traces import read
from juniperward.forwarder.effects import (
    AcceptMessage,
    ReplyToClient,
    SendNotifications,
    StartAttempt,
    WriteLog,
)
from juniperward.forwarder.events import (
    AttemptAnswered,
    AttemptCancelled,
    BatchItemWithdrawn,
    MessageReceived,
)
from juniperward.forwarder.model import AttemptProgress, BatchItem, ItemOutcome, Message, OutcomeNotification
from juniperward.forwarder.records import AcceptedRecord
from juniperward.forwarder.telemetry import format_event
from juniperward.forwarder.trace import Trace
from juniperward.scheduler.events import Outcome
from juniperward.scheduler.settings import MessageClass, SchedulerSettings

SETTINGS = "0.0 juniperward: trace: " + format_event(
    "settings", {"value": SchedulerSettings((MessageClass(2.0, 12.0),), slots=6, max_open=9)}
)


def message(name: str) -> Message:
    return Message(name, 0, 0, 7, 12.0, None, b"")


def trace_of_process(unix_offset_s: float) -> list[str]:
    """Return the trace of three messages: one delivered late after an overload, one rejected, one undeliverable."""
    out = io.StringIO()
    with contextlib.redirect_stderr(out):
        trace = Trace(unix_offset_s)
        a, b, c = message("a"), message("b"), message("c")
        trace.write_events(
            0.0, [MessageReceived(1, a, 0.0), MessageReceived(2, b, 0.0), MessageReceived(3, c, 0.0)]
        )
        trace.write_effects(
            0.0,
            [
                AcceptMessage(1, 1, AcceptedRecord(a, 12.0)),
                ReplyToClient(2, 503, 1.0),
                AcceptMessage(3, 2, AcceptedRecord(c, 12.0)),
            ],
        )
        trace.write_effects(0.1, [StartAttempt(1, 4, "10.1.0.1", 81, 7, (BatchItem(1, a),), 12.0)])
        trace.write_events(
            0.15,
            [BatchItemWithdrawn(1, 9, AttemptProgress.WAITING), AttemptCancelled(9, AttemptProgress.WRITTEN)],
        )
        trace.write_events(0.2, [AttemptAnswered(1, (ItemOutcome(1, Outcome.OVERLOADED, 0.5),))])
        trace.write_effects(
            0.3, [WriteLog("destination ejected", (("destination", 7), ("reason", "rejects all")))]
        )
        trace.write_effects(2.4, [StartAttempt(2, 4, "10.1.0.1", 81, 7, (BatchItem(1, a),), 12.0)])
        trace.write_events(2.5, [AttemptAnswered(2, (ItemOutcome(1, Outcome.OK),))])
        trace.write_effects(
            2.6,
            [
                WriteLog("destination recovered", (("destination", 7),)),
                SendNotifications((OutcomeNotification("c", 0.5),)),
            ],
        )
    return [SETTINGS, *out.getvalue().splitlines()]


class TestTraces:
    def test_traces_are_counted_over_all_forwarders(self) -> None:
        fleet = read({"n0": trace_of_process(1000.0), "n1": trace_of_process(1001.0)})
        assert (fleet.unread_count, fleet.forwarders, fleet.latency_objective_s) == (0, 2, 2.0)
        ((destination, row),) = fleet.by_destination()
        assert destination == 7
        expected = {"asked": 6, "door": 2, "calls": 4, "again": 2, "ok": 2, "full": 2, "told": 2, "late": 2,
                    "given_up": 2}  # fmt: skip
        assert {k: row.get(k, 0) for k in expected} == expected
        assert [second for second, _ in fleet.rows()] == [0, 1, 2, 3]
        assert [r.get("sick", 0) for _, r in fleet.rows(7)] == [1, 1, -1, -1]

    def test_calls_of_a_killed_forwarder_are_not_attributed_to_the_next_process(self) -> None:
        unfinished = [x for x in trace_of_process(1000.0) if " ended " not in x and " answer " not in x]
        fleet = read({"n0": [*unfinished, *trace_of_process(1010.0)]})
        assert fleet.unread_count == 0
        assert fleet.by_destination()[0][1]["ok"] == 1

    def test_unreadable_lines_are_counted_and_named(self) -> None:
        invalid = ["juniperward: trace: 1000.0 ended 99 ok 0.0", "juniperward: trace: 1000.0 danced 1",
               "juniperward: trace: soon call", "juniperward: trace: 1000.0 handed x"]  # fmt: skip
        fleet = read(
            {"n0": [*trace_of_process(1000.0), *invalid, "juniperward: start: not a line of the trace"]}
        )
        assert fleet.unread_count == 4
        assert any(x.startswith("n0:") and "danced" in x for x in fleet.unread)
        assert "4 of them not read" in format_tables(fleet)
        assert fleet.by_destination()[0][1]["late"] == 1
