"""The replicated log of one node and the snapshot of its first entries (Ongaro 2014, 3.5 and 5)."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from winchspan.consensus.messages import EntryKind, LogEntry, Snapshot


class LogPosition(NamedTuple):
    """The index and the term of a log entry."""

    log_index: int
    term: int


class RaftLog:
    """The log entries after a snapshot, in memory, and the commit index."""

    def __init__(self, snapshot: Snapshot, entries: Iterable[LogEntry]) -> None:
        """Restore the log.

        Args:
            snapshot: the latest snapshot; empty if there is none.
            entries: all entries after the snapshot, in order.
        """
        self.snapshot = snapshot
        self.entries: list[LogEntry] = list(entries)
        self.commit_index = snapshot.index

    @property
    def last_position(self) -> LogPosition:
        """Position of the last entry, or of the snapshot if no entry follows it."""
        if self.entries:
            last_entry = self.entries[-1]
            return LogPosition(last_entry.index, last_entry.term)
        return LogPosition(self.snapshot.index, self.snapshot.term)

    @property
    def members(self) -> frozenset[str]:
        """The voting members by the latest membership entry, committed or not (4.1)."""
        return self.members_at(self.last_position.log_index)

    @property
    def has_pending_membership_change(self) -> bool:
        """Whether a membership entry is not committed yet."""
        return any(
            entry.kind is EntryKind.MEMBERS and entry.index > self.commit_index for entry in self.entries
        )

    @property
    def uncommitted_count(self) -> int:
        """Number of entries that are not committed yet."""
        return self.last_position.log_index - self.commit_index

    def members_at(self, index: int) -> frozenset[str]:
        """Return the voting members by the latest membership entry up to and including an index."""
        for entry in reversed(self.entries):
            if entry.kind is EntryKind.MEMBERS and entry.index <= index:
                return entry.members
        return self.snapshot.members

    def entry_at(self, index: int) -> LogEntry | None:
        """Return the entry at an index; None if it is after the end of the log or in the snapshot."""
        offset = index - self.snapshot.index - 1
        return self.entries[offset] if 0 <= offset < len(self.entries) else None

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry or of the snapshot's last entry; None if the log does not have it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        entry = self.entry_at(index)
        return entry.term if entry is not None else None

    def entries_from(self, index: int, limit: int) -> tuple[LogEntry, ...]:
        """Return at most `limit` entries, starting at an index."""
        offset = index - self.snapshot.index - 1
        return tuple(self.entries[offset : offset + limit])

    def truncate_from(self, index: int) -> None:
        """Remove the entry at an index and all later entries."""
        self.entries = [entry for entry in self.entries if entry.index < index]

    def append(self, entries: Iterable[LogEntry]) -> None:
        """Append entries, which must directly follow the last entry."""
        self.entries.extend(entries)

    def conflict_hint(self, prev_index: int, prev_term: int) -> int:
        """Return the index at which a leader may retry, skipping terms that cannot match (3.5)."""
        hint = min(prev_index - 1, self.last_position.log_index)
        while hint > self.snapshot.index and (self.term_at(hint) or 0) > prev_term:
            hint -= 1
        return hint

    def compact(self, index: int, data: bytes) -> Snapshot:
        """Replace the entries up to and including a committed index with a snapshot of the given state."""
        snapshot = Snapshot(index, self.term_at(index) or 0, self.members_at(index), data)
        self.entries = [entry for entry in self.entries if entry.index > index]
        self.snapshot = snapshot
        return snapshot

    def install(self, snapshot: Snapshot) -> bool:
        """Install a leader's snapshot, which must be ahead of the commit index.

        Returns:
            Whether the log contains the snapshot's last entry, so that the entries after it were retained.
        """
        has_last_entry = self.term_at(snapshot.index) == snapshot.term
        if has_last_entry:
            self.entries = [entry for entry in self.entries if entry.index > snapshot.index]
        else:
            self.entries = []
        self.snapshot = snapshot
        self.commit_index = snapshot.index
        return has_last_entry
