"""Sends announced health checks, and records their results."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Final, NamedTuple

from loguru import logger

from winchspan.cluster.consensus_service import ConsensusService
from winchspan.cluster.health_state import HealthState
from winchspan.cluster.messages import BackoffObserved, HealthCheckCompleted
from winchspan.cluster.node import ClusterNode, DeliveryResources
from winchspan.cluster_tasks.health_checks import HealthCheckTarget, shard_role
from winchspan.net import http
from winchspan.net.attempt_transport import retry_after_ms
from winchspan.net.connection_pool import CallOptions
from winchspan.net.endpoint_directory import EndpointRecord
from winchspan.net.http_call import HttpCall, HttpCallOutcome, HttpCallResult

RESPONSE_TIMEOUT_MS: Final = 1_000.0
HEALTHY_STATUS: Final = 200


@dataclass(frozen=True, slots=True)
class AnnouncedCheck:
    """A health check that this courier has announced to a majority."""

    target: HealthCheckTarget
    epoch: int
    sequence: int

    @property
    def role(self) -> str:
        """Leased role that the check belongs to."""
        return shard_role(self.target.destination)


class CheckInFlight(NamedTuple):
    """A call in flight, which is recalled when this courier loses the role."""

    role: str
    call: HttpCall


class HealthCheckCalls:
    """The health checks of this courier between their announcement and their end.

    Right before the first byte of a check is sent, the lease, the endpoint list, the endpoints that an
    operator took offline, and the destination's backoff are checked again.
    """

    def __init__(
        self,
        node: ClusterNode,
        delivery: DeliveryResources,
        consensus: ConsensusService,
        state: HealthState,
        path: str,
    ) -> None:
        self._node = node
        self._delivery = delivery
        self._bus = consensus.bus
        self._leases = consensus.leases
        self._state = state
        self._path = path
        self._calls: dict[str, CheckInFlight] = {}  # by endpoint
        self.pending: set[str] = set()  # endpoints whose check is announced or in flight
        self.counts: Counter[str] = Counter(dict.fromkeys(("sent", "unheard", "withdrawn"), 0))

    def send(self, check: AnnouncedCheck) -> None:
        """Send a check that a majority has acknowledged, if its endpoint and its lease still exist."""
        target, role = check.target, check.role
        record = self._delivery.directory.endpoints.get(target.endpoint_number)
        remaining_ms = self._leases.remaining_ms(role)
        if record is None or remaining_ms <= 0.0:
            self.counts["withdrawn"] += 1
            self.withdraw(check)
            return
        request_parts = self._request(check, record)
        now = self._node.clock.now()
        call = self._delivery.connections.start_call(
            record.peer,
            lambda: request_parts if self._confirm(check) else [],
            now + RESPONSE_TIMEOUT_MS,
            lambda result: self._on_result(check, result),
            CallOptions(start_by_ms=now + remaining_ms),
        )
        if target.name in self.pending:  # the call may have ended already
            self._calls[target.name] = CheckInFlight(role, call)

    def expire(self, check: AnnouncedCheck) -> None:
        """Withdraw a check that no majority acknowledged before the timeout."""
        self.counts["unheard"] += 1
        self.withdraw(check)

    def withdraw(self, check: AnnouncedCheck) -> None:
        """Announce to all members that an announced check was certainly not sent."""
        self.pending.discard(check.target.name)
        self._bus.broadcast(HealthCheckCompleted(check.target.name, check.sequence, check.epoch, False))

    def recall_without_lease(self) -> None:
        """Recall the partially written checks of roles whose lease has expired."""
        for role, call in list(self._calls.values()):
            if not self._leases.permitted_epoch(role):
                call.recall()

    def recall_role(self, role: str) -> None:
        """Recall the checks of a role that this courier releases."""
        for check_role, call in list(self._calls.values()):
            if check_role == role:
                call.recall()

    def _request(self, check: AnnouncedCheck, record: EndpointRecord) -> list[bytes]:
        probe_header = f"{check.role} {check.epoch} {check.sequence} {self._node.name}"
        return http.encode_request("GET", self._path, str(record.address), (("X-Probe", probe_header),))

    def _confirm(self, check: AnnouncedCheck) -> bool:
        """Return whether a check may still be sent, right before its first byte; record its start if so."""
        now, target = self._node.now_ms(), check.target
        if (
            self._leases.permitted_epoch(check.role) != check.epoch
            or self._state.backoff.remaining_ms(now, target.destination) > 0.0
            or all(
                record.number != target.endpoint_number
                for record in self._delivery.directory.in_service_endpoints()
            )
        ):
            self.counts["withdrawn"] += 1
            return False
        self._state.plan.record_start(now, target.name, target.destination, check.sequence, check.epoch)
        self.counts["sent"] += 1
        return True

    def _on_result(self, check: AnnouncedCheck, result: HttpCallResult) -> None:
        target, plan = check.target, self._state.plan
        self._calls.pop(target.name, None)
        known, now = plan.endpoints.get(target.name), self._node.now_ms()
        if result.outcome is HttpCallOutcome.RECALLED:
            self.withdraw(check)
            return
        self.pending.discard(target.name)
        if known is None or known.sequence_number != check.sequence:  # a failed connect counts as a check
            plan.record_start(now, target.name, target.destination, check.sequence, check.epoch)
        started_ms = plan.endpoints[target.name].started_at_ms
        self._record_backoff(now, target.destination, retry_after_ms(result))
        is_healthy = result.response is not None and result.response.status == HEALTHY_STATUS
        if plan.record_result(started_ms, target.name, check.sequence, check.epoch, is_healthy):
            outcome = result.response.status if result.response is not None else result.outcome.value
            logger.info("fleet: health check of {}: {}", target.name, outcome)
        self._bus.broadcast(
            HealthCheckCompleted(target.name, check.sequence, check.epoch, True, now - started_ms, is_healthy)
        )

    def _record_backoff(self, now: float, destination: int, remaining_ms: float) -> None:
        if remaining_ms > 0.0:
            self._state.backoff.record_retry_after(now, destination, remaining_ms)
            self._bus.broadcast(BackoffObserved(destination, remaining_ms))
