"""All mutable state of the forwarder, and the one function that changes it.

`reduce(now, events)` takes in what happened and returns what to do. It knows no clock, no thread and no
I/O. Which message goes where and when is decided by the scheduler; the reducer keeps what the
sockets need beside it: texts for the module's numbers, what is journalled, and which attempt carries
which messages.
"""

from __future__ import annotations

from collections.abc import Iterable

from juniperward.control.protocol import Answer, FateRow, Fates, Verb
from juniperward.forwarder import introspection
from juniperward.forwarder.batch import item_bytes
from juniperward.forwarder.counters import count, holds, trouble
from juniperward.forwarder.endpoint_list import EndpointList
from juniperward.forwarder.messages import (
    Accepted,
    AcceptMessage,
    Answered,
    Append,
    AttemptCancelled,
    AttemptFinished,
    BatchItem,
    Call,
    CancelAttempt,
    CancelDue,
    CloseConnections,
    CloseIdle,
    Completed,
    ControlRequested,
    Effect,
    End,
    EndpointsUpdated,
    EndProcess,
    Event,
    HoldUntil,
    Keep,
    LogLine,
    MessageAccepted,
    MessageReceived,
    ModuleTimer,
    Moved,
    NotificationAcknowledged,
    Notify,
    OutcomeDecided,
    OutcomeNotification,
    ProbeFinished,
    Progress,
    Remember,
    Replayed,
    Reply,
    Restored,
    Route,
    SendControlReply,
    StartAttempt,
    StartProbe,
    Stop,
    TimeUp,
    Tried,
    Wake,
    WatchLost,
    WithdrawFromBatch,
    WithdrawResult,
    Worker,
)
from juniperward.forwarder.outcome_words import OUTCOME_WORDS
from juniperward.forwarder.state import Attempt, Held, State
from juniperward.kept.decisions import custody
from juniperward.kept.spool import PREFIX
from juniperward.scheduler import DeliveryScheduler
from juniperward.scheduler import actions as scheduler_actions
from juniperward.scheduler import events as scheduler_events
from juniperward.scheduler import settings as scheduler_settings
from juniperward.scheduler.tuning import MINIMUM_ATTEMPT_SHARE

MAX_COMPLETED_IDS = 8192  # ids of messages that are over: 1.5 MiB
FENCE_DURATION_S = 120.0  # seconds for which a resend that was told unknown is turned away
ADMISSION_RETRY_AFTER_S = 1.0  # seconds after which a client that was turned away at the door may come again
# Seconds, and part of a message's time, by which its end comes before that time is up: the notice has to arrive, and
# the clock of a process that has just begun was seen to run 0.2 to 1.1 s ahead and then to wait for the others'.
# Of a short time it is less than the three tenths in which a message may be given up (MINIMUM_ATTEMPT_SHARE).
NOTIFICATION_MARGIN_S, NOTIFICATION_MARGIN_SHARE = 0.3, 0.2
PROBE_TIMEOUT_PER_DIAL_TIMEOUT = 1.5  # a dial, then an answer that is work of milliseconds at a live worker
MODULE_RETRY_AFTER_S = 0.05  # seconds after which the module is asked again where it failed
# Seconds after a restart in which no notification is overdue (1.5 after being ready), less what one may take.
NOTIFICATION_GRACE_AFTER_RESTART_S = 1.5 - NOTIFICATION_MARGIN_S
LAST_ATTEMPT_BEFORE_EXIT_S = 0.9  # seconds before the process must end after which no attempt is started


def _notification_margin(call: Call) -> float:
    return min(NOTIFICATION_MARGIN_S, NOTIFICATION_MARGIN_SHARE * call.time_left)


def _early(held: Held) -> float:
    """Until when it is too early to end a message undelivered; its time is that which its client gave it."""
    return held.due - (1 - MINIMUM_ATTEMPT_SHARE) * held.call.time_left


