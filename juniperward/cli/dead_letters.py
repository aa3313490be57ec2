"""`juniperward dead-letters`: messages that were given up, looked at and sent again."""

from __future__ import annotations

import base64
import json
import time
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.progress import Progress

from juniperward.cli import dead_letter_rules
from juniperward.cli.dead_letter_access import (
    PAGE_SIZE,
    AccountOption,
    ClassOption,
    DestinationOption,
    IdsArgument,
    KeyOption,
    SinceOption,
    StandOption,
    call,
    pages,
    print_messages,
    selection,
)
from juniperward.cli.shared import (
    REFUSED,
    USAGE,
    AgentOption,
    Output,
    OutputOption,
    TimeOption,
    console,
    errors,
    print_json,
    table,
    width,
)

app = typer.Typer(help="Messages that were given up: look at them, send them again.", no_args_is_help=True)
app.add_typer(dead_letter_rules.app, name="rules")


@app.command("list")
def list_(
    agent: AgentOption = None, output: OutputOption = Output.TABLE, timeout: TimeOption = 5.0,
    stand: StandOption = None, destination: DestinationOption = None, cls: ClassOption = None,
    account: AccountOption = None, key: KeyOption = None, since: SinceOption = None,
    most: Annotated[int, typer.Option("--most", "-n", help="How many at the most.")] = 100,
) -> None:  # fmt: skip
    """List messages, the oldest first, each with whether it may go again and why."""
    chosen = selection(since, stand=stand, destination=destination, cls=cls, account=account, key=key)
    print_messages(list(pages(agent, timeout, most, **chosen)), output)


@app.command()
def show(
    id: Annotated[str, typer.Argument(help="A message.")],
    agent: AgentOption = None, output: OutputOption = Output.TABLE, timeout: TimeOption = 5.0,
    body: Annotated[bool, typer.Option("--body", help="Show the body too; that is written down.")] = False,
) -> None:  # fmt: skip
    """Show all about a message: its attempts, redrives and audit trail. Not its body, unless asked for."""
    found = call(agent, timeout, "show", id=id, body=body)
    if output is Output.JSON:
        print_json(found)
        return
    made = table("field", "value")
    for key, value in found.items():
        if not isinstance(value, list) and key != "body":
            made.add_row(key, width(value))
    console.print(made)
    for name in ("attempts", "resent", "audit"):
        if found[name]:
            made = table(*found[name][0], title=name)
            for row in found[name]:
                made.add_row(*(width(v) for v in row.values()))
            console.print(made)
    if body:
        typer.echo(base64.b64decode(found["body"]).decode(errors="replace"))


def _bulk(
    action: str, count_key: str, ids: list[str] | None, chosen: dict[str, Any] | None, agent: list[Path] | None,
    timeout: float, dry_run: bool, output: Output, **options: Any,
) -> None:  # fmt: skip
    """Give an order for many, in parts: what was done when it is interrupted stays done.

    `action` is the control channel's verb; `count_key` is the key of the agent's answer that counts what was
    done (an outside name, printed as it is). Exits through typer with USAGE or REFUSED where no messages fit.
    """
    rows = _messages(ids, chosen, agent, timeout)
    if dry_run:
        print_messages(rows, output)
        return
    done = 0
    with Progress(console=errors, transient=True) as progress:
        task = progress.add_task(action, total=len(rows))
        for first in range(0, len(rows), PAGE_SIZE):
            part = [row["id"] for row in rows[first : first + PAGE_SIZE]]
            done += call(agent, timeout, action, ids=part, **options)[count_key]
            progress.advance(task, len(part))
    if output is Output.JSON:
        print_json({count_key: done, "of": len(rows)})
    else:
        console.print(f"{count_key}: {done} of {len(rows)}")


def _messages(
    ids: list[str] | None, chosen: dict[str, Any] | None, agent: list[Path] | None, timeout: float
) -> list[Any]:
    """Return the messages that a bulk order means: those named, or else those selected."""
    if not ids:
        if chosen is None:
            filters = "--destination, --class, --account, --since, --all"
            errors.print(f"name messages, or choose them with filters ({filters})")
            raise typer.Exit(USAGE)
        return list(pages(agent, timeout, **chosen))
    rows: list[Any] = []
    for first in range(0, len(ids), PAGE_SIZE):
        rows += pages(agent, timeout, ids=ids[first : first + PAGE_SIZE])
    missing = set(ids) - {row["id"] for row in rows}
    if missing:
        errors.print(f"no such message: {', '.join(sorted(missing))}", markup=False)
        raise typer.Exit(REFUSED)
    return rows


def _selected(all_: bool, since: float | None, **filters: str | int | None) -> dict[str, Any] | None:
    """Return the selection of a bulk order; None where neither a filter nor `--all` is given."""
    chosen = selection(since, **filters)
    return {**chosen, "stand": "kept"} if chosen or all_ else None


