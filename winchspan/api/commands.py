"""What to do: the commands that a scheduler returns. All times are integer nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from winchspan.api.settings import SlowStartPhase


class CallPacing(Enum):
    """Why a call was let through, for the people on call."""

    UNPACED = "unpaced"
    SUSPECTED = "suspected"
    TRIAL = "trial"
    SLOW_START = "slow start"


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Start an attempt.

    Attributes:
        message: the message's id.
        endpoint: where to send it.
        abandon_at_ns: the clock reading at which it is abandoned.
        send_before_ns: the clock reading before which it must be sent, or it ends NOT_SENT; 0: no limit.
        pacing: what its endpoint was held to be when it was let through.
    """

    message: str
    endpoint: int
    abandon_at_ns: int
    send_before_ns: int = 0
    pacing: CallPacing = CallPacing.UNPACED


@dataclass(slots=True, frozen=True)
class RejectMessage:
    """Final answer: rejected; to submit it again after `retry_after_ns` is harmless."""

    message: str
    retry_after_ns: int = 0
    reason: str = ""  # for people; the form of an answer may have no place for it


@dataclass(slots=True, frozen=True)
class FailMessage:
    """Final answer: failed; it is not known whether it took effect."""

    message: str


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    message: str
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a `TimerFired` after `after_ns`."""

    after_ns: int
    token: int


@dataclass(slots=True, frozen=True)
class RecallAttempts:
    """Recall the attempts to an endpoint that have not been written completely; they end NOT_SENT."""

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
    """Keep for the next incarnation what a destination is held to be.

    Attributes:
        destination: its number.
        phase: what it is held to be.
        since_ns: the clock reading since when.
        calls_per_s: this sender's part of the demand there.
    """

    destination: int
    phase: SlowStartPhase
    since_ns: int
    calls_per_s: float


@dataclass(slots=True, frozen=True)
class LogDecision:
    """Log a decision for the people on call."""

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
