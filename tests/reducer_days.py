"""Simulated days for the forwarder's reducer: clients, endpoints, discovery, restarts, control and shutdown.

Everything is told and heard as the JSON values of `tests/reducer_codec.py`. `python -m tests.reducer_days FOLDER`
records the days' events with the digests of the effects, for `tests/test_recorded_effects.py`.
"""

from __future__ import annotations

import gzip
import heapq
import json
import random
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from juniperward.forwarder.reducer import Reducer
from juniperward.scheduler.settings import DestinationKind, Idempotency, MessageClass
from tests.helpers import settings
from tests.reducer_codec import decode, digest, encode

OK, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, ERROR, NOT_SENT = 1, 2, 3, 4, 5, 6, 0, 7
CLASSES = (
    MessageClass(latency_objective_s=3.0, deadline_s=15.0, late_weight=0.5),
    MessageClass(
        latency_objective_s=2.0,
        deadline_s=12.0,
        idempotency=Idempotency.IDEMPOTENCY_KEY,
        deduplication_window_s=6.0,
    ),
    MessageClass(latency_objective_s=3.0, deadline_s=9.0, idempotency=Idempotency.NON_IDEMPOTENT),
)


@dataclass(frozen=True)
class Plan:
    """One kind of day; times in seconds."""

    seed: int
    rounds: int = 1500
    arrivals_per_s: float = 20.0
    fault_share: float = 0.1
    hang: tuple[float, float] = (0.0, 0.0)  # calls begun meanwhile are not answered
    keeps: bool = False
    stop_at: float | None = None
    restart_every_s: float | None = None
    control: bool = False
    separate_routes: bool = False
    health_checks: bool = False
    large_fleet: bool = False
    settings: dict[str, Any] = field(default_factory=dict)


DAYS = {
    "plain": Plan(31),
    "faults": Plan(32, fault_share=0.4),
    "hang": Plan(33, hang=(4.0, 12.0), rounds=2500),
    "undelivered_kept": Plan(34, fault_share=0.35, keeps=True, hang=(3.0, 9.0), rounds=2500),
    "restarts": Plan(35, fault_share=0.3, restart_every_s=4.0, rounds=2500),
    "restarts_kept": Plan(36, fault_share=0.3, restart_every_s=5.0, keeps=True, rounds=2500),
    "control": Plan(37, control=True, rounds=2500, keeps=True),
    "shutdown": Plan(38, stop_at=6.0, fault_share=0.2),
    "separate_routes": Plan(39, separate_routes=True, fault_share=0.3),
    "health_checks": Plan(40, health_checks=True, hang=(2.0, 10.0), rounds=2500),
    "large_fleet": Plan(41, large_fleet=True, hang=(3.0, 6.0), rounds=2500),
    "overfull": Plan(42, arrivals_per_s=90.0, hang=(1.0, 6.0), rounds=2500),
}


def make_reducer(plan: Plan, seed: int, kept: frozenset[str]) -> Reducer:
    """Return the reducer of a process."""
    kinds = (DestinationKind(), DestinationKind(batch_size=5, separate_routes=plan.separate_routes))
    config = settings(
        *CLASSES,
        kinds=kinds,
        slots=6,
        max_open=40,
        instances=40 if plan.large_fleet else 1,
        endpoints_polled=True,
        health_checks=plan.health_checks,
        max_attempts=5,
    )
    return Reducer(config, seed, plan.keeps, kept)


