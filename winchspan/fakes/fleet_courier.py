"""One courier process of a fleet, for tests and rehearsals: its files, signals and metrics."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final, NamedTuple

from winchspan.fakes.courier_process import terminate_with_parent
from winchspan.fakes.platform import platform, settings_to_wire
from winchspan.fakes.ports import HOST

WAIT_TIMEOUT_SECONDS: Final = 60.0  # far longer than any wait takes, so that no result depends on it
POLL_INTERVAL_SECONDS: Final = 0.02  # between two checks of a condition
METRICS_TIMEOUT_SECONDS: Final = 1.0
ADMIN_TIMEOUT_SECONDS: Final = 5.0
UNUSED_PORT: Final = 9  # nothing listens on it
ROLE_METRIC_PREFIX: Final = "fleet.duty."


class MemberCounts(NamedTuple):
    """Number of members in each state, as a courier reports them."""

    alive: int = 0
    suspect: int = 0
    gone: int = 0
    left: int = 0


@dataclass(frozen=True, slots=True)
class CourierPorts:
    """Loopback ports of a courier for clients and operators, and the port of discovery."""

    client: int
    admin: int
    discovery: int = UNUSED_PORT


def wait_for(description: str, condition: Callable[[], bool]) -> float:
    """Wait until a condition holds.

    Returns:
        How long that took, in seconds.

    Raises:
        AssertionError: the condition does not hold within `WAIT_TIMEOUT_SECONDS`; has the description.
    """
    started_at = time.monotonic()
    while not condition():
        assert time.monotonic() - started_at < WAIT_TIMEOUT_SECONDS, description
        time.sleep(POLL_INTERVAL_SECONDS)
    return time.monotonic() - started_at


class FleetCourier:
    """The files of a courier, and its process while it runs.

    Attributes:
        directory: holds the configuration, the log and the data directory.
        name: name in the fleet.
        operator_file: text of the operator's file; `write_configuration` writes it.
        process: running process; None without one.
    """

    def __init__(
        self, directory: Path, name: str, ports: CourierPorts, known_endpoints: Mapping[str, object]
    ) -> None:
        """Create the courier without files; `write_configuration` writes them.

        Args:
            directory: holds all of its files.
            name: name in the fleet.
            ports: ports of the courier and of discovery.
            known_endpoints: initial endpoint list, in the wire format of discovery.
        """
        self.directory = directory
        self.name = name
        self.operator_file = ""
        self.process: subprocess.Popen[bytes] | None = None
        self._ports = ports
        self._known_endpoints = known_endpoints

    @property
    def client_port(self) -> int:
        """Port for clients."""
        return self._ports.client

    @property
    def data_directory(self) -> Path:
        """Directory of the journal and of all other persistent state."""
        return self.directory / "state"

    @property
    def operator_path(self) -> Path:
        """Path of the operator's file."""
        return self.directory / "operator.sexp"

    def write_configuration(
        self, courier_count: int, settings_changes: Mapping[str, Any] | None = None
    ) -> None:
        """Write the platform's configuration, with changed settings, and the operator's file."""
        self.data_directory.mkdir(parents=True, exist_ok=True)
        self.operator_path.write_text(self.operator_file)
        configuration = {
            "name": self.name,
            "listen": f"{HOST}:{self._ports.client}",
            "admin": f"{HOST}:{self._ports.admin}",
            "discovery": f"{HOST}:{self._ports.discovery}",
            "state": str(self.data_directory),
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 3},
            "known": self._known_endpoints,
            "settings": settings_to_wire(platform(courier_count, **(settings_changes or {}))),
        }
        (self.directory / "config.json").write_text(json.dumps(configuration))

    def start(self) -> None:
        """Start a process; it appends to the log of previous processes."""
        environment = {**os.environ, "ROUTER_CONFIG": str(self.directory / "config.json")}
        with (self.directory / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "winchspan", "--operator", str(self.operator_path)],
                env=environment,
                stderr=log,
                stdout=log,
                preexec_fn=terminate_with_parent,
            )

    def send_signal(self, signal_number: int) -> None:
        """Send the process a signal."""
        assert self.process is not None
        self.process.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process, also a frozen one."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None

    # ---- logs, metrics and commands -----------------------------------------------------------------------
    def read_log(self) -> str:
        """Return the log of all of its processes."""
        return (self.directory / "log").read_text(errors="replace")

    def read_metrics(self) -> dict[str, int]:
        """Return the metrics by name without the prefix `courier.`; empty if the courier does not respond."""
        try:
            url = f"http://{HOST}:{self._ports.admin}/control/counters"
            with urllib.request.urlopen(url, timeout=METRICS_TIMEOUT_SECONDS) as response:
                lines = response.read().decode().splitlines()
        except (urllib.error.URLError, OSError):
            return {}
        pairs = (line.partition("|")[0].rpartition(":") for line in lines)
        return {name.removeprefix("courier."): int(value) for name, _, value in pairs}

    def post_admin(self, path: str) -> None:
        """Send an operator's command; raises OSError if the courier rejects it."""
        url = f"http://{HOST}:{self._ports.admin}/control/{path}"
        request = urllib.request.Request(url, method="POST")
        with urllib.request.urlopen(request, timeout=ADMIN_TIMEOUT_SECONDS):
            pass

    def read_leased_roles(self) -> dict[str, int]:
        """Return the epochs of the valid leases, by role; empty if the courier does not respond."""
        return {
            name.removeprefix(ROLE_METRIC_PREFIX): epoch
            for name, epoch in self.read_metrics().items()
            if name.startswith(ROLE_METRIC_PREFIX) and epoch
        }

    def read_member_counts(self) -> MemberCounts:
        """Return the number of members in each state; zeros if the courier does not respond."""
        metrics = self.read_metrics()
        return MemberCounts(*(metrics.get(f"fleet.members.{state}", 0) for state in MemberCounts._fields))
