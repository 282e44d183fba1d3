"""Maps dead letters to rows of the store's table `kept`."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final

import msgspec

from winchspan.dead_letters.errors import DeadLetterStoreError
from winchspan.dead_letters.eviction import eviction_rank
from winchspan.dead_letters.record_codec import decode_failure_history, encode_failure_history
from winchspan.dead_letters.records import DeadLetter, DeadLetterState, ExecutionEvidence

SqlValue = str | int | float | bytes | None
Row = Sequence[Any]  # a row that SQLite returns

_READ_COLUMN_NAMES: Final = (
    "number", "id", "deadline", "cls", "dest", "key", "token", "body", "end", "story", "ran", "evidence",
    "ran_at", "state", "resends", "next_at", "note", "approved", "released",
    "effect",
)  # fmt: skip
READ_COLUMNS: Final = ", ".join(_READ_COLUMN_NAMES)


def encode_key(key: int | None) -> str | None:
    """Return an ordering key as stored: hexadecimal, because SQLite's integers cannot hold its 128 bits."""
    return None if key is None else f"{key:x}"


def insert_statement(columns: Iterable[str]) -> str:
    """Return the statement that inserts a row of named values; it skips a message that is stored already."""
    names = list(columns)
    placeholders = ", ".join(f":{name}" for name in names)
    return f"INSERT OR IGNORE INTO kept({', '.join(names)}) VALUES({placeholders})"


def update_statement(columns: Iterable[str]) -> str:
    """Return the statement that sets named values in the row of `:number`."""
    assignments = ", ".join(f"{name} = :{name}" for name in columns)
    return f"UPDATE kept SET {assignments} WHERE number = :number"


def mutable_values(dead_letter: DeadLetter, *, has_effect: bool) -> Mapping[str, SqlValue]:
    """Return the values of the mutable columns.

    Args:
        dead_letter: the message.
        has_effect: whether a second delivery of it has an effect.
    """
    history = dead_letter.failure_history
    return {
        "end": dead_letter.final_state,
        "story": encode_failure_history(history),
        "reason": history.reason,
        "ran": dead_letter.execution_evidence.value,
        "evidence": dead_letter.evidence_text,
        "ran_at": dead_letter.first_run_unix_ms,
        "state": dead_letter.state.value,
        "resends": dead_letter.redelivery_count,
        "next_at": dead_letter.next_redelivery_unix_ms,
        "note": dead_letter.note,
        "approved": int(dead_letter.is_approved),
        "released": dead_letter.release_statement,
        "rank": eviction_rank(dead_letter, has_effect=has_effect),
    }


def all_values(dead_letter: DeadLetter, *, has_effect: bool) -> Mapping[str, SqlValue]:
    """Return the values of all columns except the number, which the store assigns; see `mutable_values`."""
    return {
        "id": dead_letter.id,
        "deadline": dead_letter.deadline_unix_ms,
        "cls": dead_letter.class_name,
        "dest": dead_letter.destination,
        "key": encode_key(dead_letter.key),
        "token": dead_letter.idempotency_key,
        "body": dead_letter.body,
        "ended_at": dead_letter.failure_history.ended_unix_ms,
        "effect": int(has_effect),
        "size": dead_letter.size_bytes,
        **mutable_values(dead_letter, has_effect=has_effect),
    }


def decode_row(row: Row) -> DeadLetter:
    """Return the dead letter of a row of `READ_COLUMNS`.

    Raises:
        DeadLetterStoreError: if a column has an invalid value.
    """
    column = dict(zip(_READ_COLUMN_NAMES, row, strict=True))
    try:
        return DeadLetter(
            id=column["id"],
            deadline_unix_ms=column["deadline"],
            class_name=column["cls"],
            destination=column["dest"],
            key=None if column["key"] is None else int(column["key"], 16),
            idempotency_key=column["token"],
            body=bytes(column["body"]),
            final_state=column["end"],
            failure_history=decode_failure_history(column["story"]),
            execution_evidence=ExecutionEvidence(column["ran"]),
            evidence_text=column["evidence"],
            first_run_unix_ms=column["ran_at"],
            state=DeadLetterState(column["state"]),
            number=column["number"],
            redelivery_count=column["resends"],
            next_redelivery_unix_ms=column["next_at"],
            note=column["note"],
            is_approved=bool(column["approved"]),
            release_statement=column["released"],
            has_effect=bool(column["effect"]),
        )
    except (ValueError, TypeError, msgspec.MsgspecError) as err:
        raise DeadLetterStoreError(f"message {column['number']}: cannot be read: {err}") from err
