"""Options, paged requests and the message table that the commands for dead letters share."""

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

MESSAGES_PER_PAGE = 200

StatusOption = Annotated[
    str | None, typer.Option(help="Only with this status: kept, claimed, delivered or discarded.")
]
FormerStatusOption = Annotated[str | None, typer.Option("--stand", hidden=True)]
DestinationOption = Annotated[int | None, typer.Option(help="Only for this destination.")]
ClassOption = Annotated[str | None, typer.Option("--class", help="Only of this message class.")]
AccountOption = Annotated[str | None, typer.Option(help="Only of this account.")]
KeyOption = Annotated[str | None, typer.Option("--key", help="Only with this idempotency key.")]
SinceOption = Annotated[
    float | None, typer.Option("--since", help="Only messages given up within this many seconds.")
]
IdsArgument = Annotated[list[str] | None, typer.Argument(help="Ids of messages; alternatively, use filters.")]


@dataclass(frozen=True)
class MessageFilters:
    """Filters for messages; None does not filter.

    Attributes:
        since_s: The maximum time in seconds since the message was given up.
    """

    destination: int | None = None
    class_name: str | None = None
    account: str | None = None
    idempotency_key: str | None = None
    status: str | None = None
    since_s: float | None = None

    def request_options(self) -> dict[str, Any]:
        """Return the filters that are set, by their keys in the agent's API."""
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
    """Return the reply of the one selected agent; exits if several are selected, or if the request fails."""
    paths = sockets_of(agent)
    if len(paths) != 1:
        errors.print("commands for dead letters address one agent: name it with --agent")
        raise typer.Exit(ExitCode.USAGE)
    with exit_on_failure():
        return request(paths[0], "kept", None, timeout_s, action=action, **options)


def pages(
    agent: list[Path] | None, timeout_s: float, max_count: int | None = None, **options: Any
) -> Iterator[Any]:
    """Yield the rows of the selected messages, at most `max_count` (None: all), one request per page."""
    after: Any = None
    remaining = max_count
    while remaining is None or remaining > 0:
        limit = min(MESSAGES_PER_PAGE, remaining) if remaining is not None else MESSAGES_PER_PAGE
        reply = call(agent, timeout_s, "list", after=after, limit=limit, **options)
        yield from reply["messages"]
        after = reply["next"]
        if after is None:
            return
        remaining = remaining - limit if remaining is not None else None


def print_messages(rows: list[Any], output: Output) -> None:
    """Print messages as a table or as JSON."""
    if output is Output.JSON:
        print_json(rows)
        return
    output_table = table(
        "id", "status", "kind", "redrive", ">destination", "class", "account", ">age s", ">redrives", "why"
    )
    for row in rows:
        age_s = time.time() - row["given_up_at"]
        redrive = row["wanted_by"] or "-" if row["may_go"] else "no"
        output_table.add_row(
            row["id"],
            row["stand"],
            row["kind"],
            redrive,
            str(row["destination"]),
            row["class"],
            row["account"],
            f"{age_s:.0f}",
            str(row["resends"]),
            row["why"],
        )
    console.print(output_table)
