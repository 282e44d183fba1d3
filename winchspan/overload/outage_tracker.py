"""The state of one destination as seen by one courier: calm, outage, recovering or storm.

Transitions:
    calm to outage: a number of consecutive calls failed over some time, without a delivery.
    outage to recovering: a delivery.
    recovering to calm: the full share of the rate has been regained.
    any state but outage to storm: the share of retries among arrivals is high, or it is between both
        thresholds while the backlog is long.
    storm to recovering or calm: the share of retries has been low for some time.
    recovering or storm to outage: calls fail again; each further recovery begins at a lower rate.
"""

from __future__ import annotations

from enum import Enum
from typing import Final

from winchspan.api import Outcome
from winchspan.overload.settings import OverloadSettings

RECOVERY_STEPS: Final = 8  # deliveries that regain the full share, if the ramp allows it
FAILURE_DECREASE: Final = 0.7  # a failure during a recovery reduces the level by 30%
REPEATED_OUTAGE_DECREASE: Final = 0.6  # factor for the initial level after each further outage
MIN_START_SHARE: Final = 0.25  # least initial level, relative to that of a first outage
MAX_CONSECUTIVE_OUTAGES: Final = 8  # bound of the count


class DestinationState(Enum):
    """The state of a destination; the values are part of log lines and metrics."""

    CALM = "calm"
    OUTAGE = "outage"
    RECOVERING = "returning"
    STORM = "storm"


