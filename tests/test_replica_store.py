"""Replicas on disk: torn at each byte, compacted, on a full disk, and with invalid records."""

from __future__ import annotations

import os
import random
from dataclasses import replace
from pathlib import Path

import pytest

from tests.disks import BoundedDisk
from winchspan.replication.replica_set import AppendRecords, PersistEpoch, ReplaceRecords
from winchspan.replication.replica_store import InvalidRecordsError, Replica, ReplicaStore
from winchspan.runtime.system import Disk
from winchspan.storage.errors import JournalFullError
from winchspan.storage.journal import Journal
from winchspan.storage.journal_records import MessageAccepted
from winchspan.storage.message_log import MessageLog
from winchspan.storage.record_file import encode_record, file_header, iterate_records

LIMIT = 1 << 20


class OwnerJournal(Journal):
    """An owner's journal that also collects its written records."""

    def __init__(self, directory: Path) -> None:
        super().__init__(directory, LIMIT)
        self.written: list[bytes] = []
        self.on_records_written = self.written.append

    def accept_one(self, number: int, body: bytes = b"body") -> int:
        return self.accept(f"{number:016x}", "order-payment", number % 3, 7, 1e12, "token", body)

    def message_records(self) -> tuple[bytes, ...]:
        return tuple(MessageAccepted(entry).encode() for entry in self.open_messages)


@pytest.fixture
def owner(tmp_path: Path) -> OwnerJournal:
    (tmp_path / "owner").mkdir()
    return OwnerJournal(tmp_path / "owner")


def open_replica(tmp_path: Path, disk: Disk | None = None) -> Replica:
    (tmp_path / "replica").mkdir(exist_ok=True)
    return Replica(tmp_path / "replica", LIMIT, disk or Disk())


def fill(owner: OwnerJournal) -> None:
    """Accept some messages, and record attempts, a completion and an owed notification."""
    numbers = [owner.accept_one(n) for n in range(6)]
    assert owner.record_attempt_started(numbers[:3], "s-1", "a", 1e11)
    owner.record_attempt_ended(numbers[:1], True)
    owner.record_completed(numbers[1:2])
    owner.record_notification_pending(numbers[3], "returned", 500)


def holds_same_messages(replica: MessageLog, owner: MessageLog) -> bool:
    """Return whether two logs have the same open messages."""

    def rows(log: MessageLog) -> list[tuple[object, ...]]:
        return [
            (
                e.number,
                e.id,
                e.attempt_count,
                e.in_flight_since_ms,
                e.first_executed_at_ms,
                e.pending_notification,
                e.body,
            )
            for e in log.open_messages
        ]

    return rows(replica) == rows(owner)


def test_replica_torn_at_any_byte_continues_from_there(tmp_path: Path, owner: OwnerJournal):
    replica = open_replica(tmp_path)
    assert replica.replace(3, 0, ())
    fill(owner)
    items = tuple(owner.written)
    assert replica.append(3, 1, items)
    assert replica.last_index == len(items)
    assert holds_same_messages(replica, owner)
    replica.close_without_flush()
    path = next(p for p in (tmp_path / "replica").iterdir() if p.stat().st_size)
    data = path.read_bytes()
    contents_start = data.index(items[0])
    for cut in range(contents_start, len(data) + 1):
        for other in (tmp_path / "replica").iterdir():
            other.unlink()
        path.write_bytes(data[:cut])
        reopened = open_replica(tmp_path)
        ends = [contents_start + sum(map(len, items[:n])) for n in range(1, len(items) + 1)]
        complete_count = sum(end <= cut for end in ends)
        assert (reopened.epoch, reopened.last_index) == (3, complete_count)
        assert reopened.append(3, complete_count + 1, items[complete_count:]) or complete_count == len(items)
        assert holds_same_messages(reopened, owner)
        reopened.close_without_flush()


def test_replica_after_compaction_keeps_its_sequence_and_epochs(tmp_path: Path, owner: OwnerJournal):
    replica = open_replica(tmp_path)
    replica.replace(3, 0, ())
    assert replica.persist_epoch(5)
    last_index = 0
    for n in range(800):
        owner.record_completed([owner.accept_one(n, b"x" * 300)])
        items = tuple(owner.written)
        owner.written.clear()
        assert replica.append(3, last_index + 1, items)
        last_index += len(items)
    fill(owner)
    assert replica.append(3, last_index + 1, tuple(owner.written))
    size = sum(p.stat().st_size for p in (tmp_path / "replica").iterdir())
    assert size < 200_000 < 800 * 400 and holds_same_messages(replica, owner)
    replica.close_without_flush()
    reopened = open_replica(tmp_path)
    assert (reopened.epoch, reopened.promised_epoch) == (3, 5)
    assert reopened.last_index == last_index + len(owner.written)
    assert holds_same_messages(reopened, owner)


