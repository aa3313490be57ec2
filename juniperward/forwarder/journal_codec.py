"""The journal's file format: one record a line, and the words that stand for records there.

A line is the CRC-32 of its text in hex, a space, and a JSON array that begins with the record's word and the
message's id. Times are Unix time in the file and monotonic time everywhere else; `to_unix` is added to the latter.
"""

from __future__ import annotations

import base64
import json
import zlib
from typing import Any

from juniperward.forwarder.model import Message, OutcomeNotification
from juniperward.forwarder.records import (
    AcceptedRecord,
    AttemptFinishedRecord,
    AttemptStartedRecord,
    CompletedRecord,
    JournalRecord,
    OutcomeDecidedRecord,
)

ACCEPTED, ATTEMPT_STARTED, ATTEMPT_FINISHED = "taken", "began", "ended"
OUTCOME_DECIDED, COMPLETED = "decided", "over"

_encode_json = json.JSONEncoder(separators=(",", ":")).encode


def encode(record: JournalRecord, to_unix: float) -> bytes:
    """Return the line of a record."""
    text = _encode_json(_encode_row(record, to_unix)).encode()
    return b"%08x %s\n" % (zlib.crc32(text), text)


def _encode_row(record: JournalRecord, to_unix: float) -> list[Any]:
    match record:
        case AcceptedRecord(message=m, expires_at=expires_at, executed_at=executed_at):
            body = base64.b64encode(m.body).decode()
            executed = executed_at + to_unix if executed_at is not None else None
            row: list[Any] = [ACCEPTED, m.id, m.class_index, m.tenant, m.destination, m.idempotency_key]
            return [*row, expires_at + to_unix, body, executed, m.time_left_s]
        case AttemptStartedRecord(id=name, started_at=started_at, endpoint=endpoint):
            return [ATTEMPT_STARTED, name, started_at + to_unix, endpoint]
        case AttemptFinishedRecord(id=name, possibly_executed=possibly_executed):
            return [ATTEMPT_FINISHED, name, possibly_executed]
        case OutcomeDecidedRecord(notification=notification):
            return [OUTCOME_DECIDED, notification.id, notification.retry_after_s]
        case CompletedRecord(id=name):
            return [COMPLETED, name]


def decode(line: bytes, to_unix: float) -> JournalRecord | None:
    """Return the record of one line, or None for one that is damaged."""
    try:
        checksum, text = line.split(b" ", 1)
        if int(checksum, 16) == zlib.crc32(text):
            return _decode_row(json.loads(text), to_unix)
    except (ValueError, TypeError):
        pass
    return None


def _decode_row(row: Any, to_unix: float) -> JournalRecord | None:
    record: JournalRecord | None = None
    match row:
        case [str(word), name, class_index, tenant, destination, key, expires, body, *more] if (
            word == ACCEPTED
        ):
            executed, left = (*more, None, None)[:2]  # an older version wrote neither, or the first alone
            decoded = base64.b64decode(body)
            message = Message(name, class_index, tenant, destination, left or 0.0, key, decoded)
            record = AcceptedRecord(
                message, expires - to_unix, executed - to_unix if executed is not None else None
            )
        case [str(word), name, started, endpoint] if word == ATTEMPT_STARTED:
            record = AttemptStartedRecord(name, started - to_unix, endpoint)
        case [str(word), name, possibly_executed] if word == ATTEMPT_FINISHED:
            record = AttemptFinishedRecord(name, possibly_executed)
        case [str(word), name, retry_after_s] if word == OUTCOME_DECIDED:
            record = OutcomeDecidedRecord(OutcomeNotification(name, retry_after_s))
        case [str(word), name] if word == COMPLETED:
            record = CompletedRecord(name)
    return record


def message_id(record: JournalRecord) -> str:
    """Return the id of the message that a record is of."""
    match record:
        case AcceptedRecord(message=message):
            return message.id
        case OutcomeDecidedRecord(notification=notification):
            return notification.id
        case _:
            return record.id
