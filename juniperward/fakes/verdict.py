"""The verdict on a run: the figures of the rules, the violations with their stories, and what was counted."""

from __future__ import annotations

from dataclasses import dataclass, field

from juniperward.fakes.records import AnyRecord

MAX_SHOWN = 10  # violations in a text for people


@dataclass(frozen=True, slots=True)
class Bounds:
    """Figures of the rules, in seconds; priority weights from 0 to 1."""

    drain: float = 0.25  # after being told, nothing new goes to a worker that drains
    wait_slack: float = 0.1  # calls that were under way when a wait was told
    end_slack: float = 0.3  # after its time, a message must have its end
    crossing: float = 0.05  # an answer and a notice may cross for so long
    restart_slack: float = 1.5  # no notice is overdue until so long after a forwarder is back
    latency_objective_s: float = 3.0  # a delivery within it has its whole priority weight
    deadline: float = 20.0
    late_weight: float = 0.3  # priority weight of a delivery at the deadline


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken."""

    rule: str
    what: str
    at: float
    text: str
    story: tuple[AnyRecord, ...]

    def __str__(self) -> str:
        """Return the violation with its story, a record a line."""
        lines = [f"{self.rule}: {self.what}: {self.text}"]
        lines += [f"  {record.at - self.at:+9.3f} s  {record}" for record in self.story]
        return "\n".join(lines)


@dataclass(slots=True)
class Verdict:
    """What the records of a run say."""

    violations: list[Violation] = field(default_factory=list)
    offered: int = 0  # messages that clients had, each with all its tries
    handed: int = 0  # tries
    taken: int = 0
    delivered: int = 0
    noticed: int = 0  # taken and ended by a notice
    refused: int = 0
    unanswered: int = 0
    calls: int = 0
    repeats: int = 0  # messages in calls beyond each message's first
    effects: int = 0
    unfinished: int = 0  # taken, its time not over when the records end
    priority_weight_delivered: float = 0.0  # priority weight delivered over priority weight asked for
    latencies: list[float] = field(default_factory=list)  # from due to effect, delivered ones
    by_account: dict[str, float] = field(default_factory=dict)

    @property
    def good(self) -> bool:
        """Whether every rule held."""
        return not self.violations

    def lines(self) -> list[str]:
        """Return the verdict for people, with the first violations."""
        found = [f"{len(self.violations)} violations"] if self.violations else ["every rule held"]
        return found + [str(violation) for violation in self.violations[:MAX_SHOWN]]
