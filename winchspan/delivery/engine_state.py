"""State of a delivery engine that an upgrade hands over to the next process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from winchspan import api
    from winchspan.delivery.messages import AcceptedMessage
    from winchspan.runtime.slot_table import SlotTable
    from winchspan.scheduling.scheduler import Scheduler


@dataclass(slots=True)
class EngineState:
    """The state of a delivery engine that is not in its journal.

    Attributes:
        scheduler: the scheduler, with its state of destinations, endpoints and calls.
        messages: accepted messages that are not completed, or have an attempt in flight.
        handles_by_id: handles in `messages`, by message identifier.
        held_count: number of messages that are not completed.
        in_flight_count: number of attempts in flight.
        pending_events: events that the scheduler has not handled yet, in order.
    """

    scheduler: Scheduler
    messages: SlotTable[AcceptedMessage]
    handles_by_id: dict[str, int]
    held_count: int
    in_flight_count: int
    pending_events: list[api.Event]
