"""The server's side of one connection to the control socket; executes one request at a time."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Final, Protocol

from winchspan.control.command_call import CommandCall, CommandResult, PeerCredentials, peer_credentials
from winchspan.control.protocol import (
    FRAME_HEADER,
    MAX_REQUEST_BYTES,
    ControlError,
    Reply,
    Request,
    decode_length,
    decode_request,
    encode_frame,
)
from winchspan.runtime.timers import Timer, TimerQueue

STEP_TIMEOUT_MS: Final = 5_000.0
"""Maximum time to receive a complete request, and to execute it and have its reply read."""


class ConnectionOwner(Protocol):
    """Interface of the server to its connections."""

    timers: TimerQueue

    def admit(self, connection: ControlConnection, peer: PeerCredentials) -> bool:
        """Register a connection if it is permitted; return whether it is."""

    def remove(self, connection: ControlConnection) -> None:
        """Unregister a closed connection."""

    def execute(self, name: str, call: CommandCall) -> None:
        """Execute a command."""


class ControlConnection(asyncio.BufferedProtocol):
    """One connection. Reading is paused while a request is executed, which bounds the buffer."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner
        self._buffer = bytearray(FRAME_HEADER.size + MAX_REQUEST_BYTES)
        self._received_bytes = 0
        self._executing: Request | None = None
        self._is_executing_pending = False
        self._transport: asyncio.Transport | None = None
        self._peer: PeerCredentials | None = None
        self._timeout: Timer | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Read the client's credentials, and close the connection if it is not permitted."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._peer = peer_credentials(transport.get_extra_info("socket"))
        if self._owner.admit(self, self._peer):
            self._restart_timeout()
        else:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and cancel its timeout."""
        self._owner.remove(self)
        if self._timeout is not None:
            self._timeout.cancel()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the unused part of the receive buffer."""
        return memoryview(self._buffer)[self._received_bytes :]

    def buffer_updated(self, nbytes: int) -> None:
        """Execute the received requests that are complete."""
        self._received_bytes += nbytes
        self._execute_pending()

    def close(self) -> None:
        """Close the connection at once; further calls have no effect."""
        if self._transport is not None:
            self._transport.abort()

    def _execute_pending(self) -> None:
        """Execute the complete requests in the buffer, up to the first whose result is pending.

        Executes them in a loop: recursion from each result to the next request exceeds Python's recursion
        limit when a client sends hundreds of requests at once.
        """
        if self._is_executing_pending:
            return
        self._is_executing_pending = True
        try:
            while self._execute_next():
                pass
        finally:
            self._is_executing_pending = False

    def _execute_next(self) -> bool:
        """Execute the first request in the buffer, if it is complete and no other is being executed.

        Returns:
            Whether the request is finished and its result sent, so that the next request may be executed.
        """
        transport = self._transport
        if self._executing is not None or transport is None or transport.is_closing():
            return False
        try:
            request = self._take_request()
        except ControlError as err:
            self._send(transport, Reply(0, error=str(err)))
            transport.close()
            return False
        if request is None:
            return False
        assert self._peer is not None
        self._executing = request
        transport.pause_reading()
        self._restart_timeout()
        call = CommandCall(request.args, self._peer, partial(self._complete, request))
        self._owner.execute(request.command, call)
        return self._executing is None

    def _take_request(self) -> Request | None:
        """Remove the first request from the buffer and return it; None if it is not complete.

        Raises:
            ControlError: if the frame is not a valid request.
        """
        if self._received_bytes < FRAME_HEADER.size:
            return None
        body_bytes = decode_length(memoryview(self._buffer)[: FRAME_HEADER.size], MAX_REQUEST_BYTES)
        frame_end = FRAME_HEADER.size + body_bytes
        if self._received_bytes < frame_end:
            return None
        request = decode_request(bytes(self._buffer[FRAME_HEADER.size : frame_end]))
        rest = self._buffer[frame_end : self._received_bytes]
        self._buffer[: len(rest)] = rest
        self._received_bytes = len(rest)
        return request

    def _complete(self, request: Request, result: CommandResult) -> None:
        """Send the result of a request and execute the next one; ignore a repeated result."""
        transport = self._transport
        if self._executing is not request or transport is None or transport.is_closing():
            return
        self._send(transport, Reply(request.id, result.data, result.error))
        self._executing = None
        self._restart_timeout()
        transport.resume_reading()
        self._execute_pending()

    def _send(self, transport: asyncio.Transport, reply: Reply) -> None:
        try:
            transport.write(encode_frame(reply))
        except ControlError as err:
            transport.write(encode_frame(Reply(reply.id, error=f"the answer is {err}")))

    def _restart_timeout(self) -> None:
        """Restart the timeout that closes connections of clients that send no request or read no reply."""
        if self._timeout is not None:
            self._timeout.cancel()
        self._timeout = self._owner.timers.call_later(STEP_TIMEOUT_MS, self.close)
