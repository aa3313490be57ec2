"""Options that several commands share, and commands that take all their options as one dataclass.

Typer derives a command's parameters from the signature of a function. `from_options` builds such a function from
one that takes a frozen dataclass, whose fields are `Annotated` with their `typer.Argument` or `typer.Option`.
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

OutputOption = Annotated[Output, typer.Option("--output", "-o", help="A table, or JSON for scripts.")]
AgentOption = Annotated[
    list[Path] | None,
    typer.Option(
        "--agent",
        "-a",
        envvar="JUNIPERWARD_AGENT",
        help="An agent's socket or settings file; may be repeated.",
    ),
]
TimeOption = Annotated[
    float, typer.Option("--timeout", "-t", help="Seconds to wait for each agent's answer.")
]
NamesArgument = Annotated[list[str] | None, typer.Argument(help="Names of instances; default: all.")]


@dataclasses.dataclass(frozen=True)
class AgentOptions:
    """The options that commands for agents share."""

    agent: AgentOption = None
    output: OutputOption = Output.TABLE
    timeout_s: TimeOption = 5.0


def from_options(body: Callable[[OptionsT], None]) -> Callable[..., None]:
    """Return a typer command for `body`, whose one parameter is a frozen dataclass of arguments and options.

    The command's parameters are the fields of the dataclass, with their order and defaults. Its name and help text
    are the name and the docstring of `body`.
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
        """Call `body` with the options as one object."""
        body(options_type(**values))

    command.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
    command.__annotations__ = {parameter.name: parameter.annotation for parameter in parameters}
    command.__doc__ = body.__doc__
    command.__name__ = body.__name__
    return command
