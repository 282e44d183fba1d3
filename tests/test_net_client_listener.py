"""Client connections together: limits, eviction, draining and shutdown."""

from __future__ import annotations

import asyncio
import socket

from winchspan.net.client_connection import CLIENT_REPLY_TIMEOUT_MS, SILENT_AFTER_MS
from winchspan.net.client_listener import SWEEP_INTERVAL_MS, ClientConnections
from winchspan.runtime.system import System

from .network_fakes import (
    BAD_REQUESTS,
    PING,
    FakeIntake,
    client_connections,
    connect,
    connected_client,
    feed,
    pass_time,
    submit,
)


async def listening(most: int) -> tuple[ClientConnections, int]:
    """Client connections on a set clock: nobody is over time, whatever the pace of the machine."""
    connections = client_connections(FakeIntake(), 50, most)[0]
    return connections, connections.listen(asyncio.get_running_loop(), System().listen("127.0.0.1", 0))


def test_client_listener_excess_idle_connections_closed_bad_requesters_first():
    """Incident r3c01bf: clients that ask once held all connections they may, each for two idle seconds."""
    connections, clock, timers = client_connections(FakeIntake(), 200, 160)
    joined = [connect(connections) for _ in range(40)]
    for i, (connection, _) in enumerate(joined):
        feed(connection, BAD_REQUESTS[0] if i == 30 else PING)
    joined.append(connect(connections))  # has not asked yet
    joined.append(connect(connections))
    feed(joined[-1][0], PING[:5])  # is asking
    pass_time(connections, clock, timers, SWEEP_INTERVAL_MS)
    closed = [i for i, (_, transport) in enumerate(joined) if transport.closed]
    assert closed == [*range(19), 30]


def test_client_listener_at_limit_evicts_silent_connections_first():
    """Hundreds of silent clients kept the usual ones in the backlog until their time was up."""

    async def play() -> None:
        connections, clock, timers = client_connections(FakeIntake(), 50, 2)
        port = connections.listen(asyncio.get_running_loop(), System().listen("127.0.0.1", 0))
        silent, half = [await asyncio.open_connection("127.0.0.1", port) for _ in range(2)]
        half[1].write(PING[:5])
        third = await asyncio.open_connection("127.0.0.1", port)
        third[1].write(PING)
        while len(connections._connections) < 2 or not any(
            connection.has_partial_request for connection in connections._connections
        ):
            await asyncio.sleep(0)
        clock.advance(max(SILENT_AFTER_MS, SWEEP_INTERVAL_MS) + 1)
        timers.run_due()
        assert await third[0].readline() == b"+PONG\r\n"
        assert await silent[0].read() == b""
        connections.stop_listening()
        for _, writer in (silent, half, third):
            writer.close()

    asyncio.run(play())


def test_client_listener_at_limit_evicts_least_recently_used_or_leaves_in_backlog():
    """Asyncio's own server ran out of descriptors here, and then accepted nobody for a second."""

    async def play() -> None:
        connections, port = await listening(2)
        ping = b"*1\r\n$4\r\nPING\r\n"
        first, second = [await asyncio.open_connection("127.0.0.1", port) for _ in range(2)]
        for reader, writer in (first, second):
            writer.write(ping)
            assert await reader.readline() == b"+PONG\r\n"
        third = await asyncio.open_connection("127.0.0.1", port)
        third[1].write(ping)
        assert await third[0].readline() == b"+PONG\r\n"
        assert await first[0].read() == b""  # the one unused for longest has made room
        connections.stop_listening()
        for _, writer in (first, second, third):
            writer.close()

    async def wait_in_the_backlog() -> None:
        connections, port = await listening(1)
        ping = b"*1\r\n$4\r\nPING\r\n"
        first, second = [await asyncio.open_connection("127.0.0.1", port) for _ in range(2)]
        second[1].write(ping)  # the first has asked for nothing yet: it may stay
        await asyncio.sleep(0.01)
        first[1].write(ping)
        assert await first[0].readline() == b"+PONG\r\n"
        assert await second[0].readline() == b"+PONG\r\n"
        connections.stop_listening()
        for _, writer in (first, second):
            writer.close()

    asyncio.run(play())
    asyncio.run(wait_in_the_backlog())


def test_client_listener_accepted_connection_has_no_delay():
    """A close over unread bytes would take an answer with it that the system still holds."""

    async def play() -> None:
        connections, port = await listening(2)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(PING)
        assert await reader.readline() == b"+PONG\r\n"
        (connection,) = connections._connections
        assert connection._transport is not None
        sock = connection._transport.get_extra_info("socket")
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        connections.stop_listening()
        writer.close()

    asyncio.run(play())


def test_client_listener_shutdown_answers_partial_request_and_then_closes():
    connection, transport, intake, connections = connected_client()
    feed(connection, submit()[:30])
    connections.begin_shutdown()
    assert not transport.closed
    feed(connection, submit()[30:])
    assert transport.written == b"+OK\r\n" and transport.closed and len(intake.accepted_messages) == 1
    connection.connection_lost(None)
    connections.is_closing_idle = False
    used, fresh = connect(connections), connect(connections)
    feed(used[0], b"*1\r\n$4\r\nPING\r\n")
    connections.begin_shutdown()
    # A request that crosses with the close is sent again only on a connection that has had one before.
    assert used[1].closed and not fresh[1].closed
    connections.stop_listening()
    assert not fresh[1].closed and connections.is_awaiting_first_request()
    feed(fresh[0], submit())
    assert fresh[1].written == b"+OK\r\n" and fresh[1].closed and len(intake.accepted_messages) == 2


def test_client_listener_shutdown_does_not_wait_for_a_silent_client():
    connections, clock, _ = client_connections(FakeIntake())
    _, transport = connect(connections)
    connections.begin_shutdown()
    connections.stop_listening()
    clock.advance(CLIENT_REPLY_TIMEOUT_MS - 1.0)
    assert connections.is_awaiting_first_request() and not transport.closed
    clock.advance(1.0)
    assert not connections.is_awaiting_first_request()


def test_client_listener_drain_rejects_ping_serves_submits_and_closes_connections():
    connection, transport, intake, connections = connected_client()
    feed(connection, b"*1\r\n$4\r\nPING\r\n")
    assert bytes(transport.written) == b"+PONG\r\n" and not transport.is_closing()
    connections.begin_drain()
    assert transport.is_closing()  # idle
    late, way = connect(connections)
    feed(late, submit())
    assert bytes(way.written) == b"+OK\r\n" and way.is_closing() and len(intake.accepted_messages) == 1
    probe, answer = connect(connections)
    feed(probe, b"*1\r\n$4\r\nPING\r\n")
    assert bytes(answer.written).startswith(b"-") and answer.is_closing()
    connections.end_drain()
    back, way = connect(connections)
    feed(back, b"*1\r\n$4\r\nPING\r\n")
    assert bytes(way.written) == b"+PONG\r\n" and not way.is_closing()


def test_client_listener_drain_closes_silent_connections_and_its_end_keeps_shutdown():
    connections, clock, timers = client_connections(FakeIntake())
    connections.begin_drain()
    _, transport = connect(connections)
    pass_time(connections, clock, timers, 500)
    assert transport.is_closing()
    connections.begin_shutdown()
    connections.end_drain()
    assert connections.is_closing_idle and connections.is_stopping
