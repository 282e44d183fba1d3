"""Sees to it that as many members as configured hold a replica of this courier's journal."""

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

PROPOSAL_RETRY_INTERVAL_MS: Final = 200.0  # after which a proposal that was not committed is made again


@dataclass(frozen=True, slots=True)
class ReplicationOptions:
    """What the operator's file says of replication.

    Attributes:
        replica_count: replicas beside the owner's journal.
        is_strict: whether no message is admitted while there are fewer.
        capacity_bytes: disk space that others' replicas may take.
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
        """Create it.

        Args:
            node: this process.
            consensus: agrees on placements.
            options: how many replicas there are to be.
            is_owner: whether this courier may act on its own journal now.
        """
        self._node = node
        self._consensus = consensus
        self._options = options
        self._is_owner = is_owner
        self._proposed_ms = 0.0

    @property
    def replicas(self) -> tuple[str, ...]:
        """The members that hold a replica, as it is agreed."""
        placement = self._consensus.leases.table.placements.get(self._node.name)
        return tuple(placement.replicas) if placement is not None else ()

    @property
    def joining(self) -> tuple[str, ...]:
        """The members that are to hold all replicas once they have caught up."""
        placement = self._consensus.leases.table.placements.get(self._node.name)
        return tuple(placement.joining) if placement is not None else ()

    def has_enough_replicas(self) -> bool:
        """Return whether there are as many replicas as there must be."""
        return not self._options.is_strict or len(self.replicas) >= self._options.replica_count

    def update(self, now: float, stream: ReplicationStream) -> None:
        """Stream to the agreed replicas, and propose others where they are gone or fall behind."""
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
