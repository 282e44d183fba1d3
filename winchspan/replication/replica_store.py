"""Replicas on disk: one message log for each owner in a separate directory, within a common size limit.

A replica is a message log (`winchspan.storage.message_log`) to which an owner's records are appended byte for
byte. The log also contains two kinds of records that the replica itself writes. The key `t` of the JSON
object names the kind:

    copy     e, n   the next record has number `n` of epoch `e`
    promise  e      records under an epoch before `e` are rejected

Each owner's record after a `copy` record increases the number by one. Recovery truncates a torn tail, so that
the remaining records determine the last number without a gap. Compaction works as for the journal, and writes
one record of each of the two kinds after the messages.
"""

from __future__ import annotations

import json
import re
import shutil
from pathlib import Path
from typing import Any, Final

from loguru import logger

from winchspan.replication.replica_set import AppendRecords, PersistEpoch, ReplaceRecords, ReplicaState
from winchspan.runtime.system import Disk
from winchspan.storage.errors import StorageError
from winchspan.storage.journal_records import JournalEntry, decode_journal_record
from winchspan.storage.journal_state import JournalState
from winchspan.storage.message_log import MessageLog
from winchspan.storage.record_file import Record, encode_record, iterate_records

_OWNER_NAME: Final = re.compile(r"[0-9A-Za-z_-]{1,64}")  # used as a directory name
_RESERVED_KINDS: Final = ("file", "whole", "copy", "promise")  # kinds that an owner must not send
_FILE_OVERHEAD_BYTES: Final = 1024  # of a compacted file beside the owner's records
_MAX_SHOWN_BYTES: Final = 40  # of an invalid record in an error message


class InvalidRecordsError(StorageError, ValueError):
    """An owner has sent data that are not valid journal records; the message shows the first invalid one."""


def parse_records(items: tuple[bytes, ...]) -> list[tuple[dict[str, Any], Record]]:
    """Decode records received from an owner.

    Returns:
        JSON object and record of each item.

    Raises:
        InvalidRecordsError: an item is not exactly one complete record of a kind that an owner may send.
    """
    return [_parse_record(item) for item in items]


def _parse_record(item: bytes) -> tuple[dict[str, Any], Record]:
    records = list(iterate_records(item))
    try:
        record = records[0]
        fields = json.loads(record.line)
        is_reserved_kind = fields["t"] in _RESERVED_KINDS
    except (IndexError, KeyError, TypeError, ValueError) as err:
        raise InvalidRecordsError(f"not exactly one journal record: {item[:_MAX_SHOWN_BYTES]!r}") from err
    if len(records) != 1 or record.size_bytes != len(item) or is_reserved_kind:
        raise InvalidRecordsError(f"not exactly one journal record: {item[:_MAX_SHOWN_BYTES]!r}")
    try:  # before any record is written: all records on disk must be applicable
        decode_journal_record(fields, record.body)
    except (KeyError, TypeError, ValueError) as err:
        raise InvalidRecordsError(f"invalid fields of a record: {item[:_MAX_SHOWN_BYTES]!r}") from err
    return fields, record


