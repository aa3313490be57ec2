"""Small simulated days for the scheduler: events as lines of the simulator's wire, with the answers fed back.

A `Day` plays clients, endpoints and discovery against schedulers behind the simulator's adapter, from a seed.
`SITUATIONS` names the days whose inputs are stored in `tests/recorded_decisions/`; `python -m
tests.decision_days FOLDER` writes them anew, with the digests of the answers of the program that runs it.
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

from tests.decision_adapter import RecordedAdapter

Body = dict[str, Any]
Line = tuple[str, Body]

OK, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED = 1, 2, 3, 4, 5, 6
ERROR, NOT_SENT = 0, 7
TICK_MS = 5.0  # events fall on multiples of it, so that some rounds hold several


@dataclass(frozen=True)
class Situation:
    """One kind of day; rates in calls or messages a second, times in milliseconds."""

    seed: int
    config: Body
    rounds: int = 900
    schedulers: int = 1
    destinations: int = 3
    endpoints: int = 2  # of each destination
    arrivals_per_s: float = 12.0
    limit_per_s: float = 0.0  # of each destination; 0 where there is none
    rated: float = 0.0  # what the list says of it
    reports: bool = False
    retry_after_ms: float = 0.0
    latency_ms: float = 60.0
    outages: tuple[tuple[float, float, int], ...] = ()  # from, until, and what calls meet meanwhile
    fault_share: float = 0.0  # of calls that fail outside an outage
    list_changes: bool = False
    restarts_ms: tuple[float, ...] = ()
    pause: tuple[float, float] = (math.inf, 0.0)  # from when no message arrives, and for how long
    extended: bool = False  # with what only the forwarder tells: history, table_full, batch bytes


@dataclass
class Query:
    """A message that a scheduler holds."""

    corr: int
    body: Body
    expires: float
    attempts: int = 0
    in_flight: int = 0
    history: list[list[float | int | None]] = field(default_factory=list)


class Day:
    """Plays a situation; `rounds` yields each batch and the answers to it."""

    def __init__(self, situation: Situation) -> None:
        self.situation = situation
        self.random = random.Random(situation.seed)
        self.adapter = RecordedAdapter()
        self.events: list[tuple[float, int, Line]] = []
        self.serial = 0
        self.now = 1000.0
        self.queries: dict[str, dict[int, Query]] = {}
        self.calls: dict[tuple[str, int], list[float]] = {}
        self.lost: set[str] = set()  # schedulers whose discovery calls fail for now
        self.phases: dict[int, int] = {}
        self.slot = 0

    def rounds(self) -> Iterator[tuple[float, list[Line], list[Body]]]:
        """Yield the time, the events and the answers of each batch."""
        names = [f"node/{n}" for n in range(self.situation.schedulers)]
        self._push(self.now, "start", {"names": names})
        self._push(self.now + TICK_MS, "arrival", {})
        for at in self.situation.restarts_ms:
            self._push(1000.0 + at, "restart", {"Who": self.random.choice(names)})
        if self.situation.list_changes:
            self._push(self.now + 3000.0, "list_change", {})
        for _ in range(self.situation.rounds):
            if not self.events:
                return
            lines = self._next_batch(names)
            answers = self.adapter.answer(self.now, lines)
            for answer in answers:
                ((name, body),) = answer.items()
                self._take(name, body)
            yield self.now, lines, answers

    def _push(self, at: float, name: str, body: Body) -> None:
        self.serial += 1
        at = -(-at // TICK_MS) * TICK_MS
        heapq.heappush(self.events, (at, self.serial, (name, body)))

    def _next_batch(self, names: list[str]) -> list[Line]:
        self.now = self.events[0][0]
        lines: list[Line] = []
        while self.events and self.events[0][0] <= self.now:
            name, body = heapq.heappop(self.events)[2]
            match name:
                case "start":
                    lines += [line for who in body["names"] for line in self._start(who)]
                case "arrival":
                    lines += self._arrivals(names)
                case "restart":
                    lines += self._restart(body["Who"])
                case "list_change":
                    lines += self._change_list(names)
                case "Settled":
                    lines += self._settled(body)
                case _:
                    lines.append((name, body))
        return lines

    def _start(self, who: str) -> list[Line]:
        self.queries.setdefault(who, {})
        entropy = self.random.randrange(2**31)
        configured = ("Configure", {"Who": who, "Entropy": entropy, "Config": self.situation.config})
        catalog = self._catalog()
        return [configured, catalog, ("Fleet", {"Who": who, "Scope": 2, "Generation": 1, "Slot": self.slot})]

    def _catalog(self, only: list[int] | None = None) -> Line:
        self.slot = (self.slot + 1) % 16
        hosts = []
        for d in range(1, self.situation.destinations + 1):
            for e in range(self.situation.endpoints):
                number = 100 * d + e
                phase = self.phases.get(number, 1)
                if (only is None and phase == 2) or (only is not None and number not in only):
                    continue
                rating = self.situation.rated * (1 + 0.25 * (d % 2))
                host = {"Endpoint": number, "Cell": d, "Phase": phase, "Flavor": d % 2, "Locality": e % 2}
                hosts.append({**host, "Rating": rating})
        return "Catalog", {"Slot": self.slot, "Hosts": hosts}

    def _change_list(self, names: list[str]) -> list[Line]:
        number = 100 * self.random.randint(1, self.situation.destinations) + self.random.randrange(
            self.situation.endpoints
        )
        self.phases[number] = self.random.choice((0, 1, 1, 2))
        scope = self.random.choice((0, 0, 1, 3))
        self._push(self.now + 1500.0, "list_change", {})
        lines = [self._catalog([number] if scope == 0 else None)] if scope != 3 else []
        lines += [
            ("Fleet", {"Who": who, "Scope": scope, "Generation": 2, "Slot": self.slot}) for who in names
        ]
        return lines

    def _arrivals(self, names: list[str]) -> list[Line]:
        at = self.now + 1000.0 * self.random.expovariate(self.situation.arrivals_per_s)
        start, duration = self.situation.pause
        if self.now < start <= at:
            at += duration
        self._push(at, "arrival", {})
        clump = self.random.choice((1, 1, 1, 1, 6))
        return [self._query(self.random.choice(names)) for _ in range(clump)]

    def _query(self, who: str) -> Line:
        services = self.situation.config["Services"]
        qos = self.random.randrange(len(services))
        self.serial += 1
        budget = services[qos]["DeadlineMs"] * self.random.uniform(0.4, 1.0)
        body: Body = {"Who": who, "Corr": self.serial, "Qos": qos, "BudgetMs": budget}
        body["ToExchange"] = 1 + min(int(self.random.expovariate(1.0)), self.situation.destinations - 1)
        if self.situation.config.get("Tenants"):
            body["Customer"] = self.random.randrange(len(self.situation.config["Tenants"]))
        if services[qos].get("InOrder"):
            body["Entity"] = f"doc-{self.random.randrange(4)}"
        if self.situation.extended:
            body["BatchBytes"] = self.random.choice((200, 9000, 40_000))
        self.queries[who][self.serial] = Query(self.serial, body, self.now + budget)
        if self.random.random() < 0.01:
            self._push(self.now + 800.0, "Withdrawn", {"Who": who, "Corr": self.serial})
        return "Query", body

    def _restart(self, who: str) -> list[Line]:
        """The scheduler forgets all; what it held comes back with its attempts, where that is told."""
        self.events = [e for e in self.events if e[2][1].get("Who") != who]
        heapq.heapify(self.events)
        lines: list[Line] = [("Exit", {"Who": who}), *self._start(who)]
        held = list(self.queries[who].values()) if self.situation.extended else []
        self.queries[who] = {}
        for query in held:
            left = query.expires - self.now
            if left <= 0:
                continue
            body = {**query.body, "BudgetMs": left, "EarlyMs": left, "History": query.history}
            body["Owed"] = not query.history
            self.queries[who][query.corr] = Query(
                query.corr, body, query.expires, len(query.history), 0, list(query.history)
            )
            lines.append(("Query", body))
        return lines

    def _take(self, name: str, body: Body) -> None:
        who = body.get("Who", "")
        match name:
            case "Send":
                self._send(who, body)
            case "After":
                self._push(self.now + body["OffsetMs"], "TickDue", {"Who": who, "Nonce": body["Nonce"]})
            case "NotNow" | "DropRequest":
                self._end(who, body["Corr"])
            case "Withdraw":
                self._withdraw(who, body)
            case "Touch":
                probed = {
                    "Who": who,
                    "Endpoint": body["Endpoint"],
                    "Status": self._planned_outcome(body["Endpoint"]),
                }
                self._push(self.now + 40.0, "Probed", {**probed, "DelaySeenMs": 40.0, **self._report()})
            case "StreamChanges" if self.random.random() < 0.3:
                self._push(self.now + 300.0, "Fleet", {"Who": who, "Scope": 3, "Generation": 1, "Slot": 0})

    def _end(self, who: str, corr: int) -> None:
        query = self.queries[who].get(corr)
        if query is not None and not query.in_flight:
            del self.queries[who][corr]

    def _planned_outcome(self, endpoint: int) -> int:
        since = self.now - 1000.0
        for start, end, outcome in self.situation.outages:
            if start <= since < end and endpoint // 100 == 1:
                return outcome
        if self.random.random() < self.situation.fault_share:
            return self.random.choice((ERROR, TIMEOUT, CONNECT_FAILED, RESET))
        return OK

    def _over_limit(self, destination: int) -> bool:
        if not self.situation.limit_per_s:
            return False
        spent = self.calls.setdefault(("", destination), [])
        spent[:] = [at for at in spent if at > self.now - 1000.0]
        spent.append(self.now)
        return len(spent) > self.situation.limit_per_s

    def _report(self) -> Body:
        if not self.situation.reports:
            return {}
        return {"Report": {"x0": self.random.random(), "x1": self.situation.limit_per_s}}

    def _send(self, who: str, body: Body) -> None:
        query = self.queries[who].get(body["Corr"])
        if query is None:
            return
        outcome = self._planned_outcome(body["Endpoint"])
        if outcome == OK and self._over_limit(body["Endpoint"] // 100):
            outcome = FULL
        latency = self.situation.latency_ms * self.random.uniform(0.5, 2.0)
        if outcome == TIMEOUT:
            latency = min(body["TimeoutMs"], 6000.0)
        elif outcome == CONNECT_FAILED:
            latency = self.random.choice((2.0, 1000.0))
        settled = {"Who": who, "Corr": body["Corr"], "SendNo": query.attempts, "Endpoint": body["Endpoint"]}
        settled |= {"Status": outcome, "DelaySeenMs": latency, **self._report()}
        if outcome == FULL:
            settled["WaitMs"] = self.situation.retry_after_ms * self.random.choice((0.0, 1.0, 1.0))
        if outcome == CONNECT_FAILED and self.situation.extended:
            settled["TableFull"] = self.random.random() < 0.4
        query.history.append([body["Endpoint"], self.now])
        query.attempts += 1
        query.in_flight += 1
        self._push(self.now + latency, "Settled", settled)

    def _withdraw(self, who: str, body: Body) -> None:
        for place, (_, _, (name, settled)) in enumerate(self.events):
            same = name == "Settled" and settled["Who"] == who and settled["Corr"] == body["Corr"]
            if same and settled["SendNo"] == body["SendNo"]:
                del self.events[place]
                heapq.heapify(self.events)
                self._push(self.now + TICK_MS, "Settled", {**settled, "Status": CANCELLED})
                return

    def _settled(self, body: Body) -> list[Line]:
        query = self.queries[body["Who"]].get(body["Corr"])
        if query is None:
            return []
        query.in_flight -= 1
        if body["Status"] in (FULL, CONNECT_FAILED, NOT_SENT):
            query.history[body["SendNo"]][1] = None
        if body["Status"] == OK or query.expires <= self.now:
            body = {**body, "Ended": body["Status"] == OK}
            del self.queries[body["Who"]][body["Corr"]]
        return [("Settled", body)]


def _service(effect: str, **changes: Any) -> Body:
    service = {"AimMs": 2500.0, "DeadlineMs": 15000.0, "Effect": effect, "Worth": 1.0, "LateWorth": 0.3}
    if effect == "by_key":
        service |= {"WindowMs": 6000.0, "DedupScope": "all"}
    return {**service, **changes}


def _config(*services: Body, **changes: Any) -> Body:
    limits = {"Cancel": True, "DialTimeoutMs": 1000.0, "KeepaliveMs": 10000.0, "MaxAttempts": 6}
    limits |= {"MaxOpen": 60, "MaxRetryAfterMs": 2000.0, "RetryAfter": True, "StreamsPerConn": 1}
    rules = {"AnswerSlackMs": 20.0, "ColdShare": 0.2, "FallMs": 2000.0, "FallMultiple": 1.8}
    rules |= {"WarmWithinMs": 8000.0}
    config: Body = {
        "Instances": 1, "Invariants": rules, "Kinds": ["one", "many"], "Limits": limits,
        "MembershipMode": "pushed", "OverShareWorth": 0.1, "ResolutionMs": 5.0, "Services": list(services),
        "Specifics": {"BatchByKind": [8, 1], "LosesWorth": "even", "MaxCalls": 8, "RoutesApart": [False, False]},
        "Weights": "silent",
    }  # fmt: skip
    return {**config, **changes}


ALL_EFFECTS = (
    _service("repeatable"),
    _service("by_key", Worth=2.0),
    _service("by_key", DedupScope="zone", InOrder=True, AimMs=1500.0),
    _service("once", Worth=4.0, DeadlineMs=9000.0),
)
ASKED = {"MembershipMode": "on_request"}
APART = {"BatchByKind": [4, 1], "LosesWorth": "by_half", "MaxCalls": 8, "RoutesApart": [True, False]}
PROBING = _config(*ALL_EFFECTS)["Limits"] | {"Probing": True}
KEY_REST = _config(*ALL_EFFECTS)["Invariants"] | {"KeyRestMs": 700.0}
TENANTS = [{"QuotaPerS": 3.0}, {"QuotaPerS": 2.0}, {"QuotaPerS": 40.0}]

SITUATIONS = {
    "plain": Situation(11, _config(*ALL_EFFECTS)),
    "faults": Situation(12, _config(*ALL_EFFECTS, **ASKED), fault_share=0.2, list_changes=True),
    "hang": Situation(13, _config(*ALL_EFFECTS), 2400, outages=((3000.0, 9000.0, TIMEOUT),)),
    "connect_failures": Situation(
        14, _config(*ALL_EFFECTS, **ASKED), 2100,
        outages=((2000.0, 12000.0, CONNECT_FAILED), (16000.0, 18000.0, TIMEOUT)),
    ),
    "cold_return_of_many": Situation(
        15, _config(*ALL_EFFECTS, Instances=40, Weights="nominal"), 2700, 3, limit_per_s=30.0, rated=30.0,
        arrivals_per_s=20.0, outages=((2000.0, 9000.0, ERROR), (16000.0, 17000.0, RESET)),
    ),
    "listed_limit_exceeded": Situation(
        16, _config(*ALL_EFFECTS, Weights="rough", Tenants=TENANTS), 2100, limit_per_s=6.0, rated=8.0,
        arrivals_per_s=25.0, retry_after_ms=400.0,
    ),
    "reported_limit_exceeded": Situation(
        17, _config(*ALL_EFFECTS, Instances=8), 2100, 2, limit_per_s=5.0, reports=True, arrivals_per_s=25.0,
        retry_after_ms=900.0,
    ),
    "limit_of_many_listed": Situation(
        18, _config(*ALL_EFFECTS, Instances=12, Weights="nominal"), 2400, 4, limit_per_s=9.0, rated=9.0,
        arrivals_per_s=30.0,
    ),
    "routes_apart": Situation(
        19, _config(*ALL_EFFECTS, Specifics=APART, Limits=PROBING, Invariants=KEY_REST), 2100, endpoints=4,
        fault_share=0.1, outages=((2000.0, 7000.0, RESET),), list_changes=True,
    ),
    "shut": Situation(20, _config(*ALL_EFFECTS), 1800, outages=((1500.0, 8000.0, FULL),), retry_after_ms=600.0),
    "many_endpoints": Situation(21, _config(*ALL_EFFECTS), 1500, endpoints=30, fault_share=0.05),
    "overfull": Situation(
        22, _config(*ALL_EFFECTS), 2100, destinations=5, arrivals_per_s=60.0, latency_ms=900.0,
        outages=((1000.0, 6000.0, TIMEOUT),),
    ),
    "restarts": Situation(
        23, _config(*ALL_EFFECTS, Instances=3, **ASKED), 2400, 2, fault_share=0.15, extended=True,
        restarts_ms=(2500.0, 6000.0, 6005.0, 11000.0), arrivals_per_s=20.0, latency_ms=400.0,
    ),
    "restarts_of_many": Situation(
        24, _config(*ALL_EFFECTS, Instances=40, Weights="nominal"), 2400, 3, rated=20.0, limit_per_s=14.0,
        extended=True, restarts_ms=(4000.0, 9000.0), outages=((3000.0, 8000.0, CONNECT_FAILED),),
        arrivals_per_s=25.0, retry_after_ms=1500.0, list_changes=True,
    ),
    "probed": Situation(
        25, _config(_service("once", DeadlineMs=9000.0), Limits=PROBING), 1800, reports=True, limit_per_s=12.0,
        outages=((2000.0, 8000.0, ERROR),), arrivals_per_s=8.0, extended=True,
    ),
    "idle_for_minutes": Situation(
        26, _config(*ALL_EFFECTS, Instances=7), 3500, destinations=6, pause=(9000.0, 200_000.0),
        outages=((7000.0, 9500.0, ERROR),), arrivals_per_s=25.0, list_changes=True,
    ),
    "first_faults_of_many": Situation(
        27, _config(*ALL_EFFECTS, Instances=40), 2400, 4, fault_share=0.08, arrivals_per_s=9.0, endpoints=1,
        outages=((9000.0, 9900.0, ERROR), (60_000.0, 61_000.0, ERROR)), pause=(30_000.0, 20_000.0),
    ),
    "listed_limit_of_single_messages": Situation(
        28, _config(*ALL_EFFECTS, Instances=12, Weights="nominal"), 2000, 2, destinations=1, limit_per_s=24.0,
        rated=30.0, arrivals_per_s=12.0,
    ),
    "wide_destination": Situation(
        29, _config(*ALL_EFFECTS, Specifics=APART), 1800, destinations=1, endpoints=60, arrivals_per_s=40.0,
        latency_ms=20.0, fault_share=0.03,
    ),
}  # fmt: skip


def digest(answers: list[Body]) -> str:
    """Return the digest of a round's answers, as bytes of the wire."""
    text = "".join(json.dumps(answer, separators=(",", ":")) + "\n" for answer in answers)
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def record(folder: Path) -> None:
    """Write the inputs of each situation, with the digests of the answers and counts of the answers' names."""
    for name, situation in SITUATIONS.items():
        rows = []
        counts: dict[str, int] = {}
        for at, lines, answers in Day(situation).rounds():
            rows.append(json.dumps([at, lines, digest(answers)], separators=(",", ":")))
            for answer in answers:
                ((kind, _),) = answer.items()
                counts[kind] = counts.get(kind, 0) + 1
        data = gzip.compress("\n".join(rows).encode(), mtime=0)
        (folder / f"{name}.jsonl.gz").write_bytes(data)
        print(f"{name}: {len(rows)} rounds, {len(data)} bytes, answers {counts}")


if __name__ == "__main__":
    record(Path(sys.argv[1]))
