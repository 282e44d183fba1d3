"""A budget for the retries of one destination.

It combines Finagle's RetryBudget (each first attempt earns a fraction of a retry, and a minimum rate is
always allowed) with Envoy's retry budgets (a limit of retries in flight, in proportion to calls in flight).
"""

from __future__ import annotations

from typing import Final

from winchspan.overload.settings import NS_PER_SECOND

IN_FLIGHT_RETRY_SHARE: Final = 0.25  # limit of calls with retries, as a share of the calls in flight
MIN_IN_FLIGHT_RETRIES: Final = 2  # calls with retries that are always allowed in flight


class RetryBudget:
    """Allows a retry while the balance suffices and not too many retries are in flight."""

    def __init__(
        self, now: int, retry_ratio: float, min_retries_per_second: float, max_saved_retries: float
    ) -> None:
        """Create a full budget.

        Args:
            now: the current time in ns.
            retry_ratio: retries that each first attempt adds to the balance.
            min_retries_per_second: retries that each second adds to the balance.
            max_saved_retries: upper bound on the balance.
        """
        self._retry_ratio = retry_ratio
        self._min_retries_per_second = min_retries_per_second
        self._max_saved = max_saved_retries
        self._saved = max_saved_retries
        self._filled_at = now
        self._calls_in_flight = 0
        self._retry_calls_in_flight = 0  # those with at least one retry

    def _fill(self, now: int) -> None:
        saved = self._saved + (now - self._filled_at) / NS_PER_SECOND * self._min_retries_per_second
        self._saved = min(self._max_saved, saved)
        self._filled_at = now

    def record_call(self, now: int, first_attempt_count: int, retry_count: int) -> None:
        """Record a call that is sent, with its first attempts and retries."""
        self._fill(now)
        self._calls_in_flight += 1
        self._retry_calls_in_flight += retry_count > 0
        saved = min(self._max_saved, self._saved + first_attempt_count * self._retry_ratio)
        self._saved = max(0.0, saved - retry_count)

    def record_settled(self, retry_count: int) -> None:
        """Record that a call is no longer in flight."""
        self._calls_in_flight -= 1
        self._retry_calls_in_flight -= retry_count > 0

    def ready_at(self, now: int) -> int:
        """Return when a retry may be sent; at or before `now`: immediately."""
        self._fill(now)
        max_in_flight = max(MIN_IN_FLIGHT_RETRIES, IN_FLIGHT_RETRY_SHARE * self._calls_in_flight)
        if self._retry_calls_in_flight >= max_in_flight:
            return now + NS_PER_SECOND  # checked again when a call settles
        if self._saved >= 1.0:
            return now
        if self._min_retries_per_second <= 0.0:
            return now + NS_PER_SECOND  # only first attempts add to the balance
        return now + int((1.0 - self._saved) / self._min_retries_per_second * NS_PER_SECOND) + 1
