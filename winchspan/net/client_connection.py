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
"""For a replica of what was taken on: clients wait 400 ms for their reply."""

MAX_BAD_REQUESTS: Final = 16
"""Bad requests that close a connection."""

BAD_REQUEST_DELAY_MS: Final = 100.0
"""A connection is not read for so long after a bad request."""

IDLE_LIMIT_MS: Final = 2_100.0
"""Longer than a connection without an open request must be kept."""

REQUEST_LIMIT_MS: Final = 1_000.0
"""From a request's first byte to its last; its client waits 400 ms for the reply."""

READ_LIMIT_MS: Final = 3_000.0
"""For a client to read its replies."""

CLIENT_REPLY_TIMEOUT_MS: Final = 400.0
"""A client waits so long for a reply, and then closes its connection."""

SILENT_AFTER_MS: Final = 300.0
"""A client that has sent no complete request for so long may be evicted."""

LINGER_MS: Final = 300.0
"""After the sending side is shut down, for what is still on its way from the client."""


class ClientConnectionState(NamedTuple):
    """What one process hands to the next of a client's connection, beside its descriptor.

    Attributes:
        unread: bytes from the first byte of the first request that is not answered.
        has_answered: whether any request has been answered.
        bad_request_count: bad requests so far.
        active_since_ms: when it was accepted or last answered, or its open request began.
    """

    unread: bytes
    has_answered: bool
    bad_request_count: int
    active_since_ms: float


class ConnectionRegistry(RequestContext, ConnectionContext, Protocol):
    """All client connections, as one of them sees the rest of the courier."""

    is_closing_idle: bool

    def next_use(self) -> int:
        """Return a number that grows with each use of any connection."""

    def call_later(self, delay: float, action: Callable[[], None]) -> None:
        """Call after some ms, and after what the loop has at hand."""

    def remove(self, connection: ClientConnection) -> None:
        """Forget a connection that is closed."""


