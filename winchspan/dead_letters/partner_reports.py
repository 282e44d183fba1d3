"""Turns a partner's report of executed messages into evidence on dead letters."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from winchspan.dead_letters.errors import OperatorActionError
from winchspan.dead_letters.filters import DeadLetterFilter
from winchspan.dead_letters.operator_actions import OperatorAction
from winchspan.dead_letters.records import (
    CLOSED_STATES,
    DeadLetter,
    DeadLetterChanges,
    DeadLetterState,
    ExecutionEvidence,
)
from winchspan.dead_letters.store import DeadLetterStore

REPORT_ACTION: Final = "report"  # name of the action in the audit log
EXECUTED: Final = "ran"  # second word of a line; the default
NOT_EXECUTED: Final = "never"
COMMENT_MARK: Final = "#"


@dataclass(frozen=True, slots=True)
class ReportLine:
    """One line of a report.

    Attributes:
        identifier: a message's identifier or idempotency key.
        was_executed: whether the partner has executed it.
    """

    identifier: str
    was_executed: bool


def parse_report(lines: Iterable[str]) -> list[ReportLine]:
    """Parse a report.

    A line holds an identifier, followed by `ran` (the default) or `never`. `#` starts a comment.

    Raises:
        OperatorActionError: if a line has another form.
    """
    report = []
    for number, line in enumerate(lines, 1):
        words = line.split(COMMENT_MARK)[0].split()
        if not words:
            continue
        identifier, *status_words = words
        if status_words not in ([], [EXECUTED], [NOT_EXECUTED]):
            raise OperatorActionError(
                f"line {number}: expected a name, and ran or never, not {line.strip()!r:.60}"
            )
        report.append(ReportLine(identifier, status_words != [NOT_EXECUTED]))
    return report


def actions_for_report(
    store: DeadLetterStore, report: Iterable[ReportLine], source: str
) -> list[OperatorAction]:
    """Return the actions that record what a report proves.

    A report of an execution applies to every open message, a report of no execution only to messages that may
    have been executed. Closed messages and messages being redelivered stay unchanged, so no later report can
    revoke a reported execution.

    Args:
        store: holds the messages.
        report: the lines of the report.
        source: the report's name, for the audit log.
    """
    actions: list[OperatorAction] = []
    for line in report:
        for dead_letter in _messages_of(store, line.identifier):
            action = _action_for(dead_letter, source, was_executed=line.was_executed)
            if action is not None:
                actions.append(action)
    return actions


def _messages_of(store: DeadLetterStore, identifier: str) -> list[DeadLetter]:
    by_id = store.find(DeadLetterFilter(id=identifier))
    return by_id or store.find(DeadLetterFilter(idempotency_key=identifier))


def _action_for(dead_letter: DeadLetter, source: str, *, was_executed: bool) -> OperatorAction | None:
    if dead_letter.state in CLOSED_STATES or dead_letter.state is DeadLetterState.REDELIVERING:
        return None
    if was_executed:
        return OperatorAction(
            dead_letter.number,
            dead_letter.state,
            REPORT_ACTION,
            f"{source}: {EXECUTED}",
            DeadLetterState.ALREADY_RAN,
            DeadLetterChanges(
                execution_evidence=ExecutionEvidence.RAN, evidence_text=f"{source}: it has run"
            ),
        )
    if dead_letter.execution_evidence is not ExecutionEvidence.MAY_HAVE_RUN:
        return None
    return OperatorAction(
        dead_letter.number,
        dead_letter.state,
        REPORT_ACTION,
        f"{source}: {NOT_EXECUTED}",
        DeadLetterState.PENDING,
        DeadLetterChanges(
            execution_evidence=ExecutionEvidence.NEVER_RAN,
            first_run_unix_ms=None,
            next_redelivery_unix_ms=0.0,
            evidence_text=f"{source}: it has never run",
        ),
    )
