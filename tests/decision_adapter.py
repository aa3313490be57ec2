"""The simulator's adapter with what only the forwarder tells the scheduler, for recorded decisions.

`RecordedAdapter.answer` takes the events of one batch and returns the answers, as the adapter does. Events may
have the further fields `History`, `Owed`, `EarlyMs`, `BatchBytes` (of a `Query`) and `TableFull` (of a `Settled`);
each `Send` among the answers also says `WithinMs` and `Call`.
"""

from __future__ import annotations

import math
from dataclasses import replace
from typing import Any

from juniperward.scheduler import Sender
from juniperward.scheduler.interface import Arrived, Event, Send, Settled, Tried
from juniperward.simulator_adapter import adapter as benchlink

Body = dict[str, Any]
S_PER_MS = 0.001


class RecordedAdapter:
    """Any number of schedulers behind the simulator's wire."""

    def __init__(self) -> None:
        self.link = benchlink.Link()

    def answer(self, now_ms: float, lines: list[tuple[str, Body]]) -> list[Body]:
        """Return the answers to one batch of events."""
        link = self.link
        pending: dict[str, list[Event]] = {}
        for name, body in lines:
            if name == "Catalog":
                link.answer(now_ms, [(name, body)])
                continue
            who = body["Who"]
            if name == "Exit":
                link.senders.pop(who, None)
                pending.pop(who, None)
            elif name == "Configure":
                pending[who] = []
                link.senders[who] = Sender(benchlink.settings_from(body["Config"]), body["Entropy"])
            else:
                pending.setdefault(who, []).append(self._event(name, body))
        answers: list[Body] = []
        for who, events in pending.items():
            for action in link.senders[who].handle(now_ms * S_PER_MS, events):
                answers.append(self._answer(who, action))
        return answers

    def _event(self, name: str, body: Body) -> Event:
        event = self.link._event(name, body)
        assert event is not None
        if isinstance(event, Arrived):
            history = tuple(
                Tried(endpoint, sent * S_PER_MS if sent is not None else None)
                for endpoint, sent in body.get("History", ())
            )
            early = body["EarlyMs"] * S_PER_MS if "EarlyMs" in body else None
            event = replace(
                event,
                history=history,
                early=early,
                owed=body.get("Owed", False),
                batch_bytes=body.get("BatchBytes", 0),
            )
        elif isinstance(event, Settled):
            event = replace(event, table_full=body.get("TableFull", False))
        return event

    @staticmethod
    def _answer(who: str, action: Any) -> Body:
        answer = benchlink._action(who, action)
        if isinstance(action, Send):
            within = None if math.isinf(action.within) else action.within / S_PER_MS
            answer["Send"] |= {"WithinMs": within, "Call": action.call}
        return answer
