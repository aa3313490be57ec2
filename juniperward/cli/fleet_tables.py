"""Tables of the fleet's state, of a roll and of one instance."""

from __future__ import annotations

from typing import Any

from rich.table import Table

from juniperward.agent.client import AgentReply
from juniperward.cli.output import cell, console, short_name, table

COLOURS = {"ready": "green", "silent": "red", "failed": "red", "stopped": "yellow", "drained": "cyan"}


def status_table(replies: list[AgentReply]) -> Table:
    """Return one row an instance; an agent without an answer is one row that says so."""
    made = table(
        "agent", "instance", "state", ">up s", ">pending", ">in flight", ">accepted", ">delivered", ">failed",
        ">rejected", ">given up", "why",
    )  # fmt: skip
    for reply in replies:
        if reply.error:
            made.add_row(short_name(reply.agent), "-", "[red]no answer[/red]", *["-"] * 8, reply.error)
            continue
        for row in reply.body["instances"]:
            made.add_row(*_instance_cells(short_name(reply.agent), row))
    return made


def _instance_cells(agent: str, row: dict[str, Any]) -> list[str]:
    colour = COLOURS.get(row["state"], "white")
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
    """Return the stable form of several agents' answers."""
    return [{"agent": str(reply.agent), "error": reply.error or None, **reply.body} for reply in replies]


def roll_table(found: dict[str, Any]) -> Table:
    """Return the steps of a roll."""
    why = f": {found['why']}" if found["why"] else ""
    made = table(
        "instance", "stage", "ran before", "detail", title=f"roll {found['id']} is {found['mode']}{why}"
    )
    for step in found["steps"]:
        made.add_row(step["instance"], step["stage"], step["before"], step["note"])
    return made


def show_instance(found: dict[str, Any]) -> None:
    """Print all that an instance reports of itself, and what it did not answer."""
    if "status" in found:
        made = table("field", "value", title=found["name"])
        for key, value in found["status"].items():
            made.add_row(key, cell(value))
        console.print(made)
    for key in ("destinations", "workers"):
        rows = found.get(key) or []
        if rows:
            made = table(*rows[0], title=key)
            for row in rows:
                made.add_row(*(cell(value) for value in row.values()))
            console.print(made)
    if found.get("counters"):
        made = table("counter", ">count", title="counters")
        for key, value in found["counters"].items():
            made.add_row(key, str(value))
        console.print(made)
    for text in found["unanswered"]:
        console.print(f"no answer: {text}", style="red", markup=False)
