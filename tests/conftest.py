"""Each of the processes that run tests draws ports of its own: none takes what another has drawn."""

from __future__ import annotations

import os

from winchspan.standins import couriers

WORKERS = 8               # at most


def pytest_configure() -> None:
    """Give this process its part of the ports."""
    number = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")) % WORKERS
    low, high = couriers.PORTS
    part = (high - low) // WORKERS
    couriers.PORTS = low + number * part, low + (number + 1) * part
