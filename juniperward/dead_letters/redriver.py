"""Redrives dead letters in rounds; the agent's `DeadLetterService` runs one every 0.25 s.

A round reads the spools, settles open redrives, adjusts the rate of each destination, and begins as many
redrives as the rates allow. Each step is committed to the store before it takes effect outside, so after a
crash at any point the next round continues from the store.
"""

from __future__ import annotations

import contextlib
import math
from dataclasses import dataclass, field
from enum import Enum, auto

from juniperward.dead_letters import redrive_safety
from juniperward.dead_letters.candidates import Candidates, SelectionContext
from juniperward.dead_letters.clock import ClockReading, latest_possible_time
from juniperward.dead_letters.dead_letter import DeadLetter
from juniperward.dead_letters.fleet import Fleet
from juniperward.dead_letters.outcome import RedriveResult
from juniperward.dead_letters.redrive_rate import RedriveRate, adjust_rate, consume_tokens, max_in_flight
from juniperward.dead_letters.redrive_rules import requested_by
from juniperward.dead_letters.redrive_safety import RedriveSafety
from juniperward.dead_letters.redrive_settings import RedriveSettings
from juniperward.dead_letters.resubmission import NO_ANSWER, Resubmission
from juniperward.dead_letters.retention import RetentionLimits
from juniperward.dead_letters.selection import Lease
from juniperward.dead_letters.settlement import RedriveSettler
from juniperward.dead_letters.store import DeadLetterStore
from juniperward.dead_letters.store_errors import LeaseLostError
from juniperward.scheduler.settings import Idempotency

ROTATION_MODULUS = 1009  # A prime, so that every destination comes first in some round.
# The time left of a redrive if the settings have none for its message class.
DEFAULT_TIME_LEFT_S = 20.0
ACCEPTED_OR_UNKNOWN = (200, 202, NO_ANSWER)


class SendResult(Enum):
    """The result of submitting one candidate.

    Attributes:
        BEGUN: the forwarder accepted it or may have, or it was no longer eligible.
        REJECTED: the forwarder rejected it or was not reached, which ends this round for the destination.
    """

    BEGUN = auto()
    REJECTED = auto()
    NO_FORWARDER = auto()


@dataclass(slots=True)
class Round:
    """What one round did.

    Attributes:
        stored: how many messages it added to the store from the spools.
        begun: how many redrives it began.
        settled: how many redrives it settled.
        open: how many earlier redrives are still unsettled.
        unresolved: ids of redrives whose outcome their forwarder no longer knows. An operator must
            settle them.
    """

    stored: int = 0
    begun: int = 0
    settled: int = 0
    open: int = 0
    unresolved: list[str] = field(default_factory=list)


