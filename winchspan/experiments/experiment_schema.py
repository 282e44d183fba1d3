"""The sections and keys of an experiment file, and their values as typed records."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import msgspec

from winchspan.config.operator.schema import Key, Section
from winchspan.fakes.partner import OutageMode
from winchspan.simulation.environment import FaultKind

NO_OUTAGE: Final = "none"  # value of `mode`: the partner has no outage
OUTAGE_MODES: Final = (*(mode.value for mode in OutageMode), NO_OUTAGE)

EXPERIMENT: Final = Section(
    "experiment",
    "The duration, the network and the swept parameters.",
    (
        Key("seconds", float, 60.0, "time during which clients submit messages", "s", 1, 86_400),
        Key("loads", tuple, (0.9,), "offered loads, in multiples of the listed rate", "", 0.01, 10),
        Key("couriers", tuple, (3,), "numbers of couriers that share the traffic", "", 1, 100, item_type=int),
        Key("seeds", int, 5, "number of runs of each point", "", 1, 100_000),
        Key("first-seed", int, 1, "seed of the first run", "", 0, 2**31),
        Key("latency", float, 0.2, "latency of each link", "ms", 0, 10_000),
        Key("jitter", float, 0.0, "mean of an exponential delay added to the latency", "ms", 0, 10_000),
        Key("torn", bool, False, "whether reads and writes are split at random boundaries"),
    ),
)
PARTNER: Final = Section(
    "partner",
    "The partner that fails.",
    (
        Key("listed", float, 20.0, "rate that it lists", "calls a second", 0.1, 10_000),
        Key("actual", float, 0.0, "rate that it accepts; 0: the listed rate", "calls a second", 0, 10_000),
        Key("capacity", float, 24.0, "throughput when warm", "calls a second", 0.1, 10_000),
        Key("service", float, 0.2, "duration of a call when warm", "s", 0.001, 60),
        Key("queue", int, 24, "maximum number of calls that wait for a worker", "", 0, 100_000),
        Key("outage", tuple, (), "start and end of its outage; empty: no outage", "s", 0, 86_400),
        Key("mode", str, "silent", "behaviour during the outage", choices=OUTAGE_MODES),
        Key("cold", float, 14.0, "duration of the slow start after the outage", "s", 0.001, 3_600),
        Key("start", float, 1 / 3, "share of the capacity at the start of the slow start", "", 0.01, 1),
        Key("fall", float, 2.0, "load in multiples of the present capacity at collapse", "", 1, 100),
        Key("tells-wait", bool, False, "whether a 429 response states a wait"),
    ),
)
VARIANT: Final = Section(
    "variant",
    "A variant to compare; a file without variants has one, `plain`.",
    (Key("operator", str, "", "operator file of the couriers, relative to this file; none: all off"),),
    is_repeatable=True,
)
FAULT: Final = Section(
    "trouble",
    "A fault that is injected.",
    (
        Key("what", str, "reset", "kind of fault", choices=tuple(FaultKind)),
        Key("source", str, "n0", "node: n0, n1, ..., partner 7, partner 8, outside"),
        Key("target", str, "", "other node of `cut` and `reset`"),
        Key("at", float, 0.0, "start time", "s", 0, 86_400),
        Key("lasts", float, 0.0, "duration, or the change of the clock by `step`", "s", -86_400, 86_400),
    ),
    is_repeatable=True,
)
SECTIONS: Final = (EXPERIMENT, PARTNER, VARIANT, FAULT)


class SweepValues(msgspec.Struct, frozen=True):
    """The section `experiment`."""

    duration_seconds: float = msgspec.field(name="seconds")
    loads: tuple[float, ...]
    courier_counts: tuple[int, ...] = msgspec.field(name="couriers")
    seed_count: int = msgspec.field(name="seeds")
    first_seed: int = msgspec.field(name="first-seed")
    latency_ms: float = msgspec.field(name="latency")
    jitter_ms: float = msgspec.field(name="jitter")
    is_fragmenting: bool = msgspec.field(name="torn")


class PartnerValues(msgspec.Struct, frozen=True):
    """The section `partner`; rates in calls a second."""

    listed_rate: float = msgspec.field(name="listed")
    actual_rate: float = msgspec.field(name="actual")
    capacity: float
    service_seconds: float = msgspec.field(name="service")
    queue_length: int = msgspec.field(name="queue")
    outage_seconds: tuple[float, ...] = msgspec.field(name="outage")
    outage_mode: str = msgspec.field(name="mode")
    warm_up_seconds: float = msgspec.field(name="cold")
    initial_capacity_share: float = msgspec.field(name="start")
    collapse_multiple: float = msgspec.field(name="fall")
    sends_retry_after: bool = msgspec.field(name="tells-wait")


class VariantValues(msgspec.Struct, frozen=True):
    """A section `variant`."""

    operator_file: str = msgspec.field(name="operator")


class FaultValues(msgspec.Struct, frozen=True):
    """A section `trouble`."""

    kind: FaultKind = msgspec.field(name="what")
    source: str
    target: str
    start_seconds: float = msgspec.field(name="at")
    duration_seconds: float = msgspec.field(name="lasts")


@dataclass(frozen=True, slots=True)
class ExperimentValues:
    """The values of an experiment file; `variants` and `faults` by the names of their sections."""

    sweep: SweepValues
    partner: PartnerValues
    variants: dict[str, VariantValues]
    faults: dict[str, FaultValues]


def to_experiment_values(sections: dict[str, dict[str, Any]]) -> ExperimentValues:
    """Return the validated values of a file as typed records."""
    return ExperimentValues(
        sweep=msgspec.convert(sections[EXPERIMENT.name], SweepValues),
        partner=msgspec.convert(sections[PARTNER.name], PartnerValues),
        variants=msgspec.convert(sections[VARIANT.name], dict[str, VariantValues]),
        faults=msgspec.convert(sections[FAULT.name], dict[str, FaultValues]),
    )
