"""Runs the Raft state machine of a courier on its store, the message bus and timers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from loguru import logger

from winchspan.cluster.announcements import LocalState, Location, NodeAnnouncements, is_log_empty
from winchspan.cluster.clock_checks import ClockChecks
from winchspan.cluster.lease_service import LeasePorts, LeaseService
from winchspan.cluster.message_bus import MessageBus
from winchspan.cluster.messages import ConsensusMessage, LeaseMessage
from winchspan.cluster.node import ClusterNode
from winchspan.cluster.poll_guard import PollGuard
from winchspan.cluster.raft_timer import RaftTimer
from winchspan.config.platform import Address
from winchspan.consensus.bootstrap import ClusterBootstrap, node_name
from winchspan.consensus.messages import (
    CommitEntry,
    LeaderChanged,
    PersistState,
    RaftCommand,
    RestoreSnapshot,
    SendMessage,
)
from winchspan.consensus.node_state import RaftRole
from winchspan.consensus.raft import Raft
from winchspan.consensus.reachability import LeaderStepDown
from winchspan.consensus.store import ConsensusStore
from winchspan.leases.commands import journal_owner_of, journal_role
from winchspan.leases.messages import (
    LeaseReleased,
    LeasesRenewed,
    LeaseSurrendered,
    ReleaseLease,
    RenewLeases,
)
from winchspan.leases.timing import LeaseTiming
from winchspan.net.connection_pool import HttpConnectionPool
from winchspan.runtime.timers import Timer
from winchspan.storage.journal import Journal

HEARTBEAT_INTERVAL_MS = 225.0  # between two lease renewal requests: four requests in the life of a lease
HEARTBEATS_PER_ANNOUNCEMENT = 8
STORE_RETRY_INTERVAL_MS = 50.0  # between two attempts to write the backlog of a full disk
SNAPSHOT_INTERVAL_ENTRIES = 200  # committed entries after the last snapshot that trigger the next one


@dataclass(frozen=True, slots=True)
class ConsensusOptions:
    """Options of consensus from the operator's file.

    Attributes:
        roles: names of the leased roles.
        secret: key that signs the frames between members; empty for unsigned frames.
        max_clock_drift: greatest permitted drift of a clock, as a fraction of time.
        zone: zone of this courier.
        region: region of this courier.
    """

    roles: tuple[str, ...]
    secret: bytes
    max_clock_drift: float = 0.01
    zone: str = ""
    region: str = ""


@dataclass(frozen=True, slots=True)
class ConsensusPorts:
    """Parts of the process that the service uses.

    Attributes:
        journal: this courier's journal, which records the epoch under which it was last owned.
        connections: HTTP connections to endpoints; a partially written call may have to be recalled.
        live_nodes: returns the incarnations of the live members by name, this process included.
        find_reached_by_others_only: probes members that are out of contact with this one, and returns those
            that only other members reach.
        abort: ends the process with a reason.
    """

    journal: Journal
    connections: HttpConnectionPool
    live_nodes: Callable[[], dict[str, int]]
    find_reached_by_others_only: Callable[[set[str]], list[str]]
    abort: Callable[[str], None]


def _create_raft(node: ClusterNode, store: ConsensusStore) -> Raft:
    """Return this member's state machine, suspended while the disk does not take the record of its start."""
    raft = Raft(store.member_id, store.state, node.seed ^ node.incarnation, node.now_ms())
    if store.has_backlog:
        raft.set_suspended(node.now_ms(), True)
    return raft


def _create_leases(
    node: ClusterNode, raft: Raft, clocks: ClockChecks, options: ConsensusOptions
) -> LeaseService:
    timing = LeaseTiming(max_clock_drift=options.max_clock_drift)
    return LeaseService(node, raft, clocks, options.roles, timing)


def _members_in_contact(raft: Raft, now: float, stores: Mapping[str, str], within_ms: float) -> set[str]:
    """Return the names of voting members that have answered this leader in the last `within_ms`."""
    return {name for name, store_id in stores.items() if raft.has_recent_contact(now, store_id, within_ms)}


