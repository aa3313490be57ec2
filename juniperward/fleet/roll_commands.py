"""Operator commands for a roll: plan, pause, resume, undo and end it, or skip an instance.

Pure functions. The agent's reducer calls them on requests; `roll_progress` and `roll_steps` use `pause` for
a roll that pauses by itself.
"""

from __future__ import annotations

from dataclasses import replace

from juniperward.fleet.model import NOT_SERVING, DesiredState, RollRules
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
    Roll,
    RollCommand,
    RollMode,
    RollOrder,
    RollProgress,
    RollStage,
    RollStep,
)


def plan(roll_id: str, target: str, names: list[str], rules: RollRules, fleet: FleetView) -> Roll:
    """Return a roll of the named instances that should run.

    Instances that are not ready come first, as their restart does not reduce the number of ready instances.

    Raises:
        RollRejectedError: If a name is unknown, no instance should run, or the rules allow no restart.

    """
    running = _running(names, fleet)
    _check_rules(rules, fleet)
    not_serving = {name for name in running if fleet.phase_of(fleet.instances[name]) in NOT_SERVING}
    order = sorted(running, key=lambda name: name not in not_serving)
    steps = tuple(RollStep(name, fleet.instances[name].configuration_version or target) for name in order)
    baseline = fleet.recent(rules.success_window_s).success_rate
    return Roll(roll_id, target, rules, steps, baseline_success_rate=baseline, made_at=fleet.now)


def _running(names: list[str], fleet: FleetView) -> list[str]:
    instances = fleet.instances
    unknown = [name for name in names if name not in instances]
    if unknown:
        raise UnknownInstanceError(unknown)
    running = [name for name in dict.fromkeys(names) if instances[name].desired_state is DesiredState.RUNNING]
    if not running:
        raise NothingRunningError
    return running


def _check_rules(rules: RollRules, fleet: FleetView) -> None:
    if rules.batch_size < 1:
        raise BatchSizeError
    desired_running = sum(
        instance.desired_state is DesiredState.RUNNING for instance in fleet.instances.values()
    )
    if rules.min_ready > desired_running - 1:
        raise FloorError(rules.min_ready, desired_running)


def check_not_over(roll: Roll) -> None:
    """Raise RollOverError if the roll is over."""
    if roll.over:
        raise RollOverError(roll.id, roll.mode.value)


def pause(roll: Roll, reason: str) -> Roll:
    """Return the roll paused, or unchanged if it is over.

    No restart of another instance is begun; those in progress are completed.
    """
    return roll if roll.over else replace(roll, mode=RollMode.PAUSED, reason=reason, blocked_since=None)


def resume(roll: Roll) -> Roll:
    """Return a paused roll in progress again; instances that failed are restarted again.

    Raises:
        RollNotPausedError: If the roll is not paused.

    """
    if roll.mode is not RollMode.PAUSED:
        raise RollNotPausedError(roll.id, roll.mode.value)
    steps = tuple(
        replace(step, stage=RollStage.WAITING, detail="") if step.failed else step for step in roll.steps
    )
    return replace(roll, mode=RollMode.IN_PROGRESS, reason="", steps=steps, blocked_since=None)


def undo(roll: Roll) -> RollProgress:
    """Return the roll undoing: restarted instances get their previous version back, the latest first.

    A draining instance accepts messages again. An instance whose previous version is the target version is
    not restarted again.

    Raises:
        RollOverError: If the roll is over.

    """
    check_not_over(roll)
    steps = tuple(_step_to_undo(step, roll.target_version) for step in reversed(roll.steps))
    orders = _resume_orders(tuple(reversed(roll.steps)))
    undoing = replace(
        roll, mode=RollMode.UNDOING, reason="undone on request", steps=steps, blocked_since=None
    )
    return RollProgress(undoing, orders)


def _step_to_undo(step: RollStep, target_version: str) -> RollStep:
    """Return the step in the stage from which undoing continues."""
    match step.stage:
        case RollStage.DRAINING:
            return replace(step, stage=RollStage.SKIPPED, detail="accepts messages again")
        case RollStage.WAITING | RollStage.SKIPPED:
            return replace(step, stage=RollStage.SKIPPED, detail=step.detail or "not restarted by this roll")
        case _ if step.previous_version != target_version:
            return replace(step, stage=RollStage.WAITING, detail="")
        case RollStage.DONE:
            return replace(step, stage=RollStage.SKIPPED, detail="has no other version to restore")
        case _:
            return replace(step, detail="")


def _resume_orders(steps: tuple[RollStep, ...]) -> tuple[RollOrder, ...]:
    draining = (step for step in steps if step.stage is RollStage.DRAINING)
    return tuple(RollOrder(RollCommand.RESUME, step.name) for step in draining)


def end(roll: Roll) -> RollProgress:
    """Return the roll ended: instances stay as they are, except that draining ones accept messages again.

    Raises:
        RollOverError: If the roll is over already.

    """
    check_not_over(roll)
    ended = replace(roll, mode=RollMode.ENDED, reason="ended on request")
    return RollProgress(ended, _resume_orders(roll.steps))


def skip_instance(roll: Roll, name: str, reason: str) -> Roll:
    """Return the roll with an instance skipped, unless its restart is done or it is not part of the roll."""
    step = roll.step_of(name)
    if step is None or step.stage is RollStage.DONE:
        return roll
    return roll.with_step(replace(step, stage=RollStage.SKIPPED, detail=reason))
