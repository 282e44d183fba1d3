"""Writes the report page of an experiment: charts, mean values, differences and broken rules."""

from __future__ import annotations

from pathlib import Path
from typing import Final, NamedTuple

import jinja2
import polars as pl

from winchspan.experiments.charts import Chart, draw_calls, draw_latency, draw_lost_weight, draw_service
from winchspan.experiments.comparison import compare
from winchspan.experiments.results import EXPERIMENT_FILE, ResultStore, Table

MEASURES: Final = ("worth", "worth_other", "most_a_second", "calls_out", "refusals", "regained")
MAX_VIOLATIONS: Final = 50  # shown on the page; the table contains all
PAGE_FILE: Final = "report.html"

PAGE_TEMPLATE: Final = jinja2.Template(
    """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ title }}</title><style>
body { font: 15px/1.5 system-ui, sans-serif; max-width: 62em; margin: 2em auto; padding: 0 1em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 } th, td { padding: .25em .8em; text-align: right }
th { border-bottom: 2px solid #999 } td { border-bottom: 1px solid #ddd } td:first-child { text-align: left }
img { max-width: 100% } pre { background: #f5f5f5; padding: 1em; overflow-x: auto }
</style></head><body>
<h1>{{ title }}</h1>
<p>{{ runs }} runs; {{ broken }}.</p>
{% for name, caption in pictures %}<h2>{{ caption }}</h2><img src="{{ name }}" alt="{{ caption }}">
{% endfor %}
<h2>Mean values over the seeds</h2>
<table><tr>{% for head in heads %}<th>{{ head }}</th>{% endfor %}</tr>
{% for row in rows %}<tr>{% for cell in row %}<td>{{ cell }}</td>{% endfor %}</tr>
{% endfor %}</table>
{% if differences %}<h2>{{ second }} less {{ first }}, paired by seed, with 95% bootstrap intervals</h2>
<table><tr><th>measure</th><th>load</th><th>couriers</th><th>pairs</th><th>{{ second }} less {{ first }}</th>
<th>from</th><th>to</th></tr>
{% for row in differences %}<tr>{% for cell in row %}<td>{{ cell }}</td>{% endfor %}</tr>
{% endfor %}</table>{% endif %}
{% if breaches %}<h2>Broken rules</h2><table>
{% for row in breaches %}<tr>{% for cell in row %}<td>{{ cell }}</td>{% endfor %}</tr>
{% endfor %}</table>{% endif %}
<h2>The experiment</h2><pre>{{ text }}</pre></body></html>
""",
    autoescape=True,
)


class _DifferenceRow(NamedTuple):
    """A row of the page's table of differences, formatted as text."""

    measure: str
    load: str
    courier_count: str
    pair_count: str
    mean_difference: str
    low: str
    high: str


def write_report(store: ResultStore) -> Path:
    """Draw all charts and write `report.html` beside the tables.

    Raises:
        ResultsError: if a table is missing.
        OSError: if a file cannot be written.
    """
    runs = store.table(Table.RUN)
    charts = _draw_charts(store, runs)
    variants = runs["variant"].unique(maintain_order=True).to_list()
    means = _mean_measures(runs)
    page = PAGE_TEMPLATE.render(
        title=f"Experiment of {len(variants)} variant{'s' if len(variants) > 1 else ''}",
        runs=len(runs),
        broken=describe_violations(runs),
        pictures=charts,
        heads=means.columns,
        rows=[[_format_cell(cell) for cell in row] for row in means.rows()],
        first=variants[0],
        second=variants[1] if len(variants) > 1 else "",
        differences=_difference_rows(runs, variants),
        breaches=store.table(Table.VIOLATIONS).head(MAX_VIOLATIONS).rows(),
        text=(store.directory / EXPERIMENT_FILE).read_text(),
    )
    path = store.directory / PAGE_FILE
    path.write_text(page, encoding="utf-8")
    return path


def describe_violations(runs: pl.DataFrame) -> str:
    """Return a phrase with the number of violations in the runs of a table."""
    violation_count = int(runs["breaches"].sum())
    return f"rules were broken {violation_count} times" if violation_count else "no rule was broken"


def _draw_charts(store: ResultStore, runs: pl.DataFrame) -> list[Chart]:
    directory = store.directory
    windows = store.table(Table.WINDOWS)
    charts: list[Chart] = []
    for number, load in enumerate(sorted(set(runs["load"])), 1):
        charts.append(draw_service(windows, load, directory / f"service-{number}.png"))
        charts.append(draw_calls(windows, load, directory / f"calls-{number}.png"))
    causes = store.table(Table.CAUSES)
    latencies = store.table(Table.LATENCIES)
    if len(causes):
        charts.append(draw_lost_weight(causes, directory / "lost.png"))
    if len(latencies):
        charts.append(draw_latency(latencies, directory / "latency.png"))
    return charts


def _mean_measures(runs: pl.DataFrame) -> pl.DataFrame:
    means = (pl.col(measure).cast(pl.Float64).mean() for measure in MEASURES)
    by_point = runs.group_by("variant", "load", "couriers", maintain_order=True)
    return by_point.agg(pl.len().alias("runs"), *means)


def _difference_rows(runs: pl.DataFrame, variants: list[str]) -> list[_DifferenceRow]:
    """Return the differences of the second variant from the first; none for a single variant."""
    if len(variants) < 2:
        return []
    baseline, candidate = (runs.filter(pl.col("variant") == variant) for variant in variants[:2])
    return [
        _DifferenceRow(
            measure=measure,
            load=f"{difference.load:g}",
            courier_count=str(difference.courier_count),
            pair_count=str(difference.pair_count),
            mean_difference=_format_cell(difference.mean_difference),
            low=_format_cell(difference.interval.low),
            high=_format_cell(difference.interval.high),
        )
        for measure in MEASURES
        for difference in compare(baseline, candidate, measure)
    ]


def _format_cell(value: object) -> str:
    if value is None:
        return "-"
    return f"{value:.3f}" if isinstance(value, float) else str(value)
