"""Implements `juniperward dead-letters`: the queries, and the group that all its commands belong to.

Commands that change messages are in `dead_letter_orders.py`.
"""

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
    MessageFilters,
    SinceOption,
    StatusOption,
    call,
    pages,
    print_messages,
)
from juniperward.cli.options import AgentOption, AgentOptions, OutputOption, TimeOption, from_options
from juniperward.cli.output import ExitCode, Output, cell, console, print_json, table

# The default timeout of commands that read the complete store.
STORE_SCAN_TIMEOUT_S = 60.0
# Keys of a message's record, in the agent's API, whose values are lists.
RECORD_LISTS = ("attempts", "resent", "audit")

app = typer.Typer(
    help="List, show, redrive and discard dead letters: messages that were given up.", no_args_is_help=True
)
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
    max_count: Annotated[int, typer.Option("--most", "-n", help="Maximum number of messages.")] = 100
    former_status: FormerStatusOption = None


@app.command("list")
@from_options
def list_messages(options: ListOptions) -> None:
    """List messages, the oldest first, with whether each may be redriven and the reason."""
    filters = MessageFilters(
        options.destination,
        options.class_name,
        options.account,
        options.idempotency_key,
        options.status or options.former_status,
        options.since_s,
    )
    request_options = filters.request_options()
    rows = list(pages(options.agent, options.timeout_s, options.max_count, **request_options))
    print_messages(rows, options.output)


@dataclass(frozen=True)
class ShowOptions:
    """The arguments of `show`."""

    id: Annotated[str, typer.Argument(help="A message's id.")]
    agent: AgentOption = None
    output: OutputOption = Output.TABLE
    timeout_s: TimeOption = 5.0
    body: Annotated[
        bool, typer.Option("--body", help="Also show the body; the access is recorded in the audit trail.")
    ] = False


@app.command()
@from_options
def show(options: ShowOptions) -> None:
    """Show a message with its attempts, redrives and audit trail, and optionally its body."""
    reply = call(options.agent, options.timeout_s, "show", id=options.id, body=options.body)
    if options.output is Output.JSON:
        print_json(reply)
        return
    output_table = table("field", "value")
    for key, value in reply.items():
        if not isinstance(value, list) and key != "body":
            output_table.add_row(key, cell(value))
    console.print(output_table)
    for name in RECORD_LISTS:
        if reply[name]:
            output_table = table(*reply[name][0], title=name)
            for row in reply[name]:
                output_table.add_row(*(cell(value) for value in row.values()))
            console.print(output_table)
    if options.body:
        typer.echo(base64.b64decode(reply["body"]).decode(errors="replace"))


app.command("redrive")(dead_letter_orders.redrive)
# The former name, which is supported for one more release.
app.command("resend", hidden=True, deprecated=True)(dead_letter_orders.redrive)
app.command("discard")(dead_letter_orders.discard)
app.command("undo")(dead_letter_orders.undo)
app.command("settle")(dead_letter_orders.settle)


@app.command()
def stats(agent: AgentOption = None, output: OutputOption = Output.TABLE, timeout: TimeOption = 5.0) -> None:
    """Show counts of messages, the redrive rate of each destination, and what blocks redrives."""
    reply = call(agent, timeout, "stats")
    if output is Output.JSON:
        print_json(reply)
        return
    output_table = table("field", "value")
    for key, value in reply.items():
        output_table.add_row(key, json.dumps(value) if isinstance(value, dict | list) else cell(value))
    console.print(output_table)


@dataclass(frozen=True)
class ExportOptions:
    """The arguments of `export`."""

    file: Annotated[
        Path, typer.Argument(help="The file to write: JSON lines, one message with its body per line.")
    ]
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
    filters = MessageFilters(
        options.destination, status=options.status or options.former_status, since_s=options.since_s
    )
    count = 0
    with options.file.open("w") as out:
        for row in pages(options.agent, options.timeout_s, **filters.request_options()):
            message = call(options.agent, options.timeout_s, "show", id=row["id"], body=True)
            out.write(json.dumps(message, sort_keys=True) + "\n")
            count += 1
    console.print(f"{options.file}: {count} messages", markup=False)


@app.command()
def audit(
    agent: AgentOption = None,
    output: OutputOption = Output.TABLE,
    timeout: TimeOption = 5.0,
    since: Annotated[int, typer.Option(help="Only entries after this sequence number.")] = 0,
) -> None:
    """Print the audit trail, in order: who did what. Entries are never removed."""
    rows = call(agent, timeout, "audit", since=since)["audit"]
    if output is Output.JSON:
        print_json(rows)
        return
    output_table = table(">seq", "time (UTC)", "who", "action", "message", "detail")
    for row in rows:
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(row["at"]))
        output_table.add_row(
            str(row["seq"]), at, row["who"], row["what"], row["message"] or "", row["detail"]
        )
    console.print(output_table)


@app.command()
def check(agent: AgentOption = None, timeout: TimeOption = STORE_SCAN_TIMEOUT_S) -> None:
    """Check the store for damage. Exit code 1 if there is any."""
    faults = call(agent, timeout, "check")["faults"]
    for text in faults:
        console.print(text, markup=False)
    console.print(f"{len(faults)} faults")
    raise typer.Exit(ExitCode.REJECTED if faults else ExitCode.DONE)


@app.command()
def backup(
    file: Annotated[Path, typer.Argument(help="The file to write, on the agent's machine.")],
    agent: AgentOption = None,
    timeout: TimeOption = STORE_SCAN_TIMEOUT_S,
) -> None:
    """Write a consistent copy of the store while it is in use."""
    call(agent, timeout, "backup", file=str(file.resolve()))
    console.print(f"{file}: backup written", markup=False)
