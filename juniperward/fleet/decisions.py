"""What an instance is, and when one that ended is started again. No clock, no I/O: facts in, values out."""

from __future__ import annotations

from dataclasses import replace

from juniperward.fleet.model import Crashes, DesiredState, Instance, Patience, Phase, RestartRules


def phase(i: Instance, now: float, patience: Patience) -> Phase:
    """The observed state of an instance.

    Silence comes before what it last said: a reading is old by then. An instance that was told to stop is
    stopping whether it answers or not.
    """
    if i.process is None:
        return Phase.FAILED if i.crashes.failed else Phase.STOPPED
    if i.stopping_since is not None:
        return Phase.STOPPING
    if i.unanswered_since is not None and now - i.unanswered_since >= patience.silent:
        if i.was_ready or now - i.started_at >= patience.start:
            return Phase.SILENT
        return Phase.STARTING
    r = i.reading
    if r is None:
        return Phase.STARTING
    if r.phase == "stopping":
        return Phase.STOPPING
    if r.phase == "drained":
        return Phase.DRAINED
    if r.phase == "draining":
        return Phase.DRAINING
    return Phase.READY if r.ready and r.heard else Phase.STARTING


def overdue_start(i: Instance, now: float, patience: Patience) -> bool:
    """Whether it has had its time to become ready and has not."""
    return (
        i.process is not None
        and not i.was_ready
        and i.stopping_since is None
        and now - i.started_at >= patience.start
    )


def after_exit(i: Instance, now: float, how: str, rules: RestartRules, chance: float) -> Instance:
    """An instance whose process has ended; `chance` is random, from 0 to 1.

    An end that was asked for is no crash, and ends a drain too. One that was not is followed by a restart,
    later and later the more of them come in a row, and by none at all in a crash loop.
    """
    asked = i.stopping_since is not None or i.wanted is DesiredState.STOPPED
    ended = replace(
        i, process=None, reading=None, unanswered_since=None, was_ready=False, drain=i.drain and not asked,
        stopping_since=None, killed=False, exit=how,
    )  # fmt: skip
    if asked:
        return replace(ended, crashes=Crashes())
    c = i.crashes
    steady = i.was_ready and now - i.started_at >= rules.steady
    in_row = 1 if steady else c.in_row + 1
    times = (*(t for t in c.times if now - t < rules.span), now)
    if len(times) >= rules.crashes:
        why = f"{len(times)} crashes within {rules.span:g} s, the last: {how}"
        return replace(ended, crashes=Crashes(times, in_row, None, why))
    wait = min(rules.first * 2 ** min(in_row - 1, 30), rules.most)
    wait *= 1 + rules.jitter * (2 * chance - 1)
    return replace(ended, crashes=Crashes(times, in_row, now + wait))


def start_due(i: Instance, now: float) -> bool:
    """Whether it is to be started now: wanted, without a process, not failed, its wait over."""
    if i.wanted is not DesiredState.RUNNING or i.process is not None or i.crashes.failed:
        return False
    return i.crashes.restart_at is None or now >= i.crashes.restart_at


def kill_due(i: Instance, now: float, patience: Patience) -> bool:
    """Whether it ignored SIGTERM for long enough; also one that is stopped by SIGSTOP ends by SIGKILL."""
    return (
        i.process is not None
        and i.stopping_since is not None
        and not i.killed
        and now - i.stopping_since >= patience.stop
    )
