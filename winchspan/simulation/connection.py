"""One end of a connection of the emulated network.

Sources: RFC 9293, sections 3.5 (reset), 3.6 (close) and 3.8 (windows).
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Iterable
from typing import Final, Protocol, TypeAlias, cast

from winchspan.simulation.fragmentation import Fragmenter
from winchspan.simulation.link import LinkId
from winchspan.simulation.links import NetworkLinks
from winchspan.simulation.loop import EmulatedLoop
from winchspan.simulation.network_process import LOCALHOST, NetworkProcess
from winchspan.simulation.trace import ArrivalKind, NetworkTrace, Side

WINDOW_BYTES: Final = 65_536
"""Maximum of bytes that are in transit, or received and not yet read, in one direction."""

HIGH_WATER_BYTES: Final = 65_536
"""Unsent bytes in the write buffer above which `pause_writing` of the protocol is called."""


StreamProtocol: TypeAlias = asyncio.Protocol | asyncio.BufferedProtocol


class TrafficObserver(Protocol):
    """Observes all traffic of connections, at both ends of each connection."""

    def connection_opened(self, end: ConnectionEnd, port: int) -> None:
        """Handle a new end of a connection to a port."""

    def bytes_sent(self, end: ConnectionEnd, data: bytes) -> None:
        """Handle bytes that the sender's system has accepted."""

    def bytes_received(self, end: ConnectionEnd, data: bytes) -> None:
        """Handle bytes that have arrived at an end."""

    def connection_closed(self, end: ConnectionEnd, is_local_close: bool) -> None:
        """Handle that an end was closed, by its own side (`is_local_close`) or by the peer or a reset."""


class ConnectionNetwork(Protocol):
    """The interface of the network that the ends of its connections use."""

    loop: EmulatedLoop
    links: NetworkLinks
    trace: NetworkTrace
    fragmenter: Fragmenter
    observer: TrafficObserver | None

    def register_descriptor(self, end: ConnectionEnd) -> int:
        """Return a descriptor that identifies an end in a hand-over."""

    def remove_connection(self, end: ConnectionEnd) -> None:
        """Unregister a closed end."""


def reset_error(reason: str = "connection reset by peer") -> ConnectionResetError:
    """Return the error of a connection that has been reset."""
    return ConnectionResetError(errno.ECONNRESET, reason)


