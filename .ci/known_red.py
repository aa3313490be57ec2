"""Runs the test command, and tolerates the failures of the tests in KNOWN-RED.txt and no others.

`known_red.py FOLDER COMMAND` runs COMMAND with bash in FOLDER, the root of the repository. Without a list, or with
an empty one, the exit code is that of COMMAND. Otherwise pytest loads `known_red_plugin.py`, which reports failures
of listed tests as expected failures and records which tests failed. The run fails if any other test fails, or if a
listed test did not fail: because it passed, was skipped, was not run or does not exist.
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
MAX_KNOWN_RED = 3
INVALID_LIST_EXIT_CODE = 2
# Environment variables that give the plugin the paths of the list and of the file for the failures it has seen.
LIST_VARIABLE = "KNOWN_RED_LIST"
SEEN_VARIABLE = "KNOWN_RED_SEEN"
PLUGIN = "known_red_plugin"
# The pytest id, the cause and the issue. The cause and the parameters in the id may contain commas and spaces.
LINE = re.compile(
    r"(?P<test>[^\s,\[]+::[^\s,\[]+(?:\[.*?\])?)\s*,\s*(?P<cause>\S.*?)\s*,\s*(?P<issue>[^\s,][^,]*)"
)


class ListError(Exception):
    """The list is invalid; the message names the file, the line and the error."""


class ListEncodingError(ListError):
    """The list is not UTF-8."""

    def __init__(self, path: Path, error: UnicodeDecodeError) -> None:
        """Set the list's path and the error of the decoder."""
        self.path, self.error = path, error
        super().__init__(f"{path.name}: not UTF-8: {error}")


class EntryError(ListError):
    """A line of the list is invalid."""

    def __init__(self, path: Path, line: int, why: str) -> None:
        """Set the list's path, the number of the line, counted from 1, and the description of the error."""
        self.path, self.line, self.why = path, line, why
        super().__init__(f"{path.name}: line {line}: {why}")


class EntryFormError(EntryError):
    """A line is not of the form `test id, cause, issue`."""

    def __init__(self, path: Path, line: int, text: str) -> None:
        """Set the list's path, and the number and text of the line."""
        super().__init__(path, line, f"not of the form `test id, cause, issue`: {text}")


class EntryRepeatedError(EntryError):
    """A test is listed twice."""

    def __init__(self, path: Path, line: int, test: str) -> None:
        """Set the list's path, the number of the line, and the test's id."""
        super().__init__(path, line, f"{test} is listed twice")


class TooManyEntriesError(EntryError):
    """The list has more than MAX_KNOWN_RED tests."""

    def __init__(self, path: Path, line: int) -> None:
        """Set the list's path, and the number of the first line beyond the limit."""
        super().__init__(path, line, f"more than {MAX_KNOWN_RED} tests are listed")


@dataclass(frozen=True)
class KnownRed:
    """A test that is listed as failing for a known cause, and the issue about it."""

    test: str
    cause: str
    issue: str


def read_list(path: Path) -> list[KnownRed]:
    """Return the listed tests, or an empty list if the file is missing or empty; raises ListError."""
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
        if len(known) == MAX_KNOWN_RED:
            raise TooManyEntriesError(path, number)
        known.append(entry)
    return known


def run_command(folder: Path, command: str, environment: dict[str, str]) -> int:
    """Run the command with bash in the folder; return its exit code."""
    return subprocess.run(
        ["bash", "-euo", "pipefail", "-c", command], cwd=folder, env=environment, check=False
    ).returncode


def plugin_environment(listed: Path, seen: Path) -> dict[str, str]:
    """Return this process's environment, extended so that pytest loads the plugin.

    The plugin reads the list `listed` and writes the failures that it sees to `seen`.
    """
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
    """Run the command with the plugin; return 0 if all listed tests failed and no other test did."""
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
    """Run the command and return the exit code: 0 if only the listed tests failed, 2 if the list is invalid."""
    try:
        known = read_list(folder / LIST_NAME)
    except ListError as error:
        print(error, file=sys.stderr)
        return INVALID_LIST_EXIT_CODE
    if not known:
        return run_command(folder, command, dict(os.environ))
    return run_with_known_red(folder, command, known)


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1]).resolve(), sys.argv[2]))
