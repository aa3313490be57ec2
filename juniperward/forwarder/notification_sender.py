"""Sends notifications to the platform until they are acknowledged, on a thread and a connection of its own.

`discovery_client.py` submits notifications; `NotificationAcknowledged` is posted for what the platform accepted.
"""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable

from juniperward.forwarder.discovery_address import AddressChangedError, DiscoveryAddress
from juniperward.forwarder.events import Event, NotificationAcknowledged
from juniperward.forwarder.model import OutcomeNotification
from juniperward.forwarder.notification_codec import encode_notifications
from juniperward.forwarder.platform_connection import PlatformConnection
from juniperward.forwarder.telemetry import increment, log, report_fault
from juniperward.net.http_errors import IncompleteMessageError, MalformedMessageError
from juniperward.net.http_status import HttpStatus

FIRST_BACKOFF_S = 0.05  # before notifications are sent again, doubling
MAX_BACKOFF_S = 0.4
MAX_PER_REQUEST = 200


class NotificationsRejectedError(Exception):
    """The platform did not accept notifications, and may later; `status` is that of its answer."""

    def __init__(self, status: int) -> None:
        """Name the status."""
        super().__init__(f"answered {status}")
        self.status = status


class NotificationSender:
    """A queue of notifications and the thread that sends them."""

    def __init__(self, address: DiscoveryAddress, post: Callable[[Event], None]) -> None:
        """Send to an address; no connection is opened before the first notification."""
        self._address, self._post = address, post
        self._queued: queue.SimpleQueue[OutcomeNotification] = queue.SimpleQueue()
        self._connection: PlatformConnection | None = None

    def start_thread(self) -> None:
        """Start the thread that sends."""
        threading.Thread(target=self._work, name="notifications", daemon=True).start()

    def send(self, notifications: tuple[OutcomeNotification, ...]) -> None:
        """Have the thread send notifications until they are acknowledged."""
        for notification in notifications:
            self._queued.put(notification)

    def _work(self) -> None:
        while True:
            batch = self._next_batch()
            backoff_s = FIRST_BACKOFF_S
            while not self._attempt(batch):
                increment("notifications_retried")
                self._drop_connection()
                time.sleep(backoff_s)
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def _next_batch(self) -> list[OutcomeNotification]:
        """Wait for a notification; return it with those queued behind it."""
        batch = [self._queued.get()]
        try:
            while len(batch) < MAX_PER_REQUEST:
                batch.append(self._queued.get_nowait())
        except queue.Empty:
            pass
        return batch

    def _attempt(self, batch: list[OutcomeNotification]) -> bool:
        """Deliver a batch and return whether all of it was; what was delivered is removed from it."""
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
            report_fault("notifications", error)
        return not batch

    def _deliver(self, batch: list[OutcomeNotification]) -> None:
        status = self._request(batch)
        if status == HttpStatus.BAD_REQUEST and len(batch) > 1:
            self._deliver_one_by_one(batch)
            return
        if status == HttpStatus.BAD_REQUEST:
            increment("notifications_dropped")
            log("notifications", "dropped", message=batch[0].id)
        elif status == HttpStatus.NO_CONTENT:
            increment("notifications_acknowledged", len(batch))
        else:
            raise NotificationsRejectedError(status)
        self._post(NotificationAcknowledged(tuple(notification.id for notification in batch)))
        batch.clear()

    def _deliver_one_by_one(self, batch: list[OutcomeNotification]) -> None:
        """Deliver a batch with a notification that the platform cannot read: it must not block the others."""
        for notification in list(batch):
            self._deliver([notification])
            batch.remove(notification)

    def _request(self, batch: list[OutcomeNotification]) -> int:
        """Post a batch and return the status of the answer."""
        if self._connection is not None and not self._connection.is_reusable():
            self._drop_connection()
        if self._connection is None:
            self._connection = PlatformConnection(self._address)
        answer = self._connection.post(encode_notifications(batch))
        if answer.close:
            self._drop_connection()
        return answer.status

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
