"""Report of an experiment: one HTML page with tables, SVG charts and the command to repeat the experiment."""

from __future__ import annotations

import io
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

import jinja2
import numpy as np
from markupsafe import Markup
from matplotlib.backends.backend_svg import FigureCanvasSVG
from matplotlib.figure import Figure

from juniperward.simulation.report_tables import (
    REFERENCE_POLICY,
    PolicyRow,
    comparisons,
    policies_of,
    policy_table,
    scenarios_of,
    utility_table,
    violation_table,
)
from juniperward.simulation.result import Result

CHART_INCHES = (9, 2.6)
REFERENCE_LINE_WIDTH, OTHER_LINE_WIDTH = 2.0, 0.9
MIN_REQUESTED = 1e-9  # Avoids a division by zero in seconds without messages.

PAGE = """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{ title }}</title>
<style>
 body { font: 15px/1.5 system-ui, sans-serif; max-width: 70em; margin: 2em auto; padding: 0 1em; color: #222 }
 table { border-collapse: collapse; margin: 1em 0 } td, th { padding: .2em .8em; text-align: right }
 td:first-child, th:first-child { text-align: left } tr:nth-child(even) { background: #f4f4f4 }
 .best { font-weight: 600 } .note { color: #666 } svg { max-width: 100%; height: auto }
</style>
<h1>{{ title }}</h1>
<p class="note">{{ runs }} runs, {{ seeds }} seeds. Utility is the mean over all messages, from 0 to 1: 1 for a
delivery within the latency objective, less for a later one, 0 for none.
Command to repeat the experiment: <code>{{ command }}</code></p>
<h2>Utility, mean over seeds</h2>
<table><tr><th>scenario</th>{% for policy in policies %}<th>{{ policy }}</th>{% endfor %}</tr>
{% for row in utility %}<tr><td>{{ row.scenario }}</td>
{% for cell in row.cells %}<td{% if cell.best %} class="best"{% endif %}>{{ cell.text }}</td>{% endfor %}
</tr>{% endfor %}</table>
<h2>{{ ours }} compared with each other policy</h2>
<table><tr><th>scenario</th><th>other</th><th>difference</th><th>0.95 interval</th><th>verdict</th></tr>
{% for c in comparisons %}<tr><td>{{ c.scenario }}</td><td>{{ c.other }}</td><td>{{ '%+.4f' % c.mean }}</td>
<td>{{ '%+.4f' % c.low }} to {{ '%+.4f' % c.high }}</td><td>{{ c.verdict }}</td></tr>{% endfor %}</table>
<h2>Invariants</h2>
<p>Destinations crashed by overload, duplicate effects and calls within a Retry-After, over all seeds. A policy that
violates an invariant cannot be used, whatever its utility.</p>
<table><tr><th>policy</th><th>destinations crashed</th><th>duplicate effects</th><th>Retry-After violations</th></tr>
{% for row in violations %}<tr><td>{{ row.policy }}</td><td>{{ row.destinations_crashed }}</td>
<td>{{ row.duplicate_effects }}</td><td>{{ row.retry_after_violations }}</td></tr>{% endfor %}
</table>
{% for section in sections %}<h2>{{ section.scenario }}</h2><p>{{ section.description }}</p>{{ section.chart }}
<table><tr><th>policy</th><th>median s</th><th>p99 s</th><th>calls a message</th><th>rejected calls</th>
<th>where utility was lost</th></tr>
{% for row in section.rows %}<tr><td>{{ row.policy }}</td><td>{{ row.median_s }}</td><td>{{ row.p99_s }}</td>
<td>{{ row.calls_per_message }}</td><td>{{ row.calls_rejected }}</td><td>{{ row.utility_lost }}</td>
</tr>{% endfor %}</table>{% endfor %}
</html>"""


@dataclass(frozen=True, slots=True)
class Section:
    """The section of the page about one scenario."""

    scenario: str
    description: str
    chart: Markup
    rows: list[PolicyRow]


def write_report(
    results: Sequence[Result], descriptions: Mapping[str, str], file: Path, command: str
) -> None:
    """Write the page to `file`.

    Args:
        results: the results of the experiment.
        descriptions: the descriptions of the scenarios, by name.
        file: where the page is written; missing folders are created.
        command: the command that repeats the experiment.

    Raises:
        OSError: the page cannot be written.

    """
    environment = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined)
    text = environment.from_string(PAGE).render(
        title="Policies on scenarios",
        runs=len(results),
        seeds=len({result.seed for result in results}),
        command=command,
        policies=policies_of(results),
        utility=utility_table(results),
        ours=REFERENCE_POLICY,
        comparisons=comparisons(results),
        violations=violation_table(results),
        sections=_sections(results, descriptions),
    )
    file.parent.mkdir(parents=True, exist_ok=True)
    file.write_text(text)


def _sections(results: Sequence[Result], descriptions: Mapping[str, str]) -> list[Section]:
    policies = policies_of(results)
    sections = []
    for scenario in scenarios_of(results):
        runs = [result for result in results if result.scenario == scenario]
        rows = policy_table(runs, policies)
        sections.append(Section(scenario, descriptions.get(scenario, ""), _chart(runs), rows))
    return sections


def _chart(results: Sequence[Result]) -> Markup:
    """Return a chart of one scenario: the mean utility of each policy by second of arrival."""
    figure = Figure(figsize=CHART_INCHES)
    FigureCanvasSVG(figure)  # tight_layout needs the canvas that draws the figure
    axes = figure.subplots()
    for policy in policies_of(results):
        runs = [np.array(result.by_second) for result in results if result.policy == policy]
        seconds = min(len(run) for run in runs)
        requested = sum(run[:seconds, 0] for run in runs)
        utility = sum(run[:seconds, 1] for run in runs)
        means = np.asarray(utility) / np.maximum(requested, MIN_REQUESTED)
        axes.plot(
            means, label=policy, lw=REFERENCE_LINE_WIDTH if policy == REFERENCE_POLICY else OTHER_LINE_WIDTH
        )
    axes.set_ylim(0, 1.03)
    axes.set_xlabel("second of the message's arrival")
    axes.set_ylabel("utility")
    axes.legend(fontsize=7, ncol=4, loc="lower left")
    figure.tight_layout()
    return Markup(_svg(figure))


def _svg(figure: Figure) -> str:
    """Return the figure as an SVG element, without the XML prologue."""
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]
