"""The messages that a scheduler holds: their queues, the order of those that share a key, and the turns."""

from __future__ import annotations

import math
from collections.abc import Callable

from juniperward.scheduler.actions import CancelAttempt
from juniperward.scheduler.queues import Rank
from juniperward.scheduler.records import BatchAttempt, Destination, Endpoint, Message, OrderedKey
from juniperward.scheduler.round import Round
from juniperward.scheduler.round_robin_ring import RoundRobinRing
from juniperward.scheduler.timers import TIME_EPSILON_S


class Backlog:
    """All messages that are not over, and the calls that are in flight for them."""

    def __init__(self, round_: Round, rank: Callable[[Message], Rank]) -> None:
        """Begin empty; `rank` says in which order the messages of a destination go."""
        self._round = round_
        self._rank = rank
        self.messages: dict[int, Message] = {}
        self.open_count = 0  # messages without their final answer
        self.ordered_keys: dict[str, OrderedKey] = {}
        self.ring = RoundRobinRing()
        self._last_sequence = 0  # of messages
        self._last_serial = 0  # of calls
        self.in_flight: dict[int, BatchAttempt] = {}  # by serial; never more than there are slots

    def add(self, message: Message) -> None:
        """Take in a new message, which does not wait for its turn yet."""
        self._last_sequence += 1
        message.sequence = self._last_sequence
        self.messages[message.id] = message
        self.open_count += 1
        if message.ordering_key is not None:
            self.ordered_keys.setdefault(message.ordering_key, OrderedKey()).queue.append(message)

    def enqueue(self, message: Message) -> None:
        """Put a message that may go now into its destination's queue, and the destination on the ring."""
        now = self._round.now
        if message.ended or message.queued or message.in_flight or message.not_before > now + TIME_EPSILON_S:
            return
        if message.ordering_key is not None:
            # Only the eldest of a key goes, and not while the key rests; messages without it are not held up.
            key = self.ordered_keys[message.ordering_key]
            if key.queue[0] is not message:
                return
            if key.cooldown_until > now + TIME_EPSILON_S and not message.attempts:
                self._round.timers.schedule(key.cooldown_until, self.enqueue, message)
                return
        message.destination.queue.put(message, self._rank(message))
        self.make_ready(message.destination)

    def enqueue_at(self, message: Message, at: float) -> None:
        """Let a message go no earlier than at a moment."""
        message.not_before = at
        self._round.timers.schedule(at, self.enqueue, message)

    def mark_late(self, message: Message) -> None:
        """Rank a message anew whose latency objective cannot be met any more: others go first."""
        message.late = True
        if message.queued:
            message.destination.queue.put(message, self._rank(message))

    def make_ready(self, destination: Destination) -> None:
        """Let a destination take turns if something waits for it: an event may have opened it."""
        self.ring.add(destination)

    def make_ready_at(self, destination: Destination, at: float) -> None:
        """Let a destination take turns from a moment on."""
        now = self._round.now
        if at < math.inf and not now < destination.wake_at <= at + TIME_EPSILON_S:
            destination.wake_at = max(at, now + TIME_EPSILON_S)
            self._round.timers.schedule(destination.wake_at, self.make_ready, destination)

    def begin_key_cooldown(self, message: Message, rest_s: float) -> None:
        """Let nothing new of a message's key go for a while."""
        if message.ordering_key is not None:
            self.ordered_keys[message.ordering_key].cooldown_until = self._round.now + rest_s

    def end(self, message: Message) -> None:
        """End a message; with nothing in flight any more it is let go of, and the next of its key may go."""
        if not message.ended:
            message.ended = True
            self.open_count -= 1
            message.destination.queue.remove(message)
        if message.in_flight or self.messages.pop(message.id, None) is None or message.ordering_key is None:
            return
        key = self.ordered_keys[message.ordering_key]
        key.queue.remove(message)
        if key.queue:
            self.enqueue(key.queue[0])
        else:
            self._round.timers.schedule(key.cooldown_until, self._drop_key, message.ordering_key)

    def _drop_key(self, name: str) -> None:
        key = self.ordered_keys.get(name)
        if key is not None and not key.queue and key.cooldown_until <= self._round.now + TIME_EPSILON_S:
            del self.ordered_keys[name]

    def new_attempt(self, endpoint: Endpoint) -> BatchAttempt:
        """Return a call to an endpoint, without messages yet."""
        self._last_serial += 1
        return BatchAttempt(self._last_serial, endpoint, self._round.now, set())

    def cancel(self, attempt: BatchAttempt) -> None:
        """Ask for the end of a call, by each of its messages; its outcome is still to come."""
        attempt.cancelled = True
        for number in sorted(attempt.members):
            in_flight = self.messages[number].in_flight
            self._round.actions += [
                CancelAttempt(number, n) for n, other in in_flight.items() if other is attempt
            ]

    def start(self, attempt: BatchAttempt) -> None:
        """Note that a call is in flight."""
        attempt.endpoint.in_flight[attempt.serial] = self.in_flight[attempt.serial] = attempt
        attempt.endpoint.destination.slots += 1

    def release_slot(self, message: Message, attempt: BatchAttempt) -> bool:
        """Note that a message's part of a call is over; returns whether the call is, and frees its slot then."""
        attempt.members.discard(message.id)
        if attempt.members:
            return False
        del attempt.endpoint.in_flight[attempt.serial], self.in_flight[attempt.serial]
        destination = attempt.endpoint.destination
        destination.slots -= 1
        destination.last_used_at = self._round.now
        self.make_ready(destination)
        return True
