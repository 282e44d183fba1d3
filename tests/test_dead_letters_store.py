"""The store's SQLite file: queries, concurrent writers, damage, killed processes, and a model test."""

from __future__ import annotations

import os
import signal
import sqlite3
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from tempfile import TemporaryDirectory

import pytest
from hypothesis import settings as options
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from winchspan.dead_letters.errors import DeadLetterStoreError
from winchspan.dead_letters.eviction import eviction_rank
from winchspan.dead_letters.filters import DeadLetterFilter
from winchspan.dead_letters.records import DeadLetter, DeadLetterState, ExecutionEvidence, FailureHistory
from winchspan.dead_letters.store import DeadLetterStore, open_or_replace
from winchspan.dead_letters.store_eviction import StoreBounds

from .dead_letter_helpers import BOUNDS, KEY, NOW_MS, has_effect, make_dead_letter

ROOT = Path(__file__).parent.parent


@pytest.fixture
def path(tmp_path: Path) -> Path:
    return tmp_path / "undelivered.sqlite"


def test_store_added_twice_returns_the_first_once_and_complete(path: Path):
    store = DeadLetterStore(path, BOUNDS, has_effect)
    dead_letter = make_dead_letter(
        class_name="pay", evidence=ExecutionEvidence.MAY_HAVE_RUN, first_run_unix_ms=NOW_MS
    )
    store.add([dead_letter, dead_letter], NOW_MS)
    store.add([replace(dead_letter, body=b"another")], NOW_MS)
    found = store.find(DeadLetterFilter())
    assert found == [replace(dead_letter, number=1)] and store.contains(
        dead_letter.id, dead_letter.deadline_unix_ms
    )
    assert not store.contains(dead_letter.id, dead_letter.deadline_unix_ms + 1)
    store.close()
    assert DeadLetterStore(path, BOUNDS, read_only=True).get(1) == found[0]
    assert path.stat().st_mode & 0o777 == 0o600


def test_store_find_filters_and_pages(path: Path):
    store = DeadLetterStore(path, BOUNDS, has_effect)
    store.add(
        [
            make_dead_letter(n, "pay" if n % 2 else "note", ended_unix_ms=NOW_MS + n, destination=n % 3)
            for n in range(1, 31)
        ],
        NOW_MS,
    )
    assert store.count(DeadLetterFilter(class_name="pay", destination=1)) == 5
    first = store.find(DeadLetterFilter(class_name="pay"), 10)
    rest = store.find(DeadLetterFilter(class_name="pay"), 10, first[-1].number)
    assert [dead_letter.number for dead_letter in first + rest] == list(range(29, 0, -2))
    for wanted in (
        DeadLetterFilter(key=KEY, id="m3"),
        DeadLetterFilter(idempotency_key="t3"),
        DeadLetterFilter(since_unix_ms=NOW_MS + 3, until_unix_ms=NOW_MS + 4),
    ):
        assert [dead_letter.id for dead_letter in store.find(wanted)] == ["m3"]
    assert store.stats()["state"] == {"kept": 30}


def test_store_two_updates_of_one_state_only_the_first_succeeds(path: Path):
    first, second = DeadLetterStore(path, BOUNDS, has_effect), DeadLetterStore(path, BOUNDS, has_effect)
    first.add([make_dead_letter()], NOW_MS)
    assert first.update(1, DeadLetterState.PENDING, state=DeadLetterState.REDELIVERING, redelivery_count=1)
    assert not second.update(
        1, DeadLetterState.PENDING, state=DeadLetterState.REDELIVERING, redelivery_count=1
    )
    assert second.get(1) == replace(
        make_dead_letter(), number=1, state=DeadLetterState.REDELIVERING, redelivery_count=1
    )
    assert not second.update(2, DeadLetterState.PENDING, note="there is none")


