"""Status and tables for the control channel, made from the reducer's state; changes nothing."""

from __future__ import annotations

import os

from juniperward.control.protocol import Body, Counters, Destination, Rows, Status, Verb, WorkerRow
from juniperward.forwarder.state import ForwarderState
from juniperward.forwarder.telemetry import counters
from juniperward.scheduler import DeliveryScheduler
from juniperward.scheduler.settings import SchedulerSettings
from juniperward.scheduler.status import DestinationStatus, destination_statuses, ejected_destinations

VERSION = "0.2.0"
FAILED_OUTCOMES = ("error", "timeout", "reset", "connect_failed")


def answer(
    verb: Verb, state: ForwarderState, settings: SchedulerSettings, scheduler: DeliveryScheduler, now: float
) -> Body:
    """Return the body of the answer to a request; orders are answered with the status right after them."""
    match verb:
        case Verb.DESTINATIONS:
            return Rows(tuple(_destination(status) for status in destination_statuses(scheduler, now)))
        case Verb.WORKERS:
            return Rows((), _endpoint_rows(state))
        case Verb.COUNTERS:
            return Counters(counters())
    return status(state, settings, scheduler, now)


def phase(state: ForwarderState) -> str:
    """Return serving, draining, drained or stopping."""
    if state.lifecycle.exit_by is not None:
        return "stopping"
    if not state.lifecycle.draining:
        return "serving"
    return "draining" if state.has_work() else "drained"


def status(
    state: ForwarderState, settings: SchedulerSettings, scheduler: DeliveryScheduler, now: float
) -> Status:
    """Return the status; what only the process knows (its name, the journal) is put in by the loop."""
    counted = counters()
    messages, directory = state.messages, state.directory
    oldest = next(iter(messages.pending.values()), None)  # they are in the order taken
    now_phase = phase(state)
    return Status(
        name="",
        version=VERSION,
        pid=os.getpid(),
        started=0.0,
        phase=now_phase,
        ready=now_phase == "serving",
        held=len(messages.pending),
        offered=len(messages.offered),
        owed=len(state.unacknowledged),
        calls_out=len(state.attempts.in_flight),
        slots=settings.slots,
        max_open=settings.max_open,
        oldest_held=max(0.0, now - oldest.received_at) if oldest is not None else 0.0,
        journal_bytes=0,
        journal_live=0,
        registry_version=directory.version,
        registry_age=now - directory.updated_at if directory.updated_at is not None else -1.0,
        destinations=len(directory.destinations),
        destinations_sick=ejected_destinations(scheduler),
        taken_on=counted.get("messages_accepted", 0),
        restored=counted.get("messages_restored", 0),
        delivered=counted.get("messages_delivered", 0),
        given_up=counted.get("messages_failed", 0) + counted.get("messages_rejected", 0),
        turned_away=_sum_of(counted, "rejections_"),
        calls=counted.get("attempts", 0),
        calls_failed=sum(counted.get(f"attempts_{outcome}", 0) for outcome in FAILED_OUTCOMES),
        broken=_sum_of(counted, "broken_"),
        kept=counted.get("dead_letters_stored", 0),
        kept_failed=counted.get("dead_letters_failed", 0),
    )


def _sum_of(counted: dict[str, int], prefix: str) -> int:
    return sum(value for name, value in counted.items() if name.startswith(prefix))


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


def _endpoint_rows(state: ForwarderState) -> tuple[WorkerRow, ...]:
    in_flight: dict[int, int] = {}
    for attempt in state.attempts.in_flight.values():
        in_flight[attempt.endpoint] = in_flight.get(attempt.endpoint, 0) + 1
    rows = []
    for number, endpoint in sorted(state.directory.endpoints.items()):
        word = "gone" if number in state.directory.gone else endpoint.phase.name.lower()
        address = f"{endpoint.host}:{endpoint.port}"
        calls = in_flight.get(number, 0)
        rows.append(WorkerRow(endpoint.id, address, endpoint.destination, word, endpoint.kind, calls))
    return tuple(rows)
