"""A buffered connection: receives in place, pauses reading, and shuts down gracefully."""

from __future__ import annotations

import asyncio
import select
import socket
from typing import Protocol

from winchspan.net.receive_age import ReceiveAge
from winchspan.net.receive_buffer import ReceiveBuffer
from winchspan.net.socket_state import has_unread_input
from winchspan.runtime.poll_monitor import PollMonitor


class ConnectionContext(Protocol):
    """The parts of the courier that every connection uses."""

    poll_monitor: PollMonitor

    def now(self) -> float:
        """Return the clock's reading in ms."""


class BufferedConnection(asyncio.BufferedProtocol):
    """A connection that reads into its own buffer, and closes its sending side first.

    It is a base class rather than a wrapper, to save a function call for each read.
    """

    def __init__(self, context: ConnectionContext) -> None:
        self._context = context
        self._receive_buffer = ReceiveBuffer()
        self._receive_age = ReceiveAge(context.poll_monitor)
        self._transport: asyncio.Transport | None = None
        self._is_write_blocked = False  # written bytes wait for the peer to read them
        self._is_resume_due = False  # received bytes wait for the next cycle or a delay
        self._shut_down_at_ms: float | None = None  # received bytes are discarded since then

    # ---- receiving ---------------------------------------------------------------------------------------
    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the free part of the receive buffer."""
        return self._receive_buffer.writable()

    def mark_unread_since(self, at_ms: float) -> None:
        """Record the clock reading since which the connection has not been read."""
        self._receive_age.mark_unread_since(at_ms)

    @property
    def has_unread_bytes(self) -> bool:
        """Whether the socket holds bytes that the loop has not read yet."""
        return self._transport is not None and has_unread_input(self._transport)

    def pause_for_hand_over(self, paused: bool) -> None:
        """Pause reading during an upgrade, or resume it."""
        if not paused:
            self._update_reading()
        elif self._transport is not None and not self._transport.is_closing():
            self._pause_reading(self._transport)

    def _update_reading(self) -> None:
        """Pause reading while replies or requests are pending; resume it otherwise."""
        transport = self._transport
        if transport is None or transport.is_closing() or self._shut_down_at_ms is not None:
            return
        if self._is_write_blocked or self._is_resume_due:
            self._pause_reading(transport)
        else:
            if not transport.is_reading():
                self._receive_age.resume()
            transport.resume_reading()

    def _pause_reading(self, transport: asyncio.Transport) -> None:
        """Pause reading; input that comes meanwhile is as old as the pause."""
        if transport.is_reading():
            self._receive_age.pause()
        transport.pause_reading()

    def _is_socket_ready(self, event: int) -> bool:
        """Whether the system reports an event for the socket; False for an emulated connection."""
        sock = self._transport.get_extra_info("socket") if self._transport is not None else None
        return sock is not None and _poll_socket(sock, event)

    # ---- closing -----------------------------------------------------------------------------------------
    @property
    def is_shut_down(self) -> bool:
        """Whether the sending side has been shut down."""
        return self._shut_down_at_ms is not None

    def close(self, last_reply: bytes = b"") -> None:
        """Close the connection once all replies, including `last_reply`, have been sent.

        Shuts down only the sending side at first. Further input is read and discarded until the peer closes
        the connection or the linger time ends. Guards against a request that arrives during the close:
        closing a socket with unread bytes resets the connection, and the reset may overtake replies that
        the peer has not read. Discarded requests are not accepted, since no reply could be sent.
        """
        transport = self._transport
        if transport is None or transport.is_closing() or self._shut_down_at_ms is not None:
            return
        if last_reply:
            transport.write(last_reply)
        if not transport.can_write_eof():
            transport.close()
            return
        self._shut_down_at_ms = self._context.now()
        self._receive_buffer.start = self._receive_buffer.end
        try:
            transport.write_eof()
        except OSError:  # the peer has reset it, and the loop has not noticed yet
            transport.abort()
        else:
            transport.resume_reading()

    def abort(self) -> None:
        """Close the connection immediately."""
        if self._transport is not None:
            self._transport.abort()


def _poll_socket(sock: socket.socket, event: int) -> bool:
    """Return whether the system reports an event for a socket now."""
    poll = select.poll()
    poll.register(sock.fileno(), event)
    return bool(poll.poll(0))
