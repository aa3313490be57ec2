"""Structured logs of tool and agent, and the agent's events, kept for those who ask later."""

from __future__ import annotations

import sys
import threading
import time
from collections import deque
from typing import Any

import structlog

KEEP = 2000  # events


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
        wrapper_class=structlog.make_filtering_bound_logger(20),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


class Events:
    """The latest events, numbered from 1; any thread."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.kept: deque[dict[str, Any]] = deque(maxlen=KEEP)
        self.last = 0

    def add(self, event: str, level: str, fields: dict[str, Any]) -> None:
        with self.lock:
            self.last += 1
            row = {"seq": self.last, "at": round(time.time(), 3), "event": event, "level": level, **fields}
            self.kept.append(row)

    def since(self, seq: int) -> list[dict[str, Any]]:
        """Those with a larger number."""
        with self.lock:
            return [e for e in self.kept if e["seq"] > seq]
