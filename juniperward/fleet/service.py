"""How well a fleet serves, from what its instances count: the share of calls that deliver. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from juniperward.fleet.model import Reading


@dataclass(frozen=True, slots=True)
class Tally:
    """Calls that ended: `good` delivered, `bad` failed or were given up."""

    good: int = 0
    bad: int = 0

    @property
    def ended(self) -> int:
        """All that ended."""
        return self.good + self.bad

    @property
    def share(self) -> float | None:
        """The part of successful ones, from 0 to 1; None where nothing has ended."""
        return self.good / self.ended if self.ended else None

    def __add__(self, other: Tally) -> Tally:
        """Return the sum of both counts."""
        return Tally(self.good + other.good, self.bad + other.bad)

    def __sub__(self, other: Tally) -> Tally:
        """Return what was counted since `other`."""
        return Tally(self.good - other.good, self.bad - other.bad)


def tally(reading: Reading) -> Tally:
    """What an instance has counted since its start; attempts that an endpoint rejected are no failure."""
    return Tally(reading.delivered, reading.attempts_failed + reading.given_up)


@dataclass(frozen=True, slots=True)
class Meter:
    """What the whole fleet has done over time; survives restarts of instances, whose counts begin anew."""

    total: Tally = Tally()
    seen: dict[str, tuple[int, Tally]] = field(default_factory=dict)  # by instance: pid, latest counts
    marks: tuple[tuple[float, Tally], ...] = ()  # totals over the last `keep` seconds

    def read(self, now: float, readings: dict[str, Reading], keep: float) -> Meter:
        """Take in the latest readings of all instances that answer."""
        total, seen = self.total, dict(self.seen)
        for name, reading in readings.items():
            counted = tally(reading)
            pid, before = seen.get(name, (reading.pid, Tally()))
            total += counted - before if pid == reading.pid else counted
            seen[name] = (reading.pid, counted)
        marks = tuple(m for m in self.marks if now - m[0] <= keep)
        if not marks or now - marks[-1][0] >= keep / 20:
            marks = (*marks, (now, total))
        return Meter(total, seen, marks)

    def lately(self, now: float, window: float) -> Tally:
        """What ended within the last `window` seconds."""
        old = [t for at, t in self.marks if now - at >= window]
        base = old[-1] if old else (self.marks[0][1] if self.marks else self.total)
        return self.total - base
