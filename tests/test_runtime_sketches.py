"""Probabilistic structures of bounded size."""

from __future__ import annotations

import random

from winchspan.runtime.sketches import CountMinSketch, RecentKeyFilter

from .helpers import SECOND


def test_recent_key_filter_with_a_million_keys_stays_bounded_and_finds_the_recent_ones():
    recent = RecentKeyFilter(0, 20_000, 30 * SECOND)
    size, false_positives, false_negatives = recent.size_bytes, 0, 0
    for number in range(1_000_000):
        false_positives += recent.check_and_add(number, b"k%d" % number)
        if number % 97 == 0 and number >= 10_000:
            false_negatives += not recent.check_and_add(number, b"k%d" % (number - 10_000))
    assert recent.size_bytes == size < 70_000
    assert false_negatives == 0 and false_positives < 15_000, "the configured false-positive rate is 1%"


def test_recent_key_filter_after_its_span_drops_keys():
    recent = RecentKeyFilter(0, 100, SECOND)
    assert not recent.check_and_add(0, b"a")
    assert recent.check_and_add(SECOND - 1, b"a") and recent.check_and_add(SECOND, b"a")
    assert not recent.check_and_add(5 * SECOND, b"a")


def test_count_min_sketch_estimates_are_never_too_low_and_halve():
    counts, true_counts = CountMinSketch(512), dict[int, int]()
    rng = random.Random(1)
    for _ in range(20_000):
        key = min(int(rng.paretovariate(0.8)), 5_000)
        true_counts[key] = true_counts.get(key, 0) + 1
        assert counts.add(key) >= true_counts[key]
    before = counts.add(1)
    counts.halve()
    assert counts.add(1) <= before // 2 + 1
