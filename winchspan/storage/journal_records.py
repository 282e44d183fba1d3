"""Codec of the journal's records.

Each record has the format of `winchspan.storage.record_file`; the key `t` of its JSON object names its kind.
Keys are written in the order given here, without spaces. Messages are numbered in the order of their
acceptance. `[...]` marks keys that are omitted at their default value, `{...}` keys that occur together.

    t        keys                                        type
    taken    n id c k d until token [v] [resend]         MessageAccepted; with the message's body
             [origin] {tries out out_zone ran ran_zone}
             {notice after [story]}
    started  n at to zone                                AttemptStarted
    back     n ran                                       AttemptEnded
    notice   n state after [story]                       NotificationPending
    end      n                                           MessagesCompleted
    classes  v rows                                      ClassTableDefined
    offline  names                                       EndpointsDisabled
    work     e                                           WorkEpochStarted
    clock    boot ahead                                  ClockAnchored
    last     at                                          LastAttemptRecorded
    outage   d phase at rate                             OutageRecorded

Records of any other kind are skipped. The format never changes: every version reads and writes it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from winchspan.storage.record_file import encode_record


class WorkOrigin(NamedTuple):
    """The courier that a message was taken over from, and the epoch of the takeover."""

    owner: str
    epoch: int


@dataclass(slots=True)
class JournalEntry:
    """An open message in the journal; all times are in ms of `Clock.persistent_unix_ms`."""

    number: int  # the order of acceptance
    id: str
    class_name: str
    key: int | None  # ordering key
    destination: int
    deadline_ms: float
    idempotency_key: str  # passed on unchanged
    body: bytes
    attempt_count: int = 0
    in_flight_since_ms: float | None = None  # start of the attempt in flight; None if there is none
    in_flight_zone: str = ""
    first_executed_at_ms: float | None = (
        None  # start of the first attempt that may have executed; None if there is none
    )
    first_executed_zone: str = ""
    pending_notification: str | None = None  # outcome that the platform must still be notified of
    retry_after_ms: int = 0
    redelivery_of: int = 0  # number of the dead letter that this message redelivers; 0 if none
    failure_history: dict[str, Any] | None = None  # for the dead-letter store
    class_table: int = 0  # number of the class table that it was accepted under; 0 if unknown
    size_bytes: int = 0  # size of its record in a compacted file
    origin: WorkOrigin | None = None  # None unless it was taken over from another courier


@dataclass(slots=True)
class MessageAccepted:
    """A message is open; the record contains its complete state."""

    entry: JournalEntry

    def encode(self) -> bytes:
        """Encode the record; keys at their default value are omitted."""
        entry = self.entry
        fields: dict[str, Any] = {
            "t": "taken",
            "n": entry.number,
            "id": entry.id,
            "c": entry.class_name,
            "k": entry.key,
            "d": entry.destination,
            "until": entry.deadline_ms,
            "token": entry.idempotency_key,
        }
        if entry.class_table:
            fields["v"] = entry.class_table
        if entry.redelivery_of:
            fields["resend"] = entry.redelivery_of
        if entry.origin is not None:
            fields["origin"] = entry.origin
        if entry.attempt_count or entry.first_executed_at_ms is not None:
            fields["tries"] = entry.attempt_count
            fields["out"] = entry.in_flight_since_ms
            fields["out_zone"] = entry.in_flight_zone
            fields["ran"] = entry.first_executed_at_ms
            fields["ran_zone"] = entry.first_executed_zone
        if entry.pending_notification is not None:
            fields["notice"] = entry.pending_notification
            fields["after"] = entry.retry_after_ms
            if entry.failure_history is not None:
                fields["story"] = entry.failure_history
        return encode_record(fields, entry.body)


@dataclass(slots=True)
class AttemptStarted:
    """An attempt carries some messages to an endpoint; written before its first byte is sent."""

    numbers: list[int]
    at_ms: float
    endpoint: str
    zone: str

    def encode(self) -> bytes:
        """Encode the record."""
        return encode_record(
            {"t": "started", "n": self.numbers, "at": self.at_ms, "to": self.endpoint, "zone": self.zone}
        )


@dataclass(slots=True)
class AttemptEnded:
    """The attempt in flight of some messages has ended."""

    numbers: list[int]
    may_have_executed: bool

    def encode(self) -> bytes:
        """Encode the record."""
        return encode_record({"t": "back", "n": self.numbers, "ran": self.may_have_executed})


@dataclass(slots=True)
class NotificationPending:
    """The platform must be notified of a message's outcome."""

    number: int
    outcome: str
    retry_after_ms: int
    failure_history: dict[str, Any] | None = None

    def encode(self) -> bytes:
        """Encode the record."""
        fields: dict[str, Any] = {
            "t": "notice",
            "n": self.number,
            "state": self.outcome,
            "after": self.retry_after_ms,
        }
        if self.failure_history is not None:
            fields["story"] = self.failure_history
        return encode_record(fields)


@dataclass(slots=True)
class MessagesCompleted:
    """Some messages are completed."""

    numbers: list[int]

    def encode(self) -> bytes:
        """Encode the record."""
        return encode_record({"t": "end", "n": self.numbers})


