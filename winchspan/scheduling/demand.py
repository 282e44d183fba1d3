"""Estimates one sender's demand on a capacity that it shares with others, from its own calls alone."""

from __future__ import annotations

from dataclasses import dataclass
from math import log
from typing import Final

_LN_2: Final = log(2)


@dataclass(slots=True, eq=False)
class DecayingRate:
    """The rate of events, with exponentially decaying weights.

    Events and observed time decay alike, so that the estimate is unbiased however short the observation is.
    Over many senders the errors therefore cancel out, whereas the errors of a maximum of several estimates
    would add up.

    Attributes:
        count: the decayed number of events.
        observed_ns: the decayed time of observation.
        updated_ns: when both were last updated; None: never.
    """

    count: float = 0.0
    observed_ns: float = 0.0
    updated_ns: int | None = None

    def advance(self, now: int, half_life_ns: int) -> None:
        """Count the time since the last update as observed."""
        self.count, self.observed_ns = self._decayed(now, half_life_ns)
        self.updated_ns = now

    def set_rate(self, per_ns: float, half_life_ns: int, now: int) -> None:
        """Set a known rate, as after a long observation."""
        self.observed_ns = half_life_ns / _LN_2
        self.count = per_ns * self.observed_ns
        self.updated_ns = now

    def skip_to(self, now: int) -> None:
        """Exclude the time since the last update from the observation."""
        self.updated_ns = now

    def per_ns(self, min_observed_ns: int) -> float:
        """Return the rate in events a nanosecond at the last update."""
        return self.count / max(self.observed_ns, min_observed_ns)

    def per_ns_at(self, at_ns: int, half_life_ns: int, min_observed_ns: int) -> float:
        """Return the rate in events a nanosecond at a clock reading, if no event occurs until then."""
        count, observed_ns = self._decayed(at_ns, half_life_ns)
        return count / max(observed_ns, min_observed_ns)

    def _decayed(self, at_ns: int, half_life_ns: int) -> tuple[float, float]:
        elapsed_ns = 0 if self.updated_ns is None else max(0, at_ns - self.updated_ns)
        decay = 0.5 ** (elapsed_ns / half_life_ns)
        return self.count * decay, self.observed_ns * decay + (1 - decay) * half_life_ns / _LN_2


@dataclass(slots=True, eq=False)
class Demand:
    """One sender's demand on a shared capacity.

    Attributes:
        delivered: calls that were delivered while the capacity was considered healthy. Their sum over all
            senders is a load that the capacity has carried.
        offered: messages that arrived for the capacity.
    """

    delivered: DecayingRate
    offered: DecayingRate

    @classmethod
    def unknown(cls) -> Demand:
        """Return the demand of a sender that has not observed any event yet."""
        return cls(DecayingRate(), DecayingRate())
