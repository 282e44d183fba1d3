"""The scheduler: 2DFQ^E with values calculated by hand, overdue calls, retries, order, load shedding."""

from __future__ import annotations

import sys
from dataclasses import replace

from winchspan import api
from winchspan.api import EndpointEntry, LogDecision, Outcome
from winchspan.scheduling.scheduler import Scheduler

from .helpers import CLASSES, MS, SECOND, SchedulerHarness, settings
from .scheduling_traffic import deliver_calls, lose_answers


def dest(harness: SchedulerHarness, number: int = 1):
    return harness.scheduler.destinations[number]


def test_send_charges_l_max_that_starts_at_latency_objective():
    harness = SchedulerHarness()
    harness.submit("a")
    assert dest(harness).start_tag == 2 * SECOND  # S = max(S, v) = 0, plus L_max = the latency objective, 2 s


def test_completion_settles_difference_and_updates_l_max():
    harness = SchedulerHarness()
    harness.submit("a")
    harness.complete_attempt("a", Outcome.DELIVERED, after=300 * MS)
    assert dest(harness).start_tag == 300 * MS  # 2 s charged, 0.3 s used: 1.7 s are refunded
    assert dest(harness).costs_ns["safe"] == int(0.99 * 2 * SECOND)  # the larger of 0.99 L_max and T
    harness.submit("b")
    harness.complete_attempt("b", Outcome.DELIVERED, after=2_500 * MS)
    assert dest(harness).costs_ns["safe"] == 2_500 * MS


def test_l_max_is_kept_for_each_class():
    harness = SchedulerHarness()
    harness.submit("a")
    harness.complete_attempt("a", Outcome.DELIVERED, after=300 * MS)
    harness.submit("b", cls="once")
    assert dest(harness).costs_ns == {"safe": 1_980 * MS, "once": 2 * SECOND}


def test_running_call_is_billed_in_whole_steps_once_credit_is_used():
    harness = SchedulerHarness()
    harness.submit("a", cls="once")
    harness.handle(after=1_995 * MS)
    assert dest(harness).start_tag == 2 * SECOND  # 1.99 s billed, all from the advance charge
    harness.handle(after=28 * MS)  # 2.023 s in flight: 2.02 s in whole steps of 10 ms
    assert dest(harness).start_tag == 2_020 * MS


def test_virtual_time_gains_n_over_active_destinations_and_pauses_without():
    harness = SchedulerHarness(endpoints={1: [11], 2: [21]})
    harness.handle(after=SECOND)
    assert harness.scheduler.v == 0  # no active destination
    harness.submit("a", 1)
    harness.submit("b", 2)
    before = harness.scheduler.v
    harness.handle(after=100 * MS)
    assert harness.scheduler.v - before == 200 * MS  # 4 slots over 2 destinations: 2 a second


def test_idle_destination_starts_at_virtual_time():
    harness = SchedulerHarness(endpoints={1: [11], 2: [21]})
    harness.submit("a", 1)
    harness.handle(after=500 * MS)
    v = harness.scheduler.v  # 4 slots over one destination: 2 s
    assert v == 2 * SECOND + 0
    harness.submit("b", 2)
    assert dest(harness, 2).start_tag == v + 2 * SECOND


def test_virtual_time_jumps_to_least_value_that_makes_one_eligible():
    harness = SchedulerHarness(slots=4)
    harness.submit("a")  # slot 3: 0 - 3/4 * 2 s is below v = 0
    harness.submit("b")  # slot 2: S = 2 s, 2 s - 2/4 * 2 s = 1 s must be under v
    assert harness.scheduler.v == SECOND + 1


def test_dispatch_prefers_smallest_eligible_finish_tag():
    harness = SchedulerHarness(endpoints={1: [11], 2: [21]}, slots=4)
    for d in (1, 2):
        harness.scheduler._destination(d).costs_ns["safe"] = 100 * MS
    harness.scheduler.free_slots.clear()
    harness.submit("a", 1)
    harness.submit("b", 2)
    dest(harness, 1).start_tag, dest(harness, 2).start_tag, harness.scheduler.v = 50 * MS, 20 * MS, SECOND
    harness.scheduler.free_slots.append(0)
    harness.handle()
    assert [m for m, _, _ in harness.sent] == ["b"]


