"""The body of a call of several messages: its encoding, and what one message takes of it.

Input: messages. Output: bytes of the JSON array that the protocol page gives ('Forwarders to endpoints'). It never
decides which messages share a call; the scheduler does, by the sizes told here.
"""

from __future__ import annotations

import base64
import json
from collections.abc import Iterable

from juniperward.forwarder.model import Message

SEPARATORS = (",", ":")
BYTES_IN, BYTES_OUT = 3, 4  # Base64: so many bytes become so many characters


def encode_batch(messages: Iterable[Message]) -> bytes:
    """The body of a call with these messages."""
    rows = [_row(message, base64.b64encode(message.body).decode()) for message in messages]
    return json.dumps(rows, separators=SEPARATORS).encode()


def item_bytes(message: Message) -> int:
    """Bytes that a message takes in such a body, the separator before it included; the body has one more in all."""
    encoded_body = BYTES_OUT * -(-len(message.body) // BYTES_IN)
    return len(json.dumps(_row(message, ""), separators=SEPARATORS)) + encoded_body + 1


def _row(message: Message, body: str) -> dict[str, str]:
    row = {"id": message.id, "body": body}
    if message.idempotency_key is not None:
        row["key"] = message.idempotency_key
    return row
