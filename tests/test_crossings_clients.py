"""Races on client connections: requests in pieces, floods, closes by either side, and signals."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from .loopback import PING, Client, Loopback, reset, submit, wait_for

SIGKILL_DELAY_SECONDS = 3.7  # between SIGTERM and SIGKILL


@pytest.fixture
def world(tmp_path: Path) -> Iterator[Loopback]:
    found = Loopback(tmp_path)
    found.endpoint.on_call = lambda call: call.answer()
    yield found
    found.close()


def read_to_end(client: Client) -> bytes:
    """Return all bytes until the connection is closed; a reset raises an error."""
    return client.link.makefile("rb").read()


def test_request_in_two_pieces_is_answered_for_every_split(world: Loopback):
    world.start()
    client, raw = world.client(), submit("m" + "0" * 3)
    for cut in range(1, len(raw)):
        request = submit(f"m{cut:03}", token="ab")
        client.send(request[:cut])
        client.send(request[cut:])
        assert client.line() == b"+OK\r\n"
    wait_for("all messages are delivered", lambda: len(set(world.endpoint.begun())) == len(raw) - 1)


def test_bytes_received_during_a_close_do_not_reset_the_connection_before_its_reply(world: Loopback):
    """Guards against closing a connection with unread bytes: the reset overtook the reply."""
    world.start()
    before = world.descriptors()
    for _ in range(20):
        client = world.client()
        client.send(b"nonsense\r\n" + b"x" * 300_000)
        assert client.line().startswith(b"-ERR") and read_to_end(client) == b""
        client.close()
    wait_for("the descriptors are closed", lambda: world.descriptors() <= before)


def test_request_after_the_close_of_an_idle_connection_is_not_accepted(world: Loopback):
    world.start()
    client = world.client()
    assert client.ask(PING) == b"+PONG\r\n"
    assert read_to_end(client) == b""  # closed at its idle limit
    client.send(submit("late"))
    world.take(submit("next"))
    wait_for("the next message is delivered", lambda: world.endpoint.begun())
    assert world.endpoint.begun() == ["next"] and "'late'" not in world.log()


def test_stop_answers_a_partial_request_and_accepts_none_after_the_close(world: Loopback):
    world.start()
    begun, idle, raw = world.client(), world.client(), submit("begun")
    assert idle.ask(PING) == b"+PONG\r\n"
    begun.send(raw[:40])
    assert world.client().ask(PING) == b"+PONG\r\n"  # the courier has read the earlier piece by now
    world.signal(signal.SIGTERM)
    assert read_to_end(idle) == b""
    idle.send(submit("late"))
    begun.send(raw[40:])
    assert begun.line() == b"+OK\r\n" and read_to_end(begun) == b""
    assert world.end() == 0
    assert world.endpoint.begun() == ["begun"]


# Guards against dropping the request of a client that connected before the listening socket was closed.
def test_first_request_after_the_end_of_listening_is_answered(world: Loopback):
    world.start()
    world.signal(signal.SIGTERM)
    wait_for("the courier is stopping", lambda: "stopping" in world.log())
    late_clients: list[Client] = []

    def is_refused() -> bool:
        try:
            late_clients.append(world.client())
        except ConnectionRefusedError:
            return True
        return False

    wait_for("connects are refused", is_refused)
    late_clients[-1].send(submit("behind"))
    assert late_clients[-1].line() == b"+OK\r\n" and read_to_end(late_clients[-1]) == b""
    assert world.end() == 0


def test_incomplete_request_is_answered_at_shutdown(world: Loopback):
    """Guards against closing the connection at the end of the process without a reply."""
    world.start()
    client = world.client()
    assert client.ask(PING) == b"+PONG\r\n"
    world.signal(signal.SIGTERM)
    wait_for("the courier is stopping", lambda: "stopping" in world.log())
    other = world.client()
    other.send(submit("part")[:30])
    assert other.line()[:5] in (b"-BUSY", b"-ERR ") and read_to_end(other) == b""
    assert world.end() == 0 and not world.endpoint.begun()


def test_second_sigterm_and_sighup_do_not_change_a_stop(world: Loopback):
    world.endpoint.on_call = lambda call: None
    world.start()
    world.take(submit("held"))
    (call,) = world.calls(1)
    world.signal(signal.SIGTERM)
    wait_for("the courier is stopping", lambda: "stopping" in world.log())
    world.signal(signal.SIGTERM)
    world.signal(signal.SIGHUP)
    wait_for("the configuration is reloaded", lambda: "SIGHUP: discovery is at" in world.log())
    call.answer()
    assert world.end() == 0 and world.log().count("stopping") == 1
    world.endpoint.on_call = lambda call: call.answer()
    world.start()
    world.take(submit("next"))
    wait_for("the next message is delivered", lambda: "next" in world.endpoint.begun())
    assert world.endpoint.begun() == ["held", "next"], "the response was read before the process ended"


def test_flood_of_a_client_that_disconnects_leaks_no_descriptor(world: Loopback):
    world.set(limits_max_open=1_000)
    world.start()
    before = world.descriptors()
    for turn in range(5):
        client = world.client()
        client.send(b"".join(submit(f"f{turn}-{i}") for i in range(40)))
        reset(client.link)
    other = world.client()
    assert other.ask(submit("other")) == b"+OK\r\n"
    wait_for("the other message is delivered", lambda: "other" in world.endpoint.begun())
    other.close()
    wait_for("the descriptors are closed", lambda: world.descriptors() <= before + 8)  # idle ones are kept


def test_pipeline_is_answered_completely_and_in_order(world: Loopback):
    world.start()
    client = world.client()
    client.send(b"".join(submit(f"p{i}") if i % 3 else PING for i in range(120)))
    assert [client.line() for _ in range(120)] == [b"+OK\r\n" if i % 3 else b"+PONG\r\n" for i in range(120)]
