"""The state of the scheduler, and the rules that depend on one message or one endpoint alone."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from winchspan.api import Effect, MessageClass, Settings
from winchspan.scheduling.slow_start import SlowStart

NEVER: Final = 1 << 62  # greater than any clock reading or count
MAX_TRANSIT_NS: Final = 150_000_000  # upper bound on the transit time of a retry to its destination
ABANDON_MULTIPLE: Final = 2  # an attempt is abandoned at this multiple of the time until it is overdue


@dataclass(slots=True, eq=False)
class Message:
    """A message that is held until its final answer is sent and its last attempt has completed."""

    id: str
    message_class: MessageClass
    destination: Destination
    key: int | None
    accepted_ns: int  # when the client first submitted it
    deadline_ns: int
    attempt_count: int = 0
    in_flight: dict[int, Call] = field(default_factory=dict)  # by attempt number
    is_completed: bool = False
    maybe_ran_ns: int | None = None  # when the first attempt was sent that may have been executed
    maybe_ran_zone: str = ""
    last_endpoint: Endpoint | None = None
    unanswered_ns: int = NEVER  # when its last attempt was sent, if that got no response
    is_lowest_priority: bool = False  # sent after all other messages of its destination

    def was_lost_in_transit(self) -> bool:
        """Whether its last attempt was lost: its endpoint has delivered a call that was sent later."""
        return self.last_endpoint is not None and self.last_endpoint.success_sent_ns > self.unanswered_ns

    def is_late(self, settings: Settings, now: int) -> bool:
        """Whether its deadline is at most two timer steps away."""
        return self.deadline_ns - now <= 2 * settings.step_ns

    def is_exhausted(self, settings: Settings, now: int) -> bool:
        """Whether no further attempt is possible, so that the client is notified at once."""
        cls = self.message_class
        is_too_late = cls.effect is Effect.ONCE or now + settings.step_ns >= self.last_send_ns(settings)
        if is_too_late and self.maybe_ran_ns is not None and cls.effect is not Effect.REPEATABLE:
            return True
        max_attempts = cls.max_attempts or settings.max_attempts
        return self.is_late(settings, now) or self.attempt_count >= max_attempts

    def is_safe_at(self, endpoint: Endpoint, settings: Settings, now: int) -> bool:
        """Whether the endpoint would still deduplicate a retry, or the message needs no deduplication."""
        cls = self.message_class
        if self.maybe_ran_ns is None or cls.effect is Effect.REPEATABLE:
            return True
        is_other_dedup_scope = cls.dedup_per_zone and endpoint.zone != self.maybe_ran_zone
        return not is_other_dedup_scope and not self.is_exhausted(settings, now)

    def abandon_at_ns(self, overdue_after_ns: int, now: int) -> int:
        """Return when to abandon an attempt.

        An attempt that must not be retried lasts until the deadline, any other at least for its objective.
        """
        cls = self.message_class
        if cls.effect is Effect.ONCE:
            return self.deadline_ns
        max_duration_ns = max(cls.latency_objective_ns, ABANDON_MULTIPLE * overdue_after_ns)
        if cls.effect is Effect.KEYED:
            max_duration_ns = min(max_duration_ns, max(cls.dedup_ns // 2, cls.latency_objective_ns))
        return min(self.deadline_ns, now + max_duration_ns)

    def last_send_ns(self, settings: Settings) -> int:
        """Return when a retry must be sent: its transit time before the end of the deduplication window."""
        dedup_ns = self.message_class.dedup_ns
        transit_ns = min(MAX_TRANSIT_NS, dedup_ns // 10) if settings.can_recall else 0
        return (self.maybe_ran_ns or 0) + dedup_ns - transit_ns


@dataclass(slots=True, eq=False)
class Call:
    """One call in flight: its slot, the time charged for it, and the messages it carries."""

    destination: Destination
    endpoint: Endpoint
    slot: int
    message_class: MessageClass
    sent_ns: int
    charged_ns: int  # slot time charged so far, including the cost charged in advance
    members: dict[str, tuple[Message, int]] = field(default_factory=dict)  # by id; with the attempt number
    is_overdue: bool = False
    is_outcome_recorded: bool = False
    is_withdrawn: bool = False
    retry_count: int = 0  # members that have had an attempt before
    idle_ns: int = 0  # idle time of its connection before the call; 0: it was new or in use


@dataclass(slots=True, eq=False)
class RateLimit:
    """A limit shared with other senders: of a destination, or of a route where routes are separate."""

    name: str = ""  # of the destination or the route, for log lines
    destination: int | None = None  # the destination's number; None: the limit of a single route
    # Shared by all endpoints: with one state for each, many senders saw no outage at some endpoints, and sent
    # them all calls.
    slow_start: SlowStart = field(default_factory=SlowStart)
    retry_after_ns: int = 0  # no call before this clock reading, as a response requested (Retry-After)
    stated_per_s: float = 0.0  # calls a second of all senders, as listed or reported; 0: not stated
    learned_per_s: float = 0.0  # calls a second learned for this sender; 0: no known limit
    next_call_ns: int = 0
    recent_sends_ns: deque[int] = field(default_factory=deque)  # when the calls of the last second were sent


@dataclass(slots=True, eq=False)
class Endpoint:
    """An endpoint and its health as observed by this sender."""

    id: int
    zone: str
    limit: RateLimit
    max_batch: int
    batch_size: int  # messages that a call may carry at present, at most `max_batch`
    fee: float
    kind: str
    listed_ns: int  # when it was first listed
    is_usable: bool = True
    unlisted_ns: int | None = None  # since when it is not in the endpoint list
    call_count: int = 0
    max_calls: int = NEVER
    latency_ns: float = 0.0  # smoothed latency of deliveries, and its deviation below
    deviation_ns: float = 0.0
    last_success_ns: int = 0
    success_sent_ns: int = 0  # when the most recently sent delivered call was sent
    consecutive_failures: int = 0
    failure_ratio: float = 0.0
    loss_ratio: float = 0.0  # smoothed share of calls that got no response although later ones did
    suspected_since_ns: int | None = None  # time of the first failure since the last delivery
    never_ran: bool = False  # the last failure proves that its call was not executed
    is_silent: bool = False  # the last failed call got no response
    is_open: bool = False  # circuit breaker open: one trial at a time
    slow_start_since_ns: int | None = None  # since when the endpoint alone is in a slow start
    next_call_ns: int = 0  # while the endpoint alone is unhealthy or in a slow start
    idle_since_ns: list[int] = field(default_factory=list)  # for each idle connection, oldest first


@dataclass(slots=True, eq=False)
class Destination:
    """A tenant of 2DFQ^E: its start tag, pessimistic costs, window and queue."""

    id: int
    order: int
    window: int
    retry_tokens: float
    start_tag: int = 0
    costs_ns: dict[str, int] = field(default_factory=dict)
    best_latency_ns: float = 0.0
    latency_ns: float = 0.0
    call_count: int = 0
    queue: list[Message] = field(default_factory=list)
    endpoints: dict[int, Endpoint] = field(default_factory=dict)
    limit: RateLimit = field(default_factory=RateLimit)
    absent_since_ns: int | None = None  # since when it has no endpoint in service
    rejected_since_ns: int | None = None  # time of the first rejection since the last delivery
    next_call_ns: int = 0  # earliest time of the next call, on any route

    def l_max(self, message_class: MessageClass) -> int:
        """Return the pessimistic cost of a class; its latency objective until the first call completes."""
        return self.costs_ns.setdefault(message_class.name, message_class.latency_objective_ns)


class RequestedWait(NamedTuple):
    """A wait in force that a response has asked for.

    Attributes:
        destination: the destination's number.
        endpoint: the endpoint whose route alone it binds; None: it binds the whole destination.
        until_ns: the clock reading at which it ends.
    """

    destination: int
    endpoint: int | None
    until_ns: int


class PausedKey(NamedTuple):
    """An ordering key of which no first attempt may start yet, since an earlier call may still run.

    Attributes:
        key: the ordering key.
        until_ns: the clock reading at which the pause ends.
    """

    key: int
    until_ns: int


def requested_waits(destinations: Iterable[Destination], now: int) -> list[RequestedWait]:
    """Return the waits that end after `now`."""
    waits = []
    for destination in destinations:
        shared = destination.limit
        waits.append(RequestedWait(destination.id, None, shared.retry_after_ns))
        routes = [endpoint for endpoint in destination.endpoints.values() if endpoint.limit is not shared]
        waits += [RequestedWait(destination.id, each.id, each.limit.retry_after_ns) for each in routes]
    return [wait for wait in waits if wait.until_ns > now]
