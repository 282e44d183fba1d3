"""The serving side of a hand-over as a state machine without I/O: events and times in, actions out."""

from __future__ import annotations

from enum import Enum
from typing import Final

DRAIN_TIMEOUT_MS: Final = 700.0  # longer than an answer that has begun may take to end
CALL_DRAIN_TIMEOUT_MS: Final = 1_200.0  # for calls in flight, where they cannot be handed over
TRANSFER_TIMEOUT_MS: Final = 1_500.0  # for the new process to receive and read the state


class HandOverState(Enum):
    """The phase of a hand-over."""

    SERVING = "serving"
    DRAINING = "draining"  # starts no attempt, and waits for what cannot be handed over
    TRANSFERRING = "transferring"  # frozen; the state is on its way
    COMMITTED = "committed"  # the new process has all of it


class HandOverAction(Enum):
    """A command to the serving process."""

    START_DRAIN = "start drain"  # accept no client, start no attempt, recall what is not written
    CANCEL_UNDRAINED = "cancel undrained"  # end what did not drain in time
    TRANSFER = "transfer"  # freeze and send the state
    COMMIT = "commit"  # close the journal and tell the new process that it has taken over
    RESUME = "resume"  # roll back: go on serving
    REJECT = "reject"  # tell the new process that it cannot take over now
    STOP = "stop"  # shut down as at SIGTERM
    EXIT = "exit"  # nothing is left to do here


class HandOverStateMachine:
    """Each event returns the actions to carry out, in order. Times are milliseconds."""

    def __init__(self) -> None:
        self.state = HandOverState.SERVING
        self._state_ends_ms = 0.0  # when the present state times out
        self._stop_requested = False
        self._undrained_cancelled = False

    def on_request(self, now_ms: float, same_program: bool) -> list[HandOverAction]:
        """Handle a new process that asks to take over.

        Args:
            now_ms: the time.
            same_program: whether its fingerprint is ours, so that calls in flight can be handed over.
        """
        if self.state is not HandOverState.SERVING or self._stop_requested:
            return [HandOverAction.REJECT]
        timeout_ms = DRAIN_TIMEOUT_MS if same_program else CALL_DRAIN_TIMEOUT_MS
        self.state = HandOverState.DRAINING
        self._state_ends_ms = now_ms + timeout_ms
        self._undrained_cancelled = False
        return [HandOverAction.START_DRAIN]

    def on_drained(self, now_ms: float) -> list[HandOverAction]:
        """Handle the end of the drain: all that is left can be handed over."""
        if self.state is not HandOverState.DRAINING:
            return []
        self.state = HandOverState.TRANSFERRING
        self._state_ends_ms = now_ms + TRANSFER_TIMEOUT_MS
        return [HandOverAction.TRANSFER]

    def on_acknowledged(self) -> list[HandOverAction]:
        """Handle the new process's word that it has the whole state and can read it."""
        if self.state is not HandOverState.TRANSFERRING:
            return []
        self.state = HandOverState.COMMITTED
        return [HandOverAction.COMMIT, HandOverAction.EXIT]

    def on_tick(self, now_ms: float) -> list[HandOverAction]:
        """Handle the passing of time."""
        if self.state is HandOverState.DRAINING and now_ms >= self._state_ends_ms:
            return self._on_drain_timeout(now_ms)
        if self.state is HandOverState.TRANSFERRING and now_ms >= self._state_ends_ms:
            return self._roll_back()
        return []

    def on_new_process_lost(self) -> list[HandOverAction]:
        """Handle a new process that is gone or broke the protocol."""
        if self.state in (HandOverState.DRAINING, HandOverState.TRANSFERRING):
            return self._roll_back()
        return []

    def on_commit_failed(self) -> list[HandOverAction]:
        """Handle a commit that could not be sent: the new process has not taken over."""
        return self._roll_back() if self.state is HandOverState.COMMITTED else []

    def on_stop(self) -> list[HandOverAction]:
        """Handle SIGTERM: a hand-over that has begun is brought to its end first."""
        is_first = not self._stop_requested
        self._stop_requested = True
        return [HandOverAction.STOP] if is_first and self.state is HandOverState.SERVING else []

    def _on_drain_timeout(self, now_ms: float) -> list[HandOverAction]:
        if self._undrained_cancelled:
            return self._roll_back()
        self._undrained_cancelled = True
        self._state_ends_ms = now_ms + DRAIN_TIMEOUT_MS  # what is cancelled needs a moment to be gone
        return [HandOverAction.CANCEL_UNDRAINED]

    def _roll_back(self) -> list[HandOverAction]:
        self.state = HandOverState.SERVING
        if self._stop_requested:
            return [HandOverAction.RESUME, HandOverAction.STOP]
        return [HandOverAction.RESUME]
