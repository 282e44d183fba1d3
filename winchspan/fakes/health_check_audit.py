"""An audit of the health checks that endpoints received: none repeated, late, or of a stale epoch."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final, NamedTuple

EARLY_TOLERANCE: Final = 0.1  # share of the interval by which a check may be early, since delays vary


@dataclass(frozen=True, slots=True)
class ObservedHealthCheck:
    """A health check as an endpoint received it.

    Attributes:
        received_at_seconds: by the monotonic clock of the observer.
        endpoint: name of the endpoint.
        role: leased role of the node that checks it.
        epoch: of the role's lease.
        sequence: number of the check.
        node: name of the node that sent it.
        held_up_seconds: for how long the observer may have left it unread, since it did not run.
    """

    received_at_seconds: float
    endpoint: str
    role: str
    epoch: int
    sequence: int
    node: str
    held_up_seconds: float = 0.0


class HealthCheckViolation(NamedTuple):
    """A health check that violates a rule, and how."""

    check: ObservedHealthCheck
    description: str


@dataclass(slots=True)
class HealthCheckAudit:
    """The violations in the health checks of a run.

    Attributes:
        check_count: of all health checks.
        repeated: came sooner after the previous one of their endpoint than an interval.
        late: came later than allowed after the end of the interval, or not at all.
        stale: were sent under an earlier epoch than one seen before.
        max_lateness_seconds: of all checks, after the end of their intervals.
    """

    check_count: int
    repeated: list[HealthCheckViolation] = field(default_factory=list)
    late: list[HealthCheckViolation] = field(default_factory=list)
    stale: list[HealthCheckViolation] = field(default_factory=list)
    max_lateness_seconds: float = 0.0


def audit_health_checks(
    checks: Sequence[ObservedHealthCheck],
    interval_seconds: float,
    late_after_seconds: float,
    ended_at_seconds: float,
) -> HealthCheckAudit:
    """Audit all health checks of endpoints that are to be checked once an interval.

    Args:
        checks: as they were received.
        interval_seconds: from one check of an endpoint to the next.
        late_after_seconds: after the end of an interval, from which a check is late.
        ended_at_seconds: end of the run; a check that was due and missing by then counts, too.
    """
    audit = HealthCheckAudit(len(checks))
    latest_checks: dict[str, ObservedHealthCheck] = {}
    latest_epochs: dict[str, int] = {}
    for check in sorted(checks, key=lambda check: check.received_at_seconds):
        _audit_epoch(audit, check, latest_epochs)
        previous = latest_checks.get(check.endpoint)
        if previous is not None:
            _audit_distance(audit, check, previous, interval_seconds, late_after_seconds)
        latest_checks[check.endpoint] = check
    for check in latest_checks.values():
        elapsed_seconds = ended_at_seconds - check.received_at_seconds
        audit.max_lateness_seconds = max(audit.max_lateness_seconds, elapsed_seconds - interval_seconds)
        if elapsed_seconds > interval_seconds + late_after_seconds:
            description = f"none within {elapsed_seconds:.3f} s after {check}"
            audit.late.append(HealthCheckViolation(check, description))
    return audit


def _audit_epoch(audit: HealthCheckAudit, check: ObservedHealthCheck, latest_epochs: dict[str, int]) -> None:
    latest_epoch = latest_epochs.get(check.role, 0)
    if check.epoch < latest_epoch:
        audit.stale.append(HealthCheckViolation(check, f"{check} after epoch {latest_epoch}"))
    latest_epochs[check.role] = max(check.epoch, latest_epoch)


def _audit_distance(
    audit: HealthCheckAudit,
    check: ObservedHealthCheck,
    previous: ObservedHealthCheck,
    interval_seconds: float,
    late_after_seconds: float,
) -> None:
    distance_seconds = check.received_at_seconds - previous.received_at_seconds
    longest_distance_seconds = distance_seconds + previous.held_up_seconds
    violation = HealthCheckViolation(check, f"{check} {distance_seconds:.3f} s after {previous}")
    if longest_distance_seconds < interval_seconds * (1.0 - EARLY_TOLERANCE):
        audit.repeated.append(violation)
    audit.max_lateness_seconds = max(audit.max_lateness_seconds, distance_seconds - interval_seconds)
    if distance_seconds > interval_seconds + late_after_seconds:
        audit.late.append(violation)
