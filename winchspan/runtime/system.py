"""A courier's access to the operating system, which a simulation can substitute."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import os
import selectors
import socket
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, Final, Protocol

from winchspan.runtime.clock import MS_PER_SECOND, Clock
from winchspan.runtime.poll_monitor import PollMonitor

LISTEN_BACKLOG: Final = 512
"""Connections that the kernel queues until they are accepted."""

_NO_DESCRIPTOR: Final = -1
_NONCE_BITS: Final = 51
_NONCE_SOURCE_BYTES: Final = 7
_TOKEN_BYTES: Final = 16


class Listener(Protocol):
    """A non-blocking listening socket; `add_reader` of the event loop reports connecting clients."""

    def accept(self) -> tuple[Any, Any]:
        """Accept a connection.

        Returns:
            The socket, for `connect_accepted_socket`, and the client's address.

        Raises:
            BlockingIOError: if no client is waiting.
        """

    def getsockname(self) -> tuple[Any, ...]:
        """Return the address: host, port, and further fields of the address family."""

    def close(self) -> None:
        """Stop listening."""


class Disk:
    """The calls that change files; each may raise OSError. A simulated disk can make them fail."""

    def open(self, path: Path, flags: int) -> int:
        """Open a file that only this user may read, and return its descriptor."""
        return os.open(path, flags | os.O_CLOEXEC, 0o600)

    def write(self, fd: int, data: memoryview) -> int:
        """Write all or the first part of the data, and return how many bytes were written."""
        return os.write(fd, data)

    def truncate(self, fd: int, size: int) -> None:
        """Truncate a file to a size in bytes, and continue to write at its end."""
        os.ftruncate(fd, size)
        os.lseek(fd, size, os.SEEK_SET)

    def remove(self, path: Path) -> None:
        """Remove a file if it exists."""
        path.unlink(missing_ok=True)


def file_descriptor(transport: asyncio.BaseTransport) -> int:
    """Return the descriptor of a connection; a simulated connection has a simulated descriptor."""
    sock = transport.get_extra_info("socket")
    return int(sock.fileno() if sock is not None else transport.get_extra_info("descriptor"))


class MonitoredSelector(selectors.DefaultSelector):
    """Waits for the event loop's sockets, and records each poll with a `PollMonitor`."""

    def __init__(self, clock: Clock, poll_monitor: PollMonitor) -> None:
        super().__init__()
        self._clock = clock
        self._poll_monitor = poll_monitor

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for at most `timeout` seconds, and return the sockets that are ready."""
        start_ms = self._clock.now()
        ready: list[tuple[selectors.SelectorKey, int]] = super().select(timeout)
        timeout_ms = None if timeout is None else timeout * MS_PER_SECOND
        self._poll_monitor.record_poll(start_ms, self._clock.now(), timeout_ms)
        if self._poll_monitor.after_poll is not None:
            self._poll_monitor.after_poll()
        return ready


class System:
    """The operating system.

    Attributes:
        clock: the clock of all components.
        environ: the environment variables.
        poll_monitor: records when the event loop has polled its sockets.
        disk: the calls that change files.
        archiver_factory: creates the archiver of undelivered messages where it must not start a thread;
            None for the default archiver.
    """

    def __init__(
        self,
        clock: Clock | None = None,
        environ: Mapping[str, str] = os.environ,
        process_start_ms: float | None = None,
    ) -> None:
        """Create the interface to the operating system.

        Args:
            clock: the clock to use; None for the system's.
            environ: the environment variables.
            process_start_ms: the clock's reading at the start of the process; None if unknown.
        """
        self.clock = clock or Clock()
        self.environ = environ
        self.poll_monitor = PollMonitor() if process_start_ms is None else PollMonitor(process_start_ms)
        self.disk = Disk()
        self.archiver_factory: Callable[..., Any] | None = None
        self._locked_fd = _NO_DESCRIPTOR

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """Create an event loop whose polls are recorded."""
        return asyncio.SelectorEventLoop(MonitoredSelector(self.clock, self.poll_monitor))

    def lock_directory(self, directory: Path) -> bool:
        """Lock a directory until this process ends, or until `unlock_directory`.

        Returns:
            False while another process holds the lock.
        """
        if self._locked_fd < 0:
            self._locked_fd = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            fcntl.flock(self._locked_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        except OSError:  # the file system has no locks: continue without a lock
            pass
        return True

    def unlock_directory(self) -> None:
        """Release the lock of the directory."""
        if self._locked_fd >= 0:
            os.close(self._locked_fd)
            self._locked_fd = _NO_DESCRIPTOR

    def inherit_listener(self, descriptor: int) -> Listener:
        """Return the listening socket that the parent process opened.

        Raises:
            OSError: if the descriptor is no listening socket.
        """
        listener = socket.socket(fileno=descriptor)
        if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            listener.detach()
            raise OSError(errno.EINVAL, "the socket is not listening")
        listener.setblocking(False)
        return listener

    def adopt_connection(self, descriptor: int) -> socket.socket:
        """Return a connection that another process has handed over, for `connect_accepted_socket`."""
        connection = socket.socket(fileno=descriptor)
        connection.setblocking(False)
        return connection

    def open_datagram_socket(self, host: str, port: int) -> socket.socket:
        """Open a UDP socket at an address.

        Raises:
            OSError: if the address cannot be used.
        """
        datagram_socket = socket.socket(_address_family(host), socket.SOCK_DGRAM)
        try:
            datagram_socket.bind((host, port))
        except OSError:
            datagram_socket.close()
            raise
        datagram_socket.setblocking(False)
        return datagram_socket

    def random_nonce(self) -> int:
        """Return a random number from 1 to 2**51 that distinguishes this process from others."""
        random_bytes = os.urandom(_NONCE_SOURCE_BYTES)  # importing `secrets` would slow down each start
        return (int.from_bytes(random_bytes) >> (8 * _NONCE_SOURCE_BYTES - _NONCE_BITS)) + 1

    def random_token(self) -> bytes:
        """Return 16 cryptographically secure random bytes."""
        return os.urandom(_TOKEN_BYTES)

    def listen(self, host: str, port: int) -> Listener:
        """Listen for clients at an address.

        Raises:
            OSError: if the address cannot be used.
        """
        listener = socket.create_server((host, port), family=_address_family(host), backlog=LISTEN_BACKLOG)
        listener.setblocking(False)
        return listener


def _address_family(host: str) -> socket.AddressFamily:
    """Return the address family of a numeric host."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET
