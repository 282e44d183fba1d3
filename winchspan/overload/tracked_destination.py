"""The state of the overload control for one destination, and estimates of its send times."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from winchspan import api
from winchspan.overload.adaptive_rate import MIN_LEVEL, AdaptiveRate
from winchspan.overload.held_messages import HeldMessages
from winchspan.overload.outage_tracker import DestinationState, OutageTracker
from winchspan.overload.reservations import AnonymousReservations
from winchspan.overload.retry_budget import RetryBudget
from winchspan.overload.settings import NS_PER_SECOND


class OverloadEvent(StrEnum):
    """Counted events of a destination; the values are part of metrics."""

    ADMITTED = "admitted"
    ADMITTED_RESERVED = "kept"
    CALL_SENT = "calls"
    RETRY_SENT = "further_attempts"
    REJECTED_BY_DESTINATION = "refused_by_destination"
    REJECTED_EARLY = "refused_early"
    REJECTED_FIRST = "refused_first"
    REJECTED_HELD = "handed_back"
    REJECTED_KEY_ORDER = "refused_key_order"
    REJECTED_NO_CAPACITY = "refused_no_room"
    REJECTED_RESERVED = "refused_kept"
    REJECTED_RETRY = "refused_repeat"
    ENTERED_CALM = "entered_calm"
    ENTERED_OUTAGE = "entered_outage"
    ENTERED_RECOVERING = "entered_returning"
    ENTERED_STORM = "entered_storm"


ENTERED_EVENTS: Final[Mapping[DestinationState, OverloadEvent]] = {
    state: OverloadEvent(f"entered_{state.value}") for state in DestinationState
}


@dataclass(frozen=True, slots=True)
class StateTransition:
    """A state change of a destination, for the operators.

    Attributes:
        at_ns: time of the change on the scheduler's clock.
        destination: the number of the destination.
        before: the previous state.
        state: the new state.
        retry_share: the share of retries among its arrivals.
        level: the share of the courier's rate that may be used.
        held_count: number of messages held for it.
        consecutive_outages: number of outages without a long calm period between them.
    """

    at_ns: int
    destination: int
    before: DestinationState
    state: DestinationState
    retry_share: float
    level: float
    held_count: int
    consecutive_outages: int


@dataclass(slots=True, eq=False)
class TrackedDestination:
    """The state of one destination.

    Attributes:
        id: the number of the destination.
        tracker: tracks outages, storms and recoveries.
        rate: the courier's share of the listed rate.
        held: the messages held for the destination.
        retry_budget: limits retries while the destination is degraded.
        anonymous_reservations: reservations of clients without an idempotency key.
        reported_state: the last reported state.
        messages_per_call: a moving mean.
        next_slot_at: the next slot of the virtual queue, the theoretical arrival time of a GCRA; in ns.
        is_governed: whether it is controlled; False: only observed, as the courier's share is too small.
        paused_until: the end of the backoff that the destination asked for, in ns.
        evaluate_at: time of the next storm evaluation, in ns.
        recent_arrivals: decaying count of arrivals, by which the tracked destinations are selected.
        counts: number of events since tracking began, by event.
    """

    id: int
    tracker: OutageTracker
    rate: AdaptiveRate
    held: HeldMessages
    retry_budget: RetryBudget
    anonymous_reservations: AnonymousReservations
    reported_state: DestinationState = DestinationState.CALM
    messages_per_call: float = 1.0
    next_slot_at: int = 0
    is_governed: bool = True
    paused_until: int = 0
    evaluate_at: int = 0
    recent_arrivals: int = 0
    counts: dict[str, int] = field(default_factory=dict)

    def count(self, event: OverloadEvent, by: int = 1) -> None:
        """Add to the count of an event."""
        self.counts[event] = self.counts.get(event, 0) + by

    def drain_ns(self, now: int, message_count: float, settings: api.Settings) -> int:
        """Return the time that sending the messages takes, at a rate that rises during a recovery."""
        full_rate = self.rate.mean_rate * self.messages_per_call  # messages a second
        if full_rate <= 0.0:
            return 0
        full_rate_seconds = message_count / full_rate
        if self.tracker.is_warming_up:
            start_level = max(MIN_LEVEL, self.tracker.level(now))
        elif self.tracker.state is DestinationState.OUTAGE:
            start_level = max(MIN_LEVEL, settings.start_capacity)
        else:
            return int(full_rate_seconds * NS_PER_SECOND)
        return _ramp_drain_ns(full_rate_seconds, start_level, settings)

    def remaining_outage_ns(self, now: int, settings: api.Settings) -> int:
        """Return the expected time until the destination accepts calls again.

        This is the rest of the backoff that it asked for. Without one, an outage is expected to last as long
        again as it has lasted, the median without further knowledge, up to half the warm-up time.
        """
        remaining_ns = max(0, self.paused_until - now)
        if self.tracker.state is DestinationState.OUTAGE and not remaining_ns:
            remaining_ns = min(now - self.tracker.outage_since, settings.cold_ns // 2)
        return remaining_ns

    def slot_interval_ns(self, now: int) -> int:
        """Return the interval of the virtual queue's slots, the send time of one message."""
        level = self.tracker.level(now) if self.tracker.is_warming_up else 1.0
        rate = self.rate.rate_at(level) * self.messages_per_call
        return int(NS_PER_SECOND / rate) if rate > 0.0 else 0


def _ramp_drain_ns(full_rate_seconds: float, start_level: float, settings: api.Settings) -> int:
    """Return the time that work takes at a level that rises linearly to 1.

    The level a grows by (1 - a) / ramp a second; its integral is the work that has been sent.

    Args:
        full_rate_seconds: the time that the work takes at the full rate.
        start_level: the initial level.
        settings: the platform's settings; a full ramp rises from `start_capacity` to 1 in `cold_ns`.
    """
    full_ramp = 1.0 - settings.start_capacity or 1.0
    ramp_seconds = settings.cold_ns / NS_PER_SECOND * (1.0 - start_level) / full_ramp
    slope = (1.0 - start_level) / ramp_seconds if ramp_seconds > 0 else 0.0
    sent_in_ramp = ramp_seconds * (1.0 + start_level) / 2  # in seconds at the full rate
    if slope <= 0.0 or full_rate_seconds >= sent_in_ramp:
        return int((ramp_seconds + full_rate_seconds - sent_in_ramp) * NS_PER_SECOND)
    level_at_end = (start_level * start_level + 2 * slope * full_rate_seconds) ** 0.5
    return int((level_at_end - start_level) / slope * NS_PER_SECOND)
