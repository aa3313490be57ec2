"""The codec of endpoints' answers: a response to the outcome of each message of an attempt, or of a health check.

Statuses and words are those of the protocol page, 'Forwarders to endpoints'; `answer_headers.py` reads the headers.
"""

from __future__ import annotations

from dataclasses import dataclass

from juniperward.forwarder.address import format_address
from juniperward.forwarder.answer_headers import LoadReport, read_load_report, read_retry_after
from juniperward.forwarder.effects import StartAttempt
from juniperward.forwarder.limited_json import read_json
from juniperward.forwarder.model import ItemOutcome
from juniperward.forwarder.telemetry import increment, log
from juniperward.net.http_status import HttpStatus
from juniperward.net.http_values import HttpResponse
from juniperward.scheduler.events import Outcome


@dataclass(frozen=True, slots=True)
class ItemState:
    """What the answer to a batch says of one message; `message_ended`: it is complete elsewhere."""

    outcome: Outcome
    message_ended: bool = False


@dataclass(frozen=True, slots=True)
class AnswerMeaning:
    """What the status of an answer says of every message of its attempt."""

    outcome: Outcome
    no_slot_free: bool = False
    message_ended: bool = False
    connection_table_full: bool = False


UNKNOWN_STATE = ItemState(Outcome.ERROR)  # it possibly executed
STATES = {  # by the protocol's word
    "ok": ItemState(Outcome.OK),
    "error": ItemState(Outcome.ERROR),
    "later": ItemState(Outcome.OVERLOADED),
    "gone": ItemState(Outcome.NOT_SENT, message_ended=True),
    "exhausted": ItemState(Outcome.NOT_SENT),
}


def same_outcomes(
    attempt: StartAttempt, outcome: Outcome, *, written: bool = True
) -> tuple[ItemOutcome, ...]:
    """Return one outcome for all messages of an attempt that got no answer."""
    return tuple(ItemOutcome(item.message, outcome, written=written) for item in attempt.items)


def read_health(answer: HttpResponse, fresh: bool = False) -> Outcome:
    """Return what a health check's answer says; `fresh`: it came on a new connection."""
    match answer.status:
        case HttpStatus.OK:
            return Outcome.OK
        case HttpStatus.SERVICE_UNAVAILABLE if fresh and _closed_at_once(answer):
            increment("connection_tables_full")
            return Outcome.CONNECT_FAILED  # no place in its connection table, as for an attempt
        case HttpStatus.SERVICE_UNAVAILABLE | HttpStatus.TOO_MANY_REQUESTS:
            return Outcome.OVERLOADED
        case status:
            increment("health_checks_unknown")
            log("health_check", "unknown status", status=status)
            return Outcome.ERROR


def read_outcomes(
    attempt: StartAttempt, answer: HttpResponse, fresh: bool = False
) -> tuple[ItemOutcome, ...]:
    """Return what an answer says of each message of an attempt; `fresh`: it came on a new connection."""
    retry_after_s = read_retry_after(answer.headers)
    load_report = read_load_report(answer.headers)
    if answer.status == HttpStatus.OK and len(attempt.items) > 1:
        return _read_batch(attempt, answer, retry_after_s, load_report)
    meaning = _read_status(attempt, answer, fresh and _closed_at_once(answer))
    return tuple(
        ItemOutcome(
            item.message,
            meaning.outcome,
            0.0 if meaning.connection_table_full else retry_after_s,
            meaning.no_slot_free,
            meaning.message_ended,
            load_report.capacity_left,
            load_report.limit_per_s,
            meaning.connection_table_full,
        )
        for item in attempt.items
    )


def _closed_at_once(answer: HttpResponse) -> bool:
    """Return whether an endpoint ends the connection without a wait to keep.

    Over its rate limit an endpoint leaves the connection open; one that ends a new connection at once had no place
    in its connection table.
    """
    return answer.close and read_retry_after(answer.headers) <= 0


def _read_status(attempt: StartAttempt, answer: HttpResponse, no_place: bool) -> AnswerMeaning:
    """Return what a status says; `no_place`: the endpoint ended a new connection at once."""
    meaning = AnswerMeaning(Outcome.ERROR)
    match answer.status:
        case HttpStatus.OK:
            meaning = AnswerMeaning(Outcome.OK)
        case HttpStatus.SERVICE_UNAVAILABLE if answer.headers.get("x-over-slots") == "1":
            meaning = AnswerMeaning(Outcome.NOT_SENT, no_slot_free=True)
        case HttpStatus.SERVICE_UNAVAILABLE if no_place:
            increment("connection_tables_full")
            meaning = AnswerMeaning(Outcome.CONNECT_FAILED, connection_table_full=True)
        case HttpStatus.TOO_MANY_REQUESTS | HttpStatus.SERVICE_UNAVAILABLE:
            meaning = AnswerMeaning(Outcome.OVERLOADED)
        case HttpStatus.GATEWAY_TIMEOUT:
            meaning = AnswerMeaning(Outcome.NOT_SENT)
        case HttpStatus.GONE:
            meaning = AnswerMeaning(Outcome.NOT_SENT, message_ended=True)
        case HttpStatus.BAD_REQUEST | HttpStatus.CONTENT_TOO_LARGE if len(attempt.items) > 1:
            increment("batches_rejected")
            log("endpoint", "batch rejected", endpoint=_name(attempt), messages=len(attempt.items))
            meaning = AnswerMeaning(Outcome.NOT_SENT)
        case HttpStatus.INTERNAL_SERVER_ERROR:
            pass
        case status:
            increment("answers_unknown")
            log("endpoint", "unknown status", endpoint=_name(attempt), status=status)
    return meaning


def _read_batch(
    attempt: StartAttempt, answer: HttpResponse, retry_after_s: float, load_report: LoadReport
) -> tuple[ItemOutcome, ...]:
    """Return the outcomes of a batch; a message that is not named, or in unknown words, possibly executed."""
    states = _read_states(attempt, answer)
    outcomes = []
    for item in attempt.items:
        state = states.get(item.content.id, UNKNOWN_STATE)
        outcomes.append(
            ItemOutcome(
                item.message,
                state.outcome,
                retry_after_s,
                message_ended=state.message_ended,
                capacity_left=load_report.capacity_left,
                reported_limit_per_s=load_report.limit_per_s,
            )
        )
    return tuple(outcomes)


def _read_states(attempt: StartAttempt, answer: HttpResponse) -> dict[str, ItemState]:
    """Return the states by message id; none where the body cannot be read."""
    try:
        rows = read_json(answer.body, 1 + len(attempt.items))
        if isinstance(rows, list):
            return {row["id"]: STATES.get(row["state"], UNKNOWN_STATE) for row in rows}
    except (ValueError, TypeError, KeyError):
        pass
    increment("answers_unreadable")
    log("endpoint", "answer unreadable", endpoint=_name(attempt), messages=len(attempt.items))
    return {}


def _name(attempt: StartAttempt) -> str:
    return format_address((attempt.host, attempt.port))
