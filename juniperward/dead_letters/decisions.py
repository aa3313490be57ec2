"""What may be sent again, which of it goes now, and how fast. Pure: no clock, no I/O.

All moments are Unix time by the clock of the machine on which the message was given up. The one who asks brings a
`now` that he is sure of (`certain_now`): a window that has closed must not open again because a clock was set back.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import StrEnum

MARGIN = 0.25  # seconds kept clear of a window's end
TRIAL = 3.0  # seconds between resends that try a destination which no live message tries
STALE = 10.0  # seconds after which a pace begins anew
LEAST_LEFT = 0.5  # seconds of a window that must be left for a resend to be begun


class RedriveSafety(StrEnum):
    """What is known of whether a message has taken effect."""

    SAFE = "safe"  # no attempt may have run, or repeats do no harm
    IN_WINDOW = "in window"  # one may have run, and the partner still drops a repeat
    UNCERTAIN = "uncertain"  # one may have run, and a repeat could take a second effect


class Status(StrEnum):
    """Where a dead letter stands; the values are those written in the store."""

    STORED = "kept"
    LEASED = "claimed"  # a redrive of it is under way, or its end is not known
    DELIVERED = "delivered"
    DISCARDED = "discarded"


@dataclass(frozen=True, slots=True)
class DeadLetter:
    """What decides about one message; times are Unix time."""

    id: str
    stand: Status
    effect: str  # repeatable, by_key or once
    window: float
    ran_at: float | None  # when it first may have run, over all attempts and resends; None: it never did
    destination: int
    cls: str
    account: str
    given_up_at: float
    resends: int = 0
    wished: bool = False  # a person asked for it to be sent again
    partner_sure: bool = False  # a person said that the number still means the same partner
    workers: tuple[str, ...] = ()  # its destination's, when it was given up
    key: str | None = None


@dataclass(frozen=True, slots=True)
class Judgement:
    """Whether a message may be sent again, until when, and why or why not."""

    kind: RedriveSafety
    may_go: bool
    until: float = math.inf  # a resend must be over by then
    why: str = ""


@dataclass(frozen=True, slots=True)
class Clock:
    """A moment by two clocks: `wall` can be set, `boot` (seconds since `boot_id` began) cannot."""

    wall: float
    boot: float
    boot_id: str


def certain_now(clock: Clock, seen: Clock | None) -> float:
    """The latest that it can be: never earlier than what was seen before and what has passed since.

    Where the machine was started anew and its wall clock stands before what was seen, what passed meanwhile
    cannot be known: infinity, with which every window is closed.
    """
    if seen is None:
        return clock.wall
    if clock.boot_id == seen.boot_id:
        return max(clock.wall, seen.wall + max(clock.boot - seen.boot, 0.0))
    return clock.wall if clock.wall >= seen.wall else math.inf


def judge_redrive(m: DeadLetter, now: float, listed: frozenset[str] | None, allowance: float) -> Judgement:
    """The verdict on one message.

    `listed` are the workers that its destination has now (None: not known), `allowance` the seconds by which
    the clocks that took part may differ.
    """
    kind, until, why = _kind(m, now, allowance)
    if m.stand is not Status.STORED:
        return Judgement(kind, False, until, f"it is {m.stand.value}")
    if kind is RedriveSafety.UNCERTAIN:
        return Judgement(kind, False, until, why)
    if listed is None:
        return Judgement(kind, False, until, "no forwarder has told who its destination is")
    if not listed:
        return Judgement(kind, False, until, f"destination {m.destination} has no workers")
    if m.workers and not listed.intersection(m.workers) and not m.partner_sure:
        text = f"no worker of destination {m.destination} is left from then: it may be another partner now"
        return Judgement(kind, False, until, text)
    return Judgement(kind, True, until, why)


def _kind(m: DeadLetter, now: float, allowance: float) -> tuple[RedriveSafety, float, str]:
    if m.effect == "repeatable":
        return RedriveSafety.SAFE, math.inf, "its class may be repeated"
    if m.ran_at is None:
        return RedriveSafety.SAFE, math.inf, "no attempt may have run"
    if m.effect != "by_key" or m.key is None:
        return RedriveSafety.UNCERTAIN, 0.0, "an attempt may have run, and its class may not be repeated"
    until = m.ran_at + m.window - MARGIN - allowance
    if now < m.ran_at - allowance:
        return (
            RedriveSafety.UNCERTAIN,
            0.0,
            "an attempt may have run, at a time that this clock has not reached",
        )
    if now + LEAST_LEFT >= until:
        return (
            RedriveSafety.UNCERTAIN,
            until,
            "an attempt may have run, and its partner may not drop a repeat any more",
        )
    return (
        RedriveSafety.IN_WINDOW,
        until,
        f"an attempt may have run; a repeat is dropped for {until - now:.1f} s more",
    )


# --- rules ---------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Rule:
    """Which messages go by themselves; empty sets take all. Ages in seconds, hours of the day in UTC."""

    name: str
    destinations: frozenset[int] = frozenset()
    classes: frozenset[str] = frozenset()
    accounts: frozenset[str] = frozenset()
    least_age: float = 0.0
    most_age: float = math.inf
    most_resends: int = 3
    from_hour: float = 0.0
    to_hour: float = 24.0


def matches(rule: Rule, m: DeadLetter, now: float) -> bool:
    """Whether a rule would have this message go now, if it may."""
    age = now - m.given_up_at
    hour = now / 3600 % 24 if math.isfinite(now) else 0.0
    inside = rule.from_hour <= hour < rule.to_hour
    if rule.from_hour > rule.to_hour:  # over midnight
        inside = hour >= rule.from_hour or hour < rule.to_hour
    return (
        inside
        and (not rule.destinations or m.destination in rule.destinations)
        and (not rule.classes or m.cls in rule.classes)
        and (not rule.accounts or m.account in rule.accounts)
        and rule.least_age <= age <= rule.most_age
        and m.resends < rule.most_resends
    )


def wanted_by(m: DeadLetter, rules: Iterable[Rule], now: float) -> str:
    """Who wants it sent: `a person`, a rule's name, or nobody (empty)."""
    if m.wished:
        return "a person"
    return next((r.name for r in rules if matches(r, m, now)), "")


