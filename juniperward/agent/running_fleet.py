"""Gives the redriver access to the running fleet: spools, control channels and the HTTP API of forwarders."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from juniperward.agent import processes
from juniperward.control.client import ControlClient
from juniperward.control.errors import ControlError
from juniperward.control.protocol import DestinationRow, EndpointRow, Verb
from juniperward.dead_letters import spool_files
from juniperward.dead_letters.clock import ClockReading
from juniperward.dead_letters.fleet import ReportedOutcome
from juniperward.dead_letters.redrive_rate import DestinationView
from juniperward.dead_letters.resubmission import (
    NOT_CONNECTED,
    Resubmission,
    SubmissionAnswer,
    resubmit,
)
from juniperward.dead_letters.selection import SpoolPosition
from juniperward.dead_letters.spool_format import SpooledMessage
from juniperward.dead_letters.store import DeadLetterStore
from juniperward.fleet.model import Reading

MAX_REPORT_AGE_S = 0.2
ANSWER_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class ReadyInstance:
    """An instance that accepts messages: its HTTP address (host, port) and its last reading."""

    address: tuple[str, int]
    reading: Reading


# Returns the ready instances by name.
ReadyInstances = Callable[[], dict[str, ReadyInstance]]


@dataclass(frozen=True, slots=True)
class ReportedDestinations:
    """The destinations and endpoints that an instance reported at its last poll.

    Attributes:
        at: The time of the poll, in seconds of the monotonic clock.
        destinations: The rows by destination.
        endpoints: The ids of the ready endpoints by destination.

    """

    at: float = 0.0
    destinations: dict[int, DestinationRow] = field(default_factory=dict)
    endpoints: dict[int, set[str]] = field(default_factory=dict)


class RunningFleet:
    """The forwarders of this agent, for the redriver's thread; only `known_endpoints` is thread-safe.

    Attributes:
        damaged_lines: The number of unreadable lines found in spools.
        reports: The last report of each instance, by name.

    """

    def __init__(self, folder: Path, names: Callable[[], list[str]], ready: ReadyInstances) -> None:
        """Use the spools and control channels in the agent's folder; `names` returns all instances."""
        self.damaged_lines = 0
        self.reports: dict[str, ReportedDestinations] = {}
        self._folder, self._names, self._ready = folder, names, ready
        self._boot_id = processes.boot_id()
        self._clients: dict[str, ControlClient] = {}

    def clock(self) -> ClockReading:
        """Return the current wall-clock and boot time."""
        return ClockReading(time.time(), time.clock_gettime(time.CLOCK_BOOTTIME), self._boot_id)

    def forwarders(self) -> list[str]:
        """Return the names of the instances that accept messages now."""
        return sorted(self._ready())

    def slots(self) -> int:
        """Return how many attempts the ready instances can have in flight."""
        return sum(ready.reading.slots for ready in self._ready().values())

    # --- destinations --------------------------------------------------------------------------------------

    def destination_views(self, destination: int) -> list[DestinationView]:
        """Return the view of a destination from each ready instance that answers.

        The view of an instance that does not list the destination has the health `unknown`.
        """
        found = []
        for report, slots in self._poll_all():
            row = report.destinations.get(destination)
            if row is None:
                found.append(DestinationView("unknown", 0.0, False, 0.0, 0, slots))
            else:
                rate_limited = row.rate_limit_per_s is not None
                view = DestinationView(
                    row.health, row.retry_after_s, rate_limited, row.listed_rate_per_s, row.queued, slots
                )
                found.append(view)
        return found

    def endpoints(self, destination: int) -> frozenset[str] | None:
        """Return the ids of a destination's ready endpoints; None if no instance answers."""
        reports = [report for report, _ in self._poll_all()]
        return _endpoints(reports, destination) if reports else None

    def known_endpoints(self, destination: int) -> frozenset[str] | None:
        """Return the same as `endpoints` from the last reports, without a poll; None if there are none.

        For other threads, which must not share the connections to the instances.
        """
        reports = list(self.reports.values())
        return _endpoints(reports, destination) if reports else None

    def _poll_all(self) -> list[tuple[ReportedDestinations, int]]:
        """Return the report and the slots of each ready instance that answers."""
        found = []
        for name, ready in self._ready().items():
            report = self.reports.get(name, ReportedDestinations())
            if time.monotonic() - report.at > MAX_REPORT_AGE_S:
                try:
                    report = self._poll(name)
                except ControlError:
                    continue
                self.reports[name] = report
            found.append((report, ready.reading.slots))
        return found

    def _poll(self, name: str) -> ReportedDestinations:
        client = self._client(name)
        rows: tuple[DestinationRow, ...] = client.rows(Verb.DESTINATIONS).destinations
        listed: tuple[EndpointRow, ...] = client.rows(Verb.ENDPOINTS).endpoints
        endpoints: dict[int, set[str]] = {}
        for endpoint in listed:
            if endpoint.phase == "ready":
                endpoints.setdefault(endpoint.destination, set()).add(endpoint.id)
        return ReportedDestinations(time.monotonic(), {row.destination: row for row in rows}, endpoints)

    def _client(self, name: str) -> ControlClient:
        if name not in self._clients:
            self._clients[name] = ControlClient(self._folder / "run" / name, ANSWER_TIMEOUT_S)
        return self._clients[name]

    # --- spools --------------------------------------------------------------------------------------------

    def read_spools(self, store: DeadLetterStore) -> int:
        """Copy new messages from the spools of all instances to the store; return how many were new."""
        return sum(self._read_spool(store, name) for name in self._names())

    def _read_spool(self, store: DeadLetterStore, name: str) -> int:
        """Read one spool from the stored position on.

        Segments that are completely in the store are acknowledged, so that the forwarder deletes them.
        """
        folder = self._folder / "spool" / name
        segments = spool_files.segments(folder)
        if not segments:
            return 0
        current, offset = store.spool_position(name)
        new = 0
        for number, path in segments:
            if number < current:
                continue
            begin = offset if number == current else 0
            try:
                messages, end = self._read_segment(path, begin)
            except FileNotFoundError:
                continue
            if end > begin or number > current:
                new += store.add(name, messages, SpoolPosition(number, end))
                current, offset = number, end
        newest = segments[-1][0]
        if newest > spool_files.acknowledged_segment(folder) + 1:
            # The forwarder writes only to the newest segment; all others are complete.
            spool_files.acknowledge_segment(folder, newest - 1)
        return new

    def _read_segment(self, path: Path, offset: int) -> tuple[list[SpooledMessage], int]:
        """Return the messages from an offset on, and the offset of the next one."""
        messages = []
        for message, next_offset in spool_files.read(path, offset):
            offset = next_offset
            if message is None:
                self.damaged_lines += 1
            else:
                messages.append(message)
        return messages, offset

    # --- redriven messages ---------------------------------------------------------------------------------

    def submit(self, forwarder: str, message: Resubmission) -> SubmissionAnswer:
        """Submit a message to a forwarder; the status is NOT_CONNECTED if the forwarder is not ready."""
        ready = self._ready().get(forwarder)
        return resubmit(ready.address, message) if ready is not None else SubmissionAnswer(NOT_CONNECTED, 0.0)

    def outcomes(self, forwarder: str, ids: tuple[str, ...]) -> dict[str, ReportedOutcome] | None:
        """Return the outcomes of redriven messages by id; None if the forwarder does not answer."""
        try:
            answer = self._client(forwarder).redrive_outcomes(ids)
        except ControlError:
            return None
        return {
            row.id: ReportedOutcome(row.outcome, row.executed_at, answer.complete_since)
            for row in answer.outcomes
        }


def _endpoints(reports: list[ReportedDestinations], destination: int) -> frozenset[str]:
    return frozenset().union(*(report.endpoints.get(destination, set()) for report in reports))
