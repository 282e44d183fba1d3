"""The operator's settings of the overload control; all times in nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

NS_PER_SECOND: Final = 1_000_000_000


@dataclass(frozen=True, slots=True)
class OverloadSettings:
    """The operator's settings; the platform's settings are in `winchspan.api.Settings`.

    Rates are in calls a second, shares between 0 and 1.

    Attributes:
        max_destinations: the most tracked destinations; others are not governed, and a sketch counts their
            arrivals.
        max_reservations: bound of the reservations, and of the ordering keys that they block.
        rate_share: the share of the listed rate that all couriers together use.
        sender_count: number of couriers that share the rate; 0: as in the platform's settings.
        sender_shares: the share of each courier by number, for uneven traffic; empty: equal shares.
        min_governed_rate: least share of this courier, in calls a second, to govern a destination.
        limits_when_calm: whether calls are limited to the listed rate in the calm state, too.
        outage_failure_count: consecutive failed calls that begin an outage, if they last `outage_after_ns`.
        outage_after_ns: least time of consecutive failures without a delivery before an outage begins.
        trial_interval_ns: time between two calls during an outage.
        storm_retry_share: the share of retries among arrivals at which a storm begins.
        calm_retry_share: the share of retries at or below which a storm ends after `calm_after_ns`.
        calm_after_ns: time for which the share of retries must be low before a storm ends.
        storm_min_retries: least decayed count of retries at which a storm begins.
        storm_backlog_ns: backlog at which a share of retries above `calm_retry_share` begins a storm.
        ramp_factor: rate limit during a recovery, as a multiple of the least capacity while warming up.
        half_life_ns: half-life of the counts of arrivals.
        capacity_share: the share of the held messages that one degraded destination may use.
        grace_period_ns: how long a reservation stays valid after its time.
        early_tolerance_ns: how much too early a client may retry, since clocks differ.
        retry_ratio: retries allowed for each first attempt.
        min_retries_per_second: rate of retries that is always allowed.
        max_saved_retries: the most unused retries that are saved up.
        seed: seed of the sequence that spreads reservations.
    """

    max_destinations: int = 256
    max_reservations: int = 20_000
    rate_share: float = 1.0
    sender_count: int = 0
    sender_shares: tuple[float, ...] = ()
    min_governed_rate: float = 0.0
    limits_when_calm: bool = True
    outage_failure_count: int = 3
    outage_after_ns: int = NS_PER_SECOND
    trial_interval_ns: int = 700_000_000
    storm_retry_share: float = 0.3
    calm_retry_share: float = 0.1
    calm_after_ns: int = 2 * NS_PER_SECOND
    storm_min_retries: float = 6.0
    storm_backlog_ns: int = 6 * NS_PER_SECOND
    ramp_factor: float = 1.5
    half_life_ns: int = 2 * NS_PER_SECOND
    capacity_share: float = 0.5
    grace_period_ns: int = 500_000_000
    early_tolerance_ns: int = 60_000_000
    retry_ratio: float = 0.2
    min_retries_per_second: float = 1.0
    max_saved_retries: float = 10.0
    seed: int = 0
