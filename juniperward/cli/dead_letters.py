"""`juniperward dead-letters`: messages that were given up, looked at and sent again."""

from __future__ import annotations

import base64
import json
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.progress import Progress

from juniperward.agent.client import AgentRejectedError, AgentUnreachableError, ask
from juniperward.cli.shared import (
    REFUSED,
    SILENT,
    USAGE,
    AgentOption,
    Output,
    OutputOption,
    TimeOption,
    console,
    errors,
    print_json,
    sockets_of,
    table,
    width,
)
from juniperward.settings.load import SettingsError, load

app = typer.Typer(help="Messages that were given up: look at them, send them again.", no_args_is_help=True)
BULK = 200  # messages of one call in bulk orders

StandOption = Annotated[str | None, typer.Option(help="kept, claimed, delivered or discarded.")]
DestinationOption = Annotated[int | None, typer.Option(help="Only for this destination.")]
ClassOption = Annotated[str | None, typer.Option("--class", help="Only of this class.")]
AccountOption = Annotated[str | None, typer.Option(help="Only of this account.")]
KeyOption = Annotated[str | None, typer.Option(help="Only with this idempotency key.")]
SinceOption = Annotated[float | None, typer.Option(help="Given up in the last so many seconds.")]
IdsArgument = Annotated[list[str] | None, typer.Argument(help="Messages, by id; or use filters.")]


def call(agent: list[Path] | None, timeout: float, action: str, **options: Any) -> Any:
    """Ask the one agent meant; ends with the exit code where it will not or does not answer."""
    paths = sockets_of(agent)
    if len(paths) != 1:
        errors.print("dead letters belong to one agent: name it with --agent")
        raise typer.Exit(USAGE)
    try:
        return ask(paths[0], "kept", None, timeout, action=action, **options)
    except AgentUnreachableError as error:
        errors.print(str(error), markup=False)
        raise typer.Exit(SILENT) from None
    except AgentRejectedError as error:
        errors.print(str(error), markup=False)
        raise typer.Exit(REFUSED) from None


def pages(agent: list[Path] | None, timeout: float, most: int | None = None, **chosen: Any) -> Iterator[Any]:
    """All messages meant, page by page."""
    after: Any = None
    left = most
    while left is None or left > 0:
        limit = min(BULK, left) if left is not None else BULK
        found = call(agent, timeout, "list", after=after, limit=limit, **chosen)
        yield from found["messages"]
        after = found["next"]
        if after is None:
            return
        left = left - limit if left is not None else None


def _chosen(
    stand: str | None, destination: int | None, cls: str | None, account: str | None, key: str | None,
    since: float | None,
) -> dict[str, Any]:  # fmt: skip
    chosen: dict[str, Any] = {
        "stand": stand,
        "destination": destination,
        "cls": cls,
        "account": account,
        "key": key,
    }
    if since is not None:
        chosen["since"] = time.time() - since
    return {k: v for k, v in chosen.items() if v is not None}


def _rows(rows: list[Any], output: Output) -> None:
    if output is Output.JSON:
        print_json(rows)
        return
    made = table("id", "stand", "kind", "goes", ">to", "class", "account", ">age s", ">resends", "why")
    for r in rows:
        made.add_row(
            r["id"], r["stand"], r["kind"], r["wanted_by"] or "-" if r["may_go"] else "no", str(r["destination"]),
            r["class"], r["account"], f"{time.time() - r['given_up_at']:.0f}", str(r["resends"]), r["why"],
        )  # fmt: skip
    console.print(made)


@app.command("list")
def list_(
    agent: AgentOption = None, output: OutputOption = Output.TABLE, timeout: TimeOption = 5.0,
    stand: StandOption = None, destination: DestinationOption = None, cls: ClassOption = None,
    account: AccountOption = None, key: KeyOption = None, since: SinceOption = None,
    most: Annotated[int, typer.Option("--most", "-n", help="How many at the most.")] = 100,
) -> None:  # fmt: skip
    """List messages, the oldest first, each with whether it may go again and why."""
    chosen = _chosen(stand, destination, cls, account, key, since)
    _rows(list(pages(agent, timeout, most, **chosen)), output)


@app.command()
def show(
    id: Annotated[str, typer.Argument(help="A message.")],
    agent: AgentOption = None, output: OutputOption = Output.TABLE, timeout: TimeOption = 5.0,
    body: Annotated[bool, typer.Option("--body", help="Show the body too; that is written down.")] = False,
) -> None:  # fmt: skip
    """Show all about a message: its attempts, resends and audit trail. Not its body, unless asked for."""
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
    action: str, told: str, ids: list[str] | None, chosen: dict[str, Any], agent: list[Path] | None,
    timeout: float, dry_run: bool, output: Output, **options: Any,
) -> None:  # fmt: skip
    """An order for many, in parts: what was done stays done when it is interrupted, and may be asked for again."""
    if not ids and not chosen:
        errors.print(
            "name messages, or choose them with filters (--destination, --class, --account, --since, --all)"
        )
        raise typer.Exit(USAGE)
    chosen.pop("all", None)
    rows: list[Any] = []
    if ids:
        for first in range(0, len(ids), BULK):
            rows += pages(agent, timeout, ids=ids[first : first + BULK])
        missing = set(ids) - {r["id"] for r in rows}
        if missing:
            errors.print(f"no such message: {', '.join(sorted(missing))}", markup=False)
            raise typer.Exit(REFUSED)
    else:
        rows = list(pages(agent, timeout, **chosen))
    if dry_run:
        _rows(rows, output)
        return
    done = 0
    with Progress(console=errors, transient=True) as progress:
        task = progress.add_task(action, total=len(rows))
        for first in range(0, len(rows), BULK):
            part = [r["id"] for r in rows[first : first + BULK]]
            done += call(agent, timeout, action, ids=part, **options)[told]
            progress.advance(task, len(part))
    if output is Output.JSON:
        print_json({told: done, "of": len(rows)})
    else:
        console.print(f"{told}: {done} of {len(rows)}")


