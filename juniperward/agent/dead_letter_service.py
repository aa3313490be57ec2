"""Dead letters in the agent: the store, the redriver's thread, and the answers to clients' requests."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from juniperward.agent.dead_letter_queries import DeadLetterQueries
from juniperward.agent.replies import ApiResponse
from juniperward.agent.running_fleet import ReadyInstances, RunningFleet
from juniperward.dead_letters.redrive_settings import RedriveSettings
from juniperward.dead_letters.redriver import Redriver, Round
from juniperward.dead_letters.store import DeadLetterStore

ROUND_INTERVAL_S = 0.25
SWEEP_INTERVAL_S = 60.0  # between looks at what is too old
ERROR_PAUSE_S = 1.0

LogFunction = Callable[[str, str, dict[str, Any]], None]  # event, level, fields


def _log_nothing(event: str, level: str, fields: dict[str, Any]) -> None:
    """Stand for the log of an agent that has none."""


class DeadLetterService:
    """The store, the redriver's thread, and the answers to `POST /v1/kept`."""

    def __init__(
        self,
        folder: Path,
        settings: RedriveSettings,
        names: Callable[[], list[str]],
        ready: ReadyInstances,
        log: LogFunction = _log_nothing,
    ) -> None:
        """Open the store in the agent's folder; raises StoreError."""
        self.store = DeadLetterStore(folder / "kept.db")
        self.fleet = RunningFleet(folder, names, ready)
        self.redriver = Redriver(self.store, self.fleet, settings)
        self.latest = Round()
        self.fault = ""  # why the latest round failed
        self.ended = threading.Event()
        self._log = log
        self._queries = DeadLetterQueries(self.store, self.fleet, self.redriver, self._progress)
        self._sweep_at = 0.0

    def start(self) -> None:
        """Begin rounds."""
        threading.Thread(target=self._run, name="redriver", daemon=True).start()

    def configure(self, settings: RedriveSettings) -> None:
        """Use new settings, from the next round on."""
        self.redriver.settings = settings

    def answer(self, options: dict[str, Any], who: str) -> ApiResponse:
        """Answer one question or order; `who` is the user at the other end."""
        return self._queries.answer(options, who)

    def _progress(self) -> dict[str, Any]:
        return {
            "trouble": self.fault,
            "lost_memory": self.latest.unresolved,
            "damaged_lines": self.fleet.damaged_lines,
        }

    def _run(self) -> None:
        while not self.ended.wait(ROUND_INTERVAL_S):
            try:
                self._round()
            except Exception as error:
                # A full disk, a damaged file: nothing is begun, claims stay, the next round tries again.
                if str(error) != self.fault:
                    why = f"{type(error).__name__}: {error}"
                    self._log("redrive stalled", "error", {"why": why})
                self.fault = str(error)
                self.ended.wait(ERROR_PAUSE_S)

    def _round(self) -> None:
        self.latest = self.redriver.round()
        if self.latest.stored:
            self._log("dead letters stored", "info", {"messages": self.latest.stored})
        if time.monotonic() >= self._sweep_at:
            self._sweep_at = time.monotonic() + SWEEP_INTERVAL_S
            if dropped := self.redriver.sweep():
                self._log("dead letters dropped", "warning", {"messages": dropped})
        if self.fault:
            self._log("redrive resumed", "info", {})
        self.fault = ""
