"""One self-contained page of an experiment: tables, charts as SVG, and what is needed to repeat it."""

from __future__ import annotations

import io
from dataclasses import dataclass
from pathlib import Path

import jinja2
import matplotlib
import numpy as np
from markupsafe import Markup

from juniperward.simulation.comparison import Comparison, compare
from juniperward.simulation.result import Result

matplotlib.use("svg")
import matplotlib.pyplot as plt  # noqa: E402

OURS = "juniperward"
RULES = ("destinations_crashed", "duplicate_effects", "retry_after_violations")
PAGE = """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{ title }}</title>
<style>
 body { font: 15px/1.5 system-ui, sans-serif; max-width: 70em; margin: 2em auto; padding: 0 1em; color: #222 }
 table { border-collapse: collapse; margin: 1em 0 } td, th { padding: .2em .8em; text-align: right }
 td:first-child, th:first-child { text-align: left } tr:nth-child(even) { background: #f4f4f4 }
 .best { font-weight: 600 } .note { color: #666 } svg { max-width: 100%; height: auto }
</style>
<h1>{{ title }}</h1>
<p class="note">{{ runs }} runs, {{ seeds }} seeds; worth is what was delivered of what was asked for, 0 to 1.
Repeat: <code>{{ command }}</code></p>
<h2>Worth, mean over seeds</h2>
<table><tr><th>scenario</th>{% for p in policies %}<th>{{ p }}</th>{% endfor %}</tr>
{% for row in worth %}<tr><td>{{ row.name }}</td>
{% for c in row.cells %}<td{% if c.best %} class="best"{% endif %}>{{ c.text }}</td>{% endfor %}
</tr>{% endfor %}</table>
<h2>{{ ours }} against each</h2>
<table><tr><th>scenario</th><th>other</th><th>difference</th><th>0.95 interval</th><th>says</th></tr>
{% for c in comparisons %}<tr><td>{{ c.scenario }}</td><td>{{ c.other }}</td><td>{{ '%+.4f' % c.mean }}</td>
<td>{{ '%+.4f' % c.low }} to {{ '%+.4f' % c.high }}</td><td>{{ c.verdict }}</td></tr>{% endfor %}</table>
<h2>Rules</h2>
<p>Partners that fell over, second effects and calls within a told wait, over all seeds; where a policy breaks
a rule, its worth is not to be had.</p>
<table><tr><th>policy</th><th>fell over</th><th>second effects</th><th>waits broken</th></tr>
{% for r in rules %}<tr><td>{{ r[0] }}</td><td>{{ r[1] }}</td><td>{{ r[2] }}</td><td>{{ r[3] }}</td></tr>{% endfor %}
</table>
{% for s in sections %}<h2>{{ s.name }}</h2><p>{{ s.shows }}</p>{{ s.chart }}
<table><tr><th>policy</th><th>median s</th><th>p99 s</th><th>calls a message</th><th>refused calls</th>
<th>where worth was lost</th></tr>
{% for r in s.rows %}<tr>{% for x in r %}<td>{{ x }}</td>{% endfor %}</tr>{% endfor %}</table>{% endfor %}
</html>"""


@dataclass(frozen=True, slots=True)
class Cell:
    """A figure of the table; the best of its row is set in bold."""

    text: str
    best: bool


@dataclass(frozen=True, slots=True)
class Row:
    """A scenario's figures."""

    name: str
    cells: list[Cell]


@dataclass(frozen=True, slots=True)
class Section:
    """A scenario's part of the page."""

    name: str
    shows: str
    chart: str
    rows: list[list[str]]


def table(results: list[Result]) -> tuple[list[str], list[Row]]:
    """Policies, and the mean worth of each on each scenario."""
    policies = list(dict.fromkeys(r.policy for r in results))
    rows = []
    for scenario in dict.fromkeys(r.scenario for r in results):
        means = [_mean(results, scenario, p) for p in policies]
        best = max(means)
        rows.append(Row(scenario, [Cell(f"{m:.4f}", m >= best - 5e-5) for m in means]))
    return policies, rows


def _mean(results: list[Result], scenario: str, policy: str) -> float:
    found = [r.utility for r in results if r.scenario == scenario and r.policy == policy]
    return float(np.mean(found)) if found else 0.0


