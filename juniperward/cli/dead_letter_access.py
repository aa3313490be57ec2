"""What the commands for dead letters share: filters, asking the agent page by page, and the table of messages."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any

import typer

from juniperward.agent.client import AgentRejectedError, AgentUnreachableError, request
from juniperward.cli.shared import (
    REFUSED,
    SILENT,
    USAGE,
    Output,
    console,
    errors,
    print_json,
    sockets_of,
    table,
)

PAGE_SIZE = 200  # messages of one request

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
        return request(paths[0], "kept", None, timeout, action=action, **options)
    except AgentUnreachableError as error:
        errors.print(str(error), markup=False)
        raise typer.Exit(SILENT) from None
    except AgentRejectedError as error:
        errors.print(str(error), markup=False)
        raise typer.Exit(REFUSED) from None


def pages(agent: list[Path] | None, timeout: float, most: int | None = None, **chosen: Any) -> Iterator[Any]:
    """Yield all selected messages, page by page."""
    after: Any = None
    left = most
    while left is None or left > 0:
        limit = min(PAGE_SIZE, left) if left is not None else PAGE_SIZE
        found = call(agent, timeout, "list", after=after, limit=limit, **chosen)
        yield from found["messages"]
        after = found["next"]
        if after is None:
            return
        left = left - limit if left is not None else None


def selection(since: float | None = None, **filters: str | int | None) -> dict[str, Any]:
    """Return the filters that are given; `since` are seconds before now."""
    chosen: dict[str, Any] = {name: value for name, value in filters.items() if value is not None}
    if since is not None:
        chosen["since"] = time.time() - since
    return chosen


def print_messages(rows: list[Any], output: Output) -> None:
    """Print a table of messages, or their JSON."""
    if output is Output.JSON:
        print_json(rows)
        return
    made = table("id", "stand", "kind", "goes", ">to", "class", "account", ">age s", ">resends", "why")
    for row in rows:
        goes = row["wanted_by"] or "-" if row["may_go"] else "no"
        age_s = f"{time.time() - row['given_up_at']:.0f}"
        made.add_row(
            row["id"],
            row["stand"],
            row["kind"],
            goes,
            str(row["destination"]),
            row["class"],
            row["account"],
            age_s,
            str(row["resends"]),
            row["why"],
        )
    console.print(made)
