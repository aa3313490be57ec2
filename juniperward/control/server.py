"""The forwarder's end of the control channel: a Unix socket, a thread a client, and hard bounds.

Requests become events of the forwarder's one reducer through `post`; `tell` brings its answers back. What a
client does can delay only the client: each has its own thread, a pace, and time limits for what it reads; the
encoding of an answer is done by that thread too, not by the loop.
"""

from __future__ import annotations

import contextlib
import os
import socket
import stat
import threading
import time
from collections.abc import Callable
from pathlib import Path

from juniperward.control.codec import (
    FRAME_HEADER,
    MAX_REQUEST_BYTES,
    decode_request,
    encode_answer,
    read_frame,
)
from juniperward.control.errors import ControlSocketError, ProtocolError
from juniperward.control.protocol import Answer, Request
from juniperward.net import sockets

MAX_CLIENTS = 8  # at once; with all there, the one that has been idle for the longest leaves
REQUESTS_PER_S = 20.0  # of one client
REQUEST_BURST = 20.0  # how many may come at once
ACCEPT_PAUSE_S = 0.01  # between two connections accepted: a flood of them costs little
ERROR_PAUSE_S = 0.1  # after a connection that could not be accepted
READ_TIMEOUT_S = 2.0  # in which a request must be whole after its first byte
IDLE_TIMEOUT_S = 60.0  # after which a client that sends nothing is let go
WRITE_TIMEOUT_S = 2.0  # in which an answer must be taken
ANSWER_TIMEOUT_S = 5.0  # for the reducer's answer
PROBE_TIMEOUT_S = 0.2  # for whoever listens at the path already
MAX_PATH_BYTES = 107  # of a Unix socket's path on Linux
PRIVATE_FOLDER = 0o700
PRIVATE_FILE = 0o600
OTHERS_RIGHTS = 0o077


class Client:
    """One connection; `lock` guards `waiting` and `answer`, which the loop sets."""

    def __init__(self, number: int, sock: socket.socket) -> None:
        """Begin with a whole burst of requests."""
        self.number, self.sock = number, sock
        self.lock = threading.Lock()
        self.answered = threading.Event()
        self.waiting: int | None = None  # the id of the request that waits for its answer
        self.answer: Answer | None = None
        self.since = time.monotonic()  # idle since
        self._tokens, self._tokens_at = REQUEST_BURST, self.since

    def exactly(self, length: int) -> bytes:
        """Return so many bytes, all within READ_TIMEOUT_S of the first; raises OSError or EOFError."""
        data = b""
        at_rest = length == FRAME_HEADER.size
        until = time.monotonic() + (IDLE_TIMEOUT_S if at_rest else READ_TIMEOUT_S)
        while len(data) < length:
            left_s = until - time.monotonic()
            if left_s <= 0:
                raise TimeoutError
            sockets.set_timeout(self.sock, socket.SO_RCVTIMEO, left_s)
            piece = self.sock.recv(length - len(data))
            if not piece:
                raise EOFError
            if not data:
                until = min(until, time.monotonic() + READ_TIMEOUT_S)
            data += piece
        return data

    def pause_s(self) -> float:
        """Return for how long this client's next request has to wait, by a token bucket."""
        now = time.monotonic()
        refilled = self._tokens + (now - self._tokens_at) * REQUESTS_PER_S
        self._tokens, self._tokens_at = min(REQUEST_BURST, refilled) - 1.0, now
        return max(0.0, -self._tokens / REQUESTS_PER_S)


def open_socket(path: Path) -> socket.socket:
    """Listen at a path: its folder of mode 0700 and ours, the socket of mode 0600; raises ControlSocketError."""
    if len(os.fsencode(path)) > MAX_PATH_BYTES:
        raise ControlSocketError(path, f"longer than the {MAX_PATH_BYTES} bytes of a Unix socket's path")
    try:
        _check_folder(path.parent)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            _remove_left_over(path)
            sock.bind(str(path))
            path.chmod(PRIVATE_FILE)
            sock.listen(MAX_CLIENTS)
        except BaseException:
            sock.close()
            raise
    except OSError as error:
        raise ControlSocketError(path, error.strerror or str(error)) from error
    return sock


def _check_folder(folder: Path) -> None:
    folder.mkdir(mode=PRIVATE_FOLDER, parents=True, exist_ok=True)
    found = folder.stat()
    if found.st_uid != os.getuid() or stat.S_IMODE(found.st_mode) & OTHERS_RIGHTS:
        raise ControlSocketError(folder, "must be a folder of this user with mode 0700")


