"""Tests of leases under faults: one holder per role, with drifting clocks and suspended holders."""

from __future__ import annotations

import pytest

from winchspan.consensus.raft import Raft
from winchspan.consensus.replication import LeaderReplication
from winchspan.fakes.consensus_world import InvariantViolationError, SimulatedNode
from winchspan.fakes.lease_world import LeaseWorld, LeaseWorldOptions
from winchspan.fakes.virtual_time import NetworkFaults
from winchspan.leases.commands import AssignRole, decode_command
from winchspan.leases.fencing import EpochFence
from winchspan.leases.holder import NO_LEASE, LeaseHolder
from winchspan.leases.lease_table import LeaseTable
from winchspan.leases.manager import LeaseManager, preferred_holder
from winchspan.leases.timing import LeaseTiming

NODE_IDS = ["n0#1", "n1#1", "n2#1"]
ROLES = tuple(f"duty {n}" for n in range(12))


def settled_cluster(seed: int = 1, node_ids: list[str] = NODE_IDS) -> LeaseWorld:
    """Return a cluster in which each role has its preferred holder."""
    world = LeaseWorld(node_ids, seed, ROLES)
    world.run_until(
        lambda: all(
            role in world.holders
            and world.holders[role].node_id == preferred_holder(role, world.live_nodes())
            for role in ROLES
        ),
        60_000.0,
    )
    return world


def test_settled_cluster_spreads_roles_by_hashing_and_moves_none():
    world = settled_cluster()
    assert {name for name, _ in world.holders.values()} == set(NODE_IDS)
    before = len(world.moves)
    world.run(60_000.0)
    assert len(world.moves) == before, "no role moves in an idle cluster"


@pytest.mark.parametrize("seed", range(4))
def test_follower_killed_only_its_roles_move_and_soon(seed: int):
    world = settled_cluster(seed)
    dead = next(n for n in NODE_IDS if world.nodes[n] is not world.leader())
    dead_roles, killed_at = {role for role in ROLES if world.holders[role].node_id == dead}, world.now
    assert dead_roles
    world.kill(dead)
    world.run_until(lambda: all(world.holders[role].node_id != dead for role in ROLES), 10_000.0)
    assert world.now - killed_at < 3_000.0
    assert {role for at, role, _ in world.moves if at > killed_at} == dead_roles


def test_leader_killed_its_roles_move():
    world = settled_cluster(2)
    leader = world.leader()
    assert leader is not None
    world.kill(leader.node_id)
    duration_ms = world.run_until(
        lambda: all(world.holders[role].node_id != leader.node_id for role in ROLES), 20_000.0
    )
    assert duration_ms < 6_000.0


def test_holder_thawed_after_its_lease_may_not_act_before_a_renewal():
    world = settled_cluster(3)
    name = next(
        n
        for n in NODE_IDS
        if world.nodes[n] is not world.leader() and any(holder == n for holder, _ in world.holders.values())
    )
    mine = [role for role in ROLES if world.holders[role].node_id == name]
    world.freeze(name)
    world.run_until(lambda: all(world.holders[role].node_id != name for role in ROLES), 20_000.0)
    leases = world.node_leases[name].holder
    assert all(leases.valid_epoch(role, world.clock(world.nodes[name])) == 0 for role in mine)
    world.thaw(name)
    world.run_until(lambda: all(world.holders[role].node_id == name for role in mine), 30_000.0)


def test_minority_stops_within_its_lease_and_one_of_two_stops():
    world = settled_cluster(4)
    cut = next(n for n in NODE_IDS if world.nodes[n] is not world.leader())
    world.partition({cut})
    world.run(LeaseTiming().lease_ms + 50.0)
    assert all(
        world.node_leases[cut].holder.valid_epoch(role, world.clock(world.nodes[cut])) == 0 for role in ROLES
    )
    two = settled_cluster(5, NODE_IDS[:2])
    two.kill(next(n for n in NODE_IDS[:2] if two.nodes[n] is not two.leader()))
    two.run(10_000.0)
    acts = two.act_count
    two.run(10_000.0)
    assert two.act_count == acts


def test_restarted_node_gets_its_roles_back_by_release():
    world = settled_cluster(6)
    name = next(
        n
        for n in NODE_IDS
        if world.nodes[n] is not world.leader() and any(holder == n for holder, _ in world.holders.values())
    )
    mine = [role for role in ROLES if world.holders[role].node_id == name]
    world.kill(name)
    world.run_until(lambda: all(world.holders[role].node_id != name for role in ROLES), 20_000.0)
    world.start(name)
    restarted_at = world.now
    world.run_until(lambda: all(world.holders[role].node_id == name for role in mine), 60_000.0)
    assert {role for at, role, _ in world.moves if at > restarted_at} == set(mine)


FAULTS = ["kill", "restart", "freeze", "partition", "heal", "heal", "disk full", "compact", "rest", "rest"]


