"""The restart of one instance in a roll: drain, stop, start and soak.

Pure functions, called by `roll_progress`. The functions of the stages return the changed roll and the orders
to the instance. An order is repeated until the instance has followed it.
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

DEFAULT_BASELINE_SUCCESS_RATE = 0.5  # used if no attempts finished before the roll


def advance_step(roll: Roll, step: RollStep, fleet: FleetView) -> RollProgress:
    """Return the roll with a step advanced as far as the instance allows, and the orders to the instance."""
    if is_withdrawn(step, fleet):
        return RollProgress(roll.enter_stage(step, RollStage.SKIPPED, fleet.now, "stopped on request"))
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
    """Return whether the instance is no longer meant to run."""
    instance = fleet.instances.get(step.name)
    return instance is None or instance.desired_state is not DesiredState.RUNNING


def stop_order(roll: Roll, step: RollStep) -> RollOrder:
    """Return the order that ends the instance's process, by SIGTERM or by SIGKILL."""
    return RollOrder(RollCommand.KILL if roll.rules.kill else RollCommand.STOP, step.name)


def _start_order(roll: Roll, step: RollStep) -> RollOrder:
    return RollOrder(RollCommand.START, step.name, roll.version_for(step))


def _fail(roll: Roll, step: RollStep, failure: str, cause: str) -> RollProgress:
    """Mark the step as failed and pause the roll."""
    failed = roll.with_step(replace(step, detail=FAILURE_MARK + cause))
    return RollProgress(pause(failed, f"{step.name} {failure}{cause}"))


# --- draining and stopping ---------------------------------------------------------------------------------


def _drain(roll: Roll, step: RollStep, instance: Instance, fleet: FleetView) -> RollProgress:
    """Stop the instance once it is drained or the drain has timed out."""
    now = fleet.now
    if instance.process is None:
        detail = f"exited while draining: {instance.last_exit}"
        starting = roll.enter_stage(step, RollStage.STARTING, now, detail)
        return RollProgress(starting, (_start_order(roll, step),))
    observed = fleet.phase_of(instance)
    stop = RollOrder(RollCommand.STOP, step.name)
    if observed is Phase.DRAINED:
        return RollProgress(roll.enter_stage(step, RollStage.STOPPING, now), (stop,))
    if now - step.stage_since >= roll.rules.drain_timeout_s:
        # Pending messages are in the instance's journal; its next process restores them.
        detail = f"not drained within {roll.rules.drain_timeout_s:g} s ({_unfinished(instance, observed)})"
        return RollProgress(roll.enter_stage(step, RollStage.STOPPING, now, detail), (stop,))
    if instance.drain_requested:
        return RollProgress(roll)
    return RollProgress(roll, (RollOrder(RollCommand.DRAIN, step.name),))


def _unfinished(instance: Instance, observed: Phase) -> str:
    if observed is Phase.UNRESPONSIVE:
        return observed.value
    count = instance.reading.unfinished if instance.reading is not None else 0
    return f"{count} unfinished"


def _stop(roll: Roll, step: RollStep, instance: Instance, now: float) -> RollProgress:
    """Start the instance once its process has ended or was replaced by one of the right version."""
    right_version = instance.configuration_version == roll.version_for(step)
    restarted = right_version and instance.started_at > step.stage_since
    if instance.process is None or restarted:
        starting = roll.enter_stage(step, RollStage.STARTING, now)
        return RollProgress(starting, (_start_order(roll, step),))
    return RollProgress(roll, (stop_order(roll, step),))


# --- starting ----------------------------------------------------------------------------------------------


def _start(roll: Roll, step: RollStep, instance: Instance, fleet: FleetView) -> RollProgress:
    """Begin the soak once the instance is ready; pause the roll if it fails to start."""
    if fleet.phase_of(instance) is Phase.READY:
        return RollProgress(roll.enter_stage(step, RollStage.SOAKING, fleet.now))
    if step.failed:
        return RollProgress(roll)
    failure_cause = _start_failure(step, instance, fleet)
    if failure_cause:
        return _fail(roll, step, "failed to start: ", failure_cause)
    if instance.process is None:
        return RollProgress(roll, (_start_order(roll, step),))
    return RollProgress(roll)


def _start_failure(step: RollStep, instance: Instance, fleet: FleetView) -> str:
    """Return why an instance failed to start, or an empty text if it may still become ready."""
    crashes, timeouts = instance.crashes, fleet.timeouts
    if crashes.crash_loop:
        return crashes.crash_loop
    if instance.process is not None:
        timed_out = start_timed_out(instance, fleet.now, timeouts)
    else:
        crashed = crashes.consecutive and crashes.times and crashes.times[-1] > step.stage_since
        if crashed:
            return f"exited before it was ready: {instance.last_exit}"
        timed_out = fleet.now - step.stage_since >= timeouts.start_s
    return f"not ready {timeouts.start_s:g} s after its start" if timed_out else ""


# --- soaking -----------------------------------------------------------------------------------------------


def _soak(roll: Roll, step: RollStep, instance: Instance, fleet: FleetView) -> RollProgress:
    """Judge the instance by its attempts, as one that reports ready may still fail all of them."""
    if step.failed:
        return RollProgress(roll)
    observed = fleet.phase_of(instance)
    if observed is Phase.READY:
        return _judge(roll, step, instance, fleet.now)
    if observed is Phase.UNRESPONSIVE or instance.process is None:
        return _fail(roll, step, f"was ready and is {observed.value}: ", instance.last_exit or observed.value)
    # The instance is temporarily not ready: restart its soak.
    return RollProgress(roll.enter_stage(step, RollStage.SOAKING, fleet.now, step.detail))


def _judge(roll: Roll, step: RollStep, instance: Instance, now: float) -> RollProgress:
    """Finish the step or pause the roll, depending on the success rate of a ready instance.

    A low success rate fails the step only after the minimum soak, as it may still rise.
    """
    assert instance.reading is not None
    rules, counted, soaked_s = roll.rules, tally(instance.reading), now - step.stage_since
    required_rate = rules.instance_success_factor * _baseline(roll)
    enough_attempts = counted.finished >= rules.min_attempts
    rate = counted.success_rate
    if enough_attempts and rate is not None and rate < required_rate:
        if soaked_s < rules.soak_s:
            return RollProgress(roll)
        cause = f"{counted.succeeded} of {counted.finished} attempts succeeded, minimum {required_rate:.2f}"
        return _fail(roll, step, "is ready but ", cause)
    if soaked_s >= rules.max_soak_s or (soaked_s >= rules.soak_s and _can_be_judged(counted, roll)):
        detail = "" if enough_attempts else f"judged by {counted.finished} attempts only"
        return RollProgress(roll.enter_stage(step, RollStage.DONE, now, detail))
    return RollProgress(roll)


def _baseline(roll: Roll) -> float:
    rate = roll.baseline_success_rate
    return rate if rate is not None else DEFAULT_BASELINE_SUCCESS_RATE


def _can_be_judged(counted: Tally, roll: Roll) -> bool:
    """Return whether the soak need not wait for attempts: there are enough, or the fleet had none before."""
    return counted.finished >= roll.rules.min_attempts or roll.baseline_success_rate is None
