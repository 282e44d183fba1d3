"""The tracked destinations: the busiest up to a bound, and degraded ones."""

from __future__ import annotations

from typing import Final, Protocol

from winchspan import api
from winchspan.overload.adaptive_rate import AdaptiveRate
from winchspan.overload.held_messages import HeldMessages
from winchspan.overload.outage_tracker import OutageTracker
from winchspan.overload.reservations import AnonymousReservations
from winchspan.overload.retry_budget import RetryBudget
from winchspan.overload.settings import NS_PER_SECOND, OverloadSettings
from winchspan.overload.tracked_destination import TrackedDestination

ARRIVALS_HALF_LIFE_NS: Final = 10 * NS_PER_SECOND
LISTED_RATES_PER_DESTINATION: Final = 4  # stored listed rates, for each destination that may be tracked
MIN_ANONYMOUS_RESERVATIONS: Final = 16


class ArrivalCounter(Protocol):
    """Counts arrivals for untracked destinations, in bounded memory."""

    def add(self, key: int) -> int:
        """Count one arrival of a key and return the estimated count."""

    def halve(self) -> None:
        """Halve all counts."""


class DestinationTable:
    """The tracked destinations, and the listed rates.

    Attributes:
        tracked: the tracked destinations by number; only this class changes it.
        untracked_count: number of messages for untracked destinations, which are not governed.
    """

    def __init__(
        self, settings: api.Settings, overload_settings: OverloadSettings, arrival_counter: ArrivalCounter
    ) -> None:
        """Create an empty table.

        Args:
            settings: the platform's settings.
            overload_settings: the operator's settings.
            arrival_counter: counts arrivals for untracked destinations.
        """
        shares = overload_settings.sender_shares
        self._overload_settings = overload_settings
        self._arrival_counter = arrival_counter
        self._configured_share = shares[settings.me] if settings.me < len(shares) else 0.0
        self.reconfigure(settings)
        self.tracked: dict[int, TrackedDestination] = {}
        self.untracked_count = 0
        self._listed_rates: dict[int, float] = {}
        self._arrivals_halve_at = 0
        self._previous_incarnation_call_at = -2 * NS_PER_SECOND

    def reconfigure(self, settings: api.Settings) -> None:
        """Use other settings for destinations that are tracked later."""
        self._settings = settings
        self._sender_count = self._overload_settings.sender_count or settings.senders

    @property
    def entry_count(self) -> int:
        """Number of entries in all tables."""
        return len(self.tracked) + len(self._listed_rates)

    def record_restart(self, last_call_at: int) -> None:
        """Block the window of the previous incarnation's last call for all destinations.

        The previous incarnation may have used up the quota of that window.
        """
        self._previous_incarnation_call_at = last_call_at
        for destination in self.tracked.values():
            destination.rate.block_window_from(last_call_at)

    def set_listed_rate(self, destination_id: int, rate: float) -> None:
        """Set the rate of the endpoint list; rates beyond the bound are not stored."""
        max_rates = LISTED_RATES_PER_DESTINATION * self._overload_settings.max_destinations
        if destination_id in self._listed_rates or len(self._listed_rates) < max_rates:
            self._listed_rates[destination_id] = rate
        if destination := self.tracked.get(destination_id):
            self._apply_listed_rate(destination, rate)

    def _apply_listed_rate(self, destination: TrackedDestination, rate: float) -> None:
        """Set a rate; a share of very few whole calls cannot be enforced, and is not governed."""
        destination.rate.set_listed_rate(self._overload_settings.rate_share * rate)
        min_rate = self._overload_settings.min_governed_rate
        destination.is_governed = destination.rate.listed_share >= min_rate

    def find_or_track(self, now: int, destination_id: int) -> TrackedDestination | None:
        """Count an arrival for a destination; return the destination if it is tracked."""
        destination = self.tracked.get(destination_id)
        if destination is None:
            is_full = len(self.tracked) >= self._overload_settings.max_destinations
            if is_full and not self._displace_for(now, destination_id):
                self.untracked_count += 1
                return None
            destination = self._track(now, destination_id)
        destination.recent_arrivals += 1
        return destination

    def _track(self, now: int, destination_id: int) -> TrackedDestination:
        settings = self._settings
        options = self._overload_settings
        destination = TrackedDestination(
            destination_id,
            OutageTracker(now, options, settings.start_capacity, settings.cold_ns),
            AdaptiveRate(self._sender_count, settings.me + destination_id, self._configured_share),
            HeldMessages(now),
            RetryBudget(now, options.retry_ratio, options.min_retries_per_second, options.max_saved_retries),
            AnonymousReservations(
                max(MIN_ANONYMOUS_RESERVATIONS, settings.max_held),
                options.grace_period_ns,
                options.early_tolerance_ns,
            ),
        )
        self._apply_listed_rate(destination, self._listed_rates.get(destination_id, 0.0))
        # Guards against two incarnations that each use the full quota of the same second.
        destination.rate.block_window_from(self._previous_incarnation_call_at)
        self.tracked[destination_id] = destination
        return destination

    def _displace_for(self, now: int, destination_id: int) -> bool:
        """Stop tracking the destination with the fewest arrivals if the given one has more."""
        if now >= self._arrivals_halve_at:
            self._halve_arrivals(now)
        arrivals = self._arrival_counter.add(destination_id)
        candidates = (destination for destination in self.tracked.values() if _may_be_displaced(destination))
        quietest = min(candidates, key=lambda destination: destination.recent_arrivals, default=None)
        if quietest is None or quietest.recent_arrivals >= arrivals:
            return False
        del self.tracked[quietest.id]
        return True

    def _halve_arrivals(self, now: int) -> None:
        self._arrivals_halve_at = now + ARRIVALS_HALF_LIFE_NS
        self._arrival_counter.halve()
        for destination in self.tracked.values():
            destination.recent_arrivals //= 2


def _may_be_displaced(destination: TrackedDestination) -> bool:
    """Return whether tracking may end: no message is held, and it is calm or had no arrivals for long."""
    is_needed = destination.tracker.is_degraded and destination.recent_arrivals
    return not len(destination.held) and not is_needed
