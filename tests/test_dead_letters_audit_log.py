"""The audit log: its hash chain, its bound, and the detection of tampering."""

from __future__ import annotations

import sqlite3
from pathlib import Path

import pytest

from winchspan.dead_letters.audit_log import AuditedAction
from winchspan.dead_letters.records import DeadLetterState
from winchspan.dead_letters.store import STORE_FILE_NAME, DeadLetterStore
from winchspan.dead_letters.store_eviction import StoreBounds

from .dead_letter_helpers import (
    BOUNDS,
    RedeliveringCourier,
    make_audited_store,
    make_dead_letter,
    run_command,
)


@pytest.mark.parametrize(
    "tampering",
    [
        "UPDATE trail SET who = 'operator-2' WHERE seq = 2",
        "DELETE FROM trail WHERE seq = 2",
        "UPDATE trail SET at = at + 1 WHERE seq = 1",
        "DELETE FROM trail WHERE seq = 1",
    ],
)
def test_audit_log_changed_or_deleted_entry_is_reported(tmp_path: Path, tampering: str):
    courier = RedeliveringCourier(tmp_path)
    for name in "abc":
        courier.archive_message(name)
    run_command(tmp_path, "hold", "1", "2", "3", "--why", "to be looked at")
    assert run_command(tmp_path, "trail").count("hold message") == 3
    with sqlite3.connect(courier.path) as db:
        db.execute(tampering)
    assert "the trail is broken at entry" in run_command(tmp_path, "trail", code=2)


def test_audit_log_beyond_its_bound_is_trimmed_with_a_trim_entry(tmp_path: Path):
    path = make_audited_store(tmp_path, 100)
    store = DeadLetterStore(path, BOUNDS, read_only=True)
    found = store.read_audit_log()
    assert 10 <= len(found.entries) <= 21 and found.entries[0].sequence == found.first_sequence > 70
    assert [entry.sequence for entry in found.entries] == list(
        range(found.first_sequence, found.first_sequence + len(found.entries))
    )
    assert sum(entry.action == "trim" for entry in found.entries) >= 1 and found.entries[-1].detail in (
        "act 99",
        "act 98",
    )
    assert [
        entry
        for n in range(found.first_sequence - 1, found.entries[-1].sequence, 4)
        for entry in store.read_audit_log(n, 4).entries
    ] == found.entries
    assert f"entries up to {found.first_sequence - 1} have been let go" in run_command(tmp_path, "trail")


def test_audit_log_command_on_the_file_trims_nothing(tmp_path: Path):
    store = DeadLetterStore(tmp_path / STORE_FILE_NAME, StoreBounds(audit_entry_count=10**6))
    store.add([make_dead_letter(n) for n in range(11_005)], 0.0, "operator-1", "a file")
    store.close()
    run_command(tmp_path, "hold", "1", "--why", "to be looked at")
    assert (
        DeadLetterStore(tmp_path / STORE_FILE_NAME, BOUNDS, read_only=True)
        .read_audit_log(0, 1)
        .first_sequence
        == 1
    )


@pytest.mark.parametrize(
    "tampering",
    [
        "DELETE FROM trail WHERE seq = (SELECT min(seq) FROM trail)",
        "UPDATE trail_start SET seq = seq + 1",
        "UPDATE trail_start SET hash = x'00'",
        # Deletes the first entries, and moves the start so that the hashes of the rest still match.
        "UPDATE trail_start SET (seq, hash) = (SELECT seq, hash FROM trail WHERE seq = trail_start.seq + 3);"
        "DELETE FROM trail WHERE seq <= (SELECT seq FROM trail_start)",
    ],
)
def test_audit_log_start_without_a_trim_entry_is_broken(tmp_path: Path, tampering: str):
    path = make_audited_store(tmp_path, 100)
    with sqlite3.connect(path) as db:
        db.executescript(tampering)
    assert "the trail is broken at entry" in run_command(tmp_path, "trail", code=2)


def test_audit_log_of_schema_version_1_is_continued(tmp_path: Path):
    path = make_audited_store(tmp_path, 8)
    with sqlite3.connect(path) as db:
        db.executescript("DROP TABLE trail_start; PRAGMA user_version = 1;")
    before = DeadLetterStore(path, BOUNDS, read_only=True).read_audit_log()
    assert len(before.entries) == 8, "read-only tools read the old schema"
    store = DeadLetterStore(path, StoreBounds(audit_entry_count=10))
    store.update(1, DeadLetterState.PENDING, action=AuditedAction(9.0, "operator-2", "resend"))
    assert store.read_audit_log().entries[:8] == before.entries and len(store.read_audit_log().entries) == 9
