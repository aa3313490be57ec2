"""The running fleet as the redriver sees it: spools, control channels, and the forwarders' own front doors."""

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

MAX_AGE_S = 0.2  # for which what an instance reported of its destinations is used
ANSWER_TIMEOUT_S = 0.5  # for an instance's answer


@dataclass(frozen=True, slots=True)
class ReadyInstance:
    """An instance that takes messages: its HTTP address (host, port) and what it last reported."""

    address: tuple[str, int]
    reading: Reading


ReadyInstances = Callable[[], dict[str, ReadyInstance]]  # by instance name


@dataclass(frozen=True, slots=True)
class NotifiedDestinations:
    """What an instance last reported, when polled, of its destinations and their endpoints."""

    at: float = 0.0  # seconds of the monotonic clock
    destinations: dict[int, DestinationRow] = field(default_factory=dict)
    endpoints: dict[int, set[str]] = field(default_factory=dict)  # ids of the ready ones


class RunningFleet:
    """Used by the redriver's thread; `known_endpoints` may be read by any."""

    def __init__(self, folder: Path, names: Callable[[], list[str]], ready: ReadyInstances) -> None:
        """Look in the agent's folder for spools and control channels."""
        self.damaged_lines = 0  # of spools
        self.notified: dict[str, NotifiedDestinations] = {}
        self._folder, self._names, self._ready = folder, names, ready
        self._boot_id = processes.boot_id()
        self._clients: dict[str, ControlClient] = {}

    def clock(self) -> ClockReading:
        """Return the present moment."""
        return ClockReading(time.time(), time.clock_gettime(time.CLOCK_BOOTTIME), self._boot_id)

    def forwarders(self) -> list[str]:
        """Return the names of those that take messages now."""
        return sorted(self._ready())

    def slots(self) -> int:
        """Return how many attempts the ready instances can have in flight."""
        return sum(ready.reading.slots for ready in self._ready().values())

    # --- destinations --------------------------------------------------------------------------------------

    def destination_views(self, destination: int) -> list[DestinationView]:
        """Return what each ready instance that answers reports of a destination."""
        found = []
        for notified, slots in self._poll_all():
            row = notified.destinations.get(destination)
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
        """Return the endpoints listed for a destination; None where no instance answers."""
        notified = [snapshot for snapshot, _ in self._poll_all()]
        return _endpoints(notified, destination) if notified else None

    def known_endpoints(self, destination: int) -> frozenset[str] | None:
        """Return what the latest round had: other threads must not share its connections."""
        notified = list(self.notified.values())
        return _endpoints(notified, destination) if notified else None

    def _poll_all(self) -> list[tuple[NotifiedDestinations, int]]:
        """Return what each ready instance reports, and its slots; those that do not answer are left out."""
        found = []
        for name, ready in self._ready().items():
            notified = self.notified.get(name, NotifiedDestinations())
            if time.monotonic() - notified.at > MAX_AGE_S:
                try:
                    notified = self._poll(name)
                except ControlError:
                    continue
                self.notified[name] = notified
            found.append((notified, ready.reading.slots))
        return found

    def _poll(self, name: str) -> NotifiedDestinations:
        client = self._client(name)
        rows: tuple[DestinationRow, ...] = client.rows(Verb.DESTINATIONS).destinations
        listed: tuple[EndpointRow, ...] = client.rows(Verb.ENDPOINTS).endpoints
        endpoints: dict[int, set[str]] = {}
        for endpoint in listed:
            if endpoint.phase == "ready":
                endpoints.setdefault(endpoint.destination, set()).add(endpoint.id)
        return NotifiedDestinations(time.monotonic(), {row.destination: row for row in rows}, endpoints)

    def _client(self, name: str) -> ControlClient:
        if name not in self._clients:
            self._clients[name] = ControlClient(self._folder / "run" / name, ANSWER_TIMEOUT_S)
        return self._clients[name]

    # --- spools --------------------------------------------------------------------------------------------

    def read_spools(self, store: DeadLetterStore) -> int:
        """Read on in the spools of all instances; return how many messages were new."""
        return sum(self._read_spool(store, name) for name in self._names())

    def _read_spool(self, store: DeadLetterStore, name: str) -> int:
        """Read on in one; what is in the store is acknowledged, and the forwarder deletes it."""
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
            # All but the newest are complete: the forwarder writes to that one only.
            spool_files.acknowledge_segment(folder, newest - 1)
        return new

    def _read_segment(self, path: Path, offset: int) -> tuple[list[SpooledMessage], int]:
        """Return the messages from an offset on, and where the next one will begin."""
        messages = []
        for message, behind in spool_files.read(path, offset):
            offset = behind
            if message is None:
                self.damaged_lines += 1
            else:
                messages.append(message)
        return messages, offset

    # --- redriven messages ---------------------------------------------------------------------------------

    def submit(self, forwarder: str, message: Resubmission) -> SubmissionAnswer:
        """Hand a message in; return status and Retry-After wait, as `resubmission.resubmit` does."""
        ready = self._ready().get(forwarder)
        return resubmit(ready.address, message) if ready is not None else SubmissionAnswer(NOT_CONNECTED, 0.0)

    def outcomes(self, forwarder: str, ids: tuple[str, ...]) -> dict[str, ReportedOutcome] | None:
        """Return what became of redriven messages; None where the forwarder does not answer."""
        try:
            answer = self._client(forwarder).redrive_outcomes(ids)
        except ControlError:
            return None
        return {
            row.id: ReportedOutcome(row.outcome, row.executed_at, answer.complete_since)
            for row in answer.outcomes
        }


def _endpoints(notified: list[NotifiedDestinations], destination: int) -> frozenset[str]:
    return frozenset().union(*(row.endpoints.get(destination, set()) for row in notified))
