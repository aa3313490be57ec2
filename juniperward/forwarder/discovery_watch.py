"""The watch on discovery's list of endpoints: one at a time, on a thread of its own."""

from __future__ import annotations

import math
import queue
import threading
import time
from collections.abc import Callable, Iterator

from juniperward.forwarder.discovery_address import AddressChangedError, DiscoveryAddress
from juniperward.forwarder.discovery_stream import JsonObjects
from juniperward.forwarder.endpoint_list_codec import read_endpoint_list_update
from juniperward.forwarder.events import EndpointsUpdated, Event, WatchLost
from juniperward.forwarder.settings_names import SettingsNames
from juniperward.forwarder.telemetry import increment, log, report_fault
from juniperward.net import sockets
from juniperward.net.http_errors import IncompleteMessageError, MalformedMessageError
from juniperward.net.http_requests import encode_request
from juniperward.net.http_responses import read_chunks, read_head
from juniperward.net.stream import Stream

# After which a watch is dead on which nothing has come, or nothing whole: a line comes every 2 s. A call has as long
# for its dial and the head of its answer together: docs/design/discovery-deadline.md adds up the worst cases.
SILENCE_TIMEOUT_S = 3.0
DIAL_TIMEOUT_S = 1.0
HTTP_OK = 200


class WatchError(Exception):
    """The watch cannot be begun, or came to its end."""


class WatchRejectedError(WatchError):
    """Discovery answered with something else than a stream."""

    def __init__(self, status: int) -> None:
        """Name the status."""
        super().__init__(f"it was answered {status}")


class WatchEndedError(WatchError):
    """Discovery ended the stream."""

    def __init__(self) -> None:
        """Describe it."""
        super().__init__("it came to its end")


class DiscoveryWatch:
    """Posts updates of the list, and `WatchLost` at each end of a watch."""

    def __init__(
        self, address: DiscoveryAddress, names: SettingsNames, post: Callable[[Event], None]
    ) -> None:
        """Watch an address once asked to; `names` are those of the settings."""
        self._address, self._names, self._post = address, names, post
        self._wanted: queue.SimpleQueue[tuple[int, int]] = queue.SimpleQueue()
        self._answered_at = math.inf

    def start_thread(self) -> None:
        """Begin to work off what is asked for."""
        threading.Thread(target=self._work, name="registry", daemon=True).start()

    def begin(self, version: int, epoch: int) -> None:
        """Watch for what changed after a version."""
        self._wanted.put((version, epoch))

    def _work(self) -> None:
        while True:
            version, epoch = self._wanted.get()
            self._answered_at = math.inf
            try:
                self.run(version, epoch)
            except (
                OSError,
                IncompleteMessageError,
                MalformedMessageError,
                WatchError,
                AddressChangedError,
            ) as error:
                log("discovery", "watch ended", error=error)
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                increment("endpoint_lists_unread")
                log("discovery", "list unreadable", type=type(error).__name__, error=error)
            except Exception as error:
                report_fault("registry", error)
            established = time.monotonic() - self._answered_at >= SILENCE_TIMEOUT_S
            self._post(WatchLost(epoch, established))

    def run(self, version: int, epoch: int) -> None:
        """Watch until the stream ends; always raises."""
        sock, address = self._address.open_socket("watch", epoch)
        with sock:
            timed = sockets.DeadlineReader(
                sock, SILENCE_TIMEOUT_S
            )  # from here, so that the dial's time counts too
            sockets.connect(*address, DIAL_TIMEOUT_S, sock)
            if epoch != self._address.epoch:
                raise AddressChangedError
            target = f"/registry/instances?follow=1&since={version}"
            sock.sendall(encode_request("GET", target, f"{address[0]}:{address[1]}", {}, None))
            for update in self._updates(timed, epoch):
                self._post(update)
        raise WatchEndedError

    def _updates(self, timed: sockets.DeadlineReader, epoch: int) -> Iterator[EndpointsUpdated]:
        stream = Stream(timed.receive)
        status, headers, _ = read_head(stream)
        if status != HTTP_OK or "chunked" not in headers.get("transfer-encoding", "").lower():
            raise WatchRejectedError(status)
        increment("watches_begun")
        self._answered_at = time.monotonic()
        timed.restart()  # after `_answered_at`: a watch that falls silent right behind its head was established
        objects = JsonObjects()
        for chunk in read_chunks(stream):
            between, found = not objects.begun, objects.feed(chunk)
            if between or found:
                timed.restart()
            for value in found:
                update = read_endpoint_list_update(value, self._names)
                yield EndpointsUpdated(update.version, update.full, update.endpoints, epoch=epoch)
