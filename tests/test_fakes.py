"""Tests of the fakes: late clients or a too lenient destination would falsify the results of other tests."""

from __future__ import annotations

import socket
import threading
import time

import pytest

from juniperward.fakes.clients import ClientOptions, Clients, Traffic
from juniperward.fakes.destination_spec import DestinationSpec, FaultMode
from juniperward.fakes.destinations import FakeDestination
from juniperward.fakes.discovery import FakeDiscovery
from juniperward.fakes.http_server import HttpServer
from juniperward.fakes.load_balancer import LoadBalancer
from juniperward.fakes.records import (
    AttemptAnswered,
    AttemptReceived,
    AttemptUnanswered,
    Effect,
    Recorder,
    SubmissionAnswered,
    Submitted,
    WatchEventSent,
)
from juniperward.net.http_requests import encode_request
from juniperward.net.http_responses import encode_response, read_response
from juniperward.net.stream import Stream
from tests.resources import UsesResources


class TestClients(UsesResources):
    def run_clients(self, *statuses: int, rate_per_s: float = 40.0) -> tuple[Recorder, Clients]:
        answers = list(statuses)
        lock = threading.Lock()

        def handle(connection, request, _began_at):  # type: ignore[no-untyped-def]
            if request.path == "/health/ready":
                return connection.write(encode_response(200, {}, b"", False))
            with lock:
                status = answers.pop(0) if answers else 202
            if status == 0:
                return False
            headers = {"Retry-After": "0.010"} if status == 503 else {}
            return connection.write(encode_response(status, headers, b"", False))

        server = HttpServer(handle)
        server.start()
        self.resources.callback(server.stop)
        load_balancer = LoadBalancer({"n0": ("127.0.0.1", server.port)})
        recorder = Recorder()
        clients = Clients(
            Traffic(rate_per_s, backoff_s=0.01), load_balancer, recorder, 1, ClientOptions(threads=2)
        )
        clients.start(1.0)
        assert clients.done.wait(20.0)
        return recorder, clients

    def test_a_pooled_connection_is_reused_without_a_wait(self) -> None:
        # A check of a pooled connection must not wait for the socket's timeout, which would delay each message.
        recorder, clients = self.run_clients()
        assert sorted(clients.lateness_s)[len(clients.lateness_s) // 2] < 0.1
        assert len(clients.lateness_s) > 20
        answers = [r for r in recorder.records if isinstance(r, SubmissionAnswered)]
        assert {r.status for r in answers} == {202}

    def test_a_rejected_message_is_submitted_once_more_with_its_key_and_a_fresh_id(self) -> None:
        recorder, _ = self.run_clients(503, 0, 503, 503, rate_per_s=4.0)
        submissions = [r for r in recorder.records if isinstance(r, Submitted)]
        by_first: dict[str, list[Submitted]] = {}
        for submission in submissions:
            by_first.setdefault(submission.first_id, []).append(submission)
        assert any(len(submitted) == 2 for submitted in by_first.values())
        for submitted in by_first.values():
            assert len(submitted) <= 2
            assert len({submission.key for submission in submitted}) == 1
            assert len({submission.id for submission in submitted}) == len(submitted)
            assert len({submission.expires_at for submission in submitted}) == 1


class TestDestination(UsesResources):
    def start_destination(self, **options: object) -> FakeDestination:
        self.recorder = Recorder()
        spec = DestinationSpec(1, latency_s=0.001, retry_after_fraction=1.0, **options)  # type: ignore[arg-type]
        destination = FakeDestination(spec, self.recorder, 1)
        destination.start()
        self.resources.callback(destination.close)
        return destination

    def call(
        self, destination: FakeDestination, name: str, key: str | None = None, endpoint: int = 0
    ) -> tuple[int, float]:
        with socket.create_connection(("127.0.0.1", destination.listeners[endpoint].port), 5.0) as sock:
            headers = {"X-Correlation-Id": name, "Idempotency-Key": key or name}
            sock.sendall(encode_request("POST", "/receive", "x", headers, b""))
            answer = read_response(Stream(sock.recv))
            self._wait_for_records()
            return answer.status, float(answer.headers.get("retry-after", 0.0))

    def _wait_for_records(self) -> None:
        """Wait until all calls have a recorded end, which follows the answer that the caller reads."""
        until = time.monotonic() + 5.0
        while time.monotonic() < until:
            records = list(self.recorder.records)
            if sum(isinstance(r, AttemptReceived) for r in records) <= sum(
                isinstance(r, AttemptAnswered | AttemptUnanswered) for r in records
            ):
                return
            time.sleep(0.001)
        pytest.fail("the end of an answered call was not recorded")

    def test_a_duplicate_takes_no_second_effect_inside_the_window(self) -> None:
        destination = self.start_destination(deduplication_window_s=0.2)
        assert [self.call(destination, f"m{n}", "k")[0] for n in range(3)] == [200, 200, 200]
        assert sum(isinstance(r, Effect) for r in self.recorder.records) == 1
        destination.effect_times["k"] -= 1.0  # moves the effect before the window
        self.call(destination, "m4", "k")
        assert sum(isinstance(r, Effect) for r in self.recorder.records) == 2

    def test_the_rate_limit_covers_all_endpoints_and_sends_retry_after(self) -> None:
        destination = self.start_destination(rate_limit=3.0)
        found = [self.call(destination, f"m{n}", endpoint=n % 2) for n in range(4)]
        assert [s for s, _ in found] == [200, 200, 200, 429]
        assert 0 < found[3][1] <= 1.0

    def test_a_fault_is_answered_and_its_end_starts_slow_start(self) -> None:
        destination = self.start_destination(concurrency=10)
        destination.inject_fault(FaultMode.REJECTING, 5.0)
        status, wait = self.call(destination, "a")
        assert status == 429
        assert 4.0 < wait <= 5.0
        destination.inject_fault(FaultMode.FAILING)
        assert self.call(destination, "b")[0] == 500
        destination.inject_fault(FaultMode.DOWN)
        with pytest.raises(OSError):
            self.call(destination, "c")
        destination.inject_fault(FaultMode.HEALTHY)
        assert destination.capacity.current_per_s() < 0.3 * destination.spec.capacity
        assert self.call(destination, "d")[0] == 200
        destination.capacity.recovered_at = time.monotonic() - 11.0
        assert destination.capacity.current_per_s() == destination.spec.capacity

    def test_overload_in_slow_start_crashes_the_destination(self) -> None:
        destination = self.start_destination(rate_limit=4.0)
        destination.capacity.recovered_at = time.monotonic()
        for n in range(40):
            self.call(destination, f"m{n}")
        assert destination.capacity.crashed
        assert self.call(destination, "z")[0] == 503

    def test_an_attempt_is_recorded_completely(self) -> None:
        destination = self.start_destination()
        self.call(destination, "m", "k")
        received, effect, answered = self.recorder.records
        assert (
            isinstance(received, AttemptReceived)
            and isinstance(effect, Effect)
            and isinstance(answered, AttemptAnswered)
        )
        assert (received.endpoint, received.ids, received.keys) == ("s-1-0", ("m",), ("k",))
        assert received.began_at <= received.at
        assert (effect.key, answered.states) == ("k", ("ok",))


class TestDiscovery(UsesResources):
    def test_a_watch_receives_the_list_then_changes_and_each_is_recorded(self) -> None:
        recorder = Recorder()
        discovery = self.resources.closing(FakeDiscovery(recorder))
        destination = FakeDestination(DestinationSpec(1), recorder, 1)
        discovery.publish(*destination.listed_endpoints())
        host, port = discovery.address_for("n0").split(":")
        with socket.create_connection((host, int(port)), 5.0) as sock:
            sock.sendall(encode_request("GET", "/registry/instances?follow=1&since=0", "x", {}, None))
            lines = sock.makefile("rb")
            text = b""
            while b'"full": true' not in text:
                text = lines.readline()
            discovery.publish(*destination.listed_endpoints("Terminating", 0))
            while b"Terminating" not in text:
                text = lines.readline()
        while len(sent := [r for r in recorder.records if isinstance(r, WatchEventSent)]) < 3:
            time.sleep(0.01)
        assert sent[-1].state == "Terminating"
        assert {t.forwarder for t in sent} == {"n0"}
