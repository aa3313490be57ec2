"""The verdict on a run: the bounds of the rules, the violations with their stories, and what was counted."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from juniperward.fakes.records import AnyRecord

MAX_SHOWN = 10  # violations in a text for people


class Rule(StrEnum):
    """The rules of the protocol page that the checker applies."""

    ONE_OUTCOME = "one outcome"  # an accepted message is delivered or notified, in time, and not both
    ONE_IN_FLIGHT = "one in flight"  # no attempt of a message begins while another is in flight
    ONE_EFFECT = "one effect"  # no message takes effect twice
    DRAINING = "draining"  # nothing new goes to an endpoint that drains or is removed
    RETRY_AFTER = "retry after"  # nothing goes to a destination before its Retry-After is over
    KNOWN_MESSAGE = "known message"  # only what a client submitted goes out, unchanged


@dataclass(frozen=True, slots=True)
class Bounds:
    """Figures of the rules, in seconds; priority weights from 0 to 1."""

    drain_grace_s: float = 0.25  # after the watch event, nothing new goes to an endpoint that drains
    retry_after_grace_s: float = 0.1  # for attempts that were under way when the Retry-After came
    outcome_grace_s: float = 0.3  # after its deadline, a message must have its outcome
    crossing_s: float = 0.05  # an answer and a notification may cross for so long
    restart_grace_s: float = 1.5  # no notification is overdue until so long after a forwarder runs again
    latency_objective_s: float = 3.0  # a delivery within it has all of its priority weight
    deadline_s: float = 20.0
    late_weight: float = 0.3  # priority weight of a delivery at the deadline


DEFAULT_BOUNDS = Bounds()


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken: by which message or endpoint, when, how, and all records about it."""

    rule: Rule
    subject: str
    at: float
    text: str
    story: tuple[AnyRecord, ...]

    def __str__(self) -> str:
        """Return the violation with its story, a record a line."""
        lines = [f"{self.rule}: {self.subject}: {self.text}"]
        lines += [f"  {record.at - self.at:+9.3f} s  {record}" for record in self.story]
        return "\n".join(lines)


@dataclass(slots=True)
class Verdict:
    """What the records of a run say."""

    violations: list[Violation] = field(default_factory=list)
    offered: int = 0  # messages that clients had, each with all its submissions
    submissions: int = 0
    accepted: int = 0
    delivered: int = 0
    notified: int = 0  # accepted, not delivered, and a notification has said so
    rejected: int = 0
    unanswered: int = 0
    attempts: int = 0
    retries: int = 0  # messages in attempts beyond each message's first
    effects: int = 0
    unfinished: int = 0  # accepted, its time not over when the records end
    priority_weight_delivered: float = 0.0  # over the priority weight offered
    latencies_s: list[float] = field(default_factory=list)  # of the delivered, from when they were scheduled
    priority_weight_by_account: dict[str, float] = field(default_factory=dict)

    @property
    def passed(self) -> bool:
        """Whether every rule held."""
        return not self.violations

    def lines(self) -> list[str]:
        """Return the verdict for people, with the first violations."""
        found = [f"{len(self.violations)} violations"] if self.violations else ["every rule held"]
        return found + [str(violation) for violation in self.violations[:MAX_SHOWN]]