class Reducer(EndpointList):
    """Drives the module; the only place where the forwarder's state changes."""

    def __init__(
        self, settings: scheduler_settings.SchedulerSettings, seed: int, keeps: bool = False, kept: frozenset[str] = frozenset()
    ) -> None:
        self.settings = settings
        self.keeps = keeps  # what is given up is kept
        self.kept = kept  # messages that an earlier life kept, and may not have written down as over
        self.scheduler = DeliveryScheduler(settings, seed)
        self.state = State()
        self.effects: list[Effect] = []
        self.news: list[scheduler_events.Event] = []

    def reduce(self, now: float, events: Iterable[Event]) -> list[Effect]:
        """Take in all events of a round; the effects are to be carried out in their order."""
        self.effects, self.news = [], []
        for event in events:
            try:
                self._take(now, event)
            except Exception as error:  # one event must not take the others of its round along
                if __debug__:
                    raise
                trouble(type(event).__name__, error)
        if self.news:
            self._decide(now)
        return self.effects

    def finished(self, now: float, alone: bool = True) -> bool:
        """Whether a forwarder that was told to stop has nothing left to bring to an end, and no client (`alone`)."""
        state = self.state
        if state.stop_at is None:
            return False
        waiting = bool(state.held) and now <= state.stop_at - LAST_ATTEMPT_BEFORE_EXIT_S
        busy = (
            state.in_flight
            or state.unacknowledged
            or state.offered
            or waiting
            or now < state.open_until
            or not alone
        )
        return now >= state.stop_at or not busy

    def _take(self, now: float, event: Event) -> None:
        match event:
            case MessageReceived():
                self._message_received(now, event)
            case MessageAccepted(message=number, told=told):
                self._message_accepted(now, number, told)
            case Answered():
                self._answered(now, event)
            case ModuleTimer(token=token):
                self.news.append(scheduler_events.TimerFired(token))
            case TimeUp(attempt_number=number, message=message):
                self._time_up(number, message)
            case WithdrawResult():
                self._withdraw_result(now, event)
            case CancelDue(attempt_number=number):
                self._cancel_attempt(number)
            case AttemptCancelled():
                self._attempt_cancelled(now, event)
            case ProbeFinished():
                self._probe_finished(now, event)
            case EndpointsUpdated():
                if event.epoch == self.state.epoch or event.known:
                    self._endpoints_updated(now, event)
                if event.known:
                    # Where lists are pushed they come only over a watch, whatever the module asks for.
                    self._watch()
            case WatchLost(epoch=epoch, lived=lived):
                if epoch == self.state.epoch:
                    count("watches_lost")
                    self.state.watching = False
                    if lived:  # the module asks again soon: it is no call that failed, one after another
                        self.news.append(scheduler_events.EndpointListUpdated(scheduler_events.ListScope.DELTA))
                    self.news.append(scheduler_events.EndpointListUpdated(scheduler_events.ListScope.FAILED))
            case Moved(registry=address):
                self._move(address)
            case NotificationAcknowledged(ids=ids):
                for name in ids:
                    if self.state.unacknowledged.pop(name, None) is not None:
                        self.effects.append(Append(Completed(name)))
            case Replayed(messages=messages):
                for restored in messages:
                    self._restore(now, restored)
            case Stop(open_until=open_until, until=until):
                if self.state.stop_at is None:
                    self.state.open_until, self.state.stop_at = open_until, until
            case ControlRequested():
                self._control_requested(now, event)

    # --- the control channel --------------------------------------------------------------------------

    def _control_requested(self, now: float, event: ControlRequested) -> None:
        """Look, or take an order; an order that changes nothing is no error: it may have been sent twice."""
        state = self.state
        verb = event.request.verb
        if (
            verb in (Verb.DRAIN, Verb.RESUME)
            and state.stop_at is None
            and state.draining != (verb is Verb.DRAIN)
        ):
            state.draining = verb is Verb.DRAIN
            count("drains" if state.draining else "resumes")
            self.effects += [CloseConnections(state.draining), LogLine(f"control: {verb.value}")]
        elif verb is Verb.STOP and state.stop_at is None:
            self.effects.append(EndProcess())
        if verb is Verb.FATE:
            rows = tuple(FateRow(x, "held" if x in state.numbers else "unknown") for x in event.request.ids)
            # What its sender had under way when it asked has come, or has ended with its connection, by then.
            state.fenced = {x: at for x, at in state.fenced.items() if now - at < FENCE_DURATION_S}
            state.fenced.update((r.id, now) for r in rows if r.end == "unknown")
            self.effects.append(SendControlReply(event.client, Answer(event.request.id, Fates(0.0, rows))))
            return
        body = introspection.answer(verb, self.state, self.settings, self.scheduler, now)
        self.effects.append(SendControlReply(event.client, Answer(event.request.id, body)))

    # --- messages coming in ------------------------------------------------------------------------

    def _message_received(self, now: float, event: MessageReceived) -> None:
        state = self.state
        self._forget_ended(now)
        if (
            event.call.id in state.numbers
            or event.call.id in state.unacknowledged
            or event.call.id in state.ended
        ):
            # A client whose connection crossed with our close sends the same once more: it is ours already, or was.
            count("handed_in_twice")
            self.effects.append(Reply(event.client, 202))
            return
        if event.call.id in state.fenced:
            count("overload_replies_fenced")
            self.effects.append(Reply(event.client, 503, ADMISSION_RETRY_AFTER_S))
            return
        if event.call.destination not in state.destinations:
            # The list is seconds old: one that it will name shortly must not be final for its client.
            count("overload_replies_unknown")
            self.effects.append(Reply(event.client, 503, ADMISSION_RETRY_AFTER_S))
            return
        left = event.at + event.call.time_left - now
        leaving = state.stop_at is not None or state.draining
        if leaving or left <= 0 or len(state.held) + len(state.offered) >= self.settings.max_open:
            count("overload_replies_stopping" if leaving else "overload_replies_full")
            self.effects.append(Reply(event.client, 503, ADMISSION_RETRY_AFTER_S))
            return
        state.last_message += 1
        due = event.at + event.call.time_left
        held = Held(state.last_message, event.call, due - _notification_margin(event.call), now, due)
        if event.call.ran is not None:
            held.ran_at, held.attempts = event.at - event.call.ran, 1
        state.offered[held.number] = held
        state.numbers[event.call.id] = held.number
        self.effects.append(
            AcceptMessage(event.client, held.number, Accepted(event.call, held.expires, held.ran_at))
        )

    def _message_accepted(self, now: float, number: int, told: bool) -> None:
        state = self.state
        held = state.offered.pop(number)
        if not told:
            del state.numbers[held.call.id]
            count("withdrawn")
            self.effects.append(Append(Completed(held.call.id)))
            return
        count("taken_on")
        state.held[number] = held
        holds(len(state.held) <= self.settings.max_open, "no_more_held_than_max_open")
        c = held.call
        left = max(held.expires - now, 0.0)
        history = (scheduler_events.PastAttempt(0, held.ran_at),) if held.ran_at is not None else ()
        self.news.append(
            scheduler_events.MessageAdmitted(
                number, c.cls, c.destination, left, c.tenant, c.key, history=history, attempt_for_s=_early(held) - now,
                batch_bytes=self._batch_bytes(c),
            )
        )

    def _batch_bytes(self, message: Call) -> int:
        """What the module has to know of a message's size; nothing where no call carries several."""
        return item_bytes(message) if any(kind.batch_size > 1 for kind in self.settings.kinds) else 0

    def _restore(self, now: float, r: Restored) -> None:
        state = self.state
        count("restored")
        if r.notification is not None:
            self._send_notification(r.notification)
            return
        state.last_message += 1
        # Right after a restart its notice may come later, so that all of its client's time is there to try it.
        due = r.expires + _notification_margin(r.call)
        expires = max(r.expires, min(due, now + NOTIFICATION_GRACE_AFTER_RESTART_S))
        held = Held(state.last_message, r.call, expires, now, due, not r.history, len(r.history))
        held.ran_at = min((d.at for d in r.history if d.may_have_run), default=None)
        if self.keeps:
            held.story = [
                Tried(d.worker, d.at, "unknown" if d.may_have_run else "never_ran", d.may_have_run)
                for d in r.history
            ]
        if expires <= now or r.call.id in self.kept:
            # One that is kept was given up; its end is what the kill cut off.
            count("restored_overdue" if expires <= now else "restored_kept")
            self._give_up(held, now, None)
            return
        state.held[held.number] = held
        state.numbers[r.call.id] = held.number
        history = tuple(
            scheduler_events.PastAttempt(state.worker_numbers.get(d.worker, 0), d.at if d.may_have_run else None)
            for d in r.history
        )
        c = r.call
        self.news.append(
            scheduler_events.MessageAdmitted(
                held.number, c.cls, c.destination, expires - now, c.tenant, c.key, history=history,
                attempt_for_s=expires - now, never_attempted=held.owed, batch_bytes=self._batch_bytes(c),
            )
        )

    # --- ends ----------------------------------------------------------------------------------------

    def _answered(self, now: float, event: Answered) -> None:
        attempt = self.state.in_flight.get(event.attempt_number)
        if attempt is None:
            return  # cancelled meanwhile
        # What the module learns from is the first end it hears of: the refusals among them, if any.
        for end in sorted(event.ends, key=lambda x: (x.outcome is not scheduler_events.Outcome.OVERLOADED, x.message)):
            if end.message in attempt.waiting:
                self._settle(now, attempt, end)
        for message in list(attempt.waiting):
            holds(False, "every_message_of_a_delegation_ends")
            self._settle(now, attempt, End(message, scheduler_events.Outcome.RESET))
        self.state.in_flight.pop(event.attempt_number, None)

    def _settle(self, now: float, attempt: Attempt, end: End) -> None:
        ordinal = attempt.waiting.pop(end.message)
        held = self.state.held.get(end.message)
        worker = self.state.workers[attempt.worker]
        count(f"delegations_{OUTCOME_WORDS[end.outcome]}")
        over = end.over or end.outcome is scheduler_events.Outcome.OK
        if held is not None:
            held.attempt_number = None
            if held.owed and end.begun:
                held.owed = False
                count("restored_tried")
            if not end.outcome.never_executed and not over and held.ran_at is None:
                held.ran_at = held.began_at
            if self.keeps:
                may = not end.outcome.never_executed
                held.story.append(Tried(worker.id, held.began_at, OUTCOME_WORDS[end.outcome], may))
            if end.outcome is scheduler_events.Outcome.OK:
                count("delivered")
            if over:
                self._forget(held, now)
                if self.keeps and held.call.id.startswith(PREFIX):
                    name = "delivered" if end.outcome is scheduler_events.Outcome.OK else "undeliverable"
                    self.effects.append(Remember(held.call.id, name, held.ran_at))
                self.effects.append(Append(Completed(held.call.id)))
            elif end.begun:
                self.effects.append(Append(AttemptFinished(held.call.id, not end.outcome.never_executed)))
        if end.wait > 0:
            self.effects.append(HoldUntil(self._route(worker), now + end.wait))
        self.news.append(
            scheduler_events.AttemptFinished(
                end.message, ordinal, attempt.worker, end.outcome, now - attempt.began, over, end.wait,
                end.slots_taken, end.room, end.limit, end.table_full,
            )
        )

    def _time_up(self, attempt_number: int, message: int) -> None:
        """The module's time-out is the message's own end: others of the same call may still wait.

        It is withdrawn from the call first, or a connection that comes up late would carry it after its end.
        """
        attempt = self.state.in_flight.get(attempt_number)
        if attempt is not None and message in attempt.waiting:
            self.effects.append(WithdrawFromBatch(attempt_number, message))

    def _withdraw_result(self, now: float, event: WithdrawResult) -> None:
        attempt = self.state.in_flight.get(event.attempt_number)
        if attempt is None or event.message not in attempt.waiting or event.progress is Progress.OVER:
            return  # what was answered before its time was up counts as answered
        never = event.progress is Progress.WAITS
        held = self.state.held.get(event.message)
        due = held.due if held is not None else now
        self._settle(
            now,
            attempt,
            End(
                event.message, scheduler_events.Outcome.NOT_SENT if never else scheduler_events.Outcome.TIMEOUT, begun=not never
            ),
        )
        if not attempt.waiting:
            del self.state.in_flight[event.attempt_number]
            self.effects.append(CancelAttempt(event.attempt_number))
        elif event.progress is Progress.WRITES:
            # Half a call cannot lose one of its messages: what is not written whole yet is cancelled whole.
            self._cancel_attempt(event.attempt_number)
        elif not never:
            # A call has one fate: past the time of one of its messages an answer was seen to count for none of them.
            self.effects.append(Wake(due, CancelDue(event.attempt_number)))

    def _cancel_attempt(self, attempt_number: int) -> None:
        """Close its connection first; how far it had come says what that means for its messages."""
        attempt = self.state.in_flight.get(attempt_number)
        if attempt is not None and not attempt.cancelled:
            attempt.cancelled = True
            self.effects.append(CancelAttempt(attempt_number))

    def _attempt_cancelled(self, now: float, event: AttemptCancelled) -> None:
        """A call that was not begun has not run, and one whose end is on its way ends so."""
        if (
            event.progress is Progress.OVER
            or (attempt := self.state.in_flight.pop(event.attempt_number, None)) is None
        ):
            return
        never = event.progress is Progress.WAITS
        for message in list(attempt.waiting):
            self._settle(
                now,
                attempt,
                End(
                    message, scheduler_events.Outcome.NOT_SENT if never else scheduler_events.Outcome.CANCELLED, begun=not never
                ),
            )

    def _forget(self, held: Held, now: float) -> None:
        state = self.state
        del state.held[held.number]
        del state.numbers[held.call.id]
        if not held.call.id.startswith(PREFIX):  # a resend that was handed back comes again under its id
            state.ended[held.call.id] = now

    def _forget_ended(self, now: float) -> None:
        """The ids of messages that are over are known for as long as a copy of theirs could still be in time."""
        ended, longest = self.state.ended, max(c.deadline_s for c in self.settings.classes)
        while ended:
            name, at = next(iter(ended.items()))
            if len(ended) <= MAX_COMPLETED_IDS and now < at + longest:
                return
            del ended[name]

    def _give_up(self, held: Held, now: float, again: float | None) -> None:
        resend = held.call.id.startswith(PREFIX)
        if self.keeps and not resend and custody(held.expires - now, again):
            again = None  # it is kept: its client must not bring it a second time
        count("given_up_failed" if again is None else "given_up_refused")
        notification = OutcomeNotification(held.call.id, again)
        if self.keeps and resend:
            end = "undeliverable" if again is None else "deferred"
            self.effects.append(Remember(held.call.id, end, held.ran_at))
        elif self.keeps and again is None and held.call.id not in self.kept:
            state, c = self.state, held.call
            workers = sorted(w.id for w in state.workers.values() if w.destination == c.destination)
            self.effects.append(Keep(c, held.since, now, tuple(held.story), tuple(workers)))
        self.effects.append(Append(OutcomeDecided(notification)))
        self._send_notification(notification)

    def _send_notification(self, notification: OutcomeNotification) -> None:
        self.state.unacknowledged[notification.id] = notification
        self.effects.append(Notify((notification,)))

    # --- the module's actions --------------------------------------------------------------------------

    def _decide(self, now: float) -> None:
        """Ask the module; whatever fails in it must not take its other messages along."""
        try:
            actions = self.scheduler.handle(now, self.news)
        except Exception as error:
            if __debug__:
                raise
            trouble("module", error)
            actions = [
                *self.scheduler.pending_actions,
                scheduler_actions.SetTimer(MODULE_RETRY_AFTER_S, self.scheduler.timer_token),
            ]
        sends: dict[tuple[int, int], list[scheduler_actions.StartAttempt]] = {}  # by endpoint and call
        for a in actions:
            match a:
                case scheduler_actions.StartAttempt():
                    sends.setdefault((a.endpoint, a.batch), []).append(a)
                case scheduler_actions.Reject(message=number, retry_after_s=again):
                    self._final(now, number, again)
                case scheduler_actions.Fail(message=number):
                    self._final(now, number, None)
                case scheduler_actions.CancelAttempt(message=number):
                    self._cancel(number)
                case scheduler_actions.SetTimer(delay_s=delay, token=token):
                    self.effects.append(Wake(now + delay, ModuleTimer(token)))
                case scheduler_actions.CloseIdleConnections(endpoint=worker):
                    self.effects.append(CloseIdle(worker))
                case scheduler_actions.PollEndpointList():
                    self._watch()
                case scheduler_actions.DestinationEjected(destination=number, reason=why):
                    self.effects.append(LogLine(f"destination {number} ejected: {why.value}"))
                case scheduler_actions.DestinationRecovered(destination=number):
                    self.effects.append(LogLine(f"destination {number} recovered: warming up"))
                case scheduler_actions.StartHealthCheck(endpoint=worker):
                    self._start_probe(now, worker)
        # Attempts come last: what a round gives up or closes must not be met by what it starts.
        for (worker, _), asked in sends.items():
            self._start_attempts(now, worker, asked)

    def _final(self, now: float, number: int, again: float | None) -> None:
        """The message is over. An attempt that is still out goes on to its own end."""
        held = self.state.held.get(number)
        if held is not None:
            if held.owed:
                count("restored_given_up_untried")
            self._forget(held, now)
            self._give_up(held, now, again)
        else:
            holds(False, "one_final_answer")

    def _cancel(self, number: int) -> None:
        """One connection, one fate: the others of the same call are cancelled with it."""
        held = self.state.held.get(number)
        if held is not None and held.attempt_number is not None:
            self._cancel_attempt(held.attempt_number)

    def _start_probe(self, now: float, worker: int) -> None:
        """Probe a worker; one that is not listed any more is answered at once as not probed."""
        state = self.state
        w = state.workers.get(worker)
        if w is None or worker in state.gone:
            self.news.append(scheduler_events.HealthCheckFinished(worker, scheduler_events.Outcome.NOT_SENT, 0.0))
            return
        state.last_attempt_number += 1
        state.probes[state.last_attempt_number] = worker
        count("probes")
        deadline = now + PROBE_TIMEOUT_PER_DIAL_TIMEOUT * self.settings.dial_timeout_s
        self.effects.append(
            StartProbe(
                state.last_attempt_number, worker, w.host, w.port, w.destination, deadline, self._route(w)
            )
        )

    def _probe_finished(self, now: float, event: ProbeFinished) -> None:
        state = self.state
        if state.probes.pop(event.probe, None) is None:
            return
        w = state.workers.get(event.worker)
        if event.wait > 0 and w is not None:
            self.effects.append(HoldUntil(self._route(w), now + event.wait))
        self.news.append(
            scheduler_events.HealthCheckFinished(event.worker, event.outcome, event.latency, event.room, event.limit)
        )

    def _start_attempts(self, now: float, worker: int, asked: list[scheduler_actions.StartAttempt]) -> None:
        state = self.state
        if state.stop_at is not None and now > state.stop_at - LAST_ATTEMPT_BEFORE_EXIT_S:
            return  # it could not end in this life; the journal has the message for the next one
        w = state.workers[worker]
        batch = self.settings.kind(w.kind).batch_size
        for first in range(0, len(asked), batch):
            state.last_attempt_number += 1
            attempt = state.in_flight[state.last_attempt_number] = Attempt(
                state.last_attempt_number, worker, now
            )
            try:
                self._start_attempt(now, attempt, w, asked[first : first + batch])
            except Exception as error:
                if __debug__:
                    raise
                trouble("delegation", error)
                self.effects.append(Wake(now, AttemptCancelled(attempt.number, Progress.WAITS)))

    def _start_attempt(self, now: float, attempt: Attempt, w: Worker, asked: list[scheduler_actions.StartAttempt]) -> None:
        """Make a call; its thread journals the attempts right before their first byte."""
        items = []
        for a in asked:
            held = self.state.held[a.message]
            holds(held.attempt_number is None, "one_attempt_at_a_time")
            holds(held.call.destination == w.destination, "only_to_its_destination")
            attempt.waiting[a.message] = held.attempts
            held.attempts += 1
            held.attempt_number, held.began_at = attempt.number, now
            items.append(BatchItem(a.message, held.call, now + a.start_within_s))
            self.effects.append(Wake(now + a.timeout_s, TimeUp(attempt.number, a.message)))
        holds(len(self.state.in_flight) <= self.settings.slots, "no_more_calls_than_slots")
        count("delegations")
        deadline = now + max(a.timeout_s for a in asked)
        self.effects.append(
            StartAttempt(
                attempt.number,
                attempt.worker,
                w.host,
                w.port,
                w.destination,
                tuple(items),
                deadline,
                w.id,
                self._route(w),
            )
        )

    def _route(self, w: Worker) -> Route:
        """What a wait binds that this worker tells: its destination, or where routes are apart it alone."""
        return w.id if self.settings.kind(w.kind).separate_routes else w.destination
