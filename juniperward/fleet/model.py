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
class RestartPolicy:
    """When an instance that ended by itself is started again: after a backoff, and not at all in a crash loop."""

    first_delay_s: float = 0.5  # before the first restart
    max_delay_s: float = 30.0  # the delay doubles with each crash in a row, up to this
    jitter: float = 0.25  # fraction by which a delay varies to both sides
    stable_after_s: float = 20.0  # ran so long after it was ready: the next crash is a first one again
    crash_limit: int = 5  # so many crashes ...
    crash_window_s: float = 60.0  # ... within such a time are a crash loop


@dataclass(frozen=True, slots=True)
class Timeouts:
    """How long an instance may take."""

    unresponsive_s: float = 2.0  # without an answer: unresponsive
    start_s: float = 15.0  # from its start to ready
    stop_s: float = 4.0  # from SIGTERM to SIGKILL


@dataclass(frozen=True, slots=True)
class RollRules:
    """How a roll proceeds; success rates are fractions of the finished attempts, from 0 to 1."""

    batch_size: int = 1  # instances that the roll restarts at the same time
    min_ready: int = 0  # the floor: instances that stay ready at any time
    drain_timeout_s: float = 10.0  # then it is stopped; what is pending stays in its journal
    soak_s: float = 3.0  # from ready to the next instance; longer until there are attempts to judge by
    max_soak_s: float = 15.0
    min_attempts: int = 10  # finished attempts that an instance is judged by
    instance_success_factor: float = 0.7  # x the baseline: the success rate that an instance must reach
    fleet_success_factor: float = 0.7  # x the baseline: the success rate that the fleet must keep meanwhile
    success_window_s: float = 5.0  # over which the fleet's success rate is taken
    blocked_timeout_s: float = 30.0  # a roll that the floor blocks for so long pauses
    kill: bool = False  # end instances by SIGKILL, without drain: a rehearsal of the worst
