"""Comparisons: confidence intervals, and unpaired runs."""

from __future__ import annotations

import numpy as np
import polars as pl

from winchspan.experiments.comparison import bootstrap_interval, compare


def test_bootstrap_interval_contains_the_mean_at_its_confidence_level():
    rng, covered_count = np.random.default_rng(4), 0
    for trial in range(200):
        low, high = bootstrap_interval(rng.normal(1.0, 2.0, 30), trial)
        covered_count += low <= 1.0 <= high
    assert 180 <= covered_count <= 199, "95% in theory, a little less with 30 pairs"


def test_compare_ignores_unpaired_runs():
    baseline = pl.DataFrame({"load": [1.0, 1.0], "couriers": [3, 3], "seed": [1, 2], "worth": [0.5, 0.7]})
    candidate = pl.DataFrame({"load": [1.0], "couriers": [3], "seed": [2], "worth": [0.9]})
    (difference,) = compare(baseline, candidate, "worth")
    assert (difference.pair_count, round(difference.mean_difference, 6), difference.is_significant) == (
        1,
        0.2,
        True,
    )
