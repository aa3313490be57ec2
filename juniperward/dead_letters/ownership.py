"""Who goes on with a message that is given up: its client, or the store of dead letters. Pure."""

from __future__ import annotations

REDRIVE_PREFIX = "kept-"  # of the ids of redrives: dead letters that are sent again
LAST_TRY_S = 0.5  # of its own time, in which a client has nothing more to try


def is_redrive_id(message_id: str) -> bool:
    """Return whether an id is that of a redrive."""
    return message_id.startswith(REDRIVE_PREFIX)


def is_stored(time_left_s: float, retry_after_s: float | None) -> bool:
    """Return whether a message that is given up is stored, and its client told not to come again.

    Both together or neither: a client that comes again while its message is stored would have it sent twice. One
    that was told a time to come again before its message's own time is over keeps it; one for which nothing would
    be left of that time (`time_left_s` are) has nothing more to try.
    """
    return retry_after_s is None or time_left_s <= max(retry_after_s, LAST_TRY_S)
