"""One connection to an HTTP server, which carries one call at a time.

This layer does not retry. Each call gets exactly one `HttpCallResult`, once its connection is closed or idle
again.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from winchspan.net.http import ResponseParser
from winchspan.net.http_call import HttpCall, HttpCallOutcome, HttpCallResult, HttpCallState, HttpPeer
from winchspan.net.response_reader import ReaderContext, ResponseReader
from winchspan.net.socket_state import has_unread_input
from winchspan.runtime.system import file_descriptor
from winchspan.runtime.timers import Timer


class ConnectionOwner(ReaderContext, Protocol):
    """The parts of the pool that a connection uses."""

    partially_written: set[HttpConnection]

    def release(self, connection: HttpConnection, idle_limit_ms: float | None = None) -> None:
        """Add a connection to the idle ones."""

    def remove(self, connection: HttpConnection) -> None:
        """Remove a closed connection."""

    def assign(self, call: HttpCall, peer: HttpPeer) -> None:
        """Give a call another connection."""


class HttpConnection(asyncio.BufferedProtocol):
    """One connection: connecting, idle, busy with one call, or closed.

    Attributes:
        peer: the server.
        call: the call that the connection carries; None: idle.
        handle: the connection's number in the pool.
        is_written: whether the kernel has taken the last byte of the request.
        is_adopted: whether another process has opened the connection.
        is_closing_after_call: whether it is closed after its call, since its peer is being drained.
        idle_limit_ms: idle time of an adopted connection until it is retired; None: the pool's limit.
        retire_timer: closes the connection at the end of its idle time.
        is_closed: whether it is closed.
    """

    def __init__(self, pool: ConnectionOwner, peer: HttpPeer) -> None:
        self._pool = pool
        self.peer = peer
        self.idle_limit_ms: float | None = None
        self.is_adopted = False
        self.is_closing_after_call = False
        self.handle = 0
        self._socket: socket.socket | None = None  # adopted, and not yet owned by the loop
        self.call: HttpCall | None = None
        self.retire_timer: Timer | None = None
        self._reader = ResponseReader(pool, peer, self._finish_response)
        self._settle_timer: Timer | None = None  # the call waits for it
        self._transport: asyncio.Transport | None = None
        self._connecting: asyncio.Task[None] | None = None
        self.is_written = False
        self.is_closed = False

    # ---- lifetime -----------------------------------------------------------------------------------------
    def connect(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start to connect, for the call that is set."""
        self._loop = loop
        self._connecting = loop.create_task(self._connect(loop))

    async def _connect(self, loop: asyncio.AbstractEventLoop) -> None:
        try:
            await loop.create_connection(lambda: self, self.peer.address.host, self.peer.address.port)
        except OSError:
            self._close()

    def adopt(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        """Take over a connection that another process has opened."""
        self._loop = loop
        self._socket = sock
        self._connecting = loop.create_task(self._adopt(loop, sock))

    async def _adopt(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        self._socket = None  # the loop closes it from now on
        try:
            await loop.connect_accepted_socket(lambda: self, sock)
        except OSError:
            self.is_written = True  # by the process that opened it
            self._close()

    def abort(self) -> None:
        """Close the connection immediately."""
        if self._transport is not None:
            self._transport.abort()
        elif self._connecting is not None:
            if self._socket is not None:  # adopted, and aborted before the loop owns it
                self._socket.close()
            self._connecting.cancel()
            self._loop.call_soon(self._close)  # a task cancelled before its first step never calls it

    def start_call(self, call: HttpCall) -> None:
        """Write a call on this idle connection, once it has settled."""
        self.call = call
        call.connection = self
        self._cancel_retirement()
        if self._reader.order.settled_at_ms <= self._pool.now():
            self._write()
            return
        self.is_written = False
        self._settle_timer = self._pool.call_at(self._reader.order.settled_at_ms, self._write_settled)

    def _cancel_retirement(self) -> None:
        if self.retire_timer is not None:
            self.retire_timer.cancel()
            self.retire_timer = None

    def _write_settled(self) -> None:
        """Write the call that has waited, unless surplus bytes have arrived meanwhile."""
        self._settle_timer = None
        if self.call is None or self.call.forced_outcome is not None:
            return
        if not self.has_unread_input():
            self._write()
            return
        self._pass_call_on(self.call)
        self.close_after_reading()

    def close_after_reading(self) -> None:
        """Close the connection once it has read the input that has arrived, which may ask for a wait."""
        self.call_after_next_poll(self.abort)

    def _pass_call_on(self, call: HttpCall) -> None:
        """Give the call, of which nothing is written, another connection."""
        if self._settle_timer is not None:
            self._settle_timer.cancel()
            self._settle_timer = None
        self.call = None
        self._pool.assign(call, self.peer)

    @property
    def is_established(self) -> bool:
        """Whether the connection is established."""
        return self._transport is not None

    @property
    def is_partially_written(self) -> bool:
        """Whether the kernel has taken some bytes of the request, but not all."""
        return self in self._pool.partially_written

    @property
    def has_held_response(self) -> bool:
        """Whether the response of its call has come, and may belong to an earlier one."""
        return self._reader.order.held is not None

    def accept_held_response(self) -> None:
        """Complete its call with the response that is held; has no effect without one.

        The connection is closed then: a second response may still come.
        """
        if self.call is not None and self.has_held_response:
            self._reader.is_out_of_order = True
            self._reader.accept_held(self.call)

    def has_unread_input(self) -> bool:
        """Return whether the loop has not yet read received bytes or the end of the stream.

        Guards against a duplicate of the last response, which would be read as the next response.
        """
        return self._transport is not None and has_unread_input(self._transport)

    def call_after_next_poll(self, action: Callable[[], None]) -> None:
        """Call `action` once pending input has been read: the loop runs timers after polled events."""
        self._loop.call_later(0.0, action)

    def _write(self) -> None:
        assert self.call is not None and self._transport is not None
        self.is_written = False
        if self.call.start_by_ms is not None and self._pool.now() >= self.call.start_by_ms:
            self.call.recall()  # a late loop may not have fired the timer yet
            return
        request = self.call.make_request()
        if not request:
            self.call.recall()  # all messages completed during the connect
            return
        self._reader.order.write_request(self._pool.now(), sum(map(len, request)))
        self._transport.writelines(request)
        if self._transport.get_write_buffer_size() == 0:
            self._finish_write()
        else:
            self._pool.partially_written.add(self)

    def _finish_write(self) -> None:
        """Record that the kernel has taken the whole request."""
        self.is_written = True
        self._pool.partially_written.discard(self)
        if self.call is not None and self.call.on_written is not None:
            self.call.on_written()

    def _close(self) -> None:
        """Mark the connection as closed, and complete its call."""
        if self.is_closed:
            return
        self.is_closed = True
        self._cancel_retirement()
        self._pool.partially_written.discard(self)
        self._pool.remove(self)
        held = self._reader.take_held()
        call = self.call
        if call is not None and self._settle_timer is not None and call.forced_outcome is None:
            self._pass_call_on(call)
            return
        self.call = None
        if call is not None:
            call.complete(self._result_of_close(call, held))

    def _result_of_close(self, call: HttpCall, held: ResponseParser | None) -> HttpCallResult:
        """Return the result of the call when its connection is closed, perhaps while a response is held."""
        if held is not None:
            return HttpCallResult(HttpCallOutcome.ANSWERED, held)
        if self.is_written:
            outcome = call.forced_outcome or HttpCallOutcome.CONNECTION_LOST
            return HttpCallResult(outcome, first_line_status=call.parser.first_line_status)
        if call.forced_outcome in (HttpCallOutcome.CANCELLED, HttpCallOutcome.RECALLED):
            return HttpCallResult(call.forced_outcome)
        return HttpCallResult(HttpCallOutcome.NOT_WRITTEN)

    # ---- callbacks of the loop --------------------------------------------------------------------------
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write the call that waits for the connection, or add an adopted connection to the pool."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        if self.is_adopted:
            self.is_written = True
            if self.call is None:  # not earlier: a call needs the transport
                self._reader.order.adopt(self._pool.now())
                self._pool.release(self, self.idle_limit_ms)
        elif self.call is None or self.call.forced_outcome is not None:
            transport.abort()
        else:
            self._write()

    # ---- upgrade -----------------------------------------------------------------------------------------
    @property
    def is_transferable(self) -> bool:
        """Whether it can be transferred: idle, or its call is written."""
        if self._transport is None or self._transport.is_closing() or self.is_closed:
            return False
        if self.call is None:
            return not self.is_closing_after_call
        return self.is_written and self.call.forced_outcome is None and not self.has_held_response

    def export_state(self) -> HttpCallState:
        """Return the state of its call for the next process."""
        call = self.call
        assert call is not None
        buffer = self._reader.buffer
        return HttpCallState(
            peer=self.peer,
            deadline_ms=call.timers[0].deadline_ms,
            context=call.context,
            parser=call.parser,
            unread=bytes(buffer.data[buffer.start : buffer.end]),
            response_deadline_ms=call.response_timer.deadline_ms if call.response_timer is not None else None,
            is_closing_after_call=self.is_closing_after_call,
            request_bytes=self._reader.order.request_bytes,
        )

    def import_state(self, call: HttpCall, state: HttpCallState) -> None:
        """Restore a call that another process has exported, perhaps with a part of its response."""
        self.call = call
        call.connection = self
        call.parser = state.parser
        self._reader.buffer.restore(state.unread)
        self.is_closing_after_call = state.is_closing_after_call
        self._reader.order.request_bytes = state.request_bytes
        self._reader.order.had_response = True
        if state.response_deadline_ms is not None:
            call.response_timer = self._pool.limit_response(call, state.response_deadline_ms)

    def pause_for_hand_over(self, paused: bool) -> None:
        """Pause reading during an upgrade, or resume it."""
        if self._transport is not None and not self._transport.is_closing():
            if paused:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()

    def fileno(self) -> int:
        """Return the descriptor of its socket."""
        assert self._transport is not None
        return file_descriptor(self._transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the connection and complete its call."""
        self._close()

    def resume_writing(self) -> None:
        """Record that the kernel has taken the whole request."""
        self._finish_write()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the free part of the receive buffer."""
        return self._reader.buffer.writable()

    def buffer_updated(self, nbytes: int) -> None:
        """Read the received bytes of the response."""
        self._reader.buffer.end += nbytes
        call = self.call
        if call is None or call.forced_outcome is not None:
            self._reader.read_surplus()
            self.abort()
            return
        if self._settle_timer is not None:  # surplus bytes behind the last response
            self._reader.read_surplus()
            self._pass_call_on(call)
            self.abort()
            return
        assert self._transport is not None
        self._reader.read(call, self._transport)

    def eof_received(self) -> bool:
        """Complete a response without a length, which ends with the stream."""
        if self.call is not None and self.call.forced_outcome is None:
            self._reader.read_end_of_stream(self.call)
        return False

    def _finish_response(self, call: HttpCall) -> None:
        """Complete the call, and release the connection or close it if it cannot be reused.

        A rejection completes its call with the head, so that its backoff takes effect without the body.
        """
        self.call = None
        parser = call.parser
        is_clean = self.is_written and parser.is_complete and not len(self._reader.buffer)
        is_reusable = is_clean and parser.keep_alive and not self._reader.is_out_of_order
        if is_reusable and not self.is_closing_after_call:
            self._reader.order.release(self._pool.now())
            self._pool.release(self)
        else:
            self.abort()
        call.complete(HttpCallResult(HttpCallOutcome.ANSWERED, parser))
