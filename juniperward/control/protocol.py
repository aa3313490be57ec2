"""The control channel's protocol without sockets: frames, and the typed values that travel in them.

A frame is a length (4 bytes, big-endian) and so many bytes of JSON. A client sends one request at a time,
`{"v": 1, "id": N, "verb": "status"}`, and gets one answer, `{"v": 1, "id": N, "ok": true, "body": ...}` or
`{"v": 1, "id": N, "ok": false, "error": TEXT}`. Every value is typed once, here; all times are seconds.
Unknown fields of an answer are passed over, so that a newer forwarder can be asked by an older agent.
"""

from __future__ import annotations

import json
import struct
import types
import typing
from collections.abc import Callable
from dataclasses import asdict, dataclass, fields, is_dataclass
from enum import StrEnum
from typing import Any, TypeVar

from juniperward.control.errors import (
    FieldError,
    FrameLengthError,
    MalformedFrameError,
    NestingError,
    VersionError,
)

VERSION = 1
MAX_REQUEST_BYTES = 32 * 1024  # a request holds a few small fields, and up to MAX_IDS ids
MAX_IDS = 100
MAX_ANSWER_BYTES = 16 * 1024 * 1024  # thousands of destinations in one
MAX_NESTING = 4  # arrays and objects in a request: the decoder must not go down far in a small stack
MAX_REQUEST_NUMBER = 2**53  # what each JSON decoder reads as a whole number
FRAME_HEADER = struct.Struct("!I")

T = TypeVar("T")


class Verb(StrEnum):
    """What can be asked of a forwarder."""

    STATUS = "status"
    DESTINATIONS = "destinations"
    WORKERS = "workers"
    COUNTERS = "counters"
    DRAIN = "drain"
    RESUME = "resume"
    STOP = "stop"
    FATE = "fate"


@dataclass(frozen=True, slots=True)
class Request:
    """A question; `id` comes back with its answer."""

    id: int
    verb: Verb
    ids: tuple[str, ...] = ()  # of a `fate`: the resends that are asked about


@dataclass(frozen=True, slots=True)
class Status:
    """The state of one forwarder.

    `phase` is `serving`, `draining`, `drained` or `stopping`. `oldest_held` is the age of the oldest message
    held, `registry_age` the time since the registry's last word (negative before the first). The figures from
    `taken_on` on count since the start of the process; `calls_failed` are calls that ended neither delivered
    nor turned away.
    """

    name: str
    version: str
    pid: int
    started: float  # Unix time of the process's start
    phase: str
    ready: bool
    held: int
    offered: int
    owed: int
    calls_out: int
    slots: int
    max_open: int
    oldest_held: float
    journal_bytes: int
    journal_live: int
    registry_version: int
    registry_age: float
    destinations: int
    destinations_sick: int
    taken_on: int
    restored: int
    delivered: int
    given_up: int
    turned_away: int
    calls: int
    calls_failed: int
    broken: int  # invariants that did not hold
    kept: int = 0  # messages given up and kept
    kept_failed: int = 0  # given up and not kept, for want of room or by an error

    @property
    def owing(self) -> int:
        """Messages whose client has not been told an end yet."""
        return self.held + self.offered + self.owed


@dataclass(frozen=True, slots=True)
class Destination:
    """One destination as the decision module sees it.

    `health` is `well`, `failing`, `warming` or `unknown` (no call has ended yet). `pace` is in calls a
    second, None where there is none; `wait` is the rest of a told wait.
    """

    destination: int
    health: str
    waiting: int
    in_flight: int
    pace: float | None
    rating: float
    wait: float
    warming: float | None  # seconds since it answered again
    latency: float | None  # running mean
    endpoints: int


@dataclass(frozen=True, slots=True)
class WorkerRow:
    """One worker as the registry lists it, with what is out to it; `phase` is ready, draining or gone."""

    id: str
    address: str
    destination: int
    phase: str
    kind: int
    in_flight: int


@dataclass(frozen=True, slots=True)
class Counters:
    """All counters that are not zero, by name."""

    counters: dict[str, int]


@dataclass(frozen=True, slots=True)
class Rows:
    """The answer to `destinations` or to `workers`; one of the two is empty."""

    destinations: tuple[Destination, ...] = ()
    workers: tuple[WorkerRow, ...] = ()


