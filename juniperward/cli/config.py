"""`juniperward config`: checks and shows settings files without an agent."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import typer

from juniperward.cli.options import OutputOption
from juniperward.cli.output import ExitCode, Output, console, print_json
from juniperward.settings.faults import Fault
from juniperward.settings.load import SettingsError, format_settings, load

app = typer.Typer(help="Check and show settings files.", no_args_is_help=True)
FileArgument = Annotated[Path, typer.Argument(help="A fleet's settings, protobuf text format.")]


@app.command()
def check(file: FileArgument, output: OutputOption = Output.TABLE) -> None:
    """Say all that is wrong with a file: its line, its field, and why. Exit code 2 if anything is."""
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
        console.print(f"{file}: good, {len(settings.instances)} instances", markup=False, highlight=False)


def _fault_row(fault: Fault) -> dict[str, Any]:
    return {"file": fault.file, "line": fault.line, "field": fault.field, "why": fault.text}


@app.command("show")
def show_understood(file: FileArgument) -> None:
    """Print a file as it is understood, with every default filled in."""
    try:
        typer.echo(format_settings(load(file)), nl=False)
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.USAGE) from None


@app.command()
def schema() -> None:
    """Print the commented schema of the settings."""
    typer.echo((Path(__file__).parent.parent / "settings" / "fleet.proto").read_text(), nl=False)
