"""Selects dead letters by their fields."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from winchspan.dead_letters.records import DeadLetterState, ExecutionEvidence
from winchspan.dead_letters.rows import SqlValue, encode_key


class SqlCondition(NamedTuple):
    """A condition for a `WHERE` clause, with the values of its placeholders."""

    text: str
    values: list[SqlValue]


@dataclass(frozen=True, slots=True)
class DeadLetterFilter:
    """Criteria that a dead letter must meet; None matches any.

    Attributes:
        class_name: message class.
        destination: number of the destination.
        final_state: final answer.
        reason: reason of the failure history.
        execution_evidence: evidence of an execution.
        state: state in the store.
        key: ordering key.
        idempotency_key: idempotency key.
        id: message identifier.
        since_unix_ms: the message ended at this time or later.
        until_unix_ms: the message ended before this time.
    """

    class_name: str | None = None
    destination: int | None = None
    final_state: str | None = None
    reason: str | None = None
    execution_evidence: ExecutionEvidence | None = None
    state: DeadLetterState | None = None
    key: int | None = None
    idempotency_key: str | None = None
    id: str | None = None
    since_unix_ms: float | None = None
    until_unix_ms: float | None = None

    def condition(self) -> SqlCondition:
        """Return the filter as a SQL condition on the store's rows."""
        evidence, state = self.execution_evidence, self.state
        conditions: dict[str, SqlValue] = {
            "cls = ?": self.class_name,
            "dest = ?": self.destination,
            "end = ?": self.final_state,
            "reason = ?": self.reason,
            "ran = ?": None if evidence is None else evidence.value,
            "state = ?": None if state is None else state.value,
            "key = ?": encode_key(self.key),
            "token = ?": self.idempotency_key,
            "id = ?": self.id,
            "ended_at >= ?": self.since_unix_ms,
            "ended_at < ?": self.until_unix_ms,
        }
        given = {text: value for text, value in conditions.items() if value is not None}
        return SqlCondition(" AND ".join(given) or "1", list(given.values()))
