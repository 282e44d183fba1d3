"""Messages between the owner of a journal and the nodes that hold its replicas.

The messages are encoded as MessagePack maps with the field names as keys. The field names are therefore part
of the protocol and must not change: `first` is an index, `items` are encoded records, `upto` is the index of
the last included record, and `piece` is the number of a chunk. Mapping them to other names would need
msgspec, which this layer does not import (`tests/test_layers.py`).
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReplicateRecords:
    """Consecutive records of an owner's journal, as encoded in its file (Raft's AppendEntries).

    A message without records queries whether a replica still has all records before `first`.

    Attributes:
        owner: node whose journal is replicated.
        epoch: epoch of the owner's lease on its journal.
        first: index of the first record in the message; the first index of an epoch is 1.
        items: encoded records, in order.
    """

    owner: str
    epoch: int
    first: int
    items: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """One chunk of a snapshot of the open messages, which replaces a replica (Raft's InstallSnapshot).

    Attributes:
        owner: node whose journal is replicated.
        epoch: epoch of the owner's lease on its journal.
        upto: index of the last record that the snapshot includes.
        piece: position of the chunk in the snapshot, from 0.
        last: whether the snapshot is complete with this chunk.
        items: encoded records, in order.
    """

    owner: str
    epoch: int
    upto: int
    piece: int
    last: bool
    items: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ReplicaAcknowledged:
    """A replica has all records up to and including index `upto` on disk."""

    owner: str
    epoch: int
    upto: int


@dataclass(frozen=True, slots=True)
class ReplicaBehind:
    """A replica rejects records because of a gap after index `upto`; -1 if it has no record of the epoch."""

    owner: str
    epoch: int
    upto: int


@dataclass(frozen=True, slots=True)
class EpochSuperseded:
    """A replica has promised a later epoch, so that the receiver no longer owns the journal."""

    owner: str
    epoch: int


ReplicationMessage = ReplicateRecords | SnapshotChunk | ReplicaAcknowledged | ReplicaBehind | EpochSuperseded
