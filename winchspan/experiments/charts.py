"""Draws the charts of a report with matplotlib."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Final, NamedTuple

import matplotlib
import polars as pl
from matplotlib import pyplot as plt
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from winchspan.experiments.measures import WINDOW_MS

matplotlib.use("Agg")  # draws files without a display

DESTINATION: Final = 7  # number of the destination whose partner fails
SIZE_INCHES: Final = (9.0, 4.2)
DOTS_PER_INCH: Final = 110
COLOURS: Final = ("#1b6ca8", "#d1495b", "#3c8d5a", "#8a5a9e", "#c98a1b", "#5b5b5b")


class Chart(NamedTuple):
    """A chart that is stored as an image file."""

    file_name: str
    caption: str


class _VariantRows(NamedTuple):
    """The rows of one variant, and the colour of its line."""

    variant: str
    colour: str
    rows: pl.DataFrame


class _Bar(NamedTuple):
    variant: str
    load: float


def draw_service(windows: pl.DataFrame, load: float, path: Path) -> Chart:
    """Draw the obtained share of the offered weight over time: mean and range over the seeds.

    Args:
        windows: the table of windows.
        load: the load of the runs that are drawn.
        path: path of the image file.
    """
    figure, axes = _new_chart(
        f"Service over time at destination {DESTINATION}, load {load:g}",
        "seconds",
        "obtained / offered weight",
    )
    selected = windows.filter(
        (pl.col("destination") == DESTINATION) & (pl.col("load") == load) & (pl.col("asked") > 0)
    ).with_columns(share=pl.col("got") / pl.col("asked"))
    for variant, colour, rows in _by_variant(selected):
        by_time = (
            rows.group_by("at")
            .agg(mean=pl.col("share").mean(), low=pl.col("share").min(), high=pl.col("share").max())
            .sort("at")
        )
        seconds = _window_middles(by_time["at"])
        axes.plot(seconds, by_time["mean"], color=colour, marker="o", label=variant)
        axes.fill_between(seconds, by_time["low"], by_time["high"], color=colour, alpha=0.15)
    axes.set_ylim(-0.03, 1.05)
    axes.legend(frameon=False)
    return _save(figure, path, f"Service over time, load {load:g}")


def draw_calls(windows: pl.DataFrame, load: float, path: Path) -> Chart:
    """Draw the rate of calls that the partner received over time.

    Args:
        windows: the table of windows.
        load: the load of the runs that are drawn.
        path: path of the image file.
    """
    figure, axes = _new_chart(
        f"Calls at destination {DESTINATION}, load {load:g}", "seconds", "calls per second"
    )
    selected = windows.filter((pl.col("destination") == DESTINATION) & (pl.col("load") == load))
    for variant, colour, rows in _by_variant(selected):
        by_time = rows.group_by("at").agg(pl.col("calls").mean()).sort("at")
        seconds = _window_middles(by_time["at"])
        axes.plot(seconds, by_time["calls"], color=colour, marker="o", label=variant)
    listed_rate = float(selected["listed"].max())  # type: ignore[arg-type]  # a numeric column
    axes.axhline(listed_rate, color="#555", linestyle="--", linewidth=1, label="listed")
    axes.set_ylim(bottom=0.0)
    axes.legend(frameon=False)
    return _save(figure, path, f"Calls received, load {load:g}")


def draw_lost_weight(causes: pl.DataFrame, path: Path) -> Chart:
    """Draw the mean lost weight of a run by cause, with a bar for each variant and load.

    Args:
        causes: the table of causes.
        path: path of the image file.
    """
    figure, axes = _new_chart("Lost weight by cause, mean of a run", "weight", "")
    means = _mean_lost_weight(causes)
    bars = [
        _Bar(variant, load)
        for variant, load in means.select("variant", "load")
        .unique()
        .sort("load", "variant", descending=True)
        .rows()
    ]
    names = [f"{bar.variant}, load {bar.load:g}" for bar in bars]
    bar_ends = [0.0] * len(bars)
    for colour, cause in zip(COLOURS, sorted(set(means["cause"])), strict=False):
        weights = [_lost_weight_of(means, bar, cause) for bar in bars]
        axes.barh(names, weights, left=bar_ends, color=colour, label=cause)
        bar_ends = [end + weight for end, weight in zip(bar_ends, weights, strict=True)]
    axes.legend(frameon=False, fontsize=9, loc="upper center", bbox_to_anchor=(0.5, -0.16), ncols=3)
    return _save(figure, path, "Lost weight by cause")


def draw_latency(latencies: pl.DataFrame, path: Path) -> Chart:
    """Draw quantiles of the time from first submission to delivery, over all loads and classes.

    Args:
        latencies: the table of latencies.
        path: path of the image file.
    """
    figure, axes = _new_chart(f"Time to delivery at destination {DESTINATION}", "quantile, %", "ms")
    for variant, colour, rows in _by_variant(latencies.filter(pl.col("destination") == DESTINATION)):
        by_quantile = (
            rows.group_by("quantile")
            .agg(ms=(pl.col("ms") * pl.col("messages")).sum() / pl.col("messages").sum())
            .sort("quantile")
        )
        quantiles = [f"{quantile:g}" for quantile in by_quantile["quantile"]]
        axes.plot(quantiles, by_quantile["ms"], color=colour, marker="o", label=variant)
    axes.set_yscale("log")
    axes.legend(frameon=False)
    return _save(figure, path, "Time to delivery")


def _new_chart(title: str, x_label: str, y_label: str) -> tuple[Figure, Axes]:
    figure, axes = plt.subplots(figsize=SIZE_INCHES, dpi=DOTS_PER_INCH, layout="constrained")
    axes.set_title(title)
    axes.set_xlabel(x_label)
    axes.set_ylabel(y_label)
    axes.grid(alpha=0.3)
    for side in ("top", "right"):
        axes.spines[side].set_visible(False)
    return figure, axes


def _save(figure: Figure, path: Path, caption: str) -> Chart:
    figure.savefig(path)
    plt.close(figure)
    return Chart(path.name, caption)


def _by_variant(table: pl.DataFrame) -> Iterator[_VariantRows]:
    variants = table["variant"].unique(maintain_order=True)
    for colour, variant in zip(COLOURS, variants, strict=False):
        yield _VariantRows(variant, colour, table.filter(pl.col("variant") == variant))


def _window_middles(starts_ms: Iterable[float]) -> list[float]:
    """Return the midpoints of windows, in seconds, from their starts."""
    return [start_ms / 1_000.0 + WINDOW_MS / 2_000.0 for start_ms in starts_ms]


def _mean_lost_weight(causes: pl.DataFrame) -> pl.DataFrame:
    runs = causes.select("variant", "load", "couriers", "seed").unique()
    run_counts = runs.group_by("variant", "load").len("runs")
    return (
        causes.group_by("variant", "load", "cause")
        .agg(pl.col("worth").sum())
        .join(run_counts, on=["variant", "load"])
        .with_columns(worth=pl.col("worth") / pl.col("runs"))
    )


def _lost_weight_of(means: pl.DataFrame, bar: _Bar, cause: str) -> float:
    is_selected = (
        (pl.col("variant") == bar.variant) & (pl.col("load") == bar.load) & (pl.col("cause") == cause)
    )
    return float(means.filter(is_selected)["worth"].sum())
