"""Forwarders whose endpoints give every answer, whole or in part, under signals, kills and crowds, run by seed.

`juniperward measure answer-soak` runs a number of seeds. A run draws the speed of the endpoints, how many answers
break off, the forms of stray answers, the deadlines of messages, and the signals for one or two forwarders from its
seed. One destination takes messages by key, the other one messages that may be sent once only; either may take
batches. A run passes if no rule of the protocol was broken.
"""

from __future__ import annotations

import contextlib
import copy
import random
import tempfile
import time
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from juniperward.benchmarks.cluster_files import BASE_CONFIGURATION
from juniperward.benchmarks.lag_watch import LagWatch
from juniperward.benchmarks.limited_forwarder import LimitedForwarder, Limits
from juniperward.benchmarks.memory_soak import problems_of, run_together, usual_records
from juniperward.benchmarks.report import Report, Row
from juniperward.benchmarks.signal_series import SignalSeries
from juniperward.benchmarks.soak_report import run_seeds
from juniperward.fakes.answering_endpoints import AnsweringDestination
from juniperward.fakes.answering_spec import AnsweringSpec, StrayForm
from juniperward.fakes.checker import check
from juniperward.fakes.clients import ClientOptions, Clients, Traffic
from juniperward.fakes.discovery import FakeDiscovery
from juniperward.fakes.hostile_clients import Form, hostile_clients
from juniperward.fakes.load_balancer import LoadBalancer
from juniperward.fakes.records import Recorder, now
from juniperward.fakes.verdict import DEFAULT_BOUNDS, Verdict

LIMITS = Limits(192, 1024)
SLOTS = 24
MAX_FORWARDERS = 2
RUN_S = 10.0
RATE_PER_S = 30.0
KEYED_CLASS, ONCE_CLASS = "booking-update", "gate-order"
SERVICE_TIMES_S = ((0.001, 0.004), (0.02, 0.25), (0.02, 0.25), (1.0, 1.5))
FRACTIONS = (0.02, 0.5, 1.0)
CUT_FRACTIONS = (0.0, 0.2, 0.5)
DEADLINES_S = (1.0, 4.0, 4.0)
KINDS = ("small-partners", "booking-sites")
CROWD_PROBABILITY = 0.3
CROWD_CONNECTIONS, CROWD_S = 400, 8.0
# The load balancer learns this late that a forwarder ends, so that clients keep using their open connections.
LOAD_BALANCER_POLL_S = 2.0
SETTLE_S = 1.5
MAX_REPORTED_VIOLATIONS = 3


@dataclass
class AnswerResult:
    """What one run has shown.

    Attributes:
        calls, connections, strays, cut_answers: What the endpoints of each destination have seen and sent.
        lag_s: By how much this process itself was late at most; the checks allow for it.
        problems: What must not happen; empty if the run passed.
    """

    seed: int
    specs: tuple[AnsweringSpec, ...]
    forwarders: int
    crowd: bool
    verdict: Verdict
    calls: tuple[int, ...]
    connections: tuple[int, ...]
    strays: tuple[int, ...]
    cut_answers: tuple[int, ...]
    lag_s: float
    problems: list[str] = field(default_factory=list)

    def cells(self) -> Row:
        """Return the table row under COLUMNS."""
        return [
            f"{self.seed}",
            f"{self.forwarders}{' and a crowd' if self.crowd else ''}",
            *(_cell(spec, *counts) for spec, *counts in self._destinations()),
            f"{self.verdict.accepted}",
            f"{self.verdict.delivered}",
            f"{self.verdict.notified}",
            f"{self.lag_s:.3f}",
            "; ".join(self.problems) or "held",
        ]

    def _destinations(self) -> Any:
        counts = (self.calls, self.connections, self.strays, self.cut_answers)
        return zip(self.specs, *counts, strict=True)


def _cell(spec: AnsweringSpec, calls: int, connections: int, strays: int, cut_answers: int) -> str:
    fastest_s, slowest_s = spec.service_s
    return (
        f"{spec.kind}, {spec.form} {spec.fraction:g}, {1000 * fastest_s:g} to {1000 * slowest_s:g} ms, "
        f"cut {spec.cut:g}: {calls}, {connections}, {strays}, {cut_answers}"
    )


COLUMNS = [
    "seed",
    "forwarders",
    "by key: calls, connections, strays, cut answers",
    "once: the same",
    "accepted",
    "delivered",
    "notified",
    "own lateness s",
    "verdict",
]


def soak_settings() -> dict[str, Any]:
    """Return settings with a class by key, a class that may be sent once only, and SLOTS."""
    settings: dict[str, Any] = copy.deepcopy(BASE_CONFIGURATION["settings"])
    once = {**settings["Services"][0], "Name": ONCE_CLASS, "Effect": "once"}
    settings["Services"].append(once)
    settings["Specifics"]["MaxCalls"] = SLOTS
    settings["Weights"] = "nominal"
    return settings


