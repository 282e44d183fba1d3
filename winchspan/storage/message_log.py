"""A log of open messages with compaction and a quota: base class of the journal and of replicas."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

from loguru import logger

from winchspan.runtime.system import Disk
from winchspan.storage.errors import RecordWriteError
from winchspan.storage.journal_records import JournalEntry, MessageAccepted, decode_journal_record
from winchspan.storage.journal_state import JournalState
from winchspan.storage.quota import StorageQuota
from winchspan.storage.record_file import Record
from winchspan.storage.rotating_file import RotatingRecordFile

_FIRST_FILE: Final = "messages.journal"
_SECOND_FILE: Final = "messages.journal.2"
_OBSOLETE_FILE: Final = "messages.journal.new"  # written by compactions of earlier versions


class MessageLog:
    """The open messages of one courier, in memory and on disk.

    A record of an event that has already happened must eventually be written: if there is no capacity for it,
    it is added to a backlog that is written before any other record. No acceptance or start of an attempt is
    recorded while there is a backlog, so that its size is bounded by the messages in flight.
    """

    def __init__(self, directory: Path, limit_bytes: int, disk: Disk | None = None) -> None:
        """Open the log and recover its contents, or create it.

        Args:
            directory: an existing directory for its files.
            limit_bytes: upper bound on the total size of the files.
            disk: the calls that change files.

        Raises:
            OSError: a file cannot be opened, truncated or removed.
        """
        self.on_backlog: Callable[[], None] = lambda: None  # called when a record is added to the backlog
        self.on_records_written: Callable[[bytes], None] | None = (
            None  # called with records once they are written
        )
        self._state = JournalState()
        self._quota = StorageQuota(limit_bytes)
        self._is_out_of_capacity = False  # the last records were rejected by the quota, not by the disk
        self._backlog: list[bytes] = []
        self._write_failure_logged = False
        self._file = RotatingRecordFile(
            directory / _FIRST_FILE,
            directory / _SECOND_FILE,
            disk or Disk(),
            obsolete=(directory / _OBSOLETE_FILE,),
        )
        self.recovered_bytes = self._file.recover(self._restore)
        self._compact()

    @property
    def open_messages(self) -> list[JournalEntry]:
        """The open messages, in the order of acceptance."""
        return self._state.ordered_messages()

    @property
    def class_tables(self) -> dict[int, list[dict[str, Any]]]:
        """Tables of message classes, by the number that entries refer to."""
        return self._state.class_tables

    @property
    def disabled_endpoints(self) -> list[str]:
        """Names of the endpoints that the operators have disabled."""
        return self._state.disabled_endpoints

    @property
    def is_out_of_capacity(self) -> bool:
        """Whether the last records were rejected because the quota is used up."""
        return self._is_out_of_capacity

    def flush_backlog(self) -> bool:
        """Write the backlog; return whether it is empty now."""
        if self._backlog and self._write(b"".join(self._backlog)):
            self._backlog.clear()
            logger.info("journal: backlog written")
        return not self._backlog

    def close(self) -> None:
        """Write the backlog if there is capacity, and close the file."""
        if not self._file.is_closed:
            self.flush_backlog()
        self.close_without_flush()

    def close_without_flush(self) -> None:
        """Close the file without writing the backlog, as when the process is killed."""
        self._file.close()

    # ---- for subclasses ----------------------------------------------------------------------------------
    def _append(self, data: bytes) -> bool:
        """Append encoded records after the backlog; return False if there is no capacity for them."""
        if self._backlog and not self.flush_backlog():
            return False
        return self._write(data)

    def _append_or_defer(self, data: bytes) -> None:
        """Append encoded records of past events, now or as soon as there is capacity.

        If a full disk dropped the record of a delivery, the delivery would be repeated after a restart.
        """
        if not self._append(data):
            self._backlog.append(data)
            self.on_backlog()

    def _apply(self, fields: dict[str, Any], body: bytes, size_bytes: int) -> None:
        """Apply a recovered record to the state; subclasses add further kinds."""
        record = decode_journal_record(fields, body)
        if record is not None:
            self._state.apply(record, size_bytes)

    def _encode_trailer(self) -> bytes:
        """Encode records that a subclass appends to the open messages of a compacted file."""
        return b""

    def _compact(self, *, allow_growth: bool = False, may_use_margin: bool = False) -> bool:
        """Write the open messages to the other file and remove the current one.

        Args:
            allow_growth: compact even if the file does not get smaller.
            may_use_margin: let both files together use the margin below the limit, too.

        Returns:
            Whether the file was compacted; if not, it is unchanged.
        """
        records = {entry.number: MessageAccepted(entry).encode() for entry in self._state.ordered_messages()}
        data = self._file.encode_replacement(
            [*self._state.encode_settings(), *records.values(), self._encode_trailer()]
        )
        if len(data) >= self._file.size_bytes and not allow_growth:
            return False
        limit_bytes = self._quota.limit_bytes if may_use_margin else self._quota.usable_bytes
        if self._file.size_bytes + len(data) > limit_bytes:
            return False
        try:
            self._file.replace(data)
        except RecordWriteError as err:
            logger.error("journal: cannot compact: {}", err)
            return False
        self._backlog.clear()  # the new file contains its changes
        self._state.set_compacted({number: len(record) for number, record in records.items()}, len(data))
        return True

    # ---- the file ----------------------------------------------------------------------------------------
    def _restore(self, record: Record) -> bool:
        try:
            self._apply(json.loads(record.line), record.body, record.size_bytes)
        except (ValueError, KeyError, TypeError):
            return False
        return True

    def _write(self, data: bytes) -> bool:
        if self._file.is_closed:  # later events are not recorded; recovery starts from the records on disk
            return False
        if self._quota.needs_compaction(self._file.size_bytes, self._state.live_bytes, len(data)):
            self._compact()
        if self._file.size_bytes + len(data) > self._quota.usable_bytes:
            self._log_write_failure(f"no capacity for {len(data)} bytes; file size {self._file.size_bytes}")
            self._is_out_of_capacity = True
            return False
        self._is_out_of_capacity = False
        try:
            self._file.append(data)
        except RecordWriteError as err:
            self._log_write_failure(f"cannot write: {err}")
            return False
        self._write_failure_logged = False
        if self.on_records_written is not None:
            self.on_records_written(data)
        return True

    def _log_write_failure(self, reason: str) -> None:
        """Log the first of consecutive write failures."""
        if not self._write_failure_logged:
            self._write_failure_logged = True
            logger.error("journal: {}", reason)
