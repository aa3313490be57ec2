"""What an instance is observed to be, and when one that ended is started again. No clock, no I/O.

Facts go in, values come out. Called by the agent's reducer, its views and the decisions about a roll.
"""

from __future__ import annotations

from dataclasses import replace

from juniperward.fleet.model import Crashes, DesiredState, Instance, Phase, Reading, RestartPolicy, Timeouts

MAX_DOUBLINGS = 30  # of a restart's delay; more would only make the number larger than any limit

_PHASE_OF_READING = {"stopping": Phase.STOPPING, "drained": Phase.DRAINED, "draining": Phase.DRAINING}


def phase(instance: Instance, now: float, timeouts: Timeouts) -> Phase:
    """Return the observed phase of an instance.

    That it does not answer comes before what it last reported: its reading is old by then. An instance that was
    ordered to stop is stopping whether it answers or not.
    """
    if instance.process is None:
        return Phase.FAILED if instance.crashes.crash_loop else Phase.STOPPED
    if instance.stopping_since is not None:
        return Phase.STOPPING
    if instance.unanswered_since is not None and now - instance.unanswered_since >= timeouts.unresponsive_s:
        past_start = instance.was_ready or now - instance.started_at >= timeouts.start_s
        return Phase.UNRESPONSIVE if past_start else Phase.STARTING
    return _reported_phase(instance.reading)


def _reported_phase(reading: Reading | None) -> Phase:
    """Return the phase that an instance reports of itself."""
    if reading is None:
        return Phase.STARTING
    serving = Phase.READY if reading.ready and reading.discovery_synced else Phase.STARTING
    return _PHASE_OF_READING.get(reading.phase, serving)


def start_timed_out(instance: Instance, now: float, timeouts: Timeouts) -> bool:
    """Return whether its process has had its time to become ready and has not."""
    return (
        instance.process is not None
        and not instance.was_ready
        and instance.stopping_since is None
        and now - instance.started_at >= timeouts.start_s
    )


def after_exit(
    instance: Instance, now: float, exit_reason: str, policy: RestartPolicy, random_fraction: float
) -> Instance:
    """Return an instance whose process has ended; `random_fraction`, from 0 to 1, sets the delay's jitter.

    An end that was requested is no crash, and ends a drain too. One that was not is followed by a restart, with a
    backoff that grows with the crashes in a row, and by none at all in a crash loop.
    """
    requested = instance.stopping_since is not None or instance.desired_state is DesiredState.STOPPED
    ended = replace(
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
        return replace(ended, crashes=Crashes())
    return replace(ended, crashes=_after_crash(instance, now, exit_reason, policy, random_fraction))


def _after_crash(
    instance: Instance, now: float, exit_reason: str, policy: RestartPolicy, random_fraction: float
) -> Crashes:
    """Return the crash history with one more crash in it."""
    crashes = instance.crashes
    was_stable = instance.was_ready and now - instance.started_at >= policy.stable_after_s
    consecutive = 1 if was_stable else crashes.consecutive + 1
    times = (*(at for at in crashes.times if now - at < policy.crash_window_s), now)
    if len(times) >= policy.crash_limit:
        why = f"{len(times)} crashes within {policy.crash_window_s:g} s, the last: {exit_reason}"
        return Crashes(times, consecutive, None, why)
    return Crashes(times, consecutive, now + _restart_delay_s(consecutive, policy, random_fraction))


def _restart_delay_s(consecutive: int, policy: RestartPolicy, random_fraction: float) -> float:
    """Return the exponential backoff before the restart after so many crashes in a row, with jitter."""
    doublings = min(consecutive - 1, MAX_DOUBLINGS)
    delay_s = min(policy.first_delay_s * 2.0**doublings, policy.max_delay_s)
    return delay_s * (1 + policy.jitter * (2 * random_fraction - 1))


def should_start(instance: Instance, now: float) -> bool:
    """Return whether it is to be started now: meant to run, no process, no crash loop, its backoff over."""
    if instance.desired_state is not DesiredState.RUNNING or instance.process is not None:
        return False
    if instance.crashes.crash_loop:
        return False
    return instance.crashes.restart_at is None or now >= instance.crashes.restart_at


def should_kill(instance: Instance, now: float, timeouts: Timeouts) -> bool:
    """Return whether it ignored SIGTERM for too long; also one that is stopped by SIGSTOP ends by SIGKILL."""
    return (
        instance.process is not None
        and instance.stopping_since is not None
        and not instance.kill_sent
        and now - instance.stopping_since >= timeouts.stop_s
    )
