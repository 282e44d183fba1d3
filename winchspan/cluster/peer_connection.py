"""One TCP connection between two nodes: framing, handshake and signatures.

Handshake: each side's first frame is a `hello` with its name, the name of the node that it addresses, and a
nonce. The dialler sends its hello first. The other node answers with its own hello, whose nonce is the
challenge. The dialler then sends `ready`, signed with that nonce, which completes the handshake.

Each signature covers the reader's nonce and the number of frames sent before, so that no frame can be
replayed, on this connection or another one. The dialler's hello is signed before the reader's nonce is known,
so it does not prove the dialler's identity. Frames: `winchspan.cluster.frames`.
"""

from __future__ import annotations

import asyncio
from enum import Enum, auto
from struct import Struct
from typing import Final, Protocol

import msgspec

from winchspan.cluster.frames import (
    FrameError,
    FrameTooLargeError,
    InvalidPayloadError,
    decode_payload,
    encode_header,
)
from winchspan.net.receive_buffer import ReceiveBuffer

MAX_FRAME_BYTES: Final = 256 * 1024
MAX_UNSENT_BYTES: Final = 512 * 1024  # send buffer limit, beyond which the connection is closed
CLOSED_SLOW_READER: Final = "does not read"  # a label of the metric `fleet.dropped.CAUSE`
_LENGTH: Final = Struct("<I")
_EMPTY_BODY: Final = b"\x80"  # an empty map of MessagePack
_HELLO: Final = "hello"
_READY: Final = "ready"


class UnexpectedPeerError(FrameError):
    """The peer is not the node that was dialled, or is not permitted to dial this node."""

    cause = "not who was expected"


class MissingHelloError(FrameError):
    """The first frame of a peer is not a hello."""

    cause = "no hello"


class MissingReadyError(FrameError):
    """A peer that dialled did not confirm its identity after the challenge."""

    cause = "not ready"


class HandshakeState(Enum):
    """Progress of the handshake of a connection."""

    AWAITING_HELLO = auto()
    AWAITING_READY = auto()  # only where the peer dialled: this side has sent its challenge
    ESTABLISHED = auto()


class Envelope(msgspec.Struct, omit_defaults=True):
    """Payload of a frame.

    Attributes:
        kind: message kind, which selects the decoder of the body.
        body: the message as one MessagePack value.
    """

    kind: str
    body: msgspec.Raw = msgspec.Raw(_EMPTY_BODY)


class Hello(msgspec.Struct, rename={"sender": "name", "recipient": "to", "nonce": "salt"}):
    """First message of each side.

    Attributes:
        sender: name of the sending node.
        recipient: name of the node that the sender addresses.
        nonce: random bytes that the peer's signatures on this connection must cover.
    """

    sender: str
    recipient: str
    nonce: bytes


_ENVELOPE_DECODER: Final = msgspec.msgpack.Decoder(Envelope)
_HELLO_DECODER: Final = msgspec.msgpack.Decoder(Hello)
_ENCODER: Final = msgspec.msgpack.Encoder()


class PeerConnectionOwner(Protocol):
    """Interface of the transport that a connection belongs to."""

    @property
    def node_name(self) -> str:
        """Name of the local node."""

    @property
    def secret(self) -> bytes:
        """Cluster secret; empty for unsigned frames."""

    def generate_nonce(self) -> bytes:
        """Return 16 random bytes."""

    def accepts_peer(self, name: str, dialled_name: str) -> bool:
        """Whether a peer may have this name; `dialled_name` is empty if the peer dialled."""

    def handle_established(self, peer: PeerConnection) -> None:
        """Handle the end of the handshake."""

    def handle_message(self, sender: str, kind: str, body: bytes) -> None:
        """Handle a message of an established connection."""

    def handle_closed(self, peer: PeerConnection) -> None:
        """Handle the end of the connection."""

    def reject(self, peer: PeerConnection, cause: str) -> None:
        """Close a connection that has broken a rule."""


