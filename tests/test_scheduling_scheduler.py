"""The scheduler: 2DFQ^E with values calculated by hand, overdue calls, retries, order, load shedding."""

from __future__ import annotations

import sys
from dataclasses import replace

from winchspan import api
from winchspan.api import EndpointEntry, LogDecision, Outcome
from winchspan.scheduling.scheduler import Scheduler

from .helpers import CLASSES, MS, SECOND, World, settings
from .scheduling_traffic import deliver_calls, lose_answers


def dest(world: World, number: int = 1):
    return world.sender.destinations[number]


def test_send_charges_l_max_that_starts_at_latency_objective():
    world = World()
    world.put("a")
    assert dest(world).start_tag == 2 * SECOND  # S = max(S, v) = 0, plus L_max = the latency objective, 2 s


def test_completion_settles_difference_and_updates_l_max():
    world = World()
    world.put("a")
    world.end("a", Outcome.DELIVERED, after=300 * MS)
    assert dest(world).start_tag == 300 * MS  # 2 s charged, 0.3 s used: 1.7 s are refunded
    assert dest(world).costs_ns["safe"] == int(0.99 * 2 * SECOND)  # the larger of 0.99 L_max and T
    world.put("b")
    world.end("b", Outcome.DELIVERED, after=2_500 * MS)
    assert dest(world).costs_ns["safe"] == 2_500 * MS


def test_l_max_is_kept_for_each_class():
    world = World()
    world.put("a")
    world.end("a", Outcome.DELIVERED, after=300 * MS)
    world.put("b", cls="once")
    assert dest(world).costs_ns == {"safe": 1_980 * MS, "once": 2 * SECOND}


def test_running_call_is_billed_in_whole_steps_once_credit_is_used():
    world = World()
    world.put("a", cls="once")
    world.do(after=1_995 * MS)
    assert dest(world).start_tag == 2 * SECOND  # 1.99 s billed, all from the advance charge
    world.do(after=28 * MS)  # 2.023 s in flight: 2.02 s in whole steps of 10 ms
    assert dest(world).start_tag == 2_020 * MS


def test_virtual_time_gains_n_over_active_destinations_and_pauses_without():
    world = World(endpoints={1: [11], 2: [21]})
    world.do(after=SECOND)
    assert world.sender.v == 0  # no active destination
    world.put("a", 1)
    world.put("b", 2)
    before = world.sender.v
    world.do(after=100 * MS)
    assert world.sender.v - before == 200 * MS  # 4 slots over 2 destinations: 2 a second


def test_idle_destination_starts_at_virtual_time():
    world = World(endpoints={1: [11], 2: [21]})
    world.put("a", 1)
    world.do(after=500 * MS)
    v = world.sender.v  # 4 slots over one destination: 2 s
    assert v == 2 * SECOND + 0
    world.put("b", 2)
    assert dest(world, 2).start_tag == v + 2 * SECOND


def test_virtual_time_jumps_to_least_value_that_makes_one_eligible():
    world = World(slots=4)
    world.put("a")  # slot 3: 0 - 3/4 * 2 s is below v = 0
    world.put("b")  # slot 2: S = 2 s, 2 s - 2/4 * 2 s = 1 s must be under v
    assert world.sender.v == SECOND + 1


def test_dispatch_prefers_smallest_eligible_finish_tag():
    world = World(endpoints={1: [11], 2: [21]}, slots=4)
    for d in (1, 2):
        world.sender._destination(d).costs_ns["safe"] = 100 * MS
    world.sender.free_slots.clear()
    world.put("a", 1)
    world.put("b", 2)
    dest(world, 1).start_tag, dest(world, 2).start_tag, world.sender.v = 50 * MS, 20 * MS, SECOND
    world.sender.free_slots.append(0)
    world.do()
    assert [m for m, _, _ in world.sent] == ["b"]


