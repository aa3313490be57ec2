"""An open-loop load generator in separate processes, which measures how fast a forwarder accepts messages.

Each process runs a `LoadPlan`. The times of messages are drawn in advance, and latencies count from these times even
if the generator submits a message late, which avoids coordinated omission (G. Tene, "How NOT to measure latency").
`LoadResult.void` tells whether the generator was too late for a valid result.
"""

from __future__ import annotations

import multiprocessing
import os
import queue
import random
import threading
import time
from dataclasses import dataclass, field
from multiprocessing.context import SpawnProcess
from multiprocessing.queues import Queue
from typing import NamedTuple

from juniperward.fakes.client_connection import CONNECTION_ERRORS, ClientConnection, Submission
from juniperward.fakes.histograms import LatencyHistogram
from juniperward.fakes.records import now

RESPONSE_TIMEOUT_S = 5.0
MAX_P99_LATENESS_S = 0.005
RESULT_POLL_INTERVAL_S = 1.0
ACCEPTED_STATUS = 202
NO_RESPONSE = 0  # The status that is counted if there is no response.


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """The messages that one process sends.

    Attributes:
        start_at: When to start, in seconds of the monotonic clock.
        seconds: The duration of the load.
        skip_s: The duration of the warm-up at the start, whose messages are not counted.
        name: The name of the plan, which is part of its message ids.
        time_left_s: The X-Time-Left header of each message.
        cores: The cores that the process is pinned to; empty means any.
    """

    address: tuple[str, int]
    rate_per_s: float
    start_at: float
    seconds: float
    skip_s: float
    seed: int
    name: str
    destinations: tuple[int, ...] = (1,)
    threads: int = 16
    message_class: str = "booking-update"
    account: str = "valiya-cluster"
    time_left_s: float = 20.0
    cores: frozenset[int] = frozenset()


class EncodedLoadResult(NamedTuple):
    """A `LoadResult` in the format that is sent between processes."""

    accepted: bytes
    lateness: bytes
    sent: int
    rejected: int
    failed: int


@dataclass(slots=True)
class LoadResult:
    """The measurements of a load.

    Attributes:
        accepted: The times from a message's schedule to the response that accepts it.
        lateness: By how much each submission was late.
        failed: The number of submissions without a response in time.
    """

    accepted: LatencyHistogram = field(default_factory=LatencyHistogram)
    lateness: LatencyHistogram = field(default_factory=LatencyHistogram)
    sent: int = 0
    rejected: int = 0
    failed: int = 0

    def encode(self) -> EncodedLoadResult:
        """Return the result in the format that is sent between processes."""
        return EncodedLoadResult(
            self.accepted.encode(), self.lateness.encode(), self.sent, self.rejected, self.failed
        )

    def add(self, part: EncodedLoadResult) -> None:
        """Add the result of a process."""
        self.accepted.add_encoded(part.accepted)
        self.lateness.add_encoded(part.lateness)
        self.sent += part.sent
        self.rejected += part.rejected
        self.failed += part.failed

    @property
    def void(self) -> bool:
        """Whether the generator was too late for the result to be valid."""
        return self.lateness.quantile(0.99) > MAX_P99_LATENESS_S


class LoadProcessError(RuntimeError):
    """A load process exited without a result; `plan` is the name of its plan."""

    def __init__(self, plan: str, exit_code: int) -> None:
        """Name the plan and the exit code in the message."""
        super().__init__(f"load process of plan {plan} failed with exit code {exit_code}")
        self.plan, self.exit_code = plan, exit_code


def message_id(scheduled_at: float, name: str, number: int) -> str:
    """Return a message id that contains the scheduled time, for `scheduled_at_of`."""
    return f"{int(scheduled_at * 1e6)}-{name}-{number}"


def scheduled_at_of(message_id: str) -> float:
    """Return the scheduled time in an id made by `message_id`; raises ValueError for another id."""
    return int(message_id.partition("-")[0]) / 1e6


