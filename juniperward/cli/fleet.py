"""`juniperward fleet`: what many instances do, and orders to them. Every call has a time limit."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.live import Live

from juniperward.agent.client import (
    AgentRejectedError,
    AgentReply,
    AgentUnreachableError,
    request,
    request_all,
)
from juniperward.cli.agents import exit_on_failure, owner, owners, sockets_of
from juniperward.cli.fleet_tables import replies_json, show_instance, status_table
from juniperward.cli.options import AgentOption, NamesArgument, OutputOption, TimeOption
from juniperward.cli.output import ExitCode, Output, console, exit_code, print_json, short_name
from juniperward.cli.roll import restart, roll

EVENT_KEYS = ("seq", "at", "event", "level")  # of an event; the others are its fields

app = typer.Typer(help="Show instances and control them.", no_args_is_help=True)


@app.command()
def status(agent: AgentOption = None, output: OutputOption = Output.TABLE, timeout: TimeOption = 2.0) -> None:
    """Show every instance of every agent. Exit code 3 if an agent does not answer."""
    replies = request_all(sockets_of(agent), "status", timeout_s=timeout)
    if output is Output.JSON:
        print_json(replies_json(replies))
    else:
        console.print(status_table(replies))
        for reply in replies:
            latest = reply.body.get("roll")
            if latest is not None and not latest["over"]:
                text = f"roll {latest['id']} is {latest['mode']}: {latest['why'] or 'under way'}"
                console.print(text, markup=False)
    raise typer.Exit(exit_code(replies))


@app.command()
def watch(
    agent: AgentOption = None,
    timeout: TimeOption = 2.0,
    seconds: Annotated[float, typer.Option(help="End after so long; 0: never.")] = 0.0,
    every: Annotated[float, typer.Option(help="Seconds between looks.")] = 1.0,
) -> None:
    """Show the status repeatedly."""
    paths = sockets_of(agent)
    until = time.monotonic() + seconds if seconds else float("inf")
    with Live(console=console, auto_refresh=False) as live:
        while True:
            live.update(status_table(request_all(paths, "status", timeout_s=timeout)), refresh=True)
            if time.monotonic() + every > until:
                return
            time.sleep(every)


def _order(
    verb: str, names: list[str] | None, agent: list[Path] | None, output: Output, timeout: float
) -> None:
    """Give an order to the agents that have these instances."""
    paths = sockets_of(agent)
    replies = []
    for path, owned in owners(paths, names or [], timeout):
        try:
            replies.append(AgentReply(path, request(path, verb, owned, timeout)))
        except AgentUnreachableError as error:
            replies.append(AgentReply(path, error=str(error), unreachable=True))
        except AgentRejectedError as error:
            replies.append(AgentReply(path, error=str(error)))
    if output is Output.JSON:
        print_json(replies_json(replies))
    else:
        for reply in replies:
            text = reply.error or f"{verb}: {', '.join(reply.body.get('instances', []))}"
            console.print(f"{short_name(reply.agent)}: {text}", markup=False, highlight=False)
    raise typer.Exit(exit_code(replies))


def _add(verb: str, text: str) -> None:
    def command(
        names: NamesArgument = None, agent: AgentOption = None, output: OutputOption = Output.TABLE,
        timeout: TimeOption = 5.0,
    ) -> None:  # fmt: skip
        _order(verb, names, agent, output, timeout)

    command.__doc__ = text
    app.command(verb)(command)


_add("start", "Start instances; one in a crash loop is started again, too.")
_add("stop", "Shut instances down gracefully: SIGTERM, and SIGKILL if they do not exit in time.")
_add("kill", "Kill instances by SIGKILL; those whose desired state is running start again.")
_add("drain", "Drain instances: they reject new messages and complete the pending ones.")
_add("resume", "Have drained instances accept messages again.")


app.command("roll")(roll)
app.command("restart")(restart)


@app.command()
def inspect(
    name: Annotated[str, typer.Argument(help="An instance.")],
    agent: AgentOption = None,
    output: OutputOption = Output.TABLE,
    timeout: TimeOption = 6.0,
) -> None:
    """Show the complete status of one instance: state, destinations, endpoints, counters."""
    path = owner(sockets_of(agent), name, timeout)
    with exit_on_failure():
        found = request(path, "inspect", [name], timeout)
    if output is Output.JSON:
        print_json(found)
    else:
        show_instance(found)
    raise typer.Exit(ExitCode.UNRESPONSIVE if found["unanswered"] else ExitCode.DONE)


@app.command()
def logs(
    name: Annotated[str, typer.Argument(help="An instance.")],
    agent: AgentOption = None,
    lines: Annotated[int, typer.Option("--lines", "-n", help="How many of the last lines.")] = 50,
    timeout: TimeOption = 5.0,
) -> None:
    """Print the last lines of an instance's log."""
    path = owner(sockets_of(agent), name, timeout)
    with exit_on_failure():
        found = request(path, "logs", [name], timeout, lines=lines)
    for line in found["lines"]:
        typer.echo(line)


@app.command()
def events(
    agent: AgentOption = None,
    output: OutputOption = Output.TABLE,
    timeout: TimeOption = 5.0,
    since: Annotated[int, typer.Option(help="Only those after this number.")] = 0,
) -> None:
    """Print the agents' event logs, the oldest first."""
    replies = request_all(sockets_of(agent), "events", None, timeout, since=since)
    if output is Output.JSON:
        print_json(replies_json(replies))
    else:
        rows = [
            (event, short_name(reply.agent)) for reply in replies for event in reply.body.get("events", [])
        ]
        for event, name in sorted(rows, key=lambda row: row[0]["at"]):
            console.print(_event_line(event, name), markup=False, highlight=False, soft_wrap=True)
        for reply in replies:
            if reply.error:
                console.print(f"{short_name(reply.agent)}: {reply.error}", style="red", markup=False)
    raise typer.Exit(exit_code(replies))


def _event_line(event: dict[str, Any], agent: str) -> str:
    """Return an event of an agent as one line: local time, agent, event, its fields."""
    clock = time.strftime("%H:%M:%S", time.localtime(event["at"]))
    milliseconds = f"{event['at'] % 1:.3f}"[1:]
    fields = " ".join(f"{key}={value}" for key, value in event.items() if key not in EVENT_KEYS)
    return f"{clock}{milliseconds} {agent} {event['event']} {fields}"


@app.command()
def reload(agent: AgentOption = None, output: OutputOption = Output.TABLE, timeout: TimeOption = 5.0) -> None:
    """Have the agents reload their settings; a roll restarts the instances with them."""
    replies = request_all(sockets_of(agent), "reload", None, timeout)
    if output is Output.JSON:
        print_json(replies_json(replies))
    else:
        for reply in replies:
            console.print(
                f"{short_name(reply.agent)}: {reply.error or 'edition ' + reply.body['edition']}",
                markup=False,
            )
    raise typer.Exit(exit_code(replies))


@app.command()
def shutdown(
    agent: AgentOption = None,
    timeout: TimeOption = 5.0,
    instances: Annotated[bool, typer.Option("--instances", help="Stop the instances as well.")] = False,
) -> None:
    """Shut the agents down; their instances go on, unless --instances is given."""
    replies = request_all(sockets_of(agent), "shutdown", None, timeout, instances=instances)
    for reply in replies:
        console.print(f"{short_name(reply.agent)}: {reply.error or 'ends'}", markup=False)
    raise typer.Exit(exit_code(replies))
