"""A client connection: a state machine with random steps, and single cases."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from winchspan.delivery.ports import NoReplication
from winchspan.net import resp
from winchspan.net.client_connection import (
    IDLE_LIMIT_MS,
    LINGER_MS,
    MAX_BAD_REQUESTS,
    READ_LIMIT_MS,
    REQUEST_LIMIT_MS,
    ClientConnection,
)
from winchspan.net.request_executor import MAX_REQUESTS_PER_CYCLE

from .network_fakes import (
    BAD_REQUESTS,
    PING,
    FakeIntake,
    HalfClosableTransport,
    client_connections,
    connect,
    connected_client,
    feed,
    pass_time,
    submit,
)


class ClientConnectionStates(RuleBasedStateMachine):
    """Requests in random pieces: each is answered once, in order, and no answered message is withdrawn."""

    def __init__(self) -> None:
        super().__init__()
        self.sent = 0
        self.connect()

    @precondition(lambda self: not self.transport.closed)
    @rule(count=st.integers(1, 60))
    def flood(self, count: int) -> None:
        """Many requests at once: no cycle answers more than its limit, and in the end all are answered."""
        self.finish()
        self.idle_ms = 0.0
        for _ in range(count):
            feed(self.connection, PING)
        before = len(self.answers)
        self.answers += [b"+PONG\r\n"] * count
        while self.transport.written != b"".join(self.answers):
            answered_before = self.transport.written.count(b"PONG")
            self.timers.run_due()
            assert 0 < self.transport.written.count(
                b"PONG"
            ) - answered_before <= MAX_REQUESTS_PER_CYCLE and before < len(self.answers)
        self.timers.run_due()
        assert self.transport.reading

    @rule(ms=st.sampled_from([100, 500, 900, 1_200, 2_000]))
    def time_passes(self, ms: int) -> None:
        """A connection without a request, or with a partial one, is closed at its time limit."""
        was_closed = self.transport.closed
        pass_time(self.connections, self.clock, self.timers, ms)
        self.idle_ms += ms
        if was_closed:
            return
        is_expired = self.idle_ms >= (REQUEST_LIMIT_MS if self.is_partial else IDLE_LIMIT_MS)
        if self.is_partial and is_expired:
            self.answers.append(resp.error_reply("ERR Protocol error: the request did not come whole"))
        assert self.transport.closed == is_expired

    @precondition(lambda self: self.transport.closed)
    @rule()
    def connect(self) -> None:
        self.intake, self.rest, self.idle_ms = FakeIntake(), b"", 0.0
        self.is_partial = False  # some bytes of a request are received, but not all
        self.connections, self.clock, self.timers = client_connections(self.intake)
        self.connection, self.transport = connect(self.connections)
        self.answers: list[bytes] = []

    @precondition(lambda self: not self.transport.closed)
    @rule(ping=st.booleans(), cut=st.integers(0, 110))
    def request(self, ping: bool, cut: int) -> None:
        self.finish()
        raw = b"*1\r\n$4\r\nping\r\n" if ping else submit(b"m%d" % self.sent)
        self.sent += 1
        feed(self.connection, raw[:cut])
        self.rest = raw[cut:]
        self.is_partial = bool(cut and self.rest)
        self.answer = b"+PONG\r\n" if ping else b"-BUSY 2000\r\n" if self.intake.busy else b"+OK\r\n"
        if cut:
            self.idle_ms = 0.0
        if not self.rest:
            self.answers.append(self.answer)

    @rule()
    def finish(self) -> None:
        """Receive the rest of a request, which only now is answered."""
        if self.rest and not self.transport.closed:
            self.idle_ms = 0.0
            feed(self.connection, self.rest)
            self.rest = b""
            self.is_partial = False
            self.answers.append(self.answer)

    @precondition(lambda self: not self.rest)
    @rule()
    def toggle_busy(self) -> None:
        self.intake.busy = not self.intake.busy

    @precondition(lambda self: not self.transport.closed and not self.rest)
    @rule()
    def malformed_request(self) -> None:
        feed(self.connection, b"GET / HTTP/1.1\r\n\r\n")
        assert self.transport.closed
        self.answers.append(self.transport.written[self.transport.written.rindex(b"-ERR") :])

    @invariant()
    def every_request_is_answered_in_order(self) -> None:
        assert self.transport.written == b"".join(self.answers) and not self.intake.withdrawn


TestClientConnectionStates = ClientConnectionStates.TestCase
TestClientConnectionStates.settings = settings(
    derandomize=True, deadline=None, max_examples=40, stateful_step_count=20
)


def test_client_connection_submits_with_binary_bodies_accepted_unchanged():
    connection, _, intake, _ = connected_client()
    feed(connection, submit() + submit(b"b2", b"00000000000000ff"))
    rest = (7, 50.5, "ff", b"\r\n\x00", False, False)
    assert intake.accepted_messages == [("a1", "x", None, *rest), ("b2", "x", 255, *rest)]
    for name, mark in ((b"c3", b"r=1"), (b"d4", b"again=1")):
        feed(connection, submit(name, names=b"c=x,d=50.5,k=ff,dest=7," + mark))
    assert [message[-2:] for message in intake.accepted_messages[2:]] == [(True, False), (False, True)]


def test_client_connection_bad_request_replies_error_and_delays_reading():
    connections, clock, timers = client_connections(intake := FakeIntake())
    connection, transport = connect(connections)
    for raw in BAD_REQUESTS:
        before = len(transport.written)
        feed(connection, raw)
        assert (
            transport.written[before:].startswith(b"-ERR ") and transport.written[before:].count(b"\r\n") == 1
        )
        assert not transport.reading  # guards against a client that repeats bad requests at full speed
        pass_time(connections, clock, timers, 100)
        assert transport.reading
    assert not intake.accepted_messages and not transport.closed


def test_client_connection_many_bad_requests_closed_in_one_cycle():
    connection, transport, _, _ = connected_client()
    feed(connection, BAD_REQUESTS[0] * 100)
    assert transport.closed and transport.written.count(b"-ERR") == MAX_BAD_REQUESTS


def test_client_connection_replies_unread_closed_after_limit():
    connections, clock, timers = client_connections(FakeIntake())
    connection, transport = connect(connections, stuck=True)
    feed(connection, submit())
    connection.pause_writing()
    pass_time(connections, clock, timers, READ_LIMIT_MS - 1)
    assert not transport.closed
    pass_time(connections, clock, timers, 1)
    assert transport.closed


def test_client_connection_lost_before_reply_is_sent_withdraws_message():
    connection, transport, intake, _ = connected_client(stuck=True)
    feed(connection, submit())
    connection.pause_writing()
    assert not transport.reading
    connection.connection_lost(None)
    assert intake.withdrawn == [0]
    connection, _, intake, _ = connected_client(stuck=True)
    feed(connection, submit())
    connection.resume_writing()
    connection.connection_lost(None)
    assert intake.withdrawn == []


@pytest.mark.parametrize(
    ("unsent_bytes", "withdrawn"), [(0, []), (1, [2]), (5, [2]), (6, [1, 2]), (15, [0, 1, 2])]
)
def test_client_connection_lost_in_pipeline_withdraws_only_messages_without_complete_reply(
    unsent_bytes: int, withdrawn: list[int]
):
    """Guards against withdrawing messages whose `+OK` has reached the client.

    The client does not submit them again elsewhere.
    """
    connection, transport, intake, _ = connected_client(stuck=True)
    transport.get_write_buffer_size = lambda: unsent_bytes  # type: ignore[method-assign]
    feed(connection, b"".join(submit(b"m%d" % i) for i in range(3)))
    connection.connection_lost(None)
    assert intake.withdrawn == withdrawn


def test_client_connection_lost_in_write_withdraws_message():
    connection, transport, intake, _ = connected_client()
    transport.writelines = lambda pieces: transport.abort()  # type: ignore[method-assign]
    feed(connection, submit())
    connection.connection_lost(None)
    assert intake.withdrawn == [0]


def test_client_connection_after_shutdown_takes_nothing_and_closes_after_linger():
    intake = FakeIntake()
    connections, clock, timers = client_connections(intake)
    connection, transport = ClientConnection(connections), HalfClosableTransport()
    connections.add(connection)
    connection.connection_made(transport)
    feed(connection, submit(b"first") + submit(b"part")[:40])
    connections.begin_shutdown()
    assert not transport.eof, "part of a request is received"
    connection.close(resp.error_reply("BUSY"))
    assert (
        transport.eof
        and connection.is_shut_down
        and not transport.closed
        and transport.written == b"+OK\r\n-BUSY\r\n"
    )
    feed(connection, submit(b"part")[40:] + submit(b"more") * 3_000)
    assert len(intake.accepted_messages) == 1 and transport.written == b"+OK\r\n-BUSY\r\n"
    pass_time(connections, clock, timers, LINGER_MS - 1)
    assert not transport.closed
    pass_time(connections, clock, timers, 2)
    assert transport.closed
    connection.connection_lost(None)
    assert not len(connections._connections) and not connections._budget.open_count and not intake.withdrawn


class HeldReplication(NoReplication):
    """Holds the records back until the test has them replicated."""

    def __init__(self) -> None:
        self.on_replicated: list[Callable[[], None]] = []

    def when_replicated(self, on_replicated: Callable[[], None], on_taken_over: Callable[[], None]) -> None:
        self.on_replicated.append(on_replicated)


# Guards against a client that leaves while its message is replicated: nobody heard +OK, and it was sent on.
@pytest.mark.parametrize(
    ("has_left", "is_at_most_once", "reply", "withdrawn"),
    [(False, False, b"+OK", []), (True, False, b"-BUSY", [0]), (True, True, b"+OK", [])],
)
def test_client_connection_whose_client_leaves_during_replication_withdraws_what_may_be_repeated(
    monkeypatch: pytest.MonkeyPatch, has_left: bool, is_at_most_once: bool, reply: bytes, withdrawn: list[int]
):
    connection, transport, intake, connections = connected_client()
    connections.replication = replication = HeldReplication()
    intake.is_at_most_once = lambda handle: is_at_most_once  # type: ignore[attr-defined]
    feed(connection, submit())
    monkeypatch.setattr(ClientConnection, "_has_client_closed", lambda self: has_left)
    replication.on_replicated.pop()()
    assert bytes(transport.written).startswith(reply)
    connection.connection_lost(None)
    assert intake.withdrawn == withdrawn
