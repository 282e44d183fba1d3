"""Records of the state that passes between two processes of the same fingerprint: format version 1.

The encoded state is `MAGIC` followed by one `StateRecord` in MessagePack: maps with the field names below,
without unknown fields. References between objects are indexes into lists of the same state. Unless a field is
documented otherwise, times are milliseconds of the monotonic clock, which both processes share.

The format is a contract: a changed field or meaning requires a new `FORMAT_VERSION`. A field that was added
later has a default, and is not encoded where it has it.
"""

from __future__ import annotations

from typing import Annotated, Final

from msgspec import Meta, Struct

from winchspan.upgrade.wire_protocol import MAX_DESCRIPTOR_COUNT

FORMAT_VERSION: Final = 1
MAGIC: Final = b"winchspan-state\n"  # cannot be the start of a pickle, which is 0x80
MAX_MESSAGE_COUNT: Final = 1 << 20  # number of slots that the index in a handle can address

NonNegative = Annotated[int, Meta(ge=0)]


class ClientRecord(Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A client's connection, without its descriptor.

    Attributes:
        unread: received bytes, starting with the first unanswered request.
        is_answered: whether the client has received an answer on this connection.
        fault_count: protocol errors so far.
        since_ms: when it connected, was last answered, or its partial request began.
        received_after_ms: time after which its unanswered bytes were received; None: not known.
    """

    unread: bytes
    is_answered: bool
    fault_count: NonNegative
    since_ms: float
    received_after_ms: float | None = None


class EndpointStateRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """An endpoint as discovery last described it.

    Texts are UTF-8 and may contain lone surrogates, because discovery can send them in JSON.

    Attributes:
        number: the endpoint's identifier within this courier.
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
    """The number assigned to an endpoint's name (UTF-8) within a destination."""

    name: bytes
    destination: int
    number: int


class DestinationRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """A destination, and the number of its endpoints in the directory."""

    destination: int
    endpoint_count: int


class EndpointDirectoryRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """The endpoint directory; the names are UTF-8.

    Attributes:
        sequence: discovery's version of the endpoint list; -1 before the first list.
        endpoints: the endpoints, in the order of their first listing.
        destinations: the destinations, in the order of their first listing.
        numbers: the assigned numbers, in the order of their assignment.
        next_number: the number of the next new endpoint.
        offline_names: endpoints that operators have taken out of service.
        cold_names: endpoints that were put back into service, but not yet reported to the scheduler.
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
    """A connection to an endpoint without a call, and the milliseconds for which it may stay idle."""

    peer: PeerRecord
    idle_ms_left: float


class ResponseParserRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """The state of a partly read HTTP response.

    Attributes:
        status: status code; 0 until the head is complete.
        first_line_status: status code; 0 until the first line is complete.
        headers: header values by lower-case name.
        body: the part of the body that was read.
        is_done: whether the response is complete.
        keep_alive: whether the connection may carry another call.
        interim_count: interim (1xx) responses so far.
        step: name of the parser's next step.
        bytes_left: remaining bytes of the current body or chunk.
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
    """The part of a message that is sent to the endpoint; `token` is its idempotency key."""

    id: str
    token: str
    body: bytes


class CallContentRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """The messages of a call, and the indexes of those that were sent."""

    messages: list[OutgoingMessageRecord]
    sent: list[NonNegative]


class CallRecord(Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A call in flight, without its connection's descriptor.

    Attributes:
        peer: the called endpoint.
        deadline_ms: when the call times out.
        content: the messages; None for a call without messages.
        parser: the response so far.
        unread: received bytes that are not parsed yet.
        answer_deadline_ms: when a response that has started must be complete; None before it starts.
        closes_connection: whether the connection is closed after the call.
        request_bytes: size of the request, until its response begins; 0: not known.
    """

    peer: PeerRecord
    deadline_ms: float
    content: CallContentRecord | None
    parser: ResponseParserRecord
    unread: bytes
    answer_deadline_ms: float | None
    closes_connection: bool
    request_bytes: NonNegative = 0


class AttemptHistoryRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """One completed attempt, recorded for the evidence of a dead letter.

    Attributes:
        endpoint: name of the endpoint, UTF-8.
        started_unix_ms: start time, by the wall clock.
        outcome: the name of the outcome.
        duration_ms: duration of the attempt.
        wait_ms: the wait that the endpoint asked for.
    """

    endpoint: bytes
    started_unix_ms: float
    outcome: str
    duration_ms: float
    wait_ms: float


class AttemptMemberRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """A message of an attempt: its handle, and the attempt's number among the attempts of the message."""

    handle: int
    attempt_number: int


class DeliveryAttemptRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """A delivery attempt in flight.

    Attributes:
        endpoint_number: number of the called endpoint.
        members: the messages that it carries.
        started_ms: start time.
        call: index into `CourierRecord.calls`; None if the call has not started.
        is_over: whether it was withdrawn before the call started.
        cancelled_handles: messages whose cancellation was reported to the scheduler.
    """

    endpoint_number: int
    members: list[AttemptMemberRecord]
    started_ms: float
    call: NonNegative | None
    is_over: bool
    cancelled_handles: list[int]


class MessageRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """An accepted message that still needs an answer or a notification, or has an attempt in flight.

    Attributes:
        number: number of its journal entry.
        id: identifier that the client gave.
        destination: the destination's number.
        deadline_ms: when it expires.
        token: idempotency key, passed on unchanged.
        body: passed on unchanged.
        class_name: name of its message class.
        handle: handle of its slot.
        attempt_count: attempts so far.
        attempt: index into `EngineRecord.attempts` of the last attempt; None if it is not in flight.
        is_over: whether it has ended while an attempt is still in flight.
        resend_number: number of the dead letter that it redelivers; 0 if there is none.
        history: completed attempts; None if dead letters are not archived.
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
    """The slot table of the messages: the content and the generation of each slot, by index.

    Attributes:
        slots: the message of each slot; None if the slot is free.
        generations: number of times that each slot was freed.
        free_indexes: indexes of the free slots; the last one is used first.
    """

    slots: Annotated[list[MessageRecord | None], Meta(max_length=MAX_MESSAGE_COUNT)]
    generations: Annotated[list[NonNegative], Meta(max_length=MAX_MESSAGE_COUNT)]
    free_indexes: Annotated[list[NonNegative], Meta(max_length=MAX_MESSAGE_COUNT)]


class EngineRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """The delivery engine, without its journal.

    Attributes:
        decisions: the scheduler with its overload governor, and the events that it has not handled yet, as
            one opaque field, see `decisions_codec`. Equal fingerprints ensure that both programs have its
            classes.
        messages: the open messages.
        attempts: the attempts in flight.
        handles_by_id: the handle of each open message.
        held_count: number of messages that await the scheduler's final answer.
        in_flight_count: number of attempts in flight.
    """

    decisions: bytes
    messages: MessageTableRecord
    attempts: list[DeliveryAttemptRecord]
    handles_by_id: dict[str, int]
    held_count: int
    in_flight_count: int


class CourierRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """The engine with its calls and idle connections, both in the order of their descriptors."""

    engine: EngineRecord
    endpoint_directory: EndpointDirectoryRecord
    calls: Annotated[list[CallRecord], Meta(max_length=MAX_DESCRIPTOR_COUNT)]
    idle_connections: Annotated[list[IdleConnectionRecord], Meta(max_length=MAX_DESCRIPTOR_COUNT)]


class EndedMessageRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """A message that has ended recently, and whether it was delivered."""

    id: str
    ended_at_ms: float
    is_delivered: bool


class EndedMessagesRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """The messages that have ended after `complete_since_ms`, and perhaps others, oldest first."""

    ended: list[EndedMessageRecord]
    complete_since_ms: float


class ConfigurationRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's configuration in force.

    Attributes:
        document: the file's object as JSON, without the keys that apply only at the start.
        loaded_at_ms: when the file was read.
        is_reloaded: whether a SIGHUP has put it in force.
    """

    document: bytes
    loaded_at_ms: float
    is_reloaded: bool


class ClassesRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """The message classes in force, and those at the end of a transition, as JSON arrays.

    Attributes:
        in_force: the classes in force.
        target: the classes that are in force once the transition has ended.
        ends_at_ms: when the transition ends; None: there is none.
    """

    in_force: bytes
    target: bytes
    ends_at_ms: float | None


class StateRecord(Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """The complete state.

    Attributes:
        version: `FORMAT_VERSION` of the program that wrote it.
        is_out_of_service: whether an operator has taken the courier out of service.
        clients: the clients' connections, in the order of their descriptors.
        courier: the part that passes only between programs of the same fingerprint.
        ended: the messages that have ended recently; None: not known.
        configuration: the platform's configuration in force; None: not known.
        classes: the message classes in force; None: not known.
        backlog_since_ms: time after which the clients in the backlog have connected; None: not known.
    """

    version: int
    is_out_of_service: bool
    clients: Annotated[list[ClientRecord], Meta(max_length=MAX_DESCRIPTOR_COUNT)]
    courier: CourierRecord
    ended: EndedMessagesRecord | None = None
    configuration: ConfigurationRecord | None = None
    classes: ClassesRecord | None = None
    backlog_since_ms: float | None = None
