"""The body of an attempt with several messages: its encoding, and the size of one message in it.

In come messages, out the bytes of the JSON array that the protocol page gives ('Forwarders to endpoints'). The
scheduler decides which messages share an attempt, by the sizes from here. Called by intake and the endpoint client.
"""

from __future__ import annotations

import base64
import json
from collections.abc import Iterable

from juniperward.forwarder.model import Message

SEPARATORS = (",", ":")
BASE64_INPUT_BYTES, BASE64_OUTPUT_BYTES = 3, 4  # so many bytes become so many characters


def encode_batch(messages: Iterable[Message]) -> bytes:
    """Return the body of an attempt with these messages."""
    rows = [_row(message, base64.b64encode(message.body).decode()) for message in messages]
    return json.dumps(rows, separators=SEPARATORS).encode()


def item_bytes(message: Message) -> int:
    """Return the bytes of a message in such a body, with the separator before it; the body has one more in all."""
    encoded_body = BASE64_OUTPUT_BYTES * -(-len(message.body) // BASE64_INPUT_BYTES)
    return len(json.dumps(_row(message, ""), separators=SEPARATORS)) + encoded_body + 1


def _row(message: Message, body: str) -> dict[str, str]:
    row = {"id": message.id, "body": body}
    if message.idempotency_key is not None:
        row["key"] = message.idempotency_key
    return row
