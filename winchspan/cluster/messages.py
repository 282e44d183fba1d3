"""The messages that members exchange over the stream transport, and their kinds on the wire.

A frame holds a kind and one MessagePack value. Members of this and of the previous version are in one cluster
during a rolling upgrade. Kinds, the order of positional fields, and the encoded names of all other fields
therefore never change; a renamed field keeps its encoded name (`name=`).

Consensus and lease messages are addressed to one store of a member and travel in an `Envelope`. All others
are addressed to the process that the member runs at the moment.
"""

from __future__ import annotations

from typing import Any, Final

import msgspec

from winchspan.consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
    RequestVote,
    RequestVoteReply,
)
from winchspan.consensus.rollback_detection import LoadedState, Promise, StoreProgress
from winchspan.leases.messages import (
    LeaseReleased,
    LeasesRenewed,
    LeaseSurrendered,
    ReleaseLease,
    RenewLeases,
)
from winchspan.replication.messages import (
    EpochSuperseded,
    ReplicaAcknowledged,
    ReplicaBehind,
    ReplicateRecords,
    SnapshotChunk,
)

LeaseMessage = RenewLeases | LeasesRenewed | ReleaseLease | LeaseReleased | LeaseSurrendered
ConsensusMessage = RequestVote | RequestVoteReply | AppendEntries | AppendEntriesReply | InstallSnapshot


class Envelope(msgspec.Struct):
    """A message from one store to another, each given by its identity."""

    source: str
    destination: str = msgspec.field(name="to")
    message: msgspec.Raw = msgspec.field(name="what")


class NodeAnnouncement(msgspec.Struct):
    """State of a member: its store, its journal, its location and its clock.

    Attributes:
        store_id: identity of the member's store.
        is_empty: whether the store has never taken part in consensus.
        incarnation: incarnation of the member's process.
        clock_ms: clock reading, ms.
        zone: zone of the member.
        region: region of the member.
        is_clock_drifting: whether the member's own clock drifts too much, so that it holds no role.
        journal_epoch: epoch under which the member owns its journal; 0 if it does not own it.
        store_start_count: number of processes that have started with the store.
        term: current term.
        commit_index: index of the last committed log entry.
        last_index: index of the last log entry.
        known_progress: identity of the receiver's store, and the greatest progress that it has reported.
        loaded_state: state that the process found in the store at its start; unset by earlier versions.
        known_promise: votes and log entries that the store of `known_progress` has acknowledged; unset by
            earlier versions, and if none are known.
    """

    store_id: str = msgspec.field(name="member")
    is_empty: bool = msgspec.field(name="empty")
    incarnation: int = msgspec.field(default=0, name="life")
    clock_ms: float = msgspec.field(default=0.0, name="clock")
    zone: str = ""
    region: str = ""
    is_clock_drifting: bool = msgspec.field(default=False, name="unfit")
    journal_epoch: int = msgspec.field(default=0, name="work")
    store_start_count: int = msgspec.field(default=0, name="start")
    term: int = 0
    commit_index: int = msgspec.field(default=0, name="commit")
    last_index: int = msgspec.field(default=0, name="last")
    known_progress: tuple[str, StoreProgress] | None = msgspec.field(default=None, name="knows")
    loaded_state: LoadedState | msgspec.UnsetType = msgspec.field(default=msgspec.UNSET, name="loaded")
    known_promise: Promise | msgspec.UnsetType = msgspec.field(default=msgspec.UNSET, name="promised")


# ---- health checks -------------------------------------------------------------------------------------
class HealthCheckStarting(msgspec.Struct, array_like=True):
    """The holder of a role is about to check an endpoint."""

    request_number: int
    role: str
    epoch: int
    endpoint: str
    destination: int
    sequence: int


class HealthCheckAcknowledged(msgspec.Struct, array_like=True):
    """The sender has recorded an announced check, or rejects it because it knows a later epoch."""

    request_number: int
    is_accepted: bool


class HealthCheckCompleted(msgspec.Struct, array_like=True):
    """A check that was sent `age_ms` ago has ended, or a check was certainly not sent."""

    endpoint: str
    sequence: int
    epoch: int
    was_sent: bool
    age_ms: float = 0.0
    is_healthy: bool = False


class HealthStateRequested(msgspec.Struct, array_like=True):
    """The holder of a role under a new epoch requests the health state of the role's endpoints."""

    request_number: int
    role: str
    epoch: int


