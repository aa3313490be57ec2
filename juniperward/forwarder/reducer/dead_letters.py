"""Dead letters: stores messages that are given up, and records the outcomes of redrives.

Called by `Completion` with ended messages, and by `Attempts` and `Intake` with past attempts. It emits the
effects `StoreDeadLetter` and `RecordRedriveOutcome`, and does nothing if dead letters are disabled.
"""

from __future__ import annotations

from collections.abc import Iterable

from juniperward.dead_letters.ownership import is_redrive_id, should_dead_letter
from juniperward.forwarder.effects import RecordRedriveOutcome, StoreDeadLetter
from juniperward.forwarder.model import Endpoint, ItemOutcome, PastAttempt
from juniperward.forwarder.records import RecordedAttempt
from juniperward.forwarder.reducer.round import Round
from juniperward.forwarder.state import PendingMessage
from juniperward.forwarder.stored_outcomes import STORED_OUTCOMES, StoredOutcome


def is_redrive(pending: PendingMessage) -> bool:
    """Return whether a message is a redrive, that is a dead letter submitted again."""
    return is_redrive_id(pending.message.id)


class DeadLetters:
    """Stores dead letters and records redrive outcomes; owns `past_attempts` of pending messages."""

    def __init__(self, round_: Round, enabled: bool, stored_ids: frozenset[str]) -> None:
        """Store dead letters if `enabled`; `stored_ids` are the messages stored before a restart."""
        self._round = round_
        self._enabled = enabled
        self._stored_ids = stored_ids

    def was_stored(self, pending: PendingMessage) -> bool:
        """Return whether a message was stored as a dead letter before a restart."""
        return pending.message.id in self._stored_ids

    def add_attempt(self, pending: PendingMessage, endpoint: Endpoint, item: ItemOutcome) -> None:
        """Add an ended attempt to the history that is stored with a dead letter."""
        if self._enabled:
            pending.past_attempts.append(
                PastAttempt(
                    endpoint.id,
                    pending.attempt_started_at,
                    STORED_OUTCOMES[item.outcome],
                    possibly_executed=not item.outcome.never_executed,
                )
            )

    def restore_attempts(self, pending: PendingMessage, history: Iterable[RecordedAttempt]) -> None:
        """Set the attempt history of a restored message to the attempts before the restart."""
        if self._enabled:
            pending.past_attempts = [_restored_attempt(recorded) for recorded in history]

    def retry_after_s(self, pending: PendingMessage, retry_after_s: float | None) -> float | None:
        """Return the notification's Retry-After, or None (a failure) if the message is to be stored."""
        if not self._enabled or is_redrive(pending):
            return retry_after_s
        time_left_s = pending.expires_at - self._round.now
        return None if should_dead_letter(time_left_s, retry_after_s) else retry_after_s

    def given_up(self, pending: PendingMessage, retry_after_s: float | None) -> None:
        """Store a failed message as a dead letter, or record the outcome if it is a redrive."""
        if not self._enabled:
            return
        if is_redrive(pending):
            self._record_redrive_outcome(pending, "undeliverable" if retry_after_s is None else "deferred")
        elif retry_after_s is None and not self.was_stored(pending):
            self._store(pending)

    def answered(self, pending: PendingMessage, delivered: bool) -> None:
        """Record the outcome of a redrive that has a final response from an endpoint."""
        if self._enabled and is_redrive(pending):
            self._record_redrive_outcome(pending, "delivered" if delivered else "undeliverable")

    def _record_redrive_outcome(self, pending: PendingMessage, outcome: str) -> None:
        self._round.emit(RecordRedriveOutcome(pending.message.id, outcome, pending.executed_at))

    def _store(self, pending: PendingMessage) -> None:
        destination = pending.message.destination
        endpoints = self._round.state.directory.endpoints.values()
        ids = sorted(endpoint.id for endpoint in endpoints if endpoint.destination == destination)
        self._round.emit(
            StoreDeadLetter(
                pending.message,
                pending.received_at,
                self._round.now,
                tuple(pending.past_attempts),
                tuple(ids),
            )
        )


def _restored_attempt(recorded: RecordedAttempt) -> PastAttempt:
    outcome = StoredOutcome.UNKNOWN if recorded.possibly_executed else StoredOutcome.NEVER_EXECUTED
    return PastAttempt(recorded.endpoint, recorded.started_at, outcome, recorded.possibly_executed)
