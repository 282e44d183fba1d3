"""Rehearsals in real time: courier processes, and fakes on real sockets.

The scenarios and the audit are the same as in `rehearsal_in_process`. `winchspan.simulation` replaces the
couriers and the clock to run the same rehearsal on an emulated network.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from pathlib import Path
from typing import Final

from winchspan.fakes.audit import Result, evaluate_run
from winchspan.fakes.client_connections import ClientConnections
from winchspan.fakes.clients import Clients, Workload
from winchspan.fakes.courier_process import PORT_IN_USE, CourierProcess
from winchspan.fakes.discovery import Discovery
from winchspan.fakes.partner import OutageMode, Partner
from winchspan.fakes.partner_endpoint import PartnerEndpoint
from winchspan.fakes.platform import platform
from winchspan.fakes.scenario import DRAIN_TIMEOUT_MS, RESTART_DELAY_MS, LoadBalancer, Scenario
from winchspan.runtime.clock import Clock
from winchspan.runtime.timers import TimerQueue

SECOND_MS: Final = 1_000.0
MAX_PORT_ATTEMPTS: Final = 5  # starts of a courier on other ports before the rehearsal fails
PORT_RETRY_DELAY_MS: Final = 200.0  # before the restart of a courier whose port was in use
READY_TIMEOUT_SECONDS: Final = 20.0  # for the answer to the first PING
READY_POLL_SECONDS: Final = 0.1
START_DELAY_MS: Final = 500.0  # from the readiness of the couriers to the start of the run
CROSSING_MS: Final = 100.0  # how long a delivery and a notification may both be in flight, as on the platform
COURIER_CHECK_INTERVAL_SECONDS: Final = 0.25
MEMORY_SAMPLE_INTERVAL_MS: Final = 5_000.0


class RehearsalError(Exception):
    """A courier could not be started, or has exited; the message has the path of its files."""


@dataclass(slots=True)
class _Fakes:
    """The fakes of a run, with their servers and connections."""

    discovery: Discovery
    partners: dict[int, Partner]
    endpoints: dict[int, list[PartnerEndpoint]]
    connections: ClientConnections
    replacements: list[asyncio.Task[None]] = field(
        default_factory=list
    )  # replacements of endpoints in progress

    def set_clients(self, clients: Clients) -> None:
        """Report events to these clients from now on."""
        self.connections.clients = clients
        self.discovery.clients = clients
        for endpoints in self.endpoints.values():
            for endpoint in endpoints:
                endpoint.clients = clients

    def close(self) -> None:
        """Close all servers."""
        self.discovery.server.close()
        for endpoints in self.endpoints.values():
            for endpoint in endpoints:
                endpoint.server.close()


class Rehearsal:
    """Runs a scenario against courier processes.

    Attributes:
        clients: clients with the state of each message; None before the run starts.
        partners: partners by their numbers.
        started_at_ms: start of the run, by its clock.
        memory_samples: pairs of the ms since the start, and the resident bytes of each courier.
        cpu_seconds: CPU time of each courier's latest process, at the end of the run.
    """

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        directory: Path,
        operator: Path | None = None,
        show: Callable[[str], None] = lambda line: None,
    ) -> None:
        """Prepare a run.

        Args:
            scenario: the scenario to run.
            seed: of all random numbers.
            directory: holds one directory per courier.
            operator: the operator's file; `@state@` in it is replaced by each courier's data directory.
            show: prints a line for each final answer.
        """
        self._scenario = scenario
        self._seed = seed
        self._directory = directory
        self._operator = operator
        self._show = show
        self.clients: Clients | None = None
        self.partners: dict[int, Partner] = {}
        self.started_at_ms = 0.0
        self.memory_samples: list[tuple[float, list[int]]] = []
        self.cpu_seconds: list[float] = []

    def clock(self) -> Clock:
        """Return the clock of the run."""
        return Clock()

    def create_courier(self, directory: Path, number: int) -> CourierProcess:
        """Return a courier without a configuration."""
        return CourierProcess(directory, number, self._operator)

    def on_discovery_listening(self, port: int) -> None:
        """Handle that discovery listens on a port; on the platform it runs on the courier's machine."""

    def on_endpoint_listening(self, partner: int, port: int) -> None:
        """Handle that an endpoint of a partner listens on a port."""

    def on_run_started(self, timers: TimerQueue, started_at_ms: float) -> None:
        """Handle the start of the run, at a time of its clock."""

    def data_directories(self) -> list[Path]:
        """Return the couriers' data directories."""
        return [self._directory / f"n{number}" / "state" for number in range(self._scenario.couriers)]

    async def run(self) -> Result:
        """Run the scenario to its end.

        Raises:
            RehearsalError: a courier could not be started, or has exited.
        """
        scenario = self._scenario
        clock = self.clock()
        timers = TimerQueue(clock, asyncio.get_running_loop())
        couriers = [
            self.create_courier(self._directory / f"n{number}", number) for number in range(scenario.couriers)
        ]
        fakes = await self._start_fakes(clock, timers)
        try:
            await self._start_couriers(couriers, fakes)
            await asyncio.sleep(START_DELAY_MS / SECOND_MS)
            clients = self._start_clients(fakes, clock, timers)
            self._schedule_faults(couriers, fakes, clients, timers)
            await self._wait_for_end(couriers, clients, clock, timers)
            self.cpu_seconds = [courier.cpu_seconds() for courier in couriers]
            audited_partner = self.partners[scenario.partners[0].number]
            return evaluate_run(
                audited_partner, clients, self.started_at_ms, self.started_at_ms + scenario.duration_ms
            )
        finally:
            fakes.connections.close()
            for courier in couriers:
                courier.stop()
            fakes.close()

    async def _start_fakes(self, clock: Clock, timers: TimerQueue) -> _Fakes:
        """Open all servers; outages and submissions are scheduled only when all couriers are ready."""
        no_clients = Clients(Workload({}, [], 0), clock, timers)
        discovery = Discovery(no_clients, self._show)
        await discovery.server.start()
        self.on_discovery_listening(discovery.server.port)
        self.partners = {
            settings.number: Partner(replace(settings, outages=()), clock, timers)
            for settings in self._scenario.partners
        }
        endpoints = {
            number: [PartnerEndpoint(partner, no_clients, self._show)]
            for number, partner in self.partners.items()
        }
        for number, (endpoint,) in endpoints.items():
            await endpoint.server.start()
            self.on_endpoint_listening(number, endpoint.server.port)
            rate = self.partners[number].settings.listed
            discovery.add_endpoint(f"s-{number}-0", endpoint.server.port, number, rate)
        load_balancer = LoadBalancer(self._scenario, self._seed)
        connections = ClientConnections(no_clients, clock, load_balancer, self._show)
        return _Fakes(discovery, self.partners, endpoints, connections)

    async def _start_couriers(self, couriers: list[CourierProcess], fakes: _Fakes) -> None:
        for courier in couriers:
            self._configure_and_start(courier, fakes)
        for courier in couriers:
            await self._wait_until_up(courier, fakes)
        fakes.connections.ports = [courier.port for courier in couriers]

    def _configure_and_start(self, courier: CourierProcess, fakes: _Fakes) -> None:
        discovery = fakes.discovery
        courier.configure(self._scenario, discovery.server.port, discovery.full_snapshot())
        courier.start()

    async def _wait_until_up(self, courier: CourierProcess, fakes: _Fakes) -> None:
        """Wait until a courier is ready; restart it on another port if its port was taken."""
        for remaining in reversed(range(MAX_PORT_ATTEMPTS)):
            if await self._is_ready_in_time(courier, fakes.connections):
                return
            courier.kill()
            if not remaining or not courier.port_taken():
                raise RehearsalError(f"a courier did not come up; see {self._directory}")
            self._configure_and_start(courier, fakes)

    @staticmethod
    async def _is_ready_in_time(courier: CourierProcess, connections: ClientConnections) -> bool:
        for _ in range(int(READY_TIMEOUT_SECONDS / READY_POLL_SECONDS)):
            if courier.crashed():
                return False
            if await connections.is_ready(courier.port):
                return not courier.crashed()
            await asyncio.sleep(READY_POLL_SECONDS)
        return False

    def _start_clients(self, fakes: _Fakes, clock: Clock, timers: TimerQueue) -> Clients:
        scenario = self._scenario
        classes = platform(scenario.couriers, **scenario.changes).classes
        workload = Workload(classes, scenario.streams, self._seed)
        clients = Clients(workload, clock, timers, crossing_ms=CROSSING_MS)
        clients.submit = fakes.connections.submit
        self.clients = clients
        self.started_at_ms = clock.now()
        self.on_run_started(timers, self.started_at_ms)
        fakes.set_clients(clients)
        return clients

    def _schedule_faults(
        self, couriers: list[CourierProcess], fakes: _Fakes, clients: Clients, timers: TimerQueue
    ) -> None:
        """Schedule outages, kills of couriers, and replacements of endpoints."""
        scenario = self._scenario
        for settings in scenario.partners:
            fakes.partners[settings.number].schedule_outages(settings.outages)
        for settings in scenario.partners:
            server = fakes.endpoints[settings.number][0].server
            for outage in settings.outages:
                if outage.mode is OutageMode.DOWN:
                    timers.call_at(self.started_at_ms + outage.begin, server.break_all)
        for time_ms, number in scenario.restarts:
            timers.call_at(self.started_at_ms + time_ms, partial(self._restart, couriers[number], timers))
        for time_ms, number in scenario.endpoint_replacements:
            begin_replacement = partial(self._begin_replacement, number, fakes, clients)
            timers.call_at(self.started_at_ms + time_ms, begin_replacement)

    @staticmethod
    def _restart(courier: CourierProcess, timers: TimerQueue) -> None:
        courier.kill()
        timers.call_later(RESTART_DELAY_MS, courier.start)

    def _begin_replacement(self, number: int, fakes: _Fakes, clients: Clients) -> None:
        replacement = self._replace_endpoints(number, fakes, clients)
        fakes.replacements.append(asyncio.get_running_loop().create_task(replacement))

    async def _replace_endpoints(self, number: int, fakes: _Fakes, clients: Clients) -> None:
        """Replace a partner's listed endpoint by an endpoint at a new address."""
        endpoints = fakes.endpoints[number]
        new = PartnerEndpoint(endpoints[-1].partner, clients, self._show)
        await new.server.start()
        self.on_endpoint_listening(number, new.server.port)
        fakes.discovery.remove_endpoint(f"s-{number}-{len(endpoints) - 1}")
        rate = new.partner.settings.listed
        fakes.discovery.add_endpoint(f"s-{number}-{len(endpoints)}", new.server.port, number, rate)
        endpoints.append(new)

    async def _wait_for_end(
        self, couriers: list[CourierProcess], clients: Clients, clock: Clock, timers: TimerQueue
    ) -> None:
        """Wait until all messages are settled; restart couriers whose port was in use."""
        last_submission_at_ms = self.started_at_ms + self._scenario.duration_ms
        port_collision_count = 0
        while True:
            now = clock.now()
            if now >= last_submission_at_ms + DRAIN_TIMEOUT_MS or (
                now > last_submission_at_ms and clients.are_settled(now)
            ):
                return
            await asyncio.sleep(COURIER_CHECK_INTERVAL_SECONDS)
            self._sample_memory(now, couriers)
            for number, courier in enumerate(couriers):
                if not courier.crashed():
                    continue
                if (
                    PORT_IN_USE not in courier.last_log_line()
                    or port_collision_count >= 2 * MAX_PORT_ATTEMPTS
                ):
                    raise self._crash_error(number, courier)
                # A connection of another program uses the port for a short time.
                port_collision_count += 1
                courier.kill()
                timers.call_later(PORT_RETRY_DELAY_MS, courier.start)

    def _sample_memory(self, now: float, couriers: list[CourierProcess]) -> None:
        elapsed_ms = now - self.started_at_ms
        if not self.memory_samples or elapsed_ms - self.memory_samples[-1][0] >= MEMORY_SAMPLE_INTERVAL_MS:
            self.memory_samples.append((elapsed_ms, [courier.resident_bytes() for courier in couriers]))

    def _crash_error(self, number: int, courier: CourierProcess) -> RehearsalError:
        log = f"{self._directory}/n{number}/log"
        return RehearsalError(f"courier n{number} has exited: {courier.last_log_line()}; see {log}")