@pytest.mark.parametrize("damage", ["cut", "scrambled", "empty head"])
def test_open_or_replace_damaged_file_is_renamed(path: Path, damage: str):
    store = DeadLetterStore(path, BOUNDS, has_effect)
    store.add([make_dead_letter(n, body=bytes(3_000)) for n in range(200)], NOW_MS)
    store.close()
    data = bytearray(path.read_bytes())
    if damage == "cut":
        data = data[: len(data) // 2]
    elif damage == "scrambled":
        data[4_096:] = os.urandom(len(data) - 4_096)
    else:
        data[:100] = bytes(100)
    path.write_bytes(data)
    fresh, damaged_path = open_or_replace(path, BOUNDS, has_effect, NOW_MS)
    assert damaged_path is not None and damaged_path.read_bytes() == data
    fresh.add([make_dead_letter()], NOW_MS)
    assert fresh.count(DeadLetterFilter()) == 1


def test_open_or_replace_later_version_or_foreign_file_stays_unchanged(path: Path):
    DeadLetterStore(path, BOUNDS, has_effect).close()
    with sqlite3.connect(path) as db:
        db.execute("PRAGMA user_version = 99")
    with pytest.raises(DeadLetterStoreError, match="version 99; expected at most 2"):
        open_or_replace(path, BOUNDS, has_effect, NOW_MS)
    other = path.with_name("other")
    with sqlite3.connect(other) as db:
        db.execute("CREATE TABLE photos(x)")
    with pytest.raises(DeadLetterStoreError, match="not a store"):
        open_or_replace(other, BOUNDS, has_effect, NOW_MS)
    with pytest.raises(DeadLetterStoreError, match="there is no store"):
        DeadLetterStore(path.with_name("none"), BOUNDS, read_only=True)


def test_store_disk_full_during_a_change_rolls_it_back(tmp_path: Path):
    store = DeadLetterStore(tmp_path / "x", BOUNDS)
    dead_letter = DeadLetter(
        "a",
        1.0,
        "safe",
        1,
        None,
        "",
        bytes(2_000),
        "failed",
        FailureHistory("no room", 1.0),
        ExecutionEvidence.NEVER_RAN,
        "",
        None,
        DeadLetterState.PENDING,
    )
    store.add([dead_letter], 1.0)
    store._database.execute(
        f"PRAGMA max_page_count = {store._database.execute('PRAGMA page_count').fetchone()[0] + 2}"
    )
    with pytest.raises(DeadLetterStoreError, match="full"):
        store.add([replace(dead_letter, id=f"b{n}") for n in range(100)], 1.0)
    with pytest.raises(DeadLetterStoreError, match="full"):
        store.update(1, DeadLetterState.PENDING, note="x" * 100_000)
    assert store.find(DeadLetterFilter()) == [replace(dead_letter, number=1)]
    store._database.execute("PRAGMA max_page_count = 10000")
    store.add([replace(dead_letter, id="c")], 1.0)
    assert store.stats()["count"] == 2


WRITER_PROGRAM = """
import sys
from pathlib import Path
sys.path.insert(0, {root!r})
from tests.dead_letter_helpers import BOUNDS, NOW_MS, has_effect, make_dead_letter
from winchspan.dead_letters.records import DeadLetterState
from winchspan.dead_letters.store import DeadLetterStore
store = DeadLetterStore(Path({path!r}), BOUNDS, has_effect)
n = 0
while True:
    n += 1
    store.add([make_dead_letter(2 * n), make_dead_letter(2 * n + 1)], NOW_MS)
    store.update(2 * n - 1, DeadLetterState.PENDING, state=DeadLetterState.ON_HOLD, note="x" * 3_000)
    print(n, flush=True)
"""


@pytest.mark.parametrize("lines", [1, 3, 20])
def test_store_killed_process_leaves_each_change_complete_or_absent(path: Path, lines: int):
    code = WRITER_PROGRAM.format(root=str(ROOT), path=str(path))
    process = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE, cwd=ROOT)
    assert process.stdout is not None
    printed = [int(process.stdout.readline()) for _ in range(lines)][-1]
    process.send_signal(signal.SIGKILL)
    process.wait()
    process.stdout.close()
    store = DeadLetterStore(path, BOUNDS, has_effect)
    found = {dead_letter.id: dead_letter for dead_letter in store.find(DeadLetterFilter(), 10**6)}
    assert len(found) % 2 == 0 and len(found) >= 2 * printed, "each call stores both messages or neither"
    for n in range(1, printed + 1):
        assert (
            found[f"m{2 * n}"].state is DeadLetterState.ON_HOLD
            and found[f"m{2 * n + 1}"].state is DeadLetterState.PENDING
        )
    assert store.stats()["count"] == len(found)


def eviction_order(dead_letter: DeadLetter) -> tuple[int, float]:
    rank = eviction_rank(dead_letter, has_effect=has_effect(dead_letter.class_name))
    return rank, dead_letter.failure_history.ended_unix_ms


class StoreStateMachine(RuleBasedStateMachine):
    """Compares the store with a dictionary that evicts by rank and age."""

    COUNT = 6

    @initialize()
    def begin(self) -> None:
        self.directory = TemporaryDirectory()
        self.store = DeadLetterStore(
            Path(self.directory.name) / "x", StoreBounds(4_000_000, self.COUNT, 30.0), has_effect
        )
        self.model: dict[int, DeadLetter] = {}
        self.next = 1

    @rule(
        class_name=st.sampled_from(["pay", "note"]),
        evidence=st.sampled_from([ExecutionEvidence.NEVER_RAN, ExecutionEvidence.MAY_HAVE_RUN]),
        final_state=st.sampled_from(["failed", "returned"]),
    )
    def add(self, class_name: str, evidence: ExecutionEvidence, final_state: str) -> None:
        dead_letter = make_dead_letter(
            self.next, class_name, evidence, NOW_MS, NOW_MS + self.next, final_state=final_state
        )
        free = [x for x in self.model.values() if x.state is not DeadLetterState.REDELIVERING]
        if len(self.model) >= self.COUNT and not free:
            with pytest.raises(DeadLetterStoreError):
                self.store.add([dead_letter], NOW_MS)
            return
        if len(self.model) >= self.COUNT:
            del self.model[min(free, key=eviction_order).number]
        self.store.add([dead_letter], NOW_MS)
        number = self.store.find(DeadLetterFilter(id=dead_letter.id))[0].number
        self.model[number] = replace(dead_letter, number=number)
        self.next += 1

    @rule(
        data=st.data(),
        state=st.sampled_from(list(DeadLetterState)),
        expected=st.sampled_from(list(DeadLetterState)),
    )
    def update(self, data: st.DataObject, state: DeadLetterState, expected: DeadLetterState) -> None:
        number = data.draw(st.sampled_from(sorted(self.model) or [99]))
        is_match = number in self.model and self.model[number].state is expected
        assert self.store.update(number, expected, state=state, note="changed") is is_match
        if is_match:
            self.model[number] = replace(self.model[number], state=state, note="changed")

    def teardown(self) -> None:
        if hasattr(self, "store"):
            self.store.close()
            self.directory.cleanup()

    @invariant()
    def store_equals_model(self) -> None:
        if hasattr(self, "model"):
            assert {
                dead_letter.number: dead_letter for dead_letter in self.store.find(DeadLetterFilter(), 1_000)
            } == self.model
            assert self.store.stats()["count"] == len(self.model)


TestStoreStateMachine = StoreStateMachine.TestCase
TestStoreStateMachine.settings = options(
    derandomize=True, deadline=None, max_examples=30, stateful_step_count=25
)
