"""The simulator's adapter with what only the forwarder tells the scheduler, for recorded decisions.

`RecordedAdapter.answer` takes the events of one batch and returns the answers, as the adapter does. Events may
have the further fields `History`, `Owed`, `EarlyMs`, `BatchBytes` (of a `Query`) and `TableFull` (of a `Settled`);
each `Send` among the answers also says `WithinMs` and `Call`.
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

Body = dict[str, Any]
S_PER_MS = 0.001


class RecordedAdapter:
    """Any number of schedulers behind the simulator's wire."""

    def __init__(self) -> None:
        self.schedulers: dict[str, DeliveryScheduler] = {}
        self.catalogs: wire.Catalogs = {}

    def answer(self, now_ms: float, lines: list[tuple[str, Body]]) -> list[Body]:
        """Return the answers to one batch of events."""
        pending: dict[str, list[Event]] = {}
        for name, body in lines:
            if name == "Catalog":
                self.catalogs[body["Slot"]] = wire.decode_catalog(body)
                continue
            who = body["Who"]
            if name == "Exit":
                self.schedulers.pop(who, None)
                pending.pop(who, None)
            elif name == "Configure":
                pending[who] = []
                self.schedulers[who] = DeliveryScheduler(read_settings(body["Config"]), body["Entropy"])
            else:
                pending.setdefault(who, []).append(self._event(name, body))
        answers: list[Body] = []
        for who, events in pending.items():
            for action in self.schedulers[who].handle(now_ms * S_PER_MS, events):
                answers.append(self._answer(who, action))
        return answers

    def _event(self, name: str, body: Body) -> Event:
        event = wire.decode_event(name, body, self.catalogs)
        assert event is not None
        if isinstance(event, MessageAdmitted):
            history = tuple(
                PastAttempt(endpoint, sent * S_PER_MS if sent is not None else None)
                for endpoint, sent in body.get("History", ())
            )
            early = body["EarlyMs"] * S_PER_MS if "EarlyMs" in body else None
            event = replace(
                event,
                history=history,
                attempt_for_s=early,
                never_attempted=body.get("Owed", False),
                batch_bytes=body.get("BatchBytes", 0),
            )
        elif isinstance(event, AttemptFinished):
            event = replace(event, connection_table_full=body.get("TableFull", False))
        return event

    @staticmethod
    def _answer(who: str, action: Any) -> Body:
        answer = wire.encode_action(who, action)
        if isinstance(action, StartAttempt):
            within = None if math.isinf(action.start_within_s) else action.start_within_s / S_PER_MS
            answer["Send"] |= {"WithinMs": within, "Call": action.batch}
        return answer
