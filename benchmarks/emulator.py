"""Measures the speed of the emulator and the cost of its auditor: `python benchmarks/emulator.py`."""

from __future__ import annotations

import statistics
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import click
from loguru import logger

from winchspan.fakes.partner import Outage, PartnerSettings
from winchspan.fakes.scenario import storm_scenario
from winchspan.simulation.emulation import Emulation
from winchspan.simulation.environment import Environment
from winchspan.simulation.link import LinkProfile

ROUNDS = 5
SEED = 1


class Measurement(NamedTuple):
    """The result of one run of two virtual minutes with three couriers."""

    real_seconds: float
    message_count: int
    arrival_count: int
    trace: str


def measure(*, is_fragmenting: bool, is_audited: bool) -> Measurement:
    """Run the emulator once."""
    partner = PartnerSettings(outages=(Outage(30_000.0, 60_000.0),))
    environment = Environment(LinkProfile(0.2, 1.0), is_fragmenting=is_fragmenting)
    with tempfile.TemporaryDirectory() as directory:
        scenario = storm_scenario(0.9, partner=partner)
        emulation = Emulation(scenario, SEED, Path(directory), environment=environment)
        if not is_audited:
            emulation.network.observer = None
        begin_seconds = time.perf_counter()
        played = emulation.play()
        real_seconds = time.perf_counter() - begin_seconds
    return Measurement(real_seconds, played.result.ended, played.event_count, played.trace_hash)


@click.command()
def main() -> None:
    """Print a table with the medians of five runs each."""
    logger.remove()
    click.echo("| reads and writes | auditor | s for 120 s | messages | arrivals |\n" + "| --- " * 5 + "|")
    for is_fragmenting in (False, True):
        for is_audited in (False, True):
            runs = [measure(is_fragmenting=is_fragmenting, is_audited=is_audited) for _ in range(ROUNDS)]
            assert len({run.trace for run in runs}) == 1, "runs of the same seed are identical"
            median_seconds = statistics.median(run.real_seconds for run in runs)
            click.echo(
                f"| {'torn' if is_fragmenting else 'whole'} | {'on' if is_audited else 'off'} | "
                f"{median_seconds:.1f} | {runs[0].message_count} | {runs[0].arrival_count} |"
            )


if __name__ == "__main__":
    main()