def test_staggered_eligibility_sends_large_costs_to_low_slots():
    """Figure 4 of the paper: small requests on high threads, large ones on low threads."""
    world = World(endpoints={1: [11], 2: [21]}, slots=8)
    used: dict[int, list[int]] = {1: [], 2: []}
    world.sender._destination(1).costs_ns["safe"] = 100 * MS
    world.sender._destination(2).costs_ns["safe"] = 4 * SECOND
    world.sender.endpoints[21].latency_ns = 4.0 * SECOND  # known to be slow
    ends: list[tuple[int, str, int]] = []
    count = 0
    for _step in range(4_000):
        for d, target in ((1, 4), (2, 4)):
            while (
                sum(1 for m in world.sender.held.values() if m.destination.id == d and not m.in_flight)
                < target
            ):
                count += 1
                world.put(f"{d}-{count}", d)
        for number, call in [(k, c) for k, (_, c) in world.sender.in_flight.items()]:
            if not any(e[1] == number[0] for e in ends):
                used[call.destination.id].append(call.slot)
                work = 100 * MS if call.destination.id == 1 else 4 * SECOND
                ends.append((world.now + work, number[0], call.endpoint.id))
        ends.sort()
        when, message, endpoint = ends.pop(0)
        world.end(message, Outcome.DELIVERED, after=max(0, when - world.now), endpoint=endpoint)
        if world.now > 1_060 * SECOND:
            break
    small, large = used[1][50:], used[2][10:]
    assert sum(small) / len(small) > sum(large) / len(large) + 0.5


def test_window_starts_at_half_the_slots_and_stays_under_three_quarters():
    for slots, half, cap in ((3, 1, 2), (4, 2, 2), (6, 3, 4), (8, 4, 5), (13, 6, 9), (1, 1, 1)):
        sender = Scheduler(settings(slots=slots), 0)
        assert (sender.initial_window, sender.max_window) == (half, cap)


def test_window_grows_by_one_and_falls_to_half():
    world = World(slots=12)
    sizes = []
    for i in range(4):
        world.put(f"m{i}")
        world.end(f"m{i}", Outcome.DELIVERED, after=100 * MS)
        sizes.append(dest(world).window)
    assert sizes == [7, 8, 8, 8]  # from 6 up to 8, the largest window below three quarters
    world.put("slower")
    world.end("slower", Outcome.DELIVERED, after=250 * MS)
    assert dest(world).window == 6  # more than twice the best latency of 100 ms
    for i in range(4):
        world.put(f"n{i}")
        world.end(f"n{i}", Outcome.DELIVERED, after=100 * MS)
    world.put("bad")
    world.end("bad", Outcome.ERROR, after=100 * MS)
    assert dest(world).window <= 6


def test_destination_with_full_window_does_not_block_others():
    world = World(endpoints={1: [11], 2: [21]}, slots=4)
    for i in range(5):
        world.put(f"a{i}", 1)
    assert len(world.sent) == 2  # the size of its window
    world.put("b", 2)
    assert world.sent[-1][0] == "b"


def test_batch_is_one_call_one_slot_and_one_charge():
    world = World(kind="batch", slots=2)
    world.put("first")
    for i in range(7):
        world.put(f"m{i}")
    world.end("first", Outcome.DELIVERED, after=50 * MS)
    tag = dest(world).start_tag
    assert dest(world).call_count == 1 and len(world.sender.free_slots) == 1
    assert len(world.sent) == 6  # the first, then five together
    assert tag == 50 * MS + dest(world).costs_ns["safe"]


def test_entries_and_log_decisions_are_plain_values():
    assert EndpointEntry(1, 2) == EndpointEntry(1, 2) and LogDecision("x").text == "x"


def test_stuck_once_call_is_withdrawn_when_no_slot_is_free():
    """Guards against two silent destinations that hold all slots until the deadlines (incident i3c573f)."""
    world = World(endpoints={1: [11], 2: [21], 3: [31]}, slots=4)
    for d, e in ((1, 11), (2, 21)):
        deliver_calls(world, d, e)
        world.put(f"x{d}", d, "once")
        world.put(f"y{d}", d, "once")
    assert not world.sender.free_slots
    world.put("healthy", 3)
    for _ in range(60):
        world.do(after=100 * MS)
        if world.cancelled:
            break
    assert world.cancelled and world.now < 1_000 * SECOND + 12 * SECOND
    message, attempt = world.cancelled[0]
    world.end(message, Outcome.CANCELLED, attempt=attempt, endpoint=11 if message.endswith("1") else 21)
    assert world.sends("healthy") == 1 and world.final[message] == "failed"


