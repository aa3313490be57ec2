"""Runs the test command and passes over the tests that KNOWN-RED.txt lists, and over no others.

`known_red.py FOLDER COMMAND` runs COMMAND with bash in FOLDER, the root of the repository. Without a list the command
runs as it is and its exit code counts. With one, pytest loads `known_red_plugin.py` beside this file, which reports
failures of listed tests as expected and writes down which tests these were. A listed test that is not among them (it
passed, was skipped, was not run or does not exist) fails the run, as any other red does.
"""

from __future__ import annotations

import os
import re
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

LIST_NAME = "KNOWN-RED.txt"
MOST_KNOWN_RED = 3
UNUSABLE_LIST = 2  # exit code
# Environment variables with paths for the plugin: the list, and where it writes the failures that it saw.
LIST_VARIABLE = "KNOWN_RED_LIST"
SEEN_VARIABLE = "KNOWN_RED_SEEN"
PLUGIN = "known_red_plugin"
# A pytest id (its parameters may hold commas and spaces), the cause (may hold commas), the issue.
LINE = re.compile(
    r"(?P<test>[^\s,\[]+::[^\s,\[]+(?:\[.*?\])?)\s*,\s*(?P<cause>\S.*?)\s*,\s*(?P<issue>[^\s,][^,]*)"
)


class ListError(Exception):
    """The list cannot be used; the text names the file, the line and what is wrong with it."""


class ListEncodingError(ListError):
    """The list is not UTF-8."""

    def __init__(self, path: Path, error: UnicodeDecodeError) -> None:
        """Take the list and what cannot be decoded."""
        self.path, self.error = path, error
        super().__init__(f"{path.name}: not UTF-8: {error}")


class EntryError(ListError):
    """A line of the list cannot be used."""

    def __init__(self, path: Path, line: int, why: str) -> None:
        """Take the list, the line's number from 1, and what is wrong with it."""
        self.path, self.line, self.why = path, line, why
        super().__init__(f"{path.name}: line {line}: {why}")


class EntryFormError(EntryError):
    """A line has another form than `test id, cause, issue`."""

    def __init__(self, path: Path, line: int, text: str) -> None:
        """Take the list, the line's number and its text."""
        super().__init__(path, line, f"not of the form `test id, cause, issue`: {text}")


class EntryRepeatedError(EntryError):
    """A test is listed twice."""

    def __init__(self, path: Path, line: int, test: str) -> None:
        """Take the list, the line's number and the test."""
        super().__init__(path, line, f"{test} is listed twice")


class TooManyEntriesError(EntryError):
    """More tests are listed than may be."""

    def __init__(self, path: Path, line: int) -> None:
        """Take the list and the number of the first line too many."""
        super().__init__(path, line, f"more than {MOST_KNOWN_RED} tests are listed")


@dataclass(frozen=True)
class KnownRed:
    """A test that fails for a known cause."""

    test: str
    cause: str
    issue: str


def read_list(path: Path) -> list[KnownRed]:
    """Return the listed tests, none where the file is missing or empty; raises ListError."""
    if not path.exists():
        return []
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
    except UnicodeDecodeError as error:
        raise ListEncodingError(path, error) from error
    known: list[KnownRed] = []
    for number, line in enumerate(lines, 1):
        text = line.strip()
        if not text:
            continue
        match = LINE.fullmatch(text)
        if match is None:
            raise EntryFormError(path, number, text)
        entry = KnownRed(**match.groupdict())
        if any(entry.test == other.test for other in known):
            raise EntryRepeatedError(path, number, entry.test)
        if len(known) == MOST_KNOWN_RED:
            raise TooManyEntriesError(path, number)
        known.append(entry)
    return known


def run_command(folder: Path, command: str, environment: dict[str, str]) -> int:
    """Run the command with bash in the folder; return its exit code."""
    return subprocess.run(
        ["bash", "-euo", "pipefail", "-c", command], cwd=folder, env=environment, check=False
    ).returncode


def plugin_environment(listed: Path, seen: Path) -> dict[str, str]:
    """Return our environment with the plugin; it reads `listed` and writes to `seen`."""
    paths = [str(Path(__file__).resolve().parent), os.environ.get("PYTHONPATH", "")]
    plugins = [PLUGIN, os.environ.get("PYTEST_PLUGINS", "")]
    return {
        **os.environ,
        "PYTHONPATH": os.pathsep.join(filter(None, paths)),
        "PYTEST_PLUGINS": ",".join(filter(None, plugins)),
        LIST_VARIABLE: str(listed),
        SEEN_VARIABLE: str(seen),
    }


def run_with_known_red(folder: Path, command: str, known: list[KnownRed]) -> int:
    """Run the command with the plugin; return 0 where each listed test was seen to fail and nothing else did."""
    with tempfile.TemporaryDirectory() as scratch:
        seen = Path(scratch) / "seen"
        seen.touch()
        code = run_command(folder, command, plugin_environment(folder / LIST_NAME, seen))
        failed = set(seen.read_text(encoding="utf-8").splitlines())
    missing = [entry.test for entry in known if entry.test not in failed]
    for test in missing:
        print(
            f"{LIST_NAME}: {test} was not seen to fail: it passed, was skipped, was not run or does not exist"
        )
    for entry in known:
        print(f"known red: {entry.test}: {entry.cause} ({entry.issue})")
    return code or (1 if missing else 0)


def main(folder: Path, command: str) -> int:
    """Run the command; return 0 where all is well but for what is listed, 2 where the list cannot be used."""
    try:
        known = read_list(folder / LIST_NAME)
    except ListError as error:
        print(error, file=sys.stderr)
        return UNUSABLE_LIST
    if not known:
        return run_command(folder, command, dict(os.environ))
    return run_with_known_red(folder, command, known)


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1]).resolve(), sys.argv[2]))
