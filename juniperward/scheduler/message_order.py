"""In which order messages go: by rank in a destination's queue, by admission within an ordering key."""

from __future__ import annotations

import math

from juniperward.scheduler.queues import Rank
from juniperward.scheduler.records import Message, OrderedKey
from juniperward.scheduler.round import Round
from juniperward.scheduler.timers import TIME_EPSILON_S


def rank(message: Message) -> Rank:
    """Return the place in a queue: first attempts that a restart delayed, then by weight, then by age."""
    weight = message.weight
    if message.late:
        weight *= message.message_class.late_weight
    attempted = not message.never_attempted or message.attempts > 0
    return Rank(attempted, -weight, message.sequence)


class KeyOrder:
    """The messages of each ordering key, and when the next of a key may go; the backlog has one."""

    def __init__(self, round_: Round) -> None:
        """Begin without keys."""
        self._round = round_
        self._keys: dict[str, OrderedKey] = {}

    def add(self, message: Message) -> None:
        """Add a message behind the others of its key, if it has one."""
        if message.ordering_key is not None:
            self._keys.setdefault(message.ordering_key, OrderedKey()).queue.append(message)

    def eligible_at(self, message: Message) -> float:
        """Return when a message may go: infinity while an earlier one of its key is not over.

        A cooldown delays first attempts only; messages of other keys and without a key go meanwhile.
        """
        if message.ordering_key is None:
            return -math.inf
        key = self._keys[message.ordering_key]
        if key.queue[0] is not message:
            return math.inf
        return key.cooldown_until if not message.attempts else -math.inf

    def begin_cooldown(self, message: Message, cooldown_s: float) -> None:
        """Let no next message of the key go for a while: an attempt may still run (rule 5)."""
        if message.ordering_key is not None:
            self._keys[message.ordering_key].cooldown_until = self._round.now + cooldown_s

    def remove(self, message: Message) -> Message | None:
        """Remove a message that is over; returns the next of its key."""
        if message.ordering_key is None:
            return None
        key = self._keys[message.ordering_key]
        key.queue.remove(message)
        if key.queue:
            return key.queue[0]
        self._round.timers.schedule(key.cooldown_until, self._drop_unused, message.ordering_key)
        return None

    def _drop_unused(self, name: str) -> None:
        key = self._keys.get(name)
        if key is not None and not key.queue and key.cooldown_until <= self._round.now + TIME_EPSILON_S:
            del self._keys[name]
