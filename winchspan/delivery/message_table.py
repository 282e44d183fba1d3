"""The table of accepted messages that are open or have an attempt in flight."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from winchspan.delivery.ended_messages import EndedMessages
from winchspan.delivery.messages import AcceptedMessage, DeliveryAttempt
from winchspan.runtime.clock import Clock
from winchspan.runtime.slot_table import SlotTable


class MessageTable:
    """Accepted messages by handle and by identifier.

    Attributes:
        messages: all messages that are open or have an attempt in flight.
        handles_by_id: their handles, by identifier.
        held_count: number of messages that are not completed.
        ended: messages that were removed recently.
        on_completed: called with the journal number of each message that is completed.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.messages: SlotTable[AcceptedMessage] = SlotTable()
        self.handles_by_id: dict[str, int] = {}
        self.held_count = 0
        self.ended = EndedMessages()
        self._withdrawn: dict[str, bool] = {}  # by identifier, whether the message may run again
        self.on_completed: Callable[[int], None] = lambda number: None

    def __iter__(self) -> Iterator[AcceptedMessage]:
        return iter(self.messages)

    def __len__(self) -> int:
        return len(self.messages)

    def __contains__(self, message_id: str) -> bool:
        return message_id in self.handles_by_id

    def add(self, message: AcceptedMessage) -> None:
        """Add a message and assign its handle."""
        message.handle = self.messages.add(message)
        self.handles_by_id[message.id] = message.handle
        self.held_count += 1

    def get(self, handle: int) -> AcceptedMessage | None:
        """Return the message of a handle, or None if it was removed."""
        return self.messages.get(handle)

    def find(self, message_id: str) -> AcceptedMessage | None:
        """Return the message of an identifier, or None if it was removed."""
        handle = self.handles_by_id.get(message_id)
        return None if handle is None else self.messages.get(handle)

    def complete(self, message: AcceptedMessage, *, is_delivered: bool = False) -> None:
        """Mark a message as completed; a second call only removes it, once its attempt is over."""
        if not message.is_completed:
            message.is_completed = True
            self.held_count -= 1
            self.on_completed(message.journal_number)
        if message.attempt is None:
            self._remove(message, is_delivered=is_delivered)

    def withdraw(self, message: AcceptedMessage, *, may_run_again: bool) -> None:
        """Complete a message whose client has not got a reply.

        Args:
            message: the message, which may have an attempt in flight.
            may_run_again: whether it is accepted again if that attempt does not deliver it.
        """
        self._withdrawn[message.id] = may_run_again
        self.complete(message)

    def is_withdrawn(self, message: AcceptedMessage) -> bool:
        """Return whether a message in the table has been withdrawn."""
        return message.id in self._withdrawn

    def _remove(self, message: AcceptedMessage, *, is_delivered: bool) -> None:
        self.messages.remove(message.handle)
        self.handles_by_id.pop(message.id, None)
        may_run_again = self._withdrawn.pop(message.id, False)
        if is_delivered or not may_run_again:
            self.ended.record(message.id, self._clock.now(), is_delivered=is_delivered)

    def attempts_in_flight(self) -> dict[int, DeliveryAttempt]:
        """Return each attempt that a message waits for, by its `id()` and in the table's order."""
        attempts = (message.attempt for message in self.messages)
        return {id(attempt): attempt for attempt in attempts if attempt is not None}
