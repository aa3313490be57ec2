"""The simulator's adapter, extended by what only the forwarder exchanges with the scheduler.

A `Query` may also have `History`, `Owed`, `EarlyMs` and `BatchBytes`, and a `Settled` `TableFull`; each
`Send` also has `WithinMs` and `Call`.
"""

from __future__ import annotations

import math
from dataclasses import replace
from typing import Any

from juniperward.scheduler import DeliveryScheduler
from juniperward.scheduler.actions import StartAttempt
from juniperward.scheduler.events import AttemptFinished, Event, MessageAdmitted, PastAttempt
from juniperward.scheduler.settings_codec import read_settings
from juniperward.simulator_adapter import wire

Fields = dict[str, Any]
S_PER_MS = 0.001


class ExtendedAdapter:
    """Connects any number of schedulers to encoded events."""

    def __init__(self) -> None:
        self.schedulers: dict[str, DeliveryScheduler] = {}
        self.catalogs: wire.Catalogs = {}

    def answer(self, now_ms: float, lines: list[tuple[str, Fields]]) -> list[Fields]:
        """Return the answers to a batch of events."""
        events_by_instance: dict[str, list[Event]] = {}
        for name, fields in lines:
            if name == "Catalog":
                self.catalogs[fields["Slot"]] = wire.decode_catalog(fields)
                continue
            instance = fields["Who"]
            if name == "Exit":
                self.schedulers.pop(instance, None)
                events_by_instance.pop(instance, None)
            elif name == "Configure":
                events_by_instance[instance] = []
                self.schedulers[instance] = DeliveryScheduler(
                    read_settings(fields["Config"]), fields["Entropy"]
                )
            else:
                events_by_instance.setdefault(instance, []).append(self._event(name, fields))
        answers: list[Fields] = []
        for instance, events in events_by_instance.items():
            for action in self.schedulers[instance].handle(now_ms * S_PER_MS, events):
                answers.append(self._answer(instance, action))
        return answers

    def _event(self, name: str, fields: Fields) -> Event:
        event = wire.decode_event(name, fields, self.catalogs)
        assert event is not None
        if isinstance(event, MessageAdmitted):
            history = tuple(
                PastAttempt(endpoint, sent_at_ms * S_PER_MS if sent_at_ms is not None else None)
                for endpoint, sent_at_ms in fields.get("History", ())
            )
            attempt_for_s = fields["EarlyMs"] * S_PER_MS if "EarlyMs" in fields else None
            event = replace(
                event,
                history=history,
                attempt_for_s=attempt_for_s,
                never_attempted=fields.get("Owed", False),
                batch_bytes=fields.get("BatchBytes", 0),
            )
        elif isinstance(event, AttemptFinished):
            event = replace(event, connection_table_full=fields.get("TableFull", False))
        return event

    @staticmethod
    def _answer(instance: str, action: Any) -> Fields:
        answer = wire.encode_action(instance, action)
        if isinstance(action, StartAttempt):
            start_within_ms = None if math.isinf(action.start_within_s) else action.start_within_s / S_PER_MS
            answer["Send"] |= {"WithinMs": start_within_ms, "Call": action.batch}
        return answer
