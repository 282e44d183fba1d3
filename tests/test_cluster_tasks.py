"""Tests of cluster tasks without I/O: health checks, quorum requests, shared backoff, redelivery quotas."""

from __future__ import annotations

from collections.abc import Callable
from itertools import pairwise
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from winchspan import api
from winchspan.cluster_tasks.health_checks import (
    CAPACITY_SHARE,
    MAX_CHECKS_PER_PASS,
    MAX_ENDPOINTS,
    UNKNOWN_RATE_INTERVAL_MS,
    EndpointHealth,
    HealthCheckPlan,
    HealthCheckTarget,
    shard_role,
    shard_roles,
)
from winchspan.cluster_tasks.quorum import MAX_OPEN_REQUESTS, QuorumRequests
from winchspan.cluster_tasks.redelivery_rounds import (
    EXPIRY_MARGIN_FACTOR,
    QUOTA_LIFETIME_MS,
    RedeliveryQuota,
    RedeliveryQuotaScheduler,
)
from winchspan.cluster_tasks.shared_backoff import MAX_DESTINATIONS, MAX_RETRY_AFTER_MS, SharedBackoff
from winchspan.fakes.health_check_audit import ObservedHealthCheck, audit_health_checks
from winchspan.fakes.platform import platform

INTERVAL_MS = 5_000.0
START_CAPACITY = 0.23  # of the fake platform


class StartedCheck(NamedTuple):
    at_ms: float
    target: HealthCheckTarget


def new_plan(interval_ms: float = INTERVAL_MS, **changes: object) -> HealthCheckPlan:
    return HealthCheckPlan(interval_ms, platform(3, **changes))


def new_targets(count: int, rate: float = 1e6, destination: int | None = None) -> list[HealthCheckTarget]:
    return [
        HealthCheckTarget(f"s-{n}", n if destination is None else destination, rate, n + 1)
        for n in range(count)
    ]


def owns_every_role(_role: str) -> int:
    return 1


def names_of(targets: list[HealthCheckTarget]) -> set[str]:
    return {target.name for target in targets}


def run_checks(
    plan: HealthCheckPlan, targets: list[HealthCheckTarget], duration_ms: float
) -> list[StartedCheck]:
    """Start due checks every 100 ms, as the holder of all roles."""
    started: list[StartedCheck] = []
    now = 0.0
    while now < duration_ms:
        for target in plan.due_checks(now, targets, owns_every_role, set()):
            sequence_number = 1 + sum(check.target is target for check in started)
            plan.record_start(now, target.name, target.destination, sequence_number, 1)
            started.append(StartedCheck(now, target))
        now += 100.0
    return started


def due_over_two_intervals(
    plan: HealthCheckPlan,
    targets: list[HealthCheckTarget],
    epoch_of: Callable[[str], int],
    retry_after_ms: Callable[[int], float],
) -> list[HealthCheckTarget]:
    found: list[HealthCheckTarget] = []
    for at_ms in (0.0, 2 * INTERVAL_MS, 2 * INTERVAL_MS + 1.0, 2 * INTERVAL_MS + 2.0):
        found += plan.due_checks(at_ms, targets, epoch_of, names_of(found), retry_after_ms)
    return found


# ---- health checks ---------------------------------------------------------------------------------------
def test_plan_checks_each_endpoint_once_an_interval_and_spreads_the_first_checks():
    started = run_checks(new_plan(), new_targets(40), 60_000.0)
    for number in range(40):
        times = [check.at_ms for check in started if check.target.endpoint_number == number + 1]
        assert len(times) >= 11
        assert times[0] <= INTERVAL_MS
        assert all(
            INTERVAL_MS <= later - earlier <= INTERVAL_MS + 100.0 for earlier, later in pairwise(times)
        )
    first = [check.at_ms for check in started if check.at_ms < INTERVAL_MS]
    assert max(first.count(at_ms) for at_ms in first) <= 5


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.integers(1, 6), st.floats(0.5, 500.0), st.sampled_from([500.0, 1_000.0, INTERVAL_MS]))
def test_plan_keeps_the_checks_of_a_destination_within_their_share_of_its_start_capacity(
    endpoint_count: int, rate: float, interval_ms: float
):
    plan = new_plan(interval_ms)
    targets = new_targets(endpoint_count, rate, destination=7)
    times = [check.at_ms for check in run_checks(plan, targets, 60_000.0)]
    least_ms = 1_000.0 / (CAPACITY_SHARE * START_CAPACITY * rate)
    assert all(later - earlier >= least_ms - 1e-6 for earlier, later in pairwise(times))
    assert plan.endpoint_interval_ms(targets[0], endpoint_count) >= interval_ms