def test_stuck_once_call_stays_when_slots_are_free():
    world = World(endpoints={1: [11], 3: [31]}, slots=4)
    deliver_calls(world, 1, 11)
    world.put("x", 1, "once")
    world.put("healthy", 3)
    world.do(after=10 * SECOND)
    assert ("x", 0) not in world.cancelled


def test_call_overtaken_by_later_ones_is_sent_again():
    """Guards against lost calls that keep a slot beyond the latency objective (incident i3c573f)."""
    world = World(slots=6)
    deliver_calls(world, 1, 11)
    world.put("lost")
    for i in range(30):
        world.put(f"m{i}", after=5 * MS)
        world.end(f"m{i}", Outcome.DELIVERED, after=90 * MS)
    assert ("lost", 0) in world.cancelled
    world.end("lost", Outcome.CANCELLED, attempt=0)
    assert world.sends("lost") == 2


def test_lost_answer_costs_slot_for_short_time():
    """Guards against lost responses whose calls hold slots until the latency objective (ferrara-invio)."""
    world = World(slots=2)
    deliver_calls(world, 1, 11)
    world.put("lost", cls="keyed")
    world.do(after=SECOND)
    assert world.cancelled == [("lost", 0)]  # the usual latency is 100 ms
    world.end("lost", Outcome.CANCELLED)
    assert world.sends("lost") == 2


def test_once_call_without_answer_is_given_up_when_its_key_blocks_others():
    """Guards against a call that blocks its slot, destination and key until the deadline, up to 28 s."""
    for follower in (True, False):
        world = World(slots=4, classes=CLASSES | {"once": replace(CLASSES["once"], ordered=True)})
        deliver_calls(world, 1, 11)
        world.put("lost", cls="once", key=7)
        world.put("next", cls="once", key=7 if follower else 8)
        if not follower:
            world.end("next", Outcome.DELIVERED, after=100 * MS)
        world.do(after=5 * SECOND)
        assert (("lost", 0) in world.cancelled) is follower
        if follower:
            world.end("lost", Outcome.CANCELLED)
            world.do(after=SECOND)
            assert world.final["lost"] == "failed" and world.sends("next") == 1


def test_load_is_shed_from_longest_queue():
    """Guards against the backlog of one destination displacing all other messages (incident i3c573f)."""
    world = World(endpoints={1: [], 2: [21]}, slots=2, max_held=32)
    for i in range(4):
        world.put(f"b{i}", 2, "safe")
    for i in range(40):
        world.put(f"a{i}", 1, "once")
    assert len(world.sender.held) <= 30
    assert world.final and all(m.startswith("a") and end == "refused" for m, end in world.final.items())


def test_rejected_message_is_told_retry_after():
    world = World(endpoints={1: []}, max_held=16)
    for i in range(20):
        world.put(f"a{i}")
    assert {a.retry_after_ns for a in world.log if isinstance(a, api.RejectMessage)} == {3 * SECOND}


def test_trial_risks_repeatable_message_before_once_message():
    world = World(slots=8)
    deliver_calls(world, 1, 11)
    for i in range(3):
        world.put(f"x{i}", cls="once")
        world.end(f"x{i}", Outcome.ERROR, after=50 * MS)
    world.put("first")
    world.put("worth-more", cls="once")
    world.put("repeatable")
    world.do(after=4 * SECOND)
    world.end("repeatable" if world.sends("repeatable") else "first", Outcome.ERROR, after=50 * MS)
    world.do(after=8 * SECOND)
    assert world.sends("worth-more") == 0 and world.sends("first") + world.sends("repeatable") >= 2


def test_failed_message_prefers_another_endpoint():
    world = World(endpoints={1: [11, 12]})
    world.put("a")
    first = world.sent[0][1]
    world.end("a", Outcome.ERROR, after=50 * MS, endpoint=first)
    assert world.sent[1][1] != first


