"""The replica side of journal replication: accepts or rejects records and snapshots of other owners.

The state machine does no I/O. It returns actions in order: the actions before a reply must be on disk before
the reply is sent. The promised epoch of a replica only increases, and messages under an older epoch are
rejected. Therefore no replica acknowledges the records of an owner that its successor has fenced.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from winchspan.replication.messages import (
    EpochSuperseded,
    ReplicaAcknowledged,
    ReplicaBehind,
    ReplicateRecords,
    SnapshotChunk,
)

MAX_PENDING_SNAPSHOT_BYTES = 4 << 20  # limit of incomplete snapshots over all replicas of a node


@dataclass(frozen=True, slots=True)
class AppendRecords:
    """Append records, which follow the replica's last record without a gap."""

    owner: str
    epoch: int
    first_index: int
    records: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ReplaceRecords:
    """Atomically replace the replica by a snapshot up to `last_index`."""

    owner: str
    epoch: int
    last_index: int
    records: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class PersistEpoch:
    """Persist the promise to accept nothing under an older epoch."""

    owner: str
    epoch: int


@dataclass(frozen=True, slots=True)
class Reply:
    """Send a message to the node whose message is being handled."""

    message: ReplicaAcknowledged | ReplicaBehind | EpochSuperseded


Action = AppendRecords | ReplaceRecords | PersistEpoch | Reply


@dataclass(slots=True)
class PendingSnapshot:
    """A snapshot that is not yet complete."""

    epoch: int
    last_index: int
    chunk_count: int = 0
    size_bytes: int = 0
    records: list[bytes] = field(default_factory=list)

    def is_continued_by(self, chunk: SnapshotChunk) -> bool:
        """Whether a chunk is the next chunk of this snapshot."""
        return (self.epoch, self.last_index, self.chunk_count) == (
            chunk.epoch,
            chunk.upto,
            chunk.piece,
        )


@dataclass(slots=True)
class ReplicaState:
    """State of one replica on disk, and its pending snapshot."""

    promised_epoch: int = 0  # oldest accepted epoch
    epoch: int = 0  # epoch of the records; 0 if there are none
    last_index: int = 0  # index up to which all records are present
    pending_snapshot: PendingSnapshot | None = None

    def last_index_under(self, epoch: int) -> int:
        """Return the last index if the records are of the given epoch, else -1."""
        return self.last_index if self.epoch == epoch else -1


@dataclass(frozen=True, slots=True)
class ReplicaProgress:
    """Epoch and last index of the replica on a node."""

    epoch: int
    last_index: int
    node: str


