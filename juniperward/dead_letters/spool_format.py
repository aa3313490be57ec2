"""The file formats of the spool: messages and outcomes as checksummed JSON lines. Standard library only.

This is the only module that maps keys on disk (`taken_at`, `effect`, `workers`, …) to field names.
"""

from __future__ import annotations

import base64
import json
import zlib
from dataclasses import dataclass
from typing import Any

from juniperward.dead_letters.outcome import RedriveOutcome
from juniperward.scheduler.settings import Idempotency

OUTCOME_FIELD_COUNT = 3

_encode_json = json.JSONEncoder(separators=(",", ":")).encode


@dataclass(frozen=True, slots=True)
class SpooledAttempt:
    """One attempt of a message.

    Attributes:
        endpoint: the endpoint's id.
        started_at: Unix time.
        outcome: the name of the attempt's outcome.
        possibly_executed: the attempt may have taken effect.
    """

    endpoint: str
    started_at: float
    outcome: str
    possibly_executed: bool


@dataclass(frozen=True, slots=True)
class SpooledMessage:
    """A complete message that was given up; times are Unix time by the forwarder's clock.

    Attributes:
        id: the message's id.
        class_name: the name of the message class.
        account: the tenant's account.
        destination: the number of the destination.
        idempotency_key: the key by which the destination detects a repeat.
        body: the message's body.
        received_at: when the forwarder received the message.
        given_up_at: when the forwarder gave it up.
        attempts: the attempts to deliver it, in order.
        idempotency: the idempotency of the message's class.
        deduplication_window_s: how long the destination drops repeats with the same idempotency key.
        endpoints: the destination's endpoints when the message was given up.
    """

    id: str
    class_name: str
    account: str
    destination: int
    idempotency_key: str | None
    body: bytes
    received_at: float
    given_up_at: float
    attempts: tuple[SpooledAttempt, ...]
    idempotency: Idempotency
    deduplication_window_s: float
    endpoints: tuple[str, ...]


# Field names by key on disk, in the order on disk.
ATTEMPT_KEYS = {
    "worker": "endpoint",
    "at": "started_at",
    "outcome": "outcome",
    "may_have_run": "possibly_executed",
}
MESSAGE_KEYS = {
    "id": "id",
    "cls": "class_name",
    "account": "account",
    "destination": "destination",
    "key": "idempotency_key",
    "body": "body",
    "taken_at": "received_at",
    "given_up_at": "given_up_at",
    "attempts": "attempts",
    "effect": "idempotency",
    "window": "deduplication_window_s",
    "workers": "endpoints",
}


def encode_line(value: Any) -> bytes:
    """Encode a value as a line that begins with its checksum."""
    text = _encode_json(value).encode()
    return b"%08x %s\n" % (zlib.crc32(text), text)


def decode_line(data: bytes) -> Any:
    """Decode a line without its line end; None if it is damaged."""
    try:
        checksum, text = data.split(b" ", 1)
        return json.loads(text) if int(checksum, 16) == zlib.crc32(text) else None
    except ValueError:
        return None


def read_idempotency(name: str) -> Idempotency:
    """Return the idempotency for its name on disk; NON_IDEMPOTENT, the safest, for an unknown name."""
    try:
        return Idempotency(name)
    except ValueError:
        return Idempotency.NON_IDEMPOTENT


def encode_message(message: SpooledMessage) -> bytes:
    """Encode a message as a line of a segment."""
    row = {key: getattr(message, field) for key, field in MESSAGE_KEYS.items()}
    row["body"] = base64.b64encode(message.body).decode()
    row["effect"] = message.idempotency.value
    row["attempts"] = [
        {key: getattr(attempt, field) for key, field in ATTEMPT_KEYS.items()} for attempt in message.attempts
    ]
    return encode_line(row)


def decode_message(data: bytes) -> SpooledMessage | None:
    """Decode a segment's line without its line end; None if it is damaged or of an unknown form."""
    row = decode_line(data)
    try:
        row["body"] = base64.b64decode(row["body"])
        row["effect"] = read_idempotency(row["effect"])
        row["attempts"] = tuple(
            SpooledAttempt(**{ATTEMPT_KEYS[key]: value for key, value in attempt.items()})
            for attempt in row["attempts"]
        )
        row["workers"] = tuple(row["workers"])
        return SpooledMessage(**{MESSAGE_KEYS[key]: value for key, value in row.items()})
    except (TypeError, KeyError, ValueError, AttributeError):
        return None


def encode_outcome(redrive_id: str, outcome: RedriveOutcome) -> bytes:
    """Encode a redrive's outcome as a line of the file `fates`."""
    return encode_line([redrive_id, outcome.result, outcome.executed_at])


def decode_outcome(row: list[Any]) -> tuple[str, RedriveOutcome] | None:
    """Return the redrive's id and outcome from a decoded line; None if it has another number of fields."""
    if len(row) != OUTCOME_FIELD_COUNT:
        return None
    redrive_id, result, executed_at = row
    return redrive_id, RedriveOutcome(result, executed_at)