def run_load(plans: list[LoadPlan]) -> LoadResult:
    """Run each plan in its own process and return the combined result; raises LoadProcessError if one fails."""
    context = multiprocessing.get_context("spawn")
    results: Queue[EncodedLoadResult] = context.Queue()
    processes = {
        plan.name: context.Process(target=_run_plan, args=(plan, results), daemon=True) for plan in plans
    }
    for process in processes.values():
        process.start()
    total = LoadResult()
    for _ in plans:
        total.add(_next_result(results, processes))
    for process in processes.values():
        process.join()
    return total


def _next_result(results: Queue[EncodedLoadResult], processes: dict[str, SpawnProcess]) -> EncodedLoadResult:
    """Wait for the next result; raises LoadProcessError if a process has failed."""
    while True:
        try:
            return results.get(timeout=RESULT_POLL_INTERVAL_S)
        except queue.Empty:
            for plan, process in processes.items():
                if process.exitcode:
                    raise LoadProcessError(plan, process.exitcode) from None


def _run_plan(plan: LoadPlan, results: Queue[EncodedLoadResult]) -> None:
    """Run a plan in this process and put its result on the queue."""
    if plan.cores:
        os.sched_setaffinity(0, plan.cores)
    results.put(_LoadRunner(plan).run().encode())


class _LoadRunner:
    """The threads of one process; each submits the next scheduled message and waits for its response."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._schedule = _draw_schedule(plan)
        self._lock = threading.Lock()
        self._next_number = 0
        self._result = LoadResult()

    def run(self) -> LoadResult:
        """Run all threads to their end and return the result."""
        threads = [threading.Thread(target=self._run_thread) for _ in range(self._plan.threads)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return self._result

    def _run_thread(self) -> None:
        """Submit messages at their scheduled times and count the outcomes, until none is left."""
        connection: ClientConnection | None = None
        while (number := self._claim_next()) < len(self._schedule):
            scheduled_at, destination = self._schedule[number]
            wait_s = scheduled_at - now()
            if wait_s > 0:
                time.sleep(wait_s)
            lateness_s = now() - scheduled_at
            status = NO_RESPONSE
            try:
                if connection is None:
                    connection = ClientConnection(self._plan.address, RESPONSE_TIMEOUT_S)
                response = connection.submit(self._submission(scheduled_at, number, destination))
                status = response.status
                close = response.close
            except CONNECTION_ERRORS:
                close = True
            if close and connection is not None:
                connection.close()
                connection = None
            self._count(scheduled_at, lateness_s, now() - scheduled_at, status)
        if connection is not None:
            connection.close()

    def _claim_next(self) -> int:
        """Return the number of the next message, which no other thread gets."""
        with self._lock:
            number = self._next_number
            self._next_number += 1
        return number

    def _submission(self, scheduled_at: float, number: int, destination: int) -> Submission:
        plan = self._plan
        name = message_id(scheduled_at, plan.name, number)
        return Submission(name, plan.message_class, plan.account, destination, name, plan.time_left_s)

    def _count(self, scheduled_at: float, lateness_s: float, latency_s: float, status: int) -> None:
        """Count a message, unless it was scheduled during the warm-up."""
        if scheduled_at < self._plan.start_at + self._plan.skip_s:
            return
        result = self._result
        with self._lock:
            result.sent += 1
            result.lateness.record(lateness_s)
            if status == ACCEPTED_STATUS:
                result.accepted.record(latency_s)
            elif status == NO_RESPONSE:
                result.failed += 1
            else:
                result.rejected += 1


def _draw_schedule(plan: LoadPlan) -> list[tuple[float, int]]:
    """Return the scheduled time and the destination of each message of a plan."""
    generator = random.Random(plan.seed)
    schedule: list[tuple[float, int]] = []
    at = plan.start_at + generator.expovariate(plan.rate_per_s)
    while at < plan.start_at + plan.seconds:
        schedule.append((at, generator.choice(plan.destinations)))
        at += generator.expovariate(plan.rate_per_s)
    return schedule
