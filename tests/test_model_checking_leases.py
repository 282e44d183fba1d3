"""The lease model: no run within the bounds violates an invariant, and each planted defect is found."""

from __future__ import annotations

from dataclasses import replace

import pytest

from winchspan.consensus.node_state import NodeState, RaftRole
from winchspan.leases.manager import LeaseManager
from winchspan.model_checking.checker import ExplorationResult, explore
from winchspan.model_checking.lease_faults import NODE_IDS, STORE, Defect, Fault, FaultKind
from winchspan.model_checking.lease_initial_states import one_vote_given, settled_cluster, two_candidates
from winchspan.model_checking.leases import LEASE_TIMING, LeaseModel

ROUNDS = 18


def assert_no_violation(explored: ExplorationResult) -> None:
    assert not explored.violation, f"{explored.violation}: {explored.path}"


def test_model_with_one_fault_has_one_holder_one_leader_and_ordered_acts():
    explored = explore(settled_cluster(), ROUNDS, 1)
    assert_no_violation(explored)
    assert explored.states > 4_000 and explored.runs > 400


def test_model_with_two_faults_during_an_election_has_one_leader():
    for initial_state in (two_candidates, one_vote_given):
        explored = explore(initial_state(), 3, 2)
        assert_no_violation(explored)
        assert explored.states > 200


def partitioned_cluster(defects: frozenset[Defect] = frozenset()) -> LeaseModel:
    """Return a cluster with a long lease whose next leader does not receive the holder's messages."""
    model = settled_cluster(defects, replace(LEASE_TIMING, lease_ms=1_500.0))
    model.inject_fault(Fault(FaultKind.PARTITION_LINK, NODE_IDS[1], NODE_IDS[2], 40))
    return model


def cluster_with_delayed_acts(defects: frozenset[Defect] = frozenset()) -> LeaseModel:
    """Return a cluster in which the acts of the lease holder reach the store late."""
    model = settled_cluster(defects)
    holder = next(node.node_id for node in model.nodes.values() if node.decided_epoch)
    model.inject_fault(Fault(FaultKind.DELAY_LINK, holder, STORE, 15))
    return model


def test_model_with_a_vote_sent_before_it_is_persisted_is_found_to_have_two_leaders():
    model = one_vote_given(frozenset([Defect.VOTE_BEFORE_PERSIST]))
    assert "two leaders" in explore(model, 16, 1).violation


def test_model_with_pre_votes_without_a_quorum_is_found_to_raise_terms(monkeypatch: pytest.MonkeyPatch):
    has_quorum = NodeState.has_quorum
    monkeypatch.setattr(
        NodeState,
        "has_quorum",
        lambda self, node_ids: has_quorum(self, node_ids) or self.role is RaftRole.PRE_CANDIDATE,
    )
    assert "raises its term" in explore(settled_cluster(), ROUNDS, 1).violation


def test_model_with_a_lease_unchecked_after_a_freeze_is_found_to_act_beside_another_holder():
    model = settled_cluster(frozenset([Defect.NO_LEASE_CHECK]))
    assert "acts under" in explore(model, 24, 1).violation


def test_model_with_a_store_that_compares_no_epochs_is_found_to_store_acts_out_of_order():
    model = cluster_with_delayed_acts(frozenset([Defect.NO_EPOCH_CHECK]))
    assert "is stored after" in explore(model, 24, 1).violation
    assert not explore(cluster_with_delayed_acts(), 24, 1, max_states=1_500).violation


def test_model_with_a_manager_that_does_not_wait_for_expiry_is_found_to_have_two_holders(
    monkeypatch: pytest.MonkeyPatch,
):
    assert not explore(partitioned_cluster(), 30, 1, max_states=1_500).violation
    monkeypatch.setattr(LeaseManager, "lease_expiry_ms", lambda self, role, epoch: 0.0)
    assert "two holders" in explore(partitioned_cluster(), 30, 1).violation
