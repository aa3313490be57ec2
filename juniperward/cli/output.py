"""Consoles, JSON output, tables and exit codes that all commands share."""

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
    """The exit codes of `juniperward`, which docs/operators.md documents.

    Attributes:
        DONE: The command succeeded.
        REJECTED: The request was rejected or failed; the message on standard error gives the reason.
        USAGE: The arguments or a settings file are invalid.
        UNRESPONSIVE: An agent or an instance did not answer in time.
        PAUSED: The roll has paused.
    """

    DONE = 0
    REJECTED = 1
    USAGE = 2
    UNRESPONSIVE = 3
    PAUSED = 4


class Output(StrEnum):
    """The output format of a command."""

    TABLE = "table"
    JSON = "json"


def print_json(value: Any) -> None:
    """Print a value as JSON on standard output."""
    typer.echo(json.dumps(value, indent=2, sort_keys=True))


def exit_code(replies: list[AgentReply]) -> ExitCode:
    """Return the exit code for the replies of several agents; UNRESPONSIVE takes precedence over REJECTED."""
    if any(reply.unreachable for reply in replies):
        return ExitCode.UNRESPONSIVE
    if any(reply.error for reply in replies):
        return ExitCode.REJECTED
    return ExitCode.DONE


def table(*columns: str, title: str | None = None) -> Table:
    """Return an empty table; a column whose name begins with `>` is right-aligned."""
    output_table = Table(title=title, box=None, pad_edge=False, header_style="bold")
    for name in columns:
        if name.startswith(">"):
            output_table.add_column(name.removeprefix(">"), justify="right", overflow="fold")
        else:
            output_table.add_column(name, overflow="fold")
    return output_table


def cell(value: Any) -> str:
    """Return a value as the text of a table cell; None becomes a dash."""
    if value is None:
        return "-"
    return f"{value:.1f}" if isinstance(value, float) else str(value)


def short_name(path: Path) -> str:
    """Return the name that output uses for an agent: the folder of its socket."""
    return path.parent.name or str(path)
