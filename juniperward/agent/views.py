"""Builds the replies about the fleet and its rolls from the agent's state, by pure functions."""

from __future__ import annotations

from msgspec import structs

from juniperward.agent.replies import InstanceRow, RollReply, RollStepRow, ServiceRow, StatusReply
from juniperward.agent.state import State
from juniperward.fleet.decisions import phase
from juniperward.fleet.model import DesiredState, Instance, Phase, Reading, Timeouts
from juniperward.fleet.roll_model import FAILURE_MARK, Roll

SERVICE_WINDOW_S = 10.0


def status(state: State, now: float) -> StatusReply:
    """Return the status of the complete fleet."""
    rows = tuple(
        instance_row(state.instances[name], now, state.rules.timeouts, state.configuration_version)
        for name in sorted(state.instances)
    )
    recent = state.meter.recent(now, SERVICE_WINDOW_S)
    running = [i for i in state.instances.values() if i.desired_state is DesiredState.RUNNING]
    return StatusReply(
        configuration_version=state.configuration_version,
        instances=rows,
        ready=sum(row.phase == Phase.READY for row in rows),
        meant_to_run=len(running),
        service=ServiceRow(recent.succeeded, recent.failed, recent.success_rate, SERVICE_WINDOW_S),
        roll=roll_view(state.roll) if state.roll is not None else None,
    )


def instance_row(instance: Instance, now: float, timeouts: Timeouts, newest_version: str) -> InstanceRow:
    """Return the status of one instance; unknown values are None."""
    observed = phase(instance, now, timeouts)
    version = instance.configuration_version
    process = instance.process
    row = InstanceRow(
        name=instance.name,
        phase=observed.value,
        desired_state=instance.desired_state.value,
        why=_reason_not_serving(instance, observed, now),
        pid=process.pid if process is not None else None,
        uptime_s=round(now - instance.started_at, 3) if process is not None else None,
        configuration_version=version or None,
        outdated=bool(version and version != newest_version),
        crashes=len(instance.crashes.times),
    )
    return row if instance.reading is None else _with_reading(row, instance.reading, now)


def _with_reading(row: InstanceRow, reading: Reading, now: float) -> InstanceRow:
    """Return the row with what the instance last reported."""
    list_age_s = round(reading.endpoint_list_age_s, 3) if reading.endpoint_list_age_s >= 0 else None
    return structs.replace(
        row,
        reading_age_s=round(now - reading.at, 3),
        pending=reading.pending,
        unfinished=reading.unfinished,
        attempts_in_flight=reading.attempts_in_flight,
        slots=reading.slots,
        accepted=reading.accepted,
        delivered=reading.delivered,
        attempts_failed=reading.attempts_failed,
        given_up=reading.given_up,
        rejected=reading.rejected,
        ejected_destinations=reading.ejected_destinations,
        invariants_broken=reading.invariants_broken,
        oldest_pending_age_s=round(reading.oldest_pending_age_s, 3),
        journal_bytes=reading.journal_bytes,
        endpoint_list_age_s=list_age_s,
    )


def _reason_not_serving(instance: Instance, observed: Phase, now: float) -> str:
    """Return why an instance does not serve, as text for the operator; empty if no reason is known."""
    restart_at = instance.crashes.restart_at
    if observed is Phase.UNRESPONSIVE and instance.unanswered_since is not None:
        return f"no answer for {now - instance.unanswered_since:.1f} s"
    if observed is Phase.STOPPED and restart_at is not None:
        return f"{instance.last_exit}; starts again in {max(restart_at - now, 0.0):.1f} s"
    if observed is Phase.STOPPED:
        return instance.last_exit
    return instance.crashes.crash_loop


def roll_view(roll: Roll) -> RollReply:
    """Return the reply about a roll and its steps."""
    steps = tuple(
        RollStepRow(step.name, step.stage.value, step.detail.lstrip(FAILURE_MARK), step.previous_version)
        for step in roll.steps
    )
    return RollReply(
        id=roll.id,
        mode=roll.mode.value,
        reason=roll.reason,
        target_version=roll.target_version,
        batch_size=roll.rules.batch_size,
        min_ready=roll.rules.min_ready,
        baseline_success_rate=roll.baseline_success_rate,
        over=roll.over,
        steps=steps,
    )
