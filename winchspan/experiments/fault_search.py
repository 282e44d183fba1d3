"""Fault search: runs a point with random seeds and injected faults, and collects failures."""

from __future__ import annotations

import os
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from typing import Final

import numpy as np

from winchspan.experiments.experiment import MS_PER_SECOND, Point
from winchspan.experiments.runner import run_point
from winchspan.simulation.environment import Environment, FaultKind, InjectedFault
from winchspan.simulation.link import LinkProfile

MAX_FAULTS: Final = 6  # injected in one trial
BATCH_SIZE: Final = 512  # trials that are submitted to the workers at once
MAX_RESULTS: Final = 200  # results that a search retains, the worst ones
MAX_CRASH_LENGTH: Final = 200  # characters of the description of a crash
FAULT_KINDS: Final = (
    FaultKind.PARTITION,
    FaultKind.POWER_LOSS,
    FaultKind.RESET_CONNECTIONS,
    FaultKind.RESTART,
    FaultKind.RELOAD,
    FaultKind.WALL_TIME_STEP,
    FaultKind.DISK_FULL,
    FaultKind.DRAIN,
    FaultKind.ENDPOINT_OFFLINE,
    FaultKind.RECONFIGURE,
    FaultKind.UPGRADE,
)
INSTANT_KINDS: Final = (FaultKind.RELOAD, FaultKind.UPGRADE)  # faults without a duration
PARTNER_NODES: Final = ("partner 7", "partner 8")
REMOTE_NODES: Final = (*PARTNER_NODES, "outside")
MEAN_DURATION_SECONDS: Final = 1.5
MIN_DURATION_MS: Final = 300.0  # added to the random durations of faults other than partitions
CLOCK_STEP_STANDARD_DEVIATION_SECONDS: Final = 600.0
LATENCIES_MS: Final = (0.2, 1.0, 5.0)
JITTERS_MS: Final = (0.0, 0.5, 5.0)
FRAGMENTATION_PROBABILITY: Final = 0.3
RESPONSE_COPIES_PROBABILITY: Final = 0.25
CROSSING_RELOAD_PROBABILITY: Final = 0.25
MAX_CROSSING_OFFSET_MS: Final = 100.0  # of a reload from the upgrade that it crosses, in either direction
CROSSING_RELOAD_DURATION_MS: Final = 4_000.0
RESET_AFTER_RELOAD_MS: Final = 2_500.0  # the reloaded classes are in force alone, and calls are of them
# Random numbers of their own, so that the other faults of a seed remain.
_RESPONSE_COPIES_STREAM: Final = 1
_CROSSING_RELOAD_STREAM: Final = 2
VIOLATION_COUNT_PREFIX: Final = "broken_"  # prefix of the columns that count violations by rule
# Excludes `double`: clients cause it themselves by resubmitting a message after its deduplication window.
CLIENT_RULES: Final = ("early", "unended")


@dataclass(frozen=True, slots=True)
class TrialResult:
    """The result of one random run.

    Attributes:
        point: the inputs of the run.
        broken_rules: names of the broken rules, or `crash: ...`; empty: the run succeeded.
        weight_share: obtained share of the offered priority weight, 0 to 1.
    """

    point: Point
    broken_rules: tuple[str, ...]
    weight_share: float

    @property
    def is_failure(self) -> bool:
        """Whether a rule was broken or the run crashed."""
        return bool(self.broken_rules)


def draw_point(base: Point, seed: int, number: int) -> Point:
    """Return the point of a trial: the base with another seed, random faults and a random link.

    Args:
        base: the point to vary.
        seed: seed of the search.
        number: number of the trial; the same seed and number give the same point.
    """
    rng = np.random.default_rng([seed, number])
    count = int(rng.integers(1, MAX_FAULTS, endpoint=True))
    faults = [_draw_fault(rng, base) for _ in range(count)]
    faults += _draw_response_copies(seed, number, base)
    faults += _draw_crossing_reload(seed, number, base)
    faults.sort(key=lambda fault: fault.at_ms)
    link = LinkProfile(float(rng.choice(LATENCIES_MS)), float(rng.choice(JITTERS_MS)))
    is_fragmenting = bool(rng.random() < FRAGMENTATION_PROBABILITY)
    environment = Environment(
        link, is_fragmenting=is_fragmenting, faults=_without_unsurvivable_faults(faults)
    )
    return replace(base, seed=int(rng.integers(1, 2**31)), environment=environment)


def _draw_fault(rng: np.random.Generator, base: Point) -> InjectedFault:
    kind = FaultKind(str(rng.choice(FAULT_KINDS)))
    courier = str(rng.choice([f"n{number}" for number in range(base.courier_count)]))
    remote = str(rng.choice(REMOTE_NODES))
    start_ms = round(float(rng.uniform(0.5, base.duration_seconds)) * MS_PER_SECOND)
    duration_ms = float(rng.exponential(MEAN_DURATION_SECONDS)) * MS_PER_SECOND
    match kind:
        case FaultKind.PARTITION:
            is_outbound = rng.random() < 0.5
            source, target = (courier, remote) if is_outbound else (remote, courier)
            return InjectedFault(start_ms, kind, source, target, round(duration_ms))
        case FaultKind.RESET_CONNECTIONS:
            target = remote if rng.random() < 0.5 else ""
            return InjectedFault(start_ms, kind, courier, target)
        case FaultKind.WALL_TIME_STEP:
            step_ms = float(rng.normal(0.0, CLOCK_STEP_STANDARD_DEVIATION_SECONDS)) * MS_PER_SECOND
            return InjectedFault(start_ms, kind, courier, "", round(step_ms))
        case FaultKind.ENDPOINT_OFFLINE:
            target = remote if remote in PARTNER_NODES else PARTNER_NODES[0]
            return InjectedFault(start_ms, kind, courier, target, round(duration_ms + MIN_DURATION_MS))
        case _ if kind in INSTANT_KINDS:
            return InjectedFault(start_ms, kind, courier, "", 0.0)
        case _:
            return InjectedFault(start_ms, kind, courier, "", round(duration_ms + MIN_DURATION_MS))


