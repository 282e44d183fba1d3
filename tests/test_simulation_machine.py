"""The clocks of emulated machines."""

from __future__ import annotations

import asyncio
from functools import partial

from hypothesis import given, settings
from hypothesis import strategies as st

from winchspan.runtime.timers import TimerQueue
from winchspan.simulation.loop import EmulatedLoop
from winchspan.simulation.machine import Machine
from winchspan.simulation.network import Network


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.floats(-0.02, 0.02), st.lists(st.floats(0.0, 1e7), min_size=1, max_size=20))
def test_timers_of_a_clock_that_drifts_fire_once_and_never_early(drift: float, delays_ms: list[float]):
    loop = EmulatedLoop()
    machine = Machine(Network(loop, 1), "a", drift)
    timers = TimerQueue(machine.clock, machine.start_program())
    lateness_ms: list[float] = []

    def record(due_ms: float) -> None:
        lateness_ms.append(machine.clock.now() - due_ms)

    for delay_ms in delays_ms:
        due_ms = machine.clock.now() + delay_ms
        timers.call_at(due_ms, partial(record, due_ms))
    loop.run_until_complete(asyncio.sleep(1e7 / 1_000.0 * 1.05))
    loop.close()
    assert len(lateness_ms) == len(delays_ms)
    assert min(lateness_ms) >= 0.0
    assert max(lateness_ms) < 0.01
