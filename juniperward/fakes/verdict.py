"""The verdict on a run: its violations of the rules and its counts; and the bounds that the rules apply."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from juniperward.fakes.records import AnyRecord

MAX_SHOWN_VIOLATIONS = 10


class Rule(StrEnum):
    """The rules of the protocol that the checker applies.

    Attributes:
        ONE_OUTCOME: An accepted message is either delivered or notified as undelivered, in time, and not both.
        ONE_IN_FLIGHT: No attempt of a message starts while another one is in flight.
        ENDED_MESSAGES: No attempt of a message follows an answer that ended it (410, 504 and their batch states).
        ONE_EFFECT: No message takes effect twice.
        DRAINING: No new attempt goes to an endpoint that drains or is removed.
        RETRY_AFTER: No attempt goes to a destination within its Retry-After.
        KNOWN_MESSAGE: Attempts carry only messages that were submitted and not rejected, unchanged.
    """

    ONE_OUTCOME = "one outcome"
    ONE_IN_FLIGHT = "one in flight"
    ENDED_MESSAGES = "ended messages"
    ONE_EFFECT = "one effect"
    DRAINING = "draining"
    RETRY_AFTER = "retry after"
    KNOWN_MESSAGE = "known message"


@dataclass(frozen=True, slots=True)
class Bounds:
    """The time limits of the rules, and the parameters of the priority weight.

    Attributes:
        drain_grace_s: How long after a watch event new attempts may still go to a draining endpoint.
        retry_after_grace_s: How long after a Retry-After attempts may arrive that were already on their way.
        outcome_grace_s: How long after its deadline a message may be without an outcome.
        crossing_s: How long after a delivery a notification may follow because the two crossed on the network.
        restart_grace_s: The additional time for a notification after the forwarder has restarted.
        latency_objective_s: The latency up to which a delivery has its full priority weight.
        deadline_s: The latency after which a delivery has no priority weight.
        late_weight: The priority weight of a delivery at the deadline, from 0 to 1.
    """

    drain_grace_s: float = 0.25
    retry_after_grace_s: float = 0.1
    outcome_grace_s: float = 0.3
    crossing_s: float = 0.05
    restart_grace_s: float = 1.5
    latency_objective_s: float = 3.0
    deadline_s: float = 20.0
    late_weight: float = 0.3


DEFAULT_BOUNDS = Bounds()


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule.

    Attributes:
        subject: The message, endpoint or destination that it concerns.
        text: A description of the violation.
        related_records: The records that explain the violation, in order of time.
    """

    rule: Rule
    subject: str
    at: float
    text: str
    related_records: tuple[AnyRecord, ...]

    def __str__(self) -> str:
        """Return the violation and its related records, one per line, with their times relative to it."""
        lines = [f"{self.rule}: {self.subject}: {self.text}"]
        lines += [f"  {record.at - self.at:+9.3f} s  {record}" for record in self.related_records]
        return "\n".join(lines)


@dataclass(slots=True)
class Verdict:
    """The violations in the records of a run, and its counts.

    Attributes:
        offered: The number of messages of the clients; submissions of a message count as one.
        notified: The number of accepted messages that were not delivered and have a notification.
        rejected: The number of submissions that were rejected with 429 or 503.
        unanswered: The number of submissions without an answer.
        attempts: The number of attempts, counted once per message that they carried.
        retries: The part of `attempts` that is not the first of its message.
        effects: The number of idempotency keys that took effect at a destination.
        unfinished: The number of accepted messages whose outcome was not due yet at the end of the records.
        priority_weight_delivered: The fraction of the offered priority weight that was delivered.
        latencies_s: The time from a message's schedule to its delivery, of each delivered message.
        priority_weight_by_account: The fraction of the offered priority weight that was delivered, by account.
    """

    violations: list[Violation] = field(default_factory=list)
    offered: int = 0
    submissions: int = 0
    accepted: int = 0
    delivered: int = 0
    notified: int = 0
    rejected: int = 0
    unanswered: int = 0
    attempts: int = 0
    retries: int = 0
    effects: int = 0
    unfinished: int = 0
    priority_weight_delivered: float = 0.0
    latencies_s: list[float] = field(default_factory=list)
    priority_weight_by_account: dict[str, float] = field(default_factory=dict)

    @property
    def passed(self) -> bool:
        """Whether there is no violation."""
        return not self.violations

    def lines(self) -> list[str]:
        """Return a readable summary with the first MAX_SHOWN_VIOLATIONS violations."""
        summary = [f"{len(self.violations)} violations"] if self.violations else ["every rule held"]
        return summary + [str(violation) for violation in self.violations[:MAX_SHOWN_VIOLATIONS]]
