"""Moves undelivered messages from the journal to the store, with a crash after each step."""

from __future__ import annotations

import signal
import sqlite3
import threading
from http.server import ThreadingHTTPServer
from pathlib import Path

import pytest

from examples.submit import encode_submit
from winchspan.dead_letters.archiver import ArchiverSettings
from winchspan.dead_letters.errors import DeadLetterStoreError
from winchspan.dead_letters.filters import DeadLetterFilter
from winchspan.dead_letters.records import DeadLetter, DeadLetterState, ExecutionEvidence
from winchspan.dead_letters.store import DeadLetterStore
from winchspan.storage.journal import Journal

from .dead_letter_helpers import BOUNDS, TIMEOUT_SECONDS, ArchivingCourier, StalledArchiver
from .delivery_world import OK
from .test_end_to_end import free_port, partner, send_request, start_courier, wait_for

__all__ = ["partner"]  # the fixture


def assert_archived_once(courier: ArchivingCourier) -> None:
    """Assert that the message is stored once, with its history, and completed in the journal."""
    (dead_letter,) = courier.stored()
    assert (dead_letter.id, dead_letter.body, dead_letter.execution_evidence, dead_letter.final_state) == (
        "a",
        b"a",
        ExecutionEvidence.MAY_HAVE_RUN,
        "returned",
    )
    assert (
        dead_letter.failure_history.reason == "out of time"
        and dead_letter.failure_history.attempts[0].outcome == "error"
    )
    assert courier.world.open_ids() == []


def test_archiver_acknowledged_message_is_stored_with_its_history(tmp_path: Path):
    courier = ArchivingCourier(tmp_path)
    courier.fail_message()
    assert courier.world.open_ids() == ["a"] and not courier.stored(), (
        "its notification has not been acknowledged"
    )
    courier.acknowledge_notification()
    courier.loop.run_calls(2)
    assert_archived_once(courier)
    destination = courier.stored()[0].failure_history.destination
    assert (destination.usable_endpoint_count, destination.window) == (1, 2)


def test_archiver_delivered_message_is_not_stored(tmp_path: Path):
    courier = ArchivingCourier(tmp_path)
    courier.world.submit("a")
    courier.world.transport.calls[0].end(OK)
    courier.world.run()
    courier.archivers[0].close()
    assert not courier.stored() and courier.world.open_ids() == []


def test_archiver_crash_before_acknowledgement_notifies_again_and_stores_then(tmp_path: Path):
    courier = ArchivingCourier(tmp_path)
    courier.fail_message()
    courier.restart()
    assert courier.world.open_ids() == ["a"] and list(courier.world.transport.notifications) == ["a"]
    courier.acknowledge_notification()
    courier.loop.run_calls(2)
    assert_archived_once(courier)


def test_archiver_crash_before_the_commit_leaves_the_message_in_the_journal(tmp_path: Path):
    courier = ArchivingCourier(tmp_path, StalledArchiver)
    courier.fail_message()
    courier.acknowledge_notification()
    assert courier.world.open_ids() == ["a"] and not courier.stored()
    courier.restart()
    courier.acknowledge_notification()
    courier.loop.run_calls(2)
    assert_archived_once(courier)


def test_archiver_crash_after_the_commit_is_reconciled_at_the_next_start(tmp_path: Path):
    courier = ArchivingCourier(tmp_path)
    courier.fail_message()
    courier.acknowledge_notification()
    call = courier.loop.calls.get(timeout=TIMEOUT_SECONDS)  # committed, but never completed in the journal
    assert call is not None and courier.world.open_ids() == ["a"] and len(courier.stored()) == 1
    courier.restart()
    assert_archived_once(courier)
    assert not courier.world.transport.notifications, "its notification had been acknowledged"


def test_archiver_payment_that_may_have_run_stays_on_hold_after_a_restart(tmp_path: Path):
    courier = ArchivingCourier(tmp_path)
    courier.fail_message(class_name="keyed")
    courier.acknowledge_notification()
    courier.loop.run_calls(2)
    courier.restart()
    (dead_letter,) = courier.stored()
    assert (
        dead_letter.state is DeadLetterState.ON_HOLD
        and dead_letter.execution_evidence is ExecutionEvidence.MAY_HAVE_RUN
        and "may have run" in dead_letter.evidence_text
    )


