"""Selects the agents that a command addresses, and turns their failures into error messages and exit codes."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import typer

from juniperward.agent.client import AgentRejectedError, AgentUnreachableError, request_all
from juniperward.cli.output import ExitCode, errors, short_name
from juniperward.settings.load import SettingsError, load

SETTINGS_SUFFIX = ".textproto"


def sockets_of(agents: list[Path] | None) -> list[Path]:
    """Return the control sockets of the given agents, or of the only settings file in the working directory.

    An agent is given by its socket or by its settings file. Exits with USAGE if a settings file cannot be read, or if
    no agent is given and the working directory does not have exactly one settings file.
    """
    if not agents:
        agents = sorted(Path().glob(f"*{SETTINGS_SUFFIX}"))
        if len(agents) != 1:
            errors.print(
                "no agent given: use --agent SOCKET or --agent FILE.textproto, or set JUNIPERWARD_AGENT"
            )
            raise typer.Exit(ExitCode.USAGE)
    return [_socket(path) for path in agents]


def _socket(path: Path) -> Path:
    if path.suffix != SETTINGS_SUFFIX:
        return path
    try:
        return load(path).socket
    except SettingsError as error:
        errors.print(str(error), markup=False, highlight=False, soft_wrap=True)
        raise typer.Exit(ExitCode.USAGE) from None


@contextmanager
def exit_on_failure(agent: Path | None = None) -> Iterator[None]:
    """Print why a request failed and exit with UNRESPONSIVE or REJECTED.

    Where `agent` is given, its name precedes the message.
    """
    prefix = f"{short_name(agent)}: " if agent is not None else ""
    try:
        yield
    except AgentUnreachableError as error:
        errors.print(f"{prefix}{error}", markup=False)
        raise typer.Exit(ExitCode.UNRESPONSIVE) from None
    except AgentRejectedError as error:
        errors.print(f"{prefix}{error}", markup=False)
        raise typer.Exit(ExitCode.REJECTED) from None


def owners(paths: list[Path], names: list[str], timeout_s: float) -> list[tuple[Path, list[str]]]:
    """Return the agents that run the named instances, each with its part of the names.

    A single agent, or an empty list of names, is not checked: every agent is returned with all the names. Otherwise
    exits with REJECTED if no agent has one of the instances, and with UNRESPONSIVE if an agent that may have it did
    not answer.
    """
    if len(paths) == 1 or not names:
        return [(path, names) for path in paths]
    agents: list[tuple[Path, list[str]]] = []
    missing = set(names)
    replies = request_all(paths, "status", timeout_s=timeout_s)
    for reply in replies:
        instances = {row["name"] for row in reply.body.get("instances", [])}
        owned = [name for name in names if name in instances]
        missing -= set(owned)
        if owned:
            agents.append((reply.agent, owned))
    if missing:
        unresponsive = [short_name(reply.agent) for reply in replies if reply.error]
        hint = f" ({', '.join(unresponsive)} did not answer)" if unresponsive else ""
        errors.print(f"no such instance: {', '.join(sorted(missing))}{hint}", markup=False)
        raise typer.Exit(ExitCode.UNRESPONSIVE if unresponsive else ExitCode.REJECTED)
    return agents


def owner(paths: list[Path], name: str, timeout_s: float) -> Path:
    """Return the agent that runs the named instance; exits as `owners` does if there is none."""
    ((path, _),) = owners(paths, [name], timeout_s)[:1]
    return path
