"""`juniperward dead-letters redrive`, `discard`, `undo` and `settle`: orders for one message or many."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated, Any

import typer
from rich.progress import Progress

from juniperward.cli.dead_letter_access import (
    PAGE_SIZE,
    AccountOption,
    ClassOption,
    DestinationOption,
    IdsArgument,
    Selection,
    SinceOption,
    call,
    pages,
    print_messages,
)
from juniperward.cli.options import AgentOption, AgentOptions, TimeOption, from_options
from juniperward.cli.output import ExitCode, Output, console, errors, print_json

STORED = "kept"  # the status of messages that an order by filters is for, as the agent's API has it

AllOption = Annotated[bool, typer.Option("--all", help="All that the filters leave.")]
DryRunOption = Annotated[bool, typer.Option("--dry-run", help="Only say what would go, and why or why not.")]
SameDestinationOption = Annotated[
    bool, typer.Option("--same-destination", help="The number still means the destination of then.")
]
FormerSameDestinationOption = Annotated[bool, typer.Option("--same-partner", hidden=True)]


@dataclass(frozen=True)
class MessagesOptions(AgentOptions):
    """Messages that are named."""

    ids: IdsArgument = None


@dataclass(frozen=True)
class BulkOptions(MessagesOptions):
    """Messages that are named, or chosen with filters."""

    destination: DestinationOption = None
    class_name: ClassOption = None
    account: AccountOption = None
    since_s: SinceOption = None
    all_messages: AllOption = False
    dry_run: DryRunOption = False


@dataclass(frozen=True)
class RedriveOptions(BulkOptions):
    """The arguments of `redrive`."""

    same_destination: SameDestinationOption = False
    former_same_destination: FormerSameDestinationOption = False


@dataclass(frozen=True)
class BulkOrder:
    """An order for many messages, in the words of the agent's API, which are printed as they are."""

    action: str
    count_key: str  # of the answer: how many messages the order was carried out for
    options: dict[str, Any] = field(default_factory=dict)


@from_options
def redrive(options: RedriveOptions) -> None:
    """Request redrives of messages, sent once their destination accepts them. What is uncertain is never sent."""
    same_destination = options.same_destination or options.former_same_destination
    order = BulkOrder("resend", "asked", {"partner_sure": same_destination})
    _give(order, _selected_rows(options), options.dry_run, options)


@from_options
def discard(options: BulkOptions) -> None:
    """Discard messages: they are never redriven; `undo` reverses it."""
    _give(BulkOrder("discard", "discarded"), _selected_rows(options), options.dry_run, options)


@from_options
def undo(options: MessagesOptions) -> None:
    """Undo a discard, or a redrive that has not begun."""
    if not options.ids:
        _exit_without_messages()
    _give(BulkOrder("undo", "undone"), _named_rows(options.ids or [], options), False, options)


@dataclass(frozen=True)
class SettleOptions:
    """The arguments of `settle`."""

    id: Annotated[str, typer.Argument(help="A message.")]
    why: Annotated[str, typer.Option(help="How it is known: whom you asked, and what they said.")]
    delivered: Annotated[
        bool, typer.Option("--delivered/--not-delivered", help="What the destination's operators say.")
    ]
    agent: AgentOption = None
    timeout_s: TimeOption = 5.0


@from_options
def settle(options: SettleOptions) -> None:
    """Record whether a message took effect, as its destination's operators say.

    Only --not-delivered lets it be redriven.
    """
    settlement = {"id": options.id, "delivered": options.delivered, "why": options.why}
    call(options.agent, options.timeout_s, "settle", **settlement)
    console.print(f"settled: {options.id}", markup=False)


def _give(order: BulkOrder, rows: list[Any], dry_run: bool, options: AgentOptions) -> None:
    """Give an order for many, in parts: what was done when it is interrupted stays done."""
    if dry_run:
        print_messages(rows, options.output)
        return
    done = 0
    with Progress(console=errors, transient=True) as progress:
        task = progress.add_task(order.action, total=len(rows))
        for first in range(0, len(rows), PAGE_SIZE):
            ids = [row["id"] for row in rows[first : first + PAGE_SIZE]]
            answer = call(options.agent, options.timeout_s, order.action, ids=ids, **order.options)
            done += answer[order.count_key]
            progress.advance(task, len(ids))
    if options.output is Output.JSON:
        print_json({order.count_key: done, "of": len(rows)})
    else:
        console.print(f"{order.count_key}: {done} of {len(rows)}")


def _selected_rows(options: BulkOptions) -> list[Any]:
    """Return the messages that are named, or else chosen; exits where neither is given."""
    if options.ids:
        return _named_rows(options.ids, options)
    chosen = Selection(
        options.destination, options.class_name, options.account, since_s=options.since_s
    ).request_options()
    if not chosen and not options.all_messages:
        _exit_without_messages()
    return list(pages(options.agent, options.timeout_s, **chosen, stand=STORED))


def _exit_without_messages() -> None:
    filters = "--destination, --class, --account, --since, --all"
    errors.print(f"name messages, or choose them with filters ({filters})")
    raise typer.Exit(ExitCode.USAGE)


def _named_rows(ids: list[str], options: AgentOptions) -> list[Any]:
    """Return the messages with these ids; exits with REJECTED where one is not there."""
    rows: list[Any] = []
    for first in range(0, len(ids), PAGE_SIZE):
        rows += pages(options.agent, options.timeout_s, ids=ids[first : first + PAGE_SIZE])
    missing = set(ids) - {row["id"] for row in rows}
    if missing:
        errors.print(f"no such message: {', '.join(sorted(missing))}", markup=False)
        raise typer.Exit(ExitCode.REJECTED)
    return rows
