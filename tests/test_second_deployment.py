"""A deployment with pushed endpoint lists, health checks and load reports."""

from __future__ import annotations

import contextlib
import json
import queue
import socket
import threading
import time
from collections.abc import Sequence
from pathlib import Path
from unittest import mock

import pytest

from juniperward.forwarder import discovery_watch
from juniperward.forwarder.answer_headers import LoadReport, read_load_report
from juniperward.forwarder.discovery_client import DiscoveryClient
from juniperward.forwarder.effects import Effect, PauseRoute, SetTimer, StartHealthCheck, StartWatch
from juniperward.forwarder.events import EndpointsUpdated, Event, HealthCheckAnswered, WatchLost
from juniperward.forwarder.reducer import Reducer
from juniperward.forwarder.settings_names import SettingsNames
from juniperward.scheduler.events import EndpointPhase, Outcome
from juniperward.scheduler.settings import SchedulerSettings
from juniperward.scheduler.settings_codec import read_settings
from tests.endpoint_client_rig import EndpointClientRig
from tests.helpers import NON_IDEMPOTENT, settings
from tests.resources import UsesResources
from tests.test_reducer import make_endpoint


def start_health_check(port: int, deadline: float = 1e12) -> StartHealthCheck:
    return StartHealthCheck(1, 3, "127.0.0.1", port, 7, deadline)


def started_watches(effects: Sequence[Effect]) -> list[StartWatch]:
    return [effect for effect in effects if isinstance(effect, StartWatch)]


