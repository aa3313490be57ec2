"""The reducer's state beside the scheduler's: messages, attempts in flight, endpoints, notifications, lifecycle.

Each part's docstring names its owner, the one handler of the reducer that writes it, and what bounds it. Moments
(`_at`, `_until`, `_by`) are seconds of the monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from juniperward.forwarder.model import Endpoint, Message, OutcomeNotification, PastAttempt


@dataclass(slots=True, eq=False)
class PendingMessage:
    """A message that was accepted, or is being accepted, and has no final outcome.

    Intake makes it; from then on Attempts alone writes it, and DeadLetters its `past_attempts`.
    """

    number: int
    message: Message
    expires_at: float
    received_at: float  # by this process
    client_deadline_at: float = 0.0  # `expires_at` is earlier by the time that a notification takes
    never_attempted: bool = False  # accepted before a restart, and not a byte was written for it so far
    attempts: int = 0
    attempt_number: int | None = None  # of the attempt that carries it
    attempt_started_at: float = 0.0  # of the latest attempt
    executed_at: float | None = None  # when it first possibly executed
    past_attempts: list[PastAttempt] = field(default_factory=list)  # where dead letters are stored


@dataclass(slots=True, eq=False)
class AttemptInFlight:
    """An attempt, and its messages that have no outcome yet; written by Attempts. Bound: the batch size."""

    number: int
    endpoint: int
    started_at: float
    unanswered: dict[int, int] = field(default_factory=dict)  # message to the ordinal of its attempt, from 0
    cancelled: bool = False


@dataclass(slots=True)
class NumberSequence:
    """The numbers of attempts and health checks, which share one sequence."""

    last: int = 0

    def next(self) -> int:
        """Return the next number, from 1 on."""
        self.last += 1
        return self.last


@dataclass(slots=True)
class MessageTable:
    """Messages by their number in this process: Intake adds them, Completion removes them, by the methods here.

    Bound: `max_open` of the settings for `pending` and `accepting` together; `completed` has Completion's own.
    """

    pending: dict[int, PendingMessage] = field(default_factory=dict)  # in the order accepted
    accepting: dict[int, PendingMessage] = field(default_factory=dict)  # their clients not answered yet
    numbers: dict[str, int] = field(default_factory=dict)  # of pending and accepting messages, by id
    completed: dict[str, float] = field(default_factory=dict)  # ids, and since when; written by Completion
    sequence: NumberSequence = field(default_factory=NumberSequence)

    def begin_accepting(self, pending: PendingMessage) -> None:
        """Add a message whose client is not answered yet."""
        self.accepting[pending.number] = pending
        self.numbers[pending.message.id] = pending.number

    def accept(self, number: int) -> PendingMessage:
        """Make a message pending whose client was answered; return it."""
        pending = self.pending[number] = self.accepting.pop(number)
        return pending

    def withdraw(self, number: int) -> PendingMessage:
        """Remove a message whose client could not be answered; return it."""
        pending = self.accepting.pop(number)
        del self.numbers[pending.message.id]
        return pending

    def restore(self, pending: PendingMessage) -> None:
        """Add a message of the journal, whose client was answered before the restart."""
        self.pending[pending.number] = pending
        self.numbers[pending.message.id] = pending.number

    def remove(self, pending: PendingMessage) -> None:
        """Remove a pending message that has its final outcome."""
        del self.pending[pending.number]
        del self.numbers[pending.message.id]


@dataclass(slots=True)
class EndpointDirectory:
    """Discovery's endpoint list; written by EndpointList. Bound: what discovery lists, and what is in flight."""

    endpoints: dict[int, Endpoint] = field(default_factory=dict)  # by the scheduler's number
    numbers: dict[str, int] = field(default_factory=dict)  # by discovery's id
    last_number: int = 0
    removed: set[int] = field(default_factory=set)  # of `endpoints`: removed, with attempts in flight
    destinations: dict[int, float] = field(default_factory=dict)  # until when each is known
    version: int = 0
    updated_at: float | None = None  # when discovery last sent an update
    epoch: int = 0  # how often its address was changed
    watching: bool = False  # a watch is started

    def number(self, endpoint_id: str) -> int:
        """Return the number of an endpoint by discovery's id; a new one gets the next."""
        if endpoint_id not in self.numbers:
            self.last_number += 1
            self.numbers[endpoint_id] = self.last_number
        return self.numbers[endpoint_id]


@dataclass(slots=True)
class Lifecycle:
    """Whether new messages are accepted; written by Shutdown."""

    draining: bool = False
    accept_until: float = 0.0  # the process does not exit before
    exit_by: float | None = None  # set once a shutdown was requested

    @property
    def rejects_messages(self) -> bool:
        """Whether new messages are rejected."""
        return self.exit_by is not None or self.draining


@dataclass(slots=True)
class ForwarderState:
    """All of it.

    `attempts_in_flight` (by Attempts) is bounded by the slots, `health_checks_in_flight` (by HealthChecks) by the
    endpoints, `unacknowledged` (by Notifications) by what was given up and not acknowledged, `fenced_redrives` (by
    Control) by the requests in FENCE_DURATION_S.
    """

    messages: MessageTable = field(default_factory=MessageTable)
    attempts_in_flight: dict[int, AttemptInFlight] = field(default_factory=dict)  # by number
    health_checks_in_flight: dict[int, int] = field(default_factory=dict)  # number to endpoint
    call_numbers: NumberSequence = field(default_factory=NumberSequence)
    directory: EndpointDirectory = field(default_factory=EndpointDirectory)
    unacknowledged: dict[str, OutcomeNotification] = field(
        default_factory=dict
    )  # notifications, by message id
    fenced_redrives: dict[str, float] = field(default_factory=dict)  # reported unknown, and when: rejected
    lifecycle: Lifecycle = field(default_factory=Lifecycle)

    def has_work(self) -> bool:
        """Whether a message, an attempt or a notification is unfinished."""
        messages = self.messages.accepting or self.messages.pending
        return bool(messages or self.attempts_in_flight or self.unacknowledged)
