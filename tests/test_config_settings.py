"""Message classes in the form that the journal records."""

from __future__ import annotations

from dataclasses import fields
from typing import Any

import pytest

from winchspan import api
from winchspan.config.json_fields import FieldError
from winchspan.config.settings import message_class_from_json, message_class_to_json

RECORDED: dict[str, Any] = {
    "name": "order",
    "worth": 2.5,
    "aim_ns": 1,
    "deadline_ns": 2,
    "late_worth": 0.5,
    "effect": api.Effect.KEYED.value,
    "dedup_ns": 3,
    "dedup_per_zone": True,
    "ordered": True,
    "max_attempts": 4,
}


def test_message_class_to_json_keeps_recorded_keys_and_their_order():
    recorded = message_class_to_json(message_class_from_json(RECORDED))
    assert list(recorded.items()) == list(RECORDED.items())
    assert len(recorded) == len(fields(api.MessageClass))


def test_message_class_from_json_of_an_earlier_version_takes_defaults():
    cls = message_class_from_json({"name": "order", "effect": api.Effect.ONCE.value})
    assert cls == api.MessageClass(name="order")


@pytest.mark.parametrize(
    ("row", "fault"),
    [
        ({"effect": "once"}, "missing field 'name'"),
        ({"name": "order"}, "missing field 'effect'"),
        ({"name": "order", "effect": "twice"}, "'twice' is not a valid Effect"),
        ({**RECORDED, "colour": "red"}, "unknown field 'colour'"),
    ],
)
def test_message_class_from_json_with_a_fault_names_the_field(row: dict[str, Any], fault: str):
    with pytest.raises(FieldError, match=fault):
        message_class_from_json(row)
