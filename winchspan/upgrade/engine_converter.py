"""Converts the delivery engine's messages, attempts and scheduler to records and back."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from winchspan.delivery.ended_messages import EndedMessage, EndedMessagesState
from winchspan.delivery.engine_state import EngineState
from winchspan.delivery.messages import AcceptedMessage, AttemptRecord, DeliveryAttempt
from winchspan.net.http_call import HttpCall
from winchspan.runtime.slot_table import SlotTable
from winchspan.upgrade.decisions_codec import decode_decisions, encode_decisions
from winchspan.upgrade.errors import HandOverError, StateFormatError
from winchspan.upgrade.records import (
    AttemptHistoryRecord,
    AttemptMemberRecord,
    DeliveryAttemptRecord,
    EndedMessageRecord,
    EndedMessagesRecord,
    EngineRecord,
    MessageRecord,
    MessageTableRecord,
)
from winchspan.upgrade.text_codec import decode_text, encode_text


def engine_to_record(state: EngineState, calls: Mapping[int, HttpCall]) -> EngineRecord:
    """Return the record of the engine; raises HandOverError if an attempt's call is not among `calls`."""
    attempts = _distinct_attempts(state.messages)
    call_indexes = {id(call): index for index, call in calls.items()}
    attempt_indexes = {id(attempt): index for index, attempt in enumerate(attempts)}
    return EngineRecord(
        decisions=encode_decisions(state.scheduler, state.pending_events),
        messages=_table_to_record(state.messages, attempt_indexes),
        attempts=[_attempt_to_record(attempt, call_indexes) for attempt in attempts],
        handles_by_id=state.handles_by_id,
        held_count=state.held_count,
        in_flight_count=state.in_flight_count,
    )


def engine_from_record(record: EngineRecord, calls: Mapping[int, HttpCall]) -> EngineState:
    """Return the engine's state from its record; raises HandOverError for an invalid reference."""
    scheduler, pending_events = decode_decisions(record.decisions)
    attempts = [_attempt_from_record(attempt, calls) for attempt in record.attempts]
    return EngineState(
        scheduler=scheduler,
        messages=_table_from_record(record.messages, attempts),
        handles_by_id=record.handles_by_id,
        held_count=record.held_count,
        in_flight_count=record.in_flight_count,
        pending_events=pending_events,
    )


def ended_to_record(state: EndedMessagesState) -> EndedMessagesRecord:
    """Return the record of the recently ended messages."""
    return EndedMessagesRecord(
        ended=[EndedMessageRecord(*message) for message in state.ended],
        complete_since_ms=state.complete_since_ms,
    )


def ended_from_record(record: EndedMessagesRecord) -> EndedMessagesState:
    """Return the recently ended messages from their record."""
    ended = [EndedMessage(each.id, each.ended_at_ms, each.is_delivered) for each in record.ended]
    return EndedMessagesState(ended, record.complete_since_ms)


def _distinct_attempts(messages: SlotTable[AcceptedMessage]) -> list[DeliveryAttempt]:
    """Return each attempt once, even if several messages share it."""
    attempts = {id(message.attempt): message.attempt for message in messages}
    return [attempt for attempt in attempts.values() if attempt is not None]


def _attempt_to_record(attempt: DeliveryAttempt, call_indexes: Mapping[int, int]) -> DeliveryAttemptRecord:
    if attempt.call is not None and id(attempt.call) not in call_indexes:
        raise HandOverError(
            f"attempt at endpoint {attempt.endpoint}: its call has no connection; expected one to hand over"
        )
    return DeliveryAttemptRecord(
        endpoint_number=attempt.endpoint,
        members=[
            AttemptMemberRecord(handle=handle, attempt_number=number) for handle, number in attempt.members
        ],
        started_ms=attempt.started_ms,
        call=None if attempt.call is None else call_indexes[id(attempt.call)],
        is_over=attempt.is_withdrawn,
        cancelled_handles=sorted(attempt.cancelled_handles),
    )


