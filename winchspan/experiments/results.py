"""Stores runs under their addresses, executes missing runs on all cores, and builds tables from them."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from enum import StrEnum
from pathlib import Path
from typing import Final

import msgspec
import polars as pl

from winchspan.experiments.experiment import Experiment, Point, hash_code
from winchspan.experiments.measures import Row
from winchspan.experiments.runner import Run, run_point

MAX_OTHER_RUNS: Final = 10_000  # retained runs of other code or other experiment files
RUNS_DIRECTORY: Final = "runs"
EXPERIMENT_FILE: Final = "experiment.sexp"


class Table(StrEnum):
    """The tables of an experiment; the values are file names and field names of a stored run."""

    RUN = "run"
    WINDOWS = "windows"
    CAUSES = "causes"
    LATENCIES = "latencies"
    VIOLATIONS = "breaches"


class ResultsError(Exception):
    """A directory of results cannot be used; the message states the reason."""


class ResultStore:
    """A directory with runs (`runs/ADDRESS.json`), the experiment file, and the tables as Parquet files.

    Attributes:
        directory: path of the directory; `run_missing` creates it.
    """

    def __init__(self, directory: Path) -> None:
        self.directory = directory

    def missing_points(self, points: Iterable[Point], code_hash: str) -> list[Point]:
        """Return the points whose runs are not stored yet."""
        return [point for point in points if not self._run_path(point, code_hash).exists()]

    def run_missing(
        self,
        experiment: Experiment,
        worker_count: int | None = None,
        on_progress: Callable[[int], None] = lambda run_count: None,
    ) -> int:
        """Execute the runs that are not stored yet and write the tables.

        Each run is stored as soon as it is complete, so that an interrupted experiment can be resumed.

        Args:
            experiment: the experiment whose points are run.
            worker_count: number of processes; None: one for each core.
            on_progress: called with the number of runs that have become available.

        Returns:
            The number of runs that were executed.
        """
        code_hash = hash_code()
        (self.directory / RUNS_DIRECTORY).mkdir(parents=True, exist_ok=True)
        (self.directory / EXPERIMENT_FILE).write_text(experiment.text, encoding="utf-8")
        missing = self.missing_points(experiment.points, code_hash)
        on_progress(len(experiment.points) - len(missing))
        with ProcessPoolExecutor(worker_count or os.cpu_count()) as pool:
            futures = {pool.submit(run_point, point): point for point in missing}
            for future in as_completed(futures):
                self._write_run(self._run_path(futures[future], code_hash), future.result())
                on_progress(1)
        paths = [self._run_path(point, code_hash) for point in experiment.points]
        self._delete_old_runs(set(paths))
        self._write_tables([self._read_run(path) for path in paths])
        return len(missing)

    def table(self, table: Table) -> pl.DataFrame:
        """Read a table.

        Raises:
            ResultsError: if the table does not exist or cannot be read.
        """
        try:
            return pl.read_parquet(self._table_path(table))
        except (OSError, pl.exceptions.PolarsError) as err:
            raise ResultsError(f"{self.directory}: no table {table.value!r}: {err}") from None

    def _run_path(self, point: Point, code_hash: str) -> Path:
        return self.directory / RUNS_DIRECTORY / f"{point.address(code_hash)}.json"

    def _table_path(self, table: Table) -> Path:
        return self.directory / f"{table.value}.parquet"

    def _delete_old_runs(self, needed: set[Path]) -> None:
        """Delete the oldest runs of other code or other files that exceed `MAX_OTHER_RUNS`."""
        runs = (self.directory / RUNS_DIRECTORY).glob("*.json")
        others = sorted((path for path in runs if path not in needed), key=lambda path: path.stat().st_mtime)
        surplus = max(0, len(others) - MAX_OTHER_RUNS)
        for path in others[:surplus]:
            path.unlink()

    @staticmethod
    def _write_run(path: Path, run: Run) -> None:
        partial = path.with_suffix(".part")
        partial.write_bytes(msgspec.json.encode(run))
        os.replace(partial, path)  # atomic: a run is stored completely or not at all

    @staticmethod
    def _read_run(path: Path) -> Run:
        try:
            return msgspec.json.decode(path.read_bytes(), type=Run)
        except (OSError, msgspec.MsgspecError) as err:
            raise ResultsError(
                f"{path}: cannot be read: {err}; delete the file and run the experiment again"
            ) from None

    def _write_tables(self, runs: Sequence[Run]) -> None:
        for table in Table:
            frame = pl.DataFrame(_table_rows(runs, table), infer_schema_length=None)
            frame.write_parquet(self._table_path(table))


def _table_rows(runs: Sequence[Run], table: Table) -> list[Row]:
    match table:
        case Table.RUN:
            return [run.run for run in runs]
        case Table.WINDOWS:
            return [row for run in runs for row in run.windows]
        case Table.CAUSES:
            return [row for run in runs for row in run.causes]
        case Table.LATENCIES:
            return [row for run in runs for row in run.latencies]
        case Table.VIOLATIONS:
            return [row for run in runs for row in run.breaches]
