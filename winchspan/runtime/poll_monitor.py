"""Bounds the age of data read from a socket, by the times at which the event loop polled its sockets.

The time limit of a message starts when its client writes it. A courier that is delayed (a slow start, a hang,
a stopped process, a busy core) reads it later than that. The system does not report when bytes arrived, but
data that a poll finds arrived after the end of the poll before it. All times are readings of `Clock.now`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

MIN_BLOCKING_POLL_MS: Final = 0.2
"""A poll that takes longer has blocked: the data that it found arrived at its end."""

TIMEOUT_TOLERANCE_MS: Final = 5.0
"""A poll that exceeds its time-out by more was itself delayed; the loop's timers have whole milliseconds."""


class PollMonitor:
    """Records the event loop's polls of its sockets.

    A monitor without recorded polls treats all data as just received.

    Attributes:
        received_after_ms: data that is read now was received after this time.
        last_poll_ms: end of the last poll; timers due by then may run.
        poll_count: number of recorded polls.
        after_poll: called after each poll, before the loop handles the events that it found.
    """

    __slots__ = ("_previous_end_ms", "after_poll", "last_poll_ms", "poll_count", "received_after_ms")

    def __init__(self, start_ms: float = float("inf")) -> None:
        """Create a monitor.

        Args:
            start_ms: earliest time at which data can have been received, such as the start of the process.
        """
        self.received_after_ms = start_ms
        self.last_poll_ms = start_ms
        self.poll_count = 0
        self.after_poll: Callable[[], None] | None = None
        self._previous_end_ms = start_ms  # end of the last recorded poll

    def record_poll(self, start_ms: float, end_ms: float, timeout_ms: float | None) -> None:
        """Record a poll that has ended.

        Args:
            start_ms: start of the poll.
            end_ms: end of the poll, with events or at its time-out.
            timeout_ms: time-out of the poll; None if it had none.
        """
        self.last_poll_ms = end_ms
        duration_ms = end_ms - start_ms
        self.poll_count += 1
        previous_end_ms = self._previous_end_ms
        self._previous_end_ms = end_ms
        was_delayed = timeout_ms is not None and duration_ms > timeout_ms + TIMEOUT_TOLERANCE_MS
        found_at_once = duration_ms < MIN_BLOCKING_POLL_MS
        self.received_after_ms = previous_end_ms if was_delayed or found_at_once else end_ms

    def received_after(self, unread_since_ms: float, poll_count: int) -> float:
        """Return a lower bound on the time at which data that is read now was received.

        Args:
            unread_since_ms: time of the last read from the socket.
            poll_count: the poll count at which reading resumed; the next poll would have found data that was
                already waiting on the socket.
        """
        if 0 < self.poll_count <= poll_count + 1:
            return min(unread_since_ms, self.received_after_ms)
        return self.received_after_ms
