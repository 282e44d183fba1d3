"""The size limit of a journal's directory, and when it requires compaction.

Both files exist during a compaction, so that the limit applies to their total size.
"""

from __future__ import annotations

from typing import Final

_USABLE_SHARE: Final = 0.95  # share of the limit; files occupy whole blocks of 512 bytes
_ACCEPT_SHARE: Final = 0.80  # share for accepting messages; the rest is for their attempts and completions
_ACCEPT_COMPLETED_SHARE: Final = 0.88  # share for messages of which only the notification is outstanding
_MIN_GARBAGE_BYTES: Final = 64 * 1024  # less garbage does not cause a compaction


class StorageQuota:
    """Limit of the total size of a journal's two files.

    Attributes:
        limit_bytes: the limit.
        usable_bytes: upper bound on the total size of the files, a margin below the limit.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.usable_bytes = limit_bytes * _USABLE_SHARE
        self._acceptable_bytes = limit_bytes * _ACCEPT_SHARE
        self._acceptable_completed_bytes = limit_bytes * _ACCEPT_COMPLETED_SHARE

    def accepts_message(self, live_bytes: int, record_bytes: int) -> bool:
        """Return whether there is capacity for another message beside the open ones.

        Its record counts twice: appended to the current file, and again in a compacted file.

        Args:
            live_bytes: size of a compacted file, with all that the open messages' records may still grow by.
            record_bytes: size of the message's record, with its own growth.
        """
        return 2 * live_bytes + 2 * record_bytes <= self._acceptable_bytes

    def accepts_completed_message(self, live_bytes: int, record_bytes: int) -> bool:
        """Return whether there is capacity for a message of which only the notification is outstanding.

        It may use what is reserved for the attempts of others, as it has none itself.
        """
        return 2 * live_bytes + 2 * record_bytes <= self._acceptable_completed_bytes

    def needs_compaction(self, file_bytes: int, live_bytes: int, record_bytes: int) -> bool:
        """Return whether a file must be compacted before a record is appended."""
        prevents_later_compaction = file_bytes + live_bytes + 2 * record_bytes > self.usable_bytes
        return prevents_later_compaction or file_bytes > 2 * live_bytes + _MIN_GARBAGE_BYTES