def test_archiver_attempts_before_a_restart_are_counted_as_unrecorded(tmp_path: Path):
    courier = ArchivingCourier(tmp_path)
    courier.world.submit("a", left=3_000.0)
    courier.restart()
    courier.world.run(3_100)
    courier.acknowledge_notification()
    courier.loop.run_calls(2)
    (dead_letter,) = courier.stored()
    assert (
        dead_letter.failure_history.unrecorded_attempt_count == 1
        and dead_letter.execution_evidence is ExecutionEvidence.MAY_HAVE_RUN
    )


@pytest.mark.parametrize("fault", ["directory in its place", "later version", "missing directory"])
def test_archiver_unusable_store_delays_nothing(tmp_path: Path, fault: str):
    courier = ArchivingCourier(tmp_path)
    if fault == "directory in its place":
        courier.path.mkdir()
    elif fault == "later version":
        with sqlite3.connect(courier.path) as db:
            db.execute("CREATE TABLE x(y)")
            db.execute("PRAGMA user_version = 99")
    else:
        courier.settings = ArchiverSettings(tmp_path / "none" / "x", BOUNDS)
        courier.world.kill()
    for name in ("a", "b"):
        courier.fail_message(name)
        courier.acknowledge_notification(name)
        courier.loop.run_calls(2)
    assert courier.world.open_ids() == [] and courier.archivers[-1].unstored_count == 2


def test_archiver_stalled_thread_bounds_its_queue(tmp_path: Path):
    courier = ArchivingCourier(tmp_path, StalledArchiver, max_held=60)
    archiver = courier.archivers[0]
    courier.fail_message()
    entry = next(iter(courier.world.journal.open_messages))
    entry.body = bytes(64 * 1024)
    done = list[int]()
    for number in range(100):
        archiver.archive(entry, lambda n=number: done.append(n))  # type: ignore[misc]
    assert 0 < len(done) < 60 and archiver.unstored_count == len(done), (
        "messages beyond the bound are completed at once"
    )


def test_journal_without_space_for_the_history_records_the_notification(tmp_path: Path):
    journal = Journal(tmp_path, 4_000)
    number = journal.accept("a", "safe", None, 1, 1.0, "", b"a")
    journal.record_notification_pending(number, "returned", 500, {"reason": "x" * 5_000})
    journal.close()
    (entry,) = Journal(tmp_path, 4_000).open_messages
    assert (entry.pending_notification, entry.retry_after_ms, entry.failure_history) == (
        "returned",
        500,
        None,
    )


def test_courier_process_stores_an_undelivered_message(tmp_path: Path, partner: ThreadingHTTPServer):
    directory = tmp_path / "kept"
    directory.mkdir()
    port = free_port()
    operator = tmp_path / "operator.sexp"
    operator.write_text(f'(undelivered (on yes) (folder "{directory}"))')
    courier = start_courier(tmp_path, port, partner.server_port, "--operator", str(operator))
    try:
        assert (
            send_request(port, encode_submit("gallery-notice", "8", "nobody there", deadline_ms=100))
            == b"+OK\r\n"
        )

        def found() -> list[DeadLetter]:
            try:
                store = DeadLetterStore(directory / "undelivered.sqlite", BOUNDS, read_only=True)
            except DeadLetterStoreError:
                return []
            try:
                return store.find(DeadLetterFilter())
            finally:
                store.close()

        wait_for("the message is stored", found)
        (dead_letter,) = found()
        assert (dead_letter.body, dead_letter.execution_evidence, dead_letter.failure_history.reason) == (
            b"nobody there",
            ExecutionEvidence.NEVER_RAN,
            "out of time, never sent",
        )
        courier.send_signal(signal.SIGTERM)
        assert courier.wait(TIMEOUT_SECONDS) == 0
    finally:
        courier.kill()
        courier.wait()


def test_archiver_close_ends_its_thread(tmp_path: Path):
    before = threading.active_count()
    courier = ArchivingCourier(tmp_path)
    courier.archivers[0].close()
    assert threading.active_count() == before
