"""What a hand-over still waits for, as operators see it in the log."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Undrained:
    """The parts of the serving process that cannot be handed over yet.

    Attributes:
        servers: addresses of the calls in flight that block the hand-over.
        held_count: number of these calls whose response has come, and is held.
        client_count: connections of clients that are being accepted or closed, or have unsent replies.
        has_notification: whether a notification request is in flight.
        has_unsettled_attempts: whether attempts are not started, or the journal has a backlog.
    """

    servers: tuple[str, ...]
    held_count: int
    client_count: int
    has_notification: bool
    has_unsettled_attempts: bool

    def __bool__(self) -> bool:
        """Return whether anything blocks the hand-over."""
        return self.has_notification or not self.is_done_but_notification

    @property
    def are_calls_drained(self) -> bool:
        """Whether no call can block the hand-over."""
        return not (self.servers or self.has_unsettled_attempts)

    @property
    def is_done_but_notification(self) -> bool:
        """Whether nothing but a notification can block the hand-over."""
        return self.are_calls_drained and not self.client_count

    def __str__(self) -> str:
        """Return a description for a log line."""
        parts = []
        if self.servers:
            parts.append(f"{len(self.servers)} calls to {', '.join(sorted(set(self.servers)))}")
        if self.held_count:
            parts.append(f"{self.held_count} of them with a held response")
        if self.client_count:
            parts.append(f"{self.client_count} clients")
        if self.has_notification:
            parts.append("a notification")
        if self.has_unsettled_attempts:
            parts.append("unsettled attempts")
        return "; ".join(parts) or "nothing"
