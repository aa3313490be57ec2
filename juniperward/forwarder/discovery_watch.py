"""Watches discovery's endpoint list over one HTTP stream at a time, on a separate thread.

Each update of the stream is posted as `EndpointsUpdated`, and its end as `WatchLost`. The reducer then requests the
next watch.
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

# A watch ends if no object is completed and no byte arrives between objects for this time; discovery sends a line
# every 2 s. The same limit applies to the dial and the response head together. The worst cases are added up in
# docs/design/discovery-deadline.md.
STREAM_TIMEOUT_S = 3.0
DIAL_TIMEOUT_S = 1.0


class WatchError(Exception):
    """A watch could not be started, or its stream ended."""


class WatchRejectedError(WatchError):
    """Discovery's response was not a chunked stream; `status` is its HTTP status."""

    def __init__(self, status: int) -> None:
        """Create the error for a response's status."""
        super().__init__(f"discovery answered with status {status} instead of a stream")
        self.status = status


class WatchEndedError(WatchError):
    """Discovery ended the stream."""

    def __init__(self) -> None:
        """Create the error with its message."""
        super().__init__("discovery ended the stream")


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """A request to watch for changes after a version, valid for the address of one epoch."""

    version: int
    epoch: int


class DiscoveryWatch:
    """Runs the requested watches; posts endpoint list updates, and `WatchLost` at the end of each watch."""

    def __init__(
        self, address: DiscoveryAddress, names: SettingsNames, post: Callable[[Event], None]
    ) -> None:
        """Watch discovery at an address; `names` are those of the settings, for reading endpoint lists."""
        self._address, self._names, self._post = address, names, post
        self._requests: queue.SimpleQueue[WatchRequest] = queue.SimpleQueue()
        # The time at which the current watch received its response head; infinite before.
        self._streaming_since = math.inf

    def start_thread(self) -> None:
        """Start the thread that runs requested watches."""
        threading.Thread(target=self._work, name="discovery", daemon=True).start()

    def request(self, version: int, epoch: int) -> None:
        """Queue a watch for changes after a version."""
        self._requests.put(WatchRequest(version, epoch))

    @property
    def is_answered(self) -> bool:
        """Whether discovery has answered the current watch."""
        return self._streaming_since < math.inf

    def _work(self) -> None:
        while True:
            request = self._requests.get()
            self._streaming_since = math.inf
            self._watch(request)
            established = time.monotonic() - self._streaming_since >= STREAM_TIMEOUT_S
            self._post(WatchLost(request.epoch, established))

    def _watch(self, request: WatchRequest) -> None:
        """Watch until the stream ends, and log the reason."""
        try:
            self.run(request)
        except (
            OSError,
            IncompleteMessageError,
            MalformedMessageError,
            WatchError,
            AddressChangedError,
        ) as error:
            log("discovery", "watch ended; reconnecting", error=error)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            increment("endpoint_lists_unreadable")
            log("discovery", "endpoint list unreadable; reconnecting", type=type(error).__name__, error=error)
        except Exception as error:
            report_fault("discovery", error)

    def run(self, request: WatchRequest) -> None:
        """Watch until the stream ends, and raise the reason; WatchEndedError means that discovery ended it."""
        sock, address = self._address.open_socket(ConnectionUse.WATCH, request.epoch)
        with sock:
            # The time limit starts before the dial, so it covers the dial and the response head.
            reader = sockets.DeadlineReader(sock, STREAM_TIMEOUT_S)
            sockets.connect(*address, DIAL_TIMEOUT_S, sock)
            if request.epoch != self._address.epoch:
                raise AddressChangedError
            target = f"/registry/instances?follow=1&since={request.version}"
            sock.sendall(encode_request("GET", target, format_address(address), {}, None))
            for update in self._updates(reader, request.epoch):
                self._post(update)
        raise WatchEndedError

    def _updates(self, reader: sockets.DeadlineReader, epoch: int) -> Iterator[EndpointsUpdated]:
        """Yield the updates of a stream; completed objects and bytes between objects restart the time limit."""
        stream = Stream(reader.receive)
        status, headers, _ = read_head(stream)
        if status != HttpStatus.OK or "chunked" not in headers.get("transfer-encoding", "").lower():
            raise WatchRejectedError(status)
        increment("watches_begun")
        self._streaming_since = time.monotonic()
        # Restarted after `_streaming_since` is set, so that a stream that times out counts as established.
        reader.restart()
        parser = JsonObjectParser()
        for chunk in read_chunks(stream):
            was_between_objects = not parser.has_partial_object
            complete = parser.feed(chunk)
            if was_between_objects or complete:
                reader.restart()
            for value in complete:
                update = read_endpoint_list_update(value, self._names)
                yield EndpointsUpdated(update.version, update.full, update.endpoints, epoch=epoch)
