"""The messages that a scheduler holds, the calls in flight for them, and the round-robin ring.

It keeps them consistent with each other. Its callers decide which message is sent or ends, and
message_order.py sets the order.
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
    """The messages that are unanswered or have a call in flight, and these calls.

    Attributes:
        messages: all messages by id.
        open_count: how many of them have no final answer yet.
        in_flight: calls by serial, each of which uses one slot.
    """

    def __init__(self, round_: Round) -> None:
        """Create an empty backlog."""
        self._round = round_
        self.messages: dict[int, Message] = {}
        self.open_count = 0
        self.key_order = KeyOrder(round_)
        self.ring = RoundRobinRing()
        self.in_flight: dict[int, BatchAttempt] = {}
        self._last_message_sequence = 0
        self._last_call_serial = 0

    def add(self, message: Message) -> None:
        """Add a new message without queueing it."""
        self._last_message_sequence += 1
        message.sequence = self._last_message_sequence
        self.messages[message.id] = message
        self.open_count += 1
        self.key_order.add(message)

    def enqueue(self, message: Message) -> None:
        """Queue a message if it is eligible, and put its destination on the ring.

        A message that waits for the cooldown of its ordering key is queued when the cooldown ends.
        """
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
        """Queue a message at a later time."""
        message.not_before = at
        self._round.timers.schedule(at, self.enqueue, message)

    def mark_late(self, message: Message) -> None:
        """Record that a message cannot meet its latency objective any more, and update its rank."""
        message.late = True
        if message.queued:
            message.destination.queue.put(message, rank(message))

    def make_ready(self, destination: Destination) -> None:
        """Put a destination on the ring if it has queued messages, as an event may have made it callable."""
        self.ring.add(destination)

    def make_ready_at(self, destination: Destination, at: float) -> None:
        """Put a destination on the ring at a later time, unless a timer already does so earlier."""
        now = self._round.now
        if at < math.inf and not now < destination.wake_at <= at + TIME_EPSILON_S:
            destination.wake_at = max(at, now + TIME_EPSILON_S)
            self._round.timers.schedule(destination.wake_at, self.make_ready, destination)

    def end(self, message: Message) -> None:
        """End a message; remove it once it has no call in flight.

        The removal makes the next message of its ordering key eligible.
        """
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
        """Return a new call to an endpoint, without messages."""
        self._last_call_serial += 1
        return BatchAttempt(self._last_call_serial, endpoint, self._round.now, set())

    def start(self, attempt: BatchAttempt) -> None:
        """Record that a call is in flight and uses a slot."""
        attempt.endpoint.in_flight[attempt.serial] = attempt
        self.in_flight[attempt.serial] = attempt
        attempt.endpoint.destination.slots_in_use += 1

    def cancel(self, attempt: BatchAttempt) -> None:
        """Cancel the attempt of each message of a call; the outcomes of these attempts are still reported."""
        attempt.cancelled = True
        for message_id in sorted(attempt.message_ids):
            for number, other in self.messages[message_id].in_flight.items():
                if other is attempt:
                    self._round.actions.append(CancelAttempt(message_id, number))

    def release_slot(self, message: Message, attempt: BatchAttempt) -> bool:
        """Remove a finished message from its call; return whether it was the last and freed the slot."""
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
