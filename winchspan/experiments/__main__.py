"""Command line of the experiment tool: runs and compares experiments, writes reports, searches for faults."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Final, NoReturn

import click
import polars as pl

from winchspan.config.operator.reader import OperatorError
from winchspan.experiments.comparison import Difference, compare
from winchspan.experiments.experiment import Experiment
from winchspan.experiments.experiment_file import format_point, load_experiment
from winchspan.experiments.fault_search import TrialResult, search_faults
from winchspan.experiments.report import describe_violations, write_report
from winchspan.experiments.results import ResultsError, ResultStore, Table
from winchspan.experiments.shrinking import rule_name, shrink

EXIT_RULE_BROKEN: Final = 1
EXIT_USAGE: Final = 2
DIRECTORY: Final = click.Path(file_okay=False, path_type=Path)
EXPERIMENT_FILE: Final = click.Path(exists=True, dir_okay=False, path_type=Path)
WORKER_COUNT: Final = click.IntRange(1, 1_024)


def exit_with_error(error: object) -> NoReturn:
    """Print an error on standard error and exit with code 2."""
    click.echo(f"winchspan: {error}", err=True)
    sys.exit(EXIT_USAGE)


def read_experiment(path: Path) -> Experiment:
    """Read an experiment file; exit with code 2 if it is invalid."""
    try:
        return load_experiment(path)
    except OperatorError as err:
        exit_with_error(err)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Run experiments in virtual time.

    Exit codes: 0 success, 1 a rule was broken, 2 invalid arguments or files.
    """


@main.command("run")
@click.argument("path", metavar="FILE", type=EXPERIMENT_FILE)
@click.argument("directory", metavar="FOLDER", type=DIRECTORY)
@click.option(
    "--workers", "worker_count", type=WORKER_COUNT, help="number of processes; default: one for each core"
)
def run_command(path: Path, directory: Path, worker_count: int | None) -> None:
    """Execute the runs of FILE that are not stored in FOLDER yet, and write the tables there.

    Example: python -m winchspan.lab run examples/lab/storms.sexp results
    """
    experiment = read_experiment(path)
    store = ResultStore(directory)
    try:
        with click.progressbar(length=len(experiment.points), label=experiment.name, file=sys.stderr) as bar:
            new_run_count = store.run_missing(experiment, worker_count, bar.update)
        runs = store.table(Table.RUN)
    except ResultsError as err:
        exit_with_error(err)
    click.echo(f"{len(runs)} runs, {new_run_count} of them new; {describe_violations(runs)}")
    sys.exit(EXIT_RULE_BROKEN if runs["breaches"].sum() else 0)


@main.command("compare")
@click.argument("directory", metavar="FOLDER", type=DIRECTORY)
@click.argument("baseline", metavar="A")
@click.argument("candidate", metavar="B")
@click.option(
    "--other",
    "candidate_directory",
    type=DIRECTORY,
    help="folder that holds the runs of B; default: FOLDER",
)
@click.option("--measure", default="worth", show_default=True, help="column of the table of runs")
def compare_command(
    directory: Path, baseline: str, candidate: str, candidate_directory: Path | None, measure: str
) -> None:
    """Compare variant B with variant A of FOLDER; runs are paired by load, couriers and seed.

    Example: python -m winchspan.experiments compare results off on --measure worth
    """
    try:
        baseline_runs = ResultStore(directory).table(Table.RUN)
        candidate_runs = ResultStore(candidate_directory or directory).table(Table.RUN)
    except ResultsError as err:
        exit_with_error(err)
    differences = compare(
        _runs_of_variant(baseline_runs, baseline, measure),
        _runs_of_variant(candidate_runs, candidate, measure),
        measure,
    )
    for difference in differences:
        click.echo(_format_difference(difference, measure))


def _runs_of_variant(runs: pl.DataFrame, variant: str, measure: str) -> pl.DataFrame:
    """Return a variant's runs; exit with code 2 if the variant or the measure is unknown."""
    if measure not in runs.columns or not runs[measure].dtype.is_numeric():
        columns = ", ".join(runs.columns)
        exit_with_error(f"--measure: no numeric column {measure!r}; the columns are {columns}")
    selected = runs.filter(pl.col("variant") == variant)
    if not len(selected):
        variants = ", ".join(sorted(set(runs["variant"])))
        exit_with_error(f"no variant {variant!r}; there are {variants}")
    return selected


def _format_difference(difference: Difference, measure: str) -> str:
    significance = " *" if difference.is_significant else ""
    return (
        f"load {difference.load:g}, {difference.courier_count} couriers, pairs of {difference.pair_count}: "
        f"{measure} {difference.baseline_mean:.4f} -> {difference.candidate_mean:.4f}, "
        f"{difference.mean_difference:+.4f} "
        f"({difference.interval.low:+.4f} to {difference.interval.high:+.4f}){significance}"
    )


@main.command("report")
@click.argument("directory", metavar="FOLDER", type=DIRECTORY)
def report_command(directory: Path) -> None:
    """Draw the charts of the runs in FOLDER, and write a page that shows them."""
    try:
        click.echo(write_report(ResultStore(directory)))
    except (ResultsError, OSError) as err:
        exit_with_error(err)


@main.command("hunt")
@click.argument("path", metavar="FILE", type=EXPERIMENT_FILE)
@click.option(
    "--days",
    "trial_count",
    type=click.IntRange(1, 10_000_000),
    default=200,
    show_default=True,
    help="number of trials",
)
@click.option("--seed", type=int, default=1, show_default=True, help="seed of the trials")
@click.option(
    "--workers", "worker_count", type=WORKER_COUNT, help="number of processes; default: one for each core"
)
@click.option(
    "--keep",
    "output_directory",
    type=DIRECTORY,
    help="existing folder for shrunk failures, as experiment files",
)
def fault_search_command(
    path: Path, trial_count: int, seed: int, worker_count: int | None, output_directory: Path | None
) -> None:
    """Search for runs that break a rule: the first point of FILE with other seeds and random faults.

    Example: python -m winchspan.lab hunt examples/lab/hunt.sexp --days 1000 --keep tests/regressions
    """
    base = read_experiment(path).points[0]
    with click.progressbar(length=trial_count, label="trials", file=sys.stderr) as bar:
        results = search_faults(base, seed, trial_count, worker_count, lambda result: bar.update(1))
    failures = [result for result in results if result.is_failure]  # at most `MAX_RESULTS`
    worst = min(results, key=lambda result: result.weight_share)
    click.echo(
        f"{trial_count} trials, {len(failures)} failures; "
        f"the lowest share of the offered weight is {worst.weight_share:.3f}, with seed {worst.point.seed}"
    )
    for rule in sorted({rule_name(failure.broken_rules[0]) for failure in failures}):
        failure = next(candidate for candidate in failures if candidate.broken_rules[0].startswith(rule))
        _report_shrunk(shrink(failure), rule, seed, output_directory)
    sys.exit(EXIT_RULE_BROKEN if failures else 0)


def _report_shrunk(failure: TrialResult, rule: str, seed: int, output_directory: Path | None) -> None:
    """Write a shrunk failure as an experiment file; print it if there is no output directory."""
    broken = ", ".join(failure.broken_rules)
    text = format_point(failure.point, f"Found by a fault search (seed {seed}) and shrunk: breaks {broken}.")
    if output_directory is None:
        click.echo(text)
        return
    path = output_directory / f"{rule}-{failure.point.seed}.sexp"
    path.write_text(text, encoding="utf-8")
    click.echo(f"{path}: {broken}")


if __name__ == "__main__":
    main(prog_name="winchspan.experiments")
