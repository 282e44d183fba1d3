"""A simulated cluster with leased roles in virtual time, with consensus, lease tables and drifting clocks.

Each holder acts on its roles every few ms while its lease is valid. The simulation checks mutual exclusion:
at no virtual time may two processes hold a valid lease of the same role.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from winchspan.consensus.messages import LeaderChanged, LogEntry, RaftCommand, RestoreSnapshot
from winchspan.consensus.timing import RaftTiming
from winchspan.fakes.consensus_world import (
    ConsensusWorld,
    InvariantViolationError,
    SimulatedNode,
)
from winchspan.fakes.virtual_time import NetworkFaults
from winchspan.leases.commands import AssignRole
from winchspan.leases.fencing import EpochFence
from winchspan.leases.holder import LeaseHolder
from winchspan.leases.lease_table import LeaseTable
from winchspan.leases.manager import LeaseManager
from winchspan.leases.messages import LeaseReleased, LeasesRenewed, ReleaseLease, RenewLeases
from winchspan.leases.timing import LeaseTiming

RENEWAL_INTERVAL_MS: Final = 100.0  # virtual time between two rounds of renewal and planning
CHECK_INTERVAL_MS: Final = 5.0  # virtual time between two checks of the valid leases

LeaseMessage = RenewLeases | LeasesRenewed | ReleaseLease | LeaseReleased


@dataclass(slots=True)
class NodeLeases:
    """The lease state of a process."""

    holder: LeaseHolder
    table: LeaseTable = field(default_factory=LeaseTable)
    manager: LeaseManager | None = None
    latest_expiry_at: float = 0.0  # of the leases that it has renewed as the leader


class RoleHolder(NamedTuple):
    """The node that acted on a role last, and the epoch of its lease."""

    node_id: str
    epoch: int


class RoleMove(NamedTuple):
    """The first action of a role's new holder."""

    at_ms: float
    role: str
    node_id: str


@dataclass(frozen=True, slots=True)
class LeaseWorldOptions:
    """Bounds and faults of a simulated cluster with leases."""

    max_clock_drift: float = 0.0  # maximum drift of each clock, in seconds per second; drawn at random
    timing: LeaseTiming = field(default_factory=LeaseTiming)
    network: NetworkFaults = field(default_factory=NetworkFaults)