def inject_fault(world: LeaseWorld, fault: str, node: SimulatedNode) -> None:
    """Begin a fault of one node, or end all partitions."""
    if fault == "kill":
        world.kill(node.node_id)
    elif fault == "restart":
        world.kill(node.node_id)
        world.start(node.node_id)
    elif fault == "freeze" and node.raft is not None:
        world.freeze(node.node_id)
    elif fault == "partition":
        world.partition({node.node_id})
    elif fault == "heal":
        world.cut_links.clear()
    elif fault == "disk full":
        world.set_disk_full(node.node_id, not node.is_disk_full)
    elif fault == "compact":
        world.compact_all()


def heal_some(world: LeaseWorld) -> None:
    """End random faults."""
    for node_id, node in list(world.nodes.items()):
        if node.raft is None and world.rng.random() < 0.5:
            world.start(node_id)
        elif node.unread is not None and world.rng.random() < 0.5:
            world.thaw(node_id)
        if node.is_disk_full and world.rng.random() < 0.5:
            world.set_disk_full(node_id, False)


def run_random_faults(seed: int, steps: int = 80, max_clock_drift: float = 0.01) -> LeaseWorld:
    """Inject random faults; raise InvariantViolationError if a role has two holders."""
    network = NetworkFaults(loss=0.03, delay_ms=8.0, duplicated=0.05)
    options = LeaseWorldOptions(max_clock_drift=max_clock_drift, network=network)
    world = LeaseWorld(NODE_IDS, seed, ROLES, options)
    for _ in range(steps):
        node = world.nodes[world.rng.choice(NODE_IDS)]
        inject_fault(world, world.rng.choice(FAULTS), node)
        world.run(world.rng.uniform(0.0, 3_000.0))
        heal_some(world)
    return world


@pytest.mark.parametrize("seed", range(15))
def test_random_faults_keep_one_holder_per_role_and_reject_former_ones(seed: int):
    assert run_random_faults(seed).act_count > 1_000


def finds_violation(seeds: int = 30, max_clock_drift: float = 0.01) -> bool:
    """Return whether an invariant fails for at least one seed."""
    for seed in range(seeds):
        try:
            run_random_faults(seed, max_clock_drift=max_clock_drift)
        except InvariantViolationError:
            return True
    return False


def test_holder_without_lease_check_is_found(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(
        LeaseHolder, "valid_epoch", lambda self, role, now: self._held.get(role, NO_LEASE).epoch
    )
    assert finds_violation()


def test_leader_that_does_not_wait_for_earlier_leases_is_found(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(
        LeaseManager, "lease_expiry_ms", lambda self, role, epoch: self._expiries_ms.get((role, epoch), 0.0)
    )
    assert finds_violation()


def test_leader_that_renews_without_quorum_is_found(monkeypatch: pytest.MonkeyPatch):
    from winchspan.consensus.node_state import RaftRole

    monkeypatch.setattr(Raft, "has_confirmed_leadership", lambda self, now: self.role is RaftRole.LEADER)
    monkeypatch.setattr(LeaderReplication, "has_recent_quorum", lambda self, now, within_ms: True)
    assert finds_violation()


def test_clocks_that_drift_far_more_than_is_stated_are_found():
    assert finds_violation(60, max_clock_drift=0.3)


def test_role_about_to_move_stays_when_its_target_dies():
    """Guards against a role without a holder: its lease was not renewed until the dead target restarted."""
    timing, table = LeaseTiming(), LeaseTable()
    target = preferred_holder("a", {"n0": 1, "n1": 1})
    owner = "n1" if target == "n0" else "n0"
    table.apply(5, AssignRole("a", owner, 1, 0).encode())
    manager, now = LeaseManager(0.0, ("a",), timing), 10_000.0
    leases = LeaseHolder(owner, 1, timing)

    def renewed(at: float) -> bool:
        request = leases.build_renewal(at, table)
        renewal = manager.renew(at, request, table, True) if request is not None else None
        return renewal is not None and bool(renewal.duties)

    both = {"n0": 1, "n1": 1}
    assert manager.plan_assignments(0.0, both, table) == [] and renewed(now)
    (step,) = manager.plan_assignments(now, both, table)
    assert isinstance(step, tuple) and step[0] == owner and not renewed(now)
    manager.handle_released(now, leases.handle_release(step[1]))
    (step,) = manager.plan_assignments(now, {owner: 1}, table)
    assert isinstance(step, AssignRole) and step.holder == owner
    assert (
        table.apply(6, step.encode()) == "a"
        and renewed(now)
        and manager.plan_assignments(now, {owner: 1}, table) == []
    )


def test_lease_table_applies_an_assignment_only_at_its_expected_epoch():
    table, fence = LeaseTable(), EpochFence()
    assert table.apply(5, AssignRole("a", "n0", 1, 0).encode()) == "a"
    assert table.apply(6, AssignRole("a", "n1", 1, 0).encode()) == "", "the role is already assigned"
    assert table.apply(7, AssignRole("a", "n1", 1, 5).encode()) == "a" and table.leases["a"].epoch == 7
    assert table.apply(8, b"\xff") == "" and decode_command(b"{}") is None
    again = LeaseTable()
    again.restore(table.encode_snapshot())
    assert again.leases == table.leases
    assert fence.admit("a", 7) and not fence.admit("a", 5) and fence.rejected_count == 1
