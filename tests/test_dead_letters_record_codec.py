"""The encoded names of failure histories and dead letters, which every version must read."""

from __future__ import annotations

import json
from dataclasses import replace

import msgspec
import pytest

from winchspan.dead_letters.record_codec import (
    dead_letter_from_json,
    dead_letter_to_json,
    decode_failure_history,
    destination_snapshot,
    encode_failure_history,
    failure_history_from_json,
    failure_history_to_json,
)
from winchspan.dead_letters.records import AttemptHistory, DestinationSnapshot, FailureHistory

from .dead_letter_helpers import make_dead_letter

HISTORY = FailureHistory(
    "out of time",
    4.0,
    (AttemptHistory("s-1", 1.0, "full", 2.0, 3.0),),
    5,
    DestinationSnapshot(6, 7, 8, 9, 10, 11.0),
)
ENCODED_HISTORY = {
    "reason": "out of time",
    "at": 4.0,
    "attempts": [{"endpoint": "s-1", "at": 1.0, "outcome": "full", "took": 2.0, "wait": 3.0}],
    "earlier": 5,
    "seen": {"window": 6, "calls": 7, "queue": 8, "sick": 9, "endpoints": 10, "waits": 11.0},
}


def test_failure_history_encoded_has_the_recorded_names_in_order():
    assert json.dumps(json.loads(encode_failure_history(HISTORY))) == json.dumps(ENCODED_HISTORY)
    encoded = failure_history_to_json(HISTORY)
    assert json.dumps(encoded | {"attempts": list(encoded["attempts"])}) == json.dumps(ENCODED_HISTORY)


def test_failure_history_round_trip_keeps_every_field():
    assert decode_failure_history(encode_failure_history(HISTORY)) == HISTORY
    assert failure_history_from_json(ENCODED_HISTORY) == HISTORY


def test_failure_history_without_optional_fields_has_their_defaults():
    assert failure_history_from_json({"reason": "no room", "at": 1.0}) == FailureHistory("no room", 1.0)


def test_failure_history_with_a_field_of_another_type_is_rejected():
    with pytest.raises(msgspec.ValidationError, match="earlier"):
        failure_history_from_json(ENCODED_HISTORY | {"earlier": "many"})


def test_destination_snapshot_without_fields_is_empty():
    assert destination_snapshot({}) == DestinationSnapshot()


def test_dead_letter_round_trip_keeps_every_field():
    dead_letter = make_dead_letter(
        number=3, redelivery_count=2, note="x", is_approved=True, release_statement="operator-1: seen"
    )
    encoded = dead_letter_to_json(replace(dead_letter, key=5))
    assert list(encoded)[:13] == [
        *("id", "deadline", "cls", "dest", "key", "token", "body", "end", "story", "ran", "evidence"),
        *("ran_at", "state"),
    ]
    assert dead_letter_from_json(encoded) == replace(dead_letter, key=5)
