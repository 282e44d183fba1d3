"""What happened: the events that a scheduler handles. All times are integer nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from winchspan.api.settings import EndpointStatus, Outcome, SlowStartPhase, UpdateScope


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """One entry of the endpoint list; `rating` is a rate in calls a second where the settings say so."""

    endpoint: int
    destination: int
    status: EndpointStatus = EndpointStatus.IN_SERVICE
    zone: str = ""
    kind: str = ""
    rating: float = 1.0
    needs_slow_start: bool = False  # it returns, and has not been sent anything meanwhile


@dataclass(slots=True, frozen=True)
class EndpointsUpdated:
    """The endpoint list was received, or changes of it."""

    scope: UpdateScope
    rows: tuple[EndpointEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class MessageArrived:
    """A message was accepted; one final answer is owed within `remaining_ns`."""

    message: str
    class_name: str
    destination: int
    remaining_ns: int
    tenant: str = ""
    key: int | None = None
    is_repeated: bool = False  # submitted again after a rejection, as far as anybody can know
    is_lowest_priority: bool = False  # goes after all others of its destination, and is given up before them


@dataclass(slots=True, frozen=True)
class MessageRecovered:
    """A message was recovered that the previous incarnation accepted, in the order of acceptance.

    Attributes:
        arrived: the message, with the time that is left of it.
        attempts: how many attempts it has had; they count on.
        executed_ago_ns: the time since the sending of the first attempt that may have run; None: none has.
        executed_zone: the zone of that attempt.
        was_in_flight: whether an attempt was in flight at the end of the previous incarnation.
        is_completed: whether its final answer has been given, but not been acknowledged.
    """

    arrived: MessageArrived
    attempts: int = 0
    executed_ago_ns: int | None = None
    executed_zone: str = ""
    was_in_flight: bool = False
    is_completed: bool = False


@dataclass(slots=True, frozen=True)
class SlowStartRecovered:
    """The previous incarnation held a destination to be out, or in a slow start.

    Attributes:
        destination: its number.
        phase: what it was held to be.
        elapsed_ns: the time since that began.
        calls_per_s: the sender's part of the demand there.
    """

    destination: int
    phase: SlowStartPhase
    elapsed_ns: int
    calls_per_s: float


@dataclass(slots=True, frozen=True)
class NotificationAcknowledged:
    """The final answer of a message, a rejection or a failure, was acknowledged."""

    message: str


@dataclass(slots=True, frozen=True)
class AttemptCompleted:
    """An attempt ended.

    Attributes:
        message: the message's id.
        attempt: its number, counted from 0 for each message.
        endpoint: the endpoint that it went to.
        outcome: how it ended.
        latency_ns: how long it took.
        is_final: whether the message is completed with it, or was before.
        wait_ns: how long to send nothing there, as the answer states (Retry-After); 0: not stated.
        no_slot: whether it was rejected for want of a call slot.
        limit_remaining: calls left of the rate limit, as the answer states; None: not stated.
        limit_rate: calls a second of the rate limit, as the answer states; None: not stated.
    """

    message: str
    attempt: int
    endpoint: int
    outcome: Outcome
    latency_ns: int = 0
    is_final: bool = False
    wait_ns: int = 0
    no_slot: bool = False
    limit_remaining: float | None = None
    limit_rate: float | None = None


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer that was set with `SetTimer` is due."""

    token: int


@dataclass(slots=True, frozen=True)
class MessageWithdrawn:
    """The client no longer wants the message; nothing more is owed for it."""

    message: str


@dataclass(slots=True, frozen=True)
class PeerNote:
    """A note from another sender was received."""

    sender: int
    data: bytes


Event: TypeAlias = (
    EndpointsUpdated
    | MessageArrived
    | MessageRecovered
    | SlowStartRecovered
    | NotificationAcknowledged
    | AttemptCompleted
    | TimerFired
    | MessageWithdrawn
    | PeerNote
)
