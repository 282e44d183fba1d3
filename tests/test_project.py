"""The deploy file, the README example, settings validation and the page of races match the code."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

from winchspan.api import MessageClass

from .helpers import settings

ROOT = Path(__file__).parent.parent


def test_deploy_file_names_every_decision_module():
    policy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    files = [ROOT / name for name in policy]
    assert files == sorted((ROOT / "winchspan" / "scheduling").rglob("*.py"))
    lines = [line for path in files for line in path.read_text().splitlines()]
    assert max(len(line) for line in lines) <= 110


def test_the_readme_example_runs(capsys: pytest.CaptureFixture[str]):
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert code is not None
    exec(compile(code[1], "README.md", "exec"), {"__name__": "readme"})
    assert "delivered: order-1" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("classes", {}),
        ("slots", 0),
        ("max_held", -1),
        ("step_ns", 0),
        ("tip_after_ns", -5),
        ("start_capacity", 0.0),
        ("answer_grace_ns", -1),
        ("classes", {"x": MessageClass("x", latency_objective_ns=0)}),
    ],
)
def test_error_of_an_invalid_setting_names_it(name: str, value: object):
    with pytest.raises(ValueError, match=name):
        settings(**{name: value})


def test_each_race_of_the_races_page_names_an_existing_test():
    rows = [
        line
        for line in (ROOT / "docs" / "races.md").read_text().splitlines()
        if line.startswith("| ") and not line.startswith(("| crossing", "| ---"))
    ]
    existing_tests = {
        name
        for path in (ROOT / "tests").glob("test_*.py")
        for name in re.findall(r"^def (test_\w+)", path.read_text(), re.MULTILINE)
    }
    named = [re.findall(r"`(test_\w+)`", row) for row in rows]
    assert len(rows) > 30 and all(tests and set(tests) <= existing_tests for tests in named), [
        row for row, tests in zip(rows, named, strict=True) if not tests or not set(tests) <= existing_tests
    ]
