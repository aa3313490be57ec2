"""The measurements of fleets that are too long for CI; `juniperward measure` runs them and writes them down.

Each compares within one run: the same load without and with what is measured. Results are tables in Markdown,
with the date, the machine, the seed and the command, for docs/measurements/.
"""

from __future__ import annotations

import os
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from juniperward.agent import processes
from juniperward.agent.client import AgentUnreachableError
from juniperward.benchmarks.local_cluster import ROOT, LocalCluster, machine
from juniperward.control.client import ControlClient, Refused, Silent
from juniperward.control.protocol import ProtocolError, Request, Verb, encode_request
from juniperward.fakes.checker import Verdict
from juniperward.fakes.partners import PartnerSpec
from juniperward.fleet.model import Process

PARTNERS = [
    PartnerSpec(1, "booking-sites", workers=2, latency=0.06, rate=120.0, batch=20),
    *(PartnerSpec(d, workers=2, latency=0.02 + 0.01 * d) for d in range(2, 9)),
]
Row = list[str]


class Report:
    """Lines of Markdown, printed as they come and written in the end."""

    def __init__(self, title: str, command: str, seed: int) -> None:
        self.lines = [
            f"# {title}", "", f"{datetime.now(UTC):%Y-%m-%d}; {machine()}; seed {seed}; `{command}`", "",
        ]  # fmt: skip
        print("\n".join(self.lines), flush=True)

    def say(self, text: str) -> None:
        """A paragraph."""
        self.add([text, ""])

    def table(self, head: Row, rows: list[Row]) -> None:
        """A table."""
        made = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
        self.add([*made, *("| " + " | ".join(r) + " |" for r in rows), ""])

    def add(self, lines: list[str]) -> None:
        self.lines += lines
        print("\n".join(lines), flush=True)

    def write(self, file: Path) -> None:
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_text("\n".join(self.lines).rstrip() + "\n")


def quantile(values: list[float], share: float) -> float:
    """The value below which that share lies; 0 of none."""
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)] if ordered else 0.0


def _verdict_row(name: str, v: Verdict, seconds: float, lateness: list[float]) -> Row:
    rules = "held" if v.good else f"{len(v.violations)} broken"
    return [
        name, f"{v.asked}", f"{v.taken}", f"{v.delivered}", f"{v.noticed}", f"{v.refused}", f"{v.unanswered}",
        f"{v.repeats}", f"{v.worth:.4f}", f"{quantile(v.latencies, 0.5) * 1000:.0f}",
        f"{quantile(v.latencies, 0.99) * 1000:.0f}", f"{seconds:.1f}" if seconds else "-", rules,
        f"{quantile(lateness, 0.99) * 1000:.0f}",
    ]  # fmt: skip


VERDICT_HEAD = [
    "run", "messages", "taken", "delivered", "ended by notice", "turned away", "no answer", "repeats",
    "share of worth", "median ms", "p99 ms", "roll s", "rules", "rig's own lateness p99 ms",
]  # fmt: skip


def _run(
    instances: int, rate: float, seconds: float, seed: int, during: Callable[[LocalCluster], float],
    settings: dict[str, dict[str, float]] | None = None,
) -> tuple[Verdict, float, list[float]]:  # fmt: skip
    """A load for so long with something done amid it; the verdict, how long that took, the rig's lateness."""
    with tempfile.TemporaryDirectory(prefix="jw-") as folder:  # noqa: SIM117
        with LocalCluster(Path(folder), instances, PARTNERS, seed, settings=settings) as cluster:
            cluster.start()
            clients = cluster.clients(rate, seconds, threads=96)
            time.sleep(2.0)
            took = during(cluster)
            clients.done.wait(seconds + 60.0)
            cluster.until(lambda s: s["ready"] == instances, 60.0)
            cluster.settle(40.0)
            return cluster.verdict(), took, clients.lateness


