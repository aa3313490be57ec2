"""One instance in a roll: from draining over stopping and starting to the soak, after which it is judged. Pure.

Each function takes the roll, the instance's step and what is observed of the instance, and returns the roll as it is
then, with the orders to the instance. An order that it has not followed yet is given again. Called by
`roll_progress`.
"""

from __future__ import annotations

from dataclasses import replace

from juniperward.fleet.decisions import start_timed_out
from juniperward.fleet.model import DesiredState, Instance, Phase
from juniperward.fleet.roll_commands import pause
from juniperward.fleet.roll_model import (
    FAILURE_MARK,
    FleetView,
    Roll,
    RollCommand,
    RollOrder,
    RollProgress,
    RollStage,
    RollStep,
)
from juniperward.fleet.service import Tally, tally

DEFAULT_BASELINE_SUCCESS_RATE = 0.5  # where nothing had finished before the roll


def advance_step(roll: Roll, step: RollStep, fleet: FleetView) -> RollProgress:
    """Take one instance that the roll is at as far as its present state lets it go."""
    if is_withdrawn(step, fleet):
        return RollProgress(roll.enter_stage(step, RollStage.SKIPPED, fleet.now, "stopped by order"))
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
    return RollProgress(roll)


def is_withdrawn(step: RollStep, fleet: FleetView) -> bool:
    """Return whether the instance is not meant to run any more."""
    instance = fleet.instances.get(step.name)
    return instance is None or instance.desired_state is not DesiredState.RUNNING


def stop_order(roll: Roll, step: RollStep) -> RollOrder:
    """Return the order that ends the instance's process."""
    return RollOrder(RollCommand.KILL if roll.rules.kill else RollCommand.STOP, step.name)


def _start_order(roll: Roll, step: RollStep) -> RollOrder:
    return RollOrder(RollCommand.START, step.name, roll.version_for(step))


def _fail(roll: Roll, step: RollStep, what: str, why: str) -> RollProgress:
    """Pause the roll for an instance that did not do what it should."""
    failed = roll.with_step(replace(step, detail=FAILURE_MARK + why))
    return RollProgress(pause(failed, f"{step.name} {what}{why}"))


# --- draining and stopping ---------------------------------------------------------------------------------


def _drain(roll: Roll, step: RollStep, instance: Instance, fleet: FleetView) -> RollProgress:
    """Wait until nothing is unfinished, or the drain's time is over."""
    now = fleet.now
    if instance.process is None:
        detail = f"ended while draining: {instance.last_exit}"
        starting = roll.enter_stage(step, RollStage.STARTING, now, detail)
        return RollProgress(starting, (_start_order(roll, step),))
    observed = fleet.phase_of(instance)
    stop = RollOrder(RollCommand.STOP, step.name)
    if observed is Phase.DRAINED:
        return RollProgress(roll.enter_stage(step, RollStage.STOPPING, now), (stop,))
    if now - step.stage_since >= roll.rules.drain_timeout_s:
        # What is pending is in its journal: the next process continues with it.
        detail = f"not drained within {roll.rules.drain_timeout_s:g} s ({_unfinished(instance, observed)})"
        return RollProgress(roll.enter_stage(step, RollStage.STOPPING, now, detail), (stop,))
    if instance.drain_requested:
        return RollProgress(roll)
    return RollProgress(roll, (RollOrder(RollCommand.DRAIN, step.name),))


def _unfinished(instance: Instance, observed: Phase) -> str:
    """Return why an instance is not drained yet."""
    if observed is Phase.UNRESPONSIVE:
        return observed.value
    count = instance.reading.unfinished if instance.reading is not None else 0
    return f"{count} unfinished"


