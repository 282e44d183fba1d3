"""UDP transport of membership datagrams between nodes.

A datagram that cannot be decoded, or that does not come from the address of its sender, is dropped and
counted by cause.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Final, cast

from loguru import logger

from winchspan.cluster.datagram_codec import decode_datagram, encode_datagram
from winchspan.cluster.frames import FrameError
from winchspan.config.platform import Address
from winchspan.membership.messages import Datagram

MAX_UNSENT_BYTES: Final = 64 * 1024  # limit of the send buffer; further datagrams are dropped
LOG_EVERY_DROPS: Final = 1_000  # a cause is logged at its first drop and then once in so many
MAX_DROP_CAUSES: Final = 64  # bounds the counters: each of 255 unknown versions is a cause of its own
DROPPED_OTHER: Final = "other"
DROPPED_SEND_BUFFER_FULL: Final = "not taken by the system in time"
DROPPED_SYSTEM_ERROR: Final = "refused by the system"


class SenderAddressError(FrameError):
    """The datagram does not come from the address of the node that it names as its sender."""

    cause = "from an address that is not its sender's"


class DatagramTransport(asyncio.DatagramProtocol):
    """The node's UDP socket.

    Attributes:
        members: addresses by node name, the local one among them; may be replaced.
        dropped: datagrams that were not processed or not sent, by cause.
        sent_count: datagrams sent.
        received_count: datagrams received and processed.
    """

    def __init__(
        self, members: Mapping[str, Address], secret: bytes, on_datagram: Callable[[Datagram], None]
    ) -> None:
        """Create a closed transport.

        Args:
            members: addresses by node name, the local one among them.
            secret: signs each frame; empty for unsigned frames.
            on_datagram: called with each datagram that is accepted.
        """
        self.members = members
        self.dropped: Counter[str] = Counter()
        self.sent_count = 0
        self.received_count = 0
        self._secret = secret
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        """Start to receive on a bound socket."""
        await loop.create_datagram_endpoint(lambda: self, sock=sock)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport that the event loop has created for the socket."""
        # The loop's own class does not derive from DatagramTransport before Python 3.12.
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a valid datagram to the handler; drop and count an invalid one."""
        address = Address(addr[0], addr[1])
        try:
            datagram = decode_datagram(data, self._secret)
            if self.members.get(datagram.source) != address:
                raise SenderAddressError
        except FrameError as err:
            self._count_drop(str(err), address)
            return
        self.received_count += 1
        self._on_datagram(datagram)

    def error_received(self, exc: Exception) -> None:
        """Count a system error, such as a closed port at a peer, which the failure detector notices."""
        self.dropped[DROPPED_SYSTEM_ERROR] += 1

    def send(self, recipient: str, datagram: Datagram) -> None:
        """Send a datagram to a node, or drop it if too many bytes wait to be sent."""
        address = self.members.get(recipient)
        if self._transport is None or self._transport.is_closing() or address is None:
            return
        unsent_bytes = cast("asyncio.WriteTransport", self._transport).get_write_buffer_size()
        if unsent_bytes > MAX_UNSENT_BYTES:
            self._count_drop(DROPPED_SEND_BUFFER_FULL, address)
            return
        self.sent_count += 1
        self._transport.sendto(encode_datagram(datagram, self._secret), (address.host, address.port))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def _count_drop(self, cause: str, address: Address) -> None:
        if len(self.dropped) > MAX_DROP_CAUSES and cause not in self.dropped:
            cause = DROPPED_OTHER
        self.dropped[cause] += 1
        count = self.dropped[cause]
        if count % LOG_EVERY_DROPS == 1:
            logger.warning("fleet: a frame from {} dropped: {} ({} so far)", address, cause, count)
