"""Implements `juniperward dead-letters rules`, which tests redrive rules before an agent applies them."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from juniperward.cli.dead_letter_access import call
from juniperward.cli.options import AgentOption, OutputOption, TimeOption
from juniperward.cli.output import ExitCode, Output, console, print_json, table
from juniperward.settings.load import SettingsError, load

app = typer.Typer(help="Check and simulate redrive rules.", no_args_is_help=True)


@app.command("check")
def rules_check(file: Annotated[Path, typer.Argument(help="A fleet's settings file.")]) -> None:
    """List the errors in a settings file, each with its line and field. Exit code 2 if there are any."""
    try:
        redrive = load(file).redrive
    except SettingsError as error:
        console.print(str(error), markup=False, highlight=False, soft_wrap=True)
        raise typer.Exit(ExitCode.USAGE) from None
    verdict = (
        f"valid, {len(redrive.rules)} rules" if redrive is not None else "valid, dead letters are disabled"
    )
    console.print(f"{file}: {verdict}", markup=False)


@app.command("simulate")
def rules_simulate(
    file: Annotated[Path, typer.Argument(help="A fleet's settings file.")],
    agent: AgentOption = None,
    output: OutputOption = Output.TABLE,
    timeout: TimeOption = 30.0,
) -> None:
    """Show what a file's rules would redrive now, and what prevents other redrives, without sending anything."""
    reply = call(agent, timeout, "simulate", file=str(file.resolve()))
    if output is Output.JSON:
        print_json(reply)
        return
    output_table = table("rule", ">destination", ">messages")
    for rule, counts in reply["go"].items():
        for destination, count in counts.items():
            output_table.add_row(rule, destination, str(count))
    console.print(output_table)
    for why, count in reply["stay"].items():
        console.print(f"{count} not redriven: {why}", markup=False)
