"""The write-ahead journal of accepted messages, attempts and completions.

Records of acceptance and of the start of an attempt are written before the event that they describe
(`accept`, `record_attempt_started`). All others are written as soon as the disk accepts them. After a
restart, the open messages are the accepted ones that are not completed.

    winchspan.storage.journal_records   the kinds of records and their encoding
    winchspan.storage.journal_state     the open messages as the result of all records
    winchspan.storage.message_log       recovery, appending, backlog, compaction
    winchspan.storage.quota             the size limit of the directory
    winchspan.storage.rotating_file     the two files that alternate
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

from loguru import logger

from winchspan.runtime.clock import Clock
from winchspan.runtime.system import Disk
from winchspan.storage.errors import JournalFullError
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
    WorkOrigin,
)
from winchspan.storage.journal_state import growth_bytes
from winchspan.storage.message_log import MessageLog
from winchspan.storage.quota import TAKEOVER_RESERVE_SHARE, StorageQuota

_MIN_LOGGED_CLOCK_STEP_MS: Final = 1_000.0


class Journal(MessageLog):
    """The journal of the messages that this courier has accepted or taken over."""

    def __init__(self, directory: Path, limit_bytes: int, disk: Disk | None = None) -> None:
        # Called with each message that is completed, before it is removed.
        self.on_message_completed: Callable[[JournalEntry], None] | None = None
        self._replica_quota: StorageQuota | None = None
        super().__init__(directory, limit_bytes, disk)

    def limit_to_replicas(self, replica_limit_bytes: int) -> None:
        """Accept only messages whose records fit into a replica as well, until they are completed.

        Args:
            replica_limit_bytes: size limit of this journal's replica on another courier.
        """
        self._replica_quota = StorageQuota(replica_limit_bytes, TAKEOVER_RESERVE_SHARE)

    @property
    def last_attempt_at_ms(self) -> float:
        """Start of the latest attempt, in Unix ms; 0 if none is known."""
        return self._state.last_attempt_at_ms

    @property
    def current_class_table(self) -> int:
        """Number of the table of the classes that messages are accepted under now."""
        return self._state.current_class_table

    @property
    def current_classes(self) -> list[dict[str, Any]]:
        """The classes that messages are accepted under now; empty if none are recorded."""
        return self._state.class_tables.get(self._state.current_class_table, [])

    @property
    def work_epoch(self) -> int:
        """The epoch under which this courier owns its journal; 0 if none is needed."""
        return self._state.work_epoch

    def get(self, number: int) -> JournalEntry | None:
        """Return the open message with a number."""
        return self._state.messages.get(number)

    def anchor_clock(self, clock: Clock) -> None:
        """Continue the persistent clock of this boot's earlier processes, or record it for later restarts.

        Otherwise, setting the wall clock between two processes would move the deadlines of recovered
        messages, and a message that may have executed could be sent again after its deduplication window.
        """
        anchor = self._state.clock_anchor
        if anchor is not None and clock.boot_id and anchor.boot_id == clock.boot_id:
            step_ms = clock.persistent_offset_ms - anchor.offset_ms
            if abs(step_ms) > _MIN_LOGGED_CLOCK_STEP_MS:
                logger.warning(
                    "journal: the wall clock was set by {:.1f} s since the first start in this boot",
                    step_ms / 1_000.0,
                )
            clock.persistent_offset_ms = anchor.offset_ms
            return
        if self.last_attempt_at_ms > clock.persistent_unix_ms():
            # After a reboot the time must be at least that of the last attempt: the wall clock is behind it.
            behind_ms = self.last_attempt_at_ms - clock.persistent_unix_ms()
            logger.warning("journal: the wall clock is {:.1f} s before the last attempt", behind_ms / 1_000.0)
            clock.persistent_offset_ms += self.last_attempt_at_ms - clock.persistent_unix_ms()
        if clock.boot_id:
            self._state.clock_anchor = ClockAnchored(clock.boot_id, clock.persistent_offset_ms)
            self._append_or_defer(self._state.clock_anchor.encode())

    # ---- messages ----------------------------------------------------------------------------------------
    def accept(
        self,
        message_id: str,
        class_name: str,
        key: int | None,
        destination: int,
        deadline_ms: float,
        idempotency_key: str,
        body: bytes,
        redelivery_of: int = 0,
        first_executed_at_ms: float | None = None,
    ) -> int:
        """Record the acceptance of a message.

        Returns:
            Its number.

        Raises:
            JournalFullError: there is no capacity for the message; it must not be accepted.
        """
        entry = JournalEntry(
            number=self._state.next_number,
            id=message_id,
            class_name=class_name,
            key=key,
            destination=destination,
            deadline_ms=deadline_ms,
            idempotency_key=idempotency_key,
            body=body,
            first_executed_at_ms=first_executed_at_ms,
            redelivery_of=redelivery_of,
            class_table=self._state.current_class_table,
        )
        if not self._add(entry):
            raise JournalFullError
        return entry.number

    def import_class_table(self, rows: list[dict[str, Any]]) -> int | None:
        """Record the classes that messages of another courier were accepted under.

        Args:
            rows: the message classes, as in a class table of that courier's journal.

        Returns:
            The number of the table here, or None if there is no capacity for it.
        """
        state = self._state
        for number, known_rows in state.class_tables.items():
            if known_rows == rows:
                return number
        number = max(state.class_tables, default=0) + 1
        # The last table recorded is the current one to whoever reads the records.
        current = state.class_table_records({state.current_class_table})
        data = b"".join(record.encode() for record in [ClassTableDefined(number, rows), *current])
        if not self._has_capacity(len(data)) or not self._append(data):
            return None
        state.class_tables[number] = rows
        return number

    def taken_over_capacity_bytes(self) -> float:
        """Return the capacity for messages that are taken over, here and in each replica."""
        committed_bytes = self._state.committed_bytes
        return min(quota.taken_over_capacity_bytes(committed_bytes) for quota in self._quotas())

    def take_over(self, entry: JournalEntry, owner: str, epoch: int) -> int | None:
        """Record an open message that is taken over from another courier.

        Args:
            entry: the message's entry in the replica, with the number that `import_class_table` has returned
                for its class table; it becomes an entry of this journal.
            owner: the courier that it is taken over from.
            epoch: the epoch of the takeover.

        Returns:
            Its number here, or None if there is no capacity for it.
        """
        entry.number = self._state.next_number
        entry.origin = WorkOrigin(owner, epoch)
        entry.size_bytes = 0
        data = MessageAccepted(entry).encode()
        if len(data) + growth_bytes(entry) > self.taken_over_capacity_bytes():
            return None
        return entry.number if self._append_message(entry, data) else None

    def record_attempt_started(self, numbers: list[int], endpoint: str, zone: str, at_ms: float) -> bool:
        """Record an attempt that carries some messages, before its first byte is sent.

        Returns:
            Whether the attempt is recorded; if not, it must not start.
        """
        record = AttemptStarted(numbers, at_ms, endpoint, zone)
        if not self._append(record.encode()):
            return False
        self._state.last_attempt_at_ms = at_ms  # even if the clock was set back
        self._state.start_attempt(record)
        return True

    def record_attempt_ended(self, numbers: list[int], may_have_executed: bool) -> None:
        """Record the end of an attempt, and whether it may have executed."""
        record = AttemptEnded(numbers, may_have_executed)
        self._append_or_defer(record.encode())
        self._state.end_attempt(record)

    def record_notification_pending(
        self,
        number: int,
        outcome: str,
        retry_after_ms: int,
        failure_history: dict[str, Any] | None = None,
    ) -> None:
        """Record the outcome to notify the platform of, with the history if there is capacity for it."""
        record = NotificationPending(number, outcome, retry_after_ms, failure_history)
        is_recorded = False
        if failure_history is not None:
            data = record.encode()
            is_recorded = self._has_capacity(len(data)) and self._append(data)
        if not is_recorded:
            record = NotificationPending(number, outcome, retry_after_ms)
            self._append_or_defer(record.encode())
        self._state.set_pending_notification(record)

    def record_completed(self, numbers: list[int]) -> None:
        """Record that some messages are completed."""
        if self.on_message_completed is not None:
            for number in numbers:
                entry = self._state.messages.get(number)
                if entry is not None:
                    self.on_message_completed(entry)
        record = MessagesCompleted(numbers)
        self._append_or_defer(record.encode())
        self._state.complete_messages(record)

    # ---- settings ----------------------------------------------------------------------------------------
    def record_classes(self, rows: list[dict[str, Any]]) -> None:
        """Record the classes under which messages are accepted from now on, if they have changed."""
        state = self._state
        if state.class_tables.get(state.current_class_table) == rows:
            return
        number = max(state.class_tables, default=0) + 1
        state.class_tables[number] = rows
        state.current_class_table = number
        self._append_or_defer(ClassTableDefined(number, rows).encode())

    def record_work_epoch(self, epoch: int) -> None:
        """Record the epoch under which this courier owns its journal."""
        self._state.work_epoch = epoch
        self._append_or_defer(WorkEpochStarted(epoch).encode())

    @property
    def outages(self) -> list[OutageRecorded]:
        """The latest outage record of each destination that is in an outage or in slow start."""
        return list(self._state.outages.values())

    def record_outage(self, record: OutageRecorded) -> None:
        """Record a destination's new outage phase."""
        self._state.set_outage(record)
        self._append_or_defer(record.encode())

    def record_disabled_endpoints(self, names: list[str]) -> None:
        """Record the names of all endpoints that the operators have disabled."""
        self._state.disabled_endpoints = names
        self._append_or_defer(EndpointsDisabled(names).encode())

    def snapshot_records(self) -> list[bytes]:
        """Encode all open messages and the settings that apply to them, for a replica."""
        state = self._state
        records: list[JournalRecord] = []
        if state.last_attempt_at_ms:
            records.append(LastAttemptRecorded(state.last_attempt_at_ms))
        records += state.class_table_records(set(state.class_tables))
        if state.disabled_endpoints:
            records.append(EndpointsDisabled(state.disabled_endpoints))
        records += [MessageAccepted(entry) for entry in state.ordered_messages()]
        return [record.encode() for record in records]

    def _has_capacity(self, added_bytes: int) -> bool:
        """Return whether records fit, here and in each replica, beside all that must still follow."""
        committed_bytes = self._state.committed_bytes
        return all(quota.accepts_message(committed_bytes, added_bytes) for quota in self._quotas())

    def _quotas(self) -> list[StorageQuota]:
        return [self._quota] if self._replica_quota is None else [self._quota, self._replica_quota]

    def _add(self, entry: JournalEntry) -> bool:
        data = MessageAccepted(entry).encode()
        if not self._has_capacity(len(data) + growth_bytes(entry)):
            return False
        return self._append_message(entry, data)

    def _append_message(self, entry: JournalEntry, data: bytes) -> bool:
        """Append an open message's record; return False if it cannot be written."""
        if not self._append(data):
            return False
        self._state.add_message(entry, len(data))
        return True
