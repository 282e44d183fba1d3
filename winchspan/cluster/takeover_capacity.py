"""Fits the open messages of another courier into this courier's journal."""

from __future__ import annotations

from typing import Final

from winchspan.delivery.messages import STATE_FAILED, STATE_RETURNED
from winchspan.storage.journal_records import JournalEntry, MessageAccepted
from winchspan.storage.journal_state import growth_bytes

ORIGIN_BYTES: Final = 48  # what a record grows by as an entry of another journal: its origin and numbers


def may_have_run(entry: JournalEntry) -> bool:
    """Return whether a message of a replica may have been executed."""
    return entry.in_flight_since_ms is not None or entry.first_executed_at_ms is not None


def fit_entries(entries: list[JournalEntry], capacity_bytes: float) -> bool:
    """Complete as many messages as necessary for all of them to fit.

    The final answer of a message needs no body and no capacity for attempts. The messages with the least time
    left are completed first: those that have not run are returned to their clients, the others fail.

    Args:
        entries: the messages; those that are completed lose their bodies.
        capacity_bytes: capacity for all of them.

    Returns:
        Whether all of them fit; if not, no entry is changed.
    """
    sizes = [_size_bytes(entry) for entry in entries]
    excess_bytes = sum(sizes) - capacity_bytes
    completed: list[JournalEntry] = []
    for entry, size_bytes in sorted(zip(entries, sizes, strict=True), key=lambda each: each[0].deadline_ms):
        if excess_bytes <= 0:
            break
        if entry.pending_notification is None:
            completed.append(entry)
            excess_bytes -= size_bytes - _completed_size_bytes(entry)
    if excess_bytes > 0:
        return False
    for entry in completed:
        entry.pending_notification = STATE_FAILED if may_have_run(entry) else STATE_RETURNED
        entry.body = b""
    return True


def _size_bytes(entry: JournalEntry) -> int:
    return len(MessageAccepted(entry).encode()) + growth_bytes(entry) + ORIGIN_BYTES


def _completed_size_bytes(entry: JournalEntry) -> int:
    return len(MessageAccepted(entry).encode()) - len(entry.body) + ORIGIN_BYTES
