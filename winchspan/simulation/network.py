"""The emulated network: ports, connections and datagrams between hosts.

Bytes of a connection arrive in order in each direction, whatever their delays. There is no order between
connections. A host without power does not respond. A host whose program has ended responds as its operating
system would.
"""

from __future__ import annotations

import asyncio
import errno
from typing import Final

import numpy as np

from winchspan.simulation.connection import ConnectionEnd, TrafficObserver, reset_error
from winchspan.simulation.datagram_socket import EmulatedDatagramSocket
from winchspan.simulation.fragmentation import Fragmenter
from winchspan.simulation.link import LinkId, LinkProfile
from winchspan.simulation.links import NetworkLinks
from winchspan.simulation.listener import EmulatedListener
from winchspan.simulation.loop import EmulatedLoop
from winchspan.simulation.network_process import LOCALHOST, NetworkProcess
from winchspan.simulation.trace import NetworkTrace, Side

FIRST_PORT: Final = 20_000
UNKNOWN_HOST: Final = "outside"
"""Host of a port that has never been assigned or used."""


class Network:
    """The ports and connections of all hosts, and the links between hosts.

    Attributes:
        loop: the event loop in virtual time.
        links: the links between hosts, with their faults.
        trace: the hash of all traffic.
        fragmenter: splits reads and writes.
        observer: observes all connections; None for no observer.
    """

    def __init__(
        self,
        loop: EmulatedLoop,
        seed: int,
        link: LinkProfile | None = None,
        *,
        is_fragmenting: bool = False,
    ) -> None:
        """Create a network without hosts.

        Args:
            loop: the event loop in virtual time.
            seed: seed of its random streams: delays, boundaries of reads and writes, datagram faults.
            link: the profile of each link whose profile is not set; None for the default profile.
            is_fragmenting: whether reads and writes are split at random boundaries.
        """
        delay_seed, fragment_seed, loss_seed = np.random.SeedSequence(seed).spawn(3)
        self.loop = loop
        self.trace = NetworkTrace()
        self.links = NetworkLinks(loop, link or LinkProfile(), delay_seed, loss_seed)
        self.fragmenter = Fragmenter(fragment_seed, is_enabled=is_fragmenting)
        self.observer: TrafficObserver | None = None
        self._datagram_sockets: dict[int, EmulatedDatagramSocket] = {}
        self._listeners: dict[int, EmulatedListener] = {}
        self._host_by_port: dict[int, str] = {}  # a port is never reused by another host
        self._last_port = FIRST_PORT
        self._connection_count = 0
        self._open_connection_ends: dict[ConnectionEnd, None] = {}  # an ordered set, in the order of opening
        self._connection_ends_by_descriptor: dict[int, ConnectionEnd] = {}  # registered for a hand-over

    # ---- hosts and ports ---------------------------------------------------------------------------------
    def assign_port(self, port: int, host: str) -> None:
        """Assign a port, and its present or future listener, to a host."""
        self._host_by_port[port] = host
        if listener := self._listeners.get(port):
            listener.host = host

    def find_free_port(self) -> int:
        """Return a port without a listener."""
        while True:
            self._last_port += 1
            if self._last_port not in self._listeners:
                return self._last_port

    def host_of_port(self, port: int) -> str:
        """Return the host of a port."""
        return self._host_by_port.get(port, UNKNOWN_HOST)

    def listen(self, process: NetworkProcess, port: int) -> EmulatedListener:
        """Listen on a port; 0 stands for any free port.

        Raises:
            OSError: if the port is in use.
        """
        port = port or self.find_free_port()
        if port in self._listeners:
            raise OSError(errno.EADDRINUSE, f"{LOCALHOST}:{port}: address already in use")
        host = self._host_by_port.setdefault(port, process.host)  # stays after the listener is closed
        listener = EmulatedListener(self.loop, process, port, host, self._remove_listener)
        self._listeners[port] = listener
        return listener

    def find_listener(self, port: int) -> EmulatedListener | None:
        """Return the listener of a port; None if there is none."""
        return self._listeners.get(port)

    def _remove_listener(self, listener: EmulatedListener) -> None:
        if self._listeners.get(listener.port) is listener:
            del self._listeners[listener.port]

    # ---- datagrams ---------------------------------------------------------------------------------------
    def bind(self, process: NetworkProcess, port: int) -> EmulatedDatagramSocket:
        """Open a datagram socket on a port.

        Raises:
            OSError: if the port is in use.
        """
        if port in self._datagram_sockets:
            raise OSError(errno.EADDRINUSE, "Address already in use")
        self._host_by_port.setdefault(port, process.host)
        socket = EmulatedDatagramSocket(self, process, port)
        self._datagram_sockets[port] = socket
        return socket

    def unbind(self, socket: EmulatedDatagramSocket) -> None:
        """Free the port of a datagram socket."""
        if self._datagram_sockets.get(socket.port) is socket:
            del self._datagram_sockets[socket.port]

    def send_datagram(self, socket: EmulatedDatagramSocket, port: int, data: bytes) -> None:
        """Transmit a datagram, which may be lost or arrive twice."""
        link = LinkId(socket.host, self.host_of_port(port))

        def arrive() -> None:
            receiver = self._datagram_sockets.get(port)
            if receiver is not None:
                self.trace.record_datagram(self.loop.ns, port, data)
                receiver.receive(data, (LOCALHOST, socket.port))

        for _ in range(self.links.datagram_copies(link)):
            self.links.transmit(link, len(data), arrive, is_held_while_partitioned=False)

    # ---- connections -------------------------------------------------------------------------------------
    @property
    def open_connection_end_count(self) -> int:
        """Number of open ends of connections."""
        return len(self._open_connection_ends)

    def connect(self, process: NetworkProcess, port: int) -> asyncio.Future[ConnectionEnd]:
        """Start to connect to a port.

        Returns:
            A future that fails if the port has no listener, and that never completes if no response arrives.
        """
        self._connection_count += 1
        handshake = _ConnectionHandshake(self, self._connection_count, process, port)
        handshake.start()
        return handshake.connected

    def open_connection(self, number: int, client_host: str, listener: EmulatedListener) -> ConnectionEnd:
        """Open both ends of a connection, pass the server's to the listener, and return the client's."""
        client_end = ConnectionEnd(self, number, Side.CLIENT, client_host)
        server_end = ConnectionEnd(self, number, Side.SERVER, listener.host)
        client_end.peer = server_end
        server_end.peer = client_end
        self.trace.record_connection(self.loop.ns, number)
        self._open_connection_ends[client_end] = None
        self._open_connection_ends[server_end] = None
        if self.observer is not None:
            self.observer.connection_opened(client_end, listener.port)
            self.observer.connection_opened(server_end, listener.port)
        listener.add_connection(server_end)
        return client_end

    def reset_connections(self, host: str, peer_host: str | None = None) -> int:
        """Reset the connections of a host, or only those with `peer_host`; return their number."""
        ends = [
            end
            for end in self._open_connection_ends
            if end.host == host and not end.is_closed and peer_host in (None, end.peer.host)
        ]
        for end in ends:
            end.peer.receive_reset(reset_error("reset by the network"))
            end.receive_reset(reset_error("reset by the network"))
        return len(ends)

    def remove_connection(self, end: ConnectionEnd) -> None:
        """Unregister a closed end."""
        self._open_connection_ends.pop(end, None)

    def register_descriptor(self, end: ConnectionEnd) -> int:
        """Return a descriptor that identifies an end in a hand-over."""
        self._connection_ends_by_descriptor[end.descriptor] = end
        return end.descriptor

    def find_connection_end(self, descriptor: int) -> ConnectionEnd:
        """Return the connection end that was registered under a descriptor."""
        return self._connection_ends_by_descriptor[descriptor]