class Replica(MessageLog):
    """The replica of one owner's journal."""

    def __init__(self, directory: Path, limit_bytes: int, disk: Disk) -> None:
        """Open or create a replica.

        Args:
            directory: directory of this replica alone.
            limit_bytes: limit of the total size of its files.
            disk: system calls that change files.

        Raises:
            OSError: a file cannot be opened, truncated or removed.
        """
        self._epoch = 0
        self._last_index = 0
        self._promised_epoch = 0
        self._name = directory.name
        super().__init__(directory, limit_bytes, disk)

    @property
    def epoch(self) -> int:
        """Epoch of the records; 0 if there are none."""
        return self._epoch

    @property
    def last_index(self) -> int:
        """Index up to which all records are present."""
        return self._last_index

    @property
    def promised_epoch(self) -> int:
        """Oldest accepted epoch."""
        return self._promised_epoch

    def append(self, epoch: int, first_index: int, items: tuple[bytes, ...]) -> bool:
        """Append records that follow the last record.

        Returns:
            Whether the records are on disk; the replica is unchanged if there is no capacity.

        Raises:
            InvalidRecordsError: not all items are valid records of an owner.
        """
        assert epoch == self._epoch and first_index == self._last_index + 1
        parsed = parse_records(items)
        if not self._append(b"".join(items)):
            return False
        self._apply_all(parsed)
        return True

    def replace(self, epoch: int, last_index: int, items: tuple[bytes, ...]) -> bool:
        """Replace all records by a full snapshot.

        Args:
            epoch: epoch of the snapshot.
            last_index: index of the last record that the snapshot covers.
            items: records of the snapshot.

        Returns:
            Whether the snapshot is on disk. If there is capacity for it but not beside the present records,
            these are discarded first; if there is none, the replica is unchanged.

        Raises:
            InvalidRecordsError: not all items are valid records of an owner.
        """
        parsed = parse_records(items)
        if self._write_contents(parsed, epoch, last_index):
            return True
        snapshot_bytes = sum(map(len, items)) + _FILE_OVERHEAD_BYTES
        if snapshot_bytes > self._quota.usable_bytes or not self._discard_records():
            return False
        return self._write_contents(parsed, epoch, last_index)

    def _write_contents(
        self, parsed: list[tuple[dict[str, Any], Record]], epoch: int, last_index: int, **compaction: bool
    ) -> bool:
        """Write a file with other records; return False, and change nothing, if it cannot be written."""
        previous = (self._state, self._epoch, self._last_index)
        self._state = JournalState()
        self._apply_all(parsed)
        self._epoch = epoch
        self._last_index = last_index
        if self._compact(allow_growth=True, **compaction):
            return True
        self._state, self._epoch, self._last_index = previous
        return False

    def _discard_records(self) -> bool:
        """Keep only the promise: the owner, which still has all records, sends a snapshot of them."""
        is_discarded = self._write_contents([], 0, 0, may_use_margin=True)
        if is_discarded:
            logger.warning("replicas: discarded the records of {}, as their quota is used up", self._name)
        return is_discarded

    def persist_epoch(self, epoch: int) -> bool:
        """Persist the promise to reject earlier epochs; return False if there is no capacity."""
        if not self._append(_encode_promise(epoch)):
            return False
        self._promised_epoch = epoch
        return True

    # ---- the message log's hooks -------------------------------------------------------------------------
    def _apply(self, fields: dict[str, Any], body: bytes, size_bytes: int) -> None:
        kind = fields["t"]
        if kind == "copy":
            self._epoch = int(fields["e"])
            self._last_index = int(fields["n"]) - 1
        elif kind == "promise":
            self._promised_epoch = max(self._promised_epoch, int(fields["e"]))
        else:
            super()._apply(fields, body, size_bytes)
            if kind not in _RESERVED_KINDS:
                self._last_index += 1

    def _encode_trailer(self) -> bytes:
        trailer = b""
        if self._promised_epoch:
            trailer += _encode_promise(self._promised_epoch)
        if self._epoch:
            trailer += encode_record({"t": "copy", "e": self._epoch, "n": self._last_index + 1})
        return trailer

    def _apply_all(self, parsed: list[tuple[dict[str, Any], Record]]) -> None:
        for fields, record in parsed:
            self._apply(fields, record.body, record.size_bytes)


def _encode_promise(epoch: int) -> bytes:
    return encode_record({"t": "promise", "e": epoch})


def replica_limit_bytes(store_limit_bytes: int, owner_count: int) -> int:
    """Return the size limit of one replica in a store for the replicas of some owners."""
    return store_limit_bytes // max(1, owner_count)


