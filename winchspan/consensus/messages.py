"""Messages, persistent state and commands of Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014).

The field names of log entries, snapshots and messages are the keys of the encoded frames between nodes.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class EntryKind(IntEnum):
    """The kind of a log entry."""

    NO_OP = 0  # first entry of a new leader, which commits the entries of earlier terms (6.4)
    COMMAND = 1
    MEMBERS = 2  # voting members from this index on, whether the entry is committed or not (4.1)


@dataclass(frozen=True, slots=True)
class LogEntry:
    """An entry of the replicated log; the first entry has index 1."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""
    members: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after all entries up to and including an index."""

    index: int = 0
    term: int = 0
    members: frozenset[str] = frozenset()
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class RequestVote:
    """A candidate's request for a vote (3.4), or for a pre-vote if `pre` is set (9.6)."""

    term: int
    last_index: int
    last_term: int
    pre: bool


@dataclass(frozen=True, slots=True)
class RequestVoteReply:
    """The reply to a vote request; a granted pre-vote carries the requested term."""

    term: int
    granted: bool
    pre: bool


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """Log entries of a leader that follow the entry at `prev_index`; a heartbeat if there are none."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit: int  # the leader's commit index
    round: int  # number of the heartbeat round; a reply repeats it, which proves recent contact


@dataclass(frozen=True, slots=True)
class AppendEntriesReply:
    """The reply to `AppendEntries` or `InstallSnapshot`.

    `match` is the index up to which the logs agree or, if rejected, the index at which the leader may retry.
    """

    term: int
    accepted: bool
    match: int
    round: int


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """A snapshot for a follower that needs entries that the leader has compacted (5)."""

    term: int
    snapshot: Snapshot
    round: int


Message = RequestVote | RequestVoteReply | AppendEntries | AppendEntriesReply | InstallSnapshot


@dataclass(frozen=True, slots=True)
class PersistentState:
    """The persistent state of a node: term, vote, log, and the snapshot that precedes the log."""

    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot = Snapshot()
    entries: tuple[LogEntry, ...] = ()


# ---- commands, to be executed in order -------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class PersistState:
    """Write to disk before any later `SendMessage` is executed."""

    term: int
    voted_for: str
    truncate_from: int = 0  # first index to remove; 0 removes no entry
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to another node."""

    target: str
    message: Message


@dataclass(frozen=True, slots=True)
class CommitEntry:
    """Apply a committed entry; all nodes have the same entry at its index."""

    entry: LogEntry


@dataclass(frozen=True, slots=True)
class RestoreSnapshot:
    """Replace the applied state with a snapshot."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class LeaderChanged:
    """The leader of a term has changed; `leader` is empty if it is unknown."""

    leader: str
    term: int
    reason: str


RaftCommand = PersistState | SendMessage | CommitEntry | RestoreSnapshot | LeaderChanged
