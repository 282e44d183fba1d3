"""The client of the control socket: sends one request at a time and waits for its reply."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Final

from winchspan.control.protocol import (
    FRAME_HEADER,
    PROTOCOL_VERSION,
    ControlError,
    JsonValue,
    Request,
    decode_length,
    decode_reply,
    encode_frame,
)

REPLY_TIMEOUT_SECONDS: Final = 10.0


class ControlClient:
    """One connection to a courier's control socket; raises `ControlError` for every failure.

    Example:
        client = ControlClient(Path("/run/winchspan/control"))
        try:
            print(client.call("status"))
        finally:
            client.close()
    """

    def __init__(self, path: Path, timeout_seconds: float = REPLY_TIMEOUT_SECONDS) -> None:
        """Connect to a courier.

        Args:
            path: the courier's control socket.
            timeout_seconds: timeout of each socket operation: connect, send and receive.

        Raises:
            ControlError: if no courier listens on the socket.
        """
        self._path = path
        self._last_id = 0
        self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self._socket.settimeout(timeout_seconds)
        try:
            self._socket.connect(str(path))
        except OSError as err:
            self._socket.close()
            raise ControlError(f"{path}: cannot connect to a courier: {err.strerror or err}") from None

    def call(self, command: str, /, **arguments: JsonValue) -> JsonValue:
        """Execute a command and return its data.

        Raises:
            ControlError: if the courier rejects the command, the connection fails or the reply is invalid.
        """
        self._last_id += 1
        request = Request(PROTOCOL_VERSION, self._last_id, command, arguments)
        try:
            self._socket.sendall(encode_frame(request))
            body_bytes = decode_length(self._receive(FRAME_HEADER.size))
            reply = decode_reply(self._receive(body_bytes))
        except OSError as err:
            raise ControlError(f"{self._path}: no reply from the courier: {err}") from None
        if reply.error:
            raise ControlError(reply.error)
        if reply.id != self._last_id:
            raise ControlError(f"{self._path}: reply has id {reply.id}, expected {self._last_id}")
        data: JsonValue = reply.data
        return data

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def _receive(self, size: int) -> bytes:
        data = b""
        while len(data) < size:
            chunk = self._socket.recv(size - len(data))
            if not chunk:
                raise ControlError(
                    f"{self._path}: the courier closed the connection before its reply was complete"
                )
            data += chunk
        return data
