"""Placement of replicas, and choice of the node that takes over the journal of a failed node."""

from __future__ import annotations

from winchspan.leases.commands import AssignRole, SetReplicaPlacement, TakeoverCompleted
from winchspan.leases.lease_table import LeaseTable
from winchspan.replication.placement import (
    TAKEOVER_GRACE_MS,
    TakeoverPlanner,
    choose_replicas,
    is_taken_over,
    is_takeover_incomplete,
)
from winchspan.replication.replica_set import ReplicaProgress


def test_takeover_planner_chooses_longest_replica_after_grace_period():
    table, takeovers, journals = LeaseTable(), TakeoverPlanner(), {"n1": (11, 5)}
    table.apply(5, AssignRole("work-n1", "n1", 11, 0).encode())
    table.apply(6, SetReplicaPlacement("n1", ("n0", "n2"), (), 0).encode())
    live_nodes = {"n0": 1, "n2": 1}

    def choose(now: float, live_nodes: dict[str, int] = live_nodes) -> str:
        return takeovers.choose_owner(now, "work-n1", live_nodes, table, journals)

    assert choose(0.0, {"n1": 11, **live_nodes}) == "n1"
    assert (
        choose(0.0) == "" == choose(TAKEOVER_GRACE_MS - 1.0)
        and takeovers.owners_to_query(TAKEOVER_GRACE_MS) == []
    )
    assert choose(TAKEOVER_GRACE_MS) == "" and takeovers.owners_to_query(TAKEOVER_GRACE_MS) == ["n1"]
    takeovers.record_progress("n1", "n0", ReplicaProgress(5, 10, "n0"))
    assert choose(TAKEOVER_GRACE_MS) == "", "one of the replicas has not answered"
    takeovers.record_progress("n1", "n2", ReplicaProgress(5, 12, "n2"))
    assert choose(TAKEOVER_GRACE_MS) == "n2", "the longest replica"
    table.apply(7, AssignRole("work-n1", "n2", 1, 5).encode())
    assert choose(TAKEOVER_GRACE_MS) == "n2" and choose(TAKEOVER_GRACE_MS, {"n0": 1}) == "", (
        "the successor has failed: the grace period starts again"
    )
    table.apply(8, TakeoverCompleted("n1", 7).encode())
    assert table.completed_takeovers == {"n1": 7} and "n1" not in table.placements
    assert choose(9e9, {"n0": 1}) == "", "the successor owns all messages"
    assert is_taken_over("n1", 5, table) and not is_taken_over("n1", 8, table)
    assert (
        is_takeover_incomplete(("n1", 8), table)
        and not is_takeover_incomplete(("n1", 7), table)
        and not is_takeover_incomplete(None, table)
    )


def test_takeover_planner_owner_without_data_directory_waits_for_takeover():
    table, takeovers = LeaseTable(), TakeoverPlanner()
    table.apply(5, AssignRole("work-n1", "n1", 11, 0).encode())
    live_nodes = {"n0": 1, "n1": 12}

    def choose(journal_epoch: int, process_nonce: int = 12) -> str:
        return takeovers.choose_owner(
            0.0, "work-n1", live_nodes, table, {"n1": (process_nonce, journal_epoch)}
        )

    assert choose(0) == "n1", "no replica ever existed (seed 101: it never owned its journal again)"
    table.apply(6, SetReplicaPlacement("n1", ("n0",), (), 0).encode())
    assert choose(0) == "" and takeovers.owners_to_query(0.0) == ["n1"], "immediately, without grace period"
    assert choose(5) == "n1" and choose(0, 11) == "n1", (
        "it has its data directory, or has not recorded its epoch yet"
    )
    assert choose(0) == ""
    takeovers.record_progress("n1", "n0", ReplicaProgress(5, 3, "n0"))
    assert choose(0) == "n0"
    table.apply(7, AssignRole("work-n1", "n0", 1, 5).encode())
    assert choose(0) == "n0", "n1 gets it back only after the takeover (seed 101: 3 messages lost)"
    table.apply(8, TakeoverCompleted("n1", 7).encode())
    assert choose(0) == "n1"


def test_choose_replicas_is_sticky_and_spreads_across_locations():
    live_nodes = [f"n{n}" for n in range(9)]
    locations = {name: ("a" if n < 3 else "b", "") for n, name in enumerate(live_nodes)}
    for owner in live_nodes:
        (one,) = choose_replicas(owner, live_nodes, 1, locations)
        assert one != owner and locations[one] != locations[owner]
        two = choose_replicas(owner, live_nodes, 2, locations, current=(one,))
        assert one in two and len(two) == 2
        assert (
            choose_replicas(
                owner, [name for name in live_nodes if name != one], 1, locations, current=(one,)
            )[0]
            != one
        )
    assert len({choose_replicas(owner, live_nodes, 1, locations) for owner in live_nodes}) >= 4
    assert choose_replicas("n0", ["n0"], 1, {}) == ()
