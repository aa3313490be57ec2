"""Implements `juniperward fleet roll` and `restart`, which can follow a roll until it is over or pauses."""

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

POLL_INTERVAL_S = 0.3
MAX_UNRESPONSIVE_S = 30.0  # Leaves an agent time to restart while its roll is followed.
START, SHOW = "start", "show"
ACTIONS = (START, SHOW, "pause", "resume", "undo", "end")
PAUSED_MODE = "paused"  # a value of the agent's API

WaitOption = Annotated[bool, typer.Option(help="Follow the roll until it is over or pauses.")]


class UnknownActionError(typer.BadParameter):
    """The action is not one of ACTIONS."""

    def __init__(self, action: str) -> None:
        """List the known actions in the message."""
        self.action = action
        super().__init__(f"{action!r} must be one of {', '.join(ACTIONS)}", param_hint="ACTION")


class AgentNeededError(typer.BadParameter):
    """The options select several agents, but a roll belongs to one."""

    def __init__(self) -> None:
        """Ask for the agent in the message."""
        super().__init__(
            "several agents are selected, but a roll belongs to one; name that agent", param_hint="--agent"
        )


@dataclass(frozen=True)
class RollOptions(AgentOptions):
    """The arguments of `roll`."""

    action: Annotated[str, typer.Argument(help=f"One of {', '.join(ACTIONS)}.")] = START
    names: NamesArgument = None
    at_once: Annotated[
        int | None, typer.Option(help="Maximum number of instances that restart at the same time.")
    ] = None
    floor: Annotated[int | None, typer.Option(help="Minimum number of instances that stay ready.")] = None
    soak: Annotated[
        float | None, typer.Option(help="Seconds that a restarted instance is observed before the next one.")
    ] = None
    drain: Annotated[float | None, typer.Option(help="Maximum seconds to wait for an instance to drain.")] = (
        None
    )
    kill: Annotated[bool, typer.Option(help="Kill instances with SIGKILL instead of draining them.")] = False
    dry_run: Annotated[bool, typer.Option("--dry-run", help="Only print the plan.")] = False
    wait: WaitOption = True

    def request_options(self) -> dict[str, Any]:
        """Return the options that start a roll, by their keys in the agent's API."""
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
    """A request to one agent that concerns a roll, and how to show the reply."""

    agent: Path
    verb: str
    names: list[str] | None
    options: dict[str, Any]
    output: Output
    timeout_s: float
    follow: bool


@from_options
def roll(options: RollOptions) -> None:
    """Restart instances one after another with the latest settings. Exit code 4 if the roll pauses."""
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
    """Return the agent of a roll: the only one selected, or else the one that runs the named instances.

    Raises:
        AgentNeededError: Several agents are possible.

    """
    paths = sockets_of(options.agent)
    if len(paths) == 1:
        return paths[0]
    candidates = owners(paths, options.names, options.timeout_s) if options.names else []
    if len(candidates) != 1:
        raise AgentNeededError
    ((agent, _),) = candidates
    return agent


def restart(
    names: NamesArgument = None,
    agent: AgentOption = None,
    output: OutputOption = Output.TABLE,
    timeout: TimeOption = 5.0,
    wait: WaitOption = True,
) -> None:
    """Drain and restart instances all at the same time; use `roll` to restart them one after another."""
    for path, owned in owners(sockets_of(agent), names or [], timeout):
        _send(RollRequest(path, "roll", owned, {"restart": True}, output, timeout, wait))


def _send(roll_request: RollRequest) -> None:
    """Send the request, follow the roll if requested, print the result and exit with its code."""
    with exit_on_failure(roll_request.agent):
        roll_view = request(
            roll_request.agent,
            roll_request.verb,
            roll_request.names,
            roll_request.timeout_s,
            **roll_request.options,
        )
        if roll_request.follow:
            roll_view = _until_over(roll_request, roll_view)
    if roll_request.output is Output.JSON:
        print_json(roll_view)
    elif not roll_request.follow:
        console.print(roll_table(roll_view))
    raise typer.Exit(ExitCode.PAUSED if roll_view["mode"] == PAUSED_MODE else ExitCode.DONE)


def _until_over(followed: RollRequest, roll_view: dict[str, Any]) -> dict[str, Any]:
    """Show the steps of a roll while it runs; return its last state once it is over or has paused."""
    quiet = followed.output is Output.JSON
    with Live(console=errors if quiet else console, auto_refresh=False, transient=quiet) as live:
        unanswered_polls = 0
        while True:
            if not quiet:
                live.update(roll_table(roll_view), refresh=True)
            if roll_view["over"] or roll_view["mode"] == PAUSED_MODE:
                return roll_view
            time.sleep(POLL_INTERVAL_S)
            try:
                roll_view = request(followed.agent, "roll_show", None, followed.timeout_s)
                unanswered_polls = 0
            except AgentUnreachableError:
                unanswered_polls += 1  # A restarted agent resumes the roll.
                if unanswered_polls * (followed.timeout_s + POLL_INTERVAL_S) > MAX_UNRESPONSIVE_S:
                    raise
