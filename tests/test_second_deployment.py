"""What a deployment with pushed lists, probes and load reports needs of the forwarder, without a bench."""

from __future__ import annotations

import contextlib
import json
import queue
import socket
import threading
import time
from pathlib import Path
from unittest import mock

import pytest

from juniperward.forwarder import discovery_watch
from juniperward.forwarder.answer_headers import LoadReport, read_load_report
from juniperward.forwarder.discovery_client import DiscoveryClient
from juniperward.forwarder.effects import PauseRoute, SetTimer, StartHealthCheck, StartWatch
from juniperward.forwarder.events import EndpointsUpdated, Event, HealthCheckAnswered, WatchLost
from juniperward.forwarder.reducer import Reducer
from juniperward.forwarder.settings_names import SettingsNames
from juniperward.scheduler.events import EndpointPhase, Outcome
from juniperward.scheduler.settings import SchedulerSettings
from juniperward.scheduler.settings_codec import read_settings
from tests.endpoint_client_rig import EndpointClientRig
from tests.helpers import ONCE, settings
from tests.resources import UsesResources
from tests.test_reducer import make_endpoint


def start_probe(port: int, deadline: float = 1e12) -> StartHealthCheck:
    return StartHealthCheck(1, 3, "127.0.0.1", port, 7, deadline)


