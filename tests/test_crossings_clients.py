"""What crosses on a client's connection: pieces, floods, closes of either side, signals."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from .loopback import PING, Client, Loopback, reset, submit, wait_for

WHOLE = 3.7  # s from SIGTERM to SIGKILL


@pytest.fixture
def world(tmp_path: Path) -> Iterator[Loopback]:
    found = Loopback(tmp_path)
    found.endpoint.on_call = lambda call: call.answer()
    yield found
    found.close()


def rest(client: Client) -> bytes:
    """All that comes until the connection ends; a reset fails."""
    return client.link.makefile("rb").read()


def test_a_request_in_two_pieces_is_answered_wherever_it_is_cut(world: Loopback):
    world.start()
    client, raw = world.client(), submit("m" + "0" * 3)
    for cut in range(1, len(raw)):
        whole = submit(f"m{cut:03}", token="ab")
        client.send(whole[:cut])
        client.send(whole[cut:])
        assert client.line() == b"+OK\r\n"
    wait_for("all are delivered", lambda: len(set(world.endpoint.begun())) == len(raw) - 1)


def test_bytes_that_come_while_a_link_is_closed_do_not_reset_it_over_its_answer(world: Loopback):
    """It was closed over unread bytes: the reset overtook the answer."""
    world.start()
    before = world.descriptors()
    for _ in range(20):
        client = world.client()
        client.send(b"nonsense\r\n" + b"x" * 300_000)
        assert client.line().startswith(b"-ERR") and rest(client) == b""
        client.close()
    wait_for("no descriptor is left", lambda: world.descriptors() <= before)


def test_a_request_behind_the_end_of_an_idle_link_is_not_taken(world: Loopback):
    world.start()
    client = world.client()
    assert client.ask(PING) == b"+PONG\r\n"
    assert rest(client) == b""  # it was idle for its time
    client.send(submit("late"))
    world.take(submit("next"))
    wait_for("the next is delivered", lambda: world.endpoint.begun())
    assert world.endpoint.begun() == ["next"] and "'late'" not in world.log()


def test_a_stop_answers_what_has_begun_and_takes_nothing_behind_the_end(world: Loopback):
    world.start()
    begun, idle, raw = world.client(), world.client(), submit("begun")
    assert idle.ask(PING) == b"+PONG\r\n"
    begun.send(raw[:40])
    assert world.client().ask(PING) == b"+PONG\r\n"  # by now the piece before it is read
    world.signal(signal.SIGTERM)
    assert rest(idle) == b""
    idle.send(submit("late"))
    begun.send(raw[40:])
    assert begun.line() == b"+OK\r\n" and rest(begun) == b""
    assert world.end() == 0
    assert world.endpoint.begun() == ["begun"]


# Guards against a client that has connected in time and whose request comes after the last one may connect.
def test_a_first_request_behind_the_end_of_listening_is_answered(world: Loopback):
    world.start()
    world.signal(signal.SIGTERM)
    wait_for("it stops", lambda: "stopping" in world.log())
    newcomers: list[Client] = []

    def is_refused() -> bool:
        try:
            newcomers.append(world.client())
        except ConnectionRefusedError:
            return True
        return False

    wait_for("nobody may connect any more", is_refused)
    newcomers[-1].send(submit("behind"))
    assert newcomers[-1].line() == b"+OK\r\n" and rest(newcomers[-1]) == b""
    assert world.end() == 0


def test_a_request_that_never_comes_whole_is_answered_at_the_end_of_a_life(world: Loopback):
    """Its connection was cut when the process ended, with no answer."""
    world.start()
    client = world.client()
    assert client.ask(PING) == b"+PONG\r\n"
    world.signal(signal.SIGTERM)
    wait_for("it stops", lambda: "stopping" in world.log())
    other = world.client()
    other.send(submit("part")[:30])
    assert other.line()[:5] in (b"-BUSY", b"-ERR ") and rest(other) == b""
    assert world.end() == 0 and not world.endpoint.begun()


def test_a_second_sigterm_and_a_sighup_change_nothing_about_a_stop(world: Loopback):
    world.endpoint.on_call = lambda call: None
    world.start()
    world.take(submit("held"))
    (call,) = world.calls(1)
    world.signal(signal.SIGTERM)
    wait_for("it stops", lambda: "stopping" in world.log())
    world.signal(signal.SIGTERM)
    world.signal(signal.SIGHUP)
    wait_for("it has read again", lambda: "SIGHUP: discovery is at" in world.log())
    call.answer()
    assert world.end() == 0 and world.log().count("stopping") == 1
    world.endpoint.on_call = lambda call: call.answer()
    world.start()
    world.take(submit("next"))
    wait_for("the next is delivered", lambda: "next" in world.endpoint.begun())
    assert world.endpoint.begun() == ["held", "next"], "its answer was heard before the end"


def test_a_flood_whose_client_goes_leaves_nothing_behind(world: Loopback):
    world.set(limits_max_open=1_000)
    world.start()
    before = world.descriptors()
    for turn in range(5):
        client = world.client()
        client.send(b"".join(submit(f"f{turn}-{i}") for i in range(40)))
        reset(client.link)
    other = world.client()
    assert other.ask(submit("other")) == b"+OK\r\n"
    wait_for("the other is delivered", lambda: "other" in world.endpoint.begun())
    other.close()
    wait_for("no descriptor is left", lambda: world.descriptors() <= before + 8)  # warm links are


def test_a_pipeline_is_answered_whole_and_in_order(world: Loopback):
    world.start()
    client = world.client()
    client.send(b"".join(submit(f"p{i}") if i % 3 else PING for i in range(120)))
    assert [client.line() for _ in range(120)] == [b"+OK\r\n" if i % 3 else b"+PONG\r\n" for i in range(120)]
