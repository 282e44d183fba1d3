"""Resumes messages from the journal after a restart or another courier's failure."""

from __future__ import annotations

from loguru import logger

from winchspan import api
from winchspan.delivery.admission import Admission
from winchspan.delivery.context import EngineContext
from winchspan.delivery.event_queue import EventQueue
from winchspan.delivery.final_answers import FinalAnswers
from winchspan.delivery.intake import MAX_DEADLINE_RATIO
from winchspan.delivery.message_table import MessageTable
from winchspan.delivery.messages import AcceptedMessage
from winchspan.delivery.reconfiguration import Reconfiguration
from winchspan.runtime.clock import ms_to_ns, ns_to_ms
from winchspan.storage.journal_records import JournalEntry


def message_from_entry(entry: JournalEntry, deadline_ms: float) -> AcceptedMessage:
    """Return the message of a journal entry.

    Args:
        entry: the entry.
        deadline_ms: time at which its final answer is due, on the engine's clock.
    """
    return AcceptedMessage(
        entry.number,
        entry.id,
        entry.destination,
        deadline_ms,
        entry.idempotency_key,
        entry.body,
        entry.class_name,
        attempt_count=entry.attempt_count,
        redelivery_of=entry.redelivery_of,
    )


class Recovery:
    """Restores messages from journal entries and passes them on to the scheduler."""

    def __init__(
        self,
        context: EngineContext,
        table: MessageTable,
        events: EventQueue,
        answers: FinalAnswers,
        reconfiguration: Reconfiguration,
    ) -> None:
        self._context = context
        self._clock = context.clock
        self._journal = context.journal
        self._table = table
        self._events = events
        self._answers = answers
        self._reconfiguration = reconfiguration

    def recover(self, admission: Admission) -> float:
        """Resume the open messages of the previous incarnation, in the order of their acceptance.

        Returns:
            The time that the messages' ages refer to, on the engine's clock. The scheduler must base its
            first decisions on it: with a later time, each retry window would be extended.
        """
        self._journal.anchor_clock(self._clock)
        now = self._clock.now()
        journal_now_ms = self._clock.persistent_unix_ms()
        if self._journal.last_attempt_at_ms:
            ago_ms = max(0.0, journal_now_ms - self._journal.last_attempt_at_ms)
            self._context.overload_control.restarted(ms_to_ns(now), ms_to_ns(now - ago_ms))
        settled = self._context.dead_letters.reconcile(list(self._journal.open_messages))
        if settled:
            self._journal.record_completed(sorted(settled))
        self._recover_outages(journal_now_ms)
        for entry in list(self._journal.open_messages):
            self._recover_entry(entry, admission, now, journal_now_ms)
        logger.info(
            "recovered {} open messages from {} bytes", len(self._table), self._journal.recovered_bytes
        )
        return now

    def _recover_outages(self, journal_now_ms: float) -> None:
        """Report earlier outages to the scheduler: waiting messages must not all be sent at once."""
        for record in self._journal.outages:
            try:
                phase = api.SlowStartPhase(record.phase)
            except ValueError:  # written by a later version
                continue
            ago_ns = ms_to_ns(journal_now_ms - record.at_ms)
            self._events.post(api.SlowStartRecovered(record.destination, phase, ago_ns, record.calls_per_s))

    def _recover_entry(
        self, entry: JournalEntry, admission: Admission, now: float, journal_now_ms: float
    ) -> None:
        class_name = self._context.class_name_of(entry)
        remaining_ms = self._remaining_ms(entry, class_name, journal_now_ms)
        message = self._add_message(entry, now + remaining_ms)
        event = self._recovered_event(entry, class_name, remaining_ms, journal_now_ms)
        if entry.pending_notification is None and not entry.redelivery_of:
            admission.admit(message, event, self._context.classes.get(class_name), "")
            return
        self._events.post(event)
        if entry.pending_notification is None:
            return
        self._table.complete(message)
        self.resume_final_answer(message, entry, entry.pending_notification)

    def adopt(self, entries: list[JournalEntry], admission: Admission) -> None:
        """Resume messages that were taken over from another courier into this journal."""
        now = self._clock.now()
        journal_now_ms = self._clock.persistent_unix_ms()
        for entry in entries:
            class_name = self._context.class_name_of(entry)
            if entry.id in self._table:
                self._journal.record_completed([entry.number])
                continue
            remaining_ms = self._remaining_ms(entry, class_name, journal_now_ms)
            message = self._add_message(entry, now + remaining_ms)
            message.redelivery_of = 0  # the dead letter is not in this courier's store
            event = self._recovered_event(entry, class_name, remaining_ms, journal_now_ms)
            if entry.pending_notification is not None:
                self._events.post(event)
                self._table.complete(message)
                self._answers.notify(message, entry.pending_notification, entry.retry_after_ms)
            else:
                origin = entry.origin[0] if entry.origin is not None else ""
                admission.admit_taken_over(message, event, self._context.classes.get(class_name), origin)

    def resume_final_answer(self, message: AcceptedMessage, entry: JournalEntry, state: str) -> None:
        """Settle a message whose final state is in the journal and not acknowledged yet."""
        if entry.redelivery_of:
            self._answers.settle_redelivery(message, is_delivered=False, history=entry.failure_history)
        else:
            self._answers.notify(message, state, entry.retry_after_ms)

    def _remaining_ms(self, entry: JournalEntry, class_name: str, journal_now_ms: float) -> float:
        """Return the time until an entry's deadline, bounded because the clocks of two hosts may differ."""
        remaining_ms = entry.deadline_ms - journal_now_ms
        message_class = self._context.classes.get(class_name)
        if message_class is None:
            return remaining_ms
        return min(remaining_ms, MAX_DEADLINE_RATIO * ns_to_ms(message_class.deadline_ns))

    def _add_message(self, entry: JournalEntry, deadline_ms: float) -> AcceptedMessage:
        message = message_from_entry(entry, deadline_ms)
        message.attempt_history = self._context.new_attempt_history()
        self._table.add(message)
        return message

    def _recovered_event(
        self, entry: JournalEntry, class_name: str, remaining_ms: float, journal_now_ms: float
    ) -> api.MessageRecovered:
        """Return the event of a recovered entry; an attempt that was in flight may have run."""
        was_in_flight = entry.in_flight_since_ms is not None
        if was_in_flight:
            self._journal.record_attempt_ended([entry.number], may_have_executed=True)
        executed_ago_ns = None
        if entry.first_executed_at_ms is not None:
            executed_ago_ns = ms_to_ns(max(0.0, journal_now_ms - entry.first_executed_at_ms))
        arrived = api.MessageArrived(
            entry.id,
            class_name,
            entry.destination,
            ms_to_ns(max(0.0, remaining_ms)),
            key=entry.key,
            is_lowest_priority=entry.redelivery_of > 0,
        )
        return api.MessageRecovered(
            arrived,
            entry.attempt_count,
            executed_ago_ns,
            entry.first_executed_zone,
            was_in_flight,
            is_completed=entry.pending_notification is not None,
        )
