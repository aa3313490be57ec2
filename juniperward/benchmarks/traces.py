"""Counts the events of a fleet from the traces of all its forwarders, for `juniperward simulate traces`.

A forwarder writes a trace to its log if ROUTER_TRACE is set (see `forwarder/trace.py`). The load on a destination's
rate limit, connections and slow start comes from all forwarders, so their traces are counted together.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from juniperward.benchmarks.trace_counts import FleetCounts

TRACE_MARK = "juniperward: trace:"
MAX_UNREAD_SHOWN = 5
MAX_UNREAD_LINE_CHARACTERS = 100
TRACED = re.compile(r"juniperward: trace: (\d+(?:\.\d+)?) (\w+) ?(.*)$")
SETTINGS_LINE = re.compile(
    r"juniperward: trace: (?:settings value=.?\w+|Settings)\(.*?\b(?:latency_objective_s|aim)=([0-9.]+)"
)
LOGGED = re.compile(r"(destination (?:ejected|recovered)) destination=(\d+)")
EJECTED_CHANGES = {"destination ejected": 1, "destination recovered": -1}


class UnknownKeywordError(ValueError):
    """A line of a trace has an unknown keyword."""

    def __init__(self, keyword: str) -> None:
        """Name the keyword."""
        super().__init__(f"unknown keyword {keyword}")
        self.keyword = keyword


class TooManyOutcomesError(ValueError):
    """A trace has more outcomes of an attempt than the attempt has messages."""

    def __init__(self) -> None:
        """Describe the error; the caller adds the line."""
        super().__init__("the attempt has more outcomes than messages")


class NotTracedError(ValueError):
    """A line with the mark of a trace does not have its format."""

    def __init__(self) -> None:
        """Describe the error; the caller adds the line."""
        super().__init__("the line is not of the form TIME KEYWORD FIELDS")


@dataclass(slots=True)
class _Message:
    """A message of one forwarder; `finished` says whether it was delivered or given up."""

    destination: int
    accepted_at: float
    attempts: int = 0
    finished: bool = False


@dataclass(slots=True)
class _Attempt:
    """An attempt: the ids of its messages in the order of the call, and of those that have an outcome."""

    destination: int
    message_ids: list[str]
    finished_ids: set[str] = field(default_factory=set)

    def finish_next(self) -> str:
        """Mark the next message without an outcome as finished and return its id; raises TooManyOutcomesError."""
        for message_id in self.message_ids:
            if message_id not in self.finished_ids:
                self.finished_ids.add(message_id)
                return message_id
        raise TooManyOutcomesError

    @property
    def at_first_outcome(self) -> bool:
        """Whether exactly one message has an outcome; events of the call as a whole are counted only then."""
        return len(self.finished_ids) == 1


class _ForwarderTrace:
    """Reads one forwarder's trace, over restarts of its process, into the fleet's counts."""

    def __init__(self, fleet: FleetCounts) -> None:
        self._fleet = fleet
        self._messages: dict[str, _Message] = {}
        self._attempts: dict[str, _Attempt] = {}

    def process_restarted(self) -> None:
        """Forget all attempts, because a new process numbers its attempts from the start."""
        self._attempts.clear()

    def read(self, at: float, keyword: str, text: str) -> None:
        """Count one line with fields separated by spaces; raises ValueError, IndexError or KeyError if malformed."""
        fields = text.split(" ")
        match keyword:
            case "handed":
                self._fleet.add(at, int(fields[0]), "asked")
            case "taken":
                self._messages[fields[1]] = _Message(int(fields[0]), at)
            case "refused":
                if fields[0] != "?":
                    self._fleet.add(at, int(fields[0]), "door")
            case "listed":
                self._fleet.rates[int(fields[1])] = float(fields[4])
            case "say":
                self._logged(at, text)
            case "up" | "struck" | "off" | "close" | "noticed" | "untold":
                pass
            case _:
                self._read_attempt(at, keyword, fields)

    def _read_attempt(self, at: float, keyword: str, fields: list[str]) -> None:
        match keyword:
            case "call":
                self._attempt_started(at, fields)
            case "answer":
                self._attempt_answered(at, fields)
            case "ended":
                self._message_finished(at, fields)
            case "given_up":
                self._given_up(at, fields[0])
            case _:
                raise UnknownKeywordError(keyword)

    def _logged(self, at: float, text: str) -> None:
        found = LOGGED.match(text)
        if found:
            self._fleet.add(at, int(found[2]), "sick", EJECTED_CHANGES[found[1]])

    def _attempt_started(self, at: float, fields: list[str]) -> None:
        number, destination, message_ids = fields[0], int(fields[1]), fields[4].split(",")
        self._attempts[number] = _Attempt(destination, message_ids)
        self._fleet.add(at, destination, "calls")
        for message_id in message_ids:
            message = self._messages.setdefault(message_id, _Message(destination, at))
            message.attempts += 1
            self._fleet.add(at, destination, "again", int(message.attempts > 1))

    def _attempt_answered(self, at: float, fields: list[str]) -> None:
        destination = self._attempts[fields[0]].destination
        if fields[1] != "fresh":
            return
        self._fleet.add(at, destination, "opened")
        if fields[2] == "503" and fields[3] == "closes":
            self._fleet.add(at, destination, "tables")

    def _given_up(self, at: float, message_id: str) -> None:
        message = self._messages.get(message_id)
        if message is not None and not message.finished:
            message.finished = True
            self._fleet.add(at, message.destination, "given_up")

    def _message_finished(self, at: float, fields: list[str]) -> None:
        """Count one message's outcome; outcomes are in the order of the call's messages, unless all are equal."""
        attempt = self._attempts[fields[0]]
        message_id = attempt.finish_next()
        outcome, retry_after_s = fields[1], float(fields[2])
        if retry_after_s > 0:
            self._fleet.add(at, attempt.destination, "told", int(attempt.at_first_outcome))
        match outcome:
            case "ok":
                self._delivered(at, attempt.destination, self._messages[message_id])
            case "full":
                self._fleet.add(at, attempt.destination, "full", int(attempt.at_first_outcome))
            case _:
                self._fleet.add(at, attempt.destination, "failed", int(attempt.at_first_outcome))

    def _delivered(self, at: float, destination: int, message: _Message) -> None:
        self._fleet.add(at, destination, "ok")
        if message.finished:
            return
        message.finished = True
        delay_s = at - message.accepted_at
        self._fleet.add_delay(at, delay_s)
        in_time = delay_s <= self._fleet.latency_objective_s
        self._fleet.add(message.accepted_at, destination, "in_time" if in_time else "late")


def read(logs: dict[str, Iterable[str]]) -> FleetCounts:
    """Count the traces in the logs of forwarders, by name; malformed lines are counted, and the first ones listed."""
    fleet = FleetCounts(forwarders=len(logs))
    lines_by_name = {name: list(log) for name, log in logs.items()}
    for lines in lines_by_name.values():
        first = next((found for line in lines if (found := TRACED.search(line))), None)
        if first is not None:
            fleet.began_at = min(fleet.began_at, float(first[1]))
    for name, lines in lines_by_name.items():
        trace = _ForwarderTrace(fleet)
        for number, line in enumerate(lines, 1):
            if TRACE_MARK in line:
                _read_line(fleet, trace, f"{name}:{number}", line)
    return fleet


def read_folder(folder: Path) -> FleetCounts:
    """Count the traces in all files `*.log` of a folder, one for each forwarder."""
    files = sorted(folder.glob("*.log"))
    return read({file.stem: file.read_text(errors="replace").splitlines() for file in files})


def _read_line(fleet: FleetCounts, trace: _ForwarderTrace, place: str, line: str) -> None:
    """Count one line; `place` (NAME:NUMBER) identifies it in the list of malformed lines."""
    fleet.lines += 1
    settings = SETTINGS_LINE.search(line)
    if settings:
        fleet.latency_objective_s = float(settings[1])
        trace.process_restarted()
        return
    try:
        found = TRACED.search(line.rstrip())
        if not found:
            raise NotTracedError
        trace.read(float(found[1]), found[2], found[3])
    except (ValueError, IndexError, KeyError) as error:
        fleet.unread_count += 1
        if len(fleet.unread) < MAX_UNREAD_SHOWN:
            fleet.unread.append(f"{place}: {error}: {line.strip()[:MAX_UNREAD_LINE_CHARACTERS]}")
