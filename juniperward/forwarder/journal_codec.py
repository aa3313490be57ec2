"""The codec of the journal's file format: encodes a record as a line of the file, and decodes it.

A line is the CRC-32 of its text in hex, a space, and a JSON array that begins with the record's kind and the
message's id. The file has Unix times and the records have monotonic times; `unix_offset_s` is the difference.
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

# The number of values in an accepted record of the oldest version; later versions append values.
MIN_ACCEPTED_VALUES = 7


class RecordKind(StrEnum):
    """The kind of a record, by its name in the file."""

    ACCEPTED = "taken"
    ATTEMPT_STARTED = "began"
    ATTEMPT_FINISHED = "ended"
    OUTCOME_DECIDED = "decided"
    COMPLETED = "over"


_encode_json = json.JSONEncoder(separators=(",", ":")).encode


def encode(record: JournalRecord, unix_offset_s: float) -> bytes:
    """Return the line of a record, with its newline."""
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
    """Return the record of a line without its newline, or None for a damaged line."""
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
        case [RecordKind.ACCEPTED, *values] if len(values) >= MIN_ACCEPTED_VALUES:
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
    message_id, class_index, tenant, destination, idempotency_key, expires, body, *optional = values
    # Older versions wrote neither of the optional values, or only the first.
    executed = optional[0] if optional else None
    time_left_s = optional[1] if len(optional) > 1 else None
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
    """Return the id of the message that a record belongs to."""
    match record:
        case AcceptedRecord(message=message):
            return message.id
        case OutcomeDecidedRecord(notification=notification):
            return notification.id
        case _:
            return record.id
