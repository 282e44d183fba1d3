"""Assigns the replicas of this courier's journal to as many members as configured."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from loguru import logger

from winchspan.cluster.consensus_service import ConsensusService
from winchspan.cluster.node import ClusterNode
from winchspan.leases.commands import SetReplicaPlacement
from winchspan.replication.placement import choose_replicas
from winchspan.replication.stream import ReplicationStream

PROPOSAL_RETRY_INTERVAL_MS: Final = 200.0  # after which an uncommitted proposal is repeated


@dataclass(frozen=True, slots=True)
class ReplicationOptions:
    """Options of replication from the operator's file.

    Attributes:
        replica_count: number of replicas besides the owner's journal.
        is_strict: whether no message is admitted while there are fewer replicas.
        capacity_bytes: disk space for the replicas of other couriers' journals.
    """

    replica_count: int
    is_strict: bool
    capacity_bytes: int


class ReplicaPlacer:
    """Proposes the placement of this courier's replicas."""

    def __init__(
        self,
        node: ClusterNode,
        consensus: ConsensusService,
        options: ReplicationOptions,
        is_owner: Callable[[], bool],
    ) -> None:
        """Create a placer without proposals.

        Args:
            node: this process.
            consensus: commits placements, and provides live members and their locations.
            options: number of replicas.
            is_owner: returns whether this courier holds the lease on its own journal.
        """
        self._node = node
        self._consensus = consensus
        self._options = options
        self._is_owner = is_owner
        self._proposed_ms = 0.0

    @property
    def replicas(self) -> tuple[str, ...]:
        """Members that hold a replica, by the committed placement."""
        placement = self._consensus.leases.table.placements.get(self._node.name)
        return tuple(placement.replicas) if placement is not None else ()

    @property
    def joining(self) -> tuple[str, ...]:
        """Members that replace the current set of replicas once all of them have caught up."""
        placement = self._consensus.leases.table.placements.get(self._node.name)
        return tuple(placement.joining) if placement is not None else ()

    def has_enough_replicas(self) -> bool:
        """Return whether there are as many replicas as the options require."""
        return not self._options.is_strict or len(self.replicas) >= self._options.replica_count

    def update(self, now: float, stream: ReplicationStream) -> None:
        """Stream to the committed replicas, and propose to replace those that have failed or are too slow."""
        replicas, joining = self.replicas, self.joining
        stream.set_replicas(now, replicas, joining)
        live = {name for name in self._consensus.live_nodes() if name != self._node.name}
        usable = live - set(stream.slow_replicas(now))
        current = [name for name in (*replicas, *joining) if name in usable]
        wanted = choose_replicas(
            self._node.name,
            usable,
            self._options.replica_count,
            self._consensus.announcements.locations,
            current,
        )
        if now < self._proposed_ms + PROPOSAL_RETRY_INTERVAL_MS or not self._is_owner():
            return
        if not self._options.is_strict and len(wanted) < len(replicas):
            logger.error(
                "replication: only {} replicas of this courier's journal, {} are required",
                list(wanted),
                self._options.replica_count,
            )
            self._propose(now, wanted, ())
        elif joining and set(joining) <= usable and all(stream.is_in_sync(name) for name in joining):
            self._propose(now, joining, ())
        elif len(wanted) >= len(replicas) and set(wanted) not in (set(replicas), set(joining)) and wanted:
            logger.info(
                "replication: replicas of this courier's journal are assigned to {}", ", ".join(wanted)
            )
            self._propose(now, replicas, wanted)

    def _propose(self, now: float, replicas: tuple[str, ...], joining: tuple[str, ...]) -> None:
        self._proposed_ms = now
        placement = self._consensus.leases.table.placements.get(self._node.name)
        version = placement.version if placement is not None else 0
        proposal = SetReplicaPlacement(self._node.name, replicas, joining, version)
        self._consensus.propose(proposal.encode())
