"""An emulated disk: real files, on a device that may be full and may write partially."""

from __future__ import annotations

import errno
import os
from pathlib import Path

from winchspan.runtime.system import Disk
from winchspan.simulation.fragmentation import Fragmenter


class EmulatedDisk(Disk):
    """A disk that may be full, and whose writes may be partial.

    Attributes:
        is_full: whether writes, and opening new files, fail with ENOSPC.
    """

    def __init__(self, fragmenter: Fragmenter) -> None:
        self.is_full = False
        self._fragmenter = fragmenter

    def open(self, path: Path, flags: int) -> int:
        """Open a file; raises OSError for a new file on a full disk."""
        if self.is_full and not path.exists():
            raise _disk_full_error()
        return super().open(path, flags)

    def write(self, fd: int, data: memoryview) -> int:
        """Write data; partially where the network fragments, too. Raises OSError if the disk is full."""
        if self.is_full:
            raise _disk_full_error()
        return super().write(fd, data[: self._fragmenter.piece_size(len(data))])


def _disk_full_error() -> OSError:
    return OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