def comparisons(results: list[Result]) -> list[Comparison]:
    """Our module against every other policy, on every scenario."""
    others = [p for p in dict.fromkeys(r.policy for r in results) if p != OURS]
    return [c for other in others for c in compare(results, OURS, other)]


def _chart(results: list[Result]) -> str:
    """Service over the day: for each policy the mean share of worth by the second in which it was due."""
    figure, axes = plt.subplots(figsize=(9, 2.6))
    for policy in dict.fromkeys(r.policy for r in results):
        runs = [np.array(r.by_second) for r in results if r.policy == policy]
        length = min(len(x) for x in runs)
        asked = sum(x[:length, 0] for x in runs)
        got = sum(x[:length, 1] for x in runs)
        axes.plot(np.asarray(got) / np.maximum(asked, 1e-9), label=policy, lw=2.0 if policy == OURS else 0.9)
    axes.set_ylim(0, 1.03)
    axes.set_xlabel("second in which the message was due")
    axes.set_ylabel("worth kept")
    axes.legend(fontsize=7, ncol=4, loc="lower left")
    figure.tight_layout()
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None})
    plt.close(figure)
    text = out.getvalue()
    return text[text.index("<svg") :]


def write(results: list[Result], shows: dict[str, str], file: Path, command: str) -> None:
    """Write the page."""
    policies, worth = table(results)
    sections = []
    for scenario in dict.fromkeys(r.scenario for r in results):
        mine = [r for r in results if r.scenario == scenario]
        rows = []
        for p in policies:
            runs = [r for r in mine if r.policy == p]
            lost: dict[str, float] = {}
            for r in runs:
                for why, part in r.utility_lost.items():
                    lost[why] = lost.get(why, 0.0) + part / len(runs)
            asked = sum(r.requested for r in runs)
            rows.append([
                p, f"{np.mean([r.median_s for r in runs]):.3f}", f"{np.mean([r.p99_s for r in runs]):.2f}",
                f"{sum(r.calls for r in runs) / max(asked, 1):.2f}", f"{sum(r.calls_rejected for r in runs)}",
                ", ".join(f"{why} {part:.4f}" for why, part in sorted(lost.items(), key=lambda x: -x[1])),
            ])  # fmt: skip
        sections.append(Section(scenario, shows.get(scenario, ""), _chart(mine), rows))
    rules = []
    for p in policies:
        runs = [r for r in results if r.policy == p]
        rules.append((p, *(sum(getattr(r, f) for r in runs) for f in RULES)))
    environment = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined)
    page = environment.from_string(PAGE)
    text = page.render(
        title="Policies on scenarios", runs=len(results), seeds=len({r.seed for r in results}), command=command,
        policies=policies, worth=worth, ours=OURS, comparisons=comparisons(results), rules=rules,
        sections=[
            {"name": s.name, "shows": s.shows, "chart": Markup(s.chart), "rows": s.rows} for s in sections
        ],
    )  # fmt: skip
    file.parent.mkdir(parents=True, exist_ok=True)
    file.write_text(text)


def markdown(results: list[Result]) -> str:
    """The worth table and what the comparisons say, for docs/measurements/."""
    policies, worth = table(results)
    out = ["| scenario | " + " | ".join(policies) + " |", "|" + " --- |" * (len(policies) + 1)]
    for row in worth:
        cells = [f"**{c.text}**" if c.best else c.text for c in row.cells]
        out.append(f"| {row.name} | " + " | ".join(cells) + " |")
    out += ["", "| scenario | other policy | ours more by | 0.95 interval | says |"]
    out.append("| --- | --- | --- | --- | --- |")
    for c in comparisons(results):
        if abs(c.mean) >= 0.002:
            out.append(
                f"| {c.scenario} | {c.other} | {c.mean:+.4f} | {c.low:+.4f} to {c.high:+.4f} | {c.verdict} |"
            )
    out += [
        "",
        "| policy | partners fell over | second effects | waits broken |",
        "| --- | --- | --- | --- |",
    ]
    for p in policies:
        runs = [r for r in results if r.policy == p]
        figures = [sum(getattr(r, f) for r in runs) for f in RULES]
        out.append(f"| {p} | " + " | ".join(map(str, figures)) + " |")
    return "\n".join(out) + "\n"
