"""The stream of a watch, in any layout and cut at any byte."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest

from juniperward.forwarder.discovery_stream import MAX_OBJECT_BYTES, JsonObjectParser

ROWS: list[Any] = [
    {
        "version": 43,
        "full": True,
        "servers": [{"id": 's-"{1', "state": "Ready", "note": "a}\\"}, {"id": "s-2"}],
    },
    {"version": 44, "full": False, "servers": []},
]


def feed(text: bytes, *cuts: int) -> list[Any]:
    objects, found = JsonObjectParser(), []
    for first, last in zip((0, *cuts), (*cuts, len(text)), strict=True):
        found += objects.feed(text[first:last])
    return found


@pytest.mark.parametrize("indent", [None, 0, 2, "\t"])
@pytest.mark.parametrize("end", [b"\n", b"\r\n", b""])
def test_watch_events_are_read_in_any_layout_split_at_any_byte(indent: Any, end: bytes) -> None:
    # Terms at full size: lists may come indented; a list that was read by the line ended the watch.
    text = b"\n\n".join(json.dumps(row, indent=indent).encode() for row in ROWS) + end
    for cut in range(len(text)):
        assert feed(text, cut) == ROWS
    assert feed(text, *range(1, len(text))) == ROWS


def test_watch_events_are_emitted_before_their_line_ends() -> None:
    # Guards the 2 s until the next sign of life: a drain must not wait for it.
    assert feed(json.dumps(ROWS[0], indent=1).encode()) == ROWS[:1]


@pytest.mark.parametrize(
    "text", [b"nonsense\n", b'{"version":1\n\n', b"{}}\n", b'{"a":\xff}\n', b'{"a":1} {"b"\n\n']
)
def test_a_value_that_is_no_object_is_reported(text: bytes) -> None:
    with pytest.raises(ValueError):
        feed(text)


def test_an_endless_object_is_not_buffered() -> None:
    objects = JsonObjectParser()
    with pytest.raises(ValueError):
        for _ in range(MAX_OBJECT_BYTES // 65536 + 2):
            objects.feed(b'"' + b"x" * 65536)


def test_a_list_of_1024_servers_is_read_in_pieces_of_any_size() -> None:
    servers = [{"id": f"s-{n}", "addr": f"10.0.{n >> 8}.{n & 255}:1"} for n in range(1024)]
    row = {"version": 9, "full": True, "servers": servers}
    text, draw = json.dumps(row, indent=4).encode(), random.Random(1)
    cuts = sorted(draw.sample(range(1, len(text)), 40))
    assert feed(text + b"\n", *cuts) == [row]
