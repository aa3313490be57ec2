"""The search for failures: random scenarios, guided by what they lose, made small, and kept as regressions.

What counts is regret: how much less worth a policy keeps than the oracle does on the same day and seed. A day on
which nobody could do better is a hard day, not a bad one. A broken rule counts for more than any worth.
"""

from __future__ import annotations

import concurrent.futures
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from google.protobuf import text_format

from juniperward.settings.load import SettingsError
from juniperward.simulation import scenario_pb2
from juniperward.simulation.experiment import run_scenario
from juniperward.simulation.scenario_loader import FAULT_KIND_CODES, fault_messages, parse

KINDS = ("DOWN", "FAILING", "SHUT", "SLOW", "SILENT", "HOT", "KILL")
KEPT = 8  # days that the next ones are made from
FRESH = 0.3  # share of days that are made from nothing
KEEPS = 0.8  # share of its regret that a smaller day must keep
BROKEN = 10.0  # regret of each broken rule


@dataclass(frozen=True, slots=True)
class Found:
    """A day and what it showed."""

    text: str
    seed: int
    worth: float
    top: float  # the oracle's
    broken: int

    @property
    def regret(self) -> float:
        """Worth that could have been had; BROKEN for each broken rule."""
        return max(self.top - self.worth, 0.0) + BROKEN * self.broken


def judge(text: str, policy: str, seed: int) -> Found:
    """Play a day under a policy and under the oracle."""
    mine, top = (
        run_scenario(text, "found.textproto", policy, seed),
        run_scenario(text, "found.textproto", "oracle", seed),
    )
    broken = mine.violations
    return Found(text, seed, mine.utility, top.utility, broken)


def invent(dice: random.Random) -> Any:
    """A day from nothing."""
    m = scenario_pb2.Scenario(
        shows="made by the search", seconds=dice.choice([15, 20, 30]), forwarders=dice.choice([1, 2, 3, 5, 8]),
        slots=dice.choice([8, 16, 24, 48]), max_open=dice.choice([60, 150, 400]),
    )  # fmt: skip
    m.traffic.rate, m.traffic.again = dice.choice([20.0, 50.0, 90.0, 140.0]), 0.7
    for _ in range(dice.choice([1, 2, 2, 3])):
        _partners(m, dice)
    for _ in range(dice.choice([0, 1, 1, 2, 3])):
        _add_fault(m, dice)
    return m


def _partners(m: Any, dice: random.Random) -> None:
    limited = dice.random() < 0.5
    m.partners.add(
        count=dice.choice([1, 2, 4, 10]), share=round(dice.uniform(0.1, 1.0), 2), workers=dice.choice([1, 2, 3, 6]),
        latency=dice.choice([0.02, 0.06, 0.15, 0.4]), at_once=dice.choice([2, 6, 16]),
        rate=dice.choice([4.0, 12.0, 40.0]) if limited else 0.0, batch=dice.choice([1, 1, 5, 20]),
        tells_wait=dice.choice([0.01, 0.5, 1.0]),
    )  # fmt: skip


def _add_fault(m: Any, dice: random.Random) -> None:
    count = sum(g.count for g in m.partners)
    kind = dice.choice(KINDS)
    at = round(dice.uniform(1.0, m.seconds * 0.6), 1)
    whom = (
        []
        if kind == "KILL"
        else sorted(dice.sample(range(1, count + 1), min(count, dice.choice([1, 1, 2, 4]))))
    )
    made = fault_messages(m).add(at=at, seconds=dice.choice([2.0, 5.0, 10.0]), partner=whom)
    made.size = dice.choice([0.3, 0.6, 0.9])
    made.kind = FAULT_KIND_CODES.Value(kind)
    if kind == "SLOW":
        made.size = dice.choice([3.0, 8.0])


def mutate(text: str, dice: random.Random) -> Any:
    """A day that differs from another in one or two things."""
    m = text_format.Parse(text, scenario_pb2.Scenario())
    for _ in range(dice.choice([1, 1, 2])):
        match dice.randrange(6):
            case 0:
                m.traffic.rate = round(m.traffic.rate * dice.choice([0.6, 1.3, 1.7]), 1)
            case 1:
                _add_fault(m, dice)
            case 2:
                m.traffic.clumps, m.traffic.clump = dice.choice([0.0, 0.2, 0.6]), dice.choice([5, 20])
            case 3:
                m.forwarders, m.slots = dice.choice([1, 2, 3, 6, 8]), dice.choice([8, 16, 32])
            case 4:
                group = dice.choice(m.partners)
                group.latency = dice.choice([0.02, 0.1, 0.5])
                group.rate = dice.choice([0.0, 3.0, 10.0, 30.0])
            case _:
                if fault_messages(m):
                    t = dice.choice(fault_messages(m))
                    t.at, t.seconds = (
                        round(dice.uniform(1.0, m.seconds * 0.6), 1),
                        dice.choice([1.0, 4.0, 12.0]),
                    )
    return m


