"""The progress of a roll: from a roll and the observed fleet to the changed roll and its orders.

Pure functions. The agent's reducer calls `advance` each tick. It stores the changed roll before it carries
out the orders, so another process may carry them out again: orders are idempotent.

A roll pauses with a reason if an instance does not become ready, if the attempts of a ready one fail (both
`roll_steps`), if the fleet's success rate falls, or if the floor forbids the next restart for too long. An
operator then resumes, undoes or ends it (`roll_commands`).
"""

from __future__ import annotations

from dataclasses import replace

from juniperward.fleet.roll_commands import pause
from juniperward.fleet.roll_model import (
    ACTIVE_STAGES,
    FINAL_STAGES,
    FleetView,
    Roll,
    RollCommand,
    RollMode,
    RollOrder,
    RollProgress,
    RollStage,
    RollStep,
)
from juniperward.fleet.roll_steps import advance_step, is_withdrawn, stop_order


def advance(roll: Roll, fleet: FleetView) -> RollProgress:
    """Return the roll advanced as far as the observed fleet allows, with the orders to instances."""
    if roll.over:
        return RollProgress(roll)
    orders: list[RollOrder] = []
    for step in roll.steps:
        if step.stage in ACTIVE_STAGES:
            roll, more = advance_step(roll, step, fleet)
            orders += more
    if roll.advancing:
        roll = _check_success_rate(roll, fleet)
    if roll.advancing:
        roll, more = _begin_next(roll, fleet)
        orders += more
    if roll.advancing and all(step.stage in FINAL_STAGES for step in roll.steps):
        roll = replace(roll, mode=RollMode.UNDONE if roll.mode is RollMode.UNDOING else RollMode.DONE)
    return RollProgress(roll, tuple(orders))


def _begin_next(roll: Roll, fleet: FleetView) -> RollProgress:
    """Begin to restart further instances, as far as the floor and the batch size allow."""
    orders: list[RollOrder] = []
    ready = fleet.ready()
    active = {step.name for step in roll.steps if step.stage in ACTIVE_STAGES}
    violation = ""
    for step in _waiting(roll, ready):
        if len(active) >= roll.rules.batch_size:
            break
        if is_withdrawn(step, fleet):
            roll = roll.enter_stage(step, RollStage.SKIPPED, fleet.now, "no longer meant to run")
            continue
        violation = _floor_violation(roll, step, ready)
        if violation:
            break
        roll, order = _begin(roll, step, step.name in ready, fleet.now)
        orders.append(order)
        active.add(step.name)
        ready.discard(step.name)
    if not violation or active:
        return RollProgress(replace(roll, blocked_since=None), tuple(orders))
    return RollProgress(_wait_for_floor(roll, violation, fleet.now), tuple(orders))


def _waiting(roll: Roll, ready: set[str]) -> list[RollStep]:
    """Return the waiting steps; instances that are not ready come first.

    Their restart does not reduce the number of ready instances, and may raise it above the floor.
    """
    waiting = [step for step in roll.steps if step.stage is RollStage.WAITING]
    return sorted(waiting, key=lambda step: step.name in ready)


def _floor_violation(roll: Roll, step: RollStep, ready: set[str]) -> str:
    """Return why the floor forbids this instance's restart now, or an empty text if it does not."""
    remaining = len(ready - {step.name})
    if step.name not in ready or remaining >= roll.rules.min_ready:
        return ""
    floor = roll.rules.min_ready
    return f"{step.name} cannot be restarted: only {remaining} would stay ready, the floor is {floor}"


def _begin(roll: Roll, step: RollStep, ready: bool, now: float) -> tuple[Roll, RollOrder]:
    """Return the roll with a step begun and its order: drain a ready instance, stop any other."""
    if ready and not roll.rules.kill:
        return roll.enter_stage(step, RollStage.DRAINING, now), RollOrder(RollCommand.DRAIN, step.name)
    return roll.enter_stage(step, RollStage.STOPPING, now), stop_order(roll, step)


def _wait_for_floor(roll: Roll, violation: str, now: float) -> Roll:
    """Pause the roll once the floor has blocked it for `blocked_timeout_s`."""
    since = roll.blocked_since if roll.blocked_since is not None else now
    if now - since >= roll.rules.blocked_timeout_s:
        return pause(roll, violation)
    return replace(roll, blocked_since=since)


def _check_success_rate(roll: Roll, fleet: FleetView) -> Roll:
    """Pause the roll if the fleet's success rate is too far below its baseline."""
    if roll.mode is RollMode.UNDOING:
        return roll  # a pause would keep the failing version running
    recent, baseline = fleet.recent(roll.rules.success_window_s), roll.baseline_success_rate
    if baseline is None or recent.finished < roll.rules.min_attempts or recent.success_rate is None:
        return roll
    if recent.success_rate >= roll.rules.fleet_success_factor * baseline:
        return roll
    reason = f"success rate fell: {recent.success_rate:.2f} of all attempts, {baseline:.2f} before the roll"
    return pause(roll, reason)