class _ConnectionHandshake:
    """The handshake of a connection: a request to the listener, and its response."""

    def __init__(self, network: Network, number: int, process: NetworkProcess, port: int) -> None:
        listener = network.find_listener(port)
        target = listener.host if listener is not None else network.host_of_port(port)
        self.connected: asyncio.Future[ConnectionEnd] = network.loop.create_future()
        self._network = network
        self._number = number
        self._process = process
        self._port = port
        self._request_link = LinkId(process.host, target)
        self._response_link = LinkId(target, process.host)

    def start(self) -> None:
        """Send the request."""
        self._network.links.transmit(self._request_link, 0, self._on_request)

    def _on_request(self) -> None:
        listener = self._network.find_listener(self._port)
        if listener is None:
            self._network.links.transmit(self._response_link, 0, self._on_refused)
            return
        if listener.is_full:
            return  # a full backlog drops the request
        client_end = self._network.open_connection(self._number, self._process.host, listener)
        client_end.peer.last_arrival_ns = self._network.links.transmit(
            self._response_link, 0, lambda: self._on_accepted(client_end)
        )

    def _on_accepted(self, client_end: ConnectionEnd) -> None:
        if self.connected.done() or not self._process.is_alive:
            client_end.abort()
        else:
            self.connected.set_result(client_end)

    def _on_refused(self) -> None:
        if not self.connected.done() and self._process.is_alive:
            error = ConnectionRefusedError(
                errno.ECONNREFUSED, f"{LOCALHOST}:{self._port}: connection refused"
            )
            self.connected.set_exception(error)
