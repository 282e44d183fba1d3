"""Log replication: the leader's progress per follower, and a follower's log (Ongaro 2014, 3.5 and 3.6)."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from winchspan.consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    EntryKind,
    InstallSnapshot,
    LogEntry,
    RestoreSnapshot,
)
from winchspan.consensus.node_state import NodeState, RaftRole

MAX_ENTRIES_PER_MESSAGE: Final = 64


@dataclass(slots=True)
class Progress:
    """A leader's view of a follower's log."""

    next_index: int
    match_index: int = 0
    last_acknowledged_send_ms: float = float("-inf")  # send time of the latest heartbeat with a reply, ms


class LeaderReplication:
    """The leader's side: sends entries and heartbeats, and commits entries that a majority has."""

    def __init__(self, shared_state: NodeState) -> None:
        """Create the leader's side of a node that does not lead yet."""
        self._shared_state = shared_state
        self._progress: dict[str, Progress] = {}
        self._heartbeat_round = 0
        self._round_sent_ms: dict[int, float] = {}  # send times by heartbeat round, ms
        self.next_heartbeat_ms = 0.0

    def start_term(self) -> None:
        """Reset the progress of followers at the start of a term as leader."""
        self._progress = {}
        self._round_sent_ms = {}

    def append_entry(
        self,
        now: float,
        kind: EntryKind,
        data: bytes = b"",
        members: frozenset[str] = frozenset(),
    ) -> int:
        """Append an entry to the leader's log and replicate it; return its index."""
        state = self._shared_state
        entry = LogEntry(state.log.last_position.log_index + 1, state.term, kind, data, members)
        state.persist(entries=(entry,))
        self.broadcast(now)
        self._advance_commit_index()
        return entry.index

    def broadcast(self, now: float) -> None:
        """Send each follower its missing entries, or a heartbeat if there are none."""
        state = self._shared_state
        self.next_heartbeat_ms = now + state.timing.heartbeat_ms
        self._heartbeat_round += 1
        self._round_sent_ms[self._heartbeat_round] = now
        self._forget_rounds_before(now - 2 * state.timing.election_timeout_ms)
        for node_id in state.other_members:
            if node_id not in self._progress:
                self._progress[node_id] = Progress(state.log.last_position.log_index + 1)
            self._send_entries(node_id, self._progress[node_id])

    def has_recent_quorum(self, now: float, within_ms: float) -> bool:
        """Return whether a majority has replied to heartbeats of the last `within_ms` (check-quorum, 6.2).

        The send time counts rather than the receive time: replies that were unread while this process was
        stalled are no evidence of present contact.
        """
        recent = {
            node_id
            for node_id, progress in self._progress.items()
            if progress.last_acknowledged_send_ms >= now - within_ms
        }
        return self._shared_state.has_quorum(recent | {self._shared_state.node_id})

    def has_recent_contact(self, now: float, node_id: str, within_ms: float) -> bool:
        """Return whether a follower has replied to a heartbeat sent within the last `within_ms`."""
        progress = self._progress.get(node_id)
        return progress is not None and progress.last_acknowledged_send_ms >= now - within_ms

    def handle_reply(self, source: str, reply: AppendEntriesReply) -> None:
        """Update a follower's progress from its reply, and send further entries if it lacks any."""
        state = self._shared_state
        progress = self._progress.get(source)
        if state.role is not RaftRole.LEADER or progress is None or reply.term != state.term:
            return
        sent_ms = self._round_sent_ms.get(reply.round, float("-inf"))
        progress.last_acknowledged_send_ms = max(progress.last_acknowledged_send_ms, sent_ms)
        if not reply.accepted:
            retry_index = min(progress.next_index - 1, reply.match + 1)
            progress.next_index = max(progress.match_index + 1, retry_index, 1)
            self._send_entries(source, progress)
            return
        if reply.match > progress.match_index:
            progress.match_index = reply.match
            progress.next_index = max(progress.next_index, reply.match + 1)
            self._advance_commit_index()
        has_more = progress.next_index <= state.log.last_position.log_index
        if has_more and reply.match == progress.match_index:
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            self._send_entries(source, progress)

    def _forget_rounds_before(self, oldest: float) -> None:
        for round_number in [number for number, sent_ms in self._round_sent_ms.items() if sent_ms < oldest]:
            del self._round_sent_ms[round_number]

    def _send_entries(self, node_id: str, progress: Progress) -> None:
        state = self._shared_state
        prev_index = progress.next_index - 1
        prev_term = state.log.term_at(prev_index)
        if prev_term is None:  # the snapshot has replaced the entries that the follower needs (5)
            state.send(node_id, InstallSnapshot(state.term, state.log.snapshot, self._heartbeat_round))
            return
        entries = state.log.entries_from(progress.next_index, MAX_ENTRIES_PER_MESSAGE)
        message = AppendEntries(
            state.term, prev_index, prev_term, entries, state.log.commit_index, self._heartbeat_round
        )
        state.send(node_id, message)

    def _advance_commit_index(self) -> None:
        """Commit up to the last entry of the current term that a majority has (3.6.2)."""
        state = self._shared_state
        for index in range(state.log.last_position.log_index, state.log.commit_index, -1):
            if state.log.term_at(index) != state.term:
                return
            holders = {
                node_id for node_id, progress in self._progress.items() if progress.match_index >= index
            }
            if state.has_quorum(holders | {state.node_id}):
                state.commit_up_to(index)
                self.next_heartbeat_ms = float("-inf")  # send the commit index to followers at once
                self._step_down_if_removed()
                return

    def _step_down_if_removed(self) -> None:
        """Stop leading once the removal of this node is committed (4.2.2)."""
        state = self._shared_state
        if state.node_id not in state.log.members:
            state.role = RaftRole.FOLLOWER
            state.set_leader("", "removed from the cluster")


