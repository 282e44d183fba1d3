"""The messages that the auditor observes.

Finished messages are removed after `RETENTION_NS`, so that memory is bounded.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Final, NamedTuple

from winchspan.simulation.audit.records import MessageRecord
from winchspan.simulation.loop import NS_PER_MS

RETENTION_NS: Final = 60_000 * NS_PER_MS
"""Time for which a finished message is retained."""


class _FinishedMessage(NamedTuple):
    finished_at_ns: int
    message: MessageRecord


class _CourierOrderingKey(NamedTuple):
    courier_host: str
    ordering_key: str


class MessageRegistry:
    """Messages by id, and unfinished messages by ordering key.

    Attributes:
        accepted_count: number of messages that couriers have accepted.
        max_size: maximum number of registered messages at any time.
    """

    def __init__(self) -> None:
        self.accepted_count = 0
        self.max_size = 0
        self._messages: dict[str, MessageRecord] = {}
        self._queues_by_ordering_key: dict[
            _CourierOrderingKey, deque[MessageRecord]
        ] = {}  # in the order of submission
        self._finished_messages: deque[_FinishedMessage] = deque()  # in the order of finishing

    def find(self, message_id: str) -> MessageRecord | None:
        """Return a message by its id; None if it is not registered."""
        return self._messages.get(message_id)

    def messages(self) -> Iterable[MessageRecord]:
        """Return all registered messages."""
        return self._messages.values()

    def add(self, message: MessageRecord) -> None:
        """Register a submitted message."""
        self._messages[message.id] = message
        self.max_size = max(self.max_size, len(self._messages))
        if message.ordering_key:
            self._queues_by_ordering_key.setdefault(_ordering_key_of(message), deque()).append(message)

    def head_of_line(self, message: MessageRecord) -> MessageRecord:
        """Return the accepted, unfinished message that must be delivered before this one; itself if none."""
        queue = self._queues_by_ordering_key.get(_ordering_key_of(message)) if message.ordering_key else None
        if not queue:
            return message
        head = next((queued for queued in queue if queued.is_accepted and not queued.is_finished), message)
        if head is message:
            return message
        position = queue.index(message) if message in queue else 0
        return head if queue.index(head) < position else message

    def finish(self, message: MessageRecord, now_ns: int) -> None:
        """Mark a message as finished, unless it is already finished."""
        if message.is_finished:
            return
        message.is_finished = True
        self._finished_messages.append(_FinishedMessage(now_ns, message))
        queue = self._queues_by_ordering_key.get(_ordering_key_of(message)) if message.ordering_key else None
        if queue is None:
            return
        while queue and queue[0].is_finished:
            queue.popleft()
        if not queue:
            del self._queues_by_ordering_key[_ordering_key_of(message)]

    def forget_old(self, now_ns: int) -> None:
        """Remove messages whose end and whose deadline are both longer ago than `RETENTION_NS`."""
        while self._finished_messages:
            finished_at_ns, message = self._finished_messages[0]
            if now_ns <= max(finished_at_ns, message.deadline_ns) + RETENTION_NS:
                return
            self._finished_messages.popleft()
            self._messages.pop(message.id, None)


def _ordering_key_of(message: MessageRecord) -> _CourierOrderingKey:
    return _CourierOrderingKey(message.courier_host, message.ordering_key)
