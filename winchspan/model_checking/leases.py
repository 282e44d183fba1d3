"""Model of consensus and leases: three nodes, their disks, a network, drifting clocks, and one leased role.

The model uses the couriers' own state machines (`Raft`, `LeaseManager`, `LeaseHolder`, `LeaseTable`,
`EpochFence`). `lease_service` drives them like `winchspan.cluster.consensus_service`, without sockets. Clocks
drift by 5%. A holder decides to act at the end of a round and acts in the next round. The lease check right
before the act covers a freeze in between. The act reaches a store when the network delivers it, and the store
compares epochs. `lease_initial_states` defines the initial states.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Final

from winchspan.leases.fencing import EpochFence
from winchspan.leases.timing import LeaseTiming
from winchspan.model_checking.checker import InvariantViolationError
from winchspan.model_checking.lease_faults import (
    NODE_IDS,
    STORE,
    Defect,
    Fault,
    FaultKind,
    link_faults,
    node_faults,
)
from winchspan.model_checking.lease_network import Act, LeaseEnvelope, LeaseNetwork
from winchspan.model_checking.lease_node import ROLE, ModelClock, ModelNode
from winchspan.model_checking.lease_service import ModelConsensusService

MAX_CLOCK_DRIFT: Final = 0.05
CLOCK_RATES: Final = (1.0 + MAX_CLOCK_DRIFT, 1.0 - MAX_CLOCK_DRIFT, 1.0)  # one for each node
TIMEOUT_SHARES: Final = (0.0, 0.5, 1.0)  # one for each node, see `ModelNode.timeout_share`
LEASE_TIMING: Final = LeaseTiming(max_clock_drift=MAX_CLOCK_DRIFT)
ROUND_MS: Final = 75.0  # true time: half a heartbeat, so that no timer counts as stalled


class LeaseModel:
    """The nodes and their environment, which the checker advances in rounds.

    Attributes:
        nodes: nodes by id, including stopped nodes whose data directories are lost.
        clock: the true time.
        network: messages in flight, and faults of links.
        service: drives the nodes' state machines.
    """

    def __init__(self, defects: frozenset[Defect] = frozenset(), timing: LeaseTiming = LEASE_TIMING) -> None:
        """Create the nodes without starting them.

        Args:
            defects: safeguards to remove.
            timing: lease durations and clock drift.
        """
        self._defects = defects
        self.clock = ModelClock()
        self.nodes = {
            node_id: ModelNode(node_id, self.clock, rate, share)
            for node_id, rate, share in zip(NODE_IDS, CLOCK_RATES, TIMEOUT_SHARES, strict=True)
        }
        self.network = LeaseNetwork()
        self.service = ModelConsensusService(self.nodes, self.network, timing, defects)
        self._store = EpochFence()
        self._last_act_epoch = 0  # epoch of the last act that the store has accepted
        self._lost_directory_count = 0
        self._isolated_terms: dict[str, int] = {}  # by isolated node, its term when the isolation began

    def start(self, node: ModelNode) -> None:
        """Start the process of a node."""
        node.start(self.service.timing)

    # ---- faults ------------------------------------------------------------------------------------------
    def available_faults(self) -> list[Fault]:
        """Return the faults that may begin now."""
        faults = [Fault(FaultKind.REVERSE_MESSAGES), Fault(FaultKind.LOSE_MESSAGES)]
        for node in self.nodes.values():
            if not node.frozen_rounds and node.raft is not None:
                faults += node_faults(node.node_id)
        return faults + link_faults()

    def inject_fault(self, fault: Fault) -> None:
        """Begin a fault."""
        match fault.kind:
            case FaultKind.REVERSE_MESSAGES:
                self.network.is_next_round_reversed = True
            case FaultKind.LOSE_MESSAGES:
                self.network.in_flight.clear()
            case FaultKind.RESTART:
                self.start(self.nodes[fault.node_id])
            case FaultKind.LOSE_DATA_DIRECTORY:
                self._lose_data_directory(self.nodes[fault.node_id])
            case FaultKind.FREEZE:
                self.nodes[fault.node_id].frozen_rounds = fault.rounds
            case FaultKind.DELAY_LINK:
                self.network.delay(fault.node_id, fault.peer, fault.rounds)
            case FaultKind.PARTITION_LINK:
                self.network.cut_both_ways(fault.node_id, fault.peer, fault.rounds)
            case FaultKind.CUT_OUTBOUND | FaultKind.CUT_INBOUND | FaultKind.ISOLATE:
                self._cut_off(fault)

    def _cut_off(self, fault: Fault) -> None:
        for other in NODE_IDS:
            if other == fault.node_id:
                continue
            if fault.kind is not FaultKind.CUT_INBOUND:
                self.network.cut(fault.node_id, other, fault.rounds)
            if fault.kind is not FaultKind.CUT_OUTBOUND:
                self.network.cut(other, fault.node_id, fault.rounds)

    def _lose_data_directory(self, node: ModelNode) -> None:
        """Replace a node by one with an empty data directory, which is not a voter."""
        self._lost_directory_count += 1
        if len(self.nodes) > len(NODE_IDS):  # at most one node is replaced: three nodes tolerate one failure
            return
        node_id = f"{node.node_id[0]}#{self._lost_directory_count + 1}"
        replacement = ModelNode(node_id, self.clock, node.clock_rate, node.timeout_share)
        node.stop()
        self.nodes[node_id] = replacement
        self.start(replacement)

    # ---- a round -----------------------------------------------------------------------------------------
    def run_round(self) -> None:
        """Execute decided acts, deliver all messages, advance the time, and run due timers.

        Raises:
            InvariantViolationError: if an invariant does not hold.
        """
        for node in self.nodes.values():
            self._act(node)
        self.network.deliver_all(self._receive)
        self.clock.now += ROUND_MS
        for node in list(self.nodes.values()):
            if node.frozen_rounds:
                self.service.advance_frozen(node)
            else:
                self.service.run_timers(node)
        self.network.advance_round()
        self._check_holders()
        self._check_isolated_terms()

    def key(self) -> Hashable:
        """Return the state with times relative to now, without counters that do not affect behaviour."""
        return (
            tuple(node.key() for node in self.nodes.values()),
            self.network.key(),
            self._last_act_epoch,
            self._lost_directory_count,
            tuple(sorted(self._isolated_terms.items())),
        )

    def _act(self, node: ModelNode) -> None:
        """Execute a decided act after checking the lease again."""
        if node.frozen_rounds or not node.decided_epoch or node.holder is None:
            return
        epoch = node.decided_epoch
        node.decided_epoch = 0
        if node.valid_epoch() != epoch and Defect.NO_LEASE_CHECK not in self._defects:
            return
        others = [other.node_id for other in self.nodes.values() if other is not node and other.valid_epoch()]
        if others:
            raise InvariantViolationError(
                f"{node.node_id} acts under {epoch} while {others} hold a valid lease"
            )
        self.network.send(node.node_id, STORE, Act(epoch))

    def _receive(self, envelope: LeaseEnvelope) -> None:
        if isinstance(envelope.message, Act):
            self._store_act(envelope.source, envelope.message)
        else:
            self.service.receive(envelope)

    def _store_act(self, source: str, act: Act) -> None:
        """Handle an act at the store; accepted acts must be in the order of their epochs."""
        if not self._store.admit(ROLE, act.epoch) and Defect.NO_EPOCH_CHECK not in self._defects:
            return
        if act.epoch < self._last_act_epoch:
            raise InvariantViolationError(
                f"an act of {source} under {act.epoch} is stored after an act under {self._last_act_epoch}"
            )
        self._last_act_epoch = act.epoch

    def _check_holders(self) -> None:
        """Check that at most one node holds a valid lease, and make that node decide to act."""
        epochs = {node.node_id: node.valid_epoch() for node in self.nodes.values()}
        holders = [(node_id, epoch) for node_id, epoch in epochs.items() if epoch]
        if len(holders) > 1:
            raise InvariantViolationError(f"two holders: {holders}")
        for node_id, epoch in holders:
            if not self.nodes[node_id].frozen_rounds:
                self.nodes[node_id].decided_epoch = epoch

    def _check_isolated_terms(self) -> None:
        """Check that pre-votes prevent an isolated node from raising its term (9.6)."""
        for node_id in NODE_IDS:
            raft = self.nodes[node_id].raft
            others = [other for other in NODE_IDS if other != node_id]
            if raft is None or not self.network.is_isolated(node_id, others):
                self._isolated_terms.pop(node_id, None)
            elif raft.term > self._isolated_terms.setdefault(node_id, raft.term):
                raise InvariantViolationError(f"{node_id} is isolated, and raises its term")
