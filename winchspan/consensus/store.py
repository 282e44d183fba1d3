"""Stable storage of one consensus member: term, vote, log and snapshot, written before dependent messages.

The files alternate (`winchspan.storage.rotating_file`) and contain these kinds of records, each a JSON object
with its kind under `t`:

    birth   name, id                    member name and instance ID of the directory; the first record
    start   n                           the n-th process has started with this directory
    kept    term, vote,                 one `PersistState`; `cut` is the index of the first entry that is
            [cut], [entries],           removed, an entry is [index, term, kind, data in hex, members], a
            [snapshot]                  snapshot [index, term, members, data in hex]

Recovery truncates a torn tail. No message has referred to its content, because messages are sent after the
write.
"""

from __future__ import annotations

import errno
import json
from pathlib import Path
from typing import Any, Final

from loguru import logger

from winchspan.consensus.messages import EntryKind, LogEntry, PersistentState, PersistState, Snapshot
from winchspan.runtime.system import Disk
from winchspan.storage.errors import RecordWriteError, StorageError
from winchspan.storage.record_file import Record, encode_record
from winchspan.storage.rotating_file import RotatingRecordFile

MAX_STORE_BYTES: Final = 512 * 1024  # size of both files together
_MIN_GARBAGE_BYTES: Final = 32 * 1024  # a file with less obsolete data is not compacted
_FIRST_FILE: Final = "agreement.log"
_SECOND_FILE: Final = "agreement.log.2"


class ConsensusStoreError(StorageError):
    """The directory belongs to another member, which the message names."""


def apply_persist_state(state: PersistentState, command: PersistState) -> PersistentState:
    """Return the persistent state after the execution of a command."""
    entries, snapshot = state.entries, state.snapshot
    if command.snapshot is not None:
        snapshot = command.snapshot
        entries = tuple(entry for entry in entries if entry.index > snapshot.index)
    if command.truncate_from:
        entries = tuple(entry for entry in entries if entry.index < command.truncate_from)
    return PersistentState(command.term, command.voted_for, snapshot, entries + command.entries)


