"""A simulated machine for the agent's reducer: processes, disk and time, all in memory and all in its hands.

`World.run` drives the real reducer as the agent's loop does. It can kill the agent before its n-th effect, fail
or tear its n-th save, and take processes away; what was promised is asserted all the time: never two processes of
an instance, never fewer ready ones than the floor.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, NamedTuple

import msgspec

from juniperward.agent import state_codec
from juniperward.agent.effects import (
    Effect,
    LogEvent,
    ReplyToClient,
    SaveState,
    SendOrder,
    SendSignal,
    SpawnProcess,
    WatchInstance,
)
from juniperward.agent.events import (
    ControlRequest,
    Event,
    InstanceAnswered,
    InstanceUnanswered,
    ProcessExited,
    ProcessSpawned,
    RunningProcess,
    SettingsLoaded,
    StateRestored,
    StateSaved,
    Tick,
)
from juniperward.agent.reducer import Reducer
from juniperward.agent.state import PersistentState, Rules
from juniperward.fleet.model import Process, Reading, RestartPolicy, RollRules, Timeouts
from tests.test_fleet import READY_READING

RULES = Rules(
    RestartPolicy(first_delay_s=0.3, max_delay_s=2.0), Timeouts(unresponsive_s=1.0, start_s=8.0, stop_s=2.0),
    RollRules(min_ready=2, soak_s=0.5, max_soak_s=2.0, drain_timeout_s=3.0, blocked_timeout_s=6.0),
)  # fmt: skip


class AgentDiedError(Exception):
    """The agent's process is gone."""


class Reply(NamedTuple):
    """A reply to a client: its HTTP status, and the object that its JSON body holds."""

    status: int
    body: dict[str, Any]


@dataclass
class SimulatedForwarder:
    """A forwarder's process as the machine has it."""

    process: Process
    configuration_version: str
    born: float
    drained: bool = False
    suspended: bool = False  # by SIGSTOP
    term_at: float | None = None
    delivered: int = 0


