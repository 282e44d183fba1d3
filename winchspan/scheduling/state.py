"""What the scheduler remembers, and the rules that follow from one message or one endpoint alone."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Final

from winchspan.api import Effect, MessageClass, Settings
from winchspan.scheduling.slow_start import SlowStart

NEVER: Final = 1 << 62  # later than any reading of the clock, more than any count
MAX_TRANSIT_NS: Final = 150_000_000  # the time that a repeat may take to its destination
PATIENCE: Final = 2  # an attempt may take this multiple of the time from which it is overdue


@dataclass(slots=True, eq=False)
class Message:
    """A message held, until its final answer is out and its last attempt is back."""

    id: str
    message_class: MessageClass
    destination: Destination
    key: int | None
    accepted_ns: int  # when the client first handed it in
    deadline_ns: int
    attempt_count: int = 0
    in_flight: dict[int, Call] = field(default_factory=dict)  # by the number of the attempt
    is_completed: bool = False
    maybe_ran_ns: int | None = None  # sending of the first attempt that may have run
    maybe_ran_zone: str = ""
    last_endpoint: Endpoint | None = None
    unanswered_ns: int = NEVER  # sending of its last attempt, if nothing came back for it
    is_lowest_priority: bool = False  # after all others

    def was_lost_in_transit(self) -> bool:
        """Whether its last attempt was lost: its endpoint has delivered a call sent later."""
        return self.last_endpoint is not None and self.last_endpoint.success_sent_ns > self.unanswered_ns

    def is_late(self, settings: Settings, now: int) -> bool:
        """Whether the client's time is all but up."""
        return self.deadline_ns - now <= 2 * settings.step_ns

    def is_exhausted(self, settings: Settings, now: int) -> bool:
        """Whether no further attempt is possible; the client is told so at once."""
        cls = self.message_class
        is_too_late = cls.effect is Effect.ONCE or now + settings.step_ns >= self.last_send_ns(settings)
        if is_too_late and self.maybe_ran_ns is not None and cls.effect is not Effect.REPEATABLE:
            return True
        max_attempts = cls.max_attempts or settings.max_attempts
        return self.is_late(settings, now) or self.attempt_count >= max_attempts

    def is_safe_at(self, endpoint: Endpoint, settings: Settings, now: int) -> bool:
        """Whether a repeat is still dropped at that endpoint, or the message needs no such care."""
        cls = self.message_class
        if self.maybe_ran_ns is None or cls.effect is Effect.REPEATABLE:
            return True
        is_other_scope = cls.dedup_per_zone and endpoint.zone != self.maybe_ran_zone
        return not is_other_scope and not self.is_exhausted(settings, now)

    def abandon_ns(self, overdue_after_ns: int, now: int) -> int:
        """When to abandon an attempt: never early where it may not be repeated, else past its objective."""
        cls = self.message_class
        if cls.effect is Effect.ONCE:
            return self.deadline_ns
        patience_ns = max(cls.latency_objective_ns, PATIENCE * overdue_after_ns)
        if cls.effect is Effect.KEYED:
            patience_ns = min(patience_ns, max(cls.dedup_ns // 2, cls.latency_objective_ns))
        return min(self.deadline_ns, now + patience_ns)

    def last_send_ns(self, settings: Settings) -> int:
        """When a repeat must be out: before its window ends, by the time that it may be on its way."""
        dedup_ns = self.message_class.dedup_ns
        transit_ns = min(MAX_TRANSIT_NS, dedup_ns // 10) if settings.can_recall else 0
        return (self.maybe_ran_ns or 0) + dedup_ns - transit_ns


@dataclass(slots=True, eq=False)
class Call:
    """One call in flight: a slot, a charge, and the messages that travel in it."""

    destination: Destination
    endpoint: Endpoint
    slot: int
    message_class: MessageClass
    sent_ns: int
    charged_ns: int  # slot time charged so far, the credit from the start included
    members: dict[str, tuple[Message, int]] = field(default_factory=dict)  # and the number of the attempt
    is_overdue: bool = False
    is_judged: bool = False
    is_withdrawn: bool = False
    retry_count: int = 0  # members that had been in flight before
    idle_ns: int = 0  # how long its connection had been idle; 0: a new one, or one in use


@dataclass(slots=True, eq=False)
class RateLimit:
    """A limit shared with other senders: a destination's, or a route's where routes are apart."""

    name: str = ""  # of the destination or the route, for the log
    destination: int | None = None  # its number; None: a route of one
    # One for all endpoints: with one each, many senders saw no outage at some of them, and sent these all.
    slow_start: SlowStart = field(default_factory=SlowStart)
    retry_after_ns: int = 0  # no call before this reading, as an answer demanded
    stated_per_s: float = 0.0  # calls a second for all senders, as listed or reported; 0: not stated
    learned_per_s: float = 0.0  # calls a second learned for this sender; 0: no limit is known
    next_call_ns: int = 0
    recent_ns: deque[int] = field(default_factory=deque)  # sendings of the last second


@dataclass(slots=True, eq=False)
class Endpoint:
    """An endpoint and its health, as this sender saw it."""

    id: int
    zone: str
    limit: RateLimit
    max_batch: int
    batch_size: int  # messages that a call may hold at present, `max_batch` at most
    fee: float
    kind: str
    listed_ns: int  # when it was first listed
    is_usable: bool = True
    unlisted_ns: int | None = None  # since when it is off the list
    call_count: int = 0
    max_calls: int = NEVER
    latency_ns: float = 0.0  # of deliveries, smoothed, and its deviation
    deviation_ns: float = 0.0
    last_success_ns: int = 0
    success_sent_ns: int = 0  # sending of the latest call that was delivered
    consecutive_failures: int = 0
    failure_ratio: float = 0.0
    loss_ratio: float = 0.0  # smoothed share of calls whose answer never came though later ones did
    suspected_ns: int | None = None  # first failure since the last delivery
    never_ran: bool = False  # the last failure proves that its call never ran
    is_silent: bool = False  # nothing came back for the last failure
    is_open: bool = False  # circuit breaker open: one trial at a time
    slow_start_ns: int | None = None  # slow start since
    next_call_ns: int = 0  # while it alone is unhealthy, or in a slow start of its own
    idle_since_ns: list[int] = field(default_factory=list)  # of each idle connection, oldest first


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
    absent_since_ns: int | None = None  # since when no endpoint of it is in service
    rejected_ns: int | None = None  # first rejection since the last delivery
    next_call_ns: int = 0  # next call after it, whatever the route

    def l_max(self, message_class: MessageClass) -> int:
        """Return the pessimistic cost of a class, its latency objective until a call of it is back."""
        return self.costs_ns.setdefault(message_class.name, message_class.latency_objective_ns)