def rolls(seed: int, out: Path, instances: int = 10, rate: float = 100.0) -> bool:
    """Rolls of ten under load, by SIGTERM and SIGKILL and in batches, beside the same load without."""
    report = Report("Rolling restarts under load", f"juniperward measure rolls --seed {seed}", seed)
    report.say(
        f"{instances} forwarders on one machine under one agent, 8 partners, {rate:g} messages a second by the "
        "stand-ins. A worker drains amid each roll. Latency counts from when a message was due."
    )

    def rolled(**options: Any) -> Callable[[LocalCluster], float]:
        def during(cluster: LocalCluster) -> float:
            began = time.monotonic()
            cluster.ask("roll", soak=0.5, **options)
            time.sleep(1.0)
            cluster.registry.put(*cluster.partners[2].entries("Terminating", 0))
            found = cluster.roll_end(180.0)
            if found["mode"] != "done":
                raise RuntimeError(f"the roll is {found['mode']}: {found['why']}")
            return time.monotonic() - began

        return during

    cases: list[tuple[str, float, Callable[[LocalCluster], float]]] = [
        ("no roll", 45.0, lambda cluster: 0.0),
        ("one at a time", 45.0, rolled()),
        ("two at a time", 30.0, rolled(at_once=2, floor=instances - 2)),
        ("three at a time", 25.0, rolled(at_once=3, floor=instances - 3)),
        ("one at a time, SIGKILL", 45.0, rolled(kill=True)),
    ]
    rows, good, base = [], True, 1.0
    for name, seconds, during in cases:
        verdict, took, lateness = _run(instances, rate, seconds, seed, during)
        base = verdict.worth if name == "no roll" else base
        good &= verdict.good
        rows.append([*_verdict_row(name, verdict, took, lateness), f"{verdict.worth / base:.4f}"])
        print(rows[-1], flush=True)
        for v in verdict.violations[:3]:
            report.say("```\n" + str(v)[:3000] + "\n```")
    report.table([*VERDICT_HEAD, "worth against no roll"], rows)
    report.write(out / "rolls.md")
    return good


def chaos(seed: int, out: Path, rounds: int = 50, instances: int = 10, rate: float = 60.0) -> bool:
    """The agent killed at random moments of rolls, with one instance stopped by SIGSTOP at a time."""
    report = Report(
        "The agent killed amid rolls", f"juniperward measure chaos --seed {seed} --rounds {rounds}", seed
    )
    report.say(
        f"{instances} forwarders under load at {rate:g} messages a second; roll after roll, while a random one is "
        f"stopped by SIGSTOP and the agent is killed by SIGKILL at random moments, {rounds} times, and started again."
    )
    dice = random.Random(seed)
    kills = stops = done = paused = 0
    stopped: Process | None = None
    restarts: list[float] = []
    settings = {"patience": {"silent": 1.0, "start": 8.0, "stop": 2.0}}
    with tempfile.TemporaryDirectory(prefix="jw-") as folder:  # noqa: SIM117
        with LocalCluster(Path(folder), instances, PARTNERS, seed, settings=settings) as cluster:
            cluster.start()
            stop = threading.Event()
            batches = [cluster.clients(rate, 10.0, threads=64, name="c0-")]

            def load() -> None:
                n = 1
                while not stop.is_set():
                    batches[-1].done.wait(12.0)
                    if not stop.is_set():
                        batches.append(cluster.clients(rate, 10.0, threads=64, name=f"c{n}-"))
                    n += 1

            loader = threading.Thread(target=load, daemon=True)
            loader.start()
            while kills < rounds:
                try:
                    status = cluster.ask("status")
                except AgentUnreachableError:
                    continue
                roll = status["roll"]
                if roll is None or roll["over"]:
                    done += roll is not None and roll["mode"] == "done"
                    cluster.ask("roll", soak=0.0, drain=2.0, at_once=2, floor=instances - 3, soak_most=1.0)
                elif roll["mode"] == "paused":
                    paused += 1
                    cluster.ask("roll_resume")
                if dice.random() < 0.25:
                    ready_ones = [r for r in status["instances"] if r["state"] == "ready"]
                    if ready_ones and (stopped is None or not processes.alive(stopped)):
                        stopped = processes.identify(dice.choice(ready_ones)["pid"])
                        stops += stopped is not None and processes.send(stopped, signal.SIGSTOP)
                time.sleep(dice.uniform(0.05, 1.5))
                cluster.kill_agent()
                kills += 1
                time.sleep(dice.uniform(0.0, 0.5))
                began = time.monotonic()
                cluster.start_agent()
                restarts.append(time.monotonic() - began)
            stop.set()
            loader.join(15.0)
            for b in batches:
                b.done.wait(40.0)
            cluster.roll_end(90.0)
            for r in cluster.ask("status")["instances"]:
                if r["state"] == "silent":
                    cluster.ask("kill", [r["name"]])
            cluster.until(lambda s: s["ready"] == instances, 90.0)
            cluster.settle(60.0)
            verdict = cluster.verdict()
            lateness = [x for b in batches for x in b.lateness]
            found = processes.find(str(cluster.folder / "run"))
    report.table(VERDICT_HEAD, [_verdict_row("chaos", verdict, 0.0, lateness)])
    report.table(
        ["agent killed", "instances stopped by SIGSTOP", "rolls ended", "pauses", "agent back, median s", "worst s",
         "processes of the fleet at the end"],
        [[f"{kills}", f"{stops}", f"{done}", f"{paused}", f"{statistics.median(restarts):.2f}",
          f"{max(restarts):.2f}", f"{len(found)}"]],
    )  # fmt: skip
    for v in verdict.violations[:5]:
        report.say("```\n" + str(v)[:3000] + "\n```")
    report.write(out / "chaos.md")
    return verdict.good and len(found) == instances


