"""Replication of a journal: all replicas have the acknowledged records, despite lost messages and data."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from winchspan.replication.messages import (
    EpochSuperseded,
    ReplicaAcknowledged,
    ReplicaBehind,
    ReplicateRecords,
    SnapshotChunk,
)
from winchspan.replication.replica_set import (
    Action,
    AppendRecords,
    PersistEpoch,
    ReplaceRecords,
    ReplicaProgress,
    ReplicaSet,
    ReplicaState,
    Reply,
    most_complete,
)
from winchspan.replication.stream import (
    CHUNK_BYTES,
    CHUNK_INTERVAL_MS,
    FRAME_BYTES,
    SLOW_AFTER_MS,
    TAIL_BYTES,
    ReplicationStream,
)

OWNER = "o"

ReplicaReply = ReplicaAcknowledged | ReplicaBehind | EpochSuperseded


@dataclass
class StoredReplica:
    """A replica on disk."""

    epoch: int
    last_index: int
    records: list[bytes]


@dataclass
class ReplicaNode:
    """A node with a disk, which may lose its last records or all records."""

    name: str
    replica_set: ReplicaSet = field(default_factory=ReplicaSet)
    disk: dict[str, StoredReplica] = field(default_factory=dict)
    promised_epochs: dict[str, int] = field(default_factory=dict)

    def receive(self, message: ReplicateRecords | SnapshotChunk) -> list[ReplicaReply]:
        if isinstance(message, ReplicateRecords):
            return self.execute(self.replica_set.handle_records(message))
        return self.execute(self.replica_set.handle_snapshot_chunk(message))

    def execute(self, actions: list[Action]) -> list[ReplicaReply]:
        replies = []
        for action in actions:
            match action:
                case AppendRecords(owner, epoch, first_index, records):
                    stored = self.disk[owner]
                    assert stored.epoch == epoch, "records follow those of their own epoch"
                    assert stored.last_index + 1 == first_index, "records follow without a gap"
                    stored.last_index = first_index + len(records) - 1
                    stored.records = stored.records + list(records)
                case ReplaceRecords(owner, epoch, last_index, records):
                    self.disk[owner] = StoredReplica(epoch, last_index, list(records))
                case PersistEpoch(owner, epoch):
                    assert epoch > self.promised_epochs.get(owner, 0)
                    self.promised_epochs[owner] = epoch
                case Reply(message):
                    replies.append(message)
        return replies

    def restart(self, lost_count: int = 0) -> None:
        """Restart without the last records."""
        for stored in self.disk.values():
            torn_count = min(lost_count, len(stored.records))
            stored.last_index -= torn_count
            stored.records = stored.records[: len(stored.records) - torn_count]
        self.replica_set = ReplicaSet(
            {owner: self._recovered_state(owner, epoch) for owner, epoch in self.promised_epochs.items()}
        )

    def restart_without_data_directory(self) -> None:
        self.disk.clear()
        self.promised_epochs.clear()
        self.restart()

    def _recovered_state(self, owner: str, promised_epoch: int) -> ReplicaState:
        stored = self.disk.get(owner)
        if stored is None:
            return ReplicaState(promised_epoch, 0, 0)
        return ReplicaState(promised_epoch, stored.epoch, stored.last_index)


class ReplicatedJournal:
    """One owner's journal and its replica nodes; messages may be lost as on broken connections."""

    def __init__(self, replica_count: int = 2, seed: int = 1, epoch: int = 1) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.nodes = {f"h{n}": ReplicaNode(f"h{n}") for n in range(replica_count)}
        self.stream = ReplicationStream(OWNER, epoch, self.nodes)
        self.records: list[bytes] = []
        self.disconnected: set[str] = set()

    def append(self, size_bytes: int = 20) -> int:
        data = b"%06d" % len(self.records) + self.rng.randbytes(size_bytes)
        self.records.append(data)
        return self.stream.append(self.now, data)

    def open_records(self) -> list[bytes]:
        return list(self.records)

    def replicate(self, elapsed_ms: float = 10.0, loss: float = 0.0) -> None:
        """Advance the clock, and exchange due messages; each message and reply is lost with a probability."""
        self.now += elapsed_ms
        for name, message in self.stream.messages_to_send(self.now, self.open_records):
            if name in self.disconnected or self.rng.random() < loss:
                continue
            for reply in self.nodes[name].receive(message):
                if self.rng.random() >= loss:
                    self.handle_reply(name, reply)

    def replicate_and_record(self, elapsed_ms: float) -> list[ReplicateRecords | SnapshotChunk]:
        """Advance the clock, exchange due messages without loss, and return the messages to replicas."""
        self.now += elapsed_ms
        sent = []
        for name, message in self.stream.messages_to_send(self.now, self.open_records):
            sent.append(message)
            for reply in self.nodes[name].receive(message):
                self.handle_reply(name, reply)
        return sent

    def handle_reply(self, name: str, reply: ReplicaReply) -> None:
        match reply:
            case ReplicaAcknowledged():
                self.stream.handle_acknowledged(self.now, name, reply)
            case ReplicaBehind():
                self.stream.handle_behind(self.now, name, reply)
            case EpochSuperseded():
                self.stream.is_superseded = True

    def replicate_until_acknowledged(self, max_passes: int = 400) -> None:
        for _ in range(max_passes):
            if not self.stream.unacknowledged_count:
                return
            self.replicate()
        raise AssertionError(f"{self.stream.unacknowledged_count} records are not acknowledged")

    def check_replicas(self) -> None:
        """Check that every replica has all acknowledged records as they were appended."""
        acknowledged_index = self.stream.acknowledged_index
        if acknowledged_index < 0:
            return
        for node in self.nodes.values():
            stored = node.disk[OWNER]
            assert stored.epoch == self.stream.epoch
            assert stored.last_index >= acknowledged_index
            assert stored.records == self.records[: stored.last_index]


