"""Streams this courier's journal to its replicas, and calls back when records are replicated."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple

from loguru import logger

from winchspan.cluster.consensus_service import ConsensusService
from winchspan.cluster.node import ClusterNode
from winchspan.cluster.replica_placer import ReplicaPlacer, ReplicationOptions
from winchspan.leases.commands import journal_role
from winchspan.replication.messages import EpochSuperseded, ReplicaAcknowledged, ReplicaBehind
from winchspan.replication.stream import ReplicationStream
from winchspan.storage.journal import Journal
from winchspan.storage.record_file import iterate_records

MAX_UNREPLICATED_RECORDS: Final = 256  # with more, no message is admitted


class ReplicationWaiter(NamedTuple):
    """Callbacks for when a record is replicated, or another courier has taken the journal over."""

    record_number: int
    on_replicated: Callable[[], None]
    on_taken_over: Callable[[], None]


class JournalStream:
    """Sends this courier's journal to its replicas while this courier owns the journal.

    The stream is open from the first lease on the journal until another courier takes the journal over.

    Attributes:
        placer: chooses the members that hold the replicas.
    """

    def __init__(
        self, node: ClusterNode, journal: Journal, consensus: ConsensusService, options: ReplicationOptions
    ) -> None:
        self._node = node
        self._journal = journal
        self._bus = consensus.bus
        self._leases = consensus.leases
        self._role = journal_role(node.name)
        self.placer = ReplicaPlacer(node, consensus, options, self.is_owner)
        self._stream: ReplicationStream | None = None
        self._waiters: deque[ReplicationWaiter] = deque()
        self._is_flush_scheduled = False
        self._is_closed = False
        self._bus.subscribe(ReplicaAcknowledged, self._on_acknowledged)
        self._bus.subscribe(ReplicaBehind, self._on_behind)
        self._bus.subscribe(EpochSuperseded, self._on_epoch_superseded)

    # ---- state -------------------------------------------------------------------------------------------
    @property
    def is_open(self) -> bool:
        """Whether this courier owns the journal; its lease may have expired."""
        return self._stream is not None

    @property
    def epoch(self) -> int:
        """Epoch under which this courier owns the journal; 0 if it does not own it."""
        return self._stream.epoch if self._stream is not None else 0

    @property
    def unreplicated_count(self) -> int:
        """Number of records that are not replicated yet."""
        return self._stream.unacknowledged_count if self._stream is not None else 0

    @property
    def replicated_number(self) -> int:
        """Number of the last replicated record."""
        return self._stream.acknowledged_index if self._stream is not None else 0

    @property
    def next_number(self) -> int:
        """Number of the next record to be written."""
        return self._stream.last_index + 1 if self._stream is not None else 0

    def lag_ms(self) -> float:
        """Return for how long the oldest unreplicated record has waited, in ms."""
        return self._stream.lag_ms(self._node.now_ms()) if self._stream is not None else 0.0

    def is_owner(self) -> bool:
        """Return whether this courier holds the lease on its journal now, under the epoch of the stream."""
        return self._stream is not None and self._leases.permitted_epoch(self._role) == self._stream.epoch

    def may_admit(self) -> bool:
        """Return whether a new message may be admitted, since its record can be replicated."""
        return self._may_release() and self.unreplicated_count <= MAX_UNREPLICATED_RECORDS

    # ---- lifecycle ---------------------------------------------------------------------------------------
    def open(self, now: float, epoch: int) -> None:
        """Start a stream under a new epoch."""
        self._stream = ReplicationStream(self._node.name, epoch, self.placer.replicas, now)

    def drop(self) -> None:
        """End the stream after another courier has taken the journal over, and notify all waiters."""
        self._stream = None
        waiters, self._waiters = self._waiters, deque()
        for waiter in waiters:
            waiter.on_taken_over()

    def close(self) -> None:
        """Stop sending."""
        self._is_closed = True

    # ---- sending -----------------------------------------------------------------------------------------
    def when_replicated(self, on_replicated: Callable[[], None], on_taken_over: Callable[[], None]) -> None:
        """Call back once all records written so far are replicated, or the journal is taken over."""
        stream = self._stream
        if stream is None:
            on_taken_over()
        elif not self._waiters and stream.acknowledged_index >= stream.last_index and self._may_release():
            on_replicated()
        else:
            self._waiters.append(ReplicationWaiter(stream.last_index, on_replicated, on_taken_over))
            if not self._is_flush_scheduled:
                self._is_flush_scheduled = True
                self._node.loop.call_soon(self._flush)

    def on_written(self, data: bytes) -> None:
        """Append encoded records to the stream; `when_replicated` and `update` send them."""
        if self._stream is None:
            return
        start, now = 0, self._node.now_ms()
        for _, _, size in iterate_records(data):
            self._stream.append(now, data[start : start + size])
            start += size

    def update(self, now: float) -> None:
        """Update the placement of the replicas, and send unsent records."""
        if self._stream is not None:
            self.placer.update(now, self._stream)
            self._flush()

    def on_connected(self, member: str) -> None:
        """Query the progress of the replica on a member whose connection is established."""
        message = self._stream.progress_query(member) if self._stream is not None else None
        if message is not None:
            self._bus.send(member, message)

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        if self._is_closed or self._stream is None:
            return
        for member, message in self._stream.messages_to_send(
            self._node.now_ms(), self._journal.snapshot_records
        ):
            self._bus.send(member, message)
        self._release_waiters()

    def _may_release(self) -> bool:
        return self.placer.has_enough_replicas() and self.is_owner()

    def _release_waiters(self) -> None:
        """Notify the waiters whose records are replicated now."""
        while (
            self._waiters
            and self._stream is not None
            and self._stream.acknowledged_index >= self._waiters[0].record_number
            and self._may_release()
        ):
            self._waiters.popleft().on_replicated()

    # ---- messages ----------------------------------------------------------------------------------------
    def _on_acknowledged(self, sender: str, message: ReplicaAcknowledged) -> None:
        if self._stream is not None and self._stream.handle_acknowledged(
            self._node.now_ms(), sender, message
        ):
            self._release_waiters()

    def _on_behind(self, sender: str, message: ReplicaBehind) -> None:
        if self._stream is not None:
            self._stream.handle_behind(self._node.now_ms(), sender, message)

    def _on_epoch_superseded(self, sender: str, message: EpochSuperseded) -> None:
        if self._stream is not None and message.epoch > self._stream.epoch:
            logger.warning(
                "replication: {} accepts only epoch {} of this courier's journal", sender, message.epoch
            )
            self._stream.is_superseded = True
