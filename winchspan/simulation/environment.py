"""The environment of an emulated scenario: links between hosts, clocks, and faults to inject.

The encoded names of all fields are part of the address under which experiments store their results.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final, NamedTuple

import msgspec

from winchspan.simulation.link import LinkProfile

OUTSIDE_HOST: Final = "outside"
"""The host of the clients."""

DISCOVERY_HOST: Final = "agent"
"""The host of discovery, which stands for an agent on each courier's own machine."""


def partner_host(number: int) -> str:
    """Return the host name of a partner's endpoints."""
    return f"partner {number}"


def courier_host(number: int) -> str:
    """Return the host name of a courier."""
    return f"n{number}"


class FaultKind(StrEnum):
    """Kinds of faults. The values are used on the command line and in the files of experiments.

    Actions of operators are included, because a courier has to follow the rules during these as well.
    """

    PARTITION = "cut"
    """The link from `source` to `target` is partitioned for the duration."""
    POWER_LOSS = "vanish"
    """The machine of the courier `source` has no power for the duration."""
    RESET_CONNECTIONS = "reset"
    """The connections of `source` are reset; if `target` is given, only those with `target`."""
    WALL_TIME_STEP = "step"
    """The wall time of the courier `source` is set forward by the duration, or back by a negative one."""
    RELOAD = "hup"
    """The courier `source` receives SIGHUP."""
    RESTART = "term"
    """The courier `source` receives SIGTERM. It starts again when the duration has passed after its end."""
    DISK_FULL = "full"
    """The disk of the courier `source` is full for the duration."""
    DRAIN = "drain"
    """Operators take the courier `source` out of service for the duration."""
    ENDPOINT_OFFLINE = "offline"
    """Operators take one endpoint of `target` offline at the courier `source` for the duration."""
    RECONFIGURE = "retune"
    """The courier `source` runs with changed settings for the duration."""
    UPGRADE = "upgrade"
    """A new process takes over from the courier `source`."""
    UPGRADE_TO_OTHER_PROGRAM = "replace"
    """A new process that decides differently takes over from the courier `source`."""
    FAILED_UPGRADE = "stall"
    """A new process stalls for the duration while it takes over from the courier `source`, and fails."""
    SUSPEND = "hang"
    """The process of the courier `source` is suspended for the duration."""
    RESPONSE_COPIES = "copies"
    """The endpoints of the partner `source` send a second copy of each response for the duration."""
    BATCH_WAITS = "waits"
    """The endpoints of the partner `source` answer batches message by message, often with a wait."""


NETWORK_FAULTS: Final = frozenset(
    {
        FaultKind.PARTITION,
        FaultKind.RESET_CONNECTIONS,
        FaultKind.RESPONSE_COPIES,
        FaultKind.BATCH_WAITS,
    }
)
"""Faults that apply to other hosts too; all other faults apply to a courier."""


class InjectedFault(msgspec.Struct, frozen=True):
    """A fault to inject.

    Attributes:
        at_ms: time after the start of the run, in ms.
        kind: the kind of fault.
        source: the affected host, or the source of the affected link.
        target: the second host; empty if the fault affects only one.
        duration_ms: duration in ms; `FaultKind` describes its effect.
    """

    at_ms: float = msgspec.field(name="at")
    kind: FaultKind = msgspec.field(name="what")
    source: str
    target: str = ""
    duration_ms: float = msgspec.field(default=0.0, name="lasts")


class LinkOverride(NamedTuple):
    """The profile of one link."""

    source: str
    target: str
    profile: LinkProfile


class Environment(msgspec.Struct, frozen=True):
    """The environment of the couriers.

    Attributes:
        default_link: the profile of each link without an override.
        link_overrides: the profiles of individual links.
        is_fragmenting: whether reads and writes are split at random boundaries.
        faults: the faults to inject.
        clock_drifts: seconds that the couriers' clocks gain per true second, in the couriers' order.
        wall_offsets_ms: offset in ms of each courier's wall time from the true one, in the couriers' order.
    """

    default_link: LinkProfile = msgspec.field(default_factory=LinkProfile, name="way")
    link_overrides: tuple[LinkOverride, ...] = msgspec.field(default=(), name="ways")
    is_fragmenting: bool = msgspec.field(default=False, name="torn")
    faults: tuple[InjectedFault, ...] = msgspec.field(default=(), name="troubles")
    clock_drifts: tuple[float, ...] = msgspec.field(default=(), name="drifts")
    wall_offsets_ms: tuple[float, ...] = msgspec.field(default=(), name="ahead")
