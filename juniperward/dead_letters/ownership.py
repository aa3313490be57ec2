"""Who owns a message that is given up: its client, or the dead letter store. Pure; the forwarder calls it."""

from __future__ import annotations

REDRIVE_PREFIX = "kept-"  # of the ids of redrives
MIN_RETRY_TIME_S = 0.5  # of a message's own time; with less left, its client has no retry any more


def is_redrive_id(message_id: str) -> bool:
    """Return whether an id is that of a redrive."""
    return message_id.startswith(REDRIVE_PREFIX)


def should_dead_letter(time_left_s: float, retry_after_s: float | None) -> bool:
    """Return whether a message that is given up is stored, and its client is notified that it is undeliverable.

    Both together or neither: a client that retries while its message is stored would have it delivered twice. A
    client with a Retry-After (`retry_after_s`) before its message's own time is over keeps the message; one for
    which too little of that time (`time_left_s`) would be left has no retry any more.
    """
    return retry_after_s is None or time_left_s <= max(retry_after_s, MIN_RETRY_TIME_S)
