"""Traffic for tests of the scheduler: delivered calls, and calls whose responses are lost."""

from __future__ import annotations

from winchspan import api
from winchspan.api import Outcome

from .helpers import MS, SECOND, SchedulerHarness


def deliver_calls(harness: SchedulerHarness, dest: int, endpoint: int, count: int = 12) -> None:
    """Deliver calls to an endpoint one after another, each after 100 ms."""
    done = len(harness.attempt_counts)
    for i in range(done, done + count):
        harness.submit(f"w{dest}-{endpoint}-{i}", dest, after=5 * MS)
        harness.complete_attempt(
            f"w{dest}-{endpoint}-{i}", Outcome.DELIVERED, after=100 * MS, endpoint=endpoint
        )


def lose_answers(harness: SchedulerHarness, rounds: int, size: int = 1) -> None:
    """Lose the responses of calls, while a call that is sent after them is delivered."""
    for i in range(rounds):
        names = [f"lost{i}-{j}" for j in range(size)]
        harness.handle(*(api.MessageArrived(name, "safe", 1, 20 * SECOND) for name in names), after=50 * MS)
        harness.submit(f"later{i}", after=5 * MS)
        harness.complete_attempt(f"later{i}", Outcome.DELIVERED, after=100 * MS)
        while not all((name, 0) in harness.cancelled for name in names):
            harness.handle(after=10 * MS)
        harness.handle(*(api.AttemptCompleted(name, 0, 11, Outcome.CANCELLED) for name in names))
        for name in names:
            while harness.attempt_count(name) < 2:
                harness.handle(after=5 * MS)
        harness.handle(
            *(api.AttemptCompleted(name, 1, 11, Outcome.DELIVERED, is_final=True) for name in names),
            after=50 * MS,
        )
