"""Answers that a peer sends without a request, such as a second copy of an earlier one, beside the next request.

Each peer here sends a copy of its latest answer once it has received the next request of a connection, and then
answers that request. A request must have the outcome of its own answer, whichever connection carries it.
"""

from __future__ import annotations

import contextlib
import json
import queue
import socket
import threading
import time
from collections.abc import Callable

from juniperward.forwarder.discovery_client import DiscoveryClient
from juniperward.forwarder.effects import StartAttempt, StartHealthCheck
from juniperward.forwarder.events import AttemptAnswered, Event, HealthCheckAnswered, NotificationAcknowledged
from juniperward.forwarder.model import BatchItem, Message, OutcomeNotification
from juniperward.forwarder.settings_names import SettingsNames
from juniperward.net.http_errors import ConnectionClosedError, IncompleteMessageError
from juniperward.net.http_requests import read_request
from juniperward.net.http_values import HttpRequest
from juniperward.net.stream import Stream
from juniperward.scheduler.events import Outcome
from tests.endpoint_client_rig import EndpointClientRig
from tests.resources import UsesResources

DELIVERED = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
REJECTED = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
ACKNOWLEDGED = b"HTTP/1.1 204 No Content\r\n\r\n"
# Endpoints need this time for a call.
SERVICE_S = 0.06
CALLS = 12
WAIT_S = 5.0


class CopyingPeer:
    """Answers requests, and sends a copy of a connection's latest answer ahead of its next one.

    Attributes:
        copies: How many copies were sent.
        own: The answer to each request, in their order.

    """

    def __init__(self, answer: Callable[[HttpRequest], bytes], service_s: float = 0.0) -> None:
        """Listen on a free port; `answer` returns the answer to a request, `service_s` after its copy."""
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address: tuple[str, int] = self.listener.getsockname()
        self.copies, self.own = 0, list[bytes]()
        self._answer, self._service_s = answer, service_s
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        stream, latest = Stream(sock.recv), b""
        with sock, contextlib.suppress(OSError, IncompleteMessageError, ConnectionClosedError):
            while True:
                request = read_request(stream)
                if latest:
                    self.copies += 1
                    sock.sendall(latest)
                latest = self._answer(request)
                self.own.append(latest)
                time.sleep(self._service_s)
                sock.sendall(latest)

    def close(self) -> None:
        """Accept no more connections."""
        self.listener.close()


def attempt(number: int, address: tuple[str, int]) -> StartAttempt:
    item = BatchItem(number, Message(f"m{number}", 0, 0, 7, 1.0, None, b""))
    return StartAttempt(number, 3, *address, 7, (item,), time.monotonic() + WAIT_S)


class TestAttempts(EndpointClientRig):
    def test_a_copy_of_an_earlier_answer_does_not_end_the_next_call(self) -> None:
        # Guards against a message that is lost, or sent twice, for an answer to the call before.
        answers = iter([DELIVERED, REJECTED] * CALLS)
        peer = self.resources.closing(CopyingPeer(lambda _: next(answers), SERVICE_S))
        outcomes = []
        for number in range(CALLS):
            self.client.start(attempt(number, peer.address))
            event = self.events.get(timeout=WAIT_S)
            assert isinstance(event, AttemptAnswered)
            outcomes += [item.outcome for item in event.outcomes]
        assert outcomes == [Outcome.OK, Outcome.OVERLOADED] * (CALLS // 2)
        assert peer.copies > 0


class TestHealthChecks(EndpointClientRig):
    def test_a_copy_of_an_earlier_answer_does_not_end_the_next_health_check(self) -> None:
        # Guards against an endpoint that counts as healthy for an answer that it sent before.
        self.allow_reuse()
        answers = iter([DELIVERED, REJECTED])
        peer = self.resources.closing(CopyingPeer(lambda _: next(answers), SERVICE_S))
        for number, expected in enumerate((Outcome.OK, Outcome.OVERLOADED)):
            deadline = time.monotonic() + WAIT_S
            self.client.start(StartHealthCheck(number, 3, *peer.address, 7, deadline))
            event = self.events.get(timeout=WAIT_S)
            assert isinstance(event, HealthCheckAnswered)
            assert event.outcome is expected


class TestNotifications(UsesResources):
    def test_a_copy_of_an_earlier_answer_does_not_acknowledge_the_next_notification(self) -> None:
        # Guards against a message without an outcome, as the platform never had its notification.
        accepted: list[str] = []

        def answer(request: HttpRequest) -> bytes:
            ids = [json.loads(line)["id"] for line in request.body.splitlines()]
            if ids == ["m1"] and len(peer.own) == 1:
                return REJECTED
            accepted.extend(ids)
            return ACKNOWLEDGED

        peer = self.resources.closing(CopyingPeer(answer, SERVICE_S))
        events: queue.Queue[Event] = queue.Queue()
        client = DiscoveryClient(peer.address, SettingsNames((), (), (), (), ()), events.put)
        client.start()
        for name in ("m0", "m1"):
            client.notify((OutcomeNotification(name),))
            assert events.get(timeout=WAIT_S) == NotificationAcknowledged((name,))
            assert name in accepted
