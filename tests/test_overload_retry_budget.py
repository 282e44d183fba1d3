"""The budget for the retries of one destination."""

from __future__ import annotations

from winchspan.overload.retry_budget import RetryBudget
from winchspan.overload.settings import NS_PER_SECOND

from .helpers import MS

NOW = 1_000 * NS_PER_SECOND


def test_retry_budget_over_time_allows_a_share_of_first_attempts_and_a_minimum_rate():
    budget, sent = RetryBudget(NOW, 0.2, 1.0, 10.0), 0
    for step in range(1_000):  # 10 s of 100 first attempts a second, retries whenever allowed
        now = NOW + step * 10 * MS
        budget.record_call(now, 1, 0)
        budget.record_settled(0)
        while budget.ready_at(now) <= now:
            budget.record_call(now, 0, 1)
            budget.record_settled(1)
            sent += 1
    assert 0.2 * 1_000 + 10 <= sent <= 0.2 * 1_000 + 10 + 10 + 1
    again = budget.ready_at(NOW + 10 * NS_PER_SECOND)
    assert NOW + 10 * NS_PER_SECOND < again <= NOW + 11 * NS_PER_SECOND + 1


def test_retry_budget_with_retries_in_flight_allows_a_quarter_of_the_calls():
    budget = RetryBudget(NOW, 0.2, 1.0, 10.0)
    for _ in range(2):
        assert budget.ready_at(NOW) == NOW
        budget.record_call(NOW, 0, 1)
    assert budget.ready_at(NOW) > NOW
    for _ in range(10):
        budget.record_call(NOW, 1, 0)  # a quarter of twelve
    for _ in range(2):
        assert budget.ready_at(NOW) == NOW
        budget.record_call(NOW, 0, 1)
    assert budget.ready_at(NOW) > NOW, "four of fourteen are more than a quarter"
    budget.record_settled(1)
    assert budget.ready_at(NOW) == NOW
