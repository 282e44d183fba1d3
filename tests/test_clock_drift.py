"""Detection of drifting clocks from other nodes' reports."""

from __future__ import annotations

import random

import pytest

from winchspan.leases.clock_drift import ClockDriftMonitor


def report_readings(
    monitor: ClockDriftMonitor,
    drift_rates: dict[str, float],
    duration_ms: float,
    delay_ms: float = 0.0,
    stalled_ms: float = 0.0,
) -> None:
    """Report the nodes' clocks every 1.8 s; reports within `stalled_ms` from 12 s on arrive together."""
    rng, now, stalled_reports = random.Random(1), 0.0, list[tuple[str, float]]()
    while now < duration_ms:
        for name, rate in drift_rates.items():
            reading = 5e6 + now * (1.0 + rate)
            latency_ms = rng.expovariate(1.0 / delay_ms) if delay_ms else 0.0
            if stalled_ms and 12_000.0 < now < 12_000.0 + stalled_ms:
                stalled_reports.append((name, reading))
            else:
                monitor.record_reading(now + latency_ms, name, 1, reading)
        if stalled_reports and now > 12_000.0 + stalled_ms:
            for name, reading in stalled_reports:
                monitor.record_reading(now, name, 1, reading)
            stalled_reports.clear()
        now += 1_800.0


@pytest.mark.parametrize(("delay_ms", "stalled_ms"), [(0.0, 0.0), (20.0, 0.0), (5.0, 9_000.0)])
def test_find_drifting_clocks_with_twice_the_stated_drift_names_only_that_clock(
    delay_ms: float, stalled_ms: float
):
    monitor = ClockDriftMonitor()
    report_readings(monitor, {"n1": 0.0001, "n2": 0.02}, 60_000.0, delay_ms, stalled_ms)
    found = monitor.find_drifting_clocks("n0", 0.01)
    assert list(found) == ["n2"] and found["n2"] == pytest.approx(0.02, abs=0.004)
    in_bounds = ClockDriftMonitor()
    report_readings(in_bounds, {"n1": 0.01, "n2": -0.01}, 60_000.0, delay_ms, stalled_ms)
    assert in_bounds.find_drifting_clocks("n0", 0.01) == {}


def test_find_drifting_clocks_names_the_local_clock_and_none_of_two():
    monitor = ClockDriftMonitor()
    report_readings(monitor, {"n1": 0.02, "n2": 0.0201}, 60_000.0, 5.0)
    assert list(monitor.find_drifting_clocks("n0", 0.01)) == ["n0"], "all other clocks agree"
    two = ClockDriftMonitor()
    report_readings(two, {"n1": 0.05}, 60_000.0)
    assert two.find_drifting_clocks("n0", 0.01) == {} and two.drift_rate("n1") == pytest.approx(0.05)
    monitor.record_reading(70_000.0, "n1", 2, 100.0)
    assert monitor.drift_rate("n1") is None, "a new process may have another clock"
