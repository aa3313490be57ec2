"""The main loop: passes events from the queue to the reducer and its effects to the executor, on one thread.

Events that an effect returns are reduced in the same round.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from juniperward.forwarder.effect_executor import EffectExecutor
from juniperward.forwarder.effects import Effect
from juniperward.forwarder.event_queue import EventQueue
from juniperward.forwarder.events import Event
from juniperward.forwarder.reducer import Reducer
from juniperward.forwarder.telemetry import report_fault
from juniperward.forwarder.trace import Trace

EXPIRY_INTERVAL_S = 1.0
EXIT_CHECK_INTERVAL_S = 0.05
# The threads of cancelled calls have this time to read what has arrived.
LAST_ANSWERS_TIMEOUT_S = 0.1


class Loop:
    """Runs rounds on the thread that calls `run`."""

    def __init__(self, reducer: Reducer, executor: EffectExecutor, queue: EventQueue) -> None:
        """Reduce the events of `queue` by `reducer`, and perform the effects by `executor`."""
        self.reducer = reducer
        self.executor = executor
        self.queue = queue
        self.trace: Trace | None = None
        self._remove_expired_at = 0.0

    def round(self, events: list[Event]) -> None:
        """Reduce events and perform the effects, until no effect returns another event."""
        while events:
            now = time.monotonic()
            if self.trace is not None:
                self.trace.write_events(now, events)
            effects = self._reduce(now, events)
            if self.trace is not None:
                self.trace.write_effects(now, effects)
            events = [event for effect in effects if (event := self._perform(effect)) is not None]

    def _reduce(self, now: float, events: list[Event]) -> list[Effect]:
        try:
            return self.reducer.reduce(now, events)
        except Exception as error:
            if __debug__:
                raise
            report_fault("reducer", error)
            return self.reducer.effects

    def _perform(self, effect: Effect) -> Event | None:
        """Perform an effect and return the event that follows; an error does not stop the other effects."""
        try:
            return self.executor.perform(effect)
        except Exception as error:
            if __debug__:
                raise
            report_fault(type(effect).__name__, error)
            return None

    def run(self, stopped: Callable[[], bool]) -> None:
        """Run rounds until the reducer allows the process to exit, or `stopped` returns true."""
        executor, lifecycle = self.executor, self.reducer.state.lifecycle
        while not stopped() and not self.reducer.may_exit(time.monotonic(), executor.server.has_finished()):
            stopping = lifecycle.exit_by is not None
            events = self.queue.wait(EXIT_CHECK_INTERVAL_S if stopping else EXPIRY_INTERVAL_S)
            now = time.monotonic()
            self.round(events + self.queue.expired_timers(now))
            if now >= self._remove_expired_at:
                self._remove_expired_at = now + EXPIRY_INTERVAL_S
                executor.endpoint_client.remove_expired(now)
        self._end_calls()

    def _end_calls(self) -> None:
        """Cancel the calls in flight, and process what endpoints have answered until then.

        Events posted so far are processed, too; the next process restores from the journal what is left.
        """
        endpoint_client = self.executor.endpoint_client
        endpoint_client.stop_sending()
        endpoint_client.cancel_written()
        deadline = time.monotonic() + LAST_ANSWERS_TIMEOUT_S
        self.round(self.queue.wait(0.0))
        while self.reducer.state.attempts_in_flight and (wait_s := deadline - time.monotonic()) > 0:
            self.round(self.queue.wait(wait_s))
