"""Discovery as the loop sees it: the watch on the endpoint list, and notifications, which go to the same address.

Called by `effect_executor.py`; updates, the end of a watch and acknowledgements come back as events by `post`.
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
    """Owns the watch and the sender of notifications, a thread each."""

    def __init__(self, address: tuple[str, int], names: SettingsNames, post: Callable[[Event], None]) -> None:
        """Begin at an address; no connection is opened before `start`."""
        self.address = DiscoveryAddress(address)
        self.watcher = DiscoveryWatch(self.address, names, post)
        self.notifications = NotificationSender(self.address, post)

    def start(self) -> None:
        """Start the threads, which wait for work."""
        self.watcher.start_thread()
        self.notifications.start_thread()

    def watch(self, version: int, epoch: int) -> None:
        """Watch for changes after a version; `WatchLost` reports the end."""
        self.watcher.request(version, epoch)

    def change_address(self, address: tuple[str, int], epoch: int) -> None:
        """End what is open to the former address; notifications without acknowledgement go to the new one."""
        self.address.change(address, epoch)

    def notify(self, notifications: tuple[OutcomeNotification, ...]) -> None:
        """Send notifications until they are acknowledged."""
        self.notifications.send(notifications)
