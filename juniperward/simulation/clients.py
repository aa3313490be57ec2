"""The clients of the simulated world: arrivals, alone and in clumps, and what they do when they are rejected."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import numpy as np

from juniperward.simulation.accounts import Accounts
from juniperward.simulation.model import Message, Partner
from juniperward.simulation.random_streams import RandomStream, RandomStreams
from juniperward.simulation.timeline import Timeline

MAX_TRIES = 2
LEAST_RETRY_S = 0.2
LEAST_RATE = 1e-9


class Clients:
    """Makes messages and hands them to `submit`."""

    def __init__(
        self,
        scenario: Any,
        partners: Sequence[Partner],
        timeline: Timeline,
        streams: RandomStreams,
        accounts: Accounts,
    ) -> None:
        """Choose destinations by the partners' weights."""
        self.submit: Callable[[Message], None] | None = None
        self.hot: list[tuple[int, float]] = []  # partner, its share of the arrivals beside the weights
        self._traffic, self._end = scenario.traffic, scenario.seconds
        self._timeline, self._streams, self._accounts = timeline, streams, accounts
        total = sum(partner.weight for partner in partners)
        self._cumulative = np.cumsum([partner.weight / total for partner in partners])

    def arrive(self) -> None:
        """Make the next message or clump, and set the moment of the one after."""
        traffic, stream, now = self._traffic, self._streams.arrivals, self._timeline.now
        rate = traffic.rate
        if traffic.swing:
            rate *= 1 + traffic.swing * np.sin(2 * np.pi * now / traffic.period)
        singles = 1 - traffic.clumps + (traffic.clumps / traffic.clump if traffic.clump else 0.0)
        wait_s = stream.source.exponential(1 / max(rate * singles, LEAST_RATE))
        self._timeline.after(wait_s, self._arrive_unless_over)
        clump = self._clump(stream, singles)
        partner = self._destination(stream)
        for _ in range(clump):
            self._hand_in(self._accounts.asked(partner, now))

    def _arrive_unless_over(self) -> None:
        if self._timeline.now < self._end:
            self.arrive()

    def _clump(self, stream: RandomStream, singles: float) -> int:
        """Return how many messages come at once."""
        traffic = self._traffic
        if traffic.clump and stream.uniform() < (traffic.clumps / traffic.clump) / singles:
            return int(traffic.clump)
        return 1

    def _destination(self, stream: RandomStream) -> int:
        for number, share in self.hot:
            if stream.uniform() < share:
                return number
        return int(np.searchsorted(self._cumulative, stream.uniform(), side="right")) + 1

    def _hand_in(self, message: Message) -> None:
        assert self.submit is not None
        self.submit(message)

    def resubmit(self, message: Message, delay_s: float) -> None:
        """Hand a message in once more after a time."""
        self._timeline.after(delay_s, self._hand_in, message)

    def rejected(self, message: Message, retry_after_s: float, why: str) -> None:
        """Try a message once more, as some clients do, or let go of it."""
        message.ended = f"refused {why}"
        again = message.tries < MAX_TRIES and self._streams.clients.uniform() < self._traffic.again
        if not again:
            self._accounts.over(message)
            return
        message.tries += 1
        self.resubmit(message, max(retry_after_s, LEAST_RETRY_S))
