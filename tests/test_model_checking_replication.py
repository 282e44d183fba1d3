"""The replication model: no run within the bounds violates an invariant, and each planted defect is found."""

from __future__ import annotations

import pytest

from winchspan.model_checking.checker import explore
from winchspan.model_checking.replication import ReplicationModel
from winchspan.model_checking.replication_environment import Defect, Fault, FaultKind

ROUNDS = 100
FIRST_FAULT_ROUNDS = range(4)  # faults begin while both messages are in flight
LONG_FAULT_ROUNDS = 60  # longer than in the exploration, so that the takeover completes


@pytest.mark.parametrize(("replica_count", "at_most_once"), [(1, True), (2, False)])
def test_model_with_one_fault_completes_acknowledged_messages_once_and_in_order(
    replica_count: int, at_most_once: bool
):
    explored = explore(
        ReplicationModel(replica_count, at_most_once), ROUNDS, 1, first_fault_rounds=FIRST_FAULT_ROUNDS
    )
    assert not explored.violation, f"{explored.violation}: {explored.path}"
    assert explored.states > 5_000
    assert explored.runs > 30


@pytest.mark.parametrize(
    ("defect", "replica_count", "at_most_once", "violation"),
    [
        (Defect.ATTEMPT_START_NOT_REPLICATED, 1, True, "is executed again"),
        (Defect.LEASE_NOT_CHECKED, 1, True, "is executed after its notification"),
        (
            Defect.MOST_COMPLETE_REPLICA_NOT_CHOSEN,
            2,
            False,
            "which a live replica has as completed",
        ),
    ],
)
def test_model_with_a_defect_is_found_to_violate_an_invariant(
    defect: Defect, replica_count: int, at_most_once: bool, violation: str
):
    model = ReplicationModel(replica_count, at_most_once, frozenset([defect]))
    assert violation in explore(model, ROUNDS, 1, first_fault_rounds=FIRST_FAULT_ROUNDS).violation


@pytest.mark.parametrize("defects", [(), (Defect.EPOCHS_NOT_COMPARED,)])
def test_model_of_an_owner_with_a_slow_clock_is_fenced_by_the_epoch_alone(defects: tuple[Defect, ...]):
    model = ReplicationModel(1, True, frozenset(defects))
    model.inject_fault(Fault(FaultKind.SLOW_CLOCK, "a", LONG_FAULT_ROUNDS))
    # "c" leads the consensus group; the owner's replica on "b" still receives the owner's messages.
    model.inject_fault(Fault(FaultKind.PARTITION, "a", LONG_FAULT_ROUNDS, "c"))
    while not model.consensus.lease_table.completed_takeovers:
        model.run_round()
    assert model.submit("m3"), "the owner accepts a message although its journal is taken over"
    explored = explore(model, 110, 1, first_fault_rounds=range(3))
    assert bool(explored.violation) == bool(defects), explored
    assert not defects or "were acknowledged, and never complete" in explored.violation
