"""The state of the agent's reducer, and the part of it that is stored.

Both are immutable: the reducer replaces its state, and other threads may read the current one.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from pyrsistent import PMap, pmap

from juniperward.fleet.model import Instance, RestartPolicy, RollRules, Timeouts
from juniperward.fleet.roll_model import Roll, RollOrder
from juniperward.fleet.service import Meter


@dataclass(frozen=True, slots=True)
class PersistentState:
    """The part of the state that is stored; `configuration_version` is the newest one."""

    instances: tuple[Instance, ...] = ()
    roll: Roll | None = None
    rolls_made: int = 0
    configuration_version: str = ""


def persistent_part(instance: Instance) -> Instance:
    """Return an instance without the fields that the next agent observes again."""
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
    """The rules of the settings on which the reducer bases its decisions."""

    restart: RestartPolicy = RestartPolicy()
    timeouts: Timeouts = Timeouts()
    roll: RollRules = RollRules()


@dataclass(frozen=True, slots=True)
class State:
    """The state of the reducer.

    Attributes:
        instances: The instances by name.
        rules: The rules of the settings.
        meter: Recent samples of the fleet's attempts.
        roll: The last roll, over or not; None before the first.
        rolls_made: The number of rolls so far, from which the next roll gets its id.
        configuration_version: The newest version of the settings.
        last_saved: The part that is on disk, as last stored or restored.
        save_retry_at: The earliest time of the next save after a failed one, in monotonic seconds.
        saving_roll: Whether a changed roll is being stored. The next three fields are used meanwhile.
        roll_before_save: The roll as last stored, restored if the save fails.
        pending_orders: The orders to carry out once the roll is stored.
        waiting_clients: The clients to answer once the roll is stored.
        removed: Instances removed from the settings, which are deleted when their process has exited.

    """

    instances: PMap[str, Instance] = field(default_factory=pmap)
    rules: Rules = Rules()
    meter: Meter = field(default_factory=Meter)
    roll: Roll | None = None
    rolls_made: int = 0
    configuration_version: str = ""
    last_saved: PersistentState | None = None
    save_retry_at: float = 0.0
    saving_roll: bool = False
    roll_before_save: Roll | None = None
    pending_orders: tuple[RollOrder, ...] = ()
    waiting_clients: tuple[int, ...] = ()
    removed: frozenset[str] = frozenset()

    def with_instance(self, instance: Instance) -> State:
        """Return the state with an instance added, or replaced by name."""
        return replace(self, instances=self.instances.set(instance.name, instance))

    def without_instance(self, name: str) -> State:
        """Return the state without an instance that was removed from the settings."""
        return replace(self, instances=self.instances.discard(name), removed=self.removed - {name})

    def persistent(self) -> PersistentState:
        """Return the part of the state that is stored."""
        return PersistentState(
            tuple(persistent_part(self.instances[name]) for name in sorted(self.instances)),
            self.roll,
            self.rolls_made,
            self.configuration_version,
        )