def _stop(roll: Roll, step: RollStep, instance: Instance, now: float) -> RollProgress:
    """Wait until its process has ended, or another one of the right version was started since."""
    right_version = instance.configuration_version == roll.version_for(step)
    restarted = right_version and instance.started_at > step.stage_since
    if instance.process is None or restarted:
        starting = roll.enter_stage(step, RollStage.STARTING, now)
        return RollProgress(starting, (_start_order(roll, step),))
    return RollProgress(roll, (stop_order(roll, step),))


# --- starting ----------------------------------------------------------------------------------------------


def _start(roll: Roll, step: RollStep, instance: Instance, fleet: FleetView) -> RollProgress:
    """Wait until it is ready; pause the roll where it does not come up."""
    if fleet.phase_of(instance) is Phase.READY:
        return RollProgress(roll.enter_stage(step, RollStage.SOAKING, fleet.now))
    if step.failed:
        return RollProgress(roll)
    why = _start_failure(step, instance, fleet)
    if why:
        return _fail(roll, step, "does not come up: ", why)
    if instance.process is None:
        return RollProgress(roll, (_start_order(roll, step),))
    return RollProgress(roll)


def _start_failure(step: RollStep, instance: Instance, fleet: FleetView) -> str:
    """Return why an instance has not come up, or an empty text where it may still do so."""
    crashes, timeouts = instance.crashes, fleet.timeouts
    if crashes.crash_loop:
        return crashes.crash_loop
    if instance.process is not None:
        timed_out = start_timed_out(instance, fleet.now, timeouts)
    else:
        crashed = crashes.consecutive and crashes.times and crashes.times[-1] > step.stage_since
        if crashed:
            return f"it ended at its start: {instance.last_exit}"
        timed_out = fleet.now - step.stage_since >= timeouts.start_s
    return f"not ready {timeouts.start_s:g} s after its start" if timed_out else ""


# --- soaking -----------------------------------------------------------------------------------------------


def _soak(roll: Roll, step: RollStep, instance: Instance, fleet: FleetView) -> RollProgress:
    """Watch whether it delivers: ready is only what it reports of itself."""
    if step.failed:
        return RollProgress(roll)
    observed = fleet.phase_of(instance)
    if observed is Phase.READY:
        return _judge(roll, step, instance, fleet.now)
    if observed is Phase.UNRESPONSIVE or instance.process is None:
        return _fail(roll, step, f"was ready and is {observed.value}: ", instance.last_exit or observed.value)
    # Not ready for the moment: its soak begins anew.
    return RollProgress(roll.enter_stage(step, RollStage.SOAKING, fleet.now, step.detail))


def _judge(roll: Roll, step: RollStep, instance: Instance, now: float) -> RollProgress:
    """Decide by its attempts whether a ready instance is good."""
    assert instance.reading is not None
    rules, counted, soaked_s = roll.rules, tally(instance.reading), now - step.stage_since
    required_rate = rules.instance_success_factor * _baseline(roll)
    enough_attempts = counted.finished >= rules.min_attempts
    rate = counted.success_rate
    if enough_attempts and rate is not None and rate < required_rate:
        if soaked_s < rules.soak_s:
            return RollProgress(roll)
        why = f"{counted.succeeded} of {counted.finished} calls deliver, {required_rate:.2f} of them must"
        return _fail(roll, step, "is ready but ", why)
    if soaked_s >= rules.max_soak_s or (soaked_s >= rules.soak_s and _can_be_judged(counted, roll)):
        detail = "" if enough_attempts else f"only {counted.finished} calls to judge it by"
        return RollProgress(roll.enter_stage(step, RollStage.DONE, now, detail))
    return RollProgress(roll)


def _baseline(roll: Roll) -> float:
    rate = roll.baseline_success_rate
    return rate if rate is not None else DEFAULT_BASELINE_SUCCESS_RATE


def _can_be_judged(counted: Tally, roll: Roll) -> bool:
    """Whether more attempts are not worth a longer soak: there are enough, or there were none before the roll."""
    return counted.finished >= roll.rules.min_attempts or roll.baseline_success_rate is None
