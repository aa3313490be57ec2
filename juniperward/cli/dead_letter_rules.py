"""`juniperward dead-letters rules`: which messages rules would redrive, before an agent has them."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from juniperward.cli.dead_letter_access import call
from juniperward.cli.options import AgentOption, OutputOption, TimeOption
from juniperward.cli.output import ExitCode, Output, console, print_json, table
from juniperward.settings.load import SettingsError, load

app = typer.Typer(help="Rules of redrives.", no_args_is_help=True)


@app.command("check")
def rules_check(file: Annotated[Path, typer.Argument(help="A fleet's settings.")]) -> None:
    """Say what is wrong with a file's rules, with line and field. Exit code 2 if anything is."""
    try:
        found = load(file).redrive
    except SettingsError as error:
        console.print(str(error), markup=False, highlight=False, soft_wrap=True)
        raise typer.Exit(ExitCode.USAGE) from None
    verdict = f"good, {len(found.rules)} rules" if found is not None else "nothing is kept"
    console.print(f"{file}: {verdict}", markup=False)


@app.command("simulate")
def rules_simulate(
    file: Annotated[Path, typer.Argument(help="A fleet's settings.")],
    agent: AgentOption = None,
    output: OutputOption = Output.TABLE,
    timeout: TimeOption = 30.0,
) -> None:
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
