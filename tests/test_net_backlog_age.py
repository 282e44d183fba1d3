"""Upper bounds on the time that clients have waited in the backlog."""

from __future__ import annotations

from winchspan.net.backlog_age import BacklogAge
from winchspan.runtime.poll_monitor import PollMonitor


def test_backlog_age_of_empty_backlog_is_bound_of_last_poll():
    monitor = PollMonitor(0.0)
    age = BacklogAge(monitor)
    age.record_empty()
    monitor.record_poll(0.0, 70.0, None)
    assert age.begin_accepting() == 70.0


def test_backlog_age_after_pause_counts_from_its_begin_until_two_polls_have_passed():
    monitor = PollMonitor(0.0)
    age = BacklogAge(monitor)
    age.record_empty()
    monitor.record_poll(0.0, 70.0, None)
    age.pause()
    monitor.record_poll(70.0, 900.0, None)
    age.resume()
    monitor.record_poll(900.0, 950.0, None)
    assert age.begin_accepting() == 70.0
    monitor.record_poll(950.0, 960.0, None)
    monitor.record_poll(960.0, 970.0, None)
    assert age.begin_accepting() == 970.0
