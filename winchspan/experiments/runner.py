"""Runs one point on the emulator and collects the rows that are stored of the run."""

from __future__ import annotations

import tempfile
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

import msgspec
from loguru import logger

from winchspan.experiments.experiment import MS_PER_SECOND, Point
from winchspan.experiments.measures import Row, cause_rows, latency_rows, window_rows
from winchspan.simulation.emulation import Emulation, EmulationResult


@dataclass(frozen=True, slots=True)
class Run:
    """The stored result of a run: rows of tables. Times in ms, rates in calls per second.

    The names of fields and columns are part of the format of stored files.
    """

    run: Row
    windows: list[Row]
    causes: list[Row]
    latencies: list[Row]
    breaches: list[Row]


def run_point(point: Point) -> Run:
    """Run a point on the emulator; the same point and code give the same result."""
    logger.remove()
    with tempfile.TemporaryDirectory(prefix="lab-") as name:
        directory = Path(name)
        operator_file = None
        if point.operator_text:
            operator_file = directory / "operator.sexp"
            operator_file.write_text(point.operator_text, encoding="utf-8")
        emulation = Emulation(
            point.scenario(), point.seed, directory, operator_file, environment=point.environment
        )
        emulated = emulation.play()
    return _collect(point, emulation, emulated)


def _collect(point: Point, emulation: Emulation, emulated: EmulationResult) -> Run:
    clients = emulation.clients
    assert clients is not None
    calls_at = {number: partner.observations.call_times_ms for number, partner in emulation.partners.items()}
    duration_ms = point.duration_seconds * MS_PER_SECOND
    key = _key_columns(point)
    window_key = key | {"listed": point.partner.listed}
    return Run(
        run=key | _summary_columns(emulated),
        windows=_with_key(window_key, window_rows(clients, calls_at, emulation.started_at_ms, duration_ms)),
        causes=_with_key(key, cause_rows(clients)),
        latencies=_with_key(key, latency_rows(clients)),
        breaches=[
            key
            | {
                "rule": violation.rule,
                "message": violation.message_id,
                "at": violation.at_ms - emulation.started_at_ms,
                "evidence": violation.evidence,
            }
            for violation in emulated.violations
        ],
    )


def _key_columns(point: Point) -> Row:
    """Return the columns that all tables share."""
    return {
        "variant": point.variant,
        "load": point.load,
        "couriers": point.courier_count,
        "seed": point.seed,
    }


def _summary_columns(emulated: EmulationResult) -> Row:
    summary: Row = asdict(emulated.result)
    summary["trace"] = emulated.trace_hash
    summary["events"] = emulated.event_count
    summary["breaches"] = sum(emulated.violation_counts.values())
    return summary | {f"broken_{rule}": count for rule, count in emulated.violation_counts.items()}


def _with_key(key: Row, rows: Sequence[msgspec.Struct]) -> list[Row]:
    return [key | msgspec.to_builtins(row) for row in rows]
