"""Load in an open loop from processes of its own, and workers that answer at once: to see what a forwarder adds.

Messages are due at moments drawn beforehand; latencies count from then, however late the rig was (no coordinated
omission: G. Tene, "How NOT to measure latency"), into HdrHistograms in microseconds. How late the rig itself wrote
is measured too, and `Seen.void` says when that alone would explain what was seen.
"""

from __future__ import annotations

import multiprocessing
import os
import queue
import random
import socket
import threading
import time
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from juniperward.fakes.records import now
from juniperward.fakes.serving import Link, Serving
from juniperward.net import sockets
from juniperward.net.http_errors import ConnectionClosedError, IncompleteMessageError, MalformedMessageError
from juniperward.net.http_requests import encode_request
from juniperward.net.http_responses import encode_response, read_response
from juniperward.net.http_values import HttpRequest
from juniperward.net.stream import Stream

MOST = 60_000_000  # the longest latency that is told apart, in microseconds
ANSWER = 5.0  # seconds for an answer; beyond it the try counts as failed
LATE = 0.005  # the rig was late when the 99th percentile of its own lateness is above this many seconds
BODY = b"a family of four, gate 3, cluster of the third generation"


def histogram() -> Any:
    """An empty one: microseconds, two digits."""
    return HdrHistogram(1, MOST, 2)


def record(into: Any, seconds: float) -> None:
    """Put a latency in."""
    into.record_value(min(max(int(seconds * 1e6), 1), MOST))


@dataclass(frozen=True, slots=True)
class Plan:
    """What one process sends; rate in messages a second, times in seconds of the machine's monotonic clock."""

    address: tuple[str, int]
    rate: float
    start: float
    seconds: float
    skip: float  # of the beginning, not counted
    seed: int
    name: str
    destinations: tuple[int, ...] = (1,)
    threads: int = 16
    cls: str = "booking-update"
    account: str = "valiya-cluster"
    time_left_s: float = 20.0  # sent as each message's X-Time-Left
    cores: frozenset[int] = frozenset()


@dataclass(slots=True)
class LoadResult:
    """What the load saw: seconds from due to 202, and how late it wrote."""

    accepted: Any = field(default_factory=histogram)
    lateness: Any = field(default_factory=histogram)
    sent: int = 0
    refused: int = 0
    failed: int = 0

    def add(self, part: tuple[bytes, bytes, int, int, int]) -> None:
        """Add what a process has sent over."""
        self.accepted.decode_and_add(part[0])
        self.lateness.decode_and_add(part[1])
        self.sent, self.refused, self.failed = (
            self.sent + part[2],
            self.refused + part[3],
            self.failed + part[4],
        )

    @property
    def void(self) -> bool:
        """Whether the rig was too late itself for its figures to count."""
        return bool(quantile(self.lateness, 0.99) > LATE)


def quantile(of: Any, share: float) -> float:
    """Seconds below which that share lies; 0 of none."""
    return float(of.get_value_at_percentile(100 * share)) / 1e6 if of.get_total_count() else 0.0


def identify(due: float, name: str, number: int) -> str:
    """A message's id, from which a worker can read when it was due."""
    return f"{int(due * 1e6)}-{name}-{number}"


