"""A record file that compaction replaces: two alternating paths, one of which is current.

The replacement is written completely to the other path, with its completion mark last, before the current
file is removed. Renaming is not used: on ext4, replacing a file by rename first flushes the new file, which
blocks the event loop (up to 110 ms on a disk, against 0.2 ms for a removal; docs/measured/journal.md).
Records reach the operating system in one write() without buffering in the process: they survive the end of
the process, including SIGKILL, and need no fsync.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable
from contextlib import suppress
from pathlib import Path

from loguru import logger

from winchspan.runtime.system import Disk
from winchspan.storage.errors import RecordWriteError
from winchspan.storage.record_file import (
    Record,
    completion_mark,
    file_header,
    iterate_records,
    select_current_file,
)


class RotatingRecordFile:
    """The current one of two record files, with recovery, appending and replacement.

    Attributes, to be read only:
        path: the current file.
        size_bytes: its size.
        is_closed: whether the file is closed.
    """

    def __init__(self, first: Path, second: Path, disk: Disk, obsolete: Iterable[Path] = ()) -> None:
        """Open the current file, or create the first one.

        Args:
            first: path of the first file of an empty directory.
            second: path that alternates with `first`.
            disk: the calls that change files.
            obsolete: files of earlier versions, which are removed.

        Raises:
            OSError: a file cannot be opened.
        """
        self._first = first
        self._second = second
        self._disk = disk
        selection = select_current_file(first, second)
        self._generation = selection.generation
        self.path = selection.current
        with suppress(OSError):  # otherwise the next replacement overwrites it
            self._disk.remove(selection.stale)  # it was replaced, or is only partially written
        for path in obsolete:
            with suppress(OSError):
                self._disk.remove(path)
        self._fd = self._disk.open(self.path, os.O_RDWR | os.O_CREAT)
        self._has_torn_tail = False  # a failed write has left bytes after `size_bytes`
        self._obsolete: Path | None = None  # a replaced file that could not be removed
        self.size_bytes = 0
        self.is_closed = False

    def recover(self, apply: Callable[[Record], bool]) -> int:
        """Read all records and truncate a torn tail.

        Args:
            apply: called with each record in order; False truncates the file before that record.

        Returns:
            The total size of the records in bytes.
        """
        data = os.pread(self._fd, os.fstat(self._fd).st_size, 0)
        valid_bytes = 0
        for record in iterate_records(data):
            if not apply(record):
                break
            valid_bytes += record.size_bytes
        if valid_bytes < len(data):
            logger.warning(
                "storage: truncated {} bytes of a torn tail of {}", len(data) - valid_bytes, self.path.name
            )
        self.size_bytes = valid_bytes
        self._has_torn_tail = True
        with suppress(OSError):  # otherwise it is truncated before the next record
            self._truncate_torn_tail()
        return valid_bytes

    def append(self, data: bytes) -> None:
        """Append encoded records.

        Raises:
            RecordWriteError: they could not be written; no part of them will be recovered.
        """
        try:
            self._truncate_torn_tail()
            self._write_all(self._fd, data)
        except OSError as err:
            self._has_torn_tail = True
            with suppress(OSError):  # otherwise before the next record: none may follow a partial one
                self._truncate_torn_tail()
            raise RecordWriteError(self.path, err) from err
        self.size_bytes += len(data)
        self._remove_obsolete()

    def _truncate_torn_tail(self) -> None:
        if self._has_torn_tail:
            self._disk.truncate(self._fd, self.size_bytes)
            self._has_torn_tail = False

    def encode_replacement(self, contents: Iterable[bytes]) -> bytes:
        """Encode records as the complete file of the next generation."""
        generation = self._generation + 1
        return b"".join([file_header(generation), *contents, completion_mark(generation)])

    def replace(self, data: bytes) -> None:
        """Write the file of the next generation, then remove the current one.

        Args:
            data: the result of `encode_replacement`.

        Raises:
            RecordWriteError: it could not be written; the current file is unchanged.
        """
        replacement = self._second if self.path == self._first else self._first
        self._obsolete = None  # it is overwritten
        try:
            fd = self._disk.open(replacement, os.O_RDWR | os.O_CREAT | os.O_TRUNC)
        except OSError as err:
            raise RecordWriteError(replacement, err) from err
        try:
            self._write_all(fd, data)
        except OSError as err:
            os.close(fd)
            with suppress(OSError):  # a partial replacement is never recovered
                self._disk.remove(replacement)
            raise RecordWriteError(replacement, err) from err
        # From here on, recovery reads the replacement, whether or not the previous file can be removed.
        os.close(self._fd)
        self._obsolete = self.path
        self._fd = fd
        self.path = replacement
        self._generation += 1
        self.size_bytes = len(data)
        self._has_torn_tail = False
        self._remove_obsolete()

    def _remove_obsolete(self) -> None:
        """Remove the replaced file; if that fails, the next append retries it."""
        if self._obsolete is None:
            return
        with suppress(OSError):
            self._disk.remove(self._obsolete)
            self._obsolete = None

    def close(self) -> None:
        """Close the file without writing."""
        if not self.is_closed:
            self.is_closed = True
            os.close(self._fd)

    def _write_all(self, fd: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            written_bytes = self._disk.write(fd, view)
            view = view[written_bytes:]
