"""The metrics of the overload control."""

from __future__ import annotations

import pytest
from prometheus_client.parser import text_string_to_metric_families

from winchspan.overload.outage_tracker import DestinationState
from winchspan.overload.report import OverloadReport
from winchspan.runtime.clock import ManualClock
from winchspan.runtime.timers import TimerQueue

from .overload_fixture import GovernorFixture


@pytest.mark.parametrize("state", list(DestinationState))
def test_metrics_text_shows_each_destination(state: DestinationState):
    fixture = GovernorFixture()
    fixture.begin_outage()
    next(fixture.governor.destinations).tracker.state = state
    text = OverloadReport(fixture.governor, TimerQueue(ManualClock()), None).metrics_text().decode()
    samples = {
        (sample.name, sample.labels.get("event", "")): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }
    assert samples["winchspan_storm_trouble", ""] == float(state is not DestinationState.CALM)
    assert samples["winchspan_storm_events_total", "entered_outage"] == 1.0
    assert samples["winchspan_storm_held", ""] == 1.0
