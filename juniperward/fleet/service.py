"""How well a fleet serves, from what its instances count: the success rate of their attempts. Pure.

The agent's reducer feeds a `Meter` with readings; decisions about a roll and the status view look at its `recent`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from juniperward.fleet.model import Reading

SAMPLES_PER_HISTORY = 20  # totals that a meter stores for the time that it looks back


@dataclass(frozen=True, slots=True)
class Tally:
    """Attempts that finished: `succeeded` delivered, `failed` did not, or their message was given up."""

    succeeded: int = 0
    failed: int = 0

    @property
    def finished(self) -> int:
        """All that finished."""
        return self.succeeded + self.failed

    @property
    def success_rate(self) -> float | None:
        """The fraction of successful ones, from 0 to 1; None where nothing has finished."""
        return self.succeeded / self.finished if self.finished else None

    def __add__(self, other: Tally) -> Tally:
        """Return the sum of both counts."""
        return Tally(self.succeeded + other.succeeded, self.failed + other.failed)

    def __sub__(self, other: Tally) -> Tally:
        """Return what was counted since `other`."""
        return Tally(self.succeeded - other.succeeded, self.failed - other.failed)


def tally(reading: Reading) -> Tally:
    """Return what an instance has counted since its start; attempts that an endpoint rejected are no failure."""
    return Tally(reading.delivered, reading.attempts_failed + reading.given_up)


class ProcessCounts(NamedTuple):
    """What an instance's process had counted when it last answered."""

    pid: int
    counted: Tally


class Sample(NamedTuple):
    """The fleet's total at a time (s)."""

    at: float
    total: Tally


@dataclass(frozen=True, slots=True)
class Meter:
    """What the whole fleet has done over time; outlasts restarts of instances, whose counts begin anew."""

    total: Tally = Tally()
    latest: dict[str, ProcessCounts] = field(default_factory=dict)  # by instance
    samples: tuple[Sample, ...] = ()  # of the history, the oldest first

    def with_readings(self, now: float, readings: dict[str, Reading], history_s: float) -> Meter:
        """Return the meter after the latest readings of all instances that answer."""
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
        """Return what finished within the last seconds, or since the oldest sample."""
        older = [sample for sample in self.samples if now - sample.at >= window_s]
        if older:
            return self.total - older[-1].total
        if self.samples:
            return self.total - self.samples[0].total
        return Tally()
