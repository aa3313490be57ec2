"""What an instance is, and when one that ended is started again. No clock, no I/O: facts in, values out."""

from __future__ import annotations

from dataclasses import replace

from juniperward.fleet.model import Crashes, DesiredState, Instance, Phase, Reading, RestartPolicy, Timeouts

_PHASE_OF_READING = {"stopping": Phase.STOPPING, "drained": Phase.DRAINED, "draining": Phase.DRAINING}


def phase(instance: Instance, now: float, timeouts: Timeouts) -> Phase:
    """Return the observed state of an instance.

    Silence comes before what it last said: a reading is old by then. An instance that was ordered to stop is
    stopping whether it answers or not.
    """
    if instance.process is None:
        return Phase.FAILED if instance.crashes.crash_loop else Phase.STOPPED
    if instance.stopping_since is not None:
        return Phase.STOPPING
    if instance.unanswered_since is not None and now - instance.unanswered_since >= timeouts.unresponsive_s:
        had_its_time = instance.was_ready or now - instance.started_at >= timeouts.start_s
        return Phase.UNRESPONSIVE if had_its_time else Phase.STARTING
    return _reported_phase(instance.reading)


def _reported_phase(reading: Reading | None) -> Phase:
    """Return the phase that an instance reports of itself."""
    if reading is None:
        return Phase.STARTING
    serving = Phase.READY if reading.ready and reading.discovery_synced else Phase.STARTING
    return _PHASE_OF_READING.get(reading.phase, serving)


def overdue_start(instance: Instance, now: float, timeouts: Timeouts) -> bool:
    """Return whether it has had its time to become ready and has not."""
    return (
        instance.process is not None
        and not instance.was_ready
        and instance.stopping_since is None
        and now - instance.started_at >= timeouts.start_s
    )


def after_exit(instance: Instance, now: float, how: str, rules: RestartPolicy, chance: float) -> Instance:
    """Return an instance whose process has ended; `chance` is random, from 0 to 1.

    An end that was requested is no crash, and ends a drain too. One that was not is followed by a restart,
    later and later the more of them come in a row, and by none at all in a crash loop.
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
        last_exit=how,
    )
    if requested:
        return replace(ended, crashes=Crashes())
    crashes = instance.crashes
    steady = instance.was_ready and now - instance.started_at >= rules.stable_after_s
    consecutive = 1 if steady else crashes.consecutive + 1
    times = (*(t for t in crashes.times if now - t < rules.crash_window_s), now)
    if len(times) >= rules.crash_limit:
        why = f"{len(times)} crashes within {rules.crash_window_s:g} s, the last: {how}"
        return replace(ended, crashes=Crashes(times, consecutive, None, why))
    wait = min(rules.first_delay_s * 2 ** min(consecutive - 1, 30), rules.max_delay_s)
    wait *= 1 + rules.jitter * (2 * chance - 1)
    return replace(ended, crashes=Crashes(times, consecutive, now + wait))


def start_due(instance: Instance, now: float) -> bool:
    """Return whether it is to be started now: wanted, without a process, not failed, its wait over."""
    if (
        instance.desired_state is not DesiredState.RUNNING
        or instance.process is not None
        or instance.crashes.crash_loop
    ):
        return False
    return instance.crashes.restart_at is None or now >= instance.crashes.restart_at


def kill_due(instance: Instance, now: float, timeouts: Timeouts) -> bool:
    """Return whether it ignored SIGTERM for long enough; also one that is stopped by SIGSTOP ends by SIGKILL."""
    return (
        instance.process is not None
        and instance.stopping_since is not None
        and not instance.kill_sent
        and now - instance.stopping_since >= timeouts.stop_s
    )
