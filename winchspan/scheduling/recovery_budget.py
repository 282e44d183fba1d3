"""Call budget of a capacity that warms up after an outage, and the pace of one sender within it.

In any window of `tip_after_ns` a capacity that warms up tolerates N calls from all senders, `fall_multiple`
times its throughput, plus a margin for random variation. At its return the throughput is the fraction
`start_capacity` of the full one, and it rises linearly to the full one within `cold_ns`.
"""

from __future__ import annotations

import math
from typing import Final, NamedTuple

from winchspan.api import Settings

# The margin above a budget of N calls is 2 sqrt(N) + 2 calls, or 3 sqrt(N) + 3 where N is below this.
SMALL_BUDGET_CALLS: Final = 30
LIMIT_DEVIATIONS: Final = 3  # standard deviations from the mean of all senders' calls to the limit
# Lower bound on variance / mean of the calls of one sender that makes several calls in a window.
MIN_VARIANCE_RATIO: Final = 1 / 6


class WarmUpCapacity(NamedTuple):
    """The throughput of a capacity that warms up.

    Attributes:
        fraction: its throughput as a fraction of the full one.
        fraction_rise_per_ns: the growth of `fraction` per nanosecond; 0: the capacity has not returned yet.
    """

    fraction: float
    fraction_rise_per_ns: float


def warm_up_capacity(settings: Settings, return_ns: int | None, now: int) -> WarmUpCapacity:
    """Return the present throughput of a capacity.

    Args:
        settings: the scheduler's settings.
        return_ns: the time of its return; None: it has not returned yet.
        now: the current time.
    """
    if return_ns is None:
        return WarmUpCapacity(settings.start_capacity, 0.0)
    fraction_rise_per_ns = (1 - settings.start_capacity) / settings.cold_ns
    since_ns = min(max(0, now - return_ns), settings.cold_ns)
    return WarmUpCapacity(settings.start_capacity + fraction_rise_per_ns * since_ns, fraction_rise_per_ns)


def min_demand_per_ns(settings: Settings) -> float:
    """Return the smallest demand that is assumed: all senders together make one call in `cold_ns`."""
    return 1 / (settings.senders * settings.cold_ns)


def call_interval_ns(
    settings: Settings, demand_per_ns: float, capacity: WarmUpCapacity, call_count: float
) -> int:
    """Return the time in which a capacity that warms up allows one sender a number of calls.

    Args:
        settings: the scheduler's settings.
        demand_per_ns: the sender's share of the full capacity, in calls a nanosecond.
        capacity: the present throughput of the capacity.
        call_count: the number of calls.
    """
    full_capacity_ns = call_count / (settings.fall_multiple * max(demand_per_ns, min_demand_per_ns(settings)))
    return int(
        2
        * full_capacity_ns
        / (
            capacity.fraction
            + (capacity.fraction * capacity.fraction + 2 * capacity.fraction_rise_per_ns * full_capacity_ns)
            ** 0.5
        )
    )


def budget_share(settings: Settings, demand_per_ns: float, capacity_fraction: float) -> float:
    """Return the factor by which a sender may exceed its share of the budget, thanks to the margin.

    The number of calls of all senders in a window has the mean `factor * budget` and the variance
    `variance_ratio` times that mean. The ratio is nearly 1 where a sender makes few calls in a window,
    and lower where it makes several, as their intervals average out. At the returned factor the limit lies
    `LIMIT_DEVIATIONS` standard deviations above the mean.

    Args:
        settings: the scheduler's settings.
        demand_per_ns: the sender's share of the full capacity, in calls a nanosecond.
        capacity_fraction: the throughput of the capacity, as a fraction of the full one.
    """
    own_budget = settings.fall_multiple * capacity_fraction * demand_per_ns * settings.tip_after_ns
    budget = settings.senders * own_budget
    limit = budget + (3 if budget < SMALL_BUDGET_CALLS else 2) * (math.sqrt(budget) + 1)
    variance_ratio = max(MIN_VARIANCE_RATIO, 1 - own_budget)
    deviation = LIMIT_DEVIATIONS * math.sqrt(budget * variance_ratio)
    root = (math.sqrt(deviation * deviation + 4 * budget * limit) - deviation) / (2 * budget)
    return root * root
