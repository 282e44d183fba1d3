"""The delivery engine on a manual clock and a journal on disk, with fake transport and platform."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from loguru import logger

from winchspan import api
from winchspan.api import Outcome
from winchspan.delivery.context import AttemptHold
from winchspan.delivery.errors import BadRequestError, RejectedError
from winchspan.delivery.messages import AttemptResult, OutgoingMessage, SubmittedMessage

from .delivery_world import OK, World


def test_journal_holds_message_before_it_is_accepted_and_attempt_before_it_starts(tmp_path: Path):
    world = World(tmp_path)
    world.engine.accept(SubmittedMessage("a", "safe", None, 1, 5_000.0, "f00d", b"\x00body"))
    assert world.open_ids() == ["a"] and world.sent_ids() == []
    world.run()
    assert world.sent_ids() == [["a"]] and world.transport.journaled_attempts == [["a"]]
    assert world.transport.calls[0].messages == [OutgoingMessage("a", "f00d", b"\x00body")]
    world.transport.calls[0].end(OK)
    world.run()
    assert world.open_ids() == [] and not world.transport.notifications


def test_log_names_a_final_answer_behind_its_deadline(tmp_path: Path):
    world, lines = World(tmp_path), list[str]()
    world.submit("in time", left=300.0)
    world.submit("late", left=500.0)
    sink = logger.add(lambda text: lines.append(str(text)), format="{message}")
    world.run(310)
    world.kill()  # restarts behind the deadline
    logger.remove(sink)
    late_ends = [line for line in lines if "after its deadline" in line]
    assert len(late_ends) == 1
    assert re.fullmatch(r"message late ends 4\d\d ms after its deadline: \w+\n", late_ends[0])


def test_accept_of_duplicate_keeps_one_message(tmp_path: Path):
    world = World(tmp_path)
    world.submit("a")
    world.engine.withdraw(world.submit("a"))  # the second client disconnects; the first one has its reply
    world.run()
    assert (
        world.sent_ids() == [["a"]] and world.open_ids() == ["a"] and not world.transport.calls[0].cancelled
    )


def test_accept_of_withdrawn_message_in_flight_is_rejected_until_its_attempt_ends(tmp_path: Path):
    world = World(tmp_path)
    world.engine.withdraw(world.submit("a"))
    world.run()
    with pytest.raises(RejectedError):
        world.submit("a")
    assert world.open_ids() == []
    world.transport.calls[0].end(AttemptResult(Outcome.CANCELLED))
    world.run()
    assert world.submit("a") >= 0
    world.run()
    assert world.sent_ids() == [["a"], ["a"]]


def test_accept_of_completed_message_in_flight_is_rejected(tmp_path: Path):
    """The message has had its final answer: accepted again, it would never get another one."""
    world = World(tmp_path)
    world.submit("a", left=50.0)
    world.run(100)
    assert world.transport.notifications["a"][0] in ("failed", "returned")
    with pytest.raises(RejectedError):
        world.submit("a")


def test_accept_of_unknown_class_or_above_capacity_is_rejected(tmp_path: Path):
    world = World(tmp_path, max_held=3)
    with pytest.raises(BadRequestError):
        world.submit("x", "no-such-class")
    for name in "abc":
        world.engine.accept(SubmittedMessage(name, "safe", None, 1, 5_000.0, "", b""))
    with pytest.raises(RejectedError) as rejection:
        world.engine.accept(SubmittedMessage("d", "safe", None, 1, 5_000.0, "", b""))
    assert rejection.value.retry_after_ms == 3_000 and "d" not in world.open_ids()


def test_accept_of_undeliverable_message_is_a_bad_request(tmp_path: Path):
    world = World(tmp_path)
    for cls, dest, left, token in (
        ("safe", 3, 5_000.0, ""),
        ("safe", 1, 0.0, ""),
        ("safe", 1, 1e9, ""),
        ("keyed", 1, 5_000.0, ""),
    ):
        with pytest.raises(BadRequestError):
            world.engine.accept(SubmittedMessage("x", cls, None, dest, left, token, b""))
    assert world.open_ids() == []


def test_accept_with_full_journal_is_rejected(tmp_path: Path):
    world = World(tmp_path, disk_limit_bytes=60_000)

    def submit_until_full() -> None:
        for i in range(20):
            world.engine.accept(SubmittedMessage(f"m{i}", "safe", None, 1, 5_000.0, "", b"x" * 5_000))

    with pytest.raises(RejectedError):
        submit_until_full()


def test_withdraw_of_message_in_flight_cancels_its_call(tmp_path: Path):
    world = World(tmp_path)
    world.engine.withdraw(world.submit("a"))
    world.run()
    assert world.open_ids() == [] and world.transport.calls[0].cancelled
    world.transport.calls[0].end(AttemptResult(Outcome.CANCELLED))
    world.run(500)
    assert len(world.transport.calls) == 1 and not world.transport.notifications
    world.engine.withdraw(0)  # the handle of a removed message has no effect


def test_messages_of_one_dispatch_cycle_share_a_call_and_have_results_of_their_own(tmp_path: Path):
    world = World(tmp_path, kind="batch")
    for name in "abcd":
        world.engine.accept(SubmittedMessage(name, "safe", None, 1, 5_000.0, "", b""))
    world.run()
    assert world.sent_ids() == [["a", "b", "c", "d"]]
    world.transport.calls[0].end(
        OK, AttemptResult(Outcome.ERROR), AttemptResult(Outcome.NOT_SENT, is_final=True), OK
    )
    world.run(10)
    assert world.open_ids() == ["b"] and world.sent_ids()[1:] == [["b"]]


def test_message_completed_in_a_shared_call_is_no_longer_wanted(tmp_path: Path):
    """Guards against sending a message after its final answer when a connection is established late."""
    world = World(tmp_path, kind="batch")
    world.engine.accept(SubmittedMessage("brief", "safe", None, 1, 100.0, "", b""))
    world.engine.accept(SubmittedMessage("other", "safe", None, 1, 5_000.0, "", b""))
    world.run()
    (call,) = world.transport.calls
    assert call.is_wanted("brief") and call.is_wanted("other") and not call.drop_count
    world.run(150)
    assert "brief" in world.transport.notifications and call.drop_count == 1 and not call.cancelled
    assert call.is_wanted("other") and not call.is_wanted("brief")
    call.end(*(AttemptResult(Outcome.NOT_SENT) if p.id == "brief" else OK for p in call.messages))
    world.run()
    assert len(world.transport.calls) == 1 and world.engine.held_count == 0


# Guards against responses that are void for all messages because the first one's deadline has passed.
def test_shared_call_begins_with_a_message_whose_time_outlasts_it(tmp_path: Path):
    world = World(tmp_path, kind="batch")
    for name, class_name, left_ms in (
        ("brief", "once", 400.0),
        ("usual", "safe", 5e3),
        ("lasting", "safe", 9e3),
    ):
        world.engine.accept(SubmittedMessage(name, class_name, None, 1, left_ms, "", b""))
    world.run()
    (call,) = world.transport.calls
    assert {message.id for message in call.messages} == {"brief", "usual", "lasting"}
    assert call.messages[0].id != "brief" and world.clock.now() + 400.0 < call.deadline_ms
    call.end(*(AttemptResult(Outcome.ERROR) if message.id == "usual" else OK for message in call.messages))
    assert world.open_ids() == ["usual"], "each message gets its own result"


def test_shared_call_ends_before_its_first_message_is_lost(tmp_path: Path):
    """A response 300 ms after one message's deadline does not count for the other messages of the call."""
    world = World(tmp_path, kind="batch")
    world.engine.accept(SubmittedMessage("brief", "safe", None, 1, 1_000.0, "", b""))
    world.engine.accept(SubmittedMessage("other", "safe", None, 1, 20_000.0, "", b""))
    start_ms = world.clock.now()
    world.run()
    assert len(world.transport.calls) == 1
    assert start_ms + 1_000.0 < world.transport.calls[0].deadline_ms < start_ms + 1_300.0
    world.submit("alone", left=20_000.0)
    assert world.transport.calls[1].deadline_ms > start_ms + 1_300.0


