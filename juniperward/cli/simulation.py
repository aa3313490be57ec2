"""`juniperward simulate`: experiments in simulated time."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.progress import Progress

from juniperward.cli.shared import REFUSED, USAGE, Output, OutputOption, console, errors, print_json, table
from juniperward.settings.load import SettingsError

app = typer.Typer(help="Experiments on a model of the world, in simulated time.", no_args_is_help=True)

ScenariosArgument = Annotated[
    list[Path] | None, typer.Argument(help="Scenario files; all of scenarios/ if none.")
]
PoliciesOption = Annotated[
    list[str] | None, typer.Option("--policy", "-p", help="May be repeated; all if none.")
]
SeedsOption = Annotated[int, typer.Option(help="How many seeds, from 1.")]
OutOption = Annotated[Path, typer.Option(help="The experiment's folder.")]
ProcessesOption = Annotated[int | None, typer.Option(help="Runs at once; default: one a core.")]


def _scenarios(files: list[Path] | None) -> list[Any]:
    from juniperward.simulation.scenario_loader import FOLDER, load

    try:
        return [load(f) for f in (files or sorted(FOLDER.glob("*.textproto")))]
    except SettingsError as error:
        errors.print(str(error), markup=False, highlight=False, soft_wrap=True)
        raise typer.Exit(USAGE) from None


def _policies(names: list[str] | None) -> list[str]:
    from juniperward.simulation.policies import POLICIES, policy_name

    names = [policy_name(name) for name in names or []]
    unknown = [name for name in names if name not in POLICIES]
    if unknown:
        why = f"{', '.join(unknown)}: none of {', '.join(POLICIES)}"
        raise typer.BadParameter(why, param_hint="--policy")
    return names or list(POLICIES)


def _sweep(
    files: list[Path] | None, policies: list[str] | None, seeds: int, out: Path, processes: int | None
) -> list[Any]:
    from juniperward.simulation.experiment import ExperimentRunningError, sweep

    scenarios, chosen = _scenarios(files), _policies(policies)
    with Progress(console=errors, transient=True) as progress:
        task = progress.add_task("runs", total=len(scenarios) * len(chosen) * seeds)
        try:
            return sweep(
                out, scenarios, chosen, range(1, seeds + 1), processes,
                lambda done, _total, _result: progress.update(task, completed=done),
            )  # fmt: skip
        except (ExperimentRunningError, OSError) as error:
            errors.print(str(error), markup=False)
            raise typer.Exit(REFUSED) from None


@app.command("list")
def list_(output: OutputOption = Output.TABLE) -> None:
    """Name the scenarios and policies."""
    from juniperward.simulation.policies import POLICIES

    scenarios = _scenarios(None)
    if output is Output.JSON:
        rows = [{"scenario": s.name, "shows": s.description} for s in scenarios]
        print_json({"scenarios": rows, "policies": list(POLICIES)})
        return
    made = table("scenario", "shows")
    for s in scenarios:
        made.add_row(s.name, s.description)
    console.print(made)
    console.print(f"policies: {', '.join(POLICIES)}", markup=False)


@app.command()
def run(
    scenario: Annotated[Path, typer.Argument(help="A scenario file.")],
    policy: Annotated[str, typer.Option("--policy", "-p")] = "juniperward",
    seed: Annotated[int, typer.Option()] = 1,
    output: OutputOption = Output.TABLE,
) -> None:
    """Run one scenario once and show all that came of it. The same seed gives the same run."""
    from juniperward.simulation.experiment import Result, one

    (s,), (p,) = _scenarios([scenario]), _policies([policy])
    result = one(s.text, str(scenario), p, seed)
    row = {f: getattr(result, f) for f in Result.__slots__ if f not in ("by_second", "v")}
    if output is Output.JSON:
        print_json(row | {"by_second": result.by_second})
        return
    made = table("what", "value", title=f"{s.name}: {s.description}")
    for key, value in row.items():
        made.add_row(key, f"{value:.4f}" if isinstance(value, float) else json.dumps(value))
    console.print(made)


@app.command()
def sweep(
    files: ScenariosArgument = None, policy: PoliciesOption = None, seeds: SeedsOption = 5,
    out: OutOption = Path("lab.run"), processes: ProcessesOption = None, output: OutputOption = Output.TABLE,
) -> None:  # fmt: skip
    """Run scenarios under policies over seeds; what is in the folder already is not run again."""
    from juniperward.simulation.report import markdown
    from juniperward.simulation.report import table as priority_weight_table

    results = _sweep(files, policy, seeds, out, processes)
    if output is Output.JSON:
        print_json(
            [{"scenario": r.scenario, "policy": r.policy, "seed": r.seed, "worth": r.worth} for r in results]
        )
        return
    policies, rows = priority_weight_table(results)
    made = table("scenario", *(f">{p}" for p in policies))
    for row in rows:
        made.add_row(row.name, *(f"[bold]{c.text}[/bold]" if c.best else c.text for c in row.cells))
    console.print(made)
    (out / "table.md").write_text(markdown(results))


@app.command()
def compare(
    one: Annotated[str, typer.Argument(help="A policy.")],
    other: Annotated[str, typer.Argument(help="Another.")],
    files: Annotated[list[Path] | None, typer.Option("--scenario", "-s", help="May be repeated.")] = None,
    seeds: SeedsOption = 10, out: OutOption = Path("lab.run"), processes: ProcessesOption = None,
    output: OutputOption = Output.TABLE,
) -> None:  # fmt: skip
    """Compare two policies, paired by seed, with bootstrap intervals."""
    from juniperward.simulation.experiment import Comparison
    from juniperward.simulation.experiment import compare as pair

    found = pair(_sweep(files, [one, other], seeds, out, processes), one, other)
    if output is Output.JSON:
        print_json([{f: getattr(c, f) for f in Comparison.__slots__} | {"says": c.says} for c in found])
        return
    made = table("scenario", ">seeds", ">difference", ">low", ">high", "says")
    for c in found:
        made.add_row(c.scenario, str(c.seeds), f"{c.mean:+.4f}", f"{c.low:+.4f}", f"{c.high:+.4f}", c.says)
    console.print(made)


@app.command()
def report(
    file: Annotated[Path, typer.Argument(help="The page to write.")],
    files: Annotated[list[Path] | None, typer.Option("--scenario", "-s")] = None,
    policy: PoliciesOption = None, seeds: SeedsOption = 5, out: OutOption = Path("lab.run"),
    processes: ProcessesOption = None,
) -> None:  # fmt: skip
    """Write one self-contained HTML page with tables and charts."""
    from juniperward.simulation.report import write

    results = _sweep(files, policy, seeds, out, processes)
    shows = {s.name: s.description for s in _scenarios(files)}
    write(results, shows, file, f"juniperward lab report {file} --seeds {seeds}")
    console.print(f"{file}: {len(results)} runs", markup=False)


class NoResultError(ValueError):
    """A folder has no such result."""

    def __init__(self, out: Path, scenario: str, policy: str, seed: int) -> None:
        """Tell what was looked for."""
        super().__init__(f"{out}: no result of {scenario} under {policy} with seed {seed}")


def _find(rows: list[Any], out: Path, scenario: str, policy: str, seed: int) -> Any:
    """Return the latest result of a run; raises NoResultError."""
    wanted = [row for row in rows if (row.scenario, row.policy, row.seed) == (scenario, policy, seed)]
    if not wanted:
        raise NoResultError(out, scenario, policy, seed)
    return wanted[-1]


@app.command()
def replay(
    scenario: Annotated[str, typer.Argument(help="A scenario's name, as in the results.")],
    policy: Annotated[str, typer.Option("--policy", "-p")] = "juniperward",
    seed: Annotated[int, typer.Option()] = 1,
    out: OutOption = Path("lab.run"),
) -> None:
    """Run one kept result again from its own text. Exit code 1, and what differs, if it comes out otherwise."""
    from juniperward.simulation.experiment import read_parquet, revision
    from juniperward.simulation.experiment import replay as again

    try:
        rows = read_parquet(out / "results.parquet")
        stored = _find(rows, out, scenario, policy, seed)
        differs = again(stored)
    except (OSError, ValueError) as error:
        errors.print(str(error), markup=False)
        raise typer.Exit(REFUSED) from None
    console.print(f"then: {stored.revision} on {stored.machine}", markup=False, highlight=False)
    console.print(f"now:  {revision()}", markup=False, highlight=False)
    for field, (then, now) in differs.items():
        console.print(f"{field}: {str(then)[:60]} then, {str(now)[:60]} now", markup=False)
    console.print("the same" if not differs else f"{len(differs)} figures differ")
    raise typer.Exit(REFUSED if differs else 0)


@app.command("hunt", hidden=True, deprecated=True)  # its name of before, read for one release
@app.command()
def search(
    rounds: Annotated[int, typer.Option(help="Days to play.")] = 200,
    policy: Annotated[str, typer.Option("--policy", "-p")] = "juniperward",
    seed: Annotated[int, typer.Option()] = 1,
    keep_: Annotated[int, typer.Option("--keep", help="So many of the worst are made small and kept.")] = 2,
    folder: Annotated[Path, typer.Option(help="Where they are kept.")] = Path("scenarios/found"),
    processes: ProcessesOption = None,
) -> None:
    """Look for days on which a policy keeps much less than the oracle; make the worst small, and keep them."""
    from juniperward.simulation.search import keep, shrink
    from juniperward.simulation.search import search as search_days

    (chosen,) = _policies([policy])
    with Progress(console=errors, transient=True) as progress:
        task = progress.add_task("days", total=rounds)
        worst = search_days(
            chosen, rounds, seed, processes,
            lambda done, found: progress.update(task, completed=done, description=f"regret {found.regret:.3f}"),
        )  # fmt: skip
    for found in worst[:keep_]:
        small = shrink(found, chosen)
        file = keep(small, chosen, folder)
        console.print(
            f"{file}: regret {found.regret:.3f}, made small {small.regret:.3f}; seed {small.seed}",
            markup=False,
        )


@app.command()
def traces(
    folder: Annotated[
        Path, typer.Argument(help="Logs, a NAME.log of each forwarder, with ROUTER_TRACE set.")
    ],
    partner: Annotated[int | None, typer.Option(help="Only this partner, by second.")] = None,
) -> None:
    """Count what a whole fleet did, by second and by partner, from the traces of its forwarders."""
    from juniperward.benchmarks.traces import read_folder, text

    if not any(folder.glob("*.log")):
        errors.print(f"{folder}: no *.log in it", markup=False)
        raise typer.Exit(USAGE)
    typer.echo(text(read_folder(folder), partner))
