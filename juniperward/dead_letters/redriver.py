"""Sending kept messages again: one round at a time, through whatever hands the caller gives it.

A round takes in what the spools have, finds out what became of open resends, looks at the destinations, and begins
as many resends as the pace allows. Everything that outlasts a crash is in the store before it is acted on, so a
round that is cut off anywhere is simply begun again. The world is reached through `World` alone: the agent's is
real, the model check's is not.
"""

from __future__ import annotations

import contextlib
import math
from dataclasses import dataclass, field
from typing import Protocol

from juniperward.dead_letters.decisions import (
    Clock,
    DeadLetter,
    DestinationView,
    Judgement,
    Pace,
    PaceRules,
    RedriveSafety,
    Rule,
    adjust_pace,
    certain_now,
    judge_redrive,
    may_have_out,
    spend,
    wanted_by,
)
from juniperward.dead_letters.resubmission import Resubmission
from juniperward.dead_letters.store import Claim, ClaimLostError, DeadLetterStore, Filter

PAGE = 500  # messages looked at at once
PAGES = 4  # of them for one destination in a round
MOST_WINDOW = 3600.0  # seconds; no class has a longer window of repeats
HELD = "held"


@dataclass(frozen=True, slots=True)
class ReportedOutcomes:
    """What a forwarder says became of a resend; of before `complete_since` an unknown id says nothing."""

    end: str
    ran_at: float | None
    complete_since: float


class World(Protocol):
    """What a round needs of the world."""

    def clock(self) -> Clock:
        """The present moment."""

    def forwarders(self) -> list[str]:
        """Those that take messages now."""

    def sights(self, destination: int) -> list[DestinationView]:
        """What each forwarder that answers tells of a destination."""

    def workers(self, destination: int) -> frozenset[str] | None:
        """The workers that the list has for a destination; None where no forwarder tells."""

    def slots(self) -> int:
        """All slots of the fleet."""

    def take_in(self, store: DeadLetterStore) -> int:
        """Take the spools in; how many messages were new."""

    def hand_in(self, forwarder: str, h: Resubmission) -> tuple[int, float]:
        """Status and told wait, as `handin.hand_in` has them."""

    def fates(self, forwarder: str, ids: tuple[str, ...]) -> dict[str, ReportedOutcomes] | None:
        """What became of resends; None where the forwarder does not answer."""


@dataclass(frozen=True, slots=True)
class ResendRules:
    """The operator's settings for resends; times in seconds."""

    rules: tuple[Rule, ...] = ()
    pace: PaceRules = PaceRules()
    allowance: float = 0.5  # by which clocks that took part may differ
    time_left: dict[str, float] = field(default_factory=dict)  # of a resend, by class
    most_age: float = 30 * 86400.0
    most: int = 1_000_000
    most_bytes: int = 2_000_000_000


@dataclass(slots=True)
class Round:
    """What one round did."""

    taken_in: int = 0
    begun: int = 0
    settled: int = 0
    open: int = 0
    lost_memory: list[str] = field(
        default_factory=list
    )  # resends whose forwarder does not remember so far back


