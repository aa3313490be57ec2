"""Rolling restarts: a plan that is a value, and one step of it at a time. No clock, no I/O.

`plan` makes a `Roll`; `step(roll, fleet, meter, now)` looks at the fleet and returns the roll as it stands
then and the orders that bring it on. Orders may be carried out twice without harm: a roll that was written
down before its orders were carried out can be taken up again by another process at any moment.

A roll goes on by itself only while all is well. It pauses, and says why, where an instance does not come up,
where one is up but does not deliver, where the fleet's service falls, and where going on would leave fewer
ready instances than the floor. People then `resume` it, `undo` it or `end` it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import StrEnum

from juniperward.fleet.decisions import overdue_start, phase
from juniperward.fleet.model import AWAY, DesiredState, Instance, Patience, Phase, RollRules
from juniperward.fleet.service import Meter, Tally, tally


class RollStage(StrEnum):
    """Where one instance is in a roll."""

    WAITING = "waiting"
    DRAINING = "draining"
    STOPPING = "stopping"
    STARTING = "starting"
    SOAKING = "soaking"
    DONE = "done"
    LEFT_OUT = "left out"  # by order, while the roll was under way


class Mode(StrEnum):
    """What a whole roll is doing."""

    GOING = "going"
    PAUSED = "paused"
    UNDOING = "undoing"
    DONE = "done"
    UNDONE = "undone"
    ENDED = "ended"  # by order, with what was not begun left as it was


OVER = frozenset({Mode.DONE, Mode.UNDONE, Mode.ENDED})
ACTIVE = frozenset({RollStage.DRAINING, RollStage.STOPPING, RollStage.STARTING, RollStage.SOAKING})


@dataclass(frozen=True, slots=True)
class Step:
    """One instance in a roll."""

    name: str
    before: str  # the edition that it ran when the roll was made; undoing goes back to it
    stage: RollStage = RollStage.WAITING
    since: float = 0.0
    note: str = ""


@dataclass(frozen=True, slots=True)
class Roll:
    """A roll as it is written down."""

    id: str
    target: str  # the edition that all are to run
    rules: RollRules
    steps: tuple[Step, ...]
    mode: Mode = Mode.GOING
    why: str = ""  # of a pause, or of an end
    baseline: float | None = None  # the fleet's share of good calls before
    made_at: float = 0.0
    stuck_since: float | None = None

    @property
    def over(self) -> bool:
        return self.mode in OVER

    def goal(self, step: Step) -> str:
        """The edition that this instance is to run."""
        return step.before if self.mode is Mode.UNDOING else self.target


class RollCommand(StrEnum):
    """What an order asks for."""

    DRAIN = "drain"
    RESUME = "resume"
    STOP = "stop"
    KILL = "kill"
    START = "start"


@dataclass(frozen=True, slots=True)
class Order:
    """Something to be done to an instance; `edition` goes with a start."""

    do: RollCommand
    name: str
    edition: str = ""


class RollRejectedError(Exception):
    """No such roll can be made; the text says why."""


Fleet = Mapping[str, Instance]


def plan(
    number: str, target: str, names: list[str], fleet: Fleet, rules: RollRules, meter: Meter, now: float,
    patience: Patience,
) -> Roll:  # fmt: skip
    """A roll of these instances. Those that are away already come first: they cost nothing.

    Raises Impossible for unknown names, none at all, or a floor that cannot be held.
    """
    unknown = [n for n in names if n not in fleet]
    if unknown:
        raise RollRejectedError(f"no such instance: {', '.join(unknown)}")
    running = [n for n in dict.fromkeys(names) if fleet[n].wanted is DesiredState.RUNNING]
    if not running:
        raise RollRejectedError("none of these instances is meant to run")
    if rules.at_once < 1:
        raise RollRejectedError("at_once: at least one instance at a time")
    meant = sum(i.wanted is DesiredState.RUNNING for i in fleet.values())
    if rules.floor > meant - 1:
        raise RollRejectedError(f"floor: {rules.floor} of {meant} must stay ready, so none can be restarted")
    away = {n for n in running if phase(fleet[n], now, patience) in AWAY}
    order = [n for n in running if n in away] + [n for n in running if n not in away]
    steps = tuple(Step(n, fleet[n].edition or target) for n in order)
    return Roll(number, target, rules, steps, baseline=meter.lately(now, rules.window).share, made_at=now)


def pause(roll: Roll, why: str) -> Roll:
    """Begin nothing more; what is under way with an instance goes on to its end."""
    return roll if roll.over else replace(roll, mode=Mode.PAUSED, why=why, stuck_since=None)


def resume(roll: Roll) -> Roll:
    """Go on after a pause: the instance that failed is tried once more from the start."""
    if roll.mode is not Mode.PAUSED:
        raise RollRejectedError(f"roll {roll.id} is {roll.mode.value}, not paused")
    steps = tuple(
        replace(s, stage=RollStage.WAITING, note="") if s.note.startswith("!") else s for s in roll.steps
    )
    return replace(roll, mode=Mode.GOING, why="", steps=steps, stuck_since=None)


def undo(roll: Roll) -> tuple[Roll, list[Order]]:
    """Bring all that the roll has touched back to what it ran before, the latest first.

    What is only draining takes messages again; what was restarted with the edition that it had before has
    nothing to go back to, and is left as it is.
    """
    if roll.over:
        raise RollRejectedError(f"roll {roll.id} is over: {roll.mode.value}")
    steps, orders = [], []
    for s in reversed(roll.steps):
        if s.stage is RollStage.DRAINING:
            orders.append(Order(RollCommand.RESUME, s.name))
            steps.append(replace(s, stage=RollStage.LEFT_OUT, note="takes messages again"))
        elif s.stage in (RollStage.WAITING, RollStage.LEFT_OUT):
            steps.append(replace(s, stage=RollStage.LEFT_OUT, note=s.note or "not begun"))
        elif s.before != roll.target:
            steps.append(replace(s, stage=RollStage.WAITING, note=""))
        elif s.stage is RollStage.DONE:
            steps.append(replace(s, stage=RollStage.LEFT_OUT, note="nothing to go back to"))
        else:
            steps.append(replace(s, note=""))
    roll = replace(roll, mode=Mode.UNDOING, why="undone by order", steps=tuple(steps), stuck_since=None)
    return roll, orders


def end(roll: Roll) -> tuple[Roll, list[Order]]:
    """Leave all as it is, but for what is drained: that takes messages again."""
    if roll.over:
        raise RollRejectedError(f"roll {roll.id} is over: {roll.mode.value}")
    orders = [Order(RollCommand.RESUME, s.name) for s in roll.steps if s.stage is RollStage.DRAINING]
    return replace(roll, mode=Mode.ENDED, why="ended by order"), orders


def leave_out(roll: Roll, name: str, why: str) -> Roll:
    """An instance that was given another order meanwhile is this roll's business no longer."""
    steps = tuple(
        replace(s, stage=RollStage.LEFT_OUT, note=why)
        if s.name == name and s.stage is not RollStage.DONE
        else s
        for s in roll.steps
    )
    return replace(roll, steps=steps)