def test_plan_checks_a_destination_of_unknown_rate_at_a_long_interval():
    plan = new_plan(500.0, listed_rate=api.ListedRate.NONE)
    times = [check.at_ms for check in run_checks(plan, new_targets(3, 100.0, destination=1), 30_000.0)]
    assert times
    assert all(later - earlier >= UNKNOWN_RATE_INTERVAL_MS for earlier, later in pairwise(times))


def test_plan_of_a_new_owner_starts_overdue_checks_and_repeats_none():
    plan = new_plan()
    targets = new_targets(20)
    overdue = {f"s-{n}" for n in range(0, 20, 2)}
    for target in targets:  # reported by another member; the other endpoints have just been checked
        started_at_ms = -INTERVAL_MS - 1.0 if target.name in overdue else 0.0
        plan.merge(target.name, EndpointHealth(target.destination, started_at_ms, 9, 1, is_healthy=True))
    first_due = plan.due_checks(10.0, targets, owns_every_role, set())
    assert names_of(first_due) <= overdue
    assert len(first_due) == MAX_CHECKS_PER_PASS
    for target in first_due:
        plan.record_start(10.0, target.name, target.destination, 10, 2)
    still_due = plan.due_checks(10.0, targets, owns_every_role, set())
    assert names_of(still_due) == overdue - names_of(first_due)


def test_plan_checks_only_shards_that_it_owns_and_no_destination_with_a_wait():
    targets = new_targets(32)
    owned_roles = shard_roles()[:4]

    def epoch_of(role: str) -> int:
        return int(role in owned_roles)

    found = due_over_two_intervals(new_plan(), targets, epoch_of, lambda destination: 0.0)
    assert found
    assert {shard_role(target.destination) for target in found} <= set(owned_roles)
    waiting = {target.destination for target in found}
    assert not due_over_two_intervals(
        new_plan(), targets, epoch_of, lambda destination: 1.0 if destination in waiting else 0.0
    )


def test_plan_backs_off_from_a_failing_endpoint_until_it_is_healthy():
    plan = new_plan()
    (target,) = new_targets(1)
    plan.record_start(0.0, target.name, target.destination, 1, 1)
    assert plan.record_result(0.0, target.name, 1, 1, False)
    assert not plan.record_result(0.0, target.name, 1, 1, False)
    assert not plan.record_result(0.0, target.name, 1, 1, False)
    assert plan.endpoint_interval_ms(target, 1) == 4 * INTERVAL_MS
    assert plan.failing_count() == 1
    for _ in range(20):
        plan.record_result(0.0, target.name, 1, 1, False)
    assert plan.endpoint_interval_ms(target, 1) == 8 * INTERVAL_MS
    assert plan.record_result(0.0, target.name, 1, 1, True)
    assert plan.endpoint_interval_ms(target, 1) == INTERVAL_MS
    assert not plan.failing_count()


def test_plan_backoff_and_quorum_bound_their_state():
    plan = new_plan()
    backoff = SharedBackoff()
    quorum = QuorumRequests("n0")
    for n in range(2 * MAX_ENDPOINTS):
        plan.record_start(float(n), f"s-{n}", n, 1, 1)
    for n in range(2 * MAX_DESTINATIONS):
        assert backoff.record_retry_after(0.0, n, 1_000.0 + n)
    numbers = [quorum.open_request(("n0", "n1", "n2"), 100.0) for _ in range(MAX_OPEN_REQUESTS + 5)]
    assert len(plan.endpoints) == len(plan._destination_checked_at_ms) == MAX_ENDPOINTS
    assert len(backoff.active_waits(0.0)) == MAX_DESTINATIONS
    assert numbers[-5:] == [0] * 5
    assert len(quorum.expire(100.0)) == MAX_OPEN_REQUESTS
    assert quorum.expire(100.0) == []


