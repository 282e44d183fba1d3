"""Starts, cancels and withdraws attempts, and counts those in flight."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import Final

from loguru import logger

from winchspan import api
from winchspan.delivery.attempt_results import AttemptResults
from winchspan.delivery.context import EngineContext
from winchspan.delivery.message_table import MessageTable
from winchspan.delivery.messages import AcceptedMessage, AttemptResult, DeliveryAttempt, OutgoingMessage
from winchspan.runtime.clock import ns_to_ms

# Upper bound on how long a call outlasts a member's deadline: 300 ms past it the message counts as lost.
MAX_CALL_OVERRUN_MS: Final = 250.0


@dataclass(slots=True)
class ScheduledMessage:
    """A message, and the scheduler's command to start an attempt of it."""

    message: AcceptedMessage
    command: api.StartAttempt


@dataclass(slots=True)
class _PreparedCall:
    """A call that is recorded in the journal and may start."""

    attempt: DeliveryAttempt
    messages: list[OutgoingMessage]
    deadline_ms: float
    start_by_ms: float | None


class AttemptRunner:
    """Owns the attempts in flight.

    Attributes:
        in_flight_count: number of attempts that have not ended, including those whose call has not started.
        awaiting_replication: attempts whose start record is not replicated yet, by `id()`.
    """

    def __init__(self, context: EngineContext, table: MessageTable, results: AttemptResults) -> None:
        self._context = context
        self._clock = context.clock
        self._journal = context.journal
        self._transport = context.transport
        self._replication = context.replication
        self._table = table
        self._results = results
        self.in_flight_count = 0
        self.awaiting_replication: dict[int, DeliveryAttempt] = {}

    def start(self, endpoint: int, scheduled: list[ScheduledMessage], now_ms: float) -> None:
        """Start one dispatch cycle's attempts at an endpoint, in calls as large as it accepts."""
        name, zone, messages_per_call = self._transport.describe(endpoint)
        for first in range(0, len(scheduled), messages_per_call):
            batch = _with_longest_deadline_first(scheduled[first : first + messages_per_call])
            attempt = self._create_attempt(endpoint, batch, now_ms)
            numbers = [item.message.journal_number for item in batch]
            if self._journal.record_attempt_started(numbers, name, zone, self._clock.persistent_unix_ms()):
                logger.debug(
                    "attempt started: endpoint {}, {}: {}",
                    name,
                    batch[0].command.pacing.value,
                    [(item.message.id, item.message.attempt_count) for item in batch],
                )
                self._start_once_replicated(_prepare_call(attempt, batch))
            else:
                # Must not be sent: without a record, recovery would treat it as an attempt that never ran.
                self._report_soon(attempt, api.Outcome.NOT_SENT)

    def _create_attempt(self, endpoint: int, batch: list[ScheduledMessage], now_ms: float) -> DeliveryAttempt:
        attempt = DeliveryAttempt(endpoint, [], now_ms)
        for item in batch:
            message = item.message
            attempt.members.append((message.handle, message.attempt_count))
            message.attempt_count += 1
            message.attempt = attempt
        self.in_flight_count += 1
        return attempt

    def _start_once_replicated(self, call: _PreparedCall) -> None:
        self.awaiting_replication[id(call.attempt)] = call.attempt
        self._replication.when_replicated(
            partial(self._start_call, call), partial(self.withdraw, call.attempt, api.Outcome.NOT_SENT)
        )

    def _start_call(self, call: _PreparedCall) -> None:
        """Start a call whose start record is replicated, unless it was withdrawn meanwhile."""
        attempt = call.attempt
        self.awaiting_replication.pop(id(attempt), None)
        if attempt.is_withdrawn:
            return
        if self._context.is_replicated and not self._may_still_start(attempt):
            self.withdraw(attempt, api.Outcome.NOT_SENT)
            return
        attempt.call = self._transport.start(
            attempt.endpoint,
            call.messages,
            call.deadline_ms,
            call.start_by_ms,
            partial(self.complete, attempt),
            self._is_wanted,
        )

    def _may_still_start(self, attempt: DeliveryAttempt) -> bool:
        """Return whether the engine still runs and all members are open, after the wait for replication."""
        if not self._context.may_start_attempts:
            return False
        members = [self._table.get(handle) for handle, _ in attempt.members]
        return all(message is not None and not message.is_completed for message in members)

    def _is_wanted(self, message_id: str) -> bool:
        """Return whether a message is still to be delivered."""
        message = self._table.find(message_id)
        return message is not None and not message.is_completed

    def withdraw(self, attempt: DeliveryAttempt, outcome: api.Outcome) -> None:
        """Withdraw an attempt whose call has not started; its end is reported in the next loop iteration."""
        if attempt.is_withdrawn:
            return
        attempt.is_withdrawn = True
        self.awaiting_replication.pop(id(attempt), None)
        self._report_soon(attempt, outcome)

    def _report_soon(self, attempt: DeliveryAttempt, outcome: api.Outcome) -> None:
        results = [AttemptResult(outcome)] * len(attempt.members)
        self._context.call_soon(partial(self.complete, attempt, results))

    def complete(self, attempt: DeliveryAttempt, results: list[AttemptResult]) -> None:
        """Record the results of an attempt.

        Args:
            attempt: the attempt.
            results: one result for each of its members, in their order.
        """
        self.in_flight_count -= 1
        self._results.record(attempt, results)

    def cancel(self, message_id: str, attempt_number: int) -> None:
        """Cancel a message's attempt; the call is closed once all of its members are cancelled."""
        message = self._table.find(message_id)
        attempt = message.attempt if message is not None else None
        if message is None or attempt is None or (message.handle, attempt_number) not in attempt.members:
            return
        attempt.cancelled_handles.add(message.handle)
        if len(attempt.cancelled_handles) < len(attempt.members):
            if attempt.call is not None:
                attempt.call.drop_unwanted_messages()
        elif attempt.call is not None:
            attempt.call.cancel()
        elif id(attempt) in self.awaiting_replication:
            self.withdraw(attempt, api.Outcome.CANCELLED)

    def recall(self, endpoint: int) -> None:
        """Withdraw the attempts at an endpoint whose calls have not been written."""
        for attempt in list(self.awaiting_replication.values()):
            if attempt.endpoint == endpoint:
                self.withdraw(attempt, api.Outcome.NOT_SENT)
        self._transport.recall(endpoint)

    def cancel_all(self) -> int:
        """Cancel all attempts in flight, which may have run, and return their number."""
        attempts = self._table.attempts_in_flight().values()
        cancelled = [attempt for attempt in attempts if not attempt.is_withdrawn]
        for attempt in cancelled:
            if attempt.call is not None:
                attempt.call.cancel()
            else:
                self.withdraw(attempt, api.Outcome.NOT_SENT)
        return len(cancelled)


