"""Replicas of other couriers' journals on this courier's disk."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from loguru import logger

from winchspan.cluster.message_bus import MessageBus
from winchspan.replication.messages import ReplicaBehind, ReplicateRecords, SnapshotChunk
from winchspan.replication.replica_set import (
    AppendRecords,
    PersistEpoch,
    ReplaceRecords,
    ReplicaProgress,
    ReplicaSet,
    Reply,
)
from winchspan.replication.replica_store import InvalidRecordsError, ReplicaStore

NO_RECORDS: Final = -1  # the last index that a replica reports if it needs a snapshot


class ReplicaHolder:
    """Writes journal records of other couriers to replicas, and acknowledges them once they are on disk.

    Attributes:
        store: replicas on disk.
        replicas: state of each replica.
    """

    def __init__(self, bus: MessageBus, store: ReplicaStore) -> None:
        self._bus = bus
        self.store = store
        self.replicas = ReplicaSet(store.replica_states())

    @property
    def replica_count(self) -> int:
        """Number of replicas that have records."""
        return sum(replica.epoch > 0 for replica in self.replicas.replicas.values())

    def status(self) -> dict[str, dict[str, int]]:
        """Return epoch and last record of each replica by owner."""
        return {
            owner: {"epoch": replica.epoch, "upto": replica.last_index}
            for owner, replica in self.replicas.replicas.items()
        }

    def progress(self, owner: str, holder: str) -> ReplicaProgress:
        """Return epoch and last index of the replica of an owner; epoch 0 if there is none."""
        replica = self.replicas.replicas.get(owner)
        if replica is None:
            return ReplicaProgress(0, 0, holder)
        return ReplicaProgress(replica.epoch, replica.last_index, holder)

    def receive(self, sender: str, message: ReplicateRecords | SnapshotChunk) -> None:
        """Persist records of a sender's own journal; send no reply if they cannot be persisted."""
        if isinstance(message, ReplicateRecords):
            actions = self.replicas.handle_records(message)
        else:
            actions = self.replicas.handle_snapshot_chunk(message)
        for action in actions:
            if isinstance(action, Reply):
                self._bus.send(sender, action.message)
                continue
            try:
                is_written = self.store.persist(action)
            except InvalidRecordsError as err:
                logger.warning("replication: {} sent invalid records: {}", sender, err)
                is_written = False
            if not is_written:
                if not isinstance(action, PersistEpoch):
                    self._reset_progress(message.owner)
                    self._request_snapshot_if_full(sender, action)
                return  # without a reply the owner chooses another replica node

    def _reset_progress(self, owner: str) -> None:
        """Reset the progress of a replica to what is on disk."""
        replica = self.store.replica(owner)
        epoch, last_index = (replica.epoch, replica.last_index) if replica is not None else (0, 0)
        self.replicas.reset_progress(owner, epoch, last_index)

    def _request_snapshot_if_full(self, sender: str, action: AppendRecords | ReplaceRecords) -> None:
        """Request a snapshot in place of records for which the quota has no capacity left.

        A snapshot needs no capacity beside the present records. Without it, no record could be added any
        more, and no message could end.
        """
        replica = self.store.replica(action.owner)
        if isinstance(action, AppendRecords) and replica is not None and replica.is_out_of_capacity:
            self._bus.send(sender, ReplicaBehind(action.owner, action.epoch, NO_RECORDS))

    def promise(self, owner: str, epoch: int) -> bool:
        """Promise to accept no older epoch of a journal; return False if the promise is not on disk."""
        actions, _ = self.replicas.promise_epoch(owner, epoch)
        are_written = all(
            self.store.persist(action) for action in actions if isinstance(action, PersistEpoch)
        )
        return are_written and self.replicas.replicas[owner].promised_epoch == epoch

    def remove_superseded(self, takeover_epochs: Mapping[str, int]) -> None:
        """Remove all replicas of journals that were taken over under a later epoch."""
        for owner, replica in list(self.replicas.replicas.items()):
            if 0 < replica.epoch < takeover_epochs.get(owner, 0):
                self.replicas.replicas.pop(owner)
                self.store.remove(owner)
                self.promise(owner, takeover_epochs[owner])
