"""Measurements of dead letters: the acceptance run over seeds, live traffic beside redrives, the store's rates.

`juniperward measure dead-letters`, `dead-letter-cost` and `dead-letter-store` call these (see
`measurements.py`); each writes a page under the folder it is given and returns True where no rule broke.
"""

from __future__ import annotations

import concurrent.futures
import os
import random
import signal
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from juniperward.agent import processes
from juniperward.benchmarks.dead_letter_cluster import (
    COUNTED,
    dead_letter_cluster,
    judge_dead_letters,
    wait_until_settled,
)
from juniperward.benchmarks.report import Report, quantile
from juniperward.dead_letters.dead_letter import Status
from juniperward.dead_letters.selection import BEFORE_ALL, Filter, Position, SpoolPosition
from juniperward.dead_letters.spool import Spool
from juniperward.dead_letters.spool_format import SpooledAttempt, SpooledMessage
from juniperward.dead_letters.store import DeadLetterStore
from juniperward.fakes.checker import check
from juniperward.fakes.destination_spec import FaultMode
from juniperward.scheduler.settings import Idempotency

AT_ONCE = 10  # runs of the acceptance
AWAY = 10.0  # seconds, unless given otherwise, for which the destination is down
SUMMED = ("runs", *COUNTED, "crashed", "rules broken")


def _one(seed: int, kills: bool, away: float) -> list[Any]:
    dice = random.Random(seed)
    with (
        tempfile.TemporaryDirectory(prefix="jw-") as folder,
        dead_letter_cluster(Path(folder), seed) as cluster,
    ):
        cluster.start()
        clients = cluster.clients(40.0, away + 8.0, threads=48)
        time.sleep(2.0)
        mode = dice.choice([FaultMode.DOWN, FaultMode.FAILING, FaultMode.REJECTING])
        cluster.destinations[1].inject_fault(mode, away, fraction=0.9)
        back = time.monotonic() + away
        killed = 0
        while time.monotonic() < back:
            time.sleep(dice.uniform(0.5, 2.0))
        cluster.destinations[1].inject_fault(FaultMode.HEALTHY)
        for _ in range(6 if kills else 0):
            time.sleep(dice.uniform(0.2, 1.5))
            if dice.random() < 0.5:
                cluster.kill_agent()
                cluster.start_agent()
            else:
                name = dice.choice(cluster.names)
                if name in cluster.pids:
                    os.kill(cluster.pids[name], signal.SIGKILL)
            killed += 1
        clients.done.wait(60.0)
        cluster.wait_until(lambda s: s["ready"] == 3, 30.0)
        cluster.settle()
        wait_until_settled(cluster, 50.0 + away)
        judgement = judge_dead_letters(cluster)
        verdict = judgement.verdict
        return [
            seed,
            mode,
            killed,
            judgement.counts,
            verdict.passed,
            cluster.destinations[1].capacity.crashed,
            verdict.lines(),
        ]


def acceptance(seed: int, out: Path, rounds: int = 8, away: float = AWAY) -> bool:
    """A destination goes away under load and comes back warming up; with and without kills, over seeds.

    Writes kept.md (or kept-AWAY.md) under `out`; returns True if no rule broke.
    """
    command = f"juniperward measure dead-letters --seed {seed} --rounds {rounds} --away {away:g}"
    report = Report("Dead letters after an outage", command, seed)
    report.say(
        f"Three forwarders, 40 messages a second that live for 4 s; one of three destinations is down, failing or "
        f"rejecting for {away:g} s and comes back warming up. With kills, agent or a forwarder is killed by SIGKILL "
        f"six times while redrives go on. {AT_ONCE} runs at a time."
    )
    cases = [(seed + n, kills) for n in range(rounds) for kills in (False, True)]
    rows: list[list[str]] = []
    sums: dict[tuple[str, str], dict[str, int]] = {}
    good = True
    with concurrent.futures.ProcessPoolExecutor(AT_ONCE) as pool:
        runs = {pool.submit(_one, s, kills, away): (s, kills) for s, kills in cases}
        for run in concurrent.futures.as_completed(runs):
            s, kills = runs[run]
            try:
                _, mode, killed, counts, invariants_hold, fallen, lines = run.result()
            except Exception as error:  # a run that could not be ended is reported, and counts as a failure
                good = False
                report.say(f"seed {s}, kills {kills}: no verdict: {error!r}"[:300])
                continue
            fine = invariants_hold and not fallen and not counts["twice"] and not counts["missing"]
            good &= fine
            total = sums.setdefault((mode, "six" if kills else "none"), dict.fromkeys(SUMMED, 0))
            for name, value in (
                *counts.items(),
                ("runs", 1),
                ("crashed", fallen),
                ("rules broken", not invariants_hold),
            ):
                total[name] += int(value)
            if not fine:
                rows.append([f"{s}", mode, f"{killed}", *(f"{counts[k]}" for k in COUNTED)])
                report.say(f"seed {s}, {mode}, kills {killed}:\n\n```\n" + "\n".join(lines)[:1500] + "\n```")
            print(f"{sum(t['runs'] for t in sums.values())} of {len(cases)}", flush=True)
    report.say("Sums over all seeds:")
    report.table(
        ["fault", "kills", *SUMMED], [[*k, *(f"{v[n]}" for n in SUMMED)] for k, v in sorted(sums.items())]
    )
    if rows:
        report.say("Runs in which something was not as it must be:")
        report.table(["seed", "fault", "kills", *COUNTED], rows)
    report.write(out / ("kept.md" if away == AWAY else f"kept-{away:g}.md"))
    return good


