"""A fake of the platform's discovery service, which also receives the forwarders' outcome notifications.

It serves watches of the endpoint list, and records each watch event and each notification. Each forwarder has its
own listener, which identifies the forwarder in the records.
"""

from __future__ import annotations

import json
import threading
from dataclasses import dataclass
from typing import Any

from juniperward.fakes.http_server import HttpServer, ServerConnection
from juniperward.fakes.records import NotificationReceived, Recorder, WatchEventSent, now
from juniperward.net.http_responses import encode_response
from juniperward.net.http_values import HttpRequest

HEARTBEAT_INTERVAL_S = 2.0
MIN_WAIT_S = 0.001
WATCH_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HEARTBEAT_CHUNK = b"1\r\n\n\r\n"


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An entry of the endpoint list.

    Attributes:
        rate: The listed rate of the endpoint's destination in calls per second; 0 means none.
        state: Ready, Terminating or Gone, as on the wire.
    """

    id: str
    address: str
    destination: int
    kind: str
    rate: float
    state: str = "Ready"

    def row(self) -> dict[str, Any]:
        """Return the entry in its wire format."""
        return {
            "id": self.id, "addr": self.address, "zone": "aluva", "kind": self.kind, "cell": self.destination,
            "state": self.state, "weight": self.rate, "started_ms": 0,
        }  # fmt: skip


@dataclass(frozen=True, slots=True)
class _Change:
    """The latest change of an endpoint, with its time and the version of the list that contains it."""

    version: int
    at: float
    endpoint: ListedEndpoint


class FakeDiscovery:
    """The endpoint list, its watches, and the receiver of notifications."""

    def __init__(self, recorder: Recorder, delay_s: float = 0.0) -> None:
        """Create an empty list; watches receive each change `delay_s` seconds after it is published."""
        self.recorder, self.delay_s = recorder, delay_s
        self.changed = threading.Condition()
        self.version = 1
        self.changes: dict[str, _Change] = {}  # The latest change of each endpoint, by its id.
        self.listeners: dict[str, HttpServer] = {}
        self.down = False

    def address_for(self, forwarder: str) -> str:
        """Start the listener of a forwarder if it has none, and return its address as host:port."""
        if forwarder not in self.listeners:
            server = HttpServer(lambda connection, request, _: self._handle(forwarder, connection, request))
            server.start()
            self.listeners[forwarder] = server
        return self.listeners[forwarder].address

    def publish(self, *endpoints: ListedEndpoint) -> None:
        """Add or change endpoints in a new version of the list."""
        with self.changed:
            self.version += 1
            for endpoint in endpoints:
                self.changes[endpoint.id] = _Change(self.version, now(), endpoint)
            self.changed.notify_all()

    def set_outage(self, down: bool) -> None:
        """Refuse connections and close the open ones, or serve again if `down` is False."""
        self.down = down
        for listener in self.listeners.values():
            if down:
                listener.stop()
            else:
                listener.start()

    def close(self) -> None:
        """Stop all listeners and watches."""
        self.set_outage(True)
        with self.changed:
            self.changed.notify_all()

    def _handle(self, forwarder: str, connection: ServerConnection, request: HttpRequest) -> bool:
        """Serve one request; return False to close the connection."""
        if request.method == "POST" and request.path == "/status":
            return self._receive_notifications(forwarder, connection, request.body)
        if request.method == "GET" and request.path == "/registry/instances":
            self._watch(forwarder, connection)
            return False
        return connection.write(encode_response(404, {}, b"", False))

    def _receive_notifications(self, forwarder: str, connection: ServerConnection, body: bytes) -> bool:
        """Record the notifications in a body, one JSON object per line; answer 400 if it is malformed."""
        at = now()
        try:
            rows = [json.loads(line) for line in body.splitlines() if line.strip()]
            records = [
                NotificationReceived(at, str(row["id"]), str(row["status"]), forwarder) for row in rows
            ]
        except (ValueError, KeyError, TypeError):
            return connection.write(encode_response(400, {}, b"", False))
        for record in records:
            self.recorder.add(record)
        return connection.write(b"HTTP/1.1 204 No Content\r\n\r\n")

    def _watch(self, forwarder: str, connection: ServerConnection) -> None:
        """Send the full list, then each change after the delay; return once the watch has ended."""
        if not connection.write(WATCH_RESPONSE_HEAD):
            return
        sent_version = 0
        full = True
        while not self.down:
            changes = self._next_changes(sent_version, wait=not full)
            if not changes and not full:
                if not connection.write(HEARTBEAT_CHUNK):
                    return
                continue
            sent_version = max([sent_version, *(change.version for change in changes)])
            if not self._send(connection, changes, max(sent_version, 1), full):
                return
            sent_at = now()
            full = False
            for change in changes:
                endpoint = change.endpoint
                self.recorder.add(WatchEventSent(sent_at, forwarder, endpoint.id, endpoint.state))

    def _send(self, connection: ServerConnection, changes: list[_Change], version: int, full: bool) -> bool:
        """Write one line of the watch and return whether that succeeded; a full list omits Gone endpoints."""
        endpoints = [change.endpoint for change in changes]
        rows = [endpoint.row() for endpoint in endpoints if not (full and endpoint.state == "Gone")]
        line = json.dumps({"version": version, "full": full, "servers": rows}).encode() + b"\n"
        return connection.write(b"%x\r\n%s\r\n" % (len(line), line))

    def _next_changes(self, sent_version: int, wait: bool) -> list[_Change]:
        """Return the changes after `sent_version` whose delay is over; `wait` waits up to a heartbeat for one."""
        with self.changed:
            changes = self._sendable(sent_version)
            if changes or not wait:
                return changes
            waits_s = [
                max(change.at + self.delay_s - now(), MIN_WAIT_S)
                for change in self.changes.values()
                if change.version > sent_version
            ]
            self.changed.wait(min([HEARTBEAT_INTERVAL_S, *waits_s]))
            return self._sendable(sent_version)

    def _sendable(self, sent_version: int) -> list[_Change]:
        """Return the changes after `sent_version` whose delay is over."""
        made_until = now() - self.delay_s
        return [
            change
            for change in self.changes.values()
            if change.version > sent_version and change.at <= made_until
        ]
