"""The reducer's state: messages, attempts in flight, endpoints, notifications and lifecycle.

Each docstring names the owner, the only handler that writes this state, and its bound. Times (`_at`,
`_until`, `_by`) are seconds of the monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from juniperward.forwarder.events import MessageReceived
from juniperward.forwarder.model import Endpoint, Message, OutcomeNotification, PastAttempt, message_bytes

# The id of a completed message takes this much beside its characters, for its objects and the table's entry.
COMPLETED_ID_OVERHEAD_BYTES = 180


@dataclass(slots=True, eq=False)
class PendingMessage:
    """A message without a final outcome, accepted or being accepted.

    Created by Intake; then written by Attempts only, except `past_attempts`, which DeadLetters writes.

    Attributes:
        number: The message's number in this process.
        expires_at: When the message is given up, before the client's deadline by the time that a
            notification takes.
        received_at: When this process received the message, or restored it from the journal.
        client_deadline_at: The client's deadline.
        never_attempted: Whether the journal restored the message without an attempt, and none of it has been
            written since.
        attempts: How many attempts were started, also before a restart. A possible execution before a redrive
            counts as one.
        attempt_number: The attempt in flight, or None.
        attempt_started_at: The start of the latest attempt.
        executed_at: The start of the first attempt that was possibly executed, or None.
        past_attempts: The ended attempts; empty if dead letters are disabled.
    """

    number: int
    message: Message
    expires_at: float
    received_at: float
    client_deadline_at: float = 0.0
    never_attempted: bool = False
    attempts: int = 0
    attempt_number: int | None = None
    attempt_started_at: float = 0.0
    executed_at: float | None = None
    past_attempts: list[PastAttempt] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class AttemptInFlight:
    """An attempt and its messages without an outcome; written by Attempts. Bound: the batch size.

    Attributes:
        unanswered: For each message without an outcome, the ordinal of this attempt among the message's own,
            from 0.
        cancelled: Whether the cancellation was requested.
        timed_out: The messages whose deadline was reached.
    """

    number: int
    endpoint: int
    started_at: float
    unanswered: dict[int, int] = field(default_factory=dict)
    cancelled: bool = False
    timed_out: set[int] = field(default_factory=set)


@dataclass(slots=True)
class NumberSequence:
    """A sequence of consecutive numbers."""

    last: int = 0

    def next(self) -> int:
        """Return the next number, starting with 1."""
        self.last += 1
        return self.last


@dataclass(slots=True)
class MessageTable:
    """The messages of this process; Intake adds and Completion removes them by the methods here.

    Bounds: `max_open` of the settings for `pending` and `accepting` together, MAX_COMPLETED_IDS for
    `completed`, the connections of clients for `duplicates`.

    Attributes:
        pending: Accepted messages by number, in the order of acceptance.
        accepting: Messages by number whose clients have not been answered.
        duplicates: Further requests with the id of an accepting message, by its number; written by Intake.
        numbers: The numbers of pending and accepting messages by message id.
        completed: When each message id was completed; written by Completion.
        content_bytes: The memory of the contents of pending and accepting messages.
        completed_bytes: The memory of `completed`.
        sequence: The sequence of message numbers.
    """

    pending: dict[int, PendingMessage] = field(default_factory=dict)
    accepting: dict[int, PendingMessage] = field(default_factory=dict)
    duplicates: dict[int, list[MessageReceived]] = field(default_factory=dict)
    numbers: dict[str, int] = field(default_factory=dict)
    completed: dict[str, float] = field(default_factory=dict)
    content_bytes: int = 0
    completed_bytes: int = 0
    sequence: NumberSequence = field(default_factory=NumberSequence)

    def find(self, message_id: str) -> PendingMessage | None:
        """Return the pending or accepting message with an id, or None."""
        number = self.numbers.get(message_id)
        if number is None:
            return None
        return self.accepting.get(number) or self.pending[number]

    def begin_accepting(self, pending: PendingMessage) -> None:
        """Add a message whose client has not been answered."""
        self.accepting[pending.number] = pending
        self._add(pending)

    def accept(self, number: int) -> PendingMessage:
        """Move a message to `pending`, as its client was answered; return it."""
        pending = self.pending[number] = self.accepting.pop(number)
        return pending

    def withdraw(self, number: int) -> PendingMessage:
        """Remove a message whose client could not be answered; return it."""
        pending = self.accepting.pop(number)
        self._forget(pending)
        return pending

    def restore(self, pending: PendingMessage) -> None:
        """Add a message restored from the journal; its client was answered before the restart."""
        self.pending[pending.number] = pending
        self._add(pending)

    def remove(self, pending: PendingMessage) -> None:
        """Remove a pending message that has its final outcome."""
        del self.pending[pending.number]
        self._forget(pending)

    def add_completed(self, message_id: str, completed_at: float) -> None:
        """Keep the id of a completed message."""
        if message_id not in self.completed:
            self.completed_bytes += len(message_id) + COMPLETED_ID_OVERHEAD_BYTES
        self.completed[message_id] = completed_at

    def drop_completed(self, message_id: str) -> None:
        """Forget the id of a completed message."""
        del self.completed[message_id]
        self.completed_bytes -= len(message_id) + COMPLETED_ID_OVERHEAD_BYTES

    def _add(self, pending: PendingMessage) -> None:
        self.numbers[pending.message.id] = pending.number
        self.content_bytes += message_bytes(pending.message)

    def _forget(self, pending: PendingMessage) -> None:
        del self.numbers[pending.message.id]
        self.content_bytes -= message_bytes(pending.message)


@dataclass(slots=True)
class EndpointDirectory:
    """Discovery's endpoint list; written by EndpointList. Bound: the endpoints listed or in use.

    Attributes:
        endpoints: Endpoints by the number that the scheduler knows them by.
        numbers: Endpoint numbers by discovery's id.
        removed: Numbers of removed endpoints. An update drops those without attempts in flight.
        destinations: Until when each destination accepts messages; infinite while endpoints of it are
            listed.
        version: The version of the list.
        updated_at: When discovery last sent an update, or None.
        epoch: How often discovery's address has changed.
        watching: Whether a watch was started and not lost.
    """

    endpoints: dict[int, Endpoint] = field(default_factory=dict)
    numbers: dict[str, int] = field(default_factory=dict)
    last_number: int = 0
    removed: set[int] = field(default_factory=set)
    destinations: dict[int, float] = field(default_factory=dict)
    version: int = 0
    updated_at: float | None = None
    epoch: int = 0
    watching: bool = False

    def number(self, endpoint_id: str) -> int:
        """Return the number for discovery's endpoint id; a new id gets the next number."""
        if endpoint_id not in self.numbers:
            self.last_number += 1
            self.numbers[endpoint_id] = self.last_number
        return self.numbers[endpoint_id]


