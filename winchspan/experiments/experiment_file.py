"""Reads and writes experiment files: one scenario, the swept parameters, and the compared variants.

A file consists of S-expressions and is validated like the operator's file: an error names the file, line,
column and key.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import product
from pathlib import Path

from winchspan.config.operator.reader import OperatorError, read_nodes
from winchspan.config.operator.schema import validate_sections
from winchspan.experiments.experiment import MS_PER_SECOND, Experiment, Point
from winchspan.experiments.experiment_schema import (
    NO_OUTAGE,
    SECTIONS,
    ExperimentValues,
    FaultValues,
    PartnerValues,
    to_experiment_values,
)
from winchspan.fakes.partner import Outage, OutageMode, PartnerSettings
from winchspan.simulation.environment import NETWORK_FAULTS, Environment, FaultKind, InjectedFault
from winchspan.simulation.link import LinkProfile

DEFAULT_VARIANT = "plain"  # variant of a file that defines none; all optional features are off


def load_experiment(path: Path) -> Experiment:
    """Read an experiment file.

    Raises:
        OperatorError: if the file cannot be read or is invalid; the message names file, line, column and key.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as err:
        raise OperatorError(f"{path}: cannot be read: {err}") from None
    return parse_experiment(text, str(path), path.parent)


def parse_experiment(text: str, name: str, directory: Path) -> Experiment:
    """Parse the text of an experiment file.

    Args:
        text: content of the file.
        name: name of the file in errors.
        directory: base directory of the relative paths of operator files.

    Raises:
        OperatorError: if the text is invalid or an operator file cannot be read.
    """
    sections = validate_sections(read_nodes(text, name), SECTIONS, name)
    values = to_experiment_values(sections)
    _check_values(values, name)
    return Experiment(Path(name).stem, text, tuple(_sweep(values, name, directory)))


def _check_values(values: ExperimentValues, name: str) -> None:
    """Check the rules that the schema cannot express."""
    for key, numbers in (("loads", values.sweep.loads), ("couriers", values.sweep.courier_counts)):
        if not numbers:
            raise OperatorError(f"{name}: experiment.{key}: expected at least one number")
    couriers = {f"n{number}" for number in range(min(values.sweep.courier_counts))}
    for title, fault in values.faults.items():
        if fault.kind is FaultKind.PARTITION and not fault.target:
            raise OperatorError(f"{name}: trouble.target of {title!r}: a cut needs a target")
        if fault.kind not in NETWORK_FAULTS and fault.source not in couriers:
            raise OperatorError(f"{name}: trouble.source of {title!r}: there is no courier {fault.source!r}")


def _sweep(values: ExperimentValues, name: str, directory: Path) -> Iterator[Point]:
    sweep = values.sweep
    environment = Environment(
        LinkProfile(sweep.latency_ms, sweep.jitter_ms),
        is_fragmenting=sweep.is_fragmenting,
        faults=tuple(_emulated_fault(fault) for fault in values.faults.values()),
    )
    partner = _partner_settings(values.partner, name)
    operator_texts = {
        title: _read_operator_file(variant.operator_file, title, name, directory)
        for title, variant in values.variants.items()
    }
    variants = operator_texts or {DEFAULT_VARIANT: ""}
    seeds = range(sweep.first_seed, sweep.first_seed + sweep.seed_count)
    for (variant, operator_text), load, courier_count, seed in product(
        variants.items(), sweep.loads, sweep.courier_counts, seeds
    ):
        yield Point(
            variant=variant,
            operator_text=operator_text,
            load=load,
            courier_count=courier_count,
            seed=seed,
            duration_seconds=sweep.duration_seconds,
            partner=partner,
            environment=environment,
        )


def _read_operator_file(file_name: str, variant: str, name: str, directory: Path) -> str:
    if not file_name:
        return ""
    try:
        return (directory / file_name).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as err:
        raise OperatorError(
            f"{name}: variant.operator of {variant!r}: cannot read {file_name}: {err}"
        ) from None


def _emulated_fault(fault: FaultValues) -> InjectedFault:
    start_ms = round(fault.start_seconds * MS_PER_SECOND, 6)
    duration_ms = round(fault.duration_seconds * MS_PER_SECOND, 6)
    return InjectedFault(start_ms, fault.kind, fault.source, fault.target, duration_ms)


def _partner_settings(values: PartnerValues, name: str) -> PartnerSettings:
    if len(values.outage_seconds) not in (0, 2):
        raise OperatorError(f"{name}: partner.outage: expected two numbers, not {len(values.outage_seconds)}")
    return PartnerSettings(
        listed=values.listed_rate,
        actual=values.actual_rate,
        capacity=values.capacity,
        service=values.service_seconds * MS_PER_SECOND,
        queue=values.queue_length,
        outages=_outages(values),
        cold=values.warm_up_seconds * MS_PER_SECOND,
        start=values.initial_capacity_share,
        fall_multiple=values.collapse_multiple,
        tells_wait=values.sends_retry_after,
    )


def _outages(values: PartnerValues) -> tuple[Outage, ...]:
    if not values.outage_seconds or values.outage_mode == NO_OUTAGE:
        return ()
    begin_seconds, end_seconds = values.outage_seconds
    mode = OutageMode(values.outage_mode)
    return (Outage(begin_seconds * MS_PER_SECOND, end_seconds * MS_PER_SECOND, mode),)


def format_point(point: Point, note: str = "") -> str:
    """Return a point as an experiment file without variants.

    Args:
        point: the point to write.
        note: comment at the beginning of the file.
    """
    lines = [f"; {line}" for line in note.splitlines()]
    lines += _format_sweep(point)
    lines += _format_partner(point.partner)
    lines += [_format_fault(number, fault) for number, fault in enumerate(point.environment.faults, 1)]
    return "\n".join(lines) + "\n"


def _format_flag(is_set: bool) -> str:
    return "yes" if is_set else "no"


def _format_sweep(point: Point) -> list[str]:
    link = point.environment.default_link
    fragmenting = _format_flag(point.environment.is_fragmenting)
    return [
        "(experiment",
        f"  (seconds {point.duration_seconds!r}) (loads {point.load!r}) (couriers {point.courier_count})",
        f"  (seeds 1) (first-seed {point.seed})",
        f"  (latency {link.latency_ms!r}) (jitter {link.mean_jitter_ms!r}) (torn {fragmenting}))",
    ]


def _format_partner(partner: PartnerSettings) -> list[str]:
    outage = ""
    if partner.outages:
        first = partner.outages[0]
        begin_seconds = first.begin / MS_PER_SECOND
        end_seconds = first.end / MS_PER_SECOND
        outage = f" (outage {begin_seconds!r} {end_seconds!r}) (mode {first.mode.value})"
    return [
        f"(partner (listed {partner.listed!r}) (actual {partner.actual!r}) (capacity {partner.capacity!r})"
        f" (service {partner.service / MS_PER_SECOND!r})",
        f"  (queue {partner.queue}) (cold {partner.cold / MS_PER_SECOND!r})"
        f" (start {partner.start!r}) (fall {partner.fall_multiple!r})"
        f" (tells-wait {_format_flag(partner.tells_wait)}){outage})",
    ]


def _format_fault(number: int, fault: InjectedFault) -> str:
    start_seconds = fault.at_ms / MS_PER_SECOND
    duration_seconds = fault.duration_ms / MS_PER_SECOND
    return (
        f'(trouble "{number}" (what {fault.kind}) (source "{fault.source}") (target "{fault.target}")'
        f" (at {start_seconds!r}) (lasts {duration_seconds!r}))"
    )
