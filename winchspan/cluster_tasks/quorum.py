"""Requests that need answers from a majority before a deadline.

A leader writes state to a majority before it acts, and its successor reads this state from a majority before
it acts, because two majorities intersect (Gifford 1979). Members compare epochs
(`winchspan.leases.fencing.EpochFence`), so a leader that has a successor gets no further majority.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

MAX_OPEN_REQUESTS: Final = 256


@dataclass(slots=True)
class _OpenRequest:
    voters: frozenset[str]
    deadline_ms: float
    answered: set[str] = field(default_factory=set)

    def has_majority(self) -> bool:
        return 2 * len(self.answered & self.voters) > len(self.voters)


class QuorumRequests:
    """Open quorum requests of one node, by number."""

    def __init__(self, local_name: str) -> None:
        self._local_name = local_name
        self._open: dict[int, _OpenRequest] = {}
        self._last_number = 0

    def open_request(self, voters: Iterable[str], deadline_ms: float) -> int:
        """Open a request.

        Args:
            voters: names of the nodes whose answers count; this node may be absent.
            deadline_ms: clock reading after which answers are ignored.

        Returns:
            The number that answers repeat; 0 if too many requests are open.
        """
        if len(self._open) >= MAX_OPEN_REQUESTS:
            return 0
        self._last_number += 1
        self._open[self._last_number] = _OpenRequest(frozenset(voters), deadline_ms, {self._local_name})
        return self._last_number

    def close_on_majority(self, number: int) -> bool:
        """Close a request if a majority has answered; return whether this call has closed it."""
        request = self._open.get(number)
        if request is None or not request.has_majority():
            return False
        del self._open[number]
        return True

    def record_answer(self, number: int, name: str) -> bool:
        """Record a node's answer; return whether it completes the majority."""
        request = self._open.get(number)
        if request is None:
            return False
        request.answered.add(name)
        return self.close_on_majority(number)

    def expire(self, now: float) -> list[int]:
        """Close the requests whose deadline has passed, and return their numbers."""
        expired = [number for number, request in self._open.items() if request.deadline_ms <= now]
        for number in expired:
            del self._open[number]
        return expired
