"""Tables that show the status of a fleet, a roll and a single instance."""

from __future__ import annotations

from typing import Any

from rich.table import Table

from juniperward.agent.client import AgentReply
from juniperward.cli.output import cell, console, short_name, table

STATE_COLOURS = {"ready": "green", "silent": "red", "failed": "red", "stopped": "yellow", "drained": "cyan"}


def status_table(replies: list[AgentReply]) -> Table:
    """Return a table with a row for each instance, and a row with the error for each agent that gave one."""
    output_table = table(
        "agent", "instance", "state", ">up s", ">pending", ">in flight", ">accepted", ">delivered", ">failed",
        ">rejected", ">given up", "why",
    )  # fmt: skip
    for reply in replies:
        if reply.error:
            output_table.add_row(
                short_name(reply.agent), "-", "[red]no answer[/red]", *["-"] * 8, reply.error
            )
            continue
        for row in reply.body["instances"]:
            output_table.add_row(*_instance_cells(short_name(reply.agent), row))
    return output_table


def _instance_cells(agent: str, row: dict[str, Any]) -> list[str]:
    colour = STATE_COLOURS.get(row["state"], "white")
    in_flight = "-" if row["calls_out"] is None else f"{row['calls_out']}/{row['slots']}"
    counts = ("taken_on", "delivered", "calls_failed", "turned_away", "given_up")
    return [
        agent,
        row["name"],
        f"[{colour}]{row['state']}[/{colour}]",
        cell(row["up"]),
        cell(row["held"]),
        in_flight,
        *(cell(row[name]) for name in counts),
        row["why"],
    ]


def replies_json(replies: list[AgentReply]) -> list[dict[str, Any]]:
    """Return the replies of several agents in the form that `--output json` prints."""
    return [{"agent": str(reply.agent), "error": reply.error or None, **reply.body} for reply in replies]


def roll_table(found: dict[str, Any]) -> Table:
    """Return a table of a roll's steps."""
    why = f": {found['why']}" if found["why"] else ""
    output_table = table(
        "instance", "stage", "previous version", "detail", title=f"roll {found['id']} is {found['mode']}{why}"
    )
    for step in found["steps"]:
        output_table.add_row(step["instance"], step["stage"], step["before"], step["note"])
    return output_table


def show_instance(found: dict[str, Any]) -> None:
    """Print what an instance reports about itself, and the requests that it did not answer."""
    if "status" in found:
        output_table = table("field", "value", title=found["name"])
        for key, value in found["status"].items():
            output_table.add_row(key, cell(value))
        console.print(output_table)
    for key in ("destinations", "workers"):
        rows = found.get(key) or []
        if rows:
            output_table = table(*rows[0], title=key)
            for row in rows:
                output_table.add_row(*(cell(value) for value in row.values()))
            console.print(output_table)
    if found.get("counters"):
        output_table = table("counter", ">count", title="counters")
        for key, value in found["counters"].items():
            output_table.add_row(key, str(value))
        console.print(output_table)
    for text in found["unanswered"]:
        console.print(f"no answer: {text}", style="red", markup=False)
