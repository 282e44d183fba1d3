"""Runs jobs on the store in a dedicated thread, and passes their results to the event loop."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from queue import Empty, SimpleQueue
from typing import Any, Final, TypeVar

from loguru import logger

from winchspan.dead_letters.errors import DeadLetterStoreError
from winchspan.dead_letters.records import DeadLetter
from winchspan.dead_letters.store import DeadLetterStore, open_or_replace
from winchspan.dead_letters.store_eviction import StoreBounds
from winchspan.runtime.clock import Clock

MAX_MESSAGES_PER_TRANSACTION: Final = 100
RETRY_INTERVAL_MS: Final = 5_000.0  # delay between two attempts to open a failed store
CLOSE_TIMEOUT_SECONDS: Final = 0.3  # longest wait for the store at shutdown, which may take 3.7 s in total

ResultT = TypeVar("ResultT")


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Location and limits of the store.

    Attributes:
        path: the file.
        bounds: bounds on the content.
        is_durable: a commit waits for the disk.
    """

    path: Path
    bounds: StoreBounds
    is_durable: bool = False


@dataclass(frozen=True, slots=True)
class StoreJob:
    """A message to be added to the store, or an operation on it.

    Attributes:
        on_result: called on the event loop with the operation's result, or with None if the store failed.
        dead_letter: the message to add; None for an operation.
        operation: called on the store's thread.
    """

    on_result: Callable[[Any], None]
    dead_letter: DeadLetter | None = None
    operation: Callable[[DeadLetterStore], object] = lambda store: None


class StoreWorker:
    """The store's thread. All methods except `_run_thread` and its callees run on the event loop's thread."""

    def __init__(
        self,
        settings: StoreSettings,
        clock: Clock,
        call_soon: Callable[[Callable[[], None]], object],
        has_effect: Callable[[str], bool],
    ) -> None:
        """Start the thread.

        Args:
            settings: location and limits of the store.
            clock: reads the time.
            call_soon: schedules a call on the event loop from another thread.
            has_effect: returns whether a second delivery of a class has an effect.
        """
        self.unstored_count = 0  # messages that were not stored: the queue was full, or the store failed
        self._store_settings = settings
        self._clock = clock
        self._call_soon = call_soon
        self._has_effect = has_effect
        self._queue: SimpleQueue[StoreJob | None] = SimpleQueue()  # None ends the thread
        self._is_closing = False
        self._is_failure_reported = False
        self._retries: list[Callable[[], None]] = []  # called once the store is usable again
        # Used by the store's thread only:
        self._postponed: deque[StoreJob | None] = deque()  # removed from the queue, but not run yet
        self._store: DeadLetterStore | None = None
        self._retry_at_ms = 0.0  # earliest time of the next attempt to open the store
        self._thread = threading.Thread(target=self._run_thread, name="undelivered", daemon=True)
        self._thread.start()

    # ---- on the event loop -------------------------------------------------------------------------------
    def run_on_store(
        self,
        operation: Callable[[DeadLetterStore], ResultT],
        on_result: Callable[[ResultT | None], None],
    ) -> None:
        """Run an operation on the store's thread; it should be short and rare, like an operator's action.

        Args:
            operation: called on the store's thread.
            on_result: called on the event loop with its result, or with None if the store failed.
        """
        self._submit(StoreJob(on_result, operation=operation))

    def close(self) -> None:
        """Wait briefly for the queued jobs; messages of unfinished jobs are still in the journal."""
        self._is_closing = True
        self._queue.put(None)
        self._thread.join(CLOSE_TIMEOUT_SECONDS)

    def _submit(self, job: StoreJob) -> None:
        self._queue.put(job)

    def _retry_when_usable(self, call: Callable[[], None]) -> None:
        self._retries.append(call)

    def _report_unstored(self, count: int, reason: str) -> None:
        self.unstored_count += count
        if not self._is_failure_reported:
            self._is_failure_reported = True
            logger.bind(event="undelivered_lost").error("undelivered: messages are not stored: {}", reason)

    def _on_usable(self) -> None:
        retries, self._retries = self._retries, []
        for call in retries:
            call()
        if self._is_failure_reported:
            self._is_failure_reported = False
            logger.bind(event="undelivered_again").info(
                "undelivered: messages are stored again; {} were not stored", self.unstored_count
            )

    # ---- on the store's thread ---------------------------------------------------------------------------
    def _run_thread(self) -> None:
        """Run jobs until shutdown; add consecutive messages in one transaction."""
        while (jobs := self._next_jobs()) is not None:
            for job, result in zip(jobs, self._run_jobs(jobs), strict=True):
                self._call_on_loop(_result_call(job, result))
        self._close_store(self._store)

    def _next_jobs(self) -> list[StoreJob] | None:
        """Return the next operation, or the next consecutive messages to add; None at shutdown."""
        first = self._postponed.popleft() if self._postponed else self._queue.get()
        if first is None:
            return None
        jobs = [first]
        while first.dead_letter is not None and len(jobs) < MAX_MESSAGES_PER_TRANSACTION:
            try:
                job = self._queue.get_nowait()
            except Empty:
                break
            if job is None or job.dead_letter is None:
                self._postponed.append(job)
                break
            jobs.append(job)
        return jobs

    def _run_jobs(self, jobs: list[StoreJob]) -> list[object]:
        """Return the result of each job; None for each if the store failed."""
        if self._clock.now() < self._retry_at_ms:
            return self._fail_jobs(jobs, "the store is unavailable")
        try:
            if self._store is None:
                self._store = self._open_store()
            results = self._run_jobs_on(self._store, jobs)
        except DeadLetterStoreError as err:
            self._retry_at_ms = self._clock.now() + RETRY_INTERVAL_MS
            self._close_store(self._store)
            self._store = None
            return self._fail_jobs(jobs, str(err))
        self._call_on_loop(self._on_usable)
        return results

    def _run_jobs_on(self, store: DeadLetterStore, jobs: list[StoreJob]) -> list[object]:
        dead_letters = [job.dead_letter for job in jobs if job.dead_letter is not None]
        if not dead_letters:
            return [job.operation(store) for job in jobs]
        store.add(dead_letters, self._clock.unix_ms())
        return [None] * len(jobs)

    def _fail_jobs(self, jobs: list[StoreJob], reason: str) -> list[object]:
        unstored_count = sum(job.dead_letter is not None for job in jobs)
        self._call_on_loop(lambda: self._report_unstored(unstored_count, reason))
        return [None] * len(jobs)

    def _open_store(self) -> DeadLetterStore:
        settings = self._store_settings
        opened = open_or_replace(
            settings.path,
            settings.bounds,
            self._has_effect,
            self._clock.unix_ms(),
            durable=settings.is_durable,
        )
        if opened.damaged_path is not None:
            self._call_on_loop(lambda: _report_damage(opened.damaged_path))
        return opened.store

    @staticmethod
    def _close_store(store: DeadLetterStore | None) -> None:
        if store is not None:
            store.close()

    def _call_on_loop(self, call: Callable[[], None]) -> None:
        """Schedule a call on the event loop; at shutdown, ignore a loop that is already closed."""
        try:
            self._call_soon(call)
        except RuntimeError:
            if not self._is_closing:
                raise


def _result_call(job: StoreJob, result: object) -> Callable[[], None]:
    return lambda: job.on_result(result)


def _report_damage(damaged_path: Path | None) -> None:
    logger.bind(event="undelivered_damaged").error(
        "undelivered: the store was damaged and has been renamed to {}", damaged_path
    )
