"""The loop's client of discovery: the watch on the endpoint list, and notifications to the platform.

Both use the same address. Endpoint list updates, the end of a watch and acknowledgements are posted as events.
"""

from __future__ import annotations

from collections.abc import Callable

from juniperward.forwarder.discovery_address import DiscoveryAddress
from juniperward.forwarder.discovery_watch import DiscoveryWatch
from juniperward.forwarder.events import Event
from juniperward.forwarder.model import OutcomeNotification
from juniperward.forwarder.notification_sender import NotificationSender
from juniperward.forwarder.settings_names import SettingsNames


class DiscoveryClient:
    """Owns the discovery watch and the notification sender, each with its own thread."""

    def __init__(self, address: tuple[str, int], names: SettingsNames, post: Callable[[Event], None]) -> None:
        """Create the client for an address.

        Args:
            address: The host and port of discovery and the platform.
            names: The names of the settings, for reading endpoint lists.
            post: Submits an event to the reducer.

        """
        self.address = DiscoveryAddress(address)
        self.watcher = DiscoveryWatch(self.address, names, post)
        self.notifications = NotificationSender(self.address, post)

    def start(self) -> None:
        """Start both threads; they open connections only on request."""
        self.watcher.start_thread()
        self.notifications.start_thread()

    def watch(self, version: int, epoch: int) -> None:
        """Start a watch for changes after a version; `WatchLost` is posted when it ends."""
        self.watcher.request(version, epoch)

    def change_address(self, address: tuple[str, int], epoch: int) -> None:
        """Close connections to the previous address; unacknowledged notifications are sent to the new one."""
        self.address.change(address, epoch)

    def notify(self, notifications: tuple[OutcomeNotification, ...]) -> None:
        """Queue notifications; each is sent until the platform has acknowledged it."""
        self.notifications.send(notifications)
