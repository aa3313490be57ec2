"""The delivery scheduler: decides which message goes to which endpoint, when, and when to give it up."""

from juniperward.scheduler.rules import Sender

__all__ = ["Sender"]
