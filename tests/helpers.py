"""A small driver for tests: one sender, a clock, and shorthand for events."""

from __future__ import annotations

from typing import Any

from juniperward.scheduler.interface import (
    Action,
    Arrived,
    Effect,
    Endpoint,
    Event,
    Fail,
    Kind,
    Listed,
    ListScope,
    MessageClass,
    Outcome,
    Phase,
    Refuse,
    Send,
    SetTimer,
    Settings,
    Settled,
    TimerFired,
)
from juniperward.scheduler.rules import Sender

SAFE = MessageClass(aim=4.0, deadline=20.0, late_worth=0.5)
KEYED = MessageClass(aim=4.0, deadline=20.0, effect=Effect.BY_KEY, window=5.0, late_worth=0.5)
ONCE = MessageClass(aim=4.0, deadline=20.0, effect=Effect.ONCE, worth=4.0, late_worth=0.5)
ORDERED = MessageClass(aim=4.0, deadline=20.0, effect=Effect.BY_KEY, window=5.0, in_order=True)


def settings(*classes: MessageClass, **changes: Any) -> Settings:
    values: dict[str, Any] = {
        "classes": classes or (SAFE,),
        "slots": 8,
        "max_open": 200,
        "kinds": (Kind(),),
        "max_attempts": 6,
        "answer_slack": 0.02,
        "max_retry_after": 2.0,
        "cancel": True,
        "cold_share": 0.25,
    }
    return Settings(**{**values, **changes})


class Node:
    """Drives a sender; timers fire by themselves as the clock is moved."""

    def __init__(self, config: Settings | None = None, endpoints: tuple[Endpoint, ...] | None = None) -> None:
        self.sender = Sender(config or settings(), seed=1)
        self.now = 100.0
        self.timers: list[tuple[float, int]] = []
        self.log: list[tuple[float, Action]] = []
        self.attempts: dict[int, int] = {}
        self.sent_at: dict[tuple[int, int], float] = {}
        self.endpoint: dict[tuple[int, int], int] = {}
        self.serial = 0
        if endpoints is None:
            endpoints = tuple(Endpoint(10 * d, d) for d in (1, 2, 3))
        self.listed(*endpoints, scope=ListScope.CACHED)

    def do(self, *events: Event) -> list[Action]:
        actions = self.sender.handle(self.now, events)
        for a in actions:
            self.log.append((self.now, a))
            if isinstance(a, SetTimer):
                self.timers.append((self.now + a.delay, a.token))
            elif isinstance(a, Send):
                n = self.attempts.get(a.message, 0)
                self.attempts[a.message] = n + 1
                self.sent_at[a.message, n] = self.now
                self.endpoint[a.message, n] = a.endpoint
        return actions

    def run(self, seconds: float) -> list[Action]:
        """Move the clock on, firing timers; all actions on the way."""
        end, seen = self.now + seconds, []
        while self.timers and min(self.timers)[0] <= end:
            at, token = min(self.timers)
            self.timers.remove((at, token))
            self.now = max(self.now, at)
            seen += self.do(TimerFired(token))
        self.now = end
        return seen

    def listed(self, *entries: Endpoint, scope: ListScope = ListScope.DELTA) -> list[Action]:
        return self.do(Listed(scope, entries))

    def arrive(self, destination: int = 1, count: int = 1, **fields: Any) -> list[Action]:
        events = []
        for _ in range(count):
            self.serial += 1
            values: dict[str, Any] = {"cls": 0, "budget": 20.0, **fields}
            events.append(Arrived(message=self.serial, destination=destination, **values))
        return self.do(*events)

    def settle(self, message: int, outcome: Outcome = Outcome.OK, **fields: Any) -> list[Action]:
        """The outcome of a message's latest attempt."""
        n = self.attempts[message] - 1
        values: dict[str, Any] = {"ended": outcome is Outcome.OK, **fields}
        return self.do(
            Settled(
                message, n, self.endpoint[message, n], outcome, self.now - self.sent_at[message, n], **values
            )
        )


def sends(actions: list[Action]) -> list[int]:
    return [a.message for a in actions if isinstance(a, Send)]


def refused(actions: list[Action]) -> list[int]:
    return [a.message for a in actions if isinstance(a, Refuse)]


def failed(actions: list[Action]) -> list[int]:
    return [a.message for a in actions if isinstance(a, Fail)]


def gone(number: int, destination: int) -> Endpoint:
    return Endpoint(number, destination, Phase.DRAINING)
