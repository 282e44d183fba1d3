"""The steps of a graceful shutdown, timed from SIGTERM."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from loguru import logger

from winchspan.net.client_listener import ClientConnections
from winchspan.runtime.clock import Clock
from winchspan.runtime.timers import TimerQueue

STOP_LISTENING_AFTER_MS: Final = 700.0  # clients still connect for 400 ms after SIGTERM
STOP_ATTEMPTS_AFTER_MS: Final = 2_600.0  # new attempts start until then; SIGKILL is at 3.7 s or later
END_AFTER_MS: Final = 3_300.0  # attempts in flight may complete until then
POLL_INTERVAL_MS: Final = 20.0  # between two checks for remaining work


@dataclass(frozen=True, slots=True)
class ShutdownActions:
    """What a shutdown does and asks.

    Attributes:
        is_busy: returns whether this process has work left.
        in_flight_count: returns the number of attempts in flight.
        freeze: starts no further attempt.
        recall_unwritten: recalls the calls of which not all bytes are written.
        end: ends the process.
    """

    is_busy: Callable[[], bool]
    in_flight_count: Callable[[], int]
    freeze: Callable[[], None]
    recall_unwritten: Callable[[], None]
    end: Callable[[], None]


class GracefulShutdown:
    """Shuts down a process: connected clients are answered, and attempts in flight may complete."""

    def __init__(
        self, clients: ClientConnections, clock: Clock, timers: TimerQueue, actions: ShutdownActions
    ) -> None:
        """Create an idle shutdown sequence.

        Args:
            clients: the client connections.
            clock: the courier's clock.
            timers: schedule the later steps.
            actions: what the shutdown does and asks.
        """
        self._clients = clients
        self._clock = clock
        self._timers = timers
        self._actions = actions
        self._requested_ms: float | None = None

    def request(self) -> None:
        """Count the time of the steps from now on: a hand-over in progress is completed first."""
        if self._requested_ms is None:
            self._requested_ms = self._clock.now()

    def begin(self) -> None:
        """Begin the shutdown, unless it has begun already."""
        if self._clients.is_stopping:
            return
        self.request()
        assert self._requested_ms is not None
        logger.info("stopping: {} attempts in flight", self._actions.in_flight_count())
        self._clients.begin_shutdown()
        self._timers.call_at(self._requested_ms + STOP_LISTENING_AFTER_MS, self._clients.stop_listening)
        self._timers.call_at(self._requested_ms + STOP_LISTENING_AFTER_MS, self._end_once_idle)
        self._timers.call_at(self._requested_ms + STOP_ATTEMPTS_AFTER_MS, self._stop_attempts)
        self._timers.call_at(self._requested_ms + END_AFTER_MS, self._actions.end)

    def _stop_attempts(self) -> None:
        """Start no attempt, and recall those whose connection is still coming up; the next process has them.

        Guards against a call that begins behind a drain or within a wait: a frozen engine hears of neither.
        """
        self._actions.freeze()
        self._actions.recall_unwritten()

    def _end_once_idle(self) -> None:
        if self._actions.is_busy() or self._clients.is_awaiting_first_request():
            self._timers.call_later(POLL_INTERVAL_MS, self._end_once_idle)
        else:
            self._actions.end()
