"""Makes an attempt on the thread of its call: gets a connection, sends the request and reads the answer.

`endpoint_client.py` calls `AttemptCalls.run`. The `AttemptStartedRecord` of each message is in the journal
before the first byte of the request is sent.
"""

from __future__ import annotations

import contextlib
import functools
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from juniperward.dead_letters.ownership import is_redrive_id
from juniperward.forwarder.active_call import ActiveCall
from juniperward.forwarder.address import format_address
from juniperward.forwarder.answers import read_outcomes, read_partial_outcomes, same_outcomes
from juniperward.forwarder.effects import StartAttempt
from juniperward.forwarder.endpoint_connection import EarlyBytesError, EndpointConnection
from juniperward.forwarder.endpoint_connections import EndpointConnections
from juniperward.forwarder.endpoint_requests import encode_attempt
from juniperward.forwarder.model import AttemptProgress, BatchItem, ItemOutcome, OutcomeNotification
from juniperward.forwarder.records import (
    AttemptStartedRecord,
    CompletedRecord,
    JournalRecord,
    OutcomeDecidedRecord,
)
from juniperward.forwarder.send_gate import SendGate
from juniperward.forwarder.stray_answers import report_stray_bytes
from juniperward.forwarder.telemetry import increment, log
from juniperward.forwarder.trace import Trace
from juniperward.net.http_errors import IncompleteMessageError, MalformedMessageError
from juniperward.net.http_responses import read_response
from juniperward.net.partial_response import NOTHING_KNOWN
from juniperward.scheduler.events import Outcome


@dataclass(frozen=True, slots=True)
class PreparedRequest:
    """An encoded request, and the attempt with the messages that it contains."""

    attempt: StartAttempt
    data: bytes