def test_replica_on_full_disk_rejects_and_is_unchanged(tmp_path: Path, owner: OwnerJournal):
    disk = BoundedDisk()
    replica = open_replica(tmp_path, disk)
    replica.replace(3, 0, ())
    fill(owner)
    items = tuple(owner.written)
    disk.free_bytes = len(items[0]) + 10
    assert not replica.append(3, 1, items) and replica.last_index == 0 and not list(replica.open_messages)
    assert not replica.replace(4, 9, owner.message_records())
    assert (replica.epoch, replica.last_index) == (3, 0)
    disk.free_bytes = 1 << 30
    assert replica.append(3, 1, items) and holds_same_messages(replica, owner)
    disk.free_bytes = 0
    assert not replica.persist_epoch(9)
    assert replica.promised_epoch == 0
    assert not replica.replace(4, 9, ())
    assert holds_same_messages(replica, owner)


def test_replica_given_invalid_records_rejects_all_of_them(tmp_path: Path, owner: OwnerJournal):
    replica = open_replica(tmp_path)
    replica.replace(3, 0, ())
    owner.accept_one(1)
    good = owner.written[-1]
    for bad in (
        b"",
        b"x",
        good[:-1],
        good + b"y",
        good + good,
        encode_record({"t": "copy", "e": 9, "n": 99}),
        encode_record({"t": "promise", "e": 99}),
        file_header(7),
        encode_record({"no": 1}),
        encode_record({"t": "taken", "n": 7}),  # a known kind with missing fields
        encode_record({"t": "classes", "v": "x", "rows": 3}),
    ):
        with pytest.raises(InvalidRecordsError):
            replica.append(3, 1, (good, bad))
        with pytest.raises(InvalidRecordsError):
            replica.replace(3, 5, (good, bad))
        assert replica.last_index == 0 and not list(replica.open_messages)


def test_replica_store_after_restart_finds_replicas_and_rejects_unsafe_names(
    tmp_path: Path, owner: OwnerJournal
):
    fill(owner)
    store = ReplicaStore(tmp_path / "replicas", LIMIT, Disk())
    for action in (
        PersistEpoch("n1", 4),
        ReplaceRecords("n1", 4, 7, owner.message_records()),
        PersistEpoch("n2", 1),
        ReplaceRecords("n2", 1, 0, ()),
    ):
        assert store.persist(action)
    assert store.persist(AppendRecords("n2", 1, 1, tuple(owner.written)))
    for name in ("", "../x", "a/b", "x" * 65, "."):
        with pytest.raises(InvalidRecordsError):
            store.persist(PersistEpoch(name, 1))
    store.close()
    (tmp_path / "replicas" / "stray").write_text("")
    reopened = ReplicaStore(tmp_path / "replicas", LIMIT, Disk())
    found = reopened.replica_states()
    assert set(found) == {"n1", "n2"} and (found["n1"].promised_epoch, found["n1"].last_index) == (4, 7)
    assert [e.id for e in reopened.open_messages("n1")] == [e.id for e in owner.open_messages]
    assert len(reopened.open_messages("n2")) == 5 and reopened.open_messages("n3") == []
    reopened.remove("n1")
    assert not (tmp_path / "replicas" / "n1").exists() and reopened.replica("n1") is None
    assert os.listdir(tmp_path / "replicas" / "n2")
    reopened.close()


class ReplicatedOwner:
    """An owner's journal whose records are appended to a replica with a quota of its own."""

    def __init__(self, tmp_path: Path, replica_limit_bytes: int) -> None:
        for name in ("journal", "copy"):
            (tmp_path / name).mkdir()
        self.journal = OwnerJournal(tmp_path / "journal")
        self.journal.limit_to_replicas(replica_limit_bytes)
        self.replica = Replica(tmp_path / "copy", replica_limit_bytes, Disk())
        assert self.replica.replace(1, 0, ())

    def replicate(self) -> bool:
        """Append all new records to the replica; return False if there is no capacity."""
        data = b"".join(self.journal.written)
        self.journal.written.clear()
        items = []
        for _, _, size_bytes in iterate_records(data):
            items.append(data[:size_bytes])
            data = data[size_bytes:]
        return all(self.replica.append(1, self.replica.last_index + 1, (item,)) for item in items)


