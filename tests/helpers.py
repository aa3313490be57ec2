"""Helpers for tests: a driver for one delivery scheduler, settings, and filters for its actions."""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import Any

from juniperward.scheduler import DeliveryScheduler
from juniperward.scheduler.actions import Action, Fail, Reject, SetTimer, StartAttempt
from juniperward.scheduler.events import (
    AttemptFinished,
    EndpointEntry,
    EndpointListUpdated,
    EndpointPhase,
    Event,
    ListScope,
    MessageAdmitted,
    Outcome,
    TimerFired,
)
from juniperward.scheduler.records import Destination, Message
from juniperward.scheduler.route_state import RouteState
from juniperward.scheduler.settings import DestinationKind, Idempotency, MessageClass, SchedulerSettings

IDEMPOTENT = MessageClass(latency_objective_s=4.0, deadline_s=20.0, late_weight=0.5)
WITH_IDEMPOTENCY_KEY = MessageClass(
    latency_objective_s=4.0,
    deadline_s=20.0,
    idempotency=Idempotency.IDEMPOTENCY_KEY,
    deduplication_window_s=5.0,
    late_weight=0.5,
)
NON_IDEMPOTENT = MessageClass(
    latency_objective_s=4.0,
    deadline_s=20.0,
    idempotency=Idempotency.NON_IDEMPOTENT,
    priority_weight=4.0,
    late_weight=0.5,
)
ORDERED = MessageClass(
    latency_objective_s=4.0,
    deadline_s=20.0,
    idempotency=Idempotency.IDEMPOTENCY_KEY,
    deduplication_window_s=5.0,
    in_order=True,
)


def settings(*classes: MessageClass, **changes: Any) -> SchedulerSettings:
    values: dict[str, Any] = {
        "classes": classes or (IDEMPOTENT,),
        "slots": 8,
        "max_open": 200,
        "kinds": (DestinationKind(),),
        "max_attempts": 6,
        "answer_slack_s": 0.02,
        "max_retry_after_s": 2.0,
        "cancellation": True,
        "slow_start_capacity_fraction": 0.25,
    }
    return SchedulerSettings(**{**values, **changes})


class SchedulerDriver:
    """The delivery scheduler of one forwarder, on a simulated clock; `run` moves the clock and fires timers."""

    def __init__(
        self, config: SchedulerSettings | None = None, endpoints: tuple[EndpointEntry, ...] | None = None
    ) -> None:
        self.scheduler = DeliveryScheduler(config or settings(), seed=1)
        self.now = 100.0
        self.timers: list[tuple[float, int]] = []
        self.log: list[tuple[float, Action]] = []
        self.attempts: dict[int, int] = {}
        self.sent_at: dict[tuple[int, int], float] = {}
        self.endpoint: dict[tuple[int, int], int] = {}
        self.last_message_id = 0
        if endpoints is None:
            endpoints = tuple(EndpointEntry(10 * d, d) for d in (1, 2, 3))
        self.update_endpoints(*endpoints, scope=ListScope.CACHED)

    @property
    def messages(self) -> dict[int, Message]:
        """The messages in the scheduler's backlog, by id."""
        return self.scheduler.state.backlog.messages

    @property
    def random(self) -> Random:
        """The scheduler's random generator."""
        return self.scheduler.state.round.random

    def destination(self, number: int) -> Destination:
        """Return the scheduler's state of a destination."""
        return self.scheduler.state.table.destinations[number]

    def route(self, number: int) -> RouteState:
        """Return the route state that a destination's endpoints share."""
        return self.destination(number).shared_route

    def in_flight(self) -> list[int]:
        """Return the ids of the messages with an attempt in flight."""
        return [message.id for message in self.messages.values() if message.in_flight]

    def handle(self, *events: Event) -> list[Action]:
        actions = self.scheduler.handle(self.now, events)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay_s, action.token))
            elif isinstance(action, StartAttempt):
                attempt = self.attempts.get(action.message, 0)
                self.attempts[action.message] = attempt + 1
                self.sent_at[action.message, attempt] = self.now
                self.endpoint[action.message, attempt] = action.endpoint
        return actions

    def run(self, seconds: float) -> list[Action]:
        """Advance the clock, fire the timers that are due, and return all resulting actions."""
        end, seen = self.now + seconds, []
        while self.timers and min(self.timers)[0] <= end:
            at, token = min(self.timers)
            self.timers.remove((at, token))
            self.now = max(self.now, at)
            seen += self.handle(TimerFired(token))
        self.now = end
        return seen

    def update_endpoints(self, *entries: EndpointEntry, scope: ListScope = ListScope.DELTA) -> list[Action]:
        return self.handle(EndpointListUpdated(scope, entries))

    def arrive(self, destination: int = 1, count: int = 1, **fields: Any) -> list[Action]:
        events = []
        for _ in range(count):
            self.last_message_id += 1
            values: dict[str, Any] = {"class_index": 0, "time_left_s": 20.0, **fields}
            events.append(MessageAdmitted(message=self.last_message_id, destination=destination, **values))
        return self.handle(*events)

    def finish_attempt(self, message: int, outcome: Outcome = Outcome.OK, **fields: Any) -> list[Action]:
        """Report the outcome of a message's latest attempt."""
        attempt = self.attempts[message] - 1
        values: dict[str, Any] = {"message_ended": outcome is Outcome.OK, **fields}
        return self.handle(
            AttemptFinished(
                message,
                attempt,
                self.endpoint[message, attempt],
                outcome,
                self.now - self.sent_at[message, attempt],
                **values,
            )
        )


def attempted(actions: list[Action]) -> list[int]:
    """Return the ids of the messages for which these actions start an attempt."""
    return [action.message for action in actions if isinstance(action, StartAttempt)]


def rejected(actions: list[Action]) -> list[int]:
    """Return the ids of the messages that these actions reject."""
    return [action.message for action in actions if isinstance(action, Reject)]


def failed(actions: list[Action]) -> list[int]:
    """Return the ids of the messages that these actions fail."""
    return [action.message for action in actions if isinstance(action, Fail)]


def draining_endpoint(number: int, destination: int) -> EndpointEntry:
    """Return the list entry of a draining endpoint."""
    return EndpointEntry(number, destination, EndpointPhase.DRAINING)


def open_descriptors(process: int | str = "self") -> int:
    """Return the number of open file descriptors of a process, given its pid."""
    return len(list(Path(f"/proc/{process}/fd").iterdir()))
