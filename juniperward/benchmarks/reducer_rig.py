"""Drives a reducer without sockets by a simulated clock: it receives endpoint lists and delivers messages."""

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

READ_BYTES = 16384
ANSWER_S = 0.01
MESSAGE_INTERVAL_S = 0.1
NAMES = SettingsNames(("c",), (20.0,), ("acme",), ("k",), ("z",))


def endpoint_list(endpoints: int) -> dict[str, Any]:
    """Return a full endpoint list as discovery sends it.

    Destination 0 has one endpoint; the others belong to 19 further destinations.
    """
    rows = [
        {"id": f"s-{n:08x}", "addr": f"127.1.{n >> 8}.{n & 255}:8081", "zone": "z", "kind": "k",
         "cell": 1 + n % 19 if n else 0, "state": "Ready", "weight": 20.0, "started_ms": 0}
        for n in range(endpoints)
    ]  # fmt: skip
    return {"version": 7, "full": True, "servers": rows}


class ReducerRig:
    """A reducer with a simulated clock and its timers; attempts succeed after ANSWER_S."""

    def __init__(self, endpoints: int, forwarders: int, seed: int) -> None:
        """Create the reducer of one of `forwarders`, and a list of `endpoints` for `receive_list`."""
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
        # Each timer is due at a time; timers for the same time fire in the order in which they were set.
        self.timers: list[tuple[float, int, TimerEvent]] = []
        self.list_text = json.dumps(endpoint_list(endpoints), indent=2).encode() + b"\n"

    def reduce(self, *events: Event) -> list[Effect]:
        """Pass events to the reducer, keep the timers that it sets, and return its effects."""
        effects = self.reducer.reduce(self.now, events)
        for effect in effects:
            if isinstance(effect, SetTimer):
                self.timers.append((effect.at, len(self.timers), effect.event))
        return effects

    def receive_list(self) -> None:
        """Parse the full list in chunks, as from a discovery stream, and pass it to the reducer."""
        objects = JsonObjectParser()
        for first in range(0, len(self.list_text), READ_BYTES):
            for value in objects.feed(self.list_text[first : first + READ_BYTES]):
                update = read_endpoint_list_update(value, NAMES)
                self.reduce(EndpointsUpdated(update.version, update.full, update.endpoints))

    def deliver_message(self) -> None:
        """Submit a message, have it accepted, and deliver it ANSWER_S after its attempt began."""
        self.messages += 1
        message = Message(f"{self.messages:016x}", 0, 0, 0, 20.0, "k", b"x")
        (accept,) = self.reduce(MessageReceived(1, message, self.now))
        assert isinstance(accept, AcceptMessage)
        for effect in self.reduce(MessageAccepted(accept.message, True)):
            if isinstance(effect, StartAttempt):
                self.now += ANSWER_S
                outcomes = tuple(ItemOutcome(item.message, Outcome.OK) for item in effect.items)
                self.reduce(AttemptAnswered(effect.number, outcomes))
        self.run_until(self.now + MESSAGE_INTERVAL_S)

    def idle(self, seconds: float) -> None:
        """Advance the clock by `seconds` without events other than timers."""
        self.run_until(self.now + seconds)

    def run_until(self, until: float) -> None:
        """Advance the clock to `until`, and fire all timers that are due by then, including new ones."""
        while expired := [timer for timer in self.timers if timer[0] <= until]:
            self.timers = [timer for timer in self.timers if timer[0] > until]
            for at, _, event in sorted(expired, key=lambda timer: timer[:2]):
                self.now = max(self.now, at)
                self.reduce(event)
        self.now = until
