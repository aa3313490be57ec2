"""The on-call page lists exactly the log events and the counters of a forwarder."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

from juniperward.forwarder.reducer.intake import Intake
from juniperward.scheduler.events import Outcome

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "on-call.md").read_text()
PACKAGES = ("forwarder", "control", "net")
# Suffixes by prefix, for the counters whose names the code builds.
FORMATTED_NAMES = {
    "attempts_": {outcome.name.lower() for outcome in Outcome},
    "rejections_": {"conflict", "fenced", "unknown", "stopping", "full", "memory"},
    "broken_": {"NAME"},
    "threads_late_": {"clients", "calls"},
}


def calls() -> Iterator[tuple[str, list[ast.expr]]]:
    """Yield the unqualified function name and the arguments of each call in a forwarder's code."""
    for package in PACKAGES:
        for path in sorted((ROOT / "juniperward" / package).rglob("*.py")):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Call):
                    function = node.func
                    name = (
                        function.attr if isinstance(function, ast.Attribute) else getattr(function, "id", "")
                    )
                    yield name.lstrip("_"), node.args


def texts(argument: ast.expr) -> set[str]:
    """Return the texts that an argument can have."""
    match argument:
        case ast.Constant(value=str(text)):
            return {text}
        case ast.IfExp(body=body, orelse=orelse):
            return texts(body) | texts(orelse)
        case ast.JoinedStr(values=[ast.Constant(value=str(prefix)), _]):
            return {f"{prefix}{word}" for word in FORMATTED_NAMES[prefix]}
        case _:
            return set()


def section(title: str) -> str:
    """Return the text of a section of the page."""
    return PAGE.split(f"## {title}\n")[1].split("\n## ")[0]


def test_the_page_lists_exactly_the_counters() -> None:
    counted = {t for name, args in calls() if name in ("increment", "count") and args for t in texts(args[0])}
    rows = [row.split("|")[1] for row in section("Counters").splitlines() if row.startswith("| `")]
    listed = {name for row in rows for name in re.findall(r"`(\w+)`", row)}
    assert listed == counted


def test_the_page_lists_exactly_the_log_events() -> None:
    written = {
        f"{kind}: {event}"
        for name, args in calls()
        if name == "log" and len(args) == 2
        for kind in texts(args[0])
        for event in texts(args[1])
    }
    written |= {
        f"scheduler: {event}"
        for name, args in calls()
        if name == "WriteLog" and args
        for event in texts(args[0])
    }
    rows = [row.split("|")[1] for row in section("Log events").splitlines() if row.startswith("| `")]
    listed = {event for row in rows for event in re.findall(r"`([^`]+)`", row)}
    assert listed == written


def test_the_formatted_reasons_of_rejections_are_those_of_intake() -> None:
    source = ast.parse((ROOT / "juniperward/forwarder/reducer/intake.py").read_text())
    (method,) = [
        node
        for node in ast.walk(source)
        if isinstance(node, ast.FunctionDef) and node.name == Intake._rejection.__name__
    ]
    returned = [node.value for node in ast.walk(method) if isinstance(node, ast.Return) and node.value]
    assert {text for value in returned for text in texts(value)} == FORMATTED_NAMES["rejections_"]
