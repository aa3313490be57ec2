"""What an endpoint's answer says of the messages of a call, and of a health check; text to typed values."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass

from juniperward.forwarder.effects import StartAttempt
from juniperward.forwarder.model import ItemOutcome
from juniperward.forwarder.telemetry import increment, log
from juniperward.net.http_values import DECIMAL, HttpResponse
from juniperward.scheduler.events import Outcome

LONGEST_RETRY_AFTER_S = 3600.0  # what tells a longer wait than this tells none
MOST_REPORT_BYTES = 1024


class TooDeepError(ValueError):
    """JSON opens more arrays and objects than its reader asked for."""

    def __init__(self, most_open: int) -> None:
        """Say how many may open."""
        super().__init__(f"more than {most_open} arrays and objects")


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A load report: the share of its limit that an endpoint has left, and that limit as calls a second."""

    capacity_left: float | None = None
    limit_per_s: float | None = None

    def makes_sense(self) -> bool:
        """Return whether the share is within 0 and 1 and the limit a finite one."""
        share_fits = self.capacity_left is None or 0 <= self.capacity_left <= 1
        limit_fits = self.limit_per_s is None or 0 <= self.limit_per_s < math.inf
        return share_fits and limit_fits


@dataclass(frozen=True, slots=True)
class ItemState:
    """What an answer to several messages says of one of them; `message_ended`: nothing more is owed for it."""

    outcome: Outcome
    message_ended: bool = False


NO_REPORT = LoadReport()
UNKNOWN_STATE = ItemState(Outcome.ERROR)  # it possibly executed
STATES = {  # by the word of the protocol
    "ok": ItemState(Outcome.OK),
    "error": ItemState(Outcome.ERROR),
    "later": ItemState(Outcome.OVERLOADED),
    "gone": ItemState(Outcome.NOT_SENT, message_ended=True),
    "exhausted": ItemState(Outcome.NOT_SENT),
}


def outcomes_of_all(what: StartAttempt, outcome: Outcome, *, written: bool = True) -> tuple[ItemOutcome, ...]:
    """Return the same outcome for every message of a call that got no answer."""
    return tuple(ItemOutcome(item.message, outcome, written=written) for item in what.items)


def read_retry_after(headers: dict[str, str]) -> float:
    """Return the wait that an answer tells, in seconds; 0 where it tells none that makes sense."""
    text = headers.get("retry-after", "0")
    wait_s = float(text) if DECIMAL.fullmatch(text) else 0.0
    return wait_s if wait_s <= LONGEST_RETRY_AFTER_S else 0.0


def read_json(text: bytes, most_open: int) -> object:
    """Decode JSON of so many arrays and objects at most; raises ValueError.

    The decoder goes down in C with each that opens: 128 KiB of stack end before its own limit does.
    """
    if text.count(b"{") + text.count(b"[") > most_open:
        raise TooDeepError(most_open)
    decoded: object = json.loads(text)
    return decoded


def read_report(headers: dict[str, str]) -> LoadReport:
    """Return the load report of an answer, where there is one that makes sense."""
    text = headers.get("x-backend-load", "").encode("latin-1")
    if not text:
        return NO_REPORT
    try:
        given = read_json(text, 1)
        if isinstance(given, dict) and len(text) <= MOST_REPORT_BYTES:
            report = LoadReport(_number(given, "x0"), _number(given, "x1"))
            if report.makes_sense():
                return report
    except (ValueError, TypeError, OverflowError):
        pass
    increment("reports_unread")
    return NO_REPORT


def _number(given: dict[str, str | float], field: str) -> float | None:
    return float(given[field]) if field in given else None


def read_health(answer: HttpResponse, fresh: bool = False) -> Outcome:
    """Return what a health check's answer says of its endpoint ('Forwarders to endpoints': 200 or 503)."""
    match answer.status:
        case 200:
            return Outcome.OK
        case 503 if fresh and answer.close and not read_retry_after(answer.headers):
            increment("connection_tables_full")
            return Outcome.CONNECT_FAILED  # no place in its table, as for a call
        case 503 | 429:
            return Outcome.OVERLOADED
        case status:
            increment("health_checks_unknown")
            log("health_check", "unknown status", status=status)
            return Outcome.ERROR


