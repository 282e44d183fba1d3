"""The event loop in virtual time: timers and deadlock detection."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import pytest

from winchspan.simulation.loop import DeadlockError, EmulatedLoop


@pytest.fixture
def loop() -> Iterator[EmulatedLoop]:
    loop = EmulatedLoop()
    yield loop
    loop.close()


def test_loop_with_sleeping_tasks_wakes_them_at_their_virtual_times(loop: EmulatedLoop):
    woken: list[tuple[str, float]] = []

    async def sleep(name: str, seconds: float) -> None:
        await asyncio.sleep(seconds)
        woken.append((name, round(loop.time() - 1_000.0, 6)))

    async def sleep_all() -> None:
        await asyncio.gather(sleep("hour", 3_600.0), sleep("minute", 60.0), sleep("now", 0.0))

    loop.run_until_complete(sleep_all())
    assert woken == [("now", 0.0), ("minute", 60.0), ("hour", 3_600.0)]


def test_loop_with_nothing_ready_and_no_timer_raises_deadlock_error(loop: EmulatedLoop):
    with pytest.raises(DeadlockError):
        loop.run_until_complete(asyncio.wait_for(loop.create_future(), None))