AllOption = Annotated[bool, typer.Option("--all", help="All that the filters leave.")]
DryOption = Annotated[bool, typer.Option("--dry-run", help="Only say what would go, and why or why not.")]


@app.command("redrive")
def redrive(
    ids: IdsArgument = None, agent: AgentOption = None, output: OutputOption = Output.TABLE,
    timeout: TimeOption = 5.0, destination: DestinationOption = None, cls: ClassOption = None,
    account: AccountOption = None, since: SinceOption = None, all_: AllOption = False, dry_run: DryOption = False,
    partner_sure: Annotated[
        bool, typer.Option("--same-partner", help="The number still means the partner of then.")
    ] = False,
) -> None:  # fmt: skip
    """Have messages sent again as soon as their partner can take them. What is uncertain is never sent."""
    chosen = _selected(all_, since, destination=destination, cls=cls, account=account)
    _bulk("resend", "asked", ids, chosen, agent, timeout, dry_run, output, partner_sure=partner_sure)


# The name of before, read for one release.
app.command("resend", hidden=True, deprecated=True)(redrive)


@app.command()
def discard(
    ids: IdsArgument = None, agent: AgentOption = None, output: OutputOption = Output.TABLE,
    timeout: TimeOption = 5.0, destination: DestinationOption = None, cls: ClassOption = None,
    account: AccountOption = None, since: SinceOption = None, all_: AllOption = False, dry_run: DryOption = False,
) -> None:  # fmt: skip
    """Have messages never sent again; `undo` takes it back."""
    chosen = _selected(all_, since, destination=destination, cls=cls, account=account)
    _bulk("discard", "discarded", ids, chosen, agent, timeout, dry_run, output)


@app.command()
def undo(
    ids: IdsArgument = None,
    agent: AgentOption = None,
    output: OutputOption = Output.TABLE,
    timeout: TimeOption = 5.0,
) -> None:
    """Take back a discard, or a redrive that has not begun."""
    _bulk("undo", "undone", ids, None, agent, timeout, False, output)


@app.command()
def settle(
    id: Annotated[str, typer.Argument(help="A message.")],
    why: Annotated[str, typer.Option(help="How it is known: whom you asked, and what they said.")],
    delivered: Annotated[bool, typer.Option("--delivered/--not-delivered", help="What the partner says.")],
    agent: AgentOption = None, timeout: TimeOption = 5.0,
) -> None:  # fmt: skip
    """Say whether a message took effect, after asking its partner. Only --not-delivered lets it go again."""
    call(agent, timeout, "settle", id=id, delivered=delivered, why=why)
    console.print(f"settled: {id}", markup=False)


@app.command()
def stats(agent: AgentOption = None, output: OutputOption = Output.TABLE, timeout: TimeOption = 5.0) -> None:
    """Counts, the pace to each destination, and what keeps redrives from going on."""
    found = call(agent, timeout, "stats")
    if output is Output.JSON:
        print_json(found)
        return
    made = table("what", "value")
    for key, value in found.items():
        made.add_row(key, json.dumps(value) if isinstance(value, dict | list) else width(value))
    console.print(made)


@app.command()
def export(
    file: Annotated[Path, typer.Argument(help="JSON lines; one message with its body a line.")],
    agent: AgentOption = None, timeout: TimeOption = 5.0, stand: StandOption = None,
    destination: DestinationOption = None, since: SinceOption = None,
) -> None:  # fmt: skip
    """Write messages with their bodies to a file; each showing is written down."""
    count = 0
    with file.open("w") as out:
        for row in pages(agent, timeout, **selection(since, stand=stand, destination=destination)):
            message = call(agent, timeout, "show", id=row["id"], body=True)
            out.write(json.dumps(message, sort_keys=True) + "\n")
            count += 1
    console.print(f"{file}: {count} messages", markup=False)


@app.command()
def audit(
    agent: AgentOption = None, output: OutputOption = Output.TABLE, timeout: TimeOption = 5.0,
    since: Annotated[int, typer.Option(help="Only after this number.")] = 0,
) -> None:  # fmt: skip
    """Who did what, in order; nothing is ever taken out of it."""
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
def check(agent: AgentOption = None, timeout: TimeOption = 60.0) -> None:
    """Have the store looked through for damage. Exit code 1 if there is any."""
    faults = call(agent, timeout, "check")["faults"]
    for text in faults:
        console.print(text, markup=False)
    console.print(f"{len(faults)} faults")
    raise typer.Exit(REFUSED if faults else 0)


@app.command()
def backup(
    file: Annotated[Path, typer.Argument(help="Where the copy goes, on the agent's machine.")],
    agent: AgentOption = None, timeout: TimeOption = 60.0,
) -> None:  # fmt: skip
    """Write a consistent copy of the store while it is in use."""
    call(agent, timeout, "backup", file=str(file.resolve()))
    console.print(f"{file}: written", markup=False)
