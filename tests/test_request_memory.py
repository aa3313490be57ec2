"""The memory of requests: what waits for a permit or for memory, and which clients are given up."""

from __future__ import annotations

import queue
import socket
import threading
import time
from collections.abc import Callable

import pytest

from juniperward.forwarder.client_connection import READ_BYTES, ClientConnection
from juniperward.forwarder.client_threads import MAX_BULKY_THREADS, ClientThreads
from juniperward.forwarder.config import BYTES_PER_MB
from juniperward.forwarder.descriptors import divide_descriptors
from juniperward.forwarder.events import Event, MessageReceived
from juniperward.forwarder.incomplete_requests import MIN_AGE_S, IncompleteRequests
from juniperward.forwarder.memory_limits import (
    CALL_BYTES,
    CLIENT_CONNECTION_BYTES,
    CLIENT_THREAD_BYTES,
    FIXED_BYTES,
    LARGE_ANSWER_BYTES,
    MESSAGE_COPIES,
    divide_memory,
    limit_connections,
)
from juniperward.forwarder.model import MESSAGE_OVERHEAD_BYTES, Message, message_bytes
from juniperward.forwarder.request_budget import RequestBudget
from juniperward.forwarder.server import Server, ServerLimits
from juniperward.net.http_head import MAX_BODY_BYTES
from juniperward.net.http_responses import read_response
from juniperward.net.stream import Stream
from tests.player import WAIT_S
from tests.resources import Resources
from tests.test_client_faults import NAMES, request

PERMITS = 8
THREADS = 12
INCOMPLETE = request("m0").replace(b"Length: 5", b"Length: %d" % MAX_BODY_BYTES)
MISSING = bytes(MAX_BODY_BYTES - len(b"hello"))


def wait_until(condition: Callable[[], bool]) -> None:
    until = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < until
        time.sleep(0)


def open_connections(resources: Resources, count: int) -> list[ClientConnection]:
    """Return connections whose clients send nothing."""
    clients = []
    for number in range(count):
        ours, theirs = socket.socketpair()
        resources.callback(ours.close)
        resources.callback(theirs.close)
        clients.append(ClientConnection(number, ours))
    return clients


def test_the_shares_of_any_limit_fit_into_it() -> None:
    # Guards against shares that together exceed the memory limit, at the least memory that a deployment may have too.
    for memory_mb in range(32, 400):
        for disk_mb in (1, 3):
            memory_bytes, disk_bytes = memory_mb * BYTES_PER_MB, disk_mb * BYTES_PER_MB
            memory = divide_memory(memory_bytes, disk_bytes)
            used_bytes = (
                memory.clients * CLIENT_CONNECTION_BYTES
                + memory.client_threads * CLIENT_THREAD_BYTES
                + memory.calls * CALL_BYTES
                + memory.large_answers * LARGE_ANSWER_BYTES
                + memory.incomplete_requests * MAX_BODY_BYTES
                + memory.request_bytes
                + memory.message_bytes * MESSAGE_COPIES
                + memory.completed_id_bytes
            )
            assert used_bytes <= memory_bytes - FIXED_BYTES - disk_bytes, (
                f"{memory_mb} MB, {disk_mb} MB of disk"
            )
            assert memory.incomplete_requests < memory.client_threads


def test_connections_hold_the_shares_of_descriptors_and_of_memory() -> None:
    descriptors = divide_descriptors(1024, 1000)
    small = limit_connections(descriptors, divide_memory(32 * BYTES_PER_MB, 3 * BYTES_PER_MB))
    large = limit_connections(descriptors, divide_memory(192 * BYTES_PER_MB, 3 * BYTES_PER_MB))
    assert small.clients < descriptors.clients
    assert small.calls < descriptors.calls
    assert large == descriptors


