"""Acquires the state directory at startup: takes over from a serving process, or waits for the lock."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Final

from loguru import logger

from winchspan.upgrade.fingerprint import program_fingerprint

if TYPE_CHECKING:
    from winchspan.upgrade.transferred_state import TransferredState

LOCK_POLL_SECONDS: Final = 0.005  # delay between two attempts to lock the directory after the commit
RETRY_SECONDS: Final = 0.1  # delay between two attempts to take over
ATTEMPTS_PER_LOG_LINE: Final = 100


@dataclass(slots=True)
class InheritedState:
    """The state that a new process has taken over from the previous one.

    Attributes:
        state: the transferred state; None if no process handed over.
        descriptors: descriptors of the connections, in the order that `TransferredState` documents.
        drain_requested_ms: monotonic time of the request; until then the old process still read from its
            clients.
    """

    state: TransferredState | None = None
    descriptors: list[int] = field(default_factory=list)
    drain_requested_ms: float = float("inf")


def acquire_state_directory(
    directory: Path, lock: Callable[[], bool], now: Callable[[], float]
) -> InheritedState:
    """Wait until this process holds the state directory, after a hand-over or the end of the other process.

    Args:
        directory: the state directory.
        lock: tries to lock the directory; returns False while another process holds the lock.
        now: returns the monotonic time, ms.
    """
    if lock():
        return InheritedState()
    fingerprint = program_fingerprint()
    attempt_count = 0
    while not lock():
        drain_requested_ms = now()
        inherited = _take_over(directory, fingerprint)
        if inherited is not None:
            inherited.drain_requested_ms = drain_requested_ms
            while not lock():  # the old process unlocks it when it ends, after the commit
                time.sleep(LOCK_POLL_SECONDS)
            return inherited
        if attempt_count % ATTEMPTS_PER_LOG_LINE == 0:
            logger.info("upgrade: {} is locked by another process; waiting", directory)
        attempt_count += 1
        time.sleep(RETRY_SECONDS)
    return InheritedState()


def _take_over(directory: Path, fingerprint: str) -> InheritedState | None:
    """Request the state of the serving process; return None if it did not commit the hand-over."""
    # Imported late, but before the request: a start without a serving process does not need the codec.
    from winchspan.upgrade.hand_over_client import receive_hand_over
    from winchspan.upgrade.state_codec import decode_state

    inherited = InheritedState()

    def read_state(encoded: bytes) -> None:
        inherited.state = decode_state(encoded)

    received = receive_hand_over(directory, fingerprint, read_state)
    if received is None:
        return None
    inherited.descriptors = received.descriptors
    return inherited
