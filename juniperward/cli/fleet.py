"""`juniperward fleet`: what many instances do, and orders to them. Every call has a time limit."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.live import Live
from rich.table import Table

from juniperward.agent.client import AgentRejectedError, AgentUnreachableError, InstanceReply, ask, ask_all
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
    code_of,
    console,
    errors,
    print_json,
    short,
    sockets_of,
    table,
    width,
)

app = typer.Typer(help="Look at instances and give them orders.", no_args_is_help=True)
COLOURS = {"ready": "green", "silent": "red", "failed": "red", "stopped": "yellow", "drained": "cyan"}
EVERY = 0.3  # seconds between looks at a roll


def status_table(told: list[InstanceReply]) -> Table:
    """One row an instance; an agent without an answer is one row that says so."""
    made = table(
        "agent", "instance", "state", ">up", ">held", ">out", ">taken", ">delivered", ">failed", ">turned away",
        ">given up", "why",
    )  # fmt: skip
    for t in told:
        if t.error:
            made.add_row(short(t.agent), "-", "[red]no answer[/red]", *["-"] * 8, t.error)
            continue
        for r in t.body["instances"]:
            colour = COLOURS.get(r["state"], "white")
            out = "-" if r["calls_out"] is None else f"{r['calls_out']}/{r['slots']}"
            made.add_row(
                short(t.agent), r["name"], f"[{colour}]{r['state']}[/{colour}]", width(r["up"]), width(r["held"]),
                out, width(r["taken_on"]), width(r["delivered"]), width(r["calls_failed"]),
                width(r["turned_away"]), width(r["given_up"]), r["why"],
            )  # fmt: skip
    return made


def told_json(told: list[InstanceReply]) -> list[dict[str, Any]]:
    """The stable form of several agents' answers."""
    return [{"agent": str(t.agent), "error": t.error or None, **t.body} for t in told]


@app.command()
def status(agent: AgentOption = None, output: OutputOption = Output.TABLE, timeout: TimeOption = 2.0) -> None:
    """Show every instance of every agent. Exit code 3 if an agent does not answer."""
    told = ask_all(sockets_of(agent), "status", patience=timeout)
    if output is Output.JSON:
        print_json(told_json(told))
    else:
        console.print(status_table(told))
        for t in told:
            roll = t.body.get("roll")
            if roll is not None and not roll["over"]:
                console.print(
                    f"roll {roll['id']} is {roll['mode']}: {roll['why'] or 'under way'}", markup=False
                )
    raise typer.Exit(code_of(told))


@app.command()
def watch(
    agent: AgentOption = None,
    timeout: TimeOption = 2.0,
    seconds: Annotated[float, typer.Option(help="End after so long; 0: never.")] = 0.0,
    every: Annotated[float, typer.Option(help="Seconds between looks.")] = 1.0,
) -> None:
    """Show the status again and again."""
    paths = sockets_of(agent)
    until = time.monotonic() + seconds if seconds else float("inf")
    with Live(console=console, auto_refresh=False) as live:
        while True:
            live.update(status_table(ask_all(paths, "status", patience=timeout)), refresh=True)
            if time.monotonic() + every > until:
                return
            time.sleep(every)


def _order(
    verb: str, names: list[str] | None, agent: list[Path] | None, output: Output, timeout: float
) -> None:
    """Give an order to the agents that have these instances."""
    paths = sockets_of(agent)
    told = []
    for path, mine in _owners(paths, names or [], timeout):
        try:
            told.append(InstanceReply(path, ask(path, verb, mine, timeout)))
        except AgentUnreachableError as error:
            told.append(InstanceReply(path, error=str(error), silent=True))
        except AgentRejectedError as error:
            told.append(InstanceReply(path, error=str(error)))
    if output is Output.JSON:
        print_json(told_json(told))
    else:
        for t in told:
            text = t.error or f"{verb}: {', '.join(t.body.get('instances', []))}"
            console.print(f"{short(t.agent)}: {text}", markup=False, highlight=False)
    raise typer.Exit(code_of(told))


