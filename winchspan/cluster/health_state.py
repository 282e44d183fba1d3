"""Health state of the endpoints, and its synchronization from a majority to the holder of a role."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, NamedTuple

from winchspan.cluster.consensus_service import ConsensusService
from winchspan.cluster.messages import EndpointHealthRow, HealthStateReported, HealthStateRequested
from winchspan.cluster.node import ClusterNode
from winchspan.cluster_tasks.health_checks import (
    EndpointHealth,
    HealthCheckPlan,
    HealthCheckTarget,
    shard_role,
    shard_roles,
)
from winchspan.cluster_tasks.quorum import QuorumRequests
from winchspan.cluster_tasks.shared_backoff import SharedBackoff
from winchspan.leases.fencing import EpochFence

QUORUM_TIMEOUT_MS: Final = 200.0  # for a majority to acknowledge a health check or to report its health state
MIN_LEASE_MS: Final = 350.0  # remaining time of the lease that the announcement of a health check requires


@dataclass(frozen=True, slots=True)
class HealthState:
    """Health state that this courier has, and its open requests to a majority.

    Attributes:
        plan: health of each endpoint, and the due time of its next check.
        backoff: backoff of destinations that any member received.
        requests: open requests to a majority.
        fence: rejects announcements of superseded role holders.
    """

    plan: HealthCheckPlan
    backoff: SharedBackoff
    requests: QuorumRequests
    fence: EpochFence


class RoleEpoch(NamedTuple):
    """A role under one epoch of its lease."""

    role: str
    epoch: int


class HealthStateSync:
    """Lets the holder of a role act only after a majority has reported the checks of earlier epochs."""

    def __init__(self, node: ClusterNode, consensus: ConsensusService, state: HealthState) -> None:
        self._node = node
        self._consensus = consensus
        self._bus = consensus.bus
        self._leases = consensus.leases
        self._state = state
        self._roles = frozenset(shard_roles())
        self._open_requests: dict[int, RoleEpoch] = {}
        self._synced_epochs: dict[str, int] = {}  # by role, the epoch under which a majority has reported
        self._bus.subscribe(HealthStateRequested, self._on_requested)
        self._bus.subscribe(HealthStateReported, self._on_reported)

    def permitted_epoch(self, role: str) -> int:
        """Return the epoch under which a health check may be announced now; 0 if none may be."""
        epoch = self._leases.permitted_epoch(role)
        has_min_lease = self._leases.remaining_ms(role) >= MIN_LEASE_MS
        return epoch if epoch and has_min_lease and self._synced_epochs.get(role) == epoch else 0

    def request_missing(self, now: float, targets: list[HealthCheckTarget]) -> None:
        """Request the health state of the roles that this courier holds under a new epoch."""
        for role in sorted({shard_role(target.destination) for target in targets}):
            epoch = self._leases.permitted_epoch(role)
            is_open = RoleEpoch(role, epoch) in self._open_requests.values()
            if epoch and self._synced_epochs.get(role) != epoch and not is_open:
                self._request(now, RoleEpoch(role, epoch))

    def expire(self, request_number: int) -> None:
        """Remove a request that no majority answered before the timeout."""
        self._open_requests.pop(request_number, None)

    def forget(self, role: str) -> None:
        """Discard the synchronization of a role that another member holds now."""
        self._synced_epochs.pop(role, None)

    def _request(self, now: float, role_epoch: RoleEpoch) -> None:
        number = self._state.requests.open_request(self._consensus.voting_members(), now + QUORUM_TIMEOUT_MS)
        if not number or not self._state.fence.admit(role_epoch.role, role_epoch.epoch):
            return
        self._open_requests[number] = role_epoch
        self._bus.broadcast(HealthStateRequested(number, role_epoch.role, role_epoch.epoch))
        if self._state.requests.close_on_majority(number):
            self._complete(number)

    def _on_requested(self, sender: str, message: HealthStateRequested) -> None:
        """Report the health state of a role, and reject older epochs of the role from now on."""
        if message.role not in self._roles:
            return
        is_accepted = self._state.fence.admit(message.role, message.epoch)
        now = self._node.now_ms()
        rows = self._rows(message.role, now) if is_accepted else []
        backoffs = self._state.backoff.active_waits(now)
        self._bus.send(sender, HealthStateReported(message.request_number, is_accepted, rows, backoffs))

    def _rows(self, role: str, now: float) -> list[EndpointHealthRow]:
        return [
            _health_row(name, health, now)
            for name, health in self._state.plan.endpoints.items()
            if shard_role(health.destination) == role
        ]

    def _on_reported(self, sender: str, message: HealthStateReported) -> None:
        now = self._node.now_ms()
        for row in message.endpoints:
            self._state.plan.merge(
                row.endpoint,
                EndpointHealth(
                    row.destination,
                    now - max(-QUORUM_TIMEOUT_MS, row.age_ms),
                    row.sequence,
                    row.epoch,
                    0.0,
                    row.is_healthy,
                    row.failure_count,
                ),
            )
        for destination, remaining_ms in message.backoffs:
            self._state.backoff.record_retry_after(now, destination, remaining_ms)
        if message.is_accepted and self._state.requests.record_answer(message.request_number, sender):
            self._complete(message.request_number)

    def _complete(self, request_number: int) -> None:
        """Record that a majority has reported, so that this courier has all checks of earlier epochs."""
        role_epoch = self._open_requests.pop(request_number, None)
        if role_epoch is not None:
            self._synced_epochs[role_epoch.role] = role_epoch.epoch


def _health_row(name: str, health: EndpointHealth, now: float) -> EndpointHealthRow:
    return EndpointHealthRow(
        name,
        health.destination,
        health.sequence_number,
        health.epoch,
        now - health.started_at_ms,
        health.is_healthy,
        health.consecutive_failures,
    )
