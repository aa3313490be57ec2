"""How a roll goes on: one look at the fleet, the roll as it stands then, and the orders. No clock, no I/O.

Orders may be carried out twice without harm: a roll that was written down before its orders were carried out can
be taken up again by another process at any moment.

A roll goes on by itself only while all is well. It pauses, and says why, where an instance does not come up, where
one is up but does not deliver, where the fleet's service falls, and where going on would leave fewer ready
instances than the floor. People then resume it, undo it or end it (`roll_commands`).
"""

from __future__ import annotations

from dataclasses import replace

from juniperward.fleet.decisions import overdue_start
from juniperward.fleet.model import DesiredState, Instance, Phase
from juniperward.fleet.roll_commands import pause
from juniperward.fleet.roll_model import (
    ACTIVE,
    FAILURE_MARK,
    FINISHED,
    FleetView,
    Roll,
    RollCommand,
    RollMode,
    RollOrder,
    RollStage,
    RollStep,
)
from juniperward.fleet.service import Tally, tally

SHARE_WITHOUT_BASELINE = 0.5  # of successful attempts, where nothing was known before the roll

Progress = tuple[Roll, list[RollOrder]]


def advance(roll: Roll, fleet: FleetView) -> Progress:
    """Take the roll on as far as the fleet's present state lets it go."""
    if roll.over:
        return roll, []
    orders: list[RollOrder] = []
    for step in roll.steps:
        if step.stage in ACTIVE:
            roll, more = _advance_step(roll, step, fleet)
            orders += more
    if roll.advancing:
        roll = _check_service(roll, fleet)
    if roll.advancing:
        roll, more = _begin_next(roll, fleet)
        orders += more
    if roll.advancing and all(step.stage in FINISHED for step in roll.steps):
        roll = replace(roll, mode=RollMode.UNDONE if roll.mode is RollMode.UNDOING else RollMode.DONE)
    return roll, orders


def _enter(roll: Roll, step: RollStep, stage: RollStage, now: float, detail: str = "") -> Roll:
    return roll.with_step(replace(step, stage=stage, stage_since=now, detail=detail))


def _fail(roll: Roll, step: RollStep, what: str, why: str) -> Progress:
    """Pause the roll for an instance that did not do what it should."""
    return pause(roll.with_step(replace(step, detail=FAILURE_MARK + why)), f"{step.name} {what}{why}"), []


# --- the next instances ------------------------------------------------------------------------------------


def _begin_next(roll: Roll, fleet: FleetView) -> Progress:
    """Begin with the next instances, as far as floor and batch allow."""
    orders: list[RollOrder] = []
    ready = fleet.ready()
    active = {step.name for step in roll.steps if step.stage in ACTIVE}
    blocked = ""
    waiting = [step for step in roll.steps if step.stage is RollStage.WAITING]
    # What is away by now costs nothing, and may be what holds the floor.
    for step in sorted(waiting, key=lambda step: step.name in ready):
        if len(active) >= roll.rules.batch_size:
            break
        if _stopped_by_order(step, fleet):
            roll = _enter(roll, step, RollStage.SKIPPED, fleet.now, "not meant to run any more")
            continue
        left = len(ready - {step.name})
        if step.name in ready and left < roll.rules.min_ready:
            blocked = (
                f"{step.name} cannot go: {left} ready ones would be left, the floor is {roll.rules.min_ready}"
            )
            break
        roll, order = _begin(roll, step, step.name in ready, fleet.now)
        orders.append(order)
        active.add(step.name)
        ready.discard(step.name)
    if not blocked or active:
        return replace(roll, blocked_since=None), orders
    return _wait_for_floor(roll, blocked, fleet.now), orders


def _begin(roll: Roll, step: RollStep, ready: bool, now: float) -> tuple[Roll, RollOrder]:
    """Drain an instance that takes messages, and end one that does not."""
    if ready and not roll.rules.kill:
        return _enter(roll, step, RollStage.DRAINING, now), RollOrder(RollCommand.DRAIN, step.name)
    return _enter(roll, step, RollStage.STOPPING, now), _stop_order(roll, step)


def _stop_order(roll: Roll, step: RollStep) -> RollOrder:
    return RollOrder(RollCommand.KILL if roll.rules.kill else RollCommand.STOP, step.name)


def _wait_for_floor(roll: Roll, why: str, now: float) -> Roll:
    """Pause where the floor has been in the way for too long."""
    since = roll.blocked_since if roll.blocked_since is not None else now
    if now - since >= roll.rules.blocked_timeout_s:
        return pause(roll, why)
    return replace(roll, blocked_since=since)


def _check_service(roll: Roll, fleet: FleetView) -> Roll:
    """Pause where the fleet delivers less of what it attempts than before the roll."""
    if roll.mode is RollMode.UNDOING:
        return roll  # going back is what mends it
    lately = fleet.lately(roll.rules.success_window_s)
    if roll.baseline_success_rate is None or lately.ended < roll.rules.min_attempts or lately.share is None:
        return roll
    if lately.share >= roll.rules.fleet_success_factor * roll.baseline_success_rate:
        return roll
    return pause(
        roll,
        f"service fell: {lately.share:.2f} of the calls deliver, "
        f"{roll.baseline_success_rate:.2f} did before the roll",
    )


def _stopped_by_order(step: RollStep, fleet: FleetView) -> bool:
    instance = fleet.instances.get(step.name)
    return instance is None or instance.desired_state is not DesiredState.RUNNING


