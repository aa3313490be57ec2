"""The agent's one function that changes its state: events in, a new state and effects out. No clock, no I/O.

A step of a roll is written down before its orders are given: the reducer asks for `Save`, keeps the orders, and
gives them when `Saved` says that the step is on disk. Where it cannot be written, the roll stays where it was
and pauses.
"""

from __future__ import annotations

import random
import signal as signals
from collections.abc import Iterable
from dataclasses import fields, replace
from typing import Any

from juniperward.agent import views
from juniperward.agent.messages import (
    ControlRequest,
    Effect,
    Event,
    InstanceAnswered,
    InstanceUnanswered,
    LogEvent,
    ProcessExited,
    ProcessSpawned,
    ReplyToClient,
    SaveState,
    SendOrder,
    SendSignal,
    SettingsLoaded,
    SpawnProcess,
    State,
    StateRestored,
    StateSaved,
    Tick,
    WatchInstance,
)
from juniperward.fleet import roll as rolls
from juniperward.fleet.decisions import after_exit, kill_due, phase, start_due
from juniperward.fleet.model import DesiredState, Instance, Phase, RollRules
from juniperward.fleet.roll import Mode, Order, RollCommand, RollRejectedError, RollStage

SAVE_AGAIN = 1.0  # seconds after which a state that could not be written is tried again
METER_KEEP = 60.0  # seconds of service that are kept in mind


