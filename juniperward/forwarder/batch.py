"""The body of an attempt with several messages, a JSON array: its encoding, and the size of a message in it.

The scheduler uses the sizes to decide which messages share an attempt. Called by `Intake` and the endpoint
client.
"""

from __future__ import annotations

import base64
import json
from collections.abc import Iterable

from juniperward.forwarder.model import Message

SEPARATORS = (",", ":")
# Base64 encodes each group of three bytes, the last one padded, as four characters.
BASE64_GROUP_BYTES, BASE64_GROUP_CHARACTERS = 3, 4


def encode_batch(messages: Iterable[Message]) -> bytes:
    """Return the body of an attempt with several messages."""
    rows = [_row(message, base64.b64encode(message.body).decode()) for message in messages]
    return json.dumps(rows, separators=SEPARATORS).encode()


def batch_item_bytes(message: Message) -> int:
    """Return a message's size in a body, with one separator; a body is one byte longer than the sum."""
    encoded_body = BASE64_GROUP_CHARACTERS * -(-len(message.body) // BASE64_GROUP_BYTES)
    return len(json.dumps(_row(message, ""), separators=SEPARATORS)) + encoded_body + 1


def _row(message: Message, body: str) -> dict[str, str]:
    row = {"id": message.id, "body": body}
    if message.idempotency_key is not None:
        row["key"] = message.idempotency_key
    return row