class LeaseWorld(ConsensusWorld):
    """A Raft cluster whose nodes hold leases of roles."""

    def __init__(
        self,
        node_ids: list[str],
        seed: int,
        roles: tuple[str, ...],
        options: LeaseWorldOptions | None = None,
    ) -> None:
        """Create the cluster.

        Args:
            node_ids: ids of the nodes, in the form `name#incarnation`.
            seed: of all random numbers.
            roles: roles to assign.
            options: bounds and faults.
        """
        options = options or LeaseWorldOptions()
        self.lease_timing = options.timing
        self.roles = roles
        self.node_leases: dict[str, NodeLeases] = {}
        self.process_nonces: dict[str, int] = {}
        self.holders: dict[str, RoleHolder] = {}  # by role
        self.act_count = 0
        self.moves: list[RoleMove] = []
        self.fence = EpochFence()
        drift_rng = random.Random(seed)
        raft_timing = RaftTiming(
            election_timeout_ms=self.lease_timing.election_timeout_ms,
            confirmation_window_ms=self.lease_timing.confirmation_window_ms,
        )
        super().__init__(node_ids, seed, raft_timing, options.network)
        max_drift = options.max_clock_drift
        for node in self.nodes.values():
            node.clock_rate = 1.0 + drift_rng.uniform(-max_drift, max_drift)
        self.call_later(0.0, self._renew_and_plan_all)
        self.call_later(0.0, self._check_and_act)

    def start(self, node_id: str) -> None:
        """Start a process, which restores the leases from its snapshot and its log."""
        process_nonce = self.process_nonces.get(node_id, 0) + 1
        self.process_nonces[node_id] = process_nonce
        self.node_leases[node_id] = NodeLeases(LeaseHolder(node_id, process_nonce, self.lease_timing))
        super().start(node_id)
        snapshot = self.nodes[node_id].persistent_state.snapshot
        if snapshot.index:
            self.node_leases[node_id].table.restore(snapshot.data)

    def live_nodes(self) -> dict[str, int]:
        """Return the process nonces by node, of the nodes that run and are not cut off from a majority."""
        half = len(self.nodes) / 2
        cut_off = {
            source
            for source, _ in self.cut_links
            if sum(1 for other, _ in self.cut_links if other == source) > half
        }
        return {
            node_id: self.process_nonces[node_id]
            for node_id, node in self.nodes.items()
            if node.is_running and node_id not in cut_off
        }

    def compact_all(self) -> None:
        """Replace the committed log entries of each running node by a snapshot."""
        for node in self.nodes.values():
            if node.is_running and not node.pending_writes:
                self.compact(node, self.node_leases[node.node_id].table.encode_snapshot())

    # ---- renewal and planning ----------------------------------------------------------------------------
    def _renew_and_plan_all(self) -> None:
        self.call_later(RENEWAL_INTERVAL_MS, self._renew_and_plan_all)
        live_nodes = self.live_nodes()
        for node in list(self.nodes.values()):
            if node.is_running:
                self._renew_and_plan(node, live_nodes)

    def _renew_and_plan(self, node: SimulatedNode, live_nodes: dict[str, int]) -> None:
        assert node.raft is not None
        leases = self.node_leases[node.node_id]
        now = self.clock(node)
        request = leases.holder.build_renewal(now, leases.table)
        if request is not None and node.raft.leader:
            self._send_lease_message(node.node_id, node.raft.leader, request)
        if leases.manager is None or not node.raft.has_confirmed_leadership(now):
            return
        for step in leases.manager.plan_assignments(now, live_nodes, leases.table):
            if isinstance(step, AssignRole):
                _, commands = node.raft.propose(now, step.encode())
                self.execute(node, commands)
            else:
                self._send_lease_message(node.node_id, step.holder, step.message)

    def _send_lease_message(self, source: str, target: str, message: LeaseMessage) -> None:
        if not self.is_lost(source, target):
            self.call_later(
                self.draw_delay_ms(), lambda: self._receive_lease_message(target, source, message)
            )

    def _receive_lease_message(self, target: str, source: str, message: LeaseMessage) -> None:
        node = self.nodes[target]
        if node.raft is None:
            return
        if node.unread is not None:  # the process reads it once it is resumed
            self.call_later(CHECK_INTERVAL_MS, lambda: self._receive_lease_message(target, source, message))
            return
        leases = self.node_leases[target]
        match message:
            case RenewLeases():
                self._handle_renewal(node, source, message)
            case LeasesRenewed():
                leases.holder.handle_renewed(message)
            case ReleaseLease():
                self._send_lease_message(target, source, leases.holder.handle_release(message))
            case LeaseReleased():
                if leases.manager is not None:
                    leases.manager.handle_released(self.clock(node), message)

    def _handle_renewal(self, node: SimulatedNode, source: str, request: RenewLeases) -> None:
        leases = self.node_leases[node.node_id]
        if leases.manager is None or node.raft is None:
            return
        now = self.clock(node)
        is_confirmed_leader = node.raft.has_confirmed_leadership(now)
        reply = leases.manager.renew(now, request, leases.table, is_confirmed_leader)
        if reply is not None:
            self._send_lease_message(node.node_id, source, reply)

    # ---- actions -----------------------------------------------------------------------------------------
    def _check_and_act(self) -> None:
        """Check the valid leases, and let their holders act; a frozen holder counts, but does not act."""
        self.call_later(CHECK_INTERVAL_MS, self._check_and_act)
        for role in self.roles:
            epochs = {
                node_id: self.node_leases[node_id].holder.valid_epoch(role, self.clock(node))
                for node_id, node in self.nodes.items()
                if node.raft is not None
            }
            holders = [(node_id, epoch) for node_id, epoch in epochs.items() if epoch]
            if len(holders) > 1:
                raise InvariantViolationError(
                    f"{role} has {len(holders)} holders at {self.now:.0f} ms: {holders}"
                )
            for node_id, epoch in holders:
                if self.nodes[node_id].unread is None:
                    self._act(role, node_id, epoch)

    def _act(self, role: str, node_id: str, epoch: int) -> None:
        self.act_count += 1
        previous = self.holders.get(role)
        if not self.fence.admit(role, epoch):
            raise InvariantViolationError(f"{node_id} acts on {role} under epoch {epoch}, after {previous}")
        holder = RoleHolder(node_id, epoch)
        if previous != holder:
            self.holders[role] = holder
            self.moves.append(RoleMove(self.now, role, node_id))

    # ---- commands ----------------------------------------------------------------------------------------
    def _apply(self, node: SimulatedNode, entry: LogEntry) -> None:
        super()._apply(node, entry)
        leases = self.node_leases[node.node_id]
        role = leases.table.apply(entry.index, entry.data)
        if role:
            leases.holder.handle_reassigned(role, leases.table.leases[role])

    def execute(self, node: SimulatedNode, commands: list[RaftCommand]) -> None:
        """Execute a node's commands, and update its lease table and its lease manager."""
        for command in commands:
            super().execute(node, [command])
            if node.raft is None or node.node_id not in self.node_leases:
                continue
            leases = self.node_leases[node.node_id]
            if isinstance(command, LeaderChanged):
                self._change_leader(node, leases, command.leader)
            elif isinstance(command, RestoreSnapshot):
                leases.table.restore(command.snapshot.data)

    def _change_leader(self, node: SimulatedNode, leases: NodeLeases, leader: str) -> None:
        if leases.manager is not None:
            leases.latest_expiry_at = leases.manager.latest_expiry_ms
        leases.manager = None
        if leader == node.node_id:
            leases.manager = LeaseManager(
                self.clock(node), self.roles, self.lease_timing, leases.latest_expiry_at
            )
