"""Signals that come before the event loop runs."""

from __future__ import annotations

import signal


class EarlyReloads:
    """Notes SIGHUP until the event loop handles it: the default action would end the process.

    Attributes:
        is_requested: whether a SIGHUP has come.
    """

    def __init__(self) -> None:
        self.is_requested = False
        signal.signal(signal.SIGHUP, self._note)

    def _note(self, number: int, frame: object) -> None:
        self.is_requested = True
