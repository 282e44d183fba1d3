"""Races on the discovery watch and at SIGHUP: silence, truncated lists, drains and changed settings."""

from __future__ import annotations

import json
import re
import select
import signal
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path

import pytest

from winchspan.config.transitions import CLASS_TRANSITION_MS
from winchspan.net.discovery_watch import OLDER_VERSION_LIMIT_MS

from .loopback import Call, CourierHarness, Server, encode_submit, message_class, wait_for


@pytest.fixture
def harness(tmp_path: Path) -> Iterator[CourierHarness]:
    found = CourierHarness(tmp_path)
    found.endpoint.on_call = lambda call: call.answer()
    yield found
    found.close()


@pytest.fixture
def other() -> Iterator[Server]:
    found = Server()
    found.on_call = lambda call: call.answer()
    yield found
    found.close()


def handle_first_watches(harness: CourierHarness, count: int, then: Callable[[Call], None]) -> None:
    """Handle the first `count` watches by `then`, and later ones by the default handler."""
    default_handler = harness.discovery.on_watch
    harness.discovery.on_watch = lambda call: (
        then if len(harness.discovery.watches) <= count else default_handler
    )(call)


def assert_messages_move_to(harness: CourierHarness, other: Server) -> None:
    """Wait until messages are sent to the other endpoint, and assert that the first gets no more."""
    wait_for("a message is sent to the other endpoint", lambda: f"m{deliver(harness)}" in other.message_ids())
    before = len(harness.endpoint.calls)
    deliver(harness)
    assert len(harness.endpoint.calls) == before


SUBMITTED_COUNT = 0
SLOW_ANSWER_SECONDS = 1.2  # longer than a watch waits for its first line alone


def is_answered(harness: CourierHarness, message: str) -> bool:
    """Return whether a message was sent, every started attempt is completed and every message is delivered.

    An attempt may time out under load and be retried: then more attempts start than are delivered.
    """
    log = harness.read_log()
    starts = [line for line in log.splitlines() if "DEBUG attempt started" in line]
    message_ids = {found for line in starts for found in re.findall(r"\('([^']+)', \d+\)", line)}
    are_completed = log.count("DEBUG attempt completed") == len(starts)
    return message in message_ids and are_completed and log.count("['delivered']") >= len(message_ids)


def deliver(harness: CourierHarness) -> int:
    """Submit a message, wait for its delivery, and return its number."""
    global SUBMITTED_COUNT
    SUBMITTED_COUNT += 1
    harness.submit(encode_submit(f"m{SUBMITTED_COUNT}"))
    wait_for("the response is read", lambda: is_answered(harness, f"m{SUBMITTED_COUNT}"))
    return SUBMITTED_COUNT


@pytest.mark.parametrize("sent_part", ["nothing", "head", "list", "half a line", "beat"])
def test_silent_watch_is_reopened_and_gets_the_missed_changes(
    harness: CourierHarness, other: Server, sent_part: str
):
    """Silence from the start, after the head, after a list, within a line, or after an empty line."""

    def silent(call: Call) -> None:
        if sent_part == "nothing":
            return
        if sent_part in ("list", "beat"):
            harness.discovery.send_full_list(call)
        else:
            harness.discovery.start_response(call)
        if sent_part == "beat":
            harness.discovery.send_chunk(call, b"\n")
        if sent_part == "half a line":
            harness.discovery.send_chunk(call, json.dumps(harness.discovery.full_list()).encode()[:40])

    handle_first_watches(harness, 1, silent)
    harness.start()
    wait_for("the first watch is open", lambda: harness.discovery.watches)
    harness.discovery.change_endpoint("s-1", health="draining")
    harness.list_endpoint("s-2", other)
    wait_for("the watch is reopened", lambda: len(harness.discovery.watches) > 1)
    assert_messages_move_to(harness, other)


def test_third_watch_after_two_silent_ones_applies_a_change_in_time(harness: CourierHarness, other: Server):
    """Guards against a late change after two silent watches.

    They took 6.4 s together, and a change must be applied within 6 s of its publication.
    """
    harness.start()
    wait_for("the first watch is open", lambda: harness.discovery.watches)
    deliver(harness)
    count = len(harness.discovery.watches)
    handle_first_watches(harness, count + 1, lambda call: None)
    harness.discovery.change_endpoint("s-1", health="draining")
    harness.list_endpoint("s-2", other)
    wait_for("a third watch is open", lambda: len(harness.discovery.watches) > count + 1)
    silences = harness.read_log().count("the watch is silent")
    assert silences == 2
    assert_messages_move_to(harness, other)