class FollowerReplication:
    """The follower's side: appends entries and installs snapshots of the leader."""

    def __init__(self, shared_state: NodeState) -> None:
        """Create the follower's side of a node."""
        self._shared_state = shared_state

    def handle_append_entries(self, source: str, message: AppendEntries) -> None:
        """Append entries, or reply with the index up to which the logs may agree (3.5)."""
        state = self._shared_state
        snapshot_index = state.log.snapshot.index
        match_index = message.prev_index + len(message.entries)
        if message.prev_index < snapshot_index:  # entries up to the snapshot are already committed
            if match_index < snapshot_index:
                state.send(source, AppendEntriesReply(state.term, True, snapshot_index, message.round))
                return
            received = tuple(entry for entry in message.entries if entry.index > snapshot_index)
        elif state.log.term_at(message.prev_index) != message.prev_term:
            hint = state.log.conflict_hint(message.prev_index, message.prev_term)
            state.send(source, AppendEntriesReply(state.term, False, hint, message.round))
            return
        else:
            received = message.entries
        self._append_missing(received)
        state.commit_up_to(min(message.commit, match_index))
        state.send(source, AppendEntriesReply(state.term, True, match_index, message.round))

    def handle_install_snapshot(self, source: str, message: InstallSnapshot) -> None:
        """Replace the committed state with the leader's snapshot, if the snapshot is ahead of it (5)."""
        state = self._shared_state
        snapshot = message.snapshot
        if snapshot.index > state.log.commit_index:
            has_last_entry = state.log.install(snapshot)
            truncate_from = 0 if has_last_entry else snapshot.index + 1
            state.persist(truncate_from, snapshot=snapshot)
            state.emit(RestoreSnapshot(snapshot))
        match_index = max(snapshot.index, state.log.commit_index)
        state.send(source, AppendEntriesReply(state.term, True, match_index, message.round))

    def _append_missing(self, entries: tuple[LogEntry, ...]) -> None:
        """Append missing entries, and truncate the log before the first conflicting entry."""
        state = self._shared_state
        missing = tuple(entry for entry in entries if state.log.term_at(entry.index) != entry.term)
        if not missing:
            return
        assert missing[0].index > state.log.commit_index, "committed entries are never truncated"
        state.persist(missing[0].index, missing)
