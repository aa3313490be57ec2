"""The values that decisions about a fleet are made from.

All times are seconds of one monotonic clock that the caller chooses. The agent uses the machine's monotonic
clock, which continues when the agent restarts.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Phase(StrEnum):
    """The observed phase of an instance; the values are those of the agent's API.

    Attributes:
        STARTING: Its process runs and has not been ready yet.
        READY: It accepts messages and has received an endpoint list from discovery.
        DRAINING: It rejects new messages and completes pending ones.
        DRAINED: It has no unfinished messages.
        STOPPING: It has been ordered to stop.
        STOPPED: It has no process.
        UNRESPONSIVE: Its process runs and does not answer status requests.
        FAILED: It is in a crash loop; only an operator starts it again.

    """

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    DRAINED = "drained"
    STOPPING = "stopping"
    STOPPED = "stopped"
    UNRESPONSIVE = "silent"
    FAILED = "failed"


NOT_SERVING = frozenset(set(Phase) - {Phase.READY})  # phases in which an instance accepts no new messages


class DesiredState(StrEnum):
    """Whether an instance should run."""

    RUNNING = "running"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class Process:
    """The identity of a process; the start time tells apart processes that had the same pid.

    Attributes:
        pid: Its process id.
        start: Its start time in clock ticks since boot, as in /proc/PID/stat.

    """

    pid: int
    start: int


@dataclass(frozen=True, slots=True)
class Reading:
    """The status that an instance last reported.

    Counts are since the start of its process.

    Attributes:
        at: When the agent received the status.
        phase: A `ForwarderPhase` of the control channel, or the value of a newer forwarder.
        ready: Whether it accepts messages.
        discovery_synced: Whether it has received an endpoint list since its start.
        unfinished: Messages whose final outcome their client does not know yet.
        pending: Messages accepted and not completed.
        slots: The limit of attempts in flight.
        endpoint_list_age_s: Time since the latest update from discovery; negative before the first.
        ejected_destinations: Destinations with an ejected endpoint.

    """

    at: float
    pid: int
    phase: str
    ready: bool
    discovery_synced: bool
    unfinished: int
    pending: int
    slots: int
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
    endpoint_list_age_s: float
    ejected_destinations: int
    version: str = ""


@dataclass(frozen=True, slots=True)
class Crashes:
    """The crash history of an instance, which decides when it is restarted.

    Attributes:
        times: When it crashed, within the window of the restart policy.
        consecutive: Crashes since it last ran stably.
        restart_at: When it is to be restarted; None if no restart is scheduled.
        crash_loop: Why it is not restarted; empty if it is not in a crash loop.

    """

    times: tuple[float, ...] = ()
    consecutive: int = 0
    restart_at: float | None = None
    crash_loop: str = ""


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance as the agent knows it.

    Attributes:
        process: Its running process, or None.
        started_at: When its latest process started.
        configuration_version: The version that its latest process was started with.
        reading: The latest status of this process; None before the first.
        unanswered_since: Since when it has not answered status requests; None while it answers.
        was_ready: Whether this process has been ready at some time.
        drain_requested: Whether the latest order was to drain, and not to resume.
        stopping_since: When it was ordered to stop; None otherwise.
        kill_sent: Whether SIGKILL was sent to this process.
        last_exit: How its previous process ended.

    """

    name: str
    desired_state: DesiredState = DesiredState.STOPPED
    process: Process | None = None
    started_at: float = 0.0
    configuration_version: str = ""
    reading: Reading | None = None
    unanswered_since: float | None = None
    was_ready: bool = False
    drain_requested: bool = False
    stopping_since: float | None = None
    kill_sent: bool = False
    last_exit: str = ""
    crashes: Crashes = Crashes()


@dataclass(frozen=True, slots=True)
class RestartPolicy:
    """When a crashed instance is restarted: after an exponential backoff, and not at all in a crash loop.

    Attributes:
        first_delay_s: The delay before the first restart; it doubles with each consecutive crash.
        max_delay_s: The upper limit of the delay, before jitter.
        jitter: The fraction by which the delay varies in both directions.
        stable_after_s: Once a process that was ready has run for so long, its next crash counts as the
            first.
        crash_limit: The number of crashes within `crash_window_s` that is a crash loop.
        crash_window_s: The time over which crashes are counted.

    """

    first_delay_s: float = 0.5
    max_delay_s: float = 30.0
    jitter: float = 0.25
    stable_after_s: float = 20.0
    crash_limit: int = 5
    crash_window_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Timeouts:
    """Time limits for an instance.

    Attributes:
        unresponsive_s: Time without an answer after which it is unresponsive.
        start_s: Time from its start until it must be ready.
        stop_s: Time from SIGTERM to SIGKILL.

    """

    unresponsive_s: float = 2.0
    start_s: float = 15.0
    stop_s: float = 4.0


@dataclass(frozen=True, slots=True)
class RollRules:
    """How a roll proceeds.

    A success rate is the fraction of finished attempts that succeeded, from 0 to 1. The baseline is the
    fleet's success rate before the roll.

    Attributes:
        batch_size: Instances that are restarted at the same time.
        min_ready: The floor: the number of instances that must stay ready at any time.
        drain_timeout_s: Time after which a draining instance is stopped; its pending messages stay in its
            journal.
        soak_s: Minimum time that a ready instance is observed before the next one is restarted.
        max_soak_s: Maximum soak of an instance with fewer than `min_attempts` finished attempts.
        min_attempts: Number of finished attempts below which a success rate is not judged.
        instance_success_factor: The success rate that a restarted instance must reach, relative to the
            baseline.
        fleet_success_factor: The success rate that the fleet must keep during the roll, relative to the
            baseline.
        success_window_s: The time over which the fleet's success rate is computed.
        blocked_timeout_s: Time after which a roll pauses if the floor blocks it.
        kill: Whether to end instances by SIGKILL, without a drain, to rehearse crashes.

    """

    batch_size: int = 1
    min_ready: int = 0
    drain_timeout_s: float = 10.0
    soak_s: float = 3.0
    max_soak_s: float = 15.0
    min_attempts: int = 10
    instance_success_factor: float = 0.7
    fleet_success_factor: float = 0.7
    success_window_s: float = 5.0
    blocked_timeout_s: float = 30.0
    kill: bool = False
