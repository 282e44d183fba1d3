"""Allocates loopback ports to the processes of a test run or rehearsal, exclusively on this machine.

A restarted process listens on its previous port, so no other process may take that port in between. The ports
are divided into blocks. A run claims a block with a file lock, which the system releases when the run ends
for any reason.
"""

from __future__ import annotations

import fcntl
import socket
import tempfile
from itertools import islice
from pathlib import Path
from typing import IO, Final, NamedTuple

HOST: Final = "127.0.0.1"
BLOCK_SIZE: Final = 500  # ports
LOCK_DIRECTORY: Final = Path(tempfile.gettempdir()) / "winchspan-ports"


class PortRange(NamedTuple):
    """The ports from `first` up to, but not including, `end`."""

    first: int
    end: int


# Below the system's range for outgoing connections, which could take an allocated port before its process
# listens on it.
ALL_PORTS: Final = PortRange(20_000, 32_000)


class NoFreePortError(Exception):
    """All ports are claimed by other runs on this machine, or in use."""


class PortAllocator:
    """Allocates ports from blocks that this process has claimed.

    A port is reused only after all other ports of the claimed blocks.
    """

    def __init__(self, ports: PortRange = ALL_PORTS, lock_directory: Path = LOCK_DIRECTORY) -> None:
        """Create an allocator without a claimed block.

        Args:
            ports: shared by all processes with the same lock directory.
            lock_directory: holds one lock file per block.
        """
        self._unclaimed = [
            PortRange(first, min(first + BLOCK_SIZE, ports.end))
            for first in range(ports.first, ports.end, BLOCK_SIZE)
        ]
        self._lock_directory = lock_directory
        self._locks: list[IO[bytes]] = []
        self._ports: list[int] = []  # ports of the claimed blocks, least recently allocated first

    def allocate(self, count: int) -> list[int]:
        """Return distinct ports that are free for TCP and UDP.

        Raises:
            NoFreePortError: fewer ports are free.
        """
        while True:
            found = list(islice((port for port in self._ports if _is_free(port)), count))
            if len(found) == count:
                break
            self._claim_block()
        self._ports = [port for port in self._ports if port not in found] + found
        return found

    def close(self) -> None:
        """Release all claimed blocks."""
        self._ports.clear()
        for lock in self._locks:
            lock.close()
        self._locks.clear()

    def _claim_block(self) -> None:
        """Claim the first block that no other process holds."""
        self._lock_directory.mkdir(mode=0o777, exist_ok=True)
        while self._unclaimed:
            block = self._unclaimed.pop(0)
            lock = (self._lock_directory / f"{block.first}.lock").open("ab")
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                lock.close()
                continue
            self._locks.append(lock)
            self._ports.extend(range(*block))
            return
        raise NoFreePortError("all blocks of ports are claimed by runs on this machine, or in use")


_allocator = PortAllocator()


def free_ports(count: int) -> list[int]:
    """Return distinct ports, free for TCP and UDP, that no other process is given.

    Raises:
        NoFreePortError: fewer ports are free.
    """
    return _allocator.allocate(count)


def _is_free(port: int) -> bool:
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as candidate:
                candidate.bind((HOST, port))
    except OSError:
        return False
    return True
