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
LIST_VARIABLE, SEEN_VARIABLE = "KNOWN_RED_LIST", "KNOWN_RED_SEEN"  # paths that the plugin is told
PLUGIN = "known_red_plugin"
# A pytest id (its parameters may hold commas and spaces), the cause (may hold commas), the issue.
LINE = re.compile(
    r"(?P<test>[^\s,\[]+::[^\s,\[]+(?:\[.*?\])?)\s*,\s*(?P<cause>\S.*?)\s*,\s*(?P<issue>[^\s,][^,]*)"
)


class ListError(Exception):
    """The list cannot be used; the text names the line."""


@dataclass(frozen=True)
class KnownRed:
    """A test that fails for a known cause."""

    test: str
    cause: str
    issue: str


def read_list(path: Path) -> list[KnownRed]:
    """The listed tests, none where the file is missing or empty; raises ListError."""
    if not path.exists():
        return []
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
    except UnicodeDecodeError as error:
        raise ListError(f"{path.name}: not UTF-8: {error}") from error
    known: list[KnownRed] = []
    for number, line in enumerate(lines, 1):
        text = line.strip()
        if not text:
            continue
        match = LINE.fullmatch(text)
        if match is None:
            raise ListError(f"{path.name}: line {number}: not of the form `test id, cause, issue`: {text}")
        entry = KnownRed(**match.groupdict())
        if any(entry.test == other.test for other in known):
            raise ListError(f"{path.name}: line {number}: {entry.test} is listed twice")
        if len(known) == MOST_KNOWN_RED:
            raise ListError(f"{path.name}: line {number}: more than {MOST_KNOWN_RED} tests are listed")
        known.append(entry)
    return known


def run_command(folder: Path, command: str, environment: dict[str, str]) -> int:
    """The command's exit code."""
    return subprocess.run(
        ["bash", "-euo", "pipefail", "-c", command], cwd=folder, env=environment, check=False
    ).returncode


def run_with_known_red(folder: Path, command: str, known: list[KnownRed]) -> int:
    """Run the command with the plugin; 0 where each listed test was seen to fail and nothing else did."""
    with tempfile.TemporaryDirectory() as scratch:
        seen = Path(scratch) / "seen"
        seen.touch()
        paths = [str(Path(__file__).resolve().parent), os.environ.get("PYTHONPATH", "")]
        plugins = [PLUGIN, os.environ.get("PYTEST_PLUGINS", "")]
        environment = {
            **os.environ,
            "PYTHONPATH": os.pathsep.join(filter(None, paths)),
            "PYTEST_PLUGINS": ",".join(filter(None, plugins)),
            LIST_VARIABLE: str(folder / LIST_NAME),
            SEEN_VARIABLE: str(seen),
        }
        code = run_command(folder, command, environment)
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
    """The exit code of the run: 0 where all is well but for what is listed."""
    try:
        known = read_list(folder / LIST_NAME)
    except ListError as error:
        print(error, file=sys.stderr)
        return 2
    if not known:
        return run_command(folder, command, dict(os.environ))
    return run_with_known_red(folder, command, known)


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1]).resolve(), sys.argv[2]))
