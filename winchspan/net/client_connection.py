"""One client's connection: RESP2 requests in, replies out."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from winchspan.net import resp
from winchspan.net.buffered_connection import BufferedConnection, ConnectionContext
from winchspan.net.request_executor import (
    MAX_REQUESTS_PER_CYCLE,
    RequestBatch,
    RequestContext,
    RequestExecutor,
)
from winchspan.runtime.system import file_descriptor

REPLICATION_LIMIT_MS: Final = 350.0
"""Time to replicate an accepted message, below the 400 ms that a client waits for its reply."""

MAX_BAD_REQUESTS: Final = 16
"""Number of bad requests after which a connection is closed."""

BAD_REQUEST_DELAY_MS: Final = 100.0
"""Time for which a connection is not read after a bad request."""

IDLE_LIMIT_MS: Final = 2_100.0
"""Idle time after which a connection is closed, a little above the time that it must stay open."""

REQUEST_LIMIT_MS: Final = 1_000.0
"""Time from the first byte of a request to its last; the client waits 400 ms for the reply."""

READ_LIMIT_MS: Final = 3_000.0
"""Time for a client to read its replies."""

CLIENT_REPLY_TIMEOUT_MS: Final = 400.0
"""Time that a client waits for a reply before it closes its connection."""

SILENT_AFTER_MS: Final = 300.0
"""Time without a complete request after which a connection may be evicted."""

LINGER_MS: Final = 300.0
"""Time after the sending side is shut down, in which bytes in flight from the client are discarded."""


class ClientConnectionState(NamedTuple):
    """The state of a client connection that an upgrade transfers together with the descriptor.

    Attributes:
        unread: received bytes, beginning with the first request without a reply.
        has_answered: whether any request has been answered.
        bad_request_count: number of bad requests.
        active_since_ms: clock reading of the accept, the last reply, or the begin of the incomplete request,
            whichever is the latest.
        received_after_ms: clock reading after which the bytes that it has not processed or not read were
            received; None: not known.
    """

    unread: bytes
    has_answered: bool
    bad_request_count: int
    active_since_ms: float
    received_after_ms: float | None = None


class ConnectionRegistry(RequestContext, ConnectionContext, Protocol):
    """The parts of the courier that a client connection uses."""

    is_closing_idle: bool

    def next_use(self) -> int:
        """Return the next number of a sequence that counts uses of all connections."""

    def call_later(self, delay: float, action: Callable[[], None]) -> None:
        """Call `action` after `delay` ms, and after the loop has processed its pending events."""

    def remove(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""

    def count_receive_buffer(self, added_bytes: int) -> None:
        """Count memory for incomplete requests; may close connections to limit it."""


class ClientConnection(BufferedConnection):
    """One client's connection. Requests are answered immediately, in the order of arrival.

    Attributes:
        handle: the connection's number in the registry.
        last_use: sequence number of the last use, counted over all connections.
    """

    def __init__(self, registry: ConnectionRegistry) -> None:
        super().__init__(registry)
        self._registry = registry
        self._requests = RequestExecutor(registry)
        self._unsent_handles: list[int] = []  # messages whose reply the kernel has not fully taken
        self._has_answered = False  # clients resend a request lost in a close only then
        self._is_replicating = False  # the reply waits for the replication of its message
        self._replicating_handle = -1
        self._active_since_ms = registry.now()
        self._counted_buffer_bytes = 0  # memory of the receive buffer that the registry has counted
        self.handle = 0
        self.last_use = 0

    # ---- callbacks of the loop ---------------------------------------------------------------------------
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to read."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._receive_age.resume()
        transport.set_write_buffer_limits(high=0)
        self._count_receive_buffer()
        if len(self._receive_buffer):  # bytes that another process has read
            self._is_resume_due = True
            self._registry.call_later(0.0, self._resume)

    def connection_lost(self, exc: Exception | None) -> None:
        """Withdraw the messages whose reply has not been fully sent."""
        self._registry.remove(self)
        self.release_receive_buffer()
        for handle in self._unsent_handles:
            self._registry.intake.withdraw(handle)
        self._unsent_handles.clear()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the free part of the receive buffer, within the limit of all connections together."""
        free = super().get_buffer(sizehint)
        if self._receive_buffer.extra_bytes == self._counted_buffer_bytes:
            return free
        self._count_receive_buffer()
        return super().get_buffer(sizehint)  # this connection may have been evicted

    def release_receive_buffer(self) -> None:
        """Discard the received bytes and the memory for them, since no request will be read any more."""
        self._receive_buffer.clear()
        self._count_receive_buffer()

    def _count_receive_buffer(self) -> None:
        """Have the registry count what the receive buffer has grown or shrunk by."""
        added_bytes = self._receive_buffer.extra_bytes - self._counted_buffer_bytes
        self._counted_buffer_bytes += added_bytes
        self._registry.count_receive_buffer(added_bytes)

    def pause_writing(self) -> None:
        """Stop reading: guards against a client that sends requests and never reads replies."""
        self._is_write_blocked = True
        self._active_since_ms = self._registry.now()
        self._update_reading()

    def resume_writing(self) -> None:
        """Resume reading: the kernel has taken all replies."""
        self._unsent_handles.clear()
        self._is_write_blocked = False
        self._active_since_ms = self._registry.now()
        self._update_reading()

    def buffer_updated(self, nbytes: int) -> None:
        """Process the complete requests."""
        buffer = self._receive_buffer
        if self._shut_down_at_ms is not None:  # the client resends them on a new connection
            buffer.start = buffer.end
            return
        if not len(buffer):
            self._active_since_ms = self._registry.now()
        buffer.end += nbytes
        self._receive_age.record_receive(may_have_more=buffer.end == len(buffer.data))
        if not self._is_resume_due and not self._is_write_blocked:
            self._process_requests()

    def _resume(self) -> None:
        """Process the requests that have waited, and resume reading."""
        self._is_resume_due = False
        if not self._is_write_blocked:
            self._process_requests()
        self._update_reading()

    # ---- requests ----------------------------------------------------------------------------------------
    def _process_requests(self) -> None:
        """Process a batch of requests; later ones wait until other connections have been served."""
        transport = self._transport
        if transport is None or transport.is_closing() or self._shut_down_at_ms is not None:
            return
        age_ms = max(0.0, self._registry.now() - self._receive_age.received_after_ms)
        has_client_closed = self._has_client_closed()
        if age_ms >= CLIENT_REPLY_TIMEOUT_MS and has_client_closed:
            transport.abort()
            return
        bad_request_count = self.bad_request_count
        batch = self._requests.execute_batch(self._receive_buffer, age_ms, may_submit=not has_client_closed)
        if batch.is_replicating:
            self._is_replicating = True
            self._begin_replication(batch.replies[:-1], batch.handles)
            return
        if batch.replies:
            self._write_replies(transport, batch)
        has_bad_request = self.bad_request_count > bad_request_count
        is_drained = self._registry.is_closing_idle and not len(self._receive_buffer)
        if batch.is_protocol_broken or self.bad_request_count >= MAX_BAD_REQUESTS or is_drained:
            self.close()
        elif has_bad_request or batch.request_count == MAX_REQUESTS_PER_CYCLE:
            self._is_resume_due = True
            self._update_reading()
            self._registry.call_later(BAD_REQUEST_DELAY_MS if has_bad_request else 0.0, self._resume)

    def _write_replies(self, transport: asyncio.Transport, batch: RequestBatch) -> None:
        """Write the replies, and record the messages whose reply the kernel has not fully taken."""
        self._record_use()
        transport.writelines(batch.replies)
        # If the connection was lost during the write, no reply has been sent.
        written = 0 if transport.is_closing() else batch.size - transport.get_write_buffer_size()
        for handle, end in zip(batch.handles, batch.reply_ends, strict=True):
            if end > written:
                self._unsent_handles.append(handle)

    def _record_use(self) -> None:
        self._has_answered = True
        self._active_since_ms = self._registry.now()
        self.last_use = self._registry.next_use()

    def _has_client_closed(self) -> bool:
        """Return whether the client has closed the connection, or its sending side.

        Guards against requests whose client has left before they were read: it does not get the reply, and
        may have submitted the message elsewhere.
        """
        return self._is_socket_ready(select.POLLRDHUP)

    # ---- replication -------------------------------------------------------------------------------------
    def _begin_replication(self, replies: list[bytes], handles: list[int]) -> None:
        """Replicate the message that was accepted last before its reply is sent."""
        assert self._transport is not None and self._registry.replication is not None
        self._record_use()
        if replies:
            self._transport.writelines(replies)
        self._unsent_handles.extend(handles)  # withdrawn if the client disconnects before its reply
        self._is_resume_due = True
        self._update_reading()
        handle = handles[-1]
        self._replicating_handle = handle
        self._registry.replication.when_replicated(
            lambda: self._finish_replication(handle, resp.simple_string("OK")),
            lambda: self._finish_replication(handle, resp.error_reply("BUSY")),
        )
        if self._is_replicating:
            self._registry.call_later(REPLICATION_LIMIT_MS, lambda: self._replication_timed_out(handle))

    def _replication_timed_out(self, handle: int) -> None:
        """Reject the message, since no replica has confirmed it in time.

        A message that may run only once gets no reply instead: a replica node may hold it and deliver it, so
        that submitting it again could execute it twice. A missing reply tells the client that the outcome is
        unknown.
        """
        is_current = self._is_replicating and handle == self._replicating_handle
        if is_current and not self._registry.intake.is_at_most_once(handle):
            self._registry.intake.withdraw(handle)
            self._finish_replication(handle, resp.error_reply("BUSY"))

    def _finish_replication(self, handle: int, reply: bytes) -> None:
        """Send the pending reply, once the message is replicated or the time for it is over."""
        if not self._is_replicating or handle != self._replicating_handle:
            return
        self._is_replicating = False
        transport = self._transport
        if transport is None or transport.is_closing() or self._shut_down_at_ms is not None:
            return
        if self._has_client_closed() and not self._registry.intake.is_at_most_once(handle):
            self._registry.intake.withdraw(handle)  # nobody would hear that it is accepted
            reply = resp.error_reply("BUSY")
        self._active_since_ms = self._registry.now()
        transport.writelines((reply,))
        if not transport.get_write_buffer_size():
            self._unsent_handles.clear()
        self._registry.call_later(0.0, self._resume)

    # ---- state for the listener --------------------------------------------------------------------------
    @property
    def bad_request_count(self) -> int:
        """Number of bad requests on this connection."""
        return self._requests.bad_request_count

    @property
    def has_partial_request(self) -> bool:
        """Whether an incomplete request has been received."""
        return len(self._receive_buffer) > 0 or self._requests.has_partial_request

    @property
    def has_large_partial_request(self) -> bool:
        """Whether it waits for the rest of a request that occupies more than the smallest buffer.

        It does not if complete requests wait in the buffer, or a reply: those have to be answered themselves.
        """
        if self._is_resume_due or self._is_write_blocked or self._shut_down_at_ms is not None:
            return False
        return self._counted_buffer_bytes > 0 and self.has_partial_request

    @property
    def has_unread_replies(self) -> bool:
        """Whether its client does not read replies, while received bytes occupy a large buffer."""
        return self._counted_buffer_bytes > 0 and self._is_write_blocked

    @property
    def active_since_ms(self) -> float:
        """Clock reading of the accept, the last reply, or the begin of the incomplete request."""
        return self._active_since_ms

    def is_closable(self) -> bool:
        """Return whether it is between two requests; a client does not resend its first request."""
        if self._transport is None or self.has_partial_request or self._is_resume_due:
            return False
        return self._shut_down_at_ms is None and self._has_answered

    def is_awaiting_first_request(self, now_ms: float) -> bool:
        """Return whether the client has sent no request yet, and is still within its reply timeout."""
        if self._has_answered or self._shut_down_at_ms is not None:
            return False
        return now_ms - self._active_since_ms < CLIENT_REPLY_TIMEOUT_MS

    def is_silent(self, now_ms: float) -> bool:
        """Return whether the client has sent no complete request for longer than a request takes."""
        if now_ms - self._active_since_ms <= SILENT_AFTER_MS or self._shut_down_at_ms is not None:
            return False
        return self.has_partial_request or not self._has_answered

    # ---- closing -----------------------------------------------------------------------------------------
    def close_if_expired(self, now_ms: float) -> None:
        """Close the connection if it has exceeded a time limit.

        Guards against clients that occupy a descriptor without sending a request, send only part of one, or
        never read their replies.
        """
        transport = self._transport
        if transport is None:
            return
        age_ms = now_ms - self._active_since_ms
        if self._shut_down_at_ms is not None:
            limit_ms = READ_LIMIT_MS if self._is_write_blocked else LINGER_MS
            if now_ms - self._shut_down_at_ms >= limit_ms:
                transport.abort()
        elif self._is_resume_due:
            return
        elif self._is_write_blocked or transport.is_closing():
            if age_ms >= READ_LIMIT_MS:
                transport.abort()
        elif self.has_partial_request and age_ms >= REQUEST_LIMIT_MS:
            self.close(resp.error_reply("ERR Protocol error: the request did not come whole"))
        elif age_ms >= self._idle_limit_ms() and not self.has_unread_bytes:
            self.close()

    def _idle_limit_ms(self) -> float:
        return SILENT_AFTER_MS if self._registry.is_out_of_service else IDLE_LIMIT_MS

    def evict(self) -> None:
        """Close it to make room for waiting clients; an incomplete request gets a `BUSY` reply."""
        if self.has_partial_request:
            self.close(resp.error_reply("BUSY"))
            self.release_receive_buffer()
        elif self._transport is not None and not self.has_unread_bytes:
            self._transport.close()

    # ---- upgrade -----------------------------------------------------------------------------------------
    @property
    def is_transferable(self) -> bool:
        """Whether it can be transferred: the kernel has taken all its replies."""
        transport = self._transport
        if transport is None or transport.is_closing() or self._shut_down_at_ms is not None:
            return False
        return not self._unsent_handles and not transport.get_write_buffer_size()

    def export_state(self) -> tuple[int, ClientConnectionState]:
        """Return the descriptor and the state for the next process."""
        assert self._transport is not None
        buffer = self._receive_buffer
        state = ClientConnectionState(
            unread=bytes(buffer.data[buffer.start : buffer.end]),
            has_answered=self._has_answered,
            bad_request_count=self.bad_request_count,
            active_since_ms=self._active_since_ms,
            received_after_ms=self._received_after_ms(),
        )
        return file_descriptor(self._transport), state

    def _received_after_ms(self) -> float:
        """Return the clock reading after which the unprocessed and the unread bytes were received."""
        if self._is_resume_due or self._is_write_blocked:
            return self._receive_age.paused_since_ms
        if len(self._receive_buffer):
            return self._receive_age.received_after_ms
        return self._receive_age.unread_since_ms

    def import_state(self, state: ClientConnectionState) -> None:
        """Restore the state that another process has exported."""
        self._receive_buffer.restore(state.unread)
        self._has_answered = state.has_answered
        self._requests.bad_request_count = state.bad_request_count
        self._active_since_ms = state.active_since_ms