class _Sender:
    """One process's threads; each takes the next message that is due and sees it answered."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        dice = random.Random(plan.seed)
        self.dues: list[tuple[float, int]] = []
        at = plan.start
        while (at := at + dice.expovariate(plan.rate)) < plan.start + plan.seconds:
            self.dues.append((at, dice.choice(plan.destinations)))
        self.lock = threading.Lock()
        self.taken = 0
        self.seen = LoadResult()

    def run(self) -> LoadResult:
        """Run all threads to the end and return what they saw."""
        threads = [threading.Thread(target=self._work) for _ in range(self.plan.threads)]
        for t in threads:
            t.start()
        for t in threads:
            t.join()
        return self.seen

    def _work(self) -> None:
        """One thread: take the next due message, send it, and note how it went."""
        link: tuple[socket.socket, Stream] | None = None
        while True:
            with self.lock:
                number = self.taken
                self.taken += 1
            if number >= len(self.dues):
                break
            due, destination = self.dues[number]
            if (wait := due - now()) > 0:
                time.sleep(wait)
            late = now() - due
            status = 0
            try:
                if link is None:
                    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                    sockets.connect(*self.plan.address, ANSWER, sock)
                    sockets.set_timeout(sock, socket.SO_RCVTIMEO, ANSWER)
                    link = sock, Stream(sock.recv)
                status, close = self._post(link, due, number, destination)
                if close:
                    link[0].close()
                    link = None
            except (OSError, IncompleteMessageError, ConnectionClosedError, MalformedMessageError):
                if link is not None:
                    link[0].close()
                link = None
            self._note(due, late, now() - due, status)
        if link is not None:
            link[0].close()

    def _post(
        self, link: tuple[socket.socket, Stream], due: float, number: int, destination: int
    ) -> tuple[int, bool]:
        p = self.plan
        name = identify(due, p.name, number)
        headers = {
            "X-Correlation-Id": name, "X-Service-Class": p.cls, "X-Account": p.account,
            "X-Time-Left": f"{p.time_left_s:.3f}", "X-Addressing": f"dest={destination}", "Idempotency-Key": name,
        }  # fmt: skip
        link[0].sendall(encode_request("POST", "/api", "api.internal", headers, BODY))
        answer = read_response(link[1])
        return answer.status, answer.close

    def _note(self, due: float, late: float, took: float, status: int) -> None:
        """Count one message, in seconds, unless it was due in the skipped beginning."""
        if due < self.plan.start + self.plan.skip:
            return
        with self.lock:
            s = self.seen
            s.sent += 1
            record(s.lateness, late)
            if status == 202:
                record(s.accepted, took)
            elif status:
                s.refused += 1
            else:
                s.failed += 1


def _load(plan: Plan, out: Any) -> None:
    """A load process: run a plan and put what it saw on the queue `out`."""
    if plan.cores:
        os.sched_setaffinity(0, plan.cores)
    seen = _Sender(plan).run()
    out.put((seen.accepted.encode(), seen.lateness.encode(), seen.sent, seen.refused, seen.failed))


class LoadDiedError(RuntimeError):
    """A process of the load has ended before its time; `plan` is its plan's name, `exit_code` its exit code."""

    def __init__(self, plan: str, exit_code: int) -> None:
        """Name the process that died and how it ended."""
        super().__init__(f"a process of the load has died: plan {plan}, exit code {exit_code}")
        self.plan, self.exit_code = plan, exit_code


def play(plans: list[Plan]) -> LoadResult:
    """Run each plan in a process of its own; what all saw together. Raises LoadDiedError when one dies."""
    context = multiprocessing.get_context("spawn")
    out = context.Queue()
    processes = [context.Process(target=_load, args=(p, out), daemon=True) for p in plans]
    for process in processes:
        process.start()
    total = LoadResult()
    for _ in plans:
        while True:
            try:
                total.add(out.get(timeout=1.0))
                break
            except queue.Empty:
                died = [
                    (plan, process.exitcode)
                    for plan, process in zip(plans, processes, strict=True)
                    if process.exitcode
                ]
                if died:
                    plan, exit_code = died[0]
                    raise LoadDiedError(plan.name, exit_code or 0) from None
    for process in processes:
        process.join()
    return total


class Sinks:
    """Workers in a process of their own that answer every call at once, and note how old its message is."""

    def __init__(self, count: int, cores: frozenset[int] = frozenset()) -> None:
        """Start so many, on these cores where any are given."""
        context = multiprocessing.get_context("spawn")
        self.pipe, theirs = context.Pipe()
        self.process = context.Process(target=_sink, args=(count, theirs, cores), daemon=True)
        self.process.start()
        self.addresses: list[str] = self.pipe.recv()

    def reset(self, since: float) -> None:
        """Begin anew, with messages that are due from a moment on."""
        self.pipe.send(since)
        self.pipe.recv()

    def ages(self) -> Any:
        """A histogram of the time from due to the worker."""
        self.pipe.send(None)
        return HdrHistogram.decode(self.pipe.recv())

    def close(self) -> None:
        """End the process."""
        self.process.terminate()
        self.process.join()


def _sink(count: int, pipe: Any, cores: frozenset[int]) -> None:
    """The sinks' process: serve `count` workers and answer the pipe's resets (a time) and reads (None)."""
    if cores:
        os.sched_setaffinity(0, cores)
    lock = threading.Lock()
    state = {"ages": histogram(), "since": 0.0}
    good = encode_response(200, {}, b"", False)

    def handle(link: Link, request: HttpRequest, _began: float) -> bool:
        due = int(request.headers["x-correlation-id"].partition("-")[0]) / 1e6
        with lock:
            if due >= state["since"]:
                record(state["ages"], now() - due)
        return link.write(good)

    doors = [Serving(handle) for _ in range(count)]
    for door in doors:
        door.start()
    pipe.send([d.address for d in doors])
    while True:
        try:
            order = pipe.recv()
        except EOFError:
            return
        with lock:
            if order is None:
                pipe.send(state["ages"].encode())
            else:
                state.update(ages=histogram(), since=order)
                pipe.send(True)
