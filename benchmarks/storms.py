"""Retry storms on real sockets, off and on: `python benchmarks/storms.py --out docs/measured/storms.json`.

Each run has three courier processes, a partner that lists 20 calls a second and is silent for 30 s, and
clients that honour their retry-after, at several loads and seeds. A run takes two and a half minutes of real
time; runs are executed in parallel. `--virtual` runs the same in virtual time, in seconds, with more cases.
"""

from __future__ import annotations

import asyncio
import importlib
import json
import statistics
import tempfile
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any, TypedDict, Unpack

import click
from loguru import logger

from winchspan.config.operator.loader import load_operator_file as load_operator
from winchspan.fakes.audit import Result
from winchspan.fakes.clients import RetryBehaviour, Stream
from winchspan.fakes.partner import Outage, OutageMode, PartnerSettings
from winchspan.fakes.rehearsal import Rehearsal
from winchspan.fakes.rehearsal_in_process import InProcessRehearsal
from winchspan.fakes.scenario import Scenario, storm_scenario
from winchspan.overload.settings import OverloadSettings
from winchspan.overload.setup import overload_settings

LOADS = (0.76, 1.0, 1.2)
SILENT = (Outage(30_000.0, 60_000.0, OutageMode.SILENT),)


@dataclass(frozen=True, slots=True)
class Run:
    """One run.

    Attributes:
        case: the name of the case.
        load: the load, as a share of the listed rate.
        seed: the seed of the run.
        operator_file: switches overload control on; None: it is off.
        is_virtual: whether it runs in virtual time.
        constants: constants to set, in the form of `set_constants`.
    """

    case: str
    load: float
    seed: int
    operator_file: str | None
    is_virtual: bool
    constants: tuple[str, ...]


class Options(TypedDict):
    """The options of the command line."""

    virtual: bool
    cases: tuple[str, ...]
    loads: tuple[float, ...]
    seeds: int
    operator: str
    at_once: int
    constants: tuple[str, ...]
    out: Path | None


def impatient_clients(load: float) -> tuple[Stream, ...]:
    """Return streams of clients of which 20 in 21 ignore each retry-after."""
    rate = load * 20.0
    streams = []
    for retry_behaviour, part, tries, keys in (
        (RetryBehaviour.HONOURS_RETRY_AFTER, 1 / 21, 3, 50),
        (RetryBehaviour.IGNORES_RETRY_AFTER, 20 / 21, 30, 150),
    ):
        streams += [
            Stream(
                "order-payment",
                7,
                rate * 0.68 * part,
                keys=keys,
                retry_behaviour=retry_behaviour,
                tries=tries,
            ),
            Stream("gallery-notice", 7, rate * 0.32 * part, retry_behaviour=retry_behaviour, tries=tries),
        ]
    return (*streams, *storm_scenario(load).streams[2:])


def bursts(load: float) -> tuple[Stream, ...]:
    """Return the standard streams, and two bursts of new orders for the healthy partner."""
    return (
        *storm_scenario(load).streams,
        *(Stream("order-payment", 8, 14.0, at, at + 3_000.0, keys=300) for at in (40_000.0, 62_000.0)),
    )


def scenario(case: str, load: float) -> Scenario:
    """Return one of the cases by its name."""
    partner = PartnerSettings(outages=SILENT)
    cases: dict[str, dict[str, Any]] = {
        "standard": {},
        "brittle": {"partner": replace(partner, fall_multiple=1.3, start=0.25)},
        "two couriers": {"couriers": 2},
        "uneven traffic": {"shares": (0.6, 0.3, 0.1)},
        "a courier restarts": {"restarts": ((62_000.0, 1),)},
        "endpoints replaced": {"endpoint_replacements": ((45_000.0, 7),)},
        "rate listed twice as high": {"partner": replace(partner, actual=10.0)},
        "rate listed half as high": {"partner": replace(partner, listed=10.0, actual=20.0)},
        "falls twice": {
            "partner": replace(partner, outages=(*SILENT, Outage(64_000.0, 74_000.0, OutageMode.REFUSING)))
        },
        "hanging": {"partner": replace(partner, outages=(replace(SILENT[0], mode=OutageMode.HANGING),))},
        "refusing": {"partner": replace(partner, outages=(replace(SILENT[0], mode=OutageMode.REFUSING),))},
        "no connection": {"partner": replace(partner, outages=(replace(SILENT[0], mode=OutageMode.DOWN),))},
        "20 rude to one": {"streams": impatient_clients(load)},
        "clumps elsewhere": {"streams": bursts(load)},
        "little room": {"changes": {"max_held": 60}},
        "waits of 20 s": {"changes": {"max_retry_after_ns": 20 * 10**9}},
    }
    return storm_scenario(load, **cases[case])


CASES = (
    "standard",
    "brittle",
    "two couriers",
    "uneven traffic",
    "uneven traffic, parts told",
    "a courier restarts",
    "endpoints replaced",
    "rate listed twice as high",
    "rate listed half as high",
    "falls twice",
    "hanging",
    "refusing",
    "no connection",
    "20 rude to one",
    "clumps elsewhere",
    "little room",
    "waits of 20 s",
)


