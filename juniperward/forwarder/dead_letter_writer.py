"""Writes dead letters and the outcomes of redrives to the spool, from which the agent fetches them.

`effect_executor.py` calls it; `control_output.py` reads the outcomes of redrives from it.
"""

from __future__ import annotations

from dataclasses import replace

from juniperward.control.protocol import RedriveOutcomeRow, RedriveOutcomes
from juniperward.dead_letters.outcome import RedriveOutcome
from juniperward.dead_letters.spool import Spool
from juniperward.dead_letters.spool_format import SpooledAttempt, SpooledMessage
from juniperward.forwarder.effects import RecordRedriveOutcome, StoreDeadLetter
from juniperward.forwarder.settings_names import SettingsNames
from juniperward.forwarder.telemetry import increment, log
from juniperward.scheduler.settings import SchedulerSettings

MAX_UNIX_TIME_S = 1e18  # Replaces infinity, which JSON cannot encode.


class DeadLetterWriter:
    """Writes to the spool, on the loop's thread only. An error of the spool is counted and logged, not raised."""

    def __init__(
        self, spool: Spool, settings: SchedulerSettings, names: SettingsNames, unix_offset_s: float
    ) -> None:
        """Write to a spool; `unix_offset_s` is Unix time minus monotonic time."""
        self.spool = spool
        self._settings, self._names, self._unix_offset_s = settings, names, unix_offset_s

    def store(self, effect: StoreDeadLetter) -> None:
        """Write an undeliverable message to the spool."""
        try:
            self.spool.append(self._dead_letter(effect))
            increment("dead_letters_stored")
        except OSError as error:
            increment("dead_letters_failed")
            log("dead_letters", "dead letter not stored", message=effect.message.id, error=error)

    def _dead_letter(self, effect: StoreDeadLetter) -> SpooledMessage:
        message = effect.message
        message_class = self._settings.classes[message.class_index]
        attempts = tuple(
            SpooledAttempt(
                past.endpoint, past.started_at + self._unix_offset_s, past.outcome, past.possibly_executed
            )
            for past in effect.attempts
        )
        return SpooledMessage(
            message.id,
            self._names.classes[message.class_index],
            self._names.tenants[message.tenant] if self._names.tenants else "",
            message.destination,
            message.idempotency_key,
            message.body,
            effect.received_at + self._unix_offset_s,
            effect.given_up_at + self._unix_offset_s,
            attempts,
            message_class.idempotency,
            message_class.deduplication_window_s,
            effect.endpoints,
        )

    def record_redrive_outcome(self, effect: RecordRedriveOutcome) -> None:
        """Write the outcome of a redrive to the spool; where that fails, mark the outcomes as incomplete."""
        executed_at = effect.executed_at + self._unix_offset_s if effect.executed_at is not None else None
        try:
            self.spool.outcomes.record(effect.id, RedriveOutcome(effect.outcome, executed_at))
        except OSError as error:
            increment("dead_letters_failed")
            log(
                "dead_letters",
                "redrive outcome not stored; outcomes marked incomplete",
                redrive=effect.id,
                error=error,
            )
            self.spool.outcomes.mark_incomplete()

    def redrive_outcomes(self, known: RedriveOutcomes) -> RedriveOutcomes:
        """Return the reducer's answer, completed with the outcomes of finished redrives from the spool."""
        rows = []
        for row in known.outcomes:
            outcome = self.spool.outcomes.get(row.id)
            if outcome is not None:
                row = RedriveOutcomeRow(row.id, outcome.result, outcome.executed_at)
            rows.append(row)
        since = min(self.spool.outcomes.complete_since, MAX_UNIX_TIME_S)
        return replace(known, complete_since=since, outcomes=tuple(rows))