class AttemptCalls:
    """Makes attempts; safe to call from any thread.

    Attributes:
        stores_dead_letters: Whether the loop stores messages that get no further attempt.
        trace: Where answers are written, or None.
    """

    def __init__(
        self,
        connections: EndpointConnections,
        gate: SendGate,
        append: Callable[[JournalRecord], None],
    ) -> None:
        """Send only the attempts that `gate` allows; `append` writes to the journal and raises OSError."""
        self._connections, self._gate = connections, gate
        self.append = append
        self.stores_dead_letters = False
        self.trace: Trace | None = None

    def run(self, call: ActiveCall, attempt: StartAttempt) -> tuple[ItemOutcome, ...]:
        """Make an attempt and return the outcome of each of its messages."""
        connection = self._connections.connect(call)
        if connection is None:
            return same_outcomes(attempt, Outcome.CONNECT_FAILED, written=False)
        journalled = self._journal_starts(attempt, self._sendable(call, attempt, attempt.items))
        request = self._begin_writing(call, _with_items(attempt, journalled))
        if request is None:
            # The call was cancelled, the gate closed or the messages ended during a wait, or the journal failed.
            increment("attempts_withheld")
            connection.close()
            exchanged: tuple[ItemOutcome, ...] = ()
        else:
            withdrawn = len(attempt.items) - len(request.attempt.items)
            if withdrawn:
                increment("batch_items_withdrawn", withdrawn)
            exchanged = self._exchange(call, request, connection)
        return _all_outcomes(attempt, journalled, exchanged)

    def _sendable(
        self, call: ActiveCall, attempt: StartAttempt, items: tuple[BatchItem, ...]
    ) -> tuple[BatchItem, ...]:
        """Return the messages that may be sent now; none if the call must not be sent."""
        with self._gate.lock:
            return self._sendable_while_locked(call, attempt, items)

    def _sendable_while_locked(
        self, call: ActiveCall, attempt: StartAttempt, items: tuple[BatchItem, ...]
    ) -> tuple[BatchItem, ...]:
        # The caller holds the lock: a time read before the wait for it may be too old.
        now = time.monotonic()
        if call.cancelled or not self._gate.is_open(attempt, now):
            return ()
        in_time = [item for item in items if now < item.start_before]
        if len(in_time) < len(items):
            increment("deduplication_windows_missed", len(items) - len(in_time))
        return tuple(item for item in in_time if item.message not in call.withdrawn)

    def _journal_starts(self, attempt: StartAttempt, items: tuple[BatchItem, ...]) -> tuple[BatchItem, ...]:
        """Journal messages that are about to be sent, and return those for which that worked.

        They are journalled only now, after the wait for a connection, so that the messages of a process
        killed during that wait are restored as not attempted. The gate's lock is not held meanwhile, as the loop
        would wait for it.
        """
        return tuple(itertools.takewhile(lambda item: self._journal_start(attempt, item), items))

    def _begin_writing(self, call: ActiveCall, attempt: StartAttempt) -> PreparedRequest | None:
        """Return the request of the messages that may still be sent, None if there are none.

        Nothing may wait between this check and the write: journalling and encoding come before it.
        """
        items = attempt.items
        while items:
            attempt = _with_items(attempt, items)
            data = encode_attempt(attempt, time.monotonic())
            with self._gate.lock:
                items = self._sendable_while_locked(call, attempt, items)
                if len(items) == len(attempt.items):
                    call.progress = AttemptProgress.WRITING
                    return PreparedRequest(attempt, data)
        return None

    def _journal_start(self, attempt: StartAttempt, item: BatchItem) -> bool:
        """Write the record of a message; return False if that fails.

        A message without a record must not be sent: after a crash it would be restored as not attempted.
        """
        try:
            self.append(AttemptStartedRecord(item.content.id, time.monotonic(), attempt.endpoint_id))
        except OSError as error:
            increment("journal_failures")
            log("journal", "attempt not recorded; message not sent", message=item.content.id, error=error)
            return False
        return True

    def _exchange(
        self, call: ActiveCall, request: PreparedRequest, connection: EndpointConnection
    ) -> tuple[ItemOutcome, ...]:
        """Send the request and read its answer; the connection is closed then."""
        attempt = request.attempt
        try:
            connection.send(request.data)
        except OSError as error:
            return self._outcomes_of_failed_write(call, attempt, connection, error)
        with self._gate.lock:
            call.progress = AttemptProgress.WRITTEN
        connection.on_incomplete = functools.partial(self._heed_incomplete, call, attempt, connection)
        try:
            answer = read_response(connection.stream, connection.set_answer_begun)
        except (IncompleteMessageError, MalformedMessageError, OSError) as error:
            return self._outcomes_of_incomplete_answer(call, attempt, connection, error)
        if self.trace is not None:
            self.trace.write_answer(attempt.number, answer.status, answer.close, f"{dict(answer.headers)}")
        self._connections.release(call, connection, answer)
        return self._journal_ended(attempt, read_outcomes(attempt, answer))

    def _outcomes_of_failed_write(
        self, call: ActiveCall, attempt: StartAttempt, connection: EndpointConnection, error: OSError
    ) -> tuple[ItemOutcome, ...]:
        """Return the outcomes of a call whose last byte was not written, which never executes.

        What was received refers to the call only if some of it had been written; a Retry-After always counts.
        """
        connection.receive_available()
        if connection.received:
            report_stray_bytes("before the end of a call", connection.address)
        answer, retry_after_s = self._connections.release_incomplete(call, connection)
        without_answer = Outcome.CANCELLED if call.cancelled else Outcome.CONNECT_FAILED
        if isinstance(error, EarlyBytesError) and not error.request_begun:
            answer = NOTHING_KNOWN
        outcomes = read_partial_outcomes(attempt, answer, without_answer, retry_after_s)
        return self._journal_ended(attempt, outcomes)

    def _outcomes_of_incomplete_answer(
        self, call: ActiveCall, attempt: StartAttempt, connection: EndpointConnection, error: Exception
    ) -> tuple[ItemOutcome, ...]:
        answer, retry_after_s = self._connections.release_incomplete(call, connection)
        if not call.cancelled:
            increment("answers_incomplete")
            log(
                "endpoint",
                "answer incomplete; connection closed",
                endpoint=format_address(connection.address),
                message=attempt.items[0].content.id,
                messages=len(attempt.items),
                status=answer.status or "none",
                error=error,
            )
        without_answer = Outcome.CANCELLED if call.cancelled else Outcome.RESET
        outcomes = read_partial_outcomes(attempt, answer, without_answer, retry_after_s)
        return self._journal_ended(attempt, outcomes)

    def _heed_incomplete(
        self, call: ActiveCall, attempt: StartAttempt, connection: EndpointConnection
    ) -> None:
        """Heed what has arrived of an answer before the wait for its rest, during which the process may be killed."""
        answer = self._connections.heed_incomplete(call, connection)
        self._journal_ended(attempt, read_partial_outcomes(attempt, answer, Outcome.RESET))

    def _journal_ended(
        self, attempt: StartAttempt, outcomes: tuple[ItemOutcome, ...]
    ) -> tuple[ItemOutcome, ...]:
        """Journal at once that messages are over or out of attempts, and return the outcomes.

        A process that is killed before the loop has handled them must not attempt these messages again. Dead letters
        and the outcomes of redrives are stored first, by the loop.
        """
        ids = {item.message: item.content.id for item in attempt.items}
        for outcome in outcomes:
            record = self._final_record(ids[outcome.message], outcome)
            if record is not None:
                with contextlib.suppress(OSError):  # The loop writes it once more, and reports a failure.
                    self.append(record)
        return outcomes

    def _final_record(self, message_id: str, outcome: ItemOutcome) -> JournalRecord | None:
        if is_redrive_id(message_id):
            return None
        if outcome.message_ended:
            return CompletedRecord(message_id)
        if outcome.attempts_exhausted and not self.stores_dead_letters:
            return OutcomeDecidedRecord(OutcomeNotification(message_id))
        return None


def _with_items(attempt: StartAttempt, items: tuple[BatchItem, ...]) -> StartAttempt:
    """Return the attempt with these of its messages."""
    return attempt if len(items) == len(attempt.items) else replace(attempt, items=items)


def _all_outcomes(
    attempt: StartAttempt, journalled: tuple[BatchItem, ...], exchanged: tuple[ItemOutcome, ...]
) -> tuple[ItemOutcome, ...]:
    """Return the outcomes of all messages of an attempt; those without one were not sent.

    The journal has the attempt of each message in `journalled`, and needs its outcome.
    """
    if len(exchanged) == len(attempt.items):
        return exchanged
    in_journal = {item.message for item in journalled}
    outcomes = {
        item.message: ItemOutcome(item.message, Outcome.NOT_SENT, written=item.message in in_journal)
        for item in attempt.items
    }
    outcomes.update((outcome.message, outcome) for outcome in exchanged)
    return tuple(outcomes.values())
