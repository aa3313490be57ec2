"""The forwarder's output to its control channel: answers to requests, and the end of the process by an order.

Called by `effect_executor.py`; an answer gets the fields that only the process knows, not the reducer.
"""

from __future__ import annotations

import os
import signal
from dataclasses import replace

from juniperward.control.protocol import Answer, Body, RedriveOutcomes, Status
from juniperward.control.server import ControlServer
from juniperward.forwarder.effect_executor import ControlOutput, EffectExecutor


class ControlChannelOutput(ControlOutput):
    """Answers on the control channel, and shuts the process down as SIGTERM does."""

    def __init__(
        self, control: ControlServer, executor: EffectExecutor, name: str, started_at: float
    ) -> None:
        """Answer by a channel; `name` and `started_at` (Unix time) are those of the process."""
        self._control, self._executor = control, executor
        self._name, self._started_at = name, started_at

    def reply(self, client: int, answer: Answer) -> None:
        """Answer a client of the channel."""
        self._control.answer(client, replace(answer, body=self._complete(answer)))

    def _complete(self, answer: Answer) -> Body | None:
        """Return the body with what the reducer does not know: the name, the journal's size, the spool's outcomes."""
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
        """Send SIGTERM to this process, for the main thread's handler."""
        os.kill(os.getpid(), signal.SIGTERM)
