"""A full store evicts the messages that are safest to lose."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from winchspan.dead_letters.errors import DeadLetterStoreError
from winchspan.dead_letters.filters import DeadLetterFilter
from winchspan.dead_letters.records import DeadLetterState, ExecutionEvidence
from winchspan.dead_letters.store import DeadLetterStore
from winchspan.dead_letters.store_eviction import StoreBounds

from .dead_letter_helpers import BOUNDS, NOW_MS, has_effect, make_dead_letter


@pytest.fixture
def path(tmp_path: Path) -> Path:
    return tmp_path / "undelivered.sqlite"


def test_store_beyond_the_count_bound_evicts_by_rank(path: Path):
    store = DeadLetterStore(path, replace(BOUNDS, message_count=4), has_effect)
    order = [
        make_dead_letter(1, "pay", ExecutionEvidence.MAY_HAVE_RUN, NOW_MS),
        make_dead_letter(2, "note", final_state="returned"),
        make_dead_letter(3, state=DeadLetterState.DELIVERED),
        make_dead_letter(4, "pay"),
        make_dead_letter(5, "note", ExecutionEvidence.MAY_HAVE_RUN, NOW_MS),
        make_dead_letter(6, "once", ExecutionEvidence.MAY_HAVE_RUN, NOW_MS),
    ]
    for dead_letter in order:
        store.add([dead_letter], NOW_MS)
    assert [dead_letter.id for dead_letter in store.find(DeadLetterFilter(), oldest_first=True)] == [
        "m1",
        "m4",
        "m5",
        "m6",
    ]
    stats = store.stats()
    assert stats["evicted_rank_0"] == 1 and stats["evicted_rank_1"] == 1 and stats["count"] == 4


def test_store_beyond_the_byte_bound_evicts_expired_messages_first(path: Path):
    bounds = StoreBounds(2_000_000, 10**6, 1.0)
    store = DeadLetterStore(path, bounds, has_effect)
    store.add([make_dead_letter(0, "pay", ExecutionEvidence.MAY_HAVE_RUN, NOW_MS)], NOW_MS)
    for n in range(1, 400):
        store.add([make_dead_letter(n, body=bytes(8_000), ended_unix_ms=NOW_MS + n)], NOW_MS + n)
    assert store.stats()["file_bytes"] <= bounds.file_bytes and 50 < store.stats()["count"] < 200
    assert store.get(1) is not None, "a payment that may have been made is evicted after notices"
    store.add([make_dead_letter(1_000, ended_unix_ms=NOW_MS + 3 * 86_400_000.0)], NOW_MS + 3 * 86_400_000.0)
    assert store.get(1) is None, "an expired message is evicted whatever its rank"


def test_store_without_evictable_messages_raises_and_stays_unchanged(path: Path):
    store = DeadLetterStore(path, replace(BOUNDS, message_count=2), has_effect)
    store.add([make_dead_letter(n, state=DeadLetterState.REDELIVERING) for n in (1, 2)], NOW_MS)
    with pytest.raises(DeadLetterStoreError, match="nothing that may be lost"):
        store.add([make_dead_letter(3)], NOW_MS)
    assert store.count(DeadLetterFilter()) == 2
