"""Races on the discovery watch and at SIGHUP: silence, truncated lists, drains and changed settings."""

from __future__ import annotations

import json
import select
import signal
import socket
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from .loopback import Call, Loopback, Server, message_class, submit, wait_for


@pytest.fixture
def world(tmp_path: Path) -> Iterator[Loopback]:
    found = Loopback(tmp_path)
    found.endpoint.on_call = lambda call: call.answer()
    yield found
    found.close()


@pytest.fixture
def other() -> Iterator[Server]:
    found = Server()
    found.on_call = lambda call: call.answer()
    yield found
    found.close()


def handle_first_watches(world: Loopback, count: int, then: Callable[[Call], None]) -> None:
    """Handle the first `count` watches by `then`, and later ones by the default handler."""
    default_handler = world.agent.on_watch
    world.agent.on_watch = lambda call: (then if len(world.agent.watches) <= count else default_handler)(call)


def assert_messages_move_to(world: Loopback, other: Server) -> None:
    """Wait until messages are sent to the other endpoint, and assert that the first gets no more."""
    wait_for("a message is sent to the other endpoint", lambda: f"m{deliver(world)}" in other.begun())
    before = len(world.endpoint.calls)
    deliver(world)
    assert len(world.endpoint.calls) == before


SUBMITTED_COUNT = 0


def is_answered(world: Loopback, message: str) -> bool:
    """Return whether an attempt of a message has started, and all started attempts are delivered."""
    log = world.log()
    starts = [line for line in log.splitlines() if "DEBUG attempt started" in line]
    return any(f"'{message}'" in line for line in starts) and log.count("['delivered']") >= len(starts)


def deliver(world: Loopback) -> int:
    """Submit a message, wait for its delivery, and return its number."""
    global SUBMITTED_COUNT
    SUBMITTED_COUNT += 1
    world.take(submit(f"m{SUBMITTED_COUNT}"))
    wait_for("the response is read", lambda: is_answered(world, f"m{SUBMITTED_COUNT}"))
    return SUBMITTED_COUNT


@pytest.mark.parametrize("sent_part", ["nothing", "head", "list", "half a line", "beat"])
def test_silent_watch_is_reopened_and_gets_the_missed_changes(world: Loopback, other: Server, sent_part: str):
    """Silence from the start, after the head, after a list, within a line, or after an empty line."""

    def silent(call: Call) -> None:
        if sent_part == "nothing":
            return
        if sent_part in ("list", "beat"):
            world.agent.tell_all(call)
        else:
            world.agent.begin(call)
        if sent_part == "beat":
            world.agent.chunk(call, b"\n")
        if sent_part == "half a line":
            world.agent.chunk(call, json.dumps(world.agent.whole()).encode()[:40])

    handle_first_watches(world, 1, silent)
    world.start()
    wait_for("the first watch is open", lambda: world.agent.watches)
    world.agent.change("s-1", health="draining")
    world.list_endpoint("s-2", other)
    wait_for("the watch is reopened", lambda: len(world.agent.watches) > 1)
    assert_messages_move_to(world, other)


def test_third_watch_after_two_silent_ones_applies_a_change_in_time(world: Loopback, other: Server):
    """Guards against a late change after two silent watches.

    They took 6.4 s together, and a change must be applied within 6 s of its publication.
    """
    world.start()
    wait_for("the first watch is open", lambda: world.agent.watches)
    deliver(world)
    count = len(world.agent.watches)
    handle_first_watches(world, count + 1, lambda call: None)
    world.agent.change("s-1", health="draining")
    world.list_endpoint("s-2", other)
    wait_for("a third watch is open", lambda: len(world.agent.watches) > count + 1)
    silences = world.log().count("the watch is silent")
    assert silences == 2
    assert_messages_move_to(world, other)


def test_full_list_without_an_endpoint_moves_messages_and_closes_its_connections(
    world: Loopback, other: Server
):
    world.start()
    wait_for("the first watch is open", lambda: world.agent.watches)
    deliver(world)
    world.list_endpoint("s-2", other)
    del world.agent.hosts["s-1"]
    world.agent.chunk(world.agent.watches[0], json.dumps(world.agent.whole()).encode() + b"\n")
    assert_messages_move_to(world, other)
    wait_for("its connections are closed", lambda: all(map(is_closed_by_peer, world.endpoint.links)))


