"""The messages held for one destination, and the number of those still in time.

Expiry times are counted in buckets, so that the cost of the count does not grow with the messages held.
"""

from __future__ import annotations

from typing import Final

BUCKET_NS: Final = 100_000_000  # resolution of expiry times


class HeldMessages:
    """The messages held for a destination, each with the time at which it loses its full worth."""

    def __init__(self, now: int) -> None:
        self._bucket_by_message: dict[str, int] = {}
        self._counts_by_bucket: dict[int, int] = {}  # of messages in time
        self._current_bucket = now // BUCKET_NS
        self._in_time_count = 0

    def __len__(self) -> int:
        return len(self._bucket_by_message)

    def add(self, now: int, message: str, in_time_until: int) -> None:
        """Add a message with the time until which it has its full worth; a known message is not changed."""
        if message in self._bucket_by_message:
            return
        bucket = max(in_time_until, 0) // BUCKET_NS
        self._bucket_by_message[message] = bucket
        self.count_in_time(now)
        if bucket >= self._current_bucket:
            self._counts_by_bucket[bucket] = self._counts_by_bucket.get(bucket, 0) + 1
            self._in_time_count += 1

    def remove(self, message: str) -> bool:
        """Remove a message; return whether it was held."""
        bucket = self._bucket_by_message.pop(message, None)
        if bucket is None:
            return False
        if bucket >= self._current_bucket:
            self._in_time_count -= 1
            count = self._counts_by_bucket[bucket] - 1
            if count:
                self._counts_by_bucket[bucket] = count
            else:
                del self._counts_by_bucket[bucket]
        return True

    def count_in_time(self, now: int) -> int:
        """Return the number of messages that still have their full worth; they are sent before all others."""
        bucket = now // BUCKET_NS
        if bucket == self._current_bucket:
            return self._in_time_count
        if bucket - self._current_bucket > len(self._counts_by_bucket):
            # After a long pause, iterating over the used buckets is cheaper than over the elapsed ones.
            for expired in [used for used in self._counts_by_bucket if used < bucket]:
                self._in_time_count -= self._counts_by_bucket.pop(expired)
            self._current_bucket = bucket
        while self._current_bucket < bucket:
            self._in_time_count -= self._counts_by_bucket.pop(self._current_bucket, 0)
            self._current_bucket += 1
        return self._in_time_count
