"""The one place where the agent's state changes: dispatches each event to the handler that it concerns."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from juniperward.agent.messages import (
    ControlRequest,
    Effect,
    Event,
    InstanceAnswered,
    InstanceUnanswered,
    ProcessExited,
    ProcessSpawned,
    SaveState,
    SettingsLoaded,
    State,
    StateRestored,
    StateSaved,
    Tick,
)
from juniperward.agent.reducer.configuration import Configuration
from juniperward.agent.reducer.instances import Instances
from juniperward.agent.reducer.requests import Requests
from juniperward.agent.reducer.rolls import Rolls
from juniperward.agent.reducer.round import Round
from juniperward.fleet.model import Instance, Phase

SERVICE_HISTORY_S = 60.0  # of the fleet's attempts


class Reducer:
    """Composes the handlers; `reduce` is the only way to change the state."""

    def __init__(self, seed: int) -> None:
        """Begin with an empty state; `seed` is that of the restarts' jitter."""
        self._round = Round()
        self._instances = Instances(self._round, seed)
        self._configuration = Configuration(self._round, self._instances)
        self._rolls = Rolls(self._round, self._instances)
        self._requests = Requests(self._round, self._instances, self._rolls)

    @property
    def state(self) -> State:
        """The state as it is now; a value that does not change."""
        return self._round.state

    @property
    def effects(self) -> list[Effect]:
        """The effects that the present round has asked for so far."""
        return self._round.effects

    def phase_of(self, instance: Instance) -> Phase:
        """Return the observed state of an instance."""
        return self._round.phase_of(instance)

    def reduce(self, now: float, events: Iterable[Event]) -> list[Effect]:
        """Take in all events of a round; the effects are to be carried out in their order."""
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
                self._instances.answered(event)
            case InstanceUnanswered():
                self._instances.unanswered(event)
            case ProcessExited():
                self._instances.exited(event)
            case ProcessSpawned():
                self._instances.spawned(event)
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
        meter = state.meter.with_readings(self._round.now, readings, SERVICE_HISTORY_S)
        self._round.state = replace(state, meter=meter)
        self._instances.supervise()
        self._rolls.advance()

    def _save_if_changed(self) -> None:
        state = self.state
        if any(isinstance(effect, SaveState) for effect in self.effects):
            return
        durable = state.durable()
        if durable != state.saved and self._round.now >= state.save_again_at:
            self._round.emit(SaveState(durable))
