"""The receive buffer of a connection: filled by the loop, parsed in place."""

from __future__ import annotations

_MIN_SIZE_BYTES = 4 * 1024


class ReceiveBuffer:
    """A buffer that grows for a large request or response, and shrinks afterwards.

    It is replaced rather than resized, because the loop may still hold a view of the old one.
    """

    __slots__ = ("data", "end", "start")

    def __init__(self) -> None:
        self.data = bytearray(_MIN_SIZE_BYTES)
        self.start = 0
        self.end = 0

    def writable(self) -> memoryview:
        """Return the free part of the buffer, which is never empty."""
        size = self.end - self.start
        if not size and len(self.data) > _MIN_SIZE_BYTES:
            self.data = bytearray(_MIN_SIZE_BYTES)
            self.start = self.end = 0
        elif size > len(self.data) // 2:
            larger = bytearray(2 * len(self.data))
            larger[:size] = self.data[self.start : self.end]
            self.data, self.start, self.end = larger, 0, size
        elif self.start:
            self.data[:size] = self.data[self.start : self.end]
            self.start, self.end = 0, size
        return memoryview(self.data)[self.end :]

    @property
    def extra_bytes(self) -> int:
        """Memory that the buffer occupies beyond its smallest size."""
        return len(self.data) - _MIN_SIZE_BYTES

    def clear(self) -> None:
        """Discard the content and the memory for it."""
        self.data = bytearray(_MIN_SIZE_BYTES)
        self.start = self.end = 0

    def restore(self, data: bytes) -> None:
        """Replace the content with bytes that another process has read and not parsed."""
        self.data = bytearray(max(_MIN_SIZE_BYTES, 2 * len(data)))
        self.data[: len(data)] = data
        self.start, self.end = 0, len(data)

    def __len__(self) -> int:
        return self.end - self.start
