"""Introspection on the control channel: status and tables made from the reducer's state; changes nothing."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from juniperward.control.protocol import Body, Counters, Destination, Rows, Status, Verb, WorkerRow
from juniperward.forwarder.counters import counters
from juniperward.scheduler import DeliveryScheduler
from juniperward.scheduler.settings import SchedulerSettings
from juniperward.scheduler.status import DestinationStatus, destination_statuses, ejected_destinations

if TYPE_CHECKING:
    from juniperward.forwarder.state import State

VERSION = "0.2.0"
FAILED = ("error", "timeout", "reset", "connect_failed")


def answer(
    verb: Verb, state: State, settings: SchedulerSettings, scheduler: DeliveryScheduler, now: float
) -> Body:
    """The body of the answer to a request; orders are answered with the state right after them."""
    match verb:
        case Verb.DESTINATIONS:
            return Rows(tuple(_destination(status) for status in destination_statuses(scheduler, now)))
        case Verb.WORKERS:
            return Rows((), _workers(state))
        case Verb.COUNTERS:
            return Counters(counters())
    return status(state, settings, scheduler, now)


def phase(state: State) -> str:
    """serving, draining, drained or stopping."""
    if state.stop_at is not None:
        return "stopping"
    if not state.draining:
        return "serving"
    return "draining" if state.held or state.offered or state.in_flight or state.unacknowledged else "drained"


def status(state: State, settings: SchedulerSettings, scheduler: DeliveryScheduler, now: float) -> Status:
    """The state of this forwarder; what only the process knows (name, journal) is put in by the loop."""
    c = counters()
    oldest = next(iter(state.held.values()), None)  # messages are held in the order taken
    now_phase = phase(state)
    return Status(
        name="", version=VERSION, pid=os.getpid(), started=0.0, phase=now_phase,
        ready=now_phase == "serving",
        held=len(state.held), offered=len(state.offered), owed=len(state.unacknowledged),
        calls_out=len(state.in_flight), slots=settings.slots, max_open=settings.max_open,
        oldest_held=max(0.0, now - oldest.since) if oldest is not None else 0.0,
        journal_bytes=0, journal_live=0,
        registry_version=state.version,
        registry_age=now - state.endpoints_updated_at if state.endpoints_updated_at is not None else -1.0,
        destinations=len(state.destinations), destinations_sick=ejected_destinations(scheduler),
        taken_on=c.get("taken_on", 0), restored=c.get("restored", 0), delivered=c.get("delivered", 0),
        given_up=c.get("given_up_failed", 0) + c.get("given_up_refused", 0),
        turned_away=sum(v for k, v in c.items() if k.startswith("overload_replies_")),
        calls=c.get("delegations", 0),
        calls_failed=sum(c.get(f"delegations_{x}", 0) for x in FAILED),
        broken=sum(v for k, v in c.items() if k.startswith("broken_")),
        kept=c.get("kept", 0), kept_failed=c.get("kept_failed", 0),
    )  # fmt: skip


def _destination(status: DestinationStatus) -> Destination:
    return Destination(
        destination=status.destination,
        health=status.health.value,
        waiting=status.queued,
        in_flight=status.in_flight,
        pace=status.rate_limit,
        rating=status.listed_rate,
        wait=status.retry_after_s,
        warming=status.warming_up_for_s,
        latency=status.mean_latency_s,
        endpoints=status.ready_endpoints,
    )


def _workers(state: State) -> tuple[WorkerRow, ...]:
    calls: dict[int, int] = {}
    for attempt in state.in_flight.values():
        calls[attempt.worker] = calls.get(attempt.worker, 0) + 1
    rows = []
    for number, w in sorted(state.workers.items()):
        word = "gone" if number in state.gone else w.phase.name.lower()
        rows.append(WorkerRow(w.id, f"{w.host}:{w.port}", w.destination, word, w.kind, calls.get(number, 0)))
    return tuple(rows)
