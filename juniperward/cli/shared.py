"""What the sub-commands share: exit codes, output, and which agents are meant."""

from __future__ import annotations

import dataclasses
import inspect
import json
from collections.abc import Callable
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Any, TypeVar, get_type_hints

import typer
from rich.console import Console
from rich.table import Table

from juniperward.agent.client import InstanceReply
from juniperward.settings.load import SettingsError, load

DONE, REFUSED, USAGE, SILENT, PAUSED = 0, 1, 2, 3, 4  # exit codes, as docs/operators.md has them

console = Console()
errors = Console(stderr=True)
OptionsT = TypeVar("OptionsT")


def command_of_options(options_type: type[OptionsT], body: Callable[[OptionsT], None]) -> Callable[..., None]:
    """Return a typer command whose parameters are the fields of the frozen dataclass `options_type`.

    Typer reads a command's arguments and options from its signature and type hints; these are built here from
    the dataclass's fields (each `Annotated` with its `typer.Argument` or `typer.Option`), so that the options
    are built in one place, as one value that `body` is given. The command's help is `body`'s docstring.
    """
    hints = get_type_hints(options_type, include_extras=True)
    parameters = [
        inspect.Parameter(
            field.name,
            inspect.Parameter.KEYWORD_ONLY,
            default=inspect.Parameter.empty if field.default is dataclasses.MISSING else field.default,
            annotation=hints[field.name],
        )
        for field in dataclasses.fields(options_type)  # type: ignore[arg-type]
    ]

    def command(**values: Any) -> None:
        body(options_type(**values))

    command.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
    command.__annotations__ = {parameter.name: parameter.annotation for parameter in parameters}
    command.__doc__ = body.__doc__
    command.__name__ = body.__name__.lstrip("_")
    return command


class Output(StrEnum):
    """The form of what is printed."""

    TABLE = "table"
    JSON = "json"


OutputOption = Annotated[Output, typer.Option("--output", "-o", help="A table for people, or stable JSON.")]
AgentOption = Annotated[
    list[Path] | None,
    typer.Option(
        "--agent",
        "-a",
        envvar="JUNIPERWARD_AGENT",
        help="An agent's socket, or its settings file; may be repeated.",
    ),
]
TimeOption = Annotated[float, typer.Option("--timeout", "-t", help="Seconds that every agent has to answer.")]
NamesArgument = Annotated[list[str] | None, typer.Argument(help="Instances; all of them if none is named.")]


def print_json(value: Any) -> None:
    """One JSON value on standard output."""
    typer.echo(json.dumps(value, indent=2, sort_keys=True))


def sockets_of(agents: list[Path] | None) -> list[Path]:
    """The sockets meant; exit code 2 where a settings file cannot be read or nothing is named."""
    if not agents:
        here = sorted(Path().glob("*.textproto"))
        if len(here) != 1:
            errors.print("name an agent: --agent SOCKET or --agent FILE.textproto, or set JUNIPERWARD_AGENT")
            raise typer.Exit(USAGE)
        agents = here
    found = []
    for path in agents:
        if path.suffix == ".textproto":
            try:
                found.append(load(path).socket)
            except SettingsError as error:
                errors.print(str(error), markup=False, highlight=False, soft_wrap=True)
                raise typer.Exit(USAGE) from None
        else:
            found.append(path)
    return found


def code_of(replies: list[InstanceReply]) -> int:
    """The exit code that several answers make together: silence counts most."""
    if any(t.silent for t in replies):
        return SILENT
    return REFUSED if any(t.error for t in replies) else DONE


def table(*columns: str, title: str | None = None) -> Table:
    """A table in the tool's one style; numbers stand right."""
    made = Table(title=title, box=None, pad_edge=False, header_style="bold")
    for name in columns:
        made.add_column(
            name.lstrip(">"), justify="right" if name.startswith(">") else "left", overflow="fold"
        )
    return made


def width(value: Any) -> str:
    """A cell; what is not known is a dash."""
    if value is None:
        return "-"
    return f"{value:.1f}" if isinstance(value, float) else str(value)


def short(path: Path) -> str:
    """An agent's name in a table: its fleet's folder."""
    return path.parent.name or str(path)
