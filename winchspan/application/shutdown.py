"""The steps of a graceful shutdown, timed from SIGTERM."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from loguru import logger

from winchspan.delivery.engine import DeliveryEngine
from winchspan.net.client_listener import ClientConnections
from winchspan.runtime.timers import TimerQueue

STOP_LISTENING_AFTER_MS: Final = 700.0  # clients still connect for 400 ms after SIGTERM
STOP_ATTEMPTS_AFTER_MS: Final = 2_600.0  # new attempts start until then; SIGKILL is at 3.7 s or later
END_AFTER_MS: Final = 3_300.0  # attempts in flight may complete until then
POLL_INTERVAL_MS: Final = 20.0  # between two checks for remaining work


class GracefulShutdown:
    """Shuts down a process: connected clients are answered, and attempts in flight may complete."""

    def __init__(
        self,
        engine: DeliveryEngine,
        clients: ClientConnections,
        timers: TimerQueue,
        is_busy: Callable[[], bool],
        end: Callable[[], None],
    ) -> None:
        """Create an idle shutdown sequence.

        Args:
            engine: the engine that stops starting attempts.
            clients: the client connections.
            timers: schedule the later steps.
            is_busy: returns whether this process has work left.
            end: ends the process.
        """
        self._engine = engine
        self._clients = clients
        self._timers = timers
        self._is_busy = is_busy
        self._end = end

    def begin(self) -> None:
        """Begin the shutdown, unless it has begun already."""
        if self._clients.is_stopping:
            return
        logger.info("stopping: {} attempts in flight", self._engine.in_flight_count)
        self._clients.begin_shutdown()
        self._timers.call_later(STOP_LISTENING_AFTER_MS, self._clients.stop_listening)
        self._timers.call_later(STOP_LISTENING_AFTER_MS, self._end_once_idle)
        self._timers.call_later(STOP_ATTEMPTS_AFTER_MS, self._engine.freeze)
        self._timers.call_later(END_AFTER_MS, self._end)

    def _end_once_idle(self) -> None:
        if self._is_busy() or self._clients.is_awaiting_first_request():
            self._timers.call_later(POLL_INTERVAL_MS, self._end_once_idle)
        else:
            self._end()
