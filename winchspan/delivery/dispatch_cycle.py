"""The dispatch cycle: passes queued events to the scheduler and executes its commands."""

from __future__ import annotations

from loguru import logger

from winchspan import api
from winchspan.delivery.attempts import AttemptRunner, ScheduledMessage
from winchspan.delivery.context import EngineContext
from winchspan.delivery.event_queue import EventQueue
from winchspan.delivery.final_answers import FinalAnswers
from winchspan.delivery.message_table import MessageTable
from winchspan.delivery.messages import STATE_FAILED, STATE_RETURNED
from winchspan.runtime.clock import ms_to_ns, ns_to_ms
from winchspan.runtime.timers import Timer
from winchspan.storage.journal_records import OutageRecorded


class DispatchCycle:
    """Runs the scheduler, normally once in each scheduling step.

    Attributes:
        decided_at_ms: the time that the last decisions are based on, on the engine's clock.
    """

    def __init__(
        self,
        context: EngineContext,
        table: MessageTable,
        events: EventQueue,
        attempts: AttemptRunner,
        answers: FinalAnswers,
    ) -> None:
        self._context = context
        self._table = table
        self._events = events
        self._attempts = attempts
        self._answers = answers
        self._timers: dict[int, Timer] = {}
        self.decided_at_ms = 0.0
        events.run_cycle = self.run

    def run(self, at_ms: float | None = None) -> None:
        """Let the scheduler handle all queued events, and execute its commands.

        Args:
            at_ms: the time to base decisions on, on the engine's clock; None: the last poll of the sockets.
        """
        self._events.is_cycle_due = False
        if self._context.is_frozen or self._context.is_suspended or not self._events.pending:
            return
        events = self._events.take_all()
        now_ms = self._decision_time_ms() if at_ms is None else at_ms
        self.decided_at_ms = now_ms
        try:
            commands = self._context.scheduler.handle(
                ms_to_ns(now_ms), events, may_start=not self._context.attempt_holds
            )
        except Exception:  # a fault in one decision must not stop the courier
            logger.exception("dispatch cycle failed on {} events", len(events))
            return
        scheduled_by_endpoint: dict[int, list[ScheduledMessage]] = {}
        for command in commands:
            if isinstance(command, api.StartAttempt):
                self._schedule(command, scheduled_by_endpoint)
            else:
                self._execute(command, now_ms)
        for endpoint, scheduled in scheduled_by_endpoint.items():
            self._attempts.start(endpoint, scheduled, self._context.clock.now())

    def _schedule(
        self, command: api.StartAttempt, scheduled_by_endpoint: dict[int, list[ScheduledMessage]]
    ) -> None:
        """Collect an attempt: attempts of one cycle at the same endpoint may share calls."""
        message = self._table.find(command.message)
        if message is not None:
            scheduled_by_endpoint.setdefault(command.endpoint, []).append(ScheduledMessage(message, command))

    def _execute(self, command: api.Command, now_ms: float) -> None:
        match command:
            case api.RejectMessage(message, retry_after_ns, reason):
                self._answers.finish(message, STATE_RETURNED, int(ns_to_ms(retry_after_ns)), reason)
            case api.FailMessage(message):
                self._answers.finish(message, STATE_FAILED, 0)
            case api.CancelAttempt(message, attempt_number):
                self._attempts.cancel(message, attempt_number)
            case api.SetTimer(after_ns, token):
                self._set_timer(now_ms + ns_to_ms(after_ns), token)
            case api.RecallAttempts(endpoint):
                self._attempts.recall(endpoint)
            case api.CloseIdleConnections(endpoint):
                self._context.transport.close_idle(endpoint)
            case api.RecordSlowStart():
                self._record_slow_start(command, now_ms)
            case api.LogDecision(text):
                logger.info("decision: {}", text)
            case _:
                logger.debug("command not supported on this platform: {}", command)

    def _record_slow_start(self, command: api.RecordSlowStart, now_ms: float) -> None:
        ago_ms = now_ms - ns_to_ms(command.since_ns)
        at_ms = self._context.clock.persistent_unix_ms() - ago_ms
        record = OutageRecorded(command.destination, command.phase.value, at_ms, command.calls_per_s)
        self._context.journal.record_outage(record)

    def _decision_time_ms(self) -> float:
        """Return the time to base decisions on: the end of the last poll of the sockets.

        A cycle may be delayed after the poll. Responses that arrive in between are not read yet, and their
        calls must not be judged as overdue. No backoff or window ends early by this: they start at such a
        poll time as well, or at an earlier one.
        """
        polled_at_ms = self._context.poll_monitor.last_poll_ms
        return max(self.decided_at_ms, min(self._context.clock.now(), polled_at_ms))

    def _set_timer(self, at_ms: float, token: int) -> None:
        """Post an event at a time; a later timer of the same token replaces the earlier one."""
        if token in self._timers:
            self._timers[token].cancel()
        self._timers[token] = self._context.timers.call_at(
            at_ms, lambda: self._events.post(api.TimerFired(token))
        )
