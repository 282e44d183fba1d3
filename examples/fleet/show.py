"""Starts three couriers as a fleet, kills a lease holder, and shows which others take its roles over."""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).parent.parent.parent))

from winchspan.fakes.fleet import Fleet, ProcessFleetOptions
from winchspan.fakes.fleet_courier import wait_for

ROLES = ("billing", "probing", "report")


class Lease(NamedTuple):
    """Who holds a role's lease, and under which epoch."""

    holder: str
    epoch: int


def read_leases(fleet: Fleet) -> dict[str, Lease]:
    """Return the leases by role, as the running couriers report them."""
    return {
        role: Lease(name, epoch)
        for name, courier in fleet.couriers.items()
        if courier.process is not None
        for role, epoch in courier.read_leased_roles().items()
    }


def show_leases(fleet: Fleet, event: str, started_at: float) -> dict[str, Lease]:
    """Wait until each role has a holder, and print the leases."""
    wait_for("each role has a holder", lambda: len(read_leases(fleet)) == len(ROLES))
    leases = read_leases(fleet)
    roles = ", ".join(
        f"{role} is held by {lease.holder} (epoch {lease.epoch})" for role, lease in sorted(leases.items())
    )
    print(f"{time.monotonic() - started_at:6.2f} s  {event}: {roles}")
    return leases


def is_held_by(fleet: Fleet, role: str, name: str) -> bool:
    """Return whether a courier holds a role's lease."""
    lease = read_leases(fleet).get(role)
    return lease is not None and lease.holder == name


def main() -> None:
    """Run the example."""
    roles = " ".join(f'"{role}"' for role in ROLES)
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(Path(directory), 3, ProcessFleetOptions(f"(duties {roles})"))
        started_at = time.monotonic()
        try:
            fleet.start()
            killed = show_leases(fleet, "three couriers", started_at)["billing"].holder
            print(f"{time.monotonic() - started_at:6.2f} s  {killed}, which holds billing, is killed")
            fleet[killed].kill()
            show_leases(fleet, f"without {killed}", started_at)
            fleet[killed].start()
            wait_for("it holds its role again", lambda: is_held_by(fleet, "billing", killed))
            show_leases(fleet, f"{killed} is back", started_at)
        finally:
            fleet.stop()


if __name__ == "__main__":
    main()
