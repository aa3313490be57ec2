"""The registry: one watch on its list, and the notifications that go to the platform at the same address."""

from __future__ import annotations

import json
import math
import queue
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from juniperward.forwarder.config import Names, read_news
from juniperward.forwarder.counters import count, log, trouble
from juniperward.forwarder.discovery_stream import JsonObjects
from juniperward.forwarder.events import EndpointsUpdated, Event, NotificationAcknowledged, WatchLost
from juniperward.forwarder.model import OutcomeNotification
from juniperward.net import sockets
from juniperward.net.http import Broken, Malformed, Stream, chunks, encode_call, read_head, read_response

# Seconds after which a watch is dead on which nothing has come, or nothing whole: a line comes every 2. A call has as
# long for its dial and the head of its answer together: docs/design/discovery-deadline.md adds up the worst cases.
SILENT = 3.0
DIAL = 1.0
# Seconds for a connection for notices, and for their answer, which comes straight away. Beyond that they go again by
# another connection: twice this fits between a message's last moment and 0.3 s after its time.
NOTICE_WAIT = 0.3
NOTICE_AGAIN = (0.05, 0.4)  # seconds before notifications are handed over again: first, most
NOTICES_AT_ONCE = 200

Link = tuple[sockets.Timed, Stream, str]


class Registry:
    """Owns the watch and the notifications' connection, a thread for each; `lock` guards where they go."""

    def __init__(self, address: tuple[str, int], names: Names, post: Callable[[Event], None]) -> None:
        self.address, self.names, self.post = address, names, post
        self.epoch = 0  # how often the address has changed
        self.begun = math.inf  # when the watch was answered
        self.lock = threading.Lock()
        self.open: dict[str, socket.socket] = {}  # of the watch, of the notifications
        self.wanted: queue.SimpleQueue[tuple[int, int]] = queue.SimpleQueue()
        self.notifications: queue.SimpleQueue[OutcomeNotification] = queue.SimpleQueue()

    def start(self) -> None:
        """Begin to work off what is asked for."""
        threading.Thread(target=self._watches, name="registry", daemon=True).start()
        threading.Thread(target=self._notify, name="notices", daemon=True).start()

    def watch(self, version: int, epoch: int) -> None:
        """Watch for what changed after a version; WatchLost reports its end."""
        self.wanted.put((version, epoch))

    def move(self, address: tuple[str, int], epoch: int) -> None:
        """End what is open to the old address, also where it is still being opened; notices go again."""
        with self.lock:
            self.address, self.epoch = address, epoch
            for sock in self.open.values():
                sockets.shut(sock)

    def notify(self, notifications: tuple[OutcomeNotification, ...]) -> None:
        """Hand notifications over until they are accepted."""
        for notification in notifications:
            self.notifications.put(notification)

    def _socket(self, use: str, epoch: int | None = None) -> tuple[socket.socket, tuple[str, int]]:
        """A fresh socket that `move` knows of, and the address it is for."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        with self.lock:
            if epoch is None or epoch == self.epoch:
                self.open[use] = sock
                return sock, self.address
        sock.close()
        raise Broken("the registry has moved")

    # --- the watch --------------------------------------------------------------------------------------

    def _watches(self) -> None:
        while True:
            version, epoch = self.wanted.get()
            self.begun = math.inf
            try:
                self._watch(version, epoch)
            except (OSError, Broken, Malformed) as error:
                log("registry", f"the watch ended: {error}")
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                count("registry_unread")
                log("registry", f"news that cannot be read: {type(error).__name__}: {error}")
            except Exception as error:
                trouble("registry", error)
            self.post(WatchLost(epoch, time.monotonic() - self.begun >= SILENT))

    def _watch(self, version: int, epoch: int) -> None:
        sock, address = self._socket("watch", epoch)
        with sock:
            alive = sockets.Timed(sock, SILENT)  # from here, so that the dial's time counts too
            sockets.connect(*address, DIAL, sock)
            if epoch != self.epoch:
                raise Broken("the registry has moved")
            target = f"/registry/instances?follow=1&since={version}"
            sock.sendall(encode_call("GET", target, f"{address[0]}:{address[1]}", {}, None))
            stream = Stream(alive.receive)
            status, headers, _ = read_head(stream)
            if status != 200 or "chunked" not in headers.get("transfer-encoding", "").lower():
                raise Broken(f"it was answered {status}")
            count("watches_begun")
            self.begun = time.monotonic()
            alive.begin()  # after `begun`: a watch that falls silent right behind its head has lived
            objects = JsonObjects()
            for chunk in chunks(stream):
                between, found = not objects.begun, objects.feed(chunk)
                if between or found:
                    alive.begin()
                for value in found:
                    news = read_news(value, self.names)
                    self.post(EndpointsUpdated(news.version, news.full, news.workers, epoch=epoch))
            raise Broken("it came to its end")

    # --- notices -----------------------------------------------------------------------------------------

    def _notify(self) -> None:
        connection: Link | None = None
        while True:
            batch = [self.notifications.get()]
            try:
                while len(batch) < NOTICES_AT_ONCE:
                    batch.append(self.notifications.get_nowait())
            except queue.Empty:
                pass
            again = NOTICE_AGAIN[0]
            while batch:
                try:
                    connection, batch = self._hand_over(connection, batch)
                    continue
                except (OSError, Broken, Malformed) as error:
                    log("notices", f"not accepted, they go again: {error}")
                except Exception as error:
                    trouble("notices", error)
                count("notices_again")
                if connection is not None:
                    connection[0].sock.close()
                    connection = None
                time.sleep(again)
                again = min(2 * again, NOTICE_AGAIN[1])

    def _hand_over(
        self, connection: Link | None, batch: list[OutcomeNotification]
    ) -> tuple[Link | None, list[OutcomeNotification]]:
        """Post notifications; the connection to go on with, and the notifications that are left."""
        if connection is None or not sockets.quiet(connection[0].sock):
            if connection is not None:
                connection[0].sock.close()
            sock, address = self._socket("notices")
            timed = sockets.Timed(sock, NOTICE_WAIT)
            connection = (timed, Stream(timed.receive), f"{address[0]}:{address[1]}")
            try:
                sockets.connect(*address, NOTICE_WAIT, sock)
                if address != self.address:
                    raise Broken("the registry has moved")
            except (OSError, Broken):
                sock.close()
                raise
        timed, stream, host = connection
        sock = timed.sock
        try:
            timed.begin()
            body = b"".join(_line(n) for n in batch)
            sock.sendall(encode_call("POST", "/status", host, {}, body))
            answer = read_response(stream)
        except (OSError, Broken, Malformed):
            sock.close()
            raise
        kept: Link | None = connection
        if answer.close:
            sock.close()
            kept = None
        if answer.status == 204:
            count("notices_accepted", len(batch))
            self.post(NotificationAcknowledged(tuple(n.id for n in batch)))
            return kept, []
        if answer.status == 400 and len(batch) > 1:
            # One that cannot be read must not hold up the others.
            left: list[OutcomeNotification] = []
            for notification in batch:
                kept, more = self._hand_over(kept, [notification])
                left += more
            return kept, left
        if answer.status == 400:
            count("notices_dropped")
            log("notices", f"the platform cannot read the notice of {batch[0].id}; it is dropped")
            self.post(NotificationAcknowledged((batch[0].id,)))
            return kept, []
        raise Broken(f"answered {answer.status}")


def _line(notification: OutcomeNotification) -> bytes:
    row: dict[str, Any] = {"id": notification.id, "status": "undeliverable"}
    if notification.retry_after_s is not None:
        row["status"] = "deferred"
        if notification.retry_after_s > 0:
            row["again_ms"] = round(notification.retry_after_s * 1000)
    return json.dumps(row, separators=(",", ":")).encode() + b"\n"
