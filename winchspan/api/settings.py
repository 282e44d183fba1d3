"""The settings of a scheduler, and the enumerations that settings, events and commands share.

All times are integer nanoseconds: durations, or readings of the scheduler's clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from enum import Enum
from typing import Final


class Effect(Enum):
    """The effect of a duplicate delivery of a message at its destination."""

    REPEATABLE = "repeatable"
    KEYED = "keyed"
    ONCE = "once"


class Outcome(Enum):
    """How an attempt ended."""

    DELIVERED = "delivered"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


class EndpointStatus(Enum):
    """The status of an endpoint in the endpoint list."""

    IN_SERVICE = "in_service"
    DRAINING = "draining"
    GONE = "gone"


class UpdateScope(Enum):
    """How an update of the endpoint list relates to the previous list."""

    CHANGES = "changes"
    SNAPSHOT = "whole"
    STALE = "stale"
    FAILED = "failed"


class SlowStartPhase(Enum):
    """The state of a destination's capacity, as a sender sees it."""

    HEALTHY = "healthy"
    OUTAGE = "outage"
    SLOW_START = "slow start"


class ListedRate(Enum):
    """Whether the rating in the endpoint list is a rate limit, and whether that is exact."""

    NONE = "none"
    EXACT = "exact"
    APPROXIMATE = "rough"


@dataclass(slots=True, frozen=True)
class MessageClass:
    """A class of message.

    Attributes:
        name: its name in the settings and in events.
        worth: the priority weight: the value of a delivery within the latency objective.
        latency_objective_ns: the latency objective of a delivery.
        deadline_ns: the time within which the client must get a final answer.
        late_worth: the fraction of the worth that remains at the deadline.
        effect: the effect of a duplicate delivery.
        dedup_ns: the deduplication window of a keyed message, from its first executed attempt.
        dedup_per_zone: whether duplicates are detected within a zone only.
        ordered: whether messages with the same key are sent one after another.
        max_attempts: upper bound on the attempts of a message; 0: the limit of the settings applies.
    """

    name: str
    worth: float = 1.0
    latency_objective_ns: int = 1_000_000_000
    deadline_ns: int = 10_000_000_000
    late_worth: float = 0.0
    effect: Effect = Effect.ONCE
    dedup_ns: int = 0
    dedup_per_zone: bool = False
    ordered: bool = False
    max_attempts: int = 0


@dataclass(slots=True, frozen=True)
class DestinationKind:
    """A kind of destination.

    Attributes:
        has_separate_routes: whether its endpoints are separate routes, each with a rate limit of its own.
        messages_per_call: upper bound on the messages of a call.
    """

    has_separate_routes: bool = False
    messages_per_call: int = 1


@dataclass(slots=True, frozen=True)
class Tenant:
    """A customer.

    Attributes:
        allowance_per_s: the messages a second, over all senders, that it may submit; None: not stated.
    """

    allowance_per_s: float | None = None


_POSITIVE_SETTINGS: Final = (
    "slots",
    "max_held",
    "senders",
    "max_attempts",
    "calls_per_connection",
    "step_ns",
    "cold_ns",
    "tip_after_ns",
    "start_capacity",
    "fall_multiple",
)


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of a scheduler. Only the classes and slots are required.

    Attributes:
        slots: calls that may be in flight at once.
        max_held: messages that the sender may hold.
        senders: the number of senders that share the destinations.
        me: the index of this sender.
        start_capacity: the fraction of its capacity that a destination has at its return from an outage.
        cold_ns: the time in which a returning destination warms up to its full capacity.
        fall_multiple: calls that a returning destination tolerates, as a multiple of its capacity.
        tip_after_ns: the length of the window over which these calls are counted.
        key_rest_ns: how long no first attempt of a key is made after an attempt that may have been executed.
    """

    classes: Mapping[str, MessageClass]
    slots: int
    max_held: int = 1_000
    senders: int = 1
    me: int = 0
    zone: str = ""
    kinds: Mapping[str, DestinationKind] = field(default_factory=dict)
    tenants: Mapping[str, Tenant] = field(default_factory=dict)
    zone_fees: Mapping[str, float] = field(default_factory=dict)
    over_share_worth: float = 1.0
    halves_late_worth: bool = False
    listed_rate: ListedRate = ListedRate.NONE
    refused_price: float = 0.0
    max_attempts: int = 1_000
    second_copies: bool = False
    can_cancel: bool = False
    can_notify_peers: bool = False
    must_subscribe: bool = False
    responses_report_load: bool = False  # whether responses carry load reports
    max_retry_after_ns: int = 0
    connect_timeout_ns: int = 1_000_000_000
    keepalive_ns: int = 5_000_000_000
    calls_per_connection: int = 1
    answer_grace_ns: int = 0
    step_ns: int = 1_000_000
    drain_grace_ns: int = 0
    start_capacity: float = 0.1
    cold_ns: int = 15_000_000_000
    fall_multiple: float = 1.0
    tip_after_ns: int = 3_000_000_000
    key_rest_ns: int = 0
    can_recall: bool = False
    notifications_are_acknowledged: bool = False  # the next message of the key waits for the acknowledgement

    def __post_init__(self) -> None:
        """Raise a ValueError that names the first invalid setting."""
        _check_classes(self.classes)
        for name, kind in self.kinds.items():
            if kind.messages_per_call < 1:
                raise ValueError(f"kinds: per_call of {name!r} must be at least 1")
        for name in _POSITIVE_SETTINGS:
            if not getattr(self, name) > 0:
                raise ValueError(f"{name}: must be positive, not {getattr(self, name)!r}")
        for item in fields(self):
            value = getattr(self, item.name)
            if isinstance(value, int | float) and value < 0:
                raise ValueError(f"{item.name}: must not be negative, not {value!r}")


def _check_classes(classes: Mapping[str, MessageClass]) -> None:
    if not classes:
        raise ValueError("classes: at least one message class is needed")
    for name, cls in classes.items():
        if cls.latency_objective_ns <= 0 or cls.deadline_ns <= 0:
            raise ValueError(f"classes: latency_objective_ns and deadline_ns of {name!r} must be positive")
        if cls.worth < 0 or cls.late_worth < 0:
            raise ValueError(f"classes: worth and late_worth of {name!r} must not be negative")
