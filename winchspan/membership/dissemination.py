"""Infection-style dissemination: updates piggybacked on the messages of the failure detector (SWIM 4.1)."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, log10

from winchspan.membership.config import DISSEMINATION_FACTOR
from winchspan.membership.messages import MembershipUpdate


@dataclass(slots=True)
class _BufferedUpdate:
    update: MembershipUpdate
    sent_count: int = 0


class DisseminationBuffer:
    """The latest update about each node that still has to be sent, ordered by the number of transmissions."""

    def __init__(self) -> None:
        self._entries: dict[str, _BufferedUpdate] = {}

    def enqueue(self, update: MembershipUpdate) -> None:
        """Add an update, replacing an earlier update about the same node."""
        self._entries[update.name] = _BufferedUpdate(update)

    def discard(self, name: str) -> None:
        """Remove the update about a node."""
        self._entries.pop(name, None)

    def take(self, max_count: int, recipient: str, cluster_size: int) -> list[MembershipUpdate]:
        """Return the updates for one datagram and count them as sent.

        Args:
            max_count: maximum number of updates.
            recipient: recipient of the datagram, which gets no update about itself.
            cluster_size: number of nodes in the cluster, which determines the number of transmissions.
        """
        max_sent_count = DISSEMINATION_FACTOR * ceil(log10(cluster_size + 1))
        selected: list[MembershipUpdate] = []
        for name in sorted(self._entries, key=lambda name: self._entries[name].sent_count):
            if len(selected) >= max_count:
                break
            if name == recipient:
                continue
            entry = self._entries[name]
            entry.sent_count += 1
            selected.append(entry.update)
            if entry.sent_count >= max_sent_count:
                del self._entries[name]
        return selected
