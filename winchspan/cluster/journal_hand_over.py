"""The hand-over of this courier's journal to another one at SIGTERM."""

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

ATTEMPT_TIMEOUT_MS: Final = 1_500.0  # for attempts in flight, before they are given up
REPLICATION_TIMEOUT_MS: Final = 500.0  # and for their ends to be replicated
POLL_INTERVAL_MS: Final = 25.0


class OwnJournal(Protocol):
    """This courier's journal, as far as its hand-over looks at it."""

    @property
    def unreplicated_count(self) -> int:
        """How many records are not replicated yet."""

    def is_owner(self) -> bool:
        """Return whether this courier may act on its journal now."""


@dataclass(frozen=True, slots=True)
class HandOverPorts:
    """What the hand-over acts on."""

    journal: OwnJournal
    notifications: NotificationQueue
    planning: TakeoverPlanning
    counters: ReplicationCounters


class JournalHandOver:
    """Admits nothing more, waits for attempts in flight, and gives the journal up."""

    def __init__(self, node: ClusterNode, consensus: ConsensusService, ports: HandOverPorts) -> None:
        self._node = node
        self._consensus = consensus
        self._ports = ports
        self._engine: DeliveryEngine
        self._attempt_deadline_ms = 0.0  # 0: not started
        self._is_closed = False
        self.is_complete = False

    def attach_engine(self, engine: DeliveryEngine) -> None:
        """Take the engine whose messages are handed over."""
        self._engine = engine

    @property
    def is_started(self) -> bool:
        """Whether it has begun."""
        return self._attempt_deadline_ms > 0.0

    def start(self) -> None:
        """Begin, unless it has begun already."""
        if not self._attempt_deadline_ms:
            self._attempt_deadline_ms = self._node.now_ms() + ATTEMPT_TIMEOUT_MS
            self._engine.freeze()
            self._poll()

    def close(self) -> None:
        """Do nothing any more."""
        self._is_closed = True

    def _poll(self) -> None:
        if self._is_closed or self.is_complete:
            return
        now = self._node.now_ms()
        if self._engine.in_flight_count and now >= self._attempt_deadline_ms:
            # They may have been executed: whoever continues them is notified of that.
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
