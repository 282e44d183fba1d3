"""The messages that members exchange over the stream transport, and their kinds on the wire.

A frame holds a kind and one MessagePack value. Members of this and of the previous version are in one cluster
during a rolling upgrade, so that kinds, the order of positional fields and the encoded names of all others
never change; a field that has been renamed here keeps its encoded name (`name=`).

Consensus and lease messages are addressed to one store of a member and travel in an `Envelope`; all others
are addressed to whichever process the member runs at the moment.
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
    """A message from one store to another, each by its identity."""

    source: str
    destination: str = msgspec.field(name="to")
    message: msgspec.Raw = msgspec.field(name="what")


class NodeAnnouncement(msgspec.Struct):
    """What a member tells of itself: its store, its journal, its place and its clock.

    Attributes:
        store_id: identity of its store.
        is_empty: whether the store has never taken part in consensus.
        incarnation: of its process.
        clock_ms: what its clock reads.
        zone: where it runs.
        region: where it runs.
        is_clock_drifting: whether it knows that its own clock is off, so that it holds no role.
        journal_epoch: the epoch under which its journal is its own; 0: it has none.
        store_start_count: how often a process has started with its store.
        term: of its consensus state.
        commit_index: of its log.
        last_index: of its log.
        known_progress: the most that the receiver's store is known to have said, by that store's identity.
        loaded_state: what its process has found in the store; unset by earlier versions.
        known_promise: what the receiver's store of `known_progress` is known to have promised; unset by
            earlier versions, and where nothing is known.
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
    """An announced check is known here; it is not accepted if a later epoch is known."""

    request_number: int
    is_accepted: bool


class HealthCheckCompleted(msgspec.Struct, array_like=True):
    """A check has ended, `age_ms` after it was sent; or it was surely not sent."""

    endpoint: str
    sequence: int
    epoch: int
    was_sent: bool
    age_ms: float = 0.0
    is_healthy: bool = False


class HealthStateRequested(msgspec.Struct, array_like=True):
    """The holder of a role under a new epoch asks what is known of the role's endpoints."""

    request_number: int
    role: str
    epoch: int


class EndpointHealthRow(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """What is known of one endpoint; `is_healthy` is None while its check is in flight."""

    endpoint: str
    destination: int
    sequence: int
    epoch: int
    age_ms: float
    is_healthy: bool | None
    failure_count: int


class HealthStateReported(msgspec.Struct, array_like=True):
    """What is known of a role's endpoints, and the backoff of each destination in ms."""

    request_number: int
    is_accepted: bool
    endpoints: list[EndpointHealthRow]
    backoffs: list[tuple[int, float]]


class BackoffObserved(msgspec.Struct, array_like=True):
    """A destination has sent a Retry-After to the sender."""

    destination: int
    remaining_ms: float


# ---- replication ---------------------------------------------------------------------------------------
class ReplicaProgressRequested(msgspec.Struct, array_like=True):
    """The leader asks how far the replicas of an owner's journal go."""

    owner: str


class ReplicaProgressReported(msgspec.Struct, array_like=True):
    """How far this replica goes; epoch 0: there is none here."""

    owner: str
    epoch: int
    last_record: int


class EpochPromiseRequested(msgspec.Struct, array_like=True):
    """A new owner asks that nothing of an older epoch be taken for a journal."""

    owner: str
    epoch: int


class EpochPromised(msgspec.Struct, array_like=True):
    """An epoch has been promised, and the promise is on disk."""

    owner: str
    epoch: int


class LateDeliveriesReported(msgspec.Struct, array_like=True):
    """A courier whose journal was taken over had delivered these messages, which nobody else knew."""

    message_ids: list[str]


class NodeLeaving(msgspec.Struct, array_like=True):
    """A process hands its work over."""

    incarnation: int


# ---- claims --------------------------------------------------------------------------------------------
class ClaimRow(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """An open message, the marks of its key and token, and how much of its time is left."""

    message_id: str
    lock_keys: list[bytes]
    remaining_ms: float


class ClaimsAnnounced(msgspec.Struct, array_like=True):
    """Open messages of an owner that others' messages of the same key or token wait for."""

    owner: str
    epoch: int
    claims: list[ClaimRow]


class ClaimCompleted(msgspec.Struct, array_like=True):
    """A claimed message is complete; `executed_ago_ms` is negative if it was never sent."""

    owner: str
    epoch: int
    message_id: str
    executed_ago_ms: float
    zone: str


class ClaimsReleased(msgspec.Struct, array_like=True):
    """The owner is alive under the epoch that it had: nobody claims for it any more."""

    owner: str
    epoch: int


class PossiblyExecuted(msgspec.Struct, array_like=True):
    """A message with a token that somebody has claimed may have been executed elsewhere."""

    lock_key: bytes
    age_ms: float
    zone: str


# ---- redelivery ----------------------------------------------------------------------------------------
class RedeliveryQuotaGranted(msgspec.Struct, array_like=True):
    """The role's holder allows so many redeliveries by rule."""

    epoch: int
    round_number: int
    quotas: dict[str, int]


class RedeliveryQuotaUsed(msgspec.Struct, array_like=True):
    """So many of a quota were used."""

    round_number: int
    used_counts: dict[str, int]


PROPOSAL_KIND: Final = "agree"  # its body is the proposed data itself
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
_SORTING_ENCODER = msgspec.msgpack.Encoder(order="deterministic")  # a set of voters: the same bytes each time


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
