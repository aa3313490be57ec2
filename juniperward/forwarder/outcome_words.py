"""The word that counters, traces and stored data use for the outcome of an attempt."""

from __future__ import annotations

from juniperward.scheduler.events import Outcome

OUTCOME_WORDS = {
    Outcome.ERROR: "error",
    Outcome.OK: "ok",
    Outcome.OVERLOADED: "full",
    Outcome.TIMEOUT: "timeout",
    Outcome.CONNECT_FAILED: "connect_failed",
    Outcome.RESET: "reset",
    Outcome.CANCELLED: "cancelled",
    Outcome.NOT_SENT: "moot",
}
