"""Opens the store's SQLite file: its schema, migrations and limits.

The schema and the texts in its rows must stay readable as earlier versions wrote them. A change needs a
further migration.
"""

from __future__ import annotations

import os
import sqlite3
from dataclasses import dataclass
from pathlib import Path
from typing import Final, NamedTuple

from winchspan.dead_letters.errors import DeadLetterStoreError

APPLICATION_ID: Final = 0x57494E43  # 'WINC', identifies the file in SQLite's header
SCHEMA_VERSION: Final = 2
FIRST_VERSION_WITH_CHAIN_START: Final = 2  # added the table `trail_start`
PAGE_BYTES: Final = 4096
SLACK_BYTES: Final = 64 * PAGE_BYTES  # part of the size limit reserved for indices and free pages
MIN_PAGES: Final = 64
BUSY_TIMEOUT_SECONDS: Final = 1.0  # longest wait for a lock that another process holds
FILE_MODE: Final = 0o600  # only the owner may read the message bodies

_MIGRATIONS: Final[tuple[str, ...]] = (
    """
CREATE TABLE kept(
    number INTEGER PRIMARY KEY AUTOINCREMENT,
    id TEXT NOT NULL, deadline REAL NOT NULL, cls TEXT NOT NULL, dest INTEGER NOT NULL, key TEXT,
    token TEXT NOT NULL, body BLOB NOT NULL, end TEXT NOT NULL, story BLOB NOT NULL, reason TEXT NOT NULL,
    ended_at REAL NOT NULL, ran TEXT NOT NULL, evidence TEXT NOT NULL, ran_at REAL, state TEXT NOT NULL,
    resends INTEGER NOT NULL, next_at REAL NOT NULL, note TEXT NOT NULL, approved INTEGER NOT NULL DEFAULT 0,
    released TEXT NOT NULL DEFAULT '', effect INTEGER NOT NULL, rank INTEGER NOT NULL,
    size INTEGER NOT NULL, UNIQUE(id, deadline));
CREATE TABLE trail(seq INTEGER PRIMARY KEY, at REAL NOT NULL, who TEXT NOT NULL, action TEXT NOT NULL,
    number INTEGER NOT NULL, detail TEXT NOT NULL, hash BLOB NOT NULL);
CREATE INDEX kept_by_rank ON kept(rank, ended_at);
CREATE INDEX kept_by_dest ON kept(dest, ended_at);
CREATE INDEX kept_by_state ON kept(state, next_at);
CREATE INDEX kept_by_key ON kept(key) WHERE key IS NOT NULL;
CREATE INDEX kept_by_token ON kept(token) WHERE token <> '';
CREATE TABLE totals(name TEXT PRIMARY KEY, value INTEGER NOT NULL);
INSERT INTO totals VALUES('bytes', 0), ('count', 0);
CREATE TRIGGER kept_in AFTER INSERT ON kept BEGIN
    UPDATE totals SET value = value + new.size WHERE name = 'bytes';
    UPDATE totals SET value = value + 1 WHERE name = 'count';
END;
CREATE TRIGGER kept_out AFTER DELETE ON kept BEGIN
    UPDATE totals SET value = value - old.size WHERE name = 'bytes';
    UPDATE totals SET value = value - 1 WHERE name = 'count';
END;
""",
    """
CREATE TABLE trail_start(seq INTEGER NOT NULL, hash BLOB NOT NULL);
INSERT INTO trail_start VALUES(0, x'');
""",
)


@dataclass(frozen=True, slots=True)
class DatabaseOptions:
    """Options for opening the file.

    Attributes:
        max_bytes: size limit of the file.
        is_durable: a commit waits for the disk, so that it survives a crash of the machine.
        is_read_only: the file must exist, and is neither created nor migrated.
    """

    max_bytes: int
    is_durable: bool = False
    is_read_only: bool = False


class OpenDatabase(NamedTuple):
    """An open file and the version of its schema."""

    connection: sqlite3.Connection
    version: int


def open_database(path: Path, options: DatabaseOptions) -> OpenDatabase:
    """Open a store's file. Unless it is opened read-only, create or migrate it.

    Raises:
        DeadLetterStoreError: if the file is missing, is not a store, or has a later version.
        sqlite3.Error: if the file is damaged, or cannot be read or written.
        OSError: if the file's mode cannot be set.
    """
    connection = _connect(path, is_read_only=options.is_read_only)
    try:
        version = _stored_version(connection, path)
        if not options.is_read_only:
            _configure(connection, options)
            _migrate(connection, version)
            version = SCHEMA_VERSION
        _check_integrity(connection)
    except BaseException:
        connection.close()
        raise
    return OpenDatabase(connection, version)


def _connect(path: Path, *, is_read_only: bool) -> sqlite3.Connection:
    if is_read_only and not path.exists():
        raise DeadLetterStoreError(f"{path}: there is no store")
    connection = sqlite3.connect(
        f"file:{path}?mode=ro" if is_read_only else path,
        uri=is_read_only,
        isolation_level=None,
        timeout=BUSY_TIMEOUT_SECONDS,
        check_same_thread=False,
    )
    if not is_read_only:
        os.chmod(path, FILE_MODE)
    return connection


def _stored_version(connection: sqlite3.Connection, path: Path) -> int:
    """Check that the file is a store, and return the version of its schema; 0 for a new file."""
    is_new = not _pragma(connection, "SELECT count(*) FROM sqlite_master")
    if not is_new and _pragma(connection, "PRAGMA application_id") != APPLICATION_ID:
        raise DeadLetterStoreError(f"{path}: not a store of dead letters")
    version = _pragma(connection, "PRAGMA user_version")
    if version > SCHEMA_VERSION:
        raise DeadLetterStoreError(f"{path}: has version {version}; expected at most {SCHEMA_VERSION}")
    return version


def _pragma(connection: sqlite3.Connection, statement: str) -> int:
    return int(connection.execute(statement).fetchone()[0])


def _configure(connection: sqlite3.Connection, options: DatabaseOptions) -> None:
    connection.execute(f"PRAGMA page_size = {PAGE_BYTES}")
    connection.execute("PRAGMA journal_mode = WAL")
    connection.execute(f"PRAGMA synchronous = {'FULL' if options.is_durable else 'NORMAL'}")
    connection.execute(f"PRAGMA max_page_count = {max(MIN_PAGES, options.max_bytes // PAGE_BYTES)}")
    connection.execute(f"PRAGMA journal_size_limit = {SLACK_BYTES}")


def _migrate(connection: sqlite3.Connection, version: int) -> None:
    for number in range(version, SCHEMA_VERSION):
        # One transaction per step: a crash leaves the schema before or after the step, nothing in between.
        connection.executescript(
            f"BEGIN IMMEDIATE; {_MIGRATIONS[number]} PRAGMA user_version = {number + 1};"
            f" PRAGMA application_id = {APPLICATION_ID}; COMMIT;"
        )


def _check_integrity(connection: sqlite3.Connection) -> None:
    fault = connection.execute("PRAGMA quick_check(1)").fetchone()[0]
    if fault != "ok":
        raise sqlite3.DatabaseError(f"damaged: {fault}")
    connection.execute("SELECT number FROM kept LIMIT 1").fetchone()
