"""The body of an attempt with several messages, and the size of a message in it."""

from __future__ import annotations

import base64
import json

from juniperward.forwarder.batch import batch_item_bytes, encode_batch
from juniperward.forwarder.model import Message
from juniperward.net.http_head import MAX_BODY_BYTES
from juniperward.scheduler.settings import MessageClass, SchedulerSettings


def make_message(message_id: str, idempotency_key: str | None, body: bytes) -> Message:
    return Message(message_id, 0, 0, 1, 5.0, idempotency_key, body)


MESSAGES = [
    make_message("a1", None, b""),
    make_message("b2", "k", b"x"),
    make_message('c"\\3', 'key "quoted"', bytes(range(256))),
    make_message("d4", "k\xe9y", b"y" * 1000),
]


class TestBatch:
    def test_message_sizes_add_up_to_the_body_size(self) -> None:
        for count in range(1, len(MESSAGES) + 1):
            chosen = MESSAGES[:count]
            assert len(encode_batch(chosen)) == 1 + sum(map(batch_item_bytes, chosen))

    def test_a_batch_body_decodes_to_what_was_encoded(self) -> None:
        rows = json.loads(encode_batch(MESSAGES))
        assert [(row["id"], row.get("key")) for row in rows] == [(m.id, m.idempotency_key) for m in MESSAGES]
        assert [base64.b64decode(row["body"]) for row in rows] == [m.body for m in MESSAGES]

    def test_batches_fill_up_to_the_protocol_limit(self) -> None:
        assert SchedulerSettings((MessageClass(1.0, 2.0),), 1, 1).max_batch_bytes + 1 == MAX_BODY_BYTES
