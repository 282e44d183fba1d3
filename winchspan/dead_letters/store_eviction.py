"""Frees space in the store: expired messages first, then the lowest eviction ranks (`eviction`)."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final, NamedTuple

from winchspan.dead_letters.database import SLACK_BYTES
from winchspan.dead_letters.eviction import RANK_REDELIVERING

DAY_MS: Final = 86_400_000.0
MAX_EXPIRED_PER_TRANSACTION: Final = 200  # expired rows that one transaction evicts


@dataclass(frozen=True, slots=True)
class StoreBounds:
    """Upper bounds on the content of a store.

    Attributes:
        file_bytes: size of the file; the messages' sizes count against it.
        message_count: number of dead letters.
        retention_days: time from the end of a message to its expiry.
        audit_entry_count: number of entries in the audit log, which may exceed it by a tenth.
    """

    file_bytes: int = 64_000_000
    message_count: int = 200_000
    retention_days: float = 30.0
    audit_entry_count: int = 10_000


@dataclass(frozen=True, slots=True)
class SpaceRequest:
    """The space that new messages need."""

    size_bytes: int
    message_count: int


class _EvictableRow(NamedTuple):
    number: int
    rank: int
    size_bytes: int


def free_space(
    database: sqlite3.Connection, bounds: StoreBounds, request: SpaceRequest, now_ms: float
) -> int:
    """Evict messages to make space for new ones, within a transaction, and count the evictions by rank.

    Args:
        database: the store, within a transaction.
        bounds: bounds on the content.
        request: the space that is needed.
        now_ms: the current time, in Unix ms.

    Returns:
        The number of evicted messages.

    Raises:
        sqlite3.OperationalError: if the space is insufficient, and no message may be evicted.
    """
    evicted = _expired_rows(database, now_ms - bounds.retention_days * DAY_MS)
    evicted += _excess_rows(database, bounds, request, {row.number for row in evicted})
    for row in evicted:
        database.execute("DELETE FROM kept WHERE number = ?", (row.number,))
        database.execute(
            "INSERT INTO totals VALUES(?, 1) ON CONFLICT(name) DO UPDATE SET value = value + 1",
            (f"evicted_rank_{row.rank}",),
        )
    return len(evicted)


def _expired_rows(database: sqlite3.Connection, expiry_unix_ms: float) -> list[_EvictableRow]:
    rows = database.execute(
        "SELECT number, rank, size FROM kept WHERE ended_at < ? AND rank < ? LIMIT ?",
        (expiry_unix_ms, RANK_REDELIVERING, MAX_EXPIRED_PER_TRANSACTION),
    )
    return [_EvictableRow(*row) for row in rows]


def _excess_rows(
    database: sqlite3.Connection, bounds: StoreBounds, request: SpaceRequest, expired: set[int]
) -> list[_EvictableRow]:
    """Return the rows to evict in addition to the expired ones, whose space is not taken into account."""
    totals = dict(database.execute("SELECT name, value FROM totals"))
    free_count = bounds.message_count - totals["count"] - request.message_count
    row_bytes = (bounds.file_bytes - SLACK_BYTES) // 2  # the other half is for indices
    excess_bytes = totals["bytes"] + request.size_bytes - row_bytes
    excess: list[_EvictableRow] = []
    candidates = _rows_by_rank(database)
    while free_count < 0 or excess_bytes > 0:
        row = next(candidates, None)
        if row is None:
            raise sqlite3.OperationalError("no room, and nothing that may be lost")
        if row.number in expired:
            continue
        excess.append(row)
        free_count += 1
        excess_bytes -= row.size_bytes
    return excess


def _rows_by_rank(database: sqlite3.Connection) -> Iterator[_EvictableRow]:
    rows = database.execute(
        "SELECT number, rank, size FROM kept WHERE rank < ? ORDER BY rank, ended_at", (RANK_REDELIVERING,)
    )
    for row in rows:
        yield _EvictableRow(*row)
