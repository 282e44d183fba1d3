"""One courier's share of a listed rate."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings as options
from hypothesis import strategies as st

from winchspan.overload.adaptive_rate import AdaptiveRate, rate_share
from winchspan.overload.settings import NS_PER_SECOND

from .helpers import MS

NOW = 1_000 * NS_PER_SECOND


@options(derandomize=True, deadline=None, max_examples=200)
@given(st.integers(1, 9), st.integers(1, 120))
def test_rate_share_of_all_couriers_is_one_call_over_the_rate_at_most(senders: int, tenths: int):
    rate = senders + tenths / 10
    shares = [rate_share(rate, senders, me) for me in range(senders)]
    assert sum(quota for _, quota in shares) <= rate + 1
    assert all(mean <= quota for mean, quota in shares)
    assert sum(mean for mean, _ in shares) > rate - senders, "the shares lose no more than the remainder"


@options(derandomize=True, deadline=None, max_examples=60)
@given(
    st.integers(1, 40),
    st.lists(st.tuples(st.integers(0, 400), st.sampled_from([0.1, 0.4, 1.0])), min_size=5, max_size=80),
)
def test_adaptive_rate_at_any_level_allows_no_second_more_calls_than_the_share(
    calls_a_second: int, moves: list[tuple[int, float]]
):
    rate, now, sent = AdaptiveRate(1, 0), NOW, []
    rate.set_listed_rate(float(calls_a_second))
    for step, level in moves:
        now += step * MS
        if rate.next_call_at(level) <= now:
            rate.record_call(now)
            sent.append(now)
    assert all(
        sum(1 for at in sent if first <= at < first + NS_PER_SECOND) <= calls_a_second for first in sent
    )


def test_adaptive_rate_rejections_within_a_second_reduce_the_trust_once_and_an_outage_restores_it():
    rate = AdaptiveRate(1, 0)
    rate.set_listed_rate(10.0)
    for after in (0, 1, 2):
        rate.record_rejection(NOW + after)
    cut = rate.trust
    assert 0.8 < cut < 1.0
    rate.record_rejection(NOW + 2 * NS_PER_SECOND)
    assert rate.trust < cut
    rate.undo_cut_since(NOW + NS_PER_SECOND)
    assert rate.trust == cut
    for _ in range(100):
        rate.record_delivery()
    assert rate.trust == 1.0
