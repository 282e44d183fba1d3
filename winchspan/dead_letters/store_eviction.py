"""Makes room in the store: by age first, and then by what is safest to lose (`eviction`)."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final, NamedTuple

from winchspan.dead_letters.database import SLACK_BYTES
from winchspan.dead_letters.eviction import RANK_REDELIVERING

DAY_MS: Final = 86_400_000.0
MAX_EXPIRED_PER_TRANSACTION: Final = 200  # rows that are evicted for their age


@dataclass(frozen=True, slots=True)
class StoreBounds:
    """How much is stored at most.

    Attributes:
        file_bytes: size of the file, and of what the messages count for.
        message_count: dead letters.
        retention_days: time since their end.
        audit_entry_count: operators' actions in the audit log, or a tenth more.
    """

    file_bytes: int = 64_000_000
    message_count: int = 200_000
    retention_days: float = 30.0
    audit_entry_count: int = 10_000


@dataclass(frozen=True, slots=True)
class SpaceRequest:
    """Room for some new messages."""

    size_bytes: int
    message_count: int


class _EvictableRow(NamedTuple):
    number: int
    rank: int
    size_bytes: int


def free_space(
    database: sqlite3.Connection, bounds: StoreBounds, request: SpaceRequest, now_ms: float
) -> int:
    """Evict what must go for new messages, within a transaction, counted by rank.

    Args:
        database: the store, within a transaction.
        bounds: how much may be stored.
        request: the room that is needed.
        now_ms: the time, in Unix ms.

    Returns:
        How many messages were evicted.

    Raises:
        sqlite3.OperationalError: if there is no room, and nothing that may be lost.
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
    """Return what goes beyond the expired; the room that those make is not counted on."""
    totals = dict(database.execute("SELECT name, value FROM totals"))
    free_count = bounds.message_count - totals["count"] - request.message_count
    row_bytes = (bounds.file_bytes - SLACK_BYTES) // 2  # rows, and as much for indices
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
