"""Lets messages in to the scheduler where other couriers hold replicas.

Messages wait behind other couriers' messages with the same ordering or idempotency key, and messages that are
taken over come in at a pace that leaves capacity for the courier's own.
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

TAKEOVER_SHARE: Final = 0.5  # of the messages that may be held, for those taken over at one time
POLL_INTERVAL_MS: Final = 50.0  # between two checks of the waiting messages
EXPIRY_MARGIN_MS: Final = 100.0  # before its deadline, by which a message that still waits is ended

ArrivalEvent: TypeAlias = api.MessageArrived | api.MessageRecovered


@dataclass(slots=True, frozen=True)
class _WaitingMessage:
    """A message that waits for other couriers' messages."""

    message: AcceptedMessage
    event: ArrivalEvent
    since_ms: float


@dataclass(slots=True, frozen=True)
class _BacklogMessage:
    """A message that was taken over and waits for capacity."""

    message: AcceptedMessage
    event: api.MessageRecovered
    since_ms: float
    message_class: api.MessageClass | None
    origin: str


class AdmissionQueue:
    """Messages that the scheduler does not know of yet."""

    def __init__(self, context: EngineContext, events: EventQueue, answers: FinalAnswers) -> None:
        self._context = context
        self._clock = context.clock
        self._replication = context.replication
        self._events = events
        self._answers = answers
        self._waiting: dict[int, _WaitingMessage] = {}  # by journal number
        self._backlog: deque[_BacklogMessage] = deque()
        self._admitted_takeovers: set[int] = set()  # journal numbers of those that were let in
        self._timer: Timer | None = None

    @property
    def backlog_count(self) -> int:
        """How many messages of other couriers have been taken over and not let in yet."""
        return len(self._backlog)

    def enter(
        self,
        message: AcceptedMessage,
        event: ArrivalEvent,
        message_class: api.MessageClass | None,
        origin: str | None = None,
    ) -> None:
        """Let a message in, now or once no other courier's message goes first.

        Args:
            message: the message.
            event: what the scheduler is told.
            message_class: its class, if that is known.
            origin: the courier that accepted it; empty: this one, in a previous incarnation; None: it is new.
        """
        arrived = event.arrived if isinstance(event, api.MessageRecovered) else event
        is_idempotent = message_class is not None and message_class.effect is api.Effect.REPEATABLE
        key = arrived.key if message_class is None or message_class.ordered else None
        self._waiting[message.journal_number] = _WaitingMessage(message, event, self._clock.now())
        self._replication.enter(
            message.journal_number,
            message.class_name,
            key,
            "" if is_idempotent else message.idempotency_key,
            origin,
            partial(self._admit, message.journal_number),
        )
        self._schedule_poll()

    def take_over(
        self,
        message: AcceptedMessage,
        event: api.MessageRecovered,
        message_class: api.MessageClass | None,
        origin: str,
    ) -> None:
        """Let in a message of another courier's work, as soon as there is capacity for it."""
        self._backlog.append(_BacklogMessage(message, event, self._clock.now(), message_class, origin))
        self._admit_backlog()
        self._schedule_poll()

    def complete(self, journal_number: int) -> None:
        """Stop waiting for a message that is completed."""
        if self._waiting.pop(journal_number, None) is not None:
            self._replication.forget(journal_number)
        self._admitted_takeovers.discard(journal_number)

    def _admit(self, journal_number: int, earlier_run: tuple[float, str] | None) -> None:
        """Tell the scheduler of a message that waits for nothing any more.

        Args:
            journal_number: the message.
            earlier_run: how many ms ago, and in which zone, a message with the same idempotency key may have
                run; None if none has.
        """
        waiting = self._waiting.pop(journal_number, None)
        if waiting is not None:
            waited_ms = self._clock.now() - waiting.since_ms
            self._events.post(_after_waiting(waiting.event, waited_ms, earlier_run))

    def _admit_backlog(self) -> None:
        while self._backlog and len(self._admitted_takeovers) < self._takeover_limit():
            entry = self._backlog.popleft()
            if entry.message.is_completed:
                continue
            self._admitted_takeovers.add(entry.message.journal_number)
            event = _after_waiting(entry.event, self._clock.now() - entry.since_ms)
            self.enter(entry.message, event, entry.message_class, entry.origin)

    def _takeover_limit(self) -> float:
        return max(1, TAKEOVER_SHARE * self._context.settings.max_held)

    def _schedule_poll(self) -> None:
        if self._timer is None and (self._waiting or self._backlog):
            self._timer = self._context.timers.call_later(POLL_INTERVAL_MS, self._poll)

    def _poll(self) -> None:
        """End the messages whose time is up, and let in what has capacity now."""
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


def _after_waiting(
    event: ArrivalEvent, waited_ms: float, earlier_run: tuple[float, str] | None = None
) -> ArrivalEvent:
    """Return what the scheduler is told of a message that has waited.

    Args:
        event: what it would have been told before.
        waited_ms: how long the message has waited.
        earlier_run: how many ms ago, and in which zone, a message with the same idempotency key may have run;
            None if none has.
    """
    if waited_ms <= 0.0 and earlier_run is None:
        return event
    recovered = event if isinstance(event, api.MessageRecovered) else api.MessageRecovered(event)
    left_ns = max(0, recovered.arrived.remaining_ns - ms_to_ns(waited_ms))
    arrived = replace(recovered.arrived, remaining_ns=left_ns)
    ran_ago_ns = recovered.executed_ago_ns
    ran_zone = recovered.executed_zone
    if ran_ago_ns is not None:
        ran_ago_ns += ms_to_ns(waited_ms)
    if earlier_run is not None:
        earlier_ms, earlier_zone = earlier_run
        if ran_ago_ns is None or earlier_ms > ns_to_ms(ran_ago_ns):
            ran_ago_ns = ms_to_ns(earlier_ms)
            ran_zone = earlier_zone
    if isinstance(event, api.MessageArrived) and ran_ago_ns is None:
        return arrived
    return replace(recovered, arrived=arrived, executed_ago_ns=ran_ago_ns, executed_zone=ran_zone)
