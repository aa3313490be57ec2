"""Decodes untrusted JSON with a limit on nesting, as the threads of a forwarder have small stacks."""

from __future__ import annotations

import json
import re

JSON_DECODER = json.JSONDecoder()
ARRAY_START = re.compile(r"\s*\[\s*")
SEPARATOR = re.compile(r"\s*,\s*")


class NestingError(ValueError):
    """JSON has more than `max_containers` arrays and objects."""

    def __init__(self, max_containers: int) -> None:
        """Store the limit."""
        super().__init__(f"JSON has more than {max_containers} arrays and objects")
        self.max_containers = max_containers


def read_json(text: bytes, max_containers: int) -> object:
    """Decode JSON with at most `max_containers` arrays and objects.

    The standard decoder recurses in C for each nested container, and would overflow a stack of 128 KiB before it
    reaches its own recursion limit.

    Raises:
        NestingError: where there are more arrays and objects.
        ValueError: where the text is not JSON.

    """
    _check_nesting(text, max_containers)
    decoded: object = json.loads(text)
    return decoded


def read_whole_objects(text: bytes, max_containers: int) -> list[dict[str, object]]:
    """Return the objects at the start of a JSON array, up to the first one that is not whole or not an object.

    There may be `max_containers` arrays and objects; with more, none is returned.
    """
    try:
        _check_nesting(text, max_containers)
    except NestingError:
        return []
    decoded = text.decode("utf-8", errors="replace")
    array = ARRAY_START.match(decoded)
    objects: list[dict[str, object]] = []
    position = array.end() if array is not None else len(decoded)
    while decoded.startswith("{", position):
        try:
            value, end = JSON_DECODER.raw_decode(decoded, position)
        except ValueError:
            break
        objects.append(value)
        separator = SEPARATOR.match(decoded, end)
        position = separator.end() if separator is not None else len(decoded)
    return objects


def _check_nesting(text: bytes, max_containers: int) -> None:
    if text.count(b"{") + text.count(b"[") > max_containers:
        raise NestingError(max_containers)