class TestPushedList(UsesResources):
    def test_a_watch_begins_at_the_start_without_a_scheduler_action(self, subtests: pytest.Subtests) -> None:
        # Guards a deployment with pushed lists, in which the scheduler never polls the list.
        for polled in (False, True):
            with subtests.test(polled=polled):
                reducer = Reducer(settings(NON_IDEMPOTENT, endpoints_polled=polled), 1)
                effects = reducer.reduce(100.0, [EndpointsUpdated(41, True, (make_endpoint(),), cached=True)])
                assert started_watches(effects) == [StartWatch(41, 0)]

    def test_successive_unresponsive_watches_are_each_reopened_in_time(
        self, subtests: pytest.Subtests
    ) -> None:
        # Guards the 6 s within which a list change must arrive. The backoff runs from the start of a watch, so
        # one that fails late is reopened soon.
        for established, duration_s, max_wait_s in ((True, 3.5, 0.7), (False, 3.5, 0.7), (False, 0.0, 2.0)):
            with subtests.test(established=established, duration_s=duration_s):
                reducer, now, waits_s = Reducer(settings(NON_IDEMPOTENT, endpoints_polled=True), 1), 100.0, []
                effects = reducer.reduce(now, [EndpointsUpdated(41, True, (make_endpoint(),), cached=True)])
                for _ in range(6):
                    now += duration_s
                    lost_at, effects = now, reducer.reduce(now, [WatchLost(0, established)])
                    while not started_watches(effects):
                        now = min(e.at for e in effects if isinstance(e, SetTimer))
                        effects = reducer.reduce(
                            now, [e.event for e in effects if isinstance(e, SetTimer) and e.at <= now]
                        )
                    waits_s.append(now - lost_at)
                assert max(waits_s) < max_wait_s
                assert min(waits_s) > 0.3
                assert (max(waits_s) > 1.0) == (duration_s == 0.0)
                assert (max(waits_s[2:]) > 1.5 * waits_s[0]) == (duration_s == 0.0)

    def test_an_unresponsive_watch_resets_the_backoff_and_a_rejected_request_does_not(
        self, subtests: pytest.Subtests
    ) -> None:
        for answer, established in (
            (b"200 OK\r\nTransfer-Encoding: chunked", True), (b"503 X\r\nContent-Length: 0", False)
        ):  # fmt: skip
            listener = self.resources.closing(socket.create_server(("127.0.0.1", 0)))
            events: queue.Queue[Event] = queue.Queue()
            with (
                subtests.test(established=established),
                mock.patch.object(discovery_watch, "STREAM_TIMEOUT_S", 0.1),
            ):
                client = DiscoveryClient(
                    listener.getsockname(), SettingsNames((), (), (), (), ()), events.put
                )
                client.start()
                client.watch(41, 0)
                sock, _ = listener.accept()
                self.resources.callback(sock.close)
                sock.recv(1000)
                sock.sendall(b"HTTP/1.1 " + answer + b"\r\n\r\n")
                assert events.get(timeout=5.0) == WatchLost(0, established)

    def test_bytes_that_never_complete_an_event_count_as_unresponsive(
        self, subtests: pytest.Subtests
    ) -> None:
        # Guards against a watch that stays open on single bytes, while the forwarder misses drains.
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for beginning, repeated in (
            (b"", b""),
            (b"HTTP/1.1 2", b"0"),
            (head + b"200000\r\n", b" "),
            (head, b"1\r\n{\r\n"),
        ):
            listener = self.resources.closing(socket.create_server(("127.0.0.1", 0)))
            events: queue.Queue[Event] = queue.Queue()
            stop = threading.Event()
            self.resources.callback(stop.set)
            with (
                subtests.test(beginning=beginning),
                mock.patch.object(discovery_watch, "STREAM_TIMEOUT_S", 0.2),
            ):
                client = DiscoveryClient(
                    listener.getsockname(), SettingsNames((), (), (), (), ()), events.put
                )
                client.start()
                client.watch(41, 0)
                sock, _ = listener.accept()
                self.resources.callback(sock.close)
                sock.sendall(beginning)

                def send_repeatedly(
                    sock: socket.socket = sock, repeated: bytes = repeated, stop: threading.Event = stop
                ) -> None:
                    with contextlib.suppress(OSError):
                        while not stop.wait(0.02):
                            sock.sendall(repeated)

                threading.Thread(target=send_repeatedly, daemon=True).start()
                assert isinstance(events.get(timeout=5.0), WatchLost)

    def test_heartbeats_and_partial_lists_keep_a_watch_alive(self) -> None:
        # Guards a slow but live watch: each empty line and each part of an object restarts the timeout.
        listener = self.resources.closing(socket.create_server(("127.0.0.1", 0)))
        events: queue.Queue[Event] = queue.Queue()
        pause = threading.Event()
        with mock.patch.object(discovery_watch, "STREAM_TIMEOUT_S", 0.5):
            client = DiscoveryClient(listener.getsockname(), SettingsNames((), (), (), (), ()), events.put)
            client.start()
            client.watch(41, 0)
            sock, _ = listener.accept()
            self.resources.callback(sock.close)
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for piece in (b"\n", b"\n", b'{"version":42,', b'\n"full":false,"servers":[]}\n', b"\n", b"\n"):
                pause.wait(0.3)
                sock.sendall(b"%x\r\n%s\r\n" % (len(piece), piece))
            assert events.get(timeout=5.0) == EndpointsUpdated(42, False, ())
            assert events.empty()

    def test_a_watch_event_does_not_open_a_second_watch(self) -> None:
        reducer = Reducer(settings(NON_IDEMPOTENT), 1)
        reducer.reduce(100.0, [EndpointsUpdated(41, True, (make_endpoint(),), cached=True)])
        effects = reducer.reduce(101.0, [EndpointsUpdated(42, False, (make_endpoint("s-2"),))])
        assert started_watches(effects) == []


def encoded_entry(name: str, state: str, destination: int = 3) -> bytes:
    return (
        f'{{"id":"{name}","addr":"127.0.0.1:9","zone":"a","kind":"m2","cell":{destination},'
        f'"state":"{state}","weight":1.0,"started_ms":0}}'
    ).encode()


