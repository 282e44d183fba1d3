"""Detection of a data directory that was restored from a backup.

Such a directory lacks votes and entries that other nodes rely on. The state that a process loads from its
directory at its start must cover everything that earlier processes of the directory have sent to other nodes:
the number of process starts, their terms, the commit index (committed entries are never reverted: Ongaro
2014, 3.6.3), and per term the vote and the acknowledged entries. The other nodes record these values from
announcements and from consensus messages, and send them back to the node.

The present state of the directory is no evidence, because a leader may already have sent the lost entries
again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from winchspan.consensus.log import RaftLog
from winchspan.consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
    Message,
    PersistentState,
    RequestVote,
    RequestVoteReply,
)


@dataclass(frozen=True, slots=True)
class StoreProgress:
    """A node's report about its data directory.

    The field names are the keys of the encoded message.
    """

    start: int  # number of processes that have started with the directory, including this one
    life: int  # nonce of this process
    term: int  # Raft term
    commit: int  # commit index
    last: int  # index of the last log entry

    def describe_rollback(self, known: StoreProgress) -> str:
        """Describe the state that this directory has lost since an earlier report; empty if none."""
        if not self.start:
            return ""  # an earlier software version, which sends no report
        is_other_process = self.start == known.start and self.life != known.life
        if self.start < known.start or is_other_process:
            return f"start {self.start} of {known.start}"
        return _describe_missing(self.term, self.last, known)


@dataclass(frozen=True, slots=True)
class LoadedState:
    """The state that a process has loaded from its data directory at its start.

    The field names are the keys of the encoded message.
    """

    term: int
    vote: str  # candidate that got this node's vote in the term; empty if there is none
    last: int  # index of the last log entry

    @classmethod
    def of(cls, state: PersistentState) -> LoadedState:
        """Return the summary of a persistent state."""
        last = RaftLog(state.snapshot, state.entries).last_position
        return cls(state.term, state.voted_for, last.log_index)

    def describe_rollback(self, known: StoreProgress, promise: Promise) -> str:
        """Describe the missing state that earlier processes have sent to other nodes; empty if none."""
        missing = _describe_missing(self.term, self.last, known)
        if missing or self.term > promise.term:
            return missing
        if self.term < promise.term:
            return f"term {self.term} of {promise.term}"
        if promise.vote and self.vote != promise.vote:
            return f"vote for {promise.vote} in term {promise.term}"
        if self.last < promise.index:
            return f"entry {self.last} of {promise.index}"
        return ""


@dataclass(frozen=True, slots=True)
class Promise:
    """The vote and the log entries to which a node has committed itself in a term by its messages.

    The field names are the keys of the encoded message.
    """

    term: int = 0
    vote: str = ""  # candidate that got the node's vote; empty if unknown
    index: int = 0  # index of the last entry that the node has acknowledged or sent; 0 if unknown
    entry_term: int = 0  # term of that entry; 0 if unknown

    def merged(self, other: Promise) -> Promise:
        """Return the union of two promises; within a term, acknowledged entries stay (Ongaro 2014, 3.5)."""
        if other.term != self.term:
            return max(self, other, key=lambda promise: promise.term)
        further = max(self, other, key=lambda promise: promise.index)
        return Promise(self.term, other.vote or self.vote, further.index, further.entry_term)

    def is_satisfied_by(self, state: PersistentState) -> bool:
        """Return whether a persistent state contains the promised entry; True if its term is unknown."""
        if state.term != self.term or not self.entry_term or self.index <= state.snapshot.index:
            return True
        return RaftLog(state.snapshot, state.entries).term_at(self.index) == self.entry_term


def promise_of_message(
    message: Message, source: str, receiver: str, leader_term_at: Callable[[int], int | None] | None
) -> Promise | None:
    """Return the promise that a node makes by a consensus message; None if it makes none.

    Args:
        message: consensus message.
        source: sender of the message, `name#incarnation`.
        receiver: receiver of the message, `name#incarnation`.
        leader_term_at: returns the term of an entry of the receiver's log. Given only if the receiver leads
            in the message's term, because only then the sender has acknowledged entries of this log; else
            None.
    """
    match message:
        case RequestVote() | RequestVoteReply() if message.pre:
            return None
        case RequestVote():
            return Promise(message.term, vote=source)
        case RequestVoteReply():
            return Promise(message.term, vote=receiver if message.granted else "")
        case AppendEntries(term, prev_index, prev_term, entries):
            entry_term = entries[-1].term if entries else prev_term
            return Promise(term, index=prev_index + len(entries), entry_term=entry_term)
        case InstallSnapshot(term, snapshot):
            return Promise(term, index=snapshot.index, entry_term=snapshot.term)
        case AppendEntriesReply() if message.accepted and leader_term_at is not None:
            return Promise(message.term, index=message.match, entry_term=leader_term_at(message.match) or 0)
    return Promise(message.term)


class RollbackDetector:
    """Reports and promises of other nodes, by node name."""

    def __init__(self) -> None:
        self._known: dict[str, tuple[str, StoreProgress]] = {}  # by name: member ID, highest progress
        self._promises: dict[str, tuple[str, Promise]] = {}  # by name: member ID, merged promise
        self._rolled_back: set[str] = set()  # names of nodes

    def record_progress(
        self, name: str, member: str, progress: StoreProgress, loaded: LoadedState | None = None
    ) -> str:
        """Compare a node's report with its earlier reports, and record it unless it is a rollback.

        Args:
            name: name of the node.
            member: member ID of its data directory, `name#incarnation`.
            progress: reported progress.
            loaded: reported state that the process loaded at its start; None if it is not reported.

        Returns:
            A description of the missing state; empty if none is missing.
        """
        known_member, known = self._known.get(name, ("", None))
        if known is None or known_member != member:
            self._rolled_back.discard(name)
            self._known[name] = member, progress
            return ""
        rollback = progress.describe_rollback(known)
        if not rollback and loaded is not None and progress.life != known.life:
            rollback = loaded.describe_rollback(known, self.known_promise(name, member))
        if rollback:
            self._rolled_back.add(name)
            return rollback
        self._rolled_back.discard(name)
        commit = max(progress.commit, known.commit)
        last = max(progress.last, commit)
        self._known[name] = member, StoreProgress(progress.start, progress.life, progress.term, commit, last)
        return ""

    def record_promise(self, name: str, member: str, promise: Promise) -> None:
        """Record a promise that a node has made by a consensus message."""
        self._promises[name] = member, self.known_promise(name, member).merged(promise)

    def is_rolled_back(self, name: str) -> bool:
        """Return whether a node's latest report showed an older state of its directory."""
        return name in self._rolled_back

    def known_progress(self, name: str) -> tuple[str, StoreProgress] | None:
        """Return a node's member ID and its highest progress, to send back to the node."""
        return self._known.get(name)

    def known_promise(self, name: str, member: str) -> Promise:
        """Return the merged promise of a member, to send back to the member."""
        known_member, promise = self._promises.get(name, ("", Promise()))
        return promise if known_member == member else Promise()


def _describe_missing(term: int, last: int, known: StoreProgress) -> str:
    """Describe the reported state that a directory with a given term and last entry lacks."""
    if term < known.term:
        return f"term {term} of {known.term}"
    if last < known.commit:
        return f"entry {last} of {known.commit}"
    return ""
