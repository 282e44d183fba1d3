"""Round-robin quotas that limit the redelivery of dead letters to the rules' rates for the whole cluster.

Each courier has a dead letter store. The holder of the role `REDELIVERY_ROLE` grants one courier at a time a
quota per rule, waits for its usage report or until the quota has certainly expired, and then grants the next
courier a quota. Thus a rule's rate applies to the cluster, and no two couriers redeliver at the same time.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

REDELIVERY_ROLE: Final = "resends"
QUOTA_LIFETIME_MS: Final = 2_000.0  # validity of a quota from its receipt: four passes of redelivery
EXPIRY_MARGIN_FACTOR: Final = 1.05  # factor on the lifetime, for clock drift and the transport
TOKEN_BUCKET_CAPACITY_MS: Final = 2_000.0  # a rule's bucket holds its tokens of this duration


@dataclass(frozen=True, slots=True)
class RedeliveryQuotaGrant:
    """A quota for one courier: the maximum number of redeliveries by rule."""

    recipient: str
    round_number: int
    limits: dict[str, int]


class RedeliveryQuotaScheduler:
    """Grants quotas to couriers in turn, while this courier holds the role's lease."""

    def __init__(self, now: float, rates_per_second: Mapping[str, float]) -> None:
        """Start, and wait until the last quota of the previous holder has expired.

        Args:
            now: clock reading, ms.
            rates_per_second: messages per second by rule.
        """
        self._rates_per_second = dict(rates_per_second)
        self._tokens = dict.fromkeys(rates_per_second, 0.0)
        self._refilled_at_ms = now
        self._next_grant_at_ms = now + QUOTA_LIFETIME_MS * EXPIRY_MARGIN_FACTOR
        self._open: RedeliveryQuotaGrant | None = None
        self._last_recipient = ""
        self._last_number = 0

    def next_grant(self, now: float, alive: Iterable[str]) -> RedeliveryQuotaGrant | None:
        """Return the next courier's quota; None if it is not due or no rule has a complete token."""
        self._refill(now)
        names = sorted(alive)
        limits = {rule: int(tokens) for rule, tokens in self._tokens.items() if tokens >= 1.0}
        if now < self._next_grant_at_ms or not names or not limits:
            return None
        recipient = next((name for name in names if name > self._last_recipient), names[0])
        for rule, count in limits.items():
            self._tokens[rule] -= count
        self._last_number += 1
        self._last_recipient = recipient
        self._open = RedeliveryQuotaGrant(recipient, self._last_number, limits)
        self._next_grant_at_ms = now + QUOTA_LIFETIME_MS * EXPIRY_MARGIN_FACTOR
        return self._open

    def _refill(self, now: float) -> None:
        for rule, rate in self._rates_per_second.items():
            capacity = max(1.0, rate * TOKEN_BUCKET_CAPACITY_MS / 1_000.0)
            refilled = self._tokens[rule] + rate * (now - self._refilled_at_ms) / 1_000.0
            self._tokens[rule] = min(capacity, refilled)
        self._refilled_at_ms = now

    def record_usage(self, now: float, name: str, round_number: int, used_counts: Mapping[str, int]) -> None:
        """Close a courier's grant, and return its unused tokens to the buckets for the next courier.

        A late report is ignored, and the whole grant counts as used.
        """
        grant = self._open
        if grant is None or (grant.recipient, grant.round_number) != (name, round_number):
            return
        for rule, count in grant.limits.items():
            self._tokens[rule] += max(0, count - max(0, used_counts.get(rule, 0)))
        self._open = None
        self._next_grant_at_ms = now


class RedeliveryQuota:
    """The quota of a courier, which replaces the local rate limit of a courier without a cluster.

    Attributes:
        epoch: epoch of the role's holder that granted the quota.
        round_number: round number of the grant.
        used_counts: number of redelivered messages by rule.
    """

    def __init__(self) -> None:
        self.epoch = 0
        self.round_number = 0
        self.used_counts: dict[str, int] = {}
        self._valid_until_ms = 0.0
        self._remaining_counts: dict[str, int] = {}

    def renew(self, now: float, epoch: int, round_number: int, limits: Mapping[str, int]) -> None:
        """Replace the quota with a new grant, with limits by rule."""
        self.epoch = epoch
        self.round_number = round_number
        self.used_counts = {}
        self._valid_until_ms = now + QUOTA_LIFETIME_MS
        self._remaining_counts = {rule: max(0, count) for rule, count in limits.items()}

    def is_valid(self, now: float) -> bool:
        """Return whether the quota has not expired."""
        return now < self._valid_until_ms

    def has_remaining(self, now: float, rule: str) -> bool:
        """Return whether a rule may redeliver a message."""
        return self.is_valid(now) and self._remaining_counts.get(rule, 0) > 0

    def consume(self, rule: str) -> None:
        """Count one redelivery of a rule."""
        self._remaining_counts[rule] = self._remaining_counts.get(rule, 0) - 1
        self.used_counts[rule] = self.used_counts.get(rule, 0) + 1

    def release(self) -> None:
        """End the validity of the quota."""
        self._valid_until_ms = 0.0
