"""nickelscale: the decisions of a delivery service for outbound messages."""

from nickelscale.rules import Sender

__all__ = ["Sender"]
