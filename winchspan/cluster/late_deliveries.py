"""Reports deliveries that completed at a courier after another courier had taken its journal over."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Final, NamedTuple

from winchspan.cluster.message_bus import MessageBus
from winchspan.cluster.messages import LateDeliveriesReported
from winchspan.cluster.replication_counters import ReplicationCounters
from winchspan.delivery.engine import DeliveryEngine
from winchspan.storage.journal_records import JournalEntry

MAX_LATE_DELIVERIES: Final = 1_024  # limit of own deliveries, and of reported ones


class LateDelivery(NamedTuple):
    """A delivered message, and the number of its journal record; 0 if the journal was taken over before."""

    record_number: int
    message_id: str


class LateDeliveries:
    """Stores own deliveries until their records are replicated, and deliveries that other couriers report."""

    def __init__(self, bus: MessageBus, counters: ReplicationCounters) -> None:
        self._bus = bus
        self._counters = counters
        self._engine: DeliveryEngine
        self._own: deque[LateDelivery] = deque(maxlen=MAX_LATE_DELIVERIES)
        self._reported: dict[str, str] = {}  # by message id, the courier that delivered it
        bus.subscribe(LateDeliveriesReported, self._on_reported)

    def attach_engine(self, engine: DeliveryEngine) -> None:
        """Set the engine that completes reported messages."""
        self._engine = engine

    def add(self, record_number: int, message_id: str) -> None:
        """Store a delivery, and the number of its journal record."""
        self._own.append(LateDelivery(record_number, message_id))

    def discard_replicated(self, record_number: int) -> None:
        """Remove the deliveries whose records are replicated, up to a record number."""
        unreplicated = (delivery for delivery in self._own if delivery.record_number > record_number)
        self._own = deque(unreplicated, MAX_LATE_DELIVERIES)

    def announce(self) -> None:
        """Report to all members the deliveries whose records may not be replicated."""
        if self._own:
            self._bus.broadcast(LateDeliveriesReported([delivery.message_id for delivery in self._own]))

    def complete_reported(self, owner: str, entries: Iterable[JournalEntry]) -> None:
        """Complete the messages of a taken-over journal that its owner has reported as delivered."""
        message_ids = [entry.id for entry in entries if self._reported.get(entry.id) == owner]
        self._counters.late_deliveries += self._engine.complete_delivered(owner, message_ids)

    def _on_reported(self, sender: str, message: LateDeliveriesReported) -> None:
        message_ids = message.message_ids[:MAX_LATE_DELIVERIES]
        for message_id in message_ids:
            self._reported[message_id] = sender
        while len(self._reported) > MAX_LATE_DELIVERIES:
            del self._reported[next(iter(self._reported))]
        self._counters.late_deliveries += self._engine.complete_delivered(sender, message_ids)
