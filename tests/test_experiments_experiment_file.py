"""Experiment files: rejected files, written files, and the addresses of stored runs."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest
from click.testing import CliRunner
from msgspec.structs import replace as replace_struct

from tests.experiment_samples import base_point
from winchspan.config.operator.reader import OperatorError
from winchspan.experiments.__main__ import main
from winchspan.experiments.experiment_file import format_point, load_experiment, parse_experiment
from winchspan.experiments.fault_search import draw_point
from winchspan.simulation.environment import FaultKind, InjectedFault


@pytest.mark.parametrize(
    ("text", "expected_error"),
    [
        ("(experiment (seconds 0))", "x.sexp:1:22: experiment.seconds: expected 1 to 86400 s, not 0"),
        ("(experiment (loads))", "experiment.loads: expected at least one number"),
        ("(partner (outage 3))", "partner.outage: expected two numbers, not 1"),
        ('(trouble "a" (what cut))', "trouble.target of 'a': a cut needs a target"),
        ('(trouble "a" (what vanish) (source "n7"))', "trouble.source of 'a': there is no courier 'n7'"),
        ('(variant "a" (operator "none.sexp"))', "variant.operator of 'a': cannot read none.sexp"),
    ],
)
def test_load_experiment_of_an_invalid_file_reports_the_error_in_one_line(
    tmp_path: Path, text: str, expected_error: str
):
    (tmp_path / "x.sexp").write_text(text)
    with pytest.raises(OperatorError, match=expected_error.replace("(", r"\(")):
        load_experiment(tmp_path / "x.sexp")
    result = CliRunner().invoke(main, ["run", str(tmp_path / "x.sexp"), str(tmp_path / "out")])
    assert result.exit_code == 2 and result.output.count("\n") == 1


def test_format_point_of_a_drawn_point_is_read_as_the_same_point():
    for number in range(20):
        point = draw_point(base_point(), 3, number)
        parsed = parse_experiment(format_point(point, "found"), "x.sexp", Path()).points[0]
        assert replace(parsed, variant=point.variant) == point
        assert draw_point(base_point(), 3, number) == point


def test_point_address_is_compatible_with_runs_stored_by_earlier_versions():
    point = base_point()
    fault = InjectedFault(100.0, FaultKind.POWER_LOSS, "n0", "", 2_000.0)
    with_fault = replace(point, environment=replace_struct(point.environment, faults=(fault,)))
    assert point.address("code") == "33a90724a7b63c205b8e841eb29b0aa4"
    assert with_fault.address("code") == "c8b2e95cb77aaf7305ba807801f8fe97"