def storage_cost(seed: int, out: Path) -> bool:
    """Live traffic beside redrives, and what storing dead letters costs a forwarder; True if no rule broke."""
    report = Report(
        "Dead letters beside live traffic", f"juniperward measure dead-letter-cost --seed {seed}", seed
    )
    _beside(report, seed)
    _cost(report, seed)
    report.write(out / "keeping.md")
    return True


def store(seed: int, out: Path, rounds: int = 1_000_000) -> bool:
    """The store's rates with a million messages."""
    report = Report("The dead-letter store", f"juniperward measure dead-letter-store --rounds {rounds}", seed)
    _rates(report, rounds)
    report.write(out / "store.md")
    return True


def _beside(report: Report, seed: int) -> None:
    """Live traffic's priority weight while so many dead letters wait to be redriven."""
    rows = []
    for waiting in (0, 1000, 10000):
        with (
            tempfile.TemporaryDirectory(prefix="jw-") as folder,
            dead_letter_cluster(Path(folder), seed) as cluster,
        ):
            spool = Spool(Path(folder) / "run" / "spool" / "n0", 100_000_000)
            for n in range(waiting):
                at = time.time() - 60.0 + n * 1e-4
                attempt = (SpooledAttempt("s-2-0", at, "full", False),)
                destination = 1 + n % 3
                workers = tuple(f"s-{destination}-{worker}" for worker in (0, 1))
                name, key, body = f"w{n}", f"kw{n}", b"x" * 50
                spool.append(
                    SpooledMessage(
                        name, "booking-update", "valiya-cluster", destination, key, body, at - 4, at,
                        attempt, Idempotency.IDEMPOTENCY_KEY, 12.0, workers,
                    )
                )  # fmt: skip
            spool.close()
            cluster.start()
            clients = cluster.clients(100.0, 12.0, threads=48)
            clients.done.wait(60.0)
            stats = cluster.request("kept", action="stats")
            live = [r for r in list(cluster.recorder.records) if not getattr(r, "id", "").startswith("kept-")]
            verdict = check(live)
            sent = stats["stands"].get("delivered", 0)
            rows.append([
                f"{waiting}", f"{sent}", f"{verdict.priority_weight_delivered:.4f}",
                f"{quantile(verdict.latencies_s, 0.5) * 1000:.0f}",
                f"{quantile(verdict.latencies_s, 0.99) * 1000:.0f}",
            ])  # fmt: skip
    report.say("Live traffic at 100 messages a second for 12 s while others wait to be sent again:")
    report.table(
        ["waiting", "of them sent meanwhile", "fraction of live priority weight", "median ms", "p99 ms"], rows
    )


