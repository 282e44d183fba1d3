"""Frames of the cluster protocol: header, optional signature and payload, for datagrams and streams.

Version 1 of a frame, byte by byte:

    offset  bytes  field
    0       2      magic, the ASCII letters `WS`
    2       1      version, 1
    3       1      1 if the frame is signed, else 0; a reader treats any nonzero value as signed
    4       16     signature, only in a signed frame
    4 / 20  rest   payload, one MessagePack value

The signature is a keyed BLAKE2b digest over the first four bytes and the payload. Its key is the first 64
bytes of the cluster secret, its `salt` the first 16 bytes of the reader's nonce, and its `person` the number
of frames sent before on the connection (8 bytes, little-endian). A datagram has neither nonce nor number:
zero bytes take their place.

A stream frame is preceded by its length (4 bytes, little-endian, not signed), which does not include the
length field.

A reader ignores unknown fields of the payload, and rejects an unknown version.
Bytes from another node are as untrusted as those from a client.
"""

from __future__ import annotations

import hmac
from hashlib import blake2b
from typing import ClassVar, Final

MAGIC: Final = b"WS"
VERSION: Final = 1
HEADER_BYTES: Final = 4
SIGNATURE_BYTES: Final = 16
MAX_KEY_BYTES: Final = 64  # length limit of a BLAKE2b key
NONCE_BYTES: Final = 16  # length of a BLAKE2b salt
UNSIGNED_HEADER: Final = MAGIC + bytes((VERSION, 0))
SIGNED_HEADER: Final = MAGIC + bytes((VERSION, 1))


class FrameError(Exception):
    """A frame is rejected.

    Attributes:
        cause: reason of the rejection; it is the label of the metric `fleet.dropped.CAUSE` and never changes.
    """

    cause: ClassVar[str]

    def __init__(self, cause: str | None = None) -> None:
        super().__init__(self.cause if cause is None else cause)


class FrameTooLargeError(FrameError):
    """The frame exceeds the limit of its transport."""

    cause = "too large"


class InvalidHeaderError(FrameError):
    """The frame is too short or does not begin with the magic."""

    cause = "no frame of ours"


class UnsupportedVersionError(FrameError):
    """The version of the frame is unknown to this reader."""

    cause = "unknown version"

    def __init__(self, version: int) -> None:
        super().__init__(f"{self.cause} {version}")
        self.version = version


class UnexpectedSignatureError(FrameError):
    """The frame is signed, but this node has no secret to verify it with."""

    cause = "signed, and there is no secret here"


class MissingSignatureError(FrameError):
    """The frame is not signed, but this node has a secret."""

    cause = "not signed"


class InvalidSignatureError(FrameError):
    """The signature was made with another secret, nonce or number, or over other bytes."""

    cause = "wrong signature"


class InvalidPayloadError(FrameError):
    """The payload is not MessagePack of the expected type."""

    cause = "not readable"


def encode_header(payload: bytes, secret: bytes, nonce: bytes = b"", number: int = 0) -> bytes:
    """Return the bytes that go before a payload: header and, if there is a secret, signature.

    Args:
        payload: the payload.
        secret: cluster secret; empty for an unsigned frame.
        nonce: nonce of the reader; empty for a datagram.
        number: frames sent before on the connection; 0 for a datagram.
    """
    if not secret:
        return UNSIGNED_HEADER
    return SIGNED_HEADER + _sign(SIGNED_HEADER + payload, secret, nonce, number)


def decode_payload(frame: bytes, secret: bytes, nonce: bytes = b"", number: int = 0) -> bytes:
    """Return the payload of a frame after checking its header and signature.

    Args:
        frame: the complete frame, without the length of a stream frame.
        secret: cluster secret; empty if frames are not signed.
        nonce: nonce of this node; empty for a datagram.
        number: frames received before on the connection; 0 for a datagram.

    Raises:
        FrameError: the frame is rejected.
    """
    if len(frame) < HEADER_BYTES or frame[:2] != MAGIC:
        raise InvalidHeaderError
    if frame[2] != VERSION:
        raise UnsupportedVersionError(frame[2])
    is_signed = frame[3] != 0
    if not secret:
        if is_signed:
            raise UnexpectedSignatureError
        return frame[HEADER_BYTES:]
    if not is_signed:
        raise MissingSignatureError
    signature_end = HEADER_BYTES + SIGNATURE_BYTES
    payload = frame[signature_end:]
    expected = _sign(frame[:HEADER_BYTES] + payload, secret, nonce, number)
    if not hmac.compare_digest(frame[HEADER_BYTES:signature_end], expected):
        raise InvalidSignatureError
    return payload


def _sign(data: bytes, secret: bytes, nonce: bytes, number: int) -> bytes:
    return blake2b(
        data,
        digest_size=SIGNATURE_BYTES,
        key=secret[:MAX_KEY_BYTES],
        salt=nonce[:NONCE_BYTES],
        person=number.to_bytes(8, "little"),
    ).digest()
