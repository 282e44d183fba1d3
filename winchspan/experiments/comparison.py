"""Compares two variants run by run, with a confidence interval of the mean difference."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, NamedTuple

import numpy as np
import numpy.typing as npt
import polars as pl

PAIR_COLUMNS: Final = ("load", "couriers", "seed")  # equal in both runs of a pair
RESAMPLE_COUNT: Final = 10_000  # resamples of a bootstrap
CONFIDENCE_LEVEL: Final = 0.95


class ConfidenceInterval(NamedTuple):
    """The bounds of a confidence interval."""

    low: float
    high: float


@dataclass(frozen=True, slots=True)
class Difference:
    """The difference of a candidate from a baseline at one load and number of couriers.

    Attributes:
        load: offered load of the runs.
        courier_count: number of couriers in each run.
        pair_count: number of pairs of runs.
        baseline_mean: mean of the baseline over the seeds.
        candidate_mean: mean of the candidate over the seeds.
        mean_difference: mean of candidate minus baseline.
        interval: confidence interval of the mean difference.
    """

    load: float
    courier_count: int
    pair_count: int
    baseline_mean: float
    candidate_mean: float
    mean_difference: float
    interval: ConfidenceInterval

    @property
    def is_significant(self) -> bool:
        """Whether the interval excludes zero."""
        return self.interval.low > 0.0 or self.interval.high < 0.0


def bootstrap_interval(differences: npt.NDArray[np.float64], seed: int = 0) -> ConfidenceInterval:
    """Return the percentile bootstrap interval of a mean (Efron and Tibshirani 1993, chapter 13).

    Args:
        differences: one difference for each pair; shape (pairs,).
        seed: seed of the resampling; the same values and seed give the same interval.
    """
    rng = np.random.default_rng(seed)
    resamples = rng.integers(0, len(differences), (RESAMPLE_COUNT, len(differences)))
    means = differences[resamples].mean(axis=1)
    tail = (1 - CONFIDENCE_LEVEL) / 2
    low, high = np.quantile(means, [tail, (1 + CONFIDENCE_LEVEL) / 2])
    return ConfidenceInterval(float(low), float(high))


def compare(baseline: pl.DataFrame, candidate: pl.DataFrame, measure: str) -> list[Difference]:
    """Compare the runs of two tables, paired by load, couriers and seed; ignore unpaired runs.

    Args:
        baseline: table of the baseline's runs.
        candidate: table of the candidate's runs.
        measure: name of the column that is compared.
    """
    pairs = (
        _measure_column(baseline, measure, "baseline")
        .join(_measure_column(candidate, measure, "candidate"), on=PAIR_COLUMNS)
        .drop_nulls()
    )
    return [
        _difference(float(load), int(courier_count), rows)
        for (load, courier_count), rows in sorted(pairs.group_by(["load", "couriers"]))
    ]


def _measure_column(runs: pl.DataFrame, measure: str, name: str) -> pl.DataFrame:
    return runs.select(*PAIR_COLUMNS, pl.col(measure).cast(pl.Float64).alias(name))


def _difference(load: float, courier_count: int, pairs: pl.DataFrame) -> Difference:
    baseline = pairs["baseline"].to_numpy()
    candidate = pairs["candidate"].to_numpy()
    differences = candidate - baseline
    return Difference(
        load=load,
        courier_count=courier_count,
        pair_count=len(pairs),
        baseline_mean=float(baseline.mean()),
        candidate_mean=float(candidate.mean()),
        mean_difference=float(differences.mean()),
        interval=bootstrap_interval(differences),
    )
