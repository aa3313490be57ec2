"""Decides whether the client or the dead letter store is responsible for a message that is given up. Pure."""

from __future__ import annotations

REDRIVE_ID_PREFIX = "kept-"
MIN_RETRY_TIME_S = 0.5  # A client is not expected to retry a message with less time left.


def is_redrive_id(message_id: str) -> bool:
    """Return whether a message id is the id of a redrive."""
    return message_id.startswith(REDRIVE_ID_PREFIX)


def should_dead_letter(time_left_s: float, retry_after_s: float | None) -> bool:
    """Return whether a message that is given up becomes a dead letter, so that its client must not retry.

    If a client retried a message that is also stored, it would be delivered twice. A client that may retry
    after `retry_after_s` stays responsible for its message, unless the message expires (in `time_left_s`)
    before then.
    """
    return retry_after_s is None or time_left_s <= max(retry_after_s, MIN_RETRY_TIME_S)
