"""The clock of all components, in float milliseconds, and a manual clock for tests."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Final

NS_PER_MS: Final = 1_000_000
MS_PER_SECOND: Final = 1_000.0
_BOOT_ID_FILE: Final = Path("/proc/sys/kernel/random/boot_id")


def ms_to_ns(ms: float) -> int:
    """Convert milliseconds to whole nanoseconds, the unit of the scheduling package."""
    return int(ms * NS_PER_MS)


def ns_to_ms(ns: int) -> float:
    """Convert nanoseconds to milliseconds."""
    return ns / NS_PER_MS


def read_boot_id() -> str:
    """Read the kernel's boot id.

    Readings of the monotonic clock are comparable between two processes with the same boot id.

    Returns:
        The boot id, or an empty string if the kernel does not provide one.
    """
    try:
        return _BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""


class Clock:
    """Reads the clocks of the operating system.

    Attributes:
        persistent_offset_ms: difference between `persistent_unix_ms` and `now`.
        boot_id: the kernel's boot id; empty if it is unknown.
    """

    def __init__(self) -> None:
        self.persistent_offset_ms = self.unix_ms() - self.now()
        self.boot_id = read_boot_id()

    def now(self) -> float:
        """Return monotonic milliseconds, comparable between processes of one boot."""
        return time.monotonic() * MS_PER_SECOND

    def boottime_ms(self) -> float:
        """Return monotonic milliseconds, including the time for which the machine is suspended.

        Leases are timed with this clock (CLOCK_BOOTTIME): a suspended holder must not keep its lease.
        """
        if hasattr(time, "CLOCK_BOOTTIME"):
            return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_SECOND
        return self.now()

    def unix_ms(self) -> float:
        """Return the system's wall clock as Unix time in milliseconds."""
        return time.time() * MS_PER_SECOND

    def persistent_unix_ms(self) -> float:
        """Return the Unix time in milliseconds for times that must survive a restart.

        It advances with the monotonic clock from the start of this process, or of an earlier process of the
        same boot: setting the wall clock must not change the length of deadlines and deduplication windows.
        """
        return self.now() + self.persistent_offset_ms

    @property
    def wall_clock_skew_ms(self) -> float:
        """Milliseconds by which `unix_ms` is ahead of `persistent_unix_ms`."""
        return self.unix_ms() - self.persistent_unix_ms()


class ManualClock(Clock):
    """A clock that stands still until a test advances it."""

    def __init__(self, now: float = 1_000_000.0, unix_ms: float = 1_700_000_000_000.0) -> None:
        self._now_ms = now
        self._unix_ms = unix_ms
        self.persistent_offset_ms = unix_ms - now
        self.boot_id = ""

    def now(self) -> float:
        """Return the monotonic reading."""
        return self._now_ms

    def boottime_ms(self) -> float:
        """Return the same reading as `now`."""
        return self._now_ms

    def unix_ms(self) -> float:
        """Return the Unix time, which advances along with the monotonic reading."""
        return self._unix_ms

    def advance(self, ms: float) -> None:
        """Advance both readings."""
        self._now_ms += ms
        self._unix_ms += ms
