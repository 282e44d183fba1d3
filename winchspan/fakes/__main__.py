"""`python -m winchspan.fakes`: rehearses an outage with courier processes and fake partners on loopback."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from contextlib import ExitStack
from pathlib import Path
from typing import Final, TypedDict, Unpack

import click
from loguru import logger

from winchspan.fakes.audit import Result
from winchspan.fakes.partner import Outage, OutageMode, PartnerSettings
from winchspan.fakes.rehearsal import Rehearsal, RehearsalError
from winchspan.fakes.scenario import Scenario, storm_scenario

SECOND_MS: Final = 1_000.0
EXIT_RULE_BROKEN: Final = 1
EXIT_REHEARSAL_FAILED: Final = 2


class Options(TypedDict):
    """The command's options."""

    couriers: int
    load: float
    seconds: float
    mode: str
    seed: int
    operator: Path | None
    show: bool
    keep: Path | None


def broken_rules(result: Result, listed_rate: float) -> list[str]:
    """Return a description of each rule that a run violated; `listed_rate` is in calls per second."""
    checks = [
        (result.twice, f"{result.twice} messages got two final answers"),
        (result.double, f"{result.double} keyed messages took effect twice"),
        (result.early, f"{result.early} clients that honour the retry-after retried too early"),
        (result.unended, f"{result.unended} accepted messages never got a final answer"),
        (
            result.most_a_second > listed_rate + 1,
            f"the partner received {result.most_a_second} calls in a second, and lists {listed_rate:g}",
        ),
        (result.falls, f"the partner collapsed {result.falls} times"),
    ]
    return [description for is_broken, description in checks if is_broken]


def _summary(result: Result) -> str:
    """Return a summary of a run in two lines."""
    delivered = (
        f"{result.ended} messages: {result.delivered} delivered, {result.ended - result.delivered} not; "
        f"{result.worth:.1%} of the possible worth, {result.worth_other:.1%} at the other partner"
    )
    regained = "not within the run"
    if result.regained is not None:
        regained = f"after {result.regained / SECOND_MS:.1f} s"
    partner = (
        f"the partner received at most {result.most_a_second} calls a second, rejected {result.refusals} and "
        f"collapsed {result.falls} times; deliveries back at 95% of the steady rate {regained}"
    )
    return f"{delivered}\n{partner}"


def _print_nothing(line: str) -> None:
    """Discard a line, without `--show`."""


def _rehearse(scenario: Scenario, directory: Path, options: Options) -> Result:
    """Run a scenario; exits with `EXIT_REHEARSAL_FAILED` if the rehearsal fails."""
    rehearsal = Rehearsal(
        scenario,
        options["seed"],
        directory,
        options["operator"].absolute() if options["operator"] else None,
        click.echo if options["show"] else _print_nothing,
    )
    try:
        return asyncio.run(rehearsal.run())
    except (RehearsalError, OSError) as err:
        click.echo(f"the rehearsal failed: {err}", err=True)
        sys.exit(EXIT_REHEARSAL_FAILED)


@click.command(context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--couriers", type=click.IntRange(1, 8), default=3, show_default=True, help="number of courier processes"
)
@click.option(
    "--load",
    type=click.FloatRange(0.1, 2.0),
    default=0.9,
    show_default=True,
    help="load on the partner, as a share of its listed rate",
)
@click.option(
    "--seconds",
    type=click.FloatRange(5.0, 3_600.0),
    default=120.0,
    show_default=True,
    help="duration of submissions; the outage is the second quarter of it",
)
@click.option(
    "--mode",
    type=click.Choice([mode.value for mode in OutageMode]),
    default="silent",
    show_default=True,
    help="what the partner does with calls during the outage",
)
@click.option("--seed", type=int, default=1, show_default=True, help="seed of all random numbers")
@click.option(
    "--operator",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="operator's file of the couriers; without it all of its features are off",
)
@click.option("--show", is_flag=True, help="print the final answer of each message")
@click.option(
    "--keep",
    type=click.Path(file_okay=False, path_type=Path),
    help="directory in which to keep configurations, journals and logs",
)
def main(**options: Unpack[Options]) -> None:
    """Rehearse an outage of one partner with courier processes on loopback.

    Exits with 1 if a rule was violated, and with 2 if the rehearsal failed.

    Example: python -m winchspan.fakes --seconds 20 --operator examples/storms.sexp --show
    """
    logger.remove()
    logger.add(sys.stderr, level="WARNING")
    duration_ms = options["seconds"] * SECOND_MS
    outage = Outage(duration_ms / 4, duration_ms / 2, OutageMode(options["mode"]))
    partner = PartnerSettings(outages=(outage,))
    scenario = storm_scenario(options["load"], options["couriers"], partner=partner, duration_ms=duration_ms)
    with ExitStack() as stack:
        directory = options["keep"]
        if directory is None:
            directory = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="rehearsal-")))
        result = _rehearse(scenario, directory, options)
    click.echo(_summary(result))
    broken = broken_rules(result, partner.listed)
    click.echo("no rule was broken" if not broken else "broken: " + "; ".join(broken))
    sys.exit(EXIT_RULE_BROKEN if broken else 0)


if __name__ == "__main__":
    main()
