"""The delivery scheduler: decides which message goes to which endpoint, when, and when to give it up."""

from juniperward.scheduler.scheduler import DeliveryScheduler

__all__ = ["DeliveryScheduler"]
