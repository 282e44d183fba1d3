"""Probes in flight: the node's own probe, those it makes for others, and the order of targets."""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass, field
from random import Random

from winchspan.membership.messages import Ack


@dataclass(slots=True)
class Probe:
    """The probe of the current protocol period.

    Attributes:
        sequence_number: number that its acknowledgement must carry.
        target: node that is probed.
        indirect_at_ms: time at which indirect probes are requested.
        deadline_ms: time at which the probe has failed.
        silent_helpers: helpers asked for an indirect probe that have not replied.
        is_indirect: whether indirect probes have been requested.
        is_acknowledged: whether the target has answered.
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
        """When the probe needs attention."""
        return self.deadline_ms if self.is_indirect else self.indirect_at_ms

    def matches(self, sequence_number: int, target: str) -> bool:
        """Whether a reply belongs to this probe."""
        return self.sequence_number == sequence_number and self.target == target

    def postpone(self, delay_ms: float) -> None:
        """Move the timeouts."""
        self.indirect_at_ms += delay_ms
        self.deadline_ms += delay_ms


@dataclass(slots=True)
class ProxyProbe:
    """An indirect probe made for another node.

    Attributes:
        requester: node that asked for it.
        requester_sequence_number: number that the reply to the requester carries.
        target: node that is probed.
        deadline_ms: time at which the requester gets a Nack.
    """

    requester: str
    requester_sequence_number: int
    target: str
    deadline_ms: float


class ProxyProbeTable:
    """Indirect probes in flight for other nodes, by their sequence number at this node."""

    def __init__(self) -> None:
        self._probes: dict[int, ProxyProbe] = {}

    def __len__(self) -> int:
        return len(self._probes)

    def add(self, sequence_number: int, probe: ProxyProbe) -> None:
        """Wait for the acknowledgement of a probe."""
        self._probes[sequence_number] = probe

    def acknowledge(self, source: str, ack: Ack) -> ProxyProbe | None:
        """Remove and return the probe that an acknowledgement answers."""
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
        """Move all deadlines."""
        for probe in self._probes.values():
            probe.deadline_ms += delay_ms

    def deadlines_ms(self) -> list[float]:
        """Return the deadlines of all probes."""
        return [probe.deadline_ms for probe in self._probes.values()]


@dataclass(slots=True)
class ReachabilityProbe:
    """A probe of one node by this node and by others at the same time.

    Attributes:
        sequence_number: number that its acknowledgements must carry.
        deadline_ms: time at which all that answer have answered.
        is_reached: whether the target has acknowledged it itself.
        is_reached_by_others: whether another node has reached the target.
    """

    sequence_number: int
    deadline_ms: float
    is_reached: bool = False
    is_reached_by_others: bool = False


class ReachabilityProbes:
    """The latest reachability probe of each node that is asked about."""

    def __init__(self) -> None:
        self._probes: dict[str, ReachabilityProbe] = {}

    def retain(self, names: Container[str]) -> None:
        """Forget the probes of all other nodes."""
        self._probes = {name: probe for name, probe in self._probes.items() if name in names}

    def is_due(self, now: float, target: str) -> bool:
        """Return whether a node has no probe whose outcome is still to come."""
        probe = self._probes.get(target)
        return probe is None or probe.deadline_ms <= now

    def add(self, target: str, probe: ReachabilityProbe) -> None:
        """Wait for the acknowledgements of a probe."""
        self._probes[target] = probe

    def acknowledge(self, source: str, ack: Ack) -> None:
        """Note an acknowledgement of the target, or of a node that has reached it."""
        probe = self._probes.get(ack.target)
        if probe is None or probe.sequence_number != ack.sequence_number:
            return
        if source == ack.target:
            probe.is_reached = True
        else:
            probe.is_reached_by_others = True

    def is_reached_by_others_only(self, now: float, target: str) -> bool:
        """Return whether others have reached a node and this node has not, by the latest probe."""
        probe = self._probes.get(target)
        if probe is None or now < probe.deadline_ms:
            return False
        return probe.is_reached_by_others and not probe.is_reached


class ProbeRotation:
    """Round-robin choice of targets in a random order that is drawn anew for each round (SWIM 4.3)."""

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
        """Drop the nodes that are no longer members."""
        self._remaining = [name for name in self._remaining if name in names]
