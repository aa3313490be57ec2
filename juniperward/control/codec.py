"""Encoding and decoding of the control channel's frames, without sockets.

A frame is a length in bytes (4 bytes, big-endian) followed by JSON of this length. A client sends one
request at a time, `{"v": 1, "id": N, "verb": "status"}`, and receives one answer to it,
`{"v": 1, "id": N, "ok": true, "body": ...}` or `{"v": 1, "id": N, "ok": false, "error": TEXT}`.
"""

from __future__ import annotations

import json
import struct
from collections.abc import Callable
from typing import Any

from juniperward.control.errors import (
    FieldError,
    FrameLengthError,
    MalformedAnswerError,
    MalformedRequestError,
    NestingError,
    VersionError,
)
from juniperward.control.protocol import (
    BODY_TYPES,
    Answer,
    Body,
    DestinationRow,
    RedriveOutcomeRow,
    RedriveOutcomes,
    Request,
    Rows,
    Status,
    Verb,
)
from juniperward.control.typed_json import from_json, to_json

PROTOCOL_VERSION = 1
MAX_REQUEST_BYTES = 32 * 1024  # room for MAX_REDRIVE_IDS ids
MAX_REDRIVE_IDS = 100
MAX_ANSWER_BYTES = 16 * 1024 * 1024  # room for thousands of destinations
MAX_REQUEST_CONTAINERS = 4  # arrays and objects; bounds the recursion of the JSON decoder
REQUEST_ID_LIMIT = 2**53  # all JSON decoders represent integers below it exactly
FRAME_HEADER = struct.Struct("!I")
# Names on the wire of the fields whose name in the code differs.
WIRE_NAMES = {
    Status: {
        "started_at": "started",
        "pending": "held",
        "accepting": "offered",
        "unacknowledged": "owed",
        "attempts_in_flight": "calls_out",
        "oldest_pending_age_s": "oldest_held",
        "journal_live_bytes": "journal_live",
        "endpoint_list_version": "registry_version",
        "endpoint_list_age_s": "registry_age",
        "ejected_destinations": "destinations_sick",
        "accepted": "taken_on",
        "rejected": "turned_away",
        "attempts": "calls",
        "attempts_failed": "calls_failed",
        "invariants_broken": "broken",
        "dead_letters_stored": "kept",
        "dead_letters_failed": "kept_failed",
    },
    DestinationRow: {
        "queued": "waiting",
        "rate_limit_per_s": "pace",
        "listed_rate_per_s": "rating",
        "retry_after_s": "wait",
        "warming_up_for_s": "warming",
        "mean_latency_s": "latency",
        "ready_endpoints": "endpoints",
    },
    Rows: {"endpoints": "workers"},
    RedriveOutcomeRow: {"outcome": "end", "executed_at": "ran_at"},
    RedriveOutcomes: {"outcomes": "fates"},
}


def frame(value: Any) -> bytes:
    """Return a frame that contains a JSON value."""
    text = json.dumps(value, separators=(",", ":")).encode()
    return FRAME_HEADER.pack(len(text)) + text


def read_frame(read_exactly: Callable[[int], bytes], max_bytes: int) -> bytes:
    """Return the JSON text of the next frame; `read_exactly` returns the given number of bytes or raises.

    Raises:
        FrameLengthError: If the frame is empty or longer than `max_bytes`.

    """
    (length,) = FRAME_HEADER.unpack(read_exactly(FRAME_HEADER.size))
    if not 0 < length <= max_bytes:
        raise FrameLengthError(length, max_bytes)
    return read_exactly(length)


def encode_request(request: Request) -> bytes:
    """Return a request as a frame."""
    optional = {"ids": request.ids} if request.ids else {}
    return frame({"v": PROTOCOL_VERSION, "id": request.id, "verb": request.verb.value, **optional})


def decode_request(text: bytes) -> Request:
    """Decode a request; raises ProtocolError for any invalid text."""
    if text.count(b"{") + text.count(b"[") > MAX_REQUEST_CONTAINERS:
        raise NestingError
    try:
        request = json.loads(text)
        version, request_id, verb = request["v"], request["id"], request["verb"]
        ids = request.get("ids", [])
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise MalformedRequestError(error) from error
    if version != PROTOCOL_VERSION:
        problem = f"protocol version {version!r} is not supported; the forwarder uses {PROTOCOL_VERSION}"
        raise VersionError(version, problem)
    if type(request_id) is not int or not 0 <= request_id < REQUEST_ID_LIMIT:
        raise FieldError("id", f"must be an integer from 0 to {REQUEST_ID_LIMIT - 1}")
    if not isinstance(ids, list) or len(ids) > MAX_REDRIVE_IDS or not all(isinstance(x, str) for x in ids):
        raise FieldError("ids", f"must be an array of at most {MAX_REDRIVE_IDS} strings")
    try:
        return Request(request_id, Verb(verb), tuple(ids))
    except ValueError as error:
        raise FieldError("verb", f"no such verb: {verb!r}") from error


def body_to_json(body: Body) -> Any:
    """Return a body as JSON values, with the names of the wire."""
    return to_json(body, WIRE_NAMES)


def encode_answer(answer: Answer) -> bytes:
    """Return an answer as a frame."""
    fields: dict[str, Any] = {"v": PROTOCOL_VERSION, "id": answer.id, "ok": answer.body is not None}
    if answer.body is None:
        fields["error"] = answer.error
    else:
        fields["body"] = body_to_json(answer.body)
    return frame(fields)


def decode_answer(text: bytes, verb: Verb) -> Answer:
    """Decode the answer to a request with this verb; raises ProtocolError for any invalid text."""
    try:
        return _answer_from_json(json.loads(text), verb)
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise MalformedAnswerError(error) from error


def _answer_from_json(answer: dict[str, Any], verb: Verb) -> Answer:
    version = answer["v"]
    if version != PROTOCOL_VERSION:
        problem = f"protocol version {version!r} is not supported; the client uses {PROTOCOL_VERSION}"
        raise VersionError(version, problem)
    if not answer["ok"]:
        return Answer(int(answer["id"]), None, str(answer["error"]))
    return Answer(int(answer["id"]), from_json(BODY_TYPES[verb], answer["body"], "body", WIRE_NAMES))
