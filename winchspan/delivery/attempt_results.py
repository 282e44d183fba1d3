"""Records the results of attempts and reports them to the scheduler."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from loguru import logger

from winchspan import api
from winchspan.delivery.context import EngineContext
from winchspan.delivery.event_queue import EventQueue
from winchspan.delivery.final_answers import FinalAnswers
from winchspan.delivery.message_table import MessageTable
from winchspan.delivery.messages import (
    STATE_FAILED,
    AcceptedMessage,
    AttemptRecord,
    AttemptResult,
    DeliveryAttempt,
)
from winchspan.runtime.clock import NS_PER_MS, ms_to_ns, ns_to_ms

MAY_HAVE_RUN: Final = frozenset(
    {api.Outcome.ERROR, api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CANCELLED}
)


@dataclass(slots=True)
class _JournalUpdates:
    """Journal records of one call's results, gathered to be written together."""

    completed: list[int] = field(default_factory=list)
    ended_attempts: dict[bool, list[int]] = field(default_factory=dict)  # by whether the attempt may have run


class AttemptResults:
    """Records the results of a call, message by message."""

    def __init__(
        self, context: EngineContext, table: MessageTable, events: EventQueue, answers: FinalAnswers
    ) -> None:
        self._context = context
        self._clock = context.clock
        self._journal = context.journal
        self._table = table
        self._events = events
        self._answers = answers

    def record(self, attempt: DeliveryAttempt, results: list[AttemptResult]) -> None:
        """Record the results of an attempt.

        Args:
            attempt: the attempt.
            results: one result for each of its members, in their order.
        """
        updates = _JournalUpdates()
        latency_ns = ms_to_ns(self._clock.now() - attempt.started_ms)
        self._log_completion(attempt, results, latency_ns)
        for (handle, attempt_number), result in zip(attempt.members, results, strict=True):
            message = self._table.get(handle)
            if message is None:
                continue
            message.attempt = None
            if message.is_completed and result.outcome is api.Outcome.DELIVERED:
                self._context.replication.report_delivered(message.id)
            self._record_history(message, attempt, result, ns_to_ms(latency_ns))
            is_final = result.is_final or message.is_completed
            is_open = not message.is_completed or self._table.is_withdrawn(message)
            is_delivered = result.outcome is api.Outcome.DELIVERED and is_open
            self._apply_result(message, result, updates)
            self._events.post(
                api.AttemptCompleted(
                    message.id,
                    attempt_number,
                    attempt.endpoint,
                    result.outcome,
                    latency_ns,
                    is_final,
                    ms_to_ns(result.retry_after_ms),
                    result.no_slot,
                    result.limit_remaining,
                    result.limit_rate,
                )
            )
            if is_final:
                self._table.complete(message, is_delivered=is_delivered)
        self._write(updates)

    def _log_completion(
        self, attempt: DeliveryAttempt, results: list[AttemptResult], latency_ns: int
    ) -> None:
        logger.debug(
            "attempt completed: endpoint {} after {} ms: {}",
            self._context.transport.describe(attempt.endpoint)[0],
            latency_ns // NS_PER_MS,
            [result.outcome.value for result in results],
        )

    def _record_history(
        self, message: AcceptedMessage, attempt: DeliveryAttempt, result: AttemptResult, latency_ms: float
    ) -> None:
        """Add an attempt to the failure history, unless its result rules out a dead letter."""
        if message.attempt_history is None:
            return
        if result.is_final and not message.is_completed and not message.redelivery_of:
            return
        message.attempt_history.append(
            AttemptRecord(
                self._context.transport.describe(attempt.endpoint)[0],
                self._clock.unix_ms() - latency_ms,
                result.outcome.value,
                latency_ms,
                result.retry_after_ms,
            )
        )

    def _apply_result(
        self, message: AcceptedMessage, result: AttemptResult, updates: _JournalUpdates
    ) -> None:
        """Apply a result to the journal updates, the metrics or the dead-letter store."""
        if message.is_completed:
            return
        is_delivered = result.outcome is api.Outcome.DELIVERED
        if not result.is_final:
            may_have_run = result.outcome in MAY_HAVE_RUN
            updates.ended_attempts.setdefault(may_have_run, []).append(message.journal_number)
        elif message.redelivery_of:
            self._answers.settle_redelivery_result(message, is_delivered=is_delivered, state=STATE_FAILED)
        else:
            updates.completed.append(message.journal_number)
            self._context.metrics.count_completed(
                "answered" if is_delivered else "errored", message.class_name
            )

    def _write(self, updates: _JournalUpdates) -> None:
        if updates.completed:
            self._journal.record_completed(updates.completed)
        for may_have_run, numbers in updates.ended_attempts.items():
            self._journal.record_attempt_ended(numbers, may_have_run)
