"""Acceptance of messages: validation, admission control and the journal record."""

from __future__ import annotations

from typing import Final

from winchspan import api
from winchspan.delivery.admission import Admission
from winchspan.delivery.context import EngineContext
from winchspan.delivery.errors import BadRequestError, RejectedError
from winchspan.delivery.event_queue import EventQueue
from winchspan.delivery.message_table import MessageTable
from winchspan.delivery.messages import AcceptedMessage, RedeliveredMessage, SubmittedMessage
from winchspan.runtime.clock import ms_to_ns, ns_to_ms
from winchspan.storage.errors import JournalFullError

REDELIVERY_SHARE: Final = 0.5  # share of the held-message limit from which on nothing is redelivered
MAX_DEADLINE_RATIO: Final = 2.0  # maximum of a message's deadline over that of its class
DUPLICATE_HANDLE: Final = -1  # matches no message


class Intake:
    """Decides whether messages are accepted, and passes accepted ones on to the scheduler."""

    def __init__(
        self, context: EngineContext, table: MessageTable, events: EventQueue, admission: Admission
    ) -> None:
        self._context = context
        self._clock = context.clock
        self._journal = context.journal
        self._transport = context.transport
        self._table = table
        self._events = events
        self._admission = admission

    def accept(self, submitted: SubmittedMessage) -> int:
        """Accept a message.

        Args:
            submitted: the message.

        Returns:
            Its handle, for `withdraw`; `DUPLICATE_HANDLE`, which withdraws nothing, if the message was
            accepted before.

        Raises:
            RejectedError: there is no capacity for the message now.
            BadRequestError: the message is invalid.
        """
        try:
            message_class = self._validate(submitted)
            if self._is_duplicate(submitted):
                return DUPLICATE_HANDLE
            message = self._admit(submitted, message_class)
        except RejectedError:
            self._context.metrics.count_completed("deferred", submitted.class_name)
            raise
        except BadRequestError:
            if submitted.class_name in self._context.settings.classes:
                self._context.metrics.count_completed("errored", submitted.class_name)
            raise
        self._table.add(message)
        remaining_ns = ms_to_ns(submitted.time_left_ms - submitted.age_ms)
        arrived = api.MessageArrived(
            message.id,
            message.class_name,
            message.destination,
            remaining_ns,
            key=submitted.key,
            is_repeated=submitted.is_repeated,
        )
        self._admission.admit(message, arrived, message_class)
        return message.handle

    def _is_duplicate(self, submitted: SubmittedMessage) -> bool:
        """Return whether a message was accepted before, and is open or delivered.

        Raises:
            RejectedError: the message has ended without a delivery, or an attempt of it is still in flight:
                it would not be delivered again, and two attempts must never run at once. Or the request may
                have been sent before messages ended that are no longer known.
        """
        message = self._table.find(submitted.id)
        if message is not None:
            if message.is_completed:
                raise RejectedError(0.0, "an attempt of an earlier message with this id is still in flight")
            return True
        ended = self._table.ended.find(submitted.id)
        if ended is not None:
            if ended.is_delivered:
                return True
            raise RejectedError(0.0, "a message with this id has ended")
        if self._clock.now() - submitted.age_ms < self._table.ended.complete_since_ms:
            raise RejectedError(0.0, "the request was read too late")
        return False

    def _validate(self, submitted: SubmittedMessage) -> api.MessageClass:
        """Return the message's class; raise BadRequestError if the message is invalid."""
        message_class = self._context.settings.classes.get(submitted.class_name)
        if message_class is None:
            raise BadRequestError(f"unknown class {submitted.class_name!r:.60}")
        if not self._transport.serves(submitted.destination):
            raise BadRequestError(f"unknown destination {submitted.destination}")
        longest_ms = MAX_DEADLINE_RATIO * ns_to_ms(message_class.deadline_ns)
        if not 0.0 < submitted.time_left_ms <= longest_ms:
            raise BadRequestError(f"no time for this class: {submitted.time_left_ms:.0f} ms")
        if message_class.effect is api.Effect.KEYED and not submitted.idempotency_key:
            # Without a key the endpoint could not tell a retry from a second message.
            raise BadRequestError("this class needs an idempotency key")
        return message_class

    def _admit(self, submitted: SubmittedMessage, message_class: api.MessageClass) -> AcceptedMessage:
        """Record a message in the journal; raise RejectedError if there is no capacity for it."""
        retry_after_ms = self._context.replication.admission_delay_ms()
        if retry_after_ms > 0.0:
            raise RejectedError(retry_after_ms, "no other courier holds a copy now")
        now = self._clock.now()
        remaining_ms = submitted.time_left_ms - submitted.age_ms
        if remaining_ms <= 0.0:  # it was read late: a final answer could miss the deadline
            raise RejectedError(0.0, "its time may be over")
        request = api.AdmissionRequest(
            submitted.id,
            message_class,
            submitted.destination,
            ms_to_ns(remaining_ms),
            submitted.key if message_class.ordered else None,
            submitted.idempotency_key,
            submitted.is_repeated,
            submitted.is_resubmitted,
            self._table.held_count,
        )
        own_count = self._table.held_count - self._admission.backlog_count
        if own_count >= self._context.settings.max_held:
            raise self._no_capacity(now, request)
        rejection = self._context.overload_control.admit(ms_to_ns(now), request)
        if rejection is not None:
            raise RejectedError(ns_to_ms(rejection.retry_after_ns), rejection.reason)
        return self._record(submitted, request, now, remaining_ms)

    def _record(
        self, submitted: SubmittedMessage, request: api.AdmissionRequest, now: float, remaining_ms: float
    ) -> AcceptedMessage:
        try:
            journal_number = self._journal.accept(
                submitted.id,
                submitted.class_name,
                submitted.key,
                submitted.destination,
                self._clock.persistent_unix_ms() + remaining_ms,
                submitted.idempotency_key,
                submitted.body,
            )
        except JournalFullError:
            raise self._no_capacity(now, request) from None
        return AcceptedMessage(
            journal_number,
            submitted.id,
            submitted.destination,
            now + remaining_ms,
            submitted.idempotency_key,
            submitted.body,
            submitted.class_name,
            attempt_history=self._context.new_attempt_history(),
        )

    def _no_capacity(self, now: float, request: api.AdmissionRequest) -> RejectedError:
        """Return the rejection of a message for lack of capacity."""
        rejection = self._context.overload_control.reject_when_full(
            ms_to_ns(now), request, self._context.settings.max_retry_after_ns
        )
        return RejectedError(ns_to_ms(rejection.retry_after_ns), rejection.reason)

    def redeliver(self, redelivered: RedeliveredMessage) -> bool:
        """Accept a dead letter with the lowest priority; return False if that is not possible now.

        It is processed as any other message, with the journal, scheduler, backoff, draining and per-key
        ordering, but causes no completion notification. It is not accepted while an attempt of the same
        message is in flight, even past its deadline, so that two attempts never run at once.
        """
        message_class = self._context.settings.classes.get(redelivered.class_name)
        if message_class is None or not self._may_redeliver(redelivered):
            return False
        now = self._clock.now()
        request = api.AdmissionRequest(
            redelivered.id,
            message_class,
            redelivered.destination,
            message_class.deadline_ns,
            redelivered.key if message_class.ordered else None,
            idempotency_key="",
            is_repeated=True,
            is_resubmitted=False,
            held_count=self._table.held_count,
        )
        if self._context.overload_control.admit(ms_to_ns(now), request) is not None:
            return False
        message = self._record_redelivery(redelivered, now, ns_to_ms(message_class.deadline_ns))
        if message is None:
            return False
        self._table.add(message)
        self._events.post(self._redelivery_event(redelivered, message_class.deadline_ns))
        return True

    def _may_redeliver(self, redelivered: RedeliveredMessage) -> bool:
        return (
            redelivered.id not in self._table
            and not self._context.is_frozen
            and self._transport.serves(redelivered.destination)
            and self._table.held_count < REDELIVERY_SHARE * self._context.settings.max_held
        )

    def _record_redelivery(
        self, redelivered: RedeliveredMessage, now: float, remaining_ms: float
    ) -> AcceptedMessage | None:
        """Record a redelivery in the journal; return None if the journal is full."""
        first_run_ms = redelivered.first_run_unix_ms
        if first_run_ms is not None:
            first_run_ms -= self._clock.wall_clock_skew_ms
        try:
            journal_number = self._journal.accept(
                redelivered.id,
                redelivered.class_name,
                redelivered.key,
                redelivered.destination,
                self._clock.persistent_unix_ms() + remaining_ms,
                redelivered.idempotency_key,
                redelivered.body,
                redelivered.dead_letter_number,
                first_run_ms,
            )
        except JournalFullError:
            return None
        return AcceptedMessage(
            journal_number,
            redelivered.id,
            redelivered.destination,
            now + remaining_ms,
            redelivered.idempotency_key,
            redelivered.body,
            redelivered.class_name,
            redelivery_of=redelivered.dead_letter_number,
            attempt_history=[],
        )

    def _redelivery_event(self, redelivered: RedeliveredMessage, remaining_ns: int) -> api.MessageRecovered:
        executed_ago_ns = None
        if redelivered.first_run_unix_ms is not None:
            executed_ago_ns = ms_to_ns(max(0.0, self._clock.unix_ms() - redelivered.first_run_unix_ms))
        arrived = api.MessageArrived(
            redelivered.id,
            redelivered.class_name,
            redelivered.destination,
            remaining_ns,
            key=redelivered.key,
            is_lowest_priority=True,
        )
        return api.MessageRecovered(arrived, 0, executed_ago_ns)

    def withdraw(self, handle: int) -> None:
        """Drop a message whose client has disconnected without a response: it gets no final answer."""
        message = self._table.get(handle)
        if message is None or message.is_completed:
            return
        # Accepted again, a message would not know when the idempotency window of its earlier attempt ends.
        may_run_again = not message.attempt_count or self._context.is_idempotent(message)
        self._events.post(api.MessageWithdrawn(message.id))
        self._journal.record_completed([message.journal_number])
        self._context.metrics.count_completed("errored", message.class_name)
        self._table.withdraw(message, may_run_again=may_run_again)