def set_constants(assignments: tuple[str, ...]) -> None:
    """Set constants of the governor's modules, each as MODULE.NAME=NUMBER, to try other values."""
    for assignment in assignments:
        name, _, value = assignment.partition("=")
        module, _, constant = name.partition(".")
        found = importlib.import_module(f"winchspan.overload.{module}")
        if not hasattr(found, constant):
            raise click.BadParameter(f"{assignment}: no constant {constant!r} in winchspan.overload.{module}")
        setattr(found, constant, type(getattr(found, constant))(value))


def play(run: Run) -> Result:
    """Execute one run, in a worker process."""
    logger.remove()
    set_constants(run.constants)
    case, _, has_parts = run.case.partition(", ")
    played = scenario(case, run.load)
    with tempfile.TemporaryDirectory() as directory:
        if not run.is_virtual:
            path = Path(run.operator_file).absolute() if run.operator_file else None
            return asyncio.run(Rehearsal(played, run.seed, Path(directory), path).run())
        settings: OverloadSettings | None = None
        if run.operator_file:
            settings = overload_settings(load_operator(Path(run.operator_file))["storms"])
            settings = replace(settings, sender_shares=(0.6, 0.3, 0.1)) if has_parts else settings
        return InProcessRehearsal(replace(played, overload=settings), run.seed, Path(directory)).run()


def row(case: str, load: float, mode: str, found: list[Result]) -> str:
    """Return a row of the table: means, or the worst value where a rule applies."""
    back = [f.regained for f in found if f.regained is not None]
    seconds = f"{len(found) - len(back)} of {len(found)} not"
    if len(back) == len(found):
        seconds = f"{statistics.mean(back) / 1_000:.1f} ({max(back) / 1_000:.1f})"
    mean = {
        name: statistics.mean(getattr(f, name) for f in found)
        for name in ("worth", "worth_other", "calls_out", "refusals", "returns")
    }
    return (
        f"| {case} | {load:g} | {mode} | {mean['worth']:.3f} | {mean['worth_other']:.3f} | "
        f"{max(f.most_a_second for f in found)} | {mean['calls_out']:.0f} | {mean['refusals']:.0f} | "
        f"{sum(f.falls for f in found)} | {seconds} | {sum(f.early for f in found)} | "
        f"{sum(f.twice + f.unended for f in found)} | {sum(f.double for f in found)} | "
        f"{mean['returns']:.0f} | {max(f.lump for f in found)} |"
    )


HEAD = (
    "| case | load | storms | worth | worth elsewhere | most calls in 1 s | calls in the outage | "
    "refusals | falls | back at 95% after s, mean (worst) | early | ends broken | effects doubled | "
    "returns | most in 200 ms |\n" + "| --- " * 15 + "|"
)


@click.command()
@click.option("--virtual", is_flag=True, help="in virtual time, in this process")
@click.option("--case", "cases", multiple=True, type=click.Choice(CASES), help="default: standard, brittle")
@click.option("--load", "loads", multiple=True, type=float, help="default: 0.76, 1 and 1.2")
@click.option("--seeds", type=click.IntRange(1, 100), default=5, show_default=True)
@click.option("--operator", default="benchmarks/storms.sexp", show_default=True, help="for runs with it on")
@click.option("--at-once", type=click.IntRange(1, 64), default=10, show_default=True, help="side by side")
@click.option(
    "--set",
    "constants",
    multiple=True,
    help="virtual only: such as outage_tracker.RECOVERY_STEPS=12, for trials",
)
@click.option("--out", type=click.Path(path_type=Path), help="file for all figures, as JSON")
def main(**options: Unpack[Options]) -> None:
    """Execute all runs, and print the table."""
    constants = options["constants"] if options["virtual"] else ()
    set_constants(constants)
    seeds = options["seeds"]
    runs = [
        Run(case, load, seed, operator_file, options["virtual"], constants)
        for case in options["cases"] or ("standard", "brittle")
        for load in options["loads"] or LOADS
        for operator_file in (None, options["operator"])
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(options["at_once"]) as pool:
        results = list(pool.map(play, runs))
    click.echo(HEAD)
    for index in range(0, len(runs), seeds):
        first = runs[index]
        mode = "on" if first.operator_file else "off"
        click.echo(row(first.case, first.load, mode, results[index : index + seeds]))
    if options["out"] is not None:
        write_results(options["out"], runs, results)


def write_results(path: Path, runs: list[Run], results: list[Result]) -> None:
    """Write all results as JSON."""
    rows = [
        {"case": run.case, "load": run.load, "seed": run.seed, "on": bool(run.operator_file)} | asdict(result)
        for run, result in zip(runs, results, strict=True)
    ]
    path.write_text(json.dumps(rows, indent=0) + "\n")


if __name__ == "__main__":
    main()
