"""Consensus in the replication model: the committed lease table, and the leader's decisions.

The consensus protocol itself is assumed to work.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Final

from winchspan.leases.commands import AssignRole, SetReplicaPlacement, journal_role
from winchspan.leases.lease_table import Lease, LeaseTable, ReplicaPlacement
from winchspan.model_checking.checker import canonical_state
from winchspan.model_checking.replication_courier import ModelCourier
from winchspan.model_checking.replication_environment import OWNER, Defect, ModelClock, ReplicationNetwork
from winchspan.replication.placement import TakeoverPlanner
from winchspan.replication.replica_set import ReplicaProgress, ReplicaState

ROLE: Final = journal_role(OWNER)
LEASE_MS: Final = 800.0  # `LeaseTiming.lease_ms` rounded to whole rounds, without clock drift


class ModelConsensus:
    """The committed lease table, sent at once to all couriers that the leader reaches in both directions."""

    def __init__(
        self,
        couriers: dict[str, ModelCourier],
        network: ReplicationNetwork,
        clock: ModelClock,
        defects: frozenset[Defect],
    ) -> None:
        self._couriers = couriers
        self._network = network
        self._clock = clock
        self._defects = defects
        self._planner = TakeoverPlanner()
        self._log_index = 10
        self._lease_expires_at_ms = 0.0  # latest expiry of any lease on the journal
        self.lease_table = LeaseTable()

    def commit(self, data: bytes) -> None:
        """Append an entry to the committed log and apply it."""
        self._log_index += 1
        self.lease_table.apply(self._log_index, data)

    def majority(self) -> set[str]:
        """Return the leader and the couriers that it reaches in both directions; empty: no majority."""
        active = [courier.name for courier in self._couriers.values() if courier.is_active]
        for leader in reversed(active):
            group = {
                name
                for name in active
                if not self._network.is_cut(name, leader) and not self._network.is_cut(leader, name)
            }
            if len(group) > 1:
                return group
        return set()

    def run_round(self) -> None:
        """Renew the lease, assign the journal, change its replicas, and publish the lease table."""
        group = self.majority()
        if not group:
            return
        lease = self.lease_table.leases[ROLE]
        placement = self.lease_table.placements.get(OWNER)
        self._renew_lease(group, lease)
        self._record_progress(group, placement)
        self._plan_owner(group, lease)
        self._plan_replicas(group, placement)
        for name in group:
            lease_table = LeaseTable()
            lease_table.restore(self.lease_table.encode_snapshot())
            self._couriers[name].lease_table = lease_table

    def key(self) -> Hashable:
        """Return the state as a comparable value, with times relative to now."""
        now = self._clock.now
        return canonical_state(self._planner, now), canonical_state(self._lease_expires_at_ms, now)

    def _renew_lease(self, group: set[str], lease: Lease) -> None:
        holder = self._couriers[lease.holder]
        if lease.holder in group and holder.incarnation == lease.process_nonce:
            self._lease_expires_at_ms = self._clock.now + LEASE_MS
            holder.lease_expires_at_ms = self._lease_expires_at_ms

    def _record_progress(self, group: set[str], placement: ReplicaPlacement | None) -> None:
        for name in placement.replicas if placement is not None else ():
            if name not in group:
                continue
            replica = self._couriers[name].replica_set.replicas.get(OWNER, ReplicaState())
            progress = ReplicaProgress(replica.epoch, replica.last_index, name) if replica.epoch else None
            if progress is not None and Defect.MOST_COMPLETE_REPLICA_NOT_CHOSEN in self._defects:
                progress = ReplicaProgress(1, -replica.last_index, name)
            self._planner.record_progress(OWNER, name, progress)

    def _plan_owner(self, group: set[str], lease: Lease) -> None:
        alive = {name: self._couriers[name].incarnation for name in sorted(group)}
        owner = self._couriers[OWNER]
        journal_epochs = {OWNER: (owner.incarnation, owner.journal_epoch)}
        chosen = self._planner.choose_owner(self._clock.now, ROLE, alive, self.lease_table, journal_epochs)
        if not chosen or self._clock.now < self._lease_expires_at_ms:
            return
        if (chosen, self._couriers[chosen].incarnation) != (lease.holder, lease.process_nonce):
            self.commit(AssignRole(ROLE, chosen, alive[chosen], lease.epoch).encode())

    def _plan_replicas(self, group: set[str], placement: ReplicaPlacement | None) -> None:
        stream = self._couriers[OWNER].stream
        if placement is None or OWNER not in group or self.lease_table.leases[ROLE].holder != OWNER:
            return
        if stream is None:
            return
        unreachable = [name for name in placement.replicas if name not in group]
        candidates = [name for name in sorted(group) if name not in (*placement.replicas, OWNER)]
        if unreachable and candidates and not placement.joining:
            joining = tuple(name for name in (*placement.replicas, *candidates) if name not in unreachable)
            change = SetReplicaPlacement(OWNER, placement.replicas, joining, placement.version)
            self.commit(change.encode())
        elif (
            placement.joining
            and set(placement.joining) <= group
            and all(stream.is_in_sync(name) for name in placement.joining)
        ):
            change = SetReplicaPlacement(OWNER, placement.joining, (), placement.version)
            self.commit(change.encode())
