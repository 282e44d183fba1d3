"""The audit log of operators' actions: entries chained by SHA-256, bounded by their number.

The hash of an entry covers the hash of the previous entry and all fields of the entry. Trimming deletes the
oldest entries: the chain then starts with the hash of the last deleted entry, and a trim entry, chained like
the others, records the number and the hash of that entry. A chain whose start has no trim entry is broken.

The tables `trail` and `trail_start` and the texts in them are a stored format, which must not change.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from hashlib import sha256
from typing import Any, Final, NamedTuple

import msgspec

from winchspan.dead_letters.errors import AuditLogError

TRIM_OPERATOR: Final = "winchspan"  # operator of the trim entries
TRIM_ACTION: Final = "trim"
SLACK_DIVISOR: Final = 10  # the log may exceed its bound by a tenth, so that not every append has to trim


class AuditEntry(NamedTuple):
    """One entry, in the order in which its fields are hashed.

    Attributes:
        sequence: the entry's number, starting at 1.
        at_unix_ms: time of the action.
        operator: name of the operator who acted.
        action: name of the action.
        message_number: the dead letter's number in the store; 0 for trim entries.
        detail: the operator's reason, or the source of an import or a report.
    """

    sequence: int
    at_unix_ms: float
    operator: str
    action: str
    message_number: int
    detail: str


@dataclass(frozen=True, slots=True)
class AuditedAction:
    """An operator's action to be logged; for the fields see `AuditEntry`."""

    at_unix_ms: float
    operator: str
    action: str
    detail: str = ""


class ChainStart(NamedTuple):
    """Number and hash of the last deleted entry; 0 and empty if none was deleted."""

    sequence: int
    hash: bytes


class HashedEntry(NamedTuple):
    """An entry with the hash that is stored with it."""

    entry: AuditEntry
    hash: bytes


@dataclass(frozen=True, slots=True)
class AuditPage:
    """A page of entries, oldest first, from a log whose chain was verified.

    Attributes:
        first_sequence: number of the log's oldest entry; 1 if it is empty.
        head: hash of the latest entry in hexadecimal digits, for operators to record elsewhere; empty if the
            log is empty.
        entries: the entries of the page.
    """

    first_sequence: int
    head: str
    entries: list[AuditEntry]


def entry_hash(previous_hash: bytes, entry: AuditEntry) -> bytes:
    """Return the hash of an entry."""
    return sha256(previous_hash + msgspec.json.encode(entry)).digest()


def trim_detail(start: ChainStart) -> str:
    """Return the detail of the trim entry that accounts for a chain's start."""
    return f"entries up to {start.sequence} let go, which ended with {start.hash.hex()}"


def append(
    database: sqlite3.Connection, max_entries: int, action: AuditedAction, message_number: int
) -> None:
    """Append an entry within a transaction, and trim a log that exceeds its bound by more than a tenth.

    Args:
        database: the store, within a transaction.
        max_entries: bound on the number of entries.
        action: the operator's action.
        message_number: the dead letter's number.
    """
    sequence = _insert(database, action, message_number)
    (start,) = database.execute("SELECT seq FROM trail_start").fetchone()
    if sequence - start <= max_entries + max(SLACK_DIVISOR, max_entries // SLACK_DIVISOR):
        return
    _trim(database, sequence + 1 - max_entries, action.at_unix_ms)


def _trim(database: sqlite3.Connection, last_deleted: int, at_unix_ms: float) -> None:
    (last_hash,) = database.execute("SELECT hash FROM trail WHERE seq = ?", (last_deleted,)).fetchone()
    detail = trim_detail(ChainStart(last_deleted, bytes(last_hash)))
    _insert(database, AuditedAction(at_unix_ms, TRIM_OPERATOR, TRIM_ACTION, detail), 0)
    database.execute("DELETE FROM trail WHERE seq <= ?", (last_deleted,))
    database.execute("UPDATE trail_start SET seq = ?, hash = ?", (last_deleted, last_hash))


def _insert(database: sqlite3.Connection, action: AuditedAction, message_number: int) -> int:
    row = database.execute("SELECT seq, hash FROM trail ORDER BY seq DESC LIMIT 1").fetchone()
    last_sequence, last_hash = row or (0, b"")
    entry = AuditEntry(
        last_sequence + 1,
        action.at_unix_ms,
        action.operator,
        action.action,
        message_number,
        action.detail,
    )
    database.execute("INSERT INTO trail VALUES(?,?,?,?,?,?,?)", (*entry, entry_hash(bytes(last_hash), entry)))
    return entry.sequence


def read(start: ChainStart, rows: Iterable[tuple[Any, ...]], after: int, limit: int) -> AuditPage:
    """Verify the complete chain, one row at a time, and return a page of it.

    The chain alone reveals removed, changed and inserted entries. Whoever can write the file can also rebuild
    the chain from some entry on: only a comparison with a head that was recorded elsewhere reveals that.

    Args:
        start: number and hash of the last deleted entry.
        rows: all rows of the table `trail`, ordered by number.
        after: last number of the previous page; 0 for the first page.
        limit: maximum number of entries in the page.

    Raises:
        AuditLogError: if the chain is broken.
    """
    sequence, previous_hash = start
    expected_trim_detail = trim_detail(start)
    has_valid_start = sequence == 0 and not previous_hash
    page: list[AuditEntry] = []
    for entry, stored_hash in _hashed_entries(rows):
        sequence += 1
        if entry.sequence != sequence or entry_hash(previous_hash, entry) != stored_hash:
            raise AuditLogError(f"the trail is broken at entry {sequence}")
        previous_hash = stored_hash
        has_valid_start = has_valid_start or _is_trim_entry(entry, expected_trim_detail)
        if entry.sequence > after and len(page) < limit:
            page.append(entry)
    if not has_valid_start:
        raise AuditLogError(
            f"the trail is broken at entry {start.sequence}: nothing says that those up to it may go"
        )
    head = previous_hash.hex() if sequence > start.sequence else ""
    return AuditPage(start.sequence + 1, head, page)


def _is_trim_entry(entry: AuditEntry, detail: str) -> bool:
    return entry.operator == TRIM_OPERATOR and entry.action == TRIM_ACTION and entry.detail == detail


def _hashed_entries(rows: Iterable[tuple[Any, ...]]) -> Iterator[HashedEntry]:
    for *fields, stored_hash in rows:
        yield HashedEntry(AuditEntry(*fields), bytes(stored_hash))