class OutageTracker:
    """The state of a destination, its share of retries, and the level of the rate that it has regained.

    Attributes:
        state: the current state.
        consecutive_outages: number of outages without a long calm period between them.
        outage_since: begin of the latest outage, in ns.
    """

    def __init__(self, now: int, settings: OverloadSettings, start_level: float, warm_up_ns: int) -> None:
        """Create the tracker of a calm destination.

        Args:
            now: the current time in ns.
            settings: the operator's settings.
            start_level: the share of its rate that a destination can process right after an outage.
            warm_up_ns: the time until it can process its full rate.
        """
        self._settings = settings
        self._start_level = start_level
        self._warm_up_ns = warm_up_ns
        self.state = DestinationState.CALM
        self._state_since = now
        self.consecutive_outages = 0
        self.outage_since = now
        self._recovering_since: int | None = None  # None: not warming up
        self._level = 1.0
        self._failure_count = 0  # consecutive
        self._first_failure_at = now
        self._first_arrivals = 0.0  # decaying counts
        self._retry_arrivals = 0.0
        self._decayed_at = now
        self._low_share_since: int | None = None

    # ---- events ------------------------------------------------------------------------------------------
    def record_arrival(self, now: int, *, is_retry: bool) -> None:
        """Count a submitted message, admitted or not."""
        self._decay(now)
        if is_retry:
            self._retry_arrivals += 1.0
        else:
            self._first_arrivals += 1.0

    def record_outcome(self, now: int, outcome: Outcome, duration_ns: int) -> None:
        """Record the outcome of a call."""
        if outcome is Outcome.DELIVERED:
            self._record_delivery(now, now - duration_ns)
        elif outcome is not Outcome.NOT_SENT:
            self._record_failure(now)

    def _record_delivery(self, now: int, sent_at: int) -> None:
        self._failure_count = 0
        if self.state is DestinationState.OUTAGE:
            if sent_at < self.outage_since:
                return  # a call sent before the outage does not prove a recovery
            decrease = REPEATED_OUTAGE_DECREASE ** max(0, self.consecutive_outages - 1)
            self._level = max(MIN_START_SHARE, decrease) * self._start_level
            self._recovering_since = now
            self._enter(now, DestinationState.RECOVERING)
        elif self._recovering_since is not None:
            self._level = min(1.0, self._level + (1.0 - self._start_level) / RECOVERY_STEPS)

    def _record_failure(self, now: int) -> None:
        if not self._failure_count:
            self._first_failure_at = now
        self._failure_count += 1
        if self._recovering_since is not None:
            self._level = max(MIN_START_SHARE * self._start_level, self._level * FAILURE_DECREASE)
        if (
            self.state is not DestinationState.OUTAGE
            and self._failure_count >= self._settings.outage_failure_count
            and now - self._first_failure_at >= self._settings.outage_after_ns
        ):
            self._begin_outage(now)

    def _begin_outage(self, now: int) -> None:
        # An outage during a recovery or soon after it is counted as a further one, else as the first.
        is_near = self._recovering_since is not None or now - self._state_since < self._warm_up_ns
        if is_near and self.consecutive_outages:
            self.consecutive_outages = min(MAX_CONSECUTIVE_OUTAGES, self.consecutive_outages + 1)
        else:
            self.consecutive_outages = 1
        self.outage_since = self._first_failure_at
        self._recovering_since = None
        self._level = self._start_level
        self._enter(now, DestinationState.OUTAGE)

    def suspect(self, now: int) -> None:
        """Move a calm destination to recovering, after a restart with signs of an outage."""
        if self.state is DestinationState.CALM:
            self._level = self._start_level
            self._recovering_since = now
            self._enter(now, DestinationState.RECOVERING)

    # ---- evaluation --------------------------------------------------------------------------------------
    def level(self, now: int) -> float:
        """Return the share of the courier's rate that may be used; this may end a recovery.

        It is the minimum of the level that deliveries have regained and the level that the ramp allows now.
        """
        if self._recovering_since is None:
            return self._level if self.state is DestinationState.OUTAGE else 1.0
        warm_up = (1.0 - self._start_level) * (now - self._recovering_since) / self._warm_up_ns
        ceiling = self._settings.ramp_factor * (self._start_level + warm_up)
        if ceiling >= 1.0 and self._level >= 1.0:
            self._recovering_since = None
            if self.state is DestinationState.RECOVERING:
                self._enter(now, DestinationState.CALM)
            return 1.0
        return min(1.0, ceiling, self._level)

    def retry_share(self, now: int) -> float:
        """Return the share of retries among the recent arrivals."""
        self._decay(now)
        arrivals = self._first_arrivals + self._retry_arrivals
        return self._retry_arrivals / arrivals if arrivals >= 1.0 else 0.0

    def evaluate_storm(self, now: int, backlog_ns: int) -> None:
        """Begin or end a storm.

        Args:
            now: the current time in ns.
            backlog_ns: the time that sending the held messages takes.
        """
        self.level(now)
        if self.state is DestinationState.OUTAGE:
            return
        share = self.retry_share(now)
        if self.state is DestinationState.STORM:
            self._evaluate_end_of_storm(now, share)
            return
        is_high = share >= self._settings.storm_retry_share
        has_backlog = (
            share > self._settings.calm_retry_share and backlog_ns >= self._settings.storm_backlog_ns
        )
        if (is_high or has_backlog) and self._retry_arrivals >= self._settings.storm_min_retries:
            self._low_share_since = None
            self._enter(now, DestinationState.STORM)

    def _evaluate_end_of_storm(self, now: int, retry_share: float) -> None:
        if retry_share > self._settings.calm_retry_share:
            self._low_share_since = None
        elif self._low_share_since is None:
            self._low_share_since = now
        elif now - self._low_share_since >= self._settings.calm_after_ns:
            self._enter(now, DestinationState.RECOVERING if self.is_warming_up else DestinationState.CALM)

    @property
    def is_degraded(self) -> bool:
        """Whether the state is not calm."""
        return self.state is not DestinationState.CALM

    @property
    def regained_level(self) -> float:
        """The share of the rate that deliveries have regained, without the limit of the ramp."""
        return self._level

    @property
    def is_warming_up(self) -> bool:
        """Whether the recovery has not ended yet."""
        return self._recovering_since is not None

    def _enter(self, now: int, state: DestinationState) -> None:
        self.state = state
        self._state_since = now

    def _decay(self, now: int) -> None:
        """Apply the exponential decay to the counts of arrivals."""
        if now > self._decayed_at:
            factor = 0.5 ** ((now - self._decayed_at) / self._settings.half_life_ns)
            self._first_arrivals *= factor
            self._retry_arrivals *= factor
            self._decayed_at = now
