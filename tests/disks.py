"""Fake disks that fill up, fail, or kill the process at a given call."""

from __future__ import annotations

import errno
from pathlib import Path

from winchspan.runtime.system import Disk

_DISK_FULL = "No space left on device"


class FillingDisk(Disk):
    """A disk that fails with ENOSPC while `is_full` is set; larger writes first store half of their data."""

    def __init__(self) -> None:
        self.is_full = False

    def write(self, fd: int, data: memoryview) -> int:
        if not self.is_full:
            return super().write(fd, data)
        if len(data) > 20:
            return super().write(fd, data[: len(data) // 2])
        raise OSError(errno.ENOSPC, _DISK_FULL)


class BoundedDisk(Disk):
    """A disk with a limited number of free bytes."""

    def __init__(self) -> None:
        self.free_bytes = 1 << 30

    def write(self, fd: int, data: memoryview) -> int:
        if not self.free_bytes:
            raise OSError(errno.ENOSPC, _DISK_FULL)
        written_bytes = super().write(fd, data[: self.free_bytes])
        self.free_bytes -= written_bytes
        return written_bytes


class ProcessKilled(BaseException):
    """Raised where the process would be killed."""


class KillingDisk(Disk):
    """Kills the process at a numbered disk call; a write first stores half of its data."""

    def __init__(self, at_call: int) -> None:
        self.calls_left = at_call
        self.descriptors: list[int] = []

    def open(self, path: Path, flags: int) -> int:
        self._count_call()
        self.descriptors.append(super().open(path, flags))
        return self.descriptors[-1]

    def write(self, fd: int, data: memoryview) -> int:
        if self.calls_left == 1 and len(data) > 1:
            super().write(fd, data[: len(data) // 2])
        self._count_call()
        return super().write(fd, data)

    def truncate(self, fd: int, size: int) -> None:
        self._count_call()
        super().truncate(fd, size)

    def remove(self, path: Path) -> None:
        self._count_call()
        super().remove(path)

    def _count_call(self) -> None:
        self.calls_left -= 1
        if self.calls_left == 0:
            raise ProcessKilled


class FailingDisk(Disk):
    """A disk whose calls named in `failing` fail with EIO; a write first stores half of its data."""

    def __init__(self) -> None:
        self.failing: set[str] = set()

    def write(self, fd: int, data: memoryview) -> int:
        if "write" in self.failing and len(data) > 1:
            super().write(fd, data[: len(data) // 2])
        self._fail_if_selected("write")
        return super().write(fd, data)

    def truncate(self, fd: int, size: int) -> None:
        self._fail_if_selected("truncate")
        super().truncate(fd, size)

    def remove(self, path: Path) -> None:
        self._fail_if_selected("remove")
        super().remove(path)

    def _fail_if_selected(self, call: str) -> None:
        if call in self.failing:
            raise OSError(errno.EIO, "Input/output error")
