"""Probes in flight: the local node's probe, indirect probes for other nodes, and the order of targets."""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass, field
from random import Random

from winchspan.membership.messages import Ack


@dataclass(slots=True)
class Probe:
    """The probe of the current protocol period.

    Attributes:
        sequence_number: number that the acknowledgement must carry.
        target: probed node.
        indirect_at_ms: time at which indirect probes are requested.
        deadline_ms: time at which the probe fails.
        silent_helpers: helpers that have not replied to the request for an indirect probe.
        is_indirect: whether indirect probes have been requested.
        is_acknowledged: whether the target has acknowledged the probe.
    """

    sequence_number: int
    target: str
    indirect_at_ms: float
    deadline_ms: float
    silent_helpers: set[str] = field(default_factory=set)
    is_indirect: bool = False
    is_acknowledged: bool = False

    @property
    def next_step_ms(self) -> float:
        """Time of the next timeout of the probe."""
        return self.deadline_ms if self.is_indirect else self.indirect_at_ms

    def matches(self, sequence_number: int, target: str) -> bool:
        """Whether a reply belongs to this probe."""
        return self.sequence_number == sequence_number and self.target == target

    def postpone(self, delay_ms: float) -> None:
        """Postpone the timeouts of the probe."""
        self.indirect_at_ms += delay_ms
        self.deadline_ms += delay_ms


@dataclass(slots=True)
class ProxyProbe:
    """An indirect probe on behalf of another node.

    Attributes:
        requester: node that requested the probe.
        requester_sequence_number: number that the reply to the requester carries.
        target: probed node.
        deadline_ms: time at which the requester gets a Nack.
    """

    requester: str
    requester_sequence_number: int
    target: str
    deadline_ms: float


class ProxyProbeTable:
    """Indirect probes in flight for other nodes, by local sequence number."""

    def __init__(self) -> None:
        self._probes: dict[int, ProxyProbe] = {}

    def __len__(self) -> int:
        return len(self._probes)

    def add(self, sequence_number: int, probe: ProxyProbe) -> None:
        """Add a probe that awaits its acknowledgement."""
        self._probes[sequence_number] = probe

    def acknowledge(self, source: str, ack: Ack) -> ProxyProbe | None:
        """Remove and return the probe that an acknowledgement matches; None if there is none."""
        probe = self._probes.get(ack.sequence_number)
        if probe is None or not probe.target == ack.target == source:
            return None
        return self._probes.pop(ack.sequence_number)

    def take_expired(self, now: float) -> list[ProxyProbe]:
        """Remove and return the probes whose deadline has passed."""
        expired = {number: probe for number, probe in self._probes.items() if probe.deadline_ms <= now}
        for number in expired:
            del self._probes[number]
        return list(expired.values())

    def postpone(self, delay_ms: float) -> None:
        """Postpone all deadlines."""
        for probe in self._probes.values():
            probe.deadline_ms += delay_ms

    def deadlines_ms(self) -> list[float]:
        """Return the deadlines of all probes."""
        return [probe.deadline_ms for probe in self._probes.values()]


@dataclass(slots=True)
class ReachabilityProbe:
    """A simultaneous probe of one node by this node and by helpers.

    Attributes:
        sequence_number: number that the acknowledgements must carry.
        deadline_ms: time at which the result is final.
        is_reached: whether the target has acknowledged the probe directly.
        is_reached_by_others: whether a helper has reached the target.
    """

    sequence_number: int
    deadline_ms: float
    is_reached: bool = False
    is_reached_by_others: bool = False


class ReachabilityProbes:
    """The latest reachability probe of each checked node."""

    def __init__(self) -> None:
        self._probes: dict[str, ReachabilityProbe] = {}

    def retain(self, names: Container[str]) -> None:
        """Remove the probes of all nodes except the given ones."""
        self._probes = {name: probe for name, probe in self._probes.items() if name in names}

    def is_due(self, now: float, target: str) -> bool:
        """Return whether a node has no probe in flight."""
        probe = self._probes.get(target)
        return probe is None or probe.deadline_ms <= now

    def add(self, target: str, probe: ReachabilityProbe) -> None:
        """Add a probe that awaits its acknowledgements."""
        self._probes[target] = probe

    def acknowledge(self, source: str, ack: Ack) -> None:
        """Record an acknowledgement by the target, or by a helper that has reached it."""
        probe = self._probes.get(ack.target)
        if probe is None or probe.sequence_number != ack.sequence_number:
            return
        if source == ack.target:
            probe.is_reached = True
        else:
            probe.is_reached_by_others = True

    def is_reached_by_others_only(self, now: float, target: str) -> bool:
        """Return whether only helpers, not this node, have reached a node by its latest probe."""
        probe = self._probes.get(target)
        if probe is None or now < probe.deadline_ms:
            return False
        return probe.is_reached_by_others and not probe.is_reached


class ProbeRotation:
    """Round-robin choice of probe targets, reshuffled for each round (SWIM 4.3)."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._remaining: list[str] = []

    def next_target(self, active: Iterable[str]) -> str | None:
        """Return the next active node of the round, or None if no node is active."""
        candidates = set(active)
        while self._remaining:
            name = self._remaining.pop()
            if name in candidates:
                return name
        self._remaining = sorted(candidates)
        self._rng.shuffle(self._remaining)
        return self._remaining.pop() if self._remaining else None

    def retain(self, names: Container[str]) -> None:
        """Remove the nodes that are no longer members."""
        self._remaining = [name for name in self._remaining if name in names]
