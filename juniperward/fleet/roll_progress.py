"""How a roll proceeds: the fleet as it is goes in, the roll as it is then and the orders come out. No clock, no I/O.

Called by the agent's reducer each tick. Orders may be carried out twice without harm: a roll that was stored before
its orders were carried out can be continued by another process at any moment.

A roll proceeds by itself only while all is well. It pauses, and says why, where an instance does not come up, where
one is up but does not deliver (both `roll_steps`), where the fleet's success rate falls, and where the next restart
would leave fewer ready instances than the floor. People then resume it, undo it or end it (`roll_commands`).
"""

from __future__ import annotations

from dataclasses import replace

from juniperward.fleet.roll_commands import pause
from juniperward.fleet.roll_model import (
    ACTIVE_STAGES,
    FINISHED,
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
    """Take the roll as far as the fleet's present state lets it go."""
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
    if roll.advancing and all(step.stage in FINISHED for step in roll.steps):
        roll = replace(roll, mode=RollMode.UNDONE if roll.mode is RollMode.UNDOING else RollMode.DONE)
    return RollProgress(roll, tuple(orders))


def _begin_next(roll: Roll, fleet: FleetView) -> RollProgress:
    """Begin with the next instances, as far as floor and batch size allow."""
    orders: list[RollOrder] = []
    ready = fleet.ready()
    active = {step.name for step in roll.steps if step.stage in ACTIVE_STAGES}
    blocked = ""
    for step in _waiting(roll, ready):
        if len(active) >= roll.rules.batch_size:
            break
        if is_withdrawn(step, fleet):
            roll = roll.enter_stage(step, RollStage.SKIPPED, fleet.now, "not meant to run any more")
            continue
        blocked = _floor_violation(roll, step, ready)
        if blocked:
            break
        roll, order = _begin(roll, step, step.name in ready, fleet.now)
        orders.append(order)
        active.add(step.name)
        ready.discard(step.name)
    if not blocked or active:
        return RollProgress(replace(roll, blocked_since=None), tuple(orders))
    return RollProgress(_wait_for_floor(roll, blocked, fleet.now), tuple(orders))


def _waiting(roll: Roll, ready: set[str]) -> list[RollStep]:
    """Return the steps not begun; instances that are not ready come first.

    Their restart costs no ready instance, and one of them may be what blocks the floor.
    """
    waiting = [step for step in roll.steps if step.stage is RollStage.WAITING]
    return sorted(waiting, key=lambda step: step.name in ready)


def _floor_violation(roll: Roll, step: RollStep, ready: set[str]) -> str:
    """Return why the floor does not allow this instance's restart now; empty where it does."""
    left = len(ready - {step.name})
    if step.name not in ready or left >= roll.rules.min_ready:
        return ""
    return f"{step.name} cannot go: {left} ready ones would be left, the floor is {roll.rules.min_ready}"


def _begin(roll: Roll, step: RollStep, ready: bool, now: float) -> tuple[Roll, RollOrder]:
    """Drain an instance that accepts messages, and stop one that does not."""
    if ready and not roll.rules.kill:
        return roll.enter_stage(step, RollStage.DRAINING, now), RollOrder(RollCommand.DRAIN, step.name)
    return roll.enter_stage(step, RollStage.STOPPING, now), stop_order(roll, step)


def _wait_for_floor(roll: Roll, why: str, now: float) -> Roll:
    """Pause where the floor has blocked the roll for too long."""
    since = roll.blocked_since if roll.blocked_since is not None else now
    if now - since >= roll.rules.blocked_timeout_s:
        return pause(roll, why)
    return replace(roll, blocked_since=since)


def _check_success_rate(roll: Roll, fleet: FleetView) -> Roll:
    """Pause where the fleet delivers less of what it attempts than before the roll."""
    if roll.mode is RollMode.UNDOING:
        return roll  # the previous version is what restores it
    recent, baseline = fleet.recent(roll.rules.success_window_s), roll.baseline_success_rate
    if baseline is None or recent.finished < roll.rules.min_attempts or recent.success_rate is None:
        return roll
    if recent.success_rate >= roll.rules.fleet_success_factor * baseline:
        return roll
    why = f"service fell: {recent.success_rate:.2f} of the calls deliver, {baseline:.2f} did before the roll"
    return pause(roll, why)
