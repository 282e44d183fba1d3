"""Codec of the journal's records: the exact bytes of each kind, and their decoding."""

from __future__ import annotations

import json
from typing import Any

import pytest

from winchspan.storage.journal_records import (
    AttemptEnded,
    AttemptStarted,
    ClassTableDefined,
    ClockAnchored,
    EndpointsDisabled,
    JournalEntry,
    JournalRecord,
    LastAttemptRecorded,
    MessageAccepted,
    MessagesCompleted,
    NotificationPending,
    OutageRecorded,
    WorkEpochStarted,
    WorkOrigin,
    decode_journal_record,
)
from winchspan.storage.record_file import iterate_records

NEW_ENTRY = JournalEntry(1, "m1", "order", None, 7, 5.0, "", b"\x00\n")
FULL_ENTRY = JournalEntry(
    number=2,
    id="m2",
    class_name="order",
    key=3,
    destination=7,
    deadline_ms=5.5,
    idempotency_key="token",
    body=b"body",
    attempt_count=2,
    in_flight_since_ms=4.0,
    in_flight_zone="b",
    first_executed_at_ms=3.0,
    first_executed_zone="a",
    pending_notification="failed",
    retry_after_ms=500,
    redelivery_of=9,
    failure_history={"reason": "x"},
    class_table=4,
    origin=WorkOrigin("n1", 12),
)
ENCODED: list[tuple[JournalRecord, str]] = [
    (
        MessageAccepted(NEW_ENTRY),
        '{"t":"taken","n":1,"id":"m1","c":"order","k":null,"d":7,"until":5.0,"token":""}',
    ),
    (
        MessageAccepted(FULL_ENTRY),
        '{"t":"taken","n":2,"id":"m2","c":"order","k":3,"d":7,"until":5.5,"token":"token","v":4,"resend":9,'
        '"origin":["n1",12],"tries":2,"out":4.0,"out_zone":"b","ran":3.0,"ran_zone":"a",'
        '"notice":"failed","after":500,"story":{"reason":"x"}}',
    ),
    (
        AttemptStarted([1, 2], 5.0, "s-1", "a"),
        '{"t":"started","n":[1,2],"at":5.0,"to":"s-1","zone":"a"}',
    ),
    (AttemptEnded([1], True), '{"t":"back","n":[1],"ran":true}'),
    (NotificationPending(1, "returned", 500), '{"t":"notice","n":1,"state":"returned","after":500}'),
    (
        NotificationPending(1, "failed", 0, {"reason": "x"}),
        '{"t":"notice","n":1,"state":"failed","after":0,"story":{"reason":"x"}}',
    ),
    (MessagesCompleted([1, 2]), '{"t":"end","n":[1,2]}'),
    (ClassTableDefined(4, [{"name": "order"}]), '{"t":"classes","v":4,"rows":[{"name":"order"}]}'),
    (EndpointsDisabled(["s-1"]), '{"t":"offline","names":["s-1"]}'),
    (WorkEpochStarted(7), '{"t":"work","e":7}'),
    (ClockAnchored("boot", 12.5), '{"t":"clock","boot":"boot","ahead":12.5}'),
    (LastAttemptRecorded(5.0), '{"t":"last","at":5.0}'),
]


@pytest.mark.parametrize(("record", "line"), ENCODED, ids=[type(record).__name__ for record, _ in ENCODED])
def test_journal_record_is_encoded_to_its_line_and_decoded_from_it(record: JournalRecord, line: str):
    (stored,) = iterate_records(record.encode())
    assert stored.line.decode() == line
    assert decode_journal_record(json.loads(stored.line), stored.body) == record


@pytest.mark.parametrize("kind", ["file", "whole", "copy", "promise", "later"])
def test_record_of_another_kind_is_decoded_to_none(kind: str):
    assert decode_journal_record({"t": kind}, b"") is None


@pytest.mark.parametrize("fields", [{}, {"t": "taken"}, {"t": "end"}, {"t": "work", "e": None}])
def test_record_with_invalid_fields_is_an_error(fields: dict[str, Any]):
    with pytest.raises((KeyError, TypeError, ValueError)):
        decode_journal_record(fields, b"")


def test_outage_record_is_encoded_as_it_was_first_written():
    """The format never changes: later versions read the records of this one."""
    record = OutageRecorded(3, "slow start", 1_700_000_000_000.5, 0.25)
    payload = b'{"t":"outage","d":3,"phase":"slow start","at":1700000000000.5,"rate":0.25}\n'
    assert record.encode()[8:] == payload
    assert decode_journal_record(json.loads(payload), b"") == record
