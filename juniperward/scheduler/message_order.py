"""The order of messages: by rank in the queue of a destination, by admission within an ordering key."""

from __future__ import annotations

import math

from juniperward.scheduler.queues import Rank
from juniperward.scheduler.records import Message, OrderedKey
from juniperward.scheduler.round import Round
from juniperward.scheduler.timers import TIME_EPSILON_S


def rank(message: Message) -> Rank:
    """Return the rank of a message in its queue.

    Messages restored without an attempt come first, then those of more weight, then older ones.
    """
    weight = message.weight
    if message.late:
        weight *= message.message_class.late_weight
    attempted = not message.never_attempted or message.attempts > 0
    return Rank(attempted, -weight, message.sequence)


class KeyOrder:
    """The messages of each ordering key, and when the next one of a key becomes eligible."""

    def __init__(self, round_: Round) -> None:
        """Create an order without keys."""
        self._round = round_
        self._keys: dict[str, OrderedKey] = {}

    def add(self, message: Message) -> None:
        """Append a message to those of its ordering key, if it has one."""
        if message.ordering_key is not None:
            self._keys.setdefault(message.ordering_key, OrderedKey()).queue.append(message)

    def eligible_at(self, message: Message) -> float:
        """Return when a message may be sent; infinity while an earlier one of its ordering key is unfinished.

        The cooldown of a key delays only first attempts of its messages.
        """
        if message.ordering_key is None:
            return -math.inf
        key = self._keys[message.ordering_key]
        if key.queue[0] is not message:
            return math.inf
        return key.cooldown_until if not message.attempts else -math.inf

    def begin_cooldown(self, message: Message, cooldown_s: float) -> None:
        """Delay the next message of the ordering key, as an attempt of this one may still be running."""
        if message.ordering_key is not None:
            self._keys[message.ordering_key].cooldown_until = self._round.now + cooldown_s

    def remove(self, message: Message) -> Message | None:
        """Remove a finished message; return the next one of its key, None if there is none."""
        if message.ordering_key is None:
            return None
        key = self._keys[message.ordering_key]
        key.queue.remove(message)
        if key.queue:
            return key.queue[0]
        self._round.timers.schedule(key.cooldown_until, self._remove_if_unused, message.ordering_key)
        return None

    def _remove_if_unused(self, name: str) -> None:
        key = self._keys.get(name)
        if key is not None and not key.queue and key.cooldown_until <= self._round.now + TIME_EPSILON_S:
            del self._keys[name]
