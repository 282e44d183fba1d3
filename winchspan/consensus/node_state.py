"""State shared by election and replication of one Raft node, and the commands that they emit."""

from __future__ import annotations

from enum import Enum

from winchspan.consensus.log import RaftLog
from winchspan.consensus.messages import (
    CommitEntry,
    LeaderChanged,
    LogEntry,
    Message,
    PersistentState,
    PersistState,
    RaftCommand,
    SendMessage,
    Snapshot,
)
from winchspan.consensus.timing import RaftTiming


class RaftRole(Enum):
    """The role of a node in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class NodeState:
    """Term, vote, role and log of one node, and the ordered list of commands for the caller."""

    def __init__(self, node_id: str, persistent_state: PersistentState, timing: RaftTiming) -> None:
        """Restore the state.

        Args:
            node_id: `name#incarnation` of this node.
            persistent_state: state restored from the store.
            timing: timeouts of the cluster.
        """
        self.node_id = node_id
        self.timing = timing
        self.term = persistent_state.term
        self.voted_for = persistent_state.voted_for
        self.log = RaftLog(persistent_state.snapshot, persistent_state.entries)
        self.role = RaftRole.FOLLOWER
        self.leader = ""
        self.is_suspended = False
        self._commands: list[RaftCommand] = []

    @property
    def other_members(self) -> list[str]:
        """The voting members except this node, sorted."""
        return sorted(self.log.members - {self.node_id})

    def has_quorum(self, node_ids: set[str]) -> bool:
        """Return whether the given nodes include a majority of the voting members."""
        members = self.log.members
        return 2 * len(node_ids & members) > len(members)

    def set_leader(self, leader: str, reason: str) -> None:
        """Set the leader, empty if unknown, and emit `LeaderChanged` if it differs."""
        if leader != self.leader:
            self.leader = leader
            self.emit(LeaderChanged(leader, self.term, reason))

    def commit_up_to(self, index: int) -> None:
        """Commit the entries up to an index or to the end of the log, whichever comes first."""
        last_index = min(index, self.log.last_position.log_index)
        for next_index in range(self.log.commit_index + 1, last_index + 1):
            entry = self.log.entry_at(next_index)
            assert entry is not None
            self.log.commit_index = next_index
            self.emit(CommitEntry(entry))

    def persist(
        self,
        truncate_from: int = 0,
        entries: tuple[LogEntry, ...] = (),
        snapshot: Snapshot | None = None,
    ) -> None:
        """Change the log, and emit a command that writes the change, the term and the vote to disk.

        Args:
            truncate_from: first index to remove; 0 removes no entry.
            entries: entries to append.
            snapshot: snapshot to write, which the log already contains.
        """
        if truncate_from:
            self.log.truncate_from(truncate_from)
        self.log.append(entries)
        self.emit(PersistState(self.term, self.voted_for, truncate_from, entries, snapshot))

    def send(self, target: str, message: Message) -> None:
        """Emit a command that sends a message to another node."""
        self.emit(SendMessage(target, message))

    def emit(self, command: RaftCommand) -> None:
        """Append a command for the caller."""
        self._commands.append(command)

    def take_commands(self) -> list[RaftCommand]:
        """Return the commands emitted since the last call, in order, without messages while suspended."""
        commands = self._commands
        self._commands = []
        return [
            command for command in commands if not (self.is_suspended and isinstance(command, SendMessage))
        ]
