"""The new process's side of the hand-over socket; it blocks, because no event loop runs yet."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Final, NamedTuple

from loguru import logger

from winchspan.upgrade.errors import HandOverError
from winchspan.upgrade.state_machine import TRANSFER_TIMEOUT_MS
from winchspan.upgrade.wire_protocol import (
    COMMIT_LINE,
    DESCRIPTORS_PER_MESSAGE,
    HEAD,
    MAX_DESCRIPTOR_COUNT,
    MAX_STATE_BYTES,
    PROTOCOL_VERSION,
    READY_LINE,
    STATE_KIND,
    socket_path,
)

CONNECT_TIMEOUT_SECONDS: Final = 0.1
COMMIT_TIMEOUT_SECONDS: Final = 3.0  # time for the old process to close its journal
_CHUNK_BYTES: Final = 1 << 16


class ReceivedHandOver(NamedTuple):
    """The encoded state, and the connections' descriptors in the order in which the state lists them."""

    state: bytes
    descriptors: list[int]


def receive_hand_over(
    directory: Path, fingerprint: str, read_state: Callable[[bytes], object]
) -> ReceivedHandOver | None:
    """Take over from the process that serves in a directory.

    Args:
        directory: the state directory.
        fingerprint: this program's fingerprint.
        read_state: decodes the state. If it raises HandOverError, the hand-over ends before the commit.

    Returns:
        The state and the descriptors; None if no process serves there, or if it did not hand over.
    """
    directory_descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    descriptors: list[int] = []
    try:
        connection.settimeout(CONNECT_TIMEOUT_SECONDS)
        connection.connect(socket_path(directory_descriptor))
        state = _receive_transfer(connection, fingerprint, descriptors)
        read_state(state)
        _receive_commit(connection)
    except (OSError, HandOverError) as err:
        for descriptor in descriptors:
            os.close(descriptor)
        if not isinstance(err, FileNotFoundError | ConnectionRefusedError):
            logger.warning("upgrade: not taken over: {!r}", err)
        return None
    finally:
        connection.close()
        os.close(directory_descriptor)
    return ReceivedHandOver(state, descriptors)


def _receive_transfer(connection: socket.socket, fingerprint: str, descriptors: list[int]) -> bytes:
    """Request the state and return it; append the descriptors to the list, which the caller closes."""
    connection.settimeout(2 * TRANSFER_TIMEOUT_MS / 1_000.0)
    connection.sendall(f"TAKE {PROTOCOL_VERSION} {fingerprint}\n".encode())
    kind, size_bytes, descriptor_count = HEAD.unpack(_receive_exactly(connection, HEAD.size))
    if kind != STATE_KIND or size_bytes > MAX_STATE_BYTES or descriptor_count > MAX_DESCRIPTOR_COUNT:
        raise HandOverError(
            "transfer head: expected a state within the size limits, or the request was rejected"
        )
    state = _receive_exactly(connection, size_bytes)
    while len(descriptors) < descriptor_count:
        data, received, _, _ = socket.recv_fds(connection, 1, DESCRIPTORS_PER_MESSAGE)
        descriptors += received
        if not data or not received:
            raise HandOverError("the serving process closed the connection while sending descriptors")
    return state


def _receive_commit(connection: socket.socket) -> None:
    connection.sendall(READY_LINE)
    connection.settimeout(COMMIT_TIMEOUT_SECONDS)
    if _receive_exactly(connection, len(COMMIT_LINE)) != COMMIT_LINE:
        raise HandOverError("the serving process did not commit; it resumed")


def _receive_exactly(connection: socket.socket, size_bytes: int) -> bytes:
    data = bytearray()
    while len(data) < size_bytes:
        piece = connection.recv(min(size_bytes - len(data), _CHUNK_BYTES))
        if not piece:
            raise HandOverError("the serving process closed the connection")
        data += piece
    return bytes(data)
