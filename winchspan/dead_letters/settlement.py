"""Settles redeliveries in the store: applies outcomes, and reconciles store and journal at startup."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Final

from winchspan.dead_letters.evidence import execution_finding
from winchspan.dead_letters.filters import DeadLetterFilter
from winchspan.dead_letters.records import (
    DeadLetter,
    DeadLetterChanges,
    DeadLetterState,
    ExecutionEvidence,
    FailureHistory,
    state_after_failure,
)
from winchspan.dead_letters.store import DeadLetterStore
from winchspan.storage.journal_records import JournalEntry

MAX_RECORDED_ATTEMPTS: Final = 24  # per message; the earliest ones are dropped
_NO_LIMIT: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class RedeliveryOutcome:
    """The outcome of a redelivery.

    Attributes:
        ended_unix_ms: when the redelivery ended.
        first_run_unix_ms: start of its first attempt that may have executed the message, by the wall clock.
        first_executed_at_ms: the same start by the journal's clock.
        is_delivered: whether the message was delivered.
    """

    ended_unix_ms: float
    first_run_unix_ms: float | None
    first_executed_at_ms: float | None
    is_delivered: bool


def changes_after_delivery(outcome: RedeliveryOutcome) -> DeadLetterChanges:
    """Return the changes of a dead letter after a successful redelivery."""
    return DeadLetterChanges(
        state=DeadLetterState.DELIVERED,
        execution_evidence=ExecutionEvidence.RAN,
        first_run_unix_ms=outcome.ended_unix_ms,
        evidence_text="a resend was delivered",
        note="delivered by a resend",
        is_approved=False,
    )


def changes_after_failure(
    dead_letter: DeadLetter, outcome: RedeliveryOutcome, latest: FailureHistory
) -> DeadLetterChanges:
    """Return the changes of a dead letter after a failed redelivery.

    Args:
        dead_letter: the stored dead letter.
        outcome: the outcome of the redelivery.
        latest: the failure history of the redelivery.
    """
    evidence, text = execution_finding(
        latest.attempts, latest.unrecorded_attempt_count, outcome.first_executed_at_ms
    )
    if dead_letter.execution_evidence is ExecutionEvidence.MAY_HAVE_RUN and not dead_letter.is_released:
        evidence, text = dead_letter.execution_evidence, dead_letter.evidence_text
    return DeadLetterChanges(
        state=state_after_failure(evidence, has_effect=bool(dead_letter.has_effect)),
        failure_history=_merged_history(dead_letter.failure_history, latest),
        execution_evidence=evidence,
        evidence_text=text,
        first_run_unix_ms=_first_run_unix_ms(dead_letter, outcome, evidence),
        is_approved=False,
        release_statement="",
        note=f"a resend ended: {latest.reason}",
    )


def _merged_history(first: FailureHistory, latest: FailureHistory) -> FailureHistory:
    """Merge the histories of a message that failed again; the first reason and end time stay."""
    return replace(
        latest,
        attempts=(*first.attempts, *latest.attempts)[-MAX_RECORDED_ATTEMPTS:],
        unrecorded_attempt_count=first.unrecorded_attempt_count + latest.unrecorded_attempt_count,
        ended_unix_ms=first.ended_unix_ms,
        reason=first.reason,
    )


def _first_run_unix_ms(
    dead_letter: DeadLetter, outcome: RedeliveryOutcome, evidence: ExecutionEvidence
) -> float | None:
    first_run_unix_ms = outcome.first_run_unix_ms
    if dead_letter.first_run_unix_ms is not None and not dead_letter.is_released:
        first_run_unix_ms = dead_letter.first_run_unix_ms
    if first_run_unix_ms is None and evidence is ExecutionEvidence.MAY_HAVE_RUN:
        return outcome.ended_unix_ms
    return first_run_unix_ms


def reconcile(store: DeadLetterStore, entries: Sequence[JournalEntry]) -> set[int]:
    """Return the journal entries that the store has settled, and revert redeliveries that never started.

    A crash can interrupt the move of a message from the journal to the store:

    - A message that is in both files was stored, and its notification acknowledged: its entry is settled.
    - A redelivery whose outcome the store has recorded is settled, too.
    - A message that the store marks as being redelivered, but that is not in the journal, was never sent,
      because the journal records a redelivery before it starts. It becomes pending again.

    Args:
        store: the store.
        entries: the journal's open entries at startup.

    Returns:
        The numbers of the settled entries.
    """
    journalled = {entry.redelivery_of for entry in entries if entry.redelivery_of}
    redelivering = store.find(DeadLetterFilter(state=DeadLetterState.REDELIVERING), _NO_LIMIT)
    for dead_letter in redelivering:
        if dead_letter.number not in journalled:
            _revert_mark(store, dead_letter)
    open_numbers = {dead_letter.number for dead_letter in redelivering}
    return {entry.number for entry in entries if _is_settled(store, entry, open_numbers)}


def _revert_mark(store: DeadLetterStore, dead_letter: DeadLetter) -> None:
    needs_release = bool(dead_letter.has_effect) and not dead_letter.is_released
    store.update(
        dead_letter.number,
        DeadLetterState.REDELIVERING,
        state=state_after_failure(dead_letter.execution_evidence, has_effect=needs_release),
        redelivery_count=max(0, dead_letter.redelivery_count - 1),
        note="a resend did not begin",
    )


def _is_settled(store: DeadLetterStore, entry: JournalEntry, open_numbers: set[int]) -> bool:
    if entry.redelivery_of:
        return entry.redelivery_of not in open_numbers
    return bool(entry.pending_notification) and store.contains(entry.id, entry.deadline_ms)