class TestPushedWatch(UsesResources):
    """The events that the discovery client makes of the lines of a watch."""

    def test_changes_removals_a_complete_list_after_a_gap_and_a_broken_line(self) -> None:
        listener = self.resources.closing(socket.create_server(("127.0.0.1", 0)))
        lines = [
            b'{"version":43,"full":false,"servers":[' + encoded_entry("s-1", "Terminating") + b"]}",
            b"",  # heartbeat
            b'{"version":44,"full":false,"servers":[' + encoded_entry("s-1", "Gone") + b"]}",
            b'{"version":50,"full":true,"servers":[' + encoded_entry("s-2", "Ready") + b"]}",
            b'{"version":51,"full":fal',
        ]
        request_lines: list[bytes] = []

        def agent() -> None:
            sock, _ = listener.accept()
            with sock:
                head = b""
                while b"\r\n\r\n" not in head:
                    head += sock.recv(1024)
                request_lines.append(head.split(b"\r\n")[0])
                sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                for line in lines:
                    sock.sendall(b"%x\r\n%s\r\n" % (len(line) + 1, line + b"\n"))
                sock.recv(1)

        threading.Thread(target=agent, daemon=True).start()
        events: queue.Queue[Event] = queue.Queue()
        client = DiscoveryClient(
            listener.getsockname(), SettingsNames(("c",), (12.0,), (), ("m2",), ("a",)), events.put
        )
        client.start()
        client.watch(41, 0)
        received = [events.get(timeout=5.0) for _ in range(4)]
        updates = [event for event in received if isinstance(event, EndpointsUpdated)]
        assert request_lines == [b"GET /registry/instances?follow=1&since=41 HTTP/1.1"]
        assert [(update.version, update.full) for update in updates] == [(43, False), (44, False), (50, True)]
        phases = [endpoint.phase for update in updates for endpoint in update.endpoints]
        assert phases == [EndpointPhase.DRAINING, EndpointPhase.REMOVED, EndpointPhase.READY]
        # An invalid line ends the watch.
        assert isinstance(received[3], WatchLost)

    def test_an_unresponsive_watch_is_closed_and_reopened(self) -> None:
        # Guards the 6 s within which a list change, such as a drain, must arrive.
        assert discovery_watch.STREAM_TIMEOUT_S < 4.0
        listener = self.resources.closing(socket.create_server(("127.0.0.1", 0)))
        events: queue.Queue[Event] = queue.Queue()
        client = DiscoveryClient(
            listener.getsockname(), SettingsNames(("c",), (12.0,), (), ("m2",), ("a",)), events.put
        )
        reducer = Reducer(settings(NON_IDEMPOTENT, endpoints_polled=True), 1)
        with mock.patch.object(discovery_watch, "STREAM_TIMEOUT_S", 0.1):
            client.start()
            client.watch(41, 0)
            sock, _ = listener.accept()
            self.resources.callback(sock.close)
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
            lost = events.get(timeout=5.0)
            assert lost == WatchLost(0, established=True)
        now = 100.0
        effects = reducer.reduce(now, [EndpointsUpdated(41, True, (make_endpoint(),), cached=True)])
        effects = reducer.reduce(now, [lost])
        while not started_watches(effects):
            timer = next(e for e in effects if isinstance(e, SetTimer))
            now = timer.at
            effects = reducer.reduce(now, [timer.event])
        assert started_watches(effects) == [StartWatch(41, 0)]
        assert now < 101.0

    def test_a_removal_and_a_complete_list_remove_endpoints(self) -> None:
        reducer = Reducer(settings(NON_IDEMPOTENT), 1)
        reducer.reduce(
            100.0, [EndpointsUpdated(41, True, (make_endpoint(), make_endpoint("s-2")), cached=True)]
        )
        reducer.reduce(101.0, [EndpointsUpdated(42, False, (make_endpoint(phase=EndpointPhase.REMOVED),))])
        assert sorted(w.id for w in reducer.state.directory.endpoints.values()) == ["s-2"]
        reducer.reduce(102.0, [EndpointsUpdated(50, True, (make_endpoint("s-3"),))])
        assert sorted(w.id for w in reducer.state.directory.endpoints.values()) == ["s-3"]
        assert reducer.state.directory.version == 50


class TestHealthCheckInReducer:
    @pytest.fixture(autouse=True)
    def set_up(self) -> None:
        self.reducer = Reducer(settings(NON_IDEMPOTENT, health_checks=True), 1)
        self.reducer.reduce(
            100.0,
            [
                EndpointsUpdated(
                    41,
                    True,
                    (make_endpoint(), make_endpoint("s-2", phase=EndpointPhase.REMOVED)),
                    cached=True,
                )
            ],
        )

    def test_a_health_check_goes_to_a_listed_endpoint_and_its_retry_after_binds(self) -> None:
        round_ = self.reducer._round
        round_.begin(100.0)
        self.reducer._health_checks.start(1)
        (health_check,) = round_.effects
        assert isinstance(health_check, StartHealthCheck)
        assert (health_check.endpoint, health_check.destination, health_check.port) == (1, 1, 81)
        assert health_check.deadline == pytest.approx(101.5, abs=5e-8)
        answered = HealthCheckAnswered(health_check.number, 1, Outcome.OVERLOADED, 0.01, retry_after_s=0.8)
        effects = self.reducer.reduce(100.5, [answered])
        assert PauseRoute(1, 101.3) in effects
        # A repeated answer to the same health check is ignored.
        assert self.reducer.reduce(100.6, [answered]) == []

    def test_an_unlisted_endpoint_is_not_health_checked(self) -> None:
        round_ = self.reducer._round
        round_.begin(100.0)
        self.reducer._health_checks.start(99)
        assert round_.effects == []
        assert [e.outcome for e in round_.scheduler_events] == [Outcome.NOT_SENT]  # type: ignore[union-attr]


