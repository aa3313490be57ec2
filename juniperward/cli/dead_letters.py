"""`juniperward dead-letters`: queries of messages that were given up; the orders are in `dead_letter_orders.py`."""

from __future__ import annotations

import base64
import json
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import typer

from juniperward.cli import dead_letter_orders, dead_letter_rules
from juniperward.cli.dead_letter_access import (
    AccountOption,
    ClassOption,
    DestinationOption,
    FormerStatusOption,
    KeyOption,
    Selection,
    SinceOption,
    StatusOption,
    call,
    pages,
    print_messages,
)
from juniperward.cli.options import AgentOption, AgentOptions, OutputOption, TimeOption, from_options
from juniperward.cli.output import ExitCode, Output, cell, console, print_json, table

STORE_TIMEOUT_S = 60.0  # of what goes through the complete store
LISTS = ("attempts", "resent", "audit")  # of a message's record

app = typer.Typer(help="Messages that were given up: list, show and redrive them.", no_args_is_help=True)
app.add_typer(dead_letter_rules.app, name="rules")


@dataclass(frozen=True)
class ListOptions(AgentOptions):
    """The arguments of `list`."""

    status: StatusOption = None
    destination: DestinationOption = None
    class_name: ClassOption = None
    account: AccountOption = None
    idempotency_key: KeyOption = None
    since_s: SinceOption = None
    max_count: Annotated[int, typer.Option("--most", "-n", help="How many at the most.")] = 100
    former_status: FormerStatusOption = None


@app.command("list")
@from_options
def list_messages(options: ListOptions) -> None:
    """List messages, the oldest first, each with whether it may be redriven and why."""
    selection = Selection(
        options.destination,
        options.class_name,
        options.account,
        options.idempotency_key,
        options.status or options.former_status,
        options.since_s,
    )
    chosen = selection.request_options()
    rows = list(pages(options.agent, options.timeout_s, options.max_count, **chosen))
    print_messages(rows, options.output)


@dataclass(frozen=True)
class ShowOptions:
    """The arguments of `show`."""

    id: Annotated[str, typer.Argument(help="A message.")]
    agent: AgentOption = None
    output: OutputOption = Output.TABLE
    timeout_s: TimeOption = 5.0
    body: Annotated[bool, typer.Option("--body", help="Show the body too; that is written down.")] = False


@app.command()
@from_options
def show(options: ShowOptions) -> None:
    """Show a message: its attempts, redrives and audit trail, and on request its body."""
    found = call(options.agent, options.timeout_s, "show", id=options.id, body=options.body)
    if options.output is Output.JSON:
        print_json(found)
        return
    made = table("field", "value")
    for key, value in found.items():
        if not isinstance(value, list) and key != "body":
            made.add_row(key, cell(value))
    console.print(made)
    for name in LISTS:
        if found[name]:
            made = table(*found[name][0], title=name)
            for row in found[name]:
                made.add_row(*(cell(value) for value in row.values()))
            console.print(made)
    if options.body:
        typer.echo(base64.b64decode(found["body"]).decode(errors="replace"))


app.command("redrive")(dead_letter_orders.redrive)
# The former name, read for one release.
app.command("resend", hidden=True, deprecated=True)(dead_letter_orders.redrive)
app.command("discard")(dead_letter_orders.discard)
app.command("undo")(dead_letter_orders.undo)
app.command("settle")(dead_letter_orders.settle)


@app.command()
def stats(agent: AgentOption = None, output: OutputOption = Output.TABLE, timeout: TimeOption = 5.0) -> None:
    """Counts, the redrive rate of each destination, and what blocks redrives."""
    found = call(agent, timeout, "stats")
    if output is Output.JSON:
        print_json(found)
        return
    made = table("what", "value")
    for key, value in found.items():
        made.add_row(key, json.dumps(value) if isinstance(value, dict | list) else cell(value))
    console.print(made)


@dataclass(frozen=True)
class ExportOptions:
    """The arguments of `export`."""

    file: Annotated[Path, typer.Argument(help="JSON lines; one message with its body a line.")]
    agent: AgentOption = None
    timeout_s: TimeOption = 5.0
    status: StatusOption = None
    destination: DestinationOption = None
    since_s: SinceOption = None
    former_status: FormerStatusOption = None


@app.command()
@from_options
def export(options: ExportOptions) -> None:
    """Write messages with their bodies to a file; each access is recorded in the audit trail."""
    selection = Selection(
        options.destination, status=options.status or options.former_status, since_s=options.since_s
    )
    count = 0
    with options.file.open("w") as out:
        for row in pages(options.agent, options.timeout_s, **selection.request_options()):
            message = call(options.agent, options.timeout_s, "show", id=row["id"], body=True)
            out.write(json.dumps(message, sort_keys=True) + "\n")
            count += 1
    console.print(f"{options.file}: {count} messages", markup=False)


@app.command()
def audit(
    agent: AgentOption = None,
    output: OutputOption = Output.TABLE,
    timeout: TimeOption = 5.0,
    since: Annotated[int, typer.Option(help="Only after this number.")] = 0,
) -> None:
    """The audit trail: who did what, in order; nothing is ever removed from it."""
    rows = call(agent, timeout, "audit", since=since)["audit"]
    if output is Output.JSON:
        print_json(rows)
        return
    made = table(">seq", "at", "who", "what", "message", "detail")
    for row in rows:
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(row["at"]))
        made.add_row(str(row["seq"]), at, row["who"], row["what"], row["message"] or "", row["detail"])
    console.print(made)


@app.command()
def check(agent: AgentOption = None, timeout: TimeOption = STORE_TIMEOUT_S) -> None:
    """Check the store for damage. Exit code 1 if there is any."""
    faults = call(agent, timeout, "check")["faults"]
    for text in faults:
        console.print(text, markup=False)
    console.print(f"{len(faults)} faults")
    raise typer.Exit(ExitCode.REJECTED if faults else ExitCode.DONE)


@app.command()
def backup(
    file: Annotated[Path, typer.Argument(help="Where the copy goes, on the agent's machine.")],
    agent: AgentOption = None,
    timeout: TimeOption = STORE_TIMEOUT_S,
) -> None:
    """Write a consistent copy of the store while it is in use."""
    call(agent, timeout, "backup", file=str(file.resolve()))
    console.print(f"{file}: written", markup=False)