class ConsensusService:
    """This courier's participation in consensus, and the leases that depend on it.

    Attributes:
        raft: state machine of consensus.
        bus: messages to and from the other members.
        announcements: exchange of the members' state.
        leases: leases on roles.
        poll_guard: callbacks that run after each poll of the event loop.
    """

    def __init__(
        self,
        node: ClusterNode,
        members: Mapping[str, Address],
        options: ConsensusOptions,
        ports: ConsensusPorts,
    ) -> None:
        """Open the store.

        Args:
            node: this process.
            members: addresses by name.
            options: options from the operator's file.
            ports: parts of the process that the service uses.

        Raises:
            ConsensusStoreError: if the store cannot be read.
            OSError: if the store cannot be opened.
        """
        self._node = node
        self._ports = ports
        self._store = ConsensusStore(
            node.state_directory, node.name, node.system.random_nonce(), node.system.disk
        )
        self.raft = _create_raft(node, self._store)
        self._bootstrap = ClusterBootstrap(self._store.member_id, members)
        self._clocks = ClockChecks(node.name, options.max_clock_drift)
        self.bus = MessageBus(node, members, options.secret, self)
        self.announcements = self._create_announcements(options)
        self.bus.subscribe(bytes, self._on_proposal)
        self.leases = _create_leases(node, self.raft, self._clocks, options)
        self.leases.connect(LeasePorts(self._send, self._propose, self._plan))
        self.leases.table.restore(self._store.state.snapshot.data)
        self.poll_guard = PollGuard(node.system, ports.connections)
        self._commit_callbacks: list[Callable[[], None]] = []
        self._is_closed = False
        self._heartbeat_count = 0
        self._step_down = LeaderStepDown()
        self._raft_timer = RaftTimer(node, self.raft, self._on_raft_timer)
        self._plan_timer: Timer | None = None  # runs `_plan` at the next expiry of a lease

    def _create_announcements(self, options: ConsensusOptions) -> NodeAnnouncements:
        local = LocalState(self._store, self._store.state, self.raft, self._bootstrap, self._clocks)
        location = Location(options.zone, options.region)
        announcements = NodeAnnouncements(self._node, local, self.bus, location, self._on_rolled_back)
        announcements.set_journal_epoch(self._ports.journal.work_epoch)
        return announcements

    def start(self) -> None:
        """Listen, connect to the other members and take part in consensus.

        Raises:
            OSError: if the address cannot be bound.
        """
        own = self.bus.members[self._node.name]
        self.bus.open(self._node.system.listen(own.host, own.port))
        logger.info("fleet: the member id of this data directory is {}", self._store.member_id)
        if self._store.has_backlog:
            self._node.timers.call_later(STORE_RETRY_INTERVAL_MS, self._retry_store)
        self._on_heartbeat()
        self._raft_timer.arm()

    def close(self) -> None:
        """Leave consensus, and close connections and files."""
        self._stop()
        self.poll_guard.close()
        self.bus.close()
        self._store.close()

    def crash(self) -> None:
        """Close the store's file as the system does when a process is killed."""
        self._stop()
        self._store.close()

    def _stop(self) -> None:
        self._is_closed = True
        self.bus.stop_receiving()
        self.announcements.stop()
        self._raft_timer.stop()

    # ---- interface to other services ---------------------------------------------------------------------
    @property
    def store_id(self) -> str:
        """Identity of this member's store."""
        return self._store.member_id

    @property
    def is_leading(self) -> bool:
        """Whether this courier is the consensus leader."""
        return self.leases.is_granting

    def live_nodes(self) -> dict[str, int]:
        """Return the incarnations of the live members by name, this process included."""
        return self._ports.live_nodes()

    def voting_members(self) -> set[str]:
        """Return the names of the voting members."""
        return {node_name(store_id) for store_id in self.raft.members}

    def on_committed(self, callback: Callable[[], None]) -> None:
        """Call back after each committed entry."""
        self._commit_callbacks.append(callback)

    def propose(self, data: bytes) -> None:
        """Propose an entry about a courier's journal through the leader; dropped while there is no leader."""
        if self.raft.leader == self._store.member_id:
            self._propose(data)
        elif self.raft.leader:
            self.bus.send(node_name(self.raft.leader), data)

    def schedule_plan(self) -> None:
        """Run the leader's planning of roles and voters in the next turn of the event loop."""
        if not self._is_closed:
            self._node.timers.call_later(0.0, self._plan)

    def set_roles(self, roles: tuple[str, ...]) -> None:
        """Change the leased roles."""
        self.leases.set_roles(roles)

    def set_members(self, members: Mapping[str, Address]) -> None:
        """Change the members of the cluster."""
        self.bus.members = members
        self._bootstrap.node_names = set(members)

    # ---- status ------------------------------------------------------------------------------------------
    def status(self) -> dict[str, Any]:
        """Return the state of consensus and of all leased roles."""
        return {
            "agreement": {
                "member": self._store.member_id,
                "role": self.raft.role.value,
                "leader": self.raft.leader,
                "term": self.raft.term,
                "committed": self.raft.commit_index,
                "voters": sorted(self.raft.members),
                "disk_behind": self._store.has_backlog,
                "clocks_off": self._clocks.drifts,
            },
            "duties": self.leases.status(),
        }

    def metrics(self) -> dict[str, int]:
        """Return gauges of consensus, and the epoch of each role in which this courier may act."""
        metrics = {
            "fleet.agreement.term": self.raft.term,
            "fleet.agreement.committed": self.raft.commit_index,
            "fleet.agreement.leads": int(self.raft.role is RaftRole.LEADER),
            "fleet.agreement.voters": len(self.raft.members),
            "fleet.agreement.behind": int(self._store.has_backlog),
            "fleet.clocks.off": len(self._clocks.drifts),
        }
        return metrics | self.leases.metrics()

    @property
    def dropped(self) -> Counter[str]:
        """Frames and connections that were dropped, by cause."""
        return self.bus.dropped

    # ---- messages ----------------------------------------------------------------------------------------
    def is_rolled_back(self, sender: str) -> bool:
        """Return whether a member's store is older than the progress that it reported before."""
        return self.announcements.is_rolled_back(sender)

    def receive(self, sender: str, source: str, message: ConsensusMessage | LeaseMessage) -> None:
        """Handle a message from a member's store."""
        match message:
            case RenewLeases() | LeasesRenewed() | ReleaseLease() | LeaseReleased() | LeaseSurrendered():
                self.leases.receive(sender, source, message)
            case _:
                self.announcements.record_promise(sender, source, message)
                self._execute(self.raft.handle_message(self._node.now_ms(), source, message))

    def _send(self, store_id: str, message: ConsensusMessage | LeaseMessage) -> None:
        if store_id == self._store.member_id:
            self.leases.receive_own(message)
        else:
            self.bus.send_to_store(store_id, message)

    def _on_proposal(self, sender: str, data: bytes) -> None:
        """Propose an entry that a member submits about its own journal, or one whose lease it holds."""
        owner = journal_owner_of(data)
        lease = self.leases.table.leases.get(journal_role(owner))
        is_entitled = owner == sender or (lease is not None and lease.holder == sender)
        if owner and is_entitled:
            self._propose(data)

    def _on_rolled_back(self, reason: str) -> None:
        """Abort the process, since its messages could contradict promises that its store has lost."""
        self._ports.abort(reason)
        self._stop()

    # ---- timers ------------------------------------------------------------------------------------------
    def _on_heartbeat(self) -> None:
        if self._is_closed:
            return
        self._node.timers.call_later(HEARTBEAT_INTERVAL_MS, self._on_heartbeat)
        self._heartbeat_count += 1
        if self._heartbeat_count % HEARTBEATS_PER_ANNOUNCEMENT == 0 and self._clocks.compare():
            # A leader that does not measure the drift itself would leave this member its roles.
            self.announcements.announce_to_all()
        if self._heartbeat_count % HEARTBEATS_PER_ANNOUNCEMENT == 1:
            self.announcements.announce_to_all()
        founders = self._bootstrap.members_to_bootstrap(is_log_empty(self.raft))
        if founders:
            logger.info("fleet: cluster bootstrap by {}", ", ".join(sorted(founders)))
            self._execute(self.raft.bootstrap(self._node.now_ms(), founders))
        self.leases.request_renewal()
        self._plan()

    def _on_raft_timer(self) -> None:
        self._execute(self.raft.tick(self._node.now_ms()))

    def _retry_store(self) -> None:
        if self._is_closed:
            return
        if self._store.flush_backlog():
            logger.info("fleet: the consensus store is writable again")
            self._execute(self.raft.set_suspended(self._node.now_ms(), False))
        else:
            self._node.timers.call_later(STORE_RETRY_INTERVAL_MS, self._retry_store)

    # ---- as the leader -----------------------------------------------------------------------------------
    def _propose(self, data: bytes) -> None:
        self._execute(self.raft.propose(self._node.now_ms(), data)[1])

    def _plan(self) -> None:
        """As the leader, update the voters to the live members, and assign each role to a live holder."""
        now = self._node.now_ms()
        if self._is_closed or not self.is_leading or not self.raft.has_confirmed_leadership(now):
            return
        live = self._ports.live_nodes()
        self._change_voters(now, live)
        stores = {node_name(store_id): store_id for store_id in self.raft.members}
        in_contact = _members_in_contact(self.raft, now, stores, self.leases.lease_ms)
        out_of_contact = stores.keys() & live.keys() - in_contact
        reason = self._step_down.decide(now, self._ports.find_reached_by_others_only(out_of_contact))
        if reason:
            self._execute(self.raft.step_down(now, reason))
            return
        eligible = {
            name: incarnation
            for name, incarnation in live.items()
            if name in in_contact and self._clocks.may_hold_leases(name)
        }
        self.leases.plan(now, eligible, stores)
        if self._plan_timer is not None:
            self._plan_timer.cancel()
        expiry_ms = self.leases.next_expiry_ms(now, eligible)
        if expiry_ms is not None and expiry_ms - now < HEARTBEAT_INTERVAL_MS:
            self._plan_timer = self._node.timers.call_later(expiry_ms - now, self._plan)

    def _change_voters(self, now: float, live: Mapping[str, int]) -> None:
        new_voters = self._bootstrap.next_membership_change(self.raft.members, live)
        if new_voters is None:
            return
        index, actions = self.raft.change_membership(now, new_voters)
        if index:
            logger.info("fleet: proposes as voters: {}", ", ".join(sorted(new_voters)))
        self._execute(actions)

    # ---- actions of the state machine --------------------------------------------------------------------
    def _execute(self, actions: list[RaftCommand]) -> None:
        """Execute actions in order; messages are sent only when all preceding state is on disk."""
        for action in actions:
            match action:
                case PersistState():
                    self._persist(action)
                case SendMessage(to, message):
                    if not self._store.has_backlog:
                        self._send(to, message)
                case CommitEntry():
                    self._commit(action)
                case RestoreSnapshot(snapshot):
                    self.leases.table.restore(snapshot.data)
                    self._notify_committed()
                case LeaderChanged(leader, term, reason):
                    self.leases.set_leading(is_leading=leader == self._store.member_id)
                    logger.info("fleet: {} leads in term {}: {}", leader or "nobody", term, reason)
        entry_count = self.raft.commit_index - self.raft.snapshot.index
        if entry_count > SNAPSHOT_INTERVAL_ENTRIES and not self._store.has_backlog:
            self._execute(self.raft.compact(self.raft.commit_index, self.leases.table.encode_snapshot()))
        self._raft_timer.arm()

    def _persist(self, state: PersistState) -> None:
        if self._store.persist(state) or self.raft.is_suspended:
            return
        logger.error("fleet: the consensus store cannot be written; sending nothing until it can")
        self._execute(self.raft.set_suspended(self._node.now_ms(), True))
        self._node.timers.call_later(STORE_RETRY_INTERVAL_MS, self._retry_store)

    def _commit(self, action: CommitEntry) -> None:
        role = self.leases.apply(action.entry)
        self._notify_committed()
        if role:
            self.leases.on_role_assigned(role)

    def _notify_committed(self) -> None:
        for callback in self._commit_callbacks:
            callback()
