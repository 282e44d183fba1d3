"""Tests of the leader's step-down for unreachable members, and of the backoff between step-downs."""

from __future__ import annotations

from winchspan.consensus.reachability import FIRST_BACKOFF_MS, MAX_BACKOFF_MS, LeaderStepDown


def test_step_down_is_decided_at_once_and_then_after_a_growing_backoff():
    step_down = LeaderStepDown()
    now, waits = 0.0, []
    assert step_down.decide(now, ["n2", "n1"]) == "only others reach n1, n2"
    for _ in range(8):
        began_at = now
        while not step_down.decide(now, ["n1"]):
            now += 1_000.0
        waits.append(now - began_at)
    assert waits == [min(FIRST_BACKOFF_MS * 2**count, MAX_BACKOFF_MS) for count in range(8)]


def test_step_down_is_not_decided_without_unreachable_members():
    assert LeaderStepDown().decide(0.0, []) == ""


def test_step_down_backoff_is_reset_after_a_long_time():
    step_down = LeaderStepDown()
    assert step_down.decide(0.0, ["n1"])
    assert step_down.decide(FIRST_BACKOFF_MS, ["n1"])
    later = FIRST_BACKOFF_MS + 2 * FIRST_BACKOFF_MS + MAX_BACKOFF_MS
    assert step_down.decide(later, ["n1"])
    assert not step_down.decide(later + FIRST_BACKOFF_MS - 1.0, ["n1"])
    assert step_down.decide(later + FIRST_BACKOFF_MS, ["n1"])
