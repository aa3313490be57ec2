"""Parses and formats network addresses of the form `host:port`."""

from __future__ import annotations

MAX_PORT = 65535


class BadAddressError(ValueError):
    """A text, kept in `text`, is not an address of the form `host:port`."""

    def __init__(self, text: str) -> None:
        """Store the invalid text."""
        super().__init__(f"not an address of the form host:port: {text!r}")
        self.text = text


def parse_address(text: str) -> tuple[str, int]:
    """Return the host, without brackets, and the port of `host:port`; raises BadAddressError."""
    host, colon, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not colon or not host or not is_number or not 0 < int(port) <= MAX_PORT:
        raise BadAddressError(text)
    return host.strip("[]"), int(port)


def format_address(address: tuple[str, int]) -> str:
    """Return an address as `host:port`."""
    host, port = address
    return f"{host}:{port}"
