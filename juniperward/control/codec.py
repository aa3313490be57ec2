"""The control channel's frames: values to bytes and back, without sockets.

A frame is a length (4 bytes, big-endian) and so many bytes of JSON. A client sends one request at a time,
`{"v": 1, "id": N, "verb": "status"}`, and gets one answer, `{"v": 1, "id": N, "ok": true, "body": ...}` or
`{"v": 1, "id": N, "ok": false, "error": TEXT}`.
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
    BODIES,
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

VERSION = 1
MAX_REQUEST_BYTES = 32 * 1024  # a request holds a few small fields, and up to MAX_IDS ids
MAX_IDS = 100
MAX_ANSWER_BYTES = 16 * 1024 * 1024  # thousands of destinations in one
MAX_NESTING = 4  # arrays and objects in a request: the decoder must not go down far in a small stack
MAX_REQUEST_NUMBER = 2**53  # what each JSON decoder reads as a whole number
FRAME_HEADER = struct.Struct("!I")
WIRE_NAMES = {  # of the fields that have another name on the wire
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
    """Return a value as a frame."""
    text = json.dumps(value, separators=(",", ":")).encode()
    return FRAME_HEADER.pack(len(text)) + text


def read_frame(exactly: Callable[[int], bytes], limit: int) -> bytes:
    """Return the text of the next frame; `exactly` gives so many bytes or raises.

    Raises:
        FrameLengthError: for a frame that is empty or longer than `limit` bytes.

    """
    (length,) = FRAME_HEADER.unpack(exactly(FRAME_HEADER.size))
    if not 0 < length <= limit:
        raise FrameLengthError(length, limit)
    return exactly(length)


def encode_request(request: Request) -> bytes:
    """Return a request as a frame."""
    more = {"ids": request.ids} if request.ids else {}
    return frame({"v": VERSION, "id": request.id, "verb": request.verb.value, **more})


def decode_request(text: bytes) -> Request:
    """Read a request; raises ProtocolError, whatever came."""
    if text.count(b"{") + text.count(b"[") > MAX_NESTING:
        raise NestingError
    try:
        given = json.loads(text)
        version, number, verb = given["v"], given["id"], given["verb"]
        ids = given.get("ids", [])
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise MalformedRequestError(error) from error
    if version != VERSION:
        why = f"version {version!r} is not spoken here; {VERSION} is"
        raise VersionError(version, why)
    if type(number) is not int or not 0 <= number < MAX_REQUEST_NUMBER:
        raise FieldError("id", "a whole number is needed")
    if not isinstance(ids, list) or len(ids) > MAX_IDS or not all(isinstance(x, str) for x in ids):
        raise FieldError("ids", f"an array of {MAX_IDS} texts at most is needed")
    try:
        return Request(number, Verb(verb), tuple(ids))
    except ValueError as error:
        raise FieldError("verb", f"no such verb: {verb!r}") from error


def body_to_json(body: Body) -> Any:
    """Return a body as JSON values, with the wire's names."""
    return to_json(body, WIRE_NAMES)


def encode_answer(answer: Answer) -> bytes:
    """Return an answer as a frame."""
    row: dict[str, Any] = {"v": VERSION, "id": answer.id, "ok": answer.body is not None}
    if answer.body is None:
        row["error"] = answer.error
    else:
        row["body"] = body_to_json(answer.body)
    return frame(row)


def decode_answer(text: bytes, verb: Verb) -> Answer:
    """Read the answer to a request with this verb; raises ProtocolError, whatever came."""
    try:
        return _read_answer(json.loads(text), verb)
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise MalformedAnswerError(error) from error


def _read_answer(given: dict[str, Any], verb: Verb) -> Answer:
    version = given["v"]
    if version != VERSION:
        why = f"an answer of version {version!r}; {VERSION} is spoken here"
        raise VersionError(version, why)
    if not given["ok"]:
        return Answer(int(given["id"]), None, str(given["error"]))
    return Answer(int(given["id"]), from_json(BODIES[verb], given["body"], "body", WIRE_NAMES))