# Guards against a replica that new messages fill to the last byte: no record by which one of them ends could
# be added then, no message of the fleet ended any more, and no compaction freed a byte (review, case 6).
@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("body_bytes", [0, 200, 8_192, 40_000])
def test_replica_has_capacity_for_all_records_until_each_accepted_message_ends(
    tmp_path: Path, body_bytes: int, seed: int
):
    rng = random.Random(seed)
    owner = ReplicatedOwner(tmp_path, 200_000)
    numbers: list[int] = []
    accepted_count = 0
    for step in range(1_500):
        try:
            numbers.append(owner.journal.accept_one(step, rng.randbytes(body_bytes)))
            accepted_count += 1
        except JournalFullError:
            batch = rng.sample(numbers, min(len(numbers), rng.randint(1, 10)))
            assert owner.journal.record_attempt_started(batch, "s-1" * 8, "zone-a", 1e12 + step)
            owner.journal.record_attempt_ended(batch, may_have_executed=rng.random() < 0.5)
            taken_over = replace(owner.journal.open_messages[0], in_flight_since_ms=None, number=0)
            if rng.random() < 0.2 and (number := owner.journal.take_over(taken_over, "n9", step)):
                numbers.append(number)
        assert owner.replicate(), step
        if numbers and rng.random() < 0.1:
            ended = numbers.pop(rng.randrange(len(numbers)))
            owner.journal.record_notification_pending(ended, "returned", 500, {"tries": ["x" * 300]})
            owner.journal.record_completed([ended])
            assert owner.replicate(), step
    for number in numbers:
        assert owner.journal.record_attempt_started([number], "s-1" * 8, "zone-a", 2e12)
        owner.journal.record_notification_pending(number, "failed", 0)
        assert owner.replicate()
    owner.journal.record_completed(numbers)
    assert owner.replicate() and not owner.replica.open_messages
    assert accepted_count > 4


# Guards against a replica that an earlier version has filled: a snapshot of its owner had no room beside it.
def test_replica_that_is_full_takes_a_snapshot_and_keeps_its_promise(tmp_path: Path, owner: OwnerJournal):
    (tmp_path / "replica").mkdir()
    replica = Replica(tmp_path / "replica", 100_000, Disk())
    assert replica.replace(3, 0, ()) and replica.persist_epoch(4)
    index = 0
    while not replica.is_out_of_capacity:
        owner.accept_one(index, b"x" * 2_000)
        index += replica.append(3, index + 1, (owner.message_records()[-1],))
    kept = owner.message_records()[-5:]
    assert not replica.replace(4, index, owner.message_records() * 2)
    assert (replica.epoch, replica.last_index) == (3, index), "it does not fit: nothing is discarded"
    assert replica.replace(4, index, kept)
    assert len(replica.open_messages) == len(kept) and replica.promised_epoch == 4
    assert sum(path.stat().st_size for path in (tmp_path / "replica").iterdir()) <= 100_000
    replica.close_without_flush()
    reopened = Replica(tmp_path / "replica", 100_000, Disk())
    assert (reopened.epoch, reopened.last_index, reopened.promised_epoch) == (4, index, 4)


# Guards against replicas that each have the quota of all of them after a restart.
def test_replica_store_after_restart_divides_its_quota_among_the_owners(tmp_path: Path, owner: OwnerJournal):
    store = ReplicaStore(tmp_path / "replicas", 100_000, Disk(), 2)
    assert store.persist(ReplaceRecords("n0", 1, 0, ()))
    store.close()
    reopened = ReplicaStore(tmp_path / "replicas", 100_000, Disk(), 2)
    index = 0
    while index < 100:
        owner.accept_one(index, b"x" * 2_000)
        if not reopened.persist(AppendRecords("n0", 1, index + 1, (owner.message_records()[-1],))):
            break
        index += 1
    assert 15 < index < 25


# Guards against a replica that drops the classes of its owner's next messages: tables of other couriers, that
# a takeover has recorded, counted as the ones in force.
def test_replica_after_a_takeover_by_its_owner_keeps_the_owners_classes(tmp_path: Path, owner: OwnerJournal):
    owner.record_classes([{"name": "order-payment", "effect": "own"}])
    own_table = owner.current_class_table
    foreign_table = owner.import_class_table([{"name": "order-payment", "effect": "foreign"}])
    assert owner.import_class_table([{"name": "order-payment", "effect": "foreign"}]) == foreign_table
    replica = open_replica(tmp_path)
    assert replica.replace(3, 0, tuple(owner.snapshot_records()))
    owner.written.clear()
    assert owner.current_class_table == own_table
    owner.accept_one(1)
    assert replica.append(3, 1, tuple(owner.written))
    (entry,) = replica.open_messages
    assert replica.class_tables[entry.class_table] == [{"name": "order-payment", "effect": "own"}]


# Guards against growth that is reserved for messages that have had their final answer: a takeover that could
# give all messages theirs waited for room.
def test_completed_messages_need_no_capacity_for_attempts(owner: OwnerJournal):
    capacity_bytes = owner.taken_over_capacity_bytes()
    number = owner.accept_one(1)
    accepted_bytes = capacity_bytes - owner.taken_over_capacity_bytes()
    owner.record_notification_pending(number, "returned", 500)
    completed_bytes = capacity_bytes - owner.taken_over_capacity_bytes()
    assert 0 < completed_bytes < accepted_bytes - 200
    owner.record_completed([number])
    assert owner.taken_over_capacity_bytes() == capacity_bytes
