"""An emulated machine: a host of the network with clocks and a disk, on which programs run."""

from __future__ import annotations

from winchspan.simulation.disk import EmulatedDisk
from winchspan.simulation.incarnation import Incarnation
from winchspan.simulation.machine_clock import MachineClock
from winchspan.simulation.network import Network


class Machine:
    """A host that runs the incarnations of a program one after another.

    Attributes:
        network: the network to which it is connected.
        host: its host name.
        clock: its clocks.
        disk: its disk.
        incarnation: the latest incarnation, alive or not; None before the first.
    """

    def __init__(self, network: Network, host: str, drift: float = 0.0, wall_offset_ms: float = 0.0) -> None:
        """Create a machine without a running program.

        Args:
            network: the network to which it is connected.
            host: its host name.
            drift: seconds that its clock gains per true second.
            wall_offset_ms: offset in ms of its wall time from the true one.
        """
        self.network = network
        self.host = host
        self.clock = MachineClock(network.loop, drift, wall_offset_ms)
        self.disk = EmulatedDisk(network.fragmenter)
        self.incarnation: Incarnation | None = None
        self._incarnation_count = 0

    @property
    def is_running(self) -> bool:
        """Whether a program runs."""
        return self.incarnation is not None and self.incarnation.is_alive

    @property
    def is_powered_off(self) -> bool:
        """Whether it has no power."""
        return self.host in self.network.links.powered_off_hosts

    def start_program(self) -> Incarnation:
        """Start the next incarnation of the program; the previous one must have ended."""
        assert not self.is_running
        self.clock.begin_process()
        self._incarnation_count += 1
        self.incarnation = Incarnation(self.network, self.clock, self.host, self._incarnation_count)
        return self.incarnation

    def kill_program(self) -> None:
        """Kill the program without a shutdown; the system closes its sockets and files."""
        if self.incarnation is not None:
            self.incarnation.kill()

    def power_off(self) -> None:
        """Turn the power off; other hosts are not notified."""
        self.network.links.powered_off_hosts.add(self.host)
        self.clock.reboot()
        self.kill_program()

    def power_on(self) -> None:
        """Turn the power on; packets for the old program are answered with a reset."""
        self.network.links.powered_off_hosts.discard(self.host)
