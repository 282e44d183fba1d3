"""Cluster bootstrap, and membership changes after configuration changes and lost data directories.

A member ID consists of a node's name and the incarnation of its data directory: `name#incarnation`. The node
with the smallest name creates the cluster once, when all configured nodes are connected and none has ever
been in a cluster. A node that restarts with an empty directory has no vote until the leader has removed its
old incarnation and added the new one, one change at a time. Thus no node votes under an incarnation whose
votes are lost.
"""

from __future__ import annotations

from collections.abc import Iterable


def node_name(member: str) -> str:
    """Return the node name of a member ID `name#incarnation`."""
    return member.rpartition("#")[0]


class ClusterBootstrap:
    """Tracks the data directories of the other nodes and derives membership changes from them."""

    def __init__(self, node_id: str, node_names: Iterable[str]) -> None:
        """Create a tracker without reports from other nodes.

        Args:
            node_id: member ID of this node, `name#incarnation`.
            node_names: names of all configured nodes, including this one.
        """
        self.node_id = node_id
        self.node_names = set(node_names)
        self._reported: dict[str, tuple[str, bool]] = {}  # by name: member ID, is_empty

    def record_node(self, member: str, is_empty: bool) -> None:
        """Record a node's reported member ID, and whether its data directory has never been in a cluster."""
        name = node_name(member)
        if name in self.node_names and name != node_name(self.node_id):
            self._reported[name] = member, is_empty

    def members_to_bootstrap(self, is_empty: bool) -> frozenset[str]:
        """Return the members of the cluster that this node must create now; empty if it must not create one.

        Args:
            is_empty: whether this node's data directory has never been in a cluster.
        """
        is_first_node = node_name(self.node_id) == min(self.node_names)
        all_reported = len(self._reported) >= len(self.node_names) - 1
        all_empty = is_empty and all(empty for _, empty in self._reported.values())
        if not (is_first_node and all_reported and all_empty):
            return frozenset()
        return frozenset({self.node_id, *(member for member, _ in self._reported.values())})

    def next_membership_change(
        self, members: frozenset[str], live_nodes: Iterable[str]
    ) -> frozenset[str] | None:
        """Return the voting members for the leader to propose next; None if no change is due.

        Args:
            members: the current voting members.
            live_nodes: names of the live nodes; only these are added, or removed because of a new directory.
        """
        for member in sorted(members):
            if node_name(member) not in self.node_names:
                return members - {member}  # no longer configured
        for name in sorted(set(live_nodes) & self._reported.keys()):
            member = self._reported[name][0]
            if member in members:
                continue
            previous_incarnations = [other for other in sorted(members) if node_name(other) == name]
            if previous_incarnations:
                return members - {previous_incarnations[0]}
            return members | {member}
        return None
