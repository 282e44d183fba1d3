"""The leader's choice of the successor that takes over the journal of a failed courier."""

from __future__ import annotations

from collections.abc import Mapping

from winchspan.cluster.consensus_service import ConsensusService
from winchspan.cluster.messages import NodeLeaving, ReplicaProgressReported, ReplicaProgressRequested
from winchspan.cluster.node import ClusterNode
from winchspan.cluster.replica_holder import ReplicaHolder
from winchspan.leases.commands import JOURNAL_ROLE_PREFIX
from winchspan.leases.lease_table import LeaseTable
from winchspan.leases.manager import preferred_holder
from winchspan.replication.placement import TakeoverPlanner
from winchspan.replication.replica_set import ReplicaProgress


class TakeoverPlanning:
    """Queries the progress of all replicas, and prefers the member with the most complete replica."""

    def __init__(self, node: ClusterNode, consensus: ConsensusService, holder: ReplicaHolder) -> None:
        self._node = node
        self._consensus = consensus
        self._bus = consensus.bus
        self._holder = holder
        self._planner = TakeoverPlanner()
        self._bus.subscribe(ReplicaProgressRequested, self._on_progress_requested)
        self._bus.subscribe(ReplicaProgressReported, self._on_progress_reported)
        self._bus.subscribe(NodeLeaving, self._on_leaving)

    def request_progress(self, now: float) -> None:
        """As the leader, query the progress of the replicas of missing couriers' journals."""
        if not self._consensus.is_leading:
            return
        for owner in self._planner.owners_to_query(now):
            self._bus.broadcast(ReplicaProgressRequested(owner))
            self._on_progress_reported(self._node.name, self._own_progress(owner))

    def announce_leaving(self) -> None:
        """Announce to all members that this process hands its journal over."""
        message = NodeLeaving(self._node.incarnation)
        self._bus.broadcast(message)
        self._on_leaving(self._node.name, message)

    def preferred_holder(self, role: str, live: Mapping[str, int], table: LeaseTable) -> str:
        """As the leader, return the member that is to hold a role; empty to leave the role as it is."""
        if not role.startswith(JOURNAL_ROLE_PREFIX):
            return preferred_holder(role, live)
        journals = self._consensus.announcements.journals
        return self._planner.choose_owner(self._node.now_ms(), role, live, table, journals)

    def _own_progress(self, owner: str) -> ReplicaProgressReported:
        progress = self._holder.progress(owner, self._node.name)
        return ReplicaProgressReported(owner, progress.epoch, progress.last_index)

    def _on_progress_requested(self, sender: str, message: ReplicaProgressRequested) -> None:
        self._bus.send(sender, self._own_progress(message.owner))

    def _on_progress_reported(self, sender: str, message: ReplicaProgressReported) -> None:
        progress = None
        if message.epoch:
            progress = ReplicaProgress(message.epoch, message.last_record, sender)
        self._planner.record_progress(message.owner, sender, progress)

    def _on_leaving(self, sender: str, message: NodeLeaving) -> None:
        self._planner.record_shutdown(sender, message.incarnation)
        self._consensus.schedule_plan()
