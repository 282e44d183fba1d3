"""Completes messages that were not delivered: notifications, redeliveries and dead letters."""

from __future__ import annotations

from functools import partial
from typing import Any, Final

from loguru import logger

from winchspan import api
from winchspan.delivery.context import EngineContext
from winchspan.delivery.event_queue import EventQueue
from winchspan.delivery.message_table import MessageTable
from winchspan.delivery.messages import STATE_RETURNED, AcceptedMessage, AttemptRecord
from winchspan.runtime.clock import ms_to_ns, ns_to_ms

LATE_MS: Final = 50.0  # behind a deadline, from when on the log tells of a final answer
STILL_IN_FLIGHT = "still out"  # stored outcome of an attempt that has not ended


class FinalAnswers:
    """Gives each message that is not delivered exactly one final answer."""

    def __init__(self, context: EngineContext, table: MessageTable, events: EventQueue) -> None:
        self._context = context
        self._clock = context.clock
        self._journal = context.journal
        self._dead_letters = context.dead_letters
        self._table = table
        self._events = events

    def finish(self, message_id: str, state: str, after_ms: int, reason: str = "") -> None:
        """Complete a message that is not delivered; has no effect if it is completed already.

        Args:
            message_id: the message's identifier.
            state: its final state.
            after_ms: time in ms until the client may submit it again; 0 if unknown.
            reason: an explanation for people.
        """
        message = self._table.find(message_id)
        if message is None or message.is_completed:
            return
        if message.attempt is not None and message.attempt.call is not None:
            message.attempt.call.accept_held_response()  # it may have been delivered
            if message.is_completed:
                return
        late_ms = self._clock.now() - message.deadline_ms
        if late_ms > LATE_MS:
            logger.info("message {} ends {:.0f} ms after its deadline: {}", message_id, late_ms, state)
        history = self._failure_history(message, state)
        self._journal.record_notification_pending(message.journal_number, state, after_ms, history)
        self._table.complete(message)
        if message.redelivery_of:
            self.settle_redelivery(message, is_delivered=False, history=history)
            return
        self._context.metrics.count_completed(
            "deferred" if state == STATE_RETURNED else "errored", message.class_name
        )
        self.notify(message, state, after_ms, reason)

    def notify(self, message: AcceptedMessage, state: str, after_ms: int, reason: str = "") -> None:
        """Notify the platform of a message's final state, once its journal record is replicated."""
        acknowledged = partial(self._on_acknowledged, message, state)
        notify = self._context.notifier.notify
        self._context.replication.when_replicated(
            lambda: notify(message.id, state, after_ms, acknowledged, reason), lambda: None
        )

    def _on_acknowledged(self, message: AcceptedMessage, state: str) -> None:
        self._events.post(api.NotificationAcknowledged(message.id))
        entry = self._journal.get(message.journal_number)
        if entry is None or not self._dead_letters.should_archive(state):
            self._journal.record_completed([message.journal_number])
        else:
            self._dead_letters.archive(
                entry, lambda: self._journal.record_completed([message.journal_number])
            )

    def settle_redelivery(
        self, message: AcceptedMessage, *, is_delivered: bool, history: dict[str, Any] | None
    ) -> None:
        """Report a redelivery's result to the dead-letter store; the platform is not notified again."""
        entry = self._journal.get(message.journal_number)
        self._events.post(api.NotificationAcknowledged(message.id))
        if entry is None:
            self._journal.record_completed([message.journal_number])
        else:
            self._dead_letters.settle_redelivery(
                entry,
                is_delivered=is_delivered,
                history=history,
                on_done=lambda: self._journal.record_completed([message.journal_number]),
            )

    def settle_redelivery_result(self, message: AcceptedMessage, *, is_delivered: bool, state: str) -> None:
        """Settle a redelivery whose attempt has ended, with the failure history of a final state."""
        history = self._failure_history(message, state)
        self.settle_redelivery(message, is_delivered=is_delivered, history=history)

    def _failure_history(self, message: AcceptedMessage, state: str) -> dict[str, Any] | None:
        """Return the failure history of a message, if its dead letter is stored."""
        entry = self._journal.get(message.journal_number)
        if entry is None or not (message.redelivery_of or self._dead_letters.should_archive(state)):
            return None
        attempts = list(message.attempt_history or [])
        attempt = message.attempt
        if attempt is not None:
            started_unix_ms = self._clock.unix_ms() - (self._clock.now() - attempt.started_ms)
            endpoint_name = self._context.transport.describe(attempt.endpoint)[0]
            duration_ms = self._clock.now() - attempt.started_ms
            attempts.append(AttemptRecord(endpoint_name, started_unix_ms, STILL_IN_FLIGHT, duration_ms, 0.0))
        return self._dead_letters.failure_history(
            entry, attempts, self._destination_state(message.destination)
        )

    def _destination_state(self, destination: int) -> dict[str, Any]:
        """Return the scheduler's current state of a destination, under the keys of the stored history."""
        state = self._context.scheduler.destinations.get(destination)
        if state is None:
            return {}
        now_ns = ms_to_ns(self._clock.now())
        usable = [endpoint for endpoint in state.endpoints.values() if endpoint.is_usable]
        wait_until_ns = max((endpoint.limit.retry_after_ns for endpoint in usable), default=0)
        return {
            "window": state.window,
            "calls": state.call_count,
            "queue": len(state.queue),
            "endpoints": len(usable),
            "sick": sum(endpoint.is_open for endpoint in usable),
            "waits": ns_to_ms(max(0, wait_until_ns - now_ns)),
        }