def is_closed_by_peer(link: socket.socket) -> bool:
    """Return whether the peer has closed a connection."""
    poll = select.poll()
    poll.register(link.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


@pytest.mark.parametrize("size", [1, 7, 1_000])
def test_indented_list_is_read_completely_in_pieces_of_any_size(world: Loopback, other: Server, size: int):
    """Guards against reading each line of an indented list as an invalid update.

    The watch was reopened each time, without end.
    """

    def indented(call: Call) -> None:
        world.agent.begin(call)
        text = json.dumps(world.agent.whole(), indent=2).encode() + b"\n"
        for at in range(0, len(text), size):
            world.agent.chunk(call, text[at : at + size])

    world.agent.on_watch = indented
    world.agent.change("s-1", health="draining")
    world.list_endpoint("s-2", other)
    world.start()
    assert_messages_move_to(world, other)
    assert "unreadable" not in world.log() and len(world.agent.watches) == 1


@pytest.mark.parametrize("cut", ['{\n "seq": 9,\n', '{"seq":9,"whole":true,"hosts":[\n', "{nonsense\n"])
def test_truncated_list_is_discarded_and_the_watch_reopened_for_a_full_list(
    world: Loopback, other: Server, cut: str
):
    world.start()
    wait_for("the first watch is open", lambda: world.agent.watches)
    deliver(world)
    (first,) = world.agent.watches
    world.agent.chunk(first, cut.encode())
    world.agent.change("s-1", health="draining")
    world.agent.chunk(first, world.list_endpoint("s-2", other))
    wait_for("the watch is reopened", lambda: len(world.agent.watches) > 1)
    assert "since" not in world.agent.watches[1].path
    assert_messages_move_to(world, other)


def test_sighup_while_the_watch_is_reopened_uses_only_the_new_address(world: Loopback, other: Server):
    world.start()
    wait_for("the first watch is open", lambda: world.agent.watches)
    deliver(world)
    from .loopback import Agent

    agent = Agent()
    try:
        agent.seq, agent.hosts = 7, {"s-2": world.agent.hosts["s-1"] | {"host": "s-2", "dial": other.address}}
        world.config["discovery"] = agent.address
        world.set()
        world.agent.watches[0].link.close()  # the watch ends, and is reopened 200 ms later
        world.signal(signal.SIGHUP)
        wait_for("the new address is watched", lambda: agent.watches)
        wait_for("the new address is in use", lambda: "SIGHUP: discovery is at" in world.log())
        assert_messages_move_to(world, other)
    finally:
        agent.close()


def test_open_messages_keep_the_class_of_their_submit_after_sighup_and_a_restart(world: Loopback):
    """A message that may run only once is not repeated, even if its class is repeatable after the reload."""
    world.endpoint.on_call = lambda call: None
    world.start()
    world.take(submit("old", "once"))
    world.calls(1)
    world.set(request_classes=[message_class("once", "repeatable"), message_class("plain", "repeatable")])
    world.signal(signal.SIGHUP)
    wait_for("the new classes are in use", lambda: "SIGHUP: classes" in world.log())
    world.kill()
    world.start()
    world.ended("old", "failed")
    world.take(submit("new", "once"))
    assert world.calls(2)[1].ids == ["new"]
    world.kill()
    world.start()
    assert world.calls(3)[2].ids == ["new"], "a message accepted under the new class may be repeated"


def test_drain_and_sighup_during_a_stop_are_applied_and_the_stop_completes(world: Loopback, other: Server):
    world.endpoint.on_call = lambda call: None
    world.start()
    wait_for("the first watch is open", lambda: world.agent.watches)
    world.take(submit("held", "keyed", key=4), submit("waits", "keyed", key=4))
    (call,) = world.calls(1)
    world.signal(signal.SIGTERM)
    wait_for("the courier is stopping", lambda: "stopping" in world.log())
    world.signal(signal.SIGHUP)
    (first,) = world.agent.watches
    world.agent.chunk(first, world.agent.change("s-1", health="draining"))
    world.agent.chunk(first, world.list_endpoint("s-2", other))
    wait_for("the configuration is reloaded", lambda: "SIGHUP: discovery is at" in world.log())
    call.answer()
    wait_for("the next message is sent to the other endpoint", lambda: other.begun())
    assert world.end() == 0 and world.endpoint.begun() == ["held"] and other.begun() == ["waits"]
