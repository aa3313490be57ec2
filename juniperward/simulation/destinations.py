"""The partners of the simulated world: what becomes of a call that reaches an endpoint, and their faults."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from juniperward.scheduler.events import Outcome
from juniperward.simulation.accounts import Accounts
from juniperward.simulation.model import (
    ONE_WAY_S,
    Attempt,
    Partner,
    SimulatedEndpoint,
)
from juniperward.simulation.random_streams import RandomStreams
from juniperward.simulation.recovery_budget import OVERLOAD_SPAN_S, WARM_UP_S
from juniperward.simulation.timeline import Timeline

REJECTION_S = 0.001  # that a rejection or a failure takes at the partner
LEAST_RETRY_AFTER_S = 0.01
RATE_SPAN_S = 1.0  # over which a partner's limit is counted
SLOWEST = 20.0  # times the usual latency, of a cold endpoint
LEAST_CAPACITY = 0.01
BATCH_COST = 0.1  # of the latency, for each further message of a call

Answer = Callable[[Attempt, Outcome, float], None]  # attempt, outcome, Retry-After in seconds
MessageOf = Callable[
    [Attempt, int], int | None
]  # the client's message of a member, where its forwarder has it


class Destinations:
    """Serves attempts; `answer` takes each answer once it has come back over the network."""

    def __init__(
        self,
        traffic: Any,
        partners: Sequence[Partner],
        timeline: Timeline,
        streams: RandomStreams,
        accounts: Accounts,
    ) -> None:
        """Serve the endpoints of `partners`."""
        self.answer: Answer | None = None
        self.message_of: MessageOf | None = None
        self.partners = partners
        self.endpoints = [endpoint for partner in partners for endpoint in partner.workers]
        self._traffic, self._timeline, self._streams, self._accounts = traffic, timeline, streams, accounts

    def partner_of(self, endpoint: int) -> Partner:
        """Return the partner of an endpoint, by its number."""
        return self.partners[self.endpoints[endpoint].partner - 1]

    def network_s(self) -> float:
        """Return the time of one way, with its jitter."""
        return ONE_WAY_S * (0.7 + 0.6 * self._streams.network.uniform())

    def reach(self, attempt: Attempt) -> None:
        """Take an attempt that comes to its endpoint."""
        endpoint, partner = self.endpoints[attempt.worker], self.partner_of(attempt.worker)
        partner.calls += 1
        if partner.mode == "DOWN":
            self._reply(attempt, Outcome.CONNECT_FAILED)
            return
        retry_after_s = self.rejection(partner, endpoint)
        if retry_after_s is not None:
            partner.refused += 1
            self._accounts.result.calls_refused += 1
            self._reply(attempt, Outcome.OVERLOADED, retry_after_s)
        elif partner.mode == "SILENT":
            endpoint.hung.append(attempt)
        elif partner.mode == "FAILING" and self._streams.rejections.uniform() < partner.size:
            self._reply(attempt, Outcome.ERROR)
        elif endpoint.busy < partner.spec.at_once:
            self._serve(attempt, endpoint, partner)
        else:
            endpoint.queue.append(attempt)

    def rejection(self, partner: Partner, endpoint: SimulatedEndpoint) -> float | None:
        """Return None where an attempt is accepted, else the Retry-After it carries in seconds (0: none)."""
        now, spec = self._timeline.now, partner.spec
        with_retry_after = self._streams.rejections.uniform() < spec.tells_wait
        self._push(partner)
        if partner.fallen:
            return 0.0
        if partner.mode == "SHUT":
            return max(partner.until - now, LEAST_RETRY_AFTER_S) if with_retry_after else 0.0
        if spec.rate:
            # What is agreed on, also while it is cold: what it can do less of then shows in its times (`_serve`).
            span = partner.span
            while span and now - span[0] >= RATE_SPAN_S:
                span.popleft()
            if len(span) >= float(spec.rate):
                return span[0] + RATE_SPAN_S - now if with_retry_after else 0.0
            span.append(now)
        return 0.0 if endpoint.accepted >= spec.at_once + spec.queue else None

    def _push(self, partner: Partner) -> None:
        """Count a call on a partner, which falls where it is cold and gets too many."""
        now, pushes = self._timeline.now, partner.pushes
        while pushes and now - pushes[0] > OVERLOAD_SPAN_S:
            pushes.popleft()
        pushes.append(now)
        if partner.back_at is not None and now - partner.back_at < WARM_UP_S:
            partner.fallen |= len(pushes) > partner.budget.max_calls(now - partner.back_at)

    def _serve(self, attempt: Attempt, endpoint: SimulatedEndpoint, partner: Partner) -> None:
        endpoint.busy += 1
        mean_s = partner.spec.latency * (partner.size if partner.mode == "SLOW" else 1.0)
        present = max(partner.present(self._timeline.now), LEAST_CAPACITY)
        mean_s *= min(partner.capacity() / present, SLOWEST)
        mean_s *= 1 + BATCH_COST * (len(attempt.members) - 1)
        took_s = self._streams.service.gamma(mean_s, partner.spec.spread)
        self._timeline.after(took_s, self._served, attempt, endpoint, partner)

    def _served(self, attempt: Attempt, endpoint: SimulatedEndpoint, partner: Partner) -> None:
        """Have an attempt take effect, whether anybody still waits for it or not."""
        endpoint.busy -= 1
        if partner.mode not in ("DOWN", "SILENT"):
            for number, _ in attempt.members:
                self._take_effect(attempt, number, partner)
            self._reply(attempt, Outcome.OK)
        if endpoint.queue:
            self._serve(endpoint.queue.popleft(), endpoint, partner)

    def _take_effect(self, attempt: Attempt, number: int, partner: Partner) -> None:
        assert self.message_of is not None
        message = self.message_of(attempt, number)
        if message is None:
            return
        traffic = self._traffic
        memory_s = 2 * traffic.deadline + traffic.window
        second = partner.take(message, self._timeline.now, traffic.window, memory_s)
        self._accounts.result.second_effects += second

    def _reply(self, attempt: Attempt, outcome: Outcome, retry_after_s: float = 0.0) -> None:
        assert self.answer is not None
        took_s = 0.0 if outcome is Outcome.OK else REJECTION_S
        arrives_at = self._timeline.now + took_s + self.network_s()
        self._timeline.at(arrives_at, self.answer, attempt, outcome, retry_after_s)

    # --- faults --------------------------------------------------------------------------------------------

    def begin_fault(self, number: int, kind: str, size: float, seconds: float) -> None:
        """Have a fault of `kind` and `size` begin at partner `number` (from 1) for `seconds`."""
        partner = self.partners[number - 1]
        partner.mode, partner.size, partner.until = kind, size, self._timeline.now + seconds

    def end_fault(self, number: int, kind: str) -> None:
        """Have a partner return; it is cold then, unless it was only slow."""
        partner = self.partners[number - 1]
        partner.mode, partner.size = "", 1.0
        partner.back_at = None if kind == "SLOW" else self._timeline.now
        self._reset_hung(partner)

    def _reset_hung(self, partner: Partner) -> None:
        """End what hung at a silent partner with its connections, as on sockets."""
        for endpoint in partner.workers:
            for attempt in endpoint.hung:
                self._reply(attempt, Outcome.RESET)
            endpoint.hung = []