def test_message_without_attempts_left_is_notified_at_once_with_retry_after(tmp_path: Path):
    world = World(tmp_path, max_attempts=1)
    world.submit("a")
    world.transport.calls[0].end(AttemptResult(Outcome.FULL))
    world.run()
    state, retry_after_ms, acknowledge = world.transport.notifications["a"]
    assert (state, retry_after_ms) == ("returned", 3_000) and world.open_ids() == ["a"]
    acknowledge()
    assert world.open_ids() == []


def test_ordering_key_waits_until_notification_of_previous_message_is_acknowledged(tmp_path: Path):
    """A message that was not delivered blocks its key until its notification is acknowledged."""
    world = World(tmp_path, max_attempts=1)
    world.submit("first", "keyed", key=9)
    world.submit("second", "keyed", key=9)
    world.transport.calls[0].end(AttemptResult(Outcome.FULL))
    world.run(3_000)
    assert world.sent_ids() == [["first"]]
    world.transport.notifications["first"][2]()
    world.run(3_000)
    assert world.sent_ids() == [["first"], ["second"]]


def test_recover_resumes_open_messages_and_continues_attempt_count(tmp_path: Path):
    world = World(tmp_path, max_attempts=2)
    world.submit("ended")
    world.transport.calls[0].end(OK)
    world.submit("tried")
    world.transport.calls[1].end(AttemptResult(Outcome.ERROR))
    world.journal.close()
    world.clock.advance(600)
    world.start()
    assert world.sent_ids() == [["tried"]]
    world.transport.calls[0].end(AttemptResult(Outcome.ERROR))
    world.run()
    assert world.transport.notifications["tried"][0] == "returned"  # it has used its two attempts
    world.kill()
    assert world.transport.notifications["tried"][0] == "returned"  # the notification is not acknowledged yet
    world.transport.notifications["tried"][2]()
    world.kill()
    assert not world.transport.notifications and not world.transport.calls


