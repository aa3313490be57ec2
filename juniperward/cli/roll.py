"""`juniperward fleet roll` and `restart`: rolling restarts, followed to their end."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.live import Live

from juniperward.agent.client import AgentRejectedError, AgentUnreachableError, request
from juniperward.cli.fleet_tables import roll_table
from juniperward.cli.owners import owners
from juniperward.cli.shared import (
    DONE,
    PAUSED,
    REFUSED,
    SILENT,
    AgentOption,
    NamesArgument,
    Output,
    OutputOption,
    TimeOption,
    console,
    errors,
    print_json,
    short,
    sockets_of,
)

POLL_INTERVAL_S = 0.3  # between looks at a roll
MAX_SILENCE_S = 30.0  # of an agent, while its roll is followed
ACTIONS = ("start", "show", "pause", "resume", "undo", "end")


class UnknownActionError(typer.BadParameter):
    """What is to be done with a roll is not known."""

    def __init__(self, action: str) -> None:
        """Tell what was given, and what can be."""
        super().__init__(f"{action!r} is none of {', '.join(ACTIONS)}", param_hint="ACTION")


class AgentNeededError(typer.BadParameter):
    """Several agents are meant, and a roll belongs to one."""

    def __init__(self) -> None:
        """Say what is needed."""
        super().__init__("a roll belongs to one agent; name it", param_hint="--agent")


def roll(
    action: Annotated[str, typer.Argument(help=f"One of {', '.join(ACTIONS)}.")] = "start",
    names: NamesArgument = None,
    agent: AgentOption = None,
    output: OutputOption = Output.TABLE,
    timeout: TimeOption = 5.0,
    at_once: Annotated[int | None, typer.Option(help="Instances away at a time.")] = None,
    floor: Annotated[int | None, typer.Option(help="Least ready instances.")] = None,
    soak: Annotated[float | None, typer.Option(help="Seconds from ready to the next.")] = None,
    drain: Annotated[float | None, typer.Option(help="Longest wait for drained.")] = None,
    kill: Annotated[bool, typer.Option(help="By SIGKILL, without drain.")] = False,
    dry_run: Annotated[bool, typer.Option("--dry-run", help="Print the plan and do nothing.")] = False,
    wait: Annotated[bool, typer.Option(help="Follow it until it is over or pauses.")] = True,
) -> None:
    """Restart instances one after another with the newest settings. Exit code 4 if the roll pauses."""
    if action not in ACTIONS:
        raise UnknownActionError(action)
    paths = sockets_of(agent)
    if len(paths) != 1:
        found = owners(paths, names, timeout) if names else []
        if len(found) != 1:
            raise AgentNeededError
        paths = [found[0][0]]
    options: dict[str, Any] = {}
    verb = "roll" if action == "start" else f"roll_{action}"
    if action == "start":
        options = {"at_once": at_once, "floor": floor, "soak": soak, "drain": drain, "kill": kill or None,
                   "dry_run": dry_run}  # fmt: skip
    _follow(paths[0], verb, names, options, output, timeout, wait and not dry_run and action != "show")


def restart(
    names: NamesArgument = None,
    agent: AgentOption = None,
    output: OutputOption = Output.TABLE,
    timeout: TimeOption = 5.0,
    wait: Annotated[bool, typer.Option(help="Follow it until it is over or pauses.")] = True,
) -> None:
    """Restart instances together, drained first; for one after another use roll."""
    for path, mine in owners(sockets_of(agent), names or [], timeout):
        _follow(path, "roll", mine, {"restart": True}, output, timeout, wait)


def _follow(
    path: Path, verb: str, names: list[str] | None, options: dict[str, Any], output: Output, timeout: float,
    wait: bool,
) -> None:  # fmt: skip
    try:
        found = request(path, verb, names, timeout, **options)
        if wait:
            found = _until_over(path, found, output, timeout)
    except AgentUnreachableError as error:
        errors.print(f"{short(path)}: {error}", markup=False)
        raise typer.Exit(SILENT) from None
    except AgentRejectedError as error:
        errors.print(f"{short(path)}: {error}", markup=False)
        raise typer.Exit(REFUSED) from None
    if output is Output.JSON:
        print_json(found)
    elif not wait:
        console.print(roll_table(found))
    raise typer.Exit(PAUSED if found["mode"] == "paused" else DONE)


def _until_over(path: Path, found: dict[str, Any], output: Output, timeout: float) -> dict[str, Any]:
    """Show a roll's steps as they go, until it is over or has paused with nothing under way."""
    quiet = output is Output.JSON
    with Live(console=errors if quiet else console, auto_refresh=False, transient=quiet) as live:
        misses = 0
        while True:
            if not quiet:
                live.update(roll_table(found), refresh=True)
            if found["over"] or found["mode"] == "paused":
                return found
            time.sleep(POLL_INTERVAL_S)
            try:
                found = request(path, "roll_show", None, timeout)
                misses = 0
            except AgentUnreachableError:
                misses += 1  # an agent that is started anew takes the roll up again
                if misses * (timeout + POLL_INTERVAL_S) > MAX_SILENCE_S:
                    raise
