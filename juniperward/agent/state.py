"""The agent's state: what the reducer knows, and the part of it that is stored.

Both are values: the reducer puts a new one in the place of the old, and other threads read whichever is current.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from pyrsistent import PMap, pmap

from juniperward.fleet.model import Instance, RestartPolicy, RollRules, Timeouts
from juniperward.fleet.roll_model import Roll, RollOrder
from juniperward.fleet.service import Meter


@dataclass(frozen=True, slots=True)
class PersistentState:
    """What outlasts the agent's process; stored as one value."""

    instances: tuple[Instance, ...] = ()
    roll: Roll | None = None
    rolls_made: int = 0
    configuration_version: str = ""  # the newest


def persistent_part(instance: Instance) -> Instance:
    """Return an instance without what is only of the moment: that is observed again."""
    has_process = instance.process is not None
    return Instance(
        instance.name,
        instance.desired_state,
        instance.process,
        instance.started_at if has_process else 0.0,
        instance.configuration_version,
        was_ready=instance.was_ready,
        drain_requested=instance.drain_requested,
        last_exit=instance.last_exit,
        crashes=instance.crashes,
        stopping_since=instance.stopping_since if has_process else None,
    )


@dataclass(frozen=True, slots=True)
class Rules:
    """What the settings say of decisions."""

    restart: RestartPolicy = RestartPolicy()
    timeouts: Timeouts = Timeouts()
    roll: RollRules = RollRules()


@dataclass(frozen=True, slots=True)
class State:
    """All that the agent knows; a value: an earlier one stays as it was."""

    instances: PMap[str, Instance] = field(default_factory=pmap)
    rules: Rules = Rules()
    meter: Meter = field(default_factory=Meter)
    roll: Roll | None = None
    rolls_made: int = 0
    configuration_version: str = ""
    last_saved: PersistentState | None = None
    save_retry_at: float = 0.0  # after a failure
    saving_roll: bool = False  # a changed roll is being stored; the next three fields belong to it
    roll_before_save: Roll | None = None
    pending_orders: tuple[RollOrder, ...] = ()  # carried out once the roll is stored
    waiting_clients: tuple[int, ...] = ()  # answered then
    removed: frozenset[str] = frozenset()  # no longer in the settings; forgotten once their process has ended

    def with_instance(self, instance: Instance) -> State:
        """Return the state with an instance in the place of what was known of it."""
        return replace(self, instances=self.instances.set(instance.name, instance))

    def without_instance(self, name: str) -> State:
        """Return the state without an instance that was removed from the settings."""
        return replace(self, instances=self.instances.discard(name), removed=self.removed - {name})

    def persistent(self) -> PersistentState:
        """Return the part that outlasts the agent's process."""
        return PersistentState(
            tuple(persistent_part(self.instances[name]) for name in sorted(self.instances)),
            self.roll,
            self.rolls_made,
            self.configuration_version,
        )