def test_recover_treats_attempt_in_flight_at_crash_as_may_have_run(tmp_path: Path):
    """A keyed message is retried only within its window, and blocks its key for a while first."""
    world = World(tmp_path)
    world.submit("first", "keyed", key=9)
    world.submit("second", "keyed", key=9)
    world.kill()
    assert world.sent_ids() == [["first"]]
    world.transport.calls[0].end(OK)
    world.run(200)
    assert world.sent_ids() == [["first"]]  # the key is blocked for 300 ms after the start
    world.run(150)
    assert world.sent_ids() == [["first"], ["second"]]
    world.journal.close()
    world.clock.advance(9_000)  # past the window of 8 s
    world.start()
    world.run(20)
    assert not world.transport.calls and world.transport.notifications["second"][0] == "returned"


def test_recover_fails_at_most_once_message_in_flight_at_crash(tmp_path: Path):
    world = World(tmp_path)
    world.submit("a", "once")
    world.kill()
    world.run(10)
    assert not world.transport.calls and world.transport.notifications["a"][0] == "failed"


def test_recover_keeps_per_key_ordering(tmp_path: Path):
    world = World(tmp_path)
    for name in ("a", "b", "c"):
        world.submit(name, "keyed", key=9)
    world.transport.calls[0].end(OK)
    world.run()
    world.kill()
    order = []
    for _ in range(2):
        order += world.sent_ids()[-1]
        world.transport.calls[-1].end(OK)
        world.run(400)
    assert order == ["b", "c"] and world.open_ids() == []


def test_recover_notifies_of_message_past_its_deadline_at_once(tmp_path: Path):
    world = World(tmp_path)
    world.submit("a", left=5_000.0)
    world.journal.close()
    world.clock.advance(9_000)
    world.start()
    assert not world.transport.calls and "a" in world.transport.notifications


def test_freeze_starts_no_attempts_and_records_those_in_flight(tmp_path: Path):
    world = World(tmp_path)
    world.submit("out")
    world.engine.freeze()
    world.submit("late")
    assert world.sent_ids() == [["out"]] and world.engine.in_flight_count == 1
    world.transport.calls[0].end(OK)
    assert world.engine.in_flight_count == 0 and world.open_ids() == ["late"]
    world.kill()
    assert world.sent_ids() == [["late"]]


def test_attempt_that_journal_cannot_record_does_not_start(tmp_path: Path, monkeypatch: pytest.MonkeyPatch):
    world = World(tmp_path)
    monkeypatch.setattr(world.journal, "record_attempt_started", lambda *args: False)
    world.submit("a")
    world.run(5)
    assert not world.transport.calls


def test_dispatch_cycle_survives_fault_in_scheduler(tmp_path: Path, monkeypatch: pytest.MonkeyPatch):
    world = World(tmp_path)
    monkeypatch.setattr(world.engine.scheduler, "handle", lambda *args: 1 / 0)
    world.submit("a")
    monkeypatch.undo()
    world.submit("b")
    assert world.sent_ids() == [["b"]]


