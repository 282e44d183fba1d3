"""The limit of open sockets in a process."""

from __future__ import annotations


class SocketBudget:
    """Counts open sockets against the process's limit.

    Attributes:
        limit: the most sockets that may be open.
        open_count: the number of open sockets.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.open_count = 0

    def available(self) -> int:
        """Return how many more sockets may be opened."""
        return self.limit - self.open_count
