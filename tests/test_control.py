"""The control channel: its frames, the limits of its server, and requests to a real forwarder."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import stat
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from juniperward.control import codec, server, server_connection
from juniperward.control.client import ControlClient
from juniperward.control.codec import decode_answer, decode_request, encode_answer, encode_request
from juniperward.control.errors import (
    ControlRejectedError,
    ControlSocketError,
    ControlUnreachableError,
    ProtocolError,
)
from juniperward.control.listening_socket import open_socket
from juniperward.control.protocol import Answer, Counters, DestinationRow, Request, Rows, Verb
from juniperward.control.server import ControlServer
from juniperward.forwarder.state_folder import FolderInUseError, lock_folder
from tests.player import ROOT, WAIT_S, LineConnection, Player, Program
from tests.resources import Resources


class TestFrames:
    def test_requests_and_answers_round_trip(self) -> None:
        for verb in Verb:
            assert decode_request(encode_request(Request(7, verb))[4:]) == Request(7, verb)
        rows = Rows((DestinationRow(3, "well", 1, 2, None, 5.0, 0.0, 1.5, None, 2),))
        for verb, body in ((Verb.DESTINATIONS, rows), (Verb.COUNTERS, Counters({"delivered": 3}))):
            answer = Answer(7, body)
            assert decode_answer(encode_answer(answer)[4:], verb) == answer
        assert decode_answer(encode_answer(Answer(7, None, "no"))[4:], Verb.STATUS) == Answer(7, None, "no")

    def test_a_decoding_error_names_the_place_or_the_version(self) -> None:
        text = b'{"v":1,"id":1,"ok":true,"body":{"counters":{"a":"x"}}}'
        with pytest.raises(ProtocolError, match=r"body\.counters\.a: must be int"):
            decode_answer(text, Verb.COUNTERS)
        with pytest.raises(ProtocolError, match="version 2"):
            decode_request(b'{"v":2,"id":1,"verb":"status"}')

    def test_unknown_fields_of_a_newer_forwarder_are_ignored(self) -> None:
        text = b'{"v":1,"id":1,"ok":true,"body":{"counters":{},"mood":1}}'
        assert decode_answer(text, Verb.COUNTERS) == Answer(1, Counters({}))

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.binary(max_size=300) | st.text(alphabet='{}[]":,v1idverbstatus ', max_size=200).map(str.encode))
    def test_any_malformed_request_is_a_protocol_error(self, text: bytes) -> None:
        with contextlib.suppress(ProtocolError):
            decode_request(text)

    def test_nesting_is_bounded(self) -> None:
        # Guards against a stack overflow of the C JSON decoder, which recurses with each bracket.
        with pytest.raises(ProtocolError):
            decode_request(b"[" * 4000)


class TestSocket:
    @pytest.fixture(autouse=True)
    def set_up(self, resources: Resources, tmp_path: Path) -> None:
        self.resources = resources
        self.folder = tmp_path
        self.path = self.folder / "run" / "n0.sock"

    def serve(self, on_request: Callable[[ControlServer, int, Request], None]) -> ControlServer:
        control_server = ControlServer(
            self.path,
            lambda client, request: on_request(control_server, client, request),
            mock.Mock(),
            mock.Mock(),
        )
        control_server.start()
        self.resources.callback(control_server.close)
        return control_server

    def test_directory_and_socket_are_accessible_to_this_user_only(self) -> None:
        with open_socket(self.path):
            assert stat.S_IMODE(self.path.stat().st_mode) == 0o600
            assert stat.S_IMODE(self.path.parent.stat().st_mode) == 0o700
            with pytest.raises(ControlSocketError, match="another process listens"):
                open_socket(self.path)
        # The first socket is closed but its file remains, as after the process was killed: it is replaced.
        open_socket(self.path).close()
        self.path.parent.chmod(0o755)
        with pytest.raises(ControlSocketError, match="mode 0700"):
            open_socket(self.path)
        with pytest.raises(ControlSocketError, match="107 bytes"):
            open_socket(self.folder / ("x" * 120))
        (self.folder / "plain").write_text("")
        self.folder.chmod(0o700)
        with pytest.raises(ControlSocketError, match="exists and is not a socket"):
            open_socket(self.folder / "plain")

    def test_a_request_without_an_answer_times_out(self) -> None:
        self.serve(lambda _server, _client, _request: None)
        began = time.monotonic()
        with pytest.raises(ControlUnreachableError, match="no answer within 0.2 s"):
            ControlClient(self.path, 0.2).status()
        assert time.monotonic() - began < 1.5
        with pytest.raises(ControlUnreachableError, match="connection failed"):
            ControlClient(self.folder / "none", 0.2).status()

    def test_an_answer_to_an_earlier_request_is_ignored(self) -> None:
        self.serve(
            lambda control_server, client, request: control_server.answer(
                client, Answer(request.id - 1, Counters({}))
            )
        )
        with pytest.raises(ControlUnreachableError):
            ControlClient(self.path, 0.2).counters()

    def test_a_full_connection_table_evicts_the_longest_idle(self) -> None:
        control_server = self.serve(
            lambda control_server, client, request: control_server.answer(
                client, Answer(request.id, Counters({}))
            )
        )
        idle = []
        for _ in range(server.MAX_CLIENTS):
            idle.append(socket.socket(socket.AF_UNIX, socket.SOCK_STREAM))
            idle[-1].connect(str(self.path))
        with pytest.raises(ControlUnreachableError):
            ControlClient(self.folder / "none", 0.1).counters()
        assert ControlClient(self.path, WAIT_S).counters() == {}
        idle[0].settimeout(WAIT_S)
        assert idle[0].recv(1) == b""
        assert len(control_server.clients) <= server.MAX_CLIENTS
        for sock in idle:
            sock.close()

    def test_a_flood_is_rate_limited(self) -> None:
        # Guards the forwarder's loop: beyond its burst, a client is limited to REQUESTS_PER_S.
        received: list[Request] = []

        def answer_request(control_server: ControlServer, client: int, request: Request) -> None:
            received.append(request)
            control_server.answer(client, Answer(request.id, Counters({})))

        self.serve(answer_request)
        client = ControlClient(self.path, WAIT_S)
        with (
            mock.patch.object(server_connection, "REQUEST_BURST", 3.0),
            mock.patch.object(server_connection, "REQUESTS_PER_S", 50.0),
        ):
            for _ in range(8):
                client.counters()
        client.close()
        assert len(received) == 8
        connection = server_connection.ServerConnection(1, mock.Mock())
        connection._tokens, connection._tokens_at = 0.0, time.monotonic() + 60.0  # empty and not refilled
        assert connection.take_token_s() > 0.0

    def test_malformed_input_is_answered_and_the_connection_closed(self, subtests: pytest.Subtests) -> None:
        self.serve(lambda _server, _client, _request: None)
        for text in (b"GET / HTTP/1.1\r\n\r\n", b"\0\0\0\2{]", b"\0\0\0\0"):
            with subtests.test(text=text), socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
                sock.settimeout(WAIT_S)
                sock.connect(str(self.path))
                sock.sendall(text)
                answer = decode_answer(
                    codec.read_frame(LineConnection(sock).take, codec.MAX_ANSWER_BYTES), Verb.STATUS
                )
                assert answer.body is None


class TestStateFolder:
    def test_two_processes_never_share_a_state_folder(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            lock = lock_folder(Path(name))
            with pytest.raises(FolderInUseError):
                lock_folder(Path(name), 0.05)
            os.close(lock)
            os.close(lock_folder(Path(name)))


class TestForwarder:
    """Requests to a real forwarder whose control channel is open."""

    @pytest.fixture(autouse=True)
    def set_up(self, resources: Resources, tmp_path: Path) -> None:
        self.resources = resources
        self.program = self.resources.closing(Program(tmp_path))
        path = tmp_path / "run" / "n0"
        self.program.config["control"] = str(path)
        self.program.start()
        self.client = self.resources.closing(ControlClient(path, WAIT_S))
        self.player = self.resources.closing(Player(self.program))

    def test_it_drains_reports_draining_and_resumes(self) -> None:
        status = self.client.status()
        assert self.program.process is not None
        assert (status.name, status.pid) == ("n0", self.program.process.pid)
        assert (status.phase, status.ready, status.slots) == ("serving", True, 4)
        assert status.endpoint_list_age_s == -1.0
        self.player.play("@ c client\n+ taken m1 7\n@ w worker\n+ received m1")
        assert (self.client.status().pending, self.client.status().attempts_in_flight) == (1, 1)
        (row,) = [row for row in self.client.rows(Verb.DESTINATIONS).destinations if row.destination == 7]
        assert (row.in_flight, row.queued, row.health) == (1, 0, "unknown")
        assert [row.in_flight for row in self.client.rows(Verb.ENDPOINTS).endpoints] == [1, 0]
        assert self.client.order(Verb.DRAIN).phase == "draining"
        # The pending message is completed; a new message and the readiness check get 503 at once.
        self.player.play(
            "@ c\n+ call m2 7 15\n+ overload\n< Connection: close\n<\n= end\n"
            "@ p client\n> GET /health/ready HTTP/1.1\n>\n< HTTP/1.1 503 Service Unavailable\n"
        )
        assert self.client.order(Verb.DRAIN).phase == "draining"
        self.player.play("@ w\n+ ok")
        while (status := self.client.status()).phase == "draining":
            pass
        assert (status.phase, status.delivered, status.unfinished) == ("drained", 1, 0)
        assert self.client.order(Verb.RESUME).phase == "serving"
        self.player.play("@ d client\n+ taken m3 7\n@ w\n+ received m3\n+ ok")
        assert self.client.counters()["drains"] == 1

    def test_stop_is_a_graceful_shutdown(self) -> None:
        self.client.order(Verb.STOP)
        assert self.program.process is not None
        assert self.program.process.wait(WAIT_S) == 0
        assert not self.client.path.exists()
        with pytest.raises(ControlUnreachableError):
            self.client.status()

    def test_a_second_forwarder_on_the_same_state_folder_does_not_start(self) -> None:
        environment = {**os.environ, "ROUTER_CONFIG": str(self.program.folder / "config.json"),
                       "ROUTER_STATE": str(self.program.state)}  # fmt: skip
        second = subprocess.run(
            [sys.executable, "-m", "juniperward"],
            cwd=ROOT, env=environment, capture_output=True, timeout=WAIT_S,
        )  # fmt: skip
        assert second.returncode == 1
        assert b"another forwarder works in this folder" in second.stderr

    def test_a_suspended_process_is_unreachable_and_recovers(self) -> None:
        process = self.program.process
        assert process is not None
        self.client.status()
        process.send_signal(signal.SIGSTOP)
        try:
            with pytest.raises(ControlUnreachableError):
                ControlClient(self.client.path, 0.2).status()
        finally:
            process.send_signal(signal.SIGCONT)
        assert self.client.status().phase == "serving"

    def test_flooding_clients_do_not_delay_messages(self) -> None:
        # Guards the forwarder's loop: 7 control clients flood it with requests and hardly read the answers.
        stop = threading.Event()

        def flood() -> None:
            while not stop.is_set():
                try:
                    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
                        sock.settimeout(0.5)
                        sock.connect(str(self.client.path))
                        sock.sendall(encode_request(Request(1, Verb.DESTINATIONS)) * 50)
                        sock.recv(100)
                except OSError:
                    pass

        threads = [threading.Thread(target=flood) for _ in range(7)]
        for thread in threads:
            thread.start()
        try:
            self.player.play("@ c client\n+ taken m1 7\n@ w worker\n+ received m1\n+ ok")
            self.player.play("@ c\n+ taken m2 7\n@ w\n+ received m2\n+ ok")
        finally:
            stop.set()
            for thread in threads:
                thread.join()


class TestRejection:
    def test_a_rejection_is_raised_with_its_text(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            path = Path(name) / "run" / "s"
            control_server = ControlServer(
                path,
                lambda client, request: control_server.answer(client, Answer(request.id, None, "no")),
                mock.Mock(),
                mock.Mock(),
            )
            control_server.start()
            with pytest.raises(ControlRejectedError, match="no"):
                ControlClient(path, WAIT_S).status()
            control_server.close()
