"""Calls on pooled HTTP connections: a model checked with random steps, and single cases."""

from __future__ import annotations

import asyncio
import os
import select
import socket
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from winchspan.config.platform import Address
from winchspan.net.attempt_transport import retry_after_ms
from winchspan.net.connection_pool import RESPONSE_LIMIT_MS, CallOptions, HttpConnectionPool, PoolTimeouts
from winchspan.net.http_call import HttpCall, HttpCallOutcome, HttpCallResult, HttpPeer
from winchspan.net.http_connection import HttpConnection
from winchspan.net.socket_budget import SocketBudget
from winchspan.runtime.clock import Clock, ManualClock
from winchspan.runtime.timers import TimerQueue

from .network_fakes import (
    FakeLoop,
    FakeTransport,
    feed,
)

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


LAST_RESPONSE = b"HTTP/1.1 500 no\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


PEER = HttpPeer(Address("127.0.0.1", 1), 1)


KEEP_ALIVE_MS, CONNECT_TIMEOUT_MS = 10_000.0, 1_000.0


class ConnectionPoolStates(RuleBasedStateMachine):
    """Calls on a pool: each has one end, the right one, and no connection carries two."""

    def __init__(self) -> None:
        super().__init__()
        self.clock, self.loop = ManualClock(), FakeLoop()
        self.timers = TimerQueue(self.clock)
        self.budget = SocketBudget(100)
        self.pool = HttpConnectionPool(
            self.loop, self.clock, self.timers, self.budget, PoolTimeouts(CONNECT_TIMEOUT_MS, KEEP_ALIVE_MS)
        )  # type: ignore[arg-type]
        self.state: dict[HttpConnection, str] = {}  # connecting, idle, writing, waiting, reading, dying
        self.transports: dict[HttpConnection, FakeTransport] = {}
        self.carries: dict[HttpConnection, int] = {}
        self.expected: dict[int, HttpCallOutcome] = {}
        self.ends: dict[int, HttpCallOutcome] = {}
        self.calls: list[Any] = []
        self.limited: dict[int, float | None] = {}

    def some(self, *states: str) -> list[HttpConnection]:
        return [connection for connection, state in self.state.items() if state in states]

    def settle(self) -> None:
        """Closed transports are lost, cancelled connects are over."""
        while self.loop.soon:
            self.loop.soon.pop(0)()
        for connection, transport in list(self.transports.items()):
            if transport.closed:
                self.lose(connection)
        for connection in [connection for connection in self.state if connection.is_closed]:
            del self.state[connection]

    def lose(self, connection: HttpConnection) -> None:
        self.state.pop(connection, None)
        self.transports.pop(connection)
        connection.connection_lost(None)

    @rule(begin_by=st.sampled_from([None, None, 300]))
    def call(self, begin_by: int | None) -> None:
        number = len(self.calls)

        def done(end: HttpCallResult) -> None:
            assert number not in self.ends, "one end only"
            self.ends[number] = end.outcome

        idle = self.some("idle")
        until = self.clock.now() + 5_000
        limit = None if begin_by is None else self.clock.now() + begin_by
        self.calls.append(
            self.pool.start_call(
                PEER, lambda: [b"GET / HTTP/1.1\r\n\r\n"], until, done, CallOptions(start_by_ms=limit)
            )
        )
        self.limited[number] = limit
        connection = self.calls[-1].connection
        assert (connection in idle) == bool(idle), "a warm connection is used if there is one"
        self.carries[connection] = number
        self.state[connection] = "waiting" if idle else "connecting"
        if idle and self.transports[connection].stuck:
            self.state[connection] = "writing"

    @precondition(lambda self: self.some("connecting"))
    @rule(stuck=st.booleans())
    def connected(self, stuck: bool) -> None:
        connection = self.some("connecting")[0]
        self.transports[connection] = FakeTransport(stuck)
        connection.connection_made(self.transports[connection])
        self.state[connection] = "writing" if stuck else "waiting"

    @precondition(lambda self: self.some("connecting"))
    @rule()
    def refused(self) -> None:
        connection = self.some("connecting")[0]
        self.expected[self.carries[connection]] = HttpCallOutcome.NOT_WRITTEN
        connection._close()

    @precondition(lambda self: self.some("writing"))
    @rule()
    def drained(self) -> None:
        connection = self.some("writing")[0]
        self.transports[connection].pending, self.transports[connection].stuck = 0, False
        connection.resume_writing()
        self.state[connection] = "waiting"

    @precondition(lambda self: self.some("waiting", "reading"))
    @rule(last=st.booleans(), cut=st.integers(0, 30))
    def answered(self, last: bool, cut: int) -> None:
        connection = self.some("waiting", "reading")[0]
        raw = LAST_RESPONSE if last else RESPONSE
        self.expected[self.carries[connection]] = HttpCallOutcome.ANSWERED
        if self.state[connection] == "reading":
            raw = RESPONSE[10:]
            last = False
        feed(connection, raw[:cut])
        feed(connection, raw[cut:])
        self.state[connection] = "idle"
        assert self.transports[connection].closed == last

    @precondition(lambda self: self.some("waiting"))
    @rule()
    def part_of_an_answer(self) -> None:
        connection = self.some("waiting")[0]
        feed(connection, RESPONSE[:10])
        self.state[connection] = "reading"

    @precondition(lambda self: self.transports)
    @rule(pick=st.integers(0, 9), eof=st.booleans())
    def broken(self, pick: int, eof: bool) -> None:
        connection = sorted(self.transports, key=lambda connection: connection.handle)[
            pick % len(self.transports)
        ]
        if self.state[connection] != "idle":
            fate = (
                HttpCallOutcome.NOT_WRITTEN
                if self.state[connection] == "writing"
                else HttpCallOutcome.CONNECTION_LOST
            )
            self.expected[self.carries[connection]] = fate
        if eof:
            connection.eof_received()
        self.lose(connection)

    @precondition(lambda self: self.some("idle", "waiting", "reading"))
    @rule()
    def nonsense(self) -> None:
        connection = self.some("idle", "waiting", "reading")[0]
        if self.state[connection] != "idle":
            self.expected[self.carries[connection]] = HttpCallOutcome.INVALID_RESPONSE
        feed(connection, b"\x00" * 20_000 if self.state[connection] != "reading" else b"\r\nbroken\r\n\r\n")

    @rule()
    def recalled(self) -> None:
        for connection in self.some("writing", "connecting"):
            self.expected[self.carries[connection]] = HttpCallOutcome.RECALLED
        self.pool.recall(PEER)

    @precondition(lambda self: self.some("writing", "waiting", "reading", "connecting"))
    @rule()
    def cancelled(self) -> None:
        connection = self.some("writing", "waiting", "reading", "connecting")[0]
        self.calls[self.carries[connection]].cancel()
        self.expected[self.carries[connection]] = HttpCallOutcome.CANCELLED

    @rule(ms=st.sampled_from([500, 1_200, 6_000]))
    def time_passes(self, ms: int) -> None:
        for connection in self.some("writing", "waiting", "reading", "connecting"):
            timers = [t.deadline_ms for t in self.calls[self.carries[connection]].timers]
            limit = self.limited[self.carries[connection]]
            if (
                self.state[connection] in ("writing", "connecting")
                and limit
                and limit <= self.clock.now() + ms
            ):
                self.expected[self.carries[connection]] = HttpCallOutcome.RECALLED
            elif self.state[connection] == "connecting" and min(timers) <= self.clock.now() + ms:
                self.expected[self.carries[connection]] = HttpCallOutcome.NOT_WRITTEN
            elif self.state[connection] == "reading" and timers[-1] <= min(timers[0], self.clock.now() + ms):
                self.expected[self.carries[connection]] = HttpCallOutcome.INVALID_RESPONSE
            elif timers[0] <= self.clock.now() + ms:
                written = self.state[connection] != "writing"
                self.expected[self.carries[connection]] = (
                    HttpCallOutcome.TIMED_OUT if written else HttpCallOutcome.NOT_WRITTEN
                )
        self.clock.advance(ms)
        self.timers.run_due()

    @invariant()
    def every_end_is_the_right_one_and_every_socket_is_counted(self) -> None:
        self.settle()
        assert self.ends == self.expected
        assert self.budget.open_count == len(self.state)
        busy = [connection.call for connection in self.state if connection.call is not None]
        assert len(busy) == len(set(map(id, busy))) == len(self.calls) - len(self.ends)


