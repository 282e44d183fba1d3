"""Maintains the endpoint list that discovery sends to a courier: PROTOCOL, 'Discovery'."""

from __future__ import annotations

from typing import Final, NotRequired, TypedDict

from winchspan.simulation.audit.records import CourierRecord, EndpointRecord
from winchspan.simulation.loop import NS_PER_MS

REMOVED_RETENTION_NS: Final = 60_000 * NS_PER_MS
"""Time for which an endpoint's record is retained after its removal from the list."""


class EndpointRow(TypedDict):
    """An endpoint in an update."""

    host: str
    health: NotRequired[str]
    dial: str
    block: int


class EndpointListUpdate(TypedDict):
    """A line of the discovery watch: a delta, or a full snapshot if `whole` is true."""

    hosts: list[EndpointRow]
    whole: NotRequired[bool]


def apply_endpoint_list(courier: CourierRecord, now_ns: int, update: EndpointListUpdate) -> None:
    """Apply an update to the endpoints of a courier's record."""
    rows = update["hosts"]
    assert isinstance(rows, list)
    if update.get("whole"):
        _remove_unnamed(courier, now_ns, rows)
    for row in rows:
        _apply_row(courier, now_ns, row)
    _forget_removed(courier, now_ns)


def _remove_unnamed(courier: CourierRecord, now_ns: int, rows: list[EndpointRow]) -> None:
    names = {row["host"] for row in rows}
    for name, endpoint in courier.endpoints.items():
        if name not in names and endpoint.removed_at_ns is None:
            endpoint.removed_at_ns = now_ns


def _apply_row(courier: CourierRecord, now_ns: int, row: EndpointRow) -> None:
    name = row["host"]
    known = courier.endpoints.get(name)
    if row.get("health", "up") == "up":
        port = int(str(row["dial"]).rpartition(":")[2])
        courier.endpoints[name] = EndpointRecord(name, port, row["block"])
    elif known is not None and known.removed_at_ns is None:
        known.removed_at_ns = now_ns


def _forget_removed(courier: CourierRecord, now_ns: int) -> None:
    old = [
        name
        for name, endpoint in courier.endpoints.items()
        if endpoint.removed_at_ns is not None and now_ns > endpoint.removed_at_ns + REMOVED_RETENTION_NS
    ]
    for name in old:
        del courier.endpoints[name]
