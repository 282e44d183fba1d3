"""The pool of connections to HTTP servers: reuses idle connections, and retires them in time."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from winchspan.net.http import ResponseParser
from winchspan.net.http_call import (
    HttpCall,
    HttpCallOutcome,
    HttpCallResult,
    HttpCallState,
    HttpPeer,
    RequestFactory,
)
from winchspan.net.http_connection import HttpConnection
from winchspan.net.response_order import ResponseTimes
from winchspan.net.socket_budget import SocketBudget
from winchspan.runtime.clock import Clock
from winchspan.runtime.slot_table import SlotTable
from winchspan.runtime.timers import Timer, TimerQueue

RESPONSE_LIMIT_MS: Final = 500.0
"""Time from the first byte of a response to its last."""

RETIREMENT_MARGIN_MS: Final = 1_000.0
"""Time before the server's keep-alive timeout at which an idle connection is retired, at most half of it.

A request that is sent while the server closes the connection ends with a reset, and may have been executed.
"""


@dataclass(frozen=True, slots=True)
class PoolTimeouts:
    """Time limits of connections, in ms.

    Attributes:
        connect_ms: time to establish a connection.
        keepalive_ms: idle time after which a server closes a connection.
    """

    connect_ms: float
    keepalive_ms: float


@dataclass(frozen=True, slots=True)
class CallOptions:
    """Options of a call.

    Attributes:
        on_body: called with each received piece of the response's body; None: the body is collected.
        start_by_ms: clock reading by which the call must be written, or is recalled; None: no limit.
        on_written: called once the last byte of the request is written.
        is_foreign: returns whether a response certainly belongs to another call; None: that is not known.
    """

    on_body: Callable[[bytes], None] | None = None
    start_by_ms: float | None = None
    on_written: Callable[[], None] | None = None
    is_foreign: Callable[[ResponseParser], bool] | None = None


_NO_OPTIONS: Final = CallOptions()


class HttpConnectionPool:
    """All connections to HTTP servers. The idle ones are listed by peer, the last used at the end.

    Attributes:
        partially_written: the connections of which only a part of the request is written.
        on_head: called with the server and each response once its head has come, also where the response is
            held, discarded or incomplete in the end.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        timers: TimerQueue,
        budget: SocketBudget,
        timeouts: PoolTimeouts,
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._timers = timers
        self._budget = budget
        self.set_timeouts(timeouts)
        self._connections: SlotTable[HttpConnection] = SlotTable()
        self._idle: dict[HttpPeer, list[HttpConnection]] = {}
        self._response_times: dict[HttpPeer, ResponseTimes] = {}
        self.partially_written: set[HttpConnection] = set()
        self.on_head: Callable[[HttpPeer, ResponseParser], None] = lambda peer, response: None

    def set_timeouts(self, timeouts: PoolTimeouts) -> None:
        """Use other time limits for later connects and releases."""
        self._connect_timeout_ms = timeouts.connect_ms
        keepalive_ms = timeouts.keepalive_ms
        self._idle_limit_ms = max(keepalive_ms - RETIREMENT_MARGIN_MS, keepalive_ms / 2)

    def now(self) -> float:
        """Return the clock's reading in ms."""
        return self._clock.now()

    # ---- calls -------------------------------------------------------------------------------------------
    def start_call(
        self,
        peer: HttpPeer,
        make_request: RequestFactory,
        deadline_ms: float,
        on_result: Callable[[HttpCallResult], None],
        options: CallOptions = _NO_OPTIONS,
    ) -> HttpCall:
        """Write a request on an idle connection, or on a new one if there is none.

        The call is recalled if it is not written by `options.start_by_ms`, or if `make_request` returns an
        empty request.

        Args:
            peer: the server to call.
            make_request: returns the request's bytes.
            deadline_ms: clock reading at which the call times out.
            on_result: called once, with the result.
            options: optional limits and callbacks.
        """
        call = HttpCall(
            make_request,
            on_result,
            ResponseParser(options.on_body),
            has_response_limit=options.on_body is None,
            start_by_ms=options.start_by_ms,
        )
        call.on_written = options.on_written
        call.is_foreign = options.is_foreign
        call.timers.append(self._timers.call_at(deadline_ms, lambda: call.abort(HttpCallOutcome.TIMED_OUT)))
        if options.start_by_ms is not None:
            call.timers.append(self._timers.call_at(options.start_by_ms, call.recall))
        self.assign(call, peer)
        return call

    def assign(self, call: HttpCall, peer: HttpPeer) -> None:
        """Give a call an idle connection, one that carries it in a moment, or a new one."""
        connection = self._take_idle(peer)
        if connection is not None:
            connection.start_call(call)
        else:
            self._connect(peer, call)

    def _take_idle(self, peer: HttpPeer) -> HttpConnection | None:
        """Return the idle connection that was used last; None if there is none.

        The call waits for it if it has not settled: one that has been idle for longer is more likely to be
        closed by its server, and a new one costs the server more and may take longer to come up. Connections
        with unread input are closed.
        """
        while idle_connections := self._idle.get(peer):
            connection = idle_connections[-1]
            self._remove_idle(connection)
            if not connection.has_unread_input():
                return connection
            connection.close_after_reading()
        return None

    def response_times(self, peer: HttpPeer) -> ResponseTimes:
        """Return the response times of a server."""
        return self._response_times.setdefault(peer, ResponseTimes())

    def report_head(self, peer: HttpPeer, response: ResponseParser) -> None:
        """Report the head of a response, whatever becomes of the response."""
        self.on_head(peer, response)

    def call_at(self, at_ms: float, action: Callable[[], None]) -> Timer:
        """Call `action` at a reading of the clock."""
        return self._timers.call_at(at_ms, action)

    def _connect(self, peer: HttpPeer, call: HttpCall) -> None:
        """Open a connection for a call."""
        if self._budget.available() < 1:
            self.retire_oldest()
        connection = HttpConnection(self, peer)
        connection.handle = self._connections.add(connection)
        connection.call = call
        call.connection = connection
        self._budget.open_count += 1
        limit_ms = self._clock.now() + self._connect_timeout_ms
        call.timers.append(self._timers.call_at(limit_ms, lambda: self._connect_timed_out(connection, call)))
        connection.connect(self._loop)

    @staticmethod
    def _connect_timed_out(connection: HttpConnection, call: HttpCall) -> None:
        if connection.call is call and not connection.is_established:
            call.abort(HttpCallOutcome.NOT_WRITTEN)

    def immediate_call(self, action: Callable[[], None]) -> HttpCall:
        """Return a call that is never written; `action` is called in the next cycle of the loop."""
        self._timers.call_later(0.0, action)
        return HttpCall.without_connection()

    def recall(self, peer: HttpPeer) -> None:
        """Recall the calls to a peer that are not completely written."""
        for connection in self._connections:
            if connection.peer == peer and connection.call is not None:
                connection.call.recall()

    def accept_held_responses(self) -> None:
        """Complete the calls whose response is held, since they can wait no longer."""
        for connection in self._endpoint_connections():
            connection.accept_held_response()

    def recall_partially_written(self) -> None:
        """Recall all calls of which the kernel has taken only a part."""
        for connection in list(self.partially_written):
            if connection.call is not None:
                connection.call.recall()

    def limit_response(self, call: HttpCall, deadline_ms: float | None = None) -> Timer:
        """Limit the time until a response that has begun is complete.

        Guards against heads and bodies that never end, which would occupy a slot until the call's deadline.

        Args:
            call: the call of the response.
            deadline_ms: clock reading at which the response counts as invalid; None: the standard limit.
        """
        if deadline_ms is None:
            deadline_ms = self._clock.now() + RESPONSE_LIMIT_MS
        timer = self._timers.call_at(deadline_ms, lambda: call.abort(HttpCallOutcome.INVALID_RESPONSE))
        call.timers.append(timer)
        return timer

    # ---- idle connections --------------------------------------------------------------------------------
    def release(self, connection: HttpConnection, idle_limit_ms: float | None = None) -> None:
        """Add a connection to the idle ones, for the lesser of `idle_limit_ms` and the keep-alive limit."""
        self._idle.setdefault(connection.peer, []).append(connection)
        handle = connection.handle
        limit_ms = self._idle_limit_ms
        if idle_limit_ms is not None:
            limit_ms = min(idle_limit_ms, limit_ms)
        connection.retire_timer = self._timers.call_later(limit_ms, lambda: self._retire(handle))

    def _retire(self, handle: int) -> None:
        connection = self._connections.get(handle)
        if connection is not None and connection.call is None:
            self._remove_idle(connection)
            connection.abort()

    def close_idle(self, peer: HttpPeer) -> None:
        """Close the idle connections to a peer."""
        for connection in self._idle.pop(peer, []):
            connection.abort()

    def drain_peer(self, peer: HttpPeer) -> None:
        """Close the connections to a peer: idle ones now, those in use after their response."""
        self.close_idle(peer)
        self._response_times.pop(peer, None)
        for connection in self._connections:
            if connection.peer == peer:
                connection.is_closing_after_call = True

    def retire_oldest(self) -> bool:
        """Close the connection that is due for retirement first; return False if none is idle."""
        oldest = [connections[0] for connections in self._idle.values() if connections]
        if not oldest:
            return False
        connection = min(oldest, key=_retire_at)
        self._remove_idle(connection)
        connection.abort()
        return True

    def _remove_idle(self, connection: HttpConnection) -> None:
        connections = self._idle.get(connection.peer)
        if connections and connection in connections:
            connections.remove(connection)
            if not connections:
                del self._idle[connection.peer]

    def remove(self, connection: HttpConnection) -> None:
        """Remove a closed connection."""
        self._remove_idle(connection)
        if self._connections.remove(connection.handle) is not None:
            self._budget.open_count -= 1

    # ---- upgrade -----------------------------------------------------------------------------------------
    def recall_all_unwritten(self) -> None:
        """Recall the calls to endpoints that are not completely written."""
        for connection in self._endpoint_connections():
            if connection.call is not None and not connection.is_transferable:
                connection.call.recall()

    def untransferable(self, *, all_calls: bool = False) -> list[HttpConnection]:
        """Return the connections with a call that cannot be transferred, or all with a call."""
        return [
            connection
            for connection in self._endpoint_connections()
            if connection.call is not None and (all_calls or not connection.is_transferable)
        ]

    def pause_for_hand_over(self, paused: bool) -> None:
        """Pause reading from all servers, or resume it."""
        for connection in self._connections:
            connection.pause_for_hand_over(paused)

    def transferable(self) -> tuple[list[HttpConnection], list[HttpConnection]]:
        """Return the connections to transfer: those with a call, and the idle ones."""
        connections = [
            connection for connection in self._endpoint_connections() if connection.is_transferable
        ]
        busy = [connection for connection in connections if connection.call is not None]
        idle = [connection for connection in connections if connection.call is None]
        return busy, idle

    def _endpoint_connections(self) -> list[HttpConnection]:
        """Return all connections to endpoints, without those to the platform's own services."""
        return [connection for connection in self._connections if connection.peer.endpoint_number]

    def has_unread_adopted_call(self) -> bool:
        """Return whether an adopted call may have input that has not been read yet."""
        return any(
            connection.is_adopted
            and connection.call is not None
            and (not connection.is_established or connection.has_unread_input())
            for connection in self._connections
        )

    def adopt_idle(self, sock: socket.socket, peer: HttpPeer, idle_limit_ms: float | None) -> None:
        """Take over an idle connection of another process, retired after `idle_limit_ms` at most."""
        connection = self._adopted_connection(peer)
        connection.idle_limit_ms = idle_limit_ms
        connection.adopt(self._loop, sock)

    def adopt_call(
        self,
        sock: socket.socket,
        call: HttpCall,
        state: HttpCallState,
        on_result: Callable[[HttpCallResult], None],
    ) -> None:
        """Take over a connection with a call in flight on it, from `HttpCall.without_connection`."""
        connection = self._adopted_connection(state.peer)
        call.on_result = on_result
        call.timers.append(
            self._timers.call_at(state.deadline_ms, lambda: call.abort(HttpCallOutcome.TIMED_OUT))
        )
        connection.import_state(call, state)
        connection.adopt(self._loop, sock)

    def _adopted_connection(self, peer: HttpPeer) -> HttpConnection:
        connection = HttpConnection(self, peer)
        connection.is_adopted = True
        connection.is_written = True  # set before it is attached, so that its call is not recalled
        connection.handle = self._connections.add(connection)
        self._budget.open_count += 1
        return connection


def _retire_at(connection: HttpConnection) -> float:
    """Return the clock reading at which an idle connection is retired."""
    return connection.retire_timer.deadline_ms if connection.retire_timer else 0.0