def test_plan_keeps_an_announced_but_unsent_check_due():
    plan = new_plan()
    (target,) = new_targets(1)
    plan.record_start(0.0, target.name, target.destination, 4, 1)
    for at_ms in (5_000.0, 5_400.0):  # another member announces the check repeatedly and cannot send it
        plan.record_start(at_ms, target.name, target.destination, 5, 2)
    assert plan.due_checks(6_000.0, [target], owns_every_role, set()) == []
    plan.record_not_sent(target.name, 4, 1)
    assert plan.due_checks(6_000.0, [target], owns_every_role, set()) == [], (
        "the message refers to an older check"
    )
    plan.record_not_sent(target.name, 5, 2)
    assert plan.due_checks(6_000.0, [target], owns_every_role, set()) == [target]
    assert plan.endpoints[target.name].sequence_number == 4
    plan.record_start(6_000.0, target.name, target.destination, 5, 2)
    plan.record_result(5_900.0, target.name, 5, 2, True)  # the check was sent earlier than announced
    assert plan.endpoints[target.name].started_at_ms == 5_900.0
    plan.record_start(11_000.0, target.name, target.destination, 6, 9)  # by the next owner
    plan.record_not_sent(target.name, 6, 2)  # late messages of the previous owner
    plan.record_result(0.0, target.name, 6, 2, False)
    assert plan.endpoints[target.name].started_at_ms == 11_000.0
    assert plan.endpoints[target.name].is_healthy


def test_audit_health_checks_finds_repeated_late_and_stale_checks():
    def observed(at: float, epoch: int, name: str = "s") -> ObservedHealthCheck:
        return ObservedHealthCheck(at, name, "probes-1", epoch, 1, "n0")

    good = audit_health_checks([observed(0.0, 1), observed(1.0, 1), observed(3.5, 2)], 1.0, 2.0, 4.0)
    assert not (good.repeated or good.late or good.stale)
    assert good.max_lateness_seconds == 1.5
    assert audit_health_checks([observed(0.0, 1), observed(0.5, 2)], 1.0, 2.0, 1.0).repeated
    assert audit_health_checks([observed(0.0, 1), observed(3.1, 2)], 1.0, 2.0, 4.0).late
    assert audit_health_checks([observed(0.0, 1)], 1.0, 2.0, 4.0).late
    assert audit_health_checks([observed(0.0, 2), observed(1.0, 1, "t")], 1.0, 2.0, 1.5).stale


# Guards against counting a check as repeated if the observer read the previous one late, and only then.
@pytest.mark.parametrize(
    ("max_read_delay_seconds", "is_repeated"), [(0.0, True), (0.05, True), (0.17, False)]
)
def test_audit_of_a_check_after_one_that_was_read_late(max_read_delay_seconds: float, is_repeated: bool):
    checks = [
        ObservedHealthCheck(0.0, "s", "probes-1", 1, 1, "n0", max_read_delay_seconds),
        ObservedHealthCheck(0.83, "s", "probes-1", 1, 2, "n0"),
    ]
    assert bool(audit_health_checks(checks, 1.0, 2.0, 1.0).repeated) is is_repeated


# ---- shared backoff --------------------------------------------------------------------------------------
def test_shared_backoff_keeps_the_longest_wait_and_rejects_invalid_ones():
    backoff = SharedBackoff()
    assert backoff.record_retry_after(0.0, 1, 500.0)
    assert not backoff.record_retry_after(100.0, 1, 300.0)
    assert backoff.remaining_ms(100.0, 1) == 400.0
    assert backoff.record_retry_after(0.0, 2, float("inf"))
    assert backoff.remaining_ms(0.0, 2) == MAX_RETRY_AFTER_MS
    assert not backoff.record_retry_after(0.0, 3, float("nan"))
    assert not backoff.record_retry_after(0.0, 3, -1.0)
    assert backoff.remaining_ms(600.0, 1) == 0.0 == backoff.remaining_ms(0.0, 9)
    assert backoff.active_waits(600.0) == [(2, MAX_RETRY_AFTER_MS - 600.0)]