def _remove_left_over(path: Path) -> None:
    """Take away what a killed process left; raises ControlSocketError where something still listens there."""
    if not path.exists():
        return
    if not stat.S_ISSOCK(path.lstat().st_mode):
        raise ControlSocketError(path, "something else than a socket is there")
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        sockets.set_timeout(probe, socket.SO_SNDTIMEO, PROBE_TIMEOUT_S)
        try:
            probe.connect(str(path))
        except ConnectionRefusedError:
            path.unlink()
            return
        except OSError:
            pass
    raise ControlSocketError(path, "another process listens there")


class ControlServer:
    """Owns the socket and its clients; `_lock` guards the table."""

    def __init__(
        self,
        path: Path,
        ask: Callable[[int, Request], None],
        increment: Callable[[str], None],
        report_fault: Callable[[str, BaseException], None],
    ) -> None:
        """Open the socket; requests go to `ask` with their client's number. Raises ControlSocketError."""
        self.path = path
        self._ask, self._increment, self._report_fault = ask, increment, report_fault
        self._listener = open_socket(path)
        self._lock = threading.Lock()
        self.clients: dict[int, Client] = {}
        self._last_number = 0
        self._closed = False

    def start(self) -> None:
        """Begin to accept."""
        threading.Thread(target=self._accept, name="control", daemon=True).start()

    def close(self) -> None:
        """Accept no more, and take the socket away."""
        self._closed = True
        sockets.shutdown(self._listener)
        self._listener.close()
        with contextlib.suppress(OSError):
            self.path.unlink()

    def tell(self, number: int, answer: Answer) -> None:
        """Hand an answer to the thread that waits for it; never blocks."""
        with self._lock:
            client = self.clients.get(number)
        if client is None:
            return
        with client.lock:
            if client.waiting == answer.id:
                client.waiting, client.answer = None, answer
                client.answered.set()

    def _accept(self) -> None:
        while not self._closed:
            try:
                sock, _ = self._listener.accept()
            except OSError as error:
                if self._closed:
                    return
                self._report_fault("control", error)
                time.sleep(ERROR_PAUSE_S)
                continue
            try:
                self._admit(sock)
            except Exception as error:
                self._report_fault("control", error)
                sock.close()
            time.sleep(ACCEPT_PAUSE_S)

    def _admit(self, sock: socket.socket) -> None:
        self._increment("control_clients")
        with self._lock:
            if len(self.clients) >= MAX_CLIENTS:
                self._evict()
            self._last_number += 1
            client = Client(self._last_number, sock)
            self.clients[client.number] = client
        threading.Thread(target=self._serve, args=(client,), name="control-client", daemon=True).start()

    def _evict(self) -> None:
        """Let the client go that has been idle for the longest; with the lock held."""
        idle = min(self.clients.values(), key=lambda client: client.since)
        self._increment("control_clients_evicted")
        sockets.shutdown(idle.sock)
        del self.clients[idle.number]

    def _serve(self, client: Client) -> None:
        try:
            while self._serve_next(client):
                client.since = time.monotonic()
        except (OSError, EOFError):
            pass
        except Exception as error:
            self._report_fault("control", error)
        finally:
            with self._lock:
                self.clients.pop(client.number, None)
            client.sock.close()

    def _serve_next(self, client: Client) -> bool:
        """Answer one request; return whether the client may send another."""
        try:
            request = decode_request(read_frame(client.exactly, MAX_REQUEST_BYTES))
        except ProtocolError as error:
            self._increment("control_requests_unread")
            _write(client, Answer(0, None, str(error)))
            return False
        self._increment("control_requests")
        if (pause_s := client.pause_s()) > 0:
            self._increment("control_requests_paced")
            time.sleep(pause_s)
        answer = self._answer(client, request)
        if answer is None:
            _write(client, Answer(request.id, None, "the forwarder's loop did not answer in time"))
            return False
        _write(client, answer)
        return True

    def _answer(self, client: Client, request: Request) -> Answer | None:
        """Have the loop answer a request; None where it does not in time."""
        with client.lock:
            client.answered.clear()
            client.waiting = request.id
        self._ask(client.number, request)
        if not client.answered.wait(ANSWER_TIMEOUT_S):
            with client.lock:
                client.waiting = None
            return None
        answer, client.answer = client.answer, None
        return answer


def _write(client: Client, answer: Answer) -> None:
    sockets.set_timeout(client.sock, socket.SO_SNDTIMEO, WRITE_TIMEOUT_S)
    client.sock.sendall(encode_answer(answer))