def test_message_that_can_be_on_time_goes_before_late_one():
    world = World(slots=2)
    world.put("busy")
    world.put("late", left=10 * SECOND)
    world.put("fresh")
    world.end("busy", Outcome.DELIVERED, after=100 * MS)
    assert world.sent[1][0] == "fresh"


def test_message_of_higher_worth_goes_first_even_if_late():
    """Guards against messages of triple worth that wait at an overloaded destination (incident i357c89).

    The destination accepted a third of the messages.
    """
    world = World(slots=2)
    world.put("busy")
    world.put("cheap")
    world.put("dear", cls="once", left=15 * SECOND)  # 3 s late: worth 3.7 of 4
    world.end("busy", Outcome.DELIVERED, after=100 * MS)
    assert world.sent[1][0] == "dear"


def test_trial_is_batched_only_where_failures_never_ran():
    """Guards against trials of one message while batches of ten wait (incidents i42b91a and i72272d)."""
    for outcome, riders in ((Outcome.CONNECT_FAILED, 5), (Outcome.ERROR, 1)):
        world = World(slots=8, kind="batch")
        deliver_calls(world, 1, 11)
        for name in ("x", "y"):
            world.put(name, cls="keyed")
            while not world.sends(name):
                world.do(after=SECOND)
            world.end(name, outcome, after=50 * MS)
            world.do(api.MessageWithdrawn(name))
            world.do(after=4 * SECOND)
            if world.sender.in_flight:
                world.end(name, outcome, after=50 * MS)
        assert world.sender.endpoints[11].is_open and not world.sender.in_flight
        before = len(world.sent)
        world.do(*(api.MessageArrived(f"m{i}", "safe", 1, 20 * SECOND) for i in range(6)), after=12 * SECOND)
        assert len(world.sent) - before == riders, outcome


def test_retries_without_budget_go_one_at_a_time():
    """Without retry tokens, the retries to a destination are sent one at a time."""
    world = World(slots=8, endpoints={1: [11, 12]})
    deliver_calls(world, 1, 11)
    world.sender.destinations[1].retry_tokens = 0.0
    world.put("fresh")
    world.put("again")
    world.end("again", Outcome.TIMEOUT, after=100 * MS)
    world.do(after=300 * MS)
    assert world.sends("again") == 1
    world.end("fresh", Outcome.DELIVERED)
    assert world.sends("again") == 2


def test_unlisted_endpoints_and_keys_are_forgotten_once_no_rule_needs_them():
    """Guards against tables that grow as endpoints are replaced and keys change."""
    world = World(max_held=20)
    for i in range(200):
        world.list({1 + i: [11 + i]})
        world.put(f"m{i}", 1 + i, cls="turn", key=i)
        world.end(f"m{i}", Outcome.TIMEOUT, after=SECOND, endpoint=11 + i)
        if world.sends(f"m{i}") == 2:
            world.end(f"m{i}", Outcome.DELIVERED, after=100 * MS, endpoint=11 + i)
    sender = world.sender
    assert (
        max(len(sender.endpoints), len(sender.destinations)) <= 12 and len(sender.key_paused_until_ns) <= 21
    )
    assert world.sends("m199") == 2


def test_destination_in_use_when_last_endpoint_was_dropped_is_forgotten_later():
    """Guards against a destination that stays in the tables because it was in use at its removal."""
    world = World(endpoints={1: [11], 2: [21]})
    world.list({2: [21]})
    world.put("m", 1)
    world.do(after=11 * SECOND)
    world.list({2: [21]})
    assert set(world.sender.endpoints) == {21} and set(world.sender.destinations) == {1, 2}
    world.do(api.MessageWithdrawn("m"))
    world.list({2: [21]})
    assert set(world.sender.destinations) == {2}


