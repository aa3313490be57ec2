"""Divides the process's file descriptors between its uses, so that idle clients cannot exhaust those of the others.

`assembly.py` calls it at the start, with the settings' limit on sockets and the number of slots.
"""

from __future__ import annotations

from dataclasses import dataclass

# Descriptors outside the tables of connections: standard streams 3, state folder 1, journal and its compacted file 2,
# listener and the connection that it has just accepted 2, watch and notifications 2, reload of the configuration 1,
# spool 3, control channel 10 (listener, 8 clients, one more just accepted), epoll objects of resting clients and of
# spare connections 2, and 6 for connections that are closing.
RESERVED_DESCRIPTORS = 32
# The other descriptors are divided into equal shares. One share is for connections opened ahead of calls.
SHARE_COUNT = 7
CLIENT_SHARES = 4
CALL_SHARES = 2
MIN_SHARES_OF_LIMIT = 8  # a share is at most an eighth of the limit
MIN_SOCKETS = RESERVED_DESCRIPTORS + SHARE_COUNT
MAX_CLOSING_CLIENTS = 16
CALLS_PER_SLOT = 2
SPARE_CALLS = 8


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """The maximum number of connections of each use.

    Attributes:
        clients: Open connections of clients.
        closing_clients: Connections of clients that are closing, in addition to `clients`.
        calls: Calls to endpoints at the same time; each has a connection and a thread.
        spare_endpoint_connections: Connections to endpoints that were opened ahead of calls.

    """

    clients: int
    closing_clients: int
    calls: int
    spare_endpoint_connections: int


def divide_descriptors(max_sockets: int, slots: int) -> ConnectionLimits:
    """Return the limits: four of seven shares for clients, two for calls, one for spare connections.

    A share is at most an eighth of `max_sockets`. Each use gets at least one connection, however small that is.
    """
    available = max_sockets - RESERVED_DESCRIPTORS
    share = max(min(max_sockets // MIN_SHARES_OF_LIMIT, available // SHARE_COUNT), 1)
    closing_clients = min(MAX_CLOSING_CLIENTS, share)
    return ConnectionLimits(
        clients=CLIENT_SHARES * share - closing_clients,
        closing_clients=closing_clients,
        calls=min(CALLS_PER_SLOT * slots + SPARE_CALLS, CALL_SHARES * share),
        spare_endpoint_connections=share,
    )
