"""Implements `juniperward config`, which checks and prints settings files without an agent."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import typer

from juniperward.cli.options import OutputOption
from juniperward.cli.output import ExitCode, Output, console, print_json
from juniperward.settings.faults import Fault
from juniperward.settings.load import SettingsError, format_settings, load

app = typer.Typer(help="Check and print settings files.", no_args_is_help=True)
FileArgument = Annotated[Path, typer.Argument(help="A fleet's settings file, in protobuf text format.")]


@app.command()
def check(file: FileArgument, output: OutputOption = Output.TABLE) -> None:
    """List all errors in a settings file, each with its line and field. Exit code 2 if there are any."""
    try:
        settings = load(file)
    except SettingsError as error:
        if output is Output.JSON:
            print_json({"ok": False, "faults": [_fault_row(fault) for fault in error.faults]})
        else:
            for fault in error.faults:
                console.print(str(fault), markup=False, highlight=False, soft_wrap=True)
        raise typer.Exit(ExitCode.USAGE) from None
    if output is Output.JSON:
        print_json({"ok": True, "instances": len(settings.instances)})
    else:
        console.print(f"{file}: valid, {len(settings.instances)} instances", markup=False, highlight=False)


def _fault_row(fault: Fault) -> dict[str, Any]:
    return {"file": fault.file, "line": fault.line, "field": fault.field, "why": fault.text}


@app.command("show")
def show_effective(file: FileArgument) -> None:
    """Print the effective settings of a file, including all defaults."""
    try:
        typer.echo(format_settings(load(file)), nl=False)
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.USAGE) from None


@app.command()
def schema() -> None:
    """Print the schema of settings files, with its comments."""
    typer.echo((Path(__file__).parent.parent / "settings" / "fleet.proto").read_text(), nl=False)