def test_staggered_eligibility_sends_large_costs_to_low_slots():
    """Figure 4 of the paper: small requests on high threads, large ones on low threads."""
    harness = SchedulerHarness(endpoints={1: [11], 2: [21]}, slots=8)
    used: dict[int, list[int]] = {1: [], 2: []}
    harness.scheduler._destination(1).costs_ns["safe"] = 100 * MS
    harness.scheduler._destination(2).costs_ns["safe"] = 4 * SECOND
    harness.scheduler.endpoints[21].latency_ns = 4.0 * SECOND  # known to be slow
    ends: list[tuple[int, str, int]] = []
    count = 0
    for _step in range(4_000):
        for d, target in ((1, 4), (2, 4)):
            while (
                sum(1 for m in harness.scheduler.held.values() if m.destination.id == d and not m.in_flight)
                < target
            ):
                count += 1
                harness.submit(f"{d}-{count}", d)
        for number, call in [(k, c) for k, (_, c) in harness.scheduler.in_flight.items()]:
            if not any(e[1] == number[0] for e in ends):
                used[call.destination.id].append(call.slot)
                work = 100 * MS if call.destination.id == 1 else 4 * SECOND
                ends.append((harness.now + work, number[0], call.endpoint.id))
        ends.sort()
        when, message, endpoint = ends.pop(0)
        harness.complete_attempt(
            message, Outcome.DELIVERED, after=max(0, when - harness.now), endpoint=endpoint
        )
        if harness.now > 1_060 * SECOND:
            break
    small, large = used[1][50:], used[2][10:]
    assert sum(small) / len(small) > sum(large) / len(large) + 0.5


def test_window_starts_at_half_the_slots_and_stays_under_three_quarters():
    for slots, half, cap in ((3, 1, 2), (4, 2, 2), (6, 3, 4), (8, 4, 5), (13, 6, 9), (1, 1, 1)):
        sender = Scheduler(settings(slots=slots), 0)
        assert (sender.initial_window, sender.max_window) == (half, cap)


def test_window_grows_by_one_and_falls_to_half():
    harness = SchedulerHarness(slots=12)
    sizes = []
    for i in range(4):
        harness.submit(f"m{i}")
        harness.complete_attempt(f"m{i}", Outcome.DELIVERED, after=100 * MS)
        sizes.append(dest(harness).window)
    assert sizes == [7, 8, 8, 8]  # from 6 up to 8, the largest window below three quarters
    harness.submit("slower")
    harness.complete_attempt("slower", Outcome.DELIVERED, after=250 * MS)
    assert dest(harness).window == 6  # more than twice the best latency of 100 ms
    for i in range(4):
        harness.submit(f"n{i}")
        harness.complete_attempt(f"n{i}", Outcome.DELIVERED, after=100 * MS)
    harness.submit("bad")
    harness.complete_attempt("bad", Outcome.ERROR, after=100 * MS)
    assert dest(harness).window <= 6


def test_destination_with_full_window_does_not_block_others():
    harness = SchedulerHarness(endpoints={1: [11], 2: [21]}, slots=4)
    for i in range(5):
        harness.submit(f"a{i}", 1)
    assert len(harness.sent) == 2  # the size of its window
    harness.submit("b", 2)
    assert harness.sent[-1][0] == "b"


def test_batch_is_one_call_one_slot_and_one_charge():
    harness = SchedulerHarness(kind="batch", slots=2)
    harness.submit("first")
    for i in range(7):
        harness.submit(f"m{i}")
    harness.complete_attempt("first", Outcome.DELIVERED, after=50 * MS)
    tag = dest(harness).start_tag
    assert dest(harness).call_count == 1 and len(harness.scheduler.free_slots) == 1
    assert len(harness.sent) == 6  # the first, then five together
    assert tag == 50 * MS + dest(harness).costs_ns["safe"]


def test_entries_and_log_decisions_are_plain_values():
    assert EndpointEntry(1, 2) == EndpointEntry(1, 2) and LogDecision("x").text == "x"


def test_stuck_once_call_is_withdrawn_when_no_slot_is_free():
    """Guards against two silent destinations that hold all slots until the deadlines (incident i3c573f)."""
    harness = SchedulerHarness(endpoints={1: [11], 2: [21], 3: [31]}, slots=4)
    for d, e in ((1, 11), (2, 21)):
        deliver_calls(harness, d, e)
        harness.submit(f"x{d}", d, "once")
        harness.submit(f"y{d}", d, "once")
    assert not harness.scheduler.free_slots
    harness.submit("healthy", 3)
    for _ in range(60):
        harness.handle(after=100 * MS)
        if harness.cancelled:
            break
    assert harness.cancelled and harness.now < 1_000 * SECOND + 12 * SECOND
    message, attempt = harness.cancelled[0]
    harness.complete_attempt(
        message, Outcome.CANCELLED, attempt=attempt, endpoint=11 if message.endswith("1") else 21
    )
    assert harness.attempt_count("healthy") == 1 and harness.final_results[message] == "failed"


