"""Raft consensus as a sans-I/O state machine: takes messages and clock readings, returns ordered commands.

Implements Ongaro's dissertation (2014): elections (3.4) with pre-votes (9.6) and leader stickiness (4.2.3),
log replication (3.5), the restriction on commitment (3.6.2), check-quorum (6.2), membership changes of one
node at a time (4.1) and snapshots (5). The caller executes the commands in order: a `PersistState` must be on
disk before any later `SendMessage` is executed. While the disk accepts no writes, the node is suspended and
sends nothing.

A node is identified by its name and the incarnation of its data directory (`name#incarnation`). A node that
has lost its data directory restarts under another ID, which has no vote until the cluster admits it.
"""

from __future__ import annotations

from typing import Final

from winchspan.consensus.election import Election
from winchspan.consensus.log import LogPosition, RaftLog
from winchspan.consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    EntryKind,
    InstallSnapshot,
    LogEntry,
    Message,
    PersistentState,
    RaftCommand,
    RequestVote,
    RequestVoteReply,
    Snapshot,
)
from winchspan.consensus.node_state import NodeState, RaftRole
from winchspan.consensus.replication import FollowerReplication, LeaderReplication
from winchspan.consensus.timing import RaftTiming

MAX_UNCOMMITTED_ENTRIES: Final = 256  # the leader rejects proposals beyond this number
LATE_TICK_FACTOR: Final = 0.5  # lateness of a tick, in heartbeats, beyond which the process was stalled


