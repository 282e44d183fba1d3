"""The overload control as a whole: admission, rejections, rates, bounds."""

from __future__ import annotations

import random

from winchspan import api
from winchspan.api import Outcome
from winchspan.overload.outage_tracker import DestinationState
from winchspan.overload.settings import NS_PER_SECOND

from .helpers import CLASSES, MS
from .overload_fixture import ORDERED, GovernorFixture


def test_admit_when_calm_admits_all_and_limits_only_the_rate():
    fixture = GovernorFixture()
    assert [fixture.submit() for _ in range(90)] == [None] * 90
    assert fixture.governor.ready_at(fixture.now, 1) <= fixture.now
    for _ in range(5):
        fixture.governor.call_sent(fixture.now, 1, 1, 0)
    assert fixture.governor.ready_at(fixture.now, 1) > fixture.now + NS_PER_SECOND


def test_admit_during_an_outage_spreads_the_slots_of_rejected_clients():
    fixture = GovernorFixture()
    fixture.begin_outage()
    waits = [rejection.retry_after_ns for _ in range(60) if (rejection := fixture.submit(left=1))]
    assert len(waits) > 20 and max(waits) <= 2 * NS_PER_SECOND
    largest_burst = max(sum(1 for other in waits if 0 <= other - at < 200 * MS) for at in waits)
    assert largest_burst <= len(waits) // 3, waits


def test_admit_during_a_backoff_of_the_destination_rejects_for_at_least_that_long():
    fixture = GovernorFixture(rate=1_000.0)
    fixture.governor.call_ended(fixture.now, 1, Outcome.TIMEOUT, 0, 0)
    fixture.begin_outage()
    fixture.governor.call_ended(fixture.now, 1, Outcome.FULL, 0, 1_500 * MS)
    rejection = fixture.submit(left=1)
    assert rejection is not None and rejection.retry_after_ns >= 1_500 * MS


def test_admit_client_that_retries_early_is_rejected_until_the_same_time():
    fixture = GovernorFixture()
    fixture.begin_outage()
    first = fixture.submit("t", left=1)
    assert first is not None
    fixture.now += first.retry_after_ns // 2
    again = fixture.submit("t", repeat=True, left=1)
    assert again is not None and again.retry_after_ns == first.retry_after_ns - first.retry_after_ns // 2
    destination = next(fixture.governor.destinations)
    assert destination.counts["refused_early"] == 1


def test_admit_new_ids_with_recent_idempotency_keys_count_as_retries():
    fixture = GovernorFixture()
    for _ in range(3):
        for number in range(20):
            fixture.now += 5 * MS
            fixture.submit(f"t{number}")
    assert fixture.state() is DestinationState.STORM


def test_admit_later_message_of_a_rejected_ordering_key_is_rejected_for_longer():
    fixture = GovernorFixture()
    fixture.begin_outage()
    first = fixture.submit("a", key=5, left=1)
    second = fixture.submit("b", key=5, left=20)
    assert first is not None and second is not None, (
        "there is capacity for the second, but its key is blocked"
    )
    assert second.retry_after_ns > first.retry_after_ns
    assert fixture.submit("c", key=6, left=20) is None


def test_admit_degraded_destination_does_not_get_all_the_capacity():
    fixture = GovernorFixture(rate=1_000.0)
    fixture.begin_outage()
    admitted = sum(fixture.submit() is None for _ in range(200))
    assert 0 < admitted < 50 and all(fixture.submit(dest=2) is None for _ in range(50))


def test_admit_with_little_capacity_left_admits_the_most_valuable_messages():
    fixture = GovernorFixture(rate=1_000.0)
    fixture.begin_outage()
    while fixture.submit() is None:  # worth 1; the greatest worth is 4
        pass
    request = api.AdmissionRequest("once", CLASSES["once"], 1, 20 * NS_PER_SECOND)
    assert fixture.governor.admit(fixture.now, request) is None
    late = api.AdmissionRequest("late", CLASSES["once"], 1, NS_PER_SECOND)
    assert fixture.governor.admit(fixture.now, late) is not None