def sound(m: Any) -> str | None:
    """The text of a day that the checks of scenarios let through, else None."""
    text = str(text_format.MessageToString(m))
    try:
        parse(text, "found.textproto")
    except SettingsError:
        return None
    return text


def smaller(text: str) -> Iterator[str]:
    """Days that are each one step smaller: a fault or a group less, a shorter day, fewer of everything."""

    def changed(act: Callable[[Any], None]) -> Iterator[str]:
        m = text_format.Parse(text, scenario_pb2.Scenario())
        act(m)
        made = sound(m)
        if made is not None and made != text:
            yield made

    m = text_format.Parse(text, scenario_pb2.Scenario())
    for n in range(len(fault_messages(m))):
        yield from changed(lambda x, n=n: fault_messages(x).pop(n))  # type: ignore[misc]
    for n in range(len(m.partners)):
        yield from changed(lambda x, n=n: x.partners.pop(n))  # type: ignore[misc]
    yield from changed(lambda x: setattr(x, "seconds", max(round(x.seconds / 2), 5)))
    for n, group in enumerate(m.partners):
        for field, least in (("count", 1), ("workers", 1), ("batch", 1)):
            half = max(getattr(group, field) // 2, least)
            yield from changed(lambda x, n=n, f=field, v=half: setattr(x.partners[n], f, v))  # type: ignore[misc]
    for n, fault in enumerate(fault_messages(m)):
        for whom in fault.partner:
            yield from changed(lambda x, n=n, w=whom: fault_messages(x)[n].partner.remove(w))  # type: ignore[misc]
    yield from changed(lambda x: setattr(x, "forwarders", max(x.forwarders // 2, 1)))
    for field in ("clumps", "swing", "again"):
        yield from changed(lambda x, f=field: x.traffic.ClearField(f))  # type: ignore[misc]


def shrink(
    found: Found, policy: str, judged: Callable[[str, str, int], Found] = judge, most: int = 120
) -> Found:
    """Make a day smaller for as long as it keeps KEEPS of its regret; `most` days are played at the most."""
    best, least = found, KEEPS * found.regret
    played, going = 0, True
    while going and played < most:
        going = False
        for text in smaller(best.text):
            tried = judged(text, policy, best.seed)
            played += 1
            if tried.regret >= least:
                best, going = tried, True
                break
            if played >= most:
                break
    return best


def search(
    policy: str, rounds: int, seed: int, processes: int | None = None,
    on_progress: Callable[[int, Found], None] = lambda _done, _worst: None,
) -> list[Found]:  # fmt: skip
    """Play so many days in parts of 16, each part made from the worst so far; the worst first.

    The same seed finds the same days, however many processes play them. `on_progress` is called after each part
    with the days played and the worst found so far.
    """
    dice = random.Random(seed)
    worst: list[Found] = []
    done = 0
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        while done < rounds:
            days: list[str] = []
            while len(days) < min(16, rounds - done):
                fresh = not worst or dice.random() < FRESH
                m = invent(dice) if fresh else mutate(dice.choice(worst).text, dice)
                if (text := sound(m)) is not None:
                    days.append(text)
            seeds = [dice.randrange(1, 10_000) for _ in days]
            worst += pool.map(judge, days, [policy] * len(days), seeds)
            worst = sorted(worst, key=lambda f: -f.regret)[:KEPT]
            done += len(days)
            on_progress(done, worst[0])
    return worst


def keep(found: Found, policy: str, folder: Path) -> Path:
    """Store a day as a scenario, named by what it says; raises OSError."""
    m = text_format.Parse(found.text, scenario_pb2.Scenario())
    m.shows = (
        f"found by the search: {policy} keeps {found.worth:.3f} with seed {found.seed}, the oracle {found.top:.3f}"
        + (f"; {found.broken} rules broken" if found.broken else "")
    )
    text = str(text_format.MessageToString(m))
    folder.mkdir(parents=True, exist_ok=True)
    kinds = "-".join(sorted({FAULT_KIND_CODES.Name(t.kind).lower() for t in fault_messages(m)})) or "load"
    number = 1
    while (file := folder / f"{kinds}-{number}.textproto").exists():
        number += 1
    file.write_text(text)
    return file