def status(seed: int, out: Path, sizes: tuple[int, ...] = (10, 100), times: int = 20) -> bool:
    """How long `fleet status` takes, with all instances well and with one and ten silent; what the agent costs."""
    report = Report(
        "fleet status, and what an agent costs", f"juniperward measure status --seed {seed}", seed
    )
    report.say("The whole command, from its process's start to its end; CPU is that of the agent over 10 s.")
    rows: list[Row] = []
    good = True
    for size in sizes:
        with tempfile.TemporaryDirectory(prefix="jw-") as folder:
            patience = {"patience": {"silent": 2.0, "start": 60.0, "stop": 4.0}}
            with LocalCluster(Path(folder), size, PARTNERS[:2], seed, settings=patience) as cluster:
                began = time.monotonic()
                cluster.start(ready=False)
                cluster.until(lambda s, n=size: s["ready"] == n, 120.0)
                up = time.monotonic() - began
                for silent in (0, 1, 10):
                    for name in cluster.names[:silent]:
                        os.kill(cluster.row(name)["pid"], signal.SIGSTOP)
                    cluster.until(
                        lambda s, n=silent: sum(r["state"] == "silent" for r in s["instances"]) == n, 30.0
                    )
                    taken = [_timed_status(cluster) for _ in range(times)]
                    before = cluster.ask("agent")
                    time.sleep(10.0)
                    after = cluster.ask("agent")
                    cpu = (after["cpu_seconds"] - before["cpu_seconds"]) / 10.0
                    limit = 1.5 if silent else 1.0
                    good &= max(taken) < limit
                    rows.append([
                        f"{size}", f"{silent}", f"{statistics.median(taken):.2f}", f"{max(taken):.2f}",
                        f"{after['resident_bytes'] / 2**20:.0f}", f"{100 * cpu:.1f}", f"{up:.1f}",
                    ])  # fmt: skip
                for name in cluster.names[:10]:
                    pid = cluster.row(name)["pid"]
                    if pid is not None:
                        os.kill(pid, signal.SIGCONT)
    report.table(
        [
            "instances",
            "silent",
            "status median s",
            "worst s",
            "agent MiB",
            "agent CPU %",
            "all ready after s",
        ],
        rows,
    )
    report.write(out / "status.md")
    return good


