"""Replicas on disk: for each owner a message log in a directory of its own, within a common limit.

A replica is a message log (`winchspan.storage.message_log`) to which an owner's records are appended byte for
byte. Among them stand two kinds of its own, whose JSON object names them under `t`:

    copy     e, n   the record `n` of epoch `e` comes next
    promise  e      nothing under an epoch before `e` is accepted

Each record after a `copy` counts one on. A torn tail is cut off at recovery, so that what is left says up to
which record the replica has no gap. It is compacted as the journal is, with one of each behind the messages.
"""

from __future__ import annotations

import json
import re
import shutil
from dataclasses import replace
from pathlib import Path
from typing import Any, Final

from loguru import logger

from winchspan.replication.replica_set import AppendRecords, PersistEpoch, ReplaceRecords, ReplicaState
from winchspan.runtime.system import Disk
from winchspan.storage.errors import StorageError
from winchspan.storage.journal_records import JournalEntry, decode_journal_record
from winchspan.storage.message_log import MessageLog
from winchspan.storage.record_file import Record, encode_record, iterate_records

_OWNER_NAME: Final = re.compile(r"[0-9A-Za-z_-]{1,64}")  # it is part of a path
_RESERVED_KINDS: Final = ("file", "whole", "copy", "promise")  # of records that no owner sends
_MAX_SHOWN_BYTES: Final = 40  # of an invalid record, in the error's message


class InvalidRecordsError(StorageError, ValueError):
    """What an owner has sent are not records of a journal; the message says which is not."""


def parse_records(items: tuple[bytes, ...]) -> list[tuple[dict[str, Any], Record]]:
    """Decode records that an owner has sent.

    Returns:
        The JSON object of each, and the record.

    Raises:
        InvalidRecordsError: one of them is not exactly one complete record of an owner's kind.
    """
    return [_parse_record(item) for item in items]


def _parse_record(item: bytes) -> tuple[dict[str, Any], Record]:
    records = list(iterate_records(item))
    try:
        record = records[0]
        fields = json.loads(record.line)
        is_reserved_kind = fields["t"] in _RESERVED_KINDS
    except (IndexError, KeyError, TypeError, ValueError) as err:
        raise InvalidRecordsError(f"no record: {item[:_MAX_SHOWN_BYTES]!r}") from err
    if len(records) != 1 or record.size_bytes != len(item) or is_reserved_kind:
        raise InvalidRecordsError(f"no record: {item[:_MAX_SHOWN_BYTES]!r}")
    try:  # before any is written: what is on disk must be what can be applied
        decode_journal_record(fields, record.body)
    except (KeyError, TypeError, ValueError) as err:
        raise InvalidRecordsError(f"not the fields of its kind: {item[:_MAX_SHOWN_BYTES]!r}") from err
    return fields, record


class Replica(MessageLog):
    """The replica of one owner's work."""

    def __init__(self, directory: Path, limit_bytes: int, disk: Disk) -> None:
        """Open it, or create it.

        Args:
            directory: one that it has for itself.
            limit_bytes: what its files may take together.
            disk: the calls that change files.

        Raises:
            OSError: a file cannot be opened, truncated or removed.
        """
        self._epoch = 0
        self._last_index = 0
        self._promised_epoch = 0
        super().__init__(directory, limit_bytes, disk)

    @property
    def epoch(self) -> int:
        """The epoch of its records; 0: there is none."""
        return self._epoch

    @property
    def last_index(self) -> int:
        """The sequence number of the last record up to which there is no gap."""
        return self._last_index

    @property
    def promised_epoch(self) -> int:
        """Nothing under an earlier epoch is accepted."""
        return self._promised_epoch

    def append(self, epoch: int, first_index: int, items: tuple[bytes, ...]) -> bool:
        """Append records that follow what is here.

        Returns:
            Whether they are on disk; nothing has changed if there is no capacity.

        Raises:
            InvalidRecordsError: not all of them are an owner's records.
        """
        assert epoch == self._epoch and first_index == self._last_index + 1
        parsed = parse_records(items)
        if not self._append(b"".join(items)):
            return False
        self._apply_all(parsed)
        return True

    def replace(self, epoch: int, last_index: int, items: tuple[bytes, ...]) -> bool:
        """Replace all that is here by a full snapshot.

        Args:
            epoch: the snapshot's.
            last_index: number of the last record that it covers.
            items: its records.

        Returns:
            Whether it is on disk; nothing has changed if there is no capacity.

        Raises:
            InvalidRecordsError: not all of them are an owner's records.
        """
        parsed = parse_records(items)
        previous_state = self._state
        previous_epoch = self._epoch
        previous_index = self._last_index
        self._state = replace(
            previous_state, messages={}, live_bytes=0, class_tables={}, disabled_endpoints=[]
        )
        self._apply_all(parsed)
        self._epoch = epoch
        self._last_index = last_index
        if not self._compact(allow_growth=True):
            self._state = previous_state
            self._epoch = previous_epoch
            self._last_index = previous_index
            return False
        return True

    def persist_epoch(self, epoch: int) -> bool:
        """Record that nothing under an earlier epoch is accepted; False if there is no capacity."""
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


