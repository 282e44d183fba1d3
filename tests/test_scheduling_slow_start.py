"""The slow start of an endpoint that returns."""

from __future__ import annotations

from winchspan import api
from winchspan.api import EndpointStatus
from winchspan.scheduling.scheduler import Scheduler

from .helpers import MS, SECOND, SchedulerHarness, settings
from .scheduling_traffic import deliver_calls


def test_scheduler_endpoint_returning_cold_gets_few_attempts():
    def calls(cold: bool) -> int:
        sender = Scheduler(settings(slots=20), 1)
        sender.handle(
            SECOND,
            [
                api.EndpointsUpdated(
                    api.UpdateScope.SNAPSHOT, (api.EndpointEntry(1, 1, EndpointStatus.DRAINING),)
                )
            ],
        )
        sender.handle(2 * SECOND, [api.MessageArrived(f"m{n}", "safe", 1, 20 * SECOND) for n in range(10)])
        back = api.EndpointsUpdated(
            api.UpdateScope.CHANGES, (api.EndpointEntry(1, 1, needs_slow_start=cold),)
        )
        actions = sender.handle(3 * SECOND, [back])
        return sum(isinstance(action, api.StartAttempt) for action in actions)

    assert calls(cold=False) > 5 and calls(cold=True) <= 1


# Guards against a slow start that paces a replaced endpoint by only a part of the previous load.
def test_slow_start_after_an_absence_is_paced_by_the_load_before_it():
    harness = SchedulerHarness(endpoints={1: [11]})
    deliver_calls(harness, 1, 11, count=60)

    def demand_per_s() -> float:
        (destination,) = harness.scheduler.destinations.values()
        return harness.scheduler.health.slow_starts.demand_per_ns(destination.limit, harness.now) * SECOND

    before = demand_per_s()
    harness.update_endpoints({})
    harness.handle(after=8 * SECOND)
    harness.update_endpoints({1: [12]})
    harness.handle(after=10 * MS)
    assert before > 1
    assert 0.9 * before <= demand_per_s() <= 1.1 * before
