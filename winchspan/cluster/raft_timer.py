"""Timer of the Raft state machine."""

from __future__ import annotations

from collections.abc import Callable

from winchspan.cluster.node import ClusterNode
from winchspan.consensus.raft import Raft
from winchspan.runtime.timers import Timer


class RaftTimer:
    """Calls back when the state machine's next timeout is due."""

    def __init__(self, node: ClusterNode, raft: Raft, on_due: Callable[[], None]) -> None:
        self._node = node
        self._raft = raft
        self._on_due = on_due
        self._timer: Timer | None = None
        self._due_ms = float("inf")
        self._is_stopped = False

    def arm(self) -> None:
        """Set the timer to the state machine's next timeout, if that is earlier than the time already set."""
        if self._is_stopped or self._raft.tick_due_ms >= self._due_ms:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._due_ms = self._raft.tick_due_ms
        delay_ms = max(0.0, self._due_ms - self._node.now_ms())
        self._timer = self._node.timers.call_later(delay_ms, self._on_timer)

    def stop(self) -> None:
        """Stop calling back."""
        self._is_stopped = True

    def _on_timer(self) -> None:
        self._timer = None
        self._due_ms = float("inf")
        if not self._is_stopped:
            self._on_due()
