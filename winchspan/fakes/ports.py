"""Ports on loopback for the processes of a test or rehearsal, which no other run on this machine is given.

A process that is started again listens on the port that it had, and nobody else may have taken that port
meanwhile. The ports are divided into blocks. A run claims a block by a lock on a file, which the system
releases when the run ends, however it ends.
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
    """Ports from `first` to before `end`."""

    first: int
    end: int


# Below the ports that the system gives to outgoing connections: one of those could take a port of ours
# before it is listened on.
ALL_PORTS: Final = PortRange(20_000, 32_000)


class NoFreePortError(Exception):
    """All ports are claimed by runs on this machine, or taken by others."""


class PortAllocator:
    """Hands out ports of blocks that are claimed for this process.

    A port is handed out again only after all others of the claimed blocks.
    """

    def __init__(self, ports: PortRange = ALL_PORTS, lock_directory: Path = LOCK_DIRECTORY) -> None:
        """Claim nothing yet.

        Args:
            ports: those that all processes with this lock directory share.
            lock_directory: holds one lock file for each block.
        """
        self._unclaimed = [
            PortRange(first, min(first + BLOCK_SIZE, ports.end))
            for first in range(ports.first, ports.end, BLOCK_SIZE)
        ]
        self._lock_directory = lock_directory
        self._locks: list[IO[bytes]] = []
        self._ports: list[int] = []  # claimed; the next one to hand out comes first

    def allocate(self, count: int) -> list[int]:
        """Return different ports that nobody listens on, for TCP and UDP.

        Raises:
            NoFreePortError: there are not so many.
        """
        while True:
            found = list(islice((port for port in self._ports if _is_free(port)), count))
            if len(found) == count:
                break
            self._claim_block()
        self._ports = [port for port in self._ports if port not in found] + found
        return found

    def close(self) -> None:
        """Give up all blocks."""
        self._ports.clear()
        for lock in self._locks:
            lock.close()
        self._locks.clear()

    def _claim_block(self) -> None:
        """Claim the first block that no other process has."""
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
        raise NoFreePortError("all blocks of ports are claimed by runs on this machine, or taken")


_allocator = PortAllocator()


def free_ports(count: int) -> list[int]:
    """Return different ports that no other process of a run is given, for TCP and UDP.

    Raises:
        NoFreePortError: there are not so many.
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