TestConnectionPoolStates = ConnectionPoolStates.TestCase
TestConnectionPoolStates.settings = settings(
    derandomize=True, deadline=None, max_examples=80, stateful_step_count=40
)


def test_connection_pool_new_peer_or_drained_peer_reuses_no_connection():
    clock, loop = ManualClock(), FakeLoop()
    pool = HttpConnectionPool(
        loop, clock, TimerQueue(clock), SocketBudget(9), PoolTimeouts(CONNECT_TIMEOUT_MS, KEEP_ALIVE_MS)
    )  # type: ignore[arg-type]
    ends: list[HttpCallOutcome] = []

    def call(peer: HttpPeer) -> tuple[HttpConnection, FakeTransport]:
        connection = pool.start_call(
            peer, lambda: [b"x"], clock.now() + 9_000, lambda end: ends.append(end.outcome)
        ).connection
        assert connection is not None
        if connection in loop.connections:
            loop.connections.remove(connection)
            connection.connection_made(FakeTransport())
        assert isinstance(connection._transport, FakeTransport)
        return connection, connection._transport

    old, transport = call(PEER)
    feed(old, RESPONSE)
    assert call(HttpPeer(PEER.address, 2))[0] is not old and call(PEER)[0] is old
    pool.drain_peer(PEER)
    assert not transport.closed  # its call may end
    feed(old, RESPONSE)
    assert transport.closed and ends == [HttpCallOutcome.ANSWERED] * 2


def test_connection_pool_bytes_beyond_response_never_taken_for_next_response():
    """A second copy that comes while the connection is idle, unread by the loop when the next call begins."""

    async def play() -> None:
        loop, clock, ends = asyncio.get_running_loop(), ManualClock(), list[int]()
        pool = HttpConnectionPool(
            loop, clock, TimerQueue(clock), SocketBudget(9), PoolTimeouts(CONNECT_TIMEOUT_MS, KEEP_ALIVE_MS)
        )
        seen: list[bytes] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            seen.append(await reader.readline())
            writer.write(RESPONSE)
            writers.append(writer)

        writers: list[asyncio.StreamWriter] = []
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        peer = HttpPeer(Address("127.0.0.1", server.sockets[0].getsockname()[1]), 1)

        def call(name: bytes) -> None:
            pool.start_call(
                peer,
                lambda: [name + b"\r\n"],
                clock.now() + 9_000,
                lambda end: ends.append(end.response.status if end.response else 0),
            )

        call(b"one")
        while len(ends) < 1:
            await asyncio.sleep(0)
        sock = writers[0].get_extra_info("socket")
        os.write(sock.fileno(), RESPONSE)  # at once, so that the loop cannot have read it
        call(b"two")
        while len(ends) < 2:
            await asyncio.sleep(0)
        assert ends == [200, 200] and seen == [b"one\r\n", b"two\r\n"]
        server.close()
        for writer in writers:
            writer.close()

    asyncio.run(play())