@dataclass(frozen=True, slots=True)
class FateRow:
    """What became of a resend: held, delivered, undeliverable, deferred, or unknown (and never to be taken).

    `ran_at` is the Unix time of its first attempt that may have run.
    """

    id: str
    end: str
    ran_at: float | None = None


@dataclass(frozen=True, slots=True)
class Fates:
    """The answer to `fate`; of before `complete_since` (Unix time) an unknown id says nothing."""

    complete_since: float
    fates: tuple[FateRow, ...]


Body = Status | Rows | Counters | Fates
BODIES: dict[Verb, type[Any]] = {
    Verb.STATUS: Status,
    Verb.DESTINATIONS: Rows,
    Verb.WORKERS: Rows,
    Verb.COUNTERS: Counters,
    Verb.DRAIN: Status,
    Verb.RESUME: Status,
    Verb.STOP: Status,
    Verb.FATE: Fates,
}


@dataclass(frozen=True, slots=True)
class Answer:
    """What a forwarder says to a request: a body, or the text of an error."""

    id: int
    body: Body | None
    error: str = ""


# --- frames ---------------------------------------------------------------------------------------------


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
        raise MalformedFrameError("not a request", error) from error
    if version != VERSION:
        raise VersionError(version, f"version {version!r} is not spoken here; {VERSION} is")
    if type(number) is not int or not 0 <= number < MAX_REQUEST_NUMBER:
        raise FieldError("id", "a whole number is needed")
    if not isinstance(ids, list) or len(ids) > MAX_IDS or not all(isinstance(x, str) for x in ids):
        raise FieldError("ids", f"an array of {MAX_IDS} texts at most is needed")
    try:
        return Request(number, Verb(verb), tuple(ids))
    except ValueError as error:
        raise FieldError("verb", f"no such verb: {verb!r}") from error


def encode_answer(answer: Answer) -> bytes:
    """Return an answer as a frame."""
    row: dict[str, Any] = {"v": VERSION, "id": answer.id, "ok": answer.body is not None}
    if answer.body is None:
        row["error"] = answer.error
    else:
        row["body"] = asdict(answer.body)
    return frame(row)


def decode_answer(text: bytes, verb: Verb) -> Answer:
    """Read the answer to a request with this verb; raises ProtocolError, whatever came."""
    try:
        return _read_answer(json.loads(text), verb)
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise MalformedFrameError("not an answer", error) from error


def _read_answer(given: dict[str, Any], verb: Verb) -> Answer:
    version = given["v"]
    if version != VERSION:
        raise VersionError(version, f"an answer of version {version!r}; {VERSION} is spoken here")
    if not given["ok"]:
        return Answer(int(given["id"]), None, str(given["error"]))
    return Answer(int(given["id"]), typed(BODIES[verb], given["body"], "body"))


# --- typed values ---------------------------------------------------------------------------------------


def typed(kind: type[T], value: Any, place: str) -> T:
    """Make a value of plain JSON one of a dataclass; raises ProtocolError that names the place."""
    if not isinstance(value, dict):
        needed = f"an object is needed, not {type(value).__name__}"
        raise FieldError(place, needed)
    hints = typing.get_type_hints(kind)
    given = {
        name: _typed_field(hints[name], value[name], f"{place}.{name}")
        for name in (field.name for field in fields(kind))  # type: ignore[arg-type]
        if name in value
    }
    try:
        return kind(**given)
    except TypeError as error:
        raise FieldError(place, str(error)) from error


def _typed_field(hint: Any, value: Any, place: str) -> Any:
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin is types.UnionType:
        return None if value is None else _typed_field(arguments[0], value, place)
    if origin is tuple:
        return _typed_array(arguments[0], value, place)
    if origin is dict:
        return _typed_map(arguments[1], value, place)
    if is_dataclass(hint):
        return typed(typing.cast(type[Any], hint), value, place)
    if hint is float and type(value) in (int, float):
        return float(value)
    if type(value) is not hint:
        needed = f"{hint.__name__} is needed, not {value!r}"
        raise FieldError(place, needed)
    return value


def _typed_array(hint: Any, value: Any, place: str) -> tuple[Any, ...]:
    if not isinstance(value, list):
        raise FieldError(place, "an array is needed")
    return tuple(_typed_field(hint, item, f"{place}[{index}]") for index, item in enumerate(value))


def _typed_map(hint: Any, value: Any, place: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise FieldError(place, "an object is needed")
    return {str(key): _typed_field(hint, item, f"{place}.{key}") for key, item in value.items()}
