"""Redelivery of dead letters at a rate that the cluster shares: rounds of the role holder, and quotas."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Final

from loguru import logger

from winchspan.cluster.consensus_service import ConsensusService
from winchspan.cluster.messages import RedeliveryQuotaGranted, RedeliveryQuotaUsed
from winchspan.cluster.node import ClusterNode
from winchspan.cluster_tasks.redelivery_rounds import (
    REDELIVERY_ROLE,
    RedeliveryQuota,
    RedeliveryQuotaScheduler,
)
from winchspan.dead_letters.policy import RedeliveryRateLimiter, RedeliveryRule
from winchspan.leases.fencing import EpochFence

POLL_INTERVAL_MS: Final = 250.0  # between two checks whether a quota is to be granted


class ClusterRedeliveryRateLimiter(RedeliveryRateLimiter):
    """Limits redelivery to the quota of the role's holder, in place of the rules' own rates."""

    def __init__(self, service: RedeliveryService) -> None:
        super().__init__()
        self._service = service

    def may_send(self, now_ms: float, rule: RedeliveryRule) -> bool:
        """Return whether this courier's quota for the rule is not used up."""
        return self._service.allowance.has_remaining(self._service.now(), rule.name)

    def record_sent(self, now_ms: float, rule: RedeliveryRule) -> None:
        """Count a message that the rule has selected for redelivery."""
        self._service.allowance.consume(rule.name)

    def is_selection_valid(self) -> bool:
        """Return whether selected messages may still be sent; asked right before they are."""
        return self._service.allowance.is_valid(self._service.now())

    def complete_round(self) -> None:
        """Return the unused quota, since the engine has all messages that the round has selected."""
        self._service.return_unused_quota()


class RedeliveryService:
    """This courier's participation in redelivery.

    Attributes:
        allowance: quota of this courier in the current round.
    """

    def __init__(
        self, node: ClusterNode, consensus: ConsensusService, rules: Sequence[RedeliveryRule]
    ) -> None:
        self._node = node
        self._bus = consensus.bus
        self._leases = consensus.leases
        self._consensus = consensus
        self._rates = {rule.name: rule.rate for rule in rules}
        self._rounds: RedeliveryQuotaScheduler | None = None  # while this courier holds the role
        self._epoch = 0
        self._grantor = ""  # member that granted the current quota
        self._fence = EpochFence()
        self.allowance = RedeliveryQuota()
        self._is_closed = False
        self._bus.subscribe(RedeliveryQuotaGranted, self._on_granted)
        self._bus.subscribe(RedeliveryQuotaUsed, self._on_used)
        self._leases.on_lost(self._on_role_lost)

    def now(self) -> float:
        """Return the time on the clock of leases, ms."""
        return self._node.now_ms()

    def start(self) -> None:
        """Check periodically whether this courier is to grant the next quota."""
        if self._is_closed:
            return
        self._node.timers.call_later(POLL_INTERVAL_MS, self.start)
        epoch, now = self._leases.permitted_epoch(REDELIVERY_ROLE), self.now()
        if epoch != self._epoch:
            self._epoch = epoch
            self._rounds = RedeliveryQuotaScheduler(now, self._rates) if epoch else None
        if self._rounds is None:
            return
        grant = self._rounds.next_grant(now, self._consensus.live_nodes())
        if grant is None:
            return
        message = RedeliveryQuotaGranted(epoch, grant.round_number, grant.limits)
        if grant.recipient == self._node.name:
            self._on_granted(self._node.name, message)
        else:
            self._bus.send(grant.recipient, message)

    def close(self) -> None:
        """Stop granting quotas."""
        self._is_closed = True

    def metrics(self) -> dict[str, int]:
        """Return the number of rejected quotas of superseded role holders."""
        return {"fleet.resends.fenced": self._fence.rejected_count}

    def status(self) -> dict[str, Any]:
        """Return no entries: the metrics cover this service."""
        return {}

    def _on_role_lost(self, role: str) -> None:
        """End the quota that this courier has granted itself."""
        if role == REDELIVERY_ROLE and self._grantor == self._node.name:
            self.allowance.release()

    def _on_granted(self, sender: str, message: RedeliveryQuotaGranted) -> None:
        if not self._fence.admit(REDELIVERY_ROLE, message.epoch):
            logger.warning(
                "fleet: redelivery quota of {} under epoch {} rejected: a later epoch is known",
                sender,
                message.epoch,
            )
            return
        self._grantor = sender
        self.allowance.renew(self.now(), message.epoch, message.round_number, message.quotas)

    def return_unused_quota(self) -> None:
        """Return the unused quota to its grantor, for the next courier."""
        if not self._grantor or not self.allowance.is_valid(self.now()):
            return
        self.allowance.release()
        message = RedeliveryQuotaUsed(self.allowance.round_number, self.allowance.used_counts)
        if self._grantor == self._node.name:
            self._on_used(self._grantor, message)
        else:
            self._bus.send(self._grantor, message)

    def _on_used(self, sender: str, message: RedeliveryQuotaUsed) -> None:
        if self._rounds is not None:
            self._rounds.record_usage(self.now(), sender, message.round_number, message.used_counts)