def test_stuck_once_call_stays_when_slots_are_free():
    harness = SchedulerHarness(endpoints={1: [11], 3: [31]}, slots=4)
    deliver_calls(harness, 1, 11)
    harness.submit("x", 1, "once")
    harness.submit("healthy", 3)
    harness.handle(after=10 * SECOND)
    assert ("x", 0) not in harness.cancelled


def test_call_overtaken_by_later_ones_is_sent_again():
    """Guards against lost calls that keep a slot beyond the latency objective (incident i3c573f)."""
    harness = SchedulerHarness(slots=6)
    deliver_calls(harness, 1, 11)
    harness.submit("lost")
    for i in range(30):
        harness.submit(f"m{i}", after=5 * MS)
        harness.complete_attempt(f"m{i}", Outcome.DELIVERED, after=90 * MS)
    assert ("lost", 0) in harness.cancelled
    harness.complete_attempt("lost", Outcome.CANCELLED, attempt=0)
    assert harness.attempt_count("lost") == 2


def test_lost_answer_costs_slot_for_short_time():
    """Guards against lost responses whose calls hold slots until the latency objective (ferrara-invio)."""
    harness = SchedulerHarness(slots=2)
    deliver_calls(harness, 1, 11)
    harness.submit("lost", cls="keyed")
    harness.handle(after=SECOND)
    assert harness.cancelled == [("lost", 0)]  # the usual latency is 100 ms
    harness.complete_attempt("lost", Outcome.CANCELLED)
    assert harness.attempt_count("lost") == 2


def test_once_call_without_answer_is_given_up_when_its_key_blocks_others():
    """Guards against a call that blocks its slot, destination and key until the deadline, up to 28 s."""
    for follower in (True, False):
        harness = SchedulerHarness(
            slots=4, classes=CLASSES | {"once": replace(CLASSES["once"], ordered=True)}
        )
        deliver_calls(harness, 1, 11)
        harness.submit("lost", cls="once", key=7)
        harness.submit("next", cls="once", key=7 if follower else 8)
        if not follower:
            harness.complete_attempt("next", Outcome.DELIVERED, after=100 * MS)
        harness.handle(after=5 * SECOND)
        assert (("lost", 0) in harness.cancelled) is follower
        if follower:
            harness.complete_attempt("lost", Outcome.CANCELLED)
            harness.handle(after=SECOND)
            assert harness.final_results["lost"] == "failed" and harness.attempt_count("next") == 1


def test_load_is_shed_from_longest_queue():
    """Guards against the backlog of one destination displacing all other messages (incident i3c573f)."""
    harness = SchedulerHarness(endpoints={1: [], 2: [21]}, slots=2, max_held=32)
    for i in range(4):
        harness.submit(f"b{i}", 2, "safe")
    for i in range(40):
        harness.submit(f"a{i}", 1, "once")
    assert len(harness.scheduler.held) <= 30
    assert harness.final_results and all(
        m.startswith("a") and end == "refused" for m, end in harness.final_results.items()
    )


def test_rejected_message_is_told_retry_after():
    harness = SchedulerHarness(endpoints={1: []}, max_held=16)
    for i in range(20):
        harness.submit(f"a{i}")
    assert {a.retry_after_ns for a in harness.commands if isinstance(a, api.RejectMessage)} == {3 * SECOND}


def test_trial_risks_repeatable_message_before_once_message():
    harness = SchedulerHarness(slots=8)
    deliver_calls(harness, 1, 11)
    for i in range(3):
        harness.submit(f"x{i}", cls="once")
        harness.complete_attempt(f"x{i}", Outcome.ERROR, after=50 * MS)
    harness.submit("first")
    harness.submit("worth-more", cls="once")
    harness.submit("repeatable")
    harness.handle(after=4 * SECOND)
    harness.complete_attempt(
        "repeatable" if harness.attempt_count("repeatable") else "first", Outcome.ERROR, after=50 * MS
    )
    harness.handle(after=8 * SECOND)
    assert (
        harness.attempt_count("worth-more") == 0
        and harness.attempt_count("first") + harness.attempt_count("repeatable") >= 2
    )


def test_failed_message_prefers_another_endpoint():
    harness = SchedulerHarness(endpoints={1: [11, 12]})
    harness.submit("a")
    first = harness.sent[0][1]
    harness.complete_attempt("a", Outcome.ERROR, after=50 * MS, endpoint=first)
    assert harness.sent[1][1] != first


