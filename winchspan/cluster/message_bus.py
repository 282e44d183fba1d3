"""Sends and receives typed messages between members over the stream transport."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from typing import Protocol, TypeVar

import msgspec

from winchspan.cluster.messages import (
    PLAIN_KINDS,
    ConsensusMessage,
    LeaseMessage,
    decode_envelope,
    decode_enveloped,
    encode,
    encode_envelope,
    is_enveloped_kind,
)
from winchspan.cluster.node import ClusterNode
from winchspan.cluster.stream_transport import StreamHandlers, StreamTransport, StreamTransportConfig
from winchspan.config.platform import Address
from winchspan.consensus.bootstrap import node_name
from winchspan.runtime.system import Listener

M = TypeVar("M")


class StoreMessageReceiver(Protocol):
    """Receiver of the messages that are addressed to this member's store."""

    @property
    def store_id(self) -> str:
        """Identity of this member's store."""

    def is_rolled_back(self, sender: str) -> bool:
        """Return whether a member's store was rolled back, so that its messages are dropped."""

    def receive(self, sender: str, source: str, message: ConsensusMessage | LeaseMessage) -> None:
        """Handle a message from a member's store."""


class MessageBus:
    """Sends messages to other members, and dispatches received messages to handlers by type."""

    def __init__(
        self, node: ClusterNode, members: Mapping[str, Address], secret: bytes, receiver: StoreMessageReceiver
    ) -> None:
        """Create a bus, closed.

        Args:
            node: this process.
            members: addresses by name, this member's own included.
            secret: key that signs each frame; empty for unsigned frames.
            receiver: receiver of messages to this member's store.
        """
        self._node = node
        self._receiver = receiver
        self._handlers: dict[str, Callable[[str, bytes], None]] = {}
        self._connection_callbacks: list[Callable[[str], None]] = []
        self._is_receiving = True
        self._transport = StreamTransport(
            StreamTransportConfig(node.name, members, secret),
            StreamHandlers(self._on_frame, self._on_connected),
            lambda ms, call: node.timers.call_later(ms, call),
            node.system.random_token,
        )

    @property
    def members(self) -> Mapping[str, Address]:
        """Addresses of all members by name."""
        return self._transport.members

    @members.setter
    def members(self, members: Mapping[str, Address]) -> None:
        self._transport.members = members

    @property
    def dropped(self) -> Counter[str]:
        """Frames and connections that were dropped, by cause."""
        return self._transport.dropped

    def other_members(self) -> list[str]:
        """Return the names of all members but this one."""
        return [name for name in self._transport.members if name != self._node.name]

    def is_connected(self, member: str) -> bool:
        """Return whether a connection to a member is established."""
        return self._transport.is_connected(member)

    def open(self, listener: Listener) -> None:
        """Accept connections, and connect to other members."""
        self._transport.open(self._node.loop, listener)

    def subscribe(self, message_type: type[M], handler: Callable[[str, M], None]) -> None:
        """Call a handler with the sender's name and the message, for each message of a type."""
        decoder = msgspec.msgpack.Decoder(message_type)
        self._handlers[PLAIN_KINDS[message_type]] = lambda sender, body: handler(sender, decoder.decode(body))

    def on_connected(self, callback: Callable[[str], None]) -> None:
        """Call back with a member's name whenever a connection to it is established."""
        self._connection_callbacks.append(callback)

    def send(self, member: str, message: object) -> bool:
        """Send a message to a member's process; return False if there is no connection to it."""
        kind, body = encode(message)
        return self._transport.send(member, kind, body)

    def broadcast(self, message: object) -> None:
        """Send a message to all other members."""
        kind, body = encode(message)
        for member in self.other_members():
            self._transport.send(member, kind, body)

    def send_to_store(self, store_id: str, message: ConsensusMessage | LeaseMessage) -> None:
        """Send a consensus or lease message to a member's store."""
        kind, body = encode_envelope(self._receiver.store_id, store_id, message)
        self._transport.send(node_name(store_id), kind, body)

    def stop_receiving(self) -> None:
        """Ignore all frames from now on."""
        self._is_receiving = False

    def close(self) -> None:
        """Close all connections."""
        self.stop_receiving()
        self._transport.close()

    def _on_connected(self, member: str) -> None:
        for callback in self._connection_callbacks:
            callback(member)

    def _on_frame(self, sender: str, kind: str, body: bytes) -> None:
        if not self._is_receiving:
            return
        try:
            handler = self._handlers.get(kind)
            if handler is not None:
                handler(sender, body)
                return
            opened = self._open_envelope(sender, kind, body)
        except (msgspec.DecodeError, RecursionError):
            self._transport.dropped["not readable"] += 1
            return
        if opened is not None:
            source, message = opened
            self._receiver.receive(sender, source, message)

    def _open_envelope(
        self, sender: str, kind: str, body: bytes
    ) -> tuple[str, ConsensusMessage | LeaseMessage] | None:
        """Return source and message of an envelope; count it as dropped and return None if it is rejected."""
        envelope = decode_envelope(body)
        if self._receiver.is_rolled_back(sender):
            self._transport.dropped["an older folder"] += 1
        elif not is_enveloped_kind(kind):
            self._transport.dropped["unknown kind"] += 1
        elif node_name(envelope.source) != sender or envelope.destination != self._receiver.store_id:
            self._transport.dropped["meant for another"] += 1
        else:
            return envelope.source, decode_enveloped(kind, envelope)
        return None
