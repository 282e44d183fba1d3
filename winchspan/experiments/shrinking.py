"""Reduces a failing run to a smaller one that breaks the same rule (Zeller and Hildebrandt 2002)."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Final

from msgspec.structs import replace as replace_struct

from winchspan.experiments.experiment import Point
from winchspan.experiments.fault_search import TrialResult, run_trial
from winchspan.simulation.link import LinkProfile

MAX_TRIALS: Final = 200  # upper bound on the runs for shrinking one point
MIN_DURATION_SECONDS: Final = 4.0
DURATION_FACTORS: Final = (0.5, 0.8)
MIN_HALVED_LOAD: Final = 0.2  # loads above it are halved


def rule_name(broken_rule: str) -> str:
    """Return the name of a broken rule without its details; all crashes have the same name."""
    return broken_rule.partition(":")[0]


def shrink_candidates(point: Point) -> Iterator[Point]:
    """Yield reductions of a point: fewer faults first, then a lower load and a simpler environment."""
    yield from _with_fewer_faults(point)
    yield from _with_less_load(point)


def _with_fewer_faults(point: Point) -> Iterator[Point]:
    environment = point.environment
    faults = environment.faults
    subsets = []
    if len(faults) > 2:
        half = len(faults) // 2
        subsets += [faults[:half], faults[half:]]
    subsets += [faults[:index] + faults[index + 1 :] for index in range(len(faults))]
    for subset in subsets:
        yield replace(point, environment=replace_struct(environment, faults=subset))


def _with_less_load(point: Point) -> Iterator[Point]:
    environment = point.environment
    for factor in DURATION_FACTORS:
        duration_seconds = point.duration_seconds * factor
        if duration_seconds >= MIN_DURATION_SECONDS:
            yield replace(point, duration_seconds=round(duration_seconds, 1))
    if point.courier_count > 1 and not _has_fault_at(point, f"n{point.courier_count - 1}"):
        yield replace(point, courier_count=point.courier_count - 1)
    if point.partner.outages:
        yield replace(point, partner=replace(point.partner, outages=()))
    if environment.is_fragmenting:
        yield replace(point, environment=replace_struct(environment, is_fragmenting=False))
    if environment.default_link != LinkProfile():
        yield replace(point, environment=replace_struct(environment, default_link=LinkProfile()))
    if point.load > MIN_HALVED_LOAD:
        yield replace(point, load=round(point.load / 2, 3))


def _has_fault_at(point: Point, node: str) -> bool:
    return any(node in (fault.source, fault.target) for fault in point.environment.faults)


def shrink(result: TrialResult, run: Callable[[Point], TrialResult] = run_trial) -> TrialResult:
    """Return the smallest failure found that breaks the same rule as the first broken rule of a result.

    Args:
        result: the failure to reduce.
        run: function that runs a point.
    """
    rule = rule_name(result.broken_rules[0])
    smallest = result
    trial_count = 0
    candidates = shrink_candidates(smallest.point)
    while trial_count < MAX_TRIALS:
        point = next(candidates, None)
        if point is None:
            break
        trial_count += 1
        candidate = run(point)
        if any(rule_name(broken) == rule for broken in candidate.broken_rules):
            smallest = candidate
            candidates = shrink_candidates(smallest.point)
    return smallest
