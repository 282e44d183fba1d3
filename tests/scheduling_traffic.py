"""Traffic for tests of the scheduler: delivered calls, and calls whose responses are lost."""

from __future__ import annotations

from winchspan import api
from winchspan.api import Outcome

from .helpers import MS, SECOND, World


def deliver_calls(world: World, dest: int, endpoint: int, count: int = 12) -> None:
    """Deliver calls to an endpoint one after another, each after 100 ms."""
    done = len(world.attempts)
    for i in range(done, done + count):
        world.put(f"w{dest}-{endpoint}-{i}", dest, after=5 * MS)
        world.end(f"w{dest}-{endpoint}-{i}", Outcome.DELIVERED, after=100 * MS, endpoint=endpoint)


def lose_answers(world: World, rounds: int, size: int = 1) -> None:
    """Lose the responses of calls, while a call that is sent after them is delivered."""
    for i in range(rounds):
        names = [f"lost{i}-{j}" for j in range(size)]
        world.do(*(api.MessageArrived(name, "safe", 1, 20 * SECOND) for name in names), after=50 * MS)
        world.put(f"later{i}", after=5 * MS)
        world.end(f"later{i}", Outcome.DELIVERED, after=100 * MS)
        while not all((name, 0) in world.cancelled for name in names):
            world.do(after=10 * MS)
        world.do(*(api.AttemptCompleted(name, 0, 11, Outcome.CANCELLED) for name in names))
        for name in names:
            while world.sends(name) < 2:
                world.do(after=5 * MS)
        world.do(
            *(api.AttemptCompleted(name, 1, 11, Outcome.DELIVERED, is_final=True) for name in names),
            after=50 * MS,
        )
