"""Records of messages that ended undelivered.

Times are Unix milliseconds. `record_codec` maps the fields to their names in the journal, the store and the
control commands.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Final, TypedDict

FINAL_STATE_RETURNED: Final = "returned"  # the client was asked to submit the message again
RECORD_OVERHEAD_BYTES: Final = 400  # approximate size of a record without its body and its attempts
ATTEMPT_BYTES: Final = 120  # approximate size of one attempt

_OUTCOMES_THAT_PROVE_NO_EXECUTION: Final = ("full", "connect_failed", "not_sent")


class ExecutionEvidence(Enum):
    """Whether a message was executed at its destination, as far as the attempts prove it."""

    NEVER_RAN = "never"  # no attempt was made, or each attempt proved that it was not executed
    MAY_HAVE_RUN = "may"  # the outcome of at least one attempt proves neither
    RAN = "ran"  # the destination has confirmed the execution


class DeadLetterState(Enum):
    """The processing state of a dead letter."""

    PENDING = "kept"  # rules may redeliver it
    ON_HOLD = "held"  # no rule may: an operator put it on hold, or it may have been executed
    REDELIVERING = "resending"  # passed to the delivery engine, or selected for it
    DELIVERED = "delivered"  # a redelivery succeeded
    ALREADY_RAN = "ran"  # known to have been executed; not redelivered
    DROPPED = "dropped"  # closed by an operator without redelivery


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
        duration_ms: duration of the attempt.
        retry_after_ms: wait that the endpoint asked for; 0 if it asked for none.
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
    """The scheduler's view of a destination when it abandoned a message.

    Attributes:
        window: maximum number of calls in flight at once.
        calls_in_flight: number of calls in flight.
        queued_message_count: messages queued for the destination.
        unhealthy_endpoint_count: usable endpoints that get trial calls only.
        usable_endpoint_count: endpoints that accept new calls.
        retry_after_ms: remaining wait that the destination had asked for.
    """

    window: int = 0
    calls_in_flight: int = 0
    queued_message_count: int = 0
    unhealthy_endpoint_count: int = 0
    usable_endpoint_count: int = 0
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class FailureHistory:
    """Why a message ended. The journal stores it with the notification, so that it survives a restart.

    Attributes:
        reason: a text that `evidence.failure_reason` returned.
        ended_unix_ms: when the scheduler abandoned the message.
        attempts: its recorded attempts, oldest first.
        unrecorded_attempt_count: number of attempts before a restart, which are not recorded one by one.
        destination: the state of its destination when the scheduler abandoned the message.
    """

    reason: str
    ended_unix_ms: float
    attempts: tuple[AttemptHistory, ...] = ()
    unrecorded_attempt_count: int = 0
    destination: DestinationSnapshot = DestinationSnapshot()


@dataclass(frozen=True, slots=True)
class DeadLetter:
    """A message that ended undelivered, as it is stored.

    Attributes:
        id: the message's identifier.
        deadline_unix_ms: the message's deadline; identifies the message together with its id, because ids may
            be reused after years.
        class_name: its message class.
        destination: the destination's number.
        key: the ordering key, if any.
        idempotency_key: passed on to the endpoint unchanged.
        body: passed on to the endpoint unchanged.
        final_state: final answer to the client, `failed` or `returned`; a redelivery does not change it.
        failure_history: why it ended.
        execution_evidence: whether it was executed.
        evidence_text: the evidence as a text for operators.
        first_run_unix_ms: start of the first attempt that may have executed it, if any.
        state: its processing state.
        number: its number in the store; 0 before it is stored.
        redelivery_count: redeliveries so far.
        next_redelivery_unix_ms: earliest time at which a rule may redeliver it.
        note: the reason of its latest change of state.
        is_approved: an operator has approved the next redelivery.
        release_statement: operator who confirmed that it was not executed, and the reason; empty without a
            confirmation.
        has_effect: whether a second delivery has an effect, by the class that it was accepted under; None if
            neither the journal nor the store tells.
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
    has_effect: bool | None = field(default=None, compare=False)  # follows from the class

    @property
    def size_bytes(self) -> int:
        """Size that counts against the store's bounds: the body, and an estimate of the rest."""
        return len(self.body) + RECORD_OVERHEAD_BYTES + ATTEMPT_BYTES * len(self.failure_history.attempts)

    @property
    def is_released(self) -> bool:
        """Whether an operator has confirmed that it was not executed."""
        return bool(self.release_statement)


class DeadLetterChanges(TypedDict, total=False):
    """The mutable fields of a stored dead letter."""

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