@dataclass(slots=True)
class Lifecycle:
    """Draining and shutdown; written by Shutdown.

    Attributes:
        draining: Whether an order to drain is in effect.
        accept_until: During a shutdown, the process does not exit before this time.
        exit_by: When the process must exit; None before a shutdown is requested.
    """

    draining: bool = False
    accept_until: float = 0.0
    exit_by: float | None = None

    @property
    def rejects_messages(self) -> bool:
        """Whether new messages are rejected."""
        return self.exit_by is not None or self.draining


@dataclass(slots=True)
class ForwarderState:
    """The reducer's whole state.

    Attributes:
        attempts_in_flight: Attempts by number; written by Attempts. Bound: the slots.
        health_checks_in_flight: Endpoint numbers by number of the check; written by HealthChecks. Bound: the
            endpoints.
        call_numbers: The sequence of numbers that attempts and health checks share.
        unacknowledged: Notifications by message id; written by Notifications. Bound: the messages that were
            given up and not acknowledged.
        fenced_redrives: When each redrive id was reported as unknown, after which it is rejected; written by
            Control. Bound: the requests in FENCE_DURATION_S.
    """

    messages: MessageTable = field(default_factory=MessageTable)
    attempts_in_flight: dict[int, AttemptInFlight] = field(default_factory=dict)
    health_checks_in_flight: dict[int, int] = field(default_factory=dict)
    call_numbers: NumberSequence = field(default_factory=NumberSequence)
    directory: EndpointDirectory = field(default_factory=EndpointDirectory)
    unacknowledged: dict[str, OutcomeNotification] = field(default_factory=dict)
    fenced_redrives: dict[str, float] = field(default_factory=dict)
    lifecycle: Lifecycle = field(default_factory=Lifecycle)

    def has_work(self) -> bool:
        """Return whether a message, an attempt or a notification is unfinished."""
        messages = self.messages.accepting or self.messages.pending
        return bool(messages or self.attempts_in_flight or self.unacknowledged)
