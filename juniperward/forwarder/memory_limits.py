"""Divides the memory limit of the settings between its uses, as `descriptors.py` divides the descriptors.

What a peer's bytes, connections or messages can take is limited by these shares, whatever peers do. `assembly.py`
calls `divide_memory` at the start.
"""

from __future__ import annotations

from dataclasses import dataclass

from juniperward.forwarder.descriptors import ConnectionLimits
from juniperward.net.http_head import MAX_BODY_BYTES, MAX_HEAD_BYTES

# A process without clients, calls and messages needs this much for the interpreter, the program and its lists.
FIXED_BYTES = 19_000_000
# At least this much is divided, as with less a forwarder would accept hardly anything.
MIN_DIVIDED_BYTES = 6_000_000
# This part stays free for the fragmentation of the heap and for what the running threads copy.
SPARE_FRACTION = 0.2
# These shares of the rest are 1 together.
CONNECTIONS_FRACTION = 0.25
CLIENT_THREADS_FRACTION = 0.15
CALLS_FRACTION = 0.15
ANSWERS_FRACTION = 0.05
INCOMPLETE_REQUESTS_FRACTION = 0.1
REQUESTS_FRACTION = 0.05
MESSAGES_FRACTION = 0.2
COMPLETED_IDS_FRACTION = 0.05

# A client's connection without a thread has its socket, its state, its places in tables, and what was read ahead.
CLIENT_CONNECTION_BYTES = 4 * 1024
# A client's thread has its stack and the head that it reads: what came, and two copies of the lines.
CLIENT_THREAD_BYTES = 80 * 1024
# A call's thread has its stack and the first bytes of the answer that it reads.
CALL_BYTES = 36 * 1024
# A large answer is held as it was received, what came of its head, two copies of its lines, and its body in parts and
# whole.
LARGE_ANSWER_BYTES = 4 * MAX_HEAD_BYTES + 3 * MAX_BODY_BYTES
# A pending message is held as its content and as its line in the journal, in Base64, and copied by compactions.
MESSAGE_COPIES = 3

# The other threads do not wait for the rest of a request, so that whole requests are served meanwhile.
MAX_WAITING_THREADS_FRACTION = 0.5

MIN_CLIENT_THREADS = 16
MIN_INCOMPLETE_REQUESTS = 8
MIN_CLIENTS = 16
MIN_CALLS = 16
MIN_LARGE_ANSWERS = 4
# Several of the largest bodies fit at once.
MIN_REQUEST_BYTES = 4 * MAX_BODY_BYTES
MIN_MESSAGE_BYTES = 4 * MAX_BODY_BYTES


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """The shares of the memory limit.

    Attributes:
        clients: Connections of clients.
        client_threads: Threads that serve clients; the other connections wait without a thread.
        calls: Threads that make calls to endpoints.
        large_answers: Answers to calls that are longer than what is read at once, and are received at the same time.
        incomplete_requests: Requests that are awaited at once, each with a thread and the largest body.
        request_bytes: Whole messages until the reducer has answered them.
        message_bytes: Contents of accepted messages that are not completed.
        completed_id_bytes: Ids of completed messages.

    """

    clients: int
    client_threads: int
    calls: int
    large_answers: int
    incomplete_requests: int
    request_bytes: int
    message_bytes: int
    completed_id_bytes: int


def divide_memory(memory_bytes: int, disk_bytes: int) -> MemoryLimits:
    """Return the shares of a limit on memory, of which the files of the state folder may take `disk_bytes`."""
    divided_bytes = max(memory_bytes - FIXED_BYTES - disk_bytes, MIN_DIVIDED_BYTES)
    shared_bytes = divided_bytes * (1 - SPARE_FRACTION)
    client_threads = max(
        int(shared_bytes * CLIENT_THREADS_FRACTION / CLIENT_THREAD_BYTES), MIN_CLIENT_THREADS
    )
    incomplete_requests = int(shared_bytes * INCOMPLETE_REQUESTS_FRACTION / MAX_BODY_BYTES)
    return MemoryLimits(
        clients=max(int(shared_bytes * CONNECTIONS_FRACTION / CLIENT_CONNECTION_BYTES), MIN_CLIENTS),
        client_threads=client_threads,
        incomplete_requests=max(
            min(incomplete_requests, int(client_threads * MAX_WAITING_THREADS_FRACTION)),
            MIN_INCOMPLETE_REQUESTS,
        ),
        calls=max(int(shared_bytes * CALLS_FRACTION / CALL_BYTES), MIN_CALLS),
        large_answers=max(int(shared_bytes * ANSWERS_FRACTION / LARGE_ANSWER_BYTES), MIN_LARGE_ANSWERS),
        request_bytes=max(int(shared_bytes * REQUESTS_FRACTION), MIN_REQUEST_BYTES),
        message_bytes=max(int(shared_bytes * MESSAGES_FRACTION / MESSAGE_COPIES), MIN_MESSAGE_BYTES),
        completed_id_bytes=int(shared_bytes * COMPLETED_IDS_FRACTION),
    )


def limit_connections(connections: ConnectionLimits, memory: MemoryLimits) -> ConnectionLimits:
    """Return limits on connections that hold the shares of descriptors and of memory alike."""
    return ConnectionLimits(
        clients=min(connections.clients, memory.clients),
        closing_clients=connections.closing_clients,
        calls=min(connections.calls, memory.calls),
        spare_endpoint_connections=connections.spare_endpoint_connections,
    )