def step(roll: Roll, fleet: Fleet, meter: Meter, now: float, patience: Patience) -> tuple[Roll, list[Order]]:
    """Take the roll on as far as the fleet's present state lets it go."""
    if roll.over:
        return roll, []
    orders: list[Order] = []
    for s in roll.steps:
        if s.stage in ACTIVE:
            roll, more = _on(roll, s, fleet, meter, now, patience)
            orders += more
    if roll.mode in (Mode.GOING, Mode.UNDOING):
        roll = _service(roll, meter, now)
    if roll.mode in (Mode.GOING, Mode.UNDOING):
        roll, more = _begin(roll, fleet, now, patience)
        orders += more
    left = [s for s in roll.steps if s.stage not in (RollStage.DONE, RollStage.LEFT_OUT)]
    if not left and roll.mode in (Mode.GOING, Mode.UNDOING):
        roll = replace(roll, mode=Mode.UNDONE if roll.mode is Mode.UNDOING else Mode.DONE)
    return roll, orders


def ready(fleet: Fleet, now: float, patience: Patience) -> set[str]:
    """Names of the instances that take messages."""
    return {n for n, i in fleet.items() if phase(i, now, patience) is Phase.READY}


def _put(roll: Roll, name: str, stage: RollStage, now: float, note: str = "") -> Roll:
    steps = tuple(replace(s, stage=stage, since=now, note=note) if s.name == name else s for s in roll.steps)
    return replace(roll, steps=steps)


