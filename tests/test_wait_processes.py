"""Waits that endpoints ask for, in each kind of response, with a real courier process."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from winchspan.upgrade.errors import HandOverError
from winchspan.upgrade.fingerprint import program_fingerprint
from winchspan.upgrade.hand_over_client import receive_hand_over

from .loopback import (
    ROOT,
    WAIT_TIMEOUT_SECONDS,
    Call,
    Client,
    CourierHarness,
    encode_submit,
    message_class,
    reset_connection,
    wait_for,
    wait_for_drain,
)
from .test_crossings_calls import unread_byte_count
from .test_hand_over_final_answers_processes import connect_client_that_does_not_read
from .test_upgrade_processes import FREEZE_SECONDS, copy_with_changed_scheduler, copy_with_slow_restore

SLOWEST_RESPONSE_SECONDS = 0.4
LATE_BODY_SECONDS = 0.4  # behind the head, within the time for a response
WAIT_MS = 1_200
UPGRADE_WAIT_MS = 4_000
KEY_REST_SECONDS = 0.3  # `turn_gap_ns` of the settings
CROSSING_SECONDS = 0.1  # calls that arrive within this time of the response cross it
ROUNDING_SECONDS = 0.05  # of the times that this process reads


@pytest.fixture
def harness(tmp_path: Path) -> Iterator[CourierHarness]:
    found = CourierHarness(tmp_path)
    yield found
    found.close()


def batch_response(call: Call, state: str = "ok") -> tuple[bytes, bytes]:
    """Return head and body of a response to a batch that asks for a wait."""
    body = json.dumps([{"id": message, "state": state} for message in call.ids]).encode()
    head = f"HTTP/1.1 200 OK\r\nX-RateLimit-Wait-Ms: {WAIT_MS}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode(), body


def call_behind_a_slow_one(harness: CourierHarness) -> Call:
    """Return a call of two messages, on a connection whose last response was slow and came just now."""
    harness.start()
    harness.submit(encode_submit("first"))
    (first,) = harness.wait_for_calls(1)
    time.sleep(SLOWEST_RESPONSE_SECONDS)
    first.answer()
    client = harness.connect_client()
    client.send(encode_submit("a") + encode_submit("b"))
    assert [client.read_line(), client.read_line()] == [b"+OK\r\n"] * 2
    call = harness.wait_for_calls(2)[1]
    assert sorted(call.ids) == ["a", "b"] and call.connection is first.connection
    return call


def assert_next_call_heeds_the_wait(harness: CourierHarness, answered_at: float) -> None:
    """Submit a message once calls no longer cross the response, and check when it is called."""
    call_count = len(harness.endpoint.calls)
    time.sleep(max(0.0, answered_at + CROSSING_SECONDS + ROUNDING_SECONDS - time.monotonic()))
    harness.submit(encode_submit("next"))
    harness.wait_for_calls(call_count + 1)
    waited_seconds = time.monotonic() - answered_at
    assert waited_seconds >= WAIT_MS / 1_000 - ROUNDING_SECONDS


@pytest.mark.parametrize("state", ["ok", "later"])
def test_wait_in_a_response_that_is_faster_than_all_others_binds_at_once(harness: CourierHarness, state: str):
    """Guards against report 867209: a wait bound only once its response was believed."""
    call = call_behind_a_slow_one(harness)
    answered_at = time.monotonic()
    call.write(b"".join(batch_response(call, state)))
    assert_next_call_heeds_the_wait(harness, answered_at)


@pytest.mark.parametrize("ends", ["late", "never", "reset", "spoilt", "for others"])
def test_wait_binds_whatever_becomes_of_the_rest_of_its_response(harness: CourierHarness, ends: str):
    """Guards against a wait that is lost with its response, or binds only when that ends."""
    harness.start()
    client = harness.connect_client()
    client.send(encode_submit("a") + encode_submit("b"))
    assert [client.read_line(), client.read_line()] == [b"+OK\r\n"] * 2
    (call,) = harness.wait_for_calls(1)
    head, body = batch_response(call)
    answered_at = time.monotonic()
    if ends == "for others":
        call.write(head + body.replace(b'"a"', b'"x"').replace(b'"b"', b'"y"'))
    elif ends == "spoilt":
        call.write(head.replace(b"Content-Length", b"Transfer-Encoding: chunked\r\nX-Length") + b"spoilt\r\n")
    else:
        call.write(head + body[:-1])
    if ends == "reset":
        wait_for("the head is read", lambda: unread_byte_count(call.connection) == 0)
        reset_connection(call.connection)
    if ends == "late":
        threading.Timer(LATE_BODY_SECONDS, call.write, [body[-1:]]).start()
    assert_next_call_heeds_the_wait(harness, answered_at)


def test_wait_in_a_surplus_response_on_an_idle_connection_binds(harness: CourierHarness):
    """Guards against a wait in the response to a call whose place a surplus response has taken."""
    harness.start()
    harness.submit(encode_submit("first"))
    (first,) = harness.wait_for_calls(1)
    first.answer()
    wait_for("the connection is idle", lambda: "attempt completed" in harness.read_log())
    answered_at = time.monotonic()
    first.answer(429, f"X-RateLimit-Wait-Ms: {WAIT_MS}")
    assert_next_call_heeds_the_wait(harness, answered_at)


@pytest.mark.parametrize("differ", [False, True], ids=["same program", "other program"])
def test_wait_binds_the_process_that_takes_over(harness: CourierHarness, tmp_path: Path, differ: bool):
    """Guards against a new process that calls within a wait: in an upgrade both are one courier."""
    harness.hold_listener()
    harness.start()
    client = harness.connect_client()
    client.send(encode_submit("a") + encode_submit("b"))
    (call,) = harness.wait_for_calls(1)
    answered_at = time.monotonic()
    call.answer(200, f"X-RateLimit-Wait-Ms: {UPGRADE_WAIT_MS}")
    wait_for("the response is read", lambda: "attempt completed" in harness.read_log())
    previous = harness.process
    assert previous is not None
    harness.program = copy_with_changed_scheduler(tmp_path / "other") if differ else ROOT
    harness.start_process()
    assert previous.wait(WAIT_TIMEOUT_SECONDS) == 0
    harness.submit(encode_submit("next"))
    harness.wait_for_calls(2)
    assert time.monotonic() - answered_at >= UPGRADE_WAIT_MS / 1_000 - ROUNDING_SECONDS


def begin_long_drain(harness: CourierHarness) -> Client:
    """Have a client that does not read, which a drain awaits, a call in flight and an idle connection."""
    harness.hold_listener()
    harness.start()
    harness.submit(encode_submit("told"))
    harness.wait_for_calls(1)
    harness.submit(encode_submit("idle"))
    idle = harness.wait_for_calls(2)[1]
    assert idle.connection is not harness.endpoint.calls[0].connection
    idle.answer()
    wait_for("a connection is idle", lambda: "attempt completed" in harness.read_log())
    connect_client_that_does_not_read(harness)
    return harness.connect_client()


def submit_in_drain(harness: CourierHarness, client: Client) -> None:
    wait_for_drain(harness, client)
    assert client.request(encode_submit("queued")) == b"+OK\r\n"


def assert_queued_message_heeds_the_wait(harness: CourierHarness, answered_at: float) -> None:
    harness.wait_for_calls(3)
    assert time.monotonic() - answered_at >= WAIT_MS / 1_000 - ROUNDING_SECONDS


def test_wait_that_comes_during_a_freeze_binds_the_process_that_resumes(harness: CourierHarness):
    """Guards against calls that start before the input of the time of the freeze has been read."""
    client, answered = begin_long_drain(harness), list[float]()

    def stall(_state: bytes) -> None:
        answered.append(time.monotonic())
        harness.endpoint.calls[0].answer(429, f"X-RateLimit-Wait-Ms: {WAIT_MS}")
        time.sleep(FREEZE_SECONDS)
        raise HandOverError("raised by the test")

    arguments = (harness.folder / "state", program_fingerprint(), stall)
    threading.Thread(target=receive_hand_over, args=arguments, daemon=True).start()
    submit_in_drain(harness, client)
    wait_for("the state is read", lambda: answered)
    assert_queued_message_heeds_the_wait(harness, answered[0])


def test_wait_that_comes_during_a_freeze_binds_the_process_that_takes_over(
    harness: CourierHarness, tmp_path: Path
):
    """Guards against calls that start before the input of adopted connections has been read."""
    client = begin_long_drain(harness)
    harness.program = copy_with_slow_restore(tmp_path / "slow")
    harness.start_process()
    submit_in_drain(harness, client)
    wait_for("the commit", lambda: "handed over" in harness.read_log())
    answered_at = time.monotonic()
    harness.endpoint.calls[0].answer(429, f"X-RateLimit-Wait-Ms: {WAIT_MS}")
    assert "took over" not in harness.read_log()
    assert_queued_message_heeds_the_wait(harness, answered_at)


def test_rest_of_a_key_binds_another_program_that_takes_over(harness: CourierHarness, tmp_path: Path):
    """Guards against a call of a key while an earlier one, which the drain cancelled, may still run."""
    harness.config["settings"]["request_classes"] = [message_class("turn", "once", in_order=True)]
    harness.hold_listener()
    harness.start()
    harness.submit(encode_submit("first", "turn", key=5))
    harness.wait_for_calls(1)
    harness.submit(encode_submit("second", "turn", key=5))
    harness.program = copy_with_changed_scheduler(tmp_path / "other")
    harness.start_process()
    wait_for("the end of the drain", lambda: "upgrade: cancelled 1 calls" in harness.read_log())
    cancelled_at = time.monotonic()
    calls = harness.wait_for_calls(2)
    assert calls[1].ids == ["second"]
    assert time.monotonic() - cancelled_at >= KEY_REST_SECONDS - ROUNDING_SECONDS
