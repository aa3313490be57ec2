"""A stand-in of the registry and of the platform's sink of notices, a listener for each forwarder."""

from __future__ import annotations

import json
import threading
from dataclasses import dataclass

from juniperward.fakes.records import Noticed, Recorder, WatchEventSent, now
from juniperward.fakes.serving import Link, Serving
from juniperward.net.http import HttpRequest, encode_response

BEAT = 2.0  # seconds between empty lines on a quiet watch


@dataclass(frozen=True, slots=True)
class Entry:
    """A worker as the list has it."""

    id: str
    address: str
    destination: int
    kind: str
    rating: float
    state: str = "Ready"


class Registry:
    """The list, its watches and the notices; `late` is the time from a change until it is told."""

    def __init__(self, recorder: Recorder, late: float = 0.0) -> None:
        """Tell changes `late` seconds after they are made."""
        self.recorder, self.late = recorder, late
        self.changed = threading.Condition()
        self.version = 1
        self.entries: dict[str, tuple[int, float, Entry]] = {}  # version and time of the latest change
        self.doors: dict[str, Serving] = {}
        self.down = False

    def door(self, forwarder: str) -> str:
        """The address that this forwarder is to use."""
        if forwarder not in self.doors:
            serving = Serving(lambda link, request, _: self._handle(forwarder, link, request))
            serving.start()
            self.doors[forwarder] = serving
        return self.doors[forwarder].address

    def put(self, *entries: Entry) -> None:
        """Add or change workers, all in one version."""
        with self.changed:
            self.version += 1
            for e in entries:
                self.entries[e.id] = (self.version, now(), e)
            self.changed.notify_all()

    def outage(self, down: bool) -> None:
        """Refuse and end everything, or serve again."""
        self.down = down
        for serving in self.doors.values():
            serving.stop() if down else serving.start()

    def close(self) -> None:
        """Let go of all listeners and watches."""
        self.down = True
        for serving in self.doors.values():
            serving.stop()
        with self.changed:
            self.changed.notify_all()

    def _handle(self, forwarder: str, link: Link, request: HttpRequest) -> bool:
        """Serve one request of a forwarder: notices by POST /status, the watch by GET /registry/instances."""
        if request.method == "POST" and request.path == "/status":
            return self._notices(forwarder, link, request.body)
        if request.method == "GET" and request.path == "/registry/instances":
            self._watch(forwarder, link)
            return False
        return link.write(encode_response(404, {}, b"", False))

    def _notices(self, forwarder: str, link: Link, body: bytes) -> bool:
        """Record the notices of a body, one JSON object a line; answer 400 to a body that does not parse."""
        at = now()
        try:
            rows = [json.loads(line) for line in body.splitlines() if line.strip()]
            records = [Noticed(at, str(r["id"]), str(r["status"]), forwarder) for r in rows]
        except (ValueError, KeyError, TypeError):
            return link.write(encode_response(400, {}, b"", False))
        for record in records:
            self.recorder.add(record)
        return link.write(b"HTTP/1.1 204 No Content\r\n\r\n")

    def _watch(self, forwarder: str, link: Link) -> None:
        """The whole list first, then changes, each as late as set."""
        if not link.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"):
            return
        sent_version, full = 0, True
        while not self.down:
            with self.changed:
                due = self._due(sent_version)
                if not due and not full:
                    waiting = [
                        at + self.late - now() for v, at, _ in self.entries.values() if v > sent_version
                    ]
                    self.changed.wait(min([BEAT, *(max(w, 0.001) for w in waiting)]))
                    due = self._due(sent_version)
            if not due and not full:
                if not link.write(b"1\r\n\n\r\n"):
                    return
                continue
            sent_version = max([sent_version, *(v for v, _ in due)])
            rows = [
                {"id": e.id, "addr": e.address, "zone": "aluva", "kind": e.kind, "cell": e.destination,
                 "state": e.state, "weight": e.rating, "started_ms": 0}
                for _, e in due if not (full and e.state == "Gone")
            ]  # fmt: skip
            line = (
                json.dumps({"version": max(sent_version, 1), "full": full, "servers": rows}).encode() + b"\n"
            )
            if not link.write(b"%x\r\n%s\r\n" % (len(line), line)):
                return
            at, full = now(), False
            for _, e in due:
                self.recorder.add(WatchEventSent(at, forwarder, e.id, e.state))

    def _due(self, sent_version: int) -> list[tuple[int, Entry]]:
        """Return the changes after `sent_version` that are old enough to be sent, with their versions."""
        ready = now() - self.late
        return [(v, e) for v, at, e in self.entries.values() if v > sent_version and at <= ready]
