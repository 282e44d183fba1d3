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


async def listening(connection_limit: int) -> tuple[ClientConnections, int]:
    """Return client connections on a manual clock, so that none expires on a slow machine, and the port."""
    connections = client_connections(FakeIntake(), 50, connection_limit)[0]
    return connections, connections.listen(asyncio.get_running_loop(), System().listen("127.0.0.1", 0))


def test_client_listener_excess_idle_connections_closed_bad_requesters_first():
    """Guards against idle connections that use up the connection limit (incident r3c01bf).

    Clients that sent a single request kept their connections, each for two idle seconds.
    """
    connections, clock, timers = client_connections(FakeIntake(), 200, 160)
    clients = [connect(connections) for _ in range(40)]
    for i, (connection, _) in enumerate(clients):
        feed(connection, BAD_REQUESTS[0] if i == 30 else PING)
    clients.append(connect(connections))  # has sent no request yet
    clients.append(connect(connections))
    feed(clients[-1][0], PING[:5])  # has sent part of a request
    pass_time(connections, clock, timers, SWEEP_INTERVAL_MS)
    closed = [i for i, (_, transport) in enumerate(clients) if transport.closed]
    assert closed == [*range(19), 30]


def test_client_listener_at_limit_evicts_silent_connections_first():
    """Guards against silent clients that keep others in the backlog until their reply timeout."""

    async def scenario() -> None:
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

    asyncio.run(scenario())


def test_client_listener_at_limit_evicts_least_recently_used_or_leaves_in_backlog():
    """Guards against running out of descriptors: asyncio's server then accepts no clients for a second."""

    async def scenario() -> None:
        connections, port = await listening(2)
        ping = b"*1\r\n$4\r\nPING\r\n"
        first, second = [await asyncio.open_connection("127.0.0.1", port) for _ in range(2)]
        for reader, writer in (first, second):
            writer.write(ping)
            assert await reader.readline() == b"+PONG\r\n"
        third = await asyncio.open_connection("127.0.0.1", port)
        third[1].write(ping)
        assert await third[0].readline() == b"+PONG\r\n"
        assert await first[0].read() == b""  # the least recently used connection is evicted
        connections.stop_listening()
        for _, writer in (first, second, third):
            writer.close()

    async def wait_in_backlog() -> None:
        connections, port = await listening(1)
        ping = b"*1\r\n$4\r\nPING\r\n"
        first, second = [await asyncio.open_connection("127.0.0.1", port) for _ in range(2)]
        second[1].write(ping)  # the first has sent no request yet, and is not evicted
        await asyncio.sleep(0.01)
        first[1].write(ping)
        assert await first[0].readline() == b"+PONG\r\n"
        assert await second[0].readline() == b"+PONG\r\n"
        connections.stop_listening()
        for _, writer in (first, second):
            writer.close()

    asyncio.run(scenario())
    asyncio.run(wait_in_backlog())


def test_client_listener_accepted_connection_has_no_delay():
    """Guards against losing a reply that the kernel delays: a close with unread bytes would discard it."""

    async def scenario() -> None:
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

    asyncio.run(scenario())


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
    # A client resends a request that is lost in the close only on a connection that has been used before.
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
    late, late_transport = connect(connections)
    feed(late, submit())
    assert (
        bytes(late_transport.written) == b"+OK\r\n"
        and late_transport.is_closing()
        and len(intake.accepted_messages) == 1
    )
    probe, probe_transport = connect(connections)
    feed(probe, b"*1\r\n$4\r\nPING\r\n")
    assert bytes(probe_transport.written).startswith(b"-") and probe_transport.is_closing()
    connections.end_drain()
    client, client_transport = connect(connections)
    feed(client, b"*1\r\n$4\r\nPING\r\n")
    assert bytes(client_transport.written) == b"+PONG\r\n" and not client_transport.is_closing()


def test_client_listener_drain_closes_silent_connections_and_its_end_keeps_shutdown():
    connections, clock, timers = client_connections(FakeIntake())
    connections.begin_drain()
    _, transport = connect(connections)
    pass_time(connections, clock, timers, 500)
    assert transport.is_closing()
    connections.begin_shutdown()
    connections.end_drain()
    assert connections.is_closing_idle and connections.is_stopping


# Guards against clients that stop half way through a large request: the limits of descriptors and of one
# request allow them 60 MB together.
def test_incomplete_requests_beyond_the_memory_for_all_are_rejected_slowest_first():
    connections, clock, _ = client_connections(FakeIntake(), socket_limit=20, connection_limit=20)
    connections._max_receive_buffer_bytes = 300_000
    clients = []
    for _ in range(6):
        clock.advance(10.0)
        connection, transport = connect(connections)
        feed(connection, b"*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$1\r\na\r\n$1\r\nx\r\n$65536\r\n" + b"x" * 40_000)
        clients.append((connection, transport))
    rejected = [b"-BUSY" in bytes(transport.written) for _, transport in clients]
    assert rejected[0] and not rejected[-1]
    assert rejected == sorted(rejected, reverse=True), "those that began first"
    for connection, _ in clients:
        connection.connection_lost(None)
    assert connections._receive_buffer_bytes == 0


# Guards against the eviction of a connection whose complete requests still wait: they got no answer.
def test_complete_requests_are_answered_whatever_memory_incomplete_ones_need():
    connections, clock, timers = client_connections(FakeIntake(), socket_limit=20, connection_limit=20)
    connections._max_receive_buffer_bytes = 20_000
    waiting, waiting_transport = connect(connections)
    feed(waiting, PING * 1_500)  # sixteen are answered, the others wait for the next cycle
    unread, unread_transport = connect(connections)
    feed(unread, b"*2\r\n$4\r\nPING\r\n$12000\r\n" + b"x" * 11_000)
    unread.pause_writing()
    clock.advance(10.0)
    late, late_transport = connect(connections)
    feed(late, b"*2\r\n$4\r\nPING\r\n$30000\r\n" + b"x" * 20_000)
    assert unread_transport.is_closing(), "its client reads nothing"
    assert b"-BUSY" not in bytes(waiting_transport.written) and not waiting_transport.is_closing()
    for _ in range(100):
        timers.run_due()
        clock.advance(1.0)
    assert bytes(waiting_transport.written).count(b"+PONG") == 1_500
    assert b"-BUSY" in bytes(late_transport.written)
