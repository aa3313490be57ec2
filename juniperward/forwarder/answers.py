"""The codec of endpoints' answers: decodes the outcome of each message of an attempt, or of a health check.

This module reads the status and the body of a response, and `answer_headers.py` reads its headers.

An answer may break off anywhere. What it says up to there binds the forwarder: a message that is delivered, ended or
out of attempts is not attempted again, and a Retry-After is heeded. What would allow a further attempt, namely that a
message did not execute, counts only if the answer is complete.
"""

from __future__ import annotations

from dataclasses import dataclass

from juniperward.forwarder.address import format_address
from juniperward.forwarder.answer_headers import (
    EMPTY_LOAD_REPORT,
    LoadReport,
    read_load_report,
    read_retry_after,
)
from juniperward.forwarder.effects import StartAttempt
from juniperward.forwarder.limited_json import read_json, read_whole_objects
from juniperward.forwarder.model import ItemOutcome
from juniperward.forwarder.telemetry import increment, log
from juniperward.net.http_status import HttpStatus
from juniperward.net.http_values import HttpResponse
from juniperward.net.partial_response import PartialResponse
from juniperward.scheduler.events import Outcome


@dataclass(frozen=True, slots=True)
class ItemState:
    """The state of one message in the answer to a batch.

    Attributes:
        message_ended: Whether the message is over, and nothing is owed for it.
        attempts_exhausted: Whether the message must not be attempted again, and its client must be notified.
    """

    outcome: Outcome
    message_ended: bool = False
    attempts_exhausted: bool = False


@dataclass(frozen=True, slots=True)
class StatusMeaning:
    """The meaning of an answer's status, which holds for every message of the attempt."""

    outcome: Outcome
    no_slot_free: bool = False
    message_ended: bool = False
    connection_table_full: bool = False
    attempts_exhausted: bool = False


# An error leaves open whether the message was executed.
UNKNOWN_STATE = ItemState(Outcome.ERROR)
ITEM_STATES = {  # Keys are the names on the wire.
    "ok": ItemState(Outcome.OK),
    "error": ItemState(Outcome.ERROR),
    "later": ItemState(Outcome.OVERLOADED),
    "gone": ItemState(Outcome.NOT_SENT, message_ended=True),
    "exhausted": ItemState(Outcome.NOT_SENT, attempts_exhausted=True),
}


def same_outcomes(
    attempt: StartAttempt, outcome: Outcome, *, written: bool = True
) -> tuple[ItemOutcome, ...]:
    """Return the same outcome for each message of an attempt that got no answer."""
    return tuple(ItemOutcome(item.message, outcome, written=written) for item in attempt.items)


def read_health(answer: HttpResponse) -> Outcome:
    """Return the outcome of a health check."""
    match answer.status:
        case HttpStatus.OK:
            return Outcome.OK
        case HttpStatus.SERVICE_UNAVAILABLE if _is_connection_table_full(answer):
            increment("connection_tables_full")
            return Outcome.CONNECT_FAILED
        case HttpStatus.SERVICE_UNAVAILABLE | HttpStatus.TOO_MANY_REQUESTS:
            return Outcome.OVERLOADED
        case status:
            increment("health_checks_unknown")
            log("health_check", "unknown status; treated as an error", status=status)
            return Outcome.ERROR


def read_outcomes(attempt: StartAttempt, answer: HttpResponse) -> tuple[ItemOutcome, ...]:
    """Return the outcome of each message of an attempt with a complete answer."""
    retry_after_s = read_retry_after(answer.headers)
    load_report = read_load_report(answer.headers)
    if answer.status == HttpStatus.OK and len(attempt.items) > 1:
        return _read_batch(attempt, answer, retry_after_s, load_report)
    meaning = _read_status(attempt, answer)
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
            attempts_exhausted=meaning.attempts_exhausted,
        )
        for item in attempt.items
    )


def read_partial_outcomes(
    attempt: StartAttempt, answer: PartialResponse, without_answer: Outcome, retry_after_s: float = 0.0
) -> tuple[ItemOutcome, ...]:
    """Return the outcome of each message of an attempt whose answer is not complete.

    A message of which the answer says nothing that binds gets `without_answer`.
    """
    states = _read_partial_states(attempt, answer)
    unknown = ItemState(without_answer)
    return tuple(
        _item_outcome(item.message, states.get(item.content.id, unknown), retry_after_s)
        for item in attempt.items
    )


def _read_partial_states(attempt: StartAttempt, answer: PartialResponse) -> dict[str, ItemState]:
    """Return the states that an incomplete answer gives to messages and that allow no further attempt, by id.

    Status 200 delivers a single message with its first line, and a batch only with the complete answer.
    """
    is_single = len(attempt.items) == 1
    match answer.status:
        case HttpStatus.OK if is_single:
            state = ITEM_STATES["ok"] if answer.has_status_line else None
        case HttpStatus.OK:
            return _read_final_states(answer.body, len(attempt.items))
        case HttpStatus.GONE:
            state = ITEM_STATES["gone"]
        case HttpStatus.GATEWAY_TIMEOUT:
            state = ITEM_STATES["exhausted"]
        case _:
            state = None
    return {} if state is None else {item.content.id: state for item in attempt.items}


