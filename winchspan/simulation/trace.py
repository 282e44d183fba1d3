"""A hash of all traffic on the emulated network: runs with the same hash had the same traffic."""

from __future__ import annotations

from enum import IntEnum
from hashlib import sha256
from struct import Struct
from typing import Final

_RECORD: Final = Struct("<QIBI")  # time in ns, number of the connection or port, event, length in bytes
_CONNECTION_OPENED: Final = 3
_DATAGRAM_ARRIVED: Final = 9


class Side(IntEnum):
    """A side of a connection."""

    CLIENT = 0
    SERVER = 1


class ArrivalKind(IntEnum):
    """The kind of an arrival at a connection's end, which the trace records together with the side."""

    DATA = 0
    END_OF_STREAM = 1
    RESET = 2


class NetworkTrace:
    """Hashes each event with its time, connection or port, direction and bytes.

    Attributes:
        event_count: number of recorded events.
        byte_count: number of bytes that have arrived.
    """

    def __init__(self) -> None:
        self._hash = sha256()
        self.event_count = 0
        self.byte_count = 0

    def record_connection(self, now_ns: int, connection_number: int) -> None:
        """Record that a connection has been opened."""
        self._record(now_ns, connection_number, _CONNECTION_OPENED, b"")

    def record_arrival(
        self, now_ns: int, descriptor: int, kind: ArrivalKind, data: bytes | bytearray = b""
    ) -> None:
        """Record an arrival at the connection end with this descriptor."""
        side = descriptor & 1
        self._record(now_ns, descriptor >> 1, kind << 1 | side, data)

    def record_datagram(self, now_ns: int, port: int, data: bytes) -> None:
        """Record that a datagram has arrived at a port."""
        self._record(now_ns, port, _DATAGRAM_ARRIVED, data)

    def hexdigest(self) -> str:
        """Return the hash of all events recorded so far, in hexadecimal digits."""
        return self._hash.hexdigest()

    def _record(self, now_ns: int, number: int, event: int, data: bytes | bytearray) -> None:
        self._hash.update(_RECORD.pack(now_ns, number, event, len(data)))
        self._hash.update(data)
        self.event_count += 1
        self.byte_count += len(data)
