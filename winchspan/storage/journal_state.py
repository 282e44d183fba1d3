"""State of a journal as the result of its records: the open messages and their settings."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any, Final

from winchspan.storage.journal_records import (
    AttemptEnded,
    AttemptStarted,
    ClassTableDefined,
    ClockAnchored,
    EndpointsDisabled,
    JournalEntry,
    JournalRecord,
    LastAttemptRecorded,
    MessageAccepted,
    MessagesCompleted,
    NotificationPending,
    OutageRecorded,
    WorkEpochStarted,
)

# Upper bounds on the bytes that an attempt's and a notification's keys add to a message's record.
_ATTEMPT_KEYS_BYTES: Final = 120
_NOTIFICATION_KEYS_BYTES: Final = 60
_HISTORY_KEY_BYTES: Final = 10
_MAX_ZONE_BYTES: Final = 64  # of the zone's name, once for each of an attempt's two keys
# Upper bound on what a message's record grows by until the message is completed, without a failure history.
MAX_MESSAGE_GROWTH_BYTES: Final = _ATTEMPT_KEYS_BYTES + 2 * _MAX_ZONE_BYTES + _NOTIFICATION_KEYS_BYTES
MAX_OUTAGES: Final = 256  # maximum number of destinations with a stored outage
_HEALTHY: Final = "healthy"


def growth_bytes(entry: JournalEntry) -> int:
    """Return an upper bound on what an entry's record grows by until the message is completed."""
    return MAX_MESSAGE_GROWTH_BYTES if entry.pending_notification is None else 0


