"""A leader gives way to one that all members reach, and not again and again where there is none."""

from __future__ import annotations

from winchspan.consensus.reachability import FIRST_BACKOFF_MS, MAX_BACKOFF_MS, LeaderStepDown


def test_step_down_is_allowed_at_once_and_then_after_a_growing_backoff():
    step_down = LeaderStepDown()
    now, waits = 0.0, []
    for _ in range(8):
        assert step_down.is_allowed(now)
        step_down.record(now)
        began_at = now
        while not step_down.is_allowed(now):
            now += 1_000.0
        waits.append(now - began_at)
    assert waits == [min(FIRST_BACKOFF_MS * 2**count, MAX_BACKOFF_MS) for count in range(8)]


def test_step_down_backoff_begins_anew_after_a_long_time():
    step_down = LeaderStepDown()
    step_down.record(0.0)
    step_down.record(FIRST_BACKOFF_MS)
    later = FIRST_BACKOFF_MS + 2 * FIRST_BACKOFF_MS + MAX_BACKOFF_MS
    step_down.record(later)
    assert step_down.is_allowed(later + FIRST_BACKOFF_MS)
