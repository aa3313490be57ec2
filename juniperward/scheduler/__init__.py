"""The delivery scheduler: it chooses when and to which endpoint each message is sent, and when to give up."""

from juniperward.scheduler.scheduler import DeliveryScheduler

__all__ = ["DeliveryScheduler"]
