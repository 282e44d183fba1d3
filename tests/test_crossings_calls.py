"""Races during a call: at its connect, first and last byte, response, and the end of its messages."""

from __future__ import annotations

import contextlib
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

from .loopback import (
    HOST,
    Call,
    CourierHarness,
    Server,
    encode_submit,
    message_class,
    reset_connection,
    wait_for,
)

JOURNAL_LIMIT_BYTES = 1_000_000
SLOWEST_RESPONSE_SECONDS = 1.5
LATE_IN_STOP_SECONDS = 2.2  # shortly before the last attempts of a stop
SLOW_PLATFORM_SECONDS = 0.15  # between a notification and its acknowledgement


@pytest.fixture
def harness(tmp_path: Path) -> Iterator[CourierHarness]:
    found = CourierHarness(tmp_path)
    yield found
    found.close()


class FullBacklogServer(Server):
    """A server with a full backlog: the kernel retries a connect until the server accepts."""

    def __init__(self) -> None:
        super().__init__(backlog=0, is_accepting=False)
        self.backlog_client = socket.create_connection((HOST, self.port))

    def start_accepting(self) -> None:
        self.accepting.set()


def test_connect_that_completes_after_a_message_returned_sends_only_the_other_messages(
    harness: CourierHarness,
):
    """Guards against sending a message after its final notification.

    The message returns while the call's connection is still being established; the other messages of the call
    are sent then.
    """
    harness.configure(limits_connect_timeout_ns=30 * 10**9)
    full_server = FullBacklogServer()
    harness.list_endpoint("s-1", full_server)
    try:
        harness.start()
        client = harness.connect_client()
        client.send(
            encode_submit("early", remaining_ms=500) + encode_submit("late-1") + encode_submit("late-2")
        )
        assert [client.read_line() for _ in range(3)] == [b"+OK\r\n"] * 3
        harness.wait_for_notification("early", "returned")
        assert not full_server.calls
        full_server.start_accepting()
        (call,) = harness.wait_for_calls(1, full_server)
        assert sorted(call.ids) == ["late-1", "late-2"]
        call.answer()
        harness.submit(encode_submit("next"))
        assert harness.wait_for_calls(2, full_server)[1].ids == ["next"], "no message is left behind"
        assert "early" not in full_server.message_ids()
    finally:
        full_server.close()


def submit_together(harness: CourierHarness, *requests: bytes) -> None:
    """Submit messages in one write, so that they are sent in one call."""
    client = harness.connect_client()
    client.send(b"".join(requests))
    assert [client.read_line() for _ in requests] == [b"+OK\r\n"] * len(requests)


def test_call_is_aborted_when_one_of_its_messages_returns(harness: CourierHarness):
    """Guards against waiting for the response of a call after one of its messages has returned.

    A hanging endpoint responded 300 ms after the deadline of one message, and the delivery of the other
    messages was not counted.
    """
    harness.start()
    submit_together(harness, encode_submit("brief", remaining_ms=500), encode_submit("other"))
    (call,) = harness.wait_for_calls(1)
    assert sorted(call.ids) == ["brief", "other"]
    harness.wait_for_notification("brief")
    again = harness.wait_for_calls(2)[1]  # the connection is closed, and the other message is retried
    assert again.ids == ["other"] and not call.connection.recv(1)
    again.answer()
    harness.submit(encode_submit("next"))
    assert harness.wait_for_calls(3)[2].ids == ["next"]


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
    harness: CourierHarness, part: bytes, ends: str
):
    """Guards against a wrong outcome of a partial response.

    A status line with 200 is a delivery. After any other partial response the message may have been executed,
    and is retried only if its class allows it.
    """
    harness.start()
    before = harness.descriptor_count()
    harness.submit(encode_submit("once", "once"))
    (call,) = harness.wait_for_calls(1)
    call.write(part)
    if ends == "reset":
        wait_for("the response is read", lambda: unread_byte_count(call.connection) == 0)
        reset_connection(call.connection)
    elif ends == "closed":
        call.connection.shutdown(socket.SHUT_WR)
    harness.submit(encode_submit("plain"))
    assert harness.wait_for_calls(2)[1].ids == ["plain"]
    harness.wait_for_calls(2)[1].answer()
    if not part.startswith(b"HTTP/1.1 200"):
        harness.wait_for_notification("once", "failed")
    assert harness.endpoint.message_ids() == ["once", "plain"] and (
        part.startswith(b"HTTP/1.1 200") == (harness.discovery.final_state("once") is None)
    )
    wait_for("the descriptors are closed", lambda: harness.descriptor_count() <= before + 2)


