"""What every command prints with: the consoles, JSON, tables in one style, and exit codes."""

from __future__ import annotations

import json
from enum import IntEnum, StrEnum
from pathlib import Path
from typing import Any

import typer
from rich.console import Console
from rich.table import Table

from juniperward.agent.client import AgentReply

console = Console()
errors = Console(stderr=True)


class ExitCode(IntEnum):
    """The tool's exit codes, as docs/operators.md has them."""

    DONE = 0
    REJECTED = 1  # or failed; the text says why
    USAGE = 2
    UNRESPONSIVE = 3  # an agent or an instance did not answer in time
    PAUSED = 4  # the roll has


class Output(StrEnum):
    """The form of what is printed."""

    TABLE = "table"
    JSON = "json"


def print_json(value: Any) -> None:
    """Print one JSON value on standard output."""
    typer.echo(json.dumps(value, indent=2, sort_keys=True))


def exit_code(replies: list[AgentReply]) -> ExitCode:
    """Return the exit code that several answers make together: an unresponsive agent counts most."""
    if any(reply.unreachable for reply in replies):
        return ExitCode.UNRESPONSIVE
    if any(reply.error for reply in replies):
        return ExitCode.REJECTED
    return ExitCode.DONE


def table(*columns: str, title: str | None = None) -> Table:
    """Return a table in the tool's one style; a column that begins with `>` is set to the right."""
    made = Table(title=title, box=None, pad_edge=False, header_style="bold")
    for name in columns:
        if name.startswith(">"):
            made.add_column(name.removeprefix(">"), justify="right", overflow="fold")
        else:
            made.add_column(name, overflow="fold")
    return made


def cell(value: Any) -> str:
    """Return a value as a table's cell; what is not known is a dash."""
    if value is None:
        return "-"
    return f"{value:.1f}" if isinstance(value, float) else str(value)


def short_name(path: Path) -> str:
    """Return an agent's name in a table: its fleet's folder."""
    return path.parent.name or str(path)
