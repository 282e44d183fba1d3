"""The rate of calls from one courier to a destination: its share of the listed rate, less during a recovery.

Couriers do not coordinate: each respects its own share, so that all together respect the listed rate. A share
has an integer quota of calls in any window of one second; the remainder is assigned by courier number.
"""

from __future__ import annotations

from collections import deque
from math import ceil
from typing import Final, NamedTuple

from winchspan.overload.settings import NS_PER_SECOND

WINDOW_NS: Final = NS_PER_SECOND + 40_000_000  # one second, and a margin for network jitter between calls
MIN_LEVEL: Final = 0.1  # of the share; rejections reduce the rate no further
TRUST_DECREASE: Final = 0.85  # a rejection in the calm state reduces the trust in the listed rate by 15%
TRUST_INCREASE: Final = 0.01  # a delivery increases it by 1% of the listed rate
MIN_SPACING: Final = 0.5  # least interval between calls, as a share of the mean interval
_ROUNDING_ERROR: Final = 1e-9


class RateShare(NamedTuple):
    """One courier's share of a rate.

    Attributes:
        mean_rate: the mean rate, in calls a second.
        quota: the most calls in any window of one second.
    """

    mean_rate: float
    quota: int


def rate_share(rate: float, sender_count: int, sender_index: int, configured_share: float = 0.0) -> RateShare:
    """Return one courier's share of a rate.

    The quotas of all couriers sum up to at most one call more than the rate, if the rate is at least one call
    for each courier. Quotas are rounded up where the sum allows it. Otherwise the integer part of the rate is
    divided exactly, and the remainder is assigned by `sender_index`.

    Args:
        rate: rate of all couriers together, in calls a second.
        sender_count: number of couriers.
        sender_index: number of this courier; it counts modulo `sender_count`.
        configured_share: this courier's share of the rate; 0: all couriers have equal shares.
    """
    if configured_share > 0.0:
        return RateShare(rate * configured_share, max(1, int(rate * configured_share + 0.5)))
    mean_rate = rate / sender_count
    rounded_up = ceil(mean_rate - _ROUNDING_ERROR)
    if rounded_up * sender_count <= rate + 1 or rounded_up <= 1:
        return RateShare(mean_rate, max(1, rounded_up))
    whole_calls = int(rate + _ROUNDING_ERROR)
    has_extra_call = sender_index % sender_count < whole_calls % sender_count
    quota = whole_calls // sender_count + has_extra_call
    return RateShare(min(mean_rate, quota), max(1, quota))


class AdaptiveRate:
    """Decides when the next call may be sent.

    A `level` is the fraction of the courier's rate that may be used, from 0 to 1.

    Attributes:
        trust: factor for the listed rate, from `MIN_LEVEL` to 1, which rejections reduce.
    """

    def __init__(self, sender_count: int, sender_index: int, configured_share: float = 0.0) -> None:
        """Create an unlimited rate; the arguments are those of `rate_share`."""
        self._sender_count = sender_count
        self._sender_index = sender_index
        self._configured_share = configured_share
        self._listed_rate = 0.0  # of all couriers, in calls a second; 0: not listed
        self._mean_rate = 0.0
        self._quota = 1
        self._calls_sent_at: deque[int] = deque()
        self._trust_cut_at = -NS_PER_SECOND
        self._trust_before_cut = 1.0
        self._blocked_until = 0
        self.trust = 1.0

    @property
    def listed_share(self) -> float:
        """The courier's share of the listed rate in calls a second, without `trust`; 0: not listed."""
        if self._listed_rate <= 0:
            return 0.0
        share = rate_share(self._listed_rate, self._sender_count, self._sender_index, self._configured_share)
        return share.mean_rate

    @property
    def mean_rate(self) -> float:
        """The courier's share of the trusted rate in calls a second; 0: not limited."""
        return self._mean_rate

    def set_listed_rate(self, rate: float) -> None:
        """Set the rate of the endpoint list, in calls a second; 0: not listed."""
        if rate != self._listed_rate:
            self._listed_rate = rate
            self._update_share()

    def _update_share(self) -> None:
        if self._listed_rate > 0:
            self._mean_rate, self._quota = rate_share(
                self._listed_rate * self.trust, self._sender_count, self._sender_index, self._configured_share
            )

    def block_window_from(self, time: int) -> None:
        """Allow no call in the window that begins at `time`: its quota may be used up already."""
        self._blocked_until = time + WINDOW_NS

    def record_rejection(self, now: int) -> None:
        """Reduce the trust in the listed rate, at most once a second: the destination rejects calls."""
        if now - self._trust_cut_at < NS_PER_SECOND:
            return
        self._trust_cut_at = now
        self._trust_before_cut = self.trust
        self.trust = max(MIN_LEVEL, self.trust * TRUST_DECREASE)
        self._update_share()

    def undo_cut_since(self, time: int) -> None:
        """Undo a reduction of the trust since `time`: an outage caused the rejections, not the rate."""
        if self._trust_cut_at >= time:
            self.trust = self._trust_before_cut
            self._trust_cut_at = time - NS_PER_SECOND
            self._update_share()

    def record_delivery(self) -> None:
        """Increase the trust in the listed rate by one step."""
        if self.trust < 1.0:
            self.trust = min(1.0, self.trust + TRUST_INCREASE)
            self._update_share()

    def rate_at(self, level: float) -> float:
        """Return the rate at a level, in calls a second; 0: not limited."""
        return self._mean_rate * max(MIN_LEVEL, level)

    def next_call_at(self, level: float, min_interval_ns: int = 0) -> int:
        """Return the time from which the next call may be sent; 0: immediately."""
        if not self._calls_sent_at:
            return self._blocked_until if self._listed_rate > 0 else 0
        last_call_at = self._calls_sent_at[-1]
        ready_at = last_call_at + min_interval_ns
        if self._listed_rate > 0:
            interval_ns = int(NS_PER_SECOND / self.rate_at(level))
            if self._mean_rate >= 1.0 and level >= 1.0:
                interval_ns = int(interval_ns * MIN_SPACING)
            ready_at = max(ready_at, last_call_at + interval_ns)
            if len(self._calls_sent_at) >= self._quota:
                ready_at = max(ready_at, self._calls_sent_at[-self._quota] + WINDOW_NS)
        return ready_at

    def record_call(self, now: int) -> None:
        """Record a call that is sent now."""
        self._calls_sent_at.append(now)
        while len(self._calls_sent_at) > max(self._quota, 1):
            self._calls_sent_at.popleft()
