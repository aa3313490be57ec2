"""What a person may ask of a roll: make one, pause it, go on, undo or end it. No clock, no I/O."""

from __future__ import annotations

from dataclasses import replace

from juniperward.fleet.model import AWAY, DesiredState, RollRules
from juniperward.fleet.roll_errors import (
    BatchSizeError,
    FloorError,
    NothingRunningError,
    RollNotPausedError,
    RollOverError,
    UnknownInstanceError,
)
from juniperward.fleet.roll_model import (
    FleetView,
    Mode,
    Order,
    Roll,
    RollCommand,
    RollStage,
    Step,
)


def plan(roll_id: str, target: str, names: list[str], rules: RollRules, fleet: FleetView) -> Roll:
    """Return a roll of these instances. Those that are away already come first: they cost nothing.

    Raises:
        RollRejectedError: for unknown names, none at all, or a floor that cannot be held.

    """
    running = _running(names, fleet)
    _check_rules(rules, fleet)
    away = {name for name in running if fleet.phase_of(fleet.instances[name]) in AWAY}
    order = [name for name in running if name in away] + [name for name in running if name not in away]
    steps = tuple(Step(name, fleet.instances[name].edition or target) for name in order)
    baseline = fleet.lately(rules.window).share
    return Roll(roll_id, target, rules, steps, baseline=baseline, made_at=fleet.now)


def _running(names: list[str], fleet: FleetView) -> list[str]:
    instances = fleet.instances
    unknown = [name for name in names if name not in instances]
    if unknown:
        raise UnknownInstanceError(unknown)
    running = [name for name in dict.fromkeys(names) if instances[name].wanted is DesiredState.RUNNING]
    if not running:
        raise NothingRunningError
    return running


def _check_rules(rules: RollRules, fleet: FleetView) -> None:
    if rules.at_once < 1:
        raise BatchSizeError
    wanted = sum(instance.wanted is DesiredState.RUNNING for instance in fleet.instances.values())
    if rules.floor > wanted - 1:
        raise FloorError(rules.floor, wanted)


def check_not_over(roll: Roll) -> None:
    """Raise RollOverError where nothing more is to happen with this roll."""
    if roll.over:
        raise RollOverError(roll.id, roll.mode.value)


def pause(roll: Roll, why: str) -> Roll:
    """Begin nothing more; what is under way with an instance goes on to its end."""
    return roll if roll.over else replace(roll, mode=Mode.PAUSED, why=why, stuck_since=None)


def resume(roll: Roll) -> Roll:
    """Go on after a pause: the instance that failed is tried once more from the start.

    Raises:
        RollNotPausedError: where it is not paused.

    """
    if roll.mode is not Mode.PAUSED:
        raise RollNotPausedError(roll.id, roll.mode.value)
    steps = tuple(
        replace(step, stage=RollStage.WAITING, note="") if step.failed else step for step in roll.steps
    )
    return replace(roll, mode=Mode.GOING, why="", steps=steps, stuck_since=None)


def undo(roll: Roll) -> tuple[Roll, list[Order]]:
    """Bring all that the roll has touched back to what it ran before, the latest first.

    What is only draining takes messages again; what was restarted with the version that it had before has
    nothing to go back to, and is left as it is.

    Raises:
        RollOverError: where it is over.

    """
    check_not_over(roll)
    steps = tuple(_undone(step, roll.target) for step in reversed(roll.steps))
    orders = _resume_drained(tuple(reversed(roll.steps)))
    undoing = replace(roll, mode=Mode.UNDOING, why="undone by order", steps=steps, stuck_since=None)
    return undoing, orders


def _undone(step: Step, target: str) -> Step:
    """Return a step as undoing begins with it."""
    match step.stage:
        case RollStage.DRAINING:
            return replace(step, stage=RollStage.LEFT_OUT, note="takes messages again")
        case RollStage.WAITING | RollStage.LEFT_OUT:
            return replace(step, stage=RollStage.LEFT_OUT, note=step.note or "not begun")
        case _ if step.before != target:
            return replace(step, stage=RollStage.WAITING, note="")
        case RollStage.DONE:
            return replace(step, stage=RollStage.LEFT_OUT, note="nothing to go back to")
        case _:
            return replace(step, note="")


def _resume_drained(steps: tuple[Step, ...]) -> list[Order]:
    return [Order(RollCommand.RESUME, step.name) for step in steps if step.stage is RollStage.DRAINING]


def end(roll: Roll) -> tuple[Roll, list[Order]]:
    """Leave all as it is, but for what is drained: that takes messages again.

    Raises:
        RollOverError: where it is over.

    """
    check_not_over(roll)
    return replace(roll, mode=Mode.ENDED, why="ended by order"), _resume_drained(roll.steps)


def leave_out(roll: Roll, name: str, why: str) -> Roll:
    """Take an instance out of the roll that was given another order meanwhile."""
    step = roll.step_of(name)
    if step is None or step.stage is RollStage.DONE:
        return roll
    return roll.with_step(replace(step, stage=RollStage.LEFT_OUT, note=why))