def _call_deadline_ms(batch: list[ScheduledMessage]) -> float:
    """Return the time at which a call times out, on the engine's clock.

    This is the latest limit of its members: the scheduler itself completes a member with an earlier deadline.
    The call times out before any member would count as lost.
    """
    latest_limit_ms = max(
        min(ns_to_ms(item.command.abandon_at_ns), item.message.deadline_ms) for item in batch
    )
    first_deadline_ms = min(item.message.deadline_ms for item in batch)
    return min(latest_limit_ms, first_deadline_ms + MAX_CALL_OVERRUN_MS)


def _with_longest_deadline_first(batch: list[ScheduledMessage]) -> list[ScheduledMessage]:
    """Return the messages of a call, beginning with one whose deadline does not pass during the call.

    An endpoint's response may be void for all messages if the deadline of the first one has passed.
    """
    if batch[0].message.deadline_ms >= _call_deadline_ms(batch):
        return batch
    longest = max(batch, key=lambda item: item.message.deadline_ms)
    return [longest, *(item for item in batch if item is not longest)]


def _prepare_call(attempt: DeliveryAttempt, batch: list[ScheduledMessage]) -> _PreparedCall:
    """Return a call with its messages and time limits."""
    limits_ms = [ns_to_ms(item.command.send_before_ns) for item in batch if item.command.send_before_ns]
    return _PreparedCall(
        attempt,
        [OutgoingMessage(item.message.id, item.message.idempotency_key, item.message.body) for item in batch],
        _call_deadline_ms(batch),
        min(limits_ms, default=None),
    )