def count_function_calls(destinations: int) -> int:
    """Return the number of function calls for the same traffic with a number of listed destinations."""
    world = World(endpoints={n: [10 * n] for n in range(1, destinations + 1)}, slots=4)
    calls = 0

    def count(_frame: object, event: str, _arg: object) -> None:
        nonlocal calls
        calls += event == "call"

    for i in range(20):
        world.put(f"m{i}", 1 + i % 3)
        world.end(f"m{i}", Outcome.DELIVERED, after=50 * MS, endpoint=10 * (1 + i % 3))
    sys.setprofile(count)
    for i in range(20, 40):
        world.put(f"m{i}", 1 + i % 3)
        world.end(f"m{i}", Outcome.DELIVERED, after=50 * MS, endpoint=10 * (1 + i % 3))
    sys.setprofile(None)
    return calls


def test_work_follows_traffic_and_not_number_of_destinations():
    """Guards against events that visit all destinations, beyond the CPU limit (kumasi-relay-later big-1)."""
    assert count_function_calls(300) == count_function_calls(3) > 0


def test_overtaken_call_holds_slot_no_longer_than_it_is_due():
    """Guards against lost responses that hold a slot for twice the overdue time (day "wide")."""
    world = World(slots=8)
    deliver_calls(world, 1, 11)
    health = world.sender.endpoints[11]
    due = world.sender.health.overdue_after_ns(health, CLASSES["safe"])
    world.put("lost")
    sent = world.now
    world.put("later", after=5 * MS)
    world.end("later", Outcome.DELIVERED, after=100 * MS)
    while ("lost", 0) not in world.cancelled:
        world.do(after=5 * MS)
    assert world.now - sent <= due + 5 * MS


def test_overdue_call_is_withdrawn_at_once_where_answers_get_lost():
    """Guards against lost calls that use half of all slot time, 0.3 to 1.2 s each (day "wide", resets)."""
    for rounds, patient in ((0, True), (6, False)):
        world = World(slots=8)
        deliver_calls(world, 1, 11)
        lose_answers(world, rounds)
        due = world.sender.health.overdue_after_ns(world.sender.endpoints[11], CLASSES["safe"])
        world.put("m")
        world.do(after=due + 5 * MS)
        assert (("m", 0) not in world.cancelled) == patient


def test_message_lost_in_transit_is_not_counted_against_retry_budget():
    """Guards against two thirds of a queue waiting for tokens that the rest cannot earn (day "wide")."""
    world = World(slots=8)
    deliver_calls(world, 1, 11)
    world.sender.destinations[1].retry_tokens = 0.0
    world.put("busy")
    for name, overtaken in (("lost", True), ("late", False)):
        world.put(name)
        if overtaken:
            world.put("later", after=5 * MS)
            world.end("later", Outcome.DELIVERED, after=20 * MS)
            world.sender.destinations[1].retry_tokens = 0.0
        world.end(name, Outcome.TIMEOUT, after=100 * MS)
        world.do(after=100 * MS)
        assert (world.sends(name) == 2) == overtaken


def test_batches_shrink_while_answers_are_lost():
    """The response to a batch of ten is lost if any is: 83% of them, 10% of single ones (day "wide")."""
    world = World(slots=8, kind="batch")
    deliver_calls(world, 1, 11)
    health = world.sender.endpoints[11]
    assert health.batch_size == 5
    for overtaken, fill in ((False, 5), (True, 2)):  # a slow endpoint does not shrink batches
        names = [f"a{overtaken}{i}" for i in range(5)]
        world.do(*(api.MessageArrived(name, "safe", 1, 20 * SECOND) for name in names))
        if overtaken:
            world.put("later", after=5 * MS)
            world.end("later", Outcome.DELIVERED, after=100 * MS)
        while (names[0], 0) not in world.cancelled:
            world.do(after=10 * MS)
        world.do(
            *(api.AttemptCompleted(name, 0, 11, Outcome.CANCELLED) for name in names),
            *(api.MessageWithdrawn(name) for name in names),
        )
        assert health.batch_size == fill
        world.do(after=5 * SECOND)
    world.do(*(api.MessageArrived(f"b{i}", "safe", 1, 20 * SECOND) for i in range(5)))
    assert sorted(len(call.members) for call in world.sender.running.values()) == [2]
    world.end("b0", Outcome.DELIVERED)
    assert health.batch_size == 3
