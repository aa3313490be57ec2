"""Checks of single values of a settings file: names, addresses, paths and numbers. Faults go to the collector."""

from __future__ import annotations

import math
import re
from pathlib import Path
from typing import Any

from juniperward.settings.fault_collector import FaultCollector

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,31}")
NAME_NEEDED = "1 to 32 letters, digits, '-' and '_' are needed"
MAX_PATH_BYTES = 107  # of a Unix socket's path on Linux
MAX_PORT = 65535
# Keys whose numbers are fractions, from 0 to 1, and keys whose numbers must not be 0.
FRACTIONS = frozenset({"jitter", "soak_share", "fall", "cut", "share_of_rate", "share_of_slots"})
ABOVE_ZERO = frozenset({"at_once", "first", "start", "stop", "silent", "crashes", "window"})


def numbers(faults: FaultCollector, part: str, given: Any) -> dict[str, Any]:
    """Return the set numbers of a part's message by key, each checked against its bounds."""
    found: dict[str, Any] = {}
    for descriptor, value in given.ListFields():
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number:
            continue
        wrong = _out_of_bounds(descriptor.name, value)
        if wrong:
            faults.add(f"{part}.{descriptor.name}", wrong)
        found[descriptor.name] = value
    return found


def _out_of_bounds(key: str, value: float) -> str:
    """Return what is wrong with a number; empty where nothing is."""
    if math.isnan(value) or math.isinf(value) or value < 0:
        return f"must not be negative or endless, not {value:g}"
    if key in FRACTIONS and value > 1:
        return f"a fraction is needed, from 0 to 1, not {value:g}"
    if key in ABOVE_ZERO and value == 0:
        return "must be above 0"
    return ""


def check_name(faults: FaultCollector, field: str, name: str) -> bool:
    """Record a fault for a text that is no name; return whether it is one."""
    is_name = NAME.fullmatch(name) is not None
    if not is_name:
        faults.add(field, f"{NAME_NEEDED}, not {name!r}")
    return is_name


def check_address(faults: FaultCollector, field: str, text: str) -> None:
    """Record a fault for a text that is no `host:port`."""
    host, colon, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not (colon and host and is_number and 0 < int(port) <= MAX_PORT):
        faults.add(field, f"an address of the form host:port is needed, not {text!r}")


def check_socket_path(faults: FaultCollector, field: str, path: Path) -> None:
    """Record a fault for a path that is too long for a Unix socket."""
    length = len(str(path).encode())
    if length > MAX_PATH_BYTES:
        faults.add(field, f"{path}: {length} bytes; a Unix socket's path has {MAX_PATH_BYTES} at most")