class Day:
    """Plays a plan against one forwarder after another; `rounds` yields what is to be recorded."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.random = random.Random(plan.seed)
        self.now = 100.0
        self.serial = 0
        self.process = 0
        self.coming: list[tuple[float, int, Any]] = []
        self.journal: dict[str, list[Any]] = {}  # by id: message, expires, history, notification
        self.kept: set[str] = set()
        self.attempts: dict[int, list[int]] = {}  # messages of attempts that are not over
        self.ids = 0
        self.version = 1
        self.epoch = 0

    def rounds(self) -> Iterator[tuple[float, list[Any], list[Any]]]:
        """Yield the time, the events and the effects of each round; a first event `Start` begins a process."""
        yield from self._start()
        made = 0
        while made < self.plan.rounds and self.coming:
            at = self.coming[0][0]
            self.now = max(self.now, at)
            events = []
            while self.coming and self.coming[0][0] <= self.now:
                events.append(heapq.heappop(self.coming)[2])
            for event in events:
                if isinstance(event, str):
                    yield from self._happen(event)
                    made += 1
            told = [event for event in events if not isinstance(event, str)]
            while told:
                effects = encode(self.reducer.reduce(self.now, [decode(event) for event in told]))
                yield self.now, told, effects
                made += 1
                told = [event for effect in effects for event in self._carry_out(effect)]

    def _later(self, delay: float, event: Any) -> None:
        self.serial += 1
        heapq.heappush(self.coming, (round(self.now + delay, 3), self.serial, event))

    def _start(self) -> Iterator[tuple[float, list[Any], list[Any]]]:
        self.process += 1
        seed = self.plan.seed * 1000 + self.process
        kept = sorted(self.kept)
        self.reducer = make_reducer(self.plan, seed, frozenset(kept))
        yield self.now, [{"Start": [seed, kept]}], []
        self.coming, self.attempts, self.epoch = [], {}, 0
        self._later(0.0, {"EndpointsUpdated": [self.version, True, self._workers(), True, 0]})
        self._later(0.0, {"Replayed": [[{"Restored": row} for row in self.journal.values()]]})
        self._later(0.01, "arrive")
        self._later(3.0, "list")
        if self.plan.control:
            self._later(1.0, "control")
        if self.plan.stop_at is not None:
            self._later(self.plan.stop_at, "stop")
        if self.plan.restart_every_s is not None:
            self._later(self.plan.restart_every_s, "restart")

    def _workers(self) -> list[Any]:
        return [self._worker(d, e, 1) for d in (1, 2, 3) for e in (0, 1)]

    def _worker(self, destination: int, number: int, phase: int) -> Any:
        name, port = f"s-{destination}{number}", 8000 + 10 * destination + number
        rate = 30.0 if self.plan.large_fleet else 0.0
        return {
            "Worker": [name, "127.0.0.1", port, destination, {"Phase": phase}, destination % 2, number, rate]
        }

    def _happen(self, what: str) -> Iterator[tuple[float, list[Any], list[Any]]]:
        match what:
            case "arrive":
                self._later(self.random.expovariate(self.plan.arrivals_per_s), "arrive")
                for _ in range(self.random.choice((1, 1, 1, 5))):
                    self._later(0.0, self._message())
            case "list":
                self._later(2.0, "list")
                self._change_list()
            case "control":
                self._later(0.7, "control")
                verb = self.random.choice(
                    ("status", "drain", "resume", "resume", "fate", "counters", "workers", "stop")
                )
                numbers = (
                    [self.random.randrange(1, self.ids + 12) for _ in range(5)] if verb == "fate" else []
                )
                ids = [name for n in numbers for name in (f"m{n}", f"kept-{n:020d}-1")]
                request = {"Request": [self.serial, {"Verb": verb}, ids]}
                self._later(0.0, {"ControlRequested": [3, request]})
            case "stop":
                self._later(0.0, {"Stop": [self.now + 0.1, self.now + 3.7]})
            case "restart":
                yield from self._start()

    def _message(self) -> Any:
        again = self.ids > 5 and self.random.random() < 0.05
        if not again:
            self.ids += 1
        number = self.random.randrange(1, self.ids + 1) if again else self.ids
        cls = number % 3
        resend = self.plan.keeps and number % 11 == 0
        name = f"kept-{number:020d}-1" if resend else f"m{number}"
        ran = 1.5 if resend and number % 2 else None
        destination = 1 + number % 4  # the fourth is not listed
        left = self.random.choice((2.0, 8.0, 15.0, 0.05))
        key = f"k{number}" if cls == 1 else None
        call = {"Call": [name, cls, 0, destination, left, key, {"bytes": "00ff" * (number % 40)}, ran]}
        return {"MessageReceived": [number % 50, call, round(self.now - 0.004, 3)]}

    def _change_list(self) -> None:
        self.version += 1
        phase = self.random.choice((0, 1, 1, 2))
        worker = self._worker(self.random.randint(1, 3), self.random.randint(0, 1), phase)
        match self.random.randrange(5):
            case 0:
                listed = self._workers()[: self.random.choice((5, 5, 4))]
                self._later(0.0, {"EndpointsUpdated": [self.version, True, listed, False, self.epoch]})
            case 1:
                self._later(0.0, {"WatchLost": [self.epoch, self.random.random() < 0.5]})
            case 2 if self.random.random() < 0.6:
                self._later(0.0, {"Moved": [["127.0.0.1", 9000 + self.version % 3]]})
            case _:
                self._later(0.0, {"EndpointsUpdated": [self.version, False, [worker], False, self.epoch]})

    def _carry_out(self, effect: Any) -> list[Any]:
        """Do what an effect asks for; returns the events that follow in the same round."""
        ((name, given),) = effect.items()
        progress = {"Progress": self.random.choice(("waits", "writes", "written", "written", "over"))}
        if name == "AcceptMessage":
            self._record(given[2])
            return [{"MessageAccepted": [given[1], self.random.random() > 0.03]}]
        if name == "CancelAttempt" and given[0] in self.attempts:
            del self.attempts[given[0]]
            return [{"AttemptCancelled": [given[0], progress]}]
        if name == "WithdrawFromBatch":
            return [{"WithdrawResult": [given[0], given[1], progress]}]
        self._carry_out_later(name, given)
        return []

    def _carry_out_later(self, name: str, given: list[Any]) -> None:
        """Do what an effect asks for whose events come in a later round."""
        match name:
            case "Append":
                self._record(given[0])
            case "StartAttempt":
                self._answer(given)
            case "StartProbe":
                outcome = {"Outcome": self.random.choice((OK, OK, ERROR, CONNECT_FAILED))}
                wait = self.random.choice((0.0, 0.0, 0.6))
                self._later(0.05, {"ProbeFinished": [given[0], given[1], outcome, 0.05, 0.5, 20.0, wait]})
            case "Wake":
                self._later(max(given[0] - self.now, 0.0), given[1])
            case "Notify":
                ids = [notification["OutcomeNotification"][0] for notification in given[0]]
                self._later(self.random.choice((0.02, 0.5, 2.0)), {"NotificationAcknowledged": [ids]})
            case "MoveTo":
                self.epoch = given[1]
            case "Keep":
                self.kept.add(given[0]["Call"][0])

    def _record(self, record: Any) -> None:
        """Keep what a journal would."""
        ((name, given),) = record.items()
        if name == "Accepted":
            call, expires, ran_at = given
            history = [{"AttemptRecord": ["", ran_at, True]}] if ran_at is not None else []
            self.journal[call["Call"][0]] = [call, expires, history, None]
        elif name == "Completed":
            self.journal.pop(given[0], None)
        elif name == "OutcomeDecided":
            notification = given[0]
            name = notification["OutcomeNotification"][0]
            call = {"Call": [name, 0, 0, 0, 0.0, None, {"bytes": ""}, None]}
            self.journal[name] = [call, 0.0, [], notification]
        elif name == "AttemptFinished" and given[0] in self.journal:
            history = self.journal[given[0]][2]
            if history:
                history[-1]["AttemptRecord"][2] = given[1]

    def _answer(self, given: list[Any]) -> None:
        number, worker, items, name = given[0], given[1], given[5], given[7]
        self.attempts[number] = [item["BatchItem"][0] for item in items]
        written = self.random.random() < 0.9
        for item in items:
            call_id = item["BatchItem"][1]["Call"][0]
            if written and call_id in self.journal:
                self.journal[call_id][2].append({"AttemptRecord": [name, self.now, True]})
        start, end = self.plan.hang
        if start <= self.now - 100.0 < end and worker % 2:
            return
        latency = self.random.choice((0.02, 0.05, 0.3, 1.2))
        self._later(latency, {"Answered": [number, [self._end(m, written) for m in self.attempts[number]]]})

    def _end(self, message: int, written: bool) -> Any:
        outcome = OK
        if not written:
            outcome = self.random.choice((CONNECT_FAILED, NOT_SENT))
        elif self.random.random() < self.plan.fault_share:
            outcome = self.random.choice((FULL, TIMEOUT, RESET, ERROR))
        over = outcome == ERROR and self.random.random() < 0.3
        wait = 0.7 if outcome == FULL and self.random.random() < 0.5 else 0.0
        report = [0.4, 25.0] if self.random.random() < 0.3 else [None, None]
        full_table = outcome == CONNECT_FAILED and self.random.random() < 0.3
        slots = outcome == NOT_SENT and self.random.random() < 0.5
        return {"End": [message, {"Outcome": outcome}, wait, slots, over, *report, full_table, written]}


def record(folder: Path) -> None:
    """Write the events of each day with the digests of the effects."""
    for name, plan in DAYS.items():
        rows, kinds = [], set()
        for now, events, effects in Day(plan).rounds():
            checksum = digest_of(effects)
            rows.append(json.dumps([now, events, checksum], separators=(",", ":")))
            kinds |= {next(iter(effect)) for effect in effects}
        data = gzip.compress("\n".join(rows).encode(), mtime=0)
        (folder / f"{name}.jsonl.gz").write_bytes(data)
        print(f"{name}: {len(rows)} rounds, {len(data)} bytes, effects {sorted(kinds)}")


def digest_of(effects: list[Any]) -> str:
    """Return the digest of effects that are JSON values already."""
    return digest(effects)


if __name__ == "__main__":
    record(Path(sys.argv[1]))
