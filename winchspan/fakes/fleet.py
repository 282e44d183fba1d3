"""A fleet of courier processes, for tests and rehearsals, optionally with a relay between each pair."""

from __future__ import annotations

import shutil
import signal
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from winchspan.fakes.fleet_courier import (
    ROLE_METRIC_PREFIX,
    UNUSED_PORT,
    CourierPorts,
    FleetCourier,
    MemberCounts,
    wait_for,
)
from winchspan.fakes.ports import HOST, free_ports
from winchspan.fakes.relay import Relay

PORTS_PER_COURIER: Final = 3  # for other couriers, clients and operators


@dataclass(frozen=True, slots=True)
class ProcessFleetOptions:
    """Options that all couriers of a fleet share.

    Attributes:
        section_options: further entries of section `fleet` in the operators' files.
        has_relay: whether a relay connects each pair of couriers.
        seed: of the relay's faults.
        discovery_port: port of discovery.
        known_endpoints: initial endpoint list, in the wire format of discovery.
        settings_changes: fields of the platform's settings that differ from `platform`.
    """

    section_options: str = ""
    has_relay: bool = False
    seed: int = 1
    discovery_port: int = UNUSED_PORT
    known_endpoints: Mapping[str, object] = field(default_factory=dict)
    settings_changes: Mapping[str, Any] = field(default_factory=dict)


class Fleet:
    """Courier processes `n0`, `n1`, ... that are members of one fleet.

    Implements `ClusterUnderTest` for fault scripts (`winchspan.fakes.faults`), as simulated fleets do.

    Attributes:
        ports: ports for traffic between couriers, by courier name.
        couriers: by name.
    """

    def __init__(self, directory: Path, size: int, options: ProcessFleetOptions | None = None) -> None:
        """Write all files without starting a process.

        Args:
            directory: holds one directory per courier.
            size: number of couriers.
            options: shared by all couriers.
        """
        self._options = options or ProcessFleetOptions()
        names = [f"n{number}" for number in range(size)]
        links = [(source, target) for source in names for target in names if source != target]
        if not self._options.has_relay:
            links = []
        ports = iter(free_ports(PORTS_PER_COURIER * size + len(links)))  # one allocation, so that all differ
        self.ports = {name: next(ports) for name in names}
        self.couriers = {
            name: FleetCourier(
                directory / name,
                name,
                CourierPorts(next(ports), next(ports), self._options.discovery_port),
                self._options.known_endpoints,
            )
            for name in names
        }
        self._link_ports = {link: next(ports) for link in links}
        self._relay = (
            Relay(self.ports, self._link_ports, self._options.seed) if self._options.has_relay else None
        )
        self.set_members(names)

    @property
    def relay(self) -> Relay:
        """The relay between the couriers."""
        assert self._relay is not None
        return self._relay

    def __getitem__(self, name: str) -> FleetCourier:
        return self.couriers[name]

    def set_members(self, names: list[str]) -> None:
        """Rewrite the files of all couriers, with the given couriers as members of the fleet."""
        for name, courier in self.couriers.items():
            members = " ".join(
                f'"{other}={HOST}:{self._link_ports.get((name, other), self.ports[other])}"'
                for other in names
            )
            courier.operator_file = (
                f'(fleet (on yes) (listen "{HOST}:{self.ports[name]}")\n'
                f"       (members {members}) {self._options.section_options})\n"
            )
            courier.write_configuration(len(names), self._options.settings_changes)

    # ---- life cycle --------------------------------------------------------------------------------------
    def start(self) -> None:
        """Start all couriers, and wait until each sees all others as alive."""
        for courier in self.couriers.values():
            courier.start()
        self.wait_until_all_alive("each sees all others as alive")

    def stop(self) -> None:
        """End all processes and the relay."""
        for courier in self.couriers.values():
            if courier.process is not None:
                courier.send_signal(signal.SIGCONT)
                courier.kill()
        if self._relay is not None:
            self._relay.close()

    def wait_until_all_alive(self, description: str) -> float:
        """Wait until each courier sees all others as alive; return how long that took, in seconds."""
        return self.wait_for_members(description, self.couriers, MemberCounts(alive=len(self.couriers)))

    def wait_for_members(self, description: str, observers: Iterable[str], counts: MemberCounts) -> float:
        """Wait until some couriers report the given number of members in each state.

        Returns:
            How long that took, in seconds.

        Raises:
            AssertionError: the wait timed out, or a courier has failed.
        """
        names = list(observers)

        def is_reached() -> bool:
            for courier in self.couriers.values():
                has_failed = courier.process is not None and courier.process.poll() not in (None, 0)
                assert not has_failed, courier.read_log()[-300:]
            return all(self.couriers[name].read_member_counts() == counts for name in names)

        return wait_for(description, is_reached)

    # ---- ClusterUnderTest --------------------------------------------------------------------------------
    @property
    def names(self) -> list[str]:
        """Names of all couriers."""
        return list(self.couriers)

    def now(self) -> float:
        """Return the time in seconds."""
        return time.monotonic()

    def run(self, seconds: float) -> None:
        """Sleep for some time; raises AssertionError if a courier has exited by itself."""
        time.sleep(seconds)
        for courier in self.couriers.values():
            exit_code = courier.process.poll() if courier.process is not None else None
            assert exit_code is None, (
                f"{courier.name} has exited with {exit_code}: {courier.read_log()[-300:]}"
            )

    def wait_until(self, description: str, condition: Callable[[], bool]) -> float:
        """Wait until a condition holds; return how long that took, in seconds."""
        return wait_for(description, condition)

    def execute_action(self, action: str, name: str) -> None:
        """Execute one of `faults.ACTIONS` on a courier, except for the isolations, `fill` and `room`."""
        courier = self.couriers[name]
        match action:
            case "start":
                if courier.process is None:
                    courier.start()
            case "kill":
                courier.kill()
            case "lose":
                courier.kill()
                shutil.rmtree(courier.data_directory)
                courier.data_directory.mkdir()
            case _:
                if courier.process is not None:
                    courier.send_signal({"freeze": signal.SIGSTOP, "thaw": signal.SIGCONT}[action])

    def cut(self, source: str, target: str) -> None:
        """Drop all traffic in one direction of the link between two couriers."""
        self.relay.cut(source, target)

    def heal(self) -> None:
        """Restore all links."""
        self.relay.heal()

    def lease_holders(self, role: str) -> list[str]:
        """Return the couriers that report a valid lease of a role; they are polled one after another."""
        return [
            name
            for name, courier in self.couriers.items()
            if courier.process is not None and role in courier.read_leased_roles()
        ]

    def leader(self) -> str:
        """Return the courier that reports that it leads the consensus; empty without one."""
        return next(
            (
                name
                for name, courier in self.couriers.items()
                if courier.read_metrics().get("fleet.agreement.leads")
            ),
            "",
        )

    def are_all_alive(self) -> bool:
        """Return whether all couriers run, and each sees all others as alive."""
        counts = MemberCounts(alive=len(self.couriers))
        return all(courier.read_member_counts() == counts for courier in self.couriers.values())

    def is_idle(self, name: str) -> bool:
        """Return whether a courier responds and holds no lease."""
        metrics = self.couriers[name].read_metrics()
        return bool(metrics) and not any(
            epoch for metric, epoch in metrics.items() if metric.startswith(ROLE_METRIC_PREFIX)
        )