class TestHealthCheckOnSockets(EndpointClientRig):
    def answer_next_request(self, reply: bytes) -> threading.Thread:
        def serve() -> None:
            sock, _ = self.listener.accept()
            with sock:
                head = b""
                while b"\r\n\r\n" not in head:
                    head += sock.recv(1024)
                self.request_line = head.split(b"\r\n")[0]
                sock.sendall(reply)
                sock.recv(1)  # wait until the forwarder closes the connection

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        return thread

    def health_check_answer(self) -> HealthCheckAnswered:
        event = self.events.get(timeout=5.0)
        assert isinstance(event, HealthCheckAnswered)
        return event

    def test_a_health_check_of_503_is_a_rejection_and_200_has_the_load_report(
        self, subtests: pytest.Subtests
    ) -> None:
        cases = (
            (
                b'HTTP/1.1 200 OK\r\nX-Backend-Load: {"x0":0.25,"x1":12}\r\nContent-Length: 0\r\n\r\n',
                Outcome.OK,
            ),
            (
                b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n",
                Outcome.OVERLOADED,
            ),
        )
        for reply, outcome in cases:
            with subtests.test(outcome=outcome.name):
                self.answer_next_request(reply)
                self.client.start(start_health_check(self.port))
                answered = self.health_check_answer()
                assert self.request_line == b"GET /health/live HTTP/1.1"
                assert answered.outcome is outcome
                if outcome is Outcome.OK:
                    assert (answered.capacity_left, answered.reported_limit_per_s) == (0.25, 12.0)
        # The Retry-After of a health check delays the next one.
        self.client.start(start_health_check(self.port))
        assert self.health_check_answer().outcome is Outcome.NOT_SENT

    def test_an_unresponsive_endpoint_ends_the_health_check_at_its_deadline(self) -> None:
        self.answer_next_request(b"")
        self.client.start(start_health_check(self.port, time.monotonic() + 0.2))
        assert self.health_check_answer().outcome is Outcome.TIMEOUT


class TestLoadReport:
    def test_an_invalid_load_report_is_ignored(self, subtests: pytest.Subtests) -> None:
        for text in ('{"x1":20}', '{"x0":-0.1,"x1":20}', '{"x0":1.5,"x1":20}', '{"x0":"a","x1":20}',
                     '{"x0":NaN,"x1":20}', '{"x0":0.5,"x1":-3}', "[1]", "{"):  # fmt: skip
            with subtests.test(text=text):
                report = read_load_report({"x-backend-load": text})
                values = [value for value in (report.capacity_left, report.limit_per_s) if value is not None]
                assert (report.capacity_left or 0.0) <= 1.0
                assert min(values, default=0.0) >= 0.0
        assert read_load_report({"x-backend-load": '{"x1":20}'}) == LoadReport(limit_per_s=20.0)
        assert read_load_report({"x-backend-load": '{"x0":1.5,"x1":20}'}) == LoadReport()


class TestDeploymentSettings:
    """The settings of each deployment in the files under `deploy/`."""

    def read(self, name: str) -> SchedulerSettings:
        config = json.loads((Path(__file__).parent.parent / "deploy" / name).read_text())
        return read_settings(config["settings"])

    def test_the_settings_of_both_deployments_are_read(self) -> None:
        polled, pushed = self.read("forwarder.json"), self.read("forwarder-pushed.json")
        assert (polled.endpoints_polled, polled.health_checks, polled.max_attempts) == (True, False, 8)
        assert (pushed.endpoints_polled, pushed.health_checks, pushed.max_attempts) == (False, True, 6)
        assert (pushed.over_quota_weight, pushed.rates_listed, pushed.instances) == (0.1, True, 3)
        assert [t.quota_per_s for t in pushed.tenants] == [67.0, 47.0, 32.0, 24.0, 17.0]

    def test_an_invalid_value_is_an_error_that_names_its_key(self) -> None:
        config = json.loads((Path(__file__).parent.parent / "deploy" / "forwarder-pushed.json").read_text())
        config["settings"]["Services"][0]["Effect"] = "twice"
        with pytest.raises(ValueError, match="Effect: unknown value 'twice'"):
            read_settings(config["settings"])
