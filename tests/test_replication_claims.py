"""Claims: a message waits only for claimed messages with which it shares a lock key."""

from __future__ import annotations

import random
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from winchspan.replication.claims import (
    EXECUTION_RETENTION_MS,
    EXPIRY_MARGIN_MS,
    MAX_REMEMBERED_ATTEMPTS,
    Claim,
    ClaimTable,
    EarlierAttempt,
    lock_keys_of,
    taken_over_name,
)

FIRST_KEYS = lock_keys_of("pay", 7, "t1")
SECOND_KEYS = lock_keys_of("pay", 8, "t2")


class OpenClaim(NamedTuple):
    owner: str
    epoch: int
    message_id: str


def test_lock_keys_of_distinguishes_keys_tokens_and_classes():
    assert lock_keys_of("note", None, "") == (), "an idempotent message without ordering key has no lock key"
    assert set(lock_keys_of("pay", 7, "t1")) & set(lock_keys_of("pay", 7, "t2"))
    assert not set(FIRST_KEYS) & set(SECOND_KEYS)
    assert not set(lock_keys_of("pay", None, "t1")) & set(lock_keys_of("deposit", None, "t1")), (
        "a token belongs to its class"
    )


def test_message_with_a_claimed_lock_key_waits_until_completion_and_gets_the_earlier_attempt():
    claims = ClaimTable()
    assert not claims.wait_if_claimed(1, FIRST_KEYS)
    claims.add_claims(0.0, "n1", 5, [Claim("a", FIRST_KEYS, 1_000.0)])
    assert claims.wait_if_claimed(2, FIRST_KEYS)
    assert not claims.wait_if_claimed(3, SECOND_KEYS)
    assert not claims.wait_if_claimed(4, ())
    same_ordering_key = lock_keys_of("pay", 7, "t9")
    assert claims.wait_if_claimed(5, same_ordering_key)
    assert claims.pop_unblocked() == []
    claims.complete(100.0, "n1", 4, "a", None)
    assert claims.pop_unblocked() == [], "a completion under an earlier epoch is ignored"
    claims.complete(100.0, "n1", 5, "a", EarlierAttempt(40.0, "z"))
    assert claims.pop_unblocked() == [2, 5]
    assert len(claims) == 0
    assert claims.earlier_attempt(160.0, FIRST_KEYS) == EarlierAttempt(100.0, "z")
    assert claims.earlier_attempt(160.0, same_ordering_key) is None


def test_claims_of_a_later_epoch_replace_all_earlier_ones_of_the_journal():
    claims = ClaimTable()
    claims.add_claims(0.0, "n1", 5, [Claim("a", FIRST_KEYS, 1e4), Claim("b", SECOND_KEYS, 1e4)])
    assert claims.wait_if_claimed(1, FIRST_KEYS)
    assert claims.wait_if_claimed(2, SECOND_KEYS)
    claims.add_claims(0.0, "n1", 9, [Claim("a", FIRST_KEYS, 1e4)])
    assert claims.pop_unblocked() == [2]
    claims.add_claims(0.0, "n1", 5, [Claim("b", SECOND_KEYS, 1e4)])
    assert not claims.wait_if_claimed(3, SECOND_KEYS), "from a replica that does not know the later epoch"
    claims.release("n1", 5)
    assert claims.pop_unblocked() == []
    claims.release("n1", 9)
    assert claims.pop_unblocked() == [1]


def test_claims_expire_with_their_message_and_executions_are_bounded():
    claims = ClaimTable()
    claims.add_claims(0.0, "n1", 5, [Claim("a", FIRST_KEYS, 1_000.0)])
    assert claims.wait_if_claimed(1, FIRST_KEYS)
    claims.expire(1_000.0 + EXPIRY_MARGIN_MS - 1.0)
    assert claims.pop_unblocked() == []
    claims.expire(1_000.0 + EXPIRY_MARGIN_MS)
    assert claims.pop_unblocked() == [1]
    for number in range(MAX_REMEMBERED_ATTEMPTS + 10):
        claims.add_claims(0.0, "n1", 5, [Claim("x", lock_keys_of("pay", None, f"{number}"), 1e4)])
        claims.complete(0.0, "n1", 5, "x", EarlierAttempt(0.0))
    oldest_keys = lock_keys_of("pay", None, "0")
    newest_keys = lock_keys_of("pay", None, f"{MAX_REMEMBERED_ATTEMPTS + 9}")
    assert claims.earlier_attempt(0.0, oldest_keys) is None
    assert claims.earlier_attempt(0.0, newest_keys) == EarlierAttempt(0.0)
    claims.expire(EXECUTION_RETENTION_MS + 1.0)
    assert claims.earlier_attempt(0.0, newest_keys) is None


