"""Shrinking preserves the cause of a failure and removes unrelated faults."""

from __future__ import annotations

from tests.experiment_samples import base_point
from winchspan.experiments.experiment import Point
from winchspan.experiments.fault_search import TrialResult, draw_point
from winchspan.experiments.shrinking import shrink


def run_with_a_fragile_courier(point: Point) -> TrialResult:
    """Simulate a failure of each run of more than 7 s in which the connections of courier n0 are reset."""
    has_reset = any(fault.kind == "reset" and fault.source == "n0" for fault in point.environment.faults)
    is_failure = has_reset and point.duration_seconds > 7
    return TrialResult(point, ("order",) if is_failure else (), 0.5)


def test_shrink_preserves_the_cause_and_removes_other_faults():
    number = next(
        number
        for number in range(200)
        if run_with_a_fragile_courier(draw_point(base_point(), 5, number)).is_failure
        and len(draw_point(base_point(), 5, number).environment.faults) > 3
    )
    failure = run_with_a_fragile_courier(draw_point(base_point(), 5, number))
    shrunk = shrink(failure, run_with_a_fragile_courier)
    assert [fault.kind for fault in shrunk.point.environment.faults] == ["reset"]
    assert shrunk.point.courier_count == 1
    assert shrunk.is_failure and shrunk.point.duration_seconds < 10 and not shrunk.point.partner.outages