def _draw_response_copies(seed: int, number: int, base: Point) -> list[InjectedFault]:
    rng = np.random.default_rng([seed, number, _RESPONSE_COPIES_STREAM])
    if rng.random() >= RESPONSE_COPIES_PROBABILITY:
        return []
    partner = str(rng.choice(PARTNER_NODES))
    start_ms = round(float(rng.uniform(0.5, base.duration_seconds)) * MS_PER_SECOND)
    duration_ms = round(float(rng.exponential(MEAN_DURATION_SECONDS)) * MS_PER_SECOND + MIN_DURATION_MS)
    return [InjectedFault(start_ms, FaultKind.RESPONSE_COPIES, partner, "", duration_ms)]


def _draw_crossing_reload(seed: int, number: int, base: Point) -> list[InjectedFault]:
    """Draw an upgrade, a reload of changed settings close to it, and a reset of calls under them."""
    rng = np.random.default_rng([seed, number, _CROSSING_RELOAD_STREAM])
    if rng.random() >= CROSSING_RELOAD_PROBABILITY:
        return []
    courier = f"n{rng.integers(base.courier_count)}"
    upgrade_ms = round(float(rng.uniform(1.0, base.duration_seconds)) * MS_PER_SECOND)
    offset_ms = float(rng.uniform(-MAX_CROSSING_OFFSET_MS, MAX_CROSSING_OFFSET_MS))
    return [
        InjectedFault(upgrade_ms, FaultKind.UPGRADE, courier),
        InjectedFault(
            round(upgrade_ms + offset_ms), FaultKind.RECONFIGURE, courier, "", CROSSING_RELOAD_DURATION_MS
        ),
        InjectedFault(upgrade_ms + RESET_AFTER_RELOAD_MS, FaultKind.RESET_CONNECTIONS, courier),
    ]


def _without_unsurvivable_faults(faults: list[InjectedFault]) -> tuple[InjectedFault, ...]:
    """Remove the faults that no courier can survive without a violation.

    A courier whose clock is stepped and whose power is lost cannot measure the time that has passed. A
    courier that loses its power or is restarted while its disk is full cannot have stored the last
    completions.
    """
    stopped = {fault.source for fault in faults if fault.kind in (FaultKind.POWER_LOSS, FaultKind.RESTART)}
    powered_off = {fault.source for fault in faults if fault.kind is FaultKind.POWER_LOSS}
    return tuple(
        fault
        for fault in faults
        if not (fault.kind is FaultKind.WALL_TIME_STEP and fault.source in powered_off)
        and not (fault.kind is FaultKind.DISK_FULL and fault.source in stopped)
    )


def run_trial(point: Point) -> TrialResult:
    """Run a point and report which rules it broke; a crash of the run is also a failure."""
    try:
        summary = run_point(point).run
    except Exception as err:  # the search reports any crash and continues
        crash = f"crash: {type(err).__name__}: {err}"[:MAX_CRASH_LENGTH]
        return TrialResult(point, (crash,), 0.0)
    broken_rules = [
        column.removeprefix(VIOLATION_COUNT_PREFIX)
        for column, value in summary.items()
        if column.startswith(VIOLATION_COUNT_PREFIX) and value
    ]
    broken_rules += [rule for rule in CLIENT_RULES if summary[rule]]
    weight_share = summary["worth"]
    assert weight_share is not None
    return TrialResult(point, tuple(sorted(broken_rules)), float(weight_share))


def search_faults(
    base: Point,
    seed: int,
    trial_count: int,
    worker_count: int | None = None,
    on_result: Callable[[TrialResult], None] = lambda result: None,
) -> list[TrialResult]:
    """Run random variations of a point.

    Args:
        base: the point to vary.
        seed: seed of the search.
        trial_count: number of variations to run.
        worker_count: number of processes; None: one for each core.
        on_result: called after each trial.

    Returns:
        At most `MAX_RESULTS` results, the worst first: failures, then ascending weight share.
    """
    worst = list[TrialResult]()
    with ProcessPoolExecutor(worker_count or os.cpu_count()) as pool:
        for first in range(0, trial_count, BATCH_SIZE):
            numbers = range(first, min(trial_count, first + BATCH_SIZE))
            for result in pool.map(run_trial, [draw_point(base, seed, number) for number in numbers]):
                worst.append(result)
                on_result(result)
            worst.sort(key=lambda result: (not result.is_failure, result.weight_share))
            del worst[MAX_RESULTS:]
    return worst
