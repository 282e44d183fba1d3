"""Calls that are partially written when a lease ends are recalled before more of them is written."""

from __future__ import annotations

import asyncio
import socket
import threading
import time

import pytest

from winchspan.config.platform import Address
from winchspan.fakes.ports import HOST
from winchspan.net.connection_pool import HttpConnectionPool, PoolTimeouts
from winchspan.net.http_call import HttpCallOutcome, HttpCallResult, HttpPeer
from winchspan.net.socket_budget import SocketBudget
from winchspan.runtime.system import System
from winchspan.runtime.timers import TimerQueue

BODY_BYTES = 32 << 20  # much more than the socket buffers of both ends


class PausedEndpoint(threading.Thread):
    """An endpoint that reads nothing until `may_read` is set, and answers once it has all bytes."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self._listener = socket.create_server((HOST, 0))
        self.port: int = self._listener.getsockname()[1]
        self.may_read = threading.Event()
        self.received_bytes = 0
        self.start()

    def run(self) -> None:
        connection, _ = self._listener.accept()
        self.may_read.wait()
        try:
            while data := connection.recv(1 << 20):
                self.received_bytes += len(data)
                if self.received_bytes == BODY_BYTES:
                    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        except ConnectionError:
            pass
        connection.close()
        self._listener.close()


def make_pool(system: System) -> HttpConnectionPool:
    """Return a connection pool on the running event loop."""
    loop = asyncio.get_running_loop()
    return HttpConnectionPool(
        loop,
        system.clock,
        TimerQueue(system.clock, loop, system.poll_monitor),
        SocketBudget(50),
        PoolTimeouts(1_000.0, 10_000.0),
    )


@pytest.mark.parametrize("is_polled", [True, False])
def test_connection_pool_recalls_partially_written_calls_after_the_lease_ended(is_polled: bool):
    """The process is stopped while it writes a call; its lease ends, the endpoint reads, and it resumes."""
    paused_endpoint, system = PausedEndpoint(), System()
    has_lease = True
    results: list[HttpCallResult] = []

    async def run() -> None:
        nonlocal has_lease
        pool = make_pool(system)
        if is_polled:
            system.poll_monitor.after_poll = lambda: None if has_lease else pool.recall_partially_written()
        pool.start_call(
            HttpPeer(Address(HOST, paused_endpoint.port), 1),
            lambda: [b"x" * BODY_BYTES] if has_lease else [],
            system.clock.now() + 60_000.0,
            results.append,
        )
        while not pool.partially_written:
            await asyncio.sleep(0.005)
        has_lease = False
        paused_endpoint.may_read.set()
        time.sleep(0.2)  # simulates a stopped process while the socket becomes writable
        while not results:
            await asyncio.sleep(0.005)
        assert not pool.partially_written
        pool.close_idle(HttpPeer(Address(HOST, paused_endpoint.port), 1))  # ends the endpoint's thread
        await asyncio.sleep(0)

    with asyncio.Runner(loop_factory=system.new_event_loop) as runner:
        runner.run(run())
    paused_endpoint.join(30.0)
    if is_polled:
        assert results[0].outcome is HttpCallOutcome.RECALLED and paused_endpoint.received_bytes < BODY_BYTES
    else:
        assert results[0].response is not None and paused_endpoint.received_bytes == BODY_BYTES, (
            "without a check after each poll, the call is sent completely"
        )


@pytest.mark.parametrize("is_partial", [True, False])
def test_http_call_with_an_ended_message_is_recalled_only_if_partially_written(is_partial: bool):
    """Its last byte would make the endpoint process a message that already has its final answer."""
    paused_endpoint, system = PausedEndpoint(), System()
    results: list[HttpCallResult] = []

    async def run() -> None:
        pool = make_pool(system)
        call = pool.start_call(
            HttpPeer(Address(HOST, paused_endpoint.port), 1),
            lambda: [b"x" * BODY_BYTES],
            system.clock.now() + 60_000.0,
            results.append,
        )
        while not pool.partially_written:
            await asyncio.sleep(0.005)
        if is_partial:
            call.drop_unwanted_messages()
        paused_endpoint.may_read.set()
        while pool.partially_written:
            await asyncio.sleep(0.005)
        call.drop_unwanted_messages()  # too late: it has been sent, and awaits its response
        while not results:
            await asyncio.sleep(0.005)
        pool.close_idle(HttpPeer(Address(HOST, paused_endpoint.port), 1))
        await asyncio.sleep(0)

    with asyncio.Runner(loop_factory=system.new_event_loop) as runner:
        runner.run(run())
    paused_endpoint.join(30.0)
    assert results[0].outcome is (HttpCallOutcome.RECALLED if is_partial else HttpCallOutcome.ANSWERED)
    assert (paused_endpoint.received_bytes < BODY_BYTES) == is_partial
