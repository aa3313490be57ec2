"""JSON from outside, with a limit on its nesting: the threads of a forwarder have small stacks."""

from __future__ import annotations

import json


class NestingError(ValueError):
    """JSON opens more arrays and objects than its reader allows; `max_open` is how many."""

    def __init__(self, max_open: int) -> None:
        """Name the limit."""
        super().__init__(f"more than {max_open} arrays and objects")
        self.max_open = max_open


def read_json(text: bytes, max_open: int) -> object:
    """Decode JSON of at most so many arrays and objects; raises ValueError, for more of them NestingError.

    The decoder recurses in C for each that opens: 128 KiB of stack end before its own limit does.
    """
    if text.count(b"{") + text.count(b"[") > max_open:
        raise NestingError(max_open)
    decoded: object = json.loads(text)
    return decoded
