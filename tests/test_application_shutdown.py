"""The last steps of a graceful shutdown."""

from __future__ import annotations

from winchspan.application.shutdown import (
    END_AFTER_MS,
    STOP_ATTEMPTS_AFTER_MS,
    GracefulShutdown,
    ShutdownActions,
)
from winchspan.config.platform import Address
from winchspan.net.connection_pool import HttpConnectionPool, PoolTimeouts
from winchspan.net.http_call import HttpCallOutcome, HttpPeer
from winchspan.net.http_connection import HttpConnection
from winchspan.net.socket_budget import SocketBudget

from .network_fakes import FakeIntake, FakeLoop, FakeTransport, client_connections

PEER = HttpPeer(Address("127.0.0.1", 1), 1)


class StoppingCourier:
    """A pool and client connections that share a clock, with a shutdown that has begun."""

    def __init__(self, delay_ms: float = 0.0) -> None:
        """Request a shutdown, which begins `delay_ms` later."""
        self.clients, self.clock, self.timers = client_connections(FakeIntake())
        self.loop = FakeLoop()
        self.pool = HttpConnectionPool(
            self.loop,  # type: ignore[arg-type]
            self.clock,
            self.timers,
            SocketBudget(9),
            PoolTimeouts(5_000.0, 10_000.0),
        )
        self.outcomes: list[HttpCallOutcome] = []
        self.steps: list[str] = []
        actions = ShutdownActions(
            is_busy=lambda: True,
            in_flight_count=lambda: 1,
            freeze=lambda: self.steps.append("freeze"),
            recall_unwritten=self.pool.recall_all_unwritten,
            end=lambda: self.steps.append("end"),
        )
        shutdown = GracefulShutdown(self.clients, self.clock, self.timers, actions)
        shutdown.request()
        self.clock.advance(delay_ms)
        shutdown.begin()

    def start_call(self) -> HttpConnection:
        self.pool.start_call(
            PEER,
            lambda: [b"POST /hook HTTP/1.1\r\n\r\n"],
            self.clock.now() + 9_000.0,
            lambda result: self.outcomes.append(result.outcome),
        )
        return self.loop.connections.pop()

    def pass_time(self, ms: float) -> None:
        self.clock.advance(ms)
        self.timers.run_due()
        while self.loop.scheduled_actions:
            self.loop.scheduled_actions.pop(0)()


def test_call_whose_connection_comes_up_behind_the_last_attempts_is_not_sent():
    """Guards against a call behind a drain or within a wait, of which a frozen engine hears nothing."""
    courier = StoppingCourier()
    courier.pass_time(STOP_ATTEMPTS_AFTER_MS - 100.0)
    connection = courier.start_call()
    courier.pass_time(100.0)
    assert courier.steps == ["freeze"]
    assert courier.outcomes == [HttpCallOutcome.RECALLED]
    transport = FakeTransport()
    connection.connection_made(transport)
    assert transport.written == b""
    courier.pass_time(END_AFTER_MS - STOP_ATTEMPTS_AFTER_MS)
    assert courier.steps == ["freeze", "end"]


def test_call_that_is_written_may_complete_until_the_end():
    courier = StoppingCourier()
    connection = courier.start_call()
    connection.connection_made(FakeTransport())
    courier.pass_time(STOP_ATTEMPTS_AFTER_MS)
    assert courier.outcomes == []


def test_shutdown_that_begins_late_takes_no_longer():
    """Guards against a SIGKILL within calls: the time of a hand-over that fails is part of the stop's."""
    courier = StoppingCourier(delay_ms=STOP_ATTEMPTS_AFTER_MS)
    courier.pass_time(1.0)
    assert courier.steps == ["freeze"]
    courier.pass_time(END_AFTER_MS - STOP_ATTEMPTS_AFTER_MS)
    assert courier.steps == ["freeze", "end"]