class ReplicaSet:
    """All replicas on one node, by the owner of the journal."""

    def __init__(
        self,
        replicas: dict[str, ReplicaState] | None = None,
        max_pending_snapshot_bytes: int = MAX_PENDING_SNAPSHOT_BYTES,
    ) -> None:
        """Start from the replicas in the store.

        Args:
            replicas: state of each replica in the store, by owner.
            max_pending_snapshot_bytes: limit of incomplete snapshots over all replicas.
        """
        self.replicas = replicas or {}
        self._max_pending_snapshot_bytes = max_pending_snapshot_bytes
        self._pending_snapshot_bytes = 0

    def handle_records(self, message: ReplicateRecords) -> list[Action]:
        """Append an owner's records, or report the gap before them."""
        replica = self._replica(message.owner)
        if message.epoch < replica.promised_epoch:
            return [self._superseded(message, replica)]
        actions = self._raise_promise(message.owner, replica, message.epoch)
        if replica.epoch != message.epoch or replica.last_index + 1 < message.first:
            # A gap, or records of another epoch, which may differ from those of this owner.
            return [*actions, self._behind(message, replica)]
        new_records = message.items[replica.last_index + 1 - message.first :]
        if new_records:
            actions.append(AppendRecords(message.owner, message.epoch, replica.last_index + 1, new_records))
            replica.last_index += len(new_records)
        return [*actions, self._acknowledged(message, replica)]

    def handle_snapshot_chunk(self, chunk: SnapshotChunk) -> list[Action]:
        """Collect a chunk; the replica stays valid until the last chunk, when the snapshot replaces it."""
        replica = self._replica(chunk.owner)
        if chunk.epoch < replica.promised_epoch:
            return [self._superseded(chunk, replica)]
        actions = self._raise_promise(chunk.owner, replica, chunk.epoch)
        is_known = (replica.epoch, replica.last_index) >= (chunk.epoch, chunk.upto)
        if is_known and chunk.last:  # the acknowledgement was lost
            return [*actions, self._acknowledged(chunk, replica)]
        if not self._collect(replica, chunk):
            return [*actions, self._behind(chunk, replica)]
        if chunk.last:
            actions += self._install_snapshot(replica, chunk)
        return actions

    def promise_epoch(self, owner: str, epoch: int) -> tuple[list[Action], ReplicaProgress | None]:
        """Promise a new owner of a journal to accept nothing under an older epoch.

        Returns:
            The actions, and the progress of the replica; None instead of the progress if the replica has no
            records or a later epoch is promised already.
        """
        replica = self._replica(owner)
        actions = self._raise_promise(owner, replica, epoch)
        if not replica.epoch or epoch < replica.promised_epoch:
            return actions, None
        return actions, ReplicaProgress(replica.epoch, replica.last_index, "")

    def reset_progress(self, owner: str, epoch: int, last_index: int) -> None:
        """Reset a replica to its state in the store, after one of its actions failed."""
        replica = self._replica(owner)
        replica.epoch = epoch
        replica.last_index = last_index
        self._discard_pending_snapshot(replica)

    def _replica(self, owner: str) -> ReplicaState:
        return self.replicas.setdefault(owner, ReplicaState())

    @staticmethod
    def _raise_promise(owner: str, replica: ReplicaState, epoch: int) -> list[Action]:
        if epoch <= replica.promised_epoch:
            return []
        replica.promised_epoch = epoch
        return [PersistEpoch(owner, epoch)]

    def _collect(self, replica: ReplicaState, chunk: SnapshotChunk) -> bool:
        """Add a chunk to the pending snapshot; discard the snapshot and return False if it does not fit."""
        if chunk.piece == 0:
            self._discard_pending_snapshot(replica)
            replica.pending_snapshot = PendingSnapshot(chunk.epoch, chunk.upto)
        snapshot = replica.pending_snapshot
        chunk_bytes = sum(map(len, chunk.items))
        if (
            snapshot is None
            or not snapshot.is_continued_by(chunk)
            or self._pending_snapshot_bytes + chunk_bytes > self._max_pending_snapshot_bytes
        ):
            self._discard_pending_snapshot(replica)
            return False
        snapshot.records += chunk.items
        snapshot.chunk_count += 1
        snapshot.size_bytes += chunk_bytes
        self._pending_snapshot_bytes += chunk_bytes
        return True

    def _install_snapshot(self, replica: ReplicaState, chunk: SnapshotChunk) -> list[Action]:
        assert replica.pending_snapshot is not None
        records = tuple(replica.pending_snapshot.records)
        self._discard_pending_snapshot(replica)
        replica.epoch = chunk.epoch
        replica.last_index = chunk.upto
        return [
            ReplaceRecords(chunk.owner, chunk.epoch, chunk.upto, records),
            self._acknowledged(chunk, replica),
        ]

    def _discard_pending_snapshot(self, replica: ReplicaState) -> None:
        if replica.pending_snapshot is not None:
            self._pending_snapshot_bytes -= replica.pending_snapshot.size_bytes
            replica.pending_snapshot = None

    @staticmethod
    def _acknowledged(message: ReplicateRecords | SnapshotChunk, replica: ReplicaState) -> Reply:
        return Reply(ReplicaAcknowledged(message.owner, message.epoch, replica.last_index))

    @staticmethod
    def _behind(message: ReplicateRecords | SnapshotChunk, replica: ReplicaState) -> Reply:
        return Reply(ReplicaBehind(message.owner, message.epoch, replica.last_index_under(message.epoch)))

    @staticmethod
    def _superseded(message: ReplicateRecords | SnapshotChunk, replica: ReplicaState) -> Reply:
        return Reply(EpochSuperseded(message.owner, replica.promised_epoch))


def most_complete(progress: list[ReplicaProgress]) -> ReplicaProgress | None:
    """Return the replica of the latest epoch; of several, that with the greatest index, then least name."""
    return min(
        progress, key=lambda replica: (-replica.epoch, -replica.last_index, replica.node), default=None
    )
