"""Errors of the storage layer."""

from __future__ import annotations

from pathlib import Path


class StorageError(Exception):
    """Base of the errors of the storage layer, besides OSError."""


class JournalFullError(StorageError):
    """The journal has no capacity for another message."""


class RecordWriteError(StorageError):
    """Records could not be written; the file contains the same records as before the call."""

    def __init__(self, path: Path, reason: OSError) -> None:
        super().__init__(f"{path.name}: {reason}")
        self.path = path
        self.reason = reason
