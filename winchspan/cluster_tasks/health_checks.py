"""Schedule of the health checks of endpoints, and the shared state of past checks.

Destinations are divided into `SHARD_COUNT` leased roles by a hash of their number, so that one courier checks
all endpoints of a destination. The courier announces each check to a majority before it sends the first byte.
Its successor thereby knows the time of the last check, starts overdue checks and repeats none. Checks are
numbered per endpoint, which orders updates. A check counts as a call, and couriers cannot see whether a
destination is warming up: its checks therefore use at most `CAPACITY_SHARE` of the rate that it supports
right after a restart. This module is sans-I/O: it reads no clock and sends nothing.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Final

from winchspan import api

SHARD_COUNT: Final = 16  # limits the number of leases, and still distributes the work over a cluster
CAPACITY_SHARE: Final = 0.05  # share of a destination's rate during warm-up that all its checks may use
UNKNOWN_RATE_INTERVAL_MS: Final = 5_000.0  # between two checks of a destination with an unknown rate
MAX_ENDPOINTS: Final = 2_000  # maximum number of endpoints and of destinations with stored checks
MAX_BACKOFF_FACTOR: Final = 8.0  # largest factor on the check interval of a failing endpoint
MAX_CHECKS_PER_PASS: Final = 8  # keeps a new owner of many shards from starting all their checks at once


@dataclass(frozen=True, slots=True)
class HealthCheckTarget:
    """A listed endpoint in service.

    Attributes:
        name: name of the endpoint.
        destination: number of the endpoint's destination.
        rate_per_second: calls per second that the destination accepts from all couriers together; 0 if
            unknown.
        endpoint_number: number of the endpoint in the courier's endpoint directory.
    """

    name: str
    destination: int
    rate_per_second: float
    endpoint_number: int = 0


@dataclass(slots=True)
class EndpointHealth:
    """The latest health check of an endpoint; times are readings of the local clock in ms."""

    destination: int
    started_at_ms: float
    sequence_number: int  # number of the check, per endpoint; restarts if no member has the state
    epoch: int = 0  # epoch of the shard's owner that announced the check
    previous_started_at_ms: float = 0.0  # start of the previous check, in case the latest was not sent
    is_healthy: bool | None = None  # result of the last completed check
    consecutive_failures: int = 0


def shard_role(destination: int) -> str:
    """Return the leased role for a destination's health checks."""
    digest = blake2b(str(destination).encode(), digest_size=4).digest()
    return f"probes-{int.from_bytes(digest) % SHARD_COUNT}"


def shard_roles() -> tuple[str, ...]:
    """Return all leased roles for health checks."""
    return tuple(f"probes-{number}" for number in range(SHARD_COUNT))


