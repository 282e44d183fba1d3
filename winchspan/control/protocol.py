"""Frames of the control socket: a big-endian length of four bytes, then a JSON object of that many bytes.

Each request of a client gets one reply with the same ID, in the order of the requests.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from struct import Struct
from typing import Any, Final, TypeAlias

import msgspec

JsonValue: TypeAlias = bool | int | float | str | Sequence["JsonValue"] | Mapping[str, "JsonValue"] | None
"""A value that JSON can represent."""

PROTOCOL_VERSION: Final = 1

MAX_REPLY_BYTES: Final = 1 << 20

MAX_REQUEST_BYTES: Final = 1 << 16
"""Smaller than `MAX_REPLY_BYTES`, because a courier allocates a buffer of this size for each connection."""

FRAME_HEADER: Final = Struct(">I")
"""Encoding of the length of the body in bytes."""


class ControlError(Exception):
    """A frame is invalid, or a request or its connection failed; the message gives the cause in one line."""


class Request(msgspec.Struct, forbid_unknown_fields=True):
    """A request of a client.

    Attributes:
        version: version of the protocol that the client uses.
        id: number of the request, chosen by the client.
        command: name of the command.
        args: arguments of the command.
    """

    version: int = msgspec.field(name="v")
    id: int
    command: str
    args: dict[str, Any] = {}


class Reply(msgspec.Struct):
    """The result of a request.

    Attributes:
        id: ID of the request; 0 if the request is invalid.
        data: return value of the command.
        error: cause of the failure, in one line; empty on success.
        version: version of the protocol that the server uses.
    """

    id: int
    data: Any = None
    error: str = ""
    version: int = msgspec.field(name="v", default=PROTOCOL_VERSION)


def encode_frame(message: Request | Reply) -> bytes:
    """Encode a message as a frame.

    Raises:
        ControlError: if the message is too large.
    """
    body = msgspec.json.encode(message)
    max_bytes = MAX_REPLY_BYTES if isinstance(message, Reply) else MAX_REQUEST_BYTES
    if len(body) > max_bytes:
        raise ControlError(f"too large: {len(body)} bytes, and {max_bytes} at most")
    return FRAME_HEADER.pack(len(body)) + body


def decode_length(head: bytes | memoryview, max_bytes: int = MAX_REPLY_BYTES) -> int:
    """Return the length of a frame's body in bytes.

    Raises:
        ControlError: if the length is 0 or exceeds `max_bytes`.
    """
    (size,) = FRAME_HEADER.unpack(head)
    if not 0 < size <= max_bytes:
        raise ControlError(f"a frame of {size} bytes; 1 to {max_bytes} are read")
    return int(size)


def decode_request(body: bytes) -> Request:
    """Decode the body of a request frame.

    Raises:
        ControlError: if the body is not a request of this version of the protocol.
    """
    try:
        request = msgspec.json.decode(body, type=Request)
    except (msgspec.MsgspecError, RecursionError) as err:
        raise ControlError(f"not a request: {err}") from None
    if request.version != PROTOCOL_VERSION:
        raise ControlError(f"version {request.version}; this program speaks {PROTOCOL_VERSION}")
    return request


def decode_reply(body: bytes) -> Reply:
    """Decode the body of a reply frame.

    Raises:
        ControlError: if the body is not a reply.
    """
    try:
        return msgspec.json.decode(body, type=Reply)
    except (msgspec.MsgspecError, RecursionError) as err:
        raise ControlError(f"not a reply: {err}") from None
