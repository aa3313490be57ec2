"""Performs the reducer's effects by calling the journal, the server, the endpoint client or the discovery client.

The loop calls `perform` and hands the event that it returns, if any, to the reducer in the same round of the loop.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from juniperward.forwarder.discovery_client import DiscoveryClient
from juniperward.forwarder.effects import (
    AcceptMessage,
    AppendRecord,
    BeginShutdown,
    CancelAttempt,
    DrainClients,
    Effect,
    ForgetEndpoint,
    PauseRoute,
    RecordRedriveOutcome,
    ReplyToClient,
    SendControlReply,
    SendNotifications,
    SetEndpointDraining,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
    StartWatch,
    StoreDeadLetter,
    SwitchDiscovery,
    WithdrawFromBatch,
    WriteLog,
)
from juniperward.forwarder.endpoint_client import EndpointClient
from juniperward.forwarder.events import (
    AttemptCancelled,
    BatchItemWithdrawn,
    Event,
    MessageAccepted,
    TimerEvent,
)
from juniperward.forwarder.journal import Journal, JournalFullError
from juniperward.forwarder.records import JournalRecord
from juniperward.forwarder.server import Server
from juniperward.forwarder.telemetry import increment, log

if TYPE_CHECKING:  # These are imported at run time only if a control channel or a spool is configured.
    from juniperward.control.protocol import Answer
    from juniperward.forwarder.dead_letter_writer import DeadLetterWriter


class Timers(Protocol):
    """Posts events at a given time."""

    def set_timer(self, at: float, event: TimerEvent) -> None:
        """Post an event at a monotonic time."""


class ControlOutput:
    """The output to the control channel. This base class does nothing, for a forwarder without a channel."""

    def reply(self, client: int, answer: Answer) -> None:
        """Send an answer to a client of the channel."""

    def begin_shutdown(self) -> None:
        """Start the graceful shutdown that a client of the channel requested."""


class EffectExecutor:
    """Performs the effects of the reducer; used by the loop's thread only."""

    def __init__(
        self,
        journal: Journal,
        server: Server,
        endpoint_client: EndpointClient,
        discovery: DiscoveryClient,
        timers: Timers,
    ) -> None:
        """Perform effects with these components; `control` and `dead_letters` are set later if configured."""
        self.journal = journal
        self.server = server
        self.endpoint_client = endpoint_client
        self.discovery = discovery
        self._timers = timers
        self.control = ControlOutput()
        self.dead_letters: DeadLetterWriter | None = None

    def perform(self, effect: Effect) -> Event | None:
        """Perform an effect; return the event that it causes at once, if any."""
        match effect:
            case AcceptMessage(request=request, message=message, record=record):
                return MessageAccepted(message, self.server.accept(request, lambda: self._journal(record)))
            case CancelAttempt(attempt_number=number):
                return AttemptCancelled(number, self.endpoint_client.cancel(number))
            case WithdrawFromBatch(attempt_number=number, message=message):
                return BatchItemWithdrawn(number, message, self.endpoint_client.withdraw(number, message))
            case ReplyToClient(request=request, status=status, retry_after_s=retry_after_s):
                self.server.answer(request, status, retry_after_s)
            case AppendRecord(record=record):
                self._append(record)
            case SetTimer(at=at, event=event):
                self._timers.set_timer(at, event)
            case DrainClients(draining=draining):
                self.server.set_draining(draining)
            case _:
                self._perform_for_endpoints(effect)
        return None

    def _perform_for_endpoints(self, effect: Effect) -> None:
        match effect:
            case StartAttempt() | StartHealthCheck():
                self.endpoint_client.start(effect)
            case SetEndpointDraining(endpoint=endpoint, draining=draining):
                self.endpoint_client.set_draining(endpoint, draining)
            case PauseRoute(route=route, until=until):
                self.endpoint_client.pause_route(route, until)
            case ForgetEndpoint(endpoint=endpoint):
                self.endpoint_client.forget(endpoint)
            case StartWatch(version=version, epoch=epoch):
                self.discovery.watch(version, epoch)
            case SwitchDiscovery(address=address, epoch=epoch):
                self.discovery.change_address(address, epoch)
            case SendNotifications(notifications=notifications):
                self.discovery.notify(notifications)
            case _:
                self._perform_for_operators(effect)

    def _perform_for_operators(self, effect: Effect) -> None:
        match effect:
            case WriteLog(event=event, fields=fields):
                log("scheduler", event, **dict(fields))
            case SendControlReply(client=client, answer=answer):
                self.control.reply(client, answer)
            case BeginShutdown():
                self.control.begin_shutdown()
            case StoreDeadLetter() if self.dead_letters is not None:
                self.dead_letters.store(effect)
            case RecordRedriveOutcome() if self.dead_letters is not None:
                self.dead_letters.record_redrive_outcome(effect)

    def _journal(self, record: JournalRecord) -> bool:
        """Journal a message before it is accepted, so that it survives a crash; return whether that worked."""
        try:
            self.journal.append(record)
        except JournalFullError:
            increment("rejections_disk")
            log("journal", "full; message rejected")
            return False
        except OSError as error:
            increment("journal_failures")
            log("journal", "write failed; message rejected", error=error)
            return False
        return True

    def _append(self, record: JournalRecord) -> None:
        try:
            self.journal.append(record)
        except OSError as error:
            increment("journal_failures")
            log("journal", "write failed; record lost", error=error)
