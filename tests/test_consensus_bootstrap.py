"""Tests of cluster bootstrap: one node creates the cluster once, of nodes that have never been in one."""

from __future__ import annotations

from winchspan.consensus.bootstrap import ClusterBootstrap


def test_cluster_bootstrap_waits_for_all_nodes_and_happens_once():
    names = ["n0", "n1", "n2"]
    first, other = ClusterBootstrap("n0#a", names), ClusterBootstrap("n1#b", names)
    first.record_node("n1#b", True)
    assert first.members_to_bootstrap(True) == frozenset(), "n2 has not reported"
    first.record_node("n2#c", True)
    first.record_node("n9#d", True)  # not configured
    assert first.members_to_bootstrap(True) == {"n0#a", "n1#b", "n2#c"}
    assert first.members_to_bootstrap(False) == frozenset()
    other.record_node("n0#a", True)
    other.record_node("n2#c", True)
    assert other.members_to_bootstrap(True) == frozenset(), (
        "only the node with the smallest name creates the cluster"
    )
    first.record_node("n2#e", True)
    first.record_node("n1#b", False)
    assert first.members_to_bootstrap(True) == frozenset(), "n1 has been in a cluster"
    members = frozenset({"n0#a", "n1#b", "n2#c"})
    assert first.next_membership_change(members, ["n1"]) is None, "a dead node is not replaced"
    reduced = first.next_membership_change(members, ["n1", "n2"])
    assert reduced == {"n0#a", "n1#b"}
    assert first.next_membership_change(reduced, ["n1", "n2"]) == {"n0#a", "n1#b", "n2#e"}
    first.node_names = {"n0", "n1"}
    assert first.next_membership_change(members, ["n1"]) == {"n0#a", "n1#b"}, "no longer configured"