def test_messages_of_two_claimed_journals_do_not_deadlock_and_own_ones_wait_for_both():
    claims = ClaimTable()
    claims.add_claims(0.0, "n1", 5, [Claim("a", FIRST_KEYS, 1e4)])
    claims.add_claims(0.0, "n2", 6, [Claim("b", FIRST_KEYS, 1e4)])
    assert claims.wait_if_claimed(1, FIRST_KEYS)
    assert not claims.wait_if_claimed(2, FIRST_KEYS, taken_over_from="n1")
    assert claims.wait_if_claimed(3, FIRST_KEYS, taken_over_from="n2")
    claims.complete(0.0, "n1", 5, "a", None)
    assert claims.pop_unblocked() == [3], (
        "its own journal's claim does not block it, nor do messages that wait for it"
    )
    claims.complete(0.0, "n2", 6, "b", None)
    assert claims.pop_unblocked() == [1]


@settings(max_examples=200, deadline=None)
@given(st.integers(0, 1 << 30))
def test_waiting_messages_of_a_lock_key_are_unblocked_in_order_and_all_in_the_end(seed: int):
    rng = random.Random(seed)
    claims = ClaimTable()
    lock_keys = [
        *(lock_keys_of("pay", n, f"t{n}") for n in range(3)),
        lock_keys_of("pay", 0, "t1"),
        lock_keys_of("pay", 1, "t2"),
    ]
    open_claims: list[OpenClaim] = []
    waiting: dict[int, tuple[bytes, ...]] = {}
    for number in range(60):
        event = rng.random()
        if event < 0.3:
            claim = OpenClaim(rng.choice(("n1", "n2")), rng.choice((3, 4)), f"m{number}")
            claims.add_claims(
                0.0, claim.owner, claim.epoch, [Claim(claim.message_id, rng.choice(lock_keys), 1e6)]
            )
            open_claims.append(claim)
        elif event < 0.7:
            own_keys = rng.choice(lock_keys)
            if claims.wait_if_claimed(number, own_keys):
                waiting[number] = own_keys
        elif open_claims:
            claims.complete(0.0, *open_claims.pop(rng.randrange(len(open_claims))), None)
        for unblocked in claims.pop_unblocked():
            own_keys = waiting.pop(unblocked)
            assert all(
                other > unblocked for other, other_keys in waiting.items() if set(other_keys) & set(own_keys)
            )
    claims.expire(1e9)
    assert sorted(claims.pop_unblocked()) == sorted(waiting)
    assert len(claims) == 0
    assert claims._owners_by_lock_key == {}


# Guards against an owner's later epoch that cancels the claims of a takeover in between (review, case 9).
def test_claims_of_a_takeover_outlast_later_epochs_of_the_owner_and_end_with_their_messages():
    claims = ClaimTable()
    name = taken_over_name("n1", 6)
    claims.add_claims(0.0, "n1", 5, [Claim("a", FIRST_KEYS, 1_000.0), Claim("b", SECOND_KEYS, 1_000.0)])
    claims.add_claims(0.0, name, 6, [Claim("a", FIRST_KEYS, 1_000.0)])
    assert len(claims) == 2, "a message has one claim"
    claims.release("n1", 6)
    assert len(claims) == 1
    claims.add_claims(0.0, "n1", 7, [])
    claims.add_claims(0.0, "n1", 8, [Claim("c", FIRST_KEYS, 1_000.0)])
    claims.release("n1", 8)
    assert claims.wait_if_claimed(1, FIRST_KEYS)
    claims.add_claims(0.0, taken_over_name("n2", 9), 9, [Claim("a", FIRST_KEYS, 1_000.0)])
    assert len(claims) == 1, "taken over once more, from the successor"
    claims.complete(10.0, taken_over_name("n2", 9), 9, "a", None)
    assert claims.pop_unblocked() == [1] and len(claims) == 0


# Guards against a returning courier of an earlier version, which claims what was taken over from it as its
# own and then announces the end.
def test_completion_of_a_claim_with_priority_leaves_the_claims_of_a_takeover():
    claims = ClaimTable()
    name = taken_over_name("n1", 6)
    claims.add_claims(0.0, name, 6, [Claim("a", FIRST_KEYS, 1_000.0)])
    claims.add_claims(0.0, "!n1", 1, [Claim("a", FIRST_KEYS, 1_000.0)])
    claims.complete(10.0, "!n1", 1, "a", None)
    assert claims.wait_if_claimed(1, FIRST_KEYS)
    claims.complete(10.0, name, 6, "a", None)
    assert claims.pop_unblocked() == [1]
