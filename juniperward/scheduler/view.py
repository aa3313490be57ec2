"""What the decision module thinks of each destination, for people to look at; nothing here decides."""

from __future__ import annotations

from dataclasses import dataclass

from juniperward.scheduler.interface import Phase
from juniperward.scheduler.rules import Sender


@dataclass(frozen=True, slots=True)
class View:
    """One destination at a moment; times in seconds, the pace in calls a second.

    `health` is `well`, `failing` (held to trials), `warming` or `unknown` (nothing has ended there yet).
    """

    destination: int
    health: str
    waiting: int
    in_flight: int
    pace: float | None
    rating: float
    wait: float
    warming: float | None
    latency: float | None
    endpoints: int


def views(sender: Sender, now: float) -> tuple[View, ...]:
    """All destinations that the module knows, by number."""
    return tuple(_view(sender, number, now) for number in sorted(sender.dests))


def sick(sender: Sender) -> int:
    """How many destinations are held to trials."""
    return sum(any(e.route.sick for e in d.endpoints.values()) for d in sender.dests.values())


def _view(sender: Sender, number: int, now: float) -> View:
    d = sender.dests[number]
    routes = list({id(e.route): e.route for e in d.endpoints.values()}.values()) or [d.shared]
    cold = [r.cold_since for r in routes if r.cold_since is not None]
    warming = now - max(cold) if cold and now - max(cold) < sender.set.warm_within else None
    health = "well" if d.mean is not None else "unknown"
    if any(r.sick for r in routes):
        health = "failing"
    elif warming is not None:
        health = "warming"
    paces = [r.pace for r in routes if r.pace is not None]
    wait = max((r.wait_until for r in routes), default=now) - now
    ready = sum(e.phase is Phase.READY for e in d.endpoints.values())
    return View(
        number, health, d.waiting, d.slots, sum(paces) if paces else None, d.rating,
        max(wait, 0.0), warming, d.mean, ready,
    )  # fmt: skip