class TestPushedList(UsesResources):
    def test_a_watch_begins_at_the_start_without_a_scheduler_action(self, subtests: pytest.Subtests) -> None:
        # Guards the second deployment: its lists are pushed, the module never asks, and sockets heard nothing.
        for on_request in (False, True):
            with subtests.test(on_request=on_request):
                reducer = Reducer(settings(ONCE, endpoints_polled=on_request), 1)
                effects = reducer.reduce(100.0, [EndpointsUpdated(41, True, (make_endpoint(),), cached=True)])
                assert [e for e in effects if isinstance(e, StartWatch)] == [StartWatch(41, 0)]

    def test_successive_unresponsive_watches_are_each_reopened_in_time(
        self, subtests: pytest.Subtests
    ) -> None:
        # Guards the 6 s after silence: with no news between, each waited twice as long as the one before, up to 4 s.
        # Calls that fail at once are still spaced ever wider; that of one that fails late counts in its wait.
        for lived, took, widest in ((True, 3.5, 0.7), (False, 3.5, 0.7), (False, 0.0, 2.0)):
            with subtests.test(lived=lived, took=took):
                reducer, now, waits = Reducer(settings(ONCE, endpoints_polled=True), 1), 100.0, []
                effects = reducer.reduce(now, [EndpointsUpdated(41, True, (make_endpoint(),), cached=True)])
                for _ in range(6):
                    now += took
                    began, effects = now, reducer.reduce(now, [WatchLost(0, lived)])
                    while not any(isinstance(e, StartWatch) for e in effects):
                        now = min(e.at for e in effects if isinstance(e, SetTimer))
                        effects = reducer.reduce(
                            now, [e.event for e in effects if isinstance(e, SetTimer) and e.at <= now]
                        )
                    waits.append(now - began)
                assert max(waits) < widest
                assert min(waits) > 0.3
                assert (max(waits) > 1.0) == (took == 0.0)
                assert (max(waits[2:]) > 1.5 * waits[0]) == (took == 0.0)

    def test_an_unresponsive_watch_resets_the_backoff_and_a_rejected_request_does_not(
        self, subtests: pytest.Subtests
    ) -> None:
        for answer, lived in (
            (b"200 OK\r\nTransfer-Encoding: chunked", True), (b"503 X\r\nContent-Length: 0", False)
        ):  # fmt: skip
            listener = self.resources.closing(socket.create_server(("127.0.0.1", 0)))
            events: queue.Queue[Event] = queue.Queue()
            with subtests.test(lived=lived), mock.patch.object(discovery_watch, "STREAM_TIMEOUT_S", 0.1):
                registry = DiscoveryClient(
                    listener.getsockname(), SettingsNames((), (), (), (), ()), events.put
                )
                registry.start()
                registry.watch(41, 0)
                sock, _ = listener.accept()
                self.resources.callback(sock.close)
                sock.recv(1000)
                sock.sendall(b"HTTP/1.1 " + answer + b"\r\n\r\n")
                assert events.get(timeout=5.0) == WatchLost(0, lived)

    def test_bytes_that_never_complete_an_event_count_as_unresponsive(
        self, subtests: pytest.Subtests
    ) -> None:
        # Guards the 6 s after silence: each byte was a sign of life, so a drain could go unheard for hours.
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for begin, more in (
            (b"", b""),
            (b"HTTP/1.1 2", b"0"),
            (head + b"200000\r\n", b" "),
            (head, b"1\r\n{\r\n"),
        ):
            listener = self.resources.closing(socket.create_server(("127.0.0.1", 0)))
            events: queue.Queue[Event] = queue.Queue()
            over = threading.Event()
            self.resources.callback(over.set)
            with subtests.test(begin=begin), mock.patch.object(discovery_watch, "STREAM_TIMEOUT_S", 0.2):
                registry = DiscoveryClient(
                    listener.getsockname(), SettingsNames((), (), (), (), ()), events.put
                )
                registry.start()
                registry.watch(41, 0)
                sock, _ = listener.accept()
                self.resources.callback(sock.close)
                sock.sendall(begin)

                def drip(
                    sock: socket.socket = sock, more: bytes = more, over: threading.Event = over
                ) -> None:
                    with contextlib.suppress(OSError):
                        while not over.wait(0.02):
                            sock.sendall(more)

                threading.Thread(target=drip, daemon=True).start()
                assert isinstance(events.get(timeout=5.0), WatchLost)

    def test_heartbeats_and_partial_lists_keep_a_watch_alive(self) -> None:
        # Guards the other side: an object that comes in pieces, and empty lines, each have the whole time anew.
        listener = self.resources.closing(socket.create_server(("127.0.0.1", 0)))
        events: queue.Queue[Event] = queue.Queue()
        pause = threading.Event()
        with mock.patch.object(discovery_watch, "STREAM_TIMEOUT_S", 0.5):
            registry = DiscoveryClient(listener.getsockname(), SettingsNames((), (), (), (), ()), events.put)
            registry.start()
            registry.watch(41, 0)
            sock, _ = listener.accept()
            self.resources.callback(sock.close)
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for piece in (b"\n", b"\n", b'{"version":42,', b'\n"full":false,"servers":[]}\n', b"\n", b"\n"):
                pause.wait(0.3)
                sock.sendall(b"%x\r\n%s\r\n" % (len(piece), piece))
            assert events.get(timeout=5.0) == EndpointsUpdated(42, False, ())
            assert events.empty()

    def test_a_watch_event_does_not_open_a_second_watch(self) -> None:
        reducer = Reducer(settings(ONCE), 1)
        reducer.reduce(100.0, [EndpointsUpdated(41, True, (make_endpoint(),), cached=True)])
        effects = reducer.reduce(101.0, [EndpointsUpdated(42, False, (make_endpoint("s-2"),))])
        assert [e for e in effects if isinstance(e, StartWatch)] == []


def entry(name: str, state: str, cell: int = 3) -> bytes:
    return (
        f'{{"id":"{name}","addr":"127.0.0.1:9","zone":"a","kind":"m2","cell":{cell},'
        f'"state":"{state}","weight":1.0,"started_ms":0}}'
    ).encode()


