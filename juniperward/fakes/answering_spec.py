"""The properties of a fake destination that gives every answer, and the forms of its stray answers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class StrayForm(StrEnum):
    """When a stray answer is sent, and what it is.

    Attributes:
        NONE: There is none.
        AFTER: A copy of the latest answer, up to 60 ms behind it, if no byte of the next call has arrived.
        FIRST_BYTE: A copy of the latest answer, at the first byte of the next call.
        LAST_BYTE: The same, at its last byte.
        BEHIND: The same, READING_S after its last byte.
        OLDER: A copy of any earlier answer of the connection, at the first byte.
        TWICE: Two copies of the latest answer, at the first byte.
        SPLIT: A copy of the latest answer, half of it at the first byte and half behind the last.
        NOISE: Bytes that are not HTTP, at the first byte.
        INTERIM: An interim response, at the first byte.
        TIMEOUT: A 408 and a close, at the first byte; the call is not read.
        MIXED: One of the other forms, drawn for each stray answer.
    """

    NONE = "none"
    AFTER = "after"
    FIRST_BYTE = "first-byte"
    LAST_BYTE = "last-byte"
    BEHIND = "behind"
    OLDER = "older"
    TWICE = "twice"
    SPLIT = "split"
    NOISE = "noise"
    INTERIM = "interim"
    TIMEOUT = "timeout"
    MIXED = "mixed"


SINGLE_FORMS = tuple(form for form in StrayForm if form not in (StrayForm.NONE, StrayForm.MIXED))
MAX_AFTER_S = 0.06
# A part of the answers comes much sooner than the others.
FAST_PROBABILITY = 0.25
MAX_FAST_S = 0.015


@dataclass(frozen=True, slots=True)
class AnsweringSpec:
    """The properties of a destination.

    Attributes:
        form: The form of its stray answers.
        fraction: The fraction of the calls on a reused connection that meet one.
        service_s: The shortest and the longest time of a call.
        cut: The fraction of the answers that break off at a random byte.
        deduplicates: Whether a second call of a message has no effect.
        kind: The destination's kind in the settings, which decides whether it takes batches.
    """

    destination: int
    form: StrayForm
    fraction: float = 0.5
    service_s: tuple[float, float] = (0.02, 0.25)
    cut: float = 0.2
    deduplicates: bool = True
    kind: str = "small-partners"
    endpoints: int = 4
