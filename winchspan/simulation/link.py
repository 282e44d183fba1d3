"""The identity and the properties of a link: one direction between two hosts of the emulated network."""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class LinkId(NamedTuple):
    """Identifies a link by its two hosts."""

    source: str
    target: str


class LinkProfile(msgspec.Struct, frozen=True):
    """Delay, bandwidth and datagram faults of a link.

    The encoded names are part of the address under which experiments store their results.

    Attributes:
        latency_ms: the minimum delay.
        mean_jitter_ms: the mean of an exponentially distributed additional delay.
        bandwidth_bytes_per_second: the bandwidth; 0 for unlimited.
        loss_probability: the probability that a datagram is lost.
        duplication_probability: the probability that a datagram that is not lost arrives twice.
    """

    latency_ms: float = msgspec.field(default=0.2, name="latency")
    mean_jitter_ms: float = msgspec.field(default=0.0, name="jitter")
    bandwidth_bytes_per_second: float = msgspec.field(default=0.0, name="bandwidth")
    loss_probability: float = msgspec.field(default=0.0, name="loss")
    duplication_probability: float = msgspec.field(default=0.0, name="doubled")
