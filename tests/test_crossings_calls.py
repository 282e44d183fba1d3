"""Races during a call: at its connect, first and last byte, response, and the end of its messages."""

from __future__ import annotations

import fcntl
import shutil
import signal
import socket
import struct
import termios
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from winchspan.storage.journal import Journal

from .loopback import HOST, Loopback, Server, message_class, reset, submit, wait_for

JOURNAL_LIMIT_BYTES = 1_000_000


@pytest.fixture
def world(tmp_path: Path) -> Iterator[Loopback]:
    found = Loopback(tmp_path)
    yield found
    found.close()


class FullBacklogServer(Server):
    """A server with a full backlog: the kernel retries a connect until the server accepts."""

    def __init__(self) -> None:
        super().__init__(backlog=0, takes=False)
        self.backlog_client = socket.create_connection((HOST, self.port))

    def start_accepting(self) -> None:
        self.takes.set()


def test_connect_that_completes_after_a_message_returned_sends_only_the_other_messages(world: Loopback):
    """Guards against sending a message after its final notification.

    The message returns while the call's connection is still being established; the other messages of the call
    are sent then.
    """
    world.set(limits_connect_timeout_ns=30 * 10**9)
    full_server = FullBacklogServer()
    world.list_endpoint("s-1", full_server)
    try:
        world.start()
        client = world.client()
        client.send(submit("early", left=500) + submit("late-1") + submit("late-2"))
        assert [client.line() for _ in range(3)] == [b"+OK\r\n"] * 3
        world.ended("early", "returned")
        assert not full_server.calls
        full_server.start_accepting()
        (call,) = world.calls(1, full_server)
        assert sorted(call.ids) == ["late-1", "late-2"]
        call.answer()
        world.take(submit("next"))
        assert world.calls(2, full_server)[1].ids == ["next"], "no message is left behind"
        assert "early" not in full_server.begun()
    finally:
        full_server.close()


def submit_together(world: Loopback, *requests: bytes) -> None:
    """Submit messages in one write, so that they are sent in one call."""
    client = world.client()
    client.send(b"".join(requests))
    assert [client.line() for _ in requests] == [b"+OK\r\n"] * len(requests)


def test_call_is_aborted_when_one_of_its_messages_returns(world: Loopback):
    """Guards against waiting for the response of a call after one of its messages has returned.

    A hanging endpoint responded 300 ms after the deadline of one message, and the delivery of the other
    messages was not counted.
    """
    world.start()
    submit_together(world, submit("brief", left=500), submit("other"))
    (call,) = world.calls(1)
    assert sorted(call.ids) == ["brief", "other"]
    world.ended("brief")
    again = world.calls(2)[1]  # the connection is closed, and the other message is retried
    assert again.ids == ["other"] and not call.link.recv(1)
    again.answer()
    world.take(submit("next"))
    assert world.calls(3)[2].ids == ["next"]


@pytest.mark.parametrize(
    "part",
    [
        b"HTTP/1.1 50",
        b"HTTP/1.1 500 x\r\nContent-Length: 5\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"garbage\r\n\r\n",
        b"HTTP/1.1 500 x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
    ],
)
@pytest.mark.parametrize("ends", ["reset", "closed", "silent"])
def test_partial_response_completes_its_attempt_however_the_connection_ends(
    world: Loopback, part: bytes, ends: str
):
    """Guards against a wrong outcome of a partial response.

    A status line with 200 is a delivery. After any other partial response the message may have been executed,
    and is retried only if its class allows it.
    """
    world.start()
    before = world.descriptors()
    world.take(submit("once", "once"))
    (call,) = world.calls(1)
    call.write(part)
    if ends == "reset":
        wait_for("the response is read", lambda: unread_byte_count(call.link) == 0)
        reset(call.link)
    elif ends == "closed":
        call.link.shutdown(socket.SHUT_WR)
    world.take(submit("plain"))
    assert world.calls(2)[1].ids == ["plain"]
    world.calls(2)[1].answer()
    if not part.startswith(b"HTTP/1.1 200"):
        world.ended("once", "failed")
    assert world.endpoint.begun() == ["once", "plain"] and (
        part.startswith(b"HTTP/1.1 200") == (world.agent.ended("once") is None)
    )
    wait_for("the descriptors are closed", lambda: world.descriptors() <= before + 2)


