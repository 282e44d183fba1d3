"""The leader's side of leases: renews leases, and assigns roles once earlier leases have certainly expired.

Leases rely on bounded clock drift (Gray and Cheriton 1989): the leader assigns a role to another node only
when the last renewed lease has certainly expired. Renewals are not in the log. This is safe across a change
of leader:

- A leader renews leases only while a majority has replied to heartbeats sent within `confirmation_window_ms`,
  and only after an entry of its own term is committed, so that its lease table is up to date
  (`Raft.has_confirmed_leadership`).
- At least one node of that majority votes for the next leader. It votes no sooner than an election timeout
  after its last contact with the old leader (Ongaro 2014, 4.2.3) or after its own start. The last renewal
  therefore precedes the election of the next leader by at least
  `election_timeout_ms - confirmation_window_ms`, less the drift of two clocks over both durations.
- The next leader waits for the lease duration less that time, starting at its election, before it assigns
  roles that another node may hold.
- A voter may vote sooner for the node that it considers its present leader. That node remembers its own
  renewals across terms (`LeaseManager.latest_expiry_ms`), unless it has restarted. In this case it does not
  campaign within an election timeout.
- A leader that has proposed to move a role does not renew the lease that this move ends.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from hashlib import blake2b
from typing import Final, NamedTuple

from winchspan.leases.commands import AssignRole
from winchspan.leases.lease_table import Lease, LeaseTable
from winchspan.leases.messages import LeaseReleased, LeasesRenewed, ReleaseLease, RenewLeases
from winchspan.leases.timing import LeaseTiming

MAX_CONCURRENT_MOVES: Final = 1  # number of roles with live holders that move at the same time

PreferredHolder = Callable[[str, Mapping[str, int], LeaseTable], str]


class ReleaseRequest(NamedTuple):
    """A release message to send to a lease holder."""

    holder: str
    message: ReleaseLease


def preferred_holder(role: str, live_nodes: Mapping[str, int]) -> str:
    """Return the preferred holder of a role, empty if no node is alive.

    Rendezvous hashing (Thaler and Ravishankar 1998) moves few roles when nodes join or leave.
    """

    def weight(name: str) -> bytes:
        return blake2b(f"{role}\n{name}".encode(), digest_size=8).digest()

    return max(live_nodes, key=weight, default="")


class LeaseManager:
    """Renews leases and assigns roles, for one term of leadership."""

    def __init__(
        self,
        now: float,
        roles: tuple[str, ...],
        timing: LeaseTiming,
        latest_expiry_ms: float = 0.0,
        choose_holder: PreferredHolder | None = None,
    ) -> None:
        """Start a term of leadership.

        Args:
            now: clock reading at the election of this node, ms.
            roles: all roles to assign.
            timing: lease durations of the cluster.
            latest_expiry_ms: expiry of the last lease that this process renewed in an earlier term.
            choose_holder: returns the preferred holder of a role, empty to leave the role unchanged;
                `preferred_holder` by default.
        """
        self._choose_holder = choose_holder
        self.timing = timing
        self.roles = roles
        self.latest_expiry_ms = latest_expiry_ms
        # Expiry of all leases that previous leaders have renewed.
        self._predecessor_expiry_ms = max(now + timing.post_election_wait_ms, latest_expiry_ms)
        self._expiries_ms: dict[tuple[str, int], float] = {}  # by role and epoch
        self._moving: dict[str, int] = {}  # epochs of roles whose live holders must release them, by role
        self._closed: set[tuple[str, int]] = set()  # roles and epochs that are not renewed again
        self._surrendered: set[tuple[str, int]] = set()  # roles and epochs that their holders have released
        self._live_nodes: dict[str, int] = {}
        self._live_nodes_changed_ms = now

    def renew(
        self, now: float, request: RenewLeases, table: LeaseTable, is_confirmed_leader: bool
    ) -> LeasesRenewed | None:
        """Renew the requester's leases except those about to move; None if leadership is not confirmed."""
        if not is_confirmed_leader:
            return None
        renewed = []
        for role, epoch in request.duties:
            lease = Lease(request.owner, request.life, epoch)
            is_open = self._moving.get(role) != epoch and (role, epoch) not in self._closed
            if is_open and table.leases.get(role) == lease:
                self.latest_expiry_ms = now + self.timing.lease_ms
                self._expiries_ms[role, epoch] = self.latest_expiry_ms
                renewed.append((role, epoch))
        return LeasesRenewed(request.number, tuple(renewed))

    def handle_released(self, now: float, reply: LeaseReleased) -> None:
        """Record that a holder has released a role on request."""
        if self._moving.get(reply.duty) == reply.epoch:
            self._expiries_ms[reply.duty, reply.epoch] = now

    def handle_surrendered(self, now: float, holder: str, released: LeaseReleased, table: LeaseTable) -> None:
        """Record that a holder has released a role without a request, which ends the lease."""
        lease = table.leases.get(released.duty)
        if lease is None or lease.holder != holder or lease.epoch != released.epoch:
            return
        key = (released.duty, released.epoch)
        self._expiries_ms[key] = now
        self._closed.add(key)
        self._surrendered.add(key)

    def lease_expiry_ms(self, role: str, epoch: int) -> float:
        """Return the clock reading at which a lease has certainly expired, ms."""
        return self._expiries_ms.get((role, epoch), self._predecessor_expiry_ms)

    def next_absent_holder_expiry_ms(
        self, now: float, live_nodes: Mapping[str, int], table: LeaseTable
    ) -> float:
        """Return the earliest future expiry of a lease whose holder is not alive, ms; infinity if none."""
        expiries = [
            self.lease_expiry_ms(role, lease.epoch)
            for role, lease in table.leases.items()
            if live_nodes.get(lease.holder) != lease.process_nonce
        ]
        return min((expiry for expiry in expiries if expiry > now), default=float("inf"))

    def plan_assignments(
        self, now: float, live_nodes: Mapping[str, int], table: LeaseTable
    ) -> list[AssignRole | ReleaseRequest]:
        """Return the assignments to propose, and the release requests to send.

        Args:
            now: clock reading, ms.
            live_nodes: process nonces of the live nodes, by name, without nodes that have a name conflict.
            table: the committed lease table.
        """
        self._forget_former_epochs(table)
        if dict(live_nodes) != self._live_nodes:
            self._live_nodes = dict(live_nodes)
            self._live_nodes_changed_ms = now
        steps: list[AssignRole | ReleaseRequest] = []
        if not live_nodes:
            return steps
        for role in self.roles:
            target = self._target_holder(role, live_nodes, table)
            if not target:
                continue
            step = self._plan_role(now, role, table.leases.get(role), target)
            if step is not None:
                steps.append(step)
        return steps

    def _target_holder(self, role: str, live_nodes: Mapping[str, int], table: LeaseTable) -> str:
        if self._choose_holder is None:
            return preferred_holder(role, live_nodes)
        return self._choose_holder(role, live_nodes, table)

    def _plan_role(
        self, now: float, role: str, lease: Lease | None, target: str
    ) -> AssignRole | ReleaseRequest | None:
        if lease is not None:
            return self._plan_held_role(now, role, lease, target)
        if now < self._live_nodes_changed_ms + self.timing.settle_ms / 3.0:
            return None
        return AssignRole(role, target, self._live_nodes[target], 0)

    def _plan_held_role(
        self, now: float, role: str, lease: Lease, target: str
    ) -> AssignRole | ReleaseRequest | None:
        epoch = lease.epoch
        is_same_process = self._live_nodes.get(lease.holder) == lease.process_nonce
        is_held = is_same_process and (role, epoch) not in self._surrendered
        if self._moving.get(role, epoch) != epoch:
            del self._moving[role]  # the move is complete
        is_moving = role in self._moving
        if is_held and not is_moving:
            return self._plan_move(now, role, lease, target)
        if now >= self.lease_expiry_ms(role, epoch):
            self._closed.add((role, epoch))
            return AssignRole(role, target, self._live_nodes[target], epoch)
        if is_held:  # the request or its reply may have been lost
            return ReleaseRequest(lease.holder, ReleaseLease(role, epoch))
        return None

    def _plan_move(self, now: float, role: str, lease: Lease, target: str) -> ReleaseRequest | None:
        """Request a live holder to release its role, if another node is preferred in a settled cluster."""
        is_settled = now >= self._live_nodes_changed_ms + self.timing.settle_ms
        if lease.holder == target or len(self._moving) >= MAX_CONCURRENT_MOVES or not is_settled:
            return None
        self._moving[role] = lease.epoch
        return ReleaseRequest(lease.holder, ReleaseLease(role, lease.epoch))

    def _forget_former_epochs(self, table: LeaseTable) -> None:
        current = {(role, lease.epoch) for role, lease in table.leases.items()}
        self._closed &= current
        self._surrendered &= self._closed
        self._expiries_ms = {key: expiry for key, expiry in self._expiries_ms.items() if key in current}
