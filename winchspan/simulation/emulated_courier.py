"""A courier of an emulation: the unchanged application on an emulated machine."""

from __future__ import annotations

import asyncio
import signal
from functools import partial
from pathlib import Path
from typing import Any, Final

from winchspan.admin.request import AdminRequest
from winchspan.admin.routes import handle_request
from winchspan.api import EndpointStatus
from winchspan.application.application import Application, ProcessContext
from winchspan.application.component import OperatorOptions
from winchspan.config.operator.loader import load_operator_file
from winchspan.fakes.courier_process import CourierProcess
from winchspan.fakes.scenario import Scenario
from winchspan.runtime.clock import MS_PER_SECOND
from winchspan.simulation.audit.auditor import Auditor
from winchspan.simulation.changed_settings import write_changed_settings
from winchspan.simulation.emulated_application import run_application
from winchspan.simulation.emulated_upgrade import EmulatedUpgrade
from winchspan.simulation.incarnation import Incarnation
from winchspan.simulation.listener import EmulatedListener
from winchspan.simulation.machine import Machine
from winchspan.simulation.system import EmulatedSystem
from winchspan.upgrade.take_over import InheritedState

START_UP_SECONDS: Final = 0.15
"""Time from the start of a process until its application starts."""

_UPGRADE_POLL_SECONDS: Final = 0.05


class EmulationError(Exception):
    """A scenario cannot be emulated; the message gives the reason."""


