"""The control channel's requests: status and tables, and orders to drain, resume and stop.

Loaded at the first request. `introspection` builds the replies from the state.
"""

from __future__ import annotations

from juniperward.control.protocol import (
    Answer,
    Body,
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
from juniperward.forwarder.reducer.shutdown import Shutdown
from juniperward.forwarder.telemetry import increment
from juniperward.scheduler import DeliveryScheduler

# A redrive that was reported as unknown is rejected for this long.
FENCE_DURATION_S = 120.0


class Control:
    """Replies to requests of the control channel; owns the fenced redrives."""

    def __init__(self, round_: Round, scheduler: DeliveryScheduler, shutdown: Shutdown) -> None:
        """Report on the state and the scheduler; drain and resume by `shutdown`."""
        self._round = round_
        self._scheduler = scheduler
        self._shutdown = shutdown

    def requested(self, event: ControlRequested) -> None:
        """Execute an order and reply; a repeated order changes nothing and is no error."""
        request = event.request
        self._execute_order(request.verb)
        self._round.emit(SendControlReply(event.client, Answer(request.id, self._reply_body(request))))

    def _reply_body(self, request: Request) -> Body:
        if request.verb is Verb.REDRIVE_OUTCOMES:
            return self._redrive_outcomes(request)
        round_ = self._round
        return introspection.answer(request.verb, round_.state, round_.settings, self._scheduler, round_.now)

    def _execute_order(self, verb: Verb) -> None:
        match verb:
            case Verb.DRAIN | Verb.RESUME:
                self._set_draining(verb)
            case Verb.STOP if self._round.state.lifecycle.exit_by is None:
                self._round.emit(BeginShutdown())

    def _set_draining(self, verb: Verb) -> None:
        draining = verb is Verb.DRAIN
        if self._shutdown.set_draining(draining):
            increment("drains" if draining else "resumes")
            self._round.emit(DrainClients(draining), WriteLog("control order", (("verb", verb.value),)))

    def _redrive_outcomes(self, request: Request) -> RedriveOutcomes:
        """Report whether redrives are pending or unknown, and reject the unknown ones for FENCE_DURATION_S.

        An unknown redrive cannot become pending later: the agent's earlier submissions were received before
        this request, or their connections have ended.
        """
        state, now = self._round.state, self._round.now
        rows = tuple(
            RedriveOutcomeRow(
                redrive_id,
                RedriveState.PENDING if redrive_id in state.messages.numbers else RedriveState.UNKNOWN,
            )
            for redrive_id in request.ids
        )
        fenced = {name: at for name, at in state.fenced_redrives.items() if now - at < FENCE_DURATION_S}
        fenced.update((row.id, now) for row in rows if row.outcome == RedriveState.UNKNOWN)
        state.fenced_redrives = fenced
        return RedriveOutcomes(0.0, rows)
