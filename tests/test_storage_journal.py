"""The journal: recovery after crashes at any disk call, full disks, and the limit of its directory."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.disks import FillingDisk, KillingDisk, ProcessKilled
from winchspan.runtime.system import Disk
from winchspan.storage.errors import JournalFullError
from winchspan.storage.journal import Journal
from winchspan.storage.journal_records import JournalEntry, OutageRecorded
from winchspan.storage.journal_state import MAX_OUTAGES

LIMIT = 1_000_000
FILE = "messages.journal"


def accept(journal: Journal, name: str, body: bytes = b"body", key: int | None = 5) -> int:
    return journal.accept(name, "order", key, 7, 1_700_000_005_000.0, "f00d", body)


def reopen(journal: Journal, folder: Path, limit: int = LIMIT) -> Journal:
    journal.close()
    return Journal(folder, limit)


def entries(journal: Journal) -> dict[str, JournalEntry]:
    return {entry.id: entry for entry in journal.open_messages}


def test_journal_in_empty_directory_has_no_messages(tmp_path: Path):
    assert list(Journal(tmp_path, LIMIT).open_messages) == []


def test_journal_after_restart_holds_what_was_recorded(tmp_path: Path):
    journal = Journal(tmp_path, LIMIT)
    a, b, c, d = (accept(journal, name, b"\x00\n\xff" + name.encode()) for name in "abcd")
    journal.record_attempt_started([a, b], "s-1", "z", 100.0)
    journal.record_attempt_ended([a], may_have_executed=True)
    journal.record_attempt_started([a], "s-2", "y", 200.0)
    journal.record_attempt_ended([a], may_have_executed=False)
    journal.record_notification_pending(c, "returned", 500)
    journal.record_completed([d])
    for _ in range(2):  # the second time from a compacted file
        journal = reopen(journal, tmp_path)
        found = entries(journal)
        assert list(found) == ["a", "b", "c"]
        assert (
            found["a"].body == b"\x00\n\xffa" and found["a"].idempotency_key == "f00d" and found["a"].key == 5
        )
        a_now, b_now = found["a"], found["b"]
        assert (
            a_now.attempt_count,
            a_now.first_executed_at_ms,
            a_now.first_executed_zone,
            a_now.in_flight_since_ms,
        ) == (2, 100.0, "z", None)
        assert (b_now.attempt_count, b_now.in_flight_since_ms, b_now.first_executed_at_ms) == (1, 100.0, None)
        assert (found["c"].pending_notification, found["c"].retry_after_ms) == ("returned", 500)
    assert accept(journal, "e") > c


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.integers(0, 400), st.integers(0, 255))
def test_recovery_of_torn_or_corrupt_tail_keeps_what_precedes_it(
    tmp_path_factory: pytest.TempPathFactory, cut: int, byte: int
):
    folder = tmp_path_factory.mktemp("journal")
    journal = Journal(folder, LIMIT)
    accept(journal, "first")
    first_bytes = (folder / FILE).stat().st_size
    accept(journal, "second")
    journal.close()
    data = (folder / FILE).read_bytes()
    cut = first_bytes + cut % (len(data) - first_bytes)
    broken = bytearray(data[: cut + 1])
    broken[cut] ^= byte
    (folder / FILE).write_bytes(broken)
    journal = Journal(folder, LIMIT)
    assert next(iter(entries(journal))) == "first"
    accept(journal, "third")
    assert list(entries(reopen(journal, folder)))[-1] == "third"


def test_files_under_any_load_stay_within_limit(tmp_path: Path):
    limit_bytes = 200_000
    most_bytes = 0

    class WatchingDisk(Disk):
        def remove(self, path: Path) -> None:
            nonlocal most_bytes
            most_bytes = max(most_bytes, sum(-(-p.stat().st_size // 512) * 512 for p in tmp_path.iterdir()))
            super().remove(path)

    journal = Journal(tmp_path, limit_bytes, WatchingDisk())
    open_numbers: list[int] = []
    rejected_count = 0
    for i in range(2_000):
        try:
            open_numbers.append(accept(journal, f"m{i}", b"x" * 3_000))
            assert journal.record_attempt_started(open_numbers[-1:], "s-1", "zone", 1.0)
        except JournalFullError:
            rejected_count += 1
            assert open_numbers
            journal.record_completed([open_numbers.pop(0)])
        most_bytes = max(most_bytes, sum(-(-p.stat().st_size // 512) * 512 for p in tmp_path.iterdir()))
    assert rejected_count and most_bytes <= limit_bytes and len(open_numbers) > 15
    assert [e.number for e in reopen(journal, tmp_path, limit_bytes).open_messages] == open_numbers


def test_accept_on_full_disk_is_rejected_and_leaves_no_partial_record(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
):
    journal = Journal(tmp_path, LIMIT)
    accept(journal, "a")
    real = __import__("os").write

    def full(fd: int, data: bytes) -> int:
        if len(data) > 20:
            return int(real(fd, bytes(data[:20])))
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("winchspan.runtime.system.os.write", full)
    with pytest.raises(JournalFullError):
        accept(journal, "b", b"x" * 50)
    monkeypatch.undo()
    accept(journal, "c")
    assert list(entries(reopen(journal, tmp_path))) == ["a", "c"]


def test_backlog_of_full_disk_is_written_once_there_is_capacity(tmp_path: Path):
    disk, behind = FillingDisk(), list[int]()
    journal = Journal(tmp_path, LIMIT, disk)
    journal.on_backlog = lambda: behind.append(1)
    numbers = [journal.accept(f"m{n}", "safe", None, 1, 1e12, "", b"x") for n in range(4)]
    journal.record_attempt_started(numbers[:3], "s-1", "a", 5.0)
    disk.is_full = True
    journal.record_completed(numbers[:1])
    journal.record_attempt_ended(numbers[1:2], may_have_executed=True)
    journal.record_notification_pending(numbers[2], "failed", 0)
    assert behind and not journal.flush_backlog()
    assert not journal.record_attempt_started(numbers[3:], "s-1", "a", 6.0), (
        "an attempt must not start without a record"
    )
    with pytest.raises(JournalFullError):
        journal.accept("m9", "safe", None, 1, 1e12, "", b"x")
    disk.is_full = False
    assert journal.flush_backlog()
    journal.close_without_flush()
    reopened_entries = {e.id: e for e in Journal(tmp_path, LIMIT).open_messages}
    assert set(reopened_entries) == {"m1", "m2", "m3"}
    assert (reopened_entries["m1"].in_flight_since_ms, reopened_entries["m1"].first_executed_at_ms) == (
        None,
        5.0,
    ) and reopened_entries["m2"].pending_notification == "failed"


def test_backlog_is_dropped_by_compaction_that_covers_it(tmp_path: Path):
    disk = FillingDisk()
    journal = Journal(tmp_path, LIMIT, disk)
    numbers = [journal.accept(f"m{n}", "safe", None, 1, 1e12, "", bytes(2_000)) for n in range(60)]
    disk.is_full = True
    journal.record_completed(numbers[:58])
    disk.is_full = False
    assert journal.flush_backlog()
    journal.accept("last", "safe", None, 1, 1e12, "", b"x")
    journal.close()
    assert [e.id for e in Journal(tmp_path, LIMIT).open_messages] == ["m58", "m59", "last"]


def test_journal_killed_at_any_disk_call_holds_what_it_had_accepted(tmp_path: Path):
    compacted_count = 0
    for at in range(1, 400):
        folder = tmp_path / str(at)
        folder.mkdir()
        disk, recorded, uncertain = KillingDisk(at), set[str](), set[str]()
        try:
            journal = Journal(folder, LIMIT, disk)
            for n in range(60):  # most are completed at once: the file is compacted every few dozen
                uncertain = {f"m{n}"}
                number = accept(journal, f"m{n}", bytes(4_000))
                recorded, uncertain = recorded | uncertain, set()
                if n % 7:
                    recorded, uncertain = recorded - {f"m{n}"}, {f"m{n}"}
                    journal.record_completed([number])
                    uncertain = set()
            journal.close()
        except ProcessKilled:
            for fd in disk.descriptors:
                with contextlib.suppress(OSError):
                    os.close(fd)
        reopened = Journal(folder, LIMIT)
        assert recorded <= set(entries(reopened)) <= recorded | uncertain
        assert len(list(folder.iterdir())) == 1, "the replaced file is removed"
        compacted_count += not (folder / FILE).exists()
        reopened.close()
        if disk.calls_left > 0:
            break
    assert disk.calls_left > 0 and compacted_count > 20


def test_recovery_of_corrupt_compacted_file_reads_up_to_corruption(tmp_path: Path):
    journal = Journal(tmp_path, LIMIT)
    for name in "abc":
        accept(journal, name, bytes(1_000))
    journal.record_completed([2])
    reopen(journal, tmp_path).close()
    (path,) = tmp_path.iterdir()
    assert path.name != FILE
    data = bytearray(path.read_bytes())
    data[-900] ^= 1  # in the record of the last open message
    path.write_bytes(data)
    (tmp_path / FILE).write_bytes(b"")  # the next compaction had just begun
    assert list(entries(Journal(tmp_path, LIMIT))) == ["a"]


def test_recovery_reads_file_of_earlier_version_and_removes_its_partial_file(tmp_path: Path):
    journal = Journal(tmp_path, LIMIT)
    accept(journal, "a")
    journal.close()
    (tmp_path / (FILE + ".new")).write_bytes(b"half")
    assert list(entries(Journal(tmp_path, LIMIT))) == ["a"]
    assert [path.name for path in tmp_path.iterdir()] == [FILE]


def test_outages_after_restart_and_compaction_are_those_in_progress(tmp_path: Path):
    """Guards against treating a destination as healthy after a crash during its outage."""
    journal = Journal(tmp_path, LIMIT)
    for destination in (3, 4, 5):
        journal.record_outage(OutageRecorded(destination, "outage", 1_000.0, 0.25))
    journal.record_outage(OutageRecorded(4, "slow start", 2_000.0, 0.5))
    journal.record_outage(OutageRecorded(5, "healthy", 2_500.0, 0.25))
    expected = [OutageRecorded(3, "outage", 1_000.0, 0.25), OutageRecorded(4, "slow start", 2_000.0, 0.5)]
    for _ in range(2):
        journal.close()
        journal = Journal(tmp_path, LIMIT)
        assert journal.outages == expected
        journal._compact(allow_growth=True)
    journal.close()


def test_outages_of_very_many_destinations_are_bounded(tmp_path: Path):
    journal = Journal(tmp_path, LIMIT)
    for destination in range(2 * MAX_OUTAGES):
        journal.record_outage(OutageRecorded(destination, "outage", 1_000.0, 0.25))
    assert [record.destination for record in journal.outages] == list(range(MAX_OUTAGES, 2 * MAX_OUTAGES))
    journal.close()