def test_draining_and_retry_after_recall_calls_that_await_a_connection(tmp_path: Path):
    """A connection may be established long after the call was decided, when draining or a backoff began."""
    world = World(tmp_path)
    world.submit("a")
    drain = api.EndpointEntry(11, 1, api.EndpointStatus.DRAINING)
    world.engine.update_endpoints(api.EndpointsUpdated(api.UpdateScope.CHANGES, (drain,)))
    world.run()
    assert world.transport.recalled == [11]
    (tmp_path / "other").mkdir()
    world = World(tmp_path / "other")
    world.submit("b")
    world.submit("c")
    world.transport.calls[0].end(AttemptResult(Outcome.FULL, retry_after_ms=500))
    world.run()
    assert world.sent_ids() == [["b"], ["c"]] and world.transport.recalled == [11]


def test_recover_does_not_extend_retry_window_by_duration_of_start(tmp_path: Path):
    """Guards against retries that reach their destination after the window's end when a restart is slow."""
    world = World(tmp_path)
    world.submit("a", "keyed", key=9)
    first, world.start_duration_ms = world.clock.now(), 400.0
    world.kill()
    assert len(world.transport.calls) == 1 and world.transport.calls[0].start_by_ms is not None
    assert world.transport.calls[0].start_by_ms <= first + 8_000 - 150


def test_retry_must_begin_within_its_window(tmp_path: Path):
    """A retry whose connection is established only after the window must not be written."""
    world = World(tmp_path)
    world.submit("a", "keyed", key=9)
    first = world.clock.now()
    world.run(100)
    world.transport.calls[0].end(AttemptResult(Outcome.ERROR))
    world.run(1_000)
    assert world.transport.calls[0].start_by_ms is None
    assert world.transport.calls[1].start_by_ms == pytest.approx(first + 8_000 - 150)


def test_events_of_one_step_are_handled_together_and_endpoint_updates_at_once(tmp_path: Path):
    """Messages of a burst arrive milliseconds apart and share a call; draining takes effect at once."""
    world = World(tmp_path, kind="batch")
    for name in "abc":
        world.engine.accept(SubmittedMessage(name, "safe", None, 1, 5_000.0, "", b""))
        world.clock.advance(1)
    assert world.callbacks == [] and world.sent_ids() == []
    world.run()
    assert world.sent_ids() == [["a", "b", "c"]]
    world.engine.accept(SubmittedMessage("d", "safe", None, 2, 5_000.0, "", b""))
    world.engine.update_endpoints(
        api.EndpointsUpdated(
            api.UpdateScope.CHANGES, (api.EndpointEntry(21, 2, api.EndpointStatus.DRAINING),)
        )
    )
    world.callbacks.pop(0)()
    world.run()
    assert world.sent_ids() == [["a", "b", "c"]]


def test_recover_during_an_outage_continues_with_trials(tmp_path: Path):
    """Guards against sending all recovered messages at once after a crash during an outage."""
    world = World(tmp_path, senders=100, slots=24)
    for number in range(10):
        world.submit(f"m{number}")
        world.run(200)
        for sent in world.transport.calls:
            if not sent.cancelled:
                sent.cancelled = True
                sent.end(AttemptResult(Outcome.CONNECT_FAILED))
    open_count = len(world.open_ids())
    assert open_count == 10
    world.kill()
    world.run(1_000)
    assert len(world.transport.calls) <= 2, world.sent_ids()
    world.run(8_000)
    assert world.transport.calls, "the destination must be tried again"


def test_attempts_start_once_every_hold_has_ended_and_final_answers_do_not_wait(tmp_path: Path):
    """Guards against a hand-over that ends the hold of a start, or holds up final answers."""
    world = World(tmp_path)
    world.engine.hold_attempts(AttemptHold.DISCOVERY)
    world.engine.hold_attempts(AttemptHold.HAND_OVER)
    world.submit("a")
    world.submit("brief", left=100.0)
    world.run(110)
    assert world.sent_ids() == []
    assert list(world.transport.notifications) == ["brief"]
    world.engine.release_attempts(AttemptHold.HAND_OVER)
    world.run(20)
    assert world.sent_ids() == []
    world.engine.release_attempts(AttemptHold.DISCOVERY)
    world.run(20)
    assert world.sent_ids() == [["a"]]
