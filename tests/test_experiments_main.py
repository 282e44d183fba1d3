"""The commands `run`, `compare` and `report` on a small experiment."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Final

import pytest
from click.testing import CliRunner

from tests.experiment_samples import run_small_experiment
from winchspan.experiments.__main__ import main, read_experiment

REPOSITORY: Final = Path(__file__).parent.parent


@pytest.fixture(scope="module")
def directory(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """A directory with the results of a small experiment."""
    return run_small_experiment(tmp_path_factory.mktemp("lab"))


def test_compare_command_pairs_runs_by_seed_and_rejects_unknown_variants(directory: Path):
    arguments = ["compare", str(directory / "out"), "off", "on", "--measure", "most_a_second"]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 0 and result.output.count("pairs of 2") == 2, result.output
    unknown = CliRunner().invoke(main, ["compare", str(directory / "out"), "off", "none"])
    assert unknown.exit_code == 2 and "no variant 'none'; there are off, on" in unknown.output


def test_report_command_writes_a_page_with_all_charts(directory: Path):
    result = CliRunner().invoke(main, ["report", str(directory / "out")])
    assert result.exit_code == 0, result.output
    page = (directory / "out" / "report.html").read_text()
    image_names = sorted(path.name for path in (directory / "out").glob("*.png"))
    assert len(image_names) >= 4 and all(f'src="{name}"' in page for name in image_names)
    assert "on less off" in page and "no rule was broken" in page


# Guards against examples in the help that name a file which does not exist.
@pytest.mark.parametrize("command", ["run", "hunt"])
def test_help_examples_name_existing_experiment_files(command: str):
    help_text = CliRunner().invoke(main, [command, "--help"]).output
    paths = re.findall(r"examples/\S+\.sexp", help_text)
    assert paths
    for path in paths:
        assert read_experiment(REPOSITORY / path).points
