"""Upper bound on the age of bytes when they are read from a connection."""

from __future__ import annotations

from winchspan.runtime.poll_monitor import PollMonitor


class ReceiveAge:
    """Tracks the earliest time at which the bytes that are read can have been received.

    The bound also holds across times in which reading was paused.

    Attributes:
        received_after_ms: clock reading after which the last read bytes were received.
    """

    __slots__ = ("_poll_monitor", "_resumed_at_poll", "_unread_since_ms", "received_after_ms")

    def __init__(self, poll_monitor: PollMonitor) -> None:
        self._poll_monitor = poll_monitor
        self._unread_since_ms = 0.0
        self._resumed_at_poll = 0
        self.received_after_ms = 0.0

    def mark_unread_since(self, at_ms: float) -> None:
        """Record that the connection was not read since `at_ms`, and that reading resumes now."""
        self.received_after_ms = at_ms
        self._unread_since_ms = at_ms
        self._resumed_at_poll = self._poll_monitor.poll_count

    def pause(self) -> None:
        """Record that reading is paused."""
        self._unread_since_ms = self._poll_monitor.received_after_ms

    @property
    def unread_since_ms(self) -> float:
        """Clock reading after which all bytes were received that are unread while reading is paused."""
        return self._unread_since_ms

    @property
    def paused_since_ms(self) -> float:
        """Clock reading after which all bytes were received that wait while reading is paused."""
        return min(self.received_after_ms, self._unread_since_ms)

    def resume(self) -> None:
        """Record that reading is resumed."""
        self._resumed_at_poll = self._poll_monitor.poll_count

    def record_receive(self, *, may_have_more: bool) -> None:
        """Record a read; with `may_have_more`, the socket may hold more bytes of the same age."""
        self.received_after_ms = self._poll_monitor.received_after(
            self._unread_since_ms, self._resumed_at_poll
        )
        if may_have_more:
            self.mark_unread_since(self.received_after_ms)
