"""Load in an open loop from processes of its own: to see what a forwarder adds to a message.

In: a `LoadPlan` a process. Out: a `LoadResult` of all together. Messages are scheduled at moments drawn beforehand;
latencies count from then, however late the load was itself (no coordinated omission: G. Tene, "How NOT to measure
latency"). `LoadResult.void` says when its own lateness alone would explain what was seen.
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

ANSWER_TIMEOUT_S = 5.0  # beyond it a submission counts as failed
MOST_LATENESS_S = 0.005  # in the 99th percentile; above it the load itself was too late
RESULT_POLL_S = 1.0
ACCEPTED = 202
NO_ANSWER = 0


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """What one process sends; moments are seconds of the machine's monotonic clock."""

    address: tuple[str, int]
    rate_per_s: float
    start_at: float
    seconds: float
    skip_s: float  # of the beginning, not counted
    seed: int
    name: str
    destinations: tuple[int, ...] = (1,)
    threads: int = 16
    message_class: str = "booking-update"
    account: str = "valiya-cluster"
    time_left_s: float = 20.0  # sent as each message's X-Time-Left
    cores: frozenset[int] = frozenset()


class EncodedLoadResult(NamedTuple):
    """A `LoadResult` on its way between processes."""

    accepted: bytes
    lateness: bytes
    sent: int
    rejected: int
    failed: int


@dataclass(slots=True)
class LoadResult:
    """What the load saw: the time from the schedule to the 202, and by how much submissions were late."""

    accepted: LatencyHistogram = field(default_factory=LatencyHistogram)
    lateness: LatencyHistogram = field(default_factory=LatencyHistogram)
    sent: int = 0
    rejected: int = 0
    failed: int = 0

    def encode(self) -> EncodedLoadResult:
        """Return the result in the form in which processes send it."""
        return EncodedLoadResult(
            self.accepted.encode(), self.lateness.encode(), self.sent, self.rejected, self.failed
        )

    def add(self, part: EncodedLoadResult) -> None:
        """Add what a process has seen."""
        self.accepted.add_encoded(part.accepted)
        self.lateness.add_encoded(part.lateness)
        self.sent += part.sent
        self.rejected += part.rejected
        self.failed += part.failed

    @property
    def void(self) -> bool:
        """Whether the load was too late itself for its figures to count."""
        return self.lateness.quantile(0.99) > MOST_LATENESS_S


class LoadProcessError(RuntimeError):
    """A process of the load has ended before its time; `plan` is its plan's name, `exit_code` its exit code."""

    def __init__(self, plan: str, exit_code: int) -> None:
        """Name the process that ended and how."""
        super().__init__(f"a process of the load has died: plan {plan}, exit code {exit_code}")
        self.plan, self.exit_code = plan, exit_code


def message_id(scheduled_at: float, name: str, number: int) -> str:
    """Return a message's id, from which an endpoint can read when it was scheduled."""
    return f"{int(scheduled_at * 1e6)}-{name}-{number}"


def scheduled_at_of(message_id: str) -> float:
    """Return when a message was scheduled, from its id; raises ValueError where it is not one of `message_id`."""
    return int(message_id.partition("-")[0]) / 1e6


def play(plans: list[LoadPlan]) -> LoadResult:
    """Run each plan in a process of its own and return what all saw; raises LoadProcessError when one dies."""
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
    """Wait for a process's result; raises LoadProcessError once one has failed."""
    while True:
        try:
            return results.get(timeout=RESULT_POLL_S)
        except queue.Empty:
            for plan, process in processes.items():
                if process.exitcode:
                    raise LoadProcessError(plan, process.exitcode) from None


def _run_plan(plan: LoadPlan, results: Queue[EncodedLoadResult]) -> None:
    """A load process: run a plan and put what it saw on the queue."""
    if plan.cores:
        os.sched_setaffinity(0, plan.cores)
    results.put(_Sender(plan).run().encode())


class _Sender:
    """One process's threads; each takes the next scheduled message and sees it answered."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._schedule = _draw_schedule(plan)
        self._lock = threading.Lock()
        self._next = 0  # in the schedule
        self._result = LoadResult()

    def run(self) -> LoadResult:
        """Run all threads to the end and return what they saw."""
        threads = [threading.Thread(target=self._work) for _ in range(self._plan.threads)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return self._result

    def _work(self) -> None:
        """One thread: take the next message, submit it at its time, and count how it went."""
        connection: ClientConnection | None = None
        while (number := self._take()) < len(self._schedule):
            scheduled_at, destination = self._schedule[number]
            wait_s = scheduled_at - now()
            if wait_s > 0:
                time.sleep(wait_s)
            lateness_s = now() - scheduled_at
            status = NO_ANSWER
            try:
                if connection is None:
                    connection = ClientConnection(self._plan.address, ANSWER_TIMEOUT_S)
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

    def _take(self) -> int:
        """Return the number of the next message, which no other thread takes."""
        with self._lock:
            number = self._next
            self._next += 1
        return number

    def _submission(self, scheduled_at: float, number: int, destination: int) -> Submission:
        plan = self._plan
        name = message_id(scheduled_at, plan.name, number)
        return Submission(name, plan.message_class, plan.account, destination, name, plan.time_left_s)

    def _count(self, scheduled_at: float, lateness_s: float, took_s: float, status: int) -> None:
        """Count one message, unless it was scheduled in the skipped beginning."""
        if scheduled_at < self._plan.start_at + self._plan.skip_s:
            return
        result = self._result
        with self._lock:
            result.sent += 1
            result.lateness.record(lateness_s)
            if status == ACCEPTED:
                result.accepted.record(took_s)
            elif status == NO_ANSWER:
                result.failed += 1
            else:
                result.rejected += 1


def _draw_schedule(plan: LoadPlan) -> list[tuple[float, int]]:
    """Return when each message of a plan is to be submitted, and its destination."""
    dice = random.Random(plan.seed)
    schedule: list[tuple[float, int]] = []
    at = plan.start_at + dice.expovariate(plan.rate_per_s)
    while at < plan.start_at + plan.seconds:
        schedule.append((at, dice.choice(plan.destinations)))
        at += dice.expovariate(plan.rate_per_s)
    return schedule
