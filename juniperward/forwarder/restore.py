"""Restores the messages of the journal at the start, once discovery has sent its list or is known to be late.

The list of the configuration may be old: an address in it may belong to another endpoint by now, also to one of
another destination. Messages wait for the first list of discovery, but not for long, as discovery may be down.
"""

from __future__ import annotations

import time

from juniperward.forwarder.config import Config
from juniperward.forwarder.events import EndpointsUpdated, JournalReplayed, WatchLost
from juniperward.forwarder.loop import Loop

# How long restored messages wait for an answer of discovery, and then for a list: an answer without changes has none.
WATCH_TIMEOUT_S = 0.25
LIST_TIMEOUT_S = 0.02
POLL_INTERVAL_S = 0.005


def restore(config: Config, loop: Loop) -> int:
    """Apply the configured endpoint list and the journal's messages; return the number of messages."""
    known = config.known_endpoints
    loop.executor.discovery.start()
    loop.round([EndpointsUpdated(known.version, known.full, known.endpoints, cached=True)])
    restored = loop.executor.journal.restored()
    if restored:
        _await_list(loop)
    loop.round([JournalReplayed(restored)])
    return len(restored)


def _await_list(loop: Loop) -> None:
    """Process events until discovery has sent a list, its watch was lost, or a time limit is reached."""
    wait_until = time.monotonic() + WATCH_TIMEOUT_S
    is_answered = False
    while time.monotonic() < wait_until:
        events = loop.queue.wait(POLL_INTERVAL_S)
        loop.round(events)
        if any(isinstance(event, EndpointsUpdated | WatchLost) for event in events):
            return
        if not is_answered and loop.executor.discovery.watcher.is_answered:
            is_answered = True
            wait_until = min(wait_until, time.monotonic() + LIST_TIMEOUT_S)
