"""Probabilistic structures of bounded size: a Bloom filter in two generations and a count-min sketch.

Both hash by XXH3 (Collet). The sketch derives the hashes of its rows by double hashing (Kirsch and
Mitzenmacher, "Less Hashing, Same Performance", 2006). Sources: Bloom, CACM 13(7), 1970; Cormode and
Muthukrishnan, "An Improved Data Stream Summary", J. Algorithms 55(1), 2005.

An upgrade transfers objects of both classes to the next process by their attribute names.
"""

from __future__ import annotations

from array import array
from math import ceil, log
from struct import Struct
from typing import Final

from xxhash import xxh3_128_digest, xxh3_128_intdigest

_WORD_MASK: Final = (1 << 64) - 1
_HASH_COUNT: Final = 4  # the four words of one 128-bit hash; needs a sixth more space than the optimum
_HASH_WORDS: Final = Struct("<4I")
_MIN_FILTER_BITS: Final = 64


def _hash_pair(data: bytes) -> tuple[int, int]:
    """Return two independent hashes; the second is odd, so that every row differs."""
    digest = xxh3_128_intdigest(data)
    return digest & _WORD_MASK, (digest >> 64) | 1


def _filter_bits(keys: int, false_positive_rate: float) -> int:
    """Return the size in bits of each of two Bloom filters that are queried together.

    With k hashes, n keys set a share 1 - exp(-kn/m) of m bits. The probability of a false positive in one of
    the filters is the k-th power of this share.
    """
    rate_per_filter = false_positive_rate / 2
    bits = ceil(-_HASH_COUNT * keys / log(1 - rate_per_filter ** (1 / _HASH_COUNT)))
    return max(_MIN_FILTER_BITS, bits)


class RecentKeyFilter:
    """Records the keys that were added within the last `span_ns`, or at most twice that.

    Two Bloom filters: the older one is dropped when the newer one has been in use for a span, or holds `keys`
    keys. A key that was added is always found; any other key is found with a probability of at most
    `false_positive_rate`.
    """

    def __init__(self, now: int, keys: int, span_ns: int, false_positive_rate: float = 0.01) -> None:
        """Create an empty filter.

        Args:
            now: the current time in ns.
            keys: number of keys that one generation holds.
            span_ns: time for which one generation is in use.
            false_positive_rate: the probability that a key is found that was not added.
        """
        self._keys = max(1, keys)
        self._span = span_ns
        self._bits = _filter_bits(self._keys, false_positive_rate)
        self._young = self._empty_filter()
        self._old = self._empty_filter()
        self._count = 0  # keys in the young filter
        self._since = now  # time in ns from which on the young filter is in use

    def _empty_filter(self) -> bytearray:
        return bytearray(-(-self._bits // 8))

    @property
    def size_bytes(self) -> int:
        """Size of both filters in bytes."""
        return len(self._young) + len(self._old)

    def check_and_add(self, now: int, key: bytes) -> bool:
        """Add a key, and return whether it had been added recently."""
        if self._count >= self._keys or now - self._since >= self._span:
            self._start_generation(now)
        young = self._young
        old = self._old
        bit_count = self._bits
        in_young = in_old = True
        for word in _HASH_WORDS.unpack(xxh3_128_digest(key)):
            position = word % bit_count
            byte = position >> 3
            bit = 1 << (position & 7)
            if not young[byte] & bit:
                in_young = False
                young[byte] |= bit
            if in_old and not old[byte] & bit:
                in_old = False
        if not in_young:
            self._count += 1
        return in_young or in_old

    def _start_generation(self, now: int) -> None:
        """Replace the old filter by the young one, unless that is outdated too, and start an empty one."""
        is_outdated = now - self._since >= 2 * self._span
        self._old = self._empty_filter() if is_outdated else self._young
        self._young = self._empty_filter()
        self._count = 0
        self._since = now


class CountMinSketch:
    """Counts many keys in constant space; an estimate is never too low, and rarely much too high."""

    MAX_COUNT: Final = 65_535

    def __init__(self, width: int = 1_024, depth: int = 4) -> None:
        """Create an empty sketch of `depth` rows with `width` counters of 16 bits each."""
        self._width = width
        self._rows = [array("H", bytes(2 * width)) for _ in range(depth)]

    def add(self, key: int) -> int:
        """Increment the count of a key, and return the estimate of its count."""
        first, step = _hash_pair(key.to_bytes(8, "little", signed=True))
        estimate = self.MAX_COUNT
        for number, row in enumerate(self._rows):
            column = (first + number * step) % self._width
            row[column] = min(self.MAX_COUNT, row[column] + 1)
            estimate = min(estimate, row[column])
        return estimate

    def halve(self) -> None:
        """Halve all counts, so that keys that were frequent long ago lose weight."""
        for row in self._rows:
            for column, count in enumerate(row):
                row[column] = count >> 1
