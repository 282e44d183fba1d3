"""Moves undelivered messages from the journal to the store.

The order of the steps keeps a message safe through a crash at any of them:

1. The journal records the final answer with the failure history.
2. The notification is sent until it is acknowledged.
3. The store commits the message.
4. The journal completes the message.

After a crash between steps 3 and 4 both files hold the message, and `reconcile` completes it at the next
start. Only step 4 waits for the store: answers, notifications and the event loop never do.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from winchspan import api
from winchspan.dead_letters import settlement
from winchspan.dead_letters.errors import DeadLetterStoreError
from winchspan.dead_letters.journal_entries import AcceptedClassFinder, JournalEntryConverter
from winchspan.dead_letters.record_codec import JsonObject, failure_history_to_json
from winchspan.dead_letters.records import DeadLetter, DeadLetterState
from winchspan.dead_letters.settlement import RedeliveryOutcome
from winchspan.dead_letters.store import DeadLetterStore
from winchspan.dead_letters.store_worker import StoreJob, StoreSettings, StoreWorker
from winchspan.delivery.messages import STATE_FAILED, AttemptRecord
from winchspan.runtime.clock import Clock
from winchspan.storage.journal_records import JournalEntry

MAX_WAITING_MESSAGES: Final = 2_000  # queued for the store; messages beyond either limit are not archived
MAX_WAITING_BYTES: Final = 4_000_000


@dataclass(frozen=True, slots=True)
class ArchiverSettings(StoreSettings):
    """Selects the archived messages, and places their store.

    Attributes:
        archives_failed: archive messages whose final answer is `failed`.
        archives_returned: archive messages whose final answer is `returned`.
    """

    archives_failed: bool = True
    archives_returned: bool = True


class DeadLetterArchiver(StoreWorker):
    """Implements the courier's dead-letter port; its methods are called on the event loop's thread."""

    def __init__(
        self,
        settings: ArchiverSettings,
        platform: api.Settings,
        clock: Clock,
        call_soon: Callable[[Callable[[], None]], object],
    ) -> None:
        """Start the store's thread.

        Args:
            settings: which messages are archived, and the store's settings.
            platform: the platform's settings.
            clock: reads the time.
            call_soon: schedules a call on the event loop from another thread.
        """
        self._settings = settings
        self._converter = JournalEntryConverter(platform, clock)
        self._waiting_count = 0
        self._waiting_bytes = 0
        super().__init__(settings, clock, call_soon, self._converter.has_effect)

    def reconfigure(self, platform: api.Settings) -> None:
        """Apply changed platform settings."""
        self._converter.settings = platform

    def set_accepted_class_finder(self, find_accepted_class: AcceptedClassFinder) -> None:
        """Go by the classes that messages were accepted under; until then those of their names count."""
        self._converter.find_accepted_class = find_accepted_class

    def should_archive(self, final_state: str) -> bool:
        """Return whether messages with this final answer are archived."""
        if final_state == STATE_FAILED:
            return self._settings.archives_failed
        return self._settings.archives_returned

    def failure_history(
        self, entry: JournalEntry, attempts: list[AttemptRecord], destination_state: JsonObject
    ) -> JsonObject:
        """Return the failure history that the journal records with the notification."""
        return failure_history_to_json(self._converter.failure_history(entry, attempts, destination_state))

    def archive(self, entry: JournalEntry, on_done: Callable[[], None]) -> None:
        """Store a message whose notification was acknowledged.

        Args:
            entry: the message.
            on_done: called once the message is stored. It is also called if the message cannot be stored,
                because nothing may wait for a failed store.
        """
        dead_letter = self._converter.dead_letter(entry)
        if not self._has_capacity_for(dead_letter):
            self._report_unstored(1, "the queue for the store is full")
            on_done()
            return
        self._waiting_count += 1
        self._waiting_bytes += dead_letter.size_bytes

        def on_stored(_: object) -> None:
            self._waiting_count -= 1
            self._waiting_bytes -= dead_letter.size_bytes
            if not self._is_closing:  # the journal may be closed; the next start reconciles
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
        """Record the outcome of a redelivery in the store.

        Args:
            entry: the message.
            is_delivered: whether it was delivered. Otherwise it becomes a dead letter again, with the
                attempts of the redelivery added.
            history: the failure history of the redelivery, as the journal records it.
            on_done: called once the store has recorded the outcome. Until then the message stays in the
                journal, even across a restart.
        """
        outcome = RedeliveryOutcome(
            ended_unix_ms=self._clock.unix_ms(),
            first_run_unix_ms=self._converter.wall_clock_ms(entry.first_executed_at_ms),
            first_executed_at_ms=entry.first_executed_at_ms,
            is_delivered=is_delivered,
        )

        def settle(store: DeadLetterStore) -> bool:
            self._settle_in(store, entry, outcome, history)
            return True

        def on_settled(is_settled: bool | None) -> None:
            if self._is_closing:
                return
            if is_settled:
                on_done()
            else:
                # Guards against a redelivery whose outcome neither the journal nor the store records.
                self._retry_when_usable(lambda: self.run_on_store(settle, on_settled))

        self.run_on_store(settle, on_settled)

    def _settle_in(
        self,
        store: DeadLetterStore,
        entry: JournalEntry,
        outcome: RedeliveryOutcome,
        history: JsonObject | None,
    ) -> None:
        """Record the outcome of a redelivery, on the store's thread, unless it is recorded already."""
        dead_letter = store.get(entry.redelivery_of)
        if dead_letter is None or dead_letter.state is not DeadLetterState.REDELIVERING:
            return
        if outcome.is_delivered:
            changes = settlement.changes_after_delivery(outcome)
        else:
            latest = self._converter.recorded_history(entry, history or None)
            changes = settlement.changes_after_failure(dead_letter, outcome, latest)
        store.update(dead_letter.number, DeadLetterState.REDELIVERING, **changes)

    def reconcile(self, entries: list[JournalEntry]) -> set[int]:
        """Return the numbers of the journal entries that the store has already settled.

        Opens the store on the caller's thread: at startup no traffic waits for it.
        """
        settings = self._settings
        if not settings.path.exists():
            return set()
        try:
            store = DeadLetterStore(settings.path, settings.bounds, self._converter.has_effect)
        except DeadLetterStoreError:
            return set()  # the store's thread reports the error
        try:
            return settlement.reconcile(store, entries)
        except DeadLetterStoreError:
            return set()
        finally:
            store.close()
