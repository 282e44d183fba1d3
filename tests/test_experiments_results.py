"""The stored runs and the tables of a small experiment."""

from __future__ import annotations

import os
from pathlib import Path

import polars as pl
import pytest

from tests.experiment_samples import run_small_experiment
from winchspan.experiments import results as results_module
from winchspan.experiments.experiment_file import load_experiment
from winchspan.experiments.results import ResultsError, ResultStore, Table


@pytest.fixture(scope="module")
def directory(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """A directory with the results of a small experiment."""
    return run_small_experiment(tmp_path_factory.mktemp("lab"))


def test_tables_contain_a_row_for_each_run_window_cause_and_quantile(directory: Path):
    store = ResultStore(directory / "out")
    runs = store.table(Table.RUN)
    assert len(runs) == 8 and set(runs["variant"]) == {"off", "on"} and runs["breaches"].sum() == 0
    windows, causes = store.table(Table.WINDOWS), store.table(Table.CAUSES)
    assert windows["at"].unique().sort().to_list() == [0.0, 10_000.0]
    lost = windows["asked"].sum() - windows["got"].sum()
    assert lost > 10 and causes["worth"].sum() == pytest.approx(lost), "each loss has a cause"
    p50 = store.table(Table.LATENCIES).filter(pl.col("quantile") == 50.0)
    assert p50["ms"].min() >= 200.0  # type: ignore[operator]


def test_run_missing_skips_stored_runs_and_repeats_deleted_ones(directory: Path):
    store, experiment = ResultStore(directory / "out"), load_experiment(directory / "small.sexp")
    before = store.table(Table.RUN)
    assert store.run_missing(experiment, 1) == 0
    next((directory / "out" / "runs").iterdir()).unlink()
    assert store.run_missing(experiment, 1) == 1
    assert store.table(Table.RUN).equals(before), "a repeated run gives the same result"
    assert len(store.missing_points(experiment.points, "other code")) == 8
    broken = next((directory / "out" / "runs").iterdir())
    stored = broken.read_bytes()
    broken.write_bytes(b"{")
    with pytest.raises(ResultsError, match="cannot be read"):
        store.run_missing(experiment, 1)
    broken.write_bytes(stored)


def test_run_missing_retains_runs_of_other_code_up_to_a_bound(
    directory: Path, monkeypatch: pytest.MonkeyPatch
):
    runs, experiment = directory / "out" / "runs", load_experiment(directory / "small.sexp")
    for number in range(5):
        (runs / f"old-{number}.json").write_text("{}")
        os.utime(runs / f"old-{number}.json", (number, number))
    monkeypatch.setattr(results_module, "MAX_OTHER_RUNS", 2)
    assert ResultStore(directory / "out").run_missing(experiment, 1) == 0
    assert sorted(path.name for path in runs.glob("old-*")) == ["old-3.json", "old-4.json"]
    assert len(list(runs.iterdir())) == 10
