"""What a complete fleet did, by second and by destination, counted from the traces of all its forwarders.

A forwarder traces where ROUTER_TRACE is set (juniperward/forwarder/trace.py). A limit, a table of connections and a
recovering destination belong to all forwarders together; what one of them did shows nothing of that.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

DEFAULT_LATENCY_OBJECTIVE_S = (
    3.0  # within which a delivery is in time, where no forwarder traced its settings
)
TRACE_MARK = "juniperward: trace:"
MAX_UNREAD_SHOWN = 5
TRACED = re.compile(r"juniperward: trace: (\d+(?:\.\d+)?) (\w+) ?(.*)$")
SETTINGS_LINE = re.compile(
    r"juniperward: trace: (?:settings value=.?\w+|Settings)\(.*?\b(?:latency_objective_s|aim)=([0-9.]+)"
)
SAID = re.compile(r"(destination (?:ejected|recovered)) destination=(\d+)")
CHANGES = {"destination ejected": 1, "destination recovered": -1}

COLUMNS = (
    "asked", "door", "calls", "again", "ok", "full", "told", "tables", "failed", "opened", "in_time", "late",
    "given_up", "sick",
)  # fmt: skip


@dataclass(slots=True)
class Story:
    """A message of one forwarder's incarnation."""

    destination: int
    at: float
    calls: int = 0
    over: bool = False


@dataclass(slots=True)
class Fleet:
    """All that was counted; a place is a second of the day and a destination."""

    counts: dict[tuple[int, int], dict[str, int]] = field(default_factory=dict)
    rates: dict[int, float] = field(default_factory=dict)  # as listed, calls a second
    delays: dict[int, list[float]] = field(default_factory=dict)  # by second: from accepted to delivered
    unread: list[str] = field(default_factory=list)  # the first lines that could not be read
    unread_count: int = 0
    forwarders: int = 0
    lines: int = 0
    latency_objective_s: float = DEFAULT_LATENCY_OBJECTIVE_S
    began: float = math.inf

    def add(self, at: float, destination: int, name: str, by: int = 1) -> None:
        """Count something."""
        place = self.counts.setdefault((int(at - self.began), destination), {})
        place[name] = place.get(name, 0) + by

    def rows(self, destination: int | None = None) -> list[tuple[int, dict[str, int]]]:
        """By second, of one destination or of all together."""
        return self._summed(lambda second, counted: second if destination in (None, counted) else None)

    def by_destination(self) -> list[tuple[int, dict[str, int]]]:
        """By destination, over the whole day."""
        return self._summed(lambda _, counted: counted)

    def peak(self, destination: int) -> int:
        """Most calls that all forwarders made to a destination within a second."""
        return max((c.get("calls", 0) for (_, d), c in self.counts.items() if d == destination), default=0)

    def _summed(self, key: Callable[[int, int], int | None]) -> list[tuple[int, dict[str, int]]]:
        sums: dict[int, dict[str, int]] = {}
        for (second, d), counted in self.counts.items():
            if (place := key(second, d)) is not None:
                row = sums.setdefault(place, {})
                for name, n in counted.items():
                    row[name] = row.get(name, 0) + n
        return sorted(sums.items())


class UnknownKeywordError(ValueError):
    """A line of a trace begins with a keyword that has no meaning here."""

    def __init__(self, keyword: str) -> None:
        """Tell the keyword."""
        super().__init__(f"no such keyword: {keyword}")


class TooManyEndsError(ValueError):
    """A call has more ends than messages."""

    def __init__(self) -> None:
        """Say so."""
        super().__init__("more ends than messages")


class NotTracedError(ValueError):
    """A line is not one of a trace."""

    def __init__(self) -> None:
        """Say so."""
        super().__init__("not a line of a trace")