def _begin(roll: Roll, fleet: Fleet, now: float, patience: Patience) -> tuple[Roll, list[Order]]:
    """Begin with the next instances, as far as floor and batch allow."""
    orders: list[Order] = []
    up = ready(fleet, now, patience)
    active = {s.name for s in roll.steps if s.stage in ACTIVE}
    why = ""
    waiting = [s for s in roll.steps if s.stage is RollStage.WAITING]
    waiting.sort(
        key=lambda s: s.name in up
    )  # what is away by now costs nothing, and may be what holds the floor
    for s in waiting:
        if len(active) >= roll.rules.at_once:
            break
        i = fleet.get(s.name)
        if i is None or i.wanted is not DesiredState.RUNNING:
            roll = _put(roll, s.name, RollStage.LEFT_OUT, now, "not meant to run any more")
            continue
        costs = s.name in up
        left = len(up - {s.name})
        if costs and left < roll.rules.floor:
            why = f"{s.name} cannot go: {left} ready ones would be left, the floor is {roll.rules.floor}"
            break
        active.add(s.name)
        up.discard(s.name)
        gentle = costs and not roll.rules.kill
        roll = _put(roll, s.name, RollStage.DRAINING if gentle else RollStage.STOPPING, now)
        orders.append(
            Order(
                RollCommand.DRAIN if gentle else RollCommand.KILL if roll.rules.kill else RollCommand.STOP,
                s.name,
            )
        )
    if not why or active:
        return replace(roll, stuck_since=None), orders
    since = roll.stuck_since if roll.stuck_since is not None else now
    if now - since >= roll.rules.patience:
        return pause(roll, why), orders
    return replace(roll, stuck_since=since), orders


def _service(roll: Roll, meter: Meter, now: float) -> Roll:
    """Pause where the fleet delivers less of what it calls for than before the roll."""
    lately = meter.lately(now, roll.rules.window)
    if roll.baseline is None or lately.ended < roll.rules.least_calls or lately.share is None:
        return roll
    if lately.share >= roll.rules.fall * roll.baseline:
        return roll
    if roll.mode is Mode.UNDOING:
        return roll  # going back is what mends it
    now_and_then = f"{lately.share:.2f} of the calls deliver, {roll.baseline:.2f} did before the roll"
    return pause(roll, f"service fell: {now_and_then}")


def _on(
    roll: Roll, s: Step, fleet: Fleet, meter: Meter, now: float, patience: Patience
) -> tuple[Roll, list[Order]]:
    """One instance that is under way; orders that it has not followed yet are given again."""
    i = fleet.get(s.name)
    if i is None or i.wanted is not DesiredState.RUNNING:
        return _put(roll, s.name, RollStage.LEFT_OUT, now, "stopped by order"), []
    is_now = phase(i, now, patience)
    match s.stage:
        case RollStage.DRAINING:
            return _draining(roll, s, i, is_now, now)
        case RollStage.STOPPING:
            if i.process is None or (i.started_at > s.since and i.edition == roll.goal(s)):
                start = Order(RollCommand.START, s.name, roll.goal(s))
                return _put(roll, s.name, RollStage.STARTING, now), [start]
            return roll, [Order(RollCommand.KILL if roll.rules.kill else RollCommand.STOP, s.name)]
        case RollStage.STARTING:
            return _starting(roll, s, i, is_now, now, patience)
        case RollStage.SOAKING:
            return _soaking(roll, s, i, is_now, now)
    return roll, []