# Guards against calls during a backoff whose response is cut off or never ends.
@pytest.mark.parametrize("ends", ["reset", "closed", "silent"])
def test_backoff_of_an_incomplete_response_is_respected(world: Loopback, ends: str):
    world.start()
    world.take(submit("first"))
    (call,) = world.calls(1)
    call.write(b"HTTP/1.1 429 x\r\nX-RateLimit-Wait-Ms: 1500\r\nContent-Length: 5\r\n\r\nab")
    response_at = time.monotonic()
    wait_for("the response is read", lambda: unread_byte_count(call.link) == 0)
    if ends == "reset":
        reset(call.link)
    elif ends == "closed":
        call.link.shutdown(socket.SHUT_WR)
    world.take(submit("second"))
    world.calls(2)
    assert time.monotonic() > response_at + 1.4  # calls may start up to 100 ms before the backoff ends


def unread_byte_count(link: socket.socket) -> int:
    """Return the number of sent bytes that the peer has not read yet."""
    return struct.unpack("i", fcntl.ioctl(link.fileno(), termios.TIOCOUTQ, b"\0" * 4))[0]


def test_surplus_bytes_after_a_response_close_the_connection_and_affect_no_other_message(world: Loopback):
    world.start()
    world.take(submit("first"))
    (call,) = world.calls(1)
    call.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    world.take(submit("second", "once"))
    second = world.calls(2)[1]
    assert second.ids == ["second"] and second.link is not call.link
    second.answer(500)
    world.ended("second", "failed")


@pytest.mark.parametrize("how", ["closed", "reset"])
def test_idle_connection_closed_by_its_endpoint_loses_no_message(world: Loopback, how: str):
    """The close may be read before the next call, or arrive while that call is sent."""
    world.start()
    for turn in range(8):
        world.take(submit(f"a{turn}"))
        call = world.calls(2 * turn + 1)[2 * turn]
        call.answer()
        wait_for("the response is read", lambda call=call: unread_byte_count(call.link) == 0)
        if how == "closed":
            call.link.close()
        else:
            reset(call.link)
        world.take(submit(f"b{turn}"))
        world.calls(2 * turn + 2)[2 * turn + 1].answer()
    assert world.endpoint.begun() == [f"{x}{turn}" for turn in range(8) for x in "ab"]


def test_reset_long_after_the_request_fails_a_message_that_may_run_only_once(world: Loopback):
    world.start()
    world.take(submit("once", "once"))
    (call,) = world.calls(1)
    world.take(submit("plain"))
    world.calls(2)[1].answer()
    reset(call.link)
    world.ended("once", "failed")
    world.take(submit("next"))
    world.calls(3)[2].answer()
    assert world.endpoint.begun() == ["once", "plain", "next"]


def attempt_is_recorded(world: Loopback, message_id: str) -> bool:
    """Return whether the journal of a killed courier records an attempt of a message."""
    copy = world.folder / "state after the kill"
    shutil.copytree(world.folder / "state", copy)
    journal = Journal(copy, JOURNAL_LIMIT_BYTES)
    (entry,) = (entry for entry in journal.open_messages if entry.id == message_id)
    journal.close()
    return entry.in_flight_since_ms is not None


@pytest.mark.parametrize("cls", ["plain", "once", "keyed"])
def test_kill_right_after_the_reply_to_a_submit_loses_no_message(world: Loopback, cls: str):
    world.start()
    client = world.client()
    assert client.ask(submit("taken", cls, key=5)) == b"+OK\r\n"
    world.kill()
    world.endpoint.on_call = lambda call: call.answer()
    has_started = attempt_is_recorded(world, "taken")
    tried = len(world.endpoint.calls)
    assert has_started or not tried, "an attempt is recorded before its first byte"
    world.start()
    if has_started and cls == "once":
        world.ended("taken", "failed")  # the call may have been executed, read or not
        assert len(world.endpoint.calls) <= 1
    else:
        wait_for("it is delivered", lambda: len(world.endpoint.calls) > tried)


@pytest.mark.parametrize("cls", ["plain", "once", "keyed"])
def test_call_written_before_a_kill_is_retried_only_if_its_class_allows_it(world: Loopback, cls: str):
    world.start()
    world.take(submit("tried", cls, key=5, token="beef"))
    (call,) = world.calls(1)
    world.kill()
    world.start()
    if cls == "once":
        world.ended("tried", "failed")
        assert len(world.endpoint.calls) == 1
    else:
        again = world.calls(2)[1]
        assert again.headers["idempotency-key"] == call.headers["idempotency-key"] == "beef"
        again.answer()


def test_call_waiting_for_its_connection_at_a_kill_fails_a_message_allowed_to_run_once(world: Loopback):
    """Guards against a second execution of a message that may run only once.

    The journal records the start of the attempt, but not that no byte was sent.
    """
    full_server = FullBacklogServer()
    world.list_endpoint("s-1", full_server)
    world.set(limits_connect_timeout_ns=30 * 10**9)
    try:
        world.start()
        world.take(submit("once", "once"), submit("plain"))
        wait_for("both attempts have started", lambda: "'plain', 1" in world.log())
        world.kill()
        full_server.start_accepting()
        world.start()
        world.ended("once", "failed")
        assert world.calls(1, full_server)[0].ids == ["plain"]
    finally:
        full_server.close()


