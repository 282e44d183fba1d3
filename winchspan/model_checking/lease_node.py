"""A node of the lease model: its disk, its clock, and its process while it runs."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Final

from winchspan.consensus.messages import PersistentState
from winchspan.consensus.raft import Raft
from winchspan.consensus.timing import RaftTiming
from winchspan.leases.holder import LeaseHolder
from winchspan.leases.lease_table import LeaseTable
from winchspan.leases.manager import LeaseManager
from winchspan.leases.timing import LeaseTiming
from winchspan.model_checking.checker import canonical_state
from winchspan.model_checking.lease_network import LeaseMessage
from winchspan.model_checking.network import ReceivedMessage

ROLE: Final = "d"  # the only leased role
RAFT_TIMING: Final = RaftTiming()


class FixedTimeout:
    """Replaces a node's random number generator by a fixed position in every interval."""

    def __init__(self, share: float) -> None:
        self._share = share

    def uniform(self, low: float, high: float) -> float:
        """Return the node's fixed position between two bounds."""
        return low + (high - low) * self._share


@dataclass(slots=True)
class ModelClock:
    """The true time, from which the nodes' clocks drift."""

    now: float = 0.0  # ms


@dataclass(slots=True)
class ModelNode:
    """A node's disk, and its process while it runs; times in ms of the node's clock.

    Attributes:
        node_id: name of the node in the cluster.
        clock: the true time.
        clock_rate: seconds of the node's clock per true second.
        timeout_share: position of the node's election timeout between the minimum (0) and the maximum (1).
        persistent_state: persistent consensus state on disk.
        raft: consensus state machine; None: no process runs.
        table: lease table after the log entries that the node has applied.
        holder: manages the leases that the node holds; None: no process runs.
        manager: manages the leases of all nodes; None: the node is not the leader.
        latest_expiry_at: latest expiry of the leases that the node has renewed as the leader.
        process_nonce: number of the current process.
        next_renewal_at: time at which the node renews its leases and, as the leader, plans assignments.
        frozen_rounds: number of rounds for which the node stays frozen.
        unread: messages received while the node is frozen.
        decided_epoch: epoch under which the node acts in the next round; 0: it does not act.
    """

    node_id: str
    clock: ModelClock
    clock_rate: float
    timeout_share: float
    persistent_state: PersistentState = field(default_factory=PersistentState)
    raft: Raft | None = None
    table: LeaseTable = field(default_factory=LeaseTable)
    holder: LeaseHolder | None = None
    manager: LeaseManager | None = None
    latest_expiry_at: float = 0.0
    process_nonce: int = 0
    next_renewal_at: float = 0.0
    frozen_rounds: int = 0
    unread: list[ReceivedMessage[LeaseMessage]] = field(default_factory=list)
    decided_epoch: int = 0

    @property
    def now(self) -> float:
        """Time of the node's clock, ms."""
        return self.clock.now * self.clock_rate

    def start(self, timing: LeaseTiming) -> None:
        """Start a process from the state on disk.

        Args:
            timing: lease durations and clock drift.
        """
        self.process_nonce += 1
        now = self.now
        self.raft = Raft(self.node_id, self.persistent_state, 0, now, RAFT_TIMING)
        election = self.raft.election
        election._rng = FixedTimeout(self.timeout_share)  # type: ignore[assignment]  # deterministic
        election.deadline_ms = election.draw_deadline_ms(now)
        self.table = LeaseTable()
        self.table.restore(self.persistent_state.snapshot.data)
        self.holder = LeaseHolder(self.node_id, self.process_nonce, timing)
        self.manager = None
        self.latest_expiry_at = 0.0
        self.next_renewal_at = now
        self.decided_epoch = 0
        self.frozen_rounds = 0
        self.unread = []

    def stop(self) -> None:
        """Stop the process permanently."""
        self.raft = None
        self.holder = None
        self.manager = None
        self.decided_epoch = 0

    def valid_epoch(self) -> int:
        """Return the epoch of the lease that is valid by the node's clock; 0: none."""
        return self.holder.valid_epoch(ROLE, self.now) if self.holder is not None else 0

    def key(self) -> Hashable:
        """Return the state as a comparable value, with times relative to now."""
        now = self.now
        return (
            canonical_state(self.raft, now),
            canonical_state(self.holder, now),
            canonical_state(self.manager, now),
            canonical_state(self.table, now),
            canonical_state(self.persistent_state, now),
            self.process_nonce,
            self.frozen_rounds,
            canonical_state(self.unread, now),
            self.decided_epoch,
            round(self.latest_expiry_at - now, 3),
            round(self.next_renewal_at - now, 3),
        )