def _draining(roll: Roll, s: Step, i: Instance, is_now: Phase, now: float) -> tuple[Roll, list[Order]]:
    if i.process is None:
        note = f"ended while draining: {i.exit}"
        return _put(roll, s.name, RollStage.STARTING, now, note), [
            Order(RollCommand.START, s.name, roll.goal(s))
        ]
    owing = i.reading.owing if i.reading is not None else 0
    if is_now is Phase.DRAINED:
        return _put(roll, s.name, RollStage.STOPPING, now), [Order(RollCommand.STOP, s.name)]
    if now - s.since >= roll.rules.drain:
        # What it holds is in its journal: the next process goes on with it.
        why = "silent" if is_now is Phase.SILENT else f"{owing} still owed"
        note = f"not drained within {roll.rules.drain:g} s ({why})"
        return _put(roll, s.name, RollStage.STOPPING, now, note), [Order(RollCommand.STOP, s.name)]
    return roll, [] if i.drain else [Order(RollCommand.DRAIN, s.name)]


def _starting(
    roll: Roll, s: Step, i: Instance, is_now: Phase, now: float, patience: Patience
) -> tuple[Roll, list[Order]]:
    if is_now is Phase.READY:
        return _put(roll, s.name, RollStage.SOAKING, now), []
    if s.note.startswith("!"):
        return roll, []  # told already
    why = ""
    if i.crashes.failed:
        why = i.crashes.failed
    elif i.process is None and i.crashes.in_row and i.crashes.times and i.crashes.times[-1] > s.since:
        why = f"it ended at its start: {i.exit}"
    elif overdue_start(i, now, patience) or (i.process is None and now - s.since >= patience.start):
        why = f"not ready {patience.start:g} s after its start"
    if why:
        roll = _put(roll, s.name, RollStage.STARTING, s.since, "!" + why)
        return pause(roll, f"{s.name} does not come up: {why}"), []
    return roll, [Order(RollCommand.START, s.name, roll.goal(s))] if i.process is None else []


def _soaking(roll: Roll, s: Step, i: Instance, is_now: Phase, now: float) -> tuple[Roll, list[Order]]:
    """Ready is what it says; whether it delivers is what counts."""
    if s.note.startswith("!"):
        return roll, []
    if is_now is not Phase.READY:
        if is_now is Phase.SILENT or i.process is None:
            why = i.exit or is_now.value
            roll = _put(roll, s.name, RollStage.SOAKING, s.since, "!" + why)
            return pause(roll, f"{s.name} was ready and is {is_now.value}: {why}"), []
        return _put(roll, s.name, RollStage.SOAKING, now, s.note), []
    assert i.reading is not None
    done, long = tally(i.reading), now - s.since
    need = roll.rules.soak_share * (roll.baseline if roll.baseline is not None else 0.5)
    if done.ended >= roll.rules.least_calls and done.share is not None and done.share < need:
        if long < roll.rules.soak:
            return roll, []
        why = f"{done.good} of {done.ended} calls deliver, {need:.2f} of them must"
        roll = _put(roll, s.name, RollStage.SOAKING, s.since, "!" + why)
        return pause(roll, f"{s.name} is ready but {why}"), []
    if long >= roll.rules.soak_most or (long >= roll.rules.soak and _enough(done, roll)):
        few = "" if done.ended >= roll.rules.least_calls else f"only {done.ended} calls to judge it by"
        return _put(roll, s.name, RollStage.DONE, now, few), []
    return roll, []


def _enough(done: Tally, roll: Roll) -> bool:
    return done.ended >= roll.rules.least_calls or roll.baseline is None
