"""Epoch fencing: rejects operations of former lease holders."""

from __future__ import annotations


class EpochFence:
    """Highest epoch seen for each role, for a component that performs operations of lease holders."""

    def __init__(self) -> None:
        self.epochs: dict[str, int] = {}
        self.rejected_count = 0

    def admit(self, role: str, epoch: int) -> bool:
        """Return whether an operation under an epoch is admitted: no later epoch has been seen."""
        if epoch < self.epochs.get(role, 0):
            self.rejected_count += 1
            return False
        self.epochs[role] = epoch
        return True
