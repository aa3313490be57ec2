"""Decisions about one instance: its observed phase, its restart after a crash, and when to kill it.

Pure functions, used by the agent's reducer, its views and the decisions about a roll.
"""

from __future__ import annotations

from dataclasses import replace

from juniperward.fleet.model import Crashes, DesiredState, Instance, Phase, Reading, RestartPolicy, Timeouts

MAX_BACKOFF_DOUBLINGS = 30  # avoids a float overflow; any maximum delay is reached earlier

_NOT_SERVING_PHASES = {"stopping": Phase.STOPPING, "drained": Phase.DRAINED, "draining": Phase.DRAINING}


def phase(instance: Instance, now: float, timeouts: Timeouts) -> Phase:
    """Return the observed phase of an instance.

    An instance that does not answer is unresponsive, whatever its last reading says, unless it may still be
    starting. An instance that was ordered to stop is stopping, whether it answers or not.
    """
    if instance.process is None:
        return Phase.FAILED if instance.crashes.crash_loop else Phase.STOPPED
    if instance.stopping_since is not None:
        return Phase.STOPPING
    if instance.unanswered_since is not None and now - instance.unanswered_since >= timeouts.unresponsive_s:
        startup_over = instance.was_ready or now - instance.started_at >= timeouts.start_s
        return Phase.UNRESPONSIVE if startup_over else Phase.STARTING
    return _reported_phase(instance.reading)


def _reported_phase(reading: Reading | None) -> Phase:
    if reading is None:
        return Phase.STARTING
    serving = Phase.READY if reading.ready and reading.discovery_synced else Phase.STARTING
    return _NOT_SERVING_PHASES.get(reading.phase, serving)


def start_timed_out(instance: Instance, now: float, timeouts: Timeouts) -> bool:
    """Return whether the instance's process was not ready within `timeouts.start_s` of its start."""
    return (
        instance.process is not None
        and not instance.was_ready
        and instance.stopping_since is None
        and now - instance.started_at >= timeouts.start_s
    )


def after_exit(
    instance: Instance, now: float, exit_reason: str, policy: RestartPolicy, random_fraction: float
) -> Instance:
    """Return the instance after its process has exited.

    A requested exit clears the crash history and ends a drain. Any other exit is a crash: the instance is
    restarted after an exponential backoff, or not at all if it is in a crash loop. `random_fraction`, from 0
    to 1, sets the jitter of the backoff.
    """
    requested = instance.stopping_since is not None or instance.desired_state is DesiredState.STOPPED
    exited = replace(
        instance,
        process=None,
        reading=None,
        unanswered_since=None,
        was_ready=False,
        drain_requested=instance.drain_requested and not requested,
        stopping_since=None,
        kill_sent=False,
        last_exit=exit_reason,
    )
    if requested:
        return replace(exited, crashes=Crashes())
    return replace(exited, crashes=_after_crash(instance, now, exit_reason, policy, random_fraction))


def _after_crash(
    instance: Instance, now: float, exit_reason: str, policy: RestartPolicy, random_fraction: float
) -> Crashes:
    """Return the crash history with one more crash."""
    crashes = instance.crashes
    was_stable = instance.was_ready and now - instance.started_at >= policy.stable_after_s
    consecutive = 1 if was_stable else crashes.consecutive + 1
    times = (*(at for at in crashes.times if now - at < policy.crash_window_s), now)
    if len(times) >= policy.crash_limit:
        crash_loop = f"{len(times)} crashes within {policy.crash_window_s:g} s, the last: {exit_reason}"
        return Crashes(times, consecutive, None, crash_loop)
    return Crashes(times, consecutive, now + _restart_delay_s(consecutive, policy, random_fraction))


def _restart_delay_s(consecutive: int, policy: RestartPolicy, random_fraction: float) -> float:
    """Return the exponential backoff after `consecutive` crashes, with jitter."""
    doublings = min(consecutive - 1, MAX_BACKOFF_DOUBLINGS)
    delay_s = min(policy.first_delay_s * 2.0**doublings, policy.max_delay_s)
    return delay_s * (1 + policy.jitter * (2 * random_fraction - 1))


def should_start(instance: Instance, now: float) -> bool:
    """Return whether to start the instance now: it should run, has no process and is not in a backoff.

    An instance in a crash loop is not started.
    """
    if instance.desired_state is not DesiredState.RUNNING or instance.process is not None:
        return False
    if instance.crashes.crash_loop:
        return False
    return instance.crashes.restart_at is None or now >= instance.crashes.restart_at


def should_kill(instance: Instance, now: float, timeouts: Timeouts) -> bool:
    """Return whether to send SIGKILL: the process still runs `timeouts.stop_s` after SIGTERM.

    SIGKILL also ends a process that SIGSTOP has suspended.
    """
    return (
        instance.process is not None
        and instance.stopping_since is not None
        and not instance.kill_sent
        and now - instance.stopping_since >= timeouts.stop_s
    )
