"""Endpoints in a separate process that answer every call at once and measure the age of its message.

`benchmarks/capacity.py` uses them together with `load` to measure the latency that a forwarder adds.
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
    """Controls the process of the endpoints; `addresses` lists their host:port."""

    def __init__(self, count: int, cores: frozenset[int] = frozenset()) -> None:
        """Start `count` endpoints, pinned to `cores` if any are given."""
        context = multiprocessing.get_context("spawn")
        self._pipe, child_pipe = context.Pipe()
        self._process = context.Process(target=_serve_endpoints, args=(count, child_pipe, cores), daemon=True)
        self._process.start()
        self.addresses: list[str] = self._pipe.recv()

    def reset(self, since: float) -> None:
        """Discard the measured ages; from now on measure messages that are scheduled at or after `since`."""
        self._pipe.send(since)
        self._pipe.recv()

    def ages(self) -> LatencyHistogram:
        """Return the times from the schedule of each message to its arrival at an endpoint."""
        self._pipe.send(None)
        ages = LatencyHistogram()
        ages.add_encoded(self._pipe.recv())
        return ages

    def close(self) -> None:
        """Terminate the process."""
        self._process.terminate()
        self._process.join()


class _AgeMeter:
    """Answers calls at once and measures the age of each message."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._ages = LatencyHistogram()
        self._since = 0.0
        self._answer = encode_response(200, {}, b"", False)

    def handle(self, connection: ServerConnection, request: HttpRequest, _began_at: float) -> bool:
        """Record the age of a call's message and answer 200."""
        scheduled_at = scheduled_at_of(request.headers["x-correlation-id"])
        with self._lock:
            if scheduled_at >= self._since:
                self._ages.record(now() - scheduled_at)
        return connection.write(self._answer)

    def reset(self, since: float) -> None:
        """Discard the ages; ignore messages that are scheduled before `since`."""
        with self._lock:
            self._ages = LatencyHistogram()
            self._since = since

    def encoded_ages(self) -> bytes:
        """Return the ages since the latest reset, as an encoded LatencyHistogram."""
        with self._lock:
            return self._ages.encode()


def _serve_endpoints(count: int, pipe: Connection, cores: frozenset[int]) -> None:
    """Run the process: serve `count` endpoints; the pipe carries resets (a time) and requests for the ages (None)."""
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
