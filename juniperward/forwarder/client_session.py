"""Reads and answers the requests of a client connection, one at a time, on a thread of `client_threads.py`.

A message is posted to the reducer as `MessageReceived` with the number of its request, and the loop writes its answer
(`server.py`). All other requests, and messages that the reducer does not answer in time, are answered here.

Only MAX_RUNNING_THREADS of these threads run at once; the others block, or wait for a slot.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from juniperward.forwarder.client_connection import (
    IDLE_TIMEOUT_S,
    READ_BYTES,
    REQUEST_TIMEOUT_S,
    ClientConnection,
)
from juniperward.forwarder.client_threads import ClientThreads
from juniperward.forwarder.codec import MESSAGE_PATH, UnreadableMessageError, decode_message, encode_reply
from juniperward.forwarder.concurrency_limit import MAX_RUNNING_THREADS, ConcurrencyLimit
from juniperward.forwarder.events import Event, MessageReceived
from juniperward.forwarder.health_page import answer_page
from juniperward.forwarder.incomplete_requests import IncompleteRequests
from juniperward.forwarder.pending_requests import PendingRequests
from juniperward.forwarder.request_budget import RequestBudget
from juniperward.forwarder.request_reader import RETRY_AFTER_S, PermitNeededError, RequestReader
from juniperward.forwarder.settings_names import SettingsNames
from juniperward.forwarder.telemetry import increment, report_fault
from juniperward.net import sockets
from juniperward.net.http_errors import ConnectionClosedError, IncompleteMessageError
from juniperward.net.http_status import HttpStatus
from juniperward.net.http_values import HttpRequest
from juniperward.net.stream import Stream

# The time limit for the reducer's answer to a message. It is shorter than the 0.4 s that clients wait.
ANSWER_TIMEOUT_S = 0.35
# While threads are plentiful, a connection keeps its thread for this time after an answer.
KEEP_THREAD_S = 1.0
# Connections with larger requests get their threads after the others.
MAX_USUAL_REQUEST_BYTES = 8192


@dataclass(slots=True)
class ServiceState:
    """The service's state, which all connections read.

    Attributes:
        ready: Whether the readiness check succeeds while the forwarder is not stopping.
        stopping: Whether the process is shutting down.
        draining: Whether each answer to a message ends its connection, so that clients connect elsewhere.

    """

    ready: bool = False
    stopping: bool = False
    draining: bool = False


@dataclass(frozen=True, slots=True)
class ClientResources:
    """What all connections share: permits and memory for their requests, and the threads that serve them."""

    incomplete: IncompleteRequests
    budget: RequestBudget
    threads: ClientThreads


class NextStep(Enum):
    """What happens to a connection after its thread has served it.

    Attributes:
        REST: It waits for the first byte of a request, without a thread.
        QUEUE: It waits for a permit to read the rest of a request.
        YIELD: Its next request has arrived, and is served after those of connections that have waited.
        LINGER: It is closed once its unread input has been discarded.
        CLOSE: It is closed.

    """

    REST = "rest"
    QUEUE = "queue"
    YIELD = "yield"
    LINGER = "linger"
    CLOSE = "close"


class ClientSessions:
    """Serves client connections; `serve` may be called on any number of threads, on one for each connection."""

    def __init__(
        self,
        names: SettingsNames,
        state: ServiceState,
        requests: PendingRequests,
        resources: ClientResources,
        post: Callable[[Event], None],
    ) -> None:
        """Decode messages with the names of the settings, and submit them to the reducer with `post`."""
        self._names, self._state, self._requests, self._post = names, state, requests, post
        self._budget, self._threads = resources.budget, resources.threads
        self._incomplete = resources.incomplete
        self._limit = ConcurrencyLimit(MAX_RUNNING_THREADS, "clients")
        self._reader = RequestReader(resources.incomplete, self._limit)

    def serve(self, client: ClientConnection) -> NextStep:
        """Answer requests until the connection needs no thread, and return what happens to it then."""
        with self._limit:
            return self._serve(client)

    def _serve(self, client: ClientConnection) -> NextStep:
        stream = self._reader.open_stream(client)
        next_step: NextStep | None = None
        try:
            while next_step is None:
                next_step = self._serve_next(client, stream)
        except PermitNeededError:
            stream.buffer = bytearray(client.unparsed)
            client.resumes = True
            next_step = NextStep.QUEUE
        except ConnectionClosedError:
            next_step = NextStep.CLOSE
        except (IncompleteMessageError, OSError):
            increment("clients_broken")
            next_step = NextStep.CLOSE
        except Exception as error:
            report_fault("client", error)
            client.write(encode_reply(HttpStatus.INTERNAL_SERVER_ERROR, 0.0, True, "internal error"))
            next_step = NextStep.CLOSE
        self._incomplete.end(client)
        return next_step

    def _serve_next(self, client: ClientConnection, stream: Stream) -> NextStep | None:
        """Read one request and wait until it is answered; return None if the next one is to be waited for."""
        if not self._wait_for_request(client, stream):
            return NextStep.REST
        request = self._reader.read(client, stream)
        if request is None:
            return NextStep.LINGER
        client.served = True
        client.is_bulky = client.request_bytes > MAX_USUAL_REQUEST_BYTES or bool(stream.buffer)
        if request.path == MESSAGE_PATH and request.method == "POST":
            client.close_after_answer = request.close
            self._serve_message(client, request)
        else:
            ready = self._state.ready and not self._state.stopping
            client.write(answer_page(request, ready, request.close or self._state.stopping))
        if request.close or client.close_after_answer or self._state.stopping:
            return NextStep.LINGER
        return self._after_answer(client, stream)

    def _after_answer(self, client: ClientConnection, stream: Stream) -> NextStep | None:
        """Return what happens after an answer that does not end the connection."""
        if not client.is_writable:
            return NextStep.CLOSE
        return NextStep.YIELD if stream.buffer and self._threads.is_short else None

    def _wait_for_request(self, client: ClientConnection, stream: Stream) -> bool:
        """Wait for the first byte of a request; return False if it is to be waited for without a thread.

        Raises ConnectionClosedError if the connection ends before it.
        """
        if client.resumes:
            client.resumes = False
            return True
        if not client.is_readable:
            self._begin_waiting(client, stream)
        while not stream.buffer:
            data = self._receive_first(client)
            if data is None:
                return False
            stream.buffer += data
        client.unparsed = bytes(stream.buffer)
        with client.lock:
            client.idle = False
        if client.served or not self._state.stopping:
            client.read_deadline = time.monotonic() + REQUEST_TIMEOUT_S
        return True

    def _begin_waiting(self, client: ClientConnection, stream: Stream) -> None:
        with client.lock:
            client.idle = True
        client.request_bytes = len(stream.buffer)
        if self._state.stopping and client.served and not stream.buffer and sockets.is_reusable(client.sock):
            raise ConnectionClosedError
        if client.served:
            client.idle_since = time.monotonic()
            client.read_deadline = client.idle_since + IDLE_TIMEOUT_S

    def _serve_message(self, client: ClientConnection, request: HttpRequest) -> None:
        """Submit a message to the reducer, and reject it if the reducer does not answer in time.

        Its time left counts from when its last bytes were received, and not from the end of the wait for a slot.
        """
        close = request.close or self._state.stopping
        try:
            message = decode_message(request, self._names)
        except UnreadableMessageError as error:
            increment("requests_unreadable")
            client.write(encode_reply(HttpStatus.BAD_REQUEST, 0.0, close, str(error)))
            return
        if client.is_bulky and sockets.is_closed_by_peer(client.sock):
            # Its other requests need no work of the loop; those of other connections are checked there only.
            increment("clients_disconnected")
            client.write(encode_reply(HttpStatus.SERVICE_UNAVAILABLE, RETRY_AFTER_S, close))
            return
        number = self._requests.add(client)
        if not self._budget.reserve(number, message):
            increment("rejections_memory")
            self._reject_pending(client, close)
            return
        self._post(MessageReceived(number, message, client.received_at))
        with self._limit.blocking:
            answered = client.answered.wait(ANSWER_TIMEOUT_S)
        if answered:
            return
        # The reducer's answer is then dropped as late, and the message is withdrawn.
        if self._reject_pending(client, request.close or self._state.stopping):
            increment("rejections_overdue")

    def _reject_pending(self, client: ClientConnection, close: bool) -> bool:
        """Reject the pending request of a connection; return False if it has been answered meanwhile."""
        with client.lock:
            if client.pending_request is None:
                return False
            self._requests.end(client)
            client.write(encode_reply(HttpStatus.SERVICE_UNAVAILABLE, RETRY_AFTER_S, close))
        return True

    def _receive_first(self, client: ClientConnection) -> bytes | None:
        """Return the first bytes of a request, None if the connection is to rest until they arrive.

        Raises ConnectionClosedError at the end of input.
        """
        try:
            if client.is_readable:
                client.is_readable = False
                data = client.receive_available(READ_BYTES)
                # The time left of a message does not begin after the wait for a thread.
                client.received_at = client.readable_at
            elif client.served and self._threads.has_spare:
                with self._limit.blocking:
                    data = client.receive(READ_BYTES, KEEP_THREAD_S)
            else:
                return None
        except (BlockingIOError, TimeoutError):
            return None
        except ConnectionError as error:
            raise ConnectionClosedError from error
        if not data:
            raise ConnectionClosedError
        return data
