"""How many calls a capacity that returns cold bears from all senders, and when one sender may make the next.

In any window of `tip_after_ns` a cold capacity bears `fall_multiple` times what it can do, N calls, and some
more for chance. It can do `start_capacity` of all at its return, and more in proportion to the time since,
until it is warm after `cold_ns`.
"""

from __future__ import annotations

import math
from typing import Final, NamedTuple

from winchspan.api import Settings

# Above its budget of N calls a capacity bears 2 sqrt(N) + 2 for chance, or 3 sqrt(N) + 3 where N is small.
SMALL_BUDGET: Final = 30
DEVIATIONS: Final = 3  # standard deviations between the mean of all senders' calls and the limit
MIN_VARIANCE: Final = 1 / 6  # of the calls of one sender, over their mean, where it makes several in a window


class ColdCapacity(NamedTuple):
    """What a cold capacity can do.

    Attributes:
        part: of what it can do when it is warm.
        rise_per_ns: by which that part grows; 0: its return is still to come.
    """

    part: float
    rise_per_ns: float


def cold_capacity(settings: Settings, ramp_ns: int | None, now: int) -> ColdCapacity:
    """Return what a capacity can do now.

    Args:
        settings: the platform's.
        ramp_ns: the moment of its return; None: that is still to come.
        now: the present time.
    """
    if ramp_ns is None:
        return ColdCapacity(settings.start_capacity, 0.0)
    rise_per_ns = (1 - settings.start_capacity) / settings.cold_ns
    since_ns = min(max(0, now - ramp_ns), settings.cold_ns)
    return ColdCapacity(settings.start_capacity + rise_per_ns * since_ns, rise_per_ns)


def least_demand_per_ns(settings: Settings) -> float:
    """Return the demand of a sender that asks for nearly nothing: all of them make a call in `cold_ns`."""
    return 1 / (settings.senders * settings.cold_ns)


def gap_ns(settings: Settings, demand_per_ns: float, cold: ColdCapacity, calls: float) -> int:
    """Return the time in which a cold capacity bears so many calls of a part of it.

    Args:
        settings: the platform's.
        demand_per_ns: the part, in calls a nanosecond when the capacity is warm.
        cold: what the capacity can do.
        calls: how many.
    """
    room = calls / (settings.fall_multiple * max(demand_per_ns, least_demand_per_ns(settings)))
    return int(2 * room / (cold.part + (cold.part * cold.part + 2 * cold.rise_per_ns * room) ** 0.5))


def budget_share(settings: Settings, demand_per_ns: float, part: float) -> float:
    """Return how many times its part of the budget a sender may use: a capacity bears more for chance.

    The calls of all senders in a window have a mean of `share * budget` and a variance of that times
    `variance`: nearly one where a sender makes few calls in a window, less where their gaps even out. The
    share is the one at which the limit lies `DEVIATIONS` standard deviations above the mean.

    Args:
        settings: the platform's.
        demand_per_ns: the sender's part of the capacity, in calls a nanosecond when that is warm.
        part: what the capacity can do, of what it can do when it is warm.
    """
    own_budget = settings.fall_multiple * part * demand_per_ns * settings.tip_after_ns
    budget = settings.senders * own_budget
    limit = budget + (3 if budget < SMALL_BUDGET else 2) * (math.sqrt(budget) + 1)
    variance = max(MIN_VARIANCE, 1 - own_budget)
    chance = DEVIATIONS * math.sqrt(budget * variance)
    root = (math.sqrt(chance * chance + 4 * budget * limit) - chance) / (2 * budget)
    return root * root
