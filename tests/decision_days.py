"""Seeded scenarios for the scheduler, and the recording of its decisions in them.

`python -m tests.decision_days FOLDER` runs all scenarios and writes their events and the digests of the
answers, as they are stored in `tests/recorded_decisions/`.
"""

from __future__ import annotations

import gzip
import hashlib
import heapq
import json
import math
import random
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tests.decision_adapter import ExtendedAdapter

Fields = dict[str, Any]
Line = tuple[str, Fields]

OK, OVERLOADED, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED = 1, 2, 3, 4, 5, 6
ERROR, NOT_SENT = 0, 7
# The times of events are multiples of this, so that some rounds have several events.
TICK_MS = 5.0


@dataclass(frozen=True)
class Scenario:
    """The parameters of a run; times in milliseconds, rates per second.

    Attributes:
        endpoints: number of endpoints of each destination.
        limit_per_s: calls per second that a destination accepts; 0 if there is no limit.
        listed_rate: the limit that the endpoint list names.
        outages: beginning and end of each outage of destination 1, and the outcome of its calls.
        fault_fraction: fraction of calls that fail outside outages.
        pause: beginning and duration of a time without new messages.
        extended: events have the fields that only the forwarder sets.
    """

    seed: int
    config: Fields
    rounds: int = 900
    schedulers: int = 1
    destinations: int = 3
    endpoints: int = 2
    arrivals_per_s: float = 12.0
    limit_per_s: float = 0.0
    listed_rate: float = 0.0
    load_reports: bool = False
    retry_after_ms: float = 0.0
    latency_ms: float = 60.0
    outages: tuple[tuple[float, float, int], ...] = ()
    fault_fraction: float = 0.0
    list_changes: bool = False
    restarts_ms: tuple[float, ...] = ()
    pause: tuple[float, float] = (math.inf, 0.0)
    extended: bool = False


@dataclass
class HeldMessage:
    """A message that a scheduler holds, with its attempts so far."""

    id: int
    fields: Fields
    expires_at: float
    attempts: int = 0
    in_flight: int = 0
    history: list[list[float | int | None]] = field(default_factory=list)


