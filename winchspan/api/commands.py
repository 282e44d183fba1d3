"""The commands that a scheduler returns. All times are integer nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from winchspan.api.settings import SlowStartPhase


class CallPacing(Enum):
    """Why a call was let through; shown to operators."""

    UNPACED = "unpaced"
    SUSPECTED = "suspected"
    TRIAL = "trial"
    SLOW_START = "slow start"


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Start an attempt.

    Attributes:
        message: the message's id.
        endpoint: the number of the endpoint.
        abandon_at_ns: the clock reading at which the attempt is abandoned.
        send_before_ns: the clock reading before which it must be sent, or else it ends NOT_SENT; 0: no limit.
        pacing: why the attempt was let through.
    """

    message: str
    endpoint: int
    abandon_at_ns: int
    send_before_ns: int = 0
    pacing: CallPacing = CallPacing.UNPACED


@dataclass(slots=True, frozen=True)
class RejectMessage:
    """Final answer: the message is rejected; the client may safely resubmit it after `retry_after_ns`."""

    message: str
    retry_after_ns: int = 0
    reason: str = ""  # for people; not every answer format carries it


@dataclass(slots=True, frozen=True)
class FailMessage:
    """Final answer: the message failed; whether it took effect is unknown."""

    message: str


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Stop waiting for the result of an attempt."""

    message: str
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Request a `TimerFired` event after `after_ns`."""

    after_ns: int
    token: int


@dataclass(slots=True, frozen=True)
class RecallAttempts:
    """Recall the attempts to an endpoint whose requests are not written completely; they end NOT_SENT."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Subscribe to changes of the endpoint list."""


@dataclass(slots=True, frozen=True)
class SendPeerNote:
    """Send a short note to all other senders."""

    data: bytes


@dataclass(slots=True, frozen=True)
class RecordSlowStart:
    """Record the slow start phase of a destination for the next incarnation.

    Attributes:
        destination: the number of the destination.
        phase: its phase.
        since_ns: the clock reading at which the phase began.
        calls_per_s: this sender's share of the demand on the destination.
    """

    destination: int
    phase: SlowStartPhase
    since_ns: int
    calls_per_s: float


@dataclass(slots=True, frozen=True)
class LogDecision:
    """Log a decision for operators."""

    text: str


Command: TypeAlias = (
    StartAttempt
    | RejectMessage
    | FailMessage
    | CancelAttempt
    | SetTimer
    | RecallAttempts
    | CloseIdleConnections
    | Subscribe
    | SendPeerNote
    | RecordSlowStart
    | LogDecision
)
