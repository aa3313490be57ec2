"""The console script `juniperward` and its groups of commands."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import typer

from juniperward.cli import config, dead_letters, fleet, simulation
from juniperward.cli.options import from_options

app = typer.Typer(
    name="juniperward",
    help="Manages fleets of forwarders through an agent on each machine.",
    no_args_is_help=True,
    pretty_exceptions_show_locals=False,
)
agent = typer.Typer(help="Run the agent of this machine.", no_args_is_help=True)
app.add_typer(agent, name="agent")
app.add_typer(fleet.app, name="fleet")
app.add_typer(config.app, name="config")
app.add_typer(dead_letters.app, name="dead-letters")
app.add_typer(simulation.app, name="simulate")
# The former names, which are supported for one more release.
app.add_typer(dead_letters.app, name="kept", hidden=True, deprecated=True)
app.add_typer(simulation.app, name="lab", hidden=True, deprecated=True)


@agent.command("run")
def agent_run(
    file: Annotated[Path, typer.Argument(help="The fleet's settings file, in protobuf text format.")],
    json_log: Annotated[
        bool | None, typer.Option("--json/--plain", help="Log JSON lines or plain text.")
    ] = None,
) -> None:
    """Run the agent, which keeps the instances of a settings file running.

    The instances keep running when the agent shuts down.
    """
    from juniperward.agent.start import main as run

    raise typer.Exit(run(file, json_log))


@app.command()
def demo(
    rate: Annotated[float, typer.Option(help="Messages per second.")] = 60.0,
    folder: Annotated[
        Path | None, typer.Option("--keep", help="Write all files to this folder and keep them.")
    ] = None,
) -> None:
    """Run a local cluster with three forwarders, roll them under load, and check the records of the run."""
    from juniperward.benchmarks.demo import demo as run_demo

    raise typer.Exit(run_demo(rate, folder))


@dataclass(frozen=True)
class MeasureOptions:
    """The arguments of `measure`."""

    name: Annotated[str, typer.Argument(help="The measurement's name; an unknown name lists all of them.")]
    seed: Annotated[int, typer.Option(help="Seed of the load and the faults.")] = 1
    out: Annotated[Path, typer.Option(help="Folder for the results.")] = Path("docs/measurements")
    rounds: Annotated[
        int | None,
        typer.Option(
            help="Number of kills (chaos), seeds (dead-letters, memory-soak, slow-start) or messages "
            "(dead-letter-store)."
        ),
    ] = None
    rate: Annotated[float | None, typer.Option(help="Messages per second (rolls, chaos, capacity).")] = None
    outage_s: Annotated[
        float | None, typer.Option("--away", help="Seconds of the destination's outage (dead-letters).")
    ] = None


@app.command()
@from_options
def measure(options: MeasureOptions) -> None:
    """Run a measurement on this machine and write a page of results. Exit code 1 if an invariant was violated."""
    from juniperward.benchmarks.measurements import FORMER_NAMES, MEASUREMENTS

    name = FORMER_NAMES.get(options.name, options.name)
    if name not in MEASUREMENTS:
        why = f"{name!r} must be one of {', '.join(MEASUREMENTS)}"
        raise typer.BadParameter(why, param_hint="NAME")
    sizes = (("rounds", options.rounds), ("rate", options.rate), ("away", options.outage_s))
    size_options = {key: value for key, value in sizes if value is not None}
    raise typer.Exit(0 if MEASUREMENTS[name](options.seed, options.out, **size_options) else 1)


def main() -> int:
    """Run the command line and return 0; typer exits the process itself after a command or an error."""
    app()
    return 0
