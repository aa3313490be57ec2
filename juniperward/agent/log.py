"""Structured logs of tool and agent, and the agent's latest events, which clients may read later."""

from __future__ import annotations

import logging
import sys
import threading
import time
from collections import deque
from typing import Any

import structlog

MAX_EVENTS = 2000
LEAST_LEVEL = logging.INFO


def configure(as_json: bool | None) -> None:
    """Log to standard error: as JSON, for people, or by whether it is a terminal (None)."""
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
        wrapper_class=structlog.make_filtering_bound_logger(LEAST_LEVEL),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def log_unexpected_error(where: str, error: Exception, **fields: Any) -> None:
    """Log an error that no handler expects, in one line."""
    structlog.get_logger().error("unexpected error", where=where, error=repr(error), **fields)


class EventLog:
    """The latest events, numbered from 1; used by any thread."""

    def __init__(self) -> None:
        """Begin with none."""
        self._lock = threading.Lock()
        self._events: deque[dict[str, Any]] = deque(maxlen=MAX_EVENTS)
        self._last_number = 0

    def add(self, event: str, level: str, fields: dict[str, Any]) -> None:
        """Number an event and store it; the oldest is dropped where there are too many."""
        with self._lock:
            self._last_number += 1
            at = round(time.time(), 3)
            self._events.append(
                {"seq": self._last_number, "at": at, "event": event, "level": level, **fields}
            )

    def since(self, seq: int) -> list[dict[str, Any]]:
        """Return those with a larger number."""
        with self._lock:
            return [event for event in self._events if event["seq"] > seq]
