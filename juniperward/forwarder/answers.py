"""What an endpoint's answer says of the messages of a call, and of a probe: text to typed values, no sockets."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass

from juniperward.forwarder.counters import count, log
from juniperward.forwarder.effects import StartAttempt
from juniperward.forwarder.model import ItemOutcome
from juniperward.net.http import DECIMAL, Response
from juniperward.scheduler.events import Outcome

MOST_WAIT = 3600.0  # seconds; what tells a longer wait than this tells none
MOST_REPORT = 1024  # bytes of a load report


@dataclass(frozen=True, slots=True)
class Report:
    """A load report: the share of its limit that an endpoint has free, and that limit as a rate."""

    room: float | None = None
    limit: float | None = None

    def makes_sense(self) -> bool:
        """Whether the share is within 0 and 1 and the rate a finite one."""
        room_fits = self.room is None or 0 <= self.room <= 1
        limit_fits = self.limit is None or 0 <= self.limit < math.inf
        return room_fits and limit_fits


@dataclass(frozen=True, slots=True)
class State:
    """What an answer to several messages says of one of them; `over`: nothing more is owed for it."""

    outcome: Outcome
    over: bool = False


NO_REPORT = Report()
UNKNOWN = State(Outcome.ERROR)  # it may have run
STATES = {
    "ok": State(Outcome.OK),
    "error": State(Outcome.ERROR),
    "later": State(Outcome.OVERLOADED),
    "gone": State(Outcome.NOT_SENT, over=True),
    "exhausted": State(Outcome.NOT_SENT),
}


def ends_of_all(
    what: StartAttempt,
    outcome: Outcome,
    wait: float = 0.0,
    report: Report = NO_REPORT,
    *,
    begun: bool = True,
    slots_taken: bool = False,
    over: bool = False,
    table_full: bool = False,
) -> tuple[ItemOutcome, ...]:
    """The same end for every message of a call."""
    return tuple(
        ItemOutcome(
            p.message,
            outcome,
            wait,
            slots_taken,
            over,
            report.room,
            report.limit,
            written=begun,
            connection_table_full=table_full,
        )
        for p in what.items
    )


def read_wait(headers: dict[str, str]) -> float:
    """The wait that an answer tells, in seconds."""
    text = headers.get("retry-after", "0")
    wait = float(text) if DECIMAL.fullmatch(text) else 0.0
    return wait if wait <= MOST_WAIT else 0.0


def read_json(text: bytes, most_open: int) -> object:
    """Decode JSON of so many arrays and objects at most; raises ValueError.

    The decoder goes down in C with each that opens: 128 KiB of stack end before its own limit does.
    """
    if text.count(b"{") + text.count(b"[") > most_open:
        raise ValueError("too many arrays and objects")
    decoded: object = json.loads(text)
    return decoded


def read_report(headers: dict[str, str]) -> Report:
    """The load report of an answer, where there is one that makes sense."""
    text = headers.get("x-backend-load", "").encode("latin-1")
    if not text:
        return NO_REPORT
    try:
        given = read_json(text, 1)
        if isinstance(given, dict) and len(text) <= MOST_REPORT:
            report = Report(_number(given, "x0"), _number(given, "x1"))
            if report.makes_sense():
                return report
    except (ValueError, TypeError, OverflowError):
        pass
    count("reports_unread")
    return NO_REPORT


def _number(given: dict[str, str | float], field: str) -> float | None:
    return float(given[field]) if field in given else None


def read_probe(answer: Response, fresh: bool = False) -> Outcome:
    """What a probe's answer says of its worker ('Forwarders to endpoints': 200 or 503)."""
    match answer.status:
        case 200:
            return Outcome.OK
        case 503 if fresh and answer.close and not read_wait(answer.headers):
            count("tables_full")
            return Outcome.CONNECT_FAILED  # no place in its table, as for a call
        case 503 | 429:
            return Outcome.OVERLOADED
        case status:
            count("probes_unknown")
            log("probe", f"a probe was answered {status}, which is taken as an error")
            return Outcome.ERROR


def read_ends(what: StartAttempt, answer: Response, fresh: bool = False) -> tuple[ItemOutcome, ...]:
    """What an answer says of each message of a call ('Forwarders to endpoints'); `fresh`: on a new connection."""
    wait, report = read_wait(answer.headers), read_report(answer.headers)
    many = len(what.items) > 1
    match answer.status:
        case 200 if many:
            return _each(what, answer, wait, report)
        case 200:
            return ends_of_all(what, Outcome.OK, wait, report)
        case 429:
            return ends_of_all(what, Outcome.OVERLOADED, wait, report)
        case 503 if answer.headers.get("x-over-slots") == "1":
            return ends_of_all(what, Outcome.NOT_SENT, wait, report, slots_taken=True)
        case 503 if fresh and answer.close and wait <= 0:
            # Over its limit a worker keeps the connection; one that it ends at once had no place in its table.
            count("tables_full")
            return ends_of_all(what, Outcome.CONNECT_FAILED, 0.0, report, table_full=True)
        case 503:
            return ends_of_all(what, Outcome.OVERLOADED, wait, report)
        case 504:
            return ends_of_all(what, Outcome.NOT_SENT, wait, report)
        case 410:
            return ends_of_all(what, Outcome.NOT_SENT, wait, report, over=True)
        case 400 | 413 if many:
            count("batches_unread")
            log("worker", f"{what.host}:{what.port} does not take a call of {len(what.items)} messages")
            return ends_of_all(what, Outcome.NOT_SENT, wait, report)
        case 500:
            return ends_of_all(what, Outcome.ERROR, wait, report)
        case status:
            count("answers_unknown")
            log("worker", f"{what.host}:{what.port} answered {status}, which is taken as an error")
            return ends_of_all(what, Outcome.ERROR, wait, report)


def _each(what: StartAttempt, answer: Response, wait: float, report: Report) -> tuple[ItemOutcome, ...]:
    """The ends of several messages; one that is not named, or not in words we know, may have run."""
    states: dict[str, State] = {}
    try:
        rows = read_json(answer.body, 1 + len(what.items))
        if not isinstance(rows, list):
            raise TypeError("no list of ends")
        for row in rows:
            states[row["id"]] = STATES.get(row["state"], UNKNOWN)
    except (ValueError, TypeError, KeyError):
        states = {}
        count("answers_unread")
        log("worker", f"{what.host}:{what.port} answered several messages with what cannot be read")
    ends = []
    for p in what.items:
        state = states.get(p.content.id, UNKNOWN)
        ends.append(
            ItemOutcome(
                p.message,
                state.outcome,
                wait,
                message_ended=state.over,
                capacity_left=report.room,
                reported_limit_per_s=report.limit,
            )
        )
    return tuple(ends)
