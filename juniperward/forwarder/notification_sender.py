"""Sends notifications to the platform until they are acknowledged, on a separate thread and connection.

`NotificationAcknowledged` is posted for notifications that the platform accepted, and for those that it cannot read.
"""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from juniperward.forwarder.discovery_address import AddressChangedError, DiscoveryAddress
from juniperward.forwarder.events import Event, NotificationAcknowledged
from juniperward.forwarder.model import OutcomeNotification
from juniperward.forwarder.notification_codec import encode_notifications
from juniperward.forwarder.platform_connection import PlatformConnection
from juniperward.forwarder.telemetry import increment, log, report_fault
from juniperward.net.http_errors import IncompleteMessageError, MalformedMessageError
from juniperward.net.http_status import HttpStatus

FIRST_BACKOFF_S = 0.05  # The backoff doubles with each failed attempt.
MAX_BACKOFF_S = 0.4
MAX_NOTIFICATIONS_PER_REQUEST = 200
# A notification that waits longer for the sender's thread is counted.
MAX_QUEUED_S = 0.1


@dataclass(frozen=True, slots=True)
class QueuedNotification:
    """A notification that waits for the sender's thread, and since when (monotonic seconds)."""

    notification: OutcomeNotification
    queued_at: float


class NotificationsRejectedError(Exception):
    """The platform rejected notifications with an HTTP status that allows a retry."""

    def __init__(self, status: int) -> None:
        """Create the error for a response's status."""
        super().__init__(f"platform answered with status {status}")
        self.status = status


class NotificationSender:
    """Sends queued notifications in batches on its own thread, retrying until each is acknowledged."""

    def __init__(self, address: DiscoveryAddress, post: Callable[[Event], None]) -> None:
        """Send to the platform at an address; each request has a connection of its own."""
        self._address, self._post = address, post
        self._queued: queue.SimpleQueue[QueuedNotification] = queue.SimpleQueue()

    def start_thread(self) -> None:
        """Start the thread that sends queued notifications."""
        threading.Thread(target=self._work, name="notifications", daemon=True).start()

    def send(self, notifications: tuple[OutcomeNotification, ...]) -> None:
        """Queue notifications for delivery."""
        queued_at = time.monotonic()
        for notification in notifications:
            self._queued.put(QueuedNotification(notification, queued_at))

    def _work(self) -> None:
        while True:
            batch = self._next_batch()
            backoff_s = FIRST_BACKOFF_S
            while not self._try_deliver(batch):
                increment("notifications_retried")
                time.sleep(backoff_s)
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def _next_batch(self) -> list[OutcomeNotification]:
        """Wait for a notification, and return it with others that are queued."""
        batch = [self._queued.get()]
        try:
            while len(batch) < MAX_NOTIFICATIONS_PER_REQUEST:
                batch.append(self._queued.get_nowait())
        except queue.Empty:
            pass
        now = time.monotonic()
        late = sum(now - queued.queued_at > MAX_QUEUED_S for queued in batch)
        if late:
            increment("notifications_late", late)
        return [queued.notification for queued in batch]

    def _try_deliver(self, batch: list[OutcomeNotification]) -> bool:
        """Send a batch and remove what was delivered from it; return whether nothing is left."""
        try:
            self._deliver(batch)
        except (
            OSError,
            IncompleteMessageError,
            MalformedMessageError,
            AddressChangedError,
            NotificationsRejectedError,
        ) as error:
            log("notifications", "not acknowledged; sending again", error=error)
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
            log("notifications", "rejected with status 400; dropped", message=batch[0].id)
        elif status == HttpStatus.NO_CONTENT:
            increment("notifications_acknowledged", len(batch))
        else:
            raise NotificationsRejectedError(status)
        self._post(NotificationAcknowledged(tuple(notification.id for notification in batch)))
        batch.clear()

    def _deliver_one_by_one(self, batch: list[OutcomeNotification]) -> None:
        """Deliver notifications separately, so that one that the platform cannot read does not block the others."""
        for notification in list(batch):
            self._deliver([notification])
            batch.remove(notification)

    def _request(self, batch: list[OutcomeNotification]) -> int:
        """Post a batch and return the response's status."""
        connection = PlatformConnection(self._address)
        try:
            return connection.post(encode_notifications(batch)).status
        finally:
            connection.close()
