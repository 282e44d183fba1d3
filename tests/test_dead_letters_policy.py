"""The decisions of the operator's rules: which messages, when, and at which rate."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as options
from hypothesis import strategies as st

from winchspan.dead_letters.policy import (
    HOUR_MS,
    RedeliveryAction,
    RedeliveryDecision,
    RedeliveryPolicy,
    RedeliveryRateLimiter,
    RedeliveryRule,
)
from winchspan.dead_letters.records import CLOSED_STATES, DeadLetter, DeadLetterState, ExecutionEvidence

from .dead_letter_helpers import CLASSES, NOW_MS, make_dead_letter

ANY = RedeliveryRule("any", evidence=(ExecutionEvidence.NEVER_RAN, ExecutionEvidence.MAY_HAVE_RUN))


def decide(
    dead_letter: DeadLetter,
    *rules: RedeliveryRule,
    at: float = NOW_MS,
    approved: bool = False,
    released: bool = False,
) -> RedeliveryDecision:
    statement = "operator-1: it never came" if released else ""
    changed = replace(dead_letter, is_approved=approved, release_statement=statement)
    return RedeliveryPolicy(rules, CLASSES).decide(at, changed)


def test_policy_payment_that_may_have_run_is_held_by_every_rule():
    dead_letter = make_dead_letter(
        class_name="pay", evidence=ExecutionEvidence.MAY_HAVE_RUN, first_run_unix_ms=NOW_MS - 20_000.0
    )
    assert decide(dead_letter, ANY).action is RedeliveryAction.HOLD
    assert decide(dead_letter, ANY, approved=True).action is RedeliveryAction.HOLD
    assert decide(dead_letter, ANY, released=True).action is RedeliveryAction.SEND
    assert (
        decide(
            replace(dead_letter, execution_evidence=ExecutionEvidence.RAN), ANY, released=True, approved=True
        ).action
        is RedeliveryAction.HOLD
    )


@pytest.mark.parametrize(
    ("changes", "is_match"),
    [
        ({}, True),
        ({"class_names": ("pay",)}, False),
        ({"class_names": ("note",)}, True),
        ({"destinations": (8,)}, False),
        ({"final_states": ("returned",)}, False),
        ({"reasons": ("no room",)}, False),
        ({"evidence": (ExecutionEvidence.MAY_HAVE_RUN,)}, False),
    ],
)
def test_rule_matches_only_what_it_names(changes: dict[str, Any], is_match: bool):
    found = decide(make_dead_letter(), replace(ANY, **changes)).action
    assert found is (RedeliveryAction.SEND if is_match else RedeliveryAction.SKIP)


def test_rule_limits_of_time_and_number_apply():
    assert decide(make_dead_letter(), replace(ANY, min_age_ms=5_000.0)) == RedeliveryDecision(
        RedeliveryAction.WAIT, NOW_MS + 5_000.0, "its time has not come", "any"
    )
    again = make_dead_letter(redelivery_count=2)
    assert decide(again, replace(ANY, backoff_ms=1_000.0)).next_check_unix_ms == NOW_MS + 2_000.0
    assert decide(make_dead_letter(redelivery_count=3), ANY).action is RedeliveryAction.SKIP
    assert decide(make_dead_letter(), ANY, at=NOW_MS + 25 * HOUR_MS).action is RedeliveryAction.SKIP
    assert (
        decide(make_dead_letter(), replace(ANY, needs_approval=True)).action
        is RedeliveryAction.AWAIT_APPROVAL
    )
    assert (
        decide(make_dead_letter(), replace(ANY, needs_approval=True), approved=True).action
        is RedeliveryAction.SEND
    )
    assert decide(make_dead_letter(state=DeadLetterState.REDELIVERING), ANY).action is RedeliveryAction.SKIP
    assert decide(make_dead_letter(class_name="gone"), ANY).action is RedeliveryAction.HOLD


@options(derandomize=True, deadline=None, max_examples=200)
@given(st.floats(0, 24), st.floats(0, 24), st.floats(0, 240))
def test_rule_hours_open_at_their_first_hour(first: float, last: float, hour: float):
    rule = replace(ANY, hours_utc=(first, last))
    now = NOW_MS - NOW_MS % (24 * HOUR_MS) + hour * HOUR_MS
    at = rule.next_open_unix_ms(now)
    assert now <= at <= now + 24 * HOUR_MS
    if first != last and at > now:
        assert abs((at / HOUR_MS) % 24 - first % 24) < 1e-3 or abs((at / HOUR_MS) % 24 - first % 24) > 23.99


def test_rate_clock_set_back_does_not_stop_the_rule():
    rate, slow = RedeliveryRateLimiter(), replace(ANY, rate=2.0)
    sent = []
    for step in range(100):
        if rate.may_send(NOW_MS + step * 50, slow):
            rate.record_sent(NOW_MS + step * 50, slow)
            sent.append(step * 50)
    assert sent == list(range(0, 5_000, 500))
    assert not rate.may_send(NOW_MS + 4_950, slow) and rate.may_send(NOW_MS - HOUR_MS, slow)
    fast, found = replace(ANY, rate=20.0), 0
    for round_number in range(10):
        while rate.may_send(NOW_MS + round_number * 500, fast):
            rate.record_sent(NOW_MS + round_number * 500, fast)
            found += 1
    assert 95 <= found <= 101, "ten rounds take five seconds"


@options(derandomize=True, deadline=None, max_examples=300)
@given(
    st.sampled_from(list(CLASSES)),
    st.sampled_from(list(ExecutionEvidence)),
    st.sampled_from(list(DeadLetterState)),
    st.integers(-(10**7), 10**7),
    st.booleans(),
    st.integers(0, 5),
)
def test_policy_never_sends_a_message_that_could_have_a_second_effect(
    class_name: str,
    ran: ExecutionEvidence,
    state: DeadLetterState,
    age: int,
    approved: bool,
    redelivery_count: int,
):
    dead_letter = make_dead_letter(
        class_name=class_name,
        evidence=ran,
        first_run_unix_ms=NOW_MS - age,
        state=state,
        redelivery_count=redelivery_count,
    )
    every = RedeliveryRule(
        "every", evidence=tuple(ExecutionEvidence), max_age_ms=1e12, max_redeliveries=99, backoff_ms=0.0
    )
    found = decide(dead_letter, every, approved=approved)
    if found.action is RedeliveryAction.SEND:
        assert (
            ran is not ExecutionEvidence.RAN
            and state not in CLOSED_STATES
            and state is not DeadLetterState.REDELIVERING
        )
        assert (
            ran is ExecutionEvidence.NEVER_RAN
            or class_name == "note"
            or (class_name in ("pay", "zoned") and 0 <= age < 10_000)
        )
