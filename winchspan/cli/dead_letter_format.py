"""Formats dead letters and audit log entries as lines of text."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import UTC, datetime

from winchspan.cli.dead_letter_documents import (
    ActionDocument,
    AttemptDocument,
    AuditEntryDocument,
    DecisionDocument,
    MessageDocument,
)


def format_time(unix_ms: float | None) -> str:
    """Format a time in UTC with milliseconds; None as "-"."""
    if unix_ms is None:
        return "-"
    return datetime.fromtimestamp(unix_ms / 1_000.0, UTC).strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]


def format_summary(message: MessageDocument) -> str:
    """Format a message as one line of a list."""
    failure = message["story"]
    attempt_count = len(failure["attempts"]) + failure["earlier"]
    return (
        f"{message['number']:>8} {format_time(failure['at'])} {message['end']:8} {message['ran']:5} "
        f"{message['state']:9} {message['cls']:16} dest {message['dest']:<4} {attempt_count} tries  "
        f"{failure['reason']}  {message['id']}"
    )


def format_details(message: MessageDocument) -> Iterator[str]:
    """Yield lines that describe a message, the cause of its failure and each attempt."""
    failure = message["story"]
    destination = failure["seen"]
    retry_after = f", Retry-After {destination['waits']:.0f} ms" if destination["waits"] else ""
    yield (
        f"message {message['id']}, number {message['number']}: {message['cls']} "
        f"for destination {message['dest']}"
    )
    yield f"  answered   {message['end']}, {format_time(failure['at'])}: {failure['reason']}"
    yield f"  has it run {message['ran']}: {message['evidence']}"
    yield f"  state      {message['state']}{': ' if message['note'] else ''}{message['note']}"
    yield f"  key        {message['key'] or '-'}, idempotency key {message['token'] or '-'}"
    yield f"  deadline   {format_time(message['deadline'])}, body of {message['body_bytes']} bytes"
    yield (
        f"  then       {destination['calls']} of {destination['window']} calls in flight, "
        f"{destination['queue']} waiting, {destination['sick']} of {destination['endpoints']} endpoints sick"
        f"{retry_after}"
    )
    if failure["earlier"]:
        yield f"  attempts   {failure['earlier']} by previous processes, without details"
    for number, attempt in enumerate(failure["attempts"], failure["earlier"] + 1):
        yield _format_attempt(number, attempt)


def _format_attempt(number: int, attempt: AttemptDocument) -> str:
    retry_after = f", Retry-After {attempt['wait']:.0f} ms" if attempt["wait"] else ""
    return (
        f"  attempt {number}  {format_time(attempt['at'])} to {attempt['endpoint']}: "
        f"{attempt['outcome']} after {attempt['took']:.0f} ms{retry_after}"
    )


def format_decision(decision: DecisionDocument) -> str:
    """Format the present decision of the redelivery rules about a message."""
    rule = f" by rule {decision['rule']}" if decision["rule"] else ""
    time = f" at {format_time(decision['at'])}" if decision["action"] == "wait" else ""
    return f"  now        {decision['action']}{time}{rule}: {decision['why']}"


def format_action(action: ActionDocument, *, is_dry_run: bool) -> str:
    """Format the effect of an action on a message, or its would-be effect in a dry run."""
    change = f"{action['action']} message {action['number']}: {action['before']} to {action['after']}"
    return f"would {change}" if is_dry_run else change


def format_audit_entry(entry: AuditEntryDocument) -> str:
    """Format an entry of the audit log."""
    message = f" message {entry['number']}" if entry["number"] else ""
    detail = f": {entry['detail']}" if entry["detail"] else ""
    return f"{entry['seq']:>6} {format_time(entry['at'])} {entry['who']}: {entry['action']}{message}{detail}"
