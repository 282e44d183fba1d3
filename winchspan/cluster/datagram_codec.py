"""Codec of membership datagrams: a frame (`winchspan.cluster.frames`) with a MessagePack map.

Keys of the map, in this order; a key is omitted when its value is the default:

    src      sender's node name
    inc      sender's incarnation
    life     sender's process nonce
    kind     ping, ask (ping request), ack or nack
    seq      sequence number
    to       target node
    leaves   whether the sender is leaving the cluster; default false
    behalf   requester of an indirect probe; default empty
    updates  maps of name, state (number of `NodeState`), inc, life, by (accuser); default empty
"""

from __future__ import annotations

from typing import Final

import msgspec

from winchspan.cluster.frames import (
    FrameError,
    FrameTooLargeError,
    InvalidPayloadError,
    decode_payload,
    encode_header,
)
from winchspan.membership.messages import (
    Ack,
    Body,
    Datagram,
    MembershipUpdate,
    Nack,
    NodeState,
    Ping,
    PingRequest,
)

MAX_DATAGRAM_BYTES: Final = 1_400  # fits one packet of a local network


class UnknownMessageKindError(FrameError):
    """The datagram has a message kind that this reader does not know."""

    cause = "unknown kind"


class UnknownNodeStateError(FrameError):
    """The datagram has a node state that this reader does not know."""

    cause = "unknown state"


class WireUpdate(
    msgspec.Struct,
    omit_defaults=True,
    rename={"incarnation": "inc", "process_nonce": "life", "suspected_by": "by"},
):
    """Encoded form of a `MembershipUpdate`."""

    name: str
    state: int
    incarnation: int
    process_nonce: int
    suspected_by: str = ""


class WireDatagram(
    msgspec.Struct,
    omit_defaults=True,
    rename={
        "source": "src",
        "incarnation": "inc",
        "process_nonce": "life",
        "sequence_number": "seq",
        "target": "to",
        "is_leaving": "leaves",
        "on_behalf_of": "behalf",
    },
):
    """Encoded form of a `Datagram`."""

    source: str
    incarnation: int
    process_nonce: int
    kind: str
    sequence_number: int
    target: str
    is_leaving: bool = False
    on_behalf_of: str = ""
    updates: list[WireUpdate] = []


# Names of the message kinds on the wire, in every version.
_KIND_NAMES: Final[dict[type[Body], str]] = {Ping: "ping", PingRequest: "ask", Ack: "ack", Nack: "nack"}
_DECODER: Final = msgspec.msgpack.Decoder(WireDatagram)
_ENCODER: Final = msgspec.msgpack.Encoder()


def encode_datagram(datagram: Datagram, secret: bytes = b"") -> bytes:
    """Return a datagram as a frame, signed if there is a secret."""
    body = datagram.body
    wire = WireDatagram(
        source=datagram.source,
        incarnation=datagram.incarnation,
        process_nonce=datagram.process_nonce,
        kind=_KIND_NAMES[type(body)],
        sequence_number=body.sequence_number,
        target=body.target,
        is_leaving=datagram.is_leaving,
        on_behalf_of=body.on_behalf_of if isinstance(body, Ping) else "",
        updates=[_encode_update(update) for update in datagram.updates],
    )
    payload = _ENCODER.encode(wire)
    return encode_header(payload, secret) + payload


def decode_datagram(frame: bytes, secret: bytes = b"") -> Datagram:
    """Return the datagram of a frame.

    Raises:
        FrameError: the frame is rejected.
    """
    if len(frame) > MAX_DATAGRAM_BYTES:
        raise FrameTooLargeError
    payload = decode_payload(frame, secret)
    try:
        wire = _DECODER.decode(payload)
    except (msgspec.DecodeError, RecursionError):
        raise InvalidPayloadError from None
    body = _decode_body(wire)
    try:
        updates = tuple(_decode_update(update) for update in wire.updates)
    except ValueError:
        raise UnknownNodeStateError from None
    return Datagram(wire.source, wire.incarnation, wire.process_nonce, wire.is_leaving, body, updates)


def _decode_body(wire: WireDatagram) -> Body:
    match wire.kind:
        case "ping":
            return Ping(wire.sequence_number, wire.target, wire.on_behalf_of)
        case "ask":
            return PingRequest(wire.sequence_number, wire.target)
        case "ack":
            return Ack(wire.sequence_number, wire.target)
        case "nack":
            return Nack(wire.sequence_number, wire.target)
        case _:
            raise UnknownMessageKindError


def _encode_update(update: MembershipUpdate) -> WireUpdate:
    return WireUpdate(
        name=update.name,
        state=int(update.state),
        incarnation=update.incarnation,
        process_nonce=update.process_nonce,
        suspected_by=update.suspected_by,
    )


def _decode_update(wire: WireUpdate) -> MembershipUpdate:
    """Return an update; raises ValueError if its state is unknown."""
    state = NodeState(wire.state)
    return MembershipUpdate(wire.name, state, wire.incarnation, wire.process_nonce, wire.suspected_by)
