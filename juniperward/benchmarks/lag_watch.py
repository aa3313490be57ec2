"""Measures how late the threads of this process are, so that a verdict on its records can allow for it."""

from __future__ import annotations

import threading

from juniperward.fakes.records import now

LAG_INTERVAL_S = 0.01


class LagWatch:
    """Measures by how much the threads of this process are late, until `close`."""

    def __init__(self) -> None:
        """Start to measure."""
        self.longest_s = 0.0
        self._closed = threading.Event()
        threading.Thread(target=self._run, daemon=True).start()

    def close(self) -> None:
        """Stop measuring."""
        self._closed.set()

    def _run(self) -> None:
        due_at = now() + LAG_INTERVAL_S
        while not self._closed.wait(LAG_INTERVAL_S):
            self.longest_s = max(self.longest_s, now() - due_at)
            due_at = now() + LAG_INTERVAL_S
