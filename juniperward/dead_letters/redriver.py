"""Redriving dead letters: one round at a time, through whatever hands the caller gives it.

A round takes in what the spools have, finds out what became of open redrives, looks at the destinations, and begins
as many redrives as the pace allows. Everything that outlasts a crash is in the store before it is acted on, so a
round that is cut off anywhere is simply begun again. The forwarders are reached through `Fleet` alone: the
agent's is real, the model check's is not.
"""

from __future__ import annotations

import contextlib
import math
from dataclasses import dataclass, field

from juniperward.dead_letters.decisions import (
    Clock,
    DeadLetter,
    Judgement,
    Pace,
    PaceRules,
    RedriveSafety,
    Rule,
    Status,
    adjust_pace,
    certain_now,
    judge_redrive,
    may_have_out,
    spend,
    wanted_by,
)
from juniperward.dead_letters.fleet import Fleet, ReportedOutcomes
from juniperward.dead_letters.resubmission import Resubmission
from juniperward.dead_letters.store import DeadLetterStore, Filter, Lease, LeaseLostError

PAGE_SIZE = 500  # messages looked at at once
MAX_PAGES = 4  # for one destination in a round
MAX_RETRY_WINDOW_S = 3600.0  # no class has a longer window of repeats
MAX_IDS_A_QUESTION = 100
TURN_MODULUS = 1009  # a prime: destinations take turns at being the first
DEFAULT_TIME_LEFT_S = 20.0  # of a class without its own
BEFORE_ALL = (-1.0, "")  # the place before the first message: time given up, id
ACCEPTED_OR_UNKNOWN = (200, 202, 0)
PENDING, UNKNOWN, NEVER_TAKEN, REFUSED = "held", "unknown", "never taken", "refused"


@dataclass(frozen=True, slots=True)
class RedriveRules:
    """The operator's settings for redrives (the settings file's `kept` part); times in seconds."""

    rules: tuple[Rule, ...] = ()
    pace: PaceRules = PaceRules()
    allowance: float = 0.5  # by which clocks that took part may differ
    time_left: dict[str, float] = field(default_factory=dict)  # of a redrive, by class
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
    # Redrives whose forwarder does not remember so far back.
    lost_memory: list[str] = field(default_factory=list)


