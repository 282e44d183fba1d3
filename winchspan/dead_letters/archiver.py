"""Moves messages that ended undelivered from the journal to the store.

The order makes it safe against a crash at any step: the end is journalled with its failure history; the
notification is sent until it is acknowledged; the message is committed to the store; only then is it
completed in the journal. A crash between the last two leaves it in both, and the next start finds that out
(`reconcile`). Nothing waits for the store but the journal's record: not an answer, not a notification, not
the loop.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from winchspan import api
from winchspan.dead_letters import settlement
from winchspan.dead_letters.errors import DeadLetterStoreError
from winchspan.dead_letters.journal_entries import JournalEntryConverter
from winchspan.dead_letters.record_codec import JsonObject, failure_history_to_json
from winchspan.dead_letters.records import DeadLetter, DeadLetterState
from winchspan.dead_letters.settlement import RedeliveryOutcome
from winchspan.dead_letters.store import DeadLetterStore
from winchspan.dead_letters.store_worker import StoreJob, StoreSettings, StoreWorker
from winchspan.delivery.messages import STATE_FAILED, AttemptRecord
from winchspan.runtime.clock import Clock
from winchspan.storage.journal_records import JournalEntry

MAX_WAITING_MESSAGES: Final = 2_000  # for the store; beyond these bounds messages are not archived
MAX_WAITING_BYTES: Final = 4_000_000


@dataclass(frozen=True, slots=True)
class ArchiverSettings(StoreSettings):
    """What is archived, and where.

    Attributes:
        archives_failed: archive messages whose final answer is `failed`.
        archives_returned: archive messages whose final answer is `returned`.
    """

    archives_failed: bool = True
    archives_returned: bool = True


class DeadLetterArchiver(StoreWorker):
    """The courier's dead-letter port; its methods are called on the loop's thread."""

    def __init__(
        self,
        settings: ArchiverSettings,
        platform: api.Settings,
        clock: Clock,
        call_soon: Callable[[Callable[[], None]], object],
    ) -> None:
        """Start the store's thread.

        Args:
            settings: what is archived, and where.
            platform: the platform's settings.
            clock: reads the time.
            call_soon: hands a call to the loop from another thread.
        """
        self._settings = settings
        self._converter = JournalEntryConverter(platform, clock)
        self._waiting_count = 0
        self._waiting_bytes = 0
        super().__init__(settings, clock, call_soon, self._converter.has_effect)

    def reconfigure(self, platform: api.Settings) -> None:
        """Apply new settings of the platform."""
        self._converter.settings = platform

    def should_archive(self, final_state: str) -> bool:
        """Return whether messages with a final answer are archived."""
        if final_state == STATE_FAILED:
            return self._settings.archives_failed
        return self._settings.archives_returned

    def failure_history(
        self, entry: JournalEntry, attempts: list[AttemptRecord], destination_state: JsonObject
    ) -> JsonObject:
        """Return why a message ends, as the journal records it with the notification."""
        return failure_history_to_json(self._converter.failure_history(entry, attempts, destination_state))

    def archive(self, entry: JournalEntry, on_done: Callable[[], None]) -> None:
        """Store a message whose notification was acknowledged.

        Args:
            entry: the message.
            on_done: called once it is in the store, and as well if it cannot be stored: nothing may wait for
                that.
        """
        dead_letter = self._converter.dead_letter(entry)
        if not self._has_capacity_for(dead_letter):
            self._report_loss(1, "more wait for the store than may")
            on_done()
            return
        self._waiting_count += 1
        self._waiting_bytes += dead_letter.size_bytes

        def on_stored(_: object) -> None:
            self._waiting_count -= 1
            self._waiting_bytes -= dead_letter.size_bytes
            if not self._is_closing:  # else the journal may be closed: the next start finds it in both
                on_done()

        self._submit(StoreJob(on_stored, dead_letter))

    def _has_capacity_for(self, dead_letter: DeadLetter) -> bool:
        return (
            not self._is_closing
            and self._waiting_count < MAX_WAITING_MESSAGES
            and self._waiting_bytes + dead_letter.size_bytes <= MAX_WAITING_BYTES
        )

    def settle_redelivery(
        self,
        entry: JournalEntry,
        *,
        is_delivered: bool,
        history: JsonObject | None,
        on_done: Callable[[], None],
    ) -> None:
        """Record the end of a redelivery in the store.

        Args:
            entry: the message.
            is_delivered: whether it was delivered; else it is a dead letter again, with its further attempts.
            history: why it was not delivered, as the journal has it.
            on_done: called once the store has it; until then the journal keeps it, if need be until a
                restart.
        """
        end = RedeliveryOutcome(
            ended_unix_ms=self._clock.unix_ms(),
            first_run_unix_ms=self._converter.wall_clock_ms(entry.first_executed_at_ms),
            first_executed_at_ms=entry.first_executed_at_ms,
            is_delivered=is_delivered,
        )

        def settle(store: DeadLetterStore) -> bool:
            self._settle_in(store, entry, end, history)
            return True

        def on_settled(is_settled: bool | None) -> None:
            if self._is_closing:
                return
            if is_settled:
                on_done()
            else:
                # Guards against a redelivery whose end neither journal nor store would know.
                self._retry_when_usable(lambda: self.run_on_store(settle, on_settled))

        self.run_on_store(settle, on_settled)

    def _settle_in(
        self, store: DeadLetterStore, entry: JournalEntry, end: RedeliveryOutcome, history: JsonObject | None
    ) -> None:
        """Record the end of a redelivery, on the store's thread, unless the store has it already."""
        dead_letter = store.get(entry.redelivery_of)
        if dead_letter is None or dead_letter.state is not DeadLetterState.REDELIVERING:
            return
        if end.is_delivered:
            changes = settlement.changes_after_delivery(end)
        else:
            latest = self._converter.recorded_history(entry, history or None)
            has_effect = self._converter.has_effect(dead_letter.class_name)
            changes = settlement.changes_after_failure(dead_letter, end, latest, has_effect=has_effect)
        store.update(dead_letter.number, DeadLetterState.REDELIVERING, **changes)

    def reconcile(self, entries: list[JournalEntry]) -> set[int]:
        """Return the numbers of those journal entries that the store has settled already, after a restart.

        This uses the store on the caller's thread: at a start there is no traffic yet that could wait.
        """
        settings = self._settings
        if not settings.path.exists():
            return set()
        has_effect = self._converter.has_effect
        try:
            store = DeadLetterStore(settings.path, settings.bounds, has_effect)
        except DeadLetterStoreError:
            return set()  # the thread will report it
        try:
            return settlement.reconcile(store, entries, has_effect)
        except DeadLetterStoreError:
            return set()
        finally:
            store.close()
