"""Executes the reducer's effects on the control channel: answers to its clients, and an ordered shutdown.

Fields of an answer that the reducer does not know, such as the journal's size, are filled in here.
"""

from __future__ import annotations

import os
import signal
from dataclasses import replace

from juniperward.control.protocol import Answer, Body, RedriveOutcomes, Status
from juniperward.control.server import ControlServer
from juniperward.forwarder.effect_executor import ControlOutput, EffectExecutor


class ControlChannelOutput(ControlOutput):
    """Answers clients of the control channel, and shuts the process down with SIGTERM."""

    def __init__(
        self, control: ControlServer, executor: EffectExecutor, name: str, started_at: float
    ) -> None:
        """Answer with `control`; status answers include `name` and `started_at` (the start's Unix time)."""
        self._control, self._executor = control, executor
        self._name, self._started_at = name, started_at

    def reply(self, client: int, answer: Answer) -> None:
        """Complete an answer and send it to a client of the control channel."""
        self._control.answer(client, replace(answer, body=self._complete(answer)))

    def _complete(self, answer: Answer) -> Body | None:
        """Return the answer's body with the process's name, the journal's size or the spool's outcomes filled in."""
        body = answer.body
        dead_letters = self._executor.dead_letters
        journal = self._executor.journal
        if isinstance(body, RedriveOutcomes) and dead_letters is not None:
            return dead_letters.redrive_outcomes(body)
        if isinstance(body, Status):
            return replace(
                body,
                name=self._name,
                started_at=self._started_at,
                journal_bytes=journal.file_bytes,
                journal_live_bytes=journal.live_bytes,
            )
        return body

    def begin_shutdown(self) -> None:
        """Send SIGTERM to this process; the main thread's handler then shuts it down."""
        os.kill(os.getpid(), signal.SIGTERM)
