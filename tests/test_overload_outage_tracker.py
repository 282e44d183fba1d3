"""Outages, storms and recoveries of one destination."""

from __future__ import annotations

from winchspan.api import Outcome
from winchspan.overload.outage_tracker import DestinationState, OutageTracker
from winchspan.overload.settings import NS_PER_SECOND, OverloadSettings

from .helpers import MS

NOW = 1_000 * NS_PER_SECOND
SETTINGS = OverloadSettings()


def new_tracker() -> OutageTracker:
    return OutageTracker(NOW, SETTINGS, 0.25, 10 * NS_PER_SECOND)


def fail_until_outage(tracker: OutageTracker, at: int) -> int:
    for _ in range(SETTINGS.outage_failure_count):
        at += 600 * MS
        tracker.record_outcome(at, Outcome.TIMEOUT, 500 * MS)
    return at


def test_outage_tracker_consecutive_failures_over_some_time_are_an_outage():
    tracker = new_tracker()
    for after in (0, 1, 2, 3):  # a burst of failures is not an outage yet
        tracker.record_outcome(NOW + after, Outcome.RESET, 0)
    assert tracker.state is DestinationState.CALM
    tracker.record_outcome(NOW + 5, Outcome.DELIVERED, 1)
    assert fail_until_outage(tracker, NOW + NS_PER_SECOND) and tracker.state is DestinationState.OUTAGE


def test_outage_tracker_call_that_was_not_sent_is_ignored():
    tracker = new_tracker()
    for step in range(10):
        tracker.record_outcome(NOW + step * NS_PER_SECOND, Outcome.NOT_SENT, 0)
    assert tracker.state is DestinationState.CALM


def test_outage_tracker_recovery_regains_the_level_in_steps_and_no_faster_than_the_ramp():
    tracker, levels = new_tracker(), []
    at = fail_until_outage(tracker, NOW) + NS_PER_SECOND
    tracker.record_outcome(at, Outcome.DELIVERED, 100 * MS)
    assert tracker.state is DestinationState.RECOVERING
    for step in range(100):
        tracker.record_outcome(at + step * 100 * MS, Outcome.DELIVERED, 100 * MS)
        levels.append(tracker.level(at + step * 100 * MS))
        warm_up_level = 0.25 + 0.75 * step / 100
        assert levels[-1] <= SETTINGS.ramp_factor * warm_up_level + 1e-9
    assert (
        levels == sorted(levels)
        and tracker.state is DestinationState.CALM
        and tracker.level(at + 11 * NS_PER_SECOND) == 1.0
    )


def test_outage_tracker_delivery_of_a_call_sent_before_the_outage_does_not_end_it():
    tracker = new_tracker()
    at = fail_until_outage(tracker, NOW)
    tracker.record_outcome(at + MS, Outcome.DELIVERED, 10 * NS_PER_SECOND)
    assert tracker.state is DestinationState.OUTAGE


def test_outage_tracker_further_outage_begins_lower_and_a_failure_lowers_the_level():
    tracker, at, starts = new_tracker(), NOW, []
    for _ in range(3):
        at = fail_until_outage(tracker, at) + NS_PER_SECOND
        tracker.record_outcome(at, Outcome.DELIVERED, 100 * MS)
        starts.append(tracker.level(at))
    assert tracker.consecutive_outages == 3 and starts[0] > starts[1] > starts[2] > 0
    regained = [tracker.regained_level]
    tracker.record_outcome(at + MS, Outcome.DELIVERED, 100 * MS)
    regained.append(tracker.regained_level)
    tracker.record_outcome(at + 2 * MS, Outcome.FULL, 100 * MS)
    assert regained[0] < regained[1] > tracker.regained_level


def test_outage_tracker_storm_begins_and_ends_with_hysteresis():
    tracker = new_tracker()
    for step in range(40):
        tracker.record_arrival(NOW + step * 50 * MS, is_retry=step % 2 == 0)
    at = NOW + 2 * NS_PER_SECOND
    tracker.evaluate_storm(at, 0)
    assert tracker.state is DestinationState.STORM
    for step in range(100):  # a fifth are retries, between both thresholds: the storm continues
        tracker.record_arrival(at + step * 50 * MS, is_retry=step % 5 == 0)
        tracker.evaluate_storm(at + step * 50 * MS, 0)
    assert tracker.state is DestinationState.STORM
    at += 5 * NS_PER_SECOND
    for step in range(200):
        tracker.record_arrival(at + step * 50 * MS, is_retry=False)
        tracker.evaluate_storm(at + step * 50 * MS, 0)
    assert tracker.state is DestinationState.CALM
    at += 10 * NS_PER_SECOND
    for step in range(100):  # the same share begins a storm only with a long backlog
        tracker.record_arrival(at + step * 50 * MS, is_retry=step % 5 == 0)
        tracker.evaluate_storm(at + step * 50 * MS, 0)
    assert tracker.state is DestinationState.CALM
    tracker.evaluate_storm(at + 5 * NS_PER_SECOND, SETTINGS.storm_backlog_ns)
    assert tracker.state is DestinationState.STORM


def test_outage_tracker_few_retries_are_no_storm():
    tracker = new_tracker()
    for step in range(5):
        tracker.record_arrival(NOW + step * MS, is_retry=True)
        tracker.evaluate_storm(NOW + step * MS, 0)
    assert tracker.state is DestinationState.CALM
