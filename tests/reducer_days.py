"""Simulated runs of the forwarder's reducer: clients, endpoints, discovery, restarts, control and shutdown."""

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

OK, OVERLOADED, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, ERROR, NOT_SENT = 1, 2, 3, 4, 5, 6, 0, 7
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
class RunParameters:
    """The parameters of a simulated run.

    Attributes:
        round_count: The number of rounds after which the run ends.
        fault_fraction: The fraction of written attempts that fail.
        hang_interval_s: The time from the start in which half of the endpoints do not answer attempts.
        stop_after_s: The time from each process start to its shutdown, or None.
    """

    seed: int
    round_count: int = 1500
    arrivals_per_s: float = 20.0
    fault_fraction: float = 0.1
    hang_interval_s: tuple[float, float] = (0.0, 0.0)
    stores_dead_letters: bool = False
    stop_after_s: float | None = None
    restart_every_s: float | None = None
    control: bool = False
    separate_routes: bool = False
    health_checks: bool = False
    large_fleet: bool = False
    settings: dict[str, Any] = field(default_factory=dict)


RUNS = {
    "plain": RunParameters(31),
    "faults": RunParameters(32, fault_fraction=0.4),
    "hang": RunParameters(33, hang_interval_s=(4.0, 12.0), round_count=2500),
    "undelivered_kept": RunParameters(
        34, fault_fraction=0.35, stores_dead_letters=True, hang_interval_s=(3.0, 9.0), round_count=2500
    ),
    "restarts": RunParameters(35, fault_fraction=0.3, restart_every_s=4.0, round_count=2500),
    "restarts_kept": RunParameters(
        36, fault_fraction=0.3, restart_every_s=5.0, stores_dead_letters=True, round_count=2500
    ),
    "control": RunParameters(37, control=True, round_count=2500, stores_dead_letters=True),
    "shutdown": RunParameters(38, stop_after_s=6.0, fault_fraction=0.2),
    "separate_routes": RunParameters(39, separate_routes=True, fault_fraction=0.3),
    "health_checks": RunParameters(40, health_checks=True, hang_interval_s=(2.0, 10.0), round_count=2500),
    "large_fleet": RunParameters(41, large_fleet=True, hang_interval_s=(3.0, 6.0), round_count=2500),
    "overfull": RunParameters(42, arrivals_per_s=90.0, hang_interval_s=(1.0, 6.0), round_count=2500),
}


def make_reducer(parameters: RunParameters, seed: int, stored_ids: frozenset[str]) -> Reducer:
    """Return the reducer of a new process; `stored_ids` are the dead letters stored before."""
    kinds = (DestinationKind(), DestinationKind(batch_size=5, separate_routes=parameters.separate_routes))
    config = settings(
        *CLASSES,
        kinds=kinds,
        slots=6,
        max_open=40,
        instances=40 if parameters.large_fleet else 1,
        endpoints_polled=True,
        health_checks=parameters.health_checks,
        max_attempts=5,
    )
    return Reducer(config, seed, parameters.stores_dead_letters, stored_ids)


