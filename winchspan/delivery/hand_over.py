"""Suspends the engine, and hands its state over to another process in an upgrade."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from loguru import logger

from winchspan import api
from winchspan.delivery.attempts import AttemptRunner
from winchspan.delivery.context import AttemptHold, EngineContext
from winchspan.delivery.dispatch_cycle import DispatchCycle
from winchspan.delivery.engine_state import EngineState
from winchspan.delivery.event_queue import EventQueue
from winchspan.delivery.message_table import MessageTable
from winchspan.delivery.messages import AttemptResult, PendingCall
from winchspan.delivery.recovery import Recovery, message_from_entry
from winchspan.runtime.clock import ms_to_ns, ns_to_ms
from winchspan.scheduling.scheduler import Scheduler


@dataclass(slots=True, frozen=True)
class EngineParts:
    """The components whose state is handed over.

    Attributes:
        table: the accepted messages.
        events: the events that the scheduler has not handled yet.
        attempts: the attempts in flight.
        cycle: the dispatch cycle.
        recovery: resumes final answers that only the journal holds.
    """

    table: MessageTable
    events: EventQueue
    attempts: AttemptRunner
    cycle: DispatchCycle
    recovery: Recovery


class HandOver:
    """Suspends an engine for an upgrade, and resumes one with another process's state."""

    def __init__(self, context: EngineContext, parts: EngineParts) -> None:
        self._context = context
        self._clock = context.clock
        self._journal = context.journal
        self._table = parts.table
        self._events = parts.events
        self._attempts = parts.attempts
        self._cycle = parts.cycle
        self._recovery = parts.recovery
        self._suspended_at_ms = 0.0

    def set_suspended(self, is_suspended: bool) -> None:
        """Suspend or resume decisions and attempts; events are queued during a suspension."""
        if is_suspended and not self._context.is_suspended:
            self._suspended_at_ms = self._clock.now()
        self._context.is_suspended = is_suspended
        if not is_suspended:
            self._events.pending = self._events.refresh(self._events.pending, self._suspended_at_ms)
            self._context.call_soon(self._cycle.run)

    def hold_attempts(self, hold: AttemptHold) -> None:
        """Start no attempt until `release_attempts`; final answers and other decisions go on."""
        self._context.attempt_holds.add(hold)

    def release_attempts(self, hold: AttemptHold) -> None:
        """End a hold; attempts start once there is none."""
        if hold in self._context.attempt_holds:
            self._context.attempt_holds.remove(hold)
            self._events.post(api.TimerFired(0))  # for the messages that have become ready meanwhile

    def export_state(self) -> EngineState:
        """Return the engine's state, for the process that takes over."""
        return EngineState(
            scheduler=self._context.scheduler,
            messages=self._table.messages,
            handles_by_id=self._table.handles_by_id,
            held_count=self._table.held_count,
            in_flight_count=self._attempts.in_flight_count,
            pending_events=self._events.pending,
        )

    def import_state(
        self,
        state: EngineState,
        resume_call: Callable[[PendingCall, Callable[[list[AttemptResult]], None]], None],
    ) -> None:
        """Continue with another process's state and its attempts in flight.

        Args:
            state: the state that the other process has exported.
            resume_call: attaches a call to its connection in this process; gets the callback for its results.
        """
        self._journal.anchor_clock(self._clock)
        self._import_scheduler(state.scheduler)
        self._table.messages = state.messages
        self._table.handles_by_id = state.handles_by_id
        self._table.held_count = state.held_count
        self._attempts.in_flight_count = state.in_flight_count
        handed_over = self._events.refresh(state.pending_events, self._suspended_at_ms)
        self._events.pending = handed_over + self._events.pending
        for attempt in self._table.attempts_in_flight().values():
            if attempt.call is not None:
                resume_call(attempt.call, partial(self._attempts.complete, attempt))
        self._resume_final_answers()
        held_count = self._table.held_count
        in_flight_count = self._attempts.in_flight_count
        logger.info("took over {} messages, {} attempts in flight", held_count, in_flight_count)
        settings = self._context.settings  # the other process may have had different ones
        state.scheduler.reconfigure(replace(settings, classes=self._context.classes))
        self._events.post(api.TimerFired(0))  # replaces any timer that the other process had set
        self._cycle.run()

    def _import_scheduler(self, scheduler: Scheduler) -> None:
        """Import the scheduler, and its overload control unless this process is configured differently."""
        now = ms_to_ns(self._clock.now())
        self._context.scheduler = scheduler
        self._cycle.decided_at_ms = ns_to_ms(scheduler.now)
        if self._context.overload_control.can_continue(scheduler.overload_control):
            self._context.overload_control = scheduler.overload_control
            self._context.overload_control.reconfigure(self._context.settings)
        else:
            scheduler.overload_control = self._context.overload_control
            self._fill_overload_control(scheduler, now)

    def _fill_overload_control(self, scheduler: Scheduler, now: int) -> None:
        """Report held messages and calls in flight to a new overload control."""
        overload_control = self._context.overload_control
        for message in scheduler.held.values():
            remaining_ns = max(0, message.deadline_ns - now)
            arrived = api.MessageArrived(
                message.id,
                message.message_class.name,
                message.destination.id,
                remaining_ns,
                key=message.key,
                is_lowest_priority=message.is_lowest_priority,
            )
            overload_control.message_arrived(now, arrived, message.message_class)
        for call in scheduler.running.values():
            overload_control.call_sent(now, call.destination.id, len(call.members), call.retry_count)

    def _resume_final_answers(self) -> None:
        """Resume the notifications pending in the journal; all other entries must be in the state."""
        open_numbers = {message.journal_number for message in self._table if not message.is_completed}
        for entry in list(self._journal.open_messages):
            if entry.pending_notification is not None:
                message = message_from_entry(entry, 0.0)
                message.is_completed = True
                self._recovery.resume_final_answer(message, entry, entry.pending_notification)
            elif entry.number not in open_numbers:
                logger.error("upgrade: message {} is in the journal only", entry.id)