class Redriver:
    """Holds the pace of each destination; everything else is in the store."""

    def __init__(self, store: DeadLetterStore, world: World, rules: ResendRules) -> None:
        self.store, self.world, self.rules = store, world, rules
        self.paces: dict[int, Pace] = {}
        self.refused: set[int] = set()  # destinations whose resend came back refused since the last look
        self.turn = 0
        self.places: dict[int, tuple[float, str]] = {}  # how far each destination was looked through

    def round(self) -> Round:
        """Do all that can be done now."""
        done = Round()
        clock = self.world.clock()
        now = certain_now(clock, self.store.seen())
        self.store.see(Clock(now, clock.boot, clock.boot_id))
        done.taken_in = self.world.take_in(self.store)
        self._settle(done, now)
        self._begin(done, now, clock.boot)
        return done

    def sweep(self) -> int:
        """Drop what the settings do not want kept any longer; how many."""
        now = certain_now(self.world.clock(), self.store.seen())
        r = self.rules
        return self.store.sweep(now, r.most_age, r.most, r.most_bytes) if math.isfinite(now) else 0

    # --- what became of them ----------------------------------------------------------------------------------

    def _settle(self, done: Round, now: float) -> None:
        by_forwarder: dict[str, list[Claim]] = {}
        for claim in self.store.open_resends():
            by_forwarder.setdefault(claim.forwarder, []).append(claim)
            done.open += 1
        for forwarder, claims in by_forwarder.items():
            for first in range(0, len(claims), 100):
                part = claims[first : first + 100]
                told = self.world.fates(forwarder, tuple(c.resend for c in part))
                if told is None:
                    continue  # it stays claimed: nothing is concluded from silence
                for claim in part:
                    self._one_fate(done, claim, told.get(claim.resend), now)

    def _one_fate(self, done: Round, claim: Claim, told: ReportedOutcomes | None, now: float) -> None:
        if told is None or told.end == HELD:
            return
        end, ran_at = told.end, told.ran_at
        if end == "unknown":
            if told.complete_since > claim.claimed_at:
                done.lost_memory.append(claim.resend)  # a person must settle it
                return
            end = "never taken"  # and, having said so, the forwarder never will take it
        try:
            self.store.settle_resend(claim, end, ran_at, now)
            done.settled += 1
            done.open -= 1
        except ClaimLostError:
            pass  # a person settled it meanwhile

    # --- what goes now ------------------------------------------------------------------------------------------

    def _begin(self, done: Round, now: float, steady: float) -> None:
        waiting = self.store.destinations()
        wished = self.store.destinations(wished=True)
        room = may_have_out(self.world.slots(), self.rules.pace) - done.open
        for destination in sorted(waiting, key=lambda d: (d + self.turn) % 1009):
            if not self.rules.rules and destination not in wished:
                continue  # nobody wants any of them sent
            pace = adjust_pace(
                self.paces.get(destination, Pace()), self.world.sights(destination), destination in self.refused,
                steady, self.rules.pace,
            )  # fmt: skip
            self.refused.discard(destination)
            if (most := min(int(pace.tokens), room)) > 0:
                for facts in self._candidates(destination, most, now):
                    begun = self._send(facts, now)
                    if begun is None:
                        break
                    pace, room = spend(pace, 1), room - 1
                    done.begun += 1
                    if not begun:
                        break
            self.paces[destination] = pace
        for gone in set(self.paces) - set(waiting):
            del self.paces[gone]
            self.places.pop(gone, None)
        self.turn += 1

    def _candidates(self, destination: int, most: int, now: float) -> list[DeadLetter]:
        """Messages that may go and are wanted: those a window is closing on first, then the oldest.

        A few pages are looked at in a round, and the next round goes on behind them: what cannot go must not
        hide what can.
        """
        listed = self.world.workers(destination)
        closing = Filter(stand="kept", destination=destination, ran_since=now - MOST_WINDOW)
        found = [(j.until, f) for f, j in self._judged(self.store.facts(closing, PAGE), listed, now)]
        found.sort(key=lambda x: (x[0], x[1].given_up_at))
        chosen = [f for _, f in found]
        place = self.places.get(destination, (-1.0, ""))
        for _ in range(PAGES):
            if len(chosen) >= most:
                break
            page = self.store.facts(Filter(stand="kept", destination=destination), PAGE, place)
            known = {f.id for f in chosen}
            chosen += [f for f, _ in self._judged(page, listed, now) if f.id not in known]
            if len(page) < PAGE:
                place = (-1.0, "")
                break
            if len(chosen) < most:
                place = (page[-1].given_up_at, page[-1].id)
        self.places[destination] = place
        return chosen[:most]

    def _judged(
        self, page: list[DeadLetter], listed: frozenset[str] | None, now: float
    ) -> list[tuple[DeadLetter, Judgement]]:
        judged = [(f, judge_redrive(f, now, listed, self.rules.allowance)) for f in page]
        return [(f, j) for f, j in judged if j.may_go and wanted_by(f, self.rules.rules, now)]

    def _send(self, facts: DeadLetter, now: float) -> bool | None:
        """Claim it and hand it in; whether it was taken or may have been, None where nothing could be begun."""
        forwarders = self.world.forwarders()
        if not forwarders:
            return None
        forwarder = forwarders[self.turn % len(forwarders)]
        self.turn += 1
        by = wanted_by(facts, self.rules.rules, now)
        try:
            claim = self.store.claim(facts.id, None, forwarder, now, by)
        except ClaimLostError:
            return True  # somebody else was first; the next one is looked for
        body = self.store.db.execute("SELECT body FROM message WHERE id = ?", (facts.id,)).fetchone()
        assert body is not None
        # What has been read may be older than the claim: the clock is asked once more, and judged by anew.
        later = certain_now(self.world.clock(), self.store.seen())
        judged = judge_redrive(facts, later, frozenset(facts.workers) or frozenset("?"), self.rules.allowance)
        if judged.kind is RedriveSafety.UNCERTAIN:
            self._settled(claim, "never taken", later)
            return True
        left = self.rules.time_left.get(facts.cls, 20.0)
        left = min(left, judged.until - later)
        ran = later - claim.ran_at if claim.ran_at is not None and facts.effect != "repeatable" else None
        h = Resubmission(
            claim.resend, facts.cls, facts.account, facts.destination, facts.key, bytes(body[0]), left, ran
        )
        status, _ = self.world.hand_in(forwarder, h)
        if status in (200, 202, 0):
            return True  # taken, or not known: the forwarder is asked in the next round
        # It answered that it does not take it, or nobody was there.
        self._settled(claim, "refused" if status > 0 else "never taken", later)
        self.refused.add(facts.destination)
        return False

    def _settled(self, claim: Claim, end: str, now: float) -> None:
        with contextlib.suppress(ClaimLostError):
            self.store.settle_resend(claim, end, None, now)
