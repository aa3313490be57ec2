"""The codec of notifications: encodes each `OutcomeNotification` as a line of JSON."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

from juniperward.forwarder.model import OutcomeNotification

MS_PER_S = 1000


def encode_notifications(notifications: Iterable[OutcomeNotification]) -> bytes:
    """Return the request body with these notifications, one per line."""
    return b"".join(_encode(notification) for notification in notifications)


def _encode(notification: OutcomeNotification) -> bytes:
    row: dict[str, Any] = {"id": notification.id, "status": "undeliverable"}
    if notification.retry_after_s is not None:
        row["status"] = "deferred"
        if notification.retry_after_s > 0:
            row["again_ms"] = round(notification.retry_after_s * MS_PER_S)
    return json.dumps(row, separators=(",", ":")).encode() + b"\n"