# --- pace ----------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class PaceRules:
    """How fast resends go to a destination, from all instances together; rates in messages a second."""

    first: float = 1.0  # after the forwarders call it well
    step: float = 1.0  # added for each second without a refusal
    cut: float = 0.5  # x at a refusal or a told wait
    most: float = 50.0
    share_of_rate: float = 0.25  # of the rate that the list gives
    share_of_slots: float = 0.25  # of the fleet's slots that resends may have out


@dataclass(frozen=True, slots=True)
class DestinationView:
    """What one instance tells of a destination."""

    health: str
    wait: float
    paced: bool  # it was refused lately
    rating: float
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class Pace:
    """The pace to one destination; `tokens` are resends that may go now."""

    rate: float = 0.0
    at: float = 0.0
    tokens: float = 0.0
    cut_at: float = -math.inf
    trial_at: float = -math.inf
    why: str = "not looked at yet"


def adjust_pace(
    pace: Pace, sights: list[DestinationView], refused: bool, now: float, rules: PaceRules
) -> Pace:
    """The pace after a look at all instances; `now` here is any clock that does not jump.

    A destination that any instance holds to trials or warms up gets nothing: it is cold, and what the forwarders
    allow it is for live traffic. A wait that any was told binds all. Live messages that wait for it go first.
    """
    if now - pace.at > STALE:
        pace = Pace(cut_at=pace.cut_at, trial_at=pace.trial_at)  # what it could take then says nothing of now
    passed = min(max(now - pace.at, 0.0), 1.0) if pace.at else 0.0
    if not sights:
        return Pace(0.0, now, 0.0, pace.cut_at, pace.trial_at, "no instance answers")
    unhealthy = [s.health for s in sights if s.health in ("failing", "warming")]
    if unhealthy:
        # Nobody probes: with no live message for it, an outage would never be seen to end. One resend at a time
        # may be what the forwarders try it with; when they do is theirs to say.
        still = all(s.waiting == 0 for s in sights) and "warming" not in unhealthy
        if still and now - pace.trial_at >= TRIAL:
            return Pace(0.0, now, 1.0, pace.cut_at, now, "it is failing; one goes to try it")
        return Pace(0.0, now, 0.0, pace.cut_at, pace.trial_at, f"it is {unhealthy[0]}")
    if any(s.wait > 0 for s in sights):
        return Pace(pace.rate * rules.cut, now, 0.0, now, pace.trial_at, "a wait was told")
    rating = max(s.rating for s in sights)
    most = min(rules.most, rules.share_of_rate * rating if rating > 0 else math.inf)
    rate = max(pace.rate, min(rules.first, most))
    cut_at = pace.cut_at
    if refused or any(s.paced for s in sights):
        if now - cut_at >= 1.0:
            rate, cut_at = rate * rules.cut, now
    elif now - cut_at >= 1.0:
        rate += rules.step * passed
    rate = min(rate, most)
    if sum(s.waiting for s in sights) > sum(s.slots for s in sights):
        return Pace(rate, now, 0.0, cut_at, pace.trial_at, "live messages wait for it")
    tokens = min(pace.tokens + rate * passed, max(rate, 1.0))
    return Pace(rate, now, tokens, cut_at, pace.trial_at, f"{rate:.1f} a second")


def spend(pace: Pace, count: int) -> Pace:
    """The pace after so many resends."""
    return replace(pace, tokens=pace.tokens - count)


def may_have_out(slots: int, rules: PaceRules) -> int:
    """How many resends may be under way in the whole fleet; at least one."""
    return max(int(rules.share_of_slots * slots), 1)
