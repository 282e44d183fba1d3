"""Derives the failure reason of a message, the evidence of its execution, and whether a repeat is safe.

The texts are stored with the messages and shown to operators: they must not change.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, NamedTuple

from winchspan.api import Effect, MessageClass
from winchspan.dead_letters.records import (
    FINAL_STATE_RETURNED,
    AttemptHistory,
    DeadLetter,
    ExecutionEvidence,
)

REPEAT_TRANSIT_MS: Final = 150.0  # longest transit of a repeat to its destination
STILL_IN_FLIGHT: Final = "still out"  # outcome of an attempt in flight when the message ended


@dataclass(frozen=True, slots=True)
class FailureContext:
    """The state of a message when the scheduler abandons it; times in Unix ms.

    Attributes:
        now_ms: time at which the scheduler abandons it.
        deadline_ms: time by which its final answer is due.
        attempt_count: attempts so far.
        max_attempts: maximum number of attempts for a message.
        first_run_ms: start of the first attempt that may have executed it, if any.
        message_class: its class.
        grace_ms: time before the deadline from which a message counts as out of time.
    """

    now_ms: float
    deadline_ms: float
    attempt_count: int
    max_attempts: int
    first_run_ms: float | None
    message_class: MessageClass
    grace_ms: float


class ExecutionFinding(NamedTuple):
    """Whether a message was executed, and the evidence as a text for operators."""

    evidence: ExecutionEvidence
    text: str


def failure_reason(context: FailureContext) -> str:
    """Return why the scheduler abandoned a message."""
    if context.deadline_ms - context.now_ms <= context.grace_ms:
        return "out of time" if context.attempt_count else "out of time, never sent"
    if context.attempt_count >= context.max_attempts:
        return "all attempts used"
    if context.first_run_ms is None:
        return "no room"
    effect = context.message_class.effect
    if effect is Effect.ONCE:
        return "may have run, and must not run twice"
    if effect is Effect.KEYED and context.now_ms >= context.first_run_ms + _safe_repeat_window_ms(
        context.message_class
    ):
        return "may have run, and repeats are no longer dropped"
    return "no room"


def execution_finding(
    attempts: tuple[AttemptHistory, ...], unrecorded_attempt_count: int, first_run_ms: float | None
) -> ExecutionFinding:
    """Return whether a message was executed.

    Args:
        attempts: its recorded attempts.
        unrecorded_attempt_count: further attempts, made before a restart.
        first_run_ms: start of the first attempt that may have executed it, if any.
    """
    if attempts and attempts[-1].outcome == STILL_IN_FLIGHT:
        text = f"a call to {attempts[-1].endpoint} was still out: it may have run, or may yet"
        return ExecutionFinding(ExecutionEvidence.MAY_HAVE_RUN, text)
    if first_run_ms is not None:
        return ExecutionFinding(ExecutionEvidence.MAY_HAVE_RUN, _possible_execution_text(attempts))
    return ExecutionFinding(
        ExecutionEvidence.NEVER_RAN, _no_execution_text(attempts, unrecorded_attempt_count)
    )


def _possible_execution_text(attempts: tuple[AttemptHistory, ...]) -> str:
    for attempt in attempts:
        if not attempt.proves_no_execution:
            return f"{attempt.outcome} at {attempt.endpoint}: it may have run, or may yet"
    return "an execution of an earlier life was out when that life ended"


def _no_execution_text(attempts: tuple[AttemptHistory, ...], unrecorded_attempt_count: int) -> str:
    if attempts:
        count = len(attempts) + unrecorded_attempt_count
        return f"{count} attempts, each proved not to have run: {attempts[-1].outcome}"
    if unrecorded_attempt_count:
        return f"{unrecorded_attempt_count} attempts of earlier lives, each proved not to have run"
    return "it was never sent"


def redelivery_objection(now_ms: float, dead_letter: DeadLetter, message_class: MessageClass) -> str | None:
    """Return why a message must not be redelivered now; None if a repeat has no second effect.

    Guards against a second effect, whatever the rules and the operators allow:

    - A message that was executed is never redelivered.
    - A message that may have been executed is redelivered only where a repeat has no effect: always in an
      idempotent class, within the deduplication window in a class with idempotency keys, or after an operator
      has confirmed that it was not executed.
    - A clock that was set back proves nothing about the deduplication window.
    - A message whose client was asked to submit it again may have been executed elsewhere since, even if it
      was not executed here.

    Args:
        now_ms: the time, in Unix ms.
        dead_letter: the message.
        message_class: the class of its name; where that is idempotent by now, and was not when the message
            was accepted, the message is not.
    """
    evidence = dead_letter.execution_evidence
    if evidence is ExecutionEvidence.RAN:
        return "it has run"
    is_repeatable = message_class.effect is Effect.REPEATABLE and not dead_letter.has_effect
    if dead_letter.is_released or is_repeatable:
        return None
    if dead_letter.final_state == FINAL_STATE_RETURNED:
        return "its client was told to come again, and may have"
    if evidence is ExecutionEvidence.NEVER_RAN:
        return None
    first_run_ms = dead_letter.first_run_unix_ms
    is_deduplicated = message_class.effect is Effect.KEYED and not message_class.dedup_per_zone
    if not is_deduplicated or first_run_ms is None:
        return "it may have run, and must not run twice"
    age_ms = now_ms - first_run_ms
    if age_ms < 0:
        return "it may have run, and the clock has been set back since"
    if age_ms < _safe_repeat_window_ms(message_class):
        return None
    return "it may have run, and repeats are no longer dropped"


def _safe_repeat_window_ms(message_class: MessageClass) -> float:
    """Return how long after the first execution a repeat can start and still be deduplicated on arrival."""
    return message_class.dedup_ns / 1e6 - 2 * REPEAT_TRANSIT_MS