class Redriver:
    """Holds the pace of each destination; everything else is in the store."""

    def __init__(self, store: DeadLetterStore, fleet: Fleet, rules: RedriveRules) -> None:
        """Begin with no pace to any destination; `rules` may be replaced between rounds."""
        self.store, self.fleet, self.rules = store, fleet, rules
        self.paces: dict[int, Pace] = {}
        self.refused: set[int] = set()  # destinations whose redrive came back refused since the last look
        self.turn = 0
        self.places: dict[int, tuple[float, str]] = {}  # how far each destination was looked through

    def round(self) -> Round:
        """Do all that can be done now."""
        done = Round()
        clock = self.fleet.clock()
        now = certain_now(clock, self.store.seen())
        self.store.see(Clock(now, clock.boot, clock.boot_id))
        done.taken_in = self.fleet.read_spools(self.store)
        self._settle(done, now)
        self._begin(done, now, clock.boot)
        return done

    def sweep(self) -> int:
        """Drop what the settings do not want stored any longer; return how many."""
        now = certain_now(self.fleet.clock(), self.store.seen())
        if not math.isfinite(now):
            return 0
        rules = self.rules
        return self.store.sweep(now, rules.most_age, rules.most, rules.most_bytes)

    # --- what became of them ----------------------------------------------------------------------------------

    def _settle(self, done: Round, now: float) -> None:
        by_forwarder: dict[str, list[Lease]] = {}
        for lease in self.store.open_redrives():
            by_forwarder.setdefault(lease.forwarder, []).append(lease)
            done.open += 1
        for forwarder, leases in by_forwarder.items():
            for first in range(0, len(leases), MAX_IDS_A_QUESTION):
                part = leases[first : first + MAX_IDS_A_QUESTION]
                reported = self.fleet.outcomes(forwarder, tuple(lease.redrive_id for lease in part))
                if reported is None:
                    continue  # its lease stays: nothing is concluded from silence
                for lease in part:
                    self._settle_one(done, lease, reported.get(lease.redrive_id), now)

    def _settle_one(self, done: Round, lease: Lease, reported: ReportedOutcomes | None, now: float) -> None:
        if reported is None or reported.end == PENDING:
            return
        end = reported.end
        if end == UNKNOWN:
            if reported.complete_since > lease.leased_at:
                done.lost_memory.append(lease.redrive_id)  # a person must settle it
                return
            end = NEVER_TAKEN  # and, having said so, the forwarder never will take it
        try:
            self.store.settle_redrive(lease, end, reported.ran_at, now)
        except LeaseLostError:
            return  # a person settled it meanwhile
        done.settled += 1
        done.open -= 1

    # --- what goes now ------------------------------------------------------------------------------------------

    def _begin(self, done: Round, now: float, steady: float) -> None:
        waiting = self.store.destinations()
        wished = self.store.destinations(wished=True)
        capacity = may_have_out(self.fleet.slots(), self.rules.pace) - done.open
        for destination in sorted(waiting, key=lambda number: (number + self.turn) % TURN_MODULUS):
            if not self.rules.rules and destination not in wished:
                continue  # nobody wants any of them sent
            begun = self._begin_destination(destination, capacity, now, steady)
            capacity -= begun
            done.begun += begun
        for gone in set(self.paces) - set(waiting):
            del self.paces[gone]
            self.places.pop(gone, None)
        self.turn += 1

    def _begin_destination(self, destination: int, capacity: int, now: float, steady: float) -> int:
        """Send as many of one destination's as its pace and `capacity` allow; return how many."""
        views = self.fleet.destination_views(destination)
        refused = destination in self.refused
        pace = adjust_pace(self.paces.get(destination, Pace()), views, refused, steady, self.rules.pace)
        self.refused.discard(destination)
        count = 0
        most = min(int(pace.tokens), capacity)
        for message in self._candidates(destination, most, now) if most > 0 else ():
            accepted = self._send(message, now)
            if accepted is None:
                break
            pace = spend(pace, 1)
            count += 1
            if not accepted:
                break
        self.paces[destination] = pace
        return count

    def _candidates(self, destination: int, most: int, now: float) -> list[DeadLetter]:
        """Return messages that may go and are wanted: those a window is closing on first, then the oldest.

        A few pages are looked at in a round, and the next round goes on behind them: what cannot go must not
        hide what can.
        """
        listed = self.fleet.endpoints(destination)
        chosen = self._closing(destination, listed, now)
        place = self.places.get(destination, BEFORE_ALL)
        for _ in range(MAX_PAGES):
            if len(chosen) >= most:
                break
            page = self.store.facts(Filter(stand=Status.STORED, destination=destination), PAGE_SIZE, place)
            known = {message.id for message in chosen}
            wanted = self._wanted(page, listed, now)
            chosen += [message for message, _ in wanted if message.id not in known]
            if len(page) < PAGE_SIZE:
                place = BEFORE_ALL
                break
            if len(chosen) < most:
                place = (page[-1].given_up_at, page[-1].id)
        self.places[destination] = place
        return chosen[:most]

    def _closing(self, destination: int, listed: frozenset[str] | None, now: float) -> list[DeadLetter]:
        """Return the messages whose retry window is closing, the first to close first."""
        closing = Filter(stand=Status.STORED, destination=destination, ran_since=now - MAX_RETRY_WINDOW_S)
        found = self._wanted(self.store.facts(closing, PAGE_SIZE), listed, now)
        found.sort(key=lambda pair: (pair[1].until, pair[0].given_up_at))
        return [message for message, _ in found]

    def _wanted(
        self, page: list[DeadLetter], listed: frozenset[str] | None, now: float
    ) -> list[tuple[DeadLetter, Judgement]]:
        """Return those of a page that may go and that somebody wants sent."""
        rules = self.rules
        judged = [(message, judge_redrive(message, now, listed, rules.allowance)) for message in page]
        return [
            (message, judgement)
            for message, judgement in judged
            if judgement.may_go and wanted_by(message, rules.rules, now)
        ]

    def _send(self, message: DeadLetter, now: float) -> bool | None:
        """Lease a message and hand it in.

        Returns whether it was accepted or may have been, None where nothing could be begun.
        """
        forwarders = self.fleet.forwarders()
        if not forwarders:
            return None
        forwarder = forwarders[self.turn % len(forwarders)]
        self.turn += 1
        by = wanted_by(message, self.rules.rules, now)
        try:
            lease = self.store.acquire_lease(message.id, None, forwarder, now, by)
        except LeaseLostError:
            return True  # somebody else was first; the next one is looked for
        return self._send_leased(message, lease)

    def _send_leased(self, message: DeadLetter, lease: Lease) -> bool:
        body = self.store.stored_body(message.id)
        # What has been read may be older than the lease: the clock is asked once more, and judged by anew.
        now = certain_now(self.fleet.clock(), self.store.seen())
        listed = frozenset(message.workers) or frozenset("?")
        judgement = judge_redrive(message, now, listed, self.rules.allowance)
        if judgement.kind is RedriveSafety.UNCERTAIN:
            self._release(lease, NEVER_TAKEN, now)
            return True
        resubmission = self._resubmission(message, lease, body, judgement.until, now)
        status = self.fleet.submit(lease.forwarder, resubmission).status
        if status in ACCEPTED_OR_UNKNOWN:
            return True  # where it is not known, the forwarder is asked in the next round
        self._release(lease, REFUSED if status > 0 else NEVER_TAKEN, now)
        self.refused.add(message.destination)
        return False

    def _resubmission(
        self, message: DeadLetter, lease: Lease, body: bytes, until: float, now: float
    ) -> Resubmission:
        time_left_s = min(self.rules.time_left.get(message.cls, DEFAULT_TIME_LEFT_S), until - now)
        ran_ago_s = (
            now - lease.ran_at if lease.ran_at is not None and message.effect != "repeatable" else None
        )
        return Resubmission(
            lease.redrive_id,
            message.cls,
            message.account,
            message.destination,
            message.key,
            body,
            time_left_s,
            ran_ago_s,
        )

    def _release(self, lease: Lease, end: str, now: float) -> None:
        with contextlib.suppress(LeaseLostError):
            self.store.settle_redrive(lease, end, None, now)
