"""The serving side of a hand-over: a state machine without I/O that maps events and times to actions."""

from __future__ import annotations

from enum import Enum
from typing import Final

DRAIN_TIMEOUT_MS: Final = 700.0  # longer than the limit for the rest of a partly received response
CALL_DRAIN_TIMEOUT_MS: Final = 1_200.0  # drain timeout if calls in flight cannot be handed over
TRANSFER_TIMEOUT_MS: Final = 1_500.0  # most time for the new process to receive and decode the state
MAX_LATENESS_MS: Final = 300.0  # a message may end this long after its deadline
LEAST_TRANSFER_TIMEOUT_MS: Final = 150.0  # the new process needs the rest of MAX_LATENESS_MS
FIRST_TRANSFER_TIMEOUT_MS: Final = 350.0  # clients wait 400 ms for a reply
TIMEOUT_GROWTH: Final = 4  # per failed transfer
MAX_TIMEOUT_GROWTHS: Final = 2


def transfer_timeout_ms(time_to_deadline_ms: float, failed_transfers: int) -> float:
    """Return the time for a transfer, after which the frozen process resumes.

    A message that expires meanwhile still ends in time, and a client still gets its reply in time. Where a
    new process has needed longer, its next transfers get more time: otherwise a slow one could never take
    over under load.

    Args:
        time_to_deadline_ms: time to the first deadline of an open message; 0 if a notification is due.
        failed_transfers: transfers that have timed out in a row.
    """
    growth = float(TIMEOUT_GROWTH ** min(failed_transfers, MAX_TIMEOUT_GROWTHS))
    in_time_ms = growth * LEAST_TRANSFER_TIMEOUT_MS + max(0.0, time_to_deadline_ms)
    return min(in_time_ms, growth * FIRST_TRANSFER_TIMEOUT_MS, TRANSFER_TIMEOUT_MS)


class HandOverState(Enum):
    """The phase of a hand-over."""

    SERVING = "serving"
    DRAINING = "draining"  # starts no attempt, and waits for calls and connections that cannot be handed over
    TRANSFERRING = "transferring"  # frozen, while the state is sent
    COMMITTED = "committed"  # the new process has taken over


class HandOverAction(Enum):
    """A command to the serving process."""

    START_DRAIN = "start drain"  # start no attempt, recall unwritten calls
    CANCEL_UNDRAINED = "cancel undrained"  # cancel calls and connections that did not drain in time
    TRANSFER = "transfer"  # freeze and send the state
    COMMIT = "commit"  # close the journal, and confirm the takeover to the new process
    RESUME = "resume"  # roll back: serve again
    REJECT = "reject"  # reject the request of the new process
    STOP = "stop"  # shut down as at SIGTERM
    EXIT = "exit"  # end the process after the commit


class HandOverStateMachine:
    """Handles the events of a hand-over; each handler returns the actions to perform, in order.

    Times are milliseconds.
    """

    def __init__(self) -> None:
        self.state = HandOverState.SERVING
        self._state_ends_ms = 0.0  # when the current state times out
        self._stop_requested = False
        self._undrained_cancelled = False

    def on_request(self, now_ms: float, same_program: bool) -> list[HandOverAction]:
        """Handle the request of a new process to take over.

        Args:
            now_ms: the current time.
            same_program: whether both programs have the same fingerprint, so that calls in flight can be
                handed over.
        """
        if self.state is not HandOverState.SERVING or self._stop_requested:
            return [HandOverAction.REJECT]
        timeout_ms = DRAIN_TIMEOUT_MS if same_program else CALL_DRAIN_TIMEOUT_MS
        self.state = HandOverState.DRAINING
        self._state_ends_ms = now_ms + timeout_ms
        self._undrained_cancelled = False
        return [HandOverAction.START_DRAIN]

    def on_drained(self, now_ms: float) -> list[HandOverAction]:
        """Handle the end of the drain: all remaining calls and connections can be handed over."""
        if self.state is not HandOverState.DRAINING:
            return []
        self.state = HandOverState.TRANSFERRING
        self._state_ends_ms = now_ms + TRANSFER_TIMEOUT_MS
        return [HandOverAction.TRANSFER]

    def on_acknowledged(self) -> list[HandOverAction]:
        """Handle the acknowledgement of the new process that it received and decoded the state."""
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
        """Handle the loss of the new process, or its violation of the protocol."""
        if self.state in (HandOverState.DRAINING, HandOverState.TRANSFERRING):
            return self._roll_back()
        return []

    def on_commit_failed(self) -> list[HandOverAction]:
        """Handle a commit that could not be sent: the new process has not taken over."""
        return self._roll_back() if self.state is HandOverState.COMMITTED else []

    def on_stop(self) -> list[HandOverAction]:
        """Handle SIGTERM: a hand-over in progress is completed first."""
        is_first = not self._stop_requested
        self._stop_requested = True
        return [HandOverAction.STOP] if is_first and self.state is HandOverState.SERVING else []

    def _on_drain_timeout(self, now_ms: float) -> list[HandOverAction]:
        if self._undrained_cancelled:
            return self._roll_back()
        self._undrained_cancelled = True
        self._state_ends_ms = (
            now_ms + DRAIN_TIMEOUT_MS
        )  # time for the cancelled calls and connections to close
        return [HandOverAction.CANCEL_UNDRAINED]

    def _roll_back(self) -> list[HandOverAction]:
        self.state = HandOverState.SERVING
        if self._stop_requested:
            return [HandOverAction.RESUME, HandOverAction.STOP]
        return [HandOverAction.RESUME]
