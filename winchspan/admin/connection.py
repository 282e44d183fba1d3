"""The server's side of one operator connection: receives a request, sends its response and closes."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Final, Protocol

from winchspan.admin.operations import OperationResult
from winchspan.admin.request import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    AdminRequest,
    RequestError,
    RequestParser,
    encode_response,
)
from winchspan.runtime.timers import Timer, TimerQueue

REQUEST_TIMEOUT_MS: Final = 2_000.0
"""Maximum time from the connect to the last byte of the request."""

RESPONSE_TIMEOUT_MS: Final = 1_000.0
"""Maximum time for the client to read the response and close the connection."""

_INITIAL_BUFFER_BYTES: Final = 1024


class ConnectionOwner(Protocol):
    """Interface of the server to its connections."""

    timers: TimerQueue

    def handle(self, request: AdminRequest) -> OperationResult:
        """Execute the operation of a request."""

    def remove(self, connection: AdminConnection) -> None:
        """Unregister a closed connection."""


class AdminConnection(asyncio.BufferedProtocol):
    """One connection of an operator.

    Attributes:
        is_answered: whether the response has been written.
    """

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner
        self._buffer = bytearray(_INITIAL_BUFFER_BYTES)
        self._received_bytes = 0
        self._parser = RequestParser()
        self._transport: asyncio.Transport | None = None
        self._timeout: Timer = owner.timers.call_later(REQUEST_TIMEOUT_MS, self._request_timed_out)
        self.is_answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timeout and unregister the connection."""
        self._timeout.cancel()
        self._owner.remove(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the unused part of the receive buffer; bytes after an answered request are discarded."""
        if self.is_answered:
            self._received_bytes = 0
        elif self._received_bytes == len(self._buffer):
            self._buffer = self._buffer + bytearray(len(self._buffer))
        return memoryview(self._buffer)[self._received_bytes :]

    def buffer_updated(self, nbytes: int) -> None:
        """Respond to the request once it is complete."""
        self._received_bytes += nbytes
        if self.is_answered:
            return
        try:
            request = self._parser.parse(self._buffer, self._received_bytes)
        except RequestError as err:
            self._respond(OperationResult(err.status, f"{err.reason}\n"))
            return
        if request is not None:
            self._respond(self._owner.handle(request))
        elif self._received_bytes > MAX_HEAD_BYTES + MAX_BODY_BYTES:
            self._respond(OperationResult(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the call is too long\n"))

    def eof_received(self) -> bool:
        """Return whether to keep the connection open, because the client may still read its response."""
        return self.is_answered

    def close(self) -> None:
        """Close the connection at once; further calls have no effect."""
        if self._transport is not None:
            self._transport.abort()
        else:
            self._owner.remove(self)

    def _respond(self, result: OperationResult) -> None:
        """Write the response and shut down the sending side.

        Closing the connection while the client still sends would cause a reset, and the client could lose the
        response.
        """
        self.is_answered = True
        self._timeout.cancel()
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write(encode_response(result.status, result.text, result.allowed_method))
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._timeout = self._owner.timers.call_later(RESPONSE_TIMEOUT_MS, self.close)

    def _request_timed_out(self) -> None:
        """Answer a client that has not sent a complete request in time."""
        self._respond(OperationResult(HTTPStatus.REQUEST_TIMEOUT, "the call did not come whole\n"))
