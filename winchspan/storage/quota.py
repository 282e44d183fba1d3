"""The size limit of a journal's directory, and when it requires compaction.

Both files exist during a compaction, so that the limit applies to their total size.
"""

from __future__ import annotations

from typing import Final

_USABLE_SHARE: Final = 0.95  # share of the limit; files occupy whole blocks of 512 bytes
_ACCEPT_SHARE: Final = 0.80  # share for accepting messages; the rest is for their attempts and completions
_TAKEOVER_SHARE: Final = 0.88  # the same with messages that were taken over
TAKEOVER_RESERVE_SHARE: Final = (
    0.28  # share that new messages leave in a replica for those of another courier
)
_MIN_GARBAGE_BYTES: Final = 64 * 1024  # less garbage does not cause a compaction


class StorageQuota:
    """Limit of the total size of a journal's two files.

    Attributes:
        limit_bytes: the limit.
        usable_bytes: upper bound on the total size of the files, a margin below the limit.
    """

    def __init__(self, limit_bytes: int, reserved_share: float = 0.0) -> None:
        """Create a quota.

        Args:
            limit_bytes: the limit.
            reserved_share: share of the limit that new messages leave for a takeover.
        """
        self.limit_bytes = limit_bytes
        self.usable_bytes = limit_bytes * _USABLE_SHARE
        self._acceptable_bytes = limit_bytes * (_ACCEPT_SHARE - reserved_share)
        self._takeover_bytes = limit_bytes * _TAKEOVER_SHARE

    def accepts_message(self, live_bytes: int, record_bytes: int) -> bool:
        """Return whether there is capacity for another message beside the open ones.

        Its record counts twice: appended to the current file, and again in a compacted file.

        Args:
            live_bytes: size of a compacted file, with all that the open messages' records may still grow by.
            record_bytes: size of the message's record, with its own growth.
        """
        return 2 * live_bytes + 2 * record_bytes <= self._acceptable_bytes

    def taken_over_capacity_bytes(self, live_bytes: int) -> float:
        """Return the capacity for messages that are taken over, beside the open ones; may be negative."""
        return self._takeover_bytes / 2 - live_bytes

    def needs_compaction(self, file_bytes: int, live_bytes: int, record_bytes: int) -> bool:
        """Return whether a file must be compacted before a record is appended."""
        prevents_later_compaction = file_bytes + live_bytes + 2 * record_bytes > self.usable_bytes
        return prevents_later_compaction or file_bytes > 2 * live_bytes + _MIN_GARBAGE_BYTES
