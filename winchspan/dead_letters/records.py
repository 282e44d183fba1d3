"""Records of messages that ended undelivered.

Times are Unix milliseconds. `record_codec` maps the fields to the names that the journal, the store and the
control commands have for them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final, TypedDict

FINAL_STATE_RETURNED: Final = "returned"  # the client was told to submit the message again
RECORD_OVERHEAD_BYTES: Final = 400  # about what a record takes besides its body and its attempts
ATTEMPT_BYTES: Final = 120  # about what one attempt takes

_OUTCOMES_THAT_PROVE_NO_EXECUTION: Final = ("full", "connect_failed", "not_sent")


class ExecutionEvidence(Enum):
    """Whether a message has taken effect at its destination, as far as can be proved."""

    NEVER_RAN = "never"  # no attempt reached the destination, or each proved that it was not executed
    MAY_HAVE_RUN = "may"  # at least one attempt has no outcome that proves either
    RAN = "ran"  # the destination has confirmed the execution


class DeadLetterState(Enum):
    """What happens next to a dead letter."""

    PENDING = "kept"  # rules may redeliver it
    ON_HOLD = "held"  # no rule may: an operator, or the doubt whether it was executed, holds it back
    REDELIVERING = "resending"  # the delivery engine has it, or is about to get it
    DELIVERED = "delivered"  # a redelivery succeeded
    ALREADY_RAN = "ran"  # evidence has shown that it was executed: there is nothing to redeliver
    DROPPED = "dropped"  # an operator has given it up


CLOSED_STATES: Final = frozenset(
    {DeadLetterState.DELIVERED, DeadLetterState.ALREADY_RAN, DeadLetterState.DROPPED}
)


@dataclass(frozen=True, slots=True)
class AttemptHistory:
    """One attempt to deliver a message.

    Attributes:
        endpoint: the endpoint's name.
        started_unix_ms: when the attempt started.
        outcome: the value of its `api.Outcome`, or `still out` if it was in flight when the message ended.
        duration_ms: how long it took.
        retry_after_ms: how long the endpoint asked to wait; 0 if it did not.
    """

    endpoint: str
    started_unix_ms: float
    outcome: str
    duration_ms: float = 0.0
    retry_after_ms: float = 0.0

    @property
    def proves_no_execution(self) -> bool:
        """Whether its outcome proves that the message was not executed (WIRE, 'How can an attempt end?')."""
        return self.outcome in _OUTCOMES_THAT_PROVE_NO_EXECUTION


@dataclass(frozen=True, slots=True)
class DestinationSnapshot:
    """What the scheduler knew of a destination when it gave a message up.

    Attributes:
        window: calls that might be in flight at once.
        calls_in_flight: calls that were in flight.
        queued_message_count: messages that waited there.
        unhealthy_endpoint_count: usable endpoints that got trial calls only.
        usable_endpoint_count: endpoints that accepted new calls.
        retry_after_ms: how long it had asked to wait, from then on.
    """

    window: int = 0
    calls_in_flight: int = 0
    queued_message_count: int = 0
    unhealthy_endpoint_count: int = 0
    usable_endpoint_count: int = 0
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class FailureHistory:
    """Why a message ended; the journal has it with the notification, so that it survives a restart.

    Attributes:
        reason: one of the texts of `evidence.failure_reason`.
        ended_unix_ms: when the scheduler gave the message up.
        attempts: its recorded attempts, oldest first.
        unrecorded_attempt_count: attempts before a restart, of which nothing but their number is known.
        destination: the state of its destination at that time.
    """

    reason: str
    ended_unix_ms: float
    attempts: tuple[AttemptHistory, ...] = ()
    unrecorded_attempt_count: int = 0
    destination: DestinationSnapshot = DestinationSnapshot()


@dataclass(frozen=True, slots=True)
class DeadLetter:
    """A message that ended undelivered, as the store has it.

    Attributes:
        id: the message's identifier.
        deadline_unix_ms: identifies the message together with its id, since ids may be reused after years.
        class_name: its message class.
        destination: the destination's number.
        key: the ordering key, if any.
        idempotency_key: passed on to the endpoint unchanged.
        body: passed on to the endpoint unchanged.
        final_state: `failed` or `returned`: the final answer that was given, and stands.
        failure_history: why it ended.
        execution_evidence: whether it was executed.
        evidence_text: that evidence for people.
        first_run_unix_ms: start of the first attempt that may have executed it, if any.
        state: what happens next to it.
        number: its number in the store; 0 before it has one.
        redelivery_count: redeliveries so far.
        next_redelivery_unix_ms: no rule redelivers it before.
        note: the reason of its latest change of state.
        is_approved: an operator has approved the next redelivery.
        release_statement: who has confirmed that it was not executed, and why; empty if nobody has.
    """

    id: str
    deadline_unix_ms: float
    class_name: str
    destination: int
    key: int | None
    idempotency_key: str
    body: bytes
    final_state: str
    failure_history: FailureHistory
    execution_evidence: ExecutionEvidence
    evidence_text: str
    first_run_unix_ms: float | None
    state: DeadLetterState
    number: int = 0
    redelivery_count: int = 0
    next_redelivery_unix_ms: float = 0.0
    note: str = ""
    is_approved: bool = False
    release_statement: str = ""

    @property
    def size_bytes(self) -> int:
        """What it counts for against the store's bounds: its body, and about what the rest takes."""
        return len(self.body) + RECORD_OVERHEAD_BYTES + ATTEMPT_BYTES * len(self.failure_history.attempts)

    @property
    def is_released(self) -> bool:
        """Whether an operator has confirmed that it was not executed."""
        return bool(self.release_statement)


class DeadLetterChanges(TypedDict, total=False):
    """Fields of a stored dead letter that may be changed."""

    failure_history: FailureHistory
    execution_evidence: ExecutionEvidence
    evidence_text: str
    first_run_unix_ms: float | None
    state: DeadLetterState
    redelivery_count: int
    next_redelivery_unix_ms: float
    note: str
    is_approved: bool
    release_statement: str


def state_after_failure(evidence: ExecutionEvidence, *, has_effect: bool) -> DeadLetterState:
    """Return the state of a message that has ended undelivered.

    Args:
        evidence: whether it was executed.
        has_effect: whether a second delivery of it has an effect.
    """
    if evidence is ExecutionEvidence.MAY_HAVE_RUN and has_effect:
        return DeadLetterState.ON_HOLD
    return DeadLetterState.PENDING
