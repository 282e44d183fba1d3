"""Splits reads and writes at random boundaries, as a kernel may."""

from __future__ import annotations

import numpy as np


class Fragmenter:
    """Chooses the number of bytes that a read or write handles."""

    def __init__(self, seed: np.random.SeedSequence, *, is_enabled: bool) -> None:
        """Create a fragmenter; if it is disabled, each read and write handles all available bytes."""
        self._random = np.random.default_rng(seed)
        self._is_enabled = is_enabled

    def piece_size(self, available_bytes: int) -> int:
        """Return how many of the available bytes the next read or write handles."""
        if self._is_enabled and available_bytes > 1:
            return int(self._random.integers(1, available_bytes, endpoint=True))
        return available_bytes