def _cost(report: Report, seed: int) -> None:
    """What storing dead letters costs the others while a third of all messages are given up."""
    rows = []
    for stores in (False, True, False, True):
        with (
            tempfile.TemporaryDirectory(prefix="jw-") as folder,
            dead_letter_cluster(Path(folder), seed, 1, stores) as cluster,
        ):
            cluster.start()
            cluster.destinations[1].inject_fault(FaultMode.DOWN)
            before = cluster.request("inspect", ["n0"])["status"]["pid"]
            cpu = processes.usage(before)[0]
            clients = cluster.clients(150.0, 12.0, threads=64)
            clients.done.wait(60.0)
            time.sleep(5.0)
            spent = processes.usage(before)[0] - cpu
            verdict = check(
                [r for r in list(cluster.recorder.records) if not getattr(r, "id", "").startswith("kept-")]
            )
            stored = cluster.request("inspect", ["n0"])["status"]["kept"]
            rows.append([
                "on" if stores else "off", f"{stored}", f"{quantile(verdict.latencies_s, 0.5) * 1000:.1f}",
                f"{quantile(verdict.latencies_s, 0.99) * 1000:.1f}", f"{1000 * spent / verdict.offered:.2f}",
            ])  # fmt: skip
    report.say("One forwarder at 150 messages a second, one of three destinations down all the time:")
    report.table(["dead letters", "stored", "delivered: median ms", "p99 ms", "CPU ms a message"], rows)


def _rates(report: Report, count: int) -> None:
    """What the store does a second, with so many messages in it."""
    rows: list[list[str]] = []

    def timed(what: str, times: int, act: Callable[[int], object]) -> None:
        began = time.monotonic()
        for n in range(times):
            act(n)
        spent = time.monotonic() - began
        rows.append([what, f"{times / spent:,.0f}", f"{1000 * spent / times:.2f}"])

    with tempfile.TemporaryDirectory(prefix="jw-") as folder:
        made = DeadLetterStore(Path(folder) / "kept.db")
        attempt = (SpooledAttempt("s-1", 1.0, "full", False),)

        def batch(first: int) -> list[SpooledMessage]:
            return [
                SpooledMessage(
                    f"m{n}", f"c{n % 7}", f"cluster-{n % 40}", n % 500, f"k{n}", b"x" * 200, float(n), float(n),
                    attempt, Idempotency.IDEMPOTENCY_KEY, 12.0, (),
                )
                for n in range(first, first + 1000)
            ]  # fmt: skip

        began = time.monotonic()
        for first in range(0, count, 1000):
            made.add("n0", batch(first), SpoolPosition(1, first))
        spent = time.monotonic() - began
        rows.append(["taken in, 1,000 a transaction", f"{count / spent:,.0f}", f"{1000 * spent / count:.3f}"])
        began, seen, after = time.monotonic(), 0, BEFORE_ALL
        while page := made.select(Filter(status=Status.STORED), 500, after):
            seen, after = seen + len(page), Position(page[-1].given_up_at, page[-1].id)
        spent = time.monotonic() - began
        rows.append(["listed, pages of 500", f"{seen / spent:,.0f}", f"{1000 * spent / max(seen, 1):.3f}"])
        timed("search by destination, 100 found", 500, lambda n: made.select(Filter(destination=n), 100))
        timed("search by account, 100 found", 40, lambda n: made.select(Filter(account=f"cluster-{n}"), 100))
        timed(
            "search by key",
            1000,
            lambda n: made.select(Filter(idempotency_key=f"k{n * (count // 1000)}"), 100),
        )
        timed("search by class, 100 found", 7, lambda n: made.select(Filter(class_name=f"c{n}"), 100))
        timed(
            "search for a class that is not there",
            2,
            lambda n: made.select(Filter(class_name=f"none{n}"), 100),
        )
        timed("all about one", 1000, lambda n: made.complete_record(f"m{n}"))
        timed("claim, each durable", 1000, lambda n: made.acquire_lease(f"m{n}", None, "n0", 1.0, "rule"))
        many = [[f"m{5000 + n * 200 + k}" for k in range(200)] for n in range(20)]
        timed("wish for 200, one transaction", 20, lambda n: made.request_redrive(many[n], "me"))
        timed("counts by stand", 3, lambda _: made.stats())
        timed("integrity check", 1, lambda _: made.check())
        timed("backup while in use", 1, lambda _: made.backup(Path(folder) / "copy.db"))
        size = (Path(folder) / "kept.db").stat().st_size / 2**20
        made.close()
    report.say(f"The store with {count:,} messages of 200 bytes and one attempt ({size:.0f} MiB):")
    report.table(["what", "a second", "ms each"], rows)
