"""The values that decisions about a fleet are made of; plain data that can be written down and read again.

Times are seconds of one clock that the caller chooses and that does not jump (the agent: the monotonic clock
of its machine, which outlasts the agent's process).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Phase(StrEnum):
    """What an instance is observed to be; the values are those of the agent's API."""

    STARTING = "starting"  # its process runs and has not been ready yet
    READY = "ready"  # accepts messages and has an endpoint list from discovery
    DRAINING = "draining"  # rejects new messages, completes pending ones
    DRAINED = "drained"  # nothing is unfinished any more
    STOPPING = "stopping"  # ordered to end
    STOPPED = "stopped"  # no process
    UNRESPONSIVE = "silent"  # its process runs and does not answer
    FAILED = "failed"  # in a crash loop; only a person starts it again


NOT_SERVING = frozenset(set(Phase) - {Phase.READY})  # phases in which an instance accepts no new messages


class DesiredState(StrEnum):
    """What an instance is meant to be."""

    RUNNING = "running"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class Process:
    """A process that cannot be mistaken for another: a pid is used again, with the same start time it is not."""

    pid: int
    start: int  # clock ticks since boot, as /proc has it


@dataclass(frozen=True, slots=True)
class Reading:
    """The status that an instance last reported, at `at`; counts are since the start of its process."""

    at: float
    pid: int
    phase: str  # as the control channel names it: serving, draining, drained, stopping
    ready: bool
    discovery_synced: bool  # it has received an endpoint list since its start
    unfinished: int  # messages whose client has not been notified of an outcome
    pending: int  # messages accepted and not completed
    slots: int  # attempts that may be in flight
    attempts_in_flight: int
    delivered: int
    attempts_failed: int
    given_up: int
    accepted: int
    rejected: int
    restored: int
    invariants_broken: int
    oldest_pending_age_s: float
    journal_bytes: int
    endpoint_list_age_s: float  # since the latest word from discovery; negative before the first
    ejected_destinations: int  # destinations with an ejected endpoint
    version: str = ""


@dataclass(frozen=True, slots=True)
class Crashes:
    """The crash history that restarts are decided by."""

    times: tuple[float, ...] = ()  # of the recent ones
    consecutive: int = 0  # since it last ran steadily
    restart_at: float | None = None
    crash_loop: str = ""  # why it is not started again; empty where it is


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance as the agent knows it."""

    name: str
    desired_state: DesiredState = DesiredState.STOPPED
    process: Process | None = None
    started_at: float = 0.0
    configuration_version: str = ""  # that its process was started with
    reading: Reading | None = None  # of this process; None before its first
    unanswered_since: float | None = None  # since when it has not answered
    was_ready: bool = False  # this process was ready once
    drain_requested: bool = False  # ordered to drain, and not to resume
    stopping_since: float | None = None
    kill_sent: bool = False  # SIGKILL was sent
    last_exit: str = ""  # how its last process ended
    crashes: Crashes = Crashes()


@dataclass(frozen=True, slots=True)
class RestartRules:
    """When an instance that ended by itself is started again; times in seconds."""

    first: float = 0.5  # wait before the first restart
    most: float = 30.0  # longest wait; it doubles with each crash in a row
    jitter: float = 0.25  # part by which a wait varies to both sides
    steady: float = 20.0  # ran so long: the next crash is a first one again
    crashes: int = 5  # so many ...
    span: float = 60.0  # ... within such a time: a crash loop


@dataclass(frozen=True, slots=True)
class Patience:
    """How long an instance may take; times in seconds."""

    silent: float = 2.0  # without an answer: silent
    start: float = 15.0  # from its start to ready
    stop: float = 4.0  # from SIGTERM to SIGKILL


@dataclass(frozen=True, slots=True)
class RollRules:
    """How a roll goes; times in seconds, shares from 0 to 1."""

    at_once: int = 1  # instances away because of the roll
    floor: int = 0  # least ready instances, at any time
    drain: float = 10.0  # longest wait for drained; what is held then stays in the journal
    soak: float = 3.0  # after ready, before the next; lengthened until there is something to judge by
    soak_most: float = 15.0
    least_calls: int = 10  # calls ended that an instance is judged by
    soak_share: float = 0.7  # x the fleet's share of good calls before: an instance must reach it
    fall: float = 0.7  # x the same: the fleet must keep it meanwhile
    window: float = 5.0  # over which the fleet's share is taken
    patience: float = 30.0  # a roll that cannot go on for so long pauses
    kill: bool = False  # end instances by SIGKILL, without drain: a rehearsal of the worst