class Redriver:
    """Runs the rounds. The rates are kept in memory only; everything else is in the store."""

    def __init__(self, store: DeadLetterStore, fleet: Fleet, settings: RedriveSettings) -> None:
        """Create a redriver without rates; `settings` may be replaced between rounds."""
        self.store, self.fleet, self.settings = store, fleet, settings
        self.rates: dict[int, RedriveRate] = {}
        self._settler = RedriveSettler(store, fleet)
        self._candidates = Candidates(store)
        # The destinations with a rejection since their rate was adjusted.
        self._rejected: set[int] = set()
        self._rotation = 0

    def round(self) -> Round:
        """Run one round and return what it did."""
        clock = self.fleet.clock()
        now = latest_possible_time(clock, self.store.recorded_clock())
        self.store.record_clock(ClockReading(now, clock.boot, clock.boot_id))
        stored = self.fleet.read_spools(self.store)
        settlement = self._settler.settle(now)
        summary = Round(stored, 0, settlement.settled, settlement.open, settlement.unresolved)
        self._begin(summary, now, clock.boot)
        return summary

    def sweep(self) -> int:
        """Drop messages beyond the limits, or none while the time is unknown; return how many."""
        now = latest_possible_time(self.fleet.clock(), self.store.recorded_clock())
        if not math.isfinite(now):
            return 0
        limits = RetentionLimits(self.settings.max_age_s, self.settings.max_messages, self.settings.max_bytes)
        return self.store.sweep(now, limits)

    def _begin(self, summary: Round, now: float, boot_s: float) -> None:
        """Begin redrives to all destinations; `now` is Unix time, `boot_s` a monotonic clock."""
        waiting = self.store.destinations()
        requested = self.store.destinations(redrive_requested=True)
        capacity = max_in_flight(self.fleet.slots(), self.settings.rate_limits) - summary.open
        for destination in sorted(waiting, key=lambda number: (number + self._rotation) % ROTATION_MODULUS):
            if not self.settings.rules and destination not in requested:
                continue  # without rules, only requested messages are redriven
            begun = self._begin_destination(destination, capacity, now, boot_s)
            capacity -= begun
            summary.begun += begun
        for destination in set(self.rates) - set(waiting):
            del self.rates[destination]
            self._candidates.forget(destination)
        self._rotation += 1

    def _begin_destination(self, destination: int, capacity: int, now: float, boot_s: float) -> int:
        """Begin at most `capacity` redrives to one destination, as its rate allows; return how many."""
        rate = self._adjusted_rate(destination, boot_s)
        max_count = min(int(rate.tokens), capacity)
        candidates: list[DeadLetter] = []
        if max_count > 0:
            conditions = SelectionContext(self.fleet.endpoints(destination), now, self.settings)
            candidates = self._candidates.select(destination, max_count, conditions)
        count = 0
        for message in candidates:
            result = self._send(message, now)
            if result is SendResult.NO_FORWARDER:
                break
            rate = consume_tokens(rate, 1)
            count += 1
            if result is SendResult.REJECTED:
                break
        self.rates[destination] = rate
        return count

    def _adjusted_rate(self, destination: int, boot_s: float) -> RedriveRate:
        views = self.fleet.destination_views(destination)
        rejected = destination in self._rejected
        self._rejected.discard(destination)
        latest = self.rates.get(destination, RedriveRate())
        return adjust_rate(latest, views, rejected, boot_s, self.settings.rate_limits)

    def _send(self, message: DeadLetter, now: float) -> SendResult:
        """Lease a message and submit it to the next forwarder in rotation."""
        forwarders = self.fleet.forwarders()
        if not forwarders:
            return SendResult.NO_FORWARDER
        forwarder = forwarders[self._rotation % len(forwarders)]
        self._rotation += 1
        by = requested_by(message, self.settings.rules, now)
        try:
            lease = self.store.acquire_lease(message.id, None, forwarder, now, by)
        except LeaseLostError:
            return SendResult.BEGUN  # the message has changed since it was selected
        return self._send_leased(message, lease)

    def _send_leased(self, message: DeadLetter, lease: Lease) -> SendResult:
        body = self.store.stored_body(message.id)
        # Time has passed since the message was selected: check again that its redrive is safe.
        now = latest_possible_time(self.fleet.clock(), self.store.recorded_clock())
        current_endpoints = frozenset(message.endpoints) or frozenset("?")
        assessment = redrive_safety.assess_redrive(
            message, now, current_endpoints, self.settings.clock_allowance_s
        )
        if assessment.safety is RedriveSafety.UNCERTAIN:
            self._release(lease, RedriveResult.NEVER_ACCEPTED, now)
            return SendResult.BEGUN
        resubmission = self._resubmission(message, lease, body, assessment.deadline, now)
        status = self.fleet.submit(lease.forwarder, resubmission).status
        if status in ACCEPTED_OR_UNKNOWN:
            return SendResult.BEGUN  # the next round polls the forwarder for the outcome
        self._release(lease, RedriveResult.REJECTED if status > 0 else RedriveResult.NEVER_ACCEPTED, now)
        self._rejected.add(message.destination)
        return SendResult.REJECTED

    def _resubmission(
        self, message: DeadLetter, lease: Lease, body: bytes, deadline: float, now: float
    ) -> Resubmission:
        class_time_left_s = self.settings.time_left_s.get(message.class_name, DEFAULT_TIME_LEFT_S)
        executed_ago_s = None
        if lease.executed_at is not None and message.idempotency is not Idempotency.IDEMPOTENT:
            executed_ago_s = now - lease.executed_at
        return Resubmission(
            lease.redrive_id,
            message.class_name,
            message.account,
            message.destination,
            message.idempotency_key,
            body,
            time_left_s=min(class_time_left_s, deadline - now),
            executed_ago_s=executed_ago_s,
        )

    def _release(self, lease: Lease, result: RedriveResult, now: float) -> None:
        with contextlib.suppress(LeaseLostError):
            self.store.settle_redrive(lease, result, None, now)
