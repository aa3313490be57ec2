"""Parsing of discovery's stream, in any layout and split at any byte."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest

from juniperward.forwarder.discovery_stream import MAX_OBJECT_BYTES, JsonObjectParser

OBJECTS: list[Any] = [
    {
        "version": 43,
        "full": True,
        "servers": [{"id": 's-"{1', "state": "Ready", "note": "a}\\"}, {"id": "s-2"}],
    },
    {"version": 44, "full": False, "servers": []},
]


def parse(text: bytes, *cuts: int) -> list[Any]:
    """Parse a text that arrives in pieces, split at these positions."""
    parser, found = JsonObjectParser(), []
    for first, last in zip((0, *cuts), (*cuts, len(text)), strict=True):
        found += parser.feed(text[first:last])
    return found


@pytest.mark.parametrize("indent", [None, 0, 2, "\t"])
@pytest.mark.parametrize("end", [b"\n", b"\r\n", b""])
def test_objects_are_parsed_in_any_layout_split_at_any_byte(indent: Any, end: bytes) -> None:
    text = b"\n\n".join(json.dumps(value, indent=indent).encode() for value in OBJECTS) + end
    for cut in range(len(text)):
        assert parse(text, cut) == OBJECTS
    assert parse(text, *range(1, len(text))) == OBJECTS


def test_objects_are_returned_before_their_line_break() -> None:
    # The line break may arrive only with the next heartbeat, 2 s later; a drain must not wait for it.
    assert parse(json.dumps(OBJECTS[0], indent=1).encode()) == OBJECTS[:1]


@pytest.mark.parametrize(
    "text", [b"nonsense\n", b'{"version":1\n\n', b"{}}\n", b'{"a":\xff}\n', b'{"a":1} {"b"\n\n']
)
def test_invalid_input_raises_value_error(text: bytes) -> None:
    with pytest.raises(ValueError):
        parse(text)


def test_an_endless_object_is_not_buffered() -> None:
    parser = JsonObjectParser()
    with pytest.raises(ValueError):
        for _ in range(MAX_OBJECT_BYTES // 65536 + 2):
            parser.feed(b'"' + b"x" * 65536)


def test_a_list_of_1024_servers_is_parsed_from_pieces_of_any_size() -> None:
    servers = [{"id": f"s-{n}", "addr": f"10.0.{n >> 8}.{n & 255}:1"} for n in range(1024)]
    endpoint_list = {"version": 9, "full": True, "servers": servers}
    text, draw = json.dumps(endpoint_list, indent=4).encode(), random.Random(1)
    cuts = sorted(draw.sample(range(1, len(text)), 40))
    assert parse(text + b"\n", *cuts) == [endpoint_list]
