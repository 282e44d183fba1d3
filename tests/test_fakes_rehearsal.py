"""Rehearsals with processes on real sockets; no assertion depends on the speed of the machine."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from winchspan.fakes.clients import Stream
from winchspan.fakes.partner import Outage, PartnerSettings
from winchspan.fakes.rehearsal import Rehearsal, RehearsalError
from winchspan.fakes.scenario import Scenario


def scenario() -> Scenario:
    """Return a scenario of 2 s, whose deadlines are so late that no message expires on a slow machine."""
    partner = PartnerSettings(outages=(Outage(600.0, 1_200.0),), fall_multiple=1e6, cold=1_000.0)
    streams = (
        Stream("order-payment", 7, 10.0, end=2_000.0, keys=3, tries=50),
        Stream("order-payment", 8, 5.0, end=2_000.0, tries=50),
    )
    return Scenario((partner, PartnerSettings(number=8)), streams, couriers=2, duration_ms=2_000.0)


def test_rehearsal_with_an_outage_ends_each_message_once(tmp_path: Path):
    operator = tmp_path / "storms.sexp"
    operator.write_text("(storms (on yes) (words yes))")
    result = asyncio.run(Rehearsal(scenario(), 3, tmp_path, operator).run())
    assert result.ended > 10 and result.delivered > 0
    assert (result.twice, result.double, result.early, result.unended) == (0, 0, 0, 0)


def test_rehearsal_with_an_invalid_operators_file_names_the_courier(tmp_path: Path):
    operator = tmp_path / "bad.sexp"
    operator.write_text("(storms (on perhaps))")
    with pytest.raises(RehearsalError, match="did not come up"):
        asyncio.run(Rehearsal(scenario(), 3, tmp_path, operator).run())
    assert "bad.sexp:1:13: storms.on: expected yes or no" in (tmp_path / "n0" / "log").read_text()
