"""One attempt, on the thread of its call: a connection, the records, the request, and the answer's outcomes.

`endpoint_client.py` calls `AttemptCalls.run`. The order of a message's steps: its `AttemptStartedRecord` in the
journal, then the first byte of its call.
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
    """Makes attempts; any number of threads may call it at once."""

    def __init__(
        self,
        connections: EndpointConnections,
        gate: SendGate,
        append: Callable[[JournalRecord], None],
    ) -> None:
        """Write calls that the gate lets pass; `append` writes to the journal and raises OSError."""
        self._connections, self._gate = connections, gate
        self.append = append
        self.trace: Trace | None = None

    def run(self, call: ActiveCall, attempt: StartAttempt) -> tuple[ItemOutcome, ...]:
        """Make an attempt; return the outcomes of all its messages."""
        connection = self._connections.connect(call)
        if connection is None:
            return same_outcomes(attempt, Outcome.CONNECT_FAILED, written=False)
        if connection.reused:
            increment("connections_reused")
        items = self._begin(call, attempt)
        if not items:
            # A drain or a Retry-After came while it waited for its connection.
            increment("attempts_withheld")
            self._connections.put_back(call, connection)
            return same_outcomes(attempt, Outcome.NOT_SENT, written=False)
        if len(items) == len(attempt.items):
            return self._exchange(call, attempt, connection)
        # The others ended meanwhile, and their clients were notified: written now, they would execute all the same.
        increment("batch_items_withdrawn", len(attempt.items) - len(items))
        not_sent = same_outcomes(attempt, Outcome.NOT_SENT, written=False)
        exchanged = self._exchange(call, replace(attempt, items=items), connection)
        outcomes = {outcome.message: outcome for outcome in not_sent + exchanged}
        return tuple(outcomes.values())

    def _begin(self, call: ActiveCall, attempt: StartAttempt) -> tuple[BatchItem, ...]:
        """Journal the messages that may still be written, and return them; none where the call must not be written.

        They are journalled here, before their first byte and not when the scheduler decided: a process killed
        while a call waits for its connection leaves its messages unattempted.
        """
        now = time.monotonic()
        with self._gate.lock:
            if call.cancelled or not self._gate.is_open(attempt, now):
                return ()
            items: list[BatchItem] = []
            for item in attempt.items:
                if item.message in call.withdrawn or now >= item.start_before:
                    continue
                if not self._journal(attempt, item, now):
                    break
                items.append(item)
            if items:
                call.progress = AttemptProgress.WRITING
            return tuple(items)

    def _journal(self, attempt: StartAttempt, item: BatchItem, now: float) -> bool:
        """Write a message's record; a message without it must not be written, it would come back as unattempted."""
        try:
            self.append(AttemptStartedRecord(item.content.id, now, attempt.endpoint_id))
        except OSError as error:
            increment("journal_failures")
            log("journal", "attempt not recorded", message=item.content.id, error=error)
            return False
        return True

    def _exchange(
        self, call: ActiveCall, attempt: StartAttempt, connection: EndpointConnection
    ) -> tuple[ItemOutcome, ...]:
        """Write a call and read its answer; the connection is put back, or closed."""
        try:
            connection.sock.sendall(encode_attempt(attempt, time.monotonic()))
        except OSError:
            connection.close()
            return same_outcomes(attempt, Outcome.CONNECT_FAILED)
        with self._gate.lock:
            call.progress = AttemptProgress.WRITTEN
        try:
            answer = read_response(connection.stream, connection.limit_transfer)
        except (IncompleteMessageError, MalformedMessageError, OSError) as error:
            connection.close()
            return _outcomes_without_answer(call, attempt, error)
        on_new_connection = not connection.reused
        if self.trace is not None:
            self.trace.write_answer(
                attempt.number, on_new_connection, answer.status, answer.close, f"{answer.headers}"
            )
        if connection.stream.buffer:
            # More bytes than one answer has; they must not become the next call's answer.
            increment("answers_with_excess")
        self._connections.release(call, connection, answer)
        return read_outcomes(attempt, answer, on_new_connection)


def _outcomes_without_answer(
    call: ActiveCall, attempt: StartAttempt, error: Exception
) -> tuple[ItemOutcome, ...]:
    if not call.cancelled:
        endpoint = format_address((attempt.host, attempt.port))
        increment("answers_incomplete")
        log("endpoint", "answer incomplete", endpoint=endpoint, error=error)
    # A status line with 200 has delivered a single message, whatever becomes of the rest of the answer.
    is_single = len(attempt.items) == 1
    delivered = is_single and getattr(error, "status", None) == HttpStatus.OK
    return same_outcomes(attempt, Outcome.OK if delivered else Outcome.RESET)
