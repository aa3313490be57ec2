"""The spool's file formats: checksummed JSON lines, and the fields of a message in them. Standard library only.

The one place where the names that are on disk (`taken_at`, `effect`, `workers` …) become the names of our values.
Used by `spool.py`, `spool_files.py` and `outcome_log.py`.
"""

from __future__ import annotations

import base64
import json
import zlib
from dataclasses import dataclass
from typing import Any

from juniperward.dead_letters.outcome import RedriveOutcome
from juniperward.scheduler.settings import Idempotency

OUTCOME_FIELD_COUNT = 3  # of a line of the file `fates`

_encode_json = json.JSONEncoder(separators=(",", ":")).encode


@dataclass(frozen=True, slots=True)
class SpooledAttempt:
    """One attempt of a message."""

    endpoint: str
    started_at: float  # Unix time
    outcome: str
    possibly_executed: bool


@dataclass(frozen=True, slots=True)
class SpooledMessage:
    """A message that was given up, complete; times are Unix time, by the forwarder's clock."""

    id: str
    class_name: str
    account: str
    destination: int
    idempotency_key: str | None
    body: bytes
    received_at: float
    given_up_at: float
    attempts: tuple[SpooledAttempt, ...]
    idempotency: Idempotency  # of its class
    deduplication_window_s: float  # for which its destination drops a repeat
    endpoints: tuple[str, ...]  # listed for its destination then: who the number meant


# The keys on disk, in their order, and the fields that they are.
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
    """Return a value as a line with its checksum."""
    text = _encode_json(value).encode()
    return b"%08x %s\n" % (zlib.crc32(text), text)


def decode_line(data: bytes) -> Any:
    """Return the value of a line (without its end), or None for one that is damaged."""
    try:
        checksum, text = data.split(b" ", 1)
        return json.loads(text) if int(checksum, 16) == zlib.crc32(text) else None
    except ValueError:
        return None


def read_idempotency(word: str) -> Idempotency:
    """Return the idempotency that a word on disk stands for; an unknown word is read as the most cautious one."""
    try:
        return Idempotency(word)
    except ValueError:
        return Idempotency.NON_IDEMPOTENT


def encode_message(message: SpooledMessage) -> bytes:
    """Return a message as a line of a segment."""
    row = {key: getattr(message, field) for key, field in MESSAGE_KEYS.items()}
    row["body"] = base64.b64encode(message.body).decode()
    row["effect"] = message.idempotency.value
    row["attempts"] = [
        {key: getattr(attempt, field) for key, field in ATTEMPT_KEYS.items()} for attempt in message.attempts
    ]
    return encode_line(row)


def decode_message(data: bytes) -> SpooledMessage | None:
    """Return the message of a line (without its end), or None for one that is damaged or not ours."""
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
    """Return a redrive's outcome as a line of the file `fates`."""
    return encode_line([redrive_id, outcome.result, outcome.executed_at])


def decode_outcome(row: list[Any]) -> tuple[str, RedriveOutcome] | None:
    """Return the redrive's id and outcome of a decoded line, or None for one that is not ours."""
    if len(row) != OUTCOME_FIELD_COUNT:
        return None
    redrive_id, result, executed_at = row
    return redrive_id, RedriveOutcome(result, executed_at)
