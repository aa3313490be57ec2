"""Simulates a machine in memory, with faults, and drives the agent's reducer as the agent's loop does."""

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


class AgentCrashedError(Exception):
    """The agent crashed."""


class Reply(NamedTuple):
    """A reply to a client: the HTTP status and the decoded JSON body."""

    status: int
    body: dict[str, Any]


@dataclass
class SimulatedForwarder:
    """The process of an instance; `suspended` means stopped by SIGSTOP."""

    process: Process
    configuration_version: str
    started_at: float
    drained: bool = False
    suspended: bool = False
    sigterm_at: float | None = None
    delivered: int = 0


class World:
    """The time, the processes and the disk of the machine, and the agent on it.

    It can crash the agent before its n-th effect, fail or tear its n-th save, and make processes exit. It asserts
    that an instance never has two processes, and records the least number of ready instances.

    Attributes:
        effect_count: The effects executed so far; `save_count` counts the saves among them.
        forwarders: The running processes by instance name.
        exit_reasons: The reason of the last exit by instance name.
        broken_versions: Exit reasons by configuration version; processes of these versions exit soon after the start.
        unspawnable: Instances whose process cannot be started.
        ignoring_sigterm: Instances whose process ignores SIGTERM.
        crash_before_effect: The agent crashes when this many effects are executed; None: never.
        save_fails: Returns whether the save of this number fails, as on a full disk.
        torn_save: The number of the save that writes half of the file and crashes the agent; None: none.
        min_ready: The least number of ready instances so far.

    """

    def __init__(self, names: tuple[str, ...] = ("n0", "n1", "n2"), seed: int = 1) -> None:
        self.names, self.seed = names, seed
        self.now, self.last_pid, self.effect_count, self.save_count = 1000.0, 100, 0, 0
        self.forwarders: dict[str, SimulatedForwarder] = {}
        self.exit_reasons: dict[str, str] = {}
        self.state_file, self.previous_state_file = b"", b""
        self.replies: list[Reply] = []
        self.log_events: list[LogEvent] = []
        self.configuration_version = "a"
        self.broken_versions: dict[str, str] = {}
        self.unspawnable: set[str] = set()
        self.ignoring_sigterm: set[str] = set()
        self.crash_before_effect: int | None = None
        self.save_fails: Callable[[int], bool] = lambda _: False
        self.torn_save: int | None = None
        self.agent_crashes = 0
        self.min_ready = len(names)
        self.watched: dict[str, Process | None] = {}
        self.unanswered_since: dict[str, float] = {}
        self.start_agent()
        self.run(4.0)
        assert self.ready() == len(names), self.log_events
        self.effect_count = self.save_count = 0
        self.min_ready = len(names)

    # --- the agent --------------------------------------------------------------------------------------------

    def start_agent(self) -> None:
        """Start a new agent, which knows only the state files and the running processes."""
        self.reducer = Reducer(self.seed)
        self.watched.clear()
        self.unanswered_since.clear()
        stored = PersistentState()
        for text in (self.state_file, self.previous_state_file):
            try:
                stored = state_codec.decode(text)
                break
            except msgspec.DecodeError:
                continue
        running = tuple(
            RunningProcess(name, forwarder.process, forwarder.started_at)
            for name, forwarder in sorted(self.forwarders.items())
        )
        self.round([StateRestored(stored, running)])
        self.configure()

    def configure(self, names: tuple[str, ...] | None = None) -> None:
        self.names = names or self.names
        self.round([SettingsLoaded(self.names, frozenset(), self.configuration_version, RULES)])

    def round(self, events: list[Event]) -> None:
        while events:
            outcomes: list[Event] = []
            for effect in self.reducer.reduce(self.now, events):
                if self.crash_before_effect is not None and self.effect_count >= self.crash_before_effect:
                    self.crash_before_effect = None
                    raise AgentCrashedError
                self.effect_count += 1
                outcomes += self.execute(effect)
            events = outcomes

    def execute(self, effect: Effect) -> list[Event]:
        match effect:
            case SaveState(state=stored):
                self.save_count += 1
                if self.save_fails(self.save_count):
                    return [StateSaved(stored, "No space left on device")]
                text = state_codec.encode(stored)
                if self.torn_save == self.save_count:
                    self.torn_save = None
                    self.previous_state_file, self.state_file = self.state_file, text[: len(text) // 2]
                    raise AgentCrashedError
                self.previous_state_file, self.state_file = self.state_file, text
                return [StateSaved(stored)]
            case SpawnProcess(name=name, configuration_version=configuration_version):
                if name in self.unspawnable:
                    return [ProcessSpawned(name, configuration_version, None, "cannot be started")]
                assert name not in self.forwarders, f"{name} is already running: started twice"
                self.last_pid += 1
                self.forwarders[name] = SimulatedForwarder(
                    Process(self.last_pid, self.last_pid), configuration_version, self.now
                )
                return [ProcessSpawned(name, configuration_version, self.forwarders[name].process)]
            case SendSignal(name=name, process=process, signal=number):
                forwarder = self.forwarders.get(name)
                if forwarder is not None and forwarder.process == process:
                    if number == signal.SIGKILL:
                        self.exit_process(name, "signal 9")
                    elif name not in self.ignoring_sigterm and forwarder.sigterm_at is None:
                        forwarder.sigterm_at = self.now
            case SendOrder(name=name, process=process, verb=verb):
                forwarder = self.forwarders.get(name)
                if forwarder is not None and forwarder.process == process and not forwarder.suspended:
                    forwarder.drained = verb == "drain"
            case WatchInstance(name=name, process=watched):
                self.watched[name] = watched
                self.unanswered_since.pop(name, None)
            case ReplyToClient(response=response):
                self.replies.append(Reply(response.status, msgspec.to_builtins(response.body)))
            case LogEvent():
                self.log_events.append(effect)
        return []

    # --- the machine ------------------------------------------------------------------------------------------

    def exit_process(self, name: str, exit_reason: str) -> None:
        del self.forwarders[name]
        self.exit_reasons = {**self.exit_reasons, name: exit_reason}

    def ready(self) -> int:
        return sum(
            self.now - forwarder.started_at >= 0.3
            and not forwarder.drained
            and not forwarder.suspended
            and forwarder.sigterm_at is None
            for forwarder in self.forwarders.values()
        )

    def reading(self, forwarder: SimulatedForwarder) -> Reading:
        is_up = self.now - forwarder.started_at >= 0.3
        return replace(
            READY_READING, at=self.now, pid=forwarder.process.pid,
            phase="drained" if forwarder.drained else "serving",
            ready=is_up and not forwarder.drained, discovery_synced=is_up, delivered=forwarder.delivered,
        )  # fmt: skip

    def step(self, seconds: float = 0.1) -> None:
        """Advance the time: update the processes, then run a round of the agent with the events that follow."""
        self.now += seconds
        for name, forwarder in list(self.forwarders.items()):
            exit_reason = self.broken_versions.get(forwarder.configuration_version)
            if exit_reason is not None and self.now - forwarder.started_at >= 0.1:
                self.exit_process(name, exit_reason)
            elif (
                forwarder.sigterm_at is not None
                and not forwarder.suspended
                and self.now - forwarder.sigterm_at >= 0.2
            ):
                self.exit_process(name, "exit 0")
            elif not forwarder.drained and not forwarder.suspended:
                forwarder.delivered += 3
        events: list[Event] = []
        for name, process in self.watched.items():
            if process is None:
                continue
            running = self.forwarders.get(name)
            if running is None or running.process != process:
                events.append(ProcessExited(name, process, self.exit_reasons.get(name, "gone")))
            elif running.suspended:
                since = self.unanswered_since.setdefault(name, self.now)
                events.append(InstanceUnanswered(name, process, since, "no answer"))
            else:
                self.unanswered_since.pop(name, None)
                events.append(InstanceAnswered(name, self.reading(running)))
        try:
            self.round([*events, Tick()])
        except AgentCrashedError:
            self.agent_crashes += 1
            self.now += 0.5
            self.start_agent()

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> bool:
        """Advance the time until `until` holds or `seconds` have passed; return whether it holds."""
        end = self.now + seconds
        while self.now < end:
            if until():
                return True
            self.step()
            self.min_ready = min(self.min_ready, self.ready())
        return until()

    # --- requests ---------------------------------------------------------------------------------------------

    def request(self, verb: str, *names: str, **options: Any) -> Reply:
        """Return the reply to a request; if the agent crashes, restart it and send the request once more."""
        before = len(self.replies)
        for _ in range(2):
            try:
                self.round([ControlRequest(1, verb, names, options)])
            except AgentCrashedError:
                self.agent_crashes += 1
                self.start_agent()
                roll = self.reducer.state.roll
                if verb == "roll" and roll is not None and not roll.over:
                    return Reply(200, {})
                continue
            break
        return self.replies[-1] if len(self.replies) > before else Reply(504, {})

    @property
    def roll_mode(self) -> str:
        roll = self.reducer.state.roll
        return roll.mode.value if roll is not None else ""

    def roll_is_over(self) -> bool:
        roll = self.reducer.state.roll
        return roll is not None and roll.over
