"""The listening socket for clients, and all client connections."""

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
"""Delay before accepting is retried after a system error."""

MAX_ACCEPTS_PER_CYCLE: Final = 16
"""Most connections that are accepted or evicted before other events are processed."""

SWEEP_INTERVAL_MS: Final = 100.0
"""Time between two searches for expired connections."""

IDLE_FRACTION: Final = 8
"""Divisor of the connection limit that gives the limit of idle connections."""

DEFAULT_RECEIVE_BUFFER_BYTES: Final = 16 * 1024 * 1024

RECEIVE_BUFFER_TARGET: Final = 0.9
"""Share of the memory for incomplete requests down to which requests are rejected once it is used up."""

CLOSE_LIMIT_MS: Final = 150.0
"""Time at shutdown for clients to close their connections."""


@dataclass(frozen=True, slots=True)
class ListenerOptions:
    """The options of the listener.

    Attributes:
        limit: the most connections that may be open.
        free_descriptor: closes an idle connection of another pool; returns False if there is none.
        explains_rejections: whether rejection replies include the reason in words.
        poll_monitor: bounds the age of received bytes; None: their age is taken as 0.
        replication: replicates messages before their reply; None: replies do not wait.
        receive_buffer_bytes: memory for the incomplete requests of all clients together.
    """

    limit: int
    free_descriptor: Callable[[], bool]
    explains_rejections: bool = False
    poll_monitor: PollMonitor | None = None
    replication: ReplicationPort | None = None
    receive_buffer_bytes: int = DEFAULT_RECEIVE_BUFFER_BYTES


