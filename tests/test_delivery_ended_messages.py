"""Requests that are read after the message of their identifier has ended."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from winchspan.api import Outcome
from winchspan.delivery.ended_messages import MAX_COUNT, RETENTION_MS, EndedMessages, EndedMessagesState
from winchspan.delivery.errors import RejectedError
from winchspan.delivery.intake import DUPLICATE_HANDLE
from winchspan.delivery.messages import AttemptResult, SubmittedMessage
from winchspan.net.backlog_age import BacklogAge
from winchspan.net.client_connection import ClientConnection, ClientConnectionState
from winchspan.runtime.poll_monitor import PollMonitor
from winchspan.upgrade.state_codec import decode_state, encode_state
from winchspan.upgrade.transferred_state import TransferredState

from .delivery_world import OK, World
from .loopback import CourierHarness, encode_submit, wait_for
from .network_fakes import connected_client, submit

FAILED = AttemptResult(Outcome.ERROR)
GONE = AttemptResult(Outcome.NOT_SENT, is_final=True)


@pytest.fixture
def world(tmp_path: Path) -> World:
    return World(tmp_path)


@pytest.fixture
def harness(tmp_path: Path) -> Iterator[CourierHarness]:
    found = CourierHarness(tmp_path)
    yield found
    found.close()


def accept(world: World, name: str, *, age_ms: float = 0.0) -> int:
    handle = world.engine.accept(
        SubmittedMessage(name, "safe", None, 1, 20_000.0, "f00d", b"x", age_ms=age_ms)
    )
    world.run()
    return handle


def deliver(world: World, name: str) -> None:
    world.submit(name)
    world.transport.calls[-1].end(OK)
    world.run()


# ---- one process -----------------------------------------------------------------------------------------
def test_submit_of_a_delivered_message_is_no_new_message(world: World):
    """Guards against a second run of a message whose identifier was read again after its delivery."""
    deliver(world, "a")
    assert accept(world, "a") == DUPLICATE_HANDLE
    assert world.sent_ids() == [["a"]]


def test_submit_of_a_message_that_ended_undelivered_is_rejected(world: World):
    """Guards against a delivery behind the final notification."""
    world.submit("a", cls="once")
    world.transport.calls[-1].end(FAILED)
    world.run()
    assert world.transport.notifications["a"][0] == "failed"
    with pytest.raises(RejectedError):
        accept(world, "a")


def test_submit_of_a_message_that_was_withdrawn_before_any_attempt_is_new(world: World):
    """Guards against rejecting a client that sends its request once more on a new connection."""
    handle = world.engine.accept(SubmittedMessage("a", "safe", None, 1, 20_000.0, "f00d", b"x"))
    world.engine.withdraw(handle)
    assert accept(world, "a") != DUPLICATE_HANDLE
    assert world.sent_ids() == [["a"]]


@pytest.mark.parametrize(("class_name", "is_new"), [("safe", True), ("once", False), ("keyed", False)])
def test_submit_of_a_message_that_was_withdrawn_in_flight_is_new_only_if_it_may_run_again(
    world: World, class_name: str, is_new: bool
):
    """Guards against a second run of a message whose client was lost before its reply."""
    world.engine.withdraw(world.submit("a", class_name))
    world.transport.calls[-1].end(AttemptResult(Outcome.CANCELLED))
    world.run()
    if not is_new:
        with pytest.raises(RejectedError):
            world.submit("a", class_name)
    else:
        assert world.submit("a", class_name) != DUPLICATE_HANDLE


# Guards against a second run of a message whose client has left, and whose delivery was on its way by then.
@pytest.mark.parametrize("class_name", ["safe", "once", "keyed"])
def test_submit_of_a_message_that_was_withdrawn_and_delivered_is_no_new_message(
    world: World, class_name: str
):
    world.engine.withdraw(world.submit("a", class_name))
    world.transport.calls[-1].end(OK)
    world.run()
    assert world.submit("a", class_name) == DUPLICATE_HANDLE
    assert world.sent_ids() == [["a"]]


def test_request_older_than_the_retained_identifiers_is_rejected(world: World):
    """Guards against a second run where the identifier was dropped before the request was read."""
    deliver(world, "a")
    world.run(int(RETENTION_MS) + 100)
    deliver(world, "b")  # drops the identifier of the first message
    with pytest.raises(RejectedError):
        accept(world, "a", age_ms=RETENTION_MS + 150)
    with pytest.raises(RejectedError):
        accept(world, "new", age_ms=RETENTION_MS + 150)
    assert accept(world, "new", age_ms=RETENTION_MS - 150) != DUPLICATE_HANDLE


def test_ended_messages_are_bounded_in_number():
    """Guards against memory that grows with the number of messages."""
    ended = EndedMessages()
    for number in range(MAX_COUNT + 10):
        ended.record(f"m{number}", float(number) / 10, is_delivered=True)
    assert len(ended) == MAX_COUNT
    assert ended.find("m9") is None
    assert ended.find("m10") is not None
    assert ended.complete_since_ms == pytest.approx(0.9)


def test_submit_in_a_flood_is_read_after_its_message_was_delivered(harness: CourierHarness):
    """Guards against a payment that runs twice: a bad client sends its id while the payment is open."""
    harness.start()
    harness.submit(encode_submit("payment", "once"))
    (call,) = harness.wait_for_calls(1)
    bad = harness.connect_client()
    delayed = (b"*1\r\n$6\r\nNOSUCH\r\n" + b"*1\r\n$4\r\nPING\r\n" * 15) * 6
    bad.send(delayed + encode_submit("payment", "once"))
    bad.read_line()  # the courier has read the flood, and delays the rest of it
    call.answer()
    for _ in range(6 * 16 - 1):
        bad.read_line()
    assert bad.read_line() == b"+OK\r\n"
    harness.endpoint.on_call = lambda call: call.answer()
    harness.submit(encode_submit("next", "once"))
    wait_for("the next message is sent", lambda: "next" in harness.endpoint.message_ids())
    assert harness.endpoint.message_ids() == ["payment", "next"]


# ---- hand-over and restart -------------------------------------------------------------------------------
@pytest.mark.parametrize("is_same_program", [True, False])
def test_hand_over_keeps_the_identifiers_of_ended_messages(tmp_path: Path, is_same_program: bool):
    """Guards against a second run by the process that takes over."""
    for name in ("old", "new"):
        (tmp_path / name).mkdir()
    old, new = World(tmp_path / "old"), World(tmp_path / "new")
    deliver(old, "a")
    state = TransferredState(is_out_of_service=False, clients=[], ended=old.engine.export_ended())
    if is_same_program:
        new.engine.import_ended(state.ended)
    else:
        new.engine.import_ended(decode_state(encode_state(state)).ended)
    assert accept(new, "a") == DUPLICATE_HANDLE


def test_hand_over_from_a_program_without_identifiers_rejects_older_requests(world: World):
    """Guards against a second run after an upgrade from a version that does not tell what has ended."""
    world.engine.import_ended(None)
    with pytest.raises(RejectedError):
        accept(world, "a", age_ms=50.0)
    assert accept(world, "b") != DUPLICATE_HANDLE


def test_hand_over_state_of_clients_is_read_by_every_version():
    clients = [ClientConnectionState(b"*1", True, 0, 12.5, 11.5), ClientConnectionState(b"", True, 0, 9.0)]
    state = TransferredState(is_out_of_service=False, clients=clients, ended=EndedMessagesState([], 3.0))
    assert decode_state(encode_state(state)) == state


def test_delayed_requests_keep_their_age_over_a_hand_over():
    """Guards against taking requests that waited in the other process for requests of now."""
    connection, _, _, connections = connected_client()
    connections.poll_monitor.record_poll(100.0, 100.0, 0.0)
    connections.poll_monitor.record_poll(140.0, 140.1, 0.0)
    flood = b"*1\r\n$6\r\nNOSUCH\r\n" * 16 + submit()
    view = connection.get_buffer(-1)
    view[: len(flood)] = flood
    connection.buffer_updated(len(flood))
    _, state = _export(connection)
    assert state.unread == submit()
    assert state.received_after_ms == 100.0


def _export(connection: ClientConnection) -> tuple[int, ClientConnectionState]:
    """Return the exported state of a connection with a fake descriptor."""
    transport = connection._transport
    assert transport is not None
    transport.get_extra_info = lambda name, default=None: 7 if name == "descriptor" else None  # type: ignore[method-assign]
    return connection.export_state()


def test_backlog_of_a_socket_that_outlives_its_process_is_of_unknown_age():
    """Guards against requests that were sent before the last process ended its messages."""
    poll_monitor = PollMonitor(100.0)
    backlog_age = BacklogAge(poll_monitor)
    backlog_age.mark_unknown()
    backlog_age.resume()
    poll_monitor.record_poll(150.0, 150.0, 0.0)
    assert backlog_age.begin_accepting() == float("-inf")
    backlog_age.record_empty()
    assert backlog_age.begin_accepting() == 100.0


def test_restart_with_an_open_listening_socket_does_not_run_a_delivered_message_again(tmp_path: Path):
    """Guards against a request that waited in the backlog over a kill of the process."""
    harness = CourierHarness(tmp_path)
    try:
        _play_restart(harness)
    finally:
        harness.close()


def _play_restart(harness: CourierHarness) -> None:
    harness.endpoint.on_call = lambda call: call.answer()
    harness.hold_listener()
    harness.start()
    harness.submit(encode_submit("payment", "once"))
    harness.wait_for_calls(1)
    harness.kill()
    bad = harness.connect_client()  # waits in the backlog of the socket that stays open
    bad.send(encode_submit("payment", "once"))
    harness.start()
    assert bad.read_line().startswith(b"-BUSY")
    harness.submit(encode_submit("next", "once"))
    wait_for("the next message is sent", lambda: "next" in harness.endpoint.message_ids())
    assert harness.endpoint.message_ids() == ["payment", "next"]
