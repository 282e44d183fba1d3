"""`python -m winchspan.simulation`: runs unchanged couriers in virtual time with an outage and faults."""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path
from typing import Final, TypedDict, Unpack

import click
from loguru import logger

from winchspan.fakes.partner import Outage, OutageMode, PartnerSettings
from winchspan.fakes.scenario import Scenario, storm_scenario
from winchspan.runtime.clock import MS_PER_SECOND
from winchspan.simulation.audit.rules import RULES, Violation
from winchspan.simulation.emulated_courier import EmulationError
from winchspan.simulation.emulation import Emulation, EmulationResult
from winchspan.simulation.environment import Environment, FaultKind, InjectedFault
from winchspan.simulation.link import LinkProfile
from winchspan.simulation.loop import INITIAL_CLOCK_NS, NS_PER_MS

EXIT_RULE_BROKEN: Final = 1
EXIT_NOT_PLAYED: Final = 2
MAX_SHOWN_VIOLATIONS: Final = 20
NO_OUTAGE: Final = "none"
_FAULT_FORM: Final = "WHAT PLACE[>PLACE] AT [SECONDS]"
_HASH_DIGITS: Final = 16  # leading hexadecimal digits of the trace hash that are printed


class FaultParameter(click.ParamType):  # type: ignore[type-arg]  # its argument is for type checkers only
    """A fault as `WHAT PLACE[>PLACE] AT [SECONDS]`, times in seconds."""

    name = "trouble"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> InjectedFault:
        """Parse the text of an option `--trouble`."""
        if isinstance(value, InjectedFault):
            return value
        kind_text, _, rest = str(value).partition(" ")
        hosts, _, times = rest.partition(" ")
        source, _, target = hosts.replace("_", " ").partition(">")
        try:
            at_ms, *durations_ms = (float(word) * MS_PER_SECOND for word in times.split())
            (duration_ms,) = durations_ms or [0.0]
        except ValueError:
            self.fail(f"{value!r}: expected {_FAULT_FORM}", param, ctx)
        if kind_text not in set(FaultKind):
            self.fail(f"{value!r}: expected {', '.join(FaultKind)}, not {kind_text!r}", param, ctx)
        kind = FaultKind(kind_text)
        if kind is FaultKind.PARTITION and not target:
            self.fail(f"{value!r}: a cut needs a source and a target host, such as n0>partner_7", param, ctx)
        return InjectedFault(at_ms, kind, source, target, duration_ms)


class EmulationOptions(TypedDict):
    """The options of the command line; each key is an option's name."""

    couriers: int
    load: float
    seconds: float
    mode: str
    seed: int
    operator: Path | None
    latency: float
    jitter: float
    torn: bool
    troubles: tuple[InjectedFault, ...]
    show: bool


