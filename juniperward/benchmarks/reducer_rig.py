"""A reducer driven without sockets by a simulated clock, for `sizes`: it receives lists and delivers messages."""

from __future__ import annotations

import json
from typing import Any

from juniperward.forwarder.discovery_stream import JsonObjectParser
from juniperward.forwarder.effects import AcceptMessage, Effect, SetTimer, StartAttempt
from juniperward.forwarder.endpoint_list_codec import read_endpoint_list_update
from juniperward.forwarder.events import (
    AttemptAnswered,
    EndpointsUpdated,
    Event,
    MessageAccepted,
    MessageReceived,
    TimerEvent,
)
from juniperward.forwarder.model import ItemOutcome, Message
from juniperward.forwarder.reducer import Reducer
from juniperward.forwarder.settings_names import SettingsNames
from juniperward.scheduler.events import Outcome
from juniperward.scheduler.settings import DestinationKind, Idempotency, MessageClass, SchedulerSettings

READ_SIZE = 16384  # bytes of a watch at a time
ANSWER_S = 0.01
AFTER_MESSAGE_S = 0.1  # of simulated time after each message
NAMES = SettingsNames(("c",), (20.0,), ("acme",), ("k",), ("z",))


def endpoint_list(endpoints: int) -> dict[str, Any]:
    """Return a complete list in discovery's form: one endpoint of destination 0, the others of nineteen more."""
    rows = [
        {"id": f"s-{n:08x}", "addr": f"127.1.{n >> 8}.{n & 255}:8081", "zone": "z", "kind": "k",
         "cell": 1 + n % 19 if n else 0, "state": "Ready", "weight": 20.0, "started_ms": 0}
        for n in range(endpoints)
    ]  # fmt: skip
    return {"version": 7, "full": True, "servers": rows}


class ReducerRig:
    """A reducer and its clock; what it requests is answered at once."""

    def __init__(self, endpoints: int, forwarders: int, seed: int) -> None:
        """Begin with a list of so many endpoints, as one of so many forwarders."""
        classes = (
            MessageClass(3.0, 20.0, Idempotency.IDEMPOTENCY_KEY, 1.0, 0.3, deduplication_window_s=12.0),
        )
        self.reducer = Reducer(
            SchedulerSettings(
                classes,
                slots=8,
                max_open=200,
                kinds=(DestinationKind(),),
                instances=forwarders,
                rates_listed=True,
            ),
            seed,
        )
        self.now = 100.0
        self.messages = 0
        self.timers: list[tuple[float, int, TimerEvent]] = []  # when, in which order they were set, what
        self.list_text = json.dumps(endpoint_list(endpoints), indent=2).encode() + b"\n"

    def reduce(self, *events: Event) -> list[Effect]:
        """Give the reducer a round of events, remember its timers and return its effects."""
        effects = self.reducer.reduce(self.now, events)
        for effect in effects:
            if isinstance(effect, SetTimer):
                self.timers.append((effect.at, len(self.timers), effect.event))
        return effects

    def receive_list(self) -> None:
        """Receive the complete list, as it comes over a watch."""
        objects = JsonObjectParser()
        for first in range(0, len(self.list_text), READ_SIZE):
            for value in objects.feed(self.list_text[first : first + READ_SIZE]):
                update = read_endpoint_list_update(value, NAMES)
                self.reduce(EndpointsUpdated(update.version, update.full, update.endpoints))

    def deliver_message(self) -> None:
        """Submit a message, accept it, send it and have it delivered 10 ms later."""
        self.messages += 1
        message = Message(f"{self.messages:016x}", 0, 0, 0, 20.0, "k", b"x")
        (accept,) = self.reduce(MessageReceived(1, message, self.now))
        assert isinstance(accept, AcceptMessage)
        for effect in self.reduce(MessageAccepted(accept.message, True)):
            if isinstance(effect, StartAttempt):
                self.now += ANSWER_S
                outcomes = tuple(ItemOutcome(item.message, Outcome.OK) for item in effect.items)
                self.reduce(AttemptAnswered(effect.number, outcomes))
        self.run_until(self.now + AFTER_MESSAGE_S)

    def idle(self, seconds: float) -> None:
        """Let so many seconds pass in which nothing comes."""
        self.run_until(self.now + seconds)

    def run_until(self, until: float) -> None:
        """Fire the timers up to a moment, and those that they set."""
        while expired := [timer for timer in self.timers if timer[0] <= until]:
            self.timers = [timer for timer in self.timers if timer[0] > until]
            for at, _, event in sorted(expired, key=lambda timer: timer[:2]):
                self.now = max(self.now, at)
                self.reduce(event)
        self.now = until