@dataclass(frozen=True, slots=True)
class AnswerMeaning:
    """What the status of an answer says of every message of its call."""

    outcome: Outcome
    no_slot_free: bool = False
    message_ended: bool = False
    connection_table_full: bool = False


def read_outcomes(what: StartAttempt, answer: HttpResponse, fresh: bool = False) -> tuple[ItemOutcome, ...]:
    """Return what an answer says of each message of a call; `fresh`: it came on a new connection."""
    retry_after_s, report = read_retry_after(answer.headers), read_report(answer.headers)
    if answer.status == 200 and len(what.items) > 1:
        return _read_each(what, answer, retry_after_s, report)
    meaning = _meaning(what, answer, fresh and answer.close and retry_after_s <= 0)
    return tuple(
        ItemOutcome(
            item.message,
            meaning.outcome,
            0.0 if meaning.connection_table_full else retry_after_s,
            meaning.no_slot_free,
            meaning.message_ended,
            report.capacity_left,
            report.limit_per_s,
            meaning.connection_table_full,
        )
        for item in what.items
    )


def _meaning(what: StartAttempt, answer: HttpResponse, closed_at_once: bool) -> AnswerMeaning:
    """Read the status by the protocol's 'Forwarders to endpoints'."""
    meaning = AnswerMeaning(Outcome.ERROR)
    match answer.status:
        case 200:
            meaning = AnswerMeaning(Outcome.OK)
        case 503 if answer.headers.get("x-over-slots") == "1":
            meaning = AnswerMeaning(Outcome.NOT_SENT, no_slot_free=True)
        case 503 if closed_at_once:
            # Over its limit an endpoint keeps the connection; one that it ends at once had no place in its table.
            increment("connection_tables_full")
            meaning = AnswerMeaning(Outcome.CONNECT_FAILED, connection_table_full=True)
        case 429 | 503:
            meaning = AnswerMeaning(Outcome.OVERLOADED)
        case 504:
            meaning = AnswerMeaning(Outcome.NOT_SENT)
        case 410:
            meaning = AnswerMeaning(Outcome.NOT_SENT, message_ended=True)
        case 400 | 413 if len(what.items) > 1:
            increment("batches_rejected")
            log("endpoint", "batch rejected", endpoint=f"{what.host}:{what.port}", messages=len(what.items))
            meaning = AnswerMeaning(Outcome.NOT_SENT)
        case 500:
            pass
        case status:
            increment("answers_unknown")
            log("endpoint", "unknown status", endpoint=f"{what.host}:{what.port}", status=status)
    return meaning


def _read_each(
    what: StartAttempt, answer: HttpResponse, retry_after_s: float, report: LoadReport
) -> tuple[ItemOutcome, ...]:
    """Read the outcomes of several messages; one that is not named, or not in words we know, possibly executed."""
    states = _read_states(what, answer)
    outcomes = []
    for item in what.items:
        state = states.get(item.content.id, UNKNOWN_STATE)
        outcomes.append(
            ItemOutcome(
                item.message,
                state.outcome,
                retry_after_s,
                message_ended=state.message_ended,
                capacity_left=report.capacity_left,
                reported_limit_per_s=report.limit_per_s,
            )
        )
    return tuple(outcomes)


def _read_states(what: StartAttempt, answer: HttpResponse) -> dict[str, ItemState]:
    """Read the states by id; none where the body cannot be read."""
    try:
        rows = read_json(answer.body, 1 + len(what.items))
        if isinstance(rows, list):
            return {row["id"]: STATES.get(row["state"], UNKNOWN_STATE) for row in rows}
    except (ValueError, TypeError, KeyError):
        pass
    increment("answers_unread")
    log("endpoint", "answer unreadable", endpoint=f"{what.host}:{what.port}", messages=len(what.items))
    return {}
