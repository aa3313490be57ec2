"""The watch on discovery's endpoint list: one stream at a time, on a thread of its own.

`discovery_client.py` requests a watch from a version on; each update of the stream is posted as `EndpointsUpdated`,
the stream's end as `WatchLost`.
"""

from __future__ import annotations

import math
import queue
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from juniperward.forwarder.address import format_address
from juniperward.forwarder.discovery_address import AddressChangedError, ConnectionUse, DiscoveryAddress
from juniperward.forwarder.discovery_stream import JsonObjectParser
from juniperward.forwarder.endpoint_list_codec import read_endpoint_list_update
from juniperward.forwarder.events import EndpointsUpdated, Event, WatchLost
from juniperward.forwarder.settings_names import SettingsNames
from juniperward.forwarder.telemetry import increment, log, report_fault
from juniperward.net import sockets
from juniperward.net.http_errors import IncompleteMessageError, MalformedMessageError
from juniperward.net.http_requests import encode_request
from juniperward.net.http_responses import read_chunks, read_head
from juniperward.net.http_status import HttpStatus
from juniperward.net.stream import Stream

# After which a watch has ended that sent no bytes, or no complete object: discovery sends a line every 2 s. The dial
# and the head of the answer have as long together: docs/design/discovery-deadline.md adds up the worst cases.
STREAM_TIMEOUT_S = 3.0
DIAL_TIMEOUT_S = 1.0


class WatchError(Exception):
    """A watch cannot be started, or ended."""


class WatchRejectedError(WatchError):
    """Discovery answered with something else than a stream; `status` is that of the answer."""

    def __init__(self, status: int) -> None:
        """Name the status."""
        super().__init__(f"it was answered {status}")
        self.status = status


class WatchEndedError(WatchError):
    """Discovery ended the stream."""

    def __init__(self) -> None:
        """Describe it."""
        super().__init__("it came to its end")


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """A watch for changes after a version, on the address of an epoch."""

    version: int
    epoch: int


class DiscoveryWatch:
    """Posts updates of the endpoint list, and `WatchLost` at the end of each watch."""

    def __init__(
        self, address: DiscoveryAddress, names: SettingsNames, post: Callable[[Event], None]
    ) -> None:
        """Connect to an address at each request; `names` are those of the settings."""
        self._address, self._names, self._post = address, names, post
        self._requests: queue.SimpleQueue[WatchRequest] = queue.SimpleQueue()
        self._answered_at = math.inf  # of the present watch

    def start_thread(self) -> None:
        """Start the thread that serves requests."""
        threading.Thread(target=self._work, name="discovery", daemon=True).start()

    def request(self, version: int, epoch: int) -> None:
        """Have the thread watch for changes after a version."""
        self._requests.put(WatchRequest(version, epoch))

    def _work(self) -> None:
        while True:
            request = self._requests.get()
            self._answered_at = math.inf
            self._watch(request)
            established = time.monotonic() - self._answered_at >= STREAM_TIMEOUT_S
            self._post(WatchLost(request.epoch, established))

    def _watch(self, request: WatchRequest) -> None:
        """Watch until the stream ends, and log why it did."""
        try:
            self.run(request)
        except (
            OSError,
            IncompleteMessageError,
            MalformedMessageError,
            WatchError,
            AddressChangedError,
        ) as error:
            log("discovery", "watch ended", error=error)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            increment("endpoint_lists_unreadable")
            log("discovery", "list unreadable", type=type(error).__name__, error=error)
        except Exception as error:
            report_fault("discovery", error)

    def run(self, request: WatchRequest) -> None:
        """Watch until the stream ends; always raises, at its end WatchEndedError."""
        sock, address = self._address.open_socket(ConnectionUse.WATCH, request.epoch)
        with sock:
            reader = sockets.DeadlineReader(sock, STREAM_TIMEOUT_S)  # from here: the dial's time counts, too
            sockets.connect(*address, DIAL_TIMEOUT_S, sock)
            if request.epoch != self._address.epoch:
                raise AddressChangedError
            target = f"/registry/instances?follow=1&since={request.version}"
            sock.sendall(encode_request("GET", target, format_address(address), {}, None))
            for update in self._updates(reader, request.epoch):
                self._post(update)
        raise WatchEndedError

    def _updates(self, reader: sockets.DeadlineReader, epoch: int) -> Iterator[EndpointsUpdated]:
        """Yield the updates of a stream; the time limit begins anew with each object, or line between two."""
        stream = Stream(reader.receive)
        status, headers, _ = read_head(stream)
        if status != HttpStatus.OK or "chunked" not in headers.get("transfer-encoding", "").lower():
            raise WatchRejectedError(status)
        increment("watches_begun")
        self._answered_at = time.monotonic()
        reader.restart()  # after `_answered_at`: a stream without a byte behind its head was established
        objects = JsonObjectParser()
        for chunk in read_chunks(stream):
            was_between_objects = not objects.begun
            complete = objects.feed(chunk)
            if was_between_objects or complete:
                reader.restart()
            for value in complete:
                update = read_endpoint_list_update(value, self._names)
                yield EndpointsUpdated(update.version, update.full, update.endpoints, epoch=epoch)
