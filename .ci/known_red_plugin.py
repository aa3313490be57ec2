"""A pytest plugin that reports failures of the tests in KNOWN-RED.txt as expected failures.

It writes the ids of these tests to a file. `known_red.py` has pytest load the plugin, and checks that each listed
test is in the file.
"""

from __future__ import annotations

import os
from collections.abc import Generator
from pathlib import Path

import pytest
from known_red import LIST_VARIABLE, SEEN_VARIABLE, read_list

SEEN = Path(os.environ[SEEN_VARIABLE])
KNOWN = {entry.test: entry for entry in read_list(Path(os.environ[LIST_VARIABLE]))}


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_makereport(item: pytest.Item) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Report a failed setup or call of a listed test, or of its subtests, as expected; teardowns are unaffected."""
    report = yield
    entry = KNOWN.get(item.nodeid)
    if entry is not None and report.failed and report.when in ("setup", "call"):
        report.outcome = "skipped"
        report.wasxfail = f"known red: {entry.cause} ({entry.issue})"
        with SEEN.open("a", encoding="utf-8") as seen:
            seen.write(f"{item.nodeid}\n")
    return report