def _timed_status(cluster: LocalCluster) -> float:
    began = time.monotonic()
    subprocess.run(
        [sys.executable, "-m", "juniperward", "fleet", "status", "-a", str(cluster.socket), "-o", "json"],
        cwd=ROOT, stdout=subprocess.DEVNULL, check=True,
    )  # fmt: skip
    return time.monotonic() - began


def flood(seed: int, out: Path, seconds: float = 10.0) -> bool:
    """What clients of the control channel that flood it, stall or send rubbish do to the loop and to messages."""
    report = Report(
        "A forwarder whose control channel is flooded", f"juniperward measure flood --seed {seed}", seed
    )
    report.say(
        "One forwarder at 100 messages a second. The loop's delay is the time from a request on the control channel "
        "to its answer, asked by one honest client ten times a second; the messages' is from due to effect."
    )
    rows: list[Row] = []
    with (
        tempfile.TemporaryDirectory(prefix="jw-") as folder,
        LocalCluster(Path(folder), 1, PARTNERS, seed) as cluster,
    ):
        cluster.start()
        path = cluster.folder / "run" / "run" / "n0"
        attacks: list[tuple[str, Callable[[threading.Event], None] | None]] = [
            ("nothing", None), ("requests without a pause", lambda e: _flood(path, e)),
            ("connections that say nothing", lambda e: _mute(path, e)), ("rubbish", lambda e: _rubbish(path, e)),
            ("requests, answers not read", lambda e: _deaf(path, e)), ("nothing, again", None),
        ]  # fmt: skip
        for name, attack in attacks:
            end = threading.Event()
            threads = [
                threading.Thread(target=attack, args=(end,), daemon=True) for _ in range(8 if attack else 0)
            ]
            cluster.recorder.records.clear()
            clients = cluster.clients(100.0, seconds, threads=32, name=name[:2])
            for thread in threads:
                thread.start()
            asked, missed = _honest(path, seconds)
            end.set()
            clients.done.wait(30.0)
            for thread in threads:
                thread.join(10.0)
            cluster.settle()
            v = cluster.verdict()
            rows.append([
                name, f"{v.delivered}/{v.asked}", f"{quantile(v.latencies, 0.5) * 1000:.1f}",
                f"{quantile(v.latencies, 0.99) * 1000:.1f}", f"{quantile(asked, 0.5) * 1000:.1f}",
                f"{quantile(asked, 0.99) * 1000:.1f}", f"{missed}",
            ])  # fmt: skip
    report.table(
        ["eight clients send", "delivered", "message median ms", "p99 ms", "honest request median ms", "p99 ms",
         "honest requests unanswered"], rows,
    )  # fmt: skip
    report.write(out / "flood.md")
    return True


def _honest(path: Path, seconds: float) -> tuple[list[float], int]:
    client, taken, missed = ControlClient(path, 1.0), [], 0
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        began = time.monotonic()
        try:
            client.status()
            taken.append(time.monotonic() - began)
        except (Silent, Refused, ProtocolError):
            missed += 1
        time.sleep(0.1)
    client.close()
    return taken, missed


def _attack(path: Path, end: threading.Event, act: Callable[[Any], None]) -> None:
    import socket

    while not end.is_set():
        try:
            with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
                sock.settimeout(0.5)
                sock.connect(str(path))
                act(sock)
        except OSError:
            time.sleep(0.001)


def _flood(path: Path, end: threading.Event) -> None:
    def act(sock: Any) -> None:
        while not end.is_set():
            sock.sendall(encode_request(Request(1, Verb.DESTINATIONS)))
            sock.recv(65536)

    _attack(path, end, act)


def _mute(path: Path, end: threading.Event) -> None:
    _attack(path, end, lambda sock: sock.recv(1))


def _rubbish(path: Path, end: threading.Event) -> None:
    _attack(path, end, lambda sock: sock.sendall(b"\xff" * 65536))


def _deaf(path: Path, end: threading.Event) -> None:
    def act(sock: Any) -> None:
        for _ in range(1000):
            sock.sendall(encode_request(Request(1, Verb.COUNTERS)))

    _attack(path, end, act)