class _Reader:
    """Follows one forwarder's trace over all its incarnations."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.name = fleet, name
        self.messages: dict[str, Story] = {}
        self.calls: dict[str, tuple[int, list[str], set[str]]] = {}  # destination, messages, those answered

    def new_incarnation(self) -> None:
        """A process began (a new incarnation): its attempts are numbered anew."""
        self.calls.clear()

    def take(self, at: float, keyword: str, fields: list[str], text: str) -> None:
        """Take in one line; raises ValueError, IndexError or KeyError where it makes no sense."""
        fleet = self.fleet
        match keyword:
            case "handed":
                fleet.add(at, int(fields[0]), "asked")
            case "taken":
                self.messages[fields[1]] = Story(int(fields[0]), at)
            case "refused":
                if fields[0] != "?":
                    fleet.add(at, int(fields[0]), "door")
            case "listed":
                fleet.rates[int(fields[1])] = float(fields[4])
            case "say":
                if found := SAID.match(text):
                    fleet.add(at, int(found[2]), "sick", CHANGES[found[1]])
            case "up" | "struck" | "off" | "close" | "noticed" | "untold":
                pass
            case _:
                self._take_of_calls(at, keyword, fields)

    def _take_of_calls(self, at: float, keyword: str, fields: list[str]) -> None:
        match keyword:
            case "call":
                self._called(at, fields)
            case "answer":
                self._answered(at, fields)
            case "ended":
                self._ended(at, fields)
            case "given_up":
                self._given_up(at, fields[0])
            case _:
                raise UnknownKeywordError(keyword)

    def _called(self, at: float, fields: list[str]) -> None:
        destination, ids = int(fields[1]), fields[4].split(",")
        self.calls[fields[0]] = (destination, ids, set())
        self.fleet.add(at, destination, "calls")
        for name in ids:
            story = self.messages.setdefault(name, Story(destination, at))
            story.calls += 1
            self.fleet.add(at, destination, "again", int(story.calls > 1))

    def _answered(self, at: float, fields: list[str]) -> None:
        destination = self.calls[fields[0]][0]
        if fields[1] != "fresh":
            return
        self.fleet.add(at, destination, "opened")
        if fields[2] == "503" and fields[3] == "closes":
            self.fleet.add(at, destination, "tables")

    def _given_up(self, at: float, name: str) -> None:
        given_up = self.messages.get(name)
        if given_up is not None and not given_up.over:
            given_up.over = True
            self.fleet.add(at, given_up.destination, "given_up")

    def _ended(self, at: float, fields: list[str]) -> None:
        """One message's end in a call; the ends stand in the order of the call's messages or all fare alike."""
        f = self.fleet
        d, ids, done = self.calls[fields[0]]
        left = [name for name in ids if name not in done]
        if not left:
            raise TooManyEndsError
        name = left[0]
        done.add(name)
        outcome, wait = fields[1], float(fields[2])
        if wait > 0:
            f.add(at, d, "told", int(len(done) == 1))
        if outcome == "ok":
            story = self.messages[name]
            delay = at - story.at
            f.add(at, d, "ok")
            if not story.over:
                story.over = True
                f.delays.setdefault(int(at - f.began), []).append(delay)
                f.add(story.at, d, "in_time" if delay <= f.latency_objective_s else "late")
        elif outcome == "full":
            f.add(at, d, "full", int(len(done) == 1))
        else:
            f.add(at, d, "failed", int(len(done) == 1))


def read(logs: dict[str, Iterable[str]]) -> Fleet:
    """Count over the traces of many forwarders, by name; what cannot be read is counted and named."""
    fleet = Fleet(forwarders=len(logs))
    lines = {name: list(log) for name, log in logs.items()}
    for log in lines.values():
        first = next((found for line in log if (found := TRACED.search(line))), None)
        if first is not None:
            fleet.began = min(fleet.began, float(first[1]))
    for name, log in lines.items():
        reader = _Reader(fleet, name)
        for number, line in enumerate(log, 1):
            if TRACE_MARK in line:
                _read_line(fleet, reader, f"{name}:{number}", line)
    return fleet


def _read_line(fleet: Fleet, reader: _Reader, place: str, line: str) -> None:
    fleet.lines += 1
    if settings := SETTINGS_LINE.search(line):
        fleet.latency_objective_s = float(settings[1])
        reader.new_incarnation()
        return
    try:
        at, keyword, text = _split(line.rstrip())
        reader.take(at, keyword, text.split(" "), text)
    except (ValueError, IndexError, KeyError) as error:
        fleet.unread_count += 1
        if len(fleet.unread) < MAX_UNREAD_SHOWN:
            fleet.unread.append(f"{place}: {error}: {line.strip()[:100]}")


def _split(line: str) -> tuple[float, str, str]:
    """Return a line's time, its keyword, and the rest."""
    found = TRACED.search(line)
    if not found:
        raise NotTracedError
    return float(found[1]), found[2], found[3]


def read_folder(folder: Path) -> Fleet:
    """Count over all `*.log` of a folder, a forwarder each."""
    return read({p.stem: p.read_text(errors="replace").splitlines() for p in sorted(folder.glob("*.log"))})


def text(fleet: Fleet, destination: int | None = None) -> str:
    """The tables, by second and by destination."""
    out = [
        f"{fleet.forwarders} forwarders, {fleet.lines} lines, {fleet.unread_count} of them not read, "
        f"in time within {fleet.latency_objective_s:g} s"
    ]
    out += fleet.unread
    head = " ".join(f"{c:>8}" for c in COLUMNS)
    out.append(f"{'second':>8} {head} {'median':>8}")
    ejected_so_far = 0
    for second, row in fleet.rows(destination):
        ejected_so_far += row.get("sick", 0)
        cells = {**row, "sick": ejected_so_far}
        delays = sorted(fleet.delays.get(second, [])) if destination is None else []
        median = f"{delays[len(delays) // 2]:.3f}" if delays else "-"
        out.append(f"{second:>8} " + " ".join(f"{cells.get(c, 0):>8}" for c in COLUMNS) + f" {median:>8}")
    if destination is None:
        out.append(f"{'dest.':>8} {head} {'listed':>8} {'peak':>8}")
        for number, row in fleet.by_destination():
            listed = f"{fleet.rates.get(number, 0.0):g}"
            counts = " ".join(f"{row.get(c, 0):>8}" for c in COLUMNS)
            out.append(f"{number:>8} {counts} {listed:>8} {fleet.peak(number):>8}")
    return "\n".join(out)
