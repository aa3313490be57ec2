"""Outcomes of attempts as traces and stored dead letters have them."""

from __future__ import annotations

from enum import StrEnum

from juniperward.scheduler.events import Outcome


class StoredOutcome(StrEnum):
    """The outcome of an attempt; the values are those of the spool and of traces."""

    ERROR = "error"
    OK = "ok"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"
    UNKNOWN = "unknown"  # of an attempt before a restart that possibly executed
    NEVER_EXECUTED = "never_ran"  # of one that did not


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
