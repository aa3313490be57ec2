"""What a person may do with a roll: plan one, pause it, resume, undo or end it. No clock, no I/O.

Called by the agent's reducer (`requests`, `instances`), and by a roll that pauses by itself (`roll_progress`).
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
    """Return a roll of these instances. Those that are not ready come first: their restart costs nothing.

    Raises:
        RollRejectedError: for unknown names, none at all, or a floor that allows no restart.

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
    meant_to_run = sum(
        instance.desired_state is DesiredState.RUNNING for instance in fleet.instances.values()
    )
    if rules.min_ready > meant_to_run - 1:
        raise FloorError(rules.min_ready, meant_to_run)


def check_not_over(roll: Roll) -> None:
    """Raise RollOverError where nothing more is to happen with this roll."""
    if roll.over:
        raise RollOverError(roll.id, roll.mode.value)


def pause(roll: Roll, why: str) -> Roll:
    """Return the roll paused: no further instance is begun, one under way is completed."""
    return roll if roll.over else replace(roll, mode=RollMode.PAUSED, reason=why, blocked_since=None)


def resume(roll: Roll) -> Roll:
    """Return the roll in progress again; an instance that failed is restarted once more.

    Raises:
        RollNotPausedError: where it is not paused.

    """
    if roll.mode is not RollMode.PAUSED:
        raise RollNotPausedError(roll.id, roll.mode.value)
    steps = tuple(
        replace(step, stage=RollStage.WAITING, detail="") if step.failed else step for step in roll.steps
    )
    return replace(roll, mode=RollMode.IN_PROGRESS, reason="", steps=steps, blocked_since=None)


def undo(roll: Roll) -> RollProgress:
    """Return the roll that brings all that it has touched back to what it ran before, the latest first.

    What is only draining accepts messages again; what was restarted with the version that it had before has
    nothing to go back to, and stays as it is.

    Raises:
        RollOverError: where it is over.

    """
    check_not_over(roll)
    steps = tuple(_undone(step, roll.target_version) for step in reversed(roll.steps))
    orders = _resume_drained(tuple(reversed(roll.steps)))
    undoing = replace(roll, mode=RollMode.UNDOING, reason="undone by order", steps=steps, blocked_since=None)
    return RollProgress(undoing, orders)


def _undone(step: RollStep, target: str) -> RollStep:
    """Return a step as undoing begins with it."""
    match step.stage:
        case RollStage.DRAINING:
            return replace(step, stage=RollStage.SKIPPED, detail="takes messages again")
        case RollStage.WAITING | RollStage.SKIPPED:
            return replace(step, stage=RollStage.SKIPPED, detail=step.detail or "not begun")
        case _ if step.previous_version != target:
            return replace(step, stage=RollStage.WAITING, detail="")
        case RollStage.DONE:
            return replace(step, stage=RollStage.SKIPPED, detail="nothing to go back to")
        case _:
            return replace(step, detail="")


def _resume_drained(steps: tuple[RollStep, ...]) -> tuple[RollOrder, ...]:
    draining = (step for step in steps if step.stage is RollStage.DRAINING)
    return tuple(RollOrder(RollCommand.RESUME, step.name) for step in draining)


def end(roll: Roll) -> RollProgress:
    """Return the roll ended, with all as it is but for what is draining: that accepts messages again.

    Raises:
        RollOverError: where it is over.

    """
    check_not_over(roll)
    ended = replace(roll, mode=RollMode.ENDED, reason="ended by order")
    return RollProgress(ended, _resume_drained(roll.steps))


def skip_instance(roll: Roll, name: str, why: str) -> Roll:
    """Return the roll without an instance that was given another order meanwhile."""
    step = roll.step_of(name)
    if step is None or step.stage is RollStage.DONE:
        return roll
    return roll.with_step(replace(step, stage=RollStage.SKIPPED, detail=why))
