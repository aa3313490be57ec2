"""The names of attempt outcomes in traces and in stored dead letters."""

from __future__ import annotations

from enum import StrEnum

from juniperward.scheduler.events import Outcome


class StoredOutcome(StrEnum):
    """The outcome of an attempt, by its name in the spool and in traces.

    Replay of the journal knows only whether an earlier attempt possibly executed: its outcome is UNKNOWN if it did,
    else NEVER_EXECUTED.
    """

    ERROR = "error"
    OK = "ok"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"
    UNKNOWN = "unknown"
    NEVER_EXECUTED = "never_ran"


STORED_OUTCOMES = {
    Outcome.ERROR: StoredOutcome.ERROR,
    Outcome.OK: StoredOutcome.OK,
    Outcome.OVERLOADED: StoredOutcome.OVERLOADED,
    Outcome.TIMEOUT: StoredOutcome.TIMEOUT,
    Outcome.CONNECT_FAILED: StoredOutcome.CONNECT_FAILED,
    Outcome.RESET: StoredOutcome.RESET,
    Outcome.CANCELLED: StoredOutcome.CANCELLED,
    Outcome.NOT_SENT: StoredOutcome.NOT_SENT,
}