class EmulatedCourier(CourierProcess):
    """A courier that runs as a process on its own emulated machine.

    Attributes:
        machine: the machine.
        abandoned_tasks: tasks of ended incarnations, to be cancelled at the end of the emulation.
        upgrade_count: number of successful upgrades.
    """

    def __init__(
        self, directory: Path, number: int, operator: Path | None, machine: Machine, auditor: Auditor
    ) -> None:
        super().__init__(directory, number, operator)
        self.machine = machine
        self.abandoned_tasks: list[asyncio.Task[Any]] = []
        self.upgrade_count = 0
        self._auditor = auditor
        self._loop = machine.network.loop
        self._start_timer: asyncio.TimerHandle | None = None
        self._application: Application | None = None
        self._run_task: asyncio.Task[None] | None = None
        self._upgrade: EmulatedUpgrade | None = None
        self._original_config: bytes | None = None

    # ---- process interface of rehearsals -----------------------------------------------------------------
    def configure(self, scenario: Scenario, discovery: int, known: dict[str, object]) -> None:
        """Write its configuration; raises EmulationError for an option that cannot be emulated."""
        super().configure(scenario, discovery, known)
        if self._operator_template is not None and load_operator_file(self._operator)["control"]["on"]:
            raise EmulationError(f"{self._operator_template}: control.on: the control socket is not emulated")

    def free_port(self) -> int:
        """Return a free port of the emulated network."""
        return self.machine.network.find_free_port()

    def start(self) -> None:
        """Start it after `START_UP_SECONDS`."""
        if self._start_timer is not None:
            self._start_timer.cancel()
        self._start_timer = self._loop.call_later(START_UP_SECONDS, self._on_started)

    def _on_started(self) -> None:
        self._start_timer = None
        if self.machine.is_running or self.machine.is_powered_off:
            return  # faults overlap: the last of them to end starts the courier
        self._start_incarnation()
        self._auditor.on_courier_started(self.machine.host)

    def _start_incarnation(
        self, inherited: InheritedState | None = None, listener: EmulatedListener | None = None
    ) -> None:
        """Start an incarnation, either afresh or as the successor of an incarnation that has handed over."""
        operator: OperatorOptions = (
            load_operator_file(self._operator) if self._operator_template is not None else {}
        )
        incarnation = self.machine.start_program()
        if listener is not None:
            incarnation.inherit_listener(listener)
        for descriptor in inherited.descriptors if inherited is not None else ():
            incarnation.inherit_connection(self.machine.network.find_connection_end(descriptor))
        system = EmulatedSystem(self.machine, incarnation, self._config_path())
        context = ProcessContext(system, inherited, listener)
        self._application, self._run_task = run_application(incarnation, operator, context)

    def crashed(self) -> bool:
        """Return whether the application has ended by itself; raises its error if it failed."""
        if self._run_task is None or not self._run_task.done():
            return False
        self._run_task.result()
        return True

    def port_taken(self) -> bool:
        """Return False: no other process uses ports of the emulated network."""
        return False

    def kill(self) -> None:
        """Kill it without a shutdown."""
        if self._start_timer is not None:
            self._start_timer.cancel()
        self._abandon_incarnation()
        self.machine.kill_program()

    def stop(self) -> None:
        """Kill it at the end of the run."""
        self.kill()

    def cpu_seconds(self) -> float:
        """Return 0: all couriers of an emulation share one process."""
        return 0.0

    def resident_bytes(self) -> int:
        """Return 0: all couriers of an emulation share one process."""
        return 0

    def _abandon_incarnation(self) -> None:
        self._auditor.on_courier_stopped(self.machine.host)
        if self.machine.incarnation is not None:
            self.abandoned_tasks += self.machine.incarnation.pending_tasks()
        self._run_task = None

    # ---- faults ------------------------------------------------------------------------------------------
    def signal(self, number: int) -> None:
        """Send a signal to it."""
        if self.machine.incarnation is not None:
            self.machine.incarnation.deliver_signal(number)

    def suspend_for(self, duration_ms: float) -> None:
        """Suspend it for a duration."""
        incarnation = self.machine.incarnation
        if incarnation is not None:
            incarnation.suspend_for(duration_ms)
            self._auditor.on_courier_suspended(self.machine.host, duration_ms)

    def restart(self, down_ms: float) -> None:
        """Shut it down gracefully, and start it again `down_ms` after it has ended."""
        run_task = self._run_task
        incarnation = self.machine.incarnation
        if self._is_upgrading:  # wait for the end of the hand-over
            self._loop.call_later(_UPGRADE_POLL_SECONDS, self.restart, down_ms)
            return
        if run_task is None or incarnation is None:
            return
        self._run_task = None  # its end does not count as a crash
        self._auditor.on_courier_stopped(self.machine.host)
        run_task.add_done_callback(partial(self._on_shut_down, incarnation, down_ms))
        self.signal(signal.SIGTERM)

    def _on_shut_down(self, incarnation: Incarnation, down_ms: float, task: asyncio.Task[None]) -> None:
        incarnation.kill()
        self.abandoned_tasks += incarnation.pending_tasks()
        self._loop.call_later(down_ms / MS_PER_SECOND, self.start)

    def lose_power_for(self, duration_ms: float) -> None:
        """Cut the power of its machine for a duration; its directory is preserved."""
        self._abandon_incarnation()
        self.machine.power_off()
        self._loop.call_later(duration_ms / MS_PER_SECOND, self._on_power_restored)

    def _on_power_restored(self) -> None:
        self.machine.power_on()
        self.start()

    # ---- actions of operators ----------------------------------------------------------------------------
    @property
    def _is_upgrading(self) -> bool:
        return self._upgrade is not None and not self._upgrade.is_over

    @property
    def is_serving(self) -> bool:
        """Whether it runs, and is neither shutting down nor handing over."""
        return self._run_task is not None and self.machine.is_running and not self._is_upgrading

    def request(self, path: str) -> bool:
        """Send a POST request to its admin server; return whether the request succeeded."""
        if not self.is_serving or self._application is None:
            return False
        return handle_request(self._application.operations(), AdminRequest("POST", path)).is_success

    def find_endpoint_name(self, partner: int) -> str:
        """Return the name of an endpoint of a partner in the courier's directory; empty if there is none."""
        if self._application is None:
            return ""
        endpoints = self._application.hand_over_components().endpoint_directory.endpoints.values()
        names = (
            endpoint.name
            for endpoint in endpoints
            if endpoint.destination == partner and endpoint.status is not EndpointStatus.GONE
        )
        return next(names, "")

    def upgrade(self, *, same_program: bool = True, stall_ms: float = 0.0) -> None:
        """Start an upgrade to a new process of the same or of another program, if the courier serves.

        Args:
            same_program: whether the new process is of the same program.
            stall_ms: time after which the new process fails with the state unread; 0: it takes over.
        """
        incarnation = self.machine.incarnation
        listener = self.machine.network.find_listener(self.port)
        if not self.is_serving or self._application is None or incarnation is None or listener is None:
            return

        def start_successor(inherited: InheritedState) -> None:
            self.abandoned_tasks += incarnation.pending_tasks()
            self.upgrade_count += 1
            self._start_incarnation(inherited, listener)

        self._upgrade = EmulatedUpgrade(
            self._application, incarnation, listener, start_successor, same_program=same_program
        )
        self._upgrade.stall_ms = stall_ms
        self._upgrade.start()

    def use_changed_settings(self) -> None:
        """Write changed settings, and have the courier reload them."""
        path = self._config_path()
        if self._original_config is None:
            self._original_config = path.read_bytes()
        write_changed_settings(path, self._original_config)
        self.signal(signal.SIGHUP)

    def restore_settings(self) -> None:
        """Write the original settings, and have the courier reload them."""
        path = self._config_path()
        if self._original_config is None:
            self._original_config = path.read_bytes()
        path.write_bytes(self._original_config)
        self.signal(signal.SIGHUP)

    def _config_path(self) -> Path:
        return self._directory / "config.json"
