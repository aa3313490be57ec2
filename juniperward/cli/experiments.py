"""Implements `juniperward simulate sweep`, `compare` and `report`, which run many simulations."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.progress import Progress

from juniperward.cli.options import OutputOption, from_options
from juniperward.cli.output import ExitCode, Output, console, errors, print_json, table
from juniperward.settings.load import SettingsError

DEFAULT_FOLDER = Path("lab.run")
TABLE_FILE = "table.md"

ScenariosArgument = Annotated[
    list[Path] | None, typer.Argument(help="Scenario files; default: all in scenarios/.")
]
PoliciesOption = Annotated[
    list[str] | None, typer.Option("--policy", "-p", help="A policy; may be repeated; default: all.")
]
SeedsOption = Annotated[int, typer.Option(help="Number of seeds, starting at 1.")]
OutOption = Annotated[Path, typer.Option(help="Folder of the experiment's results.")]
ProcessesOption = Annotated[
    int | None, typer.Option(help="Number of parallel processes; default: one per core.")
]


@dataclass(frozen=True)
class SweepOptions:
    """The arguments of `sweep`."""

    files: ScenariosArgument = None
    policy: PoliciesOption = None
    seeds: SeedsOption = 5
    out: OutOption = DEFAULT_FOLDER
    processes: ProcessesOption = None
    output: OutputOption = Output.TABLE


@from_options
def sweep(options: SweepOptions) -> None:
    """Run scenarios under policies with several seeds; results that the folder already has are reused."""
    from juniperward.simulation.report_tables import markdown, policies_of, utility_table

    results = _run_all(options, options.policy)
    if options.output is Output.JSON:
        print_json([_result_row(result) for result in results])
        return
    output_table = table("scenario", *(f">{policy}" for policy in policies_of(results)))
    for row in utility_table(results):
        cells = (f"[bold]{cell.text}[/bold]" if cell.best else cell.text for cell in row.cells)
        output_table.add_row(row.scenario, *cells)
    console.print(output_table)
    (options.out / TABLE_FILE).write_text(markdown(results))


@dataclass(frozen=True)
class CompareOptions:
    """The arguments of `compare`."""

    one: Annotated[str, typer.Argument(help="The first policy.")]
    other: Annotated[str, typer.Argument(help="The second policy.")]
    files: Annotated[
        list[Path] | None, typer.Option("--scenario", "-s", help="A scenario file; may be repeated.")
    ] = None
    seeds: SeedsOption = 10
    out: OutOption = DEFAULT_FOLDER
    processes: ProcessesOption = None
    output: OutputOption = Output.TABLE


@from_options
def compare(options: CompareOptions) -> None:
    """Compare two policies by runs paired by seed, with bootstrap confidence intervals."""
    from juniperward.simulation.comparison import Comparison
    from juniperward.simulation.comparison import compare as compare_paired

    one, other = policy_names([options.one, options.other])
    comparisons = compare_paired(_run_all(options, [one, other]), one, other)
    if options.output is Output.JSON:
        print_json(
            [
                {name: getattr(comparison, name) for name in Comparison.__slots__}
                | {"says": comparison.verdict}
                for comparison in comparisons
            ]
        )
        return
    output_table = table("scenario", ">seeds", ">difference", ">low", ">high", "verdict")
    for comparison in comparisons:
        interval = (f"{figure:+.4f}" for figure in (comparison.mean, comparison.low, comparison.high))
        output_table.add_row(comparison.scenario, str(comparison.seeds), *interval, comparison.verdict)
    console.print(output_table)


@dataclass(frozen=True)
class ReportOptions:
    """The arguments of `report`."""

    file: Annotated[Path, typer.Argument(help="The HTML file to write.")]
    files: Annotated[
        list[Path] | None, typer.Option("--scenario", "-s", help="A scenario file; may be repeated.")
    ] = None
    policy: PoliciesOption = None
    seeds: SeedsOption = 5
    out: OutOption = DEFAULT_FOLDER
    processes: ProcessesOption = None


@from_options
def report(options: ReportOptions) -> None:
    """Write a self-contained HTML page with tables and charts."""
    from juniperward.simulation.report import write_report

    results = _run_all(options, options.policy)
    descriptions = {scenario.name: scenario.description for scenario in load_scenarios(options.files)}
    command = f"juniperward simulate report {options.file} --seeds {options.seeds}"
    write_report(results, descriptions, options.file, command)
    console.print(f"{options.file}: {len(results)} runs", markup=False)


def load_scenarios(files: list[Path] | None) -> list[Any]:
    """Return the scenarios in `files`, or all in scenarios/ if empty; exits with USAGE if one is invalid."""
    from juniperward.simulation.scenario_loader import SCENARIOS_FOLDER, load

    try:
        return [load(file) for file in (files or sorted(SCENARIOS_FOLDER.glob("*.textproto")))]
    except SettingsError as error:
        errors.print(str(error), markup=False, highlight=False, soft_wrap=True)
        raise typer.Exit(ExitCode.USAGE) from None


def policy_names(names: list[str] | None) -> list[str]:
    """Return the current names of policies, or all if `names` is empty; raises BadParameter for an unknown one."""
    from juniperward.simulation.policies import POLICIES, policy_name

    current = [policy_name(name) for name in names or []]
    unknown = [name for name in current if name not in POLICIES]
    if unknown:
        why = f"{', '.join(unknown)}: must be one of {', '.join(POLICIES)}"
        raise typer.BadParameter(why, param_hint="--policy")
    return current or list(POLICIES)


def _run_all(options: SweepOptions | CompareOptions | ReportOptions, policies: list[str] | None) -> list[Any]:
    """Return the results of each scenario under each policy with each seed; exits with REJECTED if that fails."""
    from juniperward.simulation.experiment import ExperimentPlan
    from juniperward.simulation.experiment import sweep as run_experiment
    from juniperward.simulation.result_store import ExperimentRunningError

    scenarios = load_scenarios(options.files)
    chosen = policy_names(policies)
    plan = ExperimentPlan(scenarios, chosen, range(1, options.seeds + 1), options.processes)
    with Progress(console=errors, transient=True) as progress:
        task = progress.add_task("runs", total=len(scenarios) * len(chosen) * options.seeds)

        def show_progress(done: int, _planned: int, _result: Any) -> None:
            """Show the number of runs done."""
            progress.update(task, completed=done)

        try:
            return run_experiment(options.out, plan, show_progress)
        except (ExperimentRunningError, OSError) as error:
            errors.print(str(error), markup=False)
            raise typer.Exit(ExitCode.REJECTED) from None


def _result_row(result: Any) -> dict[str, Any]:
    return {
        "scenario": result.scenario,
        "policy": result.policy,
        "seed": result.seed,
        "worth": result.utility,
    }
