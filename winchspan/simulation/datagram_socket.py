"""A datagram socket of the emulated network, which is also the transport of its protocol."""

from __future__ import annotations

import asyncio
from typing import Final, Protocol

from winchspan.simulation.network_process import NetworkProcess

SOCKET_QUEUE_LIMIT: Final = 200
"""Datagrams that are queued for a suspended process; further ones are dropped."""


class DatagramNetwork(Protocol):
    """The interface of the network that a datagram socket uses."""

    def send_datagram(self, socket: EmulatedDatagramSocket, port: int, data: bytes) -> None:
        """Transmit a datagram to a port."""

    def unbind(self, socket: EmulatedDatagramSocket) -> None:
        """Free the port of a socket."""


class EmulatedDatagramSocket(asyncio.DatagramTransport):
    """A datagram socket that is bound to a port.

    Attributes:
        process: the process that owns the socket.
        port: the port at which it receives.
        host: name of the process's machine.
    """

    def __init__(self, network: DatagramNetwork, process: NetworkProcess, port: int) -> None:
        super().__init__()
        self.process = process
        self.port = port
        self.host = process.host
        self._network = network
        self._protocol: asyncio.DatagramProtocol | None = None
        self._is_closed = False
        self._queued_count = 0

    def attach(self, protocol: asyncio.DatagramProtocol) -> None:
        """Attach the protocol that receives the datagrams."""
        self._protocol = protocol
        protocol.connection_made(self)

    def sendto(  # type: ignore[override]  # addresses of other families are not emulated
        self, data: bytes | bytearray | memoryview, addr: tuple[str | int, ...] | str | None = None
    ) -> None:
        """Send a datagram to a host and port."""
        if not self._is_closed and self.process.is_alive:
            assert isinstance(addr, tuple)
            self._network.send_datagram(self, int(addr[1]), bytes(data))

    def receive(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handle an arriving datagram; a suspended process queues it, or drops it if the queue is full."""
        if self._is_closed or self._protocol is None or not self.process.is_alive:
            return
        if self._queued_count < SOCKET_QUEUE_LIMIT and self.process.defer_while_suspended(
            lambda: self._deliver_queued(data, sender)
        ):
            self._queued_count += 1
        elif not self._queued_count:
            self._protocol.datagram_received(data, sender)

    def _deliver_queued(self, data: bytes, sender: tuple[str, int]) -> None:
        self._queued_count -= 1
        if not self._is_closed and self.process.is_alive and self._protocol is not None:
            self._protocol.datagram_received(data, sender)

    def get_write_buffer_size(self) -> int:
        """Return 0: the network accepts every datagram at once."""
        return 0

    def is_closing(self) -> bool:
        """Return whether the socket has been closed."""
        return self._is_closed

    def close(self) -> None:
        """Close the socket and free its port."""
        self._is_closed = True
        self._network.unbind(self)
