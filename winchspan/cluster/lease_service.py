"""Leases as they run in a courier: holding roles, and as the leader, granting them."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from loguru import logger

from winchspan.cluster.clock_checks import ClockChecks
from winchspan.cluster.messages import LeaseMessage
from winchspan.cluster.node import ClusterNode
from winchspan.consensus.messages import LogEntry
from winchspan.consensus.raft import Raft
from winchspan.leases.commands import AssignRole
from winchspan.leases.holder import LeaseHolder
from winchspan.leases.lease_table import LeaseTable
from winchspan.leases.manager import LeaseManager
from winchspan.leases.messages import (
    LeaseReleased,
    LeasesRenewed,
    LeaseSurrendered,
    ReleaseLease,
    RenewLeases,
)
from winchspan.leases.timing import LeaseTiming

HolderPreference = Callable[[str, Mapping[str, int], LeaseTable], str]


@dataclass(frozen=True, slots=True)
class LeasePorts:
    """What leases ask of consensus.

    Attributes:
        send: sends a message to a store.
        propose: proposes an entry, as the leader.
        plan: looks at once who is to hold what, as the leader.
    """

    send: Callable[[str, LeaseMessage], None]
    propose: Callable[[bytes], None]
    plan: Callable[[], None]


class LeaseService:
    """The leases that this courier holds, and while it leads, those that it grants."""

    def __init__(
        self,
        node: ClusterNode,
        raft: Raft,
        clocks: ClockChecks,
        roles: tuple[str, ...],
        timing: LeaseTiming,
    ) -> None:
        """Hold nothing yet.

        Args:
            node: this process.
            raft: the state machine of consensus.
            clocks: say who may hold a lease.
            roles: that are to have a holder.
            timing: of leases.
        """
        self._node = node
        self._raft = raft
        self._clocks = clocks
        self._roles = roles
        self._timing = timing
        self._ports: LeasePorts
        self.table = LeaseTable()
        self._holder = LeaseHolder(node.name, node.incarnation, timing)
        self._manager: LeaseManager | None = None  # while this courier leads
        self._latest_renewal_end_ms = 0.0  # of all that this process has granted, in any term
        self._loss_callbacks: list[Callable[[str], None]] = []
        self.preferred_holder: HolderPreference | None = None

    def connect(self, ports: LeasePorts) -> None:
        """Take what leases ask of consensus, which is built after them."""
        self._ports = ports

    # ---- as a holder -------------------------------------------------------------------------------------
    def permitted_epoch(self, role: str) -> int:
        """Return the epoch under which this courier may act in a role at this moment; 0: it may not."""
        if self._clocks.is_drifting(self._node.name):
            return 0
        return self._holder.valid_epoch(role, self._node.now_ms())

    def remaining_ms(self, role: str) -> float:
        """Return for how long this courier may still act in a role."""
        return self._holder.remaining_ms(role, self._node.now_ms())

    def on_lost(self, callback: Callable[[str], None]) -> None:
        """Call back with a role that this courier gives up, before anybody hears that it has."""
        self._loss_callbacks.append(callback)

    def surrender(self, role: str) -> None:
        """Give a role up by this courier's own wish; the leader is notified that its lease is over."""
        released = self._holder.surrender(role)
        if self._manager is not None:
            self._manager.handle_surrendered(self._node.now_ms(), self._node.name, released, self.table)
            self._ports.plan()
        elif self._raft.leader:
            self._ports.send(self._raft.leader, LeaseSurrendered(released.duty, released.epoch))

    def request_renewal(self) -> None:
        """Ask the leader to renew this courier's leases."""
        request = self._holder.build_renewal(self._node.now_ms(), self.table)
        if request is not None and self._raft.leader:
            self._ports.send(self._raft.leader, request)

    def _release(self, request: ReleaseLease) -> LeaseReleased:
        """Give a role up; whoever acts in it is notified first."""
        answer = self._holder.handle_release(request)
        for callback in self._loss_callbacks:
            callback(request.duty)
        return answer

    @property
    def lease_ms(self) -> float:
        """How long a lease lasts."""
        return self._timing.lease_ms

    # ---- as the leader -----------------------------------------------------------------------------------
    @property
    def is_granting(self) -> bool:
        """Whether this courier leads, so that it grants leases."""
        return self._manager is not None

    def set_roles(self, roles: tuple[str, ...]) -> None:
        """Change the roles that are to have a holder."""
        self._roles = roles
        if self._manager is not None:
            self._manager.roles = roles

    def set_leading(self, *, is_leading: bool) -> None:
        """Begin or end to grant leases."""
        if not is_leading:
            self._manager = None
            return
        self._manager = LeaseManager(
            self._node.now_ms(), self._roles, self._timing, self._latest_renewal_end_ms, self.preferred_holder
        )

    def plan(self, now: float, eligible: Mapping[str, int], stores: Mapping[str, str]) -> None:
        """See to it that each role has a live holder.

        Args:
            now: the clock's reading.
            eligible: incarnations of members that may hold a role.
            stores: stores of voting members, by name.
        """
        if self._manager is None:
            return
        for step in self._manager.plan_assignments(now, eligible, self.table):
            if isinstance(step, AssignRole):
                self._ports.propose(step.encode())
            elif step[0] in stores:
                self._ports.send(stores[step[0]], step[1])

    def next_expiry_ms(self, now: float, eligible: Mapping[str, int]) -> float | None:
        """Return when the first lease of a member that is gone expires; None unless this courier leads."""
        if self._manager is None:
            return None
        return self._manager.next_absent_holder_expiry(now, eligible, self.table)

    def _renew(self, now: float, request: RenewLeases) -> LeasesRenewed | None:
        """Renew leases, if this courier surely leads."""
        if self._manager is None or not self._clocks.may_hold_leases(request.owner):
            return None
        renewal = self._manager.renew(now, request, self.table, self._raft.has_confirmed_leadership(now))
        self._latest_renewal_end_ms = max(self._latest_renewal_end_ms, self._manager.latest_expiry_at)
        return renewal

    # ---- messages ----------------------------------------------------------------------------------------
    def receive(self, sender: str, source: str, message: LeaseMessage) -> None:
        """Take a message of a member's store."""
        now = self._node.now_ms()
        match message:
            case RenewLeases():
                renewal = self._renew(now, message) if message.owner == sender else None
                if renewal is not None:
                    self._ports.send(source, renewal)
            case LeasesRenewed():
                self._holder.handle_renewed(message)
            case ReleaseLease():
                self._ports.send(source, self._release(message))
            case LeaseReleased():
                if self._manager is not None:
                    self._manager.handle_released(now, message)
                    self._ports.plan()
            case LeaseSurrendered():
                if self._manager is not None:
                    released = LeaseReleased(message.duty, message.epoch)
                    self._manager.handle_surrendered(now, sender, released, self.table)
                    self._ports.plan()

    def receive_own(self, message: object) -> None:
        """Take a message of the leader to itself, which holds roles, too."""
        now = self._node.now_ms()
        match message:
            case RenewLeases():
                renewal = self._renew(now, message)
                if renewal is not None:
                    self._holder.handle_renewed(renewal)
            case ReleaseLease():
                if self._manager is not None:
                    self._manager.handle_released(now, self._release(message))

    # ---- the replicated table ----------------------------------------------------------------------------
    def apply(self, entry: LogEntry) -> str:
        """Apply a committed entry to the table; return the role that it assigns, or an empty string."""
        return self.table.apply(entry.index, entry.data)

    def on_role_assigned(self, role: str) -> None:
        """End what an assignment ends here, and ask for the lease if the role is this courier's."""
        lease = self.table.leases[role]
        self._holder.handle_reassigned(role, lease)
        if lease.holder == self._node.name:
            self._node.timers.call_later(0.0, self.request_renewal)
        logger.info("fleet: {} is {}'s, epoch {}", role, lease.holder, lease.epoch)

    # ---- status ------------------------------------------------------------------------------------------
    def status(self) -> dict[str, dict[str, Any]]:
        """Return holder, epoch and remaining time of each role."""
        now = self._node.now_ms()
        document = {}
        for role in self._roles:
            lease = self.table.leases.get(role)
            document[role] = {
                "owner": lease.holder if lease else "",
                "epoch": lease.epoch if lease else 0,
                "mine_for_s": round(self._holder.remaining_ms(role, now) / 1_000.0, 2),
            }
        return document

    def metrics(self) -> dict[str, int]:
        """Return the epoch under which this courier may act in each role."""
        return {f"fleet.duty.{role}": self.permitted_epoch(role) for role in self._roles}
