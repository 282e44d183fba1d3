"""Removal of messages that another courier has delivered or taken over."""

from __future__ import annotations

from winchspan import api
from winchspan.delivery.context import EngineContext
from winchspan.delivery.event_queue import EventQueue
from winchspan.delivery.message_table import MessageTable
from winchspan.delivery.messages import AcceptedMessage


class MessageRelease:
    """Completes messages that another courier has delivered or taken over."""

    def __init__(self, context: EngineContext, table: MessageTable, events: EventQueue) -> None:
        self._context = context
        self._journal = context.journal
        self._table = table
        self._events = events

    def complete_delivered(self, owner: str, message_ids: list[str]) -> int:
        """Complete messages that their previous owner has delivered after all.

        Args:
            owner: the courier from which they were taken over.
            message_ids: identifiers of the delivered messages.

        Returns:
            The number of these messages that were still open here.
        """
        completed_count = 0
        for message_id in message_ids:
            message = self._table.find(message_id)
            if message is None or not self._is_idle_message_of(message, owner):
                continue
            self._events.post(api.MessageWithdrawn(message_id))
            self._journal.record_completed([message.journal_number])
            self._context.metrics.count_completed("answered", message.class_name)
            self._table.complete(message, is_delivered=True)
            completed_count += 1
        return completed_count

    def _is_idle_message_of(self, message: AcceptedMessage, owner: str) -> bool:
        """Return whether a message is open, has no attempt in flight and was taken over from a courier."""
        if message.is_completed or message.attempt is not None:
            return False
        entry = self._journal.get(message.journal_number)
        return entry is not None and entry.origin is not None and entry.origin[0] == owner

    def release_all(self) -> None:
        """Drop all messages, because another courier has taken them over."""
        numbers = [message.journal_number for message in self._table]
        for message in self._table:
            self._events.post(api.MessageWithdrawn(message.id))
            self._table.complete(message)
        self._journal.record_completed([*numbers, *(entry.number for entry in self._journal.open_messages)])
