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

from juniperward.control.errors import ControlError
from juniperward.control.protocol import (
    MOST_REQUEST,
    Answer,
    ProtocolError,
    Request,
    decode_request,
    encode_answer,
    read_frame,
)
from juniperward.net import sockets

MOST_CLIENTS = 8  # at once; with all there, the one that has been idle for the longest leaves
PACE, BURST = 20.0, 20.0  # requests a second of one client, and how many may come at once
ACCEPTS = 0.01  # seconds between two connections taken: a flood of them costs little
READ = 2.0  # seconds in which a request must be whole after its first byte
IDLE = 60.0  # seconds after which a silent client is let go
WRITE = 2.0  # seconds in which an answer must be taken
PATIENCE = 5.0  # seconds for the reducer's answer
MOST_PATH = 107  # bytes of a Unix socket's path on Linux


class Client:
    """One connection; `lock` guards `answer`, which the loop sets."""

    def __init__(self, number: int, sock: socket.socket) -> None:
        self.number, self.sock = number, sock
        self.lock = threading.Lock()
        self.told = threading.Event()
        self.waiting: int | None = None
        self.answer: Answer | None = None
        self.since = time.monotonic()
        self.tokens, self.tokens_at = BURST, self.since
        self.limit = 0.0

    def exactly(self, length: int) -> bytes:
        """So many bytes, all within READ of the first; raises OSError or EOFError."""
        data = b""
        until = time.monotonic() + (IDLE if length == 4 else READ)
        while len(data) < length:
            left = until - time.monotonic()
            if left <= 0:
                raise TimeoutError
            sockets.limit(self.sock, socket.SO_RCVTIMEO, left)
            piece = self.sock.recv(length - len(data))
            if not piece:
                raise EOFError
            if not data:
                until = min(until, time.monotonic() + READ)
            data += piece
        return data

    def pause(self) -> float:
        """Seconds to wait before another request of this client is taken."""
        now = time.monotonic()
        self.tokens = min(BURST, self.tokens + (now - self.tokens_at) * PACE) - 1.0
        self.tokens_at = now
        return max(0.0, -self.tokens / PACE)


def open_socket(path: Path) -> socket.socket:
    """Listen at a path: its folder of mode 0700 and ours, the socket of mode 0600; raises ControlError."""
    if len(os.fsencode(path)) > MOST_PATH:
        raise ControlError(f"{path}: longer than the {MOST_PATH} bytes of a Unix socket's path")
    try:
        path.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
        found = path.parent.stat()
        if found.st_uid != os.getuid() or stat.S_IMODE(found.st_mode) & 0o077:
            raise ControlError(f"{path.parent}: must be a folder of this user with mode 0700")
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            _clear(path)
            sock.bind(str(path))
            os.chmod(path, 0o600)
            sock.listen(MOST_CLIENTS)
        except BaseException:
            sock.close()
            raise
    except OSError as error:
        raise ControlError(f"{path}: {error.strerror or error}") from error
    return sock


def _clear(path: Path) -> None:
    """Take away what a killed process left; raises ControlError where something still listens there."""
    if not path.exists():
        return
    if not stat.S_ISSOCK(path.lstat().st_mode):
        raise ControlError(f"{path}: something else than a socket is there")
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        sockets.limit(probe, socket.SO_SNDTIMEO, 0.2)
        try:
            probe.connect(str(path))
        except ConnectionRefusedError:
            path.unlink()
            return
        except OSError:
            pass
    raise ControlError(f"{path}: another process listens there")


class ControlServer:
    """Owns the socket and its clients; `lock` guards the table."""

    def __init__(
        self,
        path: Path,
        ask: Callable[[int, Request], None],
        count: Callable[[str], None],
        trouble: Callable[[str, BaseException], None],
    ) -> None:
        self.path, self.ask, self.count, self.trouble = path, ask, count, trouble
        self.listener = open_socket(path)
        self.lock = threading.Lock()
        self.clients: dict[int, Client] = {}
        self.last = 0
        self.closed = False

    def start(self) -> None:
        """Begin to accept."""
        threading.Thread(target=self._accept, name="control", daemon=True).start()

    def close(self) -> None:
        """Accept no more, and take the socket away."""
        self.closed = True
        sockets.shut(self.listener)
        self.listener.close()
        with contextlib.suppress(OSError):
            self.path.unlink()

    def tell(self, number: int, answer: Answer) -> None:
        """Hand an answer to the thread that waits for it; never blocks."""
        with self.lock:
            client = self.clients.get(number)
        if client is None:
            return
        with client.lock:
            if client.waiting == answer.id:
                client.waiting, client.answer = None, answer
                client.told.set()

    def _accept(self) -> None:
        while not self.closed:
            try:
                sock, _ = self.listener.accept()
            except OSError as error:
                if self.closed:
                    return
                self.trouble("control", error)
                time.sleep(0.1)
                continue
            try:
                self._admit(sock)
            except Exception as error:
                self.trouble("control", error)
                sock.close()
            time.sleep(ACCEPTS)

    def _admit(self, sock: socket.socket) -> None:
        self.count("control_clients")
        with self.lock:
            if len(self.clients) >= MOST_CLIENTS:
                idle = min(self.clients.values(), key=lambda c: c.since)
                self.count("control_clients_evicted")
                sockets.shut(idle.sock)
                del self.clients[idle.number]
            self.last += 1
            client = Client(self.last, sock)
            self.clients[client.number] = client
        threading.Thread(target=self._serve, args=(client,), name="control-client", daemon=True).start()

    def _serve(self, client: Client) -> None:
        try:
            while self._next(client):
                client.since = time.monotonic()
        except (OSError, EOFError):
            pass
        except Exception as error:
            self.trouble("control", error)
        finally:
            with self.lock:
                self.clients.pop(client.number, None)
            client.sock.close()

    def _next(self, client: Client) -> bool:
        try:
            request = decode_request(read_frame(client.exactly, MOST_REQUEST))
        except ProtocolError as error:
            self.count("control_requests_unread")
            self._write(client, Answer(0, None, str(error)))
            return False
        self.count("control_requests")
        if (pause := client.pause()) > 0:
            self.count("control_requests_paced")
            time.sleep(pause)
        with client.lock:
            client.told.clear()
            client.waiting = request.id
        self.ask(client.number, request)
        if not client.told.wait(PATIENCE):
            with client.lock:
                client.waiting = None
            self._write(client, Answer(request.id, None, "the forwarder's loop did not answer in time"))
            return False
        answer, client.answer = client.answer, None
        assert answer is not None
        self._write(client, answer)
        return True

    def _write(self, client: Client, answer: Answer) -> None:
        sockets.limit(client.sock, socket.SO_SNDTIMEO, WRITE)
        client.sock.sendall(encode_answer(answer))