def test_connection_pool_unfinished_response_spoilt_after_limit_interim_one_not_counted():
    clock, loop = ManualClock(), FakeLoop()
    timers, ends = TimerQueue(clock), list[tuple[HttpCallOutcome, int]]()
    pool = HttpConnectionPool(
        loop, clock, timers, SocketBudget(9), PoolTimeouts(CONNECT_TIMEOUT_MS, KEEP_ALIVE_MS)
    )  # type: ignore[arg-type]
    call = pool.start_call(
        PEER,
        lambda: [b"x"],
        clock.now() + 9_000,
        lambda end: ends.append((end.outcome, end.first_line_status)),
    )
    connection = call.connection
    assert connection is not None
    connection.connection_made(FakeTransport())
    feed(connection, b"HTTP/1.1 102 Wait")
    feed(connection, b"\r\n\r\n")
    clock.advance(RESPONSE_LIMIT_MS)
    timers.run_due()
    feed(connection, b"HTTP/1.1 200 OK\r\nX-")
    clock.advance(RESPONSE_LIMIT_MS - 1)
    timers.run_due()
    assert isinstance(connection._transport, FakeTransport) and not connection._transport.closed
    clock.advance(1)
    timers.run_due()
    assert connection._transport.closed
    connection.connection_lost(None)
    assert ends == [(HttpCallOutcome.INVALID_RESPONSE, 200)]


def test_connection_pool_start_limit_passed_while_connecting_recalls_call():
    """The connection comes up in the same turn in which the time is over, before the timer has fired."""
    clock, loop = ManualClock(), FakeLoop()
    pool = HttpConnectionPool(
        loop, clock, TimerQueue(clock), SocketBudget(9), PoolTimeouts(CONNECT_TIMEOUT_MS, KEEP_ALIVE_MS)
    )  # type: ignore[arg-type]
    ends: list[HttpCallOutcome] = []
    call = pool.start_call(
        PEER,
        lambda: [b"x"],
        clock.now() + 9_000,
        lambda end: ends.append(end.outcome),
        CallOptions(start_by_ms=clock.now() + 300),
    )
    assert call.connection is not None
    clock.advance(300)
    transport = FakeTransport()
    call.connection.connection_made(transport)
    assert transport.closed and not transport.written
    call.connection.connection_lost(None)
    assert ends == [HttpCallOutcome.RECALLED]


# Guards against a wait, or a delivery, in a response that crosses with the end of a call that is given up.
@pytest.mark.parametrize("has_response", [True, False])
def test_call_given_up_reads_what_has_come_by_then(has_response: bool):
    async def play() -> HttpCallResult:
        loop = asyncio.get_running_loop()
        clock = Clock()
        with socket.create_server(("127.0.0.1", 0)) as server:
            timeouts = PoolTimeouts(CONNECT_TIMEOUT_MS, KEEP_ALIVE_MS)
            pool = HttpConnectionPool(loop, clock, TimerQueue(clock, loop), SocketBudget(100), timeouts)
            peer = HttpPeer(Address("127.0.0.1", server.getsockname()[1]), 1)
            ended: asyncio.Future[HttpCallResult] = loop.create_future()
            request = [b"POST /hook HTTP/1.1\r\n\r\n"]
            call = pool.start_call(peer, lambda: request, clock.now() + 5_000.0, ended.set_result)
            while call.connection is None or not call.connection.is_written:
                await asyncio.sleep(0.001)
            endpoint, _ = server.accept()  # from here to the end of the call the loop polls nothing
            with endpoint:
                if has_response:
                    endpoint.sendall(
                        b"HTTP/1.1 429 no\r\nX-RateLimit-Wait-Ms: 300\r\nContent-Length: 0\r\n\r\n"
                    )
                    assert select.select([file_descriptor_of(call)], [], [], 5.0)[0], "it has arrived"
                call.cancel()
                return await asyncio.wait_for(ended, 5.0)

    result = asyncio.run(play())
    if has_response:
        assert result.outcome is HttpCallOutcome.ANSWERED and retry_after_ms(result) == 300.0
    else:
        assert result.outcome is HttpCallOutcome.CANCELLED


def file_descriptor_of(call: HttpCall) -> int:
    """Return the descriptor of the connection that carries a call."""
    assert isinstance(call.connection, HttpConnection)
    return call.connection.fileno()
