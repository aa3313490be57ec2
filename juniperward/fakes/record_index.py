"""The records of a run, sorted and grouped, so that each rule of the checker is a short walk."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from juniperward.fakes.records import (
    AnyRecord,
    Called,
    Effect,
    Handed,
    Heard,
    Hung,
    Noticed,
    ProcessEvent,
    Replied,
    WatchEventSent,
)


class RecordIndex:
    """The records sorted and grouped, so that each rule is a short walk."""

    def __init__(self, records: Iterable[AnyRecord]) -> None:
        """Sort the records by time and group them."""
        self.all = sorted(records, key=lambda record: record.at)
        self.end = self.all[-1].at if self.all else 0.0
        self.handed: dict[str, Handed] = {}
        self.heard: dict[str, Heard] = {}
        self.calls: dict[int, Called] = {}
        self.ends: dict[int, Replied | Hung] = {}
        self.of_message: dict[str, list[Called]] = defaultdict(list)
        self.notices: dict[str, list[Noticed]] = defaultdict(list)
        self.effects: dict[str, list[Effect]] = defaultdict(list)  # by key
        self.watch_events: dict[tuple[str, str], list[WatchEventSent]] = defaultdict(list)
        self.process_events: dict[str, list[ProcessEvent]] = defaultdict(list)
        for record in self.all:
            self._add(record)

    def _add(self, record: AnyRecord) -> None:
        """File one record under the groups that its kind belongs to."""
        match record:
            case Handed():
                self.handed[record.id] = record
            case Heard():
                self.heard[record.id] = record
            case Called():
                self.calls[record.call] = record
                for name in record.ids:
                    self.of_message[name].append(record)
            case Replied() | Hung():
                self.ends[record.call] = record
            case Noticed():
                self.notices[record.id].append(record)
            case Effect():
                self.effects[record.key].append(record)
            case WatchEventSent():
                self.watch_events[record.forwarder, record.worker].append(record)
            case ProcessEvent():
                self.process_events[record.forwarder].append(record)

    def forwarder(self, call: Called) -> str:
        """Return who made a call: messages are never passed on between forwarders."""
        submitted = self.handed.get(call.ids[0]) if call.ids else None
        return submitted.forwarder if submitted is not None else "?"

    def state(self, call: int, place: int) -> str:
        """Return how one message of a call ended: a state, or `hung`."""
        end = self.ends.get(call)
        return end.states[place] if isinstance(end, Replied) and place < len(end.states) else "hung"

    def delivered_at(self, name: str) -> float | None:
        """Return when a call with it was first answered as delivered."""
        for call in self.of_message.get(name, ()):
            if self.state(call.call, call.ids.index(name)) == "ok":
                return self.ends[call.call].at
        return None

    def restarted(self, forwarder: str, since: float, until: float) -> bool:
        """Return whether a forwarder's process ended or began between two moments."""
        events = self.process_events.get(forwarder, ())
        return any(since <= event.at <= until for event in events if event.what != "term")

    def back(self, forwarder: str, at: float) -> float:
        """Return when a forwarder that was away at a moment was there again; the moment itself if it was there."""
        down = False
        for event in self.process_events.get(forwarder, ()):
            if event.at > at and not down:
                break
            if event.what in ("term", "kill", "exit"):
                down = event.at <= at or down
            elif event.what == "start":
                if down and event.at > at:
                    return event.at
                down = False
        return self.end if down else at

    def story(self, name: str) -> tuple[AnyRecord, ...]:
        """Return all about a message, and the process events of its forwarder."""
        submitted = self.handed.get(name)
        found: list[AnyRecord] = [submitted] if submitted is not None else []
        if name in self.heard:
            found.append(self.heard[name])
        for call in self.of_message.get(name, ()):
            found.append(call)
            if call.call in self.ends:
                found.append(self.ends[call.call])
        found += self.notices.get(name, ())
        if submitted is not None:
            found += [effect for effect in self.effects.get(submitted.key, ()) if effect.id == name]
            found += self.process_events.get(submitted.forwarder, ())
        return tuple(sorted(found, key=lambda record: record.at))
