"""The inert ports of the delivery engine."""

from __future__ import annotations

from typing import Any

from winchspan.delivery.ports import NoDeadLetters, NoReplication
from winchspan.storage.journal_records import JournalEntry

ENTRY = JournalEntry(1, "a", "safe", None, 1, 5_000.0, "", b"")


def test_no_replication_when_replicated_calls_back_exactly_once():
    calls: list[str] = []
    NoReplication().when_replicated(lambda: calls.append("then"), lambda: calls.append("lost"))
    assert calls == ["then"]


def test_no_replication_wait_for_predecessors_is_ready_at_once_without_earlier_run():
    earlier_runs: list[Any] = []
    replication = NoReplication()
    replication.wait_for_predecessors(1, "safe", None, "", None, earlier_runs.append)
    assert earlier_runs == [None] and replication.admission_delay_ms() == 0.0


def test_no_dead_letters_stores_nothing_and_calls_back_at_once():
    calls: list[str] = []
    dead_letters = NoDeadLetters()
    dead_letters.archive(ENTRY, lambda: calls.append("keep"))
    dead_letters.settle_redelivery(
        ENTRY, is_delivered=True, history=None, on_done=lambda: calls.append("resent")
    )
    assert calls == ["keep", "resent"]
    assert not dead_letters.should_archive("failed") and dead_letters.reconcile([ENTRY]) == set()
    assert dead_letters.failure_history(ENTRY, [], {}) is None
