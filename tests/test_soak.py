"""A short soak of a few seeded days; `python -m tests.soak FIRST LAST` runs a longer one."""

from __future__ import annotations

import time
from pathlib import Path

import pytest

from .slow_start_processes import Overload
from .soak import Accepted, SoakAudit, Unanswered, draw_day, run_day


@pytest.mark.parametrize("seed", [1, 2, 8])
def test_soak_day_breaks_no_rule(seed: int, tmp_path: Path):
    audit = run_day(draw_day(seed), tmp_path)
    assert audit.faults(time.monotonic()) == {}


def test_soak_audit_names_each_broken_rule():
    """Guards against an audit that overlooks a broken rule, so that no day can fail by it."""
    audit = SoakAudit()
    audit.accepted = {
        "in time": Accepted(0, "order-payment", due_at=10.0, ended_at=9.0),
        "late": Accepted(0, "order-payment", due_at=10.0, ended_at=10.5),
        "never": Accepted(1, "order-payment", due_at=10.0),
        "late by a restart": Accepted(2, "order-payment", due_at=10.0, ended_at=13.0),
        "late in spite of a restart": Accepted(2, "order-payment", due_at=10.0, ended_at=13.6),
    }
    audit.downtimes = [(2, 8.0, 12.0)]
    audit.unanswered.append(Unanswered("a", 1, 0.1, True, None, ""))
    audit.concurrent.append("b")
    audit.late_stops.append(3)
    audit.crashes.append("n1")
    audit.overload = Overload(at_seconds=1.0, calls=80, aware_calls=70, budget=50.0)
    faults = audit.faults(now=20.0)
    assert faults.pop("lost") == ["late", "never", "late in spite of a restart"]
    assert faults.keys() == {"unanswered", "twice at once", "late stops", "crashes", "overload"}
    assert not Overload(at_seconds=1.0, calls=80, aware_calls=40, budget=50.0).breaks_rule
