"""Keeping what is given up: the reducer's `Keep` and `Remember` turned into lines of the spool."""

from __future__ import annotations

from dataclasses import replace

from juniperward.control.protocol import FateRow, Fates
from juniperward.forwarder.config import Names
from juniperward.forwarder.counters import count, log
from juniperward.forwarder.messages import Keep, Remember
from juniperward.kept.spool import Attempt, Fate, Kept, Spool
from juniperward.scheduler.settings import SchedulerSettings


class Keeper:
    """Used by the loop only. What cannot be written is counted and logged; the service goes on."""

    def __init__(self, spool: Spool, settings: SchedulerSettings, names: Names, to_unix: float) -> None:
        self.spool, self.settings, self.names, self.to_unix = spool, settings, names, to_unix

    def keep(self, effect: Keep) -> None:
        """Write a message that is given up to the spool."""
        c, cls, shift = effect.call, self.settings.classes[effect.call.cls], self.to_unix
        account = self.names.tenants[c.tenant] if self.names.tenants else ""
        attempts = tuple(Attempt(a.worker, a.at + shift, a.outcome, a.may_have_run) for a in effect.attempts)
        try:
            self.spool.keep(
                Kept(
                    c.id, self.names.classes[c.cls], account, c.destination, c.key, c.body,
                    effect.since + shift, effect.at + shift, attempts, cls.idempotency.value, cls.deduplication_window_s,
                    effect.workers,
                )
            )  # fmt: skip
            count("kept")
        except OSError as error:
            count("kept_failed")
            log("kept", f"{c.id} is given up and cannot be kept: {error}")

    def remember(self, effect: Remember) -> None:
        """Write down what became of a resend."""
        ran = effect.ran_at + self.to_unix if effect.ran_at is not None else None
        try:
            self.spool.remember(effect.id, Fate(effect.end, ran))
        except OSError as error:
            count("kept_failed")
            log("kept", f"the end of resend {effect.id} cannot be written: {error}")
            # Nothing may be concluded from its absence.
            self.spool.complete_since = float("inf")

    def fates(self, asked: Fates) -> Fates:
        """The reducer's answer with what the spool remembers put in: what is over it does not know any more."""
        rows = []
        for row in asked.fates:
            fate = self.spool.fates.get(row.id)
            rows.append(FateRow(row.id, fate.end, fate.ran_at) if fate is not None else row)
        since = min(self.spool.complete_since, 1e18)  # JSON has no infinity
        return replace(asked, complete_since=since, fates=tuple(rows))