class ClientConnection(BufferedConnection):
    """One client's connection. Every request is answered at once, in the order of reading.

    Attributes:
        handle: its number in the registry.
        last_use: when it was last used, in uses of all connections.
    """

    def __init__(self, registry: ConnectionRegistry) -> None:
        super().__init__(registry)
        self._registry = registry
        self._requests = RequestExecutor(registry)
        self._unsent_handles: list[int] = []  # messages whose reply has not completely reached the system
        self._has_answered = False  # what crosses with a close is sent again only between requests
        self._is_replicating = False  # what was taken on is to be replicated before its reply is sent
        self._replicating_handle = -1
        self._active_since_ms = registry.now()
        self.handle = 0
        self.last_use = 0

    # ---- callbacks of the loop ---------------------------------------------------------------------------
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to read."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._receive_age.resume()
        transport.set_write_buffer_limits(high=0)
        if len(self._receive_buffer):  # what another process has read of it
            self._is_resume_due = True
            self._registry.call_later(0.0, self._resume)

    def connection_lost(self, exc: Exception | None) -> None:
        """Withdraw the messages whose reply the client has not got."""
        self._registry.remove(self)
        for handle in self._unsent_handles:
            self._registry.intake.withdraw(handle)
        self._unsent_handles.clear()

    def pause_writing(self) -> None:
        """Stop reading. Guards against a client that sends and never reads."""
        self._is_write_blocked = True
        self._active_since_ms = self._registry.now()
        self._update_reading()

    def resume_writing(self) -> None:
        """Read on: all replies have reached the system."""
        self._unsent_handles.clear()
        self._is_write_blocked = False
        self._active_since_ms = self._registry.now()
        self._update_reading()

    def buffer_updated(self, nbytes: int) -> None:
        """Answer the requests that are complete."""
        buffer = self._receive_buffer
        if self._shut_down_at_ms is not None:  # its client sends it once more, on a new connection
            buffer.start = buffer.end
            return
        if not len(buffer):
            self._active_since_ms = self._registry.now()
        buffer.end += nbytes
        self._receive_age.record_receive(may_have_more=buffer.end == len(buffer.data))
        if not self._is_resume_due and not self._is_write_blocked:
            self._process_requests()

    def _resume(self) -> None:
        """Go on with requests that have waited."""
        self._is_resume_due = False
        if not self._is_write_blocked:
            self._process_requests()
        self._update_reading()

    # ---- requests ----------------------------------------------------------------------------------------
    def _process_requests(self) -> None:
        """Answer some requests; the rest of a flood waits until other connections have been served."""
        transport = self._transport
        if transport is None or transport.is_closing() or self._shut_down_at_ms is not None:
            return
        age_ms = max(0.0, self._registry.now() - self._receive_age.received_after_ms)
        if age_ms >= CLIENT_REPLY_TIMEOUT_MS and self._has_client_closed():
            transport.abort()
            return
        bad_request_count = self.bad_request_count
        batch = self._requests.execute_batch(self._receive_buffer, age_ms)
        if batch.is_replicating:
            self._is_replicating = True
            self._begin_replication(batch.replies[:-1], batch.handles)
            return
        if batch.replies:
            self._write_replies(transport, batch)
        has_bad_request = self.bad_request_count > bad_request_count
        is_over = self._registry.is_closing_idle and not len(self._receive_buffer)
        if batch.is_protocol_broken or self.bad_request_count >= MAX_BAD_REQUESTS or is_over:
            self.close()
        elif has_bad_request or batch.request_count == MAX_REQUESTS_PER_CYCLE:
            self._is_resume_due = True
            self._update_reading()
            self._registry.call_later(BAD_REQUEST_DELAY_MS if has_bad_request else 0.0, self._resume)

    def _write_replies(self, transport: asyncio.Transport, batch: RequestBatch) -> None:
        """Write the replies, and remember the messages whose reply the system has not completely taken."""
        self._note_use()
        transport.writelines(batch.replies)
        # If the connection was lost in the write, nobody has heard any of it.
        written = 0 if transport.is_closing() else batch.size - transport.get_write_buffer_size()
        for handle, end in zip(batch.handles, batch.reply_ends, strict=True):
            if end > written:
                self._unsent_handles.append(handle)

    def _note_use(self) -> None:
        self._has_answered = True
        self._active_since_ms = self._registry.now()
        self.last_use = self._registry.next_use()

    def _has_client_closed(self) -> bool:
        """Whether its client has closed the connection.

        Guards against requests that were read late, of clients that have waited in vain: they are handed in
        elsewhere by now, and what would be delivered here counts for nothing.
        """
        return self._is_socket_ready(select.POLLRDHUP)

    # ---- replication -------------------------------------------------------------------------------------
    def _begin_replication(self, replies: list[bytes], handles: list[int]) -> None:
        """Have what was taken on last replicated before its client hears of it."""
        assert self._transport is not None and self._registry.replication is not None
        self._note_use()
        if replies:
            self._transport.writelines(replies)
        self._unsent_handles.extend(handles)  # if the client leaves before, nothing is owed
        self._is_resume_due = True
        self._update_reading()
        handle = handles[-1]
        self._replicating_handle = handle
        self._registry.replication.secure(
            lambda: self._finish_replication(handle, resp.simple_string("OK")),
            lambda: self._finish_replication(handle, resp.error_reply("BUSY")),
        )
        if self._is_replicating:
            self._registry.call_later(REPLICATION_LIMIT_MS, lambda: self._replication_timed_out(handle))

    def _replication_timed_out(self, handle: int) -> None:
        """Reject what no replica is known of: its client is not left to wait in vain.

        But for a message that may run once only: a replica node may have it and go on with it, so that
        handing it in again would not be harmless. Its client hears nothing, and knows what that means.
        """
        is_current = self._is_replicating and handle == self._replicating_handle
        if is_current and not self._registry.intake.runs_once(handle):
            self._registry.intake.withdraw(handle)
            self._finish_replication(handle, resp.error_reply("BUSY"))

    def _finish_replication(self, handle: int, reply: bytes) -> None:
        """Reply: what was taken on is replicated, or is not to be waited for any more."""
        if not self._is_replicating or handle != self._replicating_handle:
            return
        self._is_replicating = False
        transport = self._transport
        if transport is None or transport.is_closing() or self._shut_down_at_ms is not None:
            return
        self._active_since_ms = self._registry.now()
        transport.writelines((reply,))
        if not transport.get_write_buffer_size():
            self._unsent_handles.clear()
        self._registry.call_later(0.0, self._resume)

    # ---- its state, as the listener sees it --------------------------------------------------------------
    @property
    def bad_request_count(self) -> int:
        """Bad requests so far."""
        return self._requests.bad_request_count

    @property
    def has_partial_request(self) -> bool:
        """Whether part of a request has come."""
        return len(self._receive_buffer) > 0 or self._requests.has_partial_request

    @property
    def active_since_ms(self) -> float:
        """When it was accepted or last answered, or its open request began."""
        return self._active_since_ms

    def is_closable(self) -> bool:
        """Return whether it is between two requests; before the first one its client would not ask again."""
        if self._transport is None or self.has_partial_request or self._is_resume_due:
            return False
        return self._shut_down_at_ms is None and self._has_answered

    def is_awaiting_first_request(self, now_ms: float) -> bool:
        """Return whether it has asked for nothing yet, and its client may still be about to."""
        if self._has_answered or self._shut_down_at_ms is not None:
            return False
        return now_ms - self._active_since_ms < CLIENT_REPLY_TIMEOUT_MS

    def is_silent(self, now_ms: float) -> bool:
        """Return whether its client has sent no complete request for longer than one takes."""
        if now_ms - self._active_since_ms <= SILENT_AFTER_MS or self._shut_down_at_ms is not None:
            return False
        return self.has_partial_request or not self._has_answered

    # ---- its end -----------------------------------------------------------------------------------------
    def close_if_expired(self, now_ms: float) -> None:
        """Close it once its client has had its time.

        Guards against clients that hold a descriptor and ask for nothing, send half a request, or never read.
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
        """End it for others that wait: at once if nothing of a request has come, since it is idle then."""
        if self.has_partial_request:
            self.close(resp.error_reply("BUSY"))
        elif self._transport is not None and not self.has_unread_bytes:
            self._transport.close()

    # ---- upgrade -----------------------------------------------------------------------------------------
    @property
    def is_transferable(self) -> bool:
        """Whether it can be handed over: all its replies have reached the system."""
        transport = self._transport
        if transport is None or transport.is_closing() or self._shut_down_at_ms is not None:
            return False
        return not self._unsent_handles and not transport.get_write_buffer_size()

    def export_state(self) -> tuple[int, ClientConnectionState]:
        """Return its descriptor, and what the process that takes it over must know."""
        assert self._transport is not None
        buffer = self._receive_buffer
        state = ClientConnectionState(
            unread=bytes(buffer.data[buffer.start : buffer.end]),
            has_answered=self._has_answered,
            bad_request_count=self.bad_request_count,
            active_since_ms=self._active_since_ms,
        )
        return file_descriptor(self._transport), state

    def import_state(self, state: ClientConnectionState) -> None:
        """Go on where another process has stopped."""
        self._receive_buffer.restore(state.unread)
        self._has_answered = state.has_answered
        self._requests.bad_request_count = state.bad_request_count
        self._active_since_ms = state.active_since_ms
