"""All client connections, and the socket that accepts them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from math import ceil
from typing import Final

from loguru import logger

from winchspan.delivery.errors import RejectedError
from winchspan.delivery.ports import ReplicationPort
from winchspan.net import resp
from winchspan.net.backlog_age import BacklogAge
from winchspan.net.client_connection import ClientConnection, ClientConnectionState
from winchspan.net.socket_budget import SocketBudget
from winchspan.net.submit_request import MessageIntake
from winchspan.runtime.clock import Clock
from winchspan.runtime.poll_monitor import PollMonitor
from winchspan.runtime.slot_table import SlotTable
from winchspan.runtime.system import Listener
from winchspan.runtime.timers import TimerQueue

ACCEPT_RETRY_SECONDS: Final = 0.1
"""After the system has refused to accept."""

MAX_ACCEPTS_PER_CYCLE: Final = 16
"""Connections accepted, or evicted, before others are served."""

SWEEP_INTERVAL_MS: Final = 100.0
"""Between two searches for connections that are over their time."""

IDLE_FRACTION: Final = 8
"""Of the connections that may be open, one in so many may be idle."""

CLOSE_LIMIT_MS: Final = 150.0
"""At the very end, for connections to be closed by their clients."""


@dataclass(frozen=True, slots=True)
class ListenerOptions:
    """What the listener is told beside what it works with.

    Attributes:
        limit: connections that may be open.
        free_descriptor: closes an idle connection elsewhere; False if there is none.
        explains_rejections: whether rejections say why in words.
        poll_monitor: bounds the age of what is read; None: all has just come.
        replication: what a reply waits for; None: nothing.
    """

    limit: int
    free_descriptor: Callable[[], bool]
    explains_rejections: bool = False
    poll_monitor: PollMonitor | None = None
    replication: ReplicationPort | None = None


class ClientConnections:
    """Accepts clients as far as there is room, and closes the connections that are over their time.

    Attributes:
        intake: takes messages on.
        replication: what a reply waits for; None: nothing.
        poll_monitor: bounds the age of what is read.
        is_closing_idle: whether each connection is closed once it is idle.
        is_out_of_service: whether operators have taken this courier out of service.
    """

    def __init__(
        self,
        intake: MessageIntake,
        clock: Clock,
        timers: TimerQueue,
        budget: SocketBudget,
        options: ListenerOptions,
    ) -> None:
        """Make it, closed.

        Args:
            intake: takes messages on.
            clock: the courier's.
            timers: the courier's.
            budget: of the process's sockets.
            options: see there.
        """
        self.intake = intake
        self.replication = options.replication
        self.poll_monitor = options.poll_monitor or PollMonitor()
        self.is_closing_idle = False
        self.is_out_of_service = False
        self._clock = clock
        self._timers = timers
        self._budget = budget
        self._free_descriptor = options.free_descriptor
        self._explains_rejections = options.explains_rejections
        self.set_limit(options.limit)
        self._connections: SlotTable[ClientConnection] = SlotTable()
        self._use_count = 0
        self._backlog_age = BacklogAge(self.poll_monitor)
        self._is_stopping = False
        self._loop: asyncio.AbstractEventLoop | None = None
        self._listener: Listener | None = None
        self._is_accepting = False
        self._is_suspended = False
        self._all_closed: asyncio.Event | None = None
        self._tasks: set[asyncio.Task[object]] = set()

    # ---- what connections ask for ------------------------------------------------------------------------
    def now(self) -> float:
        """Return the clock's reading in ms."""
        return self._clock.now()

    def next_use(self) -> int:
        """Return a number that grows with each use of any connection."""
        self._use_count += 1
        self._start_accepting()  # the connection that was used may be evicted now
        return self._use_count

    def call_later(self, delay: float, action: Callable[[], None]) -> None:
        """Call after some ms, and after what the loop has at hand."""
        self._timers.call_later(delay, action)

    def format_rejection(self, rejection: RejectedError) -> str:
        """Return the error reply; whole milliseconds, rounded up: nobody comes too soon."""
        if not rejection.retry_after_ms:
            return "BUSY"
        reply = f"BUSY {ceil(rejection.retry_after_ms)}"
        if rejection.reason and self._explains_rejections:
            reply += f" {rejection.reason}, come back in {rejection.retry_after_ms / 1_000:.1f} s"
        return reply

    def add(self, connection: ClientConnection) -> None:
        """Count a connection in."""
        connection.handle = self._connections.add(connection)
        self._budget.open_count += 1

    def remove(self, connection: ClientConnection) -> None:
        """Forget a connection that is closed; there is room again."""
        if self._connections.remove(connection.handle) is not None:
            self._budget.open_count -= 1
            self._start_accepting()
            if self._all_closed is not None and not len(self._connections):
                self._all_closed.set()

    # ---- accepting ---------------------------------------------------------------------------------------
    def set_limit(self, limit: int) -> None:
        """Let so many connections be open from now on."""
        self._limit = limit
        self._idle_limit = max(MAX_ACCEPTS_PER_CYCLE, limit // IDLE_FRACTION)

    def listen(self, loop: asyncio.AbstractEventLoop, listener: Listener) -> int:
        """Accept the clients of a listening socket; returns its port."""
        self._listener = listener
        self._loop = loop
        self._start_accepting()
        self._timers.call_later(SWEEP_INTERVAL_MS, self.close_expired)
        return int(self._listener.getsockname()[1])

    def _start_accepting(self) -> None:
        if self._loop is None or self._listener is None or self._is_accepting or self._is_suspended:
            return
        self._is_accepting = True
        self._backlog_age.resume()
        self._loop.add_reader(self._listener, self._accept)  # type: ignore[arg-type]  # it has a descriptor

    def _stop_accepting(self) -> None:
        if self._loop is not None and self._listener is not None and self._is_accepting:
            self._is_accepting = False
            self._backlog_age.pause()
            self._loop.remove_reader(self._listener)  # type: ignore[arg-type]  # it has a descriptor

    def _accept(self) -> None:
        """Accept the first that wait, as far as there are sockets for them.

        asyncio's own server accepts the whole backlog before it looks at one connection: near the limit it
        runs out of descriptors and then accepts nobody for a second. Here the rest waits in the backlog: a
        client whose connection ends without a reply has lost its message.
        """
        assert self._listener is not None and self._loop is not None
        received_after_ms = self._backlog_age.begin_accepting()
        for _ in range(MAX_ACCEPTS_PER_CYCLE):
            if not self._has_capacity():
                self._stop_accepting()  # until a connection is closed or becomes closable
                return
            try:
                client, _ = self._listener.accept()
            except BlockingIOError:
                self._backlog_age.record_empty()
                return
            except (InterruptedError, ConnectionAbortedError):
                return
            except OSError as err:
                logger.error("client connections: cannot accept: {}", err)
                self._stop_accepting()
                self._loop.call_later(ACCEPT_RETRY_SECONDS, self._start_accepting)
                return
            client.setblocking(False)
            connection = ClientConnection(self)
            connection.mark_unread_since(received_after_ms)
            self._add_with_transport(self._loop, connection, client)

    def _add_with_transport(
        self, loop: asyncio.AbstractEventLoop, connection: ClientConnection, sock: socket.socket
    ) -> None:
        self.add(connection)
        task = loop.create_task(self._attach_transport(loop, connection, sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _attach_transport(
        self, loop: asyncio.AbstractEventLoop, connection: ClientConnection, sock: socket.socket
    ) -> None:
        try:
            if isinstance(sock, socket.socket):  # asyncio sets it on sockets that it makes itself
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await loop.connect_accepted_socket(lambda: connection, sock)
        except OSError as err:
            logger.warning("client connection: {}", err)
            self.remove(connection)

    # ---- making room -------------------------------------------------------------------------------------
    def close_expired(self) -> None:
        """Close the connections that are over their time, again and again."""
        now_ms = self._clock.now()
        for connection in self._connections:
            connection.close_if_expired(now_ms)
        for connection in self._closable_by_use()[self._idle_limit :]:
            if not connection.has_unread_bytes:
                connection.close()
        self._start_accepting()  # those that kept others out may be silent for long enough now
        self._timers.call_later(SWEEP_INTERVAL_MS, self.close_expired)

    def _closable_by_use(self) -> list[ClientConnection]:
        """Return the connections between two requests, the best to keep first: no bad request, used last.

        Few may stay so. Guards against clients that ask once and keep their connection: those of a deployment
        may hold only so many, and idle ones of the last two seconds can be all of them.
        """
        closable = (one for one in self._connections if one.is_closable())
        return sorted(closable, key=lambda one: (one.bad_request_count == 0, one.last_use), reverse=True)

    def _has_capacity(self) -> bool:
        """Whether one more may be accepted; if not, others are evicted, where they may be.

        First those that have been silent for longest, then the one unused for longest. Guards against
        hundreds of silent clients that would keep the usual ones in the backlog for seconds.
        """
        is_below_limit = len(self._connections) < self._limit
        if is_below_limit and (self._budget.available() > 0 or self._free_descriptor()):
            return True
        now_ms = self._clock.now()
        silent = [connection for connection in self._connections if connection.is_silent(now_ms)]
        silent.sort(key=lambda connection: connection.active_since_ms)
        for connection in silent[:MAX_ACCEPTS_PER_CYCLE] or self._closable_by_use()[-1:]:
            connection.evict()
        return False

    # ---- draining and shutdown ---------------------------------------------------------------------------
    @property
    def is_stopping(self) -> bool:
        """Whether the process is about to end."""
        return self._is_stopping

    def begin_drain(self) -> None:
        """Drain: `PING` says no, and idle connections are closed; who still comes is answered."""
        self.is_out_of_service = True
        self.is_closing_idle = True
        self._close_idle()

    def end_drain(self) -> None:
        """End the drain; a shutdown goes on."""
        self.is_out_of_service = False
        self.is_closing_idle = self._is_stopping

    def begin_shutdown(self) -> None:
        """Close each connection once it is idle; clients may still come."""
        self._is_stopping = True
        self.is_closing_idle = True
        self._close_idle()

    def stop_listening(self) -> None:
        """Accept no more; those that have come are still answered, if they ask soon."""
        if self._listener is not None:
            if self._is_accepting:
                self._accept()  # who has come: a listening socket that is closed resets them
            self._stop_accepting()
            self._listener.close()
            self._listener = None

    def is_awaiting_first_request(self) -> bool:
        """Return whether a connection has just come, and its client is about to ask."""
        now_ms = self._clock.now()
        return any(connection.is_awaiting_first_request(now_ms) for connection in self._connections)

    async def close_all(self) -> None:
        """Close all connections in order: who has sent part of a request is told that it is not taken."""
        self.stop_listening()
        self._all_closed = asyncio.Event()
        for connection in self._connections:
            connection.close(resp.error_reply("BUSY") if connection.has_partial_request else b"")
        self._timers.call_later(CLOSE_LIMIT_MS, self._all_closed.set)
        if len(self._connections):
            await self._all_closed.wait()
        self.abort_untransferable()

    def _close_idle(self) -> None:
        for connection in self._connections:
            if connection.is_closable() and not connection.has_unread_bytes:
                connection.close()

    # ---- upgrade -----------------------------------------------------------------------------------------
    def suspend_accepting(self, suspended: bool) -> None:
        """Let who comes wait at the listening socket, or accept again."""
        self._is_suspended = suspended
        if suspended:
            self._stop_accepting()
        else:
            self._start_accepting()

    def untransferable_count(self) -> int:
        """Return how many cannot be handed over yet: being accepted or closed, or with replies unread."""
        return len(self._tasks) + sum(not connection.is_transferable for connection in self._connections)

    def abort_untransferable(self) -> None:
        """Close the connections that cannot be handed over."""
        for connection in self._connections:
            if not connection.is_transferable:
                connection.abort()

    def pause_for_hand_over(self, paused: bool) -> None:
        """Read nothing from any client, or read on."""
        for connection in self._connections:
            connection.pause_for_hand_over(paused)

    def export_states(self) -> list[tuple[int, ClientConnectionState]]:
        """Return descriptors and states of all connections, those first that have part of a request."""
        found = [connection for connection in self._connections if connection.is_transferable]
        found.sort(key=lambda connection: not connection.has_partial_request)
        return [connection.export_state() for connection in found]

    def adopt(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        state: ClientConnectionState,
        read_until_ms: float,
    ) -> None:
        """Go on with a connection that another process has accepted, and read until a clock reading."""
        connection = ClientConnection(self)
        connection.import_state(state)
        connection.mark_unread_since(read_until_ms)
        self._add_with_transport(loop, connection, sock)
