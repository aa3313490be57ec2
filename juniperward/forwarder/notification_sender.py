"""Sends notifications to the platform until they are acknowledged, on a thread and a connection of its own."""

from __future__ import annotations

import json
import queue
import threading
import time
from collections.abc import Callable
from typing import Any

from juniperward.forwarder.discovery_address import AddressChangedError, DiscoveryAddress
from juniperward.forwarder.events import Event, NotificationAcknowledged
from juniperward.forwarder.model import OutcomeNotification
from juniperward.forwarder.telemetry import increment, log, report_fault
from juniperward.net import sockets
from juniperward.net.http_errors import IncompleteMessageError, MalformedMessageError
from juniperward.net.http_requests import encode_request
from juniperward.net.http_responses import read_response
from juniperward.net.http_values import HttpResponse
from juniperward.net.stream import Stream

# For a connection, and for the answer, which comes straight away. Beyond that they go again by another connection:
# twice this fits between a message's last moment and 0.3 s after its time.
ANSWER_TIMEOUT_S = 0.3
RETRY_FIRST_S, RETRY_MAX_S = 0.05, 0.4  # before notifications are sent again, doubling
MAX_PER_REQUEST = 200
HTTP_NO_CONTENT, HTTP_BAD_REQUEST = 204, 400


class NotificationsRejectedError(Exception):
    """The platform did not accept notifications, and may later."""

    def __init__(self, status: int) -> None:
        """Name the status."""
        super().__init__(f"answered {status}")


class PlatformConnection:
    """A connection to the platform, for one request after another."""

    def __init__(self, address: DiscoveryAddress) -> None:
        """Connect; raises OSError or AddressChangedError."""
        sock, connected = address.open_socket("notices")
        try:
            sockets.connect(*connected, ANSWER_TIMEOUT_S, sock)
        except OSError:
            sock.close()
            raise
        if connected != address.address:
            sock.close()
            raise AddressChangedError
        self._sock = sock
        self._timed = sockets.DeadlineReader(sock, ANSWER_TIMEOUT_S)
        self._stream = Stream(self._timed.receive)
        self._host = f"{connected[0]}:{connected[1]}"

    def is_quiet(self) -> bool:
        """Return whether it may be used again."""
        return sockets.is_reusable(self._sock)

    def post(self, body: bytes) -> HttpResponse:
        """Post notifications; raises OSError, Broken or Malformed."""
        self._timed.restart()
        self._sock.sendall(encode_request("POST", "/status", self._host, {}, body))
        return read_response(self._stream)

    def close(self) -> None:
        """Close it."""
        self._sock.close()


class NotificationSender:
    """Posts `NotificationAcknowledged` for what the platform accepted."""

    def __init__(self, address: DiscoveryAddress, post: Callable[[Event], None]) -> None:
        """Send to an address once asked to."""
        self._address, self._post = address, post
        self._waiting: queue.SimpleQueue[OutcomeNotification] = queue.SimpleQueue()
        self._connection: PlatformConnection | None = None

    def start_thread(self) -> None:
        """Begin to work off what is asked for."""
        threading.Thread(target=self._work, name="notices", daemon=True).start()

    def send(self, notifications: tuple[OutcomeNotification, ...]) -> None:
        """Send notifications until they are acknowledged."""
        for notification in notifications:
            self._waiting.put(notification)

    def _work(self) -> None:
        while True:
            batch = self._next_batch()
            retry_s = RETRY_FIRST_S
            while not self._try_to_deliver(batch):
                increment("notifications_retried")
                self._drop_connection()
                time.sleep(retry_s)
                retry_s = min(2 * retry_s, RETRY_MAX_S)

    def _next_batch(self) -> list[OutcomeNotification]:
        batch = [self._waiting.get()]
        try:
            while len(batch) < MAX_PER_REQUEST:
                batch.append(self._waiting.get_nowait())
        except queue.Empty:
            pass
        return batch

    def _try_to_deliver(self, batch: list[OutcomeNotification]) -> bool:
        """Deliver a batch; what was acknowledged before a failure is taken out of it."""
        try:
            self._deliver(batch)
        except (
            OSError,
            IncompleteMessageError,
            MalformedMessageError,
            AddressChangedError,
            NotificationsRejectedError,
        ) as error:
            log("notifications", "not acknowledged", error=error)
        except Exception as error:
            report_fault("notices", error)
        return not batch

    def _deliver(self, batch: list[OutcomeNotification]) -> None:
        status = self._request(batch)
        if status == HTTP_BAD_REQUEST and len(batch) > 1:
            # One that cannot be read must not hold up the others.
            for notification in list(batch):
                single = [notification]
                self._deliver(single)
                batch.remove(notification)
            return
        if status == HTTP_BAD_REQUEST:
            increment("notifications_dropped")
            log("notifications", "dropped", message=batch[0].id)
        elif status == HTTP_NO_CONTENT:
            increment("notifications_acknowledged", len(batch))
        else:
            raise NotificationsRejectedError(status)
        self._post(NotificationAcknowledged(tuple(notification.id for notification in batch)))
        batch.clear()

    def _request(self, batch: list[OutcomeNotification]) -> int:
        """Post a batch and return the status of the answer."""
        if self._connection is not None and not self._connection.is_quiet():
            self._drop_connection()
        if self._connection is None:
            self._connection = PlatformConnection(self._address)
        answer = self._connection.post(b"".join(_encode(notification) for notification in batch))
        if answer.close:
            self._drop_connection()
        return answer.status

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _encode(notification: OutcomeNotification) -> bytes:
    row: dict[str, Any] = {"id": notification.id, "status": "undeliverable"}
    if notification.retry_after_s is not None:
        row["status"] = "deferred"
        if notification.retry_after_s > 0:
            row["again_ms"] = round(notification.retry_after_s * 1000)
    return json.dumps(row, separators=(",", ":")).encode() + b"\n"
