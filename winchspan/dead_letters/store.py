"""The store of dead letters: a SQLite file in WAL mode, bounded by bytes, count and age.

Every change is one transaction. One thread uses a `DeadLetterStore`; in the courier that is the thread of
`store_worker`. Tools open the same file, whether or not a courier is running.
"""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any, Final, NamedTuple, Unpack

from winchspan.dead_letters import audit_log
from winchspan.dead_letters.audit_log import AuditedAction, AuditPage, ChainStart
from winchspan.dead_letters.database import (
    FIRST_VERSION_WITH_CHAIN_START,
    DatabaseOptions,
    open_database,
)
from winchspan.dead_letters.errors import AuditLogError, DeadLetterStoreError
from winchspan.dead_letters.filters import DeadLetterFilter
from winchspan.dead_letters.record_codec import JsonObject
from winchspan.dead_letters.records import DeadLetter, DeadLetterChanges, DeadLetterState
from winchspan.dead_letters.rows import (
    READ_COLUMNS,
    SqlValue,
    all_values,
    decode_row,
    insert_statement,
    mutable_values,
    update_statement,
)
from winchspan.dead_letters.store_eviction import SpaceRequest, StoreBounds, free_space

STORE_FILE_NAME: Final = "undelivered.sqlite"
IMPORT_ACTION: Final = "import"  # name of the action in the audit log
ALL_ENTRIES: Final = 1_000_000_000
DEFAULT_LIMIT: Final = 100

_STATS_COLUMNS: Final = ("state", "end", "reason", "ran", "dest")
_DAMAGE_ERROR_TEXTS: Final = ("damaged", "malformed", "not a database", "disk image", "no such table")
_FILE_SUFFIXES: Final = ("", "-wal", "-shm")


class ChangeStamp(NamedTuple):
    """Changes with every change of the store, by this connection or by another process."""

    data_version: int
    local_change_count: int