def test_reject_held_message_that_may_have_run_fails_if_its_window_is_too_short():
    fixture = GovernorFixture()
    fixture.begin_outage()
    rejection = fixture.governor.reject_held(fixture.now, 1, "m1", 2 * NS_PER_SECOND, None)
    assert rejection is not None and 0 < rejection.retry_after_ns <= 2 * NS_PER_SECOND
    assert fixture.governor.reject_held(fixture.now, 1, "m1", 2 * NS_PER_SECOND, 100 * MS) is None
    assert fixture.governor.reject_held(fixture.now, 9, "m1", 2 * NS_PER_SECOND, 100 * MS) is None


def test_restarted_courier_with_failed_attempts_in_its_journal_begins_with_a_recovery():
    fixture = GovernorFixture()
    cls = CLASSES["safe"]
    fixture.governor.restarted(fixture.now, fixture.now - 200 * MS)
    fixture.governor.message_arrived(
        fixture.now, api.MessageArrived("a", "safe", 1, NS_PER_SECOND), cls, attempt_count=1
    )
    assert fixture.state() is DestinationState.CALM
    fixture.governor.message_arrived(
        fixture.now, api.MessageArrived("b", "safe", 1, NS_PER_SECOND), cls, attempt_count=2
    )
    assert fixture.state() is DestinationState.RECOVERING
    assert fixture.governor.ready_at(fixture.now, 1) > fixture.now + 800 * MS - 1, (
        "the quota of that second may be used up"
    )


def test_governor_destination_with_too_small_a_share_is_observed_and_not_governed():
    fixture = GovernorFixture(rate=3.0, min_governed_rate=2.0)  # 1.5 calls a second
    fixture.begin_outage()
    assert fixture.state() is DestinationState.OUTAGE
    for _ in range(3):
        fixture.governor.call_sent(fixture.now, 1, 1, 1)
    assert (
        fixture.governor.ready_at(fixture.now, 1) <= fixture.now
        and fixture.governor.retry_ready_at(fixture.now, 1) <= fixture.now
    )
    assert [fixture.submit(left=1, token=f"{n}", repeat=True) for n in range(50)] == [None] * 50
    request = api.AdmissionRequest("m", ORDERED, 1, NS_PER_SECOND, 4, "t", True)
    assert fixture.governor.reject_when_full(fixture.now, request, 777).retry_after_ns == 777
    rejection = fixture.governor.reject_held(fixture.now, 1, "m1", 777, 1)
    assert rejection is not None and rejection.retry_after_ns == 777, "as without a governor"
    fixture.governor.rate_listed(fixture.now, 1, 10.0)
    assert fixture.governor.ready_at(fixture.now, 1) > fixture.now and fixture.submit(left=1) is not None
    for _ in range(30):
        fixture.governor.rate_listed(fixture.now, 1, 4.0)
        fixture.now += 2 * NS_PER_SECOND
        fixture.governor.call_ended(fixture.now, 1, Outcome.DELIVERED, MS, 0)
        fixture.governor.call_ended(fixture.now, 1, Outcome.FULL, MS, 0)
    assert next(fixture.governor.destinations).is_governed, "a reduced trust does not change the listed share"


def test_governor_with_many_destinations_stays_bounded_and_tracks_the_busiest():
    fixture = GovernorFixture(max_destinations=8, max_reservations=100)
    generator = random.Random(2)
    for number in range(20_000):
        fixture.now += MS
        dest = generator.randrange(4) if number % 2 else 100 + generator.randrange(2_000)
        request = api.AdmissionRequest(
            "m", ORDERED, dest, NS_PER_SECOND, generator.randrange(10**6), f"{number}", True
        )
        fixture.governor.rate_listed(fixture.now, dest, 5.0)
        fixture.governor.admit(fixture.now, request)
        fixture.governor.reject_when_full(fixture.now, request, NS_PER_SECOND)
    tracked = {destination.id for destination in fixture.governor.destinations}
    assert len(tracked) == 8 and {0, 1, 2, 3} <= tracked and fixture.governor.untracked_count > 1_000
    assert fixture.governor.entry_count <= 2 * 100 + 8 + 4 * 8
