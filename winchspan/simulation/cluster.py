"""Fleets of unchanged couriers in virtual time, which check endpoints while faults are injected.

Each member runs on its own machine, with its own clock, disk and directory. All datagrams and connections
between members use the emulated network, and are subject to its faults.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from winchspan.fakes.platform import platform, settings_to_wire
from winchspan.fakes.recording_endpoints import RecordingEndpoints
from winchspan.simulation.environment import OUTSIDE_HOST
from winchspan.simulation.fleet_member import CONFIG_FILE, STATE_DIRECTORY, FleetMember
from winchspan.simulation.incarnation import Incarnation
from winchspan.simulation.link import LinkId, LinkProfile
from winchspan.simulation.loop import EmulatedLoop
from winchspan.simulation.machine import Machine
from winchspan.simulation.machine_clock import MachineClock
from winchspan.simulation.network import Network
from winchspan.simulation.network_process import LOCALHOST

ENDPOINTS_HOST: Final = "endpoints"
FIRST_PORT: Final = 30_000
ENDPOINT_RATE: Final = 200.0
"""Calls per second that each endpoint accepts from all couriers together."""

START_STAGGER_SECONDS: Final = 0.001
"""Delay between the starts of two members."""


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """Options of an emulated fleet.

    Attributes:
        endpoint_count: number of endpoints with health checks; each belongs to a partner of its own.
        check_interval_seconds: interval between two health checks of an endpoint; 0 for no checks.
        clock_drifts: seconds that the members' clocks gain per true second, in the members' order.
        link: the profile of all links; None for the default profile.
        fleet_section_options: options to add to section `fleet` of each member's operator's file.
        settings_changes: platform settings that replace the defaults.
    """

    endpoint_count: int = 24
    check_interval_seconds: float = 1.0
    clock_drifts: tuple[float, ...] = ()
    link: LinkProfile | None = None
    fleet_section_options: str = ""
    settings_changes: Mapping[str, Any] = field(default_factory=dict)


class EmulatedFleet:
    """A fleet with members `n0`, `n1`, ..., and the endpoints that they check.

    Attributes:
        loop: the event loop in virtual time.
        network: the network between members and endpoints.
        endpoints: the endpoints.
        names: the members' names.
        members: the members by name.
    """

    def __init__(self, folder: Path, size: int, seed: int, options: FleetOptions | None = None) -> None:
        """Create a fleet without starting its members.

        Args:
            folder: parent of the members' directories.
            size: number of members.
            seed: seed of the network's random streams.
            options: options of the fleet; None for the defaults.
        """
        self._options = options or FleetOptions()
        self.loop = EmulatedLoop()
        self.network = Network(self.loop, seed, self._options.link)
        self.loop.connection_provider = Incarnation(self.network, MachineClock(self.loop), OUTSIDE_HOST)
        self.endpoints = RecordingEndpoints(self._options.endpoint_count, ENDPOINT_RATE, self.loop.time)
        self.names = [f"n{number}" for number in range(size)]
        self.members: dict[str, FleetMember] = {}
        self.loop.run_until_complete(self.endpoints.start())
        for port in self.endpoints.ports.values():
            self.network.assign_port(port, ENDPOINTS_HOST)
        for number, name in enumerate(self.names):
            self.members[name] = self._create_member(folder, name, number)
            self._write_config(name, number)

    def _create_member(self, folder: Path, name: str, number: int) -> FleetMember:
        drifts = self._options.clock_drifts
        drift = drifts[number] if number < len(drifts) else 0.0
        machine = Machine(self.network, name, drift)
        return FleetMember(machine, folder / name, self._fleet_section(number))

    def change_settings(self, name: str, changes: Mapping[str, Any]) -> None:
        """Change platform settings in a member's configuration file, and have it reload them."""
        application = self.members[name].application
        assert application is not None, f"{name} does not run"
        self._write_config(name, self.names.index(name), changes)
        application.reload()

    def _write_config(self, name: str, number: int, changes: Mapping[str, Any] | None = None) -> None:
        folder = self.members[name].folder
        state_directory = folder / STATE_DIRECTORY
        state_directory.mkdir(parents=True, exist_ok=True)
        settings_changes = {**self._options.settings_changes, **(changes or {})}
        config = {
            "name": name,
            "listen": f"{LOCALHOST}:{self.ports[name]}",
            "discovery": f"{LOCALHOST}:{self.endpoints.agent_port}",
            "state": str(state_directory),
            "seed": f"{number + 1:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": self.endpoints.endpoint_list(),
            "settings": settings_to_wire(platform(len(self.names), **settings_changes)),
        }
        (folder / CONFIG_FILE).write_text(json.dumps(config))

    @property
    def ports(self) -> dict[str, int]:
        """The clients' port of each member, by member name."""
        return {name: FIRST_PORT + 2 * number + 1 for number, name in enumerate(self.names)}

    def _fleet_section(self, number: int) -> str:
        """Return section `fleet` of a member's operator's file."""
        addresses = [f"{LOCALHOST}:{FIRST_PORT + 2 * other}" for other in range(len(self.names))]
        members = " ".join(f'"{name}={address}"' for name, address in zip(self.names, addresses, strict=True))
        return (
            f'(fleet (on yes) (listen "{addresses[number]}") (members {members}) '
            f"(probe-every {self._options.check_interval_seconds:g}) {self._options.fleet_section_options})"
        )

    # ---- time --------------------------------------------------------------------------------------------
    def now(self) -> float:
        """Return the true time in seconds."""
        return self.loop.time()

    def run(self, seconds: float) -> None:
        """Advance the virtual time; raises the error of a member that has crashed."""
        self.loop.run_until_complete(asyncio.sleep(seconds))
        for member in self.members.values():
            member.check()

    def wait_until(
        self,
        description: str,
        condition: Callable[[], bool],
        timeout_seconds: float = 120.0,
        step_seconds: float = 0.05,
    ) -> float:
        """Advance the virtual time until a condition holds.

        Args:
            description: description of the condition for the error.
            condition: the condition.
            timeout_seconds: maximum time to wait for the condition.
            step_seconds: interval between two checks of the condition.

        Returns:
            The elapsed virtual time in seconds.

        Raises:
            AssertionError: if the condition does not hold in time.
        """
        begin = self.now()
        while not condition():
            assert self.now() - begin < timeout_seconds, f"not within {timeout_seconds:g} s: {description}"
            self.run(step_seconds)
        return self.now() - begin

    # ---- faults ------------------------------------------------------------------------------------------
    def start(self) -> None:
        """Start all members, and wait until each endpoint has been checked."""
        for number, name in enumerate(self.names):
            self.loop.call_later(START_STAGGER_SECONDS * number, self.members[name].start)
        if self._options.check_interval_seconds:
            self.wait_until("each endpoint has been checked", self._is_each_endpoint_checked)

    def _is_each_endpoint_checked(self) -> bool:
        return len({check.endpoint for check in self.endpoints.health_checks}) == len(self.endpoints.ports)

    def cut(self, source: str, target: str) -> None:
        """Partition the link between two members in one direction."""
        self.network.links.partition(LinkId(source, target))

    def split(self, names: set[str]) -> None:
        """Partition some members from all others, in both directions."""
        for source in self.names:
            for target in self.names:
                if (source in names) != (target in names):
                    self.cut(source, target)

    def heal(self) -> None:
        """Heal all partitions."""
        self.network.links.heal_all()

    def execute_action(self, action: str, name: str) -> None:
        """Apply a fault or its repair to a member (`winchspan.fakes.faults.ACTIONS`)."""
        member = self.members[name]
        actions: dict[str, Callable[[], None]] = {
            "kill": member.kill,
            "start": member.start,
            "freeze": member.suspend,
            "thaw": member.resume,
            "lose": member.kill_and_erase,
            "fill": member.fill_disk,
            "room": member.free_disk,
        }
        actions[action]()

    # ---- observation -------------------------------------------------------------------------------------
    def role_holders(self, role: str) -> list[str]:
        """Return all members that hold a leased role, even if suspended: more than one is a violation."""
        return [name for name, member in self.members.items() if role in member.held_roles()]

    def roles_held_twice(self) -> list[str]:
        """Return the leased roles that two members hold at this moment."""
        seen: set[str] = set()
        held_twice: list[str] = []
        for member in self.members.values():
            for role in member.held_roles():
                if role in seen:
                    held_twice.append(role)
                seen.add(role)
        return held_twice

    def lease_holders(self, role: str) -> list[str]:
        """Return the members that hold a leased role and are not suspended."""
        return [name for name in self.role_holders(role) if not self.members[name].is_suspended]

    def is_idle(self, name: str) -> bool:
        """Return whether a member is responsive and holds no leased role."""
        member = self.members[name]
        return member.is_responsive and not member.held_roles()

    def leader(self) -> str:
        """Return the name of the consensus leader; empty if there is no leader."""
        for name, member in self.members.items():
            if not member.is_suspended and member.metrics().get("fleet.agreement.leads"):
                return name
        return ""

    def are_all_alive(self) -> bool:
        """Return whether all members are responsive, and each considers all members alive."""
        return all(
            member.is_responsive and member.metrics().get("fleet.members.alive") == len(self.names)
            for member in self.members.values()
        )

    def close(self) -> None:
        """Stop all members and the endpoints, and close the loop."""
        tasks: list[asyncio.Task[Any]] = []
        for member in self.members.values():
            member.kill()
            tasks += member.abandoned_tasks
        self.endpoints.close()
        self.loop.run_until_complete(_cancel(tasks))
        self.loop.close()


async def _cancel(tasks: list[asyncio.Task[Any]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