class _AnswerRun:
    """The forwarders, endpoints and clients of one seed."""

    def __init__(
        self, seed: int, folder: Path, resources: contextlib.ExitStack, forms: tuple[StrayForm, ...]
    ) -> None:
        self._seed, self._random, self._resources = seed, random.Random(seed), resources
        self._lag = LagWatch()
        resources.callback(self._lag.close)
        self._recorder = Recorder()
        discovery = FakeDiscovery(self._recorder)
        resources.callback(discovery.close)
        self._destinations = [self._destination(number, forms) for number in (1, 2)]
        for destination in self._destinations:
            resources.callback(destination.close)
            discovery.publish(*destination.start())
        self._crowd = self._random.random() < CROWD_PROBABILITY
        self._deadline_s = self._random.choice(DEADLINES_S)
        self._forwarders = []
        for number in range(self._random.randint(1, MAX_FORWARDERS)):
            name = f"n{number}"
            address = discovery.address_for(name)
            forwarder = LimitedForwarder(
                folder / name, address, LIMITS, name, self._recorder, settings=soak_settings()
            )
            resources.callback(forwarder.close)
            self._forwarders.append(forwarder)

    def _destination(self, number: int, forms: tuple[StrayForm, ...]) -> AnsweringDestination:
        spec = AnsweringSpec(
            number,
            self._random.choice(forms),
            self._random.choice(FRACTIONS),
            self._random.choice(SERVICE_TIMES_S),
            self._random.choice(CUT_FRACTIONS),
            deduplicates=number == 1,
            kind=self._random.choice(KINDS),
        )
        return AnsweringDestination(spec, self._recorder, self._seed * 10 + number)

    def run(self) -> AnswerResult:
        """Run all of it to its end and return the result."""
        for forwarder in self._forwarders:
            forwarder.start()
        addresses = {forwarder.name: forwarder.address for forwarder in self._forwarders}
        balancer = LoadBalancer(addresses, LOAD_BALANCER_POLL_S)
        self._resources.callback(setattr, balancer, "closed", True)
        balancer.start()
        clients = [
            self._start_clients(balancer, 1, KEYED_CLASS, 2),
            # A message of this class that got no answer must not be submitted again by its client.
            self._start_clients(balancer, 2, ONCE_CLASS, 1),
        ]
        began_at = now()
        if self._crowd:
            for forwarder in self._forwarders:
                self._resources.enter_context(
                    hostile_clients(forwarder.address, Form.SILENT, CROWD_CONNECTIONS, CROWD_S, self._seed)
                )
        signals = [SignalSeries(forwarder, self._random.getrandbits(32)) for forwarder in self._forwarders]
        run_together([lambda each=each: each.run(began_at) for each in signals])  # type: ignore[misc]
        for each in clients:
            each.done.wait(RUN_S + 2 * self._deadline_s)
        time.sleep(self._deadline_s + SETTLE_S)
        return self._result(signals)

    def _start_clients(
        self, balancer: LoadBalancer, destination: int, message_class: str, submissions: int
    ) -> Clients:
        traffic = Traffic(
            RATE_PER_S * len(self._forwarders),
            ((destination, 1.0),),
            message_class=message_class,
            deadline_s=self._deadline_s,
            max_submissions=submissions,
        )
        options = ClientOptions(threads=16, id_prefix=f"c{destination}-")
        clients = Clients(traffic, balancer, self._recorder, self._seed + destination, options)
        clients.start(RUN_S)
        return clients

    def _result(self, signals: list[SignalSeries]) -> AnswerResult:
        lag_s = self._lag.longest_s
        bounds = replace(
            DEFAULT_BOUNDS,
            outcome_grace_s=DEFAULT_BOUNDS.outcome_grace_s + lag_s,
            crossing_s=DEFAULT_BOUNDS.crossing_s + lag_s,
            retry_after_grace_s=DEFAULT_BOUNDS.retry_after_grace_s + lag_s,
        )
        result = AnswerResult(
            self._seed,
            tuple(destination.spec for destination in self._destinations),
            len(self._forwarders),
            self._crowd,
            check(list(usual_records(self._recorder.records)), bounds),
            tuple(destination.calls for destination in self._destinations),
            tuple(destination.connections for destination in self._destinations),
            tuple(destination.strays for destination in self._destinations),
            tuple(destination.cut_answers for destination in self._destinations),
            lag_s,
        )
        for forwarder, sent in zip(self._forwarders, signals, strict=True):
            result.problems += problems_of(forwarder, sent)
        for violation in result.verdict.violations[:MAX_REPORTED_VIOLATIONS]:
            result.problems.append(f"{violation.rule}: {violation.subject}: {violation.text}")
        return result


def run_seed(seed: int, forms: tuple[StrayForm, ...] = tuple(StrayForm)) -> AnswerResult:
    """Run one seed, whose forms are drawn from `forms`, and return its result."""
    with (
        tempfile.TemporaryDirectory(prefix="jw-") as folder,
        contextlib.ExitStack() as resources,
    ):
        return _AnswerRun(seed, Path(folder), resources, forms).run()


def answer_soak(seed: int, out: Path, rounds: int = 50) -> bool:
    """Run `rounds` seeds from `seed` on; write answer-soak.md to `out`. Returns whether all of them passed."""
    command = f"juniperward measure answer-soak --seed {seed} --rounds {rounds}"
    report = Report("Forwarders beside every answer, whole and cut", command, seed)
    report.add_paragraph(
        f"Each run has one or two forwarders, {RATE_PER_S:g} messages a second for each destination and forwarder, a "
        "series of signals for each, and in some runs a crowd of silent clients. The endpoints of two destinations "
        "give every answer of the protocol; a fraction of the answers breaks off at any byte, and stray answers are "
        "sent beside a fraction of the calls on reused connections, if a forwarder reuses any."
    )
    return run_seeds(run_seed, range(seed, seed + rounds), report, COLUMNS, out / "answer-soak.md")