class EndpointHealthRow(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """Health of one endpoint; `is_healthy` is None while its check is in flight."""

    endpoint: str
    destination: int
    sequence: int
    epoch: int
    age_ms: float
    is_healthy: bool | None
    failure_count: int


class HealthStateReported(msgspec.Struct, array_like=True):
    """Health state of a role's endpoints, and the remaining backoff of each destination in ms."""

    request_number: int
    is_accepted: bool
    endpoints: list[EndpointHealthRow]
    backoffs: list[tuple[int, float]]


class BackoffObserved(msgspec.Struct, array_like=True):
    """The sender has received a Retry-After from a destination."""

    destination: int
    remaining_ms: float


# ---- replication ---------------------------------------------------------------------------------------
class ReplicaProgressRequested(msgspec.Struct, array_like=True):
    """The leader requests the progress of the replicas of an owner's journal."""

    owner: str


class ReplicaProgressReported(msgspec.Struct, array_like=True):
    """Epoch and last record of the sender's replica; epoch 0 if it has none."""

    owner: str
    epoch: int
    last_record: int


class EpochPromiseRequested(msgspec.Struct, array_like=True):
    """A new owner requests the promise to accept no records of a journal under an older epoch."""

    owner: str
    epoch: int


class EpochPromised(msgspec.Struct, array_like=True):
    """The sender has persisted the promise of an epoch."""

    owner: str
    epoch: int


class LateDeliveriesReported(msgspec.Struct, array_like=True):
    """Messages that the sender delivered, though its journal has been taken over without these deliveries."""

    message_ids: list[str]


class NodeLeaving(msgspec.Struct, array_like=True):
    """A process hands its journal over."""

    incarnation: int


# ---- claims --------------------------------------------------------------------------------------------
class ClaimRow(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """An open message, the lock keys of its ordering key and token, and the time to its deadline."""

    message_id: str
    lock_keys: list[bytes]
    remaining_ms: float


class ClaimsAnnounced(msgspec.Struct, array_like=True):
    """Open messages of an owner, which block other couriers' messages of the same key or token."""

    owner: str
    epoch: int
    claims: list[ClaimRow]


class ClaimCompleted(msgspec.Struct, array_like=True):
    """A claimed message is completed; `executed_ago_ms` is negative if it was never sent."""

    owner: str
    epoch: int
    message_id: str
    executed_ago_ms: float
    zone: str


class ClaimsReleased(msgspec.Struct, array_like=True):
    """The owner is alive under its epoch, so that the claims made for it by others end."""

    owner: str
    epoch: int


class PossiblyExecuted(msgspec.Struct, array_like=True):
    """A message with a claimed token may have been executed `age_ms` ago by the sender."""

    lock_key: bytes
    age_ms: float
    zone: str


# ---- redelivery ----------------------------------------------------------------------------------------
class RedeliveryQuotaGranted(msgspec.Struct, array_like=True):
    """Redeliveries that the role's holder allows the receiver, by rule."""

    epoch: int
    round_number: int
    quotas: dict[str, int]


class RedeliveryQuotaUsed(msgspec.Struct, array_like=True):
    """Redeliveries of a quota that the sender has used, by rule."""

    round_number: int
    used_counts: dict[str, int]


PROPOSAL_KIND: Final = "agree"  # the body is the proposed data
ENVELOPED_KINDS: Final[dict[type[Any], str]] = {
    RequestVote: "vote-wish",
    RequestVoteReply: "vote",
    AppendEntries: "append",
    AppendEntriesReply: "appended",
    InstallSnapshot: "install",
    RenewLeases: "ask",
    LeasesRenewed: "renewal",
    ReleaseLease: "give-up",
    LeaseReleased: "gave-up",
    LeaseSurrendered: "left",
}
PLAIN_KINDS: Final[dict[type[Any], str]] = {
    bytes: PROPOSAL_KIND,
    NodeAnnouncement: "here",
    HealthCheckStarting: "probe",
    HealthCheckAcknowledged: "probe-heard",
    HealthCheckCompleted: "probe-end",
    HealthStateRequested: "probe-ask",
    HealthStateReported: "probe-rows",
    BackoffObserved: "wait",
    LateDeliveriesReported: "copy-delivered",
    NodeLeaving: "copy-leaves",
    ReplicateRecords: "copy",
    SnapshotChunk: "copy-whole",
    ReplicaAcknowledged: "copy-held",
    ReplicaBehind: "copy-lacks",
    EpochSuperseded: "copy-passed",
    ReplicaProgressRequested: "copy-ask",
    ReplicaProgressReported: "copy-standing",
    EpochPromiseRequested: "copy-promise",
    EpochPromised: "copy-promised",
    ClaimsAnnounced: "copy-claims",
    ClaimCompleted: "copy-over",
    ClaimsReleased: "copy-speaks",
    PossiblyExecuted: "copy-ran",
    RedeliveryQuotaGranted: "resend-order",
    RedeliveryQuotaUsed: "resend-used",
}

_ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)
_ENVELOPED_DECODERS = {kind: msgspec.msgpack.Decoder(type_) for type_, kind in ENVELOPED_KINDS.items()}
_ENCODER = msgspec.msgpack.Encoder()
_SORTING_ENCODER = msgspec.msgpack.Encoder(order="deterministic")  # sorts sets of voters


def encode(message: object) -> tuple[str, bytes]:
    """Return the kind and the body of a message that needs no envelope."""
    return PLAIN_KINDS[type(message)], _ENCODER.encode(message)


def encode_envelope(
    source: str, destination: str, message: ConsensusMessage | LeaseMessage
) -> tuple[str, bytes]:
    """Return the kind and the body of a consensus or lease message between two stores."""
    raw = msgspec.Raw(_SORTING_ENCODER.encode(message))
    return ENVELOPED_KINDS[type(message)], _SORTING_ENCODER.encode(Envelope(source, destination, raw))


def decode_envelope(body: bytes) -> Envelope:
    """Return an envelope, its message still encoded.

    Raises:
        msgspec.DecodeError: if it cannot be read.
    """
    return _ENVELOPE_DECODER.decode(body)


def decode_enveloped(kind: str, envelope: Envelope) -> ConsensusMessage | LeaseMessage:
    """Return the message in an envelope.

    Raises:
        msgspec.DecodeError: if it cannot be read.
    """
    message: ConsensusMessage | LeaseMessage = _ENVELOPED_DECODERS[kind].decode(envelope.message)
    return message


def is_enveloped_kind(kind: str) -> bool:
    """Return whether a kind is one of a consensus or lease message."""
    return kind in _ENVELOPED_DECODERS
