"""How the file descriptors of the process are shared out, so that idle clients cannot take those of the rest.

Input: the limit of the settings (`sockets`) and the slots; output: the bounds of each table of connections.
"""

from __future__ import annotations

from dataclasses import dataclass

# Never shared out: standard streams 3, state folder 1, journal and its second file 2, listener and the connection
# that it has just accepted 2, watch and notices 2, configuration read again 1, spool 3, control channel 10 (listener,
# 8 clients, one more on its way in), and 8 for connections that are just being closed.
RESERVED = 32
PARTS = 7  # that the rest is divided into
LEAST_SOCKETS = RESERVED + PARTS
MOST_LEAVING = 16  # clients' connections that may be on their way out beside a full table


@dataclass(frozen=True, slots=True)
class DescriptorBounds:
    """The most connections of each use."""

    clients: int
    leaving_clients: int  # beside `clients`
    calls: int  # a thread and a connection each
    idle_to_endpoints: int


def share_out(sockets: int, slots: int) -> DescriptorBounds:
    """Four parts of seven to clients, two to calls, one to idle connections; an eighth of all a part at most.

    Each use gets at least one, however small the limit is.
    """
    part = max(min(sockets // 8, (sockets - RESERVED) // PARTS), 1)
    leaving = min(MOST_LEAVING, part)
    return DescriptorBounds(
        clients=4 * part - leaving,
        leaving_clients=leaving,
        calls=min(2 * slots + 8, 2 * part),
        idle_to_endpoints=part,
    )
