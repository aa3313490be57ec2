"""The values of a rolling restart: the plan, its steps, the orders that it gives, and the fleet that it sees.

Used by `roll_commands` and `roll_progress`, which change a roll, and by the agent, which stores it
(`agent.state_codec`) and carries its orders out.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import NamedTuple

from juniperward.fleet.decisions import phase
from juniperward.fleet.model import Instance, Phase, RollRules, Timeouts
from juniperward.fleet.service import Meter, Tally

FAILURE_MARK = "!"  # first character of the detail of a step that failed


class RollStage(StrEnum):
    """Where one instance is in a roll; the values are those of the state file and of the agent's API."""

    WAITING = "waiting"
    DRAINING = "draining"
    STOPPING = "stopping"
    STARTING = "starting"
    SOAKING = "soaking"  # ready, and observed before the next instance is restarted
    DONE = "done"
    SKIPPED = "left out"  # stopped, or ordered otherwise, while the roll was under way


class RollMode(StrEnum):
    """What a complete roll is doing; the values are those of the state file and of the agent's API."""

    IN_PROGRESS = "going"
    PAUSED = "paused"
    UNDOING = "undoing"
    DONE = "done"
    UNDONE = "undone"
    ENDED = "ended"  # by order, with what was not begun left as it was


OVER = frozenset({RollMode.DONE, RollMode.UNDONE, RollMode.ENDED})
ADVANCING = frozenset({RollMode.IN_PROGRESS, RollMode.UNDOING})
ACTIVE_STAGES = frozenset({RollStage.DRAINING, RollStage.STOPPING, RollStage.STARTING, RollStage.SOAKING})
FINISHED = frozenset({RollStage.DONE, RollStage.SKIPPED})


@dataclass(frozen=True, slots=True)
class RollStep:
    """One instance in a roll."""

    name: str
    previous_version: str  # the configuration version that it ran when the roll was made; an undo restores it
    stage: RollStage = RollStage.WAITING
    stage_since: float = 0.0
    detail: str = ""  # for a person: what was unusual about the stage

    @property
    def failed(self) -> bool:
        """Whether the instance did not come up, or did not deliver; the roll is paused for it."""
        return self.detail.startswith(FAILURE_MARK)


@dataclass(frozen=True, slots=True)
class Roll:
    """A rolling restart: its plan and how far it has come."""

    id: str
    target_version: str  # the configuration version that all are to run
    rules: RollRules
    steps: tuple[RollStep, ...]
    mode: RollMode = RollMode.IN_PROGRESS
    reason: str = ""  # of a pause, or of an end
    baseline_success_rate: float | None = None  # of the fleet's attempts before the roll, from 0 to 1
    made_at: float = 0.0
    blocked_since: float | None = None  # since when the floor keeps the next instance from being restarted

    @property
    def over(self) -> bool:
        """Whether nothing more is to happen."""
        return self.mode in OVER

    @property
    def advancing(self) -> bool:
        """Whether the next instances are to be restarted."""
        return self.mode in ADVANCING

    def version_for(self, step: RollStep) -> str:
        """Return the configuration version that this instance is to run."""
        return step.previous_version if self.mode is RollMode.UNDOING else self.target_version

    def step_of(self, name: str) -> RollStep | None:
        """Return an instance's step, or None where it is no part of the roll."""
        return next((step for step in self.steps if step.name == name), None)

    def enter_stage(self, step: RollStep, stage: RollStage, now: float, detail: str = "") -> Roll:
        """Return the roll with an instance at its next stage."""
        return self.with_step(replace(step, stage=stage, stage_since=now, detail=detail))

    def with_step(self, changed: RollStep) -> Roll:
        """Return the roll with one step changed."""
        return replace(
            self, steps=tuple(changed if step.name == changed.name else step for step in self.steps)
        )


class RollCommand(StrEnum):
    """What an order has the agent do with an instance."""

    DRAIN = "drain"
    RESUME = "resume"
    STOP = "stop"
    KILL = "kill"
    START = "start"


@dataclass(frozen=True, slots=True)
class RollOrder:
    """A command for an instance; `configuration_version` belongs to a start."""

    command: RollCommand
    name: str
    configuration_version: str = ""


class RollProgress(NamedTuple):
    """A roll after a decision, and the orders to instances that follow from it."""

    roll: Roll
    orders: tuple[RollOrder, ...] = ()


@dataclass(frozen=True, slots=True)
class FleetView:
    """The fleet at one moment: all that a decision about a roll looks at.

    `now` and the times of the instances are seconds of one clock that does not jump.
    """

    instances: Mapping[str, Instance]
    meter: Meter
    now: float
    timeouts: Timeouts

    def phase_of(self, instance: Instance) -> Phase:
        """Return the observed state of an instance."""
        return phase(instance, self.now, self.timeouts)

    def ready(self) -> set[str]:
        """Return the names of the instances that accept messages."""
        return {name for name, instance in self.instances.items() if self.phase_of(instance) is Phase.READY}

    def recent(self, window_s: float) -> Tally:
        """Return the attempts of the whole fleet that finished within the last seconds."""
        return self.meter.recent(self.now, window_s)
