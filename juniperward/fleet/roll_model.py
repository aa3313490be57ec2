"""The values of a rolling restart: the plan, its steps, and the orders that it gives.

A `Roll` is written down as it is: the names of its fields are those of the agent's state file.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import StrEnum

from juniperward.fleet.decisions import phase
from juniperward.fleet.model import Instance, Patience, Phase, RollRules
from juniperward.fleet.service import Meter, Tally

FAILURE_MARK = "!"  # first character of a step's note on disk, where the step has failed


class RollStage(StrEnum):
    """Where one instance is in a roll."""

    WAITING = "waiting"
    DRAINING = "draining"
    STOPPING = "stopping"
    STARTING = "starting"
    SOAKING = "soaking"
    DONE = "done"
    LEFT_OUT = "left out"  # by order, while the roll was under way


class Mode(StrEnum):
    """What a whole roll is doing."""

    GOING = "going"
    PAUSED = "paused"
    UNDOING = "undoing"
    DONE = "done"
    UNDONE = "undone"
    ENDED = "ended"  # by order, with what was not begun left as it was


OVER = frozenset({Mode.DONE, Mode.UNDONE, Mode.ENDED})
ADVANCING = frozenset({Mode.GOING, Mode.UNDOING})
ACTIVE = frozenset({RollStage.DRAINING, RollStage.STOPPING, RollStage.STARTING, RollStage.SOAKING})
FINISHED = frozenset({RollStage.DONE, RollStage.LEFT_OUT})


@dataclass(frozen=True, slots=True)
class Step:
    """One instance in a roll."""

    name: str
    before: str  # the configuration version that it ran when the roll was made; undoing goes back to it
    stage: RollStage = RollStage.WAITING
    since: float = 0.0
    note: str = ""

    @property
    def failed(self) -> bool:
        """Whether the instance did not come up, or did not deliver; the roll is paused for it."""
        return self.note.startswith(FAILURE_MARK)


@dataclass(frozen=True, slots=True)
class Roll:
    """A roll as it is written down."""

    id: str
    target: str  # the configuration version that all are to run
    rules: RollRules
    steps: tuple[Step, ...]
    mode: Mode = Mode.GOING
    why: str = ""  # of a pause, or of an end
    baseline: float | None = None  # the fleet's share of successful attempts before, from 0 to 1
    made_at: float = 0.0
    stuck_since: float | None = None

    @property
    def over(self) -> bool:
        """Whether nothing more is to happen."""
        return self.mode in OVER

    @property
    def advancing(self) -> bool:
        """Whether the next instances are to be restarted."""
        return self.mode in ADVANCING

    def goal(self, step: Step) -> str:
        """Return the configuration version that this instance is to run."""
        return step.before if self.mode is Mode.UNDOING else self.target

    def step_of(self, name: str) -> Step | None:
        """Return an instance's step, or None where it is no part of the roll."""
        return next((step for step in self.steps if step.name == name), None)

    def with_step(self, changed: Step) -> Roll:
        """Return the roll with one step changed."""
        return replace(
            self, steps=tuple(changed if step.name == changed.name else step for step in self.steps)
        )


class RollCommand(StrEnum):
    """What an order asks for."""

    DRAIN = "drain"
    RESUME = "resume"
    STOP = "stop"
    KILL = "kill"
    START = "start"


@dataclass(frozen=True, slots=True)
class Order:
    """Something to be done to an instance; `edition` goes with a start."""

    do: RollCommand
    name: str
    edition: str = ""


@dataclass(frozen=True, slots=True)
class FleetView:
    """The fleet at one moment: all that a decision about a roll looks at.

    `now` and the times of the instances are seconds of one clock that does not jump.
    """

    instances: Mapping[str, Instance]
    meter: Meter
    now: float
    patience: Patience

    def phase_of(self, instance: Instance) -> Phase:
        """Return the observed state of an instance."""
        return phase(instance, self.now, self.patience)

    def ready(self) -> set[str]:
        """Return the names of the instances that take messages."""
        return {name for name, instance in self.instances.items() if self.phase_of(instance) is Phase.READY}

    def lately(self, window_s: float) -> Tally:
        """Return what the whole fleet's attempts came to within the last seconds."""
        return self.meter.lately(self.now, window_s)