def test_message_that_can_be_on_time_goes_before_late_one():
    harness = SchedulerHarness(slots=2)
    harness.submit("busy")
    harness.submit("late", remaining_ns=10 * SECOND)
    harness.submit("fresh")
    harness.complete_attempt("busy", Outcome.DELIVERED, after=100 * MS)
    assert harness.sent[1][0] == "fresh"


def test_message_of_higher_worth_goes_first_even_if_late():
    """Guards against messages of triple worth that wait at an overloaded destination (incident i357c89).

    The destination accepted a third of the messages.
    """
    harness = SchedulerHarness(slots=2)
    harness.submit("busy")
    harness.submit("cheap")
    harness.submit("dear", cls="once", remaining_ns=15 * SECOND)  # 3 s late: worth 3.7 of 4
    harness.complete_attempt("busy", Outcome.DELIVERED, after=100 * MS)
    assert harness.sent[1][0] == "dear"


def test_trial_is_batched_only_where_failures_never_ran():
    """Guards against trials of one message while batches of ten wait (incidents i42b91a and i72272d)."""
    for outcome, riders in ((Outcome.CONNECT_FAILED, 5), (Outcome.ERROR, 1)):
        harness = SchedulerHarness(slots=8, kind="batch")
        deliver_calls(harness, 1, 11)
        for name in ("x", "y"):
            harness.submit(name, cls="keyed")
            while not harness.attempt_count(name):
                harness.handle(after=SECOND)
            harness.complete_attempt(name, outcome, after=50 * MS)
            harness.handle(api.MessageWithdrawn(name))
            harness.handle(after=4 * SECOND)
            if harness.scheduler.in_flight:
                harness.complete_attempt(name, outcome, after=50 * MS)
        assert harness.scheduler.endpoints[11].is_open and not harness.scheduler.in_flight
        before = len(harness.sent)
        harness.handle(
            *(api.MessageArrived(f"m{i}", "safe", 1, 20 * SECOND) for i in range(6)), after=12 * SECOND
        )
        assert len(harness.sent) - before == riders, outcome


def test_retries_without_budget_go_one_at_a_time():
    """Without retry tokens, the retries to a destination are sent one at a time."""
    harness = SchedulerHarness(slots=8, endpoints={1: [11, 12]})
    deliver_calls(harness, 1, 11)
    harness.scheduler.destinations[1].retry_tokens = 0.0
    harness.submit("fresh")
    harness.submit("again")
    harness.complete_attempt("again", Outcome.TIMEOUT, after=100 * MS)
    harness.handle(after=300 * MS)
    assert harness.attempt_count("again") == 1
    harness.complete_attempt("fresh", Outcome.DELIVERED)
    assert harness.attempt_count("again") == 2


def test_unlisted_endpoints_and_keys_are_forgotten_once_no_rule_needs_them():
    """Guards against tables that grow as endpoints are replaced and keys change."""
    harness = SchedulerHarness(max_held=20)
    for i in range(200):
        harness.update_endpoints({1 + i: [11 + i]})
        harness.submit(f"m{i}", 1 + i, cls="turn", key=i)
        harness.complete_attempt(f"m{i}", Outcome.TIMEOUT, after=SECOND, endpoint=11 + i)
        if harness.attempt_count(f"m{i}") == 2:
            harness.complete_attempt(f"m{i}", Outcome.DELIVERED, after=100 * MS, endpoint=11 + i)
    sender = harness.scheduler
    assert (
        max(len(sender.endpoints), len(sender.destinations)) <= 12 and len(sender.key_paused_until_ns) <= 21
    )
    assert harness.attempt_count("m199") == 2


def test_destination_in_use_when_last_endpoint_was_dropped_is_forgotten_later():
    """Guards against a destination that stays in the tables because it was in use at its removal."""
    harness = SchedulerHarness(endpoints={1: [11], 2: [21]})
    harness.update_endpoints({2: [21]})
    harness.submit("m", 1)
    harness.handle(after=11 * SECOND)
    harness.update_endpoints({2: [21]})
    assert set(harness.scheduler.endpoints) == {21} and set(harness.scheduler.destinations) == {1, 2}
    harness.handle(api.MessageWithdrawn("m"))
    harness.update_endpoints({2: [21]})
    assert set(harness.scheduler.destinations) == {2}


