"""Answers of fake endpoints, drawn from all that the protocol allows, and what a part of them says.

A `PlannedAnswer` knows from which byte on it binds the forwarder, as it was built; it is never parsed. So the records
of a run have what an endpoint has said, whatever a forwarder made of it.
"""

from __future__ import annotations

import json
import random
from dataclasses import dataclass
from enum import StrEnum

from juniperward.fakes.record_index import UNANSWERED

STATUS_CODE_END = len("HTTP/1.1 200")
RETRY_AFTER_S = (0.1, 0.6)
# How often the answer to a batch is one status for all of its messages.
SAME_FOR_ALL_PROBABILITY = 0.3
# How often the answer to a batch with states has a Retry-After too.
BATCH_RETRY_AFTER_PROBABILITY = 0.1


class AnswerKind(StrEnum):
    """The rows of the protocol's table, for one message.

    The values of the kinds that a batch's answer can have for a message are its states there.
    """

    DELIVERED = "ok"
    ERROR = "error"
    REJECTED = "later"
    RATE_LIMITED = "rate limited"
    REJECTED_FOR_A_TIME = "rejected for a time"
    NO_SLOT = "no slot"
    EXHAUSTED = "exhausted"
    GONE = "gone"
    SILENT = "silent"  # Nothing comes until the forwarder closes the connection.
    DROPPED = "dropped"  # The connection ends without a byte.


# Kinds with a status of their own; the others have no answer.
STATUS_LINES = {
    AnswerKind.DELIVERED: "200 OK",
    AnswerKind.ERROR: "500 Internal Server Error",
    AnswerKind.REJECTED: "503 Service Unavailable",
    AnswerKind.RATE_LIMITED: "429 Too Many Requests",
    AnswerKind.REJECTED_FOR_A_TIME: "503 Service Unavailable",
    AnswerKind.NO_SLOT: "503 Service Unavailable",
    AnswerKind.EXHAUSTED: "504 Gateway Timeout",
    AnswerKind.GONE: "410 Gone",
}
KINDS_WITH_RETRY_AFTER = (AnswerKind.RATE_LIMITED, AnswerKind.REJECTED_FOR_A_TIME)
# Kinds that end a message, so that each of its calls gets the same answer.
FINAL_KINDS = (AnswerKind.GONE, AnswerKind.EXHAUSTED)
# Kinds that all messages of a batch may share as the status of its answer.
BATCH_STATUS_KINDS = (AnswerKind.ERROR, AnswerKind.REJECTED, AnswerKind.RATE_LIMITED)
KIND_WEIGHTS = {
    AnswerKind.DELIVERED: 0.5,
    AnswerKind.ERROR: 0.05,
    AnswerKind.REJECTED: 0.12,
    AnswerKind.RATE_LIMITED: 0.04,
    AnswerKind.REJECTED_FOR_A_TIME: 0.03,
    AnswerKind.NO_SLOT: 0.05,
    AnswerKind.SILENT: 0.02,
    AnswerKind.DROPPED: 0.04,
}
FINAL_PROBABILITY = 0.2
# The state in the records of a kind that a batch's answer can't have, and that never executed.
NEVER_EXECUTED = AnswerKind.REJECTED.value


class Ending(StrEnum):
    """How a connection ends behind the part of an answer that is sent."""

    RESET = "reset"
    END = "end"
    HANG = "hang"  # It stays open until the forwarder closes it.


@dataclass(frozen=True, slots=True)
class PlannedAnswer:
    """The bytes of an answer, and what they say.

    Attributes:
        states: The state of each message in the records, once the whole answer is sent.
        binding_from: For each message, the number of bytes with which its state is known.
        retry_after_s: The Retry-After, 0 if there is none.
        retry_after_from: The number of bytes with which the Retry-After is known.
    """

    data: bytes
    states: tuple[str, ...]
    binding_from: tuple[int, ...]
    retry_after_s: float = 0.0
    retry_after_from: int = 0

    def states_after(self, sent_bytes: int) -> tuple[str, ...]:
        """Return the state of each message that is known after a number of bytes; UNANSWERED if it is not."""
        return tuple(
            state if sent_bytes >= known_from else UNANSWERED
            for state, known_from in zip(self.states, self.binding_from, strict=True)
        )

    def retry_after(self, sent_bytes: int) -> float:
        """Return the Retry-After that is known after a number of bytes."""
        return self.retry_after_s if sent_bytes >= self.retry_after_from else 0.0