class TestPushedWatch(UsesResources):
    """A local agent that pushes changes over a watch; what the forwarder's registry thread makes of its lines."""

    def test_changes_removals_a_complete_list_after_a_gap_and_a_broken_line(self) -> None:
        listener = self.resources.closing(socket.create_server(("127.0.0.1", 0)))
        lines = [
            b'{"version":43,"full":false,"servers":[' + entry("s-1", "Terminating") + b"]}",
            b"",  # what comes every 2 s while nothing changes
            b'{"version":44,"full":false,"servers":[' + entry("s-1", "Gone") + b"]}",
            b'{"version":50,"full":true,"servers":[' + entry("s-2", "Ready") + b"]}",
            b'{"version":51,"full":fal',
        ]
        asked: list[bytes] = []

        def agent() -> None:
            sock, _ = listener.accept()
            with sock:
                head = b""
                while b"\r\n\r\n" not in head:
                    head += sock.recv(1024)
                asked.append(head.split(b"\r\n")[0])
                sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                for line in lines:
                    sock.sendall(b"%x\r\n%s\r\n" % (len(line) + 1, line + b"\n"))
                sock.recv(1)

        threading.Thread(target=agent, daemon=True).start()
        events: queue.Queue[Event] = queue.Queue()
        registry = DiscoveryClient(
            listener.getsockname(), SettingsNames(("c",), (12.0,), (), ("m2",), ("a",)), events.put
        )
        registry.start()
        registry.watch(41, 0)
        got = [events.get(timeout=5.0) for _ in range(4)]
        heard = [h for h in got if isinstance(h, EndpointsUpdated)]
        assert asked == [b"GET /registry/instances?follow=1&since=41 HTTP/1.1"]
        assert [(h.version, h.full) for h in heard] == [(43, False), (44, False), (50, True)]
        phases = [w.phase for h in heard for w in h.endpoints]
        assert phases == [EndpointPhase.DRAINING, EndpointPhase.REMOVED, EndpointPhase.READY]
        # A broken line ends the watch, counted; the next one goes on from 50.
        assert isinstance(got[3], WatchLost)

    def test_an_unresponsive_watch_is_closed_and_reopened(self) -> None:
        # Guards the 6 s after which what a silent watch misses counts as told: a drain among it.
        assert discovery_watch.STREAM_TIMEOUT_S < 4.0
        listener = self.resources.closing(socket.create_server(("127.0.0.1", 0)))
        events: queue.Queue[Event] = queue.Queue()
        registry = DiscoveryClient(
            listener.getsockname(), SettingsNames(("c",), (12.0,), (), ("m2",), ("a",)), events.put
        )
        reducer = Reducer(settings(ONCE, endpoints_polled=True), 1)
        with mock.patch.object(discovery_watch, "STREAM_TIMEOUT_S", 0.1):
            registry.start()
            registry.watch(41, 0)
            sock, _ = listener.accept()
            self.resources.callback(sock.close)
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
            lost = events.get(timeout=5.0)
            assert lost == WatchLost(0, established=True)
        now = 100.0
        effects = reducer.reduce(now, [EndpointsUpdated(41, True, (make_endpoint(),), cached=True)])
        effects = reducer.reduce(now, [lost])
        while not (again := [e for e in effects if isinstance(e, StartWatch)]):
            wake = next(e for e in effects if isinstance(e, SetTimer))
            now = wake.at
            effects = reducer.reduce(now, [wake.event])
        assert again == [StartWatch(41, 0)]
        assert now < 101.0

    def test_changes_and_removals_remove_an_endpoint_and_a_complete_list_the_unlisted(self) -> None:
        reducer = Reducer(settings(ONCE), 1)
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
        self.reducer = Reducer(settings(ONCE, health_checks=True), 1)
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
        (asked,) = round_.effects
        assert isinstance(asked, StartHealthCheck)
        assert (asked.endpoint, asked.destination, asked.port) == (1, 1, 81)
        assert asked.deadline == pytest.approx(101.5, abs=5e-8)
        told = HealthCheckAnswered(asked.number, 1, Outcome.OVERLOADED, 0.01, retry_after_s=0.8)
        effects = self.reducer.reduce(100.5, [told])
        assert PauseRoute(1, 101.3) in effects
        # A second word of the same probe is nothing.
        assert self.reducer.reduce(100.6, [told]) == []

    def test_an_unlisted_endpoint_is_not_health_checked(self) -> None:
        round_ = self.reducer._round
        round_.begin(100.0)
        self.reducer._health_checks.start(99)
        assert round_.effects == []
        assert [e.outcome for e in round_.scheduler_events] == [Outcome.NOT_SENT]  # type: ignore[union-attr]


