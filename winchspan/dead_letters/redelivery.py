"""Redelivers dead letters by rule or after an operator's approval: from the store into the delivery engine.

The policy decides which messages to redeliver. The worker reads the messages that are due, marks them as
being redelivered before it passes them to the engine, and reverts the mark if the engine rejects them. The
mark is a compare-and-set of the state, so that a rule and two operators who select the same message redeliver
it once.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol, TypeVar

from loguru import logger

from winchspan.dead_letters.errors import DeadLetterStoreError
from winchspan.dead_letters.filters import DeadLetterFilter
from winchspan.dead_letters.policy import (
    HOUR_MS,
    POLL_INTERVAL_MS,
    RedeliveryAction,
    RedeliveryDecision,
    RedeliveryPolicy,
    RedeliveryRateLimiter,
)
from winchspan.dead_letters.records import DeadLetter, DeadLetterState, ExecutionEvidence
from winchspan.dead_letters.store import ChangeStamp, DeadLetterStore
from winchspan.delivery.messages import RedeliveredMessage
from winchspan.runtime.clock import Clock
from winchspan.runtime.timers import TimerQueue

MAX_DUE_PER_ROUND: Final = 50  # messages on which one round decides
MAX_IN_FLIGHT: Final = 4  # redeliveries in the engine at once
RETRY_DELAY_MS: Final = 2_000.0  # delay after the engine rejected a message
UNMATCHED_RECHECK_MS: Final = HOUR_MS  # delay until the next decision on a message that no rule redelivers

ResultT = TypeVar("ResultT")


class RedeliveryEngine(Protocol):
    """The part of the delivery engine that accepts redeliveries."""

    def redeliver(self, message: RedeliveredMessage) -> bool:
        """Accept a message with the lowest priority; return False if the engine rejects it."""


class StoreExecutor(Protocol):
    """The part of the archiver that runs operations on the store's thread."""

    def run_on_store(
        self,
        operation: Callable[[DeadLetterStore], ResultT],
        on_result: Callable[[ResultT | None], None],
    ) -> None:
        """Run an operation; `on_result` gets its result on the event loop, or None if the store failed."""


@dataclass(frozen=True, slots=True)
class RedeliveryPorts:
    """The dependencies of redelivery.

    Attributes:
        clock: reads the time.
        timers: schedules the next round.
        store: runs operations on the store's thread.
        engine: accepts the redeliveries.
    """

    clock: Clock
    timers: TimerQueue
    store: StoreExecutor
    engine: RedeliveryEngine


@dataclass(frozen=True, slots=True)
class RedeliveryBatch:
    """The messages that one round selected.

    Attributes:
        selected: messages to redeliver, in their state before the mark.
        in_flight_count: messages that earlier rounds marked and that are not settled yet.
    """

    selected: list[DeadLetter]
    in_flight_count: int


