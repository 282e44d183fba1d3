"""Hand-over of this courier's journal to another courier at SIGTERM."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, Protocol

from loguru import logger

from winchspan.cluster.consensus_service import ConsensusService
from winchspan.cluster.node import ClusterNode
from winchspan.cluster.replication_counters import ReplicationCounters
from winchspan.cluster.takeover_planning import TakeoverPlanning
from winchspan.delivery.engine import DeliveryEngine
from winchspan.leases.commands import journal_role
from winchspan.net.notifications import NotificationQueue

ATTEMPT_TIMEOUT_MS: Final = 1_500.0  # for attempts in flight, which are then cancelled
REPLICATION_TIMEOUT_MS: Final = 500.0  # after that, for the replication of their results
POLL_INTERVAL_MS: Final = 25.0


class OwnJournal(Protocol):
    """This courier's journal, as the hand-over uses it."""

    @property
    def unreplicated_count(self) -> int:
        """Number of records that are not replicated yet."""

    def is_owner(self) -> bool:
        """Return whether this courier may act on its journal now."""


@dataclass(frozen=True, slots=True)
class HandOverPorts:
    """Components that the hand-over uses."""

    journal: OwnJournal
    notifications: NotificationQueue
    planning: TakeoverPlanning
    counters: ReplicationCounters


class JournalHandOver:
    """Stops the admission of messages, waits for attempts in flight, and surrenders the journal's lease.

    Attributes:
        is_complete: whether the lease is surrendered.
    """

    def __init__(self, node: ClusterNode, consensus: ConsensusService, ports: HandOverPorts) -> None:
        self._node = node
        self._consensus = consensus
        self._ports = ports
        self._engine: DeliveryEngine
        self._attempt_deadline_ms = 0.0  # 0: not started
        self._is_closed = False
        self.is_complete = False

    def attach_engine(self, engine: DeliveryEngine) -> None:
        """Set the engine whose messages are handed over."""
        self._engine = engine

    @property
    def is_started(self) -> bool:
        """Whether the hand-over has started."""
        return self._attempt_deadline_ms > 0.0

    def start(self) -> None:
        """Start the hand-over, unless it has started already."""
        if not self._attempt_deadline_ms:
            self._attempt_deadline_ms = self._node.now_ms() + ATTEMPT_TIMEOUT_MS
            self._engine.freeze()
            self._poll()

    def close(self) -> None:
        """Stop the hand-over."""
        self._is_closed = True

    def _poll(self) -> None:
        if self._is_closed or self.is_complete:
            return
        now = self._node.now_ms()
        if self._engine.in_flight_count and now >= self._attempt_deadline_ms:
            # These attempts may have been executed; the journal tells the successor so.
            self._ports.counters.abandoned_attempts += self._engine.cancel_in_flight()
        is_waiting = bool(self._engine.in_flight_count) or self._ports.journal.unreplicated_count > 0
        has_time = now < self._attempt_deadline_ms + REPLICATION_TIMEOUT_MS
        if not self._ports.journal.is_owner() or (is_waiting and has_time):
            self._node.timers.call_later(POLL_INTERVAL_MS, self._poll)
            return
        self._complete()

    def _complete(self) -> None:
        self.is_complete = True
        self._ports.counters.handed_over += self._engine.held_count
        logger.info("hand-over: hands {} messages over", self._engine.held_count)
        self._engine.suspend(True)
        self._ports.notifications.suspend(True)
        self._ports.notifications.clear()
        self._ports.planning.announce_leaving()
        self._consensus.leases.surrender(journal_role(self._node.name))
