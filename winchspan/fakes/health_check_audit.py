"""Audits the health checks that endpoints received: no early, late or stale ones."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final, NamedTuple

EARLY_TOLERANCE: Final = 0.1  # tolerated earliness of a check, as a share of the interval, since delays vary


@dataclass(frozen=True, slots=True)
class ObservedHealthCheck:
    """A health check that an endpoint received.

    Attributes:
        received_at_seconds: time of receipt, by the monotonic clock of the observer.
        endpoint: name of the endpoint.
        role: leased role under which the node checks the endpoint.
        epoch: epoch of the role's lease.
        sequence: sequence number of the check.
        node: name of the node that sent the check.
        max_read_delay_seconds: upper bound on how long the check lay unread while the observer was stalled.
    """

    received_at_seconds: float
    endpoint: str
    role: str
    epoch: int
    sequence: int
    node: str
    max_read_delay_seconds: float = 0.0


class HealthCheckViolation(NamedTuple):
    """A health check that violates a rule, and a description of the violation."""

    check: ObservedHealthCheck
    description: str


@dataclass(slots=True)
class HealthCheckAudit:
    """The violations among the health checks of a run.

    Attributes:
        check_count: number of all health checks.
        repeated: checks that followed the previous check of their endpoint within less than an interval.
        late: checks that were later than allowed after the end of the interval, or missing.
        stale: checks under an earlier epoch than a preceding check.
        max_lateness_seconds: maximum delay of a check after the end of its interval.
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
    """Audit the health checks of endpoints that must be checked once per interval.

    Args:
        checks: received checks.
        interval_seconds: interval of the checks of an endpoint.
        late_after_seconds: delay after the end of the interval from which a check is late.
        ended_at_seconds: end of the run; checks that are missing by then count as late, too.
    """
    audit = HealthCheckAudit(len(checks))
    latest_checks: dict[str, ObservedHealthCheck] = {}
    latest_epochs: dict[str, int] = {}
    for check in sorted(checks, key=lambda check: check.received_at_seconds):
        _audit_epoch(audit, check, latest_epochs)
        previous = latest_checks.get(check.endpoint)
        if previous is not None:
            _audit_interval(audit, check, previous, interval_seconds, late_after_seconds)
        latest_checks[check.endpoint] = check
    for check in latest_checks.values():
        elapsed_seconds = ended_at_seconds - check.received_at_seconds
        audit.max_lateness_seconds = max(audit.max_lateness_seconds, elapsed_seconds - interval_seconds)
        if elapsed_seconds > interval_seconds + late_after_seconds:
            description = f"no check within {elapsed_seconds:.3f} s after {check}"
            audit.late.append(HealthCheckViolation(check, description))
    return audit


def _audit_epoch(audit: HealthCheckAudit, check: ObservedHealthCheck, latest_epochs: dict[str, int]) -> None:
    latest_epoch = latest_epochs.get(check.role, 0)
    if check.epoch < latest_epoch:
        audit.stale.append(HealthCheckViolation(check, f"{check} after epoch {latest_epoch}"))
    latest_epochs[check.role] = max(check.epoch, latest_epoch)


def _audit_interval(
    audit: HealthCheckAudit,
    check: ObservedHealthCheck,
    previous: ObservedHealthCheck,
    interval_seconds: float,
    late_after_seconds: float,
) -> None:
    elapsed_seconds = check.received_at_seconds - previous.received_at_seconds
    max_elapsed_seconds = elapsed_seconds + previous.max_read_delay_seconds
    violation = HealthCheckViolation(check, f"{check} {elapsed_seconds:.3f} s after {previous}")
    if max_elapsed_seconds < interval_seconds * (1.0 - EARLY_TOLERANCE):
        audit.repeated.append(violation)
    audit.max_lateness_seconds = max(audit.max_lateness_seconds, elapsed_seconds - interval_seconds)
    if elapsed_seconds > interval_seconds + late_after_seconds:
        audit.late.append(violation)
