"""The holder's side of leases: checks the lease against the clock immediately before each operation."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from winchspan.leases.lease_table import Lease, LeaseTable
from winchspan.leases.messages import LeaseReleased, LeasesRenewed, ReleaseLease, RenewLeases
from winchspan.leases.timing import LeaseTiming

MAX_UNANSWERED_REQUESTS: Final = 16  # replies to older renewal requests are ignored


@dataclass(frozen=True, slots=True)
class HeldLease:
    """The holder's view of a lease: its epoch, and the clock reading at which it ends, ms."""

    epoch: int = 0
    valid_until_ms: float = 0.0


NO_LEASE: Final = HeldLease()


class LeaseHolder:
    """The leases that one process holds, renews and releases.

    The validity of a lease starts at the request for its renewal and is shortened by the drift of both
    clocks. The clock must include the time during which the machine is suspended.
    """

    def __init__(self, node_name: str, process_nonce: int, timing: LeaseTiming) -> None:
        """Create a holder without leases.

        Args:
            node_name: name of this node.
            process_nonce: nonce of this process.
            timing: lease durations of the cluster.
        """
        self.node_name = node_name
        self.process_nonce = process_nonce
        self.timing = timing
        self._held: dict[str, HeldLease] = {}  # by role
        self._requested_ms: dict[int, float] = {}  # by request number, ms
        self._request_number = 0
        self._surrendered: set[tuple[str, int]] = set()  # roles and epochs that are not renewed again

    def valid_epoch(self, role: str, now: float) -> int:
        """Return the epoch of a valid lease or 0; must be called immediately before each operation."""
        held = self._held.get(role, NO_LEASE)
        return held.epoch if now < held.valid_until_ms else 0

    def remaining_ms(self, role: str, now: float) -> float:
        """Return the remaining validity of a role's lease, ms; 0 if there is no valid lease."""
        return max(0.0, self._held.get(role, NO_LEASE).valid_until_ms - now)

    def build_renewal(self, now: float, table: LeaseTable) -> RenewLeases | None:
        """Build a request to renew all leases of this process; None if it has none."""
        own_roles = tuple(
            (role, lease.epoch) for role, lease in sorted(table.leases.items()) if self._owns(role, lease)
        )
        self._held = {role: held for role, held in self._held.items() if (role, held.epoch) in own_roles}
        if not own_roles:
            return None
        self._request_number += 1
        self._requested_ms[self._request_number] = now
        self._requested_ms.pop(self._request_number - MAX_UNANSWERED_REQUESTS, None)
        return RenewLeases(self.node_name, self.process_nonce, self._request_number, own_roles)

    def handle_renewed(self, reply: LeasesRenewed) -> None:
        """Extend the renewed leases, starting from the time at which the renewal was requested."""
        requested_ms = self._requested_ms.get(reply.number)
        if requested_ms is None:
            return
        valid_until_ms = requested_ms + self.timing.holder_validity_ms
        for role, epoch in reply.duties:
            held = self._held.get(role, NO_LEASE)
            if epoch < held.epoch:
                continue
            previous_until_ms = held.valid_until_ms if epoch == held.epoch else 0.0
            self._held[role] = HeldLease(epoch, max(valid_until_ms, previous_until_ms))

    def handle_release(self, request: ReleaseLease) -> LeaseReleased:
        """Release a role, and discard pending renewal requests, whose replies could restore the lease."""
        if self._held.get(request.duty, NO_LEASE).epoch <= request.epoch:
            self._held.pop(request.duty, None)
            self._requested_ms.clear()
        return LeaseReleased(request.duty, request.epoch)

    def surrender(self, role: str) -> LeaseReleased:
        """Release a role without a request of the leader; it is not renewed again under the same epoch."""
        epoch = self._held.get(role, NO_LEASE).epoch
        self._surrendered = {key for key in self._surrendered if key[0] != role}
        self._surrendered.add((role, epoch))
        return self.handle_release(ReleaseLease(role, epoch))

    def handle_reassigned(self, role: str, lease: Lease) -> None:
        """Remove a lease that a later assignment in the lease table has replaced."""
        if self._held.get(role, NO_LEASE).epoch < lease.epoch:
            self._held.pop(role, None)

    def _owns(self, role: str, lease: Lease) -> bool:
        is_own = lease.holder == self.node_name and lease.process_nonce == self.process_nonce
        return is_own and (role, lease.epoch) not in self._surrendered