def test_stream_acknowledges_a_record_only_once_every_replica_has_it():
    journal = ReplicatedJournal()
    journal.replicate_until_acknowledged()
    for _ in range(5):
        journal.append()
    assert journal.stream.acknowledged_index == 0
    assert journal.stream.unacknowledged_count == 5
    journal.now += 10.0
    outgoing = journal.stream.messages_to_send(journal.now, journal.open_records)
    assert [(name, len(message.items)) for name, message in outgoing] == [("h0", 5), ("h1", 5)]
    journal.handle_reply("h0", journal.nodes["h0"].receive(outgoing[0].message)[0])
    assert journal.stream.acknowledged_index == 0
    journal.handle_reply("h1", journal.nodes["h1"].receive(outgoing[1].message)[0])
    assert journal.stream.acknowledged_index == 5
    journal.check_replicas()


def test_stream_without_replicas_acknowledges_at_once_and_retains_nothing():
    stream = ReplicationStream(OWNER, 1, ())
    for index in range(1, 100):
        assert stream.append(0.0, b"x" * 1_000) == index == stream.acknowledged_index
    assert stream.messages_to_send(1e6, list) == []
    assert not stream._tail


@pytest.mark.parametrize("seed", range(30))
def test_stream_after_random_losses_brings_every_replica_up_to_date(seed: int):
    journal = ReplicatedJournal(seed=seed)
    for _ in range(300):
        if journal.rng.random() < 0.5:
            journal.append(journal.rng.choice([5, 50, 3_000]))
        event, name = journal.rng.random(), journal.rng.choice(list(journal.nodes))
        if event < 0.05:
            journal.nodes[name].restart(journal.rng.randint(0, 3))
        elif event < 0.07:
            journal.nodes[name].restart_without_data_directory()
        elif event < 0.1:
            journal.disconnected ^= {name}
        journal.replicate(journal.rng.uniform(1.0, 60.0), loss=0.1)
    journal.disconnected.clear()
    journal.replicate_until_acknowledged()
    journal.check_replicas()


def test_stream_after_a_torn_tail_sends_only_the_missing_records():
    journal = ReplicatedJournal(replica_count=1)
    journal.replicate_until_acknowledged()
    for _ in range(100):
        journal.append(1_000)
    journal.replicate_until_acknowledged()
    journal.nodes["h0"].restart(lost_count=2)
    journal.append()
    sent: list[ReplicateRecords | SnapshotChunk] = []
    for _ in range(50):
        sent += journal.replicate_and_record(20.0)
    assert sum(len(message.items) for message in sent) <= 5
    assert not any(isinstance(message, SnapshotChunk) for message in sent)
    journal.check_replicas()


