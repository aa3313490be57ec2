"""The console script `juniperward`: its sub-commands, put together."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import typer

from juniperward.cli import config, dead_letters, fleet, simulation
from juniperward.cli.options import from_options

app = typer.Typer(
    name="juniperward",
    help="Manages many forwarders: an agent on each machine, and commands that query and control it.",
    no_args_is_help=True,
    pretty_exceptions_show_locals=False,
)
agent = typer.Typer(help="The agent of this machine.", no_args_is_help=True)
app.add_typer(agent, name="agent")
app.add_typer(fleet.app, name="fleet")
app.add_typer(config.app, name="config")
app.add_typer(dead_letters.app, name="dead-letters")
app.add_typer(simulation.app, name="simulate")
# The former names, read for one release.
app.add_typer(dead_letters.app, name="kept", hidden=True, deprecated=True)
app.add_typer(simulation.app, name="lab", hidden=True, deprecated=True)


@agent.command("run")
def agent_run(
    file: Annotated[Path, typer.Argument(help="The fleet's settings, protobuf text format.")],
    json: Annotated[bool | None, typer.Option("--json/--plain", help="The form of the log's lines.")] = None,
) -> None:
    """Keep the instances of a settings file running, until it is shut down; they go on after it."""
    from juniperward.agent.start import main as run

    raise typer.Exit(run(file, json))


@app.command()
def demo(
    rate: Annotated[float, typer.Option(help="Messages a second.")] = 60.0,
    folder: Annotated[Path | None, typer.Option("--keep", help="Keep all files in this folder.")] = None,
) -> None:
    """Start an agent, three forwarders, discovery and destinations; roll all three under load; judge the run."""
    from juniperward.benchmarks.demo import demo as play

    raise typer.Exit(play(rate, folder))


@dataclass(frozen=True)
class MeasureOptions:
    """The arguments of `juniperward measure`: which measurement, its seed and folder, and its sizes."""

    name: Annotated[str, typer.Argument(help="Which; a wrong one is answered with all names.")]
    seed: Annotated[int, typer.Option(help="Of the load and of the faults.")] = 1
    out: Annotated[Path, typer.Option(help="Folder of the results.")] = Path("docs/measurements")
    rounds: Annotated[
        int | None,
        typer.Option(help="chaos: kills; dead-letters, slow-start: seeds; dead-letter-store: messages."),
    ] = None
    rate: Annotated[float | None, typer.Option(help="rolls, chaos, capacity: messages a second.")] = None
    outage_s: Annotated[
        float | None, typer.Option("--away", help="dead-letters: seconds for which the destination is away.")
    ] = None


@app.command()
@from_options
def measure(options: MeasureOptions) -> None:
    """Run a long measurement on this machine and write its table to a page. Exit code 1 if an invariant broke."""
    from juniperward.benchmarks.measurements import FORMER_NAMES, MEASUREMENTS

    name = FORMER_NAMES.get(options.name, options.name)
    if name not in MEASUREMENTS:
        why = f"{name!r} is none of {', '.join(MEASUREMENTS)}"
        raise typer.BadParameter(why, param_hint="NAME")
    sizes = (("rounds", options.rounds), ("rate", options.rate), ("away", options.outage_s))
    more = {key: value for key, value in sizes if value is not None}
    raise typer.Exit(0 if MEASUREMENTS[name](options.seed, options.out, **more) else 1)


def main() -> int:
    """Run the tool; it ends the process with its own exit code where that is not 0."""
    app()
    return 0