class Reducer:
    """Holds the state; `reduce` is the only way to change it."""

    def __init__(self, seed: int) -> None:
        self.state = State()
        self.random = random.Random(seed)
        self.effects: list[Effect] = []
        self.now = 0.0

    def reduce(self, now: float, events: Iterable[Event]) -> list[Effect]:
        """Take in all events of a round; the effects are to be carried out in their order."""
        self.now, self.effects = now, []
        for event in events:
            self._take(event)
        s = self.state
        durable = s.durable()
        asked = any(isinstance(e, SaveState) for e in self.effects)
        if durable != s.saved and not asked and now >= s.save_again_at:
            self.effects.append(SaveState(durable))
        return self.effects

    def _take(self, event: Event) -> None:
        match event:
            case Tick():
                self._tick()
            case SettingsLoaded():
                self._configured(event)
            case StateRestored():
                self._restored(event)
            case InstanceAnswered(name=name, reading=reading):
                i = self.state.instances.get(name)
                if i is not None and i.process is not None and i.process.pid == reading.pid:
                    up = i.was_ready or (reading.ready and reading.heard)
                    if up and not i.was_ready:
                        self._note("ready", instance=name, seconds=round(self.now - i.started_at, 3))
                    elif i.unanswered_since is not None and self._phase(i) is Phase.SILENT:
                        self._note("answers again", instance=name)
                    self._put(replace(i, reading=reading, unanswered_since=None, was_ready=up))
            case InstanceUnanswered(name=name, process=process, since=since, text=text):
                i = self.state.instances.get(name)
                if i is not None and i.process == process:
                    was = self._phase(i)
                    kept = i.unanswered_since if i.unanswered_since is not None else since
                    i = replace(i, unanswered_since=kept)
                    self._put(i)
                    if self._phase(i) is Phase.SILENT and was is not Phase.SILENT:
                        self._note("silent", "warning", instance=name, why=text)
            case ProcessExited(name=name, process=process, how=how):
                i = self.state.instances.get(name)
                if i is not None and i.process == process:
                    self._exited(i, how)
            case ProcessSpawned():
                self._spawned(event)
            case StateSaved():
                self._saved(event)
            case ControlRequest():
                self._asked(event)

    # --- small things --------------------------------------------------------------------------------------

    def _put(self, i: Instance) -> None:
        self.state = replace(self.state, instances=self.state.instances.set(i.name, i))

    def _phase(self, i: Instance) -> Phase:
        return phase(i, self.now, self.state.rules.patience)

    def _note(self, event: str, level: str = "info", **given: Any) -> None:
        roll = self.state.roll
        name = given.get("instance")
        if roll is not None and not roll.over and name is not None:
            for s in roll.steps:
                if s.name == name and s.stage in rolls.ACTIVE:
                    given.update(roll=roll.id, step=s.stage.value)
        self.effects.append(LogEvent(event, given, level))

    def _reply(self, client: int, body: dict[str, Any], status: int = 200) -> None:
        self.effects.append(ReplyToClient(client, status, body))

    # --- what happens to instances -------------------------------------------------------------------------

    def _configured(self, e: SettingsLoaded) -> None:
        s = self.state
        instances = s.instances
        for name in e.names:
            if name not in instances:
                wanted = DesiredState.STOPPED if name in e.stopped else DesiredState.RUNNING
                instances = instances.set(name, Instance(name, wanted))
        gone = frozenset(n for n in instances if n not in e.names)
        self.state = replace(s, instances=instances, edition=e.edition, rules=e.rules, leaving=gone)
        for name in sorted(gone):
            self._note("taken out of the settings", instance=name)
            self._stop(self.state.instances[name], "taken out of the settings")
        if s.edition and s.edition != e.edition:
            more = {}
            if s.roll is not None and not s.roll.over:
                more = {"roll": s.roll.id, "goes_on_to": s.roll.target}
            self._note("settings changed", edition=e.edition, before=s.edition, **more)
        if e.asked_by is not None:
            self._reply(e.asked_by, {"edition": e.edition, "changed": s.edition != e.edition})

    def _restored(self, e: StateRestored) -> None:
        """Take up what an earlier agent left. What it had told its processes is told again if need be."""
        d = e.durable
        running = {name: (process, at) for name, process, at in e.running}
        instances = self.state.instances
        for i in d.instances:
            if i.process is not None and i.name not in running:
                # It ended while nobody looked; how is not known, and is held against nobody.
                i = replace(
                    i, process=None, was_ready=False, stopping_since=None, exit="ended while no agent looked"
                )
            instances = instances.set(i.name, i)
        for name, (process, at) in running.items():
            i = instances.get(name, Instance(name, DesiredState.RUNNING))
            # An edition that was never written down belongs to a start that was under way.
            same = i.process == process
            if not same:
                i = replace(i, stopping_since=None)
            edition = i.edition if same else self._goal(d.roll, name) or i.edition
            instances = instances.set(
                name,
                replace(i, process=process, started_at=at, edition=edition, was_ready=same and i.was_ready),
            )
            if same and i.stopping_since is not None:
                # Told to end: told again, as that may not have reached it, and killed at the time set before.
                self.effects.append(SendSignal(name, process, signals.SIGTERM))
            self.effects.append(WatchInstance(name, process))
            self.effects.append(LogEvent("adopted", {"instance": name, "pid": process.pid}))
        self.state = replace(
            self.state, instances=instances, roll=d.roll, rolls=d.rolls, edition=d.edition, saved=d
        )
        if d.roll is not None and not d.roll.over:
            self.effects.append(LogEvent("roll taken up", {"roll": d.roll.id, "mode": d.roll.mode.value}))

    @staticmethod
    def _goal(roll: rolls.Roll | None, name: str) -> str:
        """The edition that a roll under way would start this instance with, if it is at that."""
        if roll is None or roll.over:
            return ""
        for s in roll.steps:
            if s.name == name and s.stage in (RollStage.STARTING, RollStage.SOAKING):
                return roll.goal(s)
        return ""

    def _exited(self, i: Instance, how: str) -> None:
        s = self.state
        ended = after_exit(i, self.now, how, s.rules.restart, self.random.random())
        asked = i.stopping_since is not None or i.wanted is DesiredState.STOPPED
        self._note("ended" if asked else "crashed", "info" if asked else "error", instance=i.name, how=how)
        if ended.crashes.failed and not i.crashes.failed:
            self._note("failed", "error", instance=i.name, why=ended.crashes.failed)
        self.effects.append(WatchInstance(i.name, None))
        if i.name in s.leaving:
            self.state = replace(s, instances=s.instances.discard(i.name), leaving=s.leaving - {i.name})
        else:
            self._put(ended)

    def _spawned(self, e: ProcessSpawned) -> None:
        i = self.state.instances.get(e.name)
        if i is None:
            return
        if e.process is None:
            # What cannot be started counts as crashed, so that it is tried again later and later.
            self._put(replace(i, edition=e.edition))
            self._exited(self.state.instances[e.name], e.why)
            return
        self._put(
            replace(
                i, process=e.process, started_at=self.now, edition=e.edition, reading=None,
                unanswered_since=None, was_ready=False, stopping_since=None, killed=False,
                crashes=replace(i.crashes, restart_at=None),
            )
        )  # fmt: skip
        self.effects.append(WatchInstance(e.name, e.process))
        self._note("started", instance=e.name, pid=e.process.pid, edition=e.edition)

    def _stop(self, i: Instance, why: str) -> None:
        """Mean it to be stopped; a roll under way has nothing more to do with it."""
        s = self.state
        if s.roll is not None and not s.roll.over:
            self.state = s = replace(s, roll=rolls.leave_out(s.roll, i.name, why))
        i = replace(i, wanted=DesiredState.STOPPED, crashes=replace(i.crashes, restart_at=None))
        self._put(i)
        self._do(Order(RollCommand.STOP, i.name))
        if i.process is None and i.name in s.leaving:
            instances = self.state.instances.discard(i.name)
            self.state = replace(self.state, instances=instances, leaving=s.leaving - {i.name})

    def _do(self, order: Order) -> None:
        """Carry an order out, unless it has been: orders may come twice."""
        i = self.state.instances.get(order.name)
        if i is None:
            return
        match order.do:
            case RollCommand.START:
                if i.process is None and i.wanted is DesiredState.RUNNING:
                    self._put(replace(i, drain=False, edition=order.edition or i.edition))
                    self.effects.append(
                        SpawnProcess(i.name, order.edition or i.edition or self.state.edition)
                    )
            case RollCommand.STOP:
                if i.process is not None and i.stopping_since is None:
                    self._put(replace(i, stopping_since=self.now))
                    self.effects.append(SendSignal(i.name, i.process, signals.SIGTERM))
                    self._note("stopping", instance=i.name)
            case RollCommand.KILL:
                if i.process is not None and not i.killed:
                    self._put(replace(i, stopping_since=self.now, killed=True))
                    self.effects.append(SendSignal(i.name, i.process, signals.SIGKILL))
                    self._note("killed", "warning", instance=i.name)
            case RollCommand.DRAIN | RollCommand.RESUME:
                drain = order.do is RollCommand.DRAIN
                if i.process is not None:
                    self._put(replace(i, drain=drain))
                    self.effects.append(SendOrder(i.name, order.do.value))
                    self._note("told to drain" if drain else "told to resume", instance=i.name)

    # --- time ------------------------------------------------------------------------------------------------

    def _tick(self) -> None:
        s = self.state
        readings = {n: i.reading for n, i in s.instances.items() if i.reading is not None}
        self.state = replace(s, meter=s.meter.read(self.now, readings, METER_KEEP))
        for i in list(self.state.instances.values()):
            self._keep(i)
        self._roll()

    def _keep(self, i: Instance) -> None:
        """Start what is due, kill what does not end, drain again what came back meanwhile."""
        s = self.state
        if start_due(i, self.now) and not self._in_roll(i.name):
            self._put(replace(i, crashes=replace(i.crashes, restart_at=None)))
            self.effects.append(SpawnProcess(i.name, i.edition or s.edition))
        elif kill_due(i, self.now, s.rules.patience):
            self._note("does not end", "warning", instance=i.name)
            self._do(Order(RollCommand.KILL, i.name))
        elif i.drain and i.stopping_since is None and i.reading is not None and i.reading.phase == "serving":
            self.effects.append(SendOrder(i.name, RollCommand.DRAIN.value))

    def _in_roll(self, name: str) -> bool:
        """Whether a roll is to start this one, after a stop that it ordered itself."""
        roll = self.state.roll
        if roll is None or roll.over:
            return False
        crashed = bool(self.state.instances[name].crashes.in_row)
        for s in roll.steps:
            if s.name == name:
                return s.stage in (RollStage.DRAINING, RollStage.STOPPING) or (
                    s.stage is RollStage.STARTING and not crashed
                )
        return False

    def _roll(self) -> None:
        s = self.state
        if s.roll is None or s.roll.over or s.writing:
            return
        made, orders = rolls.step(s.roll, s.instances, s.meter, self.now, s.rules.patience)
        if made == s.roll:
            for order in orders:
                self._do(order)
            return
        self._step(made, orders)

    def _step(self, made: rolls.Roll, orders: list[Order], client: int | None = None) -> None:
        """Have a changed roll written down; its orders are given then."""
        s = self.state
        replies = s.replies if client is None else (*s.replies, client)
        before = s.before if s.writing else s.roll
        pending = (*s.pending, *orders)
        self.state = replace(s, roll=made, before=before, pending=pending, replies=replies, writing=True)
        self.effects.append(SaveState(self.state.durable()))

    def _saved(self, e: StateSaved) -> None:
        s = self.state
        pending, before, replies, made, writing = s.pending, s.before, s.replies, s.roll, s.writing
        self.state = replace(s, pending=(), before=None, replies=(), writing=False)
        if e.error:
            self._note("cannot write the state", "error", why=e.error)
            self.state = replace(self.state, save_again_at=self.now + SAVE_AGAIN)
            if made is not None and writing:
                why = f"the plan cannot be written: {e.error}"
                old = before if before is not None and before.id == made.id else None
                self.state = replace(self.state, roll=rolls.pause(old, why) if old is not None else before)
            for client in replies:
                self._reply(client, {"error": f"the plan cannot be written: {e.error}"}, 503)
            return
        self.state = replace(self.state, saved=e.durable)
        if made is not None and writing:
            self._tell_roll(before, made)
        for order in pending:
            self._do(order)
        for client in replies:
            self._reply(client, views.roll_view(made) if made is not None else {})

    def _tell_roll(self, before: rolls.Roll | None, made: rolls.Roll) -> None:
        old = {x.name: x.stage for x in before.steps} if before is not None and before.id == made.id else {}
        for x in made.steps:
            if x.stage is not old.get(x.name, RollStage.WAITING):
                note = {"note": x.note} if x.note else {}
                what = {"instance": x.name, "roll": made.id, "step": x.stage.value, **note}
                self.effects.append(LogEvent("roll step", what))
        if before is None or before.id != made.id or before.mode is not made.mode:
            level = "warning" if made.mode is Mode.PAUSED else "info"
            fields_ = {"roll": made.id, "mode": made.mode.value, "target": made.target}
            self.effects.append(
                LogEvent("roll", {**fields_, "why": made.why} if made.why else fields_, level)
            )

    # --- orders of clients -----------------------------------------------------------------------------------

    def _asked(self, e: ControlRequest) -> None:
        s = self.state
        if e.verb == "status":
            self._reply(e.client, views.status(s, self.now))
            return
        unknown = [n for n in e.names if n not in s.instances]
        if unknown:
            self._reply(e.client, {"error": f"no such instance: {', '.join(unknown)}"}, 404)
            return
        names = e.names or tuple(sorted(s.instances))
        try:
            if e.verb.startswith("roll"):
                self._asked_roll(e, list(names))
                return
            self._order(e.verb, names)
        except RollRejectedError as error:
            self._reply(e.client, {"error": str(error)}, 409)
            return
        self._reply(e.client, {"done": e.verb, "instances": list(names)})

    def _order(self, verb: str, names: Iterable[str]) -> None:
        for name in names:
            i = self.state.instances[name]
            match verb:
                case "start":
                    self._put(replace(i, wanted=DesiredState.RUNNING, crashes=type(i.crashes)()))
                case "stop":
                    self._stop(i, "stopped by order")
                case "kill":
                    self._do(Order(RollCommand.KILL, name))
                case "drain":
                    self._do(Order(RollCommand.DRAIN, name))
                case "resume":
                    self._do(Order(RollCommand.RESUME, name))
                case _:
                    raise RollRejectedError(f"no such order: {verb}")

    def _asked_roll(self, e: ControlRequest, names: list[str]) -> None:
        s = self.state
        if s.writing:
            raise RollRejectedError("a step of a roll is being written down; ask again")
        if e.verb == "roll":
            if s.roll is not None and not s.roll.over:
                raise RollRejectedError(f"roll {s.roll.id} is under way ({s.roll.mode.value})")
            rules = roll_rules(s.rules.roll, e.options, len(names))
            made = rolls.plan(
                f"r{s.rolls + 1}", s.edition, names, s.instances, rules, s.meter, self.now, s.rules.patience
            )
            if e.options.get("dry_run"):
                self._reply(e.client, views.roll_view(made))
                return
            self.state = replace(s, rolls=s.rolls + 1)
            self._step(made, [], e.client)
            return
        if s.roll is None:
            raise RollRejectedError("no roll has been made")
        orders: list[Order] = []
        match e.verb:
            case "roll_show":
                self._reply(e.client, views.roll_view(s.roll))
                return
            case "roll_pause":
                if s.roll.over:
                    raise RollRejectedError(f"roll {s.roll.id} is over: {s.roll.mode.value}")
                made = rolls.pause(s.roll, "paused by order")
            case "roll_resume":
                made = rolls.resume(s.roll)
            case "roll_undo":
                made, orders = rolls.undo(s.roll)
            case "roll_end":
                made, orders = rolls.end(s.roll)
            case _:
                raise RollRejectedError(f"no such order: {e.verb}")
        self._step(made, orders, e.client)


def roll_rules(base: RollRules, options: dict[str, Any], count: int) -> RollRules:
    """The settings' rules with what an order changes in them; raises Impossible."""
    known = {f.name: f.type for f in fields(RollRules)}
    changes: dict[str, Any] = {}
    for name, value in options.items():
        if name == "dry_run" or value is None:
            continue
        if name == "restart":  # all of these at once, whatever is left
            changes.update(at_once=count, floor=0)
        elif name not in known:
            raise RollRejectedError(f"no such rule of a roll: {name}")
        elif isinstance(value, bool) != (known[name] == "bool") or not isinstance(value, bool | int | float):
            raise RollRejectedError(f"{name}: not a value for it: {value!r}")
        elif value < 0:
            raise RollRejectedError(f"{name}: must not be negative")
        else:
            changes[name] = value
    return replace(base, **changes)
