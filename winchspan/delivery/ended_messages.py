"""Identifiers of messages that have ended recently, to recognize requests that were read late.

A request may lie unread while the message of its identifier is delivered: behind other requests in a
connection's buffer, or in the kernel. It must not count as a new message then. Each time a message is
submitted, it has a new identifier, so that an identifier matters only as long as a request may be read that
was sent before its message ended.
"""

from __future__ import annotations

from typing import Final, NamedTuple

RETENTION_MS: Final = 4_000.0
"""Time for which an identifier is retained: ten times that for which a client waits for its reply."""

MAX_COUNT: Final = 2_048
"""Most retained identifiers; RETENTION_MS at 512 messages a second."""


class EndedMessage(NamedTuple):
    """A message that has ended: its identifier, the clock reading in ms, and whether it was delivered."""

    id: str
    ended_at_ms: float
    is_delivered: bool


class EndedMessagesState(NamedTuple):
    """The retained messages, oldest first, and the clock reading since which they are complete."""

    ended: list[EndedMessage]
    complete_since_ms: float


class EndedMessages:
    """The messages that have ended recently, oldest first.

    Attributes:
        complete_since_ms: clock reading; every message that has ended after it is retained.
    """

    def __init__(self) -> None:
        self.complete_since_ms = float("-inf")
        self._ended: dict[str, EndedMessage] = {}

    def __len__(self) -> int:
        return len(self._ended)

    def record(self, message_id: str, now_ms: float, *, is_delivered: bool) -> None:
        """Record the end of a message, and drop the oldest ones above the limits of age and number."""
        self._ended.pop(message_id, None)  # a redelivered message ends again
        self._ended[message_id] = EndedMessage(message_id, now_ms, is_delivered)
        while len(self._ended) > MAX_COUNT or self._oldest().ended_at_ms < now_ms - RETENTION_MS:
            dropped = self._oldest()
            del self._ended[dropped.id]
            self.complete_since_ms = max(self.complete_since_ms, dropped.ended_at_ms)

    def _oldest(self) -> EndedMessage:
        return next(iter(self._ended.values()))

    def find(self, message_id: str) -> EndedMessage | None:
        """Return the retained end of a message; None if there is none."""
        return self._ended.get(message_id)

    # ---- upgrade -----------------------------------------------------------------------------------------
    def export_state(self) -> EndedMessagesState:
        """Return the state for the process that takes over."""
        return EndedMessagesState(list(self._ended.values()), self.complete_since_ms)

    def import_state(self, state: EndedMessagesState | None, now_ms: float) -> None:
        """Continue with the messages of another process, which has ended none since it exported them.

        Args:
            state: the exported state; None from a program that does not tell.
            now_ms: the clock reading.
        """
        if state is None:
            self.complete_since_ms = now_ms
            return
        self._ended = {message.id: message for message in state.ended} | self._ended
        self.complete_since_ms = state.complete_since_ms
