"""TCP transport between nodes for messages that are large or must keep their order.

There is one connection for each pair of nodes; the node whose name sorts first dials. Messages that are not
delivered when a connection breaks are lost, as datagrams are. Handshake: `peer_connection`.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass
from typing import Final

from loguru import logger

from winchspan.cluster.peer_connection import PeerConnection
from winchspan.config.platform import Address
from winchspan.runtime.system import Listener

HANDSHAKE_TIMEOUT_MS: Final = 1_000.0  # also the timeout of a connection attempt
DIAL_INTERVAL_MS: Final = 250.0  # between two rounds of dialling
MAX_PENDING_CONNECTIONS: Final = 16  # limit of connections with an incomplete handshake
# Causes of closed connections, which are labels of the metric `fleet.dropped.CAUSE`.
CLOSED_TOO_MANY_PENDING: Final = "too many strangers"
CLOSED_HANDSHAKE_TIMEOUT: Final = "no hello in time"


@dataclass(frozen=True, slots=True)
class StreamTransportConfig:
    """Identity of the local node and its peers.

    Attributes:
        node_name: name of the local node.
        members: addresses by node name, the local one among them.
        secret: key that signs each frame; empty for unsigned frames.
    """

    node_name: str
    members: Mapping[str, Address]
    secret: bytes


@dataclass(frozen=True, slots=True)
class StreamHandlers:
    """Callbacks of the transport.

    Attributes:
        on_message: called with sender, kind and body of each message.
        on_connected: called with the name of a node whenever a connection to it is established.
    """

    on_message: Callable[[str, str, bytes], None]
    on_connected: Callable[[str], None]


class StreamTransport:
    """All connections to other nodes, and the socket that accepts them.

    Attributes:
        node_name: name of the local node.
        members: addresses by node name, the local one among them; may be replaced.
        secret: cluster secret; empty for unsigned frames.
        dropped: connections closed for a fault, by cause.
    """

    def __init__(
        self,
        config: StreamTransportConfig,
        handlers: StreamHandlers,
        call_later: Callable[[float, Callable[[], None]], object],
        generate_nonce: Callable[[], bytes],
    ) -> None:
        """Create a closed transport.

        Args:
            config: identity of the local node and its peers.
            handlers: receivers of messages and events.
            call_later: calls a function after a delay in ms.
            generate_nonce: returns 16 random bytes for the signatures of a connection.
        """
        self.node_name = config.node_name
        self.members = config.members
        self.secret = config.secret
        self.generate_nonce = generate_nonce
        self.dropped: Counter[str] = Counter()
        self._handlers = handlers
        self._call_later = call_later
        self._established: dict[str, PeerConnection] = {}
        self._pending: set[PeerConnection] = set()
        self._dialling: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._listener: Listener | None = None

    def open(self, loop: asyncio.AbstractEventLoop, listener: Listener) -> None:
        """Start to accept connections and to dial."""
        self._loop = loop
        self._listener = listener
        # An emulated listener has no file descriptor; the emulated loop accepts the listener object itself.
        loop.add_reader(listener, self._accept)  # type: ignore[arg-type]
        self._dial_missing_peers()

    def send(self, recipient: str, kind: str, body: bytes) -> bool:
        """Send a message to a node.

        Args:
            recipient: name of the node.
            kind: message kind, which selects the decoder of the body.
            body: the message as one MessagePack value.

        Returns:
            False if there is no connection that can take it.
        """
        peer = self._established.get(recipient)
        return peer is not None and peer.send(kind, body)

    def is_connected(self, name: str) -> bool:
        """Whether there is an established connection to a node."""
        return name in self._established

    def close(self) -> None:
        """Close the listener and all connections, and stop dialling."""
        if self._loop is not None and self._listener is not None:
            self._loop.remove_reader(self._listener)  # type: ignore[arg-type] # as in `open`
            self._listener.close()
        self._loop = None
        for task in list(self._tasks):
            task.cancel()
        for peer in [*self._established.values(), *self._pending]:
            peer.close()

    # ---- PeerConnectionOwner -----------------------------------------------------------------------------
    def accepts_peer(self, name: str, dialled_name: str) -> bool:
        """Return whether a peer may have this name: the dialled node, or a member that dials this node."""
        if dialled_name:
            return name == dialled_name
        return name in self.members and name < self.node_name

    def handle_established(self, peer: PeerConnection) -> None:
        """Use a connection whose handshake is complete in place of an earlier one to the same node."""
        self._pending.discard(peer)
        previous = self._established.get(peer.peer_name)
        self._established[peer.peer_name] = peer
        if previous is not None and previous is not peer:
            previous.close()
        self._handlers.on_connected(peer.peer_name)

    def handle_message(self, sender: str, kind: str, body: bytes) -> None:
        """Pass on a message of an established connection."""
        self._handlers.on_message(sender, kind, body)

    def handle_closed(self, peer: PeerConnection) -> None:
        """Remove a closed connection."""
        self._pending.discard(peer)
        if self._established.get(peer.peer_name) is peer:
            del self._established[peer.peer_name]

    def reject(self, peer: PeerConnection, cause: str) -> None:
        """Close a connection and count the cause."""
        self.dropped[cause] += 1
        if self.dropped[cause] == 1:
            name = peer.peer_name or "an unidentified peer"
            logger.warning("fleet: connection of {} closed: {}", name, cause)
        self._pending.discard(peer)
        peer.close()

    # ---- dialling and accepting --------------------------------------------------------------------------
    def _dial_missing_peers(self) -> None:
        """Dial all unconnected nodes whose names sort after this node's; repeat until closed."""
        if self._loop is None:
            return
        for name in self.members:
            if name > self.node_name and name not in self._established and name not in self._dialling:
                self._dialling.add(name)
                self._spawn(self._dial(name))
        self._call_later(DIAL_INTERVAL_MS, self._dial_missing_peers)

    async def _dial(self, name: str) -> None:
        address = self.members[name]
        try:
            assert self._loop is not None
            connecting = self._loop.create_connection(
                lambda: PeerConnection(self, name), address.host, address.port
            )
            _, peer = await asyncio.wait_for(connecting, HANDSHAKE_TIMEOUT_MS / 1_000.0)
            if not peer.is_closed:  # the peer may have closed it already
                self._await_handshake(peer)
        except (OSError, TimeoutError):
            pass  # the next round dials again
        finally:
            self._dialling.discard(name)

    def _accept(self) -> None:
        assert self._listener is not None
        try:
            sock, _ = self._listener.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return
        except OSError as err:
            logger.error("fleet: cannot accept a connection: {}", err)
            return
        sock.setblocking(False)
        if len(self._pending) >= MAX_PENDING_CONNECTIONS:
            self.dropped[CLOSED_TOO_MANY_PENDING] += 1
            sock.close()
            return
        peer = PeerConnection(self)
        self._await_handshake(peer)
        self._spawn(self._attach(peer, sock))

    async def _attach(self, peer: PeerConnection, sock: socket.socket) -> None:
        """Connect an accepted socket to its protocol."""
        assert self._loop is not None
        try:
            await self._loop.connect_accepted_socket(lambda: peer, sock)
        except OSError:
            self._pending.discard(peer)

    def _await_handshake(self, peer: PeerConnection) -> None:
        """Close a connection whose handshake is not complete before the timeout."""
        if peer.peer_name:
            return
        self._pending.add(peer)

        def close_if_pending() -> None:
            if peer in self._pending:
                self.reject(peer, CLOSED_HANDSHAKE_TIMEOUT)

        self._call_later(HANDSHAKE_TIMEOUT_MS, close_if_pending)

    def _spawn(self, coroutine: Coroutine[object, None, None]) -> None:
        """Run a coroutine in a task that is cancelled on close."""
        assert self._loop is not None
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
