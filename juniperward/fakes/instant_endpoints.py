"""Endpoints in a process of their own that answer every call at once, and measure how old its message is.

`benchmarks/capacity.py` uses them beside `load`: what is left of a message's age is what the forwarder has added.
"""

from __future__ import annotations

import multiprocessing
import os
import threading
from multiprocessing.connection import Connection

from juniperward.fakes.histograms import LatencyHistogram
from juniperward.fakes.http_server import HttpServer, ServerConnection
from juniperward.fakes.load import scheduled_at_of
from juniperward.fakes.records import now
from juniperward.net.http_responses import encode_response
from juniperward.net.http_values import HttpRequest


class InstantEndpoints:
    """The process's owner: `addresses` has an endpoint's host:port each."""

    def __init__(self, count: int, cores: frozenset[int] = frozenset()) -> None:
        """Start so many, on these cores where any are given."""
        context = multiprocessing.get_context("spawn")
        self._pipe, theirs = context.Pipe()
        self._process = context.Process(target=_run, args=(count, theirs, cores), daemon=True)
        self._process.start()
        self.addresses: list[str] = self._pipe.recv()

    def reset(self, since: float) -> None:
        """Begin to measure anew, with messages that are scheduled from a moment on."""
        self._pipe.send(since)
        self._pipe.recv()

    def ages(self) -> LatencyHistogram:
        """Return the times from a message's schedule to its endpoint."""
        self._pipe.send(None)
        ages = LatencyHistogram()
        ages.add_encoded(self._pipe.recv())
        return ages

    def close(self) -> None:
        """End the process."""
        self._process.terminate()
        self._process.join()


class _AgeMeter:
    """Answers calls at once and measures the ages of their messages."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._ages = LatencyHistogram()
        self._since = 0.0
        self._answer = encode_response(200, {}, b"", False)

    def handle(self, connection: ServerConnection, request: HttpRequest, _began_at: float) -> bool:
        """Measure a call's message and answer 200."""
        scheduled_at = scheduled_at_of(request.headers["x-correlation-id"])
        with self._lock:
            if scheduled_at >= self._since:
                self._ages.record(now() - scheduled_at)
        return connection.write(self._answer)

    def reset(self, since: float) -> None:
        """Begin anew, with messages that are scheduled from a moment on."""
        with self._lock:
            self._ages = LatencyHistogram()
            self._since = since

    def encoded_ages(self) -> bytes:
        """Return what was measured since the latest reset."""
        with self._lock:
            return self._ages.encode()


def _run(count: int, pipe: Connection, cores: frozenset[int]) -> None:
    """The process: serve `count` endpoints and answer the pipe's resets (a moment) and reads (None)."""
    if cores:
        os.sched_setaffinity(0, cores)
    meter = _AgeMeter()
    listeners = [HttpServer(meter.handle) for _ in range(count)]
    for listener in listeners:
        listener.start()
    pipe.send([listener.address for listener in listeners])
    while True:
        try:
            since: float | None = pipe.recv()
        except EOFError:
            return
        if since is None:
            pipe.send(meter.encoded_ages())
        else:
            meter.reset(since)
            pipe.send(True)
