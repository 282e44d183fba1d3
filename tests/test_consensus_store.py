"""Tests of the consensus store: crashes at any disk call, full disks, limits and other members' files."""

from __future__ import annotations

import contextlib
import os
from dataclasses import replace
from pathlib import Path

import pytest

from tests.disks import FillingDisk, KillingDisk, ProcessKilled
from winchspan.consensus.messages import EntryKind, LogEntry, PersistentState, PersistState, Snapshot
from winchspan.consensus.rollback_detection import RollbackDetector, StoreProgress
from winchspan.consensus.store import ConsensusStore, ConsensusStoreError, apply_persist_state

MEMBERS = frozenset({"n0#1", "n1#2"})


def commands(count: int) -> list[PersistState]:
    """Return commands with terms, votes, entries, truncated entries and snapshots."""
    found = []
    for n in range(1, count + 1):
        kind = EntryKind.MEMBERS if n % 10 == 1 else EntryKind.COMMAND
        entry = LogEntry(n, n, kind, b"\x00\n" * 200, MEMBERS if kind is EntryKind.MEMBERS else frozenset())
        if n % 7 == 0:
            found.append(PersistState(n, "n1#2", n, (entry,)))  # replaces an entry
        elif n % 11 == 0:
            found.append(PersistState(n, "", 0, (entry,)))
            found.append(PersistState(n, "", 0, (), Snapshot(n, n, MEMBERS, b"state")))
        else:
            found.append(PersistState(n, "n0#1" if n % 2 else "", 0, (entry,)))
    return found


def test_store_after_restart_holds_what_was_persisted(tmp_path: Path):
    store, expected = ConsensusStore(tmp_path, "n0", 77), PersistentState()
    for command in commands(300):
        assert store.persist(command)
        expected = apply_persist_state(expected, command)
    assert store.state == expected and store.member_id == "n0#4d"
    store.close()
    again = ConsensusStore(tmp_path, "n0", 99)
    assert (again.state, again.instance_id) == (expected, 77), (
        "the instance ID identifies the directory, not the process"
    )
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) < 120_000
    again.close()


def test_store_killed_at_any_disk_call_holds_what_it_had_persisted(tmp_path: Path):
    seen = set[str]()
    for at in range(1, 1_000):
        folder = tmp_path / str(at)
        folder.mkdir()
        disk, persisted, in_doubt = KillingDisk(at), PersistentState(), list[PersistentState]()
        try:
            store = ConsensusStore(folder, "n0", 5, disk)
            for command in commands(90):
                in_doubt = [apply_persist_state(persisted, command)]
                assert store.persist(command)
                persisted, in_doubt = in_doubt[0], []
        except ProcessKilled:
            for fd in disk.descriptors:
                with contextlib.suppress(OSError):
                    os.close(fd)
        again = ConsensusStore(folder, "n0", 6)
        assert again.state in [persisted, *in_doubt]
        assert again.instance_id == 5 or persisted == PersistentState()
        seen |= {path.name for path in folder.iterdir()}
        again.close()
        if disk.calls_left > 0:
            break
    assert disk.calls_left > 0 and seen == {"agreement.log", "agreement.log.2"}


def test_persist_on_full_disk_becomes_backlog_that_is_written_first(tmp_path: Path):
    disk = FillingDisk()
    store = ConsensusStore(tmp_path, "n0", 5, disk)
    persist_commands = commands(6)
    assert store.persist(persist_commands[0])
    disk.is_full = True
    assert (
        not store.persist(persist_commands[1])
        and not store.persist(persist_commands[2])
        and store.has_backlog
    )
    assert store.state == apply_persist_state(PersistentState(), persist_commands[0])
    disk.is_full = False
    assert store.persist(persist_commands[3]) and not store.has_backlog
    store.close()
    expected = PersistentState()
    for command in persist_commands[:4]:
        expected = apply_persist_state(expected, command)
    assert ConsensusStore(tmp_path, "n0", 6).state == expected


def test_persist_over_limit_is_rejected_and_keeps_the_log(tmp_path: Path):
    store = ConsensusStore(tmp_path, "n0", 5, limit_bytes=40_000)
    index = 0
    while store.persist(PersistState(1, "", 0, (LogEntry(index + 1, 1, EntryKind.COMMAND, bytes(1_000)),))):
        index += 1
    assert store.has_backlog and 5 < index < 20
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) <= 40_000
    store.close()
    assert len(ConsensusStore(tmp_path, "n0", 5).state.entries) == index


def test_directory_of_another_member_is_rejected_and_empty_one_is_a_new_member(tmp_path: Path):
    ConsensusStore(tmp_path, "n1", 5).close()
    with pytest.raises(ConsensusStoreError, match="is the data directory of 'n1', not of 'n0'"):
        ConsensusStore(tmp_path, "n0", 6)
    (tmp_path / "empty").mkdir()
    assert (
        ConsensusStore(tmp_path / "empty", "n1", 6).member_id != ConsensusStore(tmp_path, "n1", 7).member_id
    )


def test_rollback_detector_names_what_a_directory_has_lost(tmp_path: Path):
    start_counts = []
    for _ in range(3):
        store = ConsensusStore(tmp_path, "n0", 5)
        start_counts.append(store.start_count)
        for command in commands(90):
            assert store.persist(command)
        store.close()
    assert start_counts == [1, 2, 3]
    reported = StoreProgress(start=3, life=8, term=6, commit=40, last=44)
    detector = RollbackDetector()
    assert detector.record_progress("n0", "n0#5", reported) == "" and not detector.is_rolled_back("n0")
    for progress, missing in (
        (replace(reported, start=2), "start 2 of 3"),
        (replace(reported, life=9), "start 3 of 3"),
        (replace(reported, start=4, life=9, term=5), "term 5 of 6"),
        (replace(reported, start=4, life=9, last=39, commit=30), "entry 39 of 40"),
    ):
        assert detector.record_progress("n0", "n0#5", progress) == missing and detector.is_rolled_back("n0")
    assert (
        detector.record_progress("n0", "n0#5", replace(reported, start=4, life=9, commit=0, last=40)) == ""
    ), "a plain restart is no rollback"
    assert detector.known_progress("n0") == (
        "n0#5",
        StoreProgress(4, 9, 6, 40, 40),
    ) and not detector.is_rolled_back("n0")
    assert detector.record_progress("n0", "n0#6", StoreProgress(1, 10, 0, 0, 0)) == "", (
        "an empty directory is another member"
    )
    assert detector.record_progress("n0", "n0#6", StoreProgress(0, 11, 0, 0, 0)) == "", (
        "an earlier version, which sends no report"
    )


def test_start_on_full_disk_is_backlog_until_there_is_capacity(tmp_path: Path):
    disk = FillingDisk()
    store = ConsensusStore(tmp_path, "n0", 5, disk)
    store.close()
    disk.is_full = True
    again = ConsensusStore(tmp_path, "n0", 5, disk)
    assert again.has_backlog and again.start_count == 2 and not again.flush_backlog()
    disk.is_full = False
    assert again.flush_backlog() and not again.has_backlog
    again.close()
    store = ConsensusStore(tmp_path, "n0", 5)
    assert store.start_count == 3
    store.close()