def _attempt_from_record(record: DeliveryAttemptRecord, calls: Mapping[int, HttpCall]) -> DeliveryAttempt:
    if record.call is not None and record.call not in calls:
        raise StateFormatError("attempt", f"call {record.call}", f"one of {len(calls)} calls")
    return DeliveryAttempt(
        endpoint=record.endpoint_number,
        members=[(member.handle, member.attempt_number) for member in record.members],
        started_ms=record.started_ms,
        call=None if record.call is None else calls[record.call],
        is_withdrawn=record.is_over,
        cancelled_handles=set(record.cancelled_handles),
    )


def _table_to_record(
    table: SlotTable[AcceptedMessage], attempt_indexes: Mapping[int, int]
) -> MessageTableRecord:
    """Return the record of the slots, so that handles stay valid and free slots are reused in order."""
    return MessageTableRecord(
        slots=[
            None if message is None else _message_to_record(message, attempt_indexes)
            for message in table._items
        ],
        generations=table._generations,
        free_indexes=table._free,
    )


def _table_from_record(
    record: MessageTableRecord, attempts: Sequence[DeliveryAttempt]
) -> SlotTable[AcceptedMessage]:
    if len(record.slots) != len(record.generations):
        problem = f"{len(record.generations)} generations"
        raise StateFormatError("message table", problem, f"{len(record.slots)}, as many as slots")
    free_indexes = [index for index, message in enumerate(record.slots) if message is None]
    if sorted(record.free_indexes) != free_indexes:
        raise StateFormatError("message table", "free indexes that are not", "those of the free slots")
    table = SlotTable[AcceptedMessage]()
    table._items = [
        None if message is None else _message_from_record(message, attempts) for message in record.slots
    ]
    table._generations = record.generations
    table._free = record.free_indexes
    table._size = len(record.slots) - len(free_indexes)
    return table


def _message_to_record(message: AcceptedMessage, attempt_indexes: Mapping[int, int]) -> MessageRecord:
    return MessageRecord(
        number=message.journal_number,
        id=message.id,
        destination=message.destination,
        deadline_ms=message.deadline_ms,
        token=message.idempotency_key,
        body=message.body,
        class_name=message.class_name,
        handle=message.handle,
        attempt_count=message.attempt_count,
        attempt=None if message.attempt is None else attempt_indexes[id(message.attempt)],
        is_over=message.is_completed,
        resend_number=message.redelivery_of,
        history=None
        if message.attempt_history is None
        else [_history_to_record(row) for row in message.attempt_history],
    )


def _message_from_record(record: MessageRecord, attempts: Sequence[DeliveryAttempt]) -> AcceptedMessage:
    if record.attempt is not None and record.attempt >= len(attempts):
        where = f"message {record.id}"
        raise StateFormatError(where, f"attempt {record.attempt}", f"one of {len(attempts)} attempts")
    return AcceptedMessage(
        journal_number=record.number,
        id=record.id,
        destination=record.destination,
        deadline_ms=record.deadline_ms,
        idempotency_key=record.token,
        body=record.body,
        class_name=record.class_name,
        handle=record.handle,
        attempt_count=record.attempt_count,
        attempt=None if record.attempt is None else attempts[record.attempt],
        is_completed=record.is_over,
        redelivery_of=record.resend_number,
        attempt_history=None
        if record.history is None
        else [_history_from_record(row) for row in record.history],
    )


def _history_to_record(row: AttemptRecord) -> AttemptHistoryRecord:
    return AttemptHistoryRecord(
        endpoint=encode_text(row.endpoint),
        started_unix_ms=row.started_unix_ms,
        outcome=row.outcome,
        duration_ms=row.duration_ms,
        wait_ms=row.retry_after_ms,
    )


def _history_from_record(record: AttemptHistoryRecord) -> AttemptRecord:
    return AttemptRecord(
        endpoint=decode_text(record.endpoint),
        started_unix_ms=record.started_unix_ms,
        outcome=record.outcome,
        duration_ms=record.duration_ms,
        retry_after_ms=record.wait_ms,
    )