class Raft:
    """One node of a Raft cluster."""

    def __init__(
        self,
        node_id: str,
        persistent_state: PersistentState,
        seed: int,
        now: float,
        timing: RaftTiming | None = None,
    ) -> None:
        """Start a node from the persisted state of its previous process.

        Args:
            node_id: ID of this node, `name#incarnation`.
            persistent_state: state restored from the store; empty for a node that has never been a member.
            seed: seed of the random election timeouts.
            now: clock reading, ms.
            timing: timeouts of the cluster.
        """
        self.state = NodeState(node_id, persistent_state, timing or RaftTiming())
        self.election = Election(self.state, seed, now)
        self._leader_replication = LeaderReplication(self.state)
        self._follower_replication = FollowerReplication(self.state)

    # ---- state -------------------------------------------------------------------------------------------
    @property
    def node_id(self) -> str:
        """ID of this node, `name#incarnation`."""
        return self.state.node_id

    @property
    def term(self) -> int:
        """The current term."""
        return self.state.term

    @property
    def role(self) -> RaftRole:
        """The role of this node in the current term."""
        return self.state.role

    @property
    def leader(self) -> str:
        """The leader of the current term; empty if unknown."""
        return self.state.leader

    @property
    def log(self) -> RaftLog:
        """The replicated log, including its snapshot."""
        return self.state.log

    @property
    def snapshot(self) -> Snapshot:
        """The latest snapshot."""
        return self.state.log.snapshot

    @property
    def commit_index(self) -> int:
        """Index of the last committed entry."""
        return self.state.log.commit_index

    @property
    def last_position(self) -> LogPosition:
        """Index and term of the last entry."""
        return self.state.log.last_position

    @property
    def members(self) -> frozenset[str]:
        """The voting members, by the latest membership entry, committed or not (4.1)."""
        return self.state.log.members

    @property
    def is_suspended(self) -> bool:
        """Whether the node sends nothing because its disk accepts no writes."""
        return self.state.is_suspended

    @property
    def tick_due_ms(self) -> float:
        """Clock reading at which `tick` is due, ms."""
        if self.role is RaftRole.LEADER:
            return min(self._leader_replication.next_heartbeat_ms, self.election.deadline_ms)
        return self.election.deadline_ms

    def has_confirmed_leadership(self, now: float) -> bool:
        """Return whether no other node can have been elected, and this node has all committed entries.

        This is stricter than check-quorum: only replies to heartbeats sent within
        `RaftTiming.confirmation_window_ms` count. The shorter window leaves more time between the end of a
        lease renewed under this check and the election of another leader (winchspan/leases/manager.py).
        """
        return (
            self.role is RaftRole.LEADER
            and not self.is_suspended
            and self._leader_replication.has_recent_quorum(now, self.state.timing.confirmation_window_ms)
            and self._has_committed_in_term()
        )

    def has_recent_contact(self, now: float, node_id: str, within_ms: float) -> bool:
        """Return whether a node has replied to a heartbeat that this leader sent in the last `within_ms`."""
        if node_id == self.node_id:
            return True
        is_leader = self.role is RaftRole.LEADER
        return is_leader and self._leader_replication.has_recent_contact(now, node_id, within_ms)

    # ---- inputs ------------------------------------------------------------------------------------------
    def tick(self, now: float) -> list[RaftCommand]:
        """Process due timeouts: heartbeats and check-quorum as leader, an election timeout otherwise."""
        if self.role is RaftRole.LEADER:
            self._tick_leader(now)
        else:
            self._tick_follower(now)
        return self.state.take_commands()

    def handle_message(self, now: float, source: str, message: Message) -> list[RaftCommand]:
        """Process a message from another node."""
        if isinstance(message, RequestVote):
            self.election.handle_request_vote(now, source, message)
            return self.state.take_commands()
        is_granted_pre_vote = isinstance(message, RequestVoteReply) and message.pre and message.granted
        if message.term > self.term and not is_granted_pre_vote:
            self.election.become_follower(now, message.term, "a later term was observed")
        match message:
            case RequestVoteReply():
                if self.election.handle_vote_reply(now, source, message):
                    self._become_leader(now)
            case AppendEntries() | InstallSnapshot() if message.term < self.term:
                self.state.send(source, AppendEntriesReply(self.term, False, 0, message.round))
            case AppendEntries():
                self.election.observe_leader(now, source)
                self._follower_replication.handle_append_entries(source, message)
            case InstallSnapshot():
                self.election.observe_leader(now, source)
                self._follower_replication.handle_install_snapshot(source, message)
            case AppendEntriesReply():
                self._leader_replication.handle_reply(source, message)
        return self.state.take_commands()

    def propose(self, now: float, data: bytes) -> tuple[int, list[RaftCommand]]:
        """Propose a command for replication.

        Returns:
            The index of the command's log entry, and the commands to execute. The index is 0 if the proposal
            is rejected: this node does not lead or is suspended, or too many entries are uncommitted. Another
                entry
            may be committed at the index if the leader changes.
        """
        is_full = self.log.uncommitted_count >= MAX_UNCOMMITTED_ENTRIES
        if self.role is not RaftRole.LEADER or is_full or self.is_suspended:
            return 0, []
        index = self._leader_replication.append_entry(now, EntryKind.COMMAND, data)
        return index, self.state.take_commands()

    def change_membership(self, now: float, members: frozenset[str]) -> tuple[int, list[RaftCommand]]:
        """Propose to add or remove one voting member (4.1).

        The change is rejected until this leader has committed an entry of its own term, and while another
        change is pending (Ongaro's correction of 2015 to 4.1).

        Returns:
            The index of the log entry, 0 if rejected, and the commands to execute.
        """
        is_single_change = len(members ^ self.members) == 1 and bool(members)
        if (
            self.role is not RaftRole.LEADER
            or not is_single_change
            or self.log.has_pending_membership_change
            or self.is_suspended
            or not self._has_committed_in_term()
        ):
            return 0, []
        index = self._leader_replication.append_entry(now, EntryKind.MEMBERS, members=members)
        return index, self.state.take_commands()

    def bootstrap(self, now: float, members: frozenset[str]) -> list[RaftCommand]:
        """Create a cluster; the caller ensures that no member has ever been in a cluster."""
        assert not self.log.entries
        assert not self.snapshot.index
        assert self.term == 0
        self.state.term = 1
        self.state.persist(entries=(LogEntry(1, 1, EntryKind.MEMBERS, b"", members),))
        return self.state.take_commands()

    def compact(self, index: int, data: bytes) -> list[RaftCommand]:
        """Replace the entries up to a committed index with a snapshot of the given state (5)."""
        if not self.snapshot.index < index <= self.commit_index:
            return []
        snapshot = self.log.compact(index, data)
        self.state.persist(snapshot=snapshot)
        return self.state.take_commands()

    def step_down(self, now: float, reason: str) -> list[RaftCommand]:
        """Stop leading, and let the other members elect a leader first."""
        if self.role is RaftRole.LEADER:
            self.election.step_down(now, reason)
        return self.state.take_commands()

    def set_suspended(self, now: float, suspended: bool) -> list[RaftCommand]:
        """Suspend the node while its disk accepts no writes, or resume it; a suspended node does not lead."""
        self.state.is_suspended = suspended
        if suspended and self.role is not RaftRole.FOLLOWER:
            self.election.become_follower(now, self.term, "disk accepts no writes")
        return self.state.take_commands()

    # ---- transitions -------------------------------------------------------------------------------------
    def _tick_leader(self, now: float) -> None:
        timing = self.state.timing
        if self.election.deadline_ms <= now:
            if not self._leader_replication.has_recent_quorum(now, timing.quorum_timeout_ms):  # 6.2
                self.election.step_down_without_quorum(now)
                return
            self.election.deadline_ms = now + timing.heartbeat_ms
        if self._leader_replication.next_heartbeat_ms <= now:
            self._leader_replication.broadcast(now)

    def _tick_follower(self, now: float) -> None:
        heartbeat_ms = self.state.timing.heartbeat_ms
        if now - self.tick_due_ms > LATE_TICK_FACTOR * heartbeat_ms:
            # The process was stalled, and a message of the leader may be unread: wait for another heartbeat.
            # A stalled leader gets no such delay, see LeaderReplication.has_recent_quorum.
            self.election.deadline_ms = max(self.election.deadline_ms, now + heartbeat_ms)
        if self.election.deadline_ms <= now and self.election.campaign(now, pre_vote=True):
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        state = self.state
        state.role = RaftRole.LEADER
        state.set_leader(
            state.node_id, f"{self.election.vote_count} of {len(state.log.members)} voted for it"
        )
        self._leader_replication.start_term()
        self.election.deadline_ms = now + state.timing.quorum_timeout_ms
        self._leader_replication.append_entry(now, EntryKind.NO_OP)  # commits earlier terms' entries (6.4)

    def _has_committed_in_term(self) -> bool:
        return self.log.term_at(self.commit_index) == self.term
