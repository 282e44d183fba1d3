"""Coordinated health checks of endpoints, and the backoff of destinations that members share.

A health check is sent only after a majority has acknowledged its announcement (`cluster_tasks/quorum.py`).
The first check under an epoch is announced only after a majority has reported its health state.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final

from loguru import logger

from winchspan import api
from winchspan.cluster.consensus_service import ConsensusService
from winchspan.cluster.health_check_calls import AnnouncedCheck, HealthCheckCalls
from winchspan.cluster.health_state import QUORUM_TIMEOUT_MS, HealthState, HealthStateSync
from winchspan.cluster.messages import (
    BackoffObserved,
    HealthCheckAcknowledged,
    HealthCheckCompleted,
    HealthCheckStarting,
)
from winchspan.cluster.node import ClusterNode, DeliveryResources
from winchspan.cluster_tasks.health_checks import HealthCheckPlan, HealthCheckTarget, shard_role
from winchspan.cluster_tasks.quorum import QuorumRequests
from winchspan.cluster_tasks.shared_backoff import SharedBackoff
from winchspan.leases.fencing import EpochFence

POLL_INTERVAL_MS: Final = 100.0  # between two searches for due health checks


@dataclass(frozen=True, slots=True)
class HealthCheckOptions:
    """Options of health checks from the operator's file.

    Attributes:
        interval_ms: time between two health checks of an endpoint; 0 disables them.
        path: path of the HTTP request.
        shares_backoff: whether this courier obeys a Retry-After that another member received.
    """

    interval_ms: float
    path: str
    shares_backoff: bool


class HealthCheckService:
    """This courier's participation in health checks and shared backoff."""

    def __init__(
        self,
        node: ClusterNode,
        delivery: DeliveryResources,
        consensus: ConsensusService,
        options: HealthCheckOptions,
    ) -> None:
        """Subscribe to the other members' health checks.

        Args:
            node: this process.
            delivery: endpoints and connections of this courier.
            consensus: provides the leases and the message bus.
            options: interval and path of the checks.
        """
        self._node = node
        self._delivery = delivery
        self._consensus = consensus
        self._bus = consensus.bus
        self._options = options
        self._state = HealthState(
            HealthCheckPlan(options.interval_ms, delivery.settings),
            SharedBackoff(),
            QuorumRequests(node.name),
            EpochFence(),
        )
        self._sync = HealthStateSync(node, consensus, self._state)
        self._calls = HealthCheckCalls(node, delivery, consensus, self._state, options.path)
        self._announced: dict[int, AnnouncedCheck] = {}  # by request number, until a majority acknowledges
        self._is_closed = False
        self._bus.subscribe(HealthCheckStarting, self._on_starting)
        self._bus.subscribe(HealthCheckAcknowledged, self._on_acknowledged)
        self._bus.subscribe(HealthCheckCompleted, self._on_completed)
        self._bus.subscribe(BackoffObserved, self._on_backoff)

    def start(self) -> None:
        """Connect the service to the transport and the leases, and schedule health checks if enabled."""
        self._delivery.transport.on_backoff = self._share_backoff
        if self._options.shares_backoff:
            self._delivery.transport.shared_backoff_ms = self._backoff_ms
        self._consensus.leases.on_lost(self._on_role_lost)
        self._consensus.poll_guard.add(self._calls.recall_without_lease)
        if self._options.interval_ms:
            self._on_timer()

    def reconfigure(self, settings: api.Settings) -> None:
        """Apply new settings."""
        self._state.plan.reconfigure(settings)

    def close(self) -> None:
        """Stop sending health checks."""
        self._is_closed = True

    def metrics(self) -> dict[str, int]:
        """Return health checks by outcome, failing endpoints, and rejected announcements."""
        return {
            **{f"fleet.probes.{outcome}": count for outcome, count in self._calls.counts.items()},
            "fleet.probes.failing": self._state.plan.failing_count(),
            "fleet.probes.known": len(self._state.plan.endpoints),
            "fleet.probes.fenced": self._state.fence.rejected_count,
            "fleet.waits": len(self._state.backoff.active_waits(self._node.now_ms())),
        }

    def status(self) -> dict[str, Any]:
        """Return the endpoints whose last health check failed."""
        now = self._node.now_ms()
        failing = {
            name: {
                "failures": health.consecutive_failures,
                "ago_s": round((now - health.started_at_ms) / 1_000.0, 1),
            }
            for name, health in self._state.plan.endpoints.items()
            if health.is_healthy is False
        }
        return {"probes_failing": failing}

    # ---- schedule ----------------------------------------------------------------------------------------
    def _on_timer(self) -> None:
        if self._is_closed:
            return
        self._node.timers.call_later(POLL_INTERVAL_MS, self._on_timer)
        now = self._node.now_ms()
        self._expire_requests(now)
        targets = list(self._targets())
        self._sync.request_missing(now, targets)
        due = self._state.plan.due_checks(
            now, targets, self._sync.permitted_epoch, self._calls.pending, self._backoff_ms
        )
        for target in due:
            self._announce(now, target)

    def _targets(self) -> Iterator[HealthCheckTarget]:
        for record in self._delivery.directory.in_service_endpoints():
            yield HealthCheckTarget(record.name, record.destination, record.listed_rate, record.number)

    def _expire_requests(self, now: float) -> None:
        for number in self._state.requests.expire(now):
            self._sync.expire(number)
            check = self._announced.pop(number, None)
            if check is not None:
                self._calls.expire(check)

    def _announce(self, now: float, target: HealthCheckTarget) -> None:
        """Announce a health check to all members; it is sent once a majority has acknowledged it."""
        role = shard_role(target.destination)
        epoch, known = self._sync.permitted_epoch(role), self._state.plan.endpoints.get(target.name)
        sequence = known.sequence_number + 1 if known is not None else 1
        number = self._state.requests.open_request(self._consensus.voting_members(), now + QUORUM_TIMEOUT_MS)
        if not number or not self._state.fence.admit(role, epoch):
            return
        self._announced[number] = AnnouncedCheck(target, epoch, sequence)
        self._calls.pending.add(target.name)
        self._bus.broadcast(
            HealthCheckStarting(number, role, epoch, target.name, target.destination, sequence)
        )
        if self._state.requests.close_on_majority(number):
            self._send(number)

    def _send(self, number: int) -> None:
        check = self._announced.pop(number, None)
        if check is not None and not self._is_closed:
            self._calls.send(check)

    def _on_role_lost(self, role: str) -> None:
        """Recall partially sent checks of a role before any member learns that the role is released."""
        self._sync.forget(role)
        self._calls.recall_role(role)

    # ---- messages ----------------------------------------------------------------------------------------
    def _on_starting(self, sender: str, message: HealthCheckStarting) -> None:
        # Any other role is rejected: it would add an entry to the fence's table, which has to stay bounded.
        if message.role != shard_role(message.destination):
            return
        is_accepted = self._state.fence.admit(message.role, message.epoch)
        if is_accepted:  # the check may be sent until its quorum request times out
            latest_ms = self._node.now_ms() + QUORUM_TIMEOUT_MS
            self._state.plan.record_start(
                latest_ms, message.endpoint, message.destination, message.sequence, message.epoch
            )
        self._bus.send(sender, HealthCheckAcknowledged(message.request_number, is_accepted))

    def _on_acknowledged(self, sender: str, message: HealthCheckAcknowledged) -> None:
        if message.is_accepted and self._state.requests.record_answer(message.request_number, sender):
            self._send(message.request_number)

    def _on_completed(self, sender: str, message: HealthCheckCompleted) -> None:
        del sender
        plan = self._state.plan
        if message.was_sent:
            started_ms = self._node.now_ms() - max(0.0, message.age_ms)
            plan.record_result(
                started_ms, message.endpoint, message.sequence, message.epoch, message.is_healthy
            )
        else:
            plan.record_not_sent(message.endpoint, message.sequence, message.epoch)

    # ---- shared backoff ----------------------------------------------------------------------------------
    def _backoff_ms(self, destination: int) -> float:
        return self._state.backoff.remaining_ms(self._node.now_ms(), destination)

    def _share_backoff(self, destination: int, remaining_ms: float) -> None:
        """Share a destination's Retry-After with all members."""
        self._bus.broadcast(BackoffObserved(destination, remaining_ms))

    def _on_backoff(self, sender: str, message: BackoffObserved) -> None:
        if self._state.backoff.record_retry_after(
            self._node.now_ms(), message.destination, message.remaining_ms
        ):
            logger.debug(
                "fleet: {} received a Retry-After of {:.0f} ms from destination {}",
                sender,
                message.remaining_ms,
                message.destination,
            )