class PeerConnection(asyncio.BufferedProtocol):
    """Protocol of one connection.

    Attributes:
        peer_name: name of the peer; empty until the handshake is complete.
    """

    def __init__(self, owner: PeerConnectionOwner, dialled_name: str = "") -> None:
        """Create the protocol of a connection that is being established.

        Args:
            owner: transport that the connection belongs to.
            dialled_name: name of the node that was dialled; empty if the peer dialled.
        """
        self.peer_name = ""
        self._owner = owner
        self._dialled_name = dialled_name
        self._state = HandshakeState.AWAITING_HELLO
        self._claimed_name = ""  # name of a peer that has not answered the challenge yet
        self._nonce = owner.generate_nonce()
        self._peer_nonce = b""
        self._sent_count = 0  # frames
        self._received_count = 0  # frames
        self._buffer = ReceiveBuffer()
        self._transport: asyncio.Transport | None = None

    # ---- asyncio.BufferedProtocol ------------------------------------------------------------------------
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the hello if this side has dialled."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._dialled_name:
            self._send_hello(self._dialled_name)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the writable part of the receive buffer."""
        return self._buffer.writable()

    def buffer_updated(self, nbytes: int) -> None:
        """Process the complete frames of the buffer."""
        self._buffer.end += nbytes
        try:
            while not self.is_closed:
                frame = self._take_frame()
                if frame is None:
                    return
                self._handle_frame(frame)
        except FrameError as err:
            self._owner.reject(self, str(err))

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        self._transport = None
        self._owner.handle_closed(self)

    # ---- output ------------------------------------------------------------------------------------------
    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed, closing or not yet established."""
        return self._transport is None or self._transport.is_closing()

    def send(self, kind: str, body: bytes) -> bool:
        """Send a message, one MessagePack value; return False if the connection cannot take it."""
        if self._state is not HandshakeState.ESTABLISHED or self.is_closed:
            return False
        assert self._transport is not None
        if self._transport.get_write_buffer_size() + len(body) > MAX_UNSENT_BYTES:
            self._owner.reject(self, CLOSED_SLOW_READER)
            return False
        self._write(kind, body)
        return True

    def close(self) -> None:
        """Close the connection, and discard its send buffer."""
        if self._transport is not None:
            self._transport.abort()

    def _send_hello(self, recipient: str) -> None:
        hello = Hello(self._owner.node_name, recipient, self._nonce)
        self._write(_HELLO, _ENCODER.encode(hello))

    def _write(self, kind: str, body: bytes) -> None:
        assert self._transport is not None
        payload = _ENCODER.encode(Envelope(kind, msgspec.Raw(body)))
        header = encode_header(payload, self._owner.secret, self._peer_nonce, self._sent_count)
        self._sent_count += 1
        length = _LENGTH.pack(len(header) + len(payload))
        self._transport.writelines([length, header, payload])

    # ---- input -------------------------------------------------------------------------------------------
    def _take_frame(self) -> bytes | None:
        """Return the next frame of the buffer, or None if it is incomplete; raises FrameError."""
        buffer = self._buffer
        if len(buffer) < _LENGTH.size:
            return None
        (frame_bytes,) = _LENGTH.unpack_from(buffer.data, buffer.start)
        if frame_bytes > MAX_FRAME_BYTES:
            raise FrameTooLargeError
        frame_start = buffer.start + _LENGTH.size
        frame_end = frame_start + frame_bytes
        if frame_end > buffer.end:
            return None
        buffer.start = frame_end
        return bytes(buffer.data[frame_start:frame_end])

    def _handle_frame(self, frame: bytes) -> None:
        # The dialler's hello is signed without this side's nonce; all frames after it are signed with it.
        is_first_of_dialler = not self._received_count and not self._dialled_name
        nonce = b"" if is_first_of_dialler else self._nonce
        payload = decode_payload(frame, self._owner.secret, nonce, self._received_count)
        self._received_count += 1
        try:
            envelope = _ENVELOPE_DECODER.decode(payload)
            if self._state is not HandshakeState.ESTABLISHED:
                self._advance_handshake(envelope)
                return
        except (msgspec.DecodeError, RecursionError):
            raise InvalidPayloadError from None
        self._owner.handle_message(self.peer_name, envelope.kind, bytes(envelope.body))

    # ---- handshake ---------------------------------------------------------------------------------------
    def _advance_handshake(self, envelope: Envelope) -> None:
        if self._state is HandshakeState.AWAITING_READY:
            self._handle_ready(envelope)
        else:
            self._handle_hello(envelope)

    def _handle_hello(self, envelope: Envelope) -> None:
        if envelope.kind != _HELLO:
            raise MissingHelloError
        hello = _HELLO_DECODER.decode(envelope.body)
        is_for_this_node = hello.recipient == self._owner.node_name
        if not is_for_this_node or not self._owner.accepts_peer(hello.sender, self._dialled_name):
            raise UnexpectedPeerError
        self._peer_nonce = hello.nonce
        if self._dialled_name:
            self._write(_READY, _EMPTY_BODY)
            self._establish(hello.sender)
        else:
            self._claimed_name = hello.sender
            self._state = HandshakeState.AWAITING_READY
            self._send_hello(hello.sender)

    def _handle_ready(self, envelope: Envelope) -> None:
        if envelope.kind != _READY:
            raise MissingReadyError
        self._establish(self._claimed_name)

    def _establish(self, peer_name: str) -> None:
        self.peer_name = peer_name
        self._state = HandshakeState.ESTABLISHED
        self._owner.handle_established(self)
