"""The control channel's requests: looks at the state, and orders to drain, resume and stop."""

from __future__ import annotations

from juniperward.control.protocol import (
    Answer,
    RedriveOutcomeRow,
    RedriveOutcomes,
    RedriveState,
    Request,
    Verb,
)
from juniperward.forwarder.effects import BeginShutdown, DrainClients, SendControlReply, WriteLog
from juniperward.forwarder.events import ControlRequested
from juniperward.forwarder.reducer import introspection
from juniperward.forwarder.reducer.round import Round
from juniperward.forwarder.telemetry import increment
from juniperward.scheduler import DeliveryScheduler

FENCE_DURATION_S = 120.0  # for which a redrive that was told unknown is rejected


class Control:
    """Answers requests."""

    def __init__(self, round_: Round, scheduler: DeliveryScheduler) -> None:
        """Look at the state and at the scheduler."""
        self._round, self._scheduler = round_, scheduler

    def requested(self, event: ControlRequested) -> None:
        """Look, or take an order; an order that changes nothing is no error: it may have been sent twice."""
        request = event.request
        self._obey(request.verb)
        if request.verb is Verb.REDRIVE_OUTCOMES:
            self._round.emit(
                SendControlReply(event.client, Answer(request.id, self._redrive_outcomes(request)))
            )
            return
        round_ = self._round
        body = introspection.answer(request.verb, round_.state, round_.settings, self._scheduler, round_.now)
        round_.emit(SendControlReply(event.client, Answer(request.id, body)))

    def _obey(self, verb: Verb) -> None:
        lifecycle = self._round.state.lifecycle
        if lifecycle.exit_by is not None:
            return
        if verb in (Verb.DRAIN, Verb.RESUME) and lifecycle.draining != (verb is Verb.DRAIN):
            lifecycle.draining = verb is Verb.DRAIN
            increment("drains" if lifecycle.draining else "resumes")
            self._round.emit(
                DrainClients(lifecycle.draining), WriteLog("control order", (("verb", verb.value),))
            )
        elif verb is Verb.STOP:
            self._round.emit(BeginShutdown())

    def _redrive_outcomes(self, request: Request) -> RedriveOutcomes:
        """Say what became of redrives; one that is unknown is never taken from now on.

        What its sender had under way when it asked has come, or has ended with its connection, by then.
        """
        messages, now = self._round.state.messages, self._round.now
        rows = tuple(
            RedriveOutcomeRow(
                name, RedriveState.PENDING if name in messages.numbers else RedriveState.UNKNOWN
            )
            for name in request.ids
        )
        fenced = {name: at for name, at in messages.fenced.items() if now - at < FENCE_DURATION_S}
        fenced.update((row.id, now) for row in rows if row.outcome == RedriveState.UNKNOWN)
        messages.fenced = fenced
        return RedriveOutcomes(0.0, rows)
