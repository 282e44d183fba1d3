"""Suspends a process, as SIGSTOP or a busy core does, and resumes it as a kernel would.

While the process is suspended, arrivals and due callbacks are deferred. After it is resumed, it first reads
the data that has arrived, which may have arrived at any time of the suspension. Only then its timers fire.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, NamedTuple

from winchspan.runtime.clock import Clock
from winchspan.runtime.poll_monitor import PollMonitor
from winchspan.simulation.loop import EmulatedLoop

CAUGHT_UP_TICKS: Final = 4
"""Number of consecutive ticks without unread data after which a resumed process has read all arrivals."""


class _DeferredCallback(NamedTuple):
    """A callback that was due while the process was suspended, with its arguments."""

    callback: Callable[..., object]
    arguments: tuple[object, ...]


class Suspension:
    """The suspension state of a process, with its deferred arrivals and callbacks.

    Attributes:
        is_active: whether the process is suspended.
    """

    def __init__(
        self,
        loop: EmulatedLoop,
        clock: Clock,
        poll_monitor: PollMonitor,
        has_unread_data: Callable[[], bool],
        run_callback: Callable[..., object],
    ) -> None:
        """Create the state of a process that is not suspended.

        Args:
            loop: the event loop in virtual time.
            clock: the clock of the machine.
            poll_monitor: the poll monitor of the process.
            has_unread_data: returns whether the process has unread data or connections to accept.
            run_callback: runs a callback with its arguments in the process.
        """
        self.is_active = False
        self._loop = loop
        self._clock = clock
        self._poll_monitor = poll_monitor
        self._has_unread_data = has_unread_data
        self._run_callback = run_callback
        self._suspended_since_ms = 0.0
        self._deferred_arrivals: list[Callable[[], None]] = []
        self._deferred_callbacks: list[_DeferredCallback] = []

    def begin(self) -> None:
        """Suspend the process, if it is not suspended."""
        if not self.is_active:
            self.is_active = True
            self._suspended_since_ms = self._clock.now()

    def end(self) -> None:
        """Resume the process, if it is suspended."""
        if not self.is_active:
            return
        self.is_active = False
        self._poll_monitor.received_after_ms = self._suspended_since_ms
        if self._poll_monitor.after_poll is not None:
            self._poll_monitor.after_poll()
        arrivals = self._deferred_arrivals
        self._deferred_arrivals = []
        for action in arrivals:
            self._loop.call_soon(action)
        self._catch_up(CAUGHT_UP_TICKS)

    def defer_arrival(self, action: Callable[[], None]) -> None:
        """Defer the handling of an arrival until the process is resumed."""
        self._deferred_arrivals.append(action)

    def defer_callback(self, callback: Callable[..., object], arguments: tuple[object, ...]) -> None:
        """Defer a callback until the resumed process has read all arrivals."""
        self._deferred_callbacks.append(_DeferredCallback(callback, arguments))

    def _catch_up(self, ticks_left: int) -> None:
        """Check in each tick for unread data; once there is none, run the deferred callbacks."""
        if self.is_active:
            return  # the process is suspended again
        has_unread_data = self._has_unread_data()
        if has_unread_data or ticks_left > 1:
            ticks_left = CAUGHT_UP_TICKS if has_unread_data else ticks_left - 1
            self._loop.call_soon(self._catch_up, ticks_left)
            return
        self._poll_monitor.received_after_ms = float("inf")
        deferred_callbacks = self._deferred_callbacks
        self._deferred_callbacks = []
        for deferred in deferred_callbacks:
            self._loop.call_soon(self._run_callback, deferred.callback, deferred.arguments)
