"""The agent's dead-letter service: the store, the redriver's thread, and the requests of clients."""

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
SWEEP_INTERVAL_S = 60.0
ERROR_RETRY_DELAY_S = 1.0

# Takes the event, the level and the fields.
LogFunction = Callable[[str, str, dict[str, Any]], None]


def _log_nothing(event: str, level: str, fields: dict[str, Any]) -> None:
    """Discard a log event."""


class DeadLetterService:
    """Runs the redriver on a thread of its own, and answers `POST /v1/kept`.

    Attributes:
        store: The dead-letter store in the agent's folder.
        fleet: The running forwarders, as the redriver uses them.
        redriver: Collects spooled messages and redrives them, in rounds.
        latest_round: What the latest completed round did.
        latest_error: Why the latest round failed; empty if it succeeded.
        stop_requested: Set by the agent to end the redriver's thread.

    """

    def __init__(
        self,
        folder: Path,
        settings: RedriveSettings,
        names: Callable[[], list[str]],
        ready: ReadyInstances,
        log: LogFunction = _log_nothing,
    ) -> None:
        """Open the store.

        Args:
            folder: The agent's folder.
            settings: The settings of the redriver.
            names: Returns the names of the fleet's instances.
            ready: Returns the instances that accept messages now.
            log: Writes a log event.

        Raises:
            StoreError: if the store cannot be opened.

        """
        self.store = DeadLetterStore(folder / "kept.db")
        self.fleet = RunningFleet(folder, names, ready)
        self.redriver = Redriver(self.store, self.fleet, settings)
        self.latest_round = Round()
        self.latest_error = ""
        self.stop_requested = threading.Event()
        self._log = log
        self._queries = DeadLetterQueries(self.store, self.fleet, self.redriver, self._progress)
        self._next_sweep_at = 0.0

    def start(self) -> None:
        """Start the redriver's thread."""
        threading.Thread(target=self._run, name="redriver", daemon=True).start()

    def configure(self, settings: RedriveSettings) -> None:
        """Replace the settings of the redriver from its next round on."""
        self.redriver.settings = settings

    def answer(self, options: dict[str, Any], user: str) -> ApiResponse:
        """Return the response to one request; `user` is the name of the client's user."""
        return self._queries.answer(options, user)

    def _progress(self) -> dict[str, Any]:
        return {
            "trouble": self.latest_error,
            "lost_memory": self.latest_round.unresolved,
            "damaged_lines": self.fleet.damaged_lines,
        }

    def _run(self) -> None:
        while not self.stop_requested.wait(ROUND_INTERVAL_S):
            try:
                self._round()
            except Exception as error:
                # For example a full disk or a damaged file. Leases are retained; the next round tries again.
                if str(error) != self.latest_error:
                    why = f"{type(error).__name__}: {error}"
                    self._log("redrive stalled", "error", {"why": why})
                self.latest_error = str(error)
                self.stop_requested.wait(ERROR_RETRY_DELAY_S)

    def _round(self) -> None:
        self.latest_round = self.redriver.round()
        if self.latest_round.stored:
            self._log("dead letters stored", "info", {"messages": self.latest_round.stored})
        if time.monotonic() >= self._next_sweep_at:
            self._next_sweep_at = time.monotonic() + SWEEP_INTERVAL_S
            if dropped := self.redriver.sweep():
                self._log("dead letters dropped", "warning", {"messages": dropped})
        if self.latest_error:
            self._log("redrive resumed", "info", {})
        self.latest_error = ""