class HealthCheckPlan:
    """One courier's view of all health checks, and its schedule of due checks.

    Attributes:
        interval_ms: minimum interval between two checks of an endpoint.
        endpoints: latest check by endpoint name.
    """

    def __init__(self, interval_ms: float, settings: api.Settings) -> None:
        """Create a plan without past checks.

        Args:
            interval_ms: minimum interval between two checks of an endpoint.
            settings: settings of the platform.
        """
        self.interval_ms = interval_ms
        self.endpoints: dict[str, EndpointHealth] = {}
        self._destination_checked_at_ms: dict[int, float] = {}  # start of the last check by destination
        self._first_seen_at_ms: dict[str, float] = {}  # by name, of endpoints without a known check
        self.reconfigure(settings)

    def reconfigure(self, settings: api.Settings) -> None:
        """Apply new settings."""
        self._start_capacity = settings.start_capacity
        self._has_listed_rates = settings.listed_rate is not api.ListedRate.NONE

    def destination_interval_ms(self, target: HealthCheckTarget) -> float:
        """Return the minimum ms between two checks of a destination, over all its endpoints."""
        if not self._has_listed_rates or target.rate_per_second <= 0.0:
            return UNKNOWN_RATE_INTERVAL_MS
        return 1_000.0 / (CAPACITY_SHARE * self._start_capacity * target.rate_per_second)

    def endpoint_interval_ms(self, target: HealthCheckTarget, endpoint_count: int) -> float:
        """Return the ms between two checks of an endpoint, with exponential backoff while the checks fail.

        Args:
            target: the endpoint.
            endpoint_count: number of endpoints of its destination.
        """
        health = self.endpoints.get(target.name)
        factor = 1.0
        if health is not None and health.consecutive_failures:
            factor = min(MAX_BACKOFF_FACTOR, 2.0 ** (health.consecutive_failures - 1))
        return max(self.interval_ms, endpoint_count * self.destination_interval_ms(target)) * factor

    # ---- events ------------------------------------------------------------------------------------------
    def record_start(
        self, at_ms: float, name: str, destination: int, sequence_number: int, epoch: int
    ) -> None:
        """Record that this or another member starts a check at a reading of the local clock."""
        health = self.endpoints.get(name)
        if health is None:
            while len(self.endpoints) >= MAX_ENDPOINTS:
                del self.endpoints[next(iter(self.endpoints))]
            self.endpoints[name] = EndpointHealth(destination, at_ms, sequence_number, epoch)
        elif sequence_number >= health.sequence_number:
            if sequence_number > health.sequence_number:
                health.previous_started_at_ms = health.started_at_ms
            health.started_at_ms = at_ms
            health.sequence_number = sequence_number
            health.epoch = epoch
        self._record_destination_check(at_ms, destination)
        self._first_seen_at_ms.pop(name, None)

    def _record_destination_check(self, at_ms: float, destination: int) -> None:
        checked_at_ms = self._destination_checked_at_ms
        while destination not in checked_at_ms and len(checked_at_ms) >= MAX_ENDPOINTS:
            del checked_at_ms[next(iter(checked_at_ms))]
        checked_at_ms[destination] = max(at_ms, checked_at_ms.get(destination, at_ms))

    def merge(self, name: str, remote: EndpointHealth) -> None:
        """Merge another member's view of an endpoint, if it is newer than the local one."""
        health = self.endpoints.get(name)
        if health is not None and remote.sequence_number <= health.sequence_number:
            return
        self.record_start(
            remote.started_at_ms, name, remote.destination, remote.sequence_number, remote.epoch
        )
        health = self.endpoints[name]
        health.is_healthy = remote.is_healthy
        health.consecutive_failures = max(0, remote.consecutive_failures)

    def record_not_sent(self, name: str, sequence_number: int, epoch: int) -> None:
        """Record that an announced check was certainly not sent, so that it is still due.

        The epoch guards against a late message, after which another owner may have performed the check.
        """
        health = self.endpoints.get(name)
        if health is not None and (health.sequence_number, health.epoch) == (sequence_number, epoch):
            health.started_at_ms = health.previous_started_at_ms
            health.sequence_number = sequence_number - 1

    def record_result(
        self, started_at_ms: float, name: str, sequence_number: int, epoch: int, is_healthy: bool
    ) -> bool:
        """Record the result of a check; return whether it differs from the previous result."""
        health = self.endpoints.get(name)
        if health is None or (health.sequence_number, health.epoch) != (sequence_number, epoch):
            return False
        has_changed = health.is_healthy is not is_healthy
        health.started_at_ms = started_at_ms
        health.is_healthy = is_healthy
        health.consecutive_failures = 0 if is_healthy else health.consecutive_failures + 1
        return has_changed

    # ---- decisions ---------------------------------------------------------------------------------------
    def due_checks(
        self,
        now: float,
        targets: Iterable[HealthCheckTarget],
        epoch_of: Callable[[str], int],
        in_flight: set[str],
        retry_after_ms: Callable[[int], float] = lambda destination: 0.0,
    ) -> list[HealthCheckTarget]:
        """Return the endpoints to check now, longest overdue first, at most one per destination.

        Args:
            now: clock reading, ms.
            targets: endpoints in service.
            epoch_of: returns the epoch under which this courier holds a role now; 0 if it does not hold it.
            in_flight: names of endpoints with a check of this courier in flight.
            retry_after_ms: returns the remaining Retry-After wait of a destination, ms.
        """
        listed = list(targets)
        endpoint_counts = Counter(target.destination for target in listed)
        self._forget_unlisted({target.name for target in listed})
        due: list[tuple[float, HealthCheckTarget]] = []
        for target in listed:
            due_at_ms = self._due_at_ms(now, target, endpoint_counts[target.destination])
            if (
                due_at_ms <= now
                and target.name not in in_flight
                and retry_after_ms(target.destination) <= 0.0
                and epoch_of(shard_role(target.destination))
            ):
                due.append((due_at_ms, target))
        chosen: dict[int, HealthCheckTarget] = {}
        for _, target in sorted(due, key=lambda pair: (pair[0], pair[1].name)):
            chosen.setdefault(target.destination, target)
        return list(chosen.values())[:MAX_CHECKS_PER_PASS]

    def _due_at_ms(self, now: float, target: HealthCheckTarget, endpoint_count: int) -> float:
        interval_ms = self.endpoint_interval_ms(target, endpoint_count)
        health = self.endpoints.get(target.name)
        if health is None:  # distribute the first checks over one interval
            first_seen_at_ms = self._first_seen_at_ms.setdefault(target.name, now)
            digest = blake2b(target.name.encode(), digest_size=4).digest()
            due_at_ms = first_seen_at_ms + int.from_bytes(digest) / 2**32 * interval_ms
        else:
            due_at_ms = health.started_at_ms + interval_ms
        checked_at_ms = self._destination_checked_at_ms.get(target.destination)
        if checked_at_ms is None:
            return max(due_at_ms, 0.0)
        return max(due_at_ms, checked_at_ms + self.destination_interval_ms(target))

    def _forget_unlisted(self, names: set[str]) -> None:
        self._first_seen_at_ms = {
            name: at_ms for name, at_ms in self._first_seen_at_ms.items() if name in names
        }

    def failing_count(self) -> int:
        """Return the number of endpoints whose last check failed."""
        return sum(health.is_healthy is False for health in self.endpoints.values())
