"""Decodes untrusted JSON with a limit on nesting, as the threads of a forwarder have small stacks."""

from __future__ import annotations

import json


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
    if text.count(b"{") + text.count(b"[") > max_containers:
        raise NestingError(max_containers)
    decoded: object = json.loads(text)
    return decoded
