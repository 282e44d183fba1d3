"""Runs the scenario of a rehearsal with unchanged couriers in virtual time, on the emulated network."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from winchspan.fakes.audit import Result
from winchspan.fakes.courier_process import CourierProcess
from winchspan.fakes.platform import platform
from winchspan.fakes.rehearsal import Rehearsal
from winchspan.fakes.scenario import Scenario
from winchspan.runtime.clock import Clock
from winchspan.runtime.timers import TimerQueue
from winchspan.simulation.audit.auditor import Auditor
from winchspan.simulation.audit.rules import Rule, Violation
from winchspan.simulation.emulated_courier import EmulatedCourier
from winchspan.simulation.environment import (
    DISCOVERY_HOST,
    OUTSIDE_HOST,
    Environment,
    courier_host,
    partner_host,
)
from winchspan.simulation.fault_injector import FaultInjector
from winchspan.simulation.incarnation import Incarnation
from winchspan.simulation.link import LinkId
from winchspan.simulation.loop import NS_PER_SECOND, EmulatedLoop
from winchspan.simulation.machine import Machine
from winchspan.simulation.machine_clock import MachineClock
from winchspan.simulation.network import Network

OVERDUE_CHECK_SECONDS: Final = 0.1
"""Interval between two checks of the auditor for overdue messages."""


@dataclass(frozen=True, slots=True)
class EmulationResult:
    """The result of an emulation.

    Attributes:
        result: the audit of the messages.
        trace_hash: SHA-256 of all traffic on the network, as hexadecimal digits.
        event_count: number of events in the trace.
        byte_count: number of bytes that arrived.
        virtual_seconds: duration in virtual time.
        violations: the first violations of rules.
        violation_counts: number of violations of each rule.
    """

    result: Result
    trace_hash: str
    event_count: int
    byte_count: int
    virtual_seconds: float
    violations: list[Violation]
    violation_counts: dict[Rule, int]


class Emulation(Rehearsal):
    """A scenario with unchanged couriers in virtual time; runs with the same seed have the same traffic.

    Attributes:
        network: the emulated network.
        auditor: checks the platform's rules on all traffic of the network.
    """

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        directory: Path,
        operator: Path | None = None,
        environment: Environment | None = None,
    ) -> None:
        """Create an emulation without starting it.

        Args:
            scenario: the scenario to run.
            seed: seed of all random numbers.
            directory: parent of the couriers' directories.
            operator: the operator's file of all couriers; None for default options.
            environment: links, clocks and faults; None for the defaults without faults.
        """
        super().__init__(scenario, seed, directory, operator)
        settings = platform(scenario.couriers, **scenario.changes)
        hosts = [courier_host(number) for number in range(scenario.couriers)]
        self._environment = environment or Environment()
        self._loop = EmulatedLoop()
        self._couriers: list[EmulatedCourier] = []
        self.network = Network(
            self._loop,
            seed,
            self._environment.default_link,
            is_fragmenting=self._environment.is_fragmenting,
        )
        self._loop.connection_provider = Incarnation(self.network, MachineClock(self._loop), OUTSIDE_HOST)
        for source, target, profile in self._environment.link_overrides:
            self.network.links.set_profile(LinkId(source, target), profile)
        self.auditor = Auditor(settings, hosts, lambda: self._loop.ns)
        self.network.observer = self.auditor
        self._fault_injector = FaultInjector(
            self.network, self.auditor, self._couriers, settings.classes, lambda: self.partners
        )
        self._loop.call_later(OVERDUE_CHECK_SECONDS, self._check_overdue)

    def show_messages(self, show: Callable[[str], None]) -> None:
        """Pass a line on each message's outcome to `show`."""
        self._show = show

    def _check_overdue(self) -> None:
        self.auditor.check_overdue()
        self._loop.call_later(OVERDUE_CHECK_SECONDS, self._check_overdue)

    # ---- hooks of `Rehearsal` ----------------------------------------------------------------------------
    def clock(self) -> Clock:
        """Return the true time."""
        return MachineClock(self._loop)

    def create_courier(self, folder: Path, me: int) -> CourierProcess:
        """Create a courier on its own machine."""
        drifts = self._environment.clock_drifts
        wall_offsets_ms = self._environment.wall_offsets_ms
        drift = drifts[me] if me < len(drifts) else 0.0
        wall_offset_ms = wall_offsets_ms[me] if me < len(wall_offsets_ms) else 0.0
        machine = Machine(self.network, courier_host(me), drift, wall_offset_ms)
        courier = EmulatedCourier(folder, me, self._operator, machine, self.auditor)
        self._couriers.append(courier)
        return courier

    def on_discovery_listening(self, port: int) -> None:
        """Assign discovery to its own host, which is never partitioned."""
        self.network.assign_port(port, DISCOVERY_HOST)

    def on_endpoint_listening(self, partner: int, port: int) -> None:
        """Assign an endpoint to the host of its partner."""
        self.network.assign_port(port, partner_host(partner))

    def on_run_started(self, deadlines: TimerQueue, began: float) -> None:
        """Schedule the faults; raises EmulationError for a fault of a nonexistent courier."""
        self._fault_injector.schedule(deadlines, began, self._environment.faults)

    # ---- run ---------------------------------------------------------------------------------------------
    def play(self) -> EmulationResult:
        """Run the scenario to its end, and close the loop."""
        begin_ns = self._loop.ns
        try:
            result = self._loop.run_until_complete(self.run())
            return EmulationResult(
                result=result,
                trace_hash=self.network.trace.hexdigest(),
                event_count=self.network.trace.event_count,
                byte_count=self.network.trace.byte_count,
                virtual_seconds=(self._loop.ns - begin_ns) / NS_PER_SECOND,
                violations=self.auditor.violation_log.violations,
                violation_counts=self.auditor.violation_log.counts,
            )
        finally:
            self._cancel_tasks()
            self._loop.close()

    def _cancel_tasks(self) -> None:
        """Cancel the remaining tasks of all incarnations and fakes."""
        tasks: list[asyncio.Task[Any]] = []
        for courier in self._couriers:
            tasks += [task for task in courier.abandoned_tasks if not task.done()]
        tasks += [task for task in asyncio.all_tasks(self._loop) if task not in tasks]
        for task in tasks:
            task.cancel()
        if tasks:
            self._loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
