"""Discovery's part of the reducer: the watch, and what updates of the list do to the workers known.

A part of `Reducer`, apart for its size; it changes `state` and adds effects and news as the rest does.
"""

from __future__ import annotations

import math

from juniperward.forwarder.counters import count
from juniperward.forwarder.messages import (
    Effect,
    EndpointsUpdated,
    ForgetWorker,
    MoveTo,
    SetDraining,
    WatchFrom,
)
from juniperward.forwarder.state import State
from juniperward.scheduler import events as scheduler_events

EMPTY_DESTINATION_KEPT_S = 60.0  # seconds for which a destination without workers is still one


class EndpointList:
    """Methods of `Reducer` on the registry's list."""

    state: State
    effects: list[Effect]
    news: list[scheduler_events.Event]

    def _watch(self) -> None:
        """One watch at a time; a second would only stand in line behind it."""
        state = self.state
        if not state.watching:
            state.watching = True
            self.effects.append(WatchFrom(state.version, state.epoch))

    def _move(self, address: tuple[str, int]) -> None:
        """What the old watch still tells does not count; the new one goes on from the version held."""
        state = self.state
        state.epoch += 1
        state.watching = False
        self.effects.append(MoveTo(address, state.epoch))
        self._watch()

    def _worker_number(self, name: str) -> int:
        state = self.state
        if name not in state.worker_numbers:
            state.last_worker += 1
            state.worker_numbers[name] = state.last_worker
        return state.worker_numbers[name]

    def _endpoints_updated(self, now: float, event: EndpointsUpdated) -> None:
        state = self.state
        state.version = event.version
        if not event.known:
            state.endpoints_updated_at = now
        count("registry_news")
        entries = []
        named = set()
        for w in event.workers:
            number = self._worker_number(w.id)
            named.add(number)
            state.workers[number] = w
            (state.gone.add if w.phase is scheduler_events.EndpointPhase.GONE else state.gone.discard)(number)
            self.effects.append(SetDraining(number, w.phase is not scheduler_events.EndpointPhase.READY))
            entries.append(
                scheduler_events.EndpointEntry(number, w.destination, w.phase, w.kind, w.zone, w.weight)
            )
        if event.full:
            missing = [number for number in state.workers if number not in named]
            state.gone.update(missing)
            self.effects += [SetDraining(number, True) for number in missing]
        scope = scheduler_events.ListScope.FULL if event.full else scheduler_events.ListScope.DELTA
        self.news.append(
            scheduler_events.EndpointListUpdated(
                scheduler_events.ListScope.CACHED if event.known else scope, tuple(entries)
            )
        )
        self._forget_workers(now)

    def _forget_workers(self, now: float) -> None:
        """Workers come and go for months: keep nothing of those that are gone, nor of their destinations."""
        state = self.state
        busy = {attempt.worker for attempt in state.in_flight.values()}
        listed = {w.destination for number, w in state.workers.items() if number not in state.gone}
        for number in sorted(state.gone - busy):
            state.gone.discard(number)
            del state.worker_numbers[state.workers.pop(number).id]
            self.effects.append(ForgetWorker(number))
        for destination in listed:
            state.destinations[destination] = math.inf
        for destination, until in list(state.destinations.items()):
            if destination not in listed:
                if until <= now:
                    del state.destinations[destination]
                elif until == math.inf:
                    state.destinations[destination] = now + EMPTY_DESTINATION_KEPT_S
