"""Two alternating record files: the order of disk calls, and the state after failed calls."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from tests.disks import FailingDisk, FillingDisk
from winchspan.runtime.system import Disk
from winchspan.storage.errors import RecordWriteError
from winchspan.storage.record_file import Record, completion_mark, encode_record, file_header
from winchspan.storage.rotating_file import RotatingRecordFile

FIRST = encode_record({"t": "a"}, b"body\n")
SECOND = encode_record({"t": "b"})


class RecordingDisk(Disk):
    """Records each call with the file's name or the number of bytes."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, str | int]] = []

    def open(self, path: Path, flags: int) -> int:
        kind = "create" if flags & os.O_TRUNC else "open"
        self.calls.append((kind, path.name))
        return super().open(path, flags)

    def write(self, fd: int, data: memoryview) -> int:
        self.calls.append(("write", len(data)))
        return super().write(fd, data)

    def truncate(self, fd: int, size: int) -> None:
        self.calls.append(("truncate", size))
        super().truncate(fd, size)

    def remove(self, path: Path) -> None:
        self.calls.append(("remove", path.name))
        super().remove(path)


def open_file(directory: Path, disk: Disk | None = None) -> tuple[RotatingRecordFile, list[Record]]:
    """Open the files of a directory and recover their records."""
    records: list[Record] = []

    def collect(record: Record) -> bool:
        records.append(record)
        return True

    file = RotatingRecordFile(
        directory / "log", directory / "log.2", disk or Disk(), obsolete=(directory / "log.new",)
    )
    assert file.recover(collect) == file.size_bytes
    return file, records


def test_rotating_file_calls_the_disk_in_a_fixed_order(tmp_path: Path):
    disk = RecordingDisk()
    file, _ = open_file(tmp_path, disk)
    file.append(FIRST)
    data = file.encode_replacement([SECOND])
    file.replace(data)
    assert disk.calls == [
        ("remove", "log.2"),
        ("remove", "log.new"),
        ("open", "log"),
        ("truncate", 0),
        ("write", len(FIRST)),
        ("create", "log.2"),
        ("write", len(data)),
        ("remove", "log"),
    ]
    assert (file.path.name, file.size_bytes) == ("log.2", len(data))
    file.close()


def test_replacement_is_framed_by_its_generation_and_survives_restart(tmp_path: Path):
    file, _ = open_file(tmp_path)
    for generation in (1, 2, 3):
        data = file.encode_replacement([FIRST])
        assert data == file_header(generation) + FIRST + completion_mark(generation)
        file.replace(data)
    file.append(SECOND)
    file.close()
    again, records = open_file(tmp_path)
    assert [record.line for record in records][1::2] == [b'{"t":"a"}', b'{"t":"b"}']
    assert records[1].body == b"body\n"
    assert again.path.name == "log.2"
    again.close()


def test_append_on_full_disk_raises_and_leaves_no_partial_record(tmp_path: Path):
    disk = FillingDisk()
    file, _ = open_file(tmp_path, disk)
    file.append(FIRST)
    disk.is_full = True
    with pytest.raises(RecordWriteError, match=r"log: .*No space left on device"):
        file.append(SECOND * 10)
    assert file.path.read_bytes() == FIRST
    disk.is_full = False
    file.append(SECOND)
    assert file.path.read_bytes() == FIRST + SECOND
    file.close()


def test_replace_on_full_disk_raises_and_keeps_the_current_file(tmp_path: Path):
    disk = FillingDisk()
    file, _ = open_file(tmp_path, disk)
    file.append(FIRST)
    disk.is_full = True
    with pytest.raises(RecordWriteError):
        file.replace(file.encode_replacement([SECOND]))
    assert [path.name for path in tmp_path.iterdir()] == ["log"]
    disk.is_full = False
    file.append(SECOND)
    assert file.path.read_bytes() == FIRST + SECOND
    file.close()


def test_recovery_that_rejects_a_record_cuts_the_file_before_it(tmp_path: Path):
    file, _ = open_file(tmp_path)
    file.append(FIRST + SECOND)
    file.close()
    again = RotatingRecordFile(tmp_path / "log", tmp_path / "log.2", Disk())
    assert again.recover(lambda record: record.line != b'{"t":"b"}') == len(FIRST)
    assert again.path.read_bytes() == FIRST
    again.close()


def test_close_may_be_called_twice(tmp_path: Path):
    file, _ = open_file(tmp_path)
    assert not file.is_closed
    file.close()
    file.close()
    assert file.is_closed


def test_append_after_failed_truncation_leaves_no_torn_record_in_between(tmp_path: Path):
    """Guards against appending after a partial record, where the next recovery truncates the file."""
    disk = FailingDisk()
    file, _ = open_file(tmp_path, disk)
    file.append(FIRST)
    disk.failing = {"write", "truncate"}
    for _ in range(2):
        with pytest.raises(RecordWriteError):
            file.append(SECOND)
    disk.failing = {"truncate"}
    with pytest.raises(RecordWriteError):
        file.append(SECOND)
    disk.failing = set()
    file.append(SECOND)
    file.close()
    _, records = open_file(tmp_path)
    assert [record.line for record in records] == [b'{"t":"a"}', b'{"t":"b"}']


def test_append_after_failed_removal_goes_to_the_file_that_the_next_start_reads(tmp_path: Path):
    """Guards against appending to the old file after a complete replacement: recovery removes it."""
    disk = FailingDisk()
    file, _ = open_file(tmp_path, disk)
    file.append(FIRST)
    disk.failing = {"remove"}
    file.replace(file.encode_replacement([FIRST]))
    file.append(SECOND)
    disk.failing = set()
    file.append(SECOND)
    assert sorted(path.name for path in tmp_path.iterdir()) == ["log.2"]
    file.close()
    _, records = open_file(tmp_path)
    assert [record.line for record in records][-2:] == [b'{"t":"b"}', b'{"t":"b"}']


def test_failed_replacement_that_cannot_be_removed_keeps_the_current_file(tmp_path: Path):
    disk = FailingDisk()
    file, _ = open_file(tmp_path, disk)
    file.append(FIRST)
    disk.failing = {"write", "remove"}
    with pytest.raises(RecordWriteError):
        file.replace(file.encode_replacement([FIRST]))
    disk.failing = set()
    file.append(SECOND)
    file.close()
    _, records = open_file(tmp_path)
    assert [record.line for record in records] == [b'{"t":"a"}', b'{"t":"b"}']


def test_recovery_on_a_failing_disk_reads_all_records_and_appends_once_it_works(tmp_path: Path):
    """A disk fault at the start must not end the process, as nothing has to be written yet."""
    file, _ = open_file(tmp_path)
    file.append(FIRST)
    file.close()
    (tmp_path / "log").write_bytes((tmp_path / "log").read_bytes() + SECOND[:5])
    (tmp_path / "log.2").write_bytes(b"")
    disk = FailingDisk()
    disk.failing = {"write", "truncate", "remove"}
    file, records = open_file(tmp_path, disk)
    assert [record.line for record in records] == [b'{"t":"a"}']
    with pytest.raises(RecordWriteError):
        file.append(SECOND)
    disk.failing = set()
    file.append(SECOND)
    file.close()
    _, records = open_file(tmp_path)
    assert [record.line for record in records] == [b'{"t":"a"}', b'{"t":"b"}']
