"""What a forwarder knows beside the scheduler: messages, attempts in flight, endpoints, notifications, its lifecycle.

Each part is changed by one handler of the reducer, which its docstring names. Moments are seconds of the monotonic
clock.
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
    due_at: float = (
        0.0  # the end of its client's time; `expires_at` is before it by what a notification takes
    )
    never_attempted: bool = (
        False  # accepted before a restart, and no byte of a call was written for it so far
    )
    attempts: int = 0
    attempt_number: int | None = None  # of the attempt that carries it
    attempt_started_at: float = 0.0  # of the latest attempt
    executed_at: float | None = None  # when it first possibly executed
    past_attempts: list[PastAttempt] = field(default_factory=list)  # where dead letters are stored


@dataclass(slots=True, eq=False)
class AttemptInFlight:
    """An attempt: its endpoint and the messages that are still waited for."""

    number: int
    endpoint: int
    started_at: float
    waiting: dict[int, int] = field(default_factory=dict)  # message to number of its attempt
    cancelled: bool = False


@dataclass(slots=True)
class MessageTable:
    """Messages by their number in this process; changed by intake and by completion."""

    pending: dict[int, PendingMessage] = field(default_factory=dict)
    offered: dict[int, PendingMessage] = field(default_factory=dict)  # journalled, their clients not yet told
    numbers: dict[str, int] = field(default_factory=dict)  # of pending and offered messages, by id
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
    gone: set[int] = field(default_factory=set)  # endpoints that are, and not yet forgotten
    destinations: dict[int, float] = field(default_factory=dict)  # until when each is known
    version: int = 0
    updated_at: float | None = None  # when discovery last told something
    epoch: int = 0  # how often discovery has changed its address
    watching: bool = False  # a watch is asked for, or under way

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
    exit_by: float | None = None  # set once the process was told to end

    @property
    def leaving(self) -> bool:
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
        """Whether something is to be brought to its end."""
        busy = self.attempts.in_flight or self.unacknowledged or self.messages.offered
        return bool(busy or self.messages.pending)
