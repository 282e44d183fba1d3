"""Operators' actions on dead letters, each written to the audit log.

The actions change the store only. They send no message, and none overrides `evidence.redelivery_objection`:
redelivery treats an approval like a rule. Each action names its operator. An action that changes the evidence
also names its reason.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Final

from winchspan.dead_letters.audit_log import AuditedAction
from winchspan.dead_letters.errors import OperatorActionError
from winchspan.dead_letters.records import (
    CLOSED_STATES,
    DeadLetter,
    DeadLetterChanges,
    DeadLetterState,
    ExecutionEvidence,
)
from winchspan.dead_letters.store import DeadLetterStore

MAX_REASON_LENGTH: Final = 500  # characters


@dataclass(frozen=True, slots=True)
class OperatorAction:
    """A planned change of one message.

    Attributes:
        number: the message's number.
        expected: the state that the message must be in.
        action: the action's name in the audit log.
        detail: the detail in the audit log.
        new_state: the state after the action.
        changes: further fields to change.
    """

    number: int
    expected: DeadLetterState
    action: str
    detail: str
    new_state: DeadLetterState
    changes: DeadLetterChanges

    def apply(self, store: DeadLetterStore, operator: str, now_ms: float) -> None:
        """Apply the action to the store, and log it.

        Args:
            store: holds the message.
            operator: name of the operator.
            now_ms: the current time, in Unix ms.

        Raises:
            OperatorActionError: if another change came first.
        """
        audited = AuditedAction(now_ms, operator, self.action, self.detail)
        changes = DeadLetterChanges(**self.changes, state=self.new_state)
        if not store.update(self.number, self.expected, audited, **changes):
            raise OperatorActionError(f"message {self.number}: somebody else has changed it meanwhile")


def approve_redelivery(store: DeadLetterStore, number: int) -> OperatorAction:
    """Approve the next redelivery of a message."""
    dead_letter = _open_dead_letter(store, number)
    return OperatorAction(
        number,
        dead_letter.state,
        "resend",
        "",
        DeadLetterState.PENDING,
        DeadLetterChanges(is_approved=True, next_redelivery_unix_ms=0.0, note="an operator has asked for it"),
    )


def hold(store: DeadLetterStore, number: int, reason: str) -> OperatorAction:
    """Exempt a message from all redelivery rules."""
    dead_letter = _open_dead_letter(store, number)
    reason = _checked_reason(reason)
    return OperatorAction(
        number,
        dead_letter.state,
        "hold",
        reason,
        DeadLetterState.ON_HOLD,
        DeadLetterChanges(is_approved=False, note=reason),
    )


def release(store: DeadLetterStore, number: int, operator: str, reason: str) -> OperatorAction:
    """Confirm that a message was not executed, so that it may be redelivered."""
    dead_letter = _open_dead_letter(store, number)
    if dead_letter.execution_evidence is ExecutionEvidence.RAN:
        raise OperatorActionError(f"message {number} has run: {dead_letter.evidence_text}")
    reason = _checked_reason(reason)
    return OperatorAction(
        number,
        dead_letter.state,
        "release",
        reason,
        DeadLetterState.PENDING,
        DeadLetterChanges(
            is_approved=True,
            release_statement=f"{operator}: {reason}",
            next_redelivery_unix_ms=0.0,
            note="signed that it has not run",
        ),
    )


def drop(store: DeadLetterStore, number: int, reason: str) -> OperatorAction:
    """Close a message without redelivery; it stays readable until it is evicted."""
    dead_letter = _open_dead_letter(store, number)
    reason = _checked_reason(reason)
    return OperatorAction(
        number, dead_letter.state, "drop", reason, DeadLetterState.DROPPED, DeadLetterChanges(note=reason)
    )


def prepare_import(dead_letter: DeadLetter, source: str) -> DeadLetter:
    """Return an exported message of another store in the form in which this store keeps it.

    An open message is put on hold. A message that was being redelivered when it was exported may have been
    executed since.
    """
    evidence = dead_letter.execution_evidence
    text = dead_letter.evidence_text
    was_redelivering = dead_letter.state is DeadLetterState.REDELIVERING
    if was_redelivering and evidence is ExecutionEvidence.NEVER_RAN:
        evidence = ExecutionEvidence.MAY_HAVE_RUN
        text = "it was being sent again when it was exported"
    is_closed = dead_letter.state in CLOSED_STATES
    return replace(
        dead_letter,
        number=0,
        state=dead_letter.state if is_closed else DeadLetterState.ON_HOLD,
        execution_evidence=evidence,
        evidence_text=text,
        is_approved=False,
        release_statement="",
        next_redelivery_unix_ms=0.0,
        note=f"imported from {source}",
    )


def stored_dead_letter(store: DeadLetterStore, number: int) -> DeadLetter:
    """Return a message by its number.

    Raises:
        OperatorActionError: if it is not stored.
    """
    dead_letter = store.get(number)
    if dead_letter is None:
        raise OperatorActionError(f"no message {number} is kept")
    return dead_letter


def _open_dead_letter(store: DeadLetterStore, number: int) -> DeadLetter:
    dead_letter = stored_dead_letter(store, number)
    if dead_letter.state in CLOSED_STATES:
        raise OperatorActionError(f"message {number} is {dead_letter.state.value}")
    if dead_letter.state is DeadLetterState.REDELIVERING:
        raise OperatorActionError(f"message {number} is being sent again")
    return dead_letter


def _checked_reason(text: str) -> str:
    reason = " ".join(text.split())
    if not reason or len(reason) > MAX_REASON_LENGTH:
        raise OperatorActionError(f"a reason of 1 to {MAX_REASON_LENGTH} characters is needed")
    return reason
