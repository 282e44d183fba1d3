"""Drives consensus and leases at each node of the lease model.

Follows `winchspan.cluster.consensus_service`, without sockets.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from winchspan.consensus.messages import (
    CommitEntry,
    LeaderChanged,
    LogEntry,
    PersistState,
    RaftCommand,
    RestoreSnapshot,
    SendMessage,
)
from winchspan.consensus.raft import Raft
from winchspan.consensus.store import apply_persist_state
from winchspan.leases.commands import AssignRole
from winchspan.leases.holder import LeaseHolder
from winchspan.leases.manager import LeaseManager
from winchspan.leases.messages import LeaseReleased, LeasesRenewed, ReleaseLease, RenewLeases
from winchspan.leases.timing import LeaseTiming
from winchspan.model_checking.checker import InvariantViolationError
from winchspan.model_checking.lease_faults import Defect
from winchspan.model_checking.lease_network import Act, LeaseEnvelope, LeaseMessage, LeaseNetwork
from winchspan.model_checking.lease_node import ROLE, ModelNode
from winchspan.model_checking.network import ReceivedMessage

RENEWAL_INTERVAL_MS: Final = 225.0  # by the node's clock, as in `winchspan.cluster.consensus_service`
TIMER_TOLERANCE_MS: Final = 1e-6


class ModelConsensusService:
    """Drives the state machines of all nodes, and checks leaders and committed entries for consistency.

    Attributes:
        timing: lease durations and clock drift.
    """

    def __init__(
        self,
        nodes: dict[str, ModelNode],
        network: LeaseNetwork,
        timing: LeaseTiming,
        defects: frozenset[Defect],
    ) -> None:
        self.timing = timing
        self._nodes = nodes
        self._network = network
        self._defects = defects
        self._leaders: dict[int, str] = {}  # by term
        self._committed: dict[int, LogEntry] = {}  # by index

    # ---- timers ------------------------------------------------------------------------------------------
    def advance_frozen(self, node: ModelNode) -> None:
        """Advance a frozen node by one round; after the last, handle its unread messages and timers."""
        node.frozen_rounds -= 1
        if node.frozen_rounds:
            return
        unread = node.unread
        node.unread = []
        for received in unread:
            self.handle(node, received.source, received.message)
        self.run_timers(node)

    def run_timers(self, node: ModelNode) -> None:
        """Run the timers of a node that are due."""
        if node.raft is None or node.holder is None:
            return
        now = node.now
        if node.raft.tick_due_ms <= now + TIMER_TOLERANCE_MS:
            self.execute(node, node.raft.tick(max(now, node.raft.tick_due_ms)))
        if node.next_renewal_at <= now + TIMER_TOLERANCE_MS:
            node.next_renewal_at = now + RENEWAL_INTERVAL_MS
            self._renew_leases(node, node.raft, node.holder)
            if node.manager is not None and node.raft.has_confirmed_leadership(now):
                self._plan_assignments(node, node.raft, node.manager)

    def _renew_leases(self, node: ModelNode, raft: Raft, holder: LeaseHolder) -> None:
        request = holder.build_renewal(node.now, node.table)
        if request is not None and raft.leader:
            self._send(node, raft.leader, request)

    def _plan_assignments(self, node: ModelNode, raft: Raft, manager: LeaseManager) -> None:
        now = node.now
        live_nodes = {
            node_id: other.process_nonce
            for node_id, other in self._nodes.items()
            if node_id in raft.members and raft.has_recent_contact(now, node_id, self.timing.lease_ms)
        }
        for step in manager.plan_assignments(now, live_nodes, node.table):
            if isinstance(step, AssignRole):
                self.execute(node, raft.propose(now, step.encode())[1])
            else:
                self._send(node, step.holder, step.message)

    # ---- messages ----------------------------------------------------------------------------------------
    def receive(self, envelope: LeaseEnvelope) -> None:
        """Receive a message that the network delivers to a node."""
        node = self._nodes.get(envelope.target)
        if node is None or node.raft is None:
            return
        if node.frozen_rounds:
            node.unread.append(ReceivedMessage(envelope.source, envelope.message))
        else:
            self.handle(node, envelope.source, envelope.message)

    def handle(self, node: ModelNode, source: str, message: LeaseMessage) -> None:
        """Handle a message at a node that is not frozen."""
        if node.raft is None or node.holder is None:
            return
        match message:
            case RenewLeases():
                self._handle_renewal(node, source, message)
            case LeasesRenewed():
                node.holder.handle_renewed(message)
            case ReleaseLease():
                self._send(node, source, node.holder.handle_release(message))
            case LeaseReleased():
                if node.manager is not None:
                    node.manager.handle_released(node.now, message)
            case Act():
                raise AssertionError("an act is addressed to a node, not to the store")
            case _:
                self.execute(node, node.raft.handle_message(node.now, source, message))

    def _handle_renewal(self, node: ModelNode, source: str, request: RenewLeases) -> None:
        if node.manager is None or node.raft is None:
            return
        now = node.now
        is_confirmed_leader = node.raft.has_confirmed_leadership(now)
        reply = node.manager.renew(now, request, node.table, is_confirmed_leader)
        node.latest_expiry_at = max(node.latest_expiry_at, node.manager.latest_expiry_ms)
        if reply is not None:
            self._send(node, source, reply)

    def _send(self, node: ModelNode, target: str, message: LeaseMessage) -> None:
        if target == node.node_id:
            self.handle(node, node.node_id, message)
        else:
            self._network.send(node.node_id, target, message)

    # ---- commands ----------------------------------------------------------------------------------------
    def execute(self, node: ModelNode, commands: Iterable[RaftCommand]) -> None:
        """Execute the commands of a node's consensus state machine."""
        for command in commands:
            match command:
                case PersistState():
                    self._persist(node, command)
                case SendMessage(target, message):
                    self._network.send(node.node_id, target, message)
                case CommitEntry(entry):
                    self._apply(node, entry)
                case RestoreSnapshot(snapshot):
                    node.table.restore(snapshot.data)
                case LeaderChanged():
                    self._change_leader(node, command)

    def _persist(self, node: ModelNode, command: PersistState) -> None:
        changes_log = bool(command.entries or command.truncate_from or command.snapshot)
        if changes_log or Defect.VOTE_BEFORE_PERSIST not in self._defects:
            node.persistent_state = apply_persist_state(node.persistent_state, command)

    def _apply(self, node: ModelNode, entry: LogEntry) -> None:
        """Apply a committed entry, which is the same at all nodes (state machine safety, 3.6.3)."""
        committed = self._committed.setdefault(entry.index, entry)
        if committed != entry:
            raise InvariantViolationError(f"{node.node_id} commits {entry}, but {committed} was committed")
        role = node.table.apply(entry.index, entry.data)
        if role and node.holder is not None:
            node.holder.handle_reassigned(role, node.table.leases[role])

    def _change_leader(self, node: ModelNode, command: LeaderChanged) -> None:
        """Manage leases if the node is the leader; a term has one leader (election safety, 3.4)."""
        node.manager = None
        if command.leader != node.node_id:
            return
        if self._leaders.setdefault(command.term, command.leader) != command.leader:
            raise InvariantViolationError(f"term {command.term} has two leaders")
        node.manager = LeaseManager(node.now, (ROLE,), self.timing, node.latest_expiry_at)
