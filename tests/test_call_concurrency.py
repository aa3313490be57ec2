"""Only a few of the threads that make calls run at once; those that block do not count."""

from __future__ import annotations

import socket
import threading
import time
from unittest import mock

import pytest

from juniperward.forwarder import attempt_call
from juniperward.forwarder.concurrency_limit import MAX_RUNNING_THREADS
from juniperward.forwarder.endpoint_client import EndpointClient, EndpointClientLimits
from juniperward.forwarder.events import AttemptAnswered
from juniperward.forwarder.model import ItemOutcome
from juniperward.net.http_responses import read_response
from juniperward.net.http_values import HttpResponse
from juniperward.scheduler.events import Outcome
from tests.endpoint_client_rig import EndpointClientRig
from tests.player import WAIT_S
from tests.resources import Resources
from tests.test_net import start_attempt

CALLS = 5 * MAX_RUNNING_THREADS
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class SlowReader:
    """Reads answers, but returns them only once `may_finish` is set; counts those it has read."""

    def __init__(self) -> None:
        self.may_finish = threading.Event()
        self.running = 0
        self.most_running = 0
        self._lock = threading.Lock()

    def __call__(self, *arguments: object) -> HttpResponse:
        answer = read_response(*arguments)  # type: ignore[arg-type]
        with self._lock:
            self.running += 1
            self.most_running = max(self.most_running, self.running)
        self.may_finish.wait(WAIT_S)
        with self._lock:
            self.running -= 1
        return answer


class TestCallConcurrency(EndpointClientRig):
    @pytest.fixture(autouse=True)
    def set_up(self, resources: Resources) -> None:
        self.listen(resources)
        limits = EndpointClientLimits(1.0, 10.0, max_threads=2 * CALLS, max_spare_connections=CALLS)
        self.client = EndpointClient(limits, self.events.put, mock.Mock())

    def start_calls(self, first: int = 1) -> list[socket.socket]:
        """Start calls and return their connections once each has received its request."""
        for number in range(first, first + CALLS):
            self.client.start(start_attempt(number, self.port))
        socks = [self.accept() for _ in range(CALLS)]
        assert all(sock.recv(1000).startswith(b"POST /receive") for sock in socks)
        return socks

    def wait_for_deliveries(self) -> None:
        """Wait until as many calls as `start_calls` starts have been answered with status 200."""
        delivered = 0
        while delivered < CALLS:
            event = self.events.get(timeout=WAIT_S)
            assert isinstance(event, AttemptAnswered)
            delivered += event.outcomes == (ItemOutcome(0, Outcome.OK),)

    def test_few_threads_of_calls_run_at_once(self, monkeypatch: pytest.MonkeyPatch) -> None:
        # Guards against a loop that waits for the interpreter behind as many threads as there are calls.
        reader = SlowReader()
        monkeypatch.setattr(attempt_call, "read_response", reader)
        for sock in self.start_calls():
            sock.sendall(ANSWER)
        until = time.monotonic() + WAIT_S
        while reader.running < MAX_RUNNING_THREADS and time.monotonic() < until:
            time.sleep(0)
        reader.may_finish.set()
        self.wait_for_deliveries()
        assert reader.most_running == MAX_RUNNING_THREADS

    def test_calls_that_wait_for_their_answers_do_not_delay_others(self) -> None:
        # Guards against endpoints that stay silent, or stop in their answers, and keep all others from being called.
        for sock in self.start_calls():
            sock.sendall(b"HTTP/1.1 5")
        for sock in self.start_calls(1 + CALLS):
            sock.sendall(ANSWER)
        self.wait_for_deliveries()