def test_retry_of_a_keyed_message_is_sent_within_its_one_second_window_and_never_later(tmp_path: Path):
    """Also after a restart: the endpoint would execute a retry after the window a second time."""
    window = message_class("keyed", "by_key", window_ns=10**9, group="all", in_order=True)
    for late in (False, True):
        (tmp_path / str(late)).mkdir()
        world = Loopback(tmp_path / str(late), request_classes=[window])
        try:
            world.start()
            world.take(submit("first", "keyed", key=3, left=1_500 if late else 60_000))
            began = time.monotonic()
            (call,) = world.calls(1)
            if late:
                world.ended("first")  # no response within the window: it fails
                assert len(world.endpoint.calls) == 1
            else:
                call.answer(500)
                again = world.calls(2)[1]
                assert time.monotonic() - began < 1.0
                again.answer()
                wait_for("the response is read", lambda w=world: "['delivered']" in w.log())
            world.kill()
            world.start()
            world.take(submit("second", "keyed", key=3))
            wait_for("the next message of the key is sent", lambda w=world: "second" in w.endpoint.begun())
            assert world.endpoint.begun().count("first") == (1 if late else 2)
        finally:
            world.close()


def test_connect_that_completes_after_its_endpoint_drains_sends_no_message(world: Loopback):
    full_server, other = FullBacklogServer(), Server()
    other.on_call = lambda call: call.answer()
    world.list_endpoint("s-1", full_server)
    world.set(limits_connect_timeout_ns=30 * 10**9)
    try:
        world.start()
        wait_for("the watch is open", lambda: world.agent.watches)
        world.take(submit("moved", "once"))
        wait_for("the attempt has started", lambda: "'moved', 1" in world.log())
        watch = world.agent.watches[-1]
        world.agent.chunk(watch, world.agent.change("s-1", health="draining"))
        world.agent.chunk(watch, world.list_endpoint("s-2", other))
        assert world.calls(1, other)[0].ids == ["moved"], "it was not sent, and may use another endpoint"
        full_server.start_accepting()
        world.take(submit("next"))
        world.calls(2, other)
        assert not full_server.calls
    finally:
        full_server.close()
        other.close()


@pytest.mark.parametrize("cls", ["plain", "once", "keyed"])
def test_call_waiting_for_its_connection_at_a_stop_is_sent_after_the_restart(world: Loopback, cls: str):
    """Guards against treating an attempt that was never sent as possibly executed.

    A message that may run only once failed without a call.
    """
    full_server = FullBacklogServer()
    world.list_endpoint("s-1", full_server)
    world.set(limits_connect_timeout_ns=30 * 10**9)
    try:
        world.start()
        world.take(submit("waits", cls, key=2))
        wait_for("the attempt has started", lambda: "'waits', 1" in world.log())
        world.signal(signal.SIGTERM)
        assert world.end() == 0 and not full_server.calls
        full_server.start_accepting()
        world.start()
        assert world.calls(1, full_server)[0].ids == ["waits"]
    finally:
        full_server.close()


def test_messages_undelivered_at_a_stop_are_sent_after_the_restart(world: Loopback):
    world.start()
    world.take(submit("first", "keyed", key=6, token="aa"), submit("second", "keyed", key=6))
    world.calls(1)
    world.signal(signal.SIGTERM)
    assert world.end() == 0  # the first call has no response; the second message was not sent
    world.endpoint.on_call = lambda call: call.answer()
    world.start()
    wait_for("both messages are delivered", lambda: world.endpoint.begun() == ["first", "first", "second"])
    assert world.endpoint.calls[1].headers["idempotency-key"] == "aa"


@pytest.mark.parametrize("how", [signal.SIGTERM, signal.SIGKILL])
def test_unacknowledged_notification_is_sent_again_after_the_restart(world: Loopback, how: signal.Signals):
    default_handler, world.agent.on_notice = world.agent.on_notice, lambda call: None
    world.start()
    world.take(submit("brief", left=300))
    world.ended("brief")
    world.signal(how)
    world.end()
    world.agent.notices.clear()
    world.agent.on_notice = default_handler
    world.start()
    world.ended("brief")
    world.take(submit("other", left=300))
    world.ended("other")  # one request at a time: the previous one is acknowledged
    world.kill()
    world.agent.notices.clear()
    world.start()
    world.take(submit("next", left=300))
    world.ended("next")
    assert world.agent.ended("brief") is None, "an acknowledged notification is not sent again"
