"""Makes an attempt on the thread of its call: gets a connection, sends the request and reads the answer.

`endpoint_client.py` calls `AttemptCalls.run`. The `AttemptStartedRecord` of each message is in the journal
before the first byte of the request is sent.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace

from juniperward.forwarder.active_call import ActiveCall
from juniperward.forwarder.address import format_address
from juniperward.forwarder.answers import read_outcomes, same_outcomes
from juniperward.forwarder.effects import StartAttempt
from juniperward.forwarder.endpoint_connection import EndpointConnection
from juniperward.forwarder.endpoint_connections import EndpointConnections
from juniperward.forwarder.endpoint_requests import encode_attempt
from juniperward.forwarder.model import AttemptProgress, BatchItem, ItemOutcome
from juniperward.forwarder.records import AttemptStartedRecord, JournalRecord
from juniperward.forwarder.send_gate import SendGate
from juniperward.forwarder.telemetry import increment, log
from juniperward.forwarder.trace import Trace
from juniperward.net.http_errors import IncompleteMessageError, MalformedMessageError
from juniperward.net.http_responses import read_response
from juniperward.net.http_status import HttpStatus
from juniperward.scheduler.events import Outcome


class AttemptCalls:
    """Makes attempts; safe to call from any thread."""

    def __init__(
        self,
        connections: EndpointConnections,
        gate: SendGate,
        append: Callable[[JournalRecord], None],
    ) -> None:
        """Send only the attempts that `gate` allows; `append` writes to the journal and raises OSError."""
        self._connections, self._gate = connections, gate
        self.append = append
        self.trace: Trace | None = None

    def run(self, call: ActiveCall, attempt: StartAttempt) -> tuple[ItemOutcome, ...]:
        """Make an attempt and return the outcome of each of its messages."""
        connection = self._connections.connect(call)
        if connection is None:
            return same_outcomes(attempt, Outcome.CONNECT_FAILED, written=False)
        if connection.reused:
            increment("connections_reused")
        items = self._journal_sendable(call, attempt)
        if not items:
            # The call was cancelled, the gate closed or the messages ended during the wait for a connection, or the
            # journal failed.
            increment("attempts_withheld")
            self._connections.put_back(call, connection)
            return same_outcomes(attempt, Outcome.NOT_SENT, written=False)
        if len(items) == len(attempt.items):
            return self._exchange(call, attempt, connection)
        # Messages that ended during the wait for a connection, or could not be journalled, are not sent.
        increment("batch_items_withdrawn", len(attempt.items) - len(items))
        not_sent = same_outcomes(attempt, Outcome.NOT_SENT, written=False)
        exchanged = self._exchange(call, replace(attempt, items=items), connection)
        outcomes = {outcome.message: outcome for outcome in not_sent + exchanged}
        return tuple(outcomes.values())

    def _journal_sendable(self, call: ActiveCall, attempt: StartAttempt) -> tuple[BatchItem, ...]:
        """Journal and return the messages that may still be sent; none if the call must not be sent.

        They are journalled only now, after the wait for a connection, so that the messages of a process
        killed during that wait are restored as not attempted.
        """
        now = time.monotonic()
        with self._gate.lock:
            if call.cancelled or not self._gate.is_open(attempt, now):
                return ()
            items: list[BatchItem] = []
            for item in attempt.items:
                if item.message in call.withdrawn or now >= item.start_before:
                    continue
                if not self._journal_start(attempt, item, now):
                    break
                items.append(item)
            if items:
                call.progress = AttemptProgress.WRITING
            return tuple(items)

    def _journal_start(self, attempt: StartAttempt, item: BatchItem, now: float) -> bool:
        """Write the record of a message; return False if that fails.

        A message without a record must not be sent: after a crash it would be restored as not attempted.
        """
        try:
            self.append(AttemptStartedRecord(item.content.id, now, attempt.endpoint_id))
        except OSError as error:
            increment("journal_failures")
            log("journal", "attempt not recorded; message not sent", message=item.content.id, error=error)
            return False
        return True

    def _exchange(
        self, call: ActiveCall, attempt: StartAttempt, connection: EndpointConnection
    ) -> tuple[ItemOutcome, ...]:
        """Send the request and read its answer; the connection is put back or closed."""
        try:
            connection.sock.sendall(encode_attempt(attempt, time.monotonic()))
        except OSError:
            connection.close()
            return same_outcomes(attempt, Outcome.CONNECT_FAILED)
        with self._gate.lock:
            call.progress = AttemptProgress.WRITTEN
        try:
            answer = read_response(connection.stream, connection.set_answer_begun)
        except (IncompleteMessageError, MalformedMessageError, OSError) as error:
            connection.close()
            return _outcomes_without_answer(call, attempt, error)
        on_new_connection = not connection.reused
        if self.trace is not None:
            self.trace.write_answer(
                attempt.number, on_new_connection, answer.status, answer.close, f"{dict(answer.headers)}"
            )
        if connection.stream.buffer:
            # `release` closes the connection, so that these bytes are not taken for the next answer.
            increment("answers_with_excess")
        self._connections.release(call, connection, answer)
        return read_outcomes(attempt, answer, on_new_connection)


def _outcomes_without_answer(
    call: ActiveCall, attempt: StartAttempt, error: Exception
) -> tuple[ItemOutcome, ...]:
    if not call.cancelled:
        endpoint = format_address((attempt.host, attempt.port))
        increment("answers_incomplete")
        log("endpoint", "answer incomplete; connection closed", endpoint=endpoint, error=error)
    # The status 200 means that a single message was delivered, even if the rest of the answer is lost.
    is_single = len(attempt.items) == 1
    delivered = is_single and getattr(error, "status", None) == HttpStatus.OK
    return same_outcomes(attempt, Outcome.OK if delivered else Outcome.RESET)
