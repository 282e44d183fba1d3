"""The operating system interface of a courier on an emulated machine."""

from __future__ import annotations

import random
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

from winchspan.api import Settings
from winchspan.dead_letters.setup import archiver_settings
from winchspan.fakes.inline_archiver import InlineArchiver
from winchspan.runtime.clock import MS_PER_SECOND, Clock
from winchspan.runtime.system import System
from winchspan.simulation.connection import ConnectionEnd
from winchspan.simulation.datagram_socket import EmulatedDatagramSocket
from winchspan.simulation.incarnation import Incarnation
from winchspan.simulation.listener import EmulatedListener
from winchspan.simulation.machine import Machine

_TOKEN_BYTES: Final = 16
_NONCE_LIMIT: Final = 1 << 52


class EmulatedSystem(System):
    """The operating system as seen by one incarnation of a courier."""

    def __init__(self, machine: Machine, incarnation: Incarnation, config_path: Path) -> None:
        """Create the interface.

        Args:
            machine: the machine.
            incarnation: the process that uses it.
            config_path: path of the platform's configuration, for the environment variable `ROUTER_CONFIG`.
        """
        super().__init__(machine.clock, {"ROUTER_CONFIG": str(config_path)})
        self.poll_monitor = incarnation.poll_monitor
        self.archiver_factory = self._create_archiver
        self.disk = machine.disk
        self._network = machine.network
        self._incarnation = incarnation

    def _create_archiver(
        self, values: Mapping[str, Any], settings: Settings, clock: Clock, call_soon: object
    ) -> InlineArchiver:
        """Create an archiver in virtual time that is stopped when the incarnation ends."""
        incarnation = self._incarnation
        archiver = InlineArchiver(
            lambda delay_ms, callback: incarnation.call_later(delay_ms / MS_PER_SECOND, callback),
            random.Random(incarnation.number),
            archiver_settings(values),
            settings,
            clock,
        )
        incarnation.add_end_callback(archiver.stop)
        return archiver

    def lock_directory(self, directory: Path) -> bool:
        """Return True: a machine runs one program at a time, so no other process can hold the lock."""
        return True

    def adopt_connection(self, descriptor: int) -> ConnectionEnd:  # type: ignore[override]  # not a socket
        """Return a connection of the emulated network."""
        return self._network.find_connection_end(descriptor)

    def listen(self, host: str, port: int) -> EmulatedListener:
        """Listen on the emulated network."""
        return self._incarnation.listen(port)

    def open_datagram_socket(  # type: ignore[override]  # not a socket
        self, host: str, port: int
    ) -> EmulatedDatagramSocket:
        """Open a datagram socket of the emulated network."""
        return self._incarnation.bind(port)

    def random_token(self) -> bytes:
        """Return 16 random bytes that identify this incarnation's connections, the same in each run."""
        return self._incarnation.random.randbytes(_TOKEN_BYTES)

    def random_nonce(self) -> int:
        """Return a random number that distinguishes this incarnation from others, the same in each run."""
        return self._incarnation.random.randrange(1, _NONCE_LIMIT)
