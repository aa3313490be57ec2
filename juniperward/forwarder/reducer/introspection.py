"""Status and tables for the control channel, read from the state of the reducer and the scheduler.

Called by `Control`. The control output fills in the fields of a status that the reducer does not know.
"""

from __future__ import annotations

import os

from juniperward.control.protocol import (
    Body,
    Counters,
    DestinationRow,
    EndpointRow,
    ForwarderPhase,
    ListedPhase,
    Rows,
    Status,
    Verb,
)
from juniperward.forwarder.state import ForwarderState
from juniperward.forwarder.telemetry import counters
from juniperward.scheduler import DeliveryScheduler
from juniperward.scheduler.events import EndpointPhase
from juniperward.scheduler.settings import SchedulerSettings
from juniperward.scheduler.status import DestinationStatus, destination_statuses, ejected_destinations

VERSION = "0.2.0"
LISTED_PHASES = {
    EndpointPhase.READY: ListedPhase.READY,
    EndpointPhase.DRAINING: ListedPhase.DRAINING,
    EndpointPhase.REMOVED: ListedPhase.REMOVED,
}
FAILED_OUTCOMES = ("error", "timeout", "reset", "connect_failed")


def answer(
    verb: Verb, state: ForwarderState, settings: SchedulerSettings, scheduler: DeliveryScheduler, now: float
) -> Body:
    """Return the body of the reply to a request; the reply to an order is the status after it."""
    match verb:
        case Verb.DESTINATIONS:
            return Rows(tuple(_destination_row(status) for status in destination_statuses(scheduler, now)))
        case Verb.ENDPOINTS:
            return Rows((), _endpoint_rows(state))
        case Verb.COUNTERS:
            return Counters(counters())
    return status(state, settings, scheduler, now)


def phase(state: ForwarderState) -> ForwarderPhase:
    """Return where the forwarder is in its lifecycle."""
    if state.lifecycle.exit_by is not None:
        return ForwarderPhase.STOPPING
    if not state.lifecycle.draining:
        return ForwarderPhase.SERVING
    return ForwarderPhase.DRAINING if state.has_work() else ForwarderPhase.DRAINED


def status(
    state: ForwarderState, settings: SchedulerSettings, scheduler: DeliveryScheduler, now: float
) -> Status:
    """Return the status; the control output fills in the name, the start time and the journal sizes."""
    values = counters()
    messages, directory = state.messages, state.directory
    oldest = next(iter(messages.pending.values()), None)  # `pending` is in the order of acceptance
    current_phase = phase(state)
    return Status(
        name="",
        version=VERSION,
        pid=os.getpid(),
        started_at=0.0,
        phase=current_phase,
        ready=current_phase is ForwarderPhase.SERVING,
        pending=len(messages.pending),
        accepting=len(messages.accepting),
        unacknowledged=len(state.unacknowledged),
        attempts_in_flight=len(state.attempts_in_flight),
        slots=settings.slots,
        max_open=settings.max_open,
        oldest_pending_age_s=max(0.0, now - oldest.received_at) if oldest is not None else 0.0,
        journal_bytes=0,
        journal_live_bytes=0,
        endpoint_list_version=directory.version,
        endpoint_list_age_s=now - directory.updated_at if directory.updated_at is not None else -1.0,
        destinations=len(directory.destinations),
        ejected_destinations=ejected_destinations(scheduler),
        accepted=values.get("messages_accepted", 0),
        restored=values.get("messages_restored", 0),
        delivered=values.get("messages_delivered", 0),
        given_up=values.get("messages_failed", 0) + values.get("messages_rejected", 0),
        rejected=_sum_by_prefix(values, "rejections_"),
        attempts=values.get("attempts", 0),
        attempts_failed=sum(values.get(f"attempts_{outcome}", 0) for outcome in FAILED_OUTCOMES),
        invariants_broken=_sum_by_prefix(values, "broken_"),
        dead_letters_stored=values.get("dead_letters_stored", 0),
        dead_letters_failed=values.get("dead_letters_failed", 0),
    )


def _sum_by_prefix(values: dict[str, int], prefix: str) -> int:
    return sum(value for name, value in values.items() if name.startswith(prefix))


def _destination_row(status: DestinationStatus) -> DestinationRow:
    return DestinationRow(
        destination=status.destination,
        health=status.health.value,
        queued=status.queued,
        in_flight=status.in_flight,
        rate_limit_per_s=status.rate_limit_per_s,
        listed_rate_per_s=status.listed_rate_per_s,
        retry_after_s=status.retry_after_s,
        warming_up_for_s=status.warming_up_for_s,
        mean_latency_s=status.mean_latency_s,
        ready_endpoints=status.ready_endpoints,
    )


def _endpoint_rows(state: ForwarderState) -> tuple[EndpointRow, ...]:
    in_flight: dict[int, int] = {}
    for attempt in state.attempts_in_flight.values():
        in_flight[attempt.endpoint] = in_flight.get(attempt.endpoint, 0) + 1
    rows = []
    for number, endpoint in sorted(state.directory.endpoints.items()):
        removed = number in state.directory.removed
        rows.append(
            EndpointRow(
                id=endpoint.id,
                address=f"{endpoint.host}:{endpoint.port}",
                destination=endpoint.destination,
                phase=ListedPhase.REMOVED if removed else LISTED_PHASES[endpoint.phase],
                kind=endpoint.kind,
                in_flight=in_flight.get(number, 0),
            )
        )
    return tuple(rows)