class ConnectionEnd(asyncio.Transport):
    """A connected socket at first, and an asyncio transport as soon as a protocol is attached.

    Attributes:
        side: side of the connection.
        host: name of the machine that has this end.
        peer: the other end.
        process: the process that owns this end; None during a hand-over.
        is_closed: whether this end is closed; it answers later arrivals with a reset.
        last_arrival_ns: arrival time of the latest sent data at the other end.
    """

    def __init__(self, network: ConnectionNetwork, connection_number: int, side: Side, host: str) -> None:
        super().__init__()
        self.side = side
        self.host = host
        self.peer: ConnectionEnd
        self.process: NetworkProcess | None = None
        self.is_closed = False
        self.last_arrival_ns = 0
        self._network = network
        self._connection_number = connection_number
        self._protocol: StreamProtocol | None = None
        self._is_reading_paused = False
        self._is_closing = False
        self._is_writing_paused = False  # `pause_writing` was called, and `resume_writing` was not
        self._receive_buffer = bytearray()  # received bytes that the protocol has not read
        self._is_end_of_stream = False  # the peer has closed its end
        self._is_read_scheduled = False
        self._send_buffer = bytearray()  # written bytes that the system has not accepted
        self._unacknowledged_bytes = 0  # accepted by the system, and not yet read by the peer
        self._sent_bytes = 0
        self._received_bytes = 0
        self._acknowledged_bytes = 0  # of the sent ones, by segments that have arrived
        self._high_water_bytes = HIGH_WATER_BYTES

    # ---- ownership ---------------------------------------------------------------------------------------
    @property
    def descriptor(self) -> int:
        """A unique number that identifies this end in the trace and in a hand-over."""
        return self._connection_number << 1 | self.side

    @property
    def unacknowledged_bytes(self) -> int:
        """Number of written bytes that no arrived segment acknowledges."""
        return self._sent_bytes - self._acknowledged_bytes + len(self._send_buffer)

    @property
    def link(self) -> LinkId:
        """The link that carries sent data."""
        return LinkId(self.host, self.peer.host)

    def attach(self, process: NetworkProcess, protocol: StreamProtocol) -> None:
        """Attach a protocol; data that has already arrived is delivered in the next tick."""
        self.process = process
        self._protocol = protocol
        protocol.connection_made(self)
        if self.is_closed:  # it was reset during the hand-over
            self._network.loop.call_soon(self._notify_lost, reset_error("reset while it was handed over"))
        self._schedule_read()

    def detach(self) -> None:
        """Detach the protocol: events are not delivered until another protocol is attached."""
        self.process = None
        self._protocol = None
        self._is_reading_paused = False

    def setblocking(self, flag: bool) -> None:
        """Do nothing: operations of an emulated connection never block."""

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Return information on the connection.

        Args:
            name: `descriptor` for the number that identifies this end in a hand-over; `unread` for a function
                that returns whether the protocol has not read everything that has arrived, an end of stream
                included; `peer_closed` for a function that returns whether the peer is closed, even if this
                end has not yet been notified; `unacknowledged` for a function that returns the number of
                written bytes that no arrived segment acknowledges (RFC 9293, 3.4); `peername` or `sockname`
                for an address.
            default: return value for any other name.
        """
        if name == "descriptor":
            return self._network.register_descriptor(self)
        if name == "unread":
            return lambda: bool(self._receive_buffer) or self._is_end_of_stream or self.is_closed
        if name == "peer_closed":
            return lambda: self.peer.is_closed
        if name == "unacknowledged":
            return lambda: self.unacknowledged_bytes
        return (LOCALHOST, 0) if name in ("peername", "sockname") else default

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Replace the protocol."""
        self._protocol = cast("StreamProtocol", protocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol."""
        assert self._protocol is not None
        return self._protocol

    @property
    def _can_notify_protocol(self) -> bool:
        return self._protocol is not None and self.process is not None and self.process.is_alive

    # ---- writing -----------------------------------------------------------------------------------------
    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the buffer size in bytes above which `pause_writing` of the protocol is called."""
        self._high_water_bytes = HIGH_WATER_BYTES if high is None else high

    def get_write_buffer_size(self) -> int:
        """Return the number of written bytes that the system has not accepted yet."""
        return len(self._send_buffer)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write data; bytes that the system does not accept at once are buffered and written later."""
        if self._is_closing or self.is_closed or not data:
            return
        self._send_buffer += data
        self._flush()
        if len(self._send_buffer) > self._high_water_bytes and not self._is_writing_paused:
            self._is_writing_paused = True
            assert self._protocol is not None
            self._protocol.pause_writing()

    def writelines(self, list_of_data: Iterable[bytes | bytearray | memoryview]) -> None:
        """Write the concatenation of several byte strings."""
        self.write(b"".join(list_of_data))

    def can_write_eof(self) -> bool:
        """Return False: closing a single direction is not emulated."""
        return False

    def _flush(self) -> None:
        """Pass as many buffered bytes to the system as fit into the window."""
        available_bytes = min(len(self._send_buffer), WINDOW_BYTES - self._unacknowledged_bytes)
        if available_bytes > 0:
            self._send_piece(available_bytes)
        if not self._send_buffer:
            self._on_send_buffer_empty()

    def _send_piece(self, available_bytes: int) -> None:
        size = self._network.fragmenter.piece_size(available_bytes)
        piece = bytes(self._send_buffer[:size])
        del self._send_buffer[:size]
        self._unacknowledged_bytes += size
        self._sent_bytes += size
        acknowledgement = self._received_bytes
        if self._network.observer is not None:
            self._network.observer.bytes_sent(self, piece)
        self.last_arrival_ns = self._network.links.transmit(
            self.link,
            size,
            lambda: self.peer.receive(piece, acknowledgement),
            not_before_ns=self.last_arrival_ns,
        )
        if size < available_bytes:
            self._network.loop.call_soon(self._continue_writing)

    def _on_send_buffer_empty(self) -> None:
        if self._is_writing_paused:
            self._is_writing_paused = False
            if self._can_notify_protocol:
                assert self._protocol is not None
                self._protocol.resume_writing()
        if self._is_closing and not self.is_closed:
            self._finish_closing()

    def _continue_writing(self) -> None:
        if self.process is not None and self.process.defer_while_suspended(self._continue_writing):
            return
        if not self.is_closed and self._send_buffer:
            self._flush()

    # ---- closing -----------------------------------------------------------------------------------------
    def is_closing(self) -> bool:
        """Return whether this end is closed or about to close."""
        return self._is_closing or self.is_closed

    def close(self) -> None:
        """Close once all written bytes are accepted; a close with unread data is a reset (RFC 9293, 3.6)."""
        if self._is_closing or self.is_closed:
            return
        self._is_closing = True
        if not self._send_buffer:
            self._finish_closing()

    def abort(self) -> None:
        """Close immediately with a reset."""
        if self.is_closed:
            return
        self._send_buffer.clear()
        self._mark_closed(None)
        self._send_reset()

    def close_for_ended_process(self) -> None:
        """Close as the system does after the owner's process has ended; its protocol is not notified."""
        self._protocol = None
        if not self.is_closed:
            self._send_buffer.clear()
            self._finish_closing()

    def _finish_closing(self) -> None:
        if self._receive_buffer:
            self.abort()
            return
        self._mark_closed(None)
        self.last_arrival_ns = self._network.links.transmit(
            self.link, 0, self.peer.receive_end_of_stream, not_before_ns=self.last_arrival_ns
        )

    def _send_reset(self) -> None:
        self._network.links.transmit(self.link, 0, lambda: self.peer.receive_reset(reset_error()))

    def _mark_closed(self, error: Exception | None) -> None:
        self.is_closed = True
        self._is_closing = True
        if self._network.observer is not None:
            self._network.observer.connection_closed(self, error is None and not self._is_end_of_stream)
        self._receive_buffer.clear()
        self._network.remove_connection(self)
        if self._protocol is not None:
            self._network.loop.call_soon(self._notify_lost, error)

    def _notify_lost(self, error: Exception | None) -> None:
        if self.process is not None and self.process.defer_while_suspended(lambda: self._notify_lost(error)):
            return
        if self._can_notify_protocol:
            assert self._protocol is not None
            self._protocol.connection_lost(error)

    # ---- arrivals ----------------------------------------------------------------------------------------
    def receive(self, data: bytes, acknowledgement: int) -> None:
        """Handle arriving bytes; a closed end answers them with a reset (RFC 9293, 3.5).

        Args:
            data: the bytes.
            acknowledgement: number of bytes that the peer had received when it sent them.
        """
        if self.is_closed:
            if not self.peer.is_closed:
                self._send_reset()
            return
        self._received_bytes += len(data)
        self._acknowledged_bytes = max(self._acknowledged_bytes, acknowledgement)
        self._record(ArrivalKind.DATA, data)
        if self._network.observer is not None:
            self._network.observer.bytes_received(self, data)
        self._receive_buffer += data
        self._schedule_read()

    def receive_end_of_stream(self) -> None:
        """Handle that the peer has closed its end."""
        if not self.is_closed:
            self._record(ArrivalKind.END_OF_STREAM)
            self._is_end_of_stream = True
            self._schedule_read()

    def receive_reset(self, error: Exception) -> None:
        """Handle a reset: unread data is lost."""
        if not self.is_closed:
            self._record(ArrivalKind.RESET)
            self._send_buffer.clear()
            self._mark_closed(error)

    def _record(self, kind: ArrivalKind, data: bytes = b"") -> None:
        self._network.trace.record_arrival(self._network.loop.ns, self.descriptor, kind, data)

    # ---- reading -----------------------------------------------------------------------------------------
    @property
    def has_unread_data(self) -> bool:
        """Whether received bytes are about to be delivered to the protocol."""
        is_readable = not (self._is_reading_paused or self._is_closing)
        return bool(self._receive_buffer) and self._protocol is not None and is_readable

    def pause_reading(self) -> None:
        """Stop delivering data to the protocol until `resume_reading`."""
        self._is_reading_paused = True

    def resume_reading(self) -> None:
        """Resume delivering data to the protocol."""
        self._is_reading_paused = False
        self._schedule_read()

    def is_reading(self) -> bool:
        """Return whether arriving bytes are delivered to the protocol."""
        return not self._is_reading_paused and not self._is_closing

    def _schedule_read(self) -> None:
        if not self._is_read_scheduled and self._protocol is not None:
            self._is_read_scheduled = True
            self._network.loop.call_soon(self._read)

    def _read(self) -> None:
        """Deliver one piece of the received bytes to the protocol."""
        if self.process is not None and self.process.defer_while_suspended(self._read):
            return
        self._is_read_scheduled = False
        if self._is_reading_paused or self._is_closing or not self._can_notify_protocol:
            return
        assert self._protocol is not None
        if self._receive_buffer:
            self._deliver_piece(self._protocol)
            self._schedule_read()
        elif self._is_end_of_stream and not self._protocol.eof_received():
            self.close()

    def _deliver_piece(self, protocol: StreamProtocol) -> None:
        size = self._network.fragmenter.piece_size(len(self._receive_buffer))
        if isinstance(protocol, asyncio.BufferedProtocol):
            target = memoryview(protocol.get_buffer(-1))
            size = min(size, len(target))
            target[:size] = self._receive_buffer[:size]
            del self._receive_buffer[:size]
            self.peer.on_bytes_read(size)
            protocol.buffer_updated(size)
        else:
            data = bytes(self._receive_buffer[:size])
            del self._receive_buffer[:size]
            self.peer.on_bytes_read(size)
            protocol.data_received(data)

    def on_bytes_read(self, size: int) -> None:
        """Handle that the peer has read `size` bytes, which opens the window for as many (RFC 9293, 3.8)."""
        self._unacknowledged_bytes -= size
        if self._send_buffer and not self.is_closed:
            self._network.loop.call_soon(self._continue_writing)
