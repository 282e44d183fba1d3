"""The JSON documents about dead letters, as `winchspan.dead_letters.queries` returns them.

Times are Unix times in milliseconds, durations are in milliseconds. The keys are part of the output format
and must not change.
"""

from __future__ import annotations

from typing import NotRequired, TypedDict


class AttemptDocument(TypedDict):
    """One attempt; `wait` is the Retry-After wait of the destination in ms, 0 if there is none."""

    endpoint: str
    at: float
    outcome: str
    took: float
    wait: float


class DestinationDocument(TypedDict):
    """The state of the destination at the failure of the message."""

    window: int
    calls: int
    queue: int
    sick: int
    endpoints: int
    waits: float


class FailureDocument(TypedDict):
    """The cause of a message's failure; `earlier` counts the attempts of previous processes."""

    reason: str
    at: float
    attempts: list[AttemptDocument]
    earlier: int
    seen: DestinationDocument


class DecisionDocument(TypedDict):
    """The decision of the redelivery rules about a message at present."""

    action: str
    at: float
    why: str
    rule: str


class MessageDocument(TypedDict):
    """A message; `ran` tells whether it may have run, `decision` is present if the rules are available."""

    number: int
    id: str
    cls: str
    dest: int
    end: str
    ran: str
    evidence: str
    state: str
    note: str
    key: str | None
    token: str
    deadline: float
    body_bytes: int
    story: FailureDocument
    decision: NotRequired[DecisionDocument]


class ActionDocument(TypedDict):
    """The effect of an operator's action on one message."""

    action: str
    number: int
    before: str
    after: str


class AuditEntryDocument(TypedDict):
    """One entry of the audit log."""

    seq: int
    at: float
    who: str
    action: str
    number: int
    detail: str


class AuditLogDocument(TypedDict):
    """A page of the audit log: the hash of the last entry, the number of the oldest entry, and entries."""

    head: str
    first: int
    entries: list[AuditEntryDocument]