AllOption = Annotated[bool, typer.Option("--all", help="All that the filters leave.")]
DryOption = Annotated[bool, typer.Option("--dry-run", help="Only say what would go, and why or why not.")]


@app.command()
def resend(
    ids: IdsArgument = None, agent: AgentOption = None, output: OutputOption = Output.TABLE,
    timeout: TimeOption = 5.0, destination: DestinationOption = None, cls: ClassOption = None,
    account: AccountOption = None, since: SinceOption = None, all_: AllOption = False, dry_run: DryOption = False,
    partner_sure: Annotated[
        bool, typer.Option("--same-partner", help="The number still means the partner of then.")
    ] = False,
) -> None:  # fmt: skip
    """Have messages sent again as soon as their partner can take them. What is uncertain is never sent."""
    chosen = _chosen("kept", destination, cls, account, None, since)
    chosen = {**chosen, "all": True} if all_ else {} if len(chosen) == 1 else chosen
    _bulk("resend", "asked", ids, chosen, agent, timeout, dry_run, output, partner_sure=partner_sure)


@app.command()
def discard(
    ids: IdsArgument = None, agent: AgentOption = None, output: OutputOption = Output.TABLE,
    timeout: TimeOption = 5.0, destination: DestinationOption = None, cls: ClassOption = None,
    account: AccountOption = None, since: SinceOption = None, all_: AllOption = False, dry_run: DryOption = False,
) -> None:  # fmt: skip
    """Have messages never sent again; `undo` takes it back."""
    chosen = _chosen("kept", destination, cls, account, None, since)
    chosen = {**chosen, "all": True} if all_ else {} if len(chosen) == 1 else chosen
    _bulk("discard", "discarded", ids, chosen, agent, timeout, dry_run, output)


@app.command()
def undo(
    ids: IdsArgument = None,
    agent: AgentOption = None,
    output: OutputOption = Output.TABLE,
    timeout: TimeOption = 5.0,
) -> None:
    """Take back a discard, or a resend that has not begun."""
    _bulk("undo", "undone", ids, {}, agent, timeout, False, output)


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
    """Counts, the pace to each destination, and what keeps resends from going on."""
    found = call(agent, timeout, "stats")
    if output is Output.JSON:
        print_json(found)
        return
    made = table("what", "value")
    for key, value in found.items():
        made.add_row(key, json.dumps(value) if isinstance(value, dict | list) else width(value))
    console.print(made)


rules = typer.Typer(help="Rules of resends.", no_args_is_help=True)
app.add_typer(rules, name="rules")


@rules.command("check")
def rules_check(file: Annotated[Path, typer.Argument(help="A fleet's settings.")]) -> None:
    """Say what is wrong with a file's rules, with line and field. Exit code 2 if anything is."""
    try:
        found = load(file).kept
    except SettingsError as error:
        console.print(str(error), markup=False, highlight=False, soft_wrap=True)
        raise typer.Exit(USAGE) from None
    count = len(found.rules) if found is not None else 0
    console.print(f"{file}: good, {count} rules" if found else f"{file}: nothing is kept", markup=False)


@rules.command("simulate")
def rules_simulate(
    file: Annotated[Path, typer.Argument(help="A fleet's settings.")],
    agent: AgentOption = None, output: OutputOption = Output.TABLE, timeout: TimeOption = 30.0,
) -> None:  # fmt: skip
    """Say what a file's rules would have go now, and what keeps the rest, without sending anything."""
    found = call(agent, timeout, "simulate", file=str(file.resolve()))
    if output is Output.JSON:
        print_json(found)
        return
    made = table("rule", ">destination", ">messages")
    for rule, counts in found["go"].items():
        for destination, count in counts.items():
            made.add_row(rule, destination, str(count))
    console.print(made)
    for why, count in found["stay"].items():
        console.print(f"{count} stay: {why}", markup=False)


@app.command()
def export(
    file: Annotated[Path, typer.Argument(help="JSON lines; one message with its body a line.")],
    agent: AgentOption = None, timeout: TimeOption = 5.0, stand: StandOption = None,
    destination: DestinationOption = None, since: SinceOption = None,
) -> None:  # fmt: skip
    """Write messages with their bodies to a file; each showing is written down."""
    count = 0
    with open(file, "w") as out:
        for row in pages(agent, timeout, **_chosen(stand, destination, None, None, None, since)):
            out.write(
                json.dumps(call(agent, timeout, "show", id=row["id"], body=True), sort_keys=True) + "\n"
            )
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
    for r in rows:
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(r["at"]))
        made.add_row(str(r["seq"]), at, r["who"], r["what"], r["message"] or "", r["detail"])
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
