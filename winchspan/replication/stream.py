"""The owner side of journal replication: sends numbered records to the replicas.

A record is acknowledged once every node of the committed replica set has it, so that each of them may take
the journal over. The state machine does no I/O: it takes appended records and the replicas' messages, and
returns the messages to send. It retains the last `TAIL_BYTES` of records. A replica that is new, or that
lacks older records, catches up from a snapshot of the open messages.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final, NamedTuple

from winchspan.replication.messages import ReplicaAcknowledged, ReplicaBehind, ReplicateRecords, SnapshotChunk

IN_SYNC_MAX_LAG_RECORDS: Final = 64  # greatest lag at which a joining replica may enter the replica set
TAIL_BYTES: Final = 512 * 1024  # of the latest records, retained for retransmission
FRAME_BYTES: Final = 64 * 1024  # of records in one message; a larger record is sent alone
CHUNK_BYTES: Final = 32 * 1024  # of a snapshot in one message
CHUNK_INTERVAL_MS: Final = 50.0  # between two chunks to a replica: 640 KB/s in addition to new records
SLOW_AFTER_MS: Final = 300.0  # without an acknowledgement; shorter than the clients' timeout of 400 ms
CATCH_UP_TIMEOUT_MS: Final = 5_000.0  # for the snapshot of a new replica
MAX_FRAMES_PER_REPLICA: Final = 3  # in one pass; bounds the send buffer of the replica's connection
RETRANSMIT_AFTER_MS: Final = 100.0  # without an acknowledgement


class _TailRecord(NamedTuple):
    data: bytes
    appended_at_ms: float


@dataclass(slots=True)
class _ReplicaCursor:
    """Progress of one replica, as known to the owner."""

    acknowledged_index: int = -1  # -1: no snapshot under this epoch yet
    sent_index: int = -1
    waiting_since_ms: float | None = None  # append time of the oldest unacknowledged record
    last_sent_at_ms: float = 0.0
    chunks: deque[SnapshotChunk] | None = None  # unsent chunks; None: no snapshot in progress
    snapshot_index: int = 0  # last index of the snapshot in progress
    last_chunk: SnapshotChunk | None = None  # most recently sent chunk


class OutgoingMessage(NamedTuple):
    """A message to the replica on a node."""

    node: str
    message: ReplicateRecords | SnapshotChunk


class ReplicationStream:
    """Replication of one journal under one epoch.

    Attributes:
        owner: node whose journal is replicated.
        epoch: epoch of the owner's lease on its journal.
        is_superseded: whether a later epoch is known, so that this node no longer owns the journal.
    """

    def __init__(self, owner: str, epoch: int, replicas: Iterable[str], now: float = 0.0) -> None:
        """Start a stream; each replica gets a snapshot first.

        Args:
            owner: node whose journal is replicated.
            epoch: epoch of the owner's lease.
            replicas: nodes of the committed replica set; if empty, records are acknowledged at once.
            now: clock reading, ms.
        """
        self.owner = owner
        self.epoch = epoch
        self.is_superseded = False
        self._next_index = 1
        self._tail: dict[int, _TailRecord] = {}  # the latest records by index, in order
        self._tail_bytes = 0
        self._cursors = {name: _ReplicaCursor(waiting_since_ms=now) for name in sorted(replicas)}
        self._voters = set(self._cursors)  # committed replicas, without joining nodes

    # ---- appended records --------------------------------------------------------------------------------
    @property
    def last_index(self) -> int:
        """Index of the latest record."""
        return self._next_index - 1

    @property
    def acknowledged_index(self) -> int:
        """Index up to which every replica has all records; -1 while a replica lacks its snapshot."""
        return min(
            (cursor.acknowledged_index for name, cursor in self._cursors.items() if name in self._voters),
            default=self.last_index,
        )

    @property
    def unacknowledged_count(self) -> int:
        """Number of records that wait for a replica, plus one while a replica lacks its snapshot."""
        return self.last_index - self.acknowledged_index

    def append(self, now: float, data: bytes) -> int:
        """Add a record that was appended to the journal, and return its index."""
        index = self._next_index
        self._next_index += 1
        if self._cursors:
            self._tail[index] = _TailRecord(data, now)
            self._tail_bytes += len(data)
            for cursor in self._cursors.values():
                if cursor.waiting_since_ms is None:
                    cursor.waiting_since_ms = now
            while self._tail_bytes > TAIL_BYTES and len(self._tail) > 1:
                oldest = next(iter(self._tail))
                self._tail_bytes -= len(self._tail.pop(oldest).data)
        return index

    def set_replicas(self, now: float, replicas: Iterable[str], joining: Iterable[str] = ()) -> None:
        """Change the replica set; joining nodes catch up, but records do not wait for them."""
        self._voters = set(replicas)
        names = self._voters | set(joining)
        self._cursors = {
            name: self._cursors.get(name) or _ReplicaCursor(waiting_since_ms=now) for name in sorted(names)
        }
        if not names:
            self._tail.clear()
            self._tail_bytes = 0

    # ---- messages of replicas ----------------------------------------------------------------------------
    def handle_acknowledged(self, now: float, node: str, message: ReplicaAcknowledged) -> bool:
        """Process a replica's acknowledgement; return whether `acknowledged_index` has increased."""
        cursor = self._cursors.get(node)
        index = message.upto
        if cursor is None or message.epoch != self.epoch or index > self.last_index:
            return False
        previous_index = self.acknowledged_index
        if index > cursor.acknowledged_index:
            cursor.acknowledged_index = index
            cursor.sent_index = max(cursor.sent_index, index)
            if cursor.chunks is not None and index >= cursor.snapshot_index:
                cursor.chunks = None
            cursor.waiting_since_ms = None if index == self.last_index else self._appended_at(index + 1, now)
        return self.acknowledged_index > previous_index

    def handle_behind(self, now: float, node: str, message: ReplicaBehind) -> None:
        """Process a replica's report of a gap; records are sent again from there on."""
        cursor = self._cursors.get(node)
        if cursor is None or message.epoch != self.epoch:
            return
        if cursor.chunks is not None and cursor.last_chunk is None:
            return  # a snapshot is about to be sent
        # The replica may have lost acknowledged records: its data directory may have been replaced.
        cursor.acknowledged_index = min(message.upto, self.last_index)
        cursor.sent_index = cursor.acknowledged_index
        cursor.chunks = None
        cursor.last_chunk = None
        if cursor.waiting_since_ms is None and cursor.acknowledged_index < self.last_index:
            cursor.waiting_since_ms = now

    def progress_query(self, node: str) -> ReplicateRecords | None:
        """Return the progress query for a replica on a new connection, as its data directory may be new."""
        cursor = self._cursors.get(node)
        if cursor is None or cursor.acknowledged_index < 0 or self.is_superseded:
            return None
        return ReplicateRecords(self.owner, self.epoch, cursor.acknowledged_index + 1, ())

    def _appended_at(self, index: int, now: float) -> float:
        return self._tail[index].appended_at_ms if index in self._tail else now

    # ---- messages to replicas ----------------------------------------------------------------------------
    def messages_to_send(self, now: float, open_records: Callable[[], list[bytes]]) -> list[OutgoingMessage]:
        """Return the messages to send now; called after appends, and every few tens of ms.

        Args:
            now: clock reading, ms.
            open_records: returns the records of a snapshot of the open messages.
        """
        outgoing: list[OutgoingMessage] = []
        if self.is_superseded:
            return outgoing
        for node, cursor in self._cursors.items():
            is_unacknowledged = cursor.acknowledged_index < cursor.sent_index and cursor.chunks is None
            if is_unacknowledged and now >= cursor.last_sent_at_ms + RETRANSMIT_AFTER_MS:
                cursor.sent_index = cursor.acknowledged_index  # the records or the acknowledgement were lost
            if cursor.chunks is None and self._needs_snapshot(cursor):
                self._start_snapshot(cursor, open_records())
            if cursor.chunks is not None:
                outgoing += self._chunk_to_send(now, node, cursor)
            elif cursor.sent_index < self.last_index:
                outgoing += self._records_to_send(now, node, cursor)
        return outgoing

    def _needs_snapshot(self, cursor: _ReplicaCursor) -> bool:
        """Whether the tail does not contain the next record of a replica."""
        if cursor.sent_index < 0:
            return True
        return cursor.sent_index < self.last_index and cursor.sent_index + 1 not in self._tail

    def _start_snapshot(self, cursor: _ReplicaCursor, records: list[bytes]) -> None:
        """Divide the records of a snapshot into chunks."""
        groups: list[list[bytes]] = [[]]
        group_bytes = 0
        for record in records:
            if groups[-1] and group_bytes + len(record) > CHUNK_BYTES:
                groups.append([])
                group_bytes = 0
            groups[-1].append(record)
            group_bytes += len(record)
        cursor.snapshot_index = self.last_index
        cursor.last_chunk = None
        cursor.chunks = deque(
            SnapshotChunk(
                self.owner, self.epoch, self.last_index, number, number == len(groups) - 1, tuple(group)
            )
            for number, group in enumerate(groups)
        )

    @staticmethod
    def _chunk_to_send(now: float, node: str, cursor: _ReplicaCursor) -> list[OutgoingMessage]:
        """Return the next chunk when it is due; the last chunk is repeated until it is acknowledged."""
        assert cursor.chunks is not None
        interval_ms = CHUNK_INTERVAL_MS if cursor.chunks else RETRANSMIT_AFTER_MS
        if now < cursor.last_sent_at_ms + interval_ms:
            return []
        if cursor.chunks:
            cursor.last_chunk = cursor.chunks.popleft()
            if cursor.last_chunk.last:
                cursor.sent_index = cursor.snapshot_index
        assert cursor.last_chunk is not None
        cursor.last_sent_at_ms = now
        return [OutgoingMessage(node, cursor.last_chunk)]

    def _records_to_send(self, now: float, node: str, cursor: _ReplicaCursor) -> list[OutgoingMessage]:
        """Return the unsent records for a replica, in messages of bounded size and number."""
        outgoing: list[OutgoingMessage] = []
        records: list[bytes] = []
        first_index = cursor.sent_index + 1
        frame_bytes = 0
        for index in range(first_index, self.last_index + 1):
            data = self._tail[index].data
            if records and frame_bytes + len(data) > FRAME_BYTES:
                outgoing.append(self._records_message(node, first_index, records))
                first_index = index
                records = []
                frame_bytes = 0
                if len(outgoing) == MAX_FRAMES_PER_REPLICA:
                    break
            records.append(data)
            frame_bytes += len(data)
        if records:
            outgoing.append(self._records_message(node, first_index, records))
        cursor.sent_index = first_index + len(records) - 1
        cursor.last_sent_at_ms = now
        return outgoing

    def _records_message(self, node: str, first_index: int, records: list[bytes]) -> OutgoingMessage:
        return OutgoingMessage(node, ReplicateRecords(self.owner, self.epoch, first_index, tuple(records)))

    # ---- replica health ----------------------------------------------------------------------------------
    def slow_replicas(self, now: float) -> list[str]:
        """Return the nodes that have not acknowledged a record for too long and are to be replaced."""
        return [node for node, cursor in self._cursors.items() if self._is_slow(now, cursor)]

    @staticmethod
    def _is_slow(now: float, cursor: _ReplicaCursor) -> bool:
        if cursor.waiting_since_ms is None:
            return False
        limit_ms = SLOW_AFTER_MS if cursor.acknowledged_index >= 0 else CATCH_UP_TIMEOUT_MS
        return now - cursor.waiting_since_ms > limit_ms

    def is_in_sync(self, node: str) -> bool:
        """Whether a replica has all records except for at most `IN_SYNC_MAX_LAG_RECORDS` in flight."""
        cursor = self._cursors.get(node)
        if cursor is None or cursor.acknowledged_index < 0:
            return False
        return self.last_index - cursor.acknowledged_index <= IN_SYNC_MAX_LAG_RECORDS

    def lag_ms(self, now: float) -> float:
        """Return for how many ms the oldest unacknowledged record has waited; 0 if there is none."""
        return max(
            (
                now - cursor.waiting_since_ms
                for cursor in self._cursors.values()
                if cursor.waiting_since_ms is not None
            ),
            default=0.0,
        )
