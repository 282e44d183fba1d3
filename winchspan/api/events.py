"""The events that a scheduler handles. All times are integer nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from winchspan.api.settings import EndpointStatus, Outcome, SlowStartPhase, UpdateScope


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """One entry of the endpoint list; `rating` is in calls a second if `Settings.listed_rate` is not NONE."""

    endpoint: int
    destination: int
    status: EndpointStatus = EndpointStatus.IN_SERVICE
    zone: str = ""
    kind: str = ""
    rating: float = 1.0
    needs_slow_start: bool = False  # it returns to service, and got no calls meanwhile


@dataclass(slots=True, frozen=True)
class EndpointsUpdated:
    """The endpoint list, or changes to it, were received."""

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
    is_repeated: bool = False  # the client marks it as submitted again after a rejection
    is_lowest_priority: bool = False  # sent after all others of its destination, rejected first


@dataclass(slots=True, frozen=True)
class MessageRecovered:
    """A message that the previous incarnation accepted was recovered; in the order of acceptance.

    Attributes:
        arrived: the message, with its remaining time.
        attempts: the number of attempts so far; the numbering continues from it.
        executed_ago_ns: the time since the first possibly executed attempt was sent; None: there is none.
        executed_zone: the zone to which that attempt was sent.
        was_in_flight: whether an attempt was in flight at the end of the previous incarnation.
        is_completed: whether its final answer was given, but has not been acknowledged.
    """

    arrived: MessageArrived
    attempts: int = 0
    executed_ago_ns: int | None = None
    executed_zone: str = ""
    was_in_flight: bool = False
    is_completed: bool = False


@dataclass(slots=True, frozen=True)
class SlowStartRecovered:
    """The slow start phase of a destination in the previous incarnation was recovered.

    Attributes:
        destination: the number of the destination.
        phase: its phase.
        elapsed_ns: the time since the phase began.
        calls_per_s: the sender's share of the demand on the destination.
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
    """An attempt was completed.

    Attributes:
        message: the message's id.
        attempt: the attempt number, counted from 0 for each message.
        endpoint: the endpoint to which it was sent.
        outcome: the result.
        latency_ns: its duration.
        is_final: whether the message is completed, by this attempt or before it.
        wait_ns: the pause that the response requests (Retry-After); 0: not stated.
        no_slot: whether it was not sent because no call slot was free.
        limit_remaining: unused fraction of the rate limit, as the response states; None: not stated.
        limit_rate: the rate limit in calls a second that the response states; None: not stated.
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
class WaitRequested:
    """A response asked for a pause (Retry-After); its attempt may still be in flight.

    Attributes:
        destination: the destination's number.
        endpoint: the endpoint that responded.
        wait_ns: the pause, from now on.
    """

    destination: int
    endpoint: int
    wait_ns: int


@dataclass(slots=True, frozen=True)
class KeyPaused:
    """Another process has seen a call of an ordering key end without a response; it may still run.

    Attributes:
        key: the ordering key.
        pause_ns: time before the next message of the key may be sent, from now on.
    """

    key: int
    pause_ns: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer that was set with `SetTimer` has expired."""

    token: int


@dataclass(slots=True, frozen=True)
class MessageWithdrawn:
    """The client withdrew the message; it needs no final answer."""

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
    | WaitRequested
    | KeyPaused
    | TimerFired
    | MessageWithdrawn
    | PeerNote
)
