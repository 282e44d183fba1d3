"""The archiver of dead letters without its thread, for virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import Final

from winchspan import api
from winchspan.dead_letters.archiver import ArchiverSettings, DeadLetterArchiver
from winchspan.dead_letters.store import DeadLetterStore
from winchspan.dead_letters.store_worker import StoreJob
from winchspan.runtime.clock import Clock

MAX_STORE_LATENCY_MS: Final = 20.0  # of the start of a job, and again of the report of its result


class InlineArchiver(DeadLetterArchiver):
    """Runs jobs on timers with random delays before and after, so that a kill may precede or follow a job."""

    def __init__(
        self,
        call_later: Callable[[float, Callable[[], None]], object],
        latencies: random.Random,
        settings: ArchiverSettings,
        platform: api.Settings,
        clock: Clock,
    ) -> None:
        """Create an archiver.

        Args:
            call_later: calls back after a delay in ms, unless the incarnation has ended.
            latencies: random numbers for the store's latencies.
            settings: path and bounds of the store.
            platform: the platform's settings.
            clock: the courier's clock.
        """
        self._call_later = call_later
        self._latencies = latencies
        self._store: DeadLetterStore | None = None
        super().__init__(settings, platform, clock, lambda call: None)

    def _run_thread(self) -> None:
        return

    def _submit(self, job: StoreJob) -> None:
        self._call_later(self._draw_latency_ms(), partial(self._run, job))

    def _run(self, job: StoreJob) -> None:
        self._store = self._store or self._open_store()
        result = None
        if job.dead_letter is not None:
            self._store.add([job.dead_letter], self._clock.unix_ms())
        else:
            result = job.operation(self._store)
        self._call_later(self._draw_latency_ms(), partial(job.on_result, result))

    def _draw_latency_ms(self) -> float:
        return self._latencies.uniform(0.0, MAX_STORE_LATENCY_MS)

    def stop(self) -> None:
        """Close the store at the end of the incarnation."""
        self._close_store(self._store)
        self._store = None
