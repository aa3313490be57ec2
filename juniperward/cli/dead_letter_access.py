"""What the commands for dead letters share: selecting messages, requesting them page by page, and their table."""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import typer

from juniperward.agent.client import request
from juniperward.cli.agents import exit_on_failure, sockets_of
from juniperward.cli.output import ExitCode, Output, console, errors, print_json, table

PAGE_SIZE = 200  # messages of one request

StatusOption = Annotated[str | None, typer.Option(help="kept, claimed, delivered or discarded.")]
FormerStatusOption = Annotated[str | None, typer.Option("--stand", hidden=True)]
DestinationOption = Annotated[int | None, typer.Option(help="Only for this destination.")]
ClassOption = Annotated[str | None, typer.Option("--class", help="Only of this class.")]
AccountOption = Annotated[str | None, typer.Option(help="Only of this account.")]
KeyOption = Annotated[str | None, typer.Option("--key", help="Only with this idempotency key.")]
SinceOption = Annotated[float | None, typer.Option("--since", help="Given up in the last so many seconds.")]
IdsArgument = Annotated[list[str] | None, typer.Argument(help="Messages, by id; or use filters.")]


@dataclass(frozen=True)
class Selection:
    """Which messages are meant; None selects all."""

    destination: int | None = None
    class_name: str | None = None
    account: str | None = None
    idempotency_key: str | None = None
    status: str | None = None
    since_s: float | None = None  # given up in the last so many seconds

    def request_options(self) -> dict[str, Any]:
        """Return the filters that are set, with the keys of the agent's API."""
        options = {
            "destination": self.destination,
            "cls": self.class_name,
            "account": self.account,
            "key": self.idempotency_key,
            "stand": self.status,
            "since": time.time() - self.since_s if self.since_s is not None else None,
        }
        return {key: value for key, value in options.items() if value is not None}


def call(agent: list[Path] | None, timeout_s: float, action: str, **options: Any) -> Any:
    """Return the answer of the one agent meant; exits where it is not one, does not answer or rejects it."""
    paths = sockets_of(agent)
    if len(paths) != 1:
        errors.print("dead letters belong to one agent: name it with --agent")
        raise typer.Exit(ExitCode.USAGE)
    with exit_on_failure():
        return request(paths[0], "kept", None, timeout_s, action=action, **options)


def pages(
    agent: list[Path] | None, timeout_s: float, max_count: int | None = None, **options: Any
) -> Iterator[Any]:
    """Yield the rows of all messages that the request's options select, page by page."""
    after: Any = None
    left = max_count
    while left is None or left > 0:
        limit = min(PAGE_SIZE, left) if left is not None else PAGE_SIZE
        found = call(agent, timeout_s, "list", after=after, limit=limit, **options)
        yield from found["messages"]
        after = found["next"]
        if after is None:
            return
        left = left - limit if left is not None else None


def print_messages(rows: list[Any], output: Output) -> None:
    """Print a table of messages, or their JSON."""
    if output is Output.JSON:
        print_json(rows)
        return
    made = table("id", "status", "kind", "goes", ">to", "class", "account", ">age s", ">redrives", "why")
    for row in rows:
        age_s = time.time() - row["given_up_at"]
        goes = row["wanted_by"] or "-" if row["may_go"] else "no"
        made.add_row(
            row["id"],
            row["stand"],
            row["kind"],
            goes,
            str(row["destination"]),
            row["class"],
            row["account"],
            f"{age_s:.0f}",
            str(row["resends"]),
            row["why"],
        )
    console.print(made)
