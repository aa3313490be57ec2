"""Dispatches each event of the agent to its handler; the state changes nowhere else."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from juniperward.agent.effects import Effect, SaveState
from juniperward.agent.events import (
    ControlRequest,
    Event,
    InstanceAnswered,
    InstanceUnanswered,
    ProcessExited,
    ProcessSpawned,
    SettingsLoaded,
    StateRestored,
    StateSaved,
    Tick,
)
from juniperward.agent.reducer.configuration import Configuration
from juniperward.agent.reducer.instance_orders import InstanceOrders
from juniperward.agent.reducer.instance_status import InstanceStatus
from juniperward.agent.reducer.requests import Requests
from juniperward.agent.reducer.rolls import Rolls
from juniperward.agent.reducer.round import Round
from juniperward.agent.reducer.supervisor import Supervisor
from juniperward.agent.state import State
from juniperward.fleet.model import Instance, Phase

METER_HISTORY_S = 60.0


class Reducer:
    """Composes the handlers; `reduce` is the only way to change the state."""

    def __init__(self, seed: int) -> None:
        """Start with an empty state; `seed` seeds the jitter of restarts."""
        self._round = Round()
        orders = InstanceOrders(self._round)
        self._instance_status = InstanceStatus(self._round, seed)
        self._supervisor = Supervisor(self._round, orders)
        self._configuration = Configuration(self._round, orders)
        self._rolls = Rolls(self._round, orders)
        self._requests = Requests(self._round, orders, self._rolls)

    @property
    def state(self) -> State:
        """The current state, an immutable value."""
        return self._round.state

    @property
    def effects(self) -> list[Effect]:
        """The effects that the current round has emitted so far."""
        return self._round.effects

    def phase_of(self, instance: Instance) -> Phase:
        """Return the phase of an instance at the time of the latest round."""
        return self._round.phase_of(instance)

    def reduce(self, now: float, events: Iterable[Event]) -> list[Effect]:
        """Apply all events of a round and return the effects, to be carried out in order.

        `now` is in seconds of the monotonic clock.
        """
        self._round.begin(now)
        for event in events:
            self._dispatch(event)
        self._save_if_changed()
        return self.effects

    def _dispatch(self, event: Event) -> None:
        match event:
            case Tick():
                self._tick()
            case InstanceAnswered():
                self._instance_status.answered(event)
            case InstanceUnanswered():
                self._instance_status.unanswered(event)
            case ProcessExited():
                self._instance_status.exited(event)
            case ProcessSpawned():
                self._instance_status.spawned(event)
            case SettingsLoaded():
                self._configuration.settings_loaded(event)
            case StateRestored():
                self._configuration.restored(event)
            case StateSaved():
                self._rolls.saved(event)
            case ControlRequest():
                self._requests.requested(event)

    def _tick(self) -> None:
        state = self.state
        readings = {
            name: instance.reading
            for name, instance in state.instances.items()
            if instance.reading is not None
        }
        meter = state.meter.with_readings(self._round.now, readings, METER_HISTORY_S)
        self._round.state = replace(state, meter=meter)
        self._supervisor.supervise()
        self._rolls.advance()

    def _save_if_changed(self) -> None:
        state = self.state
        if any(isinstance(effect, SaveState) for effect in self.effects):
            return
        persistent = state.persistent()
        if persistent != state.last_saved and self._round.now >= state.save_retry_at:
            self._round.emit(SaveState(persistent))
