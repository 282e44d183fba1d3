"""Tests of rollback detection: restored data directories are detected, and plain restarts are not."""

from __future__ import annotations

from dataclasses import replace

import pytest

from winchspan.consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    EntryKind,
    InstallSnapshot,
    LogEntry,
    Message,
    PersistentState,
    RequestVote,
    RequestVoteReply,
    Snapshot,
)
from winchspan.consensus.node_state import RaftRole
from winchspan.consensus.rollback_detection import (
    LoadedState,
    Promise,
    RollbackDetector,
    StoreProgress,
    promise_of_message,
)
from winchspan.fakes.consensus_world import ConsensusWorld, SimulatedNode
from winchspan.fakes.virtual_time import NetworkFaults

MEMBER = "n1#a"
FIRST_PROCESS = StoreProgress(start=1, life=7, term=5, commit=40, last=44)
RESTORED_PROCESS = replace(FIRST_PROCESS, start=2, life=8)


def entries(*terms: int) -> tuple[LogEntry, ...]:
    """Return entries with the given terms, from index 1 on."""
    return tuple(LogEntry(index, term, EntryKind.COMMAND) for index, term in enumerate(terms, 1))


# Guards against an undetected rollback after the leader has sent the lost entries again: the report of the
# restored process is complete, and only the state loaded at its start shows the loss.
def test_rollback_detector_rejects_a_report_completed_by_the_leader():
    detector = RollbackDetector()
    detector.record_progress("n1", MEMBER, FIRST_PROCESS)
    caught_up = replace(RESTORED_PROCESS, commit=44)
    assert detector.record_progress("n1", MEMBER, caught_up, LoadedState(5, "", 38)) == "entry 38 of 40"
    assert detector.is_rolled_back("n1")
    assert detector.record_progress("n1", MEMBER, caught_up, LoadedState(5, "", 38)), "it stays rejected"
    assert detector.record_progress("n1", MEMBER, caught_up, LoadedState(5, "", 44)) == ""


@pytest.mark.parametrize(
    ("loaded", "missing"),
    [
        (LoadedState(5, "n2#b", 44), ""),
        (LoadedState(5, "n2#b", 45), ""),
        (LoadedState(6, "", 41), ""),  # entries that were not committed may have been replaced in term 6
        (LoadedState(4, "n2#b", 44), "term 4 of 5"),
        (LoadedState(5, "", 44), "vote for n2#b in term 5"),
        (LoadedState(5, "n0#c", 44), "vote for n2#b in term 5"),
        (LoadedState(5, "n2#b", 43), "entry 43 of 44"),
    ],
)
# Guards against the loss of votes and acknowledgements that only their receiver knows.
def test_rollback_detector_names_a_promise_missing_from_the_directory(loaded: LoadedState, missing: str):
    detector = RollbackDetector()
    detector.record_progress("n1", MEMBER, replace(FIRST_PROCESS, term=4))
    for promise in (Promise(3, "n0#c", 99, 3), Promise(5, "n2#b"), Promise(5, "", 44, 5), Promise(5)):
        detector.record_promise("n1", MEMBER, promise)
    assert detector.known_promise("n1", MEMBER) == Promise(5, "n2#b", 44, 5)
    assert detector.record_progress("n1", MEMBER, replace(RESTORED_PROCESS, term=9), loaded) == missing


def test_rollback_detector_ignores_promises_of_another_directory():
    detector = RollbackDetector()
    detector.record_progress("n1", MEMBER, FIRST_PROCESS)
    detector.record_promise("n1", MEMBER, Promise(5, "n2#b", 44, 5))
    empty = StoreProgress(1, 9, 0, 0, 0)
    assert detector.record_progress("n1", "n1#d", empty, LoadedState(0, "", 0)) == ""
    assert detector.known_promise("n1", "n1#d") == Promise()


def test_promise_of_an_entry_is_satisfied_only_by_that_entry():
    promise = Promise(5, index=3, entry_term=5)
    assert promise.is_satisfied_by(PersistentState(5, "", Snapshot(), entries(1, 1, 5)))
    assert not promise.is_satisfied_by(PersistentState(5, "", Snapshot(), entries(1, 1, 2, 2))), (
        "another entry"
    )
    assert promise.is_satisfied_by(PersistentState(6, "", Snapshot(), entries(1, 1, 2))), (
        "may be replaced later"
    )
    assert promise.is_satisfied_by(PersistentState(5, "", Snapshot(index=4, term=5))), "in the snapshot"


