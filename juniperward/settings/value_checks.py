"""Checks of single values of a settings file: names, addresses, paths and numbers."""

from __future__ import annotations

import math
import re
from pathlib import Path
from typing import Any

from juniperward.settings.fault_collector import FaultCollector

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,31}")
NAME_RULE = "must be 1 to 32 letters, digits, '-' or '_', and begin with a letter or a digit"
MAX_SOCKET_PATH_BYTES = 107  # Linux: sockaddr_un.sun_path without its terminating null byte
MAX_PORT = 65535
FRACTION_KEYS = frozenset({"jitter", "soak_share", "fall", "cut", "share_of_rate", "share_of_slots"})
NONZERO_KEYS = frozenset({"at_once", "first", "start", "stop", "silent", "crashes", "window"})


def checked_numbers(faults: FaultCollector, part: str, given: Any) -> dict[str, Any]:
    """Return the numbers that a part of the file sets, by key; record a fault for each that is out of bounds.

    Args:
        faults: Collects the faults.
        part: The path of the part, such as `kept.pace`.
        given: The message of the part.

    """
    numbers: dict[str, Any] = {}
    for descriptor, value in given.ListFields():
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number:
            continue
        fault = _bounds_fault(descriptor.name, value)
        if fault:
            faults.add(f"{part}.{descriptor.name}", fault)
        numbers[descriptor.name] = value
    return numbers


def _bounds_fault(key: str, value: float) -> str:
    """Return why a number is out of bounds; empty if it is not."""
    if math.isnan(value) or math.isinf(value) or value < 0:
        return f"must be a finite number of 0 or more, not {value:g}"
    if key in FRACTION_KEYS and value > 1:
        return f"must be a fraction from 0 to 1, not {value:g}"
    if key in NONZERO_KEYS and value == 0:
        return "must be above 0"
    return ""


def check_name(faults: FaultCollector, field: str, name: str) -> bool:
    """Record a fault unless `name` is a valid name; return whether it is."""
    is_name = NAME_PATTERN.fullmatch(name) is not None
    if not is_name:
        faults.add(field, f"{NAME_RULE}, not {name!r}")
    return is_name


def check_address(faults: FaultCollector, field: str, text: str) -> None:
    """Record a fault unless `text` is an address of the form host:port."""
    host, colon, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not (colon and host and is_number and 0 < int(port) <= MAX_PORT):
        faults.add(field, f"must be an address of the form host:port, not {text!r}")


def check_socket_path(faults: FaultCollector, field: str, path: Path) -> None:
    """Record a fault if a path is too long for a Unix socket."""
    length = len(str(path).encode())
    if length > MAX_SOCKET_PATH_BYTES:
        faults.add(
            field, f"a Unix socket's path has at most {MAX_SOCKET_PATH_BYTES} bytes, but {path} has {length}"
        )
