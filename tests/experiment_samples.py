"""Sample experiments for the tests of the experiment tool."""

from __future__ import annotations

from pathlib import Path

from click.testing import CliRunner

from winchspan.experiments.__main__ import main
from winchspan.experiments.experiment import Point
from winchspan.experiments.experiment_file import parse_experiment

SMALL = """
(experiment (seconds 12) (loads 0.5 0.9) (couriers 2) (seeds 2))
(partner (outage 3 7) (cold 2))
(variant "off") (variant "on" (operator "storms.sexp"))
"""


def run_small_experiment(directory: Path) -> Path:
    """Run a small experiment by the `run` command; store the results in `directory / "out"`."""
    (directory / "storms.sexp").write_text("(storms (on yes))")
    (directory / "small.sexp").write_text(SMALL)
    arguments = ["run", str(directory / "small.sexp"), str(directory / "out"), "--workers", "2"]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 0 and "8 runs, 8 of them new" in result.output, result.output
    return directory


def base_point() -> Point:
    """Return a short run of two couriers with an outage."""
    text = "(experiment (seconds 20) (loads 0.8) (couriers 2) (seeds 1))(partner (outage 5 10))"
    return parse_experiment(text, "x.sexp", Path()).points[0]