@dataclass(slots=True)
class JournalState:
    """The open messages, the size of a compacted file with them, and the journal's settings."""

    messages: dict[int, JournalEntry] = field(default_factory=dict)  # by number
    live_bytes: int = 0  # size of a compacted file
    undecided_count: int = 0  # open messages without a final answer: only their records still grow
    next_number: int = 1
    class_tables: dict[int, list[dict[str, Any]]] = field(default_factory=dict)  # by number
    current_class_table: int = 0  # 0 if none is defined
    disabled_endpoints: list[str] = field(default_factory=list)
    work_epoch: int = 0  # 0 if none is needed
    clock_anchor: ClockAnchored | None = None
    last_attempt_at_ms: float = 0.0  # start in Unix ms; 0 if none is known
    outages: dict[int, OutageRecorded] = field(default_factory=dict)  # by destination, oldest first

    def ordered_messages(self) -> list[JournalEntry]:
        """Return the open messages in the order of acceptance."""
        return sorted(self.messages.values(), key=lambda entry: entry.number)

    def apply(self, record: JournalRecord, size_bytes: int) -> None:
        """Apply a record that was read from a file and has a size of `size_bytes` there."""
        match record:
            case MessageAccepted(entry):
                self.add_message(entry, size_bytes)
            case AttemptStarted():
                self.start_attempt(record)
            case AttemptEnded():
                self.end_attempt(record)
            case NotificationPending():
                self.set_pending_notification(record)
            case MessagesCompleted():
                self.complete_messages(record)
            case _:
                self._apply_setting(record)

    def _apply_setting(self, record: JournalRecord) -> None:
        match record:
            case ClassTableDefined(number, rows):
                self.current_class_table = number
                self.class_tables[number] = rows
            case EndpointsDisabled(names):
                self.disabled_endpoints = names
            case WorkEpochStarted(epoch):
                self.work_epoch = epoch
            case ClockAnchored():
                self.clock_anchor = record
            case LastAttemptRecorded(at_ms):
                self.last_attempt_at_ms = max(self.last_attempt_at_ms, at_ms)
            case OutageRecorded():
                self.set_outage(record)

    def set_outage(self, record: OutageRecorded) -> None:
        """Store a destination's outage, remove it if it is healthy, and evict the oldest beyond the limit."""
        self.outages.pop(record.destination, None)
        if record.phase != _HEALTHY:
            self.outages[record.destination] = record
        while len(self.outages) > MAX_OUTAGES:
            del self.outages[next(iter(self.outages))]

    @property
    def committed_bytes(self) -> int:
        """Upper bound on the size of a compacted file until the last open message is completed."""
        return self.live_bytes + self.undecided_count * MAX_MESSAGE_GROWTH_BYTES

    def add_message(self, entry: JournalEntry, record_bytes: int) -> None:
        """Add an open message whose record has a size of `record_bytes`."""
        self.messages[entry.number] = entry
        self.undecided_count += entry.pending_notification is None
        self._resize(entry, record_bytes)
        self.next_number = max(self.next_number, entry.number + 1)

    def start_attempt(self, record: AttemptStarted) -> None:
        """Mark messages as in flight."""
        self.last_attempt_at_ms = max(self.last_attempt_at_ms, float(record.at_ms))
        for number in record.numbers:
            entry = self.messages.get(number)
            if entry is None:
                continue
            if not entry.attempt_count:
                self._resize(entry, entry.size_bytes + _ATTEMPT_KEYS_BYTES + 2 * len(record.zone))
            entry.attempt_count += 1
            entry.in_flight_since_ms = record.at_ms
            entry.in_flight_zone = record.zone

    def end_attempt(self, record: AttemptEnded) -> None:
        """Mark messages as no longer in flight, and possibly as executed."""
        for number in record.numbers:
            entry = self.messages.get(number)
            if entry is None:
                continue
            if record.may_have_executed and entry.first_executed_at_ms is None:
                entry.first_executed_at_ms = entry.in_flight_since_ms
                entry.first_executed_zone = entry.in_flight_zone
            entry.in_flight_since_ms = None

    def set_pending_notification(self, record: NotificationPending) -> None:
        """Set the outcome that the platform must be notified of."""
        entry = self.messages.get(record.number)
        if entry is None:
            return
        if entry.pending_notification is None:
            added_bytes = _NOTIFICATION_KEYS_BYTES
            if record.failure_history:
                added_bytes += len(json.dumps(record.failure_history)) + _HISTORY_KEY_BYTES
            self._resize(entry, entry.size_bytes + added_bytes)
            self.undecided_count -= 1
        entry.pending_notification = record.outcome
        entry.retry_after_ms = record.retry_after_ms
        entry.failure_history = record.failure_history

    def complete_messages(self, record: MessagesCompleted) -> None:
        """Remove completed messages."""
        for number in record.numbers:
            entry = self.messages.pop(number, None)
            if entry is not None:
                self.live_bytes -= entry.size_bytes
                self.undecided_count -= entry.pending_notification is None

    def used_class_tables(self) -> set[int]:
        """Return the numbers of the class tables that open messages refer to, and of the current one."""
        return {entry.class_table for entry in self.messages.values()} | {self.current_class_table}

    def class_table_records(self, numbers: set[int]) -> list[ClassTableDefined]:
        """Return the records of class tables, the current one last: it is in force for whoever reads them."""
        known = sorted(
            numbers & self.class_tables.keys(), key=lambda each: (each == self.current_class_table, each)
        )
        return [ClassTableDefined(number, self.class_tables[number]) for number in known]

    def encode_settings(self) -> list[bytes]:
        """Encode the records of all settings, with which a compacted file begins."""
        records: list[JournalRecord] = []
        if self.last_attempt_at_ms:
            records.append(LastAttemptRecorded(self.last_attempt_at_ms))
        if self.clock_anchor is not None:
            records.append(self.clock_anchor)
        records += self.class_table_records(self.used_class_tables())
        if self.disabled_endpoints:
            records.append(EndpointsDisabled(self.disabled_endpoints))
        if self.work_epoch:
            records.append(WorkEpochStarted(self.work_epoch))
        records += self.outages.values()
        return [record.encode() for record in records]

    def set_compacted(self, record_bytes: dict[int, int], file_bytes: int) -> None:
        """Update sizes and class tables after a compaction.

        Args:
            record_bytes: size of each open message's record, by number.
            file_bytes: size of the file.
        """
        self.live_bytes = file_bytes
        used = self.used_class_tables()
        self.class_tables = {number: rows for number, rows in self.class_tables.items() if number in used}
        for number, size_bytes in record_bytes.items():
            self.messages[number].size_bytes = size_bytes

    def _resize(self, entry: JournalEntry, size_bytes: int) -> None:
        self.live_bytes += size_bytes - entry.size_bytes
        entry.size_bytes = size_bytes
