"""The success rate of a fleet's attempts, computed from the counters of its instances. Pure functions.

The agent's reducer adds readings to a `Meter`; decisions about a roll and the status view use
`Meter.recent`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from juniperward.fleet.model import Reading

SAMPLES_PER_HISTORY = 20


@dataclass(frozen=True, slots=True)
class Tally:
    """Counts of finished attempts.

    Attributes:
        succeeded: Attempts that delivered their message.
        failed: Attempts that failed, and messages given up.

    """

    succeeded: int = 0
    failed: int = 0

    @property
    def finished(self) -> int:
        """The count of all finished attempts."""
        return self.succeeded + self.failed

    @property
    def success_rate(self) -> float | None:
        """The fraction of finished attempts that succeeded, from 0 to 1; None if none has finished."""
        return self.succeeded / self.finished if self.finished else None

    def __add__(self, other: Tally) -> Tally:
        """Return the sum of both counts."""
        return Tally(self.succeeded + other.succeeded, self.failed + other.failed)

    def __sub__(self, other: Tally) -> Tally:
        """Return the difference to an earlier count."""
        return Tally(self.succeeded - other.succeeded, self.failed - other.failed)


def tally(reading: Reading) -> Tally:
    """Return an instance's counts since the start of its process.

    Attempts that an endpoint rejected as overloaded are not counted.
    """
    return Tally(reading.delivered, reading.attempts_failed + reading.given_up)


class ProcessCounts(NamedTuple):
    """The counts in the latest reading of an instance's process."""

    pid: int
    counted: Tally


class Sample(NamedTuple):
    """The fleet's total at a time, in seconds of the agent's clock."""

    at: float
    total: Tally


@dataclass(frozen=True, slots=True)
class Meter:
    """The attempts of the whole fleet over time, including those before restarts of its instances.

    Attributes:
        total: The fleet's attempts since the meter was created.
        latest: The latest counts of each instance, by its name.
        samples: Earlier totals, the oldest first.

    """

    total: Tally = Tally()
    latest: dict[str, ProcessCounts] = field(default_factory=dict)
    samples: tuple[Sample, ...] = ()

    def with_readings(self, now: float, readings: dict[str, Reading], history_s: float) -> Meter:
        """Return the meter with new readings added; samples older than `history_s` seconds are dropped."""
        total, latest = self.total, dict(self.latest)
        for name, reading in readings.items():
            counted = tally(reading)
            before = latest.get(name, ProcessCounts(reading.pid, Tally()))
            same_process = before.pid == reading.pid
            total += counted - before.counted if same_process else counted
            latest[name] = ProcessCounts(reading.pid, counted)
        samples = tuple(sample for sample in self.samples if now - sample.at <= history_s)
        if not samples or now - samples[-1].at >= history_s / SAMPLES_PER_HISTORY:
            samples = (*samples, Sample(now, total))
        return Meter(total, latest, samples)

    def recent(self, now: float, window_s: float) -> Tally:
        """Return the attempts finished in the last `window_s` seconds, or since the oldest sample if it is newer."""
        older = [sample for sample in self.samples if now - sample.at >= window_s]
        if older:
            return self.total - older[-1].total
        if self.samples:
            return self.total - self.samples[0].total
        return Tally()
