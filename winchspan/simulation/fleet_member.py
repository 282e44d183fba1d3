"""A courier of an emulated fleet: the unchanged application on its own machine."""

from __future__ import annotations

import asyncio
import shutil
from pathlib import Path
from typing import Any, Final

from winchspan.application.application import Application, ProcessContext
from winchspan.config.operator.reader import read_nodes
from winchspan.config.operator.schema import validate_sections
from winchspan.config.operator.sections import SECTIONS
from winchspan.simulation.emulated_application import run_application
from winchspan.simulation.machine import Machine
from winchspan.simulation.system import EmulatedSystem

START_UP_SECONDS: Final = 0.1
"""Time from the start of a process until its application starts."""

CONFIG_FILE: Final = "config.json"
STATE_DIRECTORY: Final = "state"
ROLE_METRIC_PREFIX: Final = "fleet.duty."
"""Prefix of the metrics whose values are the epoch under which a courier holds a leased role, or 0."""


class FleetMember:
    """A courier with its machine and its directory.

    Attributes:
        name: its name.
        folder: its directory, which is preserved over restarts.
        machine: its machine.
        application: the latest application, running or ended by itself; None before a start and after a kill.
        abandoned_tasks: tasks of killed incarnations, to be cancelled at the end of the emulation.
    """

    def __init__(self, machine: Machine, folder: Path, operator_text: str) -> None:
        """Create a member without starting it.

        Args:
            machine: its machine.
            folder: its directory.
            operator_text: text of its operator's file.
        """
        self.name = machine.host
        self.folder = folder
        self.machine = machine
        self.application: Application | None = None
        self.abandoned_tasks: list[asyncio.Task[Any]] = []
        self._operator_text = operator_text
        self._run_task: asyncio.Task[None] | None = None
        self._start_timer: asyncio.TimerHandle | None = None

    # ---- faults ------------------------------------------------------------------------------------------
    def start(self) -> None:
        """Start it after `START_UP_SECONDS`, unless it is running or starting."""
        if not self.is_running and self._start_timer is None:
            loop = self.machine.network.loop
            self._start_timer = loop.call_later(START_UP_SECONDS, self._on_started)

    def _on_started(self) -> None:
        self._start_timer = None
        incarnation = self.machine.start_program()
        operator = validate_sections(read_nodes(self._operator_text, self.name), SECTIONS, self.name)
        context = ProcessContext(EmulatedSystem(self.machine, incarnation, self.folder / CONFIG_FILE))
        self.application, self._run_task = run_application(incarnation, operator, context)

    def kill(self) -> None:
        """Kill it without a shutdown."""
        if self._start_timer is not None:
            self._start_timer.cancel()
            self._start_timer = None
        if self.machine.incarnation is not None:
            self.abandoned_tasks += self.machine.incarnation.pending_tasks()
        self.machine.kill_program()
        self.application = None

    def kill_and_erase(self) -> None:
        """Kill it without a shutdown, and erase its state directory."""
        self.kill()
        state_directory = self.folder / STATE_DIRECTORY
        shutil.rmtree(state_directory)
        state_directory.mkdir()

    def suspend(self) -> None:
        """Suspend it until it is resumed."""
        if self.machine.incarnation is not None and self.is_running:
            self.machine.incarnation.suspend()

    def resume(self) -> None:
        """Resume it."""
        if self.machine.incarnation is not None and self.is_running:
            self.machine.incarnation.resume()

    def fill_disk(self) -> None:
        """Make writes to its disk fail."""
        self.machine.disk.is_full = True

    def free_disk(self) -> None:
        """Make writes to its disk succeed again."""
        self.machine.disk.is_full = False

    # ---- observation -------------------------------------------------------------------------------------
    @property
    def is_running(self) -> bool:
        """Whether its process exists, suspended or not."""
        return self.machine.is_running

    @property
    def is_suspended(self) -> bool:
        """Whether its process is suspended."""
        incarnation = self.machine.incarnation
        return incarnation is not None and self.is_running and incarnation.is_suspended

    @property
    def is_responsive(self) -> bool:
        """Whether it runs and is not suspended."""
        return self.is_running and not self.is_suspended

    def metrics(self) -> dict[str, int]:
        """Return the metrics of all components; empty without an application."""
        metrics: dict[str, int] = {}
        for component in self.application.components if self.application is not None else ():
            metrics |= component.metrics()
        return metrics

    def held_roles(self) -> list[str]:
        """Return the leased roles that it holds."""
        return [
            metric.removeprefix(ROLE_METRIC_PREFIX)
            for metric, epoch in self.metrics().items()
            if epoch and metric.startswith(ROLE_METRIC_PREFIX)
        ]

    def check(self) -> None:
        """Raise its error, or AssertionError, if its application has ended by itself."""
        if self.is_running and self._run_task is not None and self._run_task.done():
            self._run_task.result()
            raise AssertionError(f"{self.name} has ended by itself")