@dataclass(slots=True)
class ClassTableDefined:
    """Messages that follow are accepted under these classes."""

    number: int
    rows: list[dict[str, Any]]

    def encode(self) -> bytes:
        """Encode the record."""
        return encode_record({"t": "classes", "v": self.number, "rows": self.rows})


@dataclass(slots=True)
class EndpointsDisabled:
    """The complete list of endpoints that operators have disabled."""

    names: list[str]

    def encode(self) -> bytes:
        """Encode the record."""
        return encode_record({"t": "offline", "names": self.names})


@dataclass(slots=True)
class WorkEpochStarted:
    """This courier owns its journal under an epoch."""

    epoch: int

    def encode(self) -> bytes:
        """Encode the record."""
        return encode_record({"t": "work", "e": self.epoch})


@dataclass(slots=True)
class ClockAnchored:
    """The offset of `Clock.persistent_unix_ms` from `Clock.now`, constant during a boot."""

    boot_id: str
    offset_ms: float

    def encode(self) -> bytes:
        """Encode the record."""
        return encode_record({"t": "clock", "boot": self.boot_id, "ahead": self.offset_ms})


@dataclass(slots=True)
class LastAttemptRecorded:
    """The start of the latest attempt, for compacted files that no longer contain its record."""

    at_ms: float

    def encode(self) -> bytes:
        """Encode the record."""
        return encode_record({"t": "last", "at": self.at_ms})


@dataclass(slots=True)
class OutageRecorded:
    """A destination's outage phase, which must survive a restart in the middle of an outage.

    Attributes:
        destination: the destination's number.
        phase: `outage`, `slow start` or `healthy`.
        at_ms: start of the phase.
        calls_per_s: this courier's share of the destination's demand.
    """

    destination: int
    phase: str
    at_ms: float
    calls_per_s: float

    def encode(self) -> bytes:
        """Encode the record."""
        return encode_record(
            {
                "t": "outage",
                "d": self.destination,
                "phase": self.phase,
                "at": self.at_ms,
                "rate": self.calls_per_s,
            }
        )


JournalRecord = (
    MessageAccepted
    | AttemptStarted
    | AttemptEnded
    | NotificationPending
    | MessagesCompleted
    | ClassTableDefined
    | EndpointsDisabled
    | WorkEpochStarted
    | ClockAnchored
    | LastAttemptRecorded
    | OutageRecorded
)


def decode_journal_record(fields: dict[str, Any], body: bytes) -> JournalRecord | None:
    """Decode a record.

    Args:
        fields: the record's JSON object.
        body: the bytes that follow the JSON object.

    Returns:
        The record, or None if its kind is not one of a journal.

    Raises:
        KeyError, TypeError, ValueError: the fields are invalid for the record's kind.
    """
    match fields["t"]:
        case "taken":
            return MessageAccepted(_decode_entry(fields, body))
        case "started":
            return AttemptStarted(fields["n"], fields["at"], fields.get("to", ""), fields["zone"])
        case "back":
            return AttemptEnded(fields["n"], fields["ran"])
        case "notice":
            return NotificationPending(fields["n"], fields["state"], fields["after"], fields.get("story"))
        case "end":
            return MessagesCompleted(fields["n"])
        case _:
            return _decode_setting(fields)


def _decode_setting(fields: dict[str, Any]) -> JournalRecord | None:
    """Decode a record of a setting or of the journal as a whole."""
    match fields["t"]:
        case "classes":
            return ClassTableDefined(int(fields["v"]), list(fields["rows"]))
        case "offline":
            return EndpointsDisabled([str(name) for name in fields["names"]])
        case "work":
            return WorkEpochStarted(int(fields["e"]))
        case "clock":
            return ClockAnchored(str(fields["boot"]), float(fields["ahead"]))
        case "last":
            return LastAttemptRecorded(float(fields["at"]))
        case "outage":
            return OutageRecorded(
                int(fields["d"]), str(fields["phase"]), float(fields["at"]), float(fields["rate"])
            )
        case _:
            return None


def _decode_entry(fields: dict[str, Any], body: bytes) -> JournalEntry:
    entry = JournalEntry(
        number=int(fields["n"]),
        id=fields["id"],
        class_name=fields["c"],
        key=fields["k"],
        destination=int(fields["d"]),
        deadline_ms=float(fields["until"]),
        idempotency_key=fields["token"],
        body=body,
        attempt_count=fields.get("tries", 0),
        in_flight_since_ms=fields.get("out"),
        in_flight_zone=fields.get("out_zone", ""),
        first_executed_at_ms=fields.get("ran"),
        first_executed_zone=fields.get("ran_zone", ""),
        pending_notification=fields.get("notice"),
        retry_after_ms=fields.get("after", 0),
        redelivery_of=fields.get("resend", 0),
        failure_history=fields.get("story"),
        class_table=int(fields.get("v", 0)),
    )
    if "origin" in fields:
        entry.origin = WorkOrigin(str(fields["origin"][0]), int(fields["origin"][1]))
    return entry