def _owners(paths: list[Path], names: list[str], timeout: float) -> list[tuple[Path, list[str]]]:
    """Which agent has which of the named instances; exit code 1 for names that none has."""
    if len(paths) == 1 or not names:
        return [(path, names) for path in paths]
    found: list[tuple[Path, list[str]]] = []
    left = set(names)
    told = ask_all(paths, "status", patience=timeout)
    for t in told:
        here = {r["name"] for r in t.body.get("instances", [])}
        mine = [n for n in names if n in here]
        left -= set(mine)
        if mine:
            found.append((t.agent, mine))
    if left:
        silent = [short(t.agent) for t in told if t.error]
        more = f" ({', '.join(silent)} did not answer)" if silent else ""
        errors.print(f"no such instance: {', '.join(sorted(left))}{more}", markup=False)
        raise typer.Exit(SILENT if silent else REFUSED)
    return found


def _add(verb: str, text: str) -> None:
    def command(
        names: NamesArgument = None, agent: AgentOption = None, output: OutputOption = Output.TABLE,
        timeout: TimeOption = 5.0,
    ) -> None:  # fmt: skip
        _order(verb, names, agent, output, timeout)

    command.__doc__ = text
    app.command(verb)(command)


_add("start", "Have instances run; one that had failed is tried anew.")
_add("stop", "End instances as planned: SIGTERM, and SIGKILL where that does not help.")
_add("kill", "End instances by SIGKILL at once; those that are meant to run start again.")
_add("drain", "Have instances turn new messages away and bring what they hold to its end.")
_add("resume", "Have drained instances take messages again.")


ACTIONS = ("start", "show", "pause", "resume", "undo", "end")


@app.command()
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
        raise typer.BadParameter(f"{action!r} is none of {', '.join(ACTIONS)}", param_hint="ACTION")
    paths = sockets_of(agent)
    if len(paths) != 1:
        owners = _owners(paths, names or [], timeout) if names else []
        if len(owners) != 1:
            raise typer.BadParameter("a roll belongs to one agent; name it", param_hint="--agent")
        paths = [owners[0][0]]
    options: dict[str, Any] = {}
    verb = "roll" if action == "start" else f"roll_{action}"
    if action == "start":
        options = {"at_once": at_once, "floor": floor, "soak": soak, "drain": drain, "kill": kill or None,
                   "dry_run": dry_run}  # fmt: skip
    _follow(paths[0], verb, names, options, output, timeout, wait and not dry_run and action != "show")


@app.command()
def restart(
    names: NamesArgument = None,
    agent: AgentOption = None,
    output: OutputOption = Output.TABLE,
    timeout: TimeOption = 5.0,
    wait: Annotated[bool, typer.Option(help="Follow it until it is over or pauses.")] = True,
) -> None:
    """Restart instances together, drained first; for one after another use roll."""
    for path, mine in _owners(sockets_of(agent), names or [], timeout):
        _follow(path, "roll", mine, {"restart": True}, output, timeout, wait)


def _follow(
    path: Path, verb: str, names: list[str] | None, options: dict[str, Any], output: Output, timeout: float,
    wait: bool,
) -> None:  # fmt: skip
    try:
        found = ask(path, verb, names, timeout, **options)
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
            time.sleep(EVERY)
            try:
                found = ask(path, "roll_show", None, timeout)
                misses = 0
            except AgentUnreachableError:
                misses += 1  # an agent that is started anew takes the roll up again
                if misses * (timeout + EVERY) > 30:
                    raise


def roll_table(found: dict[str, Any]) -> Table:
    """The steps of a roll."""
    why = f": {found['why']}" if found["why"] else ""
    made = table(
        "instance", "stage", "ran before", "note", title=f"roll {found['id']} is {found['mode']}{why}"
    )
    for s in found["steps"]:
        made.add_row(s["instance"], s["stage"], s["before"], s["note"])
    return made