class ReplicaStore:
    """All replicas that a courier holds, each in a subdirectory named after its owner."""

    def __init__(self, directory: Path, limit_bytes: int, disk: Disk) -> None:
        """Open the replicas that are there.

        Args:
            directory: for all of them; it is created if it does not exist.
            limit_bytes: what all of them may take together, in equal parts by `max_owner_count`.
            disk: the calls that change files.

        Raises:
            OSError: the directory or a file cannot be opened.
        """
        self._directory = directory
        self._limit_bytes = limit_bytes
        self._disk = disk
        self._replicas: dict[str, Replica] = {}
        self.max_owner_count = 1  # owners that a courier may hold replicas of at once
        directory.mkdir(exist_ok=True)
        for path in sorted(directory.iterdir()):
            if path.is_dir() and _OWNER_NAME.fullmatch(path.name):
                self._replicas[path.name] = self._open(path.name)
            else:
                logger.warning("replicas: {} is not a replica, and is left alone", path)

    def replica_states(self) -> dict[str, ReplicaState]:
        """What is on disk of each owner's work, as a `ReplicaSet` begins with it."""
        return {
            owner: ReplicaState(replica.promised_epoch, replica.epoch, replica.last_index)
            for owner, replica in self._replicas.items()
        }

    def replica(self, owner: str) -> Replica | None:
        """The replica of an owner's work, if there is one."""
        return self._replicas.get(owner)

    def persist(self, command: AppendRecords | ReplaceRecords | PersistEpoch) -> bool:
        """Carry out a command of a `ReplicaSet`.

        Returns:
            Whether it is on disk; nothing has changed if there is no capacity.

        Raises:
            InvalidRecordsError: its records, or its owner's name, are invalid.
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
        """The open messages of an owner's work, in the order of acceptance."""
        replica = self._replicas.get(owner)
        return replica.open_messages if replica is not None else []

    def remove(self, owner: str) -> None:
        """Remove a replica: its work is over, or held elsewhere."""
        replica = self._replicas.pop(owner, None)
        if replica is not None:
            replica.abandon()
            shutil.rmtree(self._directory / owner, ignore_errors=True)

    def close(self) -> None:
        """Let go of all files."""
        for replica in self._replicas.values():
            replica.abandon()

    def _open_or_create(self, owner: str) -> Replica | None:
        replica = self._replicas.get(owner)
        if replica is not None:
            return replica
        if not _OWNER_NAME.fullmatch(owner):
            raise InvalidRecordsError(f"no owner's name: {owner!r:.80}")
        try:
            replica = self._open(owner)
        except OSError as err:
            logger.error("replicas: cannot create that of {}: {}", owner, err)
            return None
        self._replicas[owner] = replica
        return replica

    def _open(self, owner: str) -> Replica:
        path = self._directory / owner
        path.mkdir(exist_ok=True)
        return Replica(path, self._limit_bytes // max(1, self.max_owner_count), self._disk)