def test_stream_sends_a_replica_that_lacks_more_than_the_tail_a_paced_snapshot():
    journal = ReplicatedJournal(replica_count=2)
    journal.replicate_until_acknowledged()
    journal.disconnected.add("h1")
    for _ in range(400):
        journal.append(2_000)
        journal.replicate()
    assert sum(len(record.data) for record in journal.stream._tail.values()) <= TAIL_BYTES
    assert "h1" in journal.stream.slow_replicas(journal.now)
    assert journal.stream.lag_ms(journal.now) > SLOW_AFTER_MS
    journal.disconnected.clear()
    started_at_ms = journal.now
    chunk_count = 0
    while journal.stream.unacknowledged_count:
        for message in journal.replicate_and_record(10.0):
            chunk_count += isinstance(message, SnapshotChunk)
            assert sum(map(len, message.items)) <= max(FRAME_BYTES, CHUNK_BYTES)
    assert chunk_count >= 20
    assert CHUNK_INTERVAL_MS == 50.0
    assert journal.now - started_at_ms >= (chunk_count - 1) * CHUNK_INTERVAL_MS
    journal.check_replicas()
    assert journal.stream.slow_replicas(journal.now) == []
    assert journal.stream.lag_ms(journal.now) == 0.0


def test_stream_sends_a_record_larger_than_a_frame_alone():
    journal = ReplicatedJournal(replica_count=1)
    journal.replicate_until_acknowledged()
    journal.append(10)
    journal.append(FRAME_BYTES + 5_000)
    journal.append(10)
    outgoing = journal.stream.messages_to_send(journal.now + 10.0, list)
    assert [len(message.items) for _, message in outgoing] == [1, 1, 1]
    journal.replicate_until_acknowledged()
    journal.check_replicas()


def test_replica_set_with_a_later_promised_epoch_rejects_the_old_owner_over_restarts():
    journal = ReplicatedJournal()
    journal.replicate_until_acknowledged()
    journal.append()
    journal.replicate_until_acknowledged()
    node = journal.nodes["h0"]
    actions, progress = node.replica_set.promise_epoch(OWNER, 7)
    node.execute(actions)
    assert progress == ReplicaProgress(1, 1, "")
    for _ in range(2):
        node.restart()
        journal.append()
        journal.replicate(200.0)
        assert journal.stream.is_superseded
        assert journal.stream.acknowledged_index == 1, "new records of the old owner are not acknowledged"
    assert journal.stream.messages_to_send(1e9, list) == []
    actions, progress = node.replica_set.promise_epoch(OWNER, 3)
    assert actions == []
    assert progress is None, "an older epoch is not promised"


def test_stream_after_a_change_of_replicas_waits_for_the_new_ones():
    journal = ReplicatedJournal(replica_count=2)
    journal.replicate_until_acknowledged()
    journal.disconnected.add("h1")
    journal.append()
    for _ in range(40):
        journal.replicate()
    assert journal.stream.slow_replicas(journal.now) == ["h1"]
    assert journal.stream.unacknowledged_count
    journal.nodes["h2"] = ReplicaNode("h2")
    journal.stream.set_replicas(journal.now, ["h0", "h2"])
    assert journal.stream.unacknowledged_count, "the new replica has nothing yet"
    del journal.nodes["h1"]
    journal.replicate_until_acknowledged()
    journal.check_replicas()
    journal.stream.set_replicas(journal.now, [])
    assert journal.stream.acknowledged_index == journal.stream.last_index


def test_most_complete_prefers_the_latest_epoch_then_the_greatest_index_then_the_least_name():
    assert most_complete([]) is None
    of_two_epochs = [ReplicaProgress(1, 90, "a"), ReplicaProgress(2, 3, "b"), ReplicaProgress(2, 5, "c")]
    assert most_complete(of_two_epochs) == ReplicaProgress(2, 5, "c")
    equally_complete = [ReplicaProgress(2, 5, "c"), ReplicaProgress(2, 5, "b")]
    assert most_complete(equally_complete) == ReplicaProgress(2, 5, "b")


def test_stream_ignores_acknowledgements_of_other_epochs_unknown_nodes_and_future_records():
    journal = ReplicatedJournal(replica_count=1)
    journal.replicate_until_acknowledged()
    journal.append()
    stream = journal.stream
    assert not stream.handle_acknowledged(0.0, "h0", ReplicaAcknowledged(OWNER, 2, 1))
    assert not stream.handle_acknowledged(0.0, "h9", ReplicaAcknowledged(OWNER, 1, 1))
    assert not stream.handle_acknowledged(0.0, "h0", ReplicaAcknowledged(OWNER, 1, 99))
    assert stream.acknowledged_index == 0
