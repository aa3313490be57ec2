"""Delivery of notifications to the platform over connections that fail in different ways."""

from __future__ import annotations

import contextlib
import json
import queue
import socket
import threading
import time
from unittest import mock

from juniperward.forwarder.discovery_address import DiscoveryAddress
from juniperward.forwarder.discovery_client import DiscoveryClient
from juniperward.forwarder.events import Event, NotificationAcknowledged
from juniperward.forwarder.model import OutcomeNotification
from juniperward.forwarder.notification_sender import MAX_QUEUED_S, NotificationSender
from juniperward.forwarder.platform_connection import ANSWER_TIMEOUT_S
from juniperward.forwarder.settings_names import SettingsNames
from juniperward.forwarder.telemetry import counters
from juniperward.net.http_errors import ConnectionClosedError, IncompleteMessageError
from juniperward.net.http_requests import read_request
from juniperward.net.stream import Stream
from tests.resources import UsesResources

OK = b"HTTP/1.1 204 No Content\r\n\r\n"
NOTIFICATION_COUNT = 450  # More than one request may hold.
MAX_BACKOFF_S = 0.4


class Platform:
    """A platform that gives each connection one of the scripted answers, then accepts everything.

    An answer of None closes the connection after a request.
    """

    def __init__(self, *answers: bytes | None) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.answers, self.accepted_ids, self.socks = list(answers), set[str](), list[socket.socket]()
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.socks.append(sock)
            threading.Thread(
                target=self._serve, args=(sock, self.answers.pop(0) if self.answers else OK)
            ).start()

    def _serve(self, sock: socket.socket, answer: bytes | None) -> None:
        stream = Stream(sock.recv)
        try:
            while True:
                request = read_request(stream)
                if answer == OK:
                    self.accepted_ids |= {json.loads(line)["id"] for line in request.body.splitlines()}
                if answer is None:
                    sock.close()
                    return
                sock.sendall(answer)
        except (IncompleteMessageError, ConnectionClosedError, OSError):
            sock.close()

    def close(self) -> None:
        """Close the listener and all connections."""
        for sock in (self.listener, *self.socks):
            sock.close()


class TestNotifications(UsesResources):
    def test_notifications_that_wait_for_the_sender_are_counted(self) -> None:
        # Tells a late sender from a late loop.
        sender = NotificationSender(DiscoveryAddress(("127.0.0.1", 1)), lambda _: None)
        before = counters().get("notifications_late", 0)
        with mock.patch("juniperward.forwarder.notification_sender.time") as time_module:
            time_module.monotonic.return_value = 1.0
            sender.send((OutcomeNotification("m0"), OutcomeNotification("m1")))
            time_module.monotonic.return_value = 1.0 + 2 * MAX_QUEUED_S
            sender.send((OutcomeNotification("m2"),))
            assert [notification.id for notification in sender._next_batch()] == ["m0", "m1", "m2"]
        assert counters().get("notifications_late", 0) == before + 2

    def test_an_answer_byte_by_byte_does_not_delay_a_notification(self) -> None:
        # Single bytes of an answer that never ends must not extend its time limit.
        platform = Platform()
        platform.answers = [b"HTTP/1.1 2"]
        self.resources.callback(platform.close)
        over = threading.Event()
        self.resources.callback(over.set)
        events: queue.Queue[Event] = queue.Queue()
        client = DiscoveryClient(
            platform.listener.getsockname(), SettingsNames((), (), (), (), ()), events.put
        )
        client.start()
        client.notify((OutcomeNotification("m0"),))

        def drip() -> None:
            with contextlib.suppress(OSError):
                while not over.wait(0.02):
                    for sock in platform.socks[:1]:
                        sock.sendall(b"0")

        threading.Thread(target=drip, daemon=True).start()
        assert events.get(timeout=5.0) == NotificationAcknowledged(("m0",))

    def test_a_second_answer_to_a_request_does_not_acknowledge_the_next_one(self) -> None:
        # Guards against an outcome that counts as notified by an answer that was sent before it.
        platform = self.resources.closing(Platform(OK + OK))
        events: queue.Queue[Event] = queue.Queue()
        client = DiscoveryClient(
            platform.listener.getsockname(), SettingsNames((), (), (), (), ()), events.put
        )
        client.start()
        for name in ("m0", "m1"):
            client.notify((OutcomeNotification(name),))
            assert events.get(timeout=5.0) == NotificationAcknowledged((name,))
        # This platform accepts a notification only on a connection where it answers once.
        assert platform.accepted_ids == {"m1"}

    def test_every_notification_arrives_over_failing_connections(self) -> None:
        # The connections are closed after a request, never answered, answered in part, and answered with 503.
        platform = self.resources.closing(
            Platform(None, b"", b"HTTP/1.1 20", b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
        )
        events: queue.Queue[Event] = queue.Queue()
        client = DiscoveryClient(
            platform.listener.getsockname(), SettingsNames((), (), (), (), ()), events.put
        )
        client.start()
        began = time.monotonic()
        client.notify(
            tuple(OutcomeNotification(f"m{n}", 0.5 if n % 2 else None) for n in range(NOTIFICATION_COUNT))
        )
        acknowledged: set[str] = set()
        while len(acknowledged) < NOTIFICATION_COUNT:
            event = events.get(timeout=10.0)
            assert isinstance(event, NotificationAcknowledged)
            acknowledged |= set(event.ids)
        assert platform.accepted_ids == {f"m{n}" for n in range(NOTIFICATION_COUNT)}
        # Two of the four failures take the time limit of an answer, and each is followed by a backoff.
        assert time.monotonic() - began < 2 * ANSWER_TIMEOUT_S + 4 * MAX_BACKOFF_S + 1.0
        assert ANSWER_TIMEOUT_S <= 0.3