class ClientConnections:
    """Accepts clients while there is capacity, and closes expired connections.

    Attributes:
        intake: accepts messages.
        replication: replicates messages before their reply; None: replies do not wait.
        poll_monitor: bounds the age of received bytes.
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
        """Create a listener that does not accept yet.

        Args:
            intake: accepts messages.
            clock: the courier's clock.
            timers: the courier's timers.
            budget: the process's socket budget.
            options: limits and optional collaborators.
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
        self._max_receive_buffer_bytes = options.receive_buffer_bytes
        self._receive_buffer_bytes = 0
        self._backlog_age = BacklogAge(self.poll_monitor)
        self._is_stopping = False
        self._loop: asyncio.AbstractEventLoop | None = None
        self._listener: Listener | None = None
        self._is_accepting = False
        self._is_suspended = False
        self._all_closed: asyncio.Event | None = None
        self._tasks: set[asyncio.Task[object]] = set()

    # ---- services for connections ------------------------------------------------------------------------
    def now(self) -> float:
        """Return the clock's reading in ms."""
        return self._clock.now()

    def next_use(self) -> int:
        """Return the next number of a sequence that counts uses of all connections."""
        self._use_count += 1
        self._start_accepting()  # the used connection may be evicted now
        return self._use_count

    def call_later(self, delay: float, action: Callable[[], None]) -> None:
        """Call `action` after `delay` ms, and after the loop has processed its pending events."""
        self._timers.call_later(delay, action)

    def format_rejection(self, rejection: RejectedError) -> str:
        """Return the error reply; its milliseconds are rounded up, so that clients do not retry too early."""
        if not rejection.retry_after_ms:
            return "BUSY"
        reply = f"BUSY {ceil(rejection.retry_after_ms)}"
        if rejection.reason and self._explains_rejections:
            reply += f" {rejection.reason}, come back in {rejection.retry_after_ms / 1_000:.1f} s"
        return reply

    def add(self, connection: ClientConnection) -> None:
        """Register a connection, and count its socket."""
        connection.handle = self._connections.add(connection)
        self._budget.open_count += 1

    def remove(self, connection: ClientConnection) -> None:
        """Remove a closed connection, and resume accepting."""
        if self._connections.remove(connection.handle) is not None:
            self._budget.open_count -= 1
            self._start_accepting()
            if self._all_closed is not None and not len(self._connections):
                self._all_closed.set()

    # ---- accepting ---------------------------------------------------------------------------------------
    def set_limit(self, limit: int) -> None:
        """Set the most connections that may be open, and the limit of idle ones."""
        self._limit = limit
        self._idle_limit = max(MAX_ACCEPTS_PER_CYCLE, limit // IDLE_FRACTION)

    def listen(
        self, loop: asyncio.AbstractEventLoop, listener: Listener, *, has_unknown_backlog: bool = False
    ) -> int:
        """Start to accept on a listening socket.

        Args:
            loop: the event loop.
            listener: the listening socket.
            has_unknown_backlog: whether clients may have waited in its backlog since before this process.

        Returns:
            The port.
        """
        if has_unknown_backlog:
            self._backlog_age.mark_unknown()
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
        self._loop.add_reader(self._listener, self._accept)  # type: ignore[arg-type]  # a listener has a descriptor

    def _stop_accepting(self) -> None:
        if self._loop is not None and self._listener is not None and self._is_accepting:
            self._is_accepting = False
            self._backlog_age.pause()
            self._loop.remove_reader(self._listener)  # type: ignore[arg-type]  # a listener has a descriptor

    def _accept(self) -> None:
        """Accept the oldest clients of the backlog while sockets are available.

        asyncio's own server accepts the whole backlog before it serves a connection: near the limit it runs
        out of descriptors and then accepts no clients for a second. Here the other clients wait in the
        backlog, because a client whose connection ends without a reply loses its message.
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
            if isinstance(sock, socket.socket):  # asyncio sets it only on sockets it creates
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await loop.connect_accepted_socket(lambda: connection, sock)
        except OSError as err:
            logger.warning("client connection: {}", err)
            self.remove(connection)

    # ---- expiry and eviction -----------------------------------------------------------------------------
    def close_expired(self) -> None:
        """Close expired and excess idle connections, and schedule the next sweep."""
        now_ms = self._clock.now()
        for connection in self._connections:
            connection.close_if_expired(now_ms)
        for connection in self._closable_by_use()[self._idle_limit :]:
            if not connection.has_unread_bytes:
                connection.close()
        self._start_accepting()  # silent connections may be evictable by now
        self._timers.call_later(SWEEP_INTERVAL_MS, self.close_expired)

    def _closable_by_use(self) -> list[ClientConnection]:
        """Return the connections between two requests: without bad requests first, then by last use.

        Only a limited number may stay open. Guards against clients that send one request and keep their
        connection: idle connections of the last two seconds could use up the connections of a deployment.
        """
        closable = (connection for connection in self._connections if connection.is_closable())
        return sorted(
            closable,
            key=lambda connection: (connection.bad_request_count == 0, connection.last_use),
            reverse=True,
        )

    def _has_capacity(self) -> bool:
        """Return whether another connection may be accepted; evict connections if not.

        Evicts the connections that have been silent for longest, or else the least recently used one.
        Guards against hundreds of silent clients that would keep other clients in the backlog for seconds.
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

    def count_receive_buffer(self, added_bytes: int) -> None:
        """Count memory for incomplete requests, and reject the slowest of them beyond the limit.

        The requests that have been incomplete for longest are rejected first: a client that sends its
        request in one piece is among the last. Before them the connections end whose clients read no replies.
        """
        self._receive_buffer_bytes += added_bytes
        if added_bytes <= 0 or self._receive_buffer_bytes <= self._max_receive_buffer_bytes:
            return
        for connection in self._by_activity(lambda each: each.has_unread_replies):
            if self._has_receive_memory():
                return
            connection.abort()
            connection.release_receive_buffer()
        count = 0
        for connection in self._by_activity(lambda each: each.has_large_partial_request):
            if self._has_receive_memory():
                break
            connection.evict()
            count += 1
        logger.info("client connections: rejected {} incomplete requests, for lack of memory", count)

    def _has_receive_memory(self) -> bool:
        return self._receive_buffer_bytes <= RECEIVE_BUFFER_TARGET * self._max_receive_buffer_bytes

    def _by_activity(self, is_selected: Callable[[ClientConnection], bool]) -> list[ClientConnection]:
        """Return the selected connections, the one that has been active least recently first."""
        selected = [connection for connection in self._connections if is_selected(connection)]
        return sorted(selected, key=lambda connection: connection.active_since_ms)

    # ---- draining and shutdown ---------------------------------------------------------------------------
    @property
    def is_stopping(self) -> bool:
        """Whether shutdown has begun."""
        return self._is_stopping

    def begin_drain(self) -> None:
        """Start a drain: reject `PING` and close idle connections, but serve submits of new clients."""
        self.is_out_of_service = True
        self.is_closing_idle = True
        self._close_idle()

    def end_drain(self) -> None:
        """End the drain; a shutdown that has begun continues."""
        self.is_out_of_service = False
        self.is_closing_idle = self._is_stopping

    def begin_shutdown(self) -> None:
        """Close each connection once it is idle; new clients are still accepted."""
        self._is_stopping = True
        self.is_closing_idle = True
        self._close_idle()

    def stop_listening(self) -> None:
        """Close the listening socket; clients in its backlog are accepted first, and still served."""
        if self._listener is not None:
            if self._is_accepting:
                self._accept()  # closing the listening socket would reset waiting clients
            self._stop_accepting()
            self._listener.close()
            self._listener = None

    def is_awaiting_first_request(self) -> bool:
        """Return whether the first request of a recently accepted client may still arrive."""
        now_ms = self._clock.now()
        return any(connection.is_awaiting_first_request(now_ms) for connection in self._connections)

    async def close_all(self) -> None:
        """Close all connections gracefully; an incomplete request is rejected with a reply."""
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
        """Suspend accepting, so that clients wait in the backlog, or resume it."""
        self._is_suspended = suspended
        if suspended:
            self._stop_accepting()
        else:
            self._start_accepting()

    @property
    def backlog_since_ms(self) -> float | None:
        """Clock reading after which the clients in the backlog have connected; None: there are none."""
        return self._backlog_age.waiting_since_ms

    def adopt_backlog(self, since_ms: float) -> None:
        """Take over a backlog in which no client has connected before `since_ms`, before `listen`."""
        self._backlog_age.mark_waiting_since(since_ms)

    def untransferable_count(self) -> int:
        """Return how many cannot be transferred yet: being accepted or closed, or with unsent replies."""
        return len(self._tasks) + sum(not connection.is_transferable for connection in self._connections)

    def abort_untransferable(self) -> None:
        """Close the connections that cannot be transferred."""
        for connection in self._connections:
            if not connection.is_transferable:
                connection.abort()

    def pause_for_hand_over(self, paused: bool) -> None:
        """Pause reading from all clients, or resume it."""
        for connection in self._connections:
            connection.pause_for_hand_over(paused)

    def export_states(self) -> list[tuple[int, ClientConnectionState]]:
        """Return descriptors and states of all connections, those with an incomplete request first."""
        transferable = [connection for connection in self._connections if connection.is_transferable]
        transferable.sort(key=lambda connection: not connection.has_partial_request)
        return [connection.export_state() for connection in transferable]

    def adopt(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        state: ClientConnectionState,
        read_until_ms: float,
    ) -> None:
        """Take over a connection that another process has accepted, and read until `read_until_ms` at least.

        Guards against taking requests that waited in the other process for requests of now.
        """
        connection = ClientConnection(self)
        connection.import_state(state)
        received_after_ms = state.received_after_ms
        if received_after_ms is None:
            received_after_ms = float("-inf") if state.unread else read_until_ms
        connection.mark_unread_since(received_after_ms)
        self._add_with_transport(loop, connection, sock)
