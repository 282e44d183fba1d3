"""Races on client connections: requests in pieces, floods, closes by either side, and signals."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from .loopback import PING, Client, CourierHarness, encode_submit, reset_connection, wait_for

SIGKILL_DELAY_SECONDS = 3.7  # between SIGTERM and SIGKILL


@pytest.fixture
def harness(tmp_path: Path) -> Iterator[CourierHarness]:
    found = CourierHarness(tmp_path)
    found.endpoint.on_call = lambda call: call.answer()
    yield found
    found.close()


def read_to_end(client: Client) -> bytes:
    """Return all bytes until the connection is closed; a reset raises an error."""
    return client.connection.makefile("rb").read()


def test_request_in_two_pieces_is_answered_for_every_split(harness: CourierHarness):
    harness.start()
    client, raw = harness.connect_client(), encode_submit("m" + "0" * 3)
    for cut in range(1, len(raw)):
        request = encode_submit(f"m{cut:03}", token="ab")
        client.send(request[:cut])
        client.send(request[cut:])
        assert client.read_line() == b"+OK\r\n"
    wait_for("all messages are delivered", lambda: len(set(harness.endpoint.message_ids())) == len(raw) - 1)


def test_bytes_received_during_a_close_do_not_reset_the_connection_before_its_reply(harness: CourierHarness):
    """Guards against closing a connection with unread bytes: the reset overtook the reply."""
    harness.start()
    before = harness.descriptor_count()
    for _ in range(20):
        client = harness.connect_client()
        client.send(b"nonsense\r\n" + b"x" * 300_000)
        assert client.read_line().startswith(b"-ERR") and read_to_end(client) == b""
        client.close()
    wait_for("the descriptors are closed", lambda: harness.descriptor_count() <= before)


def test_request_after_the_close_of_an_idle_connection_is_not_accepted(harness: CourierHarness):
    harness.start()
    client = harness.connect_client()
    assert client.request(PING) == b"+PONG\r\n"
    assert read_to_end(client) == b""  # closed at its idle limit
    client.send(encode_submit("late"))
    harness.submit(encode_submit("next"))
    wait_for("the next message is delivered", lambda: harness.endpoint.message_ids())
    assert harness.endpoint.message_ids() == ["next"] and "'late'" not in harness.read_log()


def test_stop_answers_a_partial_request_and_accepts_none_after_the_close(harness: CourierHarness):
    harness.start()
    begun, idle, raw = harness.connect_client(), harness.connect_client(), encode_submit("begun")
    assert idle.request(PING) == b"+PONG\r\n"
    begun.send(raw[:40])
    assert (
        harness.connect_client().request(PING) == b"+PONG\r\n"
    )  # the courier has read the earlier piece by now
    harness.send_signal(signal.SIGTERM)
    assert read_to_end(idle) == b""
    idle.send(encode_submit("late"))
    begun.send(raw[40:])
    assert begun.read_line() == b"+OK\r\n" and read_to_end(begun) == b""
    assert harness.wait_for_exit() == 0
    assert harness.endpoint.message_ids() == ["begun"]


# Guards against dropping the request of a client that connected before the listening socket was closed.
def test_first_request_after_the_end_of_listening_is_answered(harness: CourierHarness):
    harness.start()
    harness.send_signal(signal.SIGTERM)
    wait_for("the courier is stopping", lambda: "stopping" in harness.read_log())
    late_clients: list[Client] = []

    def is_refused() -> bool:
        try:
            late_clients.append(harness.connect_client())
        except ConnectionRefusedError:
            return True
        return False

    wait_for("connects are refused", is_refused)
    late_clients[-1].send(encode_submit("behind"))
    assert late_clients[-1].read_line() == b"+OK\r\n" and read_to_end(late_clients[-1]) == b""
    assert harness.wait_for_exit() == 0


def test_incomplete_request_is_answered_at_shutdown(harness: CourierHarness):
    """Guards against closing the connection at the end of the process without a reply."""
    harness.start()
    client = harness.connect_client()
    assert client.request(PING) == b"+PONG\r\n"
    harness.send_signal(signal.SIGTERM)
    wait_for("the courier is stopping", lambda: "stopping" in harness.read_log())
    other = harness.connect_client()
    other.send(encode_submit("part")[:30])
    assert other.read_line()[:5] in (b"-BUSY", b"-ERR ") and read_to_end(other) == b""
    assert harness.wait_for_exit() == 0 and not harness.endpoint.message_ids()


def test_second_sigterm_and_sighup_do_not_change_a_stop(harness: CourierHarness):
    harness.endpoint.on_call = lambda call: None
    harness.start()
    harness.submit(encode_submit("held"))
    (call,) = harness.wait_for_calls(1)
    harness.send_signal(signal.SIGTERM)
    wait_for("the courier is stopping", lambda: "stopping" in harness.read_log())
    harness.send_signal(signal.SIGTERM)
    harness.send_signal(signal.SIGHUP)
    wait_for("the configuration is reloaded", lambda: "SIGHUP: discovery is at" in harness.read_log())
    call.answer()
    assert harness.wait_for_exit() == 0 and harness.read_log().count("stopping") == 1
    harness.endpoint.on_call = lambda call: call.answer()
    harness.start()
    harness.submit(encode_submit("next"))
    wait_for("the next message is delivered", lambda: "next" in harness.endpoint.message_ids())
    assert harness.endpoint.message_ids() == ["held", "next"], (
        "the response was read before the process ended"
    )


def test_flood_of_a_client_that_disconnects_leaks_no_descriptor(harness: CourierHarness):
    harness.configure(limits_max_open=1_000)
    harness.start()
    before = harness.descriptor_count()
    for turn in range(5):
        client = harness.connect_client()
        client.send(b"".join(encode_submit(f"f{turn}-{i}") for i in range(40)))
        reset_connection(client.connection)
    other = harness.connect_client()
    assert other.request(encode_submit("other")) == b"+OK\r\n"
    wait_for("the other message is delivered", lambda: "other" in harness.endpoint.message_ids())
    other.close()
    wait_for(
        "the descriptors are closed", lambda: harness.descriptor_count() <= before + 8
    )  # idle ones are kept


def test_pipeline_is_answered_completely_and_in_order(harness: CourierHarness):
    harness.start()
    client = harness.connect_client()
    client.send(b"".join(encode_submit(f"p{i}") if i % 3 else PING for i in range(120)))
    assert [client.read_line() for _ in range(120)] == [
        b"+OK\r\n" if i % 3 else b"+PONG\r\n" for i in range(120)
    ]