class ConsensusStore:
    """The files of one member.

    Commands are queued as backlog while the disk is full or the files have reached their size limit. The
    caller must not send messages until `flush_backlog` has written the backlog.
    """

    def __init__(
        self,
        directory: Path,
        name: str,
        instance_id: int,
        disk: Disk | None = None,
        limit_bytes: int = MAX_STORE_BYTES,
    ) -> None:
        """Open the files in a directory, or create them.

        Args:
            directory: directory that persists across restarts.
            name: node name of the member.
            instance_id: random positive number for a directory without one. A member that has lost its
                directory thereby restarts under another member ID.
            disk: interface to the system calls that change files.
            limit_bytes: maximum size of both files together.

        Raises:
            ConsensusStoreError: if the directory belongs to another member.
            OSError: if the files cannot be opened or created.
        """
        self._name = name
        self._max_file_bytes = limit_bytes // 2
        self._state = PersistentState()
        self._instance_id = 0
        self._start_count = 0
        self._backlog: list[PersistState] = []
        self._file = RotatingRecordFile(directory / _FIRST_FILE, directory / _SECOND_FILE, disk or Disk())
        try:
            self._file.recover(self._restore)
        except ConsensusStoreError:
            self._file.close()
            raise
        if not self._instance_id:
            self._instance_id = instance_id
            self._create()
        self._live_bytes = self._file.size_bytes
        self._start_count += 1
        self._start_written = self._append(self._encode_start())  # if False, it is written before the backlog

    @property
    def state(self) -> PersistentState:
        """The state on disk."""
        return self._state

    @property
    def instance_id(self) -> int:
        """The random number that identifies the directory."""
        return self._instance_id

    @property
    def start_count(self) -> int:
        """Number of processes that have started with this directory, including this one."""
        return self._start_count

    @property
    def member_id(self) -> str:
        """Member ID: the node name with the instance ID of the directory, `name#incarnation`."""
        return f"{self._name}#{self._instance_id:x}"

    @property
    def path(self) -> Path:
        """Path of the current file."""
        return self._file.path

    @property
    def has_backlog(self) -> bool:
        """Whether records are still to be written."""
        return bool(self._backlog) or not self._start_written

    def persist(self, command: PersistState) -> bool:
        """Write a command; return False if it is queued and messages must wait for `flush_backlog`."""
        self._backlog.append(command)
        return self.flush_backlog()

    def flush_backlog(self) -> bool:
        """Write the backlog; return whether all of it is written."""
        if not self._start_written and not self._append(self._encode_start()):
            return False
        self._start_written = True
        while self._backlog:
            command = self._backlog[0]
            if not self._append(_encode_command(command)):
                return False
            self._state = apply_persist_state(self._state, command)
            del self._backlog[0]
        if self._file.size_bytes > 2 * self._live_bytes + _MIN_GARBAGE_BYTES:
            self._compact()
        return True

    def close(self) -> None:
        """Close the current file."""
        self._file.close()

    # ---- the file ----------------------------------------------------------------------------------------
    def _create(self) -> None:
        if not self._append(self._encode_identity()):
            self._file.close()
            raise OSError(errno.ENOSPC, f"{self.path}: no capacity to create the files of a consensus member")

    def _restore(self, record: Record) -> bool:
        fields = json.loads(record.line)
        match fields["t"]:
            case "birth":
                if fields["name"] != self._name:
                    raise ConsensusStoreError(
                        f"{self.path}: is the data directory of {fields['name']!r}, not of {self._name!r}"
                    )
                self._instance_id = int(fields["id"])
            case "start":
                self._start_count = int(fields["n"])
            case "kept":
                self._state = apply_persist_state(self._state, _decode_command(fields))
        return True

    def _append(self, data: bytes) -> bool:
        """Append one record; return False if there is no capacity, in which case no part of it remains."""
        if not self._has_capacity(data):
            self._compact()
            if not self._has_capacity(data):
                logger.error(
                    "consensus store: {} bytes beyond the present {} exceed the limit",
                    len(data),
                    self._file.size_bytes,
                )
                return False
        try:
            self._file.append(data)
        except RecordWriteError as err:
            logger.error("consensus store: cannot write: {}", err)
            return False
        return True

    def _has_capacity(self, data: bytes) -> bool:
        return self._file.size_bytes + len(data) <= self._max_file_bytes

    def _compact(self) -> None:
        """Write the state to the other file and remove the current file, which stays if the write fails."""
        state = self._state
        snapshot = state.snapshot if state.snapshot.index else None
        command = PersistState(state.term, state.voted_for, 0, state.entries, snapshot)
        data = self._file.encode_replacement(
            [self._encode_identity(), self._encode_start(), _encode_command(command)]
        )
        try:
            self._file.replace(data)
        except RecordWriteError as err:
            logger.error("consensus store: cannot compact: {}", err)
            return
        self._live_bytes = len(data)

    def _encode_identity(self) -> bytes:
        return encode_record({"t": "birth", "name": self._name, "id": self._instance_id})

    def _encode_start(self) -> bytes:
        return encode_record({"t": "start", "n": self._start_count})


# ---- codec -----------------------------------------------------------------------------------------------
def _encode_command(command: PersistState) -> bytes:
    fields: dict[str, Any] = {"t": "kept", "term": command.term, "vote": command.voted_for}
    if command.truncate_from:
        fields["cut"] = command.truncate_from
    if command.entries:
        fields["entries"] = [_entry_to_row(entry) for entry in command.entries]
    snapshot = command.snapshot
    if snapshot is not None:
        fields["snapshot"] = [
            snapshot.index,
            snapshot.term,
            sorted(snapshot.members),
            snapshot.data.hex(),
        ]
    return encode_record(fields)


def _decode_command(fields: dict[str, Any]) -> PersistState:
    snapshot_row = fields.get("snapshot")
    return PersistState(
        int(fields["term"]),
        str(fields["vote"]),
        int(fields.get("cut", 0)),
        tuple(_entry_from_row(row) for row in fields.get("entries", ())),
        None if snapshot_row is None else _snapshot_from_row(snapshot_row),
    )


def _entry_to_row(entry: LogEntry) -> list[Any]:
    return [entry.index, entry.term, int(entry.kind), entry.data.hex(), sorted(entry.members)]


def _entry_from_row(row: list[Any]) -> LogEntry:
    index, term, kind, data, members = row
    return LogEntry(int(index), int(term), EntryKind(kind), bytes.fromhex(data), frozenset(map(str, members)))


def _snapshot_from_row(row: list[Any]) -> Snapshot:
    index, term, members, data = row
    return Snapshot(int(index), int(term), frozenset(map(str, members)), bytes.fromhex(data))