class SimulatedRun:
    """Simulates the environment of a forwarder that may restart; `rounds` yields the rounds to record.

    Events and effects are the JSON values of `tests/reducer_codec.py`.
    """

    def __init__(self, parameters: RunParameters) -> None:
        self.parameters = parameters
        self.random = random.Random(parameters.seed)
        self.now = 100.0
        self.last_serial = 0
        self.process = 0
        self.scheduled: list[tuple[float, int, Any]] = []
        # By message id: message, expiry, history and notification.
        self.journal: dict[str, list[Any]] = {}
        self.stored_ids: set[str] = set()
        # The messages of each attempt in flight, by its number.
        self.attempts: dict[int, list[int]] = {}
        self.ids = 0
        self.version = 1
        self.epoch = 0

    def rounds(self) -> Iterator[tuple[float, list[Any], list[Any]]]:
        """Yield the time, events and effects of each round; the event `Start` stands for a new process."""
        yield from self._start()
        round_count = 0
        while round_count < self.parameters.round_count and self.scheduled:
            at = self.scheduled[0][0]
            self.now = max(self.now, at)
            events = []
            while self.scheduled and self.scheduled[0][0] <= self.now:
                events.append(heapq.heappop(self.scheduled)[2])
            for event in events:
                if isinstance(event, str):
                    yield from self._run_action(event)
                    round_count += 1
            round_events = [event for event in events if not isinstance(event, str)]
            while round_events:
                effects = encode(self.reducer.reduce(self.now, [decode(event) for event in round_events]))
                yield self.now, round_events, effects
                round_count += 1
                round_events = [event for effect in effects for event in self._perform(effect)]

    def _schedule(self, delay: float, event: Any) -> None:
        self.last_serial += 1
        heapq.heappush(self.scheduled, (round(self.now + delay, 3), self.last_serial, event))

    def _start(self) -> Iterator[tuple[float, list[Any], list[Any]]]:
        self.process += 1
        seed = self.parameters.seed * 1000 + self.process
        stored_ids = sorted(self.stored_ids)
        self.reducer = make_reducer(self.parameters, seed, frozenset(stored_ids))
        yield self.now, [{"Start": [seed, stored_ids]}], []
        self.scheduled, self.attempts, self.epoch = [], {}, 0
        self._schedule(0.0, {"EndpointsUpdated": [self.version, True, self._endpoints(), True, 0]})
        self._schedule(0.0, {"Replayed": [[{"Restored": row} for row in self.journal.values()]]})
        self._schedule(0.01, "arrive")
        self._schedule(3.0, "list")
        if self.parameters.control:
            self._schedule(1.0, "control")
        if self.parameters.stop_after_s is not None:
            self._schedule(self.parameters.stop_after_s, "stop")
        if self.parameters.restart_every_s is not None:
            self._schedule(self.parameters.restart_every_s, "restart")

    def _endpoints(self) -> list[Any]:
        return [self._endpoint(d, e, 1) for d in (1, 2, 3) for e in (0, 1)]

    def _endpoint(self, destination: int, number: int, phase: int) -> Any:
        name, port = f"s-{destination}{number}", 8000 + 10 * destination + number
        rate = 30.0 if self.parameters.large_fleet else 0.0
        return {
            "Worker": [name, "127.0.0.1", port, destination, {"Phase": phase}, destination % 2, number, rate]
        }

    def _run_action(self, action: str) -> Iterator[tuple[float, list[Any], list[Any]]]:
        match action:
            case "arrive":
                self._schedule(self.random.expovariate(self.parameters.arrivals_per_s), "arrive")
                for _ in range(self.random.choice((1, 1, 1, 5))):
                    self._schedule(0.0, self._message())
            case "list":
                self._schedule(2.0, "list")
                self._change_list()
            case "control":
                self._schedule(0.7, "control")
                verb = self.random.choice(
                    ("status", "drain", "resume", "resume", "fate", "counters", "workers", "stop")
                )
                numbers = (
                    [self.random.randrange(1, self.ids + 12) for _ in range(5)] if verb == "fate" else []
                )
                ids = [name for n in numbers for name in (f"m{n}", f"kept-{n:020d}-1")]
                request = {"Request": [self.last_serial, {"Verb": verb}, ids]}
                self._schedule(0.0, {"ControlRequested": [3, request]})
            case "stop":
                self._schedule(0.0, {"Stop": [self.now + 0.1, self.now + 3.7]})
            case "restart":
                yield from self._start()

    def _message(self) -> Any:
        is_duplicate = self.ids > 5 and self.random.random() < 0.05
        if not is_duplicate:
            self.ids += 1
        number = self.random.randrange(1, self.ids + 1) if is_duplicate else self.ids
        class_index = number % 3
        is_redrive = self.parameters.stores_dead_letters and number % 11 == 0
        name = f"kept-{number:020d}-1" if is_redrive else f"m{number}"
        executed_ago_s = 1.5 if is_redrive and number % 2 else None
        destination = 1 + number % 4  # Destination 4 is not listed.
        time_left_s = self.random.choice((2.0, 8.0, 15.0, 0.05))
        key = f"k{number}" if class_index == 1 else None
        message = {
            "Call": [
                name,
                class_index,
                0,
                destination,
                time_left_s,
                key,
                {"bytes": "00ff" * (number % 40)},
                executed_ago_s,
            ]
        }
        return {"MessageReceived": [number % 50, message, round(self.now - 0.004, 3)]}

    def _change_list(self) -> None:
        self.version += 1
        phase = self.random.choice((0, 1, 1, 2))
        endpoint = self._endpoint(self.random.randint(1, 3), self.random.randint(0, 1), phase)
        match self.random.randrange(5):
            case 0:
                listed = self._endpoints()[: self.random.choice((5, 5, 4))]
                self._schedule(0.0, {"EndpointsUpdated": [self.version, True, listed, False, self.epoch]})
            case 1:
                self._schedule(0.0, {"WatchLost": [self.epoch, self.random.random() < 0.5]})
            case 2 if self.random.random() < 0.6:
                self._schedule(0.0, {"Moved": [["127.0.0.1", 9000 + self.version % 3]]})
            case _:
                self._schedule(
                    0.0, {"EndpointsUpdated": [self.version, False, [endpoint], False, self.epoch]}
                )

    def _perform(self, effect: Any) -> list[Any]:
        """Perform an effect and return the events that follow in the same round."""
        ((name, fields),) = effect.items()
        progress = {"Progress": self.random.choice(("waits", "writes", "written", "written", "over"))}
        if name == "AcceptMessage":
            self._record(fields[2])
            return [{"MessageAccepted": [fields[1], self.random.random() > 0.03]}]
        if name == "CancelAttempt" and fields[0] in self.attempts:
            messages = self.attempts.pop(fields[0])
            if progress["Progress"] in ("writes", "written"):
                # The thread of the call reads what had arrived, and posts it.
                ends = [self._cancelled_outcome(message) for message in messages]
                self._schedule(0.002, {"Answered": [fields[0], ends]})
            return [{"AttemptCancelled": [fields[0], progress]}]
        if name == "WithdrawFromBatch":
            return [{"WithdrawResult": [fields[0], fields[1], progress]}]
        self._perform_later(name, fields)
        return []

    def _perform_later(self, name: str, fields: list[Any]) -> None:
        """Perform an effect whose events, if any, come in a later round."""
        match name:
            case "Append":
                self._record(fields[0])
            case "StartAttempt":
                self._schedule_answer(fields)
            case "StartProbe":
                outcome = {"Outcome": self.random.choice((OK, OK, ERROR, CONNECT_FAILED))}
                retry_after_s = self.random.choice((0.0, 0.0, 0.6))
                self._schedule(
                    0.05, {"ProbeFinished": [fields[0], fields[1], outcome, 0.05, 0.5, 20.0, retry_after_s]}
                )
            case "Wake":
                self._schedule(max(fields[0] - self.now, 0.0), fields[1])
            case "Notify":
                ids = [notification["OutcomeNotification"][0] for notification in fields[0]]
                self._schedule(self.random.choice((0.02, 0.5, 2.0)), {"NotificationAcknowledged": [ids]})
            case "MoveTo":
                self.epoch = fields[1]
            case "Keep":
                self.stored_ids.add(fields[0]["Call"][0])

    def _record(self, record: Any) -> None:
        """Apply a record to the simulated journal."""
        ((name, fields),) = record.items()
        if name == "Accepted":
            message, expires_at, executed_at = fields
            history = [{"AttemptRecord": ["", executed_at, True]}] if executed_at is not None else []
            self.journal[message["Call"][0]] = [message, expires_at, history, None]
        elif name == "Completed":
            self.journal.pop(fields[0], None)
        elif name == "OutcomeDecided":
            notification = fields[0]
            message_id = notification["OutcomeNotification"][0]
            message = {"Call": [message_id, 0, 0, 0, 0.0, None, {"bytes": ""}, None]}
            self.journal[message_id] = [message, 0.0, [], notification]
        elif name == "AttemptFinished" and fields[0] in self.journal:
            history = self.journal[fields[0]][2]
            if history:
                history[-1]["AttemptRecord"][2] = fields[1]

    def _schedule_answer(self, fields: list[Any]) -> None:
        number, endpoint, items, name = fields[0], fields[1], fields[5], fields[7]
        self.attempts[number] = [item["BatchItem"][0] for item in items]
        written = self.random.random() < 0.9
        for item in items:
            message_id = item["BatchItem"][1]["Call"][0]
            if written and message_id in self.journal:
                self.journal[message_id][2].append({"AttemptRecord": [name, self.now, True]})
        start, end = self.parameters.hang_interval_s
        if start <= self.now - 100.0 < end and endpoint % 2:
            return
        latency = self.random.choice((0.02, 0.05, 0.3, 1.2))
        self._schedule(
            latency, {"Answered": [number, [self._item_outcome(m, written) for m in self.attempts[number]]]}
        )

    def _item_outcome(self, message: int, written: bool) -> Any:
        outcome = OK
        if not written:
            outcome = self.random.choice((CONNECT_FAILED, NOT_SENT))
        elif self.random.random() < self.parameters.fault_fraction:
            outcome = self.random.choice((OVERLOADED, TIMEOUT, RESET, ERROR, NOT_SENT))
        message_ended = outcome == ERROR and self.random.random() < 0.3
        retry_after_s = 0.7 if outcome == OVERLOADED and self.random.random() < 0.5 else 0.0
        report = [0.4, 25.0] if self.random.random() < 0.3 else [None, None]
        full_table = outcome == CONNECT_FAILED and self.random.random() < 0.3
        no_slot_free = outcome == NOT_SENT and self.random.random() < 0.5
        attempts_exhausted = outcome == NOT_SENT and written and self.random.random() < 0.3
        return {
            "End": [
                message,
                {"Outcome": outcome},
                retry_after_s,
                no_slot_free,
                message_ended,
                *report,
                full_table,
                written,
                attempts_exhausted,
            ]
        }

    def _cancelled_outcome(self, message: int) -> Any:
        """Return the outcome of a message whose attempt was cancelled while its answer may have arrived."""
        outcome, ended, exhausted = self.random.choice(
            (
                (CANCELLED, False, False),
                (CANCELLED, False, False),
                (OK, False, False),
                (NOT_SENT, True, False),
                (NOT_SENT, False, True),
            )
        )
        return {"End": [message, {"Outcome": outcome}, 0.0, False, ended, None, None, False, True, exhausted]}


def record(folder: Path) -> None:
    """Write the events of each run with the digests of the effects, for `tests/test_recorded_effects.py`.

    `python -m tests.reducer_days FOLDER` runs this.
    """
    for name, parameters in RUNS.items():
        rows, effect_names = [], set()
        for now, events, effects in SimulatedRun(parameters).rounds():
            checksum = digest_of(effects)
            rows.append(json.dumps([now, events, checksum], separators=(",", ":")))
            effect_names |= {next(iter(effect)) for effect in effects}
        data = gzip.compress("\n".join(rows).encode(), mtime=0)
        (folder / f"{name}.jsonl.gz").write_bytes(data)
        print(f"{name}: {len(rows)} rounds, {len(data)} bytes, effects {sorted(effect_names)}")


def digest_of(effects: list[Any]) -> str:
    """Return the digest of encoded effects."""
    return digest(effects)


if __name__ == "__main__":
    record(Path(sys.argv[1]))
