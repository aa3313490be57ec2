"""Commands whose arguments and options are the fields of one frozen dataclass.

Typer reads a command's parameters from its signature. A command here takes one value instead, of a dataclass whose
fields are `Annotated` with their `typer.Argument` or `typer.Option`; `from_options` makes of it what typer reads.
"""

from __future__ import annotations

import dataclasses
import inspect
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any, TypeVar, get_type_hints

import typer

from juniperward.cli.output import Output

OptionsT = TypeVar("OptionsT")

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


@dataclasses.dataclass(frozen=True)
class AgentOptions:
    """The options of each command that requests something of agents."""

    agent: AgentOption = None
    output: OutputOption = Output.TABLE
    timeout_s: TimeOption = 5.0


def from_options(body: Callable[[OptionsT], None]) -> Callable[..., None]:
    """Return a typer command for `body`, whose one parameter is a frozen dataclass of arguments and options.

    The command's parameters are the dataclass's fields, in their order and with their defaults; its name and its
    help are the name and the docstring of `body`.
    """
    (options_type,) = (kind for name, kind in get_type_hints(body).items() if name != "return")
    hints = get_type_hints(options_type, include_extras=True)
    parameters = [
        inspect.Parameter(
            field.name,
            inspect.Parameter.KEYWORD_ONLY,
            default=inspect.Parameter.empty if field.default is dataclasses.MISSING else field.default,
            annotation=hints[field.name],
        )
        for field in dataclasses.fields(options_type)
    ]

    def command(**values: Any) -> None:
        body(options_type(**values))

    command.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
    command.__annotations__ = {parameter.name: parameter.annotation for parameter in parameters}
    command.__doc__ = body.__doc__
    command.__name__ = body.__name__
    return command
