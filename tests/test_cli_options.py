"""Tests that each command has its options with their defaults, and that former options still work."""

from __future__ import annotations

from pathlib import Path
from typing import Any
from unittest import mock

import pytest
import typer
from typer.testing import CliRunner

from juniperward.cli import dead_letter_orders, dead_letters
from juniperward.cli.main import app

AGENT: dict[str, object] = {"--agent -a": None, "--output -o": "table", "--timeout -t": 5.0}
FILTERS: dict[str, object] = {"--destination": None, "--class": None, "--account": None, "--since": None}
BULK = {**AGENT, **FILTERS, "--all": False, "--dry-run": False}
REDRIVE = {**BULK, "--same-destination": False}
RUNS: dict[str, object] = {"--out": Path("lab.run"), "--processes": None}
SHOWN: dict[str, dict[str, object]] = {
    "dead-letters list": {**AGENT, **FILTERS, "--status": None, "--key": None, "--most -n": 100},
    "dead-letters show": {**AGENT, "--body": False},
    "dead-letters redrive": REDRIVE,
    "dead-letters resend": REDRIVE,
    "dead-letters discard": BULK,
    "dead-letters undo": AGENT,
    "dead-letters settle": {
        "--why": None,
        "--delivered --not-delivered": None,
        "--agent -a": None,
        "--timeout -t": 5.0,
    },
    "dead-letters stats": AGENT,
    "dead-letters export": {
        "--agent -a": None,
        "--timeout -t": 5.0,
        "--status": None,
        "--destination": None,
        "--since": None,
    },
    "dead-letters audit": {**AGENT, "--since": 0},
    "dead-letters check": {"--agent -a": None, "--timeout -t": 60.0},
    "dead-letters backup": {"--agent -a": None, "--timeout -t": 60.0},
    "fleet roll": {
        **AGENT,
        "--at-once": None,
        "--floor": None,
        "--soak": None,
        "--drain": None,
        "--kill --no-kill": False,
        "--dry-run": False,
        "--wait --no-wait": True,
    },
    "fleet restart": {**AGENT, "--wait --no-wait": True},
    "simulate list": {"--output -o": "table"},
    "simulate run": {"--policy -p": "juniperward", "--seed": 1, "--output -o": "table"},
    "simulate sweep": {**RUNS, "--policy -p": None, "--seeds": 5, "--output -o": "table"},
    "simulate compare": {**RUNS, "--scenario -s": None, "--seeds": 10, "--output -o": "table"},
    "simulate report": {**RUNS, "--scenario -s": None, "--policy -p": None, "--seeds": 5},
    "simulate replay": {"--policy -p": "juniperward", "--seed": 1, "--out": Path("lab.run")},
    "simulate search": {
        "--rounds": 200,
        "--policy -p": "juniperward",
        "--seed": 1,
        "--keep": 2,
        "--folder": Path("scenarios/found"),
        "--processes": None,
    },
    "simulate traces": {"--destination": None},
}
FORMER = {
    "dead-letters list": {"--stand"},
    "dead-letters export": {"--stand"},
    "dead-letters redrive": {"--same-partner"},
    "dead-letters resend": {"--same-partner"},
    "simulate traces": {"--partner"},
}


def command(path: str) -> Any:
    found: Any = typer.main.get_command(app)
    for name in path.split():
        found = found.commands[name]
    return found


def options(path: str, hidden: bool) -> dict[str, object]:
    """Return the defaults of a command's options, by the options' names."""
    return {
        " ".join([*parameter.opts, *parameter.secondary_opts]): parameter.default
        for parameter in command(path).params
        if parameter.opts[0].startswith("-") and bool(parameter.hidden) is hidden
    }


@pytest.mark.parametrize("path", SHOWN)
def test_a_command_has_its_options_with_their_defaults(path: str) -> None:
    assert options(path, hidden=False) == SHOWN[path]


@pytest.mark.parametrize("path", SHOWN)
def test_former_options_are_hidden_and_no_others_are(path: str) -> None:
    assert set(options(path, hidden=True)) == FORMER.get(path, set())


def test_every_command_of_two_groups_has_expected_options() -> None:
    groups = ("dead-letters", "simulate")
    paths = {f"{group} {name}" for group in groups for name in command(group).commands}
    assert paths - set(SHOWN) == {"dead-letters rules", "simulate hunt"}


@pytest.mark.parametrize("option", ["--status", "--stand"])
def test_a_status_is_selected_by_the_present_and_the_former_option(option: str) -> None:
    with mock.patch.object(dead_letters, "pages", return_value=iter(())) as pages:
        result = CliRunner().invoke(app, ["dead-letters", "list", option, "delivered", "-a", "x.sock"])
    assert result.exit_code == 0, result.output
    assert pages.call_args.kwargs == {"stand": "delivered"}


@pytest.mark.parametrize("option", ["--same-destination", "--same-partner"])
def test_a_destination_is_confirmed_by_the_present_and_the_former_option(option: str) -> None:
    call = mock.Mock(return_value={"asked": 1})
    with (
        mock.patch.object(dead_letter_orders, "pages", return_value=iter([{"id": "m1"}])),
        mock.patch.object(dead_letter_orders, "call", call),
    ):
        result = CliRunner().invoke(app, ["dead-letters", "redrive", "m1", option, "-a", "x.sock"])
    assert result.exit_code == 0, result.output
    assert call.call_args.kwargs == {"ids": ["m1"], "partner_sure": True}


@pytest.mark.parametrize("option", ["--destination", "--partner"])
def test_traces_of_a_destination_are_chosen_by_the_present_and_the_former_option(
    option: str, tmp_path: Path
) -> None:
    (tmp_path / "n0.log").touch()
    with mock.patch("juniperward.benchmarks.trace_counts.format_tables", return_value="") as tables:
        result = CliRunner().invoke(app, ["simulate", "traces", str(tmp_path), option, "0"])
    assert result.exit_code == 0, result.output
    assert tables.call_args.args[1] == 0
