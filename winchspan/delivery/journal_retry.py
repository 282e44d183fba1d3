"""Retries journal writes that failed."""

from __future__ import annotations

from typing import Final

from winchspan.delivery.context import EngineContext

RETRY_INTERVAL_MS: Final = 50.0


class JournalRetry:
    """Retries until the journal's backlog is written.

    Attributes:
        has_backlog: whether the journal has records that are not written yet.
    """

    def __init__(self, context: EngineContext) -> None:
        self._journal = context.journal
        self._timers = context.timers
        self.has_backlog = False
        context.journal.on_backlog = self._on_backlog

    def _on_backlog(self) -> None:
        if not self.has_backlog:
            self.has_backlog = True
            self._timers.call_later(RETRY_INTERVAL_MS, self._retry)

    def _retry(self) -> None:
        self.has_backlog = not self._journal.flush_backlog()
        if self.has_backlog:
            self._timers.call_later(RETRY_INTERVAL_MS, self._retry)
