"""Admission of messages to the scheduler where other couriers hold replicas.

A message waits behind other couriers' messages with the same ordering or idempotency key. Messages that are
taken over are admitted at a rate that leaves capacity for the courier's own messages.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from functools import partial
from typing import Final, TypeAlias

from winchspan import api
from winchspan.delivery.context import EngineContext
from winchspan.delivery.event_queue import EventQueue
from winchspan.delivery.final_answers import FinalAnswers
from winchspan.delivery.messages import STATE_FAILED, STATE_RETURNED, AcceptedMessage
from winchspan.runtime.clock import ms_to_ns, ns_to_ms
from winchspan.runtime.timers import Timer

TAKEOVER_SHARE: Final = 0.5  # maximum share of all held messages that were taken over
POLL_INTERVAL_MS: Final = 50.0  # between two checks of the queue
EXPIRY_MARGIN_MS: Final = 100.0  # before its deadline, at which a waiting message is completed

ArrivalEvent: TypeAlias = api.MessageArrived | api.MessageRecovered


@dataclass(slots=True, frozen=True)
class _WaitingMessage:
    """A message that waits for other couriers' messages."""

    message: AcceptedMessage
    event: ArrivalEvent
    enqueued_ms: float


@dataclass(slots=True, frozen=True)
class _BacklogMessage:
    """A message that was taken over from another courier and waits for capacity."""

    message: AcceptedMessage
    event: api.MessageRecovered
    enqueued_ms: float
    message_class: api.MessageClass | None
    origin: str


class AdmissionQueue:
    """Accepted messages that have not been posted to the scheduler yet."""

    def __init__(self, context: EngineContext, events: EventQueue, answers: FinalAnswers) -> None:
        self._context = context
        self._clock = context.clock
        self._replication = context.replication
        self._events = events
        self._answers = answers
        self._waiting: dict[int, _WaitingMessage] = {}  # by journal number
        self._backlog: deque[_BacklogMessage] = deque()
        self._admitted_takeovers: set[int] = set()  # journal numbers of open messages that were admitted
        self._timer: Timer | None = None

    @property
    def backlog_count(self) -> int:
        """Number of messages that were taken over from other couriers and are not admitted yet."""
        return len(self._backlog)

    def admit(
        self,
        message: AcceptedMessage,
        event: ArrivalEvent,
        message_class: api.MessageClass | None,
        origin: str | None = None,
    ) -> None:
        """Admit a message once no other courier's message has to go first.

        Args:
            message: the message.
            event: the event that is posted to the scheduler.
            message_class: its class; None if it is unknown.
            origin: the courier that accepted it; empty: this courier before a restart; None: it is new.
        """
        arrived = event.arrived if isinstance(event, api.MessageRecovered) else event
        is_idempotent = message_class is not None and message_class.effect is api.Effect.REPEATABLE
        key = arrived.key if message_class is None or message_class.ordered else None
        self._waiting[message.journal_number] = _WaitingMessage(message, event, self._clock.now())
        self._replication.wait_for_predecessors(
            message.journal_number,
            message.class_name,
            key,
            "" if is_idempotent else message.idempotency_key,
            origin,
            partial(self._post_event, message.journal_number),
        )
        self._schedule_poll()

    def admit_taken_over(
        self,
        message: AcceptedMessage,
        event: api.MessageRecovered,
        message_class: api.MessageClass | None,
        origin: str,
    ) -> None:
        """Admit a message that was taken over from another courier, once there is capacity for it."""
        self._backlog.append(_BacklogMessage(message, event, self._clock.now(), message_class, origin))
        self._admit_backlog()
        self._schedule_poll()

    def complete(self, journal_number: int) -> None:
        """Remove a completed message from the queue."""
        if self._waiting.pop(journal_number, None) is not None:
            self._replication.cancel_wait(journal_number)
        self._admitted_takeovers.discard(journal_number)

    def _post_event(self, journal_number: int, earlier_run: tuple[float, str] | None) -> None:
        """Post the event of a message that no longer has to wait.

        Args:
            journal_number: the message's number in the journal.
            earlier_run: age in ms and zone of an attempt that may have run with the same idempotency key;
                None if there is none.
        """
        waiting = self._waiting.pop(journal_number, None)
        if waiting is not None:
            waited_ms = self._clock.now() - waiting.enqueued_ms
            event = _event_after_wait(waiting.event, waited_ms, earlier_run)
            self._events.post(self._events.with_accepted_class(event))

    def _admit_backlog(self) -> None:
        while self._backlog and len(self._admitted_takeovers) < self._takeover_limit():
            entry = self._backlog.popleft()
            if entry.message.is_completed:
                continue
            self._admitted_takeovers.add(entry.message.journal_number)
            event = _event_after_wait(entry.event, self._clock.now() - entry.enqueued_ms)
            self.admit(entry.message, event, entry.message_class, entry.origin)

    def _takeover_limit(self) -> float:
        return max(1, TAKEOVER_SHARE * self._context.settings.max_held)

    def _schedule_poll(self) -> None:
        if self._timer is None and (self._waiting or self._backlog):
            self._timer = self._context.timers.call_later(POLL_INTERVAL_MS, self._poll)

    def _poll(self) -> None:
        """Complete messages that are about to expire, and admit messages that there is capacity for."""
        self._timer = None
        expires_by_ms = self._clock.now() + EXPIRY_MARGIN_MS
        entries: list[_WaitingMessage | _BacklogMessage] = [*self._waiting.values(), *self._backlog]
        for entry in entries:
            message = entry.message
            if message.deadline_ms <= expires_by_ms and not message.is_completed:
                state = STATE_FAILED if _may_have_run(entry.event) else STATE_RETURNED
                self._answers.finish(message.id, state, 0)
        self._backlog = deque(entry for entry in self._backlog if not entry.message.is_completed)
        self._admit_backlog()
        self._schedule_poll()


def _may_have_run(event: ArrivalEvent) -> bool:
    return isinstance(event, api.MessageRecovered) and (
        event.was_in_flight or event.executed_ago_ns is not None
    )


def _event_after_wait(
    event: ArrivalEvent, waited_ms: float, earlier_run: tuple[float, str] | None = None
) -> ArrivalEvent:
    """Return the event of a message that has waited, with its times adjusted.

    Args:
        event: the event as of when the message was enqueued.
        waited_ms: time that the message has waited.
        earlier_run: age in ms and zone of an attempt that may have run with the same idempotency key; None if
            there is none.
    """
    if waited_ms <= 0.0 and earlier_run is None:
        return event
    recovered = event if isinstance(event, api.MessageRecovered) else api.MessageRecovered(event)
    remaining_ns = max(0, recovered.arrived.remaining_ns - ms_to_ns(waited_ms))
    arrived = replace(recovered.arrived, remaining_ns=remaining_ns)
    executed_ago_ns = recovered.executed_ago_ns
    executed_zone = recovered.executed_zone
    if executed_ago_ns is not None:
        executed_ago_ns += ms_to_ns(waited_ms)
    if earlier_run is not None:
        earlier_ms, earlier_zone = earlier_run
        if executed_ago_ns is None or earlier_ms > ns_to_ms(executed_ago_ns):
            executed_ago_ns = ms_to_ns(earlier_ms)
            executed_zone = earlier_zone
    if isinstance(event, api.MessageArrived) and executed_ago_ns is None:
        return arrived
    return replace(recovered, arrived=arrived, executed_ago_ns=executed_ago_ns, executed_zone=executed_zone)
