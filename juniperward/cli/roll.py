"""`juniperward fleet roll` and `restart`: rolling restarts, followed to their end."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.live import Live

from juniperward.agent.client import AgentUnreachableError, request
from juniperward.cli.agents import exit_on_failure, owners, sockets_of
from juniperward.cli.fleet_tables import roll_table
from juniperward.cli.options import (
    AgentOption,
    AgentOptions,
    NamesArgument,
    OutputOption,
    TimeOption,
    from_options,
)
from juniperward.cli.output import ExitCode, Output, console, errors, print_json

POLL_INTERVAL_S = 0.3  # between looks at a roll
MAX_UNRESPONSIVE_S = 30.0  # of an agent, while its roll is followed
START, SHOW = "start", "show"
ACTIONS = (START, SHOW, "pause", "resume", "undo", "end")
PAUSED_MODE = "paused"  # of a roll, as the agent's API has it

WaitOption = Annotated[bool, typer.Option(help="Follow it until it is over or pauses.")]


class UnknownActionError(typer.BadParameter):
    """What is to be done with a roll is not known."""

    def __init__(self, action: str) -> None:
        """Take what was given; the text says what can be."""
        self.action = action
        super().__init__(f"{action!r} is none of {', '.join(ACTIONS)}", param_hint="ACTION")


class AgentNeededError(typer.BadParameter):
    """Several agents are meant, and a roll belongs to one."""

    def __init__(self) -> None:
        """Say what is needed."""
        super().__init__("a roll belongs to one agent; name it", param_hint="--agent")


@dataclass(frozen=True)
class RollOptions(AgentOptions):
    """The arguments of `roll`."""

    action: Annotated[str, typer.Argument(help=f"One of {', '.join(ACTIONS)}.")] = START
    names: NamesArgument = None
    at_once: Annotated[int | None, typer.Option(help="Instances away at a time.")] = None
    floor: Annotated[int | None, typer.Option(help="Least ready instances.")] = None
    soak: Annotated[float | None, typer.Option(help="Seconds from ready to the next.")] = None
    drain: Annotated[float | None, typer.Option(help="Longest wait for drained.")] = None
    kill: Annotated[bool, typer.Option(help="By SIGKILL, without drain.")] = False
    dry_run: Annotated[bool, typer.Option("--dry-run", help="Print the plan and do nothing.")] = False
    wait: WaitOption = True

    def request_options(self) -> dict[str, Any]:
        """Return the options of a roll that starts, with the keys of the agent's API."""
        return {
            "at_once": self.at_once,
            "floor": self.floor,
            "soak": self.soak,
            "drain": self.drain,
            "kill": self.kill or None,
            "dry_run": self.dry_run,
        }


@dataclass(frozen=True)
class RollRequest:
    """A request about a roll to one agent, and how its answer is shown."""

    agent: Path
    verb: str
    names: list[str] | None
    options: dict[str, Any]
    output: Output
    timeout_s: float
    follow: bool


@from_options
def roll(options: RollOptions) -> None:
    """Restart instances one after another with the newest settings. Exit code 4 if the roll pauses."""
    if options.action not in ACTIONS:
        raise UnknownActionError(options.action)
    starts = options.action == START
    _send(
        RollRequest(
            agent=_one_agent(options),
            verb="roll" if starts else f"roll_{options.action}",
            names=options.names,
            options=options.request_options() if starts else {},
            output=options.output,
            timeout_s=options.timeout_s,
            follow=options.wait and not options.dry_run and options.action != SHOW,
        )
    )


def _one_agent(options: RollOptions) -> Path:
    """Return the agent that is named, or that has the named instances; raises AgentNeededError."""
    paths = sockets_of(options.agent)
    if len(paths) == 1:
        return paths[0]
    found = owners(paths, options.names, options.timeout_s) if options.names else []
    if len(found) != 1:
        raise AgentNeededError
    ((agent, _),) = found
    return agent


def restart(
    names: NamesArgument = None,
    agent: AgentOption = None,
    output: OutputOption = Output.TABLE,
    timeout: TimeOption = 5.0,
    wait: WaitOption = True,
) -> None:
    """Restart instances together, drained first; for one after another use roll."""
    for path, owned in owners(sockets_of(agent), names or [], timeout):
        _send(RollRequest(path, "roll", owned, {"restart": True}, output, timeout, wait))


def _send(roll_request: RollRequest) -> None:
    """Send the request, show the roll until it is over or pauses, and exit with its code."""
    with exit_on_failure(roll_request.agent):
        found = request(
            roll_request.agent,
            roll_request.verb,
            roll_request.names,
            roll_request.timeout_s,
            **roll_request.options,
        )
        if roll_request.follow:
            found = _until_over(roll_request, found)
    if roll_request.output is Output.JSON:
        print_json(found)
    elif not roll_request.follow:
        console.print(roll_table(found))
    raise typer.Exit(ExitCode.PAUSED if found["mode"] == PAUSED_MODE else ExitCode.DONE)


def _until_over(followed: RollRequest, found: dict[str, Any]) -> dict[str, Any]:
    """Show a roll's steps as they go, until it is over or has paused with nothing under way."""
    quiet = followed.output is Output.JSON
    with Live(console=errors if quiet else console, auto_refresh=False, transient=quiet) as live:
        misses = 0
        while True:
            if not quiet:
                live.update(roll_table(found), refresh=True)
            if found["over"] or found["mode"] == PAUSED_MODE:
                return found
            time.sleep(POLL_INTERVAL_S)
            try:
                found = request(followed.agent, "roll_show", None, followed.timeout_s)
                misses = 0
            except AgentUnreachableError:
                misses += 1  # an agent that is restarted resumes the roll
                if misses * (followed.timeout_s + POLL_INTERVAL_S) > MAX_UNRESPONSIVE_S:
                    raise
