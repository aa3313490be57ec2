"""Implements `juniperward simulate`; its experiments with many runs are in `experiments.py`."""

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

MAX_FIGURE_CHARACTERS = 60
# Fields of a result that are omitted from its table.
OMITTED_FIELDS = ("by_second", "version")

PolicyOption = Annotated[str, typer.Option("--policy", "-p", help="The policy's name.")]
SeedOption = Annotated[int, typer.Option(help="Seed of the run.")]

app = typer.Typer(help="Simulate forwarders and destinations, and compare policies.", no_args_is_help=True)


class ResultMissingError(ValueError):
    """The folder of an experiment does not have the requested result."""

    def __init__(self, out: Path, scenario: str, policy: str, seed: int) -> None:
        """Name the result that was searched for."""
        self.out, self.scenario, self.policy, self.seed = out, scenario, policy, seed
        super().__init__(f"{out}: no result of scenario {scenario} under policy {policy} with seed {seed}")


@app.command("list")
def list_scenarios(output: OutputOption = Output.TABLE) -> None:
    """List the scenarios and policies."""
    from juniperward.simulation.policies import POLICIES

    scenarios = load_scenarios(None)
    if output is Output.JSON:
        rows = [{"scenario": scenario.name, "shows": scenario.description} for scenario in scenarios]
        print_json({"scenarios": rows, "policies": list(POLICIES)})
        return
    output_table = table("scenario", "description")
    for scenario in scenarios:
        output_table.add_row(scenario.name, scenario.description)
    console.print(output_table)
    console.print(f"policies: {', '.join(POLICIES)}", markup=False)


@app.command()
def run(
    scenario: Annotated[Path, typer.Argument(help="A scenario file.")],
    policy: PolicyOption = "juniperward",
    seed: SeedOption = 1,
    output: OutputOption = Output.TABLE,
) -> None:
    """Run a scenario once and show its results. Runs with the same seed are identical."""
    from juniperward.simulation.experiment import run_scenario
    from juniperward.simulation.result import Result, to_row

    (loaded,) = load_scenarios([scenario])
    (chosen,) = policy_names([policy])
    result = run_scenario(loaded.text, str(scenario), chosen, seed)
    if output is Output.JSON:
        print_json({name: value for name, value in to_row(result).items() if name != "v"})
        return
    output_table = table("field", "value", title=f"{loaded.name}: {loaded.description}")
    shown = {name: getattr(result, name) for name in Result.__slots__ if name not in OMITTED_FIELDS}
    for key, value in shown.items():
        output_table.add_row(key, f"{value:.4f}" if isinstance(value, float) else json.dumps(value))
    console.print(output_table)


app.command("sweep")(experiments.sweep)
app.command("compare")(experiments.compare)
app.command("report")(experiments.report)


def _latest_result(rows: list[Any], out: Path, scenario: str, policy: str, seed: int) -> Any:
    """Return the latest result of a run; raises ResultMissingError if there is none."""
    found = [row for row in rows if (row.scenario, row.policy, row.seed) == (scenario, policy, seed)]
    if not found:
        raise ResultMissingError(out, scenario, policy, seed)
    return found[-1]


@app.command()
def replay(
    scenario: Annotated[str, typer.Argument(help="The scenario's name.")],
    policy: PolicyOption = "juniperward",
    seed: SeedOption = 1,
    out: OutOption = DEFAULT_FOLDER,
) -> None:
    """Repeat a stored run and list the fields that differ from the stored result. Exit code 1 if any differ."""
    from juniperward.simulation.experiment import replay as run_again
    from juniperward.simulation.experiment import revision
    from juniperward.simulation.result_store import PARQUET_FILE, read_parquet

    try:
        rows = read_parquet(out / PARQUET_FILE)
        stored = _latest_result(rows, out, scenario, policy, seed)
        differences = run_again(stored)
    except (OSError, ValueError) as error:
        errors.print(str(error), markup=False)
        raise typer.Exit(ExitCode.REJECTED) from None
    console.print(f"stored:   {stored.revision} on {stored.machine}", markup=False, highlight=False)
    console.print(f"replayed: {revision()}", markup=False, highlight=False)
    for name, (stored_value, replayed_value) in differences.items():
        stored_text = str(stored_value)[:MAX_FIGURE_CHARACTERS]
        replayed_text = str(replayed_value)[:MAX_FIGURE_CHARACTERS]
        console.print(f"{name}: stored {stored_text}, replayed {replayed_text}", markup=False)
    console.print("the results are the same" if not differences else f"{len(differences)} fields differ")
    raise typer.Exit(ExitCode.REJECTED if differences else ExitCode.DONE)


@dataclass(frozen=True)
class SearchOptions:
    """The arguments of `search`."""

    rounds: Annotated[int, typer.Option(help="Number of scenarios to run.")] = 200
    policy: PolicyOption = "juniperward"
    seed: SeedOption = 1
    saved_count: Annotated[
        int, typer.Option("--keep", help="Number of the worst scenarios to minimize and save.")
    ] = 2
    folder: Annotated[Path, typer.Option(help="Folder for the saved scenarios.")] = Path("scenarios/found")
    processes: ProcessesOption = None


@app.command("hunt", hidden=True, deprecated=True)  # the former name, supported for one more release
@app.command()
@from_options
def search(options: SearchOptions) -> None:
    """Search for scenarios in which a policy delivers much less than the oracle; minimize and save the worst."""
    from juniperward.simulation.search import minimize, save
    from juniperward.simulation.search import search as search_scenarios

    (policy,) = policy_names([options.policy])
    with Progress(console=errors, transient=True) as progress:
        task = progress.add_task("scenarios", total=options.rounds)

        def show_progress(done: int, found: Any) -> None:
            """Show the number of scenarios run, and the worst regret so far."""
            progress.update(task, completed=done, description=f"regret {found.regret:.3f}")

        worst = search_scenarios(policy, options.rounds, options.seed, options.processes, show_progress)
    for found in worst[: options.saved_count]:
        minimized = minimize(found, policy)
        file = save(minimized, policy, options.folder)
        regrets = f"regret {found.regret:.3f}, minimized {minimized.regret:.3f}"
        console.print(f"{file}: {regrets}; seed {minimized.seed}", markup=False)


@app.command()
def traces(
    folder: Annotated[
        Path,
        typer.Argument(help="Folder with a log NAME.log of each forwarder that ran with ROUTER_TRACE set."),
    ],
    destination: Annotated[
        int | None, typer.Option(help="Count by second for this destination only.")
    ] = None,
    former_destination: Annotated[int | None, typer.Option("--partner", hidden=True)] = None,
) -> None:
    """Count events of a fleet by second and by destination, from the traces of its forwarders."""
    from juniperward.benchmarks.trace_counts import format_tables
    from juniperward.benchmarks.traces import read_folder

    if not any(folder.glob("*.log")):
        errors.print(f"{folder}: contains no *.log files", markup=False)
        raise typer.Exit(ExitCode.USAGE)
    chosen = destination if destination is not None else former_destination
    typer.echo(format_tables(read_folder(folder), chosen))
