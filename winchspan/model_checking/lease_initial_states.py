"""Initial states of the lease model for the checker."""

from __future__ import annotations

from typing import Final

from winchspan.consensus.messages import EntryKind, LogEntry, PersistentState
from winchspan.leases.timing import LeaseTiming
from winchspan.model_checking.checker import InvariantViolationError
from winchspan.model_checking.lease_faults import NODE_IDS, Defect, Fault, FaultKind
from winchspan.model_checking.leases import LEASE_TIMING, LeaseModel

MAX_SETTLING_ROUNDS: Final = 60
SETTLED_AFTER_MS: Final = 3_000.0
ELECTION_AT_MS: Final = 10_000.0  # long after any contact with a leader
LONG_PARTITION_ROUNDS: Final = 30  # longer than the explorations from these states
DELAYED_REQUEST_ROUNDS: Final = 11  # slightly shorter than the timeout of a candidate's election


def settled_cluster(
    defects: frozenset[Defect] = frozenset(), timing: LeaseTiming = LEASE_TIMING
) -> LeaseModel:
    """Return a cluster in which a node holds the lease of the role.

    Args:
        defects: safeguards to remove.
        timing: lease durations and clock drift.

    Raises:
        InvariantViolationError: if the cluster does not settle.
    """
    model = LeaseModel(defects, timing)
    for node in model.nodes.values():
        model.start(node)
    first = model.nodes[NODE_IDS[0]]
    assert first.raft is not None
    model.service.execute(first, first.raft.bootstrap(first.now, frozenset(NODE_IDS)))
    for _ in range(MAX_SETTLING_ROUNDS):
        model.run_round()
        holder_count = sum(bool(node.decided_epoch) for node in model.nodes.values())
        if holder_count == 1 and model.clock.now > SETTLED_AFTER_MS:
            return model
    raise InvariantViolationError(f"no lease holder within {MAX_SETTLING_ROUNDS} rounds")


def two_candidates(defects: frozenset[Defect] = frozenset()) -> LeaseModel:
    """Return a cluster in which two nodes, partitioned from each other, request the third's vote in one term.

    Args:
        defects: safeguards to remove.
    """
    model = LeaseModel(defects)
    first_entry = LogEntry(1, 1, EntryKind.MEMBERS, b"", frozenset(NODE_IDS))
    for node in model.nodes.values():
        node.persistent_state = PersistentState(1, "", entries=(first_entry,))
        model.start(node)
    model.clock.now = ELECTION_AT_MS
    candidates = (NODE_IDS[0], NODE_IDS[2])
    model.inject_fault(Fault(FaultKind.PARTITION_LINK, *candidates, LONG_PARTITION_ROUNDS))
    for node_id in candidates:
        node = model.nodes[node_id]
        assert node.raft is not None
        node.raft.election.campaign(node.now, pre_vote=False)
        model.service.execute(node, node.raft.state.take_commands())
    return model


def one_vote_given(defects: frozenset[Defect] = frozenset()) -> LeaseModel:
    """Return a cluster in which a node has voted for a candidate and is now partitioned from it.

    The vote request of the other candidate is delayed for almost the whole duration of its election.

    Args:
        defects: safeguards to remove.
    """
    model = two_candidates(defects)
    candidate, voter, other_candidate = NODE_IDS
    model.inject_fault(Fault(FaultKind.DELAY_LINK, other_candidate, voter, DELAYED_REQUEST_ROUNDS))
    for source, target in ((candidate, voter), (voter, candidate)):
        envelope = next(
            sent for sent in model.network.in_flight if (sent.source, sent.target) == (source, target)
        )
        model.network.in_flight.remove(envelope)
        model.service.handle(model.nodes[target], source, envelope.message)
    model.inject_fault(Fault(FaultKind.PARTITION_LINK, candidate, voter, LONG_PARTITION_ROUNDS))
    return model


INITIAL_STATES: Final = {
    "settled": settled_cluster,
    "two_candidates": two_candidates,
    "one_vote_given": one_vote_given,
}
