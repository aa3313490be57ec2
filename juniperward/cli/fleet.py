"""Implements `juniperward fleet`, which shows and controls instances. Every request has a timeout."""

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

# Keys that every event has; its other keys are fields of its kind.
EVENT_HEADER_KEYS = ("seq", "at", "event", "level")

app = typer.Typer(help="Show instances and control them.", no_args_is_help=True)


@app.command()
def status(agent: AgentOption = None, output: OutputOption = Output.TABLE, timeout: TimeOption = 2.0) -> None:
    """Show the status of all instances of all given agents. Exit code 3 if an agent does not answer."""
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
    duration_s: Annotated[
        float, typer.Option("--seconds", help="Exit after this many seconds; 0: never.")
    ] = 0.0,
    interval_s: Annotated[float, typer.Option("--every", help="Seconds between updates.")] = 1.0,
) -> None:
    """Show the status of all instances, updated periodically."""
    paths = sockets_of(agent)
    until = time.monotonic() + duration_s if duration_s else float("inf")
    with Live(console=console, auto_refresh=False) as live:
        while True:
            live.update(status_table(request_all(paths, "status", timeout_s=timeout)), refresh=True)
            if time.monotonic() + interval_s > until:
                return
            time.sleep(interval_s)


def _send_command(
    verb: str, names: list[str] | None, agent: list[Path] | None, output: Output, timeout: float
) -> None:
    """Send a command to the agents that run the named instances, and exit with the code of their replies."""
    paths = sockets_of(agent)
    replies = []
    for path, owned_names in owners(paths, names or [], timeout):
        try:
            replies.append(AgentReply(path, request(path, verb, owned_names, timeout)))
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


def _add_command(verb: str, text: str) -> None:
    def send_to_instances(
        names: NamesArgument = None, agent: AgentOption = None, output: OutputOption = Output.TABLE,
        timeout: TimeOption = 5.0,
    ) -> None:  # fmt: skip
        """Send the command to the agents of the named instances."""
        _send_command(verb, names, agent, output, timeout)

    send_to_instances.__doc__ = text
    app.command(verb)(send_to_instances)


_add_command("start", "Start instances, including those in a crash loop.")
_add_command("stop", "Shut instances down gracefully: SIGTERM, and SIGKILL if they do not exit in time.")
_add_command("kill", "Kill instances with SIGKILL; those whose desired state is running are restarted.")
_add_command("drain", "Drain instances: they reject new messages and finish the pending ones.")
_add_command("resume", "Make drained instances accept messages again.")


app.command("roll")(roll)
app.command("restart")(restart)


@app.command()
def inspect(
    name: Annotated[str, typer.Argument(help="The instance's name.")],
    agent: AgentOption = None,
    output: OutputOption = Output.TABLE,
    timeout: TimeOption = 6.0,
) -> None:
    """Show the status, destinations, endpoints and counters of one instance. Exit code 3 if it does not answer."""
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
    name: Annotated[str, typer.Argument(help="The instance's name.")],
    agent: AgentOption = None,
    lines: Annotated[int, typer.Option("--lines", "-n", help="Number of lines.")] = 50,
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
    since: Annotated[int, typer.Option(help="Only events after this sequence number.")] = 0,
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
    """Return an agent's event as one line: local time, agent, kind of event, fields."""
    clock = time.strftime("%H:%M:%S", time.localtime(event["at"]))
    milliseconds = f"{event['at'] % 1:.3f}"[1:]
    fields = " ".join(f"{key}={value}" for key, value in event.items() if key not in EVENT_HEADER_KEYS)
    return f"{clock}{milliseconds} {agent} {event['event']} {fields}"


@app.command()
def reload(agent: AgentOption = None, output: OutputOption = Output.TABLE, timeout: TimeOption = 5.0) -> None:
    """Make the agents reload their settings; instances use them after the next restart or roll."""
    replies = request_all(sockets_of(agent), "reload", None, timeout)
    if output is Output.JSON:
        print_json(replies_json(replies))
    else:
        for reply in replies:
            console.print(
                f"{short_name(reply.agent)}: {reply.error or 'settings version ' + reply.body['edition']}",
                markup=False,
            )
    raise typer.Exit(exit_code(replies))


@app.command()
def shutdown(
    agent: AgentOption = None,
    timeout: TimeOption = 5.0,
    instances: Annotated[bool, typer.Option("--instances", help="Stop the instances as well.")] = False,
) -> None:
    """Shut the agents down; their instances keep running unless --instances is given."""
    replies = request_all(sockets_of(agent), "shutdown", None, timeout, instances=instances)
    for reply in replies:
        console.print(f"{short_name(reply.agent)}: {reply.error or 'shutting down'}", markup=False)
    raise typer.Exit(exit_code(replies))
