"""Upper bound on how long accepted clients have waited in the backlog of the listening socket."""

from __future__ import annotations

from winchspan.runtime.poll_monitor import PollMonitor


class BacklogAge:
    """Tracks the earliest time at which the clients now in the backlog can have connected.

    The bound also holds across times in which the courier accepted no clients.
    """

    __slots__ = ("_checked_at_poll", "_poll_monitor", "_waiting_since_ms")

    def __init__(self, poll_monitor: PollMonitor) -> None:
        self._poll_monitor = poll_monitor
        self._waiting_since_ms: float | None = poll_monitor.received_after_ms  # None: the backlog is empty
        self._checked_at_poll = 0

    def mark_unknown(self) -> None:
        """Record that the clients in the backlog may have connected at any time."""
        self._waiting_since_ms = float("-inf")

    @property
    def waiting_since_ms(self) -> float | None:
        """Clock reading after which every client in the backlog has connected; None: it is empty."""
        return self._waiting_since_ms

    def mark_waiting_since(self, at_ms: float) -> None:
        """Record that another process has found the backlog empty, or accepted from it, until `at_ms`."""
        self._waiting_since_ms = at_ms

    def resume(self) -> None:
        """Record that accepting starts."""
        self._checked_at_poll = self._poll_monitor.poll_count

    def pause(self) -> None:
        """Record that accepting stops."""
        self._waiting_since_ms = self._received_after()

    def begin_accepting(self) -> float:
        """Return a clock reading after which every client in the backlog has connected."""
        received_after_ms = self._received_after()
        self._waiting_since_ms = received_after_ms
        self._checked_at_poll = self._poll_monitor.poll_count
        return received_after_ms

    def record_empty(self) -> None:
        """Record that the backlog is empty."""
        self._waiting_since_ms = None

    def _received_after(self) -> float:
        if self._waiting_since_ms is None:
            return self._poll_monitor.received_after_ms
        return self._poll_monitor.received_after(self._waiting_since_ms, self._checked_at_poll)
