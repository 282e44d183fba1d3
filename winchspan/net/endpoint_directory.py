"""The endpoints that discovery lists, with stable numbers, and those that operators have taken offline."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from itertools import count
from typing import Any, Final

from loguru import logger

from winchspan import api
from winchspan.config.json_fields import (
    FieldError,
    read_array,
    read_choice,
    read_field,
    read_finite_number,
    read_integer,
)
from winchspan.config.platform import Address, ConfigError, parse_address
from winchspan.net.http_call import HttpPeer

MAX_GONE_ENDPOINTS: Final = 1_000
"""Upper bound on stored endpoints that are no longer listed; calls to them may still be in flight."""

MAX_KNOWN_NAMES: Final = 5_000
"""Upper bound on the endpoint names that operators can refer to."""

MAX_OFFLINE_ENDPOINTS: Final = 500
"""Upper bound on endpoints taken offline by operators; their names are stored in the journal."""

MAX_DESTINATION_NUMBER: Final = 10**18 - 1
"""The greatest destination number that clients can send; an upgrade encodes it in 64 bits."""

_STATUSES: Final = {
    "up": api.EndpointStatus.IN_SERVICE,
    "draining": api.EndpointStatus.DRAINING,
    "removed": api.EndpointStatus.GONE,
}


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """An endpoint of the list.

    Attributes:
        number: the number that the directory assigned.
        name: the name in the list.
        address: the address that the endpoint listens on.
        destination: the number of its destination.
        zone: its site.
        kind: the kind of its destination, as in the settings.
        status: whether the endpoint accepts new calls.
        listed_rate: its share in the list; calls a second if the settings define it so.
    """

    number: int
    name: str
    address: Address
    destination: int
    zone: str
    kind: str
    status: api.EndpointStatus
    listed_rate: float

    @property
    def peer(self) -> HttpPeer:
        """The HTTP peer of the endpoint's connections."""
        return HttpPeer(self.address, self.number)

    def to_entry(self) -> api.EndpointEntry:
        """Return the entry of the endpoint for the scheduler."""
        return api.EndpointEntry(
            self.number, self.destination, self.status, self.zone, self.kind, self.listed_rate
        )