# Guards against calls during a backoff whose response is cut off or never ends.
@pytest.mark.parametrize("ends", ["reset", "closed", "silent"])
def test_backoff_of_an_incomplete_response_is_respected(harness: CourierHarness, ends: str):
    harness.start()
    harness.submit(encode_submit("first"))
    (call,) = harness.wait_for_calls(1)
    call.write(b"HTTP/1.1 429 x\r\nX-RateLimit-Wait-Ms: 1500\r\nContent-Length: 5\r\n\r\nab")
    response_at = time.monotonic()
    wait_for("the response is read", lambda: unread_byte_count(call.connection) == 0)
    if ends == "reset":
        reset_connection(call.connection)
    elif ends == "closed":
        call.connection.shutdown(socket.SHUT_WR)
    harness.submit(encode_submit("second"))
    harness.wait_for_calls(2)
    assert time.monotonic() > response_at + 1.4  # calls may start up to 100 ms before the backoff ends


def unread_byte_count(link: socket.socket) -> int:
    """Return the number of sent bytes that the peer has not read yet."""
    return struct.unpack("i", fcntl.ioctl(link.fileno(), termios.TIOCOUTQ, b"\0" * 4))[0]


def test_surplus_bytes_after_a_response_close_the_connection_and_affect_no_other_message(
    harness: CourierHarness,
):
    harness.start()
    harness.submit(encode_submit("first"))
    (call,) = harness.wait_for_calls(1)
    call.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    harness.submit(encode_submit("second", "once"))
    second = harness.wait_for_calls(2)[1]
    assert second.ids == ["second"] and second.connection is not call.connection
    second.answer(500)
    harness.wait_for_notification("second", "failed")


@pytest.mark.parametrize("how", ["closed", "reset"])
def test_idle_connection_closed_by_its_endpoint_loses_no_message(harness: CourierHarness, how: str):
    """The close may be read before the next call, or arrive while that call is sent."""
    harness.start()
    for turn in range(8):
        harness.submit(encode_submit(f"a{turn}"))
        call = harness.wait_for_calls(2 * turn + 1)[2 * turn]
        call.answer()
        wait_for("the response is read", lambda call=call: unread_byte_count(call.connection) == 0)
        if how == "closed":
            call.connection.close()
        else:
            reset_connection(call.connection)
        harness.submit(encode_submit(f"b{turn}"))
        harness.wait_for_calls(2 * turn + 2)[2 * turn + 1].answer()
    assert harness.endpoint.message_ids() == [f"{x}{turn}" for turn in range(8) for x in "ab"]


def test_reset_long_after_the_request_fails_a_message_that_may_run_only_once(harness: CourierHarness):
    harness.start()
    harness.submit(encode_submit("once", "once"))
    (call,) = harness.wait_for_calls(1)
    harness.submit(encode_submit("plain"))
    harness.wait_for_calls(2)[1].answer()
    reset_connection(call.connection)
    harness.wait_for_notification("once", "failed")
    harness.submit(encode_submit("next"))
    harness.wait_for_calls(3)[2].answer()
    assert harness.endpoint.message_ids() == ["once", "plain", "next"]


def attempt_is_recorded(harness: CourierHarness, message_id: str) -> bool:
    """Return whether the journal of a killed courier records an attempt of a message."""
    copy = harness.folder / "state after the kill"
    shutil.copytree(harness.folder / "state", copy)
    journal = Journal(copy, JOURNAL_LIMIT_BYTES)
    (entry,) = (entry for entry in journal.open_messages if entry.id == message_id)
    journal.close()
    return entry.in_flight_since_ms is not None


@pytest.mark.parametrize("cls", ["plain", "once", "keyed"])
def test_kill_right_after_the_reply_to_a_submit_loses_no_message(harness: CourierHarness, cls: str):
    harness.start()
    client = harness.connect_client()
    assert client.request(encode_submit("taken", cls, key=5)) == b"+OK\r\n"
    harness.kill()
    harness.endpoint.on_call = lambda call: call.answer()
    has_started = attempt_is_recorded(harness, "taken")
    tried = len(harness.endpoint.calls)
    assert has_started or not tried, "an attempt is recorded before its first byte"
    harness.start()
    if has_started and cls == "once":
        harness.wait_for_notification("taken", "failed")  # the call may have been executed, read or not
        assert len(harness.endpoint.calls) <= 1
    else:
        wait_for("it is delivered", lambda: len(harness.endpoint.calls) > tried)


