"""The reducer's state beside the scheduler's: messages, attempts in flight, endpoints, notifications, lifecycle.

Each part's docstring names its owner, the one handler of the reducer that writes it, and what bounds it. Moments
(`_at`, `_until`) are seconds of the monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from juniperward.forwarder.model import Endpoint, Message, OutcomeNotification, PastAttempt


@dataclass(slots=True, eq=False)
class PendingMessage:
    """A message that was accepted and has no final answer."""

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
    """An attempt, and its messages that have no outcome yet."""

    number: int
    endpoint: int
    started_at: float
    unanswered: dict[int, int] = field(default_factory=dict)  # message to the ordinal of its attempt, from 0
    cancelled: bool = False


@dataclass(slots=True)
class MessageTable:
    """Messages by their number in this process; changed by intake and by completion."""

    pending: dict[int, PendingMessage] = field(default_factory=dict)
    accepting: dict[int, PendingMessage] = field(default_factory=dict)  # their clients not answered yet
    numbers: dict[str, int] = field(default_factory=dict)  # of pending and accepting messages, by id
    last_number: int = 0
    completed: dict[str, float] = field(default_factory=dict)  # ids of messages that are over, and since when
    fenced: dict[str, float] = field(
        default_factory=dict
    )  # redrives told unknown, and when: never to be taken

    def next_number(self) -> int:
        """Return the number of a new message."""
        self.last_number += 1
        return self.last_number


@dataclass(slots=True)
class AttemptTable:
    """Attempts and health checks in flight, by number; changed by attempts and health checks."""

    in_flight: dict[int, AttemptInFlight] = field(default_factory=dict)
    health_checks: dict[int, int] = field(default_factory=dict)  # the endpoint of each
    last_number: int = 0

    def next_number(self) -> int:
        """Return the number of a new attempt or health check."""
        self.last_number += 1
        return self.last_number


@dataclass(slots=True)
class EndpointDirectory:
    """What discovery says; changed by the endpoint list."""

    endpoints: dict[int, Endpoint] = field(default_factory=dict)  # by the scheduler's number
    numbers: dict[str, int] = field(default_factory=dict)  # by discovery's id
    last_number: int = 0
    removed: set[int] = field(default_factory=set)  # of `endpoints`: removed, with attempts in flight
    destinations: dict[int, float] = field(default_factory=dict)  # until when each is known
    version: int = 0
    updated_at: float | None = None  # when discovery last sent an update
    epoch: int = 0  # how often its address was changed
    watching: bool = False  # a watch is started

    def number(self, name: str) -> int:
        """Return the number of an endpoint by discovery's id; a new one gets the next."""
        if name not in self.numbers:
            self.last_number += 1
            self.numbers[name] = self.last_number
        return self.numbers[name]


@dataclass(slots=True)
class Lifecycle:
    """Whether new messages are taken; changed by control and by shutdown."""

    draining: bool = False
    accept_until: float = 0.0
    exit_by: float | None = None  # set once a shutdown was requested

    @property
    def rejects_messages(self) -> bool:
        """Whether new messages are rejected."""
        return self.exit_by is not None or self.draining


@dataclass(slots=True)
class ForwarderState:
    """All of it."""

    messages: MessageTable = field(default_factory=MessageTable)
    attempts: AttemptTable = field(default_factory=AttemptTable)
    directory: EndpointDirectory = field(default_factory=EndpointDirectory)
    unacknowledged: dict[str, OutcomeNotification] = field(default_factory=dict)  # changed by completion
    lifecycle: Lifecycle = field(default_factory=Lifecycle)

    def has_work(self) -> bool:
        """Whether a message, an attempt or a notification is unfinished."""
        busy = self.attempts.in_flight or self.unacknowledged or self.messages.accepting
        return bool(busy or self.messages.pending)
