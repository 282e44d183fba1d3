"""The serving side of a hand-over: its actions on each event."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import settings as options
from hypothesis import strategies as st

from winchspan.application.adoption_gate import MAX_DELAY_MS
from winchspan.net.client_connection import CLIENT_REPLY_TIMEOUT_MS
from winchspan.net.notifications import RESPONSE_LIMIT_MS
from winchspan.upgrade.state_machine import (
    DRAIN_TIMEOUT_MS,
    FIRST_TRANSFER_TIMEOUT_MS,
    LEAST_TRANSFER_TIMEOUT_MS,
    MAX_LATENESS_MS,
    TRANSFER_TIMEOUT_MS,
    HandOverAction,
    HandOverState,
    HandOverStateMachine,
    transfer_timeout_ms,
)

EVENTS = st.sampled_from(
    ["request", "drained", "acknowledged", "tick", "new process lost", "commit failed", "stop"]
)


@given(st.lists(EVENTS, max_size=30))
@options(derandomize=True, deadline=None)
def test_state_machine_any_events_commits_once_resumes_after_each_drain_and_stops_once(events: list[str]):
    machine, now, all_actions = HandOverStateMachine(), 0.0, []
    draining = False  # the components are suspended, and must be handed over or resumed
    for event in events:
        now += 400.0
        before = machine.state
        match event:
            case "request":
                actions = machine.on_request(now, True)
            case "drained":
                actions = machine.on_drained(now)
            case "tick":
                actions = machine.on_tick(now)
            case _:
                actions = {
                    "acknowledged": machine.on_acknowledged,
                    "new process lost": machine.on_new_process_lost,
                    "commit failed": machine.on_commit_failed,
                    "stop": machine.on_stop,
                }[event]()
        all_actions += actions
        if HandOverAction.START_DRAIN in actions:
            assert not draining
            draining = True
        if HandOverAction.RESUME in actions:
            assert draining
            draining = False
        assert (HandOverAction.COMMIT in actions) == (
            before is HandOverState.TRANSFERRING and machine.state is HandOverState.COMMITTED
        )
        assert draining == (machine.state is not HandOverState.SERVING)
    assert all_actions.count(HandOverAction.STOP) <= 1
    assert HandOverAction.STOP not in all_actions or "stop" in events


def test_state_machine_calls_that_do_not_drain_and_a_new_process_that_does_not_read_time_out():
    machine = HandOverStateMachine()
    assert machine.on_request(0.0, True) == [HandOverAction.START_DRAIN]
    assert machine.on_tick(DRAIN_TIMEOUT_MS - 1) == []
    assert machine.on_stop() == []  # the hand-over in progress is completed first
    assert machine.on_tick(DRAIN_TIMEOUT_MS) == [HandOverAction.CANCEL_UNDRAINED]
    assert machine.on_drained(DRAIN_TIMEOUT_MS + 1) == [HandOverAction.TRANSFER]
    assert machine.on_tick(DRAIN_TIMEOUT_MS + 1 + TRANSFER_TIMEOUT_MS) == [
        HandOverAction.RESUME,
        HandOverAction.STOP,
    ]
    assert machine.on_request(9_000.0, True) == [HandOverAction.REJECT]  # it is shutting down


def test_transfer_ends_before_a_message_is_late_and_a_slow_process_gets_more_time():
    """Guards against late final answers, and against a process that can never take over under load."""
    assert transfer_timeout_ms(0.0, 0) == LEAST_TRANSFER_TIMEOUT_MS
    # The new process reads what it adopted, and then its notification must be acknowledged.
    assert LEAST_TRANSFER_TIMEOUT_MS + MAX_DELAY_MS + RESPONSE_LIMIT_MS <= MAX_LATENESS_MS == 300.0
    assert transfer_timeout_ms(-50.0, 0) == LEAST_TRANSFER_TIMEOUT_MS
    assert transfer_timeout_ms(100.0, 0) == LEAST_TRANSFER_TIMEOUT_MS + 100.0
    assert transfer_timeout_ms(math.inf, 0) == FIRST_TRANSFER_TIMEOUT_MS < CLIENT_REPLY_TIMEOUT_MS
    assert transfer_timeout_ms(math.inf, 2) == TRANSFER_TIMEOUT_MS
    timeouts = [transfer_timeout_ms(0.0, failed) for failed in range(6)]
    assert timeouts == sorted(timeouts) and timeouts[-1] == TRANSFER_TIMEOUT_MS
