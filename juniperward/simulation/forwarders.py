"""The forwarders of the simulated world: real schedulers or other policies, driven round by round."""

from __future__ import annotations

from juniperward.scheduler.actions import Action, CancelAttempt, Fail, Reject, SetTimer, StartAttempt
from juniperward.scheduler.events import (
    AttemptFinished,
    EndpointEntry,
    EndpointListUpdated,
    EndpointPhase,
    Event,
    ListScope,
    MessageAdmitted,
    Outcome,
    TimerFired,
)
from juniperward.scheduler.settings import SchedulerSettings
from juniperward.simulation.accounts import Accounts
from juniperward.simulation.clients import Clients
from juniperward.simulation.destinations import Destinations
from juniperward.simulation.model import Attempt, Forwarder, Message, Policy
from juniperward.simulation.random_streams import RandomStreams
from juniperward.simulation.timeline import Timeline

FULL_RETRY_AFTER_S = 1.0  # told where a forwarder holds as many messages as it may
RESTART_S = 1.0  # from a kill to the messages' return from the journal
SAME_MOMENT_S = 1e-6
SEED_LIMIT = 2**31


class Forwarders:
    """Holds what each forwarder has, and carries out what its policy decides."""

    def __init__(
        self,
        count: int,
        settings: SchedulerSettings,
        timeline: Timeline,
        streams: RandomStreams,
        accounts: Accounts,
    ) -> None:
        """Make `count` forwarders; `connect` gives them the rest of the world."""
        self.all = [Forwarder(number, None) for number in range(count)]
        self._settings, self._timeline, self._streams, self._accounts = settings, timeline, streams, accounts

    def connect(
        self, clients: Clients, destinations: Destinations, policy: Policy, seen: object | None
    ) -> None:
        """Take messages from clients and answers from destinations; `seen` goes to a policy that sees the world."""
        self._clients, self._destinations = clients, destinations
        self._policy, self._seen = policy, seen
        clients.submit = self.submit
        destinations.answer = self._answered
        destinations.message_of = self._message_of

    # --- messages ------------------------------------------------------------------------------------------

    def submit(self, message: Message) -> None:
        """Hand a message to a forwarder that is up, drawn at random."""
        now = self._timeline.now
        expires = message.first + self._settings.classes[0].deadline_s
        up = [forwarder for forwarder in self.all if forwarder.up]
        if not up or expires <= now:
            message.ended = message.ended or "refused"
            self._accounts.over(message)
            return
        forwarder = up[int(self._streams.clients.uniform() * len(up))]
        if len(forwarder.held) >= self._settings.max_open:
            self._clients.rejected(message, FULL_RETRY_AFTER_S, "door")
            return
        forwarder.last += 1
        number = forwarder.last
        forwarder.held[number] = (message, expires)
        forwarder.attempts[number] = 0
        self._tell(
            forwarder, MessageAdmitted(number, 0, message.partner, expires - now, 0, str(message.number))
        )

    def _message_of(self, attempt: Attempt, number: int) -> int | None:
        forwarder = self.all[attempt.forwarder]
        held = forwarder.held.get(number) if forwarder.life == attempt.life else None
        return held[0].number if held is not None else None

    def _release(self, forwarder: Forwarder, number: int) -> Message | None:
        held = forwarder.held.pop(number, None)
        if held is None:
            return None
        del forwarder.attempts[number]
        return held[0]

    # --- processes -----------------------------------------------------------------------------------------

    def start(self, forwarder: Forwarder) -> None:
        """Begin a life: a policy that knows nothing yet but the list."""
        forwarder.up = True
        seed = int(self._streams.schedulers.source.integers(SEED_LIMIT))
        more = (self._seen,) if self._seen is not None else ()
        forwarder.scheduler = self._policy(self._settings, seed, *more)
        entries = tuple(
            EndpointEntry(
                endpoint.number,
                partner.number,
                EndpointPhase.READY,
                partner.kind,
                0,
                float(partner.spec.rate),
            )
            for partner in self._destinations.partners
            for endpoint in partner.workers
        )
        self._tell(forwarder, EndpointListUpdated(ListScope.FULL, entries))

    def kill(self, forwarder: Forwarder) -> None:
        """End a process; what its journal has comes back with its next life."""
        for message in forwarder.die():
            self._clients.resubmit(message, RESTART_S)

    # --- rounds --------------------------------------------------------------------------------------------

    def _tell(self, forwarder: Forwarder, event: Event) -> None:
        """Have the events of one moment come to a policy in one round."""
        forwarder.inbox.append(event)
        if not forwarder.due:
            forwarder.due = True
            self._timeline.after(0.0, self._round, forwarder, forwarder.life)

    def _round(self, forwarder: Forwarder, life: int) -> None:
        if forwarder.life != life:
            return
        forwarder.due = False
        events, forwarder.inbox = forwarder.inbox, []
        starts: dict[int, list[StartAttempt]] = {}
        for action in forwarder.scheduler.handle(self._timeline.now, events):
            if isinstance(action, StartAttempt):
                starts.setdefault(action.endpoint, []).append(action)
            else:
                self._carry_out(forwarder, action)
        for endpoint, asked in starts.items():
            self._send(forwarder, endpoint, asked)

    def _carry_out(self, forwarder: Forwarder, action: Action) -> None:
        match action:
            case SetTimer(delay_s=delay_s, token=token):
                self._timeline.after(delay_s, self._timer_fired, forwarder, forwarder.life, token)
            case Reject(message=number, retry_after_s=retry_after_s):
                if (message := self._release(forwarder, number)) is not None:
                    self._clients.rejected(message, retry_after_s, "held")
            case Fail(message=number):
                if (message := self._release(forwarder, number)) is not None:
                    message.ended = "failed"
                    self._accounts.over(message)
            case CancelAttempt(message=number, attempt=attempt_number):
                if (attempt := forwarder.out.get((number, attempt_number))) is not None:
                    self._timeline.after(0.0, self._answered, attempt, Outcome.CANCELLED, 0.0)

    def _timer_fired(self, forwarder: Forwarder, life: int, token: int) -> None:
        if forwarder.life == life:
            self._tell(forwarder, TimerFired(token))

    # --- attempts ------------------------------------------------------------------------------------------

    def _send(self, forwarder: Forwarder, endpoint: int, asked: list[StartAttempt]) -> None:
        """Make calls of as many messages as the partner takes in one."""
        partner = self._destinations.partner_of(endpoint)
        if forwarder.waits.get(partner.number, 0.0) > self._timeline.now + SAME_MOMENT_S:
            self._accounts.result.waits_broken += 1
        for first in range(0, len(asked), partner.batch):
            self._call(forwarder, endpoint, asked[first : first + partner.batch])

    def _call(self, forwarder: Forwarder, endpoint: int, asked: list[StartAttempt]) -> None:
        attempt = Attempt(forwarder.number, forwarder.life, endpoint, [], self._timeline.now)
        for start in asked:
            number = forwarder.attempts[start.message]
            forwarder.attempts[start.message] = number + 1
            attempt.members.append((start.message, number))
            forwarder.out[start.message, number] = attempt
        self._accounts.result.calls += 1
        timeout_s = min(start.timeout_s for start in asked)
        self._timeline.after(timeout_s, self._answered, attempt, Outcome.TIMEOUT, 0.0)
        self._timeline.after(self._destinations.network_s(), self._destinations.reach, attempt)

    def _answered(self, attempt: Attempt, outcome: Outcome, retry_after_s: float) -> None:
        """End an attempt for its forwarder; the first end counts."""
        forwarder = self.all[attempt.forwarder]
        if attempt.over or forwarder.life != attempt.life:
            return
        attempt.over = True
        now = self._timeline.now
        partner = self._destinations.partner_of(attempt.worker).number
        if retry_after_s > 0:
            forwarder.waits[partner] = max(now + retry_after_s, forwarder.waits.get(partner, 0.0))
        delivered = outcome is Outcome.OK
        for number, attempt_number in attempt.members:
            forwarder.out.pop((number, attempt_number), None)
            message = self._release(forwarder, number) if delivered else None
            if message is not None:
                message.ended, message.done_at = "delivered", now
                self._accounts.over(message)
            finished = AttemptFinished(
                number, attempt_number, attempt.worker, outcome, now - attempt.sent, delivered, retry_after_s
            )
            self._tell(forwarder, finished)
