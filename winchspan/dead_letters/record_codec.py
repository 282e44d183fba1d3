"""Encodes dead letters and failure histories as JSON.

The field names of the encoded types are those of the journal, the store's rows, exports and the control
commands. They must not change, because data of every earlier version has to be readable.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from winchspan.dead_letters.records import (
    AttemptHistory,
    DeadLetter,
    DeadLetterState,
    DestinationSnapshot,
    ExecutionEvidence,
    FailureHistory,
)

JsonObject = dict[str, Any]  # a JSON object


class _EncodedAttempt(msgspec.Struct):
    endpoint: str
    at: float
    outcome: str
    took: float = 0.0
    wait: float = 0.0


class _EncodedDestination(msgspec.Struct):
    window: int = 0
    calls: int = 0
    queue: int = 0
    sick: int = 0
    endpoints: int = 0
    waits: float = 0.0


class _EncodedHistory(msgspec.Struct):
    reason: str
    at: float
    attempts: tuple[_EncodedAttempt, ...] = ()
    earlier: int = 0
    seen: _EncodedDestination = msgspec.field(default_factory=_EncodedDestination)


class _EncodedDeadLetter(msgspec.Struct):
    id: str
    deadline: float
    cls: str
    dest: int
    key: int | None
    token: str
    body: bytes
    end: str
    story: _EncodedHistory
    ran: ExecutionEvidence
    evidence: str
    ran_at: float | None
    state: DeadLetterState
    number: int = 0
    resends: int = 0
    next_at: float = 0.0
    note: str = ""
    approved: bool = False
    released: str = ""


def destination_snapshot(fields: Mapping[str, object]) -> DestinationSnapshot:
    """Return the snapshot of a destination from fields under their encoded names.

    Raises:
        msgspec.ValidationError: if a field has the wrong type.
    """
    return _decoded_destination(msgspec.convert(fields, _EncodedDestination))


def failure_history_to_json(history: FailureHistory) -> JsonObject:
    """Encode a failure history for a journal record."""
    encoded: JsonObject = msgspec.to_builtins(_encoded_history(history))
    return encoded


def failure_history_from_json(fields: Mapping[str, object]) -> FailureHistory:
    """Decode a failure history of a journal record.

    Raises:
        msgspec.ValidationError: if the fields are not a failure history.
    """
    return _decoded_history(msgspec.convert(fields, _EncodedHistory))


def encode_failure_history(history: FailureHistory) -> bytes:
    """Encode a failure history for a row of the store."""
    return msgspec.json.encode(_encoded_history(history))


def decode_failure_history(data: bytes) -> FailureHistory:
    """Decode a failure history of a row of the store.

    Raises:
        msgspec.MsgspecError: if the data is not a failure history.
    """
    return _decoded_history(msgspec.json.decode(data, type=_EncodedHistory))


def dead_letter_to_json(dead_letter: DeadLetter) -> JsonObject:
    """Encode a dead letter as in exports, except for the key, which is a number here."""
    encoded: JsonObject = msgspec.to_builtins(_encoded_dead_letter(dead_letter))
    return encoded


def dead_letter_from_json(fields: Mapping[str, object]) -> DeadLetter:
    """Decode a dead letter of an export; its key is a number here.

    Raises:
        msgspec.MsgspecError: if the fields are not a dead letter.
    """
    encoded = msgspec.json.decode(msgspec.json.encode(fields), type=_EncodedDeadLetter)
    return DeadLetter(
        id=encoded.id,
        deadline_unix_ms=encoded.deadline,
        class_name=encoded.cls,
        destination=encoded.dest,
        key=encoded.key,
        idempotency_key=encoded.token,
        body=encoded.body,
        final_state=encoded.end,
        failure_history=_decoded_history(encoded.story),
        execution_evidence=encoded.ran,
        evidence_text=encoded.evidence,
        first_run_unix_ms=encoded.ran_at,
        state=encoded.state,
        number=encoded.number,
        redelivery_count=encoded.resends,
        next_redelivery_unix_ms=encoded.next_at,
        note=encoded.note,
        is_approved=encoded.approved,
        release_statement=encoded.released,
    )


def _encoded_dead_letter(dead_letter: DeadLetter) -> _EncodedDeadLetter:
    return _EncodedDeadLetter(
        id=dead_letter.id,
        deadline=dead_letter.deadline_unix_ms,
        cls=dead_letter.class_name,
        dest=dead_letter.destination,
        key=dead_letter.key,
        token=dead_letter.idempotency_key,
        body=dead_letter.body,
        end=dead_letter.final_state,
        story=_encoded_history(dead_letter.failure_history),
        ran=dead_letter.execution_evidence,
        evidence=dead_letter.evidence_text,
        ran_at=dead_letter.first_run_unix_ms,
        state=dead_letter.state,
        number=dead_letter.number,
        resends=dead_letter.redelivery_count,
        next_at=dead_letter.next_redelivery_unix_ms,
        note=dead_letter.note,
        approved=dead_letter.is_approved,
        released=dead_letter.release_statement,
    )


def _encoded_history(history: FailureHistory) -> _EncodedHistory:
    destination = history.destination
    return _EncodedHistory(
        reason=history.reason,
        at=history.ended_unix_ms,
        attempts=tuple(_encoded_attempt(attempt) for attempt in history.attempts),
        earlier=history.unrecorded_attempt_count,
        seen=_EncodedDestination(
            window=destination.window,
            calls=destination.calls_in_flight,
            queue=destination.queued_message_count,
            sick=destination.unhealthy_endpoint_count,
            endpoints=destination.usable_endpoint_count,
            waits=destination.retry_after_ms,
        ),
    )


def _encoded_attempt(attempt: AttemptHistory) -> _EncodedAttempt:
    return _EncodedAttempt(
        endpoint=attempt.endpoint,
        at=attempt.started_unix_ms,
        outcome=attempt.outcome,
        took=attempt.duration_ms,
        wait=attempt.retry_after_ms,
    )


def _decoded_history(encoded: _EncodedHistory) -> FailureHistory:
    return FailureHistory(
        reason=encoded.reason,
        ended_unix_ms=encoded.at,
        attempts=tuple(_decoded_attempt(attempt) for attempt in encoded.attempts),
        unrecorded_attempt_count=encoded.earlier,
        destination=_decoded_destination(encoded.seen),
    )


def _decoded_attempt(encoded: _EncodedAttempt) -> AttemptHistory:
    return AttemptHistory(
        endpoint=encoded.endpoint,
        started_unix_ms=encoded.at,
        outcome=encoded.outcome,
        duration_ms=encoded.took,
        retry_after_ms=encoded.wait,
    )


def _decoded_destination(encoded: _EncodedDestination) -> DestinationSnapshot:
    return DestinationSnapshot(
        window=encoded.window,
        calls_in_flight=encoded.calls,
        queued_message_count=encoded.queue,
        unhealthy_endpoint_count=encoded.sick,
        usable_endpoint_count=encoded.endpoints,
        retry_after_ms=encoded.waits,
    )
