"""Implements `juniperward dead-letters redrive`, `discard`, `undo` and `settle`."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated, Any

import typer
from rich.progress import Progress

from juniperward.cli.dead_letter_access import (
    MESSAGES_PER_PAGE,
    AccountOption,
    ClassOption,
    DestinationOption,
    IdsArgument,
    MessageFilters,
    SinceOption,
    call,
    pages,
    print_messages,
)
from juniperward.cli.options import AgentOption, AgentOptions, TimeOption, from_options
from juniperward.cli.output import ExitCode, Output, console, errors, print_json

# Filters select only messages with this status, which is a value of the agent's API.
STORED_STATUS = "kept"

AllOption = Annotated[bool, typer.Option("--all", help="All messages that match the filters.")]
DryRunOption = Annotated[
    bool, typer.Option("--dry-run", help="Only list the messages, with whether each may be redriven and why.")
]
SameDestinationOption = Annotated[
    bool,
    typer.Option("--same-destination", help="Confirm that the destination's number has not been reassigned."),
]
FormerSameDestinationOption = Annotated[bool, typer.Option("--same-partner", hidden=True)]


@dataclass(frozen=True)
class MessagesOptions(AgentOptions):
    """The arguments of a command for messages that are selected by id."""

    ids: IdsArgument = None


@dataclass(frozen=True)
class BulkOptions(MessagesOptions):
    """The arguments of a command for messages that are selected by id or with filters."""

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
class BulkRequest:
    """A request to the agent that applies one action to many messages.

    Attributes:
        action: The action's name in the agent's API.
        count_key: The reply's key for the number of messages that the action was applied to; it is also printed.
        options: Further options of the action.
    """

    action: str
    count_key: str
    options: dict[str, Any] = field(default_factory=dict)


@from_options
def redrive(options: RedriveOptions) -> None:
    """Request that messages are sent again, once their destination accepts messages.

    Messages that may have taken effect already are never sent again.
    """
    same_destination = options.same_destination or options.former_same_destination
    bulk_request = BulkRequest("resend", "asked", {"partner_sure": same_destination})
    _send_in_pages(bulk_request, _selected_rows(options), options.dry_run, options)


@from_options
def discard(options: BulkOptions) -> None:
    """Discard messages, so that they are never redriven; `undo` reverses this."""
    _send_in_pages(BulkRequest("discard", "discarded"), _selected_rows(options), options.dry_run, options)


@from_options
def undo(options: MessagesOptions) -> None:
    """Undo a discard, or a redrive that has not started."""
    if not options.ids:
        _exit_without_messages()
    _send_in_pages(BulkRequest("undo", "undone"), _named_rows(options.ids or [], options), False, options)


@dataclass(frozen=True)
class SettleOptions:
    """The arguments of `settle`."""

    id: Annotated[str, typer.Argument(help="A message's id.")]
    why: Annotated[str, typer.Option(help="The evidence: who was asked, and what they answered.")]
    delivered: Annotated[
        bool,
        typer.Option(
            "--delivered/--not-delivered",
            help="Whether the message took effect, according to the destination's operators.",
        ),
    ]
    agent: AgentOption = None
    timeout_s: TimeOption = 5.0


@from_options
def settle(options: SettleOptions) -> None:
    """Record whether a message took effect, according to its destination's operators.

    Only a message recorded as --not-delivered can be redriven.
    """
    settlement = {"id": options.id, "delivered": options.delivered, "why": options.why}
    call(options.agent, options.timeout_s, "settle", **settlement)
    console.print(f"settled: {options.id}", markup=False)


def _send_in_pages(bulk_request: BulkRequest, rows: list[Any], dry_run: bool, options: AgentOptions) -> None:
    """Send the request page by page; an interruption does not revert the pages that were sent."""
    if dry_run:
        print_messages(rows, options.output)
        return
    done_count = 0
    with Progress(console=errors, transient=True) as progress:
        task = progress.add_task(bulk_request.action, total=len(rows))
        for first in range(0, len(rows), MESSAGES_PER_PAGE):
            ids = [row["id"] for row in rows[first : first + MESSAGES_PER_PAGE]]
            reply = call(
                options.agent, options.timeout_s, bulk_request.action, ids=ids, **bulk_request.options
            )
            done_count += reply[bulk_request.count_key]
            progress.advance(task, len(ids))
    if options.output is Output.JSON:
        print_json({bulk_request.count_key: done_count, "of": len(rows)})
    else:
        console.print(f"{bulk_request.count_key}: {done_count} of {len(rows)}")


def _selected_rows(options: BulkOptions) -> list[Any]:
    """Return the messages selected by id, or else with filters; exits with USAGE if neither is given."""
    if options.ids:
        return _named_rows(options.ids, options)
    filters = MessageFilters(
        options.destination, options.class_name, options.account, since_s=options.since_s
    ).request_options()
    if not filters and not options.all_messages:
        _exit_without_messages()
    return list(pages(options.agent, options.timeout_s, **filters, stand=STORED_STATUS))


def _exit_without_messages() -> None:
    filters = "--destination, --class, --account, --since, --all"
    errors.print(f"no messages selected: give their ids or use filters ({filters})")
    raise typer.Exit(ExitCode.USAGE)


def _named_rows(ids: list[str], options: AgentOptions) -> list[Any]:
    """Return the messages with these ids; exits with REJECTED if the store does not have one of them."""
    rows: list[Any] = []
    for first in range(0, len(ids), MESSAGES_PER_PAGE):
        rows += pages(options.agent, options.timeout_s, ids=ids[first : first + MESSAGES_PER_PAGE])
    missing = set(ids) - {row["id"] for row in rows}
    if missing:
        errors.print(f"no such message: {', '.join(sorted(missing))}", markup=False)
        raise typer.Exit(ExitCode.REJECTED)
    return rows
