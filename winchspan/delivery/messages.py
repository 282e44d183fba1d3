"""Records of accepted messages, of attempts to deliver them, and of the attempts' results."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final, NamedTuple, Protocol

from winchspan import api

# Final states of a message that was not delivered, as the journal and the completion notifications name them.
STATE_RETURNED: Final = "returned"  # it has certainly not run, or may be submitted again
STATE_FAILED: Final = "failed"  # it may have run, and must not be submitted again


class PendingCall(Protocol):
    """A call that is in flight."""

    def cancel(self) -> None:
        """Cancel the call; its end is still reported."""

    def drop_unwanted_messages(self) -> None:
        """Remove messages that are no longer wanted, unless the call has been written."""

    def accept_held_response(self) -> None:
        """Report the result of a response that is held, since its messages can wait no longer."""


class AttemptRecord(NamedTuple):
    """One attempt in the failure history of a message.

    Attributes:
        endpoint: the endpoint's name.
        started_unix_ms: start of the attempt.
        outcome: the value of its `api.Outcome`, or `STILL_IN_FLIGHT`.
        duration_ms: duration of the attempt.
        retry_after_ms: backoff that the endpoint asked for; 0 if none.
    """

    endpoint: str
    started_unix_ms: float
    outcome: str
    duration_ms: float
    retry_after_ms: float


@dataclass(slots=True)
class SubmittedMessage:
    """A message as a client submits it.

    Attributes:
        id: the message's identifier.
        class_name: the message class that the client names.
        key: the ordering key, if any.
        destination: the destination's number.
        time_left_ms: time until its deadline as of when the client wrote the message.
        idempotency_key: passed on to the endpoint unchanged.
        body: passed on to the endpoint unchanged.
        is_repeated: the client states that the message was rejected before.
        is_resubmitted: the client states that a courier crashed while it held the message.
        age_ms: upper bound on the time since the client wrote the message.
    """

    id: str
    class_name: str
    key: int | None
    destination: int
    time_left_ms: float
    idempotency_key: str
    body: bytes
    is_repeated: bool = False
    is_resubmitted: bool = False
    age_ms: float = 0.0


@dataclass(slots=True)
class RedeliveredMessage:
    """A dead letter that is to be delivered once more.

    Attributes:
        dead_letter_number: its number in the dead-letter store.
        id: the message's identifier.
        class_name: its message class.
        key: the ordering key, if any.
        destination: the destination's number.
        idempotency_key: passed on to the endpoint unchanged.
        body: passed on to the endpoint unchanged.
        first_run_unix_ms: start of the first attempt that may have run; None if none has.
    """

    dead_letter_number: int
    id: str
    class_name: str
    key: int | None
    destination: int
    idempotency_key: str
    body: bytes
    first_run_unix_ms: float | None


@dataclass(slots=True)
class AcceptedMessage:
    """A message from its acceptance until it is completed and has no attempt in flight.

    Attributes:
        journal_number: its number in the journal.
        id: the message's identifier.
        destination: the destination's number.
        deadline_ms: time at which its final answer is due, on the engine's clock.
        idempotency_key: passed on to the endpoint unchanged.
        body: passed on to the endpoint unchanged.
        class_name: the message class that it was accepted under.
        handle: its handle in the message table.
        attempt_count: number of attempts started so far.
        attempt: the attempt in flight, if any.
        is_completed: whether it has its final answer.
        redelivery_of: number of the dead letter that it redelivers; 0 for any other message.
        attempt_history: its completed attempts, bounded by the class's limit of attempts; None where no
            history is recorded.
    """

    journal_number: int
    id: str
    destination: int
    deadline_ms: float
    idempotency_key: str
    body: bytes
    class_name: str = ""
    handle: int = 0
    attempt_count: int = 0
    attempt: DeliveryAttempt | None = None
    is_completed: bool = False
    redelivery_of: int = 0
    attempt_history: list[AttemptRecord] | None = None


@dataclass(slots=True)
class DeliveryAttempt:
    """One call in flight, which may carry several messages.

    Attributes:
        endpoint: the endpoint's number.
        members: handle and attempt number of each message in the call.
        started_ms: time at which the attempt was decided, on the engine's clock.
        call: the transport's call; None until it has started.
        is_withdrawn: whether the attempt was withdrawn before its call started.
        cancelled_handles: handles of the cancelled members.
    """

    endpoint: int
    members: list[tuple[int, int]]
    started_ms: float
    call: PendingCall | None = None
    is_withdrawn: bool = False
    cancelled_handles: set[int] = field(default_factory=set)


@dataclass(slots=True, frozen=True)
class OutgoingMessage:
    """The part of a message that is sent to an endpoint."""

    id: str
    idempotency_key: str
    body: bytes


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """Result of an attempt for one message.

    Attributes:
        outcome: the outcome of the call for the message.
        is_final: whether the endpoint has settled the message, so that no further attempt is made.
        retry_after_ms: backoff that the endpoint asked for; 0 if none.
        no_slot: whether the endpoint had no slot for the call.
        limit_remaining: unused fraction of the endpoint's rate limit; None if not stated.
        limit_rate: requests per second that the endpoint's rate limit allows; None if not stated.
    """

    outcome: api.Outcome
    is_final: bool = False
    retry_after_ms: float = 0.0
    no_slot: bool = False
    limit_remaining: float | None = None
    limit_rate: float | None = None
