"""The threads that serve clients: a limited number, which take the connections that have input in turn.

A connection gets a thread when a request begins to arrive, and gives it back when it rests. While all threads are
taken, connections wait in a queue for each priority, so that usual clients are not held up by a flood.
"""

from __future__ import annotations

import queue
import threading
from collections import deque
from collections.abc import Callable
from enum import IntEnum

from juniperward.forwarder.client_connection import ClientConnection
from juniperward.forwarder.telemetry import record_peak, report_fault

# While less than this fraction of the threads is taken, a connection may keep its thread between requests.
SPARE_FRACTION = 0.25
# At most so many threads serve connections of Priority.BULKY: their messages would else delay those of others.
MAX_BULKY_THREADS = 8
# One of so many turns goes to the lowest priority that waits, and there to the oldest, so that none waits forever.
TURNS_FOR_LOWEST = 4


class Priority(IntEnum):
    """The order in which waiting connections get threads.

    Attributes:
        SERVED: Connections whose last request was a usual one.
        NEW: Connections without a request yet.
        BULKY: Connections whose last request was large, or came together with further ones.

    """

    SERVED = 0
    NEW = 1
    BULKY = 2


def _priority(client: ClientConnection) -> Priority:
    if client.is_bulky:
        return Priority.BULKY
    return Priority.SERVED if client.served else Priority.NEW


class ClientThreads:
    """Serves connections on at most `max_threads` threads; safe to call from any thread."""

    def __init__(self, max_threads: int, serve: Callable[[ClientConnection], None]) -> None:
        """Call `serve` on a thread for each submitted connection."""
        self.max_threads = max_threads
        self._serve = serve
        self._lock = threading.Lock()
        self._queues: tuple[deque[ClientConnection], ...] = tuple(deque() for _ in Priority)
        self._waiting = 0
        self._bulky_running = 0
        # Wake-ups that found only connections that wait for another one of Priority.BULKY.
        self._deferred = 0
        self._turns = 0
        # One entry for each waiting connection, and one for each thread that is to end.
        self._wake_ups: queue.SimpleQueue[None] = queue.SimpleQueue()
        self._threads = 0
        self._idle = 0

    @property
    def count(self) -> int:
        """The number of threads, with those that wait for a connection."""
        return self._threads

    @property
    def is_short(self) -> bool:
        """Whether a connection waits for a thread."""
        return self._waiting > 0

    @property
    def has_spare(self) -> bool:
        """Whether few threads are taken, and no connection waits."""
        return not self._waiting and self._threads - self._idle < SPARE_FRACTION * self.max_threads

    def submit(self, client: ClientConnection) -> None:
        """Have a connection served by the next thread that is free."""
        with self._lock:
            self._queues[_priority(client)].append(client)
            self._waiting += 1
            starts_thread = self._waiting > self._idle and self._threads < self.max_threads
            self._threads += starts_thread
        self._wake_ups.put(None)
        if starts_thread:
            self._start_thread()

    def stop(self) -> None:
        """End the threads that have no connection to serve."""
        with self._lock:
            threads = self._threads
        for _ in range(threads):
            self._wake_ups.put(None)

    def _start_thread(self) -> None:
        record_peak("client_threads", self._threads)
        try:
            threading.Thread(target=self._work, name="client_worker", daemon=True).start()
        except RuntimeError as error:
            # The connection waits for another thread, or for the next connection that starts one.
            report_fault("client_threads", error)
            with self._lock:
                self._threads -= 1

    def _work(self) -> None:
        while (client := self._next()) is not None:
            is_bulky = client.is_bulky
            try:
                self._serve(client)
            except Exception as error:
                report_fault("client", error)
            if is_bulky:
                self._end_bulky()
        with self._lock:
            self._threads -= 1

    def _next(self) -> ClientConnection | None:
        """Wait for a connection and return it, None if the thread is to end."""
        with self._lock:
            self._idle += 1
        while True:
            self._wake_ups.get()
            with self._lock:
                client = self._take()
                if client is None and self._waiting:
                    self._deferred += 1
                    continue
                self._idle -= 1
                if client is not None:
                    self._waiting -= 1
                    self._bulky_running += client.is_bulky
                return client

    def _end_bulky(self) -> None:
        with self._lock:
            self._bulky_running -= 1
            if self._deferred:
                self._deferred -= 1
                self._wake_ups.put(None)

    def _take(self) -> ClientConnection | None:
        """Return the connection whose turn it is.

        The newest of a priority goes first, as its client still waits; the oldest of the lowest has its turns too.
        """
        self._turns += 1
        is_limited = self._bulky_running >= MAX_BULKY_THREADS
        queues = self._queues[: Priority.BULKY] if is_limited else self._queues
        if self._turns % TURNS_FOR_LOWEST == 0:
            return next((waiting.popleft() for waiting in reversed(queues) if waiting), None)
        return next((waiting.pop() for waiting in queues if waiting), None)
