"""The records that pass between two processes of the same fingerprint: version 1 of the state's format.

The encoded state is `MAGIC` and one `StateRecord` in MessagePack: maps with the field names below, without
unknown fields. References between objects are indexes into the lists of the same state. Times are readings of
the monotonic clock in milliseconds, which both processes share, unless the field says otherwise.

The format is a contract: a changed meaning or field gets a new `FORMAT_VERSION`.
"""

from __future__ import annotations

from typing import Annotated, Final

from msgspec import Meta, Struct

from winchspan.upgrade.wire_protocol import MAX_DESCRIPTOR_COUNT

FORMAT_VERSION: Final = 1
MAGIC: Final = b"winchspan-state\n"  # no pickle begins so: those begin with 0x80
MAX_MESSAGE_COUNT: Final = 1 << 20  # what the index in a handle can tell apart

NonNegative = Annotated[int, Meta(ge=0)]


class ClientRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """A client's connection, beside its descriptor.

    Attributes:
        unread: bytes received, from the first one of the first request that is not answered.
        is_answered: whether the client has got an answer on this connection.
        fault_count: protocol errors so far.
        since_ms: when it connected, was last answered, or its partial request began.
    """

    unread: bytes
    is_answered: bool
    fault_count: NonNegative
    since_ms: float


class EndpointStateRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """An endpoint as discovery last described it.

    The texts are UTF-8 in which lone surrogates may stand, as JSON lets discovery send them.

    Attributes:
        number: its identity within this courier.
        name: its name in discovery, UTF-8.
        host: IP address to connect to.
        port: TCP port to connect to.
        destination: the destination's number.
        zone: UTF-8.
        kind: the destination's kind, UTF-8.
        status: the value of an `api.EndpointStatus`.
        share: relative weight.
    """

    number: int
    name: bytes
    host: str
    port: int
    destination: int
    zone: bytes
    kind: bytes
    status: str
    share: float


class EndpointNumberRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """The number given to an endpoint's name (UTF-8) within a destination."""

    name: bytes
    destination: int
    number: int


class DestinationRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """A destination, and how many endpoints of it are in the directory."""

    destination: int
    endpoint_count: int


class EndpointDirectoryRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """The endpoint directory; the names are UTF-8.

    Attributes:
        sequence: discovery's version of the endpoint list; -1 before any.
        endpoints: in the order in which they became known.
        destinations: in the order in which they became known.
        numbers: in the order in which they were given.
        next_number: the number that the next endpoint gets.
        offline_names: endpoints that operators have taken out of service.
        cold_names: endpoints put back into service of which the scheduler has not been told.
        seen_names: every name that was ever listed, oldest first.
    """

    sequence: int
    endpoints: list[EndpointStateRecord]
    destinations: list[DestinationRecord]
    numbers: list[EndpointNumberRecord]
    next_number: int
    offline_names: list[bytes]
    cold_names: list[bytes]
    seen_names: list[bytes]


class PeerRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """The other end of an endpoint's connection: IP address, TCP port, and the endpoint's number."""

    host: str
    port: int
    endpoint_number: int


class IdleConnectionRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """A connection to an endpoint without a call, and for how many milliseconds it may still stand idle."""

    peer: PeerRecord
    idle_ms_left: float


class ResponseParserRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """An HTTP answer as far as it was read.

    Attributes:
        status: 0 until the head is complete.
        first_line_status: 0 until the first line is complete.
        headers: by lower-case name.
        body: what has come of it.
        is_done: whether the answer is complete.
        keep_alive: whether the connection may carry another call.
        interim_count: interim (1xx) answers so far.
        step: which part of the answer comes next; the name of the parser's step.
        bytes_left: of the body or chunk that is being read.
    """

    status: int
    first_line_status: int
    headers: dict[str, str]
    body: bytes
    is_done: bool
    keep_alive: bool
    interim_count: int
    step: str
    bytes_left: int


class OutgoingMessageRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """What of a message goes to the endpoint; `token` is its idempotency key."""

    id: str
    token: str
    body: bytes


class CallContentRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """The messages that a call was to carry, and the indexes among them of those that were sent."""

    messages: list[OutgoingMessageRecord]
    sent: list[NonNegative]


class CallRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """A call in flight, beside its connection's descriptor.

    Attributes:
        peer: who is called.
        deadline_ms: when it is given up.
        content: None for a call that carries no messages.
        parser: the answer so far.
        unread: bytes received that the parser has not used.
        answer_deadline_ms: when an answer that has begun must be complete; None: it has not begun.
        closes_connection: whether the connection is closed after it.
    """

    peer: PeerRecord
    deadline_ms: float
    content: CallContentRecord | None
    parser: ResponseParserRecord
    unread: bytes
    answer_deadline_ms: float | None
    closes_connection: bool


class AttemptHistoryRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """One finished attempt, for the evidence of a dead letter.

    Attributes:
        endpoint: its name, UTF-8.
        started_unix_ms: when it began, by the wall clock.
        outcome: the name of the outcome.
        duration_ms: how long it took.
        wait_ms: the wait that the endpoint asked for.
    """

    endpoint: bytes
    started_unix_ms: float
    outcome: str
    duration_ms: float
    wait_ms: float


class AttemptMemberRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """A message of an attempt: its handle, and the number of this attempt among the message's."""

    handle: int
    attempt_number: int


class DeliveryAttemptRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """A delivery attempt in flight.

    Attributes:
        endpoint_number: who is called.
        members: the messages that it carries.
        started_ms: when it began.
        call: index into `CourierRecord.calls`; None if it has not begun.
        is_over: whether it ended before it could begin.
        cancelled_handles: the messages whose cancellation the scheduler has been told.
    """

    endpoint_number: int
    members: list[AttemptMemberRecord]
    started_ms: float
    call: NonNegative | None
    is_over: bool
    cancelled_handles: list[int]


class MessageRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """A message accepted, until nothing more is owed for it and no attempt of it is in flight.

    Attributes:
        number: of its journal entry.
        id: the client's name for it.
        destination: the destination's number.
        deadline_ms: when it expires.
        token: idempotency key, passed on unchanged.
        body: passed on unchanged.
        class_name: of its message class.
        handle: of its slot.
        attempt_count: attempts so far.
        attempt: index into `EngineRecord.attempts` of the last attempt; None: not in flight.
        is_over: whether it has ended, with an attempt still in flight.
        resend_number: of the dead letter that it redelivers; 0: none.
        history: finished attempts; None where no dead letters are kept.
    """

    number: int
    id: str
    destination: int
    deadline_ms: float
    token: str
    body: bytes
    class_name: str
    handle: int
    attempt_count: int
    attempt: NonNegative | None
    is_over: bool
    resend_number: int
    history: list[AttemptHistoryRecord] | None


class MessageTableRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """The slot table of the messages: by index, what each slot holds and its generation.

    Attributes:
        slots: None: free.
        generations: how often each slot was freed.
        free_indexes: the last one is taken first.
    """

    slots: Annotated[list[MessageRecord | None], Meta(max_length=MAX_MESSAGE_COUNT)]
    generations: Annotated[list[NonNegative], Meta(max_length=MAX_MESSAGE_COUNT)]
    free_indexes: Annotated[list[NonNegative], Meta(max_length=MAX_MESSAGE_COUNT)]


class EngineRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """The delivery engine beside its journal.

    Attributes:
        decisions: the scheduler with its overload governor, and the events that it has not been told, as one
            opaque field, see `decisions_codec`. Equal fingerprints ensure that both have its classes.
        messages: the messages in hand.
        attempts: the attempts in flight.
        handles_by_id: the handle of each message that is open.
        held_count: messages whose final answer the scheduler owes.
        in_flight_count: attempts in flight.
    """

    decisions: bytes
    messages: MessageTableRecord
    attempts: list[DeliveryAttemptRecord]
    handles_by_id: dict[str, int]
    held_count: int
    in_flight_count: int


class CourierRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """The engine with its calls and connections; calls and idle connections in their descriptors' order."""

    engine: EngineRecord
    endpoint_directory: EndpointDirectoryRecord
    calls: Annotated[list[CallRecord], Meta(max_length=MAX_DESCRIPTOR_COUNT)]
    idle_connections: Annotated[list[IdleConnectionRecord], Meta(max_length=MAX_DESCRIPTOR_COUNT)]


class StateRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """The whole state.

    Attributes:
        version: `FORMAT_VERSION` of the program that wrote it.
        is_out_of_service: whether an operator has taken the courier out of service.
        clients: in the order of their descriptors.
        courier: what passes only between programs of the same fingerprint.
    """

    version: int
    is_out_of_service: bool
    clients: Annotated[list[ClientRecord], Meta(max_length=MAX_DESCRIPTOR_COUNT)]
    courier: CourierRecord