# ---- quorum ----------------------------------------------------------------------------------------------
def test_quorum_closes_on_a_majority_of_voters_and_counts_each_once():
    quorum = QuorumRequests("n0")
    number = quorum.open_request(("n0", "n1", "n2", "n3", "n4"), 100.0)
    assert not quorum.record_answer(number, "n1")
    assert not quorum.record_answer(number, "n1")
    assert not quorum.record_answer(number, "n9")
    assert quorum.record_answer(number, "n2")
    assert not quorum.record_answer(number, "n3"), "the request is closed"
    of_one_voter = quorum.open_request(("n0",), 100.0)
    assert quorum.close_on_majority(of_one_voter)
    assert not quorum.close_on_majority(of_one_voter)
    without_vote = quorum.open_request(("n1", "n2"), 100.0)  # this node is not a voter
    assert not quorum.record_answer(without_vote, "n1")
    assert quorum.record_answer(without_vote, "n2")


# ---- redelivery quotas -----------------------------------------------------------------------------------
def test_redelivery_quota_is_granted_to_one_courier_at_a_time_within_the_cluster_rate():
    scheduler = RedeliveryQuotaScheduler(0.0, {"a": 2.0})
    now = 0.0
    sent_at_ms: list[float] = []
    recipients: list[str] = []
    backlog = {"n0": 0, "n1": 99, "n2": 99}  # number of messages to redeliver by courier
    while now < 60_000.0:
        grant = scheduler.next_grant(now, backlog)
        if grant is not None:
            recipients.append(grant.recipient)
            used_count = min(backlog[grant.recipient], grant.limits["a"])
            sent_at_ms += [now] * used_count
            assert scheduler.next_grant(now, backlog) is None, "no second grant while one is open"
            scheduler.record_usage(now, grant.recipient, grant.round_number, {"a": used_count})
        now += 250.0
    assert set(recipients) == set(backlog)
    assert recipients[:3] == ["n0", "n1", "n2"]
    assert len(sent_at_ms) in range(110, 121), "unused quota goes to the other couriers"
    assert all(sum(1 for at in sent_at_ms if begin <= at < begin + 10_000.0) <= 24 for begin in sent_at_ms)


def test_redelivery_quota_scheduler_waits_for_the_previous_owners_grant_and_for_missing_reports():
    scheduler = RedeliveryQuotaScheduler(0.0, {"a": 10.0})
    couriers = ["n0", "n1"]
    expired_after_ms = QUOTA_LIFETIME_MS * EXPIRY_MARGIN_FACTOR
    for at_ms in range(0, int(QUOTA_LIFETIME_MS), 250):
        assert scheduler.next_grant(float(at_ms), couriers) is None
    first = scheduler.next_grant(expired_after_ms, couriers)
    assert first is not None
    assert first.recipient == "n0"
    assert scheduler.next_grant(2 * QUOTA_LIFETIME_MS, couriers) is None
    second = scheduler.next_grant(2 * expired_after_ms, couriers)
    assert second is not None
    assert second.recipient == "n1"
    scheduler.record_usage(2 * expired_after_ms, "n0", first.round_number, {})
    assert scheduler.next_grant(2 * expired_after_ms, ["n0"]) is None, "a late report has no effect"
    assert RedeliveryQuotaScheduler(0.0, {}).next_grant(1e6, ["n0"]) is None
    assert RedeliveryQuotaScheduler(0.0, {"a": 1.0}).next_grant(1e6, []) is None


def test_redelivery_quota_ends_by_count_by_time_and_on_release():
    quota = RedeliveryQuota()
    assert not quota.has_remaining(0.0, "a")
    assert not quota.is_valid(0.0)
    quota.renew(0.0, 7, 1, {"a": 2, "b": -5})
    assert quota.has_remaining(0.0, "a")
    assert not quota.has_remaining(0.0, "b")
    assert not quota.has_remaining(0.0, "c")
    quota.consume("a")
    quota.consume("a")
    assert not quota.has_remaining(0.0, "a")
    assert quota.is_valid(QUOTA_LIFETIME_MS - 1.0)
    assert quota.used_counts == {"a": 2}
    assert not quota.is_valid(QUOTA_LIFETIME_MS)
    quota.renew(0.0, 7, 2, {"a": 1})
    quota.release()
    assert not quota.has_remaining(0.0, "a")
