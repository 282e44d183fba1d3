"""Tests of the operators' HTTP server: operations, timeouts and the limit on connections."""

from __future__ import annotations

import asyncio

from winchspan.admin.connection import REQUEST_TIMEOUT_MS, AdminConnection
from winchspan.admin.operations import Operations, ServingState
from winchspan.admin.server import MAX_CONNECTIONS, AdminServer
from winchspan.runtime.clock import ManualClock
from winchspan.runtime.system import System
from winchspan.runtime.timers import TimerQueue

from .network_fakes import (
    FakeTransport,
    feed,
)

REQUEST = b"POST /control/endpoints/s-1/offline HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"


class FakeCourier:
    """Client connections that can be drained, and a directory of one endpoint."""

    def __init__(self) -> None:
        self.is_out_of_service = False
        self.offline_names: set[str] = set()

    def knows(self, name: str) -> bool:
        return name == "s-1"

    def take_offline(self, name: str) -> bool:
        self.offline_names.add(name)
        return True

    def bring_online(self, name: str) -> None:
        self.offline_names.discard(name)

    def begin_drain(self) -> None:
        self.is_out_of_service = True

    def end_drain(self) -> None:
        self.is_out_of_service = False


def operations_world() -> tuple[Operations, FakeCourier]:
    courier = FakeCourier()
    return Operations(courier, courier, lambda: "x:1|c\n", lambda: ServingState.SERVING), courier


def server_world() -> tuple[AdminServer, FakeCourier, ManualClock, TimerQueue]:
    operations, courier = operations_world()
    clock = ManualClock()
    timers = TimerQueue(clock)
    return AdminServer(operations, timers), courier, clock, timers


def send_request(server: AdminServer, request: bytes) -> bytes:
    connection, transport = AdminConnection(server), FakeTransport(False)
    connection.connection_made(transport)
    feed(connection, request)
    return bytes(transport.written)


def test_server_request_gets_response_of_its_operation():
    server, courier, _, _ = server_world()

    def status(method: str, path: str) -> int:
        return int(send_request(server, f"{method} {path} HTTP/1.1\r\n\r\n".encode()).split()[1])

    assert status("GET", "/control/ready") == 200
    assert send_request(server, b"GET /control/counters HTTP/1.1\r\n\r\n").endswith(b"\r\n\r\nx:1|c\n")
    assert status("POST", "/control/out-of-service") == 200 and status("GET", "/control/ready") == 503
    assert status("POST", "/control/out-of-service") == 200  # idempotent
    assert status("POST", "/control/in-service") == 200 and status("GET", "/control/ready") == 200
    assert status("POST", "/control/endpoints/s-1/offline") == 200 and courier.offline_names == {"s-1"}
    assert status("POST", "/control/endpoints/s-2/offline") == 404 == status("GET", "/control/else")
    assert status("POST", "/control/endpoints/s-1/online") == 200 and not courier.offline_names
    assert status("POST", "/control/endpoints/%00/offline") == 400
    assert status("GET", "/control/endpoints/s-1/offline") == 405 == status("POST", "/control/ready")


def test_connection_partial_request_gets_408_after_timeout_and_closes():
    server, _, clock, timers = server_world()
    connection, transport = AdminConnection(server), FakeTransport(False)
    connection.connection_made(transport)
    feed(connection, REQUEST[:20])
    clock.advance(REQUEST_TIMEOUT_MS)
    timers.run_due()
    assert b" 408 " in bytes(transport.written)
    clock.advance(REQUEST_TIMEOUT_MS)
    timers.run_due()
    assert transport.is_closing()


def test_server_silent_connections_do_not_block_others():
    async def request_after_silent_connections() -> int:
        server, _, _, _ = server_world()
        system = System()
        port = server.listen(asyncio.get_running_loop(), system.listen("127.0.0.1", 0))
        silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3 * MAX_CONNECTIONS)]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /control/ready HTTP/1.1\r\n\r\n")
        response = await reader.read()
        for _, other in [*silent, (reader, writer)]:
            other.close()
        server.close()
        return int(response.split()[1])

    assert asyncio.run(request_after_silent_connections()) == 200
