"""Parameters of the membership protocol, with the symbols of the SWIM and Lifeguard papers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

INDIRECT_PROBE_COUNT: Final = 3  # number of helpers for an indirect probe (SWIM's k)
MAX_LOCAL_HEALTH: Final = 8  # saturation of the local health multiplier (Lifeguard's S)
MAX_PIGGYBACKED_UPDATES: Final = 8  # with names of 64 bytes a datagram stays below 1,200 bytes
DISSEMINATION_FACTOR: Final = 4  # transmissions of an update per log10 of the cluster size (SWIM's lambda)
MAX_SUSPICION_FACTOR: Final = 6  # ratio of the longest to the shortest suspicion timeout (Lifeguard's beta)
ABSENT_PROBE_PERIODS: Final = 5  # probe intervals between two pings of absent nodes
DELAYED_TICK_SHARE: Final = 0.25  # of a probe interval; a tick that is later postpones the timeouts
CONFLICT_THRESHOLD: Final = 3  # reappearances of a superseded process; fewer may be late datagrams
MAX_TRACKED_NONCES: Final = 16  # number of other processes under the local name that are counted
LEAVE_FANOUT: Final = 5  # number of nodes notified of a leave directly; the others receive it by gossip
MAX_PROXY_PROBES: Final = 64  # number of indirect probes in flight for other nodes


@dataclass(frozen=True, slots=True)
class SwimTiming:
    """Timing for a local network; every node must use the same values.

    Attributes:
        probe_interval_ms: time between two probes (SWIM's T').
        probe_timeout_ms: time for a direct acknowledgement before indirect probes are requested.
        suspicion_multiplier: shortest suspicion timeout in probe intervals, times log10 of the cluster size
            (Lifeguard's alpha).
    """

    probe_interval_ms: float = 300.0
    probe_timeout_ms: float = 80.0
    suspicion_multiplier: float = 4.0


@dataclass(frozen=True, slots=True)
class SwimConfig:
    """Identity of the local node and the parameters of its protocol instance.

    Attributes:
        node_name: name of the local node.
        process_nonce: random positive number that identifies this process.
        seed: seed of the random choice of probe targets and helpers.
        timing: timing of the cluster.
    """

    node_name: str
    process_nonce: int
    seed: int
    timing: SwimTiming = field(default_factory=SwimTiming)