# --- an instance that is under way -------------------------------------------------------------------------


def _advance_step(roll: Roll, step: RollStep, fleet: FleetView) -> Progress:
    """Take one instance on; orders that it has not followed yet are given again."""
    if _stopped_by_order(step, fleet):
        return _enter(roll, step, RollStage.SKIPPED, fleet.now, "stopped by order"), []
    instance = fleet.instances[step.name]
    match step.stage:
        case RollStage.DRAINING:
            return _drain(roll, step, instance, fleet)
        case RollStage.STOPPING:
            return _stop(roll, step, instance, fleet.now)
        case RollStage.STARTING:
            return _start(roll, step, instance, fleet)
        case RollStage.SOAKING:
            return _soak(roll, step, instance, fleet)
    return roll, []


def _start_order(roll: Roll, step: RollStep) -> RollOrder:
    return RollOrder(RollCommand.START, step.name, roll.version_for(step))


def _drain(roll: Roll, step: RollStep, instance: Instance, fleet: FleetView) -> Progress:
    """Wait until nothing is owed any more, or its time is up."""
    now = fleet.now
    if instance.process is None:
        detail = f"ended while draining: {instance.last_exit}"
        return _enter(roll, step, RollStage.STARTING, now, detail), [_start_order(roll, step)]
    observed = fleet.phase_of(instance)
    stop = RollOrder(RollCommand.STOP, step.name)
    if observed is Phase.DRAINED:
        return _enter(roll, step, RollStage.STOPPING, now), [stop]
    if now - step.stage_since >= roll.rules.drain_timeout_s:
        # What it holds is in its journal: the next process goes on with it.
        unfinished = instance.reading.unfinished if instance.reading is not None else 0
        why = "silent" if observed is Phase.UNRESPONSIVE else f"{unfinished} still owed"
        detail = f"not drained within {roll.rules.drain_timeout_s:g} s ({why})"
        return _enter(roll, step, RollStage.STOPPING, now, detail), [stop]
    return roll, [] if instance.drain_requested else [RollOrder(RollCommand.DRAIN, step.name)]


def _stop(roll: Roll, step: RollStep, instance: Instance, now: float) -> Progress:
    """Wait until its process has ended, or another one of the right version was started since."""
    restarted = instance.started_at > step.stage_since and instance.configuration_version == roll.version_for(
        step
    )
    if instance.process is None or restarted:
        return _enter(roll, step, RollStage.STARTING, now), [_start_order(roll, step)]
    return roll, [_stop_order(roll, step)]


def _start(roll: Roll, step: RollStep, instance: Instance, fleet: FleetView) -> Progress:
    """Wait until it is ready; pause the roll where it does not come up."""
    if fleet.phase_of(instance) is Phase.READY:
        return _enter(roll, step, RollStage.SOAKING, fleet.now), []
    if step.failed:
        return roll, []
    why = _start_failure(step, instance, fleet)
    if why:
        return _fail(roll, step, "does not come up: ", why)
    return roll, [_start_order(roll, step)] if instance.process is None else []


def _start_failure(step: RollStep, instance: Instance, fleet: FleetView) -> str:
    """Return why an instance has not come up, or an empty text where it may still do so."""
    crashes, timeouts = instance.crashes, fleet.timeouts
    if crashes.crash_loop:
        return crashes.crash_loop
    if (
        instance.process is None
        and crashes.consecutive
        and crashes.times
        and crashes.times[-1] > step.stage_since
    ):
        return f"it ended at its start: {instance.last_exit}"
    never_started = instance.process is None and fleet.now - step.stage_since >= timeouts.start_s
    if never_started or overdue_start(instance, fleet.now, timeouts):
        return f"not ready {timeouts.start_s:g} s after its start"
    return ""


def _soak(roll: Roll, step: RollStep, instance: Instance, fleet: FleetView) -> Progress:
    """Watch whether it delivers: ready is only what it says of itself."""
    if step.failed:
        return roll, []
    observed = fleet.phase_of(instance)
    if observed is Phase.READY:
        return _judge(roll, step, instance, fleet.now)
    if observed is Phase.UNRESPONSIVE or instance.process is None:
        return _fail(roll, step, f"was ready and is {observed.value}: ", instance.last_exit or observed.value)
    return _enter(roll, step, RollStage.SOAKING, fleet.now, step.detail), []


def _judge(roll: Roll, step: RollStep, instance: Instance, now: float) -> Progress:
    """Decide by its attempts whether a ready instance is good."""
    assert instance.reading is not None
    rules, done, soaked_s = roll.rules, tally(instance.reading), now - step.stage_since
    baseline = (
        roll.baseline_success_rate if roll.baseline_success_rate is not None else SHARE_WITHOUT_BASELINE
    )
    least_share = rules.instance_success_factor * baseline
    if done.ended >= rules.min_attempts and done.share is not None and done.share < least_share:
        if soaked_s < rules.soak_s:
            return roll, []
        why = f"{done.good} of {done.ended} calls deliver, {least_share:.2f} of them must"
        return _fail(roll, step, "is ready but ", why)
    if soaked_s >= rules.max_soak_s or (soaked_s >= rules.soak_s and _enough(done, roll)):
        few = "" if done.ended >= rules.min_attempts else f"only {done.ended} calls to judge it by"
        return _enter(roll, step, RollStage.DONE, now, few), []
    return roll, []


def _enough(done: Tally, roll: Roll) -> bool:
    return done.ended >= roll.rules.min_attempts or roll.baseline_success_rate is None
