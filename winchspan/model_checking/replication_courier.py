"""A courier of the replication model: its state in memory and on disk, and the records of its journal."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

from winchspan.leases.lease_table import LeaseTable
from winchspan.model_checking.network import ReceivedMessage
from winchspan.replication.messages import (
    EpochSuperseded,
    ReplicaAcknowledged,
    ReplicaBehind,
    ReplicateRecords,
    SnapshotChunk,
)
from winchspan.replication.replica_set import (
    Action,
    AppendRecords,
    PersistEpoch,
    ReplaceRecords,
    ReplicaSet,
    ReplicaState,
)
from winchspan.replication.stream import ReplicationStream


class RecordKind(Enum):
    """The event of a message that a journal record contains."""

    ACCEPTED = "accepted"
    ATTEMPT_STARTED = "attempt-started"
    COMPLETED = "completed"


@dataclass(slots=True)
class MessageState:
    """The state of a message according to a journal."""

    attempt_count: int = 0
    is_in_flight: bool = False
    is_completed: bool = False


def encode_journal_record(kind: RecordKind, message_id: str) -> bytes:
    """Encode a record of the model's journal."""
    return f"{kind.value} {message_id}".encode()


def message_states(records: list[bytes]) -> dict[str, MessageState]:
    """Return the state of each message according to records, in the order of acceptance."""
    states: dict[str, MessageState] = {}
    for record in records:
        kind_name, message_id = record.decode().split()
        kind = RecordKind(kind_name)
        if kind is RecordKind.ACCEPTED:
            states[message_id] = MessageState()
        elif message_id in states:
            state = states[message_id]
            state.attempt_count += kind is RecordKind.ATTEMPT_STARTED
            state.is_in_flight = kind is RecordKind.ATTEMPT_STARTED
            state.is_completed |= kind is RecordKind.COMPLETED
    return states


@dataclass(frozen=True, slots=True)
class PromiseRequest:
    """The successor of an owner requests that a replica promise its epoch."""

    epoch: int


@dataclass(frozen=True, slots=True)
class PromiseReply:
    """A replica has promised an epoch."""

    epoch: int


@dataclass(frozen=True, slots=True)
class DestinationResponse:
    """The destination has delivered a message."""

    message_id: str


ModelMessage: TypeAlias = (
    ReplicateRecords
    | SnapshotChunk
    | ReplicaAcknowledged
    | ReplicaBehind
    | EpochSuperseded
    | PromiseRequest
    | PromiseReply
    | DestinationResponse
)


class PendingStep(Enum):
    """A step that waits until all replicas have acknowledged a record."""

    ACKNOWLEDGE_CLIENT = "acknowledge-client"
    START_ATTEMPT = "start-attempt"


@dataclass(frozen=True, slots=True)
class PendingRecord:
    """A step and the record whose acknowledgement it waits for."""

    index: int
    step: PendingStep
    message_id: str


@dataclass(slots=True)
class StoredReplica:
    """A replica of another courier's journal, on disk."""

    promised_epoch: int = 0
    epoch: int = 0
    last_index: int = 0
    records: list[bytes] = field(default_factory=list)

    def persist(self, action: Action) -> None:
        """Execute an action of the replica set on disk."""
        match action:
            case PersistEpoch(_, epoch):
                self.promised_epoch = epoch
            case AppendRecords(_, epoch, first_index, records):
                self.epoch = epoch
                self.records = [*self.records, *records]
                self.last_index = first_index + len(records) - 1
            case ReplaceRecords(_, epoch, last_index, records):
                self.epoch = epoch
                self.records = list(records)
                self.last_index = last_index


@dataclass(slots=True)
class ModelCourier:
    """One courier: its disk and the state of its current incarnation."""

    name: str
    incarnation: int = 1
    journal: list[bytes] = field(default_factory=list)  # on disk
    journal_epoch: int = 0  # on disk: epoch under which the courier owns the journal
    stored_replicas: dict[str, StoredReplica] = field(default_factory=dict)  # on disk, by owner
    replica_set: ReplicaSet = field(default_factory=ReplicaSet)
    stream: ReplicationStream | None = None
    is_running: bool = True
    lease_table: LeaseTable = field(default_factory=LeaseTable)  # the latest that the courier has received
    lease_expires_at_ms: float = 0.0  # expiry of its lease on the journal
    frozen_rounds: int = 0
    unread: list[ReceivedMessage[ModelMessage]] = field(default_factory=list)
    pending: list[PendingRecord] = field(default_factory=list)
    takeover_epoch: int = 0  # epoch of its takeover of the journal
    has_completed_takeover: bool = False
    promised_by: set[str] = field(default_factory=set)  # replicas that have promised `takeover_epoch`
    taken_over_messages: dict[str, MessageState] = field(default_factory=dict)

    @property
    def is_active(self) -> bool:
        """Whether the courier runs and is not frozen."""
        return self.is_running and not self.frozen_rounds

    def crash(self) -> None:
        """Stop the process and lose the state in memory."""
        self.is_running = False
        self.stream = None
        self.pending = []
        self.unread = []
        self.lease_expires_at_ms = 0.0
        self.takeover_epoch = 0
        self.has_completed_takeover = False
        self.promised_by = set()
        self.taken_over_messages = {}

    def lose_data_directory(self) -> None:
        """Lose the state on disk."""
        self.journal = []
        self.journal_epoch = 0
        self.stored_replicas = {}

    def restart(self) -> None:
        """Start the next incarnation from the state on disk."""
        self.is_running = True
        self.incarnation += 1
        self.replica_set = ReplicaSet(
            {
                owner: ReplicaState(stored.promised_epoch, stored.epoch, stored.last_index)
                for owner, stored in self.stored_replicas.items()
            }
        )

    def stored_replica(self, owner: str) -> StoredReplica:
        """Return the replica of an owner's journal on disk; create it if it does not exist."""
        return self.stored_replicas.setdefault(owner, StoredReplica())

    def replicated_messages(self, owner: str) -> dict[str, MessageState]:
        """Return the states of an owner's messages according to the replica of its journal."""
        stored = self.stored_replicas.get(owner)
        return message_states(stored.records) if stored is not None else {}

    def promise_epoch(self, owner: str, epoch: int) -> None:
        """Promise an epoch of an owner's journal, and persist the promise."""
        for action in self.replica_set.promise_epoch(owner, epoch)[0]:
            self.stored_replica(owner).persist(action)

    def start_takeover(self, epoch: int) -> None:
        """Start a takeover of the journal under an epoch unless it is in progress."""
        if self.takeover_epoch != epoch:
            self.takeover_epoch = epoch
            self.has_completed_takeover = False
            self.promised_by = set()

    def record_promise(self, node: str, epoch: int) -> None:
        """Record a replica's promise for the takeover in progress."""
        if self.takeover_epoch == epoch and not self.has_completed_takeover:
            self.promised_by.add(node)
