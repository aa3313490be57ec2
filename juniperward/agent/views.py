"""What the agent tells its clients, made from its state: plain JSON, documented in docs/operators.md. Pure."""

from __future__ import annotations

from typing import Any

from juniperward.agent.state import State
from juniperward.fleet.decisions import phase
from juniperward.fleet.model import DesiredState, Instance, Phase, Timeouts
from juniperward.fleet.roll_model import Roll


def status(s: State, now: float) -> dict[str, Any]:
    """The complete fleet of this agent."""
    rows = [
        instance(s.instances[n], now, s.rules.timeouts, s.configuration_version) for n in sorted(s.instances)
    ]
    recent = s.meter.recent(now, 10.0)
    return {
        "edition": s.configuration_version,
        "instances": rows,
        "ready": sum(r["state"] == Phase.READY for r in rows),
        "wanted": sum(i.desired_state is DesiredState.RUNNING for i in s.instances.values()),
        "service": {
            "good": recent.succeeded,
            "bad": recent.failed,
            "share": recent.success_rate,
            "seconds": 10.0,
        },
        "roll": roll_view(s.roll) if s.roll is not None else None,
    }


def instance(i: Instance, now: float, timeouts: Timeouts, configuration_version: str) -> dict[str, Any]:
    """One row; what is not known is null."""
    r = i.reading
    state = phase(i, now, timeouts)
    why = i.crashes.crash_loop or ""
    if state is Phase.UNRESPONSIVE and i.unanswered_since is not None:
        why = f"no answer for {now - i.unanswered_since:.1f} s"
    elif state is Phase.STOPPED and i.crashes.restart_at is not None:
        why = f"{i.last_exit}; starts again in {max(i.crashes.restart_at - now, 0.0):.1f} s"
    elif state is Phase.STOPPED:
        why = i.last_exit
    return {
        "name": i.name,
        "state": state.value,
        "wanted": i.desired_state.value,
        "why": why,
        "pid": i.process.pid if i.process is not None else None,
        "up": round(now - i.started_at, 3) if i.process is not None else None,
        "edition": i.configuration_version or None,
        "stale": bool(i.configuration_version and i.configuration_version != configuration_version),
        "crashes": len(i.crashes.times),
        "age": round(now - r.at, 3) if r is not None else None,
        "held": r.pending if r is not None else None,
        "owing": r.unfinished if r is not None else None,
        "calls_out": r.attempts_in_flight if r is not None else None,
        "slots": r.slots if r is not None else None,
        "taken_on": r.accepted if r is not None else None,
        "delivered": r.delivered if r is not None else None,
        "calls_failed": r.attempts_failed if r is not None else None,
        "given_up": r.given_up if r is not None else None,
        "turned_away": r.rejected if r is not None else None,
        "sick": r.ejected_destinations if r is not None else None,
        "broken": r.invariants_broken if r is not None else None,
        "oldest_held": round(r.oldest_pending_age_s, 3) if r is not None else None,
        "journal_bytes": r.journal_bytes if r is not None else None,
        "registry_age": round(r.endpoint_list_age_s, 3)
        if r is not None and r.endpoint_list_age_s >= 0
        else None,
    }


def roll_view(roll: Roll) -> dict[str, Any]:
    """A roll and each of its steps."""
    steps = [
        {
            "instance": s.name,
            "stage": s.stage.value,
            "note": s.detail.lstrip("!"),
            "before": s.previous_version,
        }
        for s in roll.steps
    ]
    return {
        "id": roll.id,
        "mode": roll.mode.value,
        "why": roll.reason,
        "target": roll.target_version,
        "at_once": roll.rules.batch_size,
        "floor": roll.rules.min_ready,
        "baseline": roll.baseline_success_rate,
        "over": roll.over,
        "steps": steps,
    }
