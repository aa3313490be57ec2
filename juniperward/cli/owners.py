"""Which agent has which of the named instances."""

from __future__ import annotations

from pathlib import Path

import typer

from juniperward.agent.client import request_all
from juniperward.cli.shared import REFUSED, SILENT, errors, short


def owners(paths: list[Path], names: list[str], timeout: float) -> list[tuple[Path, list[str]]]:
    """Return each agent that has some of the named instances, with them; exit code 1 for names that none has."""
    if len(paths) == 1 or not names:
        return [(path, names) for path in paths]
    found: list[tuple[Path, list[str]]] = []
    missing = set(names)
    replies = request_all(paths, "status", patience=timeout)
    for reply in replies:
        here = {row["name"] for row in reply.body.get("instances", [])}
        mine = [name for name in names if name in here]
        missing -= set(mine)
        if mine:
            found.append((reply.agent, mine))
    if missing:
        silent = [short(reply.agent) for reply in replies if reply.error]
        more = f" ({', '.join(silent)} did not answer)" if silent else ""
        errors.print(f"no such instance: {', '.join(sorted(missing))}{more}", markup=False)
        raise typer.Exit(SILENT if silent else REFUSED)
    return found


def owner(paths: list[Path], name: str, timeout: float) -> Path:
    """Return the agent that has one instance; exit code 1 where none has it."""
    ((path, _),) = owners(paths, [name], timeout)[:1]
    return path