@click.command(context_settings={"help_option_names": ["-h", "--help"]})
@click.option("--couriers", type=click.IntRange(1, 100), default=3, show_default=True, help="couriers")
@click.option(
    "--load",
    type=click.FloatRange(0.1, 2.0),
    default=0.9,
    show_default=True,
    help="submitted messages as a share of the rate that the partner lists",
)
@click.option(
    "--seconds",
    type=click.FloatRange(5.0, 86_400.0),
    default=120.0,
    show_default=True,
    help="of virtual time in which clients submit messages; the second quarter is the outage",
)
@click.option(
    "--mode",
    type=click.Choice([*(mode.value for mode in OutageMode), NO_OUTAGE]),
    default="silent",
    show_default=True,
    help="behavior of the partner during the outage",
)
@click.option("--seed", type=int, default=1, show_default=True, help="seed of all random numbers")
@click.option(
    "--operator",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="operator's file for the couriers; without it all its features are off",
)
@click.option(
    "--latency",
    type=click.FloatRange(0.0, 10_000.0),
    default=0.2,
    show_default=True,
    help="minimum delay of all links in ms",
)
@click.option(
    "--jitter",
    type=click.FloatRange(0.0, 10_000.0),
    default=0.0,
    show_default=True,
    help="mean of an additional exponential delay in ms",
)
@click.option("--torn", is_flag=True, help="split reads and writes at random boundaries")
@click.option(
    "--trouble",
    "troubles",
    type=FaultParameter(),
    multiple=True,
    help="a fault, such as 'vanish n0 20 5', 'cut n0>partner_7 30 4', 'reset n1 12', 'term n2 40 0.6'",
)
@click.option("--show", is_flag=True, help="print the outcome of each message")
def main(**options: Unpack[EmulationOptions]) -> None:
    """Run unchanged couriers on an emulated network in virtual time, with an outage of one partner.

    Exits with 1 if a rule was broken, with 2 if the emulation could not run.

    Example: python -m winchspan.simulation --seconds 60 --torn --trouble 'vanish n0 20 5'
    """
    logger.remove()
    begin_seconds = time.perf_counter()
    try:
        emulation_result = play(options)
    except EmulationError as err:
        click.echo(f"cannot run the emulation: {err}", err=True)
        sys.exit(EXIT_NOT_PLAYED)
    print_result(emulation_result, time.perf_counter() - begin_seconds)
    print_violations(emulation_result)
    sys.exit(EXIT_RULE_BROKEN if emulation_result.violations else 0)


def play(options: EmulationOptions) -> EmulationResult:
    """Run the emulation that the options describe.

    Raises:
        EmulationError: if the options ask for something that cannot be emulated.
    """
    environment = Environment(
        LinkProfile(options["latency"], options["jitter"]),
        is_fragmenting=options["torn"],
        faults=options["troubles"],
    )
    with tempfile.TemporaryDirectory(prefix="emulation-") as directory:
        scenario = create_scenario(options)
        emulation = Emulation(scenario, options["seed"], Path(directory), options["operator"], environment)
        if options["show"]:
            emulation.show_messages(click.echo)
        return emulation.play()


def create_scenario(options: EmulationOptions) -> Scenario:
    """Create the scenario: an outage of one partner in the second quarter of the run."""
    duration_ms = options["seconds"] * MS_PER_SECOND
    outages: tuple[Outage, ...] = ()
    if options["mode"] != NO_OUTAGE:
        outages = (Outage(duration_ms / 4, duration_ms / 2, OutageMode(options["mode"])),)
    partner = PartnerSettings(outages=outages)
    return storm_scenario(options["load"], options["couriers"], partner=partner, duration_ms=duration_ms)


def print_result(emulation_result: EmulationResult, real_seconds: float) -> None:
    """Print the outcomes of the messages, and the duration of the run."""
    result = emulation_result.result
    click.echo(
        f"{result.ended} messages: {result.delivered} delivered, {result.ended - result.delivered} not; "
        f"worth {result.worth:.1%} of what was asked for, {result.worth_other:.1%} at the other partner"
    )
    click.echo(
        f"{emulation_result.virtual_seconds:.0f} s of virtual time in {real_seconds:.1f} s; "
        f"{emulation_result.event_count} arrivals, {emulation_result.byte_count} bytes; "
        f"trace {emulation_result.trace_hash[:_HASH_DIGITS]}"
    )


def print_violations(emulation_result: EmulationResult) -> None:
    """Print how often each rule was broken, and the first violations with their evidence."""
    for rule, count in emulation_result.violation_counts.items():
        if count:
            click.echo(f"broken {count} times: {RULES[rule]}")
    for violation in emulation_result.violations[:MAX_SHOWN_VIOLATIONS]:
        click.echo(f"  {_describe(violation)}")
    click.echo("" if emulation_result.violations else "no rule was broken")


def _describe(violation: Violation) -> str:
    at_ms = violation.at_ms - INITIAL_CLOCK_NS / NS_PER_MS
    return f"{at_ms:10.1f} ms {violation.rule} {violation.message_id}: {violation.evidence}"


if __name__ == "__main__":
    main()
