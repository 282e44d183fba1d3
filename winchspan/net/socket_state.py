"""What the system knows of a connection's bytes, and asyncio does not report."""

from __future__ import annotations

import asyncio
import fcntl
import select
import struct
import termios
from typing import Final

_BYTE_COUNT: Final = struct.Struct("i")


def has_unread_input(transport: asyncio.BaseTransport) -> bool:
    """Return whether the loop has not yet read received bytes or the end of the stream."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        has_unread = transport.get_extra_info("unread")
        return bool(has_unread is not None and has_unread())  # an emulated transport reports it itself
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return the number of written bytes that the peer's system has not acknowledged.

    Source: tcp(7), SIOCOUTQ; 0 where the system cannot tell.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        count = transport.get_extra_info("unacknowledged")
        return 0 if count is None else int(count())  # an emulated transport reports it itself
    try:
        reply = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_BYTE_COUNT.size))
    except OSError:
        return 0
    (sent_bytes,) = _BYTE_COUNT.unpack(reply)
    return int(sent_bytes) + transport.get_write_buffer_size()
