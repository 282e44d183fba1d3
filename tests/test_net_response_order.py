"""Responses that are out of step with the requests of their connection."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from pathlib import Path

import pytest

from winchspan.api import Outcome
from winchspan.config.platform import Address
from winchspan.delivery.messages import AttemptResult, OutgoingMessage
from winchspan.fakes.partner import PartnerSettings
from winchspan.fakes.scenario import storm_scenario
from winchspan.net.attempt_transport import HttpAttemptTransport, TransportSettings
from winchspan.net.connection_pool import CallOptions, HttpConnectionPool, PoolTimeouts
from winchspan.net.endpoint_directory import EndpointDirectory
from winchspan.net.http import ResponseParser
from winchspan.net.http_call import HttpCall, HttpCallOutcome, HttpCallResult, HttpPeer
from winchspan.net.http_connection import HttpConnection
from winchspan.net.response_order import (
    EXPOSURE_MS,
    MAX_SETTLE_MS,
    MIN_SETTLE_MS,
    ResponseOrder,
    parse_surplus,
    settle_ms,
)
from winchspan.net.socket_budget import SocketBudget
from winchspan.net.socket_state import unacknowledged_bytes
from winchspan.runtime.clock import ManualClock
from winchspan.runtime.timers import TimerQueue
from winchspan.simulation.emulation import Emulation, EmulationResult
from winchspan.simulation.environment import Environment, FaultKind, InjectedFault, partner_host
from winchspan.simulation.link import LinkProfile

from .network_fakes import FakeLoop, FakePool, FakeTransport, endpoint_entry, feed, http_result, watch_event

DELIVERED = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
REJECTED = b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n"
REQUEST = b"POST /hook HTTP/1.1\r\n\r\n"
PEER = HttpPeer(Address("127.0.0.1", 1), 1)
PARTNER = 7


class AcknowledgingTransport(FakeTransport):
    """A transport whose peer acknowledges the written bytes when the test says so."""

    unacknowledged = 0

    def writelines(self, pieces: object) -> None:
        before = len(self.written)
        super().writelines(pieces)  # type: ignore[arg-type]
        self.unacknowledged += len(self.written) - before

    def get_extra_info(self, name: str, default: object = None) -> object:
        return (lambda: self.unacknowledged) if name == "unacknowledged" else default


class PoolWorld:
    """A pool on a manual clock, whose connections are established at once."""

    def __init__(self) -> None:
        self.clock, self.loop = ManualClock(), FakeLoop()
        self.timers = TimerQueue(self.clock)
        self.pool = HttpConnectionPool(
            self.loop,  # type: ignore[arg-type]
            self.clock,
            self.timers,
            SocketBudget(9),
            PoolTimeouts(1_000.0, 10_000.0),
        )
        self.results: list[HttpCallResult] = []

    def call(self, is_foreign: Callable[[ResponseParser], bool] | None = None) -> HttpConnection:
        """Start a call, and return its connection."""
        self.pool.start_call(
            PEER,
            lambda: [REQUEST],
            self.clock.now() + 9_000,
            self.results.append,
            CallOptions(is_foreign=is_foreign),
        )
        if self.loop.connections:
            return self.connect()
        (connection,) = (each for each in self.pool._connections if each.call is not None)
        return connection

    def connect(self) -> HttpConnection:
        """Establish the new connection, and return it."""
        connection = self.loop.connections.pop()
        connection.connection_made(AcknowledgingTransport())
        return connection

    def pass_time(self, ms: float) -> None:
        self.clock.advance(max(0.0, ms))
        self.timers.run_due()

    def transport(self, connection: HttpConnection) -> AcknowledgingTransport:
        assert isinstance(connection._transport, AcknowledgingTransport)
        return connection._transport

    def answer(self, connection: HttpConnection, response: bytes, *, after_ms: float) -> None:
        """Acknowledge the request, and answer it."""
        self.clock.advance(after_ms)
        self.transport(connection).unacknowledged = 0
        feed(connection, response)

    def statuses(self) -> list[int]:
        return [result.response.status if result.response else 0 for result in self.results]


def test_connection_with_a_recent_response_does_not_carry_the_next_call():
    """Guards against taking a second copy of a response, sent right after it, for the next response."""
    world = PoolWorld()
    first = world.call()
    world.answer(first, DELIVERED, after_ms=20.0)
    assert world.call() is first
    assert world.transport(first).written == REQUEST, "the next call waits"
    feed(first, DELIVERED)  # the copy
    assert world.transport(first).closed
    second = world.connect()
    assert world.transport(second).written == REQUEST, "the next call goes elsewhere"
    world.answer(second, REJECTED, after_ms=20.0)
    assert world.statuses() == [200, 503]


def test_connection_that_is_closed_while_a_call_waits_passes_it_on():
    """Guards against a failed attempt where an endpoint closes its connections after each response."""
    world = PoolWorld()
    first = world.call()
    world.answer(first, DELIVERED, after_ms=20.0)
    assert world.call() is first
    first.eof_received()
    first.connection_lost(None)
    world.answer(world.connect(), DELIVERED, after_ms=20.0)
    assert world.statuses() == [200, 200]


@pytest.mark.parametrize(
    ("response_ms", "settled_after_ms"), [(0.0, MIN_SETTLE_MS), (15.0, 15.0), (300.0, MAX_SETTLE_MS)]
)
def test_connection_is_reused_shortly_after_its_response(response_ms: float, settled_after_ms: float):
    """Guards against opening a connection for each call."""
    world = PoolWorld()
    first = world.call()
    world.answer(first, DELIVERED, after_ms=response_ms)
    assert world.call() is first
    world.pass_time(settled_after_ms - 1.0)
    assert world.transport(first).written == REQUEST
    world.pass_time(1.0)
    assert world.transport(first).written == REQUEST * 2


def test_one_connection_serves_a_series_of_calls():
    """Guards against new connections where each call follows the response to the one before."""
    world = PoolWorld()
    used = []
    for _ in range(20):
        used.append(world.call())
        world.pass_time(MAX_SETTLE_MS)
        world.answer(used[-1], REJECTED, after_ms=300.0)
    assert len(set(used)) == 1


# ---- responses that are held -----------------------------------------------------------------------------
SERVICE_MS = 300.0
CROSSING_MS = 25.0  # time from a request to a copy that it crosses


def second_call(world: PoolWorld) -> HttpConnection:
    """Return a connection that has carried one call, and on which another one is written."""
    connection = world.call()
    world.answer(connection, DELIVERED, after_ms=SERVICE_MS)
    assert world.call() is connection
    world.pass_time(MAX_SETTLE_MS)
    return connection


def test_copy_that_crosses_the_next_call_is_not_its_response():
    """Guards against a rejected message that counts as delivered: the copy comes within the round trip."""
    world = PoolWorld()
    connection = second_call(world)
    world.answer(connection, DELIVERED, after_ms=CROSSING_MS)
    assert world.statuses() == [200], "a response that is faster than all others is held"
    world.answer(connection, REJECTED, after_ms=SERVICE_MS)
    assert world.statuses() == [200, 503]
    assert world.transport(connection).closed, "it carries no further call"


def test_copy_and_response_in_one_read_are_told_apart():
    world = PoolWorld()
    connection = second_call(world)
    world.answer(connection, DELIVERED + REJECTED, after_ms=CROSSING_MS)
    assert world.statuses() == [200, 503]


def test_fast_response_without_another_one_counts_and_its_connection_is_reused():
    """Guards against deliveries that are never told, and against a new connection for each of them."""
    world = PoolWorld()
    connection = second_call(world)
    world.answer(connection, DELIVERED, after_ms=CROSSING_MS)
    world.pass_time(2 * SERVICE_MS)
    assert world.statuses() == [200, 200]
    assert world.call() is connection
    world.pass_time(MAX_SETTLE_MS)
    world.answer(connection, DELIVERED, after_ms=CROSSING_MS)
    assert world.statuses() == [200, 200, 200], "the server may be that fast"


@pytest.mark.parametrize("how", ["closed", "cancelled", "noise"])
def test_response_that_is_held_counts_if_its_call_ends(how: str):
    """Guards against a delivery that is lost since its response was fast."""
    world = PoolWorld()
    connection = second_call(world)
    world.answer(connection, DELIVERED, after_ms=CROSSING_MS)
    if how == "closed":
        connection.connection_lost(None)
    elif how == "cancelled":
        assert connection.call is not None
        connection.call.cancel()
        connection.connection_lost(None)
    else:
        feed(connection, b"\x00\x00\r\n\r\n")
        assert world.transport(connection).closed
    assert world.statuses() == [200, 200]


def test_rejection_is_never_held():
    """Guards against a backoff that takes effect late."""
    world = PoolWorld()
    connection = second_call(world)
    world.answer(connection, REJECTED, after_ms=CROSSING_MS)
    assert world.statuses() == [200, 503]


def test_response_long_after_the_last_one_is_never_held():
    world = PoolWorld()
    connection = world.call()
    world.answer(connection, DELIVERED, after_ms=SERVICE_MS)
    world.pass_time(EXPOSURE_MS)
    assert world.call() is connection
    world.answer(connection, DELIVERED, after_ms=CROSSING_MS)
    assert world.statuses() == [200, 200]


def test_call_whose_response_is_held_is_not_handed_over():
    """Guards against a response that neither process knows."""
    world = PoolWorld()
    connection = second_call(world)
    assert connection.is_transferable
    world.answer(connection, DELIVERED, after_ms=CROSSING_MS)
    assert not connection.is_transferable


def test_adopted_call_discards_a_copy_that_came_before_its_request():
    """Guards against a copy that is read by the process that has taken the call over."""
    old, new = PoolWorld(), PoolWorld()
    state = second_call(old).export_state()
    assert state.request_bytes == len(REQUEST)
    call = HttpCall.without_connection()
    adopted = HttpConnection(new.pool, PEER)
    adopted.is_adopted = True
    adopted.import_state(call, state)
    call.on_result = new.results.append
    transport = AcknowledgingTransport()
    transport.unacknowledged = len(REQUEST)
    adopted.connection_made(transport)
    feed(adopted, DELIVERED)
    assert not new.results
    new.answer(adopted, REJECTED, after_ms=SERVICE_MS)
    assert new.statuses() == [503]


# ---- bytes before the request ----------------------------------------------------------------------------
def test_response_before_the_request_is_acknowledged_is_discarded():
    """Guards against a copy that arrives while the next request is on its way to the server."""
    world = PoolWorld()
    connection = world.call()
    feed(connection, DELIVERED)
    assert not world.results
    world.answer(connection, REJECTED, after_ms=20.0)
    assert world.statuses() == [503]
    assert world.transport(connection).closed, "a connection with surplus bytes carries no further call"


@pytest.mark.parametrize("noise", [b"\x00\xff", DELIVERED[:20], DELIVERED + b"HTTP"])
def test_noise_before_the_request_is_acknowledged_ends_the_call_that_may_have_run(noise: bytes):
    """Guards against reading the rest of the noise as a part of the response."""
    world = PoolWorld()
    connection = world.call()
    feed(connection, noise)
    assert world.transport(connection).closed
    connection.connection_lost(None)
    assert [result.outcome for result in world.results] == [HttpCallOutcome.INVALID_RESPONSE]


def test_unacknowledged_bytes_of_a_socket_counts_what_the_peer_has_no_room_for():
    async def scenario() -> None:
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_connection(asyncio.Protocol, *listener.getsockname())
            server, _ = listener.accept()
            with server:
                transport.write(b"x")
                while unacknowledged_bytes(transport):
                    await asyncio.sleep(0.001)
                transport.write(bytes(10_000_000))
                assert unacknowledged_bytes(transport) > 1_000_000
                transport.abort()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("data", "expected"),
    [(DELIVERED, True), (DELIVERED[:-1], False), (DELIVERED * 2, False), (b"HTTP/1.1 200 OK\r\n\r\n", False)],
)
def test_surplus_is_one_response_only_if_it_is_complete(data: bytes, expected: bool):
    assert parse_surplus(data).is_whole is expected


def test_settle_time_is_bounded():
    assert settle_ms(-1.0) == MIN_SETTLE_MS
    assert settle_ms(float("inf")) == MAX_SETTLE_MS


def test_batch_response_that_names_none_of_its_messages_belongs_to_another_call():
    """Guards against a connection whose responses are one call late: the response to the call still comes."""
    _, pool = _start_batch()
    is_foreign = pool.options[0].is_foreign
    assert is_foreign is not None
    assert is_foreign(_response('[{"id":"z","state":"ok"}]'))
    assert not is_foreign(_response('[{"id":"z","state":"ok"},{"id":"b","state":"ok"}]'))
    assert not is_foreign(_response("")), "it may be a faulty response to this call"


def test_batch_response_without_any_message_closes_its_connection():
    """Guards against further calls on a connection whose responses may be one call late."""
    outcomes, pool = _start_batch()
    pool.calls[0][1](http_result(200, body=""))
    assert len(pool.peers_closed_idle) == 1
    assert [each.outcome for each in outcomes] == [Outcome.ERROR] * 2


def test_response_that_belongs_to_another_call_is_discarded():
    world = PoolWorld()
    connection = world.call(is_foreign=lambda response: response.status == 200)
    world.answer(connection, DELIVERED, after_ms=CROSSING_MS)
    assert not world.results
    world.answer(connection, REJECTED, after_ms=SERVICE_MS)
    assert world.statuses() == [503]
    assert world.transport(connection).closed


def _response(body: str) -> ResponseParser:
    response = http_result(200, body=body).response
    assert response is not None
    return response


def test_batch_response_that_names_a_message_keeps_its_connection():
    outcomes, pool = _start_batch()
    pool.calls[0][1](http_result(200, body='[{"id":"a","state":"ok"},{"id":"b","state":"error"}]'))
    assert not pool.peers_closed_idle
    assert len(outcomes) == 2


def _start_batch() -> tuple[list[AttemptResult], FakePool]:
    """Start a call of two messages; return the list that receives its results, and its pool."""
    pool, outcomes = FakePool(), list[AttemptResult]()
    directory = EndpointDirectory(lambda event: None)
    directory.apply(watch_event(1, endpoint_entry("s-1"), whole=True))
    transport = HttpAttemptTransport(directory, pool, ManualClock(), TransportSettings({"k": 10}))  # type: ignore[arg-type]
    messages = [OutgoingMessage("a", "", b"x"), OutgoingMessage("b", "", b"y")]
    is_wanted: Callable[[str], bool] = lambda message: True  # noqa: E731
    transport.start(1, messages, 9e9, None, outcomes.extend, is_wanted)
    assert pool.calls[0][0]
    return outcomes, pool


def play_copies(folder: Path, seed: int) -> EmulationResult:
    """Play a day on which a partner sends second copies of its responses, 3 to 45 ms after them."""
    copies = InjectedFault(1_000.0, FaultKind.RESPONSE_COPIES, partner_host(PARTNER), duration_ms=15_000.0)
    scenario = storm_scenario(0.9, partner=PartnerSettings(number=PARTNER), duration_ms=20_000.0)
    environment = Environment(LinkProfile(10.0, 3.0), faults=(copies,))
    return Emulation(scenario, seed, folder, environment=environment).play()


@pytest.mark.parametrize("seed", [3, 4, 9])
def test_emulation_with_second_copies_of_responses_loses_no_message(tmp_path: Path, seed: int):
    """Guards against responses that are shifted by one call: rejected messages counted as delivered."""
    played = play_copies(tmp_path, seed)
    assert (played.result.unended, played.result.double) == (0, 0)
    assert sum(played.violation_counts.values()) == 0
    assert played.result.refusals > 0, "some calls were rejected"


def test_emulation_with_second_copies_loses_messages_without_the_order_of_responses(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
):
    """Guards against an emulation in which no copy crosses a call, so that the test above could not fail."""
    monkeypatch.setattr(ResponseOrder, "precedes_request", lambda self, unacknowledged_bytes: False)
    monkeypatch.setattr(ResponseOrder, "hold_until_ms", lambda self, now_ms, status: None)
    assert play_copies(tmp_path, 3).result.unended > 0


@pytest.mark.parametrize("pieces", [(REJECTED,), (REJECTED[:20], REJECTED[20:])], ids=["whole", "in pieces"])
def test_rejection_on_a_new_connection_is_no_surplus_though_the_request_is_not_acknowledged(
    pieces: tuple[bytes, ...],
):
    """Guards against a rejection of the connection itself that is discarded: its call never ran."""
    world = PoolWorld()
    connection = world.call()
    assert world.transport(connection).unacknowledged
    for piece in pieces:
        feed(connection, piece)
    assert world.statuses() == [503]


def test_held_response_counts_at_the_end_of_the_process():
    """Guards against a delivered message that the next process sends again or fails."""
    world = PoolWorld()
    first = world.call()
    world.answer(first, DELIVERED, after_ms=SERVICE_MS)
    world.pass_time(MAX_SETTLE_MS)
    second = world.call()
    world.answer(second, DELIVERED, after_ms=CROSSING_MS)
    assert world.statuses() == [200]
    world.pool.accept_held_responses()
    assert world.statuses() == [200, 200]
    assert world.transport(second).closed, "a second response may still come"