@dataclass(frozen=True, slots=True)
class CallPlan:
    """How a call is answered: with the first `sent_bytes` of an answer, after `service_s`; or not at all."""

    kind: AnswerKind
    answer: PlannedAnswer | None
    service_s: float
    sent_bytes: int = 0
    ending: Ending = Ending.END


def draw_kind(source: random.Random) -> AnswerKind:
    """Return a kind that does not end a message."""
    return source.choices(list(KIND_WEIGHTS), list(KIND_WEIGHTS.values()))[0]


def final_kind(seed: int, key: str) -> AnswerKind | None:
    """Return the kind of the answer that ends a message at its first call and all others, None for most messages."""
    source = random.Random(f"{seed} {key}")
    return source.choice(FINAL_KINDS) if source.random() < FINAL_PROBABILITY else None


def plan_answer(kind: AnswerKind, source: random.Random) -> PlannedAnswer:
    """Return the answer to a single message; the kind must have one."""
    retry_after_s = round(source.uniform(*RETRY_AFTER_S), 3) if kind in KINDS_WITH_RETRY_AFTER else 0.0
    data, retry_after_from = _encode(kind, retry_after_s, b"")
    match kind:
        case AnswerKind.DELIVERED:
            binding_from = data.index(b"\n") + 1
        case AnswerKind.GONE | AnswerKind.EXHAUSTED:
            binding_from = STATUS_CODE_END
        case _:
            binding_from = len(data)
    return PlannedAnswer(data, (state_of(kind),), (binding_from,), retry_after_s, retry_after_from)


def plan_batch_answer(
    ids: tuple[str, ...], kinds: tuple[AnswerKind, ...], source: random.Random
) -> PlannedAnswer:
    """Return an answer to a batch with the state of each message."""
    states = tuple(state_of(kind) for kind in kinds)
    retry_after_s = 0.0
    if source.random() < BATCH_RETRY_AFTER_PROBABILITY:
        retry_after_s = round(source.uniform(*RETRY_AFTER_S), 3)
    body, ends = b"[", list[int]()
    for message, state in zip(ids, states, strict=True):
        body += (b"," if ends else b"") + json.dumps({"id": message, "state": state}).encode()
        ends.append(len(body))
    data, retry_after_from = _encode(AnswerKind.DELIVERED, retry_after_s, body + b"]")
    body_at = len(data) - len(body) - 1
    binding_from = tuple(
        body_at + end if AnswerKind(state) in FINAL_KINDS else len(data)
        for state, end in zip(states, ends, strict=True)
    )
    return PlannedAnswer(data, states, binding_from, retry_after_s, retry_after_from)


def plan_same_for_all(kind: AnswerKind, messages: int, source: random.Random) -> PlannedAnswer:
    """Return an answer to a batch whose status holds for each of its messages."""
    single = plan_answer(kind, source)
    return PlannedAnswer(
        single.data,
        single.states * messages,
        single.binding_from * messages,
        single.retry_after_s,
        single.retry_after_from,
    )


def state_of(kind: AnswerKind) -> str:
    """Return the state in the records, and in a batch's answer, of a message with an answer of a kind."""
    batch_kinds = (AnswerKind.DELIVERED, AnswerKind.ERROR, *FINAL_KINDS)
    return kind.value if kind in batch_kinds else NEVER_EXECUTED


def _encode(kind: AnswerKind, retry_after_s: float, body: bytes) -> tuple[bytes, int]:
    """Return the bytes of an answer, and the number of them up to the end of Retry-After."""
    lines = [f"HTTP/1.1 {STATUS_LINES[kind]}"]
    if retry_after_s > 0:
        lines.append(f"Retry-After: {retry_after_s:.3f}")
    retry_after_from = len("\r\n".join(lines)) + 2
    if kind is AnswerKind.NO_SLOT:
        lines.append("X-Over-Slots: 1")
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body, retry_after_from
