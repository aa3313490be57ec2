"""Divides the process's file descriptors between its uses, so that idle clients cannot exhaust those of the others.

Input: the limit of the settings (`sockets`) and the slots; output: the largest size of each table of connections.
Called by `assembly.py` at the start.
"""

from __future__ import annotations

from dataclasses import dataclass

# Never given to a table: standard streams 3, state folder 1, journal and its second file 2, listener and the
# connection that it has just accepted 2, watch and notifications 2, configuration read again 1, spool 3, control
# channel 10 (listener, 8 clients, one more just accepted), and 8 for connections that are being closed.
RESERVED_DESCRIPTORS = 32
PARTS = 7  # that the others are divided into
CLIENT_PARTS = 4
CALL_PARTS = 2  # and one part is for idle connections
MAX_PART_FRACTION = 8  # a part is at most an eighth of the limit
MIN_SOCKETS = RESERVED_DESCRIPTORS + PARTS
MAX_CLOSING_CLIENTS = 16  # clients' connections that may be closing beside a full table
SPARE_CALLS = 8  # beside two for each slot


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """The most connections of each use."""

    clients: int
    closing_clients: int  # beside `clients`
    calls: int  # a thread and a connection each
    idle_endpoint_connections: int


def divide_descriptors(max_sockets: int, slots: int) -> ConnectionLimits:
    """Return the bounds: four parts of seven to clients, two to calls, one to idle connections to endpoints.

    A part is at most an eighth of the limit. Each use gets at least one, however small the limit is.
    """
    available = max_sockets - RESERVED_DESCRIPTORS
    part = max(min(max_sockets // MAX_PART_FRACTION, available // PARTS), 1)
    closing_clients = min(MAX_CLOSING_CLIENTS, part)
    return ConnectionLimits(
        clients=CLIENT_PARTS * part - closing_clients,
        closing_clients=closing_clients,
        calls=min(2 * slots + SPARE_CALLS, CALL_PARTS * part),
        idle_endpoint_connections=part,
    )
