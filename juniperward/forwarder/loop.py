"""One thread that turns what happens into effects: queue to reducer to effects, and the timers."""

from __future__ import annotations

import heapq
import queue
import time
from collections.abc import Callable
from dataclasses import replace

from juniperward.control.protocol import Answer, Fates, Status
from juniperward.forwarder.counters import count, log, trouble
from juniperward.forwarder.journal import Journal, JournalFull
from juniperward.forwarder.keeping import Keeper
from juniperward.forwarder.messages import (
    AcceptMessage,
    Append,
    AttemptCancelled,
    CancelAttempt,
    CloseConnections,
    CloseIdle,
    Due,
    Effect,
    EndProcess,
    Event,
    ForgetWorker,
    HoldUntil,
    Keep,
    LogLine,
    MessageAccepted,
    MoveTo,
    Notify,
    Record,
    Remember,
    Reply,
    SendControlReply,
    SetDraining,
    StartAttempt,
    StartProbe,
    Wake,
    WatchFrom,
    WithdrawFromBatch,
    WithdrawResult,
)
from juniperward.forwarder.reducer import Reducer
from juniperward.forwarder.registry import Registry
from juniperward.forwarder.server import Server
from juniperward.forwarder.trace import Trace
from juniperward.forwarder.workers import Workers

MAX_EVENTS_PER_ROUND = 500  # events of one round at most
IDLE_SWEEP_INTERVAL_S = 1.0  # seconds between looks at idle connections
STOP_CHECK_INTERVAL_S = 0.05  # seconds between looks at whether the process may end
JOURNAL_FULL_RETRY_AFTER_S = 1.0  # after it a client may come again that the journal had no room for


class Loop:
    """Carries out the effects that the reducer asks for, in their order, on one thread."""

    def __init__(self, reducer: Reducer, journal: Journal) -> None:
        self.reducer, self.journal = reducer, journal
        self.events: queue.SimpleQueue[Event] = queue.SimpleQueue()
        self.follow: list[Event] = []
        self.timers: list[tuple[float, int, Due]] = []
        self.serial = 0
        self.sweep_at = 0.0
        self.server: Server
        self.workers: Workers
        self.registry: Registry
        self.tell: Callable[[int, Answer], None] = lambda client, answer: None  # of the control channel
        self.end_process: Callable[[], None] = lambda: None
        self.name, self.started = "", 0.0
        self.keeper: Keeper | None = None
        self.trace: Trace | None = None

    def post(self, event: Event) -> None:
        """Any thread may call this, and a signal's handler."""
        self.events.put(event)

    def round(self, events: list[Event]) -> None:
        """Reduce events and carry out what follows, until nothing more follows at once."""
        while events:
            now = time.monotonic()
            if self.trace is not None:
                self.trace.events(now, events)
            try:
                effects = self.reducer.reduce(now, events)
            except Exception as error:
                if __debug__:
                    raise
                trouble("reducer", error)
                effects = self.reducer.effects
            if self.trace is not None:
                self.trace.effects(now, effects)
            self.follow = []
            for effect in effects:
                try:
                    self._perform(effect)
                except Exception as error:
                    if __debug__:
                        raise
                    trouble(type(effect).__name__, error)
            events = self.follow

    def run(self, stopped: Callable[[], bool]) -> None:
        """Go on until the reducer has finished, or `stopped` says so."""
        while not stopped() and not self.reducer.finished(time.monotonic(), self.server.alone()):
            events = self._wait(
                STOP_CHECK_INTERVAL_S if self.reducer.state.stop_at is not None else IDLE_SWEEP_INTERVAL_S
            )
            now = time.monotonic()
            while self.timers and self.timers[0][0] <= now:
                events.append(heapq.heappop(self.timers)[2])
            self.round(events)
            if now >= self.sweep_at:
                self.sweep_at = now + IDLE_SWEEP_INTERVAL_S
                self.workers.sweep(now)
        # What has come by now is journalled and answered; what threads find out later, the next life finds out.
        self.workers.end()
        self.round(self._wait(0.0))

    def _wait(self, most: float) -> list[Event]:
        now = time.monotonic()
        until = min(self.timers[0][0] if self.timers else now + most, now + most)
        events: list[Event] = []
        try:
            events.append(self.events.get(timeout=max(until - now, 0.0)))
            while len(events) < MAX_EVENTS_PER_ROUND:
                events.append(self.events.get_nowait())
        except queue.Empty:
            pass
        return events

    def _perform(self, effect: Effect) -> None:
        match effect:
            case AcceptMessage(client=client, message=message, record=record):
                self.follow.append(MessageAccepted(message, self._accept_message(client, record)))
            case Reply(client=client, status=status, retry_after=wait):
                self.server.answer(client, status, wait)
            case Append(record=record):
                self._note(record)
            case StartAttempt() | StartProbe():
                self.workers.start_attempt(effect)
            case CancelAttempt(attempt_number=number):
                self.follow.append(AttemptCancelled(number, self.workers.cancel_attempt(number)))
            case WithdrawFromBatch(attempt_number=number, message=message):
                self.follow.append(WithdrawResult(number, message, self.workers.withdraw(number, message)))
            case CloseIdle(worker=worker):
                self.workers.close_idle(worker)
            case SetDraining(worker=worker, draining=draining):
                self.workers.set_draining(worker, draining)
            case HoldUntil(route=route, until=until):
                self.workers.hold_until(route, until)
            case ForgetWorker(worker=worker):
                self.workers.forget(worker)
            case WatchFrom(version=version, epoch=epoch):
                self.registry.watch(version, epoch)
            case MoveTo(registry=address, epoch=epoch):
                self.registry.move(address, epoch)
            case Notify(notifications=notifications):
                self.registry.notify(notifications)
            case Wake(at=at, due=due):
                self.serial += 1
                heapq.heappush(self.timers, (at, self.serial, due))
            case LogLine(text=text):
                log("module", text)
            case SendControlReply(client=client, answer=answer):
                self.tell(client, self._complete(answer))
            case Keep():
                if self.keeper is not None:
                    self.keeper.keep(effect)
            case Remember():
                if self.keeper is not None:
                    self.keeper.remember(effect)
            case CloseConnections(closing=closing):
                self.server.close_connections(closing)
            case EndProcess():
                self.end_process()

    def _complete(self, answer: Answer) -> Answer:
        """Put in what the reducer does not know: names, and how large the journal is."""
        if isinstance(answer.body, Fates) and self.keeper is not None:
            return replace(answer, body=self.keeper.fates(answer.body))
        if not isinstance(answer.body, Status):
            return answer
        j = self.journal
        body = replace(
            answer.body, name=self.name, started=self.started, journal_bytes=j.size, journal_live=j.live_bytes
        )
        return replace(answer, body=body)

    def _accept_message(self, client: int, record: Record) -> bool:
        """The journal first, then the client: what a client was told outlasts this process."""
        try:
            self.journal.append(record)
        except JournalFull:
            count("overload_replies_disk")
            log("journal", "no room for another message; clients are turned away")
        except OSError as error:
            count("journal_failures")
            log("journal", f"cannot write: {error}; clients are turned away")
        else:
            return self.server.answer(client, 202)
        self.server.answer(client, 503, JOURNAL_FULL_RETRY_AFTER_S)
        return False

    def _note(self, record: Record) -> None:
        try:
            self.journal.append(record)
        except OSError as error:
            count("journal_failures")
            log("journal", f"cannot write: {error}")
