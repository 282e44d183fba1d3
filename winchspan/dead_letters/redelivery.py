"""Redelivers dead letters, by rule or after an operator's approval: from the store into the delivery engine.

The policy decides what to redeliver; this asks the store for what is due, marks it before the engine has it,
and takes the mark back where the engine does not accept it now. The mark is a change of state that only one
can make, so that a rule and two operators who mean the same message redeliver it once.
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

MAX_DUE_PER_ROUND: Final = 50  # messages that are decided about
MAX_IN_FLIGHT: Final = 4  # redeliveries that the engine has at most
RETRY_DELAY_MS: Final = 2_000.0  # until a message is redelivered that the engine did not accept
UNMATCHED_RECHECK_MS: Final = HOUR_MS  # until a message is decided about again that no rule matches

ResultT = TypeVar("ResultT")


class RedeliveryEngine(Protocol):
    """The delivery engine, as far as it redelivers."""

    def redeliver(self, message: RedeliveredMessage) -> bool:
        """Accept a message as work of the lowest rank; False if that is not possible now."""


class StoreExecutor(Protocol):
    """The archiver, as far as it runs operations on the store's thread."""

    def run_on_store(
        self,
        operation: Callable[[DeadLetterStore], ResultT],
        on_result: Callable[[ResultT | None], None],
    ) -> None:
        """Run an operation; `on_result` gets its result on the loop, or None if the store is out of order."""


@dataclass(frozen=True, slots=True)
class RedeliveryPorts:
    """Everything outside this package that redelivery works with.

    Attributes:
        clock: reads the time.
        timers: calls back at a time.
        store: runs operations on the store's thread.
        engine: redelivers.
    """

    clock: Clock
    timers: TimerQueue
    store: StoreExecutor
    engine: RedeliveryEngine


@dataclass(frozen=True, slots=True)
class RedeliveryBatch:
    """What one round has selected.

    Attributes:
        selected: messages to be redelivered, as they were before they were marked.
        in_flight_count: messages that were marked before, and are not settled.
    """

    selected: list[DeadLetter]
    in_flight_count: int


class RedeliveryWorker:
    """Looks for messages to redeliver, round by round."""

    def __init__(
        self, ports: RedeliveryPorts, policy: RedeliveryPolicy, rate: RedeliveryRateLimiter | None = None
    ) -> None:
        """Make an idle worker.

        Args:
            ports: what it works with.
            policy: decides about each message.
            rate: how fast each rule may redeliver; by default at its own rate.
        """
        self._clock = ports.clock
        self._timers = ports.timers
        self._store = ports.store
        self._engine = ports.engine
        self._policy = policy
        self._rate = rate or RedeliveryRateLimiter()
        self._next_due_unix_ms = 0.0  # as of the store's content of the stamp
        self._stamp = ChangeStamp(0, 0)
        self.sent_count = 0
        self.rejected_count = 0  # by the engine

    def start(self) -> None:
        """Begin a round; each is followed by the next."""
        self._store.run_on_store(self._select, self._dispatch)

    # ---- on the store's thread ---------------------------------------------------------------------------
    def _select(self, store: DeadLetterStore) -> RedeliveryBatch:
        """Decide about what is due, and mark what is to be redelivered."""
        now_ms = self._clock.unix_ms()
        if now_ms < self._next_due_unix_ms and store.change_stamp() == self._stamp:
            return RedeliveryBatch([], 0)  # nothing has come due, and nobody has changed anything
        in_flight_count = store.count(DeadLetterFilter(state=DeadLetterState.REDELIVERING))
        batch = RedeliveryBatch([], in_flight_count)
        try:
            self._fill(batch, store, now_ms)
        except DeadLetterStoreError:
            if not batch.selected:
                raise
            # Guards against messages that are marked, and that nobody would redeliver before the next start.
            logger.bind(event="undelivered_lost").error(
                "undelivered: the store failed during a round of redelivery"
            )
            return batch
        self._next_due_unix_ms = store.next_due_unix_ms()
        self._stamp = store.change_stamp()
        return batch

    def _fill(self, batch: RedeliveryBatch, store: DeadLetterStore, now_ms: float) -> None:
        """Decide about each message that is due, and add those that are marked."""
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
        """Mark a message as being redelivered, unless its rule's rate does not allow it or it was changed."""
        rule = self._policy.rule_named(decision.rule_name)
        if rule is not None and not dead_letter.is_approved and not self._rate.may_send(now_ms, rule):
            # To the end of what is due: a slow rule with much to do must not keep others waiting.
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

    # ---- on the loop -------------------------------------------------------------------------------------
    def _dispatch(self, batch: RedeliveryBatch | None) -> None:
        """Give the engine what was selected."""
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
                self._take_back(dead_letter)
        self._rate.complete_round()
        self._timers.call_later(POLL_INTERVAL_MS, self.start)

    def _take_back(self, dead_letter: DeadLetter) -> None:
        """Undo the mark of a message that the engine has not accepted."""

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
    """Note in the store that a message is not redelivered now."""
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
