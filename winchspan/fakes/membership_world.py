"""A simulated SWIM cluster in virtual time, over a network that loses, delays and duplicates datagrams.

The nodes run the courier's own state machines. Only the transport of the datagrams is simulated.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Final, NamedTuple

from winchspan.fakes.virtual_time import NetworkFaults, VirtualTimeWorld
from winchspan.membership.actions import (
    Action,
    NameConflictDetected,
    NodeRestarted,
    NodeStateChanged,
    SendDatagram,
)
from winchspan.membership.config import SwimConfig, SwimTiming
from winchspan.membership.messages import Datagram, NodeState
from winchspan.membership.swim import Swim

MAX_UNREAD_DATAGRAMS: Final = 200  # buffered by the socket of a frozen node; further ones are lost
NONCES_PER_NODE: Final = 1_000  # process nonce: this times the node's number, plus the number of starts
LEAVE_DURATION_MS: Final = 50.0  # from a graceful leave to the exit of the process
MEAN_DELAY_MS: Final = 1.0


class MembershipEvent(NamedTuple):
    """An event that a node reported."""

    at_ms: float
    observer: str
    event: NodeStateChanged | NodeRestarted | NameConflictDetected

    @property
    def subject(self) -> str:
        """Name of the node that the event is about."""
        return self.event.name


@dataclass(slots=True)
class SimulatedMember:
    """A node: its process if it runs, and the unread datagrams of a frozen process."""

    name: str
    swim: Swim | None = None
    max_lateness_ms: float = 0.0  # upper bound of random delays of ticks and reads; for slow nodes
    unread: list[Datagram] | None = None  # None unless it is frozen
    start_count: int = 0

    @property
    def is_frozen(self) -> bool:
        """Whether the process is frozen."""
        return self.unread is not None


class MembershipWorld(VirtualTimeWorld):
    """The nodes of a SWIM cluster with their network and timers."""

    def __init__(
        self,
        size: int,
        seed: int,
        network: NetworkFaults | None = None,
        timing: SwimTiming | None = None,
    ) -> None:
        """Create the nodes `n0`, `n1`, ... without starting them.

        Args:
            size: number of nodes.
            seed: of all random numbers.
            network: faults of the network; none but a small delay by default.
            timing: SWIM timing of the nodes.
        """
        super().__init__(seed, network or NetworkFaults(delay_ms=MEAN_DELAY_MS))
        self.timing = timing or SwimTiming()
        self.members = {f"n{number}": SimulatedMember(f"n{number}") for number in range(size)}
        self.events: list[MembershipEvent] = []
        self.sent_counts: Counter[str] = Counter()  # datagrams, by source
        self.sent_bytes = 0
        self.datagram_size: Callable[[Datagram], int] = lambda datagram: 0
        self._tick_at_ms: dict[str, float] = {}  # of the armed timers, by node; negative without one

    # ---- faults and requests of the test -----------------------------------------------------------------
    def start(self, name: str) -> None:
        """Start the process of a node with a new nonce."""
        member = self.members[name]
        member.start_count += 1
        member.unread = None
        process_nonce = int(name[1:]) * NONCES_PER_NODE + member.start_count
        config = SwimConfig(name, process_nonce, self.rng.randrange(1 << 30), self.timing)
        member.swim = Swim(config, self.members, self.now)
        self._arm_timer(member)

    def start_all(self) -> None:
        """Start all nodes, each after a random delay of at most a probe interval."""
        for name in self.members:
            delay_ms = self.rng.uniform(0.0, self.timing.probe_interval_ms)
            self.call_later(delay_ms, partial(self.start, name))

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.members[name].swim = None

    def freeze(self, name: str) -> None:
        """Freeze a process, as SIGSTOP does."""
        self.members[name].unread = []

    def thaw(self, name: str) -> None:
        """Resume a frozen process, which first reads its datagrams and then runs its timers."""
        member = self.members[name]
        unread = member.unread or []
        member.unread = None
        for datagram in unread:
            self.handle_datagram(member, datagram)
        self._arm_timer(member)

    def leave(self, name: str) -> None:
        """Let a node leave gracefully; its process exits after `LEAVE_DURATION_MS`."""
        member = self.members[name]
        if member.swim is not None:
            self.execute(member, member.swim.leave(self.now))
            self.call_later(LEAVE_DURATION_MS, lambda: self.kill(name))

    def cut(self, source: str, target: str) -> None:
        """Drop all traffic in one direction of a link."""
        self.cut_links.add((source, target))

    def partition(self, names: set[str]) -> None:
        """Partition some nodes from the others, in both directions."""
        self.cut_links |= {
            (source, target)
            for source in self.members
            for target in self.members
            if (source in names) != (target in names)
        }

    def heal(self) -> None:
        """Restore all links."""
        self.cut_links.clear()

    # ---- membership views of the nodes -------------------------------------------------------------------
    def state_seen_by(self, observer: str, name: str) -> NodeState | None:
        """Return the state of a node in the membership list of a running node."""
        swim = self.members[observer].swim
        assert swim is not None
        return swim.records[name].state

    def is_seen_by_all(self, name: str, state: NodeState) -> bool:
        """Return whether a node has the given state in the membership lists of all other running nodes."""
        return all(
            member.swim is None or member.name == name or member.swim.records[name].state is state
            for member in self.members.values()
        )

    def is_converged(self) -> bool:
        """Return whether exactly the running nodes are alive in the membership lists of all running nodes."""
        running = {member.name for member in self.members.values() if member.swim is not None}
        return all(
            name == member.name or (record.state is NodeState.ALIVE) == (name in running)
            for member in self.members.values()
            if member.swim is not None
            for name, record in member.swim.records.items()
        )

    def state_changes(
        self, state: NodeState, name: str | None = None, since_ms: float = 0.0
    ) -> list[MembershipEvent]:
        """Return the reported changes to a state since a time, of one node or of all nodes."""
        return [
            reported
            for reported in self.events
            if isinstance(reported.event, NodeStateChanged)
            and reported.event.state is state
            and reported.at_ms >= since_ms
            and name in (None, reported.subject)
        ]

    # ---- timers and commands -----------------------------------------------------------------------------
    def _arm_timer(self, member: SimulatedMember) -> None:
        """Rearm a node's timer if its state machine needs an earlier tick; a slow node's timer is late."""
        if member.swim is None or member.is_frozen:
            return
        due_at = max(self.now, member.swim.next_tick_ms)
        armed_at = self._tick_at_ms.get(member.name, -1.0)
        if self.now < armed_at <= due_at:
            return
        self._tick_at_ms[member.name] = due_at
        self.call_later(
            due_at - self.now + self._draw_lateness_ms(member), partial(self._tick, member, member.swim)
        )

    def _draw_lateness_ms(self, member: SimulatedMember) -> float:
        return self.rng.uniform(0.0, member.max_lateness_ms) if member.max_lateness_ms else 0.0

    def _tick(self, member: SimulatedMember, swim: Swim) -> None:
        if member.swim is not swim or member.is_frozen:
            return
        self._tick_at_ms[member.name] = -1.0
        if swim.next_tick_ms <= self.now:
            self.execute(member, swim.tick(self.now))
        self._arm_timer(member)

    def execute(self, member: SimulatedMember, actions: list[Action]) -> None:
        """Execute the actions of a node's state machine."""
        for action in actions:
            if isinstance(action, SendDatagram):
                self.send(member.name, action.recipient, action.datagram)
            else:
                self.events.append(MembershipEvent(self.now, member.name, action))

    # ---- network -----------------------------------------------------------------------------------------
    def send(self, source: str, target: str, datagram: Datagram) -> None:
        """Send a datagram, which the network may lose, delay or duplicate."""
        self.sent_counts[source] += 1
        self.sent_bytes += self.datagram_size(datagram)
        if (source, target) in self.cut_links or self.rng.random() < self.network.loss:
            return
        for _ in range(self.draw_copy_count()):
            delay_ms = self.draw_delay_ms() + self._draw_lateness_ms(self.members[target])
            self.call_later(delay_ms, lambda: self._receive(target, datagram))

    def _receive(self, target: str, datagram: Datagram) -> None:
        member = self.members[target]
        if member.unread is None:
            self.handle_datagram(member, datagram)
            self._arm_timer(member)
        elif len(member.unread) < MAX_UNREAD_DATAGRAMS:
            member.unread.append(datagram)

    def handle_datagram(self, member: SimulatedMember, datagram: Datagram) -> None:
        """Pass a datagram to a node's process, if it runs."""
        if member.swim is not None:
            self.execute(member, member.swim.handle_datagram(self.now, datagram))