@pytest.mark.parametrize("cls", ["plain", "once", "keyed"])
def test_call_written_before_a_kill_is_retried_only_if_its_class_allows_it(harness: CourierHarness, cls: str):
    harness.start()
    harness.submit(encode_submit("tried", cls, key=5, token="beef"))
    (call,) = harness.wait_for_calls(1)
    harness.kill()
    harness.start()
    if cls == "once":
        harness.wait_for_notification("tried", "failed")
        assert len(harness.endpoint.calls) == 1
    else:
        again = harness.wait_for_calls(2)[1]
        assert again.headers["idempotency-key"] == call.headers["idempotency-key"] == "beef"
        again.answer()


def test_call_waiting_for_its_connection_at_a_kill_fails_a_message_allowed_to_run_once(
    harness: CourierHarness,
):
    """Guards against a second execution of a message that may run only once.

    The journal records the start of the attempt, but not that no byte was sent.
    """
    full_server = FullBacklogServer()
    harness.list_endpoint("s-1", full_server)
    harness.configure(limits_connect_timeout_ns=30 * 10**9)
    try:
        harness.start()
        harness.submit(encode_submit("once", "once"), encode_submit("plain"))
        wait_for("both attempts have started", lambda: "'plain', 1" in harness.read_log())
        harness.kill()
        full_server.start_accepting()
        harness.start()
        harness.wait_for_notification("once", "failed")
        assert harness.wait_for_calls(1, full_server)[0].ids == ["plain"]
    finally:
        full_server.close()


def test_retry_of_a_keyed_message_is_sent_within_its_one_second_window_and_never_later(tmp_path: Path):
    """Also after a restart: the endpoint would execute a retry after the window a second time."""
    window = message_class("keyed", "by_key", window_ns=10**9, group="all", in_order=True)
    for late in (False, True):
        (tmp_path / str(late)).mkdir()
        harness = CourierHarness(tmp_path / str(late), request_classes=[window])
        try:
            harness.start()
            harness.submit(encode_submit("first", "keyed", key=3, remaining_ms=1_500 if late else 60_000))
            began = time.monotonic()
            (call,) = harness.wait_for_calls(1)
            if late:
                harness.wait_for_notification("first")  # no response within the window: it fails
                assert len(harness.endpoint.calls) == 1
            else:
                call.answer(500)
                again = harness.wait_for_calls(2)[1]
                assert time.monotonic() - began < 1.0
                again.answer()
                wait_for("the response is read", lambda w=harness: "['delivered']" in w.read_log())
            harness.kill()
            harness.start()
            harness.submit(encode_submit("second", "keyed", key=3))
            wait_for(
                "the next message of the key is sent", lambda w=harness: "second" in w.endpoint.message_ids()
            )
            assert harness.endpoint.message_ids().count("first") == (1 if late else 2)
        finally:
            harness.close()


def test_connect_that_completes_after_its_endpoint_drains_sends_no_message(harness: CourierHarness):
    full_server, other = FullBacklogServer(), Server()
    other.on_call = lambda call: call.answer()
    harness.list_endpoint("s-1", full_server)
    harness.configure(limits_connect_timeout_ns=30 * 10**9)
    try:
        harness.start()
        wait_for("the watch is open", lambda: harness.discovery.watches)
        harness.submit(encode_submit("moved", "once"))
        wait_for("the attempt has started", lambda: "'moved', 1" in harness.read_log())
        watch = harness.discovery.watches[-1]
        harness.discovery.send_chunk(watch, harness.discovery.change_endpoint("s-1", health="draining"))
        harness.discovery.send_chunk(watch, harness.list_endpoint("s-2", other))
        assert harness.wait_for_calls(1, other)[0].ids == ["moved"], (
            "it was not sent, and may use another endpoint"
        )
        full_server.start_accepting()
        harness.submit(encode_submit("next"))
        harness.wait_for_calls(2, other)
        assert not full_server.calls
    finally:
        full_server.close()
        other.close()


@pytest.mark.parametrize("cls", ["plain", "once", "keyed"])
def test_call_waiting_for_its_connection_at_a_stop_is_sent_after_the_restart(
    harness: CourierHarness, cls: str
):
    """Guards against treating an attempt that was never sent as possibly executed.

    A message that may run only once failed without a call.
    """
    full_server = FullBacklogServer()
    harness.list_endpoint("s-1", full_server)
    harness.configure(limits_connect_timeout_ns=30 * 10**9)
    try:
        harness.start()
        harness.submit(encode_submit("waits", cls, key=2))
        wait_for("the attempt has started", lambda: "'waits', 1" in harness.read_log())
        harness.send_signal(signal.SIGTERM)
        assert harness.wait_for_exit() == 0 and not full_server.calls
        full_server.start_accepting()
        harness.start()
        assert harness.wait_for_calls(1, full_server)[0].ids == ["waits"]
    finally:
        full_server.close()


