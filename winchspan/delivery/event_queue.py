"""Queues the scheduler's events and requests the dispatch cycle that passes them on."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TypeVar

from winchspan import api
from winchspan.delivery.context import EngineContext
from winchspan.delivery.message_table import MessageTable
from winchspan.runtime.clock import ms_to_ns, ns_to_ms

EventT = TypeVar("EventT", bound=api.Event)


class EventQueue:
    """Events that the scheduler has not handled yet, in order.

    Attributes:
        pending: the events.
        is_cycle_due: whether a dispatch cycle is scheduled at the end of the current scheduling step.
        run_cycle: runs a dispatch cycle.
    """

    def __init__(self, context: EngineContext, table: MessageTable) -> None:
        self._context = context
        self._clock = context.clock
        self._table = table
        self.pending: list[api.Event] = []
        self.is_cycle_due = False
        self.run_cycle: Callable[[], None] = lambda: None

    def post(self, event: api.Event) -> None:
        """Queue an event; all events of one scheduling step are handled together."""
        self.pending.append(event)
        if isinstance(event, api.EndpointsUpdated | api.WaitRequested):  # both forbid calls from now on
            self._context.call_soon(self.run_cycle)
        elif not self.is_cycle_due:
            self.is_cycle_due = True
            step_ms = ns_to_ms(self._context.settings.step_ns)
            now = self._clock.now()
            self._context.timers.call_at((now // step_ms + 1) * step_ms, self.run_cycle)

    def take_all(self) -> list[api.Event]:
        """Remove and return all events."""
        events = self.pending
        self.pending = []
        return events

    def keep_accepted_classes(self) -> None:
        """Have all queued events name the classes that their messages were accepted under."""
        self.pending = [self.with_accepted_class(event) for event in self.pending]

    def with_accepted_class(self, event: EventT) -> EventT:
        """Return an event that names the class that its message was accepted under, whatever is in force."""
        if isinstance(event, api.MessageRecovered):
            return replace(event, arrived=self.with_accepted_class(event.arrived))
        if not isinstance(event, api.MessageArrived):
            return event
        message = self._table.find(event.message)
        entry = None if message is None else self._context.journal.get(message.journal_number)
        return event if entry is None else replace(event, class_name=self._context.class_name_of(entry))

    def refresh(self, events: list[api.Event], suspended_at_ms: float) -> list[api.Event]:
        """Return events with their times adjusted for a suspension of the engine.

        Messages keep their deadlines: without this they would end too late by the length of the suspension.

        Args:
            events: events that were queued during the suspension.
            suspended_at_ms: when the suspension began, on the engine's clock.
        """
        now = self._clock.now()
        return [self._refresh_event(event, now, suspended_at_ms) for event in events]

    def _refresh_event(self, event: api.Event, now: float, suspended_at_ms: float) -> api.Event:
        if isinstance(event, api.MessageArrived):
            return self._with_time_left(event, now)
        if isinstance(event, api.MessageRecovered):
            executed_ago_ns = event.executed_ago_ns
            if (
                executed_ago_ns is not None
            ):  # otherwise a retry window would grow by the length of the suspension
                executed_ago_ns += ms_to_ns(now - suspended_at_ms)
            arrived = self._with_time_left(event.arrived, now)
            return replace(event, arrived=arrived, executed_ago_ns=executed_ago_ns)
        if isinstance(event, api.SlowStartRecovered):
            return replace(event, elapsed_ns=event.elapsed_ns + ms_to_ns(now - suspended_at_ms))
        return event

    def _with_time_left(self, arrived: api.MessageArrived, now: float) -> api.MessageArrived:
        message = self._table.find(arrived.message)
        if message is None:
            return arrived
        return replace(arrived, remaining_ns=ms_to_ns(max(0.0, message.deadline_ms - now)))
