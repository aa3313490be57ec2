"""The values of a rolling restart: the roll, its steps, its orders to instances, and its view of the fleet.

`roll_commands`, `roll_progress` and `roll_steps` change a roll. The agent stores it (`agent.state_codec`)
and carries out its orders.
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
    """The stage of one instance in a roll; the values are those of the state file and of the agent's API.

    Attributes:
        SOAKING: It is ready, and its attempts are observed before the next instance is restarted.
        SKIPPED: The roll does not restart it, or no longer does.

    """

    WAITING = "waiting"
    DRAINING = "draining"
    STOPPING = "stopping"
    STARTING = "starting"
    SOAKING = "soaking"
    DONE = "done"
    SKIPPED = "left out"


class RollMode(StrEnum):
    """The state of a whole roll; the values are those of the state file and of the agent's API.

    Attributes:
        ENDED: Ended on request; instances that were not restarted keep their version.

    """

    IN_PROGRESS = "going"
    PAUSED = "paused"
    UNDOING = "undoing"
    DONE = "done"
    UNDONE = "undone"
    ENDED = "ended"


FINAL_MODES = frozenset({RollMode.DONE, RollMode.UNDONE, RollMode.ENDED})
ADVANCING_MODES = frozenset({RollMode.IN_PROGRESS, RollMode.UNDOING})
ACTIVE_STAGES = frozenset({RollStage.DRAINING, RollStage.STOPPING, RollStage.STARTING, RollStage.SOAKING})
FINAL_STAGES = frozenset({RollStage.DONE, RollStage.SKIPPED})


@dataclass(frozen=True, slots=True)
class RollStep:
    """The restart of one instance in a roll.

    Attributes:
        name: The name of the instance.
        previous_version: Its configuration version when the roll was planned; an undo restores it.
        stage_since: When it entered its stage.
        detail: What was unusual, as text for people; begins with FAILURE_MARK if the instance failed.

    """

    name: str
    previous_version: str
    stage: RollStage = RollStage.WAITING
    stage_since: float = 0.0
    detail: str = ""

    @property
    def failed(self) -> bool:
        """Whether the instance did not become ready or its attempts failed, which pauses the roll."""
        return self.detail.startswith(FAILURE_MARK)


@dataclass(frozen=True, slots=True)
class Roll:
    """A rolling restart: its plan and its progress.

    Attributes:
        target_version: The configuration version that all its instances should run.
        steps: The instances in the order in which they are restarted.
        reason: Why it is paused, undoing or ended.
        baseline_success_rate: The success rate of the fleet's attempts before the roll, from 0 to 1; None
            if there were none.
        made_at: When it was planned.
        blocked_since: Since when the floor forbids the next restart; None if it does not.

    """

    id: str
    target_version: str
    rules: RollRules
    steps: tuple[RollStep, ...]
    mode: RollMode = RollMode.IN_PROGRESS
    reason: str = ""
    baseline_success_rate: float | None = None
    made_at: float = 0.0
    blocked_since: float | None = None

    @property
    def over(self) -> bool:
        """Whether the roll is in a final mode."""
        return self.mode in FINAL_MODES

    @property
    def advancing(self) -> bool:
        """Whether the roll restarts further instances."""
        return self.mode in ADVANCING_MODES

    def version_for(self, step: RollStep) -> str:
        """Return the configuration version with which to start this instance."""
        return step.previous_version if self.mode is RollMode.UNDOING else self.target_version

    def step_of(self, name: str) -> RollStep | None:
        """Return an instance's step, or None if the instance is not part of the roll."""
        return next((step for step in self.steps if step.name == name), None)

    def enter_stage(self, step: RollStep, stage: RollStage, now: float, detail: str = "") -> Roll:
        """Return the roll with a step in another stage, entered now."""
        return self.with_step(replace(step, stage=stage, stage_since=now, detail=detail))

    def with_step(self, changed: RollStep) -> Roll:
        """Return the roll with the step of the same name replaced."""
        return replace(
            self, steps=tuple(changed if step.name == changed.name else step for step in self.steps)
        )


class RollCommand(StrEnum):
    """What the agent does with an instance to carry out an order."""

    DRAIN = "drain"
    RESUME = "resume"
    STOP = "stop"
    KILL = "kill"
    START = "start"


@dataclass(frozen=True, slots=True)
class RollOrder:
    """A command for an instance; `configuration_version` is empty unless the command is START."""

    command: RollCommand
    name: str
    configuration_version: str = ""


class RollProgress(NamedTuple):
    """A roll after a decision, and the resulting orders to instances."""

    roll: Roll
    orders: tuple[RollOrder, ...] = ()


@dataclass(frozen=True, slots=True)
class FleetView:
    """A snapshot of the fleet, the input of decisions about a roll.

    `now` and the times of the instances are seconds of the same monotonic clock.
    """

    instances: Mapping[str, Instance]
    meter: Meter
    now: float
    timeouts: Timeouts

    def phase_of(self, instance: Instance) -> Phase:
        """Return the observed phase of an instance."""
        return phase(instance, self.now, self.timeouts)

    def ready(self) -> set[str]:
        """Return the names of the ready instances."""
        return {name for name, instance in self.instances.items() if self.phase_of(instance) is Phase.READY}

    def recent(self, window_s: float) -> Tally:
        """Return the fleet's attempts that finished within the last `window_s` seconds."""
        return self.meter.recent(self.now, window_s)
