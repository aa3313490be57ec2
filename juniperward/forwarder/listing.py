"""The registry's part of the reducer: the watch, and what news of the list does to the workers known.

A part of `Reducer`, apart for its size; it changes `state` and adds effects and news as the rest does.
"""

from __future__ import annotations

import math

from juniperward.forwarder.counters import count
from juniperward.forwarder.messages import Effect, ForgetWorker, Heard, MoveTo, SetDraining, WatchFrom
from juniperward.forwarder.state import State
from nickelscale import interface as i

EMPTY_DESTINATION_KEPT_S = 60.0  # seconds for which a destination without workers is still one


class Listing:
    """Methods of `Reducer` on the registry's list."""

    state: State
    effects: list[Effect]
    news: list[i.Event]

    def _watch(self) -> None:
        """One watch at a time; a second would only stand in line behind it."""
        s = self.state
        if not s.watching:
            s.watching = True
            self.effects.append(WatchFrom(s.version, s.epoch))

    def _move(self, address: tuple[str, int]) -> None:
        """What the old watch still tells does not count; the new one goes on from the version held."""
        s = self.state
        s.epoch += 1
        s.watching = False
        self.effects.append(MoveTo(address, s.epoch))
        self._watch()

    def _worker_number(self, name: str) -> int:
        s = self.state
        if name not in s.worker_numbers:
            s.last_worker += 1
            s.worker_numbers[name] = s.last_worker
        return s.worker_numbers[name]

    def _heard(self, now: float, e: Heard) -> None:
        s = self.state
        s.version = e.version
        if not e.known:
            s.heard_at = now
        count("registry_news")
        entries = []
        named = set()
        for w in e.workers:
            number = self._worker_number(w.id)
            named.add(number)
            s.workers[number] = w
            (s.gone.add if w.phase is i.Phase.GONE else s.gone.discard)(number)
            self.effects.append(SetDraining(number, w.phase is not i.Phase.READY))
            entries.append(i.Endpoint(number, w.destination, w.phase, w.kind, w.zone, w.weight))
        if e.full:
            missing = [number for number in s.workers if number not in named]
            s.gone.update(missing)
            self.effects += [SetDraining(number, True) for number in missing]
        scope = i.ListScope.FULL if e.full else i.ListScope.DELTA
        self.news.append(i.Listed(i.ListScope.CACHED if e.known else scope, tuple(entries)))
        self._forget_workers(now)

    def _forget_workers(self, now: float) -> None:
        """Workers come and go for months: keep nothing of those that are gone, nor of their destinations."""
        s = self.state
        busy = {attempt.worker for attempt in s.in_flight.values()}
        listed = {w.destination for number, w in s.workers.items() if number not in s.gone}
        for number in sorted(s.gone - busy):
            s.gone.discard(number)
            del s.worker_numbers[s.workers.pop(number).id]
            self.effects.append(ForgetWorker(number))
        for destination in listed:
            s.destinations[destination] = math.inf
        for destination, until in list(s.destinations.items()):
            if destination not in listed:
                if until <= now:
                    del s.destinations[destination]
                elif until == math.inf:
                    s.destinations[destination] = now + EMPTY_DESTINATION_KEPT_S
