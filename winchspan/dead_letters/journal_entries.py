"""Converts journal entries to dead letters and failure histories."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec
from loguru import logger

from winchspan import api
from winchspan.dead_letters.evidence import FailureContext, execution_finding, failure_reason
from winchspan.dead_letters.record_codec import destination_snapshot, failure_history_from_json
from winchspan.dead_letters.records import (
    AttemptHistory,
    DeadLetter,
    ExecutionEvidence,
    FailureHistory,
    state_after_failure,
)
from winchspan.delivery.messages import STATE_FAILED, AttemptRecord
from winchspan.runtime.clock import Clock
from winchspan.storage.journal_records import JournalEntry

# Added to two steps of the scheduler: a message counts as out of time this long before its deadline.
DEADLINE_GRACE_MS = 50.0


AcceptedClassFinder = Callable[[JournalEntry], api.MessageClass | None]
"""Returns the class that an entry was accepted under; None if it is not known."""


class JournalEntryConverter:
    """Converts journal entries, each by the class that it was accepted under."""

    def __init__(self, settings: api.Settings, clock: Clock) -> None:
        self.settings = settings
        self.find_accepted_class: AcceptedClassFinder = lambda entry: None
        self._clock = clock

    def _class_of(self, entry: JournalEntry) -> api.MessageClass:
        """Return an entry's class; one that is no longer known counts as the most restrictive one.

        Guards against a class of the same name that a reload has made less strict.
        """
        message_class = self.find_accepted_class(entry) or self.settings.classes.get(entry.class_name)
        return message_class or api.MessageClass(entry.class_name, effect=api.Effect.ONCE)

    def has_effect(self, class_name: str) -> bool:
        """Return whether a second delivery of a class has an effect; true for an unknown class."""
        message_class = self.settings.classes.get(class_name)
        return message_class is None or message_class.effect is not api.Effect.REPEATABLE

    def failure_history(
        self, entry: JournalEntry, attempts: list[AttemptRecord], destination_state: Mapping[str, object]
    ) -> FailureHistory:
        """Return the failure history of a message that the scheduler abandons now.

        Args:
            entry: the message.
            attempts: its attempts since the start of the courier.
            destination_state: the scheduler's state of the destination, under the encoded names.
        """
        return FailureHistory(
            reason=failure_reason(self._failure_context(entry)),
            ended_unix_ms=self._clock.unix_ms(),
            attempts=tuple(AttemptHistory(*attempt) for attempt in attempts),
            unrecorded_attempt_count=max(0, entry.attempt_count - len(attempts)),
            destination=destination_snapshot(destination_state),
        )

    def _failure_context(self, entry: JournalEntry) -> FailureContext:
        return FailureContext(
            now_ms=self._clock.persistent_unix_ms(),
            deadline_ms=entry.deadline_ms,
            attempt_count=entry.attempt_count,
            max_attempts=self.settings.max_attempts,
            first_run_ms=entry.first_executed_at_ms,
            message_class=self._class_of(entry),
            grace_ms=2 * self.settings.step_ns / 1e6 + DEADLINE_GRACE_MS,
        )

    def dead_letter(self, entry: JournalEntry) -> DeadLetter:
        """Return the dead letter of a message that has ended."""
        history = self.recorded_history(entry, entry.failure_history)
        finding = execution_finding(
            history.attempts, history.unrecorded_attempt_count, entry.first_executed_at_ms
        )
        has_effect = self._class_of(entry).effect is not api.Effect.REPEATABLE
        return DeadLetter(
            id=entry.id,
            deadline_unix_ms=entry.deadline_ms,
            class_name=entry.class_name,
            destination=entry.destination,
            key=entry.key,
            idempotency_key=entry.idempotency_key,
            body=entry.body,
            final_state=entry.pending_notification or STATE_FAILED,
            failure_history=history,
            execution_evidence=finding.evidence,
            evidence_text=finding.text,
            first_run_unix_ms=self._first_run_unix_ms(entry, history, finding.evidence),
            state=state_after_failure(finding.evidence, has_effect=has_effect),
            has_effect=has_effect,
        )

    def _first_run_unix_ms(
        self, entry: JournalEntry, history: FailureHistory, evidence: ExecutionEvidence
    ) -> float | None:
        first_run_unix_ms = self.wall_clock_ms(entry.first_executed_at_ms)
        if first_run_unix_ms is not None or evidence is not ExecutionEvidence.MAY_HAVE_RUN:
            return first_run_unix_ms
        return history.attempts[-1].started_unix_ms if history.attempts else history.ended_unix_ms

    def wall_clock_ms(self, persistent_unix_ms: float | None) -> float | None:
        """Convert a journal time to the current wall clock, because the store outlives reboots."""
        if persistent_unix_ms is None:
            return None
        return persistent_unix_ms + self._clock.wall_clock_skew_ms

    def recorded_history(self, entry: JournalEntry, fields: Mapping[str, object] | None) -> FailureHistory:
        """Decode a failure history of the journal; return a placeholder if it is missing or invalid."""
        try:
            if fields is not None:
                return failure_history_from_json(fields)
        except msgspec.ValidationError as err:
            logger.error("undelivered: the failure history of message {} cannot be read: {}", entry.id, err)
        return FailureHistory(
            "unknown: the journal holds no story",
            self._clock.unix_ms(),
            unrecorded_attempt_count=entry.attempt_count,
        )