def test_messages_undelivered_at_a_stop_are_sent_after_the_restart(harness: CourierHarness):
    harness.start()
    harness.submit(
        encode_submit("first", "keyed", key=6, token="aa"), encode_submit("second", "keyed", key=6)
    )
    harness.wait_for_calls(1)
    harness.send_signal(signal.SIGTERM)
    assert harness.wait_for_exit() == 0  # the first call has no response; the second message was not sent
    harness.endpoint.on_call = lambda call: call.answer()
    harness.start()
    wait_for(
        "both messages are delivered", lambda: harness.endpoint.message_ids() == ["first", "first", "second"]
    )
    assert harness.endpoint.calls[1].headers["idempotency-key"] == "aa"


@pytest.mark.parametrize("how", [signal.SIGTERM, signal.SIGKILL])
def test_unacknowledged_notification_is_sent_again_after_the_restart(
    harness: CourierHarness, how: signal.Signals
):
    default_handler, harness.discovery.on_notification = harness.discovery.on_notification, lambda call: None
    harness.start()
    harness.submit(encode_submit("brief", remaining_ms=300))
    harness.wait_for_notification("brief")
    harness.send_signal(how)
    harness.wait_for_exit()
    harness.discovery.notifications.clear()
    harness.discovery.on_notification = default_handler
    harness.start()
    harness.wait_for_notification("brief")
    harness.submit(encode_submit("other", remaining_ms=300))
    harness.wait_for_notification("other")  # one request at a time: the previous one is acknowledged
    harness.kill()
    harness.discovery.notifications.clear()
    harness.start()
    harness.submit(encode_submit("next", remaining_ms=300))
    harness.wait_for_notification("next")
    assert harness.discovery.final_state("brief") is None, "an acknowledged notification is not sent again"


def test_message_whose_time_ends_while_its_response_is_held_is_delivered(harness: CourierHarness):
    """Guards against a notification of a message that was delivered, as its response was fast."""
    harness.list_endpoint("s-8", harness.endpoint, dest=8)
    harness.discovery.change_endpoint("s-8", health="draining")
    harness.start()
    harness.submit(encode_submit("slow"))
    (slow,) = harness.wait_for_calls(1)
    time.sleep(SLOWEST_RESPONSE_SECONDS)
    slow.answer()
    harness.submit(
        encode_submit("held", remaining_ms=1_200), encode_submit("later", dest=8, remaining_ms=1_600)
    )
    call = harness.wait_for_calls(2)[1]
    assert call.ids == ["held"]
    call.answer()
    harness.wait_for_notification("later", "returned")
    assert harness.discovery.final_state("held") is None


def test_message_whose_response_is_held_at_the_end_of_a_stop_is_not_sent_again(harness: CourierHarness):
    """Guards against a delivery that is forgotten, as its response was fast."""
    harness.configure(family_info=harness.config["settings"]["family_info"] | {"workers": 1})
    harness.start()
    harness.submit(encode_submit("slow"))
    (slow,) = harness.wait_for_calls(1)
    harness.submit(encode_submit("held"))
    harness.send_signal(signal.SIGTERM)
    time.sleep(LATE_IN_STOP_SECONDS)
    slow.answer()
    call = harness.wait_for_calls(2)[1]
    assert call.ids == ["held"]
    call.answer()
    assert harness.wait_for_exit() == 0
    assert "response 200 is held" in harness.read_log()
    harness.endpoint.on_call = Call.answer
    harness.start()
    harness.submit(encode_submit("next"))
    wait_for("the next message", lambda: "next" in harness.endpoint.message_ids())
    assert harness.endpoint.message_ids().count("held") == 1


def test_notification_is_acknowledged_though_the_platform_answers_late(harness: CourierHarness):
    """Guards against a notification that is given up each time before a slow platform has answered it."""

    def answer_late(call: Call) -> None:
        time.sleep(SLOW_PLATFORM_SECONDS)
        with contextlib.suppress(OSError):
            call.write(b"HTTP/1.1 204 x\r\n\r\n")

    harness.discovery.on_notification = answer_late
    harness.start()
    harness.submit(encode_submit("brief", remaining_ms=300))
    harness.wait_for_notification("brief")
    time.sleep(1.0)
    count = len(harness.discovery.notifications)
    time.sleep(1.0)
    assert len(harness.discovery.notifications) == count
