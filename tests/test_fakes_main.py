"""The command `python -m winchspan.fakes`."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path

from click.testing import CliRunner

from winchspan.fakes.__main__ import broken_rules
from winchspan.fakes.__main__ import main as rehearse
from winchspan.fakes.audit import Result
from winchspan.fakes.rehearsal import Rehearsal

from .test_fakes_rehearsal import scenario


def test_command_with_an_invalid_option_exits_with_2():
    for options in (["--load", "9"], ["--mode", "asleep"], ["--operator", "no-such-file"]):
        assert CliRunner().invoke(rehearse, options).exit_code == 2


def test_broken_rules_with_all_rules_broken_describes_each(tmp_path: Path):
    result = asyncio.run(Rehearsal(scenario(), 3, tmp_path).run())
    assert any("collapsed" in text for text in broken_rules(_with(result, falls=1), 1e9))
    all_broken = _with(result, twice=1, double=1, early=1, unended=1, most_a_second=99, falls=1)
    assert len(broken_rules(all_broken, 20.0)) == 6


def _with(result: Result, **changes: int) -> Result:
    return replace(result, **changes)  # type: ignore[arg-type]
