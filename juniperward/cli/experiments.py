"""`juniperward simulate sweep`, `compare` and `report`: many runs of scenarios under policies, over seeds."""

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
    list[Path] | None, typer.Argument(help="Scenario files; all of scenarios/ if none.")
]
PoliciesOption = Annotated[
    list[str] | None, typer.Option("--policy", "-p", help="May be repeated; all if none.")
]
SeedsOption = Annotated[int, typer.Option(help="How many seeds, from 1.")]
OutOption = Annotated[Path, typer.Option(help="The experiment's folder.")]
ProcessesOption = Annotated[int | None, typer.Option(help="Runs at once; default: one a core.")]


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
    """Run scenarios under policies over seeds; results that are in the folder already are not computed again."""
    from juniperward.simulation.report_tables import markdown, policies_of, utility_table

    results = _run_all(options, options.policy)
    if options.output is Output.JSON:
        print_json([_result_row(result) for result in results])
        return
    made = table("scenario", *(f">{policy}" for policy in policies_of(results)))
    for row in utility_table(results):
        cells = (f"[bold]{cell.text}[/bold]" if cell.best else cell.text for cell in row.cells)
        made.add_row(row.scenario, *cells)
    console.print(made)
    (options.out / TABLE_FILE).write_text(markdown(results))


@dataclass(frozen=True)
class CompareOptions:
    """The arguments of `compare`."""

    one: Annotated[str, typer.Argument(help="A policy.")]
    other: Annotated[str, typer.Argument(help="Another.")]
    files: Annotated[list[Path] | None, typer.Option("--scenario", "-s", help="May be repeated.")] = None
    seeds: SeedsOption = 10
    out: OutOption = DEFAULT_FOLDER
    processes: ProcessesOption = None
    output: OutputOption = Output.TABLE


@from_options
def compare(options: CompareOptions) -> None:
    """Compare two policies, paired by seed, with bootstrap intervals."""
    from juniperward.simulation.comparison import Comparison
    from juniperward.simulation.comparison import compare as compare_paired

    one, other = policy_names([options.one, options.other])
    found = compare_paired(_run_all(options, [one, other]), one, other)
    if options.output is Output.JSON:
        print_json(
            [
                {name: getattr(comparison, name) for name in Comparison.__slots__}
                | {"says": comparison.verdict}
                for comparison in found
            ]
        )
        return
    made = table("scenario", ">seeds", ">difference", ">low", ">high", "says")
    for comparison in found:
        interval = (f"{figure:+.4f}" for figure in (comparison.mean, comparison.low, comparison.high))
        made.add_row(comparison.scenario, str(comparison.seeds), *interval, comparison.verdict)
    console.print(made)


@dataclass(frozen=True)
class ReportOptions:
    """The arguments of `report`."""

    file: Annotated[Path, typer.Argument(help="The page to write.")]
    files: Annotated[list[Path] | None, typer.Option("--scenario", "-s")] = None
    policy: PoliciesOption = None
    seeds: SeedsOption = 5
    out: OutOption = DEFAULT_FOLDER
    processes: ProcessesOption = None


@from_options
def report(options: ReportOptions) -> None:
    """Write one self-contained HTML page with tables and charts."""
    from juniperward.simulation.report import write_report

    results = _run_all(options, options.policy)
    descriptions = {scenario.name: scenario.description for scenario in load_scenarios(options.files)}
    command = f"juniperward simulate report {options.file} --seeds {options.seeds}"
    write_report(results, descriptions, options.file, command)
    console.print(f"{options.file}: {len(results)} runs", markup=False)


def load_scenarios(files: list[Path] | None) -> list[Any]:
    """Return the scenarios of files, or all of them; exits with USAGE where one cannot be used."""
    from juniperward.simulation.scenario_loader import SCENARIOS_FOLDER, load

    try:
        return [load(file) for file in (files or sorted(SCENARIOS_FOLDER.glob("*.textproto")))]
    except SettingsError as error:
        errors.print(str(error), markup=False, highlight=False, soft_wrap=True)
        raise typer.Exit(ExitCode.USAGE) from None


def policy_names(names: list[str] | None) -> list[str]:
    """Return the present names of policies, or all of them; raises BadParameter for one that is not known."""
    from juniperward.simulation.policies import POLICIES, policy_name

    present = [policy_name(name) for name in names or []]
    unknown = [name for name in present if name not in POLICIES]
    if unknown:
        why = f"{', '.join(unknown)}: none of {', '.join(POLICIES)}"
        raise typer.BadParameter(why, param_hint="--policy")
    return present or list(POLICIES)


def _run_all(options: SweepOptions | CompareOptions | ReportOptions, policies: list[str] | None) -> list[Any]:
    """Run each scenario under each policy with each seed, but for what is in the folder already."""
    from juniperward.simulation.experiment import ExperimentPlan
    from juniperward.simulation.experiment import sweep as run_experiment
    from juniperward.simulation.result_store import ExperimentRunningError

    scenarios = load_scenarios(options.files)
    chosen = policy_names(policies)
    plan = ExperimentPlan(scenarios, chosen, range(1, options.seeds + 1), options.processes)
    with Progress(console=errors, transient=True) as progress:
        task = progress.add_task("runs", total=len(scenarios) * len(chosen) * options.seeds)

        def show_progress(done: int, _planned: int, _result: Any) -> None:
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
