"""The delivery engine: accepts messages, runs the scheduler, and gives each message exactly one final answer.

The engine makes no scheduling decisions. It records each change in the journal and queues it as an event.
Once in each scheduling step the scheduler handles the events, and the engine executes its commands. The
engine is independent of network protocols: it uses the ports in `winchspan.delivery.ports`.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from winchspan import api
from winchspan.delivery.admission import Admission, DirectAdmission
from winchspan.delivery.attempt_results import AttemptResults
from winchspan.delivery.attempts import AttemptRunner
from winchspan.delivery.context import AttemptHold, EngineContext
from winchspan.delivery.dispatch_cycle import DispatchCycle
from winchspan.delivery.ended_messages import EndedMessagesState
from winchspan.delivery.engine_state import EngineState
from winchspan.delivery.event_queue import EventQueue
from winchspan.delivery.final_answers import FinalAnswers
from winchspan.delivery.hand_over import EngineParts, HandOver
from winchspan.delivery.intake import Intake
from winchspan.delivery.journal_retry import JournalRetry
from winchspan.delivery.message_release import MessageRelease
from winchspan.delivery.message_table import MessageTable
from winchspan.delivery.messages import (
    AttemptResult,
    DeliveryAttempt,
    PendingCall,
    RedeliveredMessage,
    SubmittedMessage,
)
from winchspan.delivery.ports import EnginePorts
from winchspan.delivery.reconfiguration import ClassesState, Reconfiguration
from winchspan.delivery.recovery import Recovery
from winchspan.runtime.clock import ms_to_ns
from winchspan.runtime.metrics import Metrics
from winchspan.scheduling.scheduler import Scheduler
from winchspan.scheduling.state import PausedKey, RequestedWait, requested_waits
from winchspan.storage.journal_records import JournalEntry


class DeliveryEngine:
    """Facade of the engine's components for other packages."""

    def __init__(self, settings: api.Settings, seed: int, ports: EnginePorts) -> None:
        """Create an engine without messages.

        Args:
            settings: the settings in force.
            seed: seed of the scheduler's random choices.
            ports: the engine's ports.
        """
        context = EngineContext.create(settings, seed, ports)
        table = MessageTable(context.clock)
        events = EventQueue(context, table)
        answers = FinalAnswers(context, table, events)
        results = AttemptResults(context, table, events, answers)
        attempts = AttemptRunner(context, table, results)
        cycle = DispatchCycle(context, table, events, attempts, answers)
        reconfiguration = Reconfiguration(context, events, cycle)
        recovery = Recovery(context, table, events, answers, reconfiguration)
        self._context = context
        self._table = table
        self._events = events
        self._attempts = attempts
        self._cycle = cycle
        self._reconfiguration = reconfiguration
        self._recovery = recovery
        self._admission = _create_admission(context, events, answers)
        table.on_completed = self._admission.complete
        self._intake = Intake(context, table, events, self._admission)
        self._release = MessageRelease(context, table, events)
        self._journal_retry = JournalRetry(context)
        self._hand_over = HandOver(context, EngineParts(table, events, attempts, cycle, recovery))
        reconfiguration.recover()

    # ---- state -------------------------------------------------------------------------------------------
    @property
    def in_flight_count(self) -> int:
        """Number of attempts in flight."""
        return self._attempts.in_flight_count

    @property
    def held_count(self) -> int:
        """Number of messages that are accepted and not completed."""
        return self._table.held_count

    @property
    def is_busy(self) -> bool:
        """Whether attempts are in flight, or messages are open that this process may still attempt."""
        if self._attempts.in_flight_count > 0:
            return True
        return self._table.held_count > 0 and not self._context.is_frozen

    @property
    def metrics(self) -> Metrics:
        """The counters of final answers."""
        return self._context.metrics

    @property
    def overload_control(self) -> api.OverloadControl:
        """The overload control in force; an upgrade may replace it by that of the previous process."""
        return self._context.overload_control

    @property
    def scheduler(self) -> Scheduler:
        """The scheduler in force; an upgrade replaces it by that of the previous process."""
        return self._context.scheduler

    @property
    def awaiting_replication(self) -> dict[int, DeliveryAttempt]:
        """Attempts whose start record is not replicated yet, by `id()`."""
        return self._attempts.awaiting_replication

    def status(self) -> dict[str, Any]:
        """Return the counts of held messages and attempts in flight, under the keys of the status page."""
        destinations = {
            str(destination.id): {
                "queue": len(destination.queue),
                "calls": destination.call_count,
                "window": destination.window,
            }
            for destination in self._context.scheduler.active.values()
        }
        return {
            "held": self._table.held_count,
            "max_held": self._context.settings.max_held,
            "executions_out": self._attempts.in_flight_count,
            "slots": self._context.settings.slots,
            "frozen": self._context.is_frozen,
            "destinations": destinations,
        }

    def is_avoided(self, endpoint: int) -> bool:
        """Return whether an endpoint is unusable, or gets only trial calls now."""
        state = self._context.scheduler.endpoints.get(endpoint)
        return state is None or not state.is_usable or state.is_open

    # ---- intake ------------------------------------------------------------------------------------------
    def accept(self, submitted: SubmittedMessage) -> int:
        """Accept a message and return its handle.

        Raises:
            RejectedError: there is no capacity for the message now.
            BadRequestError: the message is invalid.
        """
        return self._intake.accept(submitted)

    def redeliver(self, message: RedeliveredMessage) -> bool:
        """Accept a dead letter for redelivery; return False if that is not possible now."""
        return self._intake.redeliver(message)

    def withdraw(self, handle: int) -> None:
        """Drop a message whose client has disconnected without a response: it gets no final answer."""
        self._intake.withdraw(handle)

    def is_at_most_once(self, handle: int) -> bool:
        """Return whether a held message must run at most once."""
        message = self._table.get(handle)
        return message is not None and self._context.is_at_most_once(message)

    def update_endpoints(self, update: api.EndpointsUpdated) -> None:
        """Report a change of the endpoint list to the scheduler."""
        self._events.post(update)

    def begin_wait(self, destination: int, endpoint: int, wait_ms: float) -> None:
        """Report a response that asks for a pause of `wait_ms`, before the result of its attempt."""
        self._events.post(api.WaitRequested(destination, endpoint, ms_to_ns(wait_ms)))

    def requested_waits(self) -> list[RequestedWait]:
        """Return the waits in force."""
        destinations = self._context.scheduler.destinations.values()
        return requested_waits(destinations, ms_to_ns(self._context.clock.now()))

    def pause_key(self, key: int, pause_ms: float) -> None:
        """Send no message of an ordering key for `pause_ms`, since an earlier call of it may still run."""
        self._events.post(api.KeyPaused(key, ms_to_ns(pause_ms)))

    def paused_keys(self) -> list[PausedKey]:
        """Return the ordering keys of which no message may be sent yet."""
        now_ns = ms_to_ns(self._context.clock.now())
        paused = self._context.scheduler.key_paused_until_ns.items()
        return [PausedKey(key, until_ns) for key, until_ns in paused if until_ns > now_ns]

    # ---- lifecycle ---------------------------------------------------------------------------------------
    def recover(self) -> None:
        """Resume the open messages of the previous incarnation, in the order of their acceptance."""
        recovered_at_ms = self._recovery.recover(self._admission)
        self._cycle.run(recovered_at_ms)

    def reconfigure(self, settings: api.Settings) -> None:
        """Put settings in force; open messages keep the class that they were accepted under."""
        self._reconfiguration.apply(settings)

    def freeze(self) -> None:
        """Start no further attempts; attempts in flight are still completed and recorded."""
        self._context.is_frozen = True

    def cancel_in_flight(self) -> int:
        """Cancel all attempts in flight, which may have run, and return their number."""
        return self._attempts.cancel_all()

    # ---- failover ----------------------------------------------------------------------------------------
    def adopt(self, entries: list[JournalEntry]) -> None:
        """Resume messages that were taken over from another courier into this journal."""
        self._recovery.adopt(entries, self._admission)
        self._cycle.run()

    def complete_delivered(self, owner: str, message_ids: list[str]) -> int:
        """Complete messages that their previous owner has delivered after all; return their number."""
        return self._release.complete_delivered(owner, message_ids)

    def release_all(self) -> None:
        """Drop all messages, because another courier has taken them over."""
        self._release.release_all()

    # ---- upgrade -----------------------------------------------------------------------------------------
    @property
    def is_suspended(self) -> bool:
        """Whether no decision is made for now."""
        return self._context.is_suspended

    def hold_attempts(self, hold: AttemptHold) -> None:
        """Start no attempt until `release_attempts`; final answers and other decisions go on."""
        self._hand_over.hold_attempts(hold)

    def release_attempts(self, hold: AttemptHold) -> None:
        """End a hold; attempts start once there is none."""
        self._hand_over.release_attempts(hold)

    def suspend(self, is_suspended: bool) -> None:
        """Suspend or resume decisions and attempts; events are queued during a suspension."""
        self._hand_over.set_suspended(is_suspended)

    def set_suspended(self, is_suspended: bool) -> None:
        """Suspend or resume, unless the engine already is in that state."""
        if is_suspended != self._context.is_suspended:
            self.suspend(is_suspended)

    def first_deadline_ms(self) -> float:
        """Return the earliest deadline of an open message, on the engine's clock; infinite without one."""
        return min((each.deadline_ms for each in self._table if not each.is_completed), default=math.inf)

    def decide_pending(self) -> None:
        """Decide on the queued events at once, so that their effects can be exported."""
        self._cycle.run()

    def is_settled(self) -> bool:
        """Return whether all calls in flight have started, and the journal has no backlog."""
        if self._journal_retry.has_backlog:
            return False
        attempts = self._table.attempts_in_flight().values()
        return all(attempt.call is not None for attempt in attempts)

    def export_classes(self) -> ClassesState:
        """Return the message classes in force, for the process that takes over."""
        return self._reconfiguration.export_state()

    def import_classes(self, state: ClassesState | None) -> None:
        """Continue the transition of classes of another process, before its messages are restored."""
        self._reconfiguration.import_state(state)

    def export_ended(self) -> EndedMessagesState:
        """Return the messages that have ended recently, for the process that takes over."""
        return self._table.ended.export_state()

    def import_ended(self, state: EndedMessagesState | None) -> None:
        """Continue with the recently ended messages of another process; None if it does not tell."""
        self._table.ended.import_state(state, self._context.clock.now())

    def export_state(self) -> EngineState:
        """Return the engine's state, for the process that takes over."""
        return self._hand_over.export_state()

    def import_state(
        self,
        state: EngineState,
        resume_call: Callable[[PendingCall, Callable[[list[AttemptResult]], None]], None],
    ) -> None:
        """Continue with another process's state; see `HandOver.import_state`."""
        self._hand_over.import_state(state, resume_call)


def _create_admission(context: EngineContext, events: EventQueue, answers: FinalAnswers) -> Admission:
    """Return the admission queue, or direct admission if the journal is not replicated."""
    if not context.is_replicated:
        return DirectAdmission(events)
    from winchspan.delivery.admission_queue import AdmissionQueue  # imported only where it is used

    return AdmissionQueue(context, events, answers)