class RedeliveryWorker:
    """Selects and redelivers dead letters in rounds."""

    def __init__(
        self, ports: RedeliveryPorts, policy: RedeliveryPolicy, rate: RedeliveryRateLimiter | None = None
    ) -> None:
        """Create an idle worker.

        Args:
            ports: the worker's dependencies.
            policy: decides on each message.
            rate: limits the rate of each rule; by default to the rate that the rule states.
        """
        self._clock = ports.clock
        self._timers = ports.timers
        self._store = ports.store
        self._engine = ports.engine
        self._policy = policy
        self._rate = rate or RedeliveryRateLimiter()
        self._next_due_unix_ms = 0.0  # valid while the store has the stamp below
        self._stamp = ChangeStamp(0, 0)
        self.sent_count = 0
        self.rejected_count = 0  # messages that were selected, but not redelivered

    def start(self) -> None:
        """Start a round. Each round schedules the next one."""
        self._store.run_on_store(self._select, self._dispatch)

    # ---- on the store's thread ---------------------------------------------------------------------------
    def _select(self, store: DeadLetterStore) -> RedeliveryBatch:
        """Decide on the messages that are due, and mark those to redeliver."""
        now_ms = self._clock.unix_ms()
        if now_ms < self._next_due_unix_ms and store.change_stamp() == self._stamp:
            return RedeliveryBatch([], 0)  # nothing is due, and the store is unchanged
        in_flight_count = store.count(DeadLetterFilter(state=DeadLetterState.REDELIVERING))
        batch = RedeliveryBatch([], in_flight_count)
        try:
            self._fill(batch, store, now_ms)
        except DeadLetterStoreError:
            if not batch.selected:
                raise
            # Dispatches the messages that are already marked: otherwise they would wait for the next start.
            logger.bind(event="undelivered_lost").error(
                "undelivered: the store failed during a round of redelivery"
            )
            return batch
        self._next_due_unix_ms = store.next_due_unix_ms()
        self._stamp = store.change_stamp()
        return batch

    def _fill(self, batch: RedeliveryBatch, store: DeadLetterStore, now_ms: float) -> None:
        """Decide on each message that is due, and add the marked ones to the batch."""
        for dead_letter in store.due_for_redelivery(now_ms, MAX_DUE_PER_ROUND):
            decision = self._policy.decide(now_ms, dead_letter)
            if decision.action is not RedeliveryAction.SEND:
                _defer(store, dead_letter, decision, now_ms)
                continue
            if batch.in_flight_count + len(batch.selected) >= MAX_IN_FLIGHT:
                break
            if self._mark(store, dead_letter, decision, now_ms):
                batch.selected.append(dead_letter)

    def _mark(
        self, store: DeadLetterStore, dead_letter: DeadLetter, decision: RedeliveryDecision, now_ms: float
    ) -> bool:
        """Mark a message as being redelivered, unless its rule is at its rate or the message changed."""
        rule = self._policy.rule_named(decision.rule_name)
        if rule is not None and not dead_letter.is_approved and not self._rate.may_send(now_ms, rule):
            # Postponed behind the other due messages: a slow rule with many messages must not starve others.
            next_check_ms = self._rate.next_send_unix_ms(now_ms, rule)
            store.update(dead_letter.number, DeadLetterState.PENDING, next_redelivery_unix_ms=next_check_ms)
            return False
        rule_suffix = f", {rule.name}" if rule else ""
        is_marked = store.update(
            dead_letter.number,
            DeadLetterState.PENDING,
            state=DeadLetterState.REDELIVERING,
            redelivery_count=dead_letter.redelivery_count + 1,
            note=f"sent again: {decision.reason}{rule_suffix}",
        )
        if is_marked and rule is not None:
            self._rate.record_sent(now_ms, rule)
        return is_marked

    # ---- on the event loop -------------------------------------------------------------------------------
    def _dispatch(self, batch: RedeliveryBatch | None) -> None:
        """Pass the selected messages to the engine."""
        for dead_letter in batch.selected if batch is not None else ():
            may_send = dead_letter.is_approved or self._rate.is_selection_valid()
            if may_send and self._engine.redeliver(_redelivered_message(dead_letter)):
                self.sent_count += 1
                logger.bind(event="resend", number=dead_letter.number, message=dead_letter.id).info(
                    "undelivered: message {} is redelivered to destination {}",
                    dead_letter.number,
                    dead_letter.destination,
                )
            else:
                self.rejected_count += 1
                self._revert_mark(dead_letter)
        self._rate.complete_round()
        self._timers.call_later(POLL_INTERVAL_MS, self.start)

    def _revert_mark(self, dead_letter: DeadLetter) -> None:
        """Revert the mark of a message that was not redelivered."""

        def undo(store: DeadLetterStore) -> bool:
            return store.update(
                dead_letter.number,
                DeadLetterState.REDELIVERING,
                state=DeadLetterState.PENDING,
                redelivery_count=dead_letter.redelivery_count,
                next_redelivery_unix_ms=self._clock.unix_ms() + RETRY_DELAY_MS,
                note="the courier could not take it",
            )

        self._store.run_on_store(undo, lambda _: None)


def _defer(
    store: DeadLetterStore, dead_letter: DeadLetter, decision: RedeliveryDecision, now_ms: float
) -> None:
    """Record in the store that a message is not redelivered now."""
    if decision.action in (RedeliveryAction.HOLD, RedeliveryAction.AWAIT_APPROVAL):
        store.update(
            dead_letter.number, DeadLetterState.PENDING, state=DeadLetterState.ON_HOLD, note=decision.reason
        )
        return
    is_waiting = decision.action is RedeliveryAction.WAIT
    next_check_ms = decision.next_check_unix_ms if is_waiting else now_ms + UNMATCHED_RECHECK_MS
    store.update(dead_letter.number, DeadLetterState.PENDING, next_redelivery_unix_ms=next_check_ms)


def _redelivered_message(dead_letter: DeadLetter) -> RedeliveredMessage:
    may_have_run = dead_letter.execution_evidence is ExecutionEvidence.MAY_HAVE_RUN
    first_run_unix_ms = None
    if may_have_run and not dead_letter.is_released:
        first_run_unix_ms = dead_letter.first_run_unix_ms
    return RedeliveredMessage(
        dead_letter_number=dead_letter.number,
        id=dead_letter.id,
        class_name=dead_letter.class_name,
        key=dead_letter.key,
        destination=dead_letter.destination,
        idempotency_key=dead_letter.idempotency_key,
        body=dead_letter.body,
        first_run_unix_ms=first_run_unix_ms,
    )
