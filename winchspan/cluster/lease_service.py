"""Holds this courier's leases, and grants leases to all members while this courier leads."""

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
    """Functions of the consensus service that leases use.

    Attributes:
        send: sends a message to a store.
        propose: proposes an entry, as the leader.
        plan: plans the assignment of roles at once, as the leader.
    """

    send: Callable[[str, LeaseMessage], None]
    propose: Callable[[bytes], None]
    plan: Callable[[], None]


class LeaseService:
    """The leases that this courier holds, and those that it grants while it leads.

    Attributes:
        table: replicated table of leases and replica placements.
        preferred_holder: chooses the holder of a role; None for the default choice.
    """

    def __init__(
        self,
        node: ClusterNode,
        raft: Raft,
        clocks: ClockChecks,
        roles: tuple[str, ...],
        timing: LeaseTiming,
    ) -> None:
        """Start without leases.

        Args:
            node: this process.
            raft: state machine of consensus.
            clocks: clock checks, which decide who may hold a lease.
            roles: names of the leased roles.
            timing: durations of leases.
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
        self._latest_renewal_end_ms = 0.0  # over all leases that this process has granted, in any term
        self._loss_callbacks: list[Callable[[str], None]] = []
        self.preferred_holder: HolderPreference | None = None

    def connect(self, ports: LeasePorts) -> None:
        """Set the functions of the consensus service, which is created after this service."""
        self._ports = ports

    # ---- as a holder -------------------------------------------------------------------------------------
    def permitted_epoch(self, role: str) -> int:
        """Return the epoch under which this courier may act in a role now; 0 if it may not."""
        if self._clocks.is_drifting(self._node.name):
            return 0
        return self._holder.valid_epoch(role, self._node.now_ms())

    def remaining_ms(self, role: str) -> float:
        """Return for how many ms this courier may still act in a role."""
        return self._holder.remaining_ms(role, self._node.now_ms())

    def on_lost(self, callback: Callable[[str], None]) -> None:
        """Call back with each role that this courier releases, before the release is sent to any member."""
        self._loss_callbacks.append(callback)

    def surrender(self, role: str) -> None:
        """Release a role on this courier's own initiative, and notify the leader."""
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
        """Release a role at the leader's request, after the services that act in it are notified."""
        answer = self._holder.handle_release(request)
        for callback in self._loss_callbacks:
            callback(request.duty)
        return answer

    @property
    def lease_ms(self) -> float:
        """Duration of a lease in ms."""
        return self._timing.lease_ms

    # ---- as the leader -----------------------------------------------------------------------------------
    @property
    def is_granting(self) -> bool:
        """Whether this courier grants leases, as the leader."""
        return self._manager is not None

    def set_roles(self, roles: tuple[str, ...]) -> None:
        """Change the leased roles."""
        self._roles = roles
        if self._manager is not None:
            self._manager.roles = roles

    def set_leading(self, *, is_leading: bool) -> None:
        """Start or stop granting leases."""
        if not is_leading:
            self._manager = None
            return
        self._manager = LeaseManager(
            self._node.now_ms(), self._roles, self._timing, self._latest_renewal_end_ms, self.preferred_holder
        )

    def plan(self, now: float, eligible: Mapping[str, int], stores: Mapping[str, str]) -> None:
        """Assign each role to a live holder.

        Args:
            now: clock reading, ms.
            eligible: incarnations of the members that may hold a role, by name.
            stores: store ids of the voting members, by name.
        """
        if self._manager is None:
            return
        for step in self._manager.plan_assignments(now, eligible, self.table):
            if isinstance(step, AssignRole):
                self._ports.propose(step.encode())
            elif step[0] in stores:
                self._ports.send(stores[step[0]], step[1])

    def next_expiry_ms(self, now: float, eligible: Mapping[str, int]) -> float | None:
        """Return the first lease expiry of a holder that is not eligible; None unless this courier leads."""
        if self._manager is None:
            return None
        return self._manager.next_absent_holder_expiry_ms(now, eligible, self.table)

    def _renew(self, now: float, request: RenewLeases) -> LeasesRenewed | None:
        """Renew a member's leases; return None unless this courier leads and the member's clock is sound."""
        if self._manager is None or not self._clocks.may_hold_leases(request.owner):
            return None
        renewal = self._manager.renew(now, request, self.table, self._raft.has_confirmed_leadership(now))
        self._latest_renewal_end_ms = max(self._latest_renewal_end_ms, self._manager.latest_expiry_ms)
        return renewal

    # ---- messages ----------------------------------------------------------------------------------------
    def receive(self, sender: str, source: str, message: LeaseMessage) -> None:
        """Handle a message from a member's store."""
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
        """Handle a message that this courier sends to itself: the leader holds roles, too."""
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
        """Apply a committed entry to the table; return the role that it assigns, empty if none."""
        return self.table.apply(entry.index, entry.data)

    def on_role_assigned(self, role: str) -> None:
        """End this courier's lease on a role assigned to another, and request the lease on its own role."""
        lease = self.table.leases[role]
        self._holder.handle_reassigned(role, lease)
        if lease.holder == self._node.name:
            self._node.timers.call_later(0.0, self.request_renewal)
        logger.info("fleet: {} is {}'s, epoch {}", role, lease.holder, lease.epoch)

    # ---- status ------------------------------------------------------------------------------------------
    def status(self) -> dict[str, dict[str, Any]]:
        """Return holder, epoch and own remaining time of each role."""
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
        """Return the epoch under which this courier may act in each role; 0 if it may not."""
        return {f"fleet.duty.{role}": self.permitted_epoch(role) for role in self._roles}