class DeadLetterStore:
    """One store file. All its failures are raised as `DeadLetterStoreError`."""

    def __init__(
        self,
        path: Path,
        bounds: StoreBounds,
        has_effect: Callable[[str], bool] = lambda class_name: True,
        *,
        durable: bool = False,
        read_only: bool = False,
    ) -> None:
        """Open a store. Unless it is opened read-only, create or migrate it.

        Args:
            path: the file; its directory must exist.
            bounds: bounds on the content.
            has_effect: returns whether a second delivery of a class has an effect. It is called when a
                message is added, to rank the message for eviction.
            durable: whether a commit waits for the disk, so that it survives a crash of the machine.
            read_only: open without write access, for tools.

        Raises:
            DeadLetterStoreError: if the file cannot be used, or is missing and opened read-only.
        """
        self._path = path
        self._bounds = bounds
        self._has_effect = has_effect
        options = DatabaseOptions(bounds.file_bytes, is_durable=durable, is_read_only=read_only)
        try:
            self._database, self._version = open_database(path, options)
        except (sqlite3.Error, OSError) as err:
            raise self._error(err) from err

    def close(self) -> None:
        """Close the file; may be called twice."""
        self._database.close()

    def _error(self, err: Exception) -> DeadLetterStoreError:
        return DeadLetterStoreError(f"{self._path}: {err}")

    @contextmanager
    def _transaction(self) -> Iterator[sqlite3.Connection]:
        """Run a transaction; an error rolls it back."""
        try:
            self._database.execute("BEGIN IMMEDIATE")
            try:
                yield self._database
                self._database.execute("COMMIT")
            except BaseException:
                if self._database.in_transaction:
                    self._database.execute("ROLLBACK")
                raise
        except sqlite3.Error as err:
            raise self._error(err) from err

    @contextmanager
    def _snapshot(self) -> Iterator[sqlite3.Connection]:
        """Read from one snapshot, which excludes concurrent changes."""
        try:
            self._database.execute("BEGIN")
            try:
                yield self._database
            finally:
                self._database.execute("COMMIT")
        except sqlite3.Error as err:
            raise self._error(err) from err

    def _fetch(self, statement: str, values: Sequence[SqlValue] = ()) -> list[Any]:
        try:
            return self._database.execute(statement, values).fetchall()
        except sqlite3.Error as err:
            raise self._error(err) from err

    # ---- changes -----------------------------------------------------------------------------------------
    def add(
        self, dead_letters: Sequence[DeadLetter], now_ms: float, operator: str = "", source: str = ""
    ) -> int:
        """Store all messages or none; messages that are stored already stay unchanged.

        Args:
            dead_letters: the messages.
            now_ms: the current time, in Unix ms.
            operator: operator who imports them, for an entry per message in the audit log; empty for messages
                of the courier itself.
            source: name of the import's source.

        Returns:
            The number of messages that were evicted for them.
        """
        request = SpaceRequest(sum(each.size_bytes for each in dead_letters), len(dead_letters))
        with self._transaction() as database:
            evicted_count = free_space(database, self._bounds, request, now_ms)
            for dead_letter in dead_letters:
                has_effect = dead_letter.has_effect
                if has_effect is None:
                    has_effect = self._has_effect(dead_letter.class_name)
                values = all_values(dead_letter, has_effect=has_effect)
                database.execute(insert_statement(values), values)
                if operator:
                    action = AuditedAction(now_ms, operator, IMPORT_ACTION, source)
                    self._log(database, action, self._number_of(database, dead_letter))
        return evicted_count

    def update(
        self,
        number: int,
        expected: DeadLetterState,
        action: AuditedAction | None = None,
        **changes: Unpack[DeadLetterChanges],
    ) -> bool:
        """Change a message if it is in the expected state.

        The check of the state guards against concurrent changes of a message: only the first one succeeds.

        Args:
            number: the message's number.
            expected: the state that the message must be in.
            action: the operator's action, logged in the same transaction; None if no operator acts.
            changes: the fields to change.

        Returns:
            Whether the message was changed; False if it is in another state or not stored.
        """
        with self._transaction() as database:
            row = database.execute(
                f"SELECT {READ_COLUMNS} FROM kept WHERE number = ? AND state = ?",
                (number, expected.value),
            ).fetchone()
            if row is None:
                return False
            dead_letter = replace(decode_row(row), **changes)
            values = mutable_values(dead_letter, has_effect=bool(dead_letter.has_effect))
            database.execute(update_statement(values), {**values, "number": number})
            if action is not None:
                self._log(database, action, number)
            return True

    def _log(self, database: sqlite3.Connection, action: AuditedAction, number: int) -> None:
        audit_log.append(database, self._bounds.audit_entry_count, action, number)

    @staticmethod
    def _number_of(database: sqlite3.Connection, dead_letter: DeadLetter) -> int:
        key = (dead_letter.id, dead_letter.deadline_unix_ms)
        row = database.execute("SELECT number FROM kept WHERE id = ? AND deadline = ?", key).fetchone()
        return int(row[0])

    # ---- queries -----------------------------------------------------------------------------------------
    def contains(self, message_id: str, deadline_unix_ms: float) -> bool:
        """Return whether a message is stored."""
        key = (message_id, deadline_unix_ms)
        return bool(self._fetch("SELECT 1 FROM kept WHERE id = ? AND deadline = ?", key))

    def get(self, number: int) -> DeadLetter | None:
        """Return a message by its number, or None if it is not stored."""
        rows = self._fetch(f"SELECT {READ_COLUMNS} FROM kept WHERE number = ?", (number,))
        return decode_row(rows[0]) if rows else None

    def find(
        self,
        wanted: DeadLetterFilter,
        limit: int = DEFAULT_LIMIT,
        after: int = 0,
        *,
        oldest_first: bool = False,
    ) -> list[DeadLetter]:
        """Return a page of the messages that a filter selects.

        Args:
            wanted: the filter.
            limit: maximum number of messages in the page.
            after: last number of the previous page; 0 for the first page.
            oldest_first: order by ascending number.
        """
        text, values = wanted.condition()
        if after:
            text += f" AND number {'>' if oldest_first else '<'} ?"
            values.append(after)
        order = "ASC" if oldest_first else "DESC"
        statement = f"SELECT {READ_COLUMNS} FROM kept WHERE {text} ORDER BY number {order} LIMIT ?"
        return [decode_row(row) for row in self._fetch(statement, [*values, limit])]

    def count(self, wanted: DeadLetterFilter) -> int:
        """Return the number of messages that a filter selects."""
        text, values = wanted.condition()
        return int(self._fetch(f"SELECT count(*) FROM kept WHERE {text}", values)[0][0])

    def due_for_redelivery(self, now_ms: float, limit: int) -> list[DeadLetter]:
        """Return pending messages that are due for redelivery, the longest due first."""
        rows = self._fetch(
            f"SELECT {READ_COLUMNS} FROM kept WHERE state = ? AND next_at <= ?"
            " ORDER BY next_at, number LIMIT ?",
            (DeadLetterState.PENDING.value, now_ms, limit),
        )
        return [decode_row(row) for row in rows]

    def next_due_unix_ms(self) -> float:
        """Return when the next pending message is due; infinity if there is none."""
        state = DeadLetterState.PENDING.value
        due = self._fetch("SELECT min(next_at) FROM kept WHERE state = ?", (state,))[0][0]
        return float("inf") if due is None else float(due)

    def change_stamp(self) -> ChangeStamp:
        """Return a stamp of the store's current content."""
        return ChangeStamp(int(self._fetch("PRAGMA data_version")[0][0]), self._database.total_changes)

    def stats(self) -> JsonObject:
        """Return totals, and counts by state, final answer, reason, evidence and destination, as JSON."""
        totals: JsonObject = dict(self._fetch("SELECT name, value FROM totals ORDER BY name"))
        groups: JsonObject = {
            name: dict(self._fetch(f"SELECT {name}, count(*) FROM kept GROUP BY {name} ORDER BY {name}"))
            for name in _STATS_COLUMNS
        }
        file_bytes = self._fetch("PRAGMA page_count")[0][0] * self._fetch("PRAGMA page_size")[0][0]
        return {"file_bytes": file_bytes, **totals, **groups}

    def read_audit_log(self, after: int = 0, limit: int = ALL_ENTRIES) -> AuditPage:
        """Verify the complete hash chain of the audit log, and return a page of it, oldest entry first.

        Args:
            after: last number of the previous page; 0 for the first page.
            limit: maximum number of entries in the page.

        Raises:
            DeadLetterStoreError: if the chain is broken.
        """
        try:
            with self._snapshot() as database:
                rows = database.execute("SELECT * FROM trail ORDER BY seq")
                return audit_log.read(self._chain_start(database), rows, after, limit)
        except AuditLogError as err:
            raise self._error(err) from err

    def _chain_start(self, database: sqlite3.Connection) -> ChainStart:
        if self._version < FIRST_VERSION_WITH_CHAIN_START:
            return ChainStart(0, b"")
        sequence, start_hash = database.execute("SELECT seq, hash FROM trail_start").fetchone()
        return ChainStart(sequence, bytes(start_hash))


class OpenedStore(NamedTuple):
    """An open store, and the new path of a damaged file that it replaces, if any."""

    store: DeadLetterStore
    damaged_path: Path | None


def open_or_replace(
    path: Path,
    bounds: StoreBounds,
    has_effect: Callable[[str], bool],
    now_ms: float,
    *,
    durable: bool = False,
) -> OpenedStore:
    """Open a store. A damaged file is renamed and replaced by a new store.

    Raises:
        DeadLetterStoreError: if the file has a later version or is not a store; it stays unchanged.
    """
    try:
        return OpenedStore(DeadLetterStore(path, bounds, has_effect, durable=durable), None)
    except DeadLetterStoreError as err:
        if not any(text in str(err) for text in _DAMAGE_ERROR_TEXTS):
            raise
    damaged_path = path.with_name(f"{path.name}.damaged-{int(now_ms)}")
    for suffix in _FILE_SUFFIXES:
        old = Path(f"{path}{suffix}")
        if old.exists():
            os.replace(old, f"{damaged_path}{suffix}")
    return OpenedStore(DeadLetterStore(path, bounds, has_effect, durable=durable), damaged_path)
