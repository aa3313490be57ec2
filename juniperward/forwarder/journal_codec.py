"""The journal's file format: a record to a line of the file, and back.

A line is the CRC-32 of its text in hex, a space, and a JSON array that begins with the record's kind and the
message's id. Times are Unix time in the file and monotonic time everywhere else; `unix_offset_s` is the offset.
"""

from __future__ import annotations

import base64
import json
import zlib
from enum import StrEnum
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

ACCEPTED_VALUES = 7  # of an accepted record of the oldest version; later ones added values at the end


class RecordKind(StrEnum):
    """The kind of a record; the values are those of the file."""

    ACCEPTED = "taken"
    ATTEMPT_STARTED = "began"
    ATTEMPT_FINISHED = "ended"
    OUTCOME_DECIDED = "decided"
    COMPLETED = "over"


_encode_json = json.JSONEncoder(separators=(",", ":")).encode


def encode(record: JournalRecord, unix_offset_s: float) -> bytes:
    """Return the line of a record."""
    text = _encode_json(_encode_row(record, unix_offset_s)).encode()
    return b"%08x %s\n" % (zlib.crc32(text), text)


def _encode_row(record: JournalRecord, unix_offset_s: float) -> list[Any]:
    match record:
        case AcceptedRecord():
            return _encode_accepted(record, unix_offset_s)
        case AttemptStartedRecord(id=message, started_at=started_at, endpoint=endpoint):
            return [RecordKind.ATTEMPT_STARTED, message, started_at + unix_offset_s, endpoint]
        case AttemptFinishedRecord(id=message, possibly_executed=possibly_executed):
            return [RecordKind.ATTEMPT_FINISHED, message, possibly_executed]
        case OutcomeDecidedRecord(notification=notification):
            return [RecordKind.OUTCOME_DECIDED, notification.id, notification.retry_after_s]
        case CompletedRecord(id=message):
            return [RecordKind.COMPLETED, message]


def _encode_accepted(record: AcceptedRecord, unix_offset_s: float) -> list[Any]:
    message = record.message
    return [
        RecordKind.ACCEPTED,
        message.id,
        message.class_index,
        message.tenant,
        message.destination,
        message.idempotency_key,
        record.expires_at + unix_offset_s,
        base64.b64encode(message.body).decode(),
        record.executed_at + unix_offset_s if record.executed_at is not None else None,
        message.time_left_s,
    ]


def decode(line: bytes, unix_offset_s: float) -> JournalRecord | None:
    """Return the record of one line, or None for one that is damaged."""
    try:
        checksum, text = line.split(b" ", 1)
        if int(checksum, 16) == zlib.crc32(text):
            return _decode_row(json.loads(text), unix_offset_s)
    except (ValueError, TypeError):
        pass
    return None


def _decode_row(row: Any, unix_offset_s: float) -> JournalRecord | None:
    record: JournalRecord | None = None
    match row:
        case [RecordKind.ACCEPTED, *values] if len(values) >= ACCEPTED_VALUES:
            record = _decode_accepted(values, unix_offset_s)
        case [RecordKind.ATTEMPT_STARTED, message, started, endpoint]:
            record = AttemptStartedRecord(message, started - unix_offset_s, endpoint)
        case [RecordKind.ATTEMPT_FINISHED, message, possibly_executed]:
            record = AttemptFinishedRecord(message, possibly_executed)
        case [RecordKind.OUTCOME_DECIDED, message, retry_after_s]:
            record = OutcomeDecidedRecord(OutcomeNotification(message, retry_after_s))
        case [RecordKind.COMPLETED, message]:
            record = CompletedRecord(message)
    return record


def _decode_accepted(values: list[Any], unix_offset_s: float) -> AcceptedRecord:
    message_id, class_index, tenant, destination, idempotency_key, expires, body, *added = values
    # An older version wrote neither of the added values, or the first alone.
    executed = added[0] if added else None
    time_left_s = added[1] if len(added) > 1 else None
    message = Message(
        message_id,
        class_index,
        tenant,
        destination,
        time_left_s or 0.0,
        idempotency_key,
        base64.b64decode(body),
    )
    executed_at = executed - unix_offset_s if executed is not None else None
    return AcceptedRecord(message, expires - unix_offset_s, executed_at)


def message_id(record: JournalRecord) -> str:
    """Return the id of a record's message."""
    match record:
        case AcceptedRecord(message=message):
            return message.id
        case OutcomeDecidedRecord(notification=notification):
            return notification.id
        case _:
            return record.id