class TestHealthCheckOnSockets(EndpointClientRig):
    def answer(self, reply: bytes) -> threading.Thread:
        def serve() -> None:
            sock, _ = self.listener.accept()
            with sock:
                head = b""
                while b"\r\n\r\n" not in head:
                    head += sock.recv(1024)
                self.requested = head.split(b"\r\n")[0]
                sock.sendall(reply)
                sock.recv(1)  # silent until the forwarder closes it, or keeps it

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
                self.answer(reply)
                self.client.start(start_probe(self.port))
                told = self.health_check_answer()
                assert self.requested == b"GET /health/live HTTP/1.1"
                assert told.outcome is outcome
                self.client.close_idle(3)
                if outcome is Outcome.OK:
                    assert (told.capacity_left, told.reported_limit_per_s) == (0.25, 12.0)
        # The wait of a probe binds the next probe as it does a call.
        self.client.start(start_probe(self.port))
        assert self.health_check_answer().outcome is Outcome.NOT_SENT

    def test_an_unresponsive_endpoint_ends_the_health_check_at_its_deadline(self) -> None:
        self.answer(b"")
        self.client.start(start_probe(self.port, time.monotonic() + 0.2))
        assert self.health_check_answer().outcome is Outcome.TIMEOUT


class TestLoadReport:
    def test_an_invalid_load_report_is_counted_and_ignored(self, subtests: pytest.Subtests) -> None:
        for text in ('{"x1":20}', '{"x0":-0.1,"x1":20}', '{"x0":1.5,"x1":20}', '{"x0":"a","x1":20}',
                     '{"x0":NaN,"x1":20}', '{"x0":0.5,"x1":-3}', "[1]", "{"):  # fmt: skip
            with subtests.test(text=text):
                found = read_load_report({"x-backend-load": text})
                told = [x for x in (found.capacity_left, found.limit_per_s) if x is not None]
                assert (found.capacity_left or 0.0) <= 1.0
                assert min(told, default=0.0) >= 0.0
        assert read_load_report({"x-backend-load": '{"x1":20}'}) == LoadReport(limit_per_s=20.0)
        assert read_load_report({"x-backend-load": '{"x0":1.5,"x1":20}'}) == LoadReport()


class TestDeploymentSettings:
    """Each deployment's settings, as a forwarder is given them: what differs is read from them alone."""

    def read(self, name: str) -> SchedulerSettings:
        given = json.loads((Path(__file__).parent.parent / "deploy" / name).read_text())
        return read_settings(given["settings"])

    def test_each_deployment_reads_its_own_differences(self) -> None:
        asked, pushed = self.read("forwarder.json"), self.read("forwarder-pushed.json")
        assert (asked.endpoints_polled, asked.health_checks, asked.max_attempts) == (True, False, 8)
        assert (pushed.endpoints_polled, pushed.health_checks, pushed.max_attempts) == (False, True, 6)
        assert (pushed.over_quota_weight, pushed.rates_listed, pushed.instances) == (0.1, True, 3)
        assert [t.quota_per_s for t in pushed.tenants] == [67.0, 47.0, 32.0, 24.0, 17.0]

    def test_a_value_that_cannot_be_used_is_an_error_that_names_it(self) -> None:
        given = json.loads((Path(__file__).parent.parent / "deploy" / "forwarder-pushed.json").read_text())
        given["settings"]["Services"][0]["Effect"] = "twice"
        with pytest.raises(ValueError, match="Effect: unknown value 'twice'"):
            read_settings(given["settings"])