@app.command()
def inspect(
    name: Annotated[str, typer.Argument(help="An instance.")],
    agent: AgentOption = None,
    output: OutputOption = Output.TABLE,
    timeout: TimeOption = 6.0,
) -> None:
    """Show all that one instance tells of itself: state, destinations, workers, counters."""
    ((path, _),) = _owners(sockets_of(agent), [name], timeout)[:1]
    try:
        found = ask(path, "inspect", [name], timeout)
    except (AgentUnreachableError, AgentRejectedError) as error:
        errors.print(str(error), markup=False)
        raise typer.Exit(SILENT if isinstance(error, AgentUnreachableError) else REFUSED) from None
    if output is Output.JSON:
        print_json(found)
    else:
        _show_instance(found)
    raise typer.Exit(SILENT if found["unanswered"] else DONE)


def _show_instance(found: dict[str, Any]) -> None:
    if "status" in found:
        made = table("field", "value", title=found["name"])
        for key, value in found["status"].items():
            made.add_row(key, width(value))
        console.print(made)
    for key in ("destinations", "workers"):
        rows = found.get(key) or []
        if rows:
            made = table(*rows[0], title=key)
            for row in rows:
                made.add_row(*(width(v) for v in row.values()))
            console.print(made)
    if found.get("counters"):
        made = table("counter", ">count", title="counters")
        for key, value in found["counters"].items():
            made.add_row(key, str(value))
        console.print(made)
    for text in found["unanswered"]:
        console.print(f"no answer: {text}", style="red", markup=False)


@app.command()
def logs(
    name: Annotated[str, typer.Argument(help="An instance.")],
    agent: AgentOption = None,
    lines: Annotated[int, typer.Option("--lines", "-n", help="How many of the last lines.")] = 50,
    timeout: TimeOption = 5.0,
) -> None:
    """Print the last lines of an instance's log."""
    ((path, _),) = _owners(sockets_of(agent), [name], timeout)[:1]
    try:
        for line in ask(path, "logs", [name], timeout, lines=lines)["lines"]:
            typer.echo(line)
    except (AgentUnreachableError, AgentRejectedError) as error:
        errors.print(str(error), markup=False)
        raise typer.Exit(SILENT if isinstance(error, AgentUnreachableError) else REFUSED) from None


@app.command()
def events(
    agent: AgentOption = None,
    output: OutputOption = Output.TABLE,
    timeout: TimeOption = 5.0,
    since: Annotated[int, typer.Option(help="Only those after this number.")] = 0,
) -> None:
    """Print what the agents did and saw, the oldest first."""
    told = ask_all(sockets_of(agent), "events", None, timeout, since=since)
    if output is Output.JSON:
        print_json(told_json(told))
    else:
        rows = [(e, short(t.agent)) for t in told for e in t.body.get("events", [])]
        for e, name in sorted(rows, key=lambda x: x[0]["at"]):
            clock = time.strftime("%H:%M:%S", time.localtime(e["at"])) + f"{e['at'] % 1:.3f}"[1:]
            more = " ".join(f"{k}={v}" for k, v in e.items() if k not in ("seq", "at", "event", "level"))
            console.print(
                f"{clock} {name} {e['event']} {more}", markup=False, highlight=False, soft_wrap=True
            )
        for t in told:
            if t.error:
                console.print(f"{short(t.agent)}: {t.error}", style="red", markup=False)
    raise typer.Exit(code_of(told))


@app.command()
def reload(agent: AgentOption = None, output: OutputOption = Output.TABLE, timeout: TimeOption = 5.0) -> None:
    """Have the agents read their settings again; a roll brings the instances to them."""
    told = ask_all(sockets_of(agent), "reload", None, timeout)
    if output is Output.JSON:
        print_json(told_json(told))
    else:
        for t in told:
            console.print(f"{short(t.agent)}: {t.error or 'edition ' + t.body['edition']}", markup=False)
    raise typer.Exit(code_of(told))


@app.command()
def shutdown(
    agent: AgentOption = None,
    timeout: TimeOption = 5.0,
    instances: Annotated[bool, typer.Option("--instances", help="Stop the instances as well.")] = False,
) -> None:
    """End the agents; their instances go on, unless --instances is given."""
    told = ask_all(sockets_of(agent), "shutdown", None, timeout, instances=instances)
    for t in told:
        console.print(f"{short(t.agent)}: {t.error or 'ends'}", markup=False)
    raise typer.Exit(code_of(told))