class World:
    """Time, processes and the agent's disk."""

    def __init__(self, names: tuple[str, ...] = ("n0", "n1", "n2"), seed: int = 1) -> None:
        self.names, self.seed = names, seed
        self.now, self.pid, self.effects_done, self.saves = 1000.0, 100, 0, 0
        self.forwarders: dict[str, SimulatedForwarder] = {}
        self.disk, self.old = b"", b""  # the state file and the one before
        self.replies: list[Reply] = []
        self.notes: list[LogEvent] = []
        self.configuration_version = "a"
        self.broken_versions: dict[str, str] = {}  # edition to how its processes end at once
        self.hopeless: set[str] = set()  # instances that cannot be spawned
        self.stubborn: set[str] = set()  # ignore SIGTERM
        self.die_at: int | None = None  # effect before which the agent dies
        self.full: Callable[[int], bool] = lambda _: False
        self.tear_at: int | None = None  # save that is cut off half way, with the agent's death
        self.deaths = 0
        self.least = len(names)
        self.watched: dict[str, Process | None] = {}
        self.unanswered: dict[str, float] = {}
        self.begin()
        self.run(4.0)
        assert self.ready() == len(names), self.notes
        self.effects_done = self.saves = 0
        self.least = len(names)

    # --- the agent's life ------------------------------------------------------------------------------------

    def begin(self) -> None:
        """A new agent's process, with nothing but the disk and what runs."""
        self.reducer = Reducer(self.seed)
        self.watched.clear()
        self.unanswered.clear()
        stored = PersistentState()
        for text in (self.disk, self.old):
            try:
                stored = state_codec.decode(text)
                break
            except msgspec.DecodeError:
                continue
        running = tuple(RunningProcess(n, m.process, m.born) for n, m in sorted(self.forwarders.items()))
        self.round([StateRestored(stored, running)])
        self.configure()

    def configure(self, names: tuple[str, ...] | None = None) -> None:
        self.names = names or self.names
        self.round([SettingsLoaded(self.names, frozenset(), self.configuration_version, RULES)])

    def round(self, events: list[Event]) -> None:
        while events:
            follow: list[Event] = []
            for effect in self.reducer.reduce(self.now, events):
                if self.die_at is not None and self.effects_done >= self.die_at:
                    self.die_at = None
                    raise AgentDiedError
                self.effects_done += 1
                follow += self.perform(effect)
            events = follow

    def perform(self, effect: Effect) -> list[Event]:
        match effect:
            case SaveState(state=stored):
                self.saves += 1
                if self.full(self.saves):
                    return [StateSaved(stored, "No space left on device")]
                text = state_codec.encode(stored)
                if self.tear_at == self.saves:
                    self.tear_at = None
                    self.old, self.disk = self.disk, text[: len(text) // 2]
                    raise AgentDiedError
                self.old, self.disk = self.disk, text
                return [StateSaved(stored)]
            case SpawnProcess(name=name, configuration_version=configuration_version):
                if name in self.hopeless:
                    return [ProcessSpawned(name, configuration_version, None, "cannot be started")]
                assert name not in self.forwarders, f"{name} runs already: started twice"
                self.pid += 1
                self.forwarders[name] = SimulatedForwarder(
                    Process(self.pid, self.pid), configuration_version, self.now
                )
                return [ProcessSpawned(name, configuration_version, self.forwarders[name].process)]
            case SendSignal(name=name, process=process, signal=number):
                m = self.forwarders.get(name)
                if m is not None and m.process == process:
                    if number == signal.SIGKILL:
                        self.exit_process(name, "signal 9")
                    elif name not in self.stubborn and m.term_at is None:
                        m.term_at = self.now
            case SendOrder(name=name, verb=verb):
                m = self.forwarders.get(name)
                if m is not None and not m.suspended:
                    m.drained = verb == "drain"
            case WatchInstance(name=name, process=watched):
                self.watched[name] = watched
                self.unanswered.pop(name, None)
            case ReplyToClient(response=response):
                self.replies.append(Reply(response.status, msgspec.to_builtins(response.body)))
            case LogEvent():
                self.notes.append(effect)
        return []

    # --- the machine ------------------------------------------------------------------------------------------

    def exit_process(self, name: str, how: str) -> None:
        del self.forwarders[name]
        self.ends = {**getattr(self, "ends", {}), name: how}

    def ready(self) -> int:
        return sum(
            self.now - m.born >= 0.3 and not m.drained and not m.suspended and m.term_at is None
            for m in self.forwarders.values()
        )

    def reading(self, m: SimulatedForwarder) -> Reading:
        up = self.now - m.born >= 0.3
        return replace(
            READY_READING, at=self.now, pid=m.process.pid, phase="drained" if m.drained else "serving",
            ready=up and not m.drained, discovery_synced=up, delivered=m.delivered,
        )  # fmt: skip

    def step(self, seconds: float = 0.1) -> None:
        """Time passes; the machine's part of it, then the agent's."""
        self.now += seconds
        for name, m in list(self.forwarders.items()):
            how = self.broken_versions.get(m.configuration_version)
            if how is not None and self.now - m.born >= 0.1:
                self.exit_process(name, how)
            elif m.term_at is not None and not m.suspended and self.now - m.term_at >= 0.2:
                self.exit_process(name, "exit 0")
            elif not m.drained and not m.suspended:
                m.delivered += 3
        events: list[Event] = []
        for name, process in self.watched.items():
            if process is None:
                continue
            m2 = self.forwarders.get(name)
            if m2 is None or m2.process != process:
                events.append(ProcessExited(name, process, getattr(self, "ends", {}).get(name, "gone")))
            elif m2.suspended:
                since = self.unanswered.setdefault(name, self.now)
                events.append(InstanceUnanswered(name, process, since, "no answer"))
            else:
                self.unanswered.pop(name, None)
                events.append(InstanceAnswered(name, self.reading(m2)))
        try:
            self.round([*events, Tick()])
        except AgentDiedError:
            self.deaths += 1
            self.now += 0.5
            self.begin()

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> bool:
        """Go on for so long, or until something holds; whether it does."""
        end = self.now + seconds
        while self.now < end:
            if until():
                return True
            self.step()
            self.least = min(self.least, self.ready())
        return until()

    # --- orders -----------------------------------------------------------------------------------------------

    def request(self, verb: str, *names: str, **options: Any) -> Reply:
        """The reply to an order; an agent that dies of it is started again and asked once more."""
        before = len(self.replies)
        for _ in range(2):
            try:
                self.round([ControlRequest(1, verb, names, options)])
            except AgentDiedError:
                self.deaths += 1
                self.begin()
                roll = self.reducer.state.roll
                if verb == "roll" and roll is not None and not roll.over:
                    return Reply(200, {})
                continue
            break
        return self.replies[-1] if len(self.replies) > before else Reply(504, {})

    @property
    def mode(self) -> str:
        roll = self.reducer.state.roll
        return roll.mode.value if roll is not None else ""

    def over(self) -> bool:
        roll = self.reducer.state.roll
        return roll is not None and roll.over