class ScenarioRun:
    """Simulates the clients, endpoints and discovery of a scenario around schedulers."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.random = random.Random(scenario.seed)
        self.adapter = ExtendedAdapter()
        self.events: list[tuple[float, int, Line]] = []
        self.serial = 0
        self.now = 1000.0
        self.messages: dict[str, dict[int, HeldMessage]] = {}
        self.calls: dict[tuple[str, int], list[float]] = {}
        self.phases: dict[int, int] = {}
        self.catalog_number = 0

    def rounds(self) -> Iterator[tuple[float, list[Line], list[Fields]]]:
        """Yield the time, the events and the answers of each batch."""
        instances = [f"node/{n}" for n in range(self.scenario.schedulers)]
        self._push(self.now, "start", {"names": instances})
        self._push(self.now + TICK_MS, "arrival", {})
        for at in self.scenario.restarts_ms:
            self._push(1000.0 + at, "restart", {"Who": self.random.choice(instances)})
        if self.scenario.list_changes:
            self._push(self.now + 3000.0, "list_change", {})
        for _ in range(self.scenario.rounds):
            if not self.events:
                return
            lines = self._next_batch(instances)
            answers = self.adapter.answer(self.now, lines)
            for answer in answers:
                ((name, fields),) = answer.items()
                self._apply_answer(name, fields)
            yield self.now, lines, answers

    def _push(self, at: float, name: str, fields: Fields) -> None:
        self.serial += 1
        at = -(-at // TICK_MS) * TICK_MS
        heapq.heappush(self.events, (at, self.serial, (name, fields)))

    def _next_batch(self, instances: list[str]) -> list[Line]:
        self.now = self.events[0][0]
        lines: list[Line] = []
        while self.events and self.events[0][0] <= self.now:
            name, fields = heapq.heappop(self.events)[2]
            match name:
                case "start":
                    lines += [line for instance in fields["names"] for line in self._start(instance)]
                case "arrival":
                    lines += self._arrivals(instances)
                case "restart":
                    lines += self._restart(fields["Who"])
                case "list_change":
                    lines += self._change_list(instances)
                case "Settled":
                    lines += self._settled(fields)
                case _:
                    lines.append((name, fields))
        return lines

    def _start(self, instance: str) -> list[Line]:
        self.messages.setdefault(instance, {})
        entropy = self.random.randrange(2**31)
        configured = ("Configure", {"Who": instance, "Entropy": entropy, "Config": self.scenario.config})
        catalog = self._catalog()
        return [
            configured,
            catalog,
            ("Fleet", {"Who": instance, "Scope": 2, "Generation": 1, "Slot": self.catalog_number}),
        ]

    def _catalog(self, only: list[int] | None = None) -> Line:
        self.catalog_number = (self.catalog_number + 1) % 16
        hosts = []
        for destination in range(1, self.scenario.destinations + 1):
            for index in range(self.scenario.endpoints):
                number = 100 * destination + index
                kind = destination % 2
                phase = self.phases.get(number, 1)
                if (only is None and phase == 2) or (only is not None and number not in only):
                    continue
                rating = self.scenario.listed_rate * (1 + 0.25 * kind)
                host = {"Endpoint": number, "Cell": destination, "Phase": phase, "Flavor": kind}
                hosts.append({**host, "Locality": index % 2, "Rating": rating})
        return "Catalog", {"Slot": self.catalog_number, "Hosts": hosts}

    def _change_list(self, instances: list[str]) -> list[Line]:
        number = 100 * self.random.randint(1, self.scenario.destinations) + self.random.randrange(
            self.scenario.endpoints
        )
        self.phases[number] = self.random.choice((0, 1, 1, 2))
        scope = self.random.choice((0, 0, 1, 3))
        self._push(self.now + 1500.0, "list_change", {})
        lines = [self._catalog([number] if scope == 0 else None)] if scope != 3 else []
        lines += [
            ("Fleet", {"Who": instance, "Scope": scope, "Generation": 2, "Slot": self.catalog_number})
            for instance in instances
        ]
        return lines

    def _arrivals(self, instances: list[str]) -> list[Line]:
        at = self.now + 1000.0 * self.random.expovariate(self.scenario.arrivals_per_s)
        start, duration = self.scenario.pause
        if self.now < start <= at:
            at += duration
        self._push(at, "arrival", {})
        burst_size = self.random.choice((1, 1, 1, 1, 6))
        return [self._new_message(self.random.choice(instances)) for _ in range(burst_size)]

    def _new_message(self, instance: str) -> Line:
        classes = self.scenario.config["Services"]
        class_index = self.random.randrange(len(classes))
        self.serial += 1
        time_left = classes[class_index]["DeadlineMs"] * self.random.uniform(0.4, 1.0)
        fields: Fields = {"Who": instance, "Corr": self.serial, "Qos": class_index, "BudgetMs": time_left}
        fields["ToExchange"] = 1 + min(int(self.random.expovariate(1.0)), self.scenario.destinations - 1)
        if self.scenario.config.get("Tenants"):
            fields["Customer"] = self.random.randrange(len(self.scenario.config["Tenants"]))
        if classes[class_index].get("InOrder"):
            fields["Entity"] = f"doc-{self.random.randrange(4)}"
        if self.scenario.extended:
            fields["BatchBytes"] = self.random.choice((200, 9000, 40_000))
        self.messages[instance][self.serial] = HeldMessage(self.serial, fields, self.now + time_left)
        if self.random.random() < 0.01:
            self._push(self.now + 800.0, "Withdrawn", {"Who": instance, "Corr": self.serial})
        return "Query", fields

    def _restart(self, instance: str) -> list[Line]:
        """Replace a scheduler; in an extended scenario restore its messages with their attempts."""
        self.events = [e for e in self.events if e[2][1].get("Who") != instance]
        heapq.heapify(self.events)
        lines: list[Line] = [("Exit", {"Who": instance}), *self._start(instance)]
        restored = list(self.messages[instance].values()) if self.scenario.extended else []
        self.messages[instance] = {}
        for message in restored:
            time_left = message.expires_at - self.now
            if time_left <= 0:
                continue
            fields = {
                **message.fields,
                "BudgetMs": time_left,
                "EarlyMs": time_left,
                "History": message.history,
            }
            fields["Owed"] = not message.history
            self.messages[instance][message.id] = HeldMessage(
                message.id, fields, message.expires_at, len(message.history), 0, list(message.history)
            )
            lines.append(("Query", fields))
        return lines

    def _apply_answer(self, name: str, fields: Fields) -> None:
        instance = fields.get("Who", "")
        match name:
            case "Send":
                self._send(instance, fields)
            case "After":
                self._push(
                    self.now + fields["OffsetMs"], "TickDue", {"Who": instance, "Nonce": fields["Nonce"]}
                )
            case "NotNow" | "DropRequest":
                self._end_message(instance, fields["Corr"])
            case "Withdraw":
                self._withdraw(instance, fields)
            case "Touch":
                probed = {
                    "Who": instance,
                    "Endpoint": fields["Endpoint"],
                    "Status": self._outcome(fields["Endpoint"]),
                }
                self._push(self.now + 40.0, "Probed", {**probed, "DelaySeenMs": 40.0, **self._report()})
            case "StreamChanges" if self.random.random() < 0.3:
                self._push(
                    self.now + 300.0, "Fleet", {"Who": instance, "Scope": 3, "Generation": 1, "Slot": 0}
                )

    def _end_message(self, instance: str, message_id: int) -> None:
        message = self.messages[instance].get(message_id)
        if message is not None and not message.in_flight:
            del self.messages[instance][message_id]

    def _outcome(self, endpoint: int) -> int:
        since = self.now - 1000.0
        for start, end, outcome in self.scenario.outages:
            if start <= since < end and endpoint // 100 == 1:
                return outcome
        if self.random.random() < self.scenario.fault_fraction:
            return self.random.choice((ERROR, TIMEOUT, CONNECT_FAILED, RESET))
        return OK

    def _exceeds_limit(self, destination: int) -> bool:
        if not self.scenario.limit_per_s:
            return False
        recent_calls = self.calls.setdefault(("", destination), [])
        recent_calls[:] = [at for at in recent_calls if at > self.now - 1000.0]
        recent_calls.append(self.now)
        return len(recent_calls) > self.scenario.limit_per_s

    def _report(self) -> Fields:
        if not self.scenario.load_reports:
            return {}
        return {"Report": {"x0": self.random.random(), "x1": self.scenario.limit_per_s}}

    def _send(self, instance: str, fields: Fields) -> None:
        message = self.messages[instance].get(fields["Corr"])
        if message is None:
            return
        outcome = self._outcome(fields["Endpoint"])
        if outcome == OK and self._exceeds_limit(fields["Endpoint"] // 100):
            outcome = OVERLOADED
        latency = self.scenario.latency_ms * self.random.uniform(0.5, 2.0)
        if outcome == TIMEOUT:
            latency = min(fields["TimeoutMs"], 6000.0)
        elif outcome == CONNECT_FAILED:
            latency = self.random.choice((2.0, 1000.0))
        settled = {
            "Who": instance,
            "Corr": fields["Corr"],
            "SendNo": message.attempts,
            "Endpoint": fields["Endpoint"],
        }
        settled |= {"Status": outcome, "DelaySeenMs": latency, **self._report()}
        if outcome == OVERLOADED:
            settled["WaitMs"] = self.scenario.retry_after_ms * self.random.choice((0.0, 1.0, 1.0))
        if outcome == CONNECT_FAILED and self.scenario.extended:
            settled["TableFull"] = self.random.random() < 0.4
        message.history.append([fields["Endpoint"], self.now])
        message.attempts += 1
        message.in_flight += 1
        self._push(self.now + latency, "Settled", settled)

    def _withdraw(self, instance: str, fields: Fields) -> None:
        for place, (_, _, (name, settled)) in enumerate(self.events):
            same = name == "Settled" and settled["Who"] == instance and settled["Corr"] == fields["Corr"]
            if same and settled["SendNo"] == fields["SendNo"]:
                del self.events[place]
                heapq.heapify(self.events)
                self._push(self.now + TICK_MS, "Settled", {**settled, "Status": CANCELLED})
                return

    def _settled(self, fields: Fields) -> list[Line]:
        message = self.messages[fields["Who"]].get(fields["Corr"])
        if message is None:
            return []
        message.in_flight -= 1
        if fields["Status"] in (OVERLOADED, CONNECT_FAILED, NOT_SENT):
            message.history[fields["SendNo"]][1] = None
        if fields["Status"] == OK or message.expires_at <= self.now:
            fields = {**fields, "Ended": fields["Status"] == OK}
            del self.messages[fields["Who"]][fields["Corr"]]
        return [("Settled", fields)]


def _message_class(effect: str, **changes: Any) -> Fields:
    service = {"AimMs": 2500.0, "DeadlineMs": 15000.0, "Effect": effect, "Worth": 1.0, "LateWorth": 0.3}
    if effect == "by_key":
        service |= {"WindowMs": 6000.0, "DedupScope": "all"}
    return {**service, **changes}


def _config(*classes: Fields, **changes: Any) -> Fields:
    limits = {"Cancel": True, "DialTimeoutMs": 1000.0, "KeepaliveMs": 10000.0, "MaxAttempts": 6}
    limits |= {"MaxOpen": 60, "MaxRetryAfterMs": 2000.0, "RetryAfter": True, "StreamsPerConn": 1}
    rules = {"AnswerSlackMs": 20.0, "ColdShare": 0.2, "FallMs": 2000.0, "FallMultiple": 1.8}
    rules |= {"WarmWithinMs": 8000.0}
    config: Fields = {
        "Instances": 1, "Invariants": rules, "Kinds": ["one", "many"], "Limits": limits,
        "MembershipMode": "pushed", "OverShareWorth": 0.1, "ResolutionMs": 5.0, "Services": list(classes),
        "Specifics": {"BatchByKind": [8, 1], "LosesWorth": "even", "MaxCalls": 8,
                      "RoutesApart": [False, False]},
        "Weights": "silent",
    }  # fmt: skip
    return {**config, **changes}


ALL_CLASSES = (
    _message_class("repeatable"),
    _message_class("by_key", Worth=2.0),
    _message_class("by_key", DedupScope="zone", InOrder=True, AimMs=1500.0),
    _message_class("once", Worth=4.0, DeadlineMs=9000.0),
)
POLLED_LIST = {"MembershipMode": "on_request"}
SEPARATE_ROUTES = {
    "BatchByKind": [4, 1],
    "LosesWorth": "by_half",
    "MaxCalls": 8,
    "RoutesApart": [True, False],
}
HEALTH_CHECKS = _config(*ALL_CLASSES)["Limits"] | {"Probing": True}
KEY_COOLDOWN = _config(*ALL_CLASSES)["Invariants"] | {"KeyRestMs": 700.0}
TENANTS = [{"QuotaPerS": 3.0}, {"QuotaPerS": 2.0}, {"QuotaPerS": 40.0}]

SCENARIOS = {
    "plain": Scenario(11, _config(*ALL_CLASSES)),
    "faults": Scenario(12, _config(*ALL_CLASSES, **POLLED_LIST), fault_fraction=0.2, list_changes=True),
    "hang": Scenario(13, _config(*ALL_CLASSES), 2400, outages=((3000.0, 9000.0, TIMEOUT),)),
    "connect_failures": Scenario(
        14, _config(*ALL_CLASSES, **POLLED_LIST), 2100,
        outages=((2000.0, 12000.0, CONNECT_FAILED), (16000.0, 18000.0, TIMEOUT)),
    ),
    "cold_return_of_many": Scenario(
        15, _config(*ALL_CLASSES, Instances=40, Weights="nominal"), 2700, 3, limit_per_s=30.0,
        listed_rate=30.0, arrivals_per_s=20.0, outages=((2000.0, 9000.0, ERROR), (16000.0, 17000.0, RESET)),
    ),
    "listed_limit_exceeded": Scenario(
        16, _config(*ALL_CLASSES, Weights="rough", Tenants=TENANTS), 2100, limit_per_s=6.0, listed_rate=8.0,
        arrivals_per_s=25.0, retry_after_ms=400.0,
    ),
    "reported_limit_exceeded": Scenario(
        17, _config(*ALL_CLASSES, Instances=8), 2100, 2, limit_per_s=5.0, load_reports=True,
        arrivals_per_s=25.0, retry_after_ms=900.0,
    ),
    "limit_of_many_listed": Scenario(
        18, _config(*ALL_CLASSES, Instances=12, Weights="nominal"), 2400, 4, limit_per_s=9.0, listed_rate=9.0,
        arrivals_per_s=30.0,
    ),
    "routes_apart": Scenario(
        19, _config(*ALL_CLASSES, Specifics=SEPARATE_ROUTES, Limits=HEALTH_CHECKS, Invariants=KEY_COOLDOWN),
        2100, endpoints=4, fault_fraction=0.1, outages=((2000.0, 7000.0, RESET),), list_changes=True,
    ),
    "shut": Scenario(
        20, _config(*ALL_CLASSES), 1800, outages=((1500.0, 8000.0, OVERLOADED),), retry_after_ms=600.0,
    ),
    "many_endpoints": Scenario(21, _config(*ALL_CLASSES), 1500, endpoints=30, fault_fraction=0.05),
    "overfull": Scenario(
        22, _config(*ALL_CLASSES), 2100, destinations=5, arrivals_per_s=60.0, latency_ms=900.0,
        outages=((1000.0, 6000.0, TIMEOUT),),
    ),
    "restarts": Scenario(
        23, _config(*ALL_CLASSES, Instances=3, **POLLED_LIST), 2400, 2, fault_fraction=0.15, extended=True,
        restarts_ms=(2500.0, 6000.0, 6005.0, 11000.0), arrivals_per_s=20.0, latency_ms=400.0,
    ),
    "restarts_of_many": Scenario(
        24, _config(*ALL_CLASSES, Instances=40, Weights="nominal"), 2400, 3, listed_rate=20.0,
        limit_per_s=14.0, extended=True, restarts_ms=(4000.0, 9000.0),
        outages=((3000.0, 8000.0, CONNECT_FAILED),), arrivals_per_s=25.0, retry_after_ms=1500.0,
        list_changes=True,
    ),
    "probed": Scenario(
        25, _config(_message_class("once", DeadlineMs=9000.0), Limits=HEALTH_CHECKS), 1800, load_reports=True,
        limit_per_s=12.0, outages=((2000.0, 8000.0, ERROR),), arrivals_per_s=8.0, extended=True,
    ),
    "idle_for_minutes": Scenario(
        26, _config(*ALL_CLASSES, Instances=7), 3500, destinations=6, pause=(9000.0, 200_000.0),
        outages=((7000.0, 9500.0, ERROR),), arrivals_per_s=25.0, list_changes=True,
    ),
    "first_faults_of_many": Scenario(
        27, _config(*ALL_CLASSES, Instances=40), 2400, 4, fault_fraction=0.08, arrivals_per_s=9.0,
        endpoints=1, outages=((9000.0, 9900.0, ERROR), (60_000.0, 61_000.0, ERROR)),
        pause=(30_000.0, 20_000.0),
    ),
    "listed_limit_of_single_messages": Scenario(
        28, _config(*ALL_CLASSES, Instances=12, Weights="nominal"), 2000, 2, destinations=1, limit_per_s=24.0,
        listed_rate=30.0, arrivals_per_s=12.0,
    ),
    "wide_destination": Scenario(
        29, _config(*ALL_CLASSES, Specifics=SEPARATE_ROUTES), 1800, destinations=1, endpoints=60,
        arrivals_per_s=40.0, latency_ms=20.0, fault_fraction=0.03,
    ),
}  # fmt: skip


def digest(answers: list[Fields]) -> str:
    """Return the digest of the encoded answers of a round."""
    text = "".join(json.dumps(answer, separators=(",", ":")) + "\n" for answer in answers)
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def record(folder: Path) -> None:
    """Write the events and digests of each scenario, and print how many answers of each name it had."""
    for name, scenario in SCENARIOS.items():
        rows = []
        counts: dict[str, int] = {}
        for at, lines, answers in ScenarioRun(scenario).rounds():
            rows.append(json.dumps([at, lines, digest(answers)], separators=(",", ":")))
            for answer in answers:
                ((kind, _),) = answer.items()
                counts[kind] = counts.get(kind, 0) + 1
        data = gzip.compress("\n".join(rows).encode(), mtime=0)
        (folder / f"{name}.jsonl.gz").write_bytes(data)
        print(f"{name}: {len(rows)} rounds, {len(data)} bytes, answers {counts}")


if __name__ == "__main__":
    record(Path(sys.argv[1]))