def count_function_calls(destinations: int) -> int:
    """Return the number of function calls for the same traffic with a number of listed destinations."""
    harness = SchedulerHarness(endpoints={n: [10 * n] for n in range(1, destinations + 1)}, slots=4)
    calls = 0

    def count(_frame: object, event: str, _arg: object) -> None:
        nonlocal calls
        calls += event == "call"

    for i in range(20):
        harness.submit(f"m{i}", 1 + i % 3)
        harness.complete_attempt(f"m{i}", Outcome.DELIVERED, after=50 * MS, endpoint=10 * (1 + i % 3))
    sys.setprofile(count)
    for i in range(20, 40):
        harness.submit(f"m{i}", 1 + i % 3)
        harness.complete_attempt(f"m{i}", Outcome.DELIVERED, after=50 * MS, endpoint=10 * (1 + i % 3))
    sys.setprofile(None)
    return calls


def test_work_follows_traffic_and_not_number_of_destinations():
    """Guards against events that visit all destinations, beyond the CPU limit (kumasi-relay-later big-1)."""
    assert count_function_calls(300) == count_function_calls(3) > 0


def test_overtaken_call_holds_slot_no_longer_than_it_is_due():
    """Guards against lost responses that hold a slot for twice the overdue time (day "wide")."""
    harness = SchedulerHarness(slots=8)
    deliver_calls(harness, 1, 11)
    health = harness.scheduler.endpoints[11]
    due = harness.scheduler.health.overdue_after_ns(health, CLASSES["safe"])
    harness.submit("lost")
    sent = harness.now
    harness.submit("later", after=5 * MS)
    harness.complete_attempt("later", Outcome.DELIVERED, after=100 * MS)
    while ("lost", 0) not in harness.cancelled:
        harness.handle(after=5 * MS)
    assert harness.now - sent <= due + 5 * MS


def test_overdue_call_is_withdrawn_at_once_where_answers_get_lost():
    """Guards against lost calls that use half of all slot time, 0.3 to 1.2 s each (day "wide", resets)."""
    for rounds, patient in ((0, True), (6, False)):
        harness = SchedulerHarness(slots=8)
        deliver_calls(harness, 1, 11)
        lose_answers(harness, rounds)
        due = harness.scheduler.health.overdue_after_ns(harness.scheduler.endpoints[11], CLASSES["safe"])
        harness.submit("m")
        harness.handle(after=due + 5 * MS)
        assert (("m", 0) not in harness.cancelled) == patient


def test_message_lost_in_transit_is_not_counted_against_retry_budget():
    """Guards against two thirds of a queue waiting for tokens that the rest cannot earn (day "wide")."""
    harness = SchedulerHarness(slots=8)
    deliver_calls(harness, 1, 11)
    harness.scheduler.destinations[1].retry_tokens = 0.0
    harness.submit("busy")
    for name, overtaken in (("lost", True), ("late", False)):
        harness.submit(name)
        if overtaken:
            harness.submit("later", after=5 * MS)
            harness.complete_attempt("later", Outcome.DELIVERED, after=20 * MS)
            harness.scheduler.destinations[1].retry_tokens = 0.0
        harness.complete_attempt(name, Outcome.TIMEOUT, after=100 * MS)
        harness.handle(after=100 * MS)
        assert (harness.attempt_count(name) == 2) == overtaken


def test_batches_shrink_while_answers_are_lost():
    """The response to a batch of ten is lost if any is: 83% of them, 10% of single ones (day "wide")."""
    harness = SchedulerHarness(slots=8, kind="batch")
    deliver_calls(harness, 1, 11)
    health = harness.scheduler.endpoints[11]
    assert health.batch_size == 5
    for overtaken, fill in ((False, 5), (True, 2)):  # a slow endpoint does not shrink batches
        names = [f"a{overtaken}{i}" for i in range(5)]
        harness.handle(*(api.MessageArrived(name, "safe", 1, 20 * SECOND) for name in names))
        if overtaken:
            harness.submit("later", after=5 * MS)
            harness.complete_attempt("later", Outcome.DELIVERED, after=100 * MS)
        while (names[0], 0) not in harness.cancelled:
            harness.handle(after=10 * MS)
        harness.handle(
            *(api.AttemptCompleted(name, 0, 11, Outcome.CANCELLED) for name in names),
            *(api.MessageWithdrawn(name) for name in names),
        )
        assert health.batch_size == fill
        harness.handle(after=5 * SECOND)
    harness.handle(*(api.MessageArrived(f"b{i}", "safe", 1, 20 * SECOND) for i in range(5)))
    assert sorted(len(call.members) for call in harness.scheduler.running.values()) == [2]
    harness.complete_attempt("b0", Outcome.DELIVERED)
    assert health.batch_size == 3
