"""The listener and the clients' connections, a thread with a small stack each; the ready page."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable

from juniperward.forwarder.codec import PATH, BadCall, decode_call, encode_reply
from juniperward.forwarder.config import Names
from juniperward.forwarder.counters import count, holds, log, trouble
from juniperward.forwarder.descriptors import MOST_LEAVING
from juniperward.forwarder.events import Event, MessageReceived
from juniperward.net import sockets
from juniperward.net.http import (
    Broken,
    Closed,
    HttpCall,
    Malformed,
    Overdue,
    Stream,
    encode_response,
    read_call,
)

FIRST = 2.0  # seconds from connecting in which the first call must begin, and during a stop be whole
CALL = 2.0  # seconds from its first byte in which a call must be whole
IDLE = 10.0  # seconds after which a connection that nothing comes on is closed
SPARE_IDLE, SPARE_SILENT = 0.1, 0.25  # the same where the table is full: after a call, before the first
PATIENCE = 0.35  # seconds for the reducer's answer; the client waits for 0.4
LINGER = 0.2  # seconds to read on after a refusal, or a reset could overtake it
LINGER_BYTES = 262144  # nor further than this: some send 60 MB
BACK = 1.0  # seconds after which a client that was turned away here may come again
BACKLOG = 512
ADMITTED = 0.5  # seconds in which the listener's thread lets in whom it has accepted
GO_ON = b"HTTP/1.1 100 Continue\r\n\r\n"


class Client:
    """One connection of a client. `lock` guards `pending` and who writes."""

    def __init__(self, number: int, sock: socket.socket) -> None:
        self.number, self.sock = number, sock
        self.lock = threading.Lock()
        self.answered = threading.Event()
        self.pending = False
        self.idle = True
        self.served = False  # it has had an answer; a fresh one is owed the wait for its first call
        self.close = False  # as the client asked
        self.leaving = False  # to be closed for others' sake
        self.since = time.monotonic()  # of connecting, or of the latest answer
        self.until = self.since + FIRST  # when what is being read must be whole
        self.limit = 0.0  # as the kernel has it

    def receive(self, size: int) -> bytes:
        """Read within the time that is left; raises TimeoutError or BlockingIOError after it."""
        left = self.until - time.monotonic()
        if left <= 0:
            raise TimeoutError
        if not left <= self.limit <= left + 0.05:
            self.limit = left + 0.02
            sockets.limit(self.sock, socket.SO_RCVTIMEO, self.limit)
        return self.sock.recv(size)


class Server:
    """Owns the listener and every client connection."""

    def __init__(
        self,
        listen: tuple[str, int],
        names: Names,
        most: int,
        post: Callable[[Event], None],
        most_leaving: int = MOST_LEAVING,
    ) -> None:
        self.names, self.most, self.post = names, most, post
        self.most_leaving = most_leaving  # connections that may be on their way out beside a full table
        self.clients: dict[int, Client] = {}
        self.lock = threading.Lock()
        self.last = 0
        self.ready = self.stopping = self.closed = False
        self.leave = False  # answers end their connections: clients are to go elsewhere
        self.accepting = threading.Thread(target=self._accept, name="listener", daemon=True)
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(listen)
        self.listener.listen(BACKLOG)

    def start(self) -> None:
        """Begin to accept; the ready page says yes from here on."""
        self.ready = True
        self.accepting.start()

    def close_connections(self, closing: bool) -> None:
        """Have the ready page say no (or yes again); clients that come all the same are sent elsewhere."""
        self.ready, self.leave = not closing, closing

    def stop(self) -> None:
        """Close kept connections once idle; new ones are still answered until `close`."""
        self.stopping = True
        with self.lock:
            clients = list(self.clients.values())
        for client in clients:
            with client.lock:
                if client.idle and client.served:
                    # Reading ends once what has come is read: a call that crosses this is still answered.
                    sockets.shut(client.sock, socket.SHUT_RD)

    def close(self) -> None:
        """Accept no more; who stands in the kernel's line is still answered, or a close would reset them."""
        self.listener.setblocking(False)
        with contextlib.suppress(OSError):
            while True:
                self._admit_or_close(self.listener.accept()[0])
        sockets.shut(self.listener)
        self.listener.close()
        if self.accepting.is_alive():
            self.accepting.join(
                ADMITTED
            )  # whom it has accepted is not in `clients` yet, and would seem to be nobody
        self.closed = True

    def alone(self) -> bool:
        """Whether nobody is here and nobody can come."""
        with self.lock:
            return self.closed and not self.clients

    def answer(self, number: int, status: int, retry_after: float = 0.0) -> bool:
        """Write the answer that a client waits for; whether it was there to be told."""
        with self.lock:
            client = self.clients.get(number)
        if client is None:
            return False
        with client.lock:
            if not client.pending:
                return False
            client.pending = False
            left = client.leaving or sockets.ended(client.sock)
            if left:
                # Its sending has ended, by it or by us: nothing is accepted for one that may be gone.
                status, retry_after = 503, BACK
                count("clients_left")
            client.close = client.close or client.leaving or self.leave or self.stopping
            told = self._write(client, encode_reply(status, retry_after, client.close))
            client.answered.set()
        return told and not left

    def _write(self, client: Client, data: bytes) -> bool:
        """Write an answer whole, or end the connection: a client must not wait for the rest of one."""
        try:
            if client.sock.send(data, socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL) == len(data):
                return True
        except OSError:
            pass
        count("answers_cut")
        sockets.shut(client.sock)
        return False

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError as error:
                if self.listener.fileno() < 0 or self.stopping:
                    return
                count("accepts_failed")
                log("listener", f"cannot accept: {error}")
                with self.lock:
                    self._spare()  # mostly for want of descriptors
                time.sleep(0.05)
                continue
            self._admit_or_close(sock)

    def _admit_or_close(self, sock: socket.socket) -> None:
        try:
            self._admit(sock)
        except Exception as error:
            trouble("listener", error)
            sock.close()

    def _admit(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self.lock:
            self.last += 1
            client = Client(self.last, sock)
            here = len(self.clients)
            full = here >= self.most and (here >= self.most + self.most_leaving or not self._spare())
            if not full:
                self.clients[client.number] = client
        count("clients_accepted")
        if full:
            count("overload_replies_connections")
            self._write(client, encode_reply(503, BACK, True, "too many connections"))
            sock.close()
            return
        try:
            threading.Thread(target=self._serve, args=(client,), name="client", daemon=True).start()
        except RuntimeError:
            with self.lock:
                self.clients.pop(client.number, None)
            self._write(client, encode_reply(503, BACK, True, "too many connections"))
            raise

    def _spare(self) -> bool:
        """Ask the connection that nothing has come on for the longest to leave, so that others may come."""
        now = time.monotonic()
        free = [
            c for c in self.clients.values()
            if c.idle and not c.leaving and now - c.since >= (SPARE_IDLE if c.served else SPARE_SILENT)
        ]  # fmt: skip
        if not free:
            return False
        # One that has been answered sends again elsewhere; the first call of another would have failed.
        client = min(free, key=lambda c: (not c.served, c.since))
        client.leaving = True
        count("clients_spared")
        # Reading ends once what has come is read: a call that crosses this is still answered.
        sockets.shut(client.sock, socket.SHUT_RD)
        return True

    def _serve(self, client: Client) -> None:
        stream = Stream(client.receive)
        try:
            while self._next(client, stream):
                pass
        except Closed:
            pass
        except Broken:
            count("clients_broken")
        except OSError:
            count("clients_broken")
        except Exception as error:
            trouble("client", error)
            self._write(client, encode_reply(500, 0.0, True, "internal error"))
        finally:
            client.sock.close()  # before its place is given to another, or both would hold a descriptor
            with self.lock:
                self.clients.pop(client.number, None)

    def _next(self, client: Client, stream: Stream) -> bool:
        """Read one call and see it answered; whether the connection goes on."""
        self._wait_for_bytes(client, stream)
        try:
            asked = read_call(stream, lambda: client.sock.sendall(GO_ON))
        except Malformed as error:
            count("calls_malformed")
            self._write(client, encode_reply(error.status, 0.0, True, str(error)))
            self._linger(client)
            return False
        except Overdue:
            count("calls_overdue")
            self._write(client, encode_reply(408, 0.0, True, "the call was not whole in time"))
            self._linger(client)
            return False
        at, client.served = time.monotonic(), True
        if asked.path == PATH and asked.method == "POST":
            client.close = asked.close
            self._hand_in(client, asked, at)
        else:
            self._write(client, self._page(asked))
        if asked.close or client.close or self.stopping:
            self._linger(client)
            return False
        return True

    def _wait_for_bytes(self, client: Client, stream: Stream) -> None:
        with client.lock:
            client.idle = True
        if self.stopping and client.served and not stream.buffer and sockets.quiet(client.sock):
            raise Closed
        if client.served:
            client.since = time.monotonic()
            client.until = client.since + IDLE
        while not stream.buffer:
            try:
                data = client.receive(16384)
            except (BlockingIOError, TimeoutError):
                count("clients_idle" if client.served else "clients_silent")
                # A request may cross this: a close over it would reset the connection.
                self._linger(client)
                raise Closed from None
            except ConnectionError as error:
                raise Closed from error
            if not data:
                raise Closed
            stream.buffer += data
        with client.lock:
            client.idle = False
        if client.served or not self.stopping:
            client.until = time.monotonic() + CALL

    def _hand_in(self, client: Client, asked: HttpCall, at: float) -> None:
        try:
            call = decode_call(asked, self.names)
        except BadCall as error:
            count("calls_unreadable")
            self._write(client, encode_reply(400, 0.0, asked.close or self.stopping, str(error)))
            return
        with client.lock:
            client.answered.clear()
            client.pending = True
        self.post(MessageReceived(client.number, call, at))
        if client.answered.wait(PATIENCE):
            return
        with client.lock:
            if not client.pending:
                return
            # The reducer is behind; an answer that comes later finds nobody and is withdrawn.
            client.pending = False
            count("overload_replies_overdue")
            self._write(client, encode_reply(503, BACK, asked.close or self.stopping))

    def _page(self, asked: HttpCall) -> bytes:
        close = asked.close or self.stopping
        body: bytes
        if asked.path == PATH:
            status, body = 405, b"use POST\n"
        elif asked.path not in ("/health/ready", "/health/live"):
            status, body = 404, b"no such page\n"
        elif asked.method not in ("GET", "HEAD"):
            status, body = 405, b"use GET\n"
        elif asked.path == "/health/ready" and (self.stopping or not self.ready):
            status, body = 503, b"not ready\n"
        else:
            status, body = 200, b"ok\n"
        headers = {"Content-Type": "text/plain; charset=utf-8"}
        if status == 405:
            headers["Allow"] = "POST" if asked.path == PATH else "GET, HEAD"
        data = encode_response(status, headers, body, close)
        return data if asked.method != "HEAD" else data[: len(data) - len(body)]

    def _linger(self, client: Client) -> None:
        """End our side, then read on a little: closing with bytes unread resets what was just written."""
        holds(not client.pending, "no_close_before_an_answer")
        sockets.shut(client.sock, socket.SHUT_WR)
        sockets.limit(client.sock, socket.SO_RCVTIMEO, LINGER)
        until, left = time.monotonic() + LINGER, LINGER_BYTES
        try:
            while time.monotonic() < until and left > 0 and (data := client.sock.recv(16384)):
                left -= len(data)
        except OSError:
            pass