class TestRequestMemory:
    """A server with few permits, whose reducer accepts every message."""

    @pytest.fixture(autouse=True)
    def set_up(self, resources: Resources) -> None:
        self.resources = resources
        limits = ServerLimits(client_threads=THREADS, incomplete_requests=PERMITS)
        self.server = Server(("127.0.0.1", 0), NAMES, 200, self.accept_message, limits)
        self.server.start()
        self.resources.callback(self.server.close)

    def accept_message(self, event: Event) -> None:
        assert isinstance(event, MessageReceived)
        self.server.answer(event.request, 202)

    def connect(self, data: bytes) -> socket.socket:
        sock = socket.create_connection(self.server.listener.getsockname(), WAIT_S)
        self.resources.callback(sock.close)
        sock.sendall(data)
        return sock

    def wait_until_waiting(self, requests: int) -> None:
        wait_until(lambda: self.server.incomplete.waiting == requests)

    def connect_slow_clients(self, count: int) -> list[socket.socket]:
        """Open connections with incomplete bodies, and wait until each has its permit."""
        socks = []
        for number in range(1, count + 1):
            socks.append(self.connect(INCOMPLETE))
            self.wait_until_waiting(number)
        return socks

    def status_of(self, sock: socket.socket) -> int:
        return read_response(Stream(sock.recv)).status

    def test_the_clients_that_were_waited_for_longest_are_given_up(self) -> None:
        # Guards against incomplete bodies on all connections that take a forwarder over its limit on memory.
        socks = self.connect_slow_clients(PERMITS)
        newer = self.connect(INCOMPLETE)
        assert self.status_of(socks[0]) == 503
        self.wait_until_waiting(PERMITS)
        for sock in (*socks[1:], newer):
            sock.sendall(MISSING)
            assert self.status_of(sock) == 202
        self.wait_until_waiting(0)

    def test_a_body_that_arrives_with_its_head_needs_no_permit(self) -> None:
        # Guards against usual clients that make slow ones give way, or the other way round.
        self.connect_slow_clients(PERMITS)
        assert self.status_of(self.connect(request("m1"))) == 202
        assert self.server.incomplete.waiting == PERMITS

    def test_a_connection_that_ends_frees_its_permit(self) -> None:
        for sock in self.connect_slow_clients(2):
            sock.close()
        self.wait_until_waiting(0)

    def test_a_request_is_read_whole_after_its_wait_for_a_permit(self) -> None:
        # Guards against bytes that are lost or parsed twice when the parsing of a request begins again.
        socks = self.connect_slow_clients(PERMITS)
        queued = self.connect(request("m1") + INCOMPLETE)
        assert self.status_of(queued) == 202
        socks[0].sendall(MISSING)
        queued.sendall(MISSING)
        assert [self.status_of(sock) for sock in (socks[0], queued)] == [202, 202]

    def test_resting_and_silent_connections_have_no_thread(self) -> None:
        # Guards against a thread, and its memory, for each connection that a client opens.
        socks = [self.connect(request(f"m{number}") if number % 2 else b"") for number in range(100)]
        assert [self.status_of(sock) for sock in socks[1::2]] == [202] * 50
        assert self.server.threads.count <= THREADS
        wait_until(lambda: self.server.resting.count == 100)

    def test_what_was_read_ahead_of_waiting_connections_is_bounded(self) -> None:
        # Guards against connections that each hold many small requests while they wait for a thread.
        socks = [self.connect(b"".join(request(f"m{n}-{m}") for m in range(400))) for n in range(30)]
        for sock in socks:
            assert self.status_of(sock) == 202
        for client in self.server.table.all():
            stream = client.stream
            assert stream is None or len(stream.buffer) <= READ_BYTES


def test_no_more_threads_serve_clients_than_the_limit_allows(resources: Resources) -> None:
    # Guards against a crowd of connections with input at the same time.
    served: queue.SimpleQueue[ClientConnection] = queue.SimpleQueue()
    may_end = threading.Event()

    def serve(client: ClientConnection) -> None:
        served.put(client)
        may_end.wait(WAIT_S)

    threads = ClientThreads(3, serve)
    clients = open_connections(resources, 10)
    for client in clients:
        threads.submit(client)
    first = [served.get(timeout=WAIT_S) for _ in range(3)]
    assert served.empty()
    assert threads.is_short
    may_end.set()
    assert {*first, *(served.get(timeout=WAIT_S) for _ in range(7))} == set(clients)
    threads.stop()


def test_connections_with_large_requests_leave_threads_to_others(resources: Resources) -> None:
    # Guards against usual messages that wait behind those of hundreds of connections with large ones.
    served: queue.SimpleQueue[ClientConnection] = queue.SimpleQueue()
    may_end = threading.Event()

    def serve(client: ClientConnection) -> None:
        served.put(client)
        if client.is_bulky:
            may_end.wait(WAIT_S)

    threads = ClientThreads(MAX_BULKY_THREADS + 2, serve)
    clients = open_connections(resources, MAX_BULKY_THREADS + 5)
    *bulky, usual = clients
    for client in bulky:
        client.is_bulky = True
        threads.submit(client)
    first = {served.get(timeout=WAIT_S) for _ in range(MAX_BULKY_THREADS)}
    threads.submit(usual)
    assert served.get(timeout=WAIT_S) is usual
    assert served.empty()
    may_end.set()
    others = len(bulky) - MAX_BULKY_THREADS
    assert first | {served.get(timeout=WAIT_S) for _ in range(others)} == set(bulky)
    threads.stop()


def test_a_connection_that_queues_up_makes_room_for_new_ones(resources: Resources) -> None:
    # Guards against usual clients that find no free connection, as incomplete requests hold all of them.
    resumed: list[ClientConnection] = []
    incomplete = IncompleteRequests(0, resumed.append)
    (client,) = open_connections(resources, 1)
    incomplete.queue(client)
    assert not incomplete.free_capacity(client.idle_since + MIN_AGE_S / 2)
    assert incomplete.has_queued
    assert incomplete.free_capacity(client.idle_since + MIN_AGE_S)
    assert (resumed, client.given_up) == ([client], True)


def test_served_connections_get_a_permit_before_new_ones(resources: Resources) -> None:
    resumed: list[ClientConnection] = []
    incomplete = IncompleteRequests(1, resumed.append)
    clients = open_connections(resources, 3)
    waiting, new, served = clients
    served.served = True
    assert incomplete.begin(waiting)
    assert not incomplete.begin(new)
    incomplete.queue(new)
    incomplete.queue(served)
    assert resumed == []
    incomplete.end(waiting)
    assert resumed == [served]
    incomplete.check(new.read_deadline)
    assert new.given_up  # Its time has passed, so that its thread rejects it.
    assert resumed == [served, new]


def test_messages_wait_for_the_reducer_within_the_budget() -> None:
    # Guards against a late reducer, whose queue holds the messages of requests that were rejected long ago.
    message = Message("m", 0, 0, 7, 9.0, None, bytes(1000))
    budget = RequestBudget(2 * message_bytes(message))
    assert message_bytes(message) == 1001 + MESSAGE_OVERHEAD_BYTES
    assert [budget.reserve(number, message) for number in (1, 2, 3)] == [True, True, False]
    budget.release(1)
    budget.release(1)
    assert budget.reserve(3, message)
    assert budget.reserved_bytes == 2 * message_bytes(message)
