"""Counts and logs what endpoints send without a call, such as a second copy of an answer."""

from __future__ import annotations

from juniperward.forwarder.address import format_address
from juniperward.forwarder.telemetry import increment, log


def report_stray_bytes(when: str, address: tuple[str, int]) -> None:
    """Count and log bytes that no call has caused; their connection is closed."""
    increment("stray_answers")
    log("endpoint", "sent without a call; connection closed", when=when, endpoint=format_address(address))