@pytest.mark.parametrize(
    ("message", "promise"),
    [
        (RequestVote(5, 9, 4, pre=True), None),
        (RequestVote(5, 9, 4, pre=False), Promise(5, vote="n1#a")),
        (RequestVoteReply(5, granted=True, pre=True), None),
        (RequestVoteReply(5, granted=True, pre=False), Promise(5, vote="n0#0")),
        (RequestVoteReply(5, granted=False, pre=False), Promise(5)),
        (AppendEntries(5, 1, 1, entries(1, 1, 5)[1:], 0, 1), Promise(5, index=3, entry_term=5)),
        (AppendEntries(5, 3, 4, (), 0, 1), Promise(5, index=3, entry_term=4)),
        (InstallSnapshot(5, Snapshot(7, 4), 1), Promise(5, index=7, entry_term=4)),
        (AppendEntriesReply(5, True, 2, 1), Promise(5, index=2, entry_term=20)),
        (AppendEntriesReply(5, False, 2, 1), Promise(5)),
    ],
)
def test_promise_of_each_message_has_its_term_vote_and_entries(message: Message, promise: Promise | None):
    assert promise_of_message(message, "n1#a", "n0#0", lambda index: 10 * index) == promise
    if isinstance(message, AppendEntriesReply):
        assert promise_of_message(message, "n1#a", "n0#0", None) == Promise(5), (
            "its log may have changed since"
        )


class PromiseAudit(ConsensusWorld):
    """A cluster that records the promises received by each node, and checks them at each start."""

    def __init__(self, seed: int) -> None:
        self.received_promises: dict[tuple[str, str], Promise] = {}  # by receiver and source
        self.missing: list[str] = []
        super().__init__(["n0#a", "n1#b", "n2#c"], seed, network=NetworkFaults(loss=0.05))

    def _handle(self, node: SimulatedNode, source: str, message: Message) -> None:
        if node.raft is not None:
            is_leader = node.raft.role is RaftRole.LEADER and node.raft.term == message.term
            term_at = node.raft.log.term_at if is_leader else None
            promise = promise_of_message(message, source, node.node_id, term_at)
            if promise is not None:
                key = node.node_id, source
                self.received_promises[key] = self.received_promises.get(key, Promise()).merged(promise)
        super()._handle(node, source, message)

    def start(self, node_id: str) -> None:
        """Compare the directory's state with the promises that others have received, and start the node."""
        node = self.nodes.get(node_id)
        if node is not None:
            self.missing += self.missing_in(node_id, node.persistent_state)
        super().start(node_id)

    def missing_in(self, node_id: str, state: PersistentState) -> list[str]:
        """Return the missing state of a directory, one item per node that received a promise."""
        nothing = StoreProgress(1, 1, 0, 0, 0)
        found = []
        for (_, source), promise in self.received_promises.items():
            if source == node_id:
                missing = LoadedState.of(state).describe_rollback(nothing, promise)
                found.append(missing or ("" if promise.is_satisfied_by(state) else f"entry {promise.index}"))
        return [missing for missing in found if missing]


# Guards against the rejection of couriers after an ordinary restart.
@pytest.mark.parametrize("seed", range(12))
def test_promises_in_a_faulty_cluster_are_satisfied_by_every_restart_and_not_by_a_backup(seed: int):
    world = PromiseAudit(seed)
    world.commit(b"first")
    backups = {name: node.persistent_state for name, node in world.nodes.items()}
    for round_number in range(12):
        node_id = world.rng.choice(sorted(world.nodes))
        fault = world.rng.choice(("kill", "cut", "freeze"))
        if fault == "kill":
            world.kill(node_id)
        elif fault == "cut":
            world.partition({node_id})
        else:
            world.freeze(node_id)
        world.run(world.rng.uniform(200.0, 3_000.0))
        world.propose(b"%d" % round_number)
        world.run(world.rng.uniform(10.0, 1_000.0))
        world.cut_links.clear()
        if fault == "kill":
            world.start(node_id)
        elif fault == "freeze":
            world.thaw(node_id)
    world.commit(b"last")
    assert world.missing == []
    leader = world.leader()
    assert leader is not None
    for name, backup in backups.items():
        assert world.missing_in(name, backup), f"{name} has promised more since"
