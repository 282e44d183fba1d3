"""The clocks of an emulated machine: they may drift, and the wall time may be wrong and be set."""

from __future__ import annotations

from typing import Final

from winchspan.runtime.clock import Clock
from winchspan.simulation.loop import NS_PER_MS, EmulatedLoop

INITIAL_UNIX_MS: Final = 1_700_000_000_000.0
"""The true wall time when the monotonic clock reads 0."""


class MachineClock(Clock):
    """A monotonic clock and a wall clock.

    Attributes:
        rate: seconds that the clocks count per true second.
    """

    def __init__(self, loop: EmulatedLoop, drift: float = 0.0, wall_offset_ms: float = 0.0) -> None:
        """Create the clocks of a machine.

        Args:
            loop: the event loop, whose clock is the true time.
            drift: seconds that the clocks gain per true second.
            wall_offset_ms: offset in ms of the wall time from the true one.
        """
        self._loop = loop
        self.rate = 1.0 + drift
        self._wall_offset_ms = wall_offset_ms
        self._boot_count = 0
        self.reboot()
        self.begin_process()

    def begin_process(self) -> None:
        """Set the offset of a new process's persistent time from the present wall time."""
        self.persistent_offset_ms = self.unix_ms() - self.now()

    def reboot(self) -> None:
        """Change the boot id, as a reboot does."""
        self._boot_count += 1
        self.boot_id = f"boot {self._boot_count}"

    def now(self) -> float:
        """Return the monotonic time in ms."""
        return self._loop.ns / NS_PER_MS * self.rate

    def boottime_ms(self) -> float:
        """Return the same as `now`: emulated machines are never suspended."""
        return self.now()

    def unix_ms(self) -> float:
        """Return the wall time in ms."""
        return INITIAL_UNIX_MS + self.now() + self._wall_offset_ms

    def step_wall_time(self, step_ms: float) -> None:
        """Set the wall time forward, or back by a negative step."""
        self._wall_offset_ms += step_ms
