"""Configures the structured log of the command line and the agent; keeps the agent's latest events for clients."""

from __future__ import annotations

import logging
import sys
import threading
import time
from collections import deque
from typing import Any

import structlog

MAX_RETAINED_EVENTS = 2000
MIN_LEVEL = logging.INFO


def configure(as_json: bool | None) -> None:
    """Log to standard error, as JSON or as text for people; with None, as text only if it is a terminal."""
    if as_json is None:
        as_json = not sys.stderr.isatty()
    renderer: Any = structlog.processors.JSONRenderer() if as_json else structlog.dev.ConsoleRenderer()
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(MIN_LEVEL),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def log_unexpected_error(where: str, error: Exception, **fields: Any) -> None:
    """Log an exception that no code handles, on one line; `where` names the part that raised it."""
    structlog.get_logger().error("unexpected error", where=where, error=repr(error), **fields)


class EventLog:
    """Keeps the latest events, numbered from 1; thread-safe."""

    def __init__(self) -> None:
        """Start with no events."""
        self._lock = threading.Lock()
        self._events: deque[dict[str, Any]] = deque(maxlen=MAX_RETAINED_EVENTS)
        self._last_number = 0

    def add(self, event: str, level: str, fields: dict[str, Any]) -> None:
        """Append an event with the next number and the time; beyond MAX_RETAINED_EVENTS the oldest is dropped."""
        with self._lock:
            self._last_number += 1
            at = round(time.time(), 3)
            self._events.append(
                {"seq": self._last_number, "at": at, "event": event, "level": level, **fields}
            )

    def since(self, seq: int) -> list[dict[str, Any]]:
        """Return the events with a number above `seq`, oldest first."""
        with self._lock:
            return [event for event in self._events if event["seq"] > seq]