def test_discovery_that_takes_over_a_second_for_each_answer_is_heard(harness: CourierHarness, other: Server):
    """Guards against calls to a removed endpoint for as long as discovery is slow."""

    def answer_late(call: Call) -> None:
        time.sleep(SLOW_ANSWER_SECONDS)
        with suppress(OSError):  # the courier may have given the watch up
            harness.discovery.send_full_list(call)

    harness.discovery.on_watch = answer_late
    harness.start()
    harness.discovery.change_endpoint("s-1", health="removed")
    harness.list_endpoint("s-2", other)
    assert_messages_move_to(harness, other)


def test_full_list_without_an_endpoint_moves_messages_and_closes_its_connections(
    harness: CourierHarness, other: Server
):
    harness.start()
    wait_for("the first watch is open", lambda: harness.discovery.watches)
    deliver(harness)
    harness.list_endpoint("s-2", other)
    del harness.discovery.hosts["s-1"]
    harness.discovery.send_chunk(
        harness.discovery.watches[0], json.dumps(harness.discovery.full_list()).encode() + b"\n"
    )
    assert_messages_move_to(harness, other)
    wait_for("its connections are closed", lambda: all(map(is_closed_by_peer, harness.endpoint.connections)))


def is_closed_by_peer(link: socket.socket) -> bool:
    """Return whether the peer has closed a connection."""
    poll = select.poll()
    poll.register(link.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


@pytest.mark.parametrize("size", [1, 7, 1_000])
def test_indented_list_is_read_completely_in_pieces_of_any_size(
    harness: CourierHarness, other: Server, size: int
):
    """Guards against reading each line of an indented list as an invalid update.

    The watch was reopened each time, without end.
    """

    def indented(call: Call) -> None:
        harness.discovery.start_response(call)
        text = json.dumps(harness.discovery.full_list(), indent=2).encode() + b"\n"
        for at in range(0, len(text), size):
            harness.discovery.send_chunk(call, text[at : at + size])

    harness.discovery.on_watch = indented
    harness.discovery.change_endpoint("s-1", health="draining")
    harness.list_endpoint("s-2", other)
    harness.start()
    assert_messages_move_to(harness, other)
    assert "unreadable" not in harness.read_log() and len(harness.discovery.watches) == 1


@pytest.mark.parametrize("cut", ['{\n "seq": 9,\n', '{"seq":9,"whole":true,"hosts":[\n', "{nonsense\n"])
def test_truncated_list_is_discarded_and_the_watch_reopened_for_a_full_list(
    harness: CourierHarness, other: Server, cut: str
):
    harness.start()
    wait_for("the first watch is open", lambda: harness.discovery.watches)
    deliver(harness)
    (first,) = harness.discovery.watches
    harness.discovery.send_chunk(first, cut.encode())
    harness.discovery.change_endpoint("s-1", health="draining")
    harness.discovery.send_chunk(first, harness.list_endpoint("s-2", other))
    wait_for("the watch is reopened", lambda: len(harness.discovery.watches) > 1)
    assert "since" not in harness.discovery.watches[1].path
    assert_messages_move_to(harness, other)


def test_sighup_while_the_watch_is_reopened_uses_only_the_new_address(harness: CourierHarness, other: Server):
    harness.start()
    wait_for("the first watch is open", lambda: harness.discovery.watches)
    deliver(harness)
    from .loopback import DiscoveryServer

    agent = DiscoveryServer()
    try:
        agent.seq, agent.hosts = (
            7,
            {"s-2": harness.discovery.hosts["s-1"] | {"host": "s-2", "dial": other.address}},
        )
        harness.config["discovery"] = agent.address
        harness.configure()
        harness.discovery.watches[0].connection.close()  # the watch ends, and is reopened 200 ms later
        harness.send_signal(signal.SIGHUP)
        wait_for("the new address is watched", lambda: agent.watches)
        wait_for("the new address is in use", lambda: "SIGHUP: discovery is at" in harness.read_log())
        assert_messages_move_to(harness, other)
    finally:
        agent.close()


# Guards against a discovery that begins its versions anew, which was taken for the one before: its lists
# counted as older for good, and messages went on to endpoints that had gone.
def test_discovery_that_begins_its_versions_anew_is_heard(harness: CourierHarness, other: Server):
    for name in ("s-3", "s-4"):  # version 41, say
        harness.list_endpoint(name, harness.endpoint, dest=9)
    harness.start()
    wait_for("the first watch is open", lambda: harness.discovery.watches)
    deliver(harness)
    harness.discovery.hosts = {"s-2": harness.discovery.hosts["s-1"] | {"host": "s-2", "dial": other.address}}
    harness.discovery.seq = 1
    harness.discovery.watches[0].connection.close()
    wait_for("the new discovery is watched", lambda: len(harness.discovery.watches) > 1)
    wait_for("its list is applied", lambda: "they begin anew" in harness.read_log())
    assert_messages_move_to(harness, other)


def test_discovery_that_lags_and_catches_up_keeps_the_newer_list(harness: CourierHarness, other: Server):
    harness.start()
    wait_for("the first watch is open", lambda: harness.discovery.watches)
    newer = harness.list_endpoint("s-2", other)
    older = json.dumps({"seq": harness.discovery.seq - 2, "whole": True, "hosts": []}).encode() + b"\n"
    watch = harness.discovery.watches[0]
    for line in (newer, older, harness.discovery.change_endpoint("s-1", health="removed")):
        harness.discovery.send_chunk(watch, line)
    assert_messages_move_to(harness, other)
    time.sleep(OLDER_VERSION_LIMIT_MS / 1_000.0 + 0.2)
    assert "they begin anew" not in harness.read_log()


# Guards against an endpoint that is taken for the one that had its address before.
def test_endpoint_at_the_address_of_one_that_has_gone_gets_a_connection_of_its_own(harness: CourierHarness):
    endpoint = harness.endpoint
    endpoint.on_call = lambda call: None
    harness.start()
    wait_for("the first watch is open", lambda: harness.discovery.watches)
    harness.submit(encode_submit("idle"))
    (idle,) = harness.wait_for_calls(1)
    harness.submit(encode_submit("held"))
    (idle, held) = harness.wait_for_calls(2)
    idle.answer()
    gone = json.loads(harness.discovery.change_endpoint("s-1", health="removed"))
    new = json.loads(harness.list_endpoint("s-2", endpoint, dest=8))
    new["hosts"] = gone["hosts"] + new["hosts"]
    harness.discovery.send_chunk(harness.discovery.watches[0], json.dumps(new).encode() + b"\n")
    wait_for("the list is known", lambda: len(harness.discovery.hosts) == 1)
    client = harness.connect_client()
    wait_for(
        "the new endpoint serves its destination",
        lambda: client.request(encode_submit("new", dest=8)).startswith(b"+OK"),
    )
    (call,) = harness.wait_for_calls(3)[2:]
    assert call.ids == ["new"] and call.connection not in (idle.connection, held.connection)
    held.answer()
    call.answer()
    client.close()


def test_open_messages_keep_the_class_of_their_submit_after_sighup_and_a_restart(harness: CourierHarness):
    """A message that may run only once is not repeated, even if its class is repeatable after the reload."""
    harness.endpoint.on_call = lambda call: None
    harness.start()
    harness.submit(encode_submit("old", "once"))
    harness.wait_for_calls(1)
    harness.configure(
        request_classes=[message_class("once", "repeatable"), message_class("plain", "repeatable")]
    )
    harness.send_signal(signal.SIGHUP)
    wait_for("the new classes are in use", lambda: "SIGHUP: classes" in harness.read_log())
    harness.kill()
    harness.start()
    harness.wait_for_notification("old", "failed")
    time.sleep(CLASS_TRANSITION_MS / 1_000.0)  # until then the old class binds, too
    harness.submit(encode_submit("new", "once"))
    assert harness.wait_for_calls(2)[1].ids == ["new"]
    harness.kill()
    harness.start()
    assert harness.wait_for_calls(3)[2].ids == ["new"], (
        "a message accepted under the new class may be repeated"
    )


def test_drain_and_sighup_during_a_stop_are_applied_and_the_stop_completes(
    harness: CourierHarness, other: Server
):
    harness.endpoint.on_call = lambda call: None
    harness.start()
    wait_for("the first watch is open", lambda: harness.discovery.watches)
    harness.submit(encode_submit("held", "keyed", key=4), encode_submit("waits", "keyed", key=4))
    (call,) = harness.wait_for_calls(1)
    harness.send_signal(signal.SIGTERM)
    wait_for("the courier is stopping", lambda: "stopping" in harness.read_log())
    harness.send_signal(signal.SIGHUP)
    (first,) = harness.discovery.watches
    harness.discovery.send_chunk(first, harness.discovery.change_endpoint("s-1", health="draining"))
    harness.discovery.send_chunk(first, harness.list_endpoint("s-2", other))
    wait_for("the configuration is reloaded", lambda: "SIGHUP: discovery is at" in harness.read_log())
    call.answer()
    wait_for("the next message is sent to the other endpoint", lambda: other.message_ids())
    assert (
        harness.wait_for_exit() == 0
        and harness.endpoint.message_ids() == ["held"]
        and other.message_ids() == ["waits"]
    )
