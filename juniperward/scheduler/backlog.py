"""The messages of a scheduler that are not over, the calls in flight for them, and the round-robin ring.

Bookkeeping for the modules under `policy`: they decide what goes and what ends, message_order.py in which order.
"""

from __future__ import annotations

import math

from juniperward.scheduler.actions import CancelAttempt
from juniperward.scheduler.message_order import KeyOrder, rank
from juniperward.scheduler.records import BatchAttempt, Destination, Endpoint, Message
from juniperward.scheduler.round import Round
from juniperward.scheduler.round_robin_ring import RoundRobinRing
from juniperward.scheduler.timers import TIME_EPSILON_S


class Backlog:
    """All messages that are not over, and the calls that are in flight for them."""

    def __init__(self, round_: Round) -> None:
        """Begin empty."""
        self._round = round_
        self.messages: dict[int, Message] = {}
        self.open_count = 0  # messages without their final answer
        self.key_order = KeyOrder(round_)
        self.ring = RoundRobinRing()
        self.in_flight: dict[int, BatchAttempt] = {}  # by serial; never more than there are slots
        self._last_sequence = 0  # of messages
        self._last_serial = 0  # of calls

    def add(self, message: Message) -> None:
        """Add a new message, which is not queued yet."""
        self._last_sequence += 1
        message.sequence = self._last_sequence
        self.messages[message.id] = message
        self.open_count += 1
        self.key_order.add(message)

    def enqueue(self, message: Message) -> None:
        """Queue a message at its destination, and put that on the ring; nothing happens where it may not go."""
        latest = self._round.now + TIME_EPSILON_S
        if message.ended or message.queued or message.in_flight or message.not_before > latest:
            return
        eligible_at = self.key_order.eligible_at(message)
        if eligible_at > latest:
            if eligible_at < math.inf:
                self._round.timers.schedule(eligible_at, self.enqueue, message)
            return
        message.destination.queue.put(message, rank(message))
        self.make_ready(message.destination)

    def enqueue_at(self, message: Message, at: float) -> None:
        """Queue a message at a moment, not before."""
        message.not_before = at
        self._round.timers.schedule(at, self.enqueue, message)

    def mark_late(self, message: Message) -> None:
        """Rank a message anew whose latency objective cannot be met any more."""
        message.late = True
        if message.queued:
            message.destination.queue.put(message, rank(message))

    def make_ready(self, destination: Destination) -> None:
        """Put a destination on the ring if messages are queued there: an event may have opened it."""
        self.ring.add(destination)

    def make_ready_at(self, destination: Destination, at: float) -> None:
        """Put a destination on the ring at a moment, unless an earlier timer does."""
        now = self._round.now
        if at < math.inf and not now < destination.wake_at <= at + TIME_EPSILON_S:
            destination.wake_at = max(at, now + TIME_EPSILON_S)
            self._round.timers.schedule(destination.wake_at, self.make_ready, destination)

    def end(self, message: Message) -> None:
        """End a message; once nothing is in flight for it, it is removed and the next of its key may go."""
        if not message.ended:
            message.ended = True
            self.open_count -= 1
            message.destination.queue.remove(message)
        if message.in_flight or self.messages.pop(message.id, None) is None:
            return
        next_of_key = self.key_order.remove(message)
        if next_of_key is not None:
            self.enqueue(next_of_key)

    def new_attempt(self, endpoint: Endpoint) -> BatchAttempt:
        """Return a call to an endpoint, without messages yet."""
        self._last_serial += 1
        return BatchAttempt(self._last_serial, endpoint, self._round.now, set())

    def start(self, attempt: BatchAttempt) -> None:
        """Record that a call is in flight, and fills a slot."""
        attempt.endpoint.in_flight[attempt.serial] = attempt
        self.in_flight[attempt.serial] = attempt
        attempt.endpoint.destination.slots_in_use += 1

    def cancel(self, attempt: BatchAttempt) -> None:
        """Have a call cancelled, for each of its messages; its outcome is still to come."""
        attempt.cancelled = True
        for message_id in sorted(attempt.message_ids):
            for number, other in self.messages[message_id].in_flight.items():
                if other is attempt:
                    self._round.actions.append(CancelAttempt(message_id, number))

    def release_slot(self, message: Message, attempt: BatchAttempt) -> bool:
        """Record a message's outcome of a call; with the last one the slot is free, which is returned."""
        attempt.message_ids.discard(message.id)
        if attempt.message_ids:
            return False
        del attempt.endpoint.in_flight[attempt.serial]
        del self.in_flight[attempt.serial]
        destination = attempt.endpoint.destination
        destination.slots_in_use -= 1
        destination.last_used_at = self._round.now
        self.make_ready(destination)
        return True
