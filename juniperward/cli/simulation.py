"""`juniperward simulate`: runs in simulated time; experiments of many runs are in `experiments.py`."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.progress import Progress

from juniperward.cli import experiments
from juniperward.cli.experiments import (
    DEFAULT_FOLDER,
    OutOption,
    ProcessesOption,
    load_scenarios,
    policy_names,
)
from juniperward.cli.options import OutputOption, from_options
from juniperward.cli.output import ExitCode, Output, console, errors, print_json, table

SHOWN_CHARACTERS = 60  # of a figure that differs
NOT_SHOWN = ("by_second", "version")  # fields of a result that a table has no room for

PolicyOption = Annotated[str, typer.Option("--policy", "-p")]
SeedOption = Annotated[int, typer.Option()]

app = typer.Typer(help="Experiments on a model of the world, in simulated time.", no_args_is_help=True)


class ResultMissingError(ValueError):
    """A folder has no such result."""

    def __init__(self, out: Path, scenario: str, policy: str, seed: int) -> None:
        """Take what was looked for."""
        self.out, self.scenario, self.policy, self.seed = out, scenario, policy, seed
        super().__init__(f"{out}: no result of {scenario} under {policy} with seed {seed}")


@app.command("list")
def list_scenarios(output: OutputOption = Output.TABLE) -> None:
    """Name the scenarios and policies."""
    from juniperward.simulation.policies import POLICIES

    scenarios = load_scenarios(None)
    if output is Output.JSON:
        rows = [{"scenario": scenario.name, "shows": scenario.description} for scenario in scenarios]
        print_json({"scenarios": rows, "policies": list(POLICIES)})
        return
    made = table("scenario", "shows")
    for scenario in scenarios:
        made.add_row(scenario.name, scenario.description)
    console.print(made)
    console.print(f"policies: {', '.join(POLICIES)}", markup=False)


@app.command()
def run(
    scenario: Annotated[Path, typer.Argument(help="A scenario file.")],
    policy: PolicyOption = "juniperward",
    seed: SeedOption = 1,
    output: OutputOption = Output.TABLE,
) -> None:
    """Run one scenario once and show its results. The same seed gives the same run."""
    from juniperward.simulation.experiment import run_scenario
    from juniperward.simulation.result import Result, to_row

    (loaded,) = load_scenarios([scenario])
    (chosen,) = policy_names([policy])
    result = run_scenario(loaded.text, str(scenario), chosen, seed)
    if output is Output.JSON:
        print_json({name: value for name, value in to_row(result).items() if name != "v"})
        return
    made = table("what", "value", title=f"{loaded.name}: {loaded.description}")
    shown = {name: getattr(result, name) for name in Result.__slots__ if name not in NOT_SHOWN}
    for key, value in shown.items():
        made.add_row(key, f"{value:.4f}" if isinstance(value, float) else json.dumps(value))
    console.print(made)


app.command("sweep")(experiments.sweep)
app.command("compare")(experiments.compare)
app.command("report")(experiments.report)


def _find(rows: list[Any], out: Path, scenario: str, policy: str, seed: int) -> Any:
    """Return the latest result of a run; raises ResultMissingError."""
    found = [row for row in rows if (row.scenario, row.policy, row.seed) == (scenario, policy, seed)]
    if not found:
        raise ResultMissingError(out, scenario, policy, seed)
    return found[-1]


@app.command()
def replay(
    scenario: Annotated[str, typer.Argument(help="A scenario's name, as in the results.")],
    policy: PolicyOption = "juniperward",
    seed: SeedOption = 1,
    out: OutOption = DEFAULT_FOLDER,
) -> None:
    """Run one stored result again from its own text. Exit code 1, and what differs, if it comes out otherwise."""
    from juniperward.simulation.experiment import replay as run_again
    from juniperward.simulation.experiment import revision
    from juniperward.simulation.result_store import PARQUET_FILE, read_parquet

    try:
        rows = read_parquet(out / PARQUET_FILE)
        stored = _find(rows, out, scenario, policy, seed)
        differences = run_again(stored)
    except (OSError, ValueError) as error:
        errors.print(str(error), markup=False)
        raise typer.Exit(ExitCode.REJECTED) from None
    console.print(f"then: {stored.revision} on {stored.machine}", markup=False, highlight=False)
    console.print(f"now:  {revision()}", markup=False, highlight=False)
    for name, (then, now) in differences.items():
        figures = f"{str(then)[:SHOWN_CHARACTERS]} then, {str(now)[:SHOWN_CHARACTERS]} now"
        console.print(f"{name}: {figures}", markup=False)
    console.print("the same" if not differences else f"{len(differences)} figures differ")
    raise typer.Exit(ExitCode.REJECTED if differences else ExitCode.DONE)


@dataclass(frozen=True)
class SearchOptions:
    """The arguments of `search`."""

    rounds: Annotated[int, typer.Option(help="Days to play.")] = 200
    policy: PolicyOption = "juniperward"
    seed: SeedOption = 1
    saved_count: Annotated[
        int, typer.Option("--keep", help="So many of the worst are made small and kept.")
    ] = 2
    folder: Annotated[Path, typer.Option(help="Where they are kept.")] = Path("scenarios/found")
    processes: ProcessesOption = None


@app.command("hunt", hidden=True, deprecated=True)  # the former name, read for one release
@app.command()
@from_options
def search(options: SearchOptions) -> None:
    """Search for days on which a policy delivers much less than the oracle; minimise the worst, and store them."""
    from juniperward.simulation.search import minimize, save
    from juniperward.simulation.search import search as search_scenarios

    (policy,) = policy_names([options.policy])
    with Progress(console=errors, transient=True) as progress:
        task = progress.add_task("days", total=options.rounds)

        def show_progress(done: int, found: Any) -> None:
            progress.update(task, completed=done, description=f"regret {found.regret:.3f}")

        worst = search_scenarios(policy, options.rounds, options.seed, options.processes, show_progress)
    for found in worst[: options.saved_count]:
        small = minimize(found, policy)
        file = save(small, policy, options.folder)
        regrets = f"regret {found.regret:.3f}, made small {small.regret:.3f}"
        console.print(f"{file}: {regrets}; seed {small.seed}", markup=False)


@app.command()
def traces(
    folder: Annotated[
        Path, typer.Argument(help="Logs, a NAME.log of each forwarder, with ROUTER_TRACE set.")
    ],
    destination: Annotated[int | None, typer.Option(help="Only this destination, by second.")] = None,
    former_destination: Annotated[int | None, typer.Option("--partner", hidden=True)] = None,
) -> None:
    """Count what a whole fleet did, by second and by destination, from the traces of its forwarders."""
    from juniperward.benchmarks.trace_counts import format_tables
    from juniperward.benchmarks.traces import read_folder

    if not any(folder.glob("*.log")):
        errors.print(f"{folder}: no *.log in it", markup=False)
        raise typer.Exit(ExitCode.USAGE)
    chosen = destination if destination is not None else former_destination
    typer.echo(format_tables(read_folder(folder), chosen))
