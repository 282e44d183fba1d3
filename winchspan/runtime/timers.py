"""A priority queue of all timers of a process, driven by a single event-loop timer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Final

from loguru import logger

from winchspan.runtime.clock import MS_PER_SECOND, Clock
from winchspan.runtime.poll_monitor import PollMonitor

MIN_COMPACTION_SIZE: Final = 1_024
"""Number of timers in the heap, including cancelled ones, below which it is not compacted."""


class Timer:
    """A scheduled callback."""

    __slots__ = ("callback", "deadline_ms")

    def __init__(self, deadline_ms: float, callback: Callable[[], None]) -> None:
        self.deadline_ms = deadline_ms
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancel the callback; has no effect if it was called already."""
        self.callback = None


class TimerQueue:
    """A heap of timers; cancelled ones are dropped when they reach the top or outnumber the rest."""

    def __init__(
        self,
        clock: Clock,
        loop: asyncio.AbstractEventLoop | None = None,
        poll_monitor: PollMonitor | None = None,
    ) -> None:
        """Create an empty queue.

        Args:
            clock: the clock that deadlines refer to.
            loop: the event loop that calls `run_due`; None if the owner calls it.
            poll_monitor: records when the loop last polled its sockets.
        """
        self._clock = clock
        self._loop = loop
        self._poll_monitor = poll_monitor or PollMonitor()
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence = count()  # preserves the order of timers with equal deadlines
        self._loop_timer: asyncio.TimerHandle | None = None
        self._loop_timer_deadline_ms = float("inf")
        self._compaction_size = MIN_COMPACTION_SIZE
        self._is_paused = False

    def call_at(self, deadline_ms: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` once the clock reads `deadline_ms`."""
        timer = Timer(deadline_ms, callback)
        heappush(self._heap, (deadline_ms, next(self._sequence), timer))
        if len(self._heap) > self._compaction_size:
            self._compact()
        self._arm_loop_timer()
        return timer

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` after a delay."""
        return self.call_at(self._clock.now() + delay_ms, callback)

    def next_deadline_ms(self) -> float | None:
        """Return the deadline of the earliest active timer, or None if there is none."""
        while self._heap and self._heap[0][2].callback is None:
            heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def pause(self) -> None:
        """Call no callbacks until `resume`, even if they become due."""
        self._is_paused = True

    def resume(self) -> None:
        """Call the callbacks that have become due since `pause`, and continue."""
        self._is_paused = False
        self.run_due()

    def run_due(self) -> None:
        """Call all callbacks that were due when the sockets were last polled.

        Callbacks that have become due since then wait for the next poll: after a delayed dispatch cycle, the
        response to a call may have arrived unread, and the call must not be judged as overdue. An exception
        of a callback is logged and does not stop the others.
        """
        if self._is_paused:
            return
        now = min(self._clock.now(), self._poll_monitor.last_poll_ms)
        while self._heap and (self._heap[0][0] <= now or self._heap[0][2].callback is None):
            callback = heappop(self._heap)[2].callback
            if callback is not None:
                try:
                    callback()
                except Exception:  # a fault in one component must not stop the timers of others
                    logger.exception("timer callback failed")
        self._arm_loop_timer()

    def _compact(self) -> None:
        """Remove cancelled timers, so that they do not accumulate in the heap."""
        self._heap = [entry for entry in self._heap if entry[2].callback is not None]
        heapify(self._heap)
        self._compaction_size = max(MIN_COMPACTION_SIZE, 2 * len(self._heap))

    def _arm_loop_timer(self) -> None:
        """Set the loop's timer to the earliest deadline."""
        if self._loop is None or not self._heap or self._heap[0][0] >= self._loop_timer_deadline_ms:
            return
        if self._loop_timer is not None:
            self._loop_timer.cancel()
        self._loop_timer_deadline_ms = self._heap[0][0]
        delay_ms = max(0.0, self._loop_timer_deadline_ms - self._clock.now())
        self._loop_timer = self._loop.call_later(delay_ms / MS_PER_SECOND, self._on_loop_timer)

    def _on_loop_timer(self) -> None:
        """Handle the loop's timer."""
        self._loop_timer = None
        self._loop_timer_deadline_ms = float("inf")
        self.run_due()