class ReplicaStore:
    """All replicas of a courier, each in a subdirectory named after its owner.

    Attributes:
        max_owner_count: greatest number of owners whose replicas the courier holds at the same time.
    """

    def __init__(self, directory: Path, limit_bytes: int, disk: Disk, max_owner_count: int = 1) -> None:
        """Open the existing replicas.

        Args:
            directory: parent directory of all replicas; it is created if it does not exist.
            limit_bytes: limit of the total size of all replicas, divided equally by `max_owner_count`.
            disk: system calls that change files.
            max_owner_count: greatest number of owners whose replicas the courier holds at the same time.

        Raises:
            OSError: the directory or a file cannot be opened.
        """
        self._directory = directory
        self._limit_bytes = limit_bytes
        self._disk = disk
        self._replicas: dict[str, Replica] = {}
        self.max_owner_count = max(1, max_owner_count)
        directory.mkdir(exist_ok=True)
        for path in sorted(directory.iterdir()):
            if path.is_dir() and _OWNER_NAME.fullmatch(path.name):
                self._replicas[path.name] = self._open(path.name)
            else:
                logger.warning("replicas: {} is not a replica and is ignored", path)

    def replica_states(self) -> dict[str, ReplicaState]:
        """Return the state of each replica on disk by owner, for a `ReplicaSet`."""
        return {
            owner: ReplicaState(replica.promised_epoch, replica.epoch, replica.last_index)
            for owner, replica in self._replicas.items()
        }

    def replica(self, owner: str) -> Replica | None:
        """Return the replica of an owner's journal; None if there is none."""
        return self._replicas.get(owner)

    def persist(self, command: AppendRecords | ReplaceRecords | PersistEpoch) -> bool:
        """Execute a command of a `ReplicaSet`.

        Returns:
            Whether the change is on disk; the replica is unchanged if there is no capacity.

        Raises:
            InvalidRecordsError: the records or the owner's name are invalid.
        """
        replica = self._open_or_create(command.owner)
        if replica is None:
            return False
        match command:
            case AppendRecords(_, epoch, first_index, items):
                return replica.append(epoch, first_index, items)
            case ReplaceRecords(_, epoch, last_index, items):
                return replica.replace(epoch, last_index, items)
            case PersistEpoch(_, epoch):
                return replica.persist_epoch(epoch)

    def open_messages(self, owner: str) -> list[JournalEntry]:
        """Return the open messages of an owner's journal, in the order of acceptance."""
        replica = self._replicas.get(owner)
        return replica.open_messages if replica is not None else []

    def class_tables(self, owner: str) -> dict[int, list[dict[str, Any]]]:
        """Return the tables of message classes in an owner's journal, by the number in its entries."""
        replica = self._replicas.get(owner)
        return replica.class_tables if replica is not None else {}

    def remove(self, owner: str) -> None:
        """Remove the replica of a journal that is finished or replicated elsewhere."""
        replica = self._replicas.pop(owner, None)
        if replica is not None:
            replica.close_without_flush()
            shutil.rmtree(self._directory / owner, ignore_errors=True)

    def close(self) -> None:
        """Close all files."""
        for replica in self._replicas.values():
            replica.close_without_flush()

    def _open_or_create(self, owner: str) -> Replica | None:
        replica = self._replicas.get(owner)
        if replica is not None:
            return replica
        if not _OWNER_NAME.fullmatch(owner):
            raise InvalidRecordsError(f"invalid owner name: {owner!r:.80}")
        try:
            replica = self._open(owner)
        except OSError as err:
            logger.error("replicas: cannot create the replica of {}: {}", owner, err)
            return None
        self._replicas[owner] = replica
        return replica

    def _open(self, owner: str) -> Replica:
        path = self._directory / owner
        path.mkdir(exist_ok=True)
        return Replica(path, replica_limit_bytes(self._limit_bytes, self.max_owner_count), self._disk)