def _read_final_states(body: bytes, items: int) -> dict[str, ItemState]:
    """Return the states of messages that are ended or out of attempts, in the whole entries of a batch's answer."""
    states: dict[str, ItemState] = {}
    for row in read_whole_objects(body, 1 + items):
        message_id, name = row.get("id"), row.get("state")
        state = ITEM_STATES.get(name) if isinstance(name, str) else None
        if (
            isinstance(message_id, str)
            and state is not None
            and (state.message_ended or state.attempts_exhausted)
        ):
            states[message_id] = state
    return states


def _item_outcome(
    message: int, state: ItemState, retry_after_s: float, load_report: LoadReport = EMPTY_LOAD_REPORT
) -> ItemOutcome:
    return ItemOutcome(
        message,
        state.outcome,
        retry_after_s,
        message_ended=state.message_ended,
        capacity_left=load_report.capacity_left,
        reported_limit_per_s=load_report.limit_per_s,
        attempts_exhausted=state.attempts_exhausted,
    )


def _is_connection_table_full(answer: HttpResponse) -> bool:
    """Return whether a 503 means that the endpoint's connection table is full.

    The endpoint then closes the connection and sends no Retry-After. If only its rate limit is exceeded, it keeps the
    connection open.
    """
    return answer.close and read_retry_after(answer.headers) <= 0


def _read_status(attempt: StartAttempt, answer: HttpResponse) -> StatusMeaning:
    """Return the meaning of a status, counting and logging an unexpected one."""
    meaning = StatusMeaning(Outcome.ERROR)
    match answer.status:
        case HttpStatus.OK:
            meaning = StatusMeaning(Outcome.OK)
        case HttpStatus.SERVICE_UNAVAILABLE if answer.headers.get("x-over-slots") == "1":
            meaning = StatusMeaning(Outcome.NOT_SENT, no_slot_free=True)
        case HttpStatus.SERVICE_UNAVAILABLE if _is_connection_table_full(answer):
            increment("connection_tables_full")
            meaning = StatusMeaning(Outcome.CONNECT_FAILED, connection_table_full=True)
        case HttpStatus.TOO_MANY_REQUESTS | HttpStatus.SERVICE_UNAVAILABLE:
            meaning = StatusMeaning(Outcome.OVERLOADED)
        case HttpStatus.GATEWAY_TIMEOUT:
            meaning = StatusMeaning(Outcome.NOT_SENT, attempts_exhausted=True)
        case HttpStatus.GONE:
            meaning = StatusMeaning(Outcome.NOT_SENT, message_ended=True)
        case HttpStatus.BAD_REQUEST | HttpStatus.CONTENT_TOO_LARGE if len(attempt.items) > 1:
            increment("batches_rejected")
            log(
                "endpoint",
                "batch rejected; messages not executed",
                endpoint=_address(attempt),
                messages=len(attempt.items),
            )
            meaning = StatusMeaning(Outcome.NOT_SENT)
        case HttpStatus.INTERNAL_SERVER_ERROR:
            pass
        case status:
            increment("answers_unknown")
            log("endpoint", "unknown status; treated as an error", endpoint=_address(attempt), status=status)
    return meaning


def _read_batch(
    attempt: StartAttempt, answer: HttpResponse, retry_after_s: float, load_report: LoadReport
) -> tuple[ItemOutcome, ...]:
    """Return the outcomes of a batch; a message without a known state gets an error, as it possibly executed."""
    states = _read_states(attempt, answer)
    return tuple(
        _item_outcome(item.message, states.get(item.content.id, UNKNOWN_STATE), retry_after_s, load_report)
        for item in attempt.items
    )


def _read_states(attempt: StartAttempt, answer: HttpResponse) -> dict[str, ItemState]:
    """Return the states by message id.

    An unreadable body is counted and logged, and gives the states that allow no further attempt.
    """
    try:
        rows = read_json(answer.body, 1 + len(attempt.items))
        if isinstance(rows, list):
            return {row["id"]: ITEM_STATES.get(row["state"], UNKNOWN_STATE) for row in rows}
    except (ValueError, TypeError, KeyError):
        pass
    increment("answers_unreadable")
    log(
        "endpoint",
        "answer unreadable; treated as an error",
        endpoint=_address(attempt),
        messages=len(attempt.items),
    )
    return _read_final_states(answer.body, len(attempt.items))


def _address(attempt: StartAttempt) -> str:
    return format_address((attempt.host, attempt.port))