class EndpointDirectory:
    """Assigns numbers to endpoints and stores the latest record of each.

    Attributes:
        sequence: the version of the stored list; -1: none.
        endpoints: all stored endpoints, by number.
        endpoint_counts: the number of stored endpoints, by destination.
        offline_names: names of the endpoints that operators have taken offline, regardless of the list.
    """

    def __init__(
        self,
        on_update: Callable[[api.EndpointsUpdated], None],
        on_drain: Callable[[HttpPeer], None] = lambda _: None,
        on_offline_change: Callable[[list[str]], None] = lambda _: None,
    ) -> None:
        """Create an empty directory.

        Args:
            on_update: called with each update for the scheduler.
            on_drain: called with each peer that must get no new calls.
            on_offline_change: called with the sorted names of all offline endpoints whenever they change.
        """
        self.sequence = -1
        self.endpoints: dict[int, EndpointRecord] = {}
        self.endpoint_counts: dict[int, int] = {}
        self.offline_names: set[str] = set()
        self._numbers: dict[tuple[str, int], int] = {}
        self._new_numbers = count(1)
        self._known_names: dict[str, None] = {}  # names that have been listed, oldest first
        self._returning_names: set[str] = set()  # online again, and not yet published
        self._on_update = on_update
        self._on_drain = on_drain
        self._on_offline_change = on_offline_change

    # ---- the list ----------------------------------------------------------------------------------------
    def apply(self, update: Mapping[str, Any], scope: api.UpdateScope | None = None) -> bool:
        """Apply one list or change.

        An invalid entry is skipped, so that it does not prevent the drain of another endpoint.

        Args:
            update: the decoded JSON object.
            scope: the scope to publish; None: full list or changes, by the update.

        Returns:
            Whether the update was ignored, since it is older than the stored list.

        Raises:
            FieldError: the update itself is invalid.
        """
        data = dict(update)
        sequence = read_integer(data, "seq")
        is_complete = read_field(data, "whole", bool, False)
        records = self._read_endpoints(data)
        if sequence < self.sequence or (sequence == self.sequence and not is_complete):
            return sequence < self.sequence
        self.sequence = sequence
        if is_complete:
            self._mark_missing_as_gone(records)
        for record in records:
            self._store(record)
        self._drop_excess()
        if scope is None:
            scope = api.UpdateScope.SNAPSHOT if is_complete else api.UpdateScope.CHANGES
        self._publish(scope, records)
        return False

    def forget_version(self) -> None:
        """Apply the next list whatever its version; the endpoints are kept until then."""
        self.sequence = -1

    def _read_endpoints(self, data: dict[str, Any]) -> list[EndpointRecord]:
        records = []
        for row in read_array(data, "hosts"):
            try:
                records.append(self._read_endpoint(row))
            except FieldError as err:
                logger.warning("discovery: skipped an invalid entry: {}", err)
        return records

    def _read_endpoint(self, row: object) -> EndpointRecord:
        """Return the record of one list entry; raises FieldError if it is invalid."""
        if not isinstance(row, dict):
            raise FieldError(f"hosts: an entry must be an object, not {row!r:.60}")
        name = read_field(row, "host", str)
        destination = _read_destination(row)
        status = read_choice(_STATUSES, row.get("health", "up"), "health")
        known = self.endpoints.get(self._numbers.get((name, destination), 0))
        if known is not None and status is api.EndpointStatus.GONE:
            return replace(known, status=status)  # its other fields are not required
        try:
            address = parse_address(read_field(row, "dial", str), "dial")
        except ConfigError as err:
            raise FieldError(str(err)) from None
        zone = read_field(row, "site", str, "")
        kind = read_field(row, "class", str, "")
        listed_rate = max(0.0, read_finite_number(row, "share", 1.0))
        number = self._numbers.get((name, destination)) or next(self._new_numbers)
        self._numbers[name, destination] = number
        return EndpointRecord(number, name, address, destination, zone, kind, status, listed_rate)

    def _mark_missing_as_gone(self, records: list[EndpointRecord]) -> None:
        listed = {record.number for record in records}
        for record in [record for record in self.endpoints.values() if record.number not in listed]:
            self.endpoints[record.number] = replace(record, status=api.EndpointStatus.GONE)
            self._on_drain(record.peer)

    def _store(self, record: EndpointRecord) -> None:
        previous = self.endpoints.get(record.number)
        self.endpoints[record.number] = record
        self._known_names[record.name] = None
        if previous is None:
            self.endpoint_counts[record.destination] = self.endpoint_counts.get(record.destination, 0) + 1
        elif previous.address != record.address:
            self._on_drain(previous.peer)
        if self._entry(record).status is not api.EndpointStatus.IN_SERVICE:
            self._on_drain(record.peer)

    def _entry(self, record: EndpointRecord) -> api.EndpointEntry:
        """Return the scheduler's entry of an endpoint; an offline endpoint is draining."""
        entry = record.to_entry()
        if entry.status is not api.EndpointStatus.IN_SERVICE:
            return entry
        if record.name in self.offline_names:
            return replace(entry, status=api.EndpointStatus.DRAINING)
        return replace(entry, needs_slow_start=record.name in self._returning_names)

    def _publish(self, scope: api.UpdateScope, records: list[EndpointRecord]) -> None:
        entries = tuple(self._entry(record) for record in records)
        for record, entry in zip(records, entries, strict=True):
            if entry.needs_slow_start:
                self._returning_names.discard(record.name)
        self._on_update(api.EndpointsUpdated(scope, entries))

    def _drop_excess(self) -> None:
        """Drop the oldest unlisted endpoints and names beyond their bounds, to limit the tables."""
        for name in list(self._known_names)[: max(0, len(self._known_names) - MAX_KNOWN_NAMES)]:
            del self._known_names[name]
        gone = [record for record in self.endpoints.values() if record.status is api.EndpointStatus.GONE]
        for record in gone[: max(0, len(gone) - MAX_GONE_ENDPOINTS)]:
            del self.endpoints[record.number]
            del self._numbers[record.name, record.destination]
            self.endpoint_counts[record.destination] -= 1
            if not self.endpoint_counts[record.destination]:
                del self.endpoint_counts[record.destination]

    def listed_endpoint_numbers(self) -> list[int]:
        """Return the numbers of the endpoints in the list."""
        return [
            record.number
            for record in self.endpoints.values()
            if record.status is not api.EndpointStatus.GONE
        ]

    def in_service_endpoints(self) -> list[EndpointRecord]:
        """Return the endpoints that accept new calls, by the list and the operators."""
        return [
            record
            for record in self.endpoints.values()
            if self._entry(record).status is api.EndpointStatus.IN_SERVICE
        ]

    # ---- endpoints taken offline by operators ------------------------------------------------------------
    def number_of(self, name: str | None, destination: int) -> int:
        """Return the number of an endpoint; 0 if it has never been listed for the destination."""
        return 0 if name is None else self._numbers.get((name, destination), 0)

    def knows(self, name: str) -> bool:
        """Return whether the name of an endpoint is offline, or has been listed and is still stored."""
        return name in self._known_names or name in self.offline_names

    def take_offline(self, name: str) -> bool:
        """Take an endpoint offline, regardless of the list; return False if too many are offline."""
        if name in self.offline_names:
            return True
        if len(self.offline_names) >= MAX_OFFLINE_ENDPOINTS:
            return False
        self.offline_names.add(name)
        self._returning_names.discard(name)
        self._offline_changed(name)
        return True

    def bring_online(self, name: str) -> None:
        """Bring an endpoint online again, beginning with a slow start."""
        if name in self.offline_names:
            self.offline_names.remove(name)
            self._returning_names.add(name)
            self._offline_changed(name)

    def _offline_changed(self, name: str) -> None:
        """Report the offline names, and publish the changed endpoint."""
        self._on_offline_change(sorted(self.offline_names))
        records = [
            record
            for record in self.endpoints.values()
            if record.name == name and record.status is not api.EndpointStatus.GONE
        ]
        if name in self.offline_names:
            for record in records:
                self._on_drain(record.peer)
        if records:
            self._publish(api.UpdateScope.CHANGES, records)

    # ---- upgrade -----------------------------------------------------------------------------------------
    def export_state(self) -> dict[str, Any]:
        """Return the complete state for the next process, which keeps the numbers."""
        return {
            "seq": self.sequence,
            "hosts": self.endpoints,
            "dests": self.endpoint_counts,
            "numbers": self._numbers,
            "next": self._new_numbers,
            "by_hand": self.offline_names,
            "cold": self._returning_names,
            "ever": self._known_names,
        }

    def import_state(self, state: dict[str, Any]) -> None:
        """Restore the state that another process has exported.

        The offline names come from the journal instead, since operators may change them during the upgrade.
        """
        self.sequence = state["seq"]
        self.endpoints = state["hosts"]
        self.endpoint_counts = state["dests"]
        self._numbers = state["numbers"]
        self._new_numbers = state["next"]
        self._known_names = state["ever"]
        self._returning_names = state["cold"] | (state["by_hand"] - self.offline_names)
        self._publish(api.UpdateScope.CHANGES, list(self.endpoints.values()))


def _read_destination(row: dict[str, Any]) -> int:
    """Return the destination number of an entry; raises FieldError if it is missing or out of range."""
    number = read_integer(row, "block")
    if abs(number) > MAX_DESTINATION_NUMBER:
        raise FieldError(f"field 'block' is out of range: {number!s:.60}")
    return number
